//! HTTP client whose errors show whether a request was sent.

use std::{io, time::Duration};

use trillium_client::{
    Client, Conn, Error,
    KnownHeaderName::{ContentLength, TransferEncoding},
    Method, Status,
};
use trillium_server_common::{Connector, Destination, url::Url};
use trillium_smol::ClientConfig;

/// Connector with a timeout for opening a connection. It marks its errors, which distinguishes a
/// request that was never sent from one that may have been.
#[derive(Debug, Clone, Copy)]
pub struct Dialer {
    inner: ClientConfig,
    timeout: Duration,
}

/// Marks an I/O error from before the connection was open.
#[derive(Debug)]
struct NotConnected(io::Error);

impl std::fmt::Display for NotConnected {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "cannot connect: {}", self.0)
    }
}

impl std::error::Error for NotConnected {}

impl Connector for Dialer {
    type Runtime = <ClientConfig as Connector>::Runtime;
    type Transport = <ClientConfig as Connector>::Transport;
    type Udp = <ClientConfig as Connector>::Udp;

    fn runtime(&self) -> Self::Runtime {
        self.inner.runtime()
    }

    async fn connect(&self, url: &Url) -> io::Result<Self::Transport> {
        self.connect_to(Destination::from_url(url)?).await
    }

    async fn connect_to(&self, destination: Destination) -> io::Result<Self::Transport> {
        let timeout = async {
            async_io::Timer::after(self.timeout).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let opened = smol::future::or(self.inner.connect_to(destination), timeout).await;
        opened.map_err(|e| io::Error::new(e.kind(), NotConnected(e)))
    }

    async fn resolve(&self, host: &str, port: u16) -> io::Result<Vec<std::net::SocketAddr>> {
        self.inner.resolve(host, port).await
    }
}

/// Builds a client that opens a connection for each request.
///
/// Connections are not pooled: a pooled client drains a dropped response in the background, which
/// keeps the stream of the engine running, and it may reuse a dead connection.
pub fn client(connect: Duration) -> Client {
    let inner = ClientConfig::new().with_nodelay(true);
    Client::new(Dialer {
        inner,
        timeout: connect,
    })
    .without_keepalive()
}

/// Returns whether a failed request was never sent, because no connection was opened.
pub fn never_sent(error: &Error) -> bool {
    match error {
        Error::Io(e) => e.get_ref().is_some_and(|inner| inner.is::<NotConnected>()),
        _ => false,
    }
}

/// Returns whether a length or chunks show where the body of an answer ends. Any other answer ends with
/// its connection, and does so in the same way when its sender is killed.
pub fn is_framed(conn: &Conn) -> bool {
    let headers = conn.response_headers();
    let is_empty = matches!(conn.status(), Some(Status::NoContent | Status::NotModified))
        || conn.method() == Method::Head;
    is_empty || headers.has_header(ContentLength) || headers.has_header(TransferEncoding)
}
