//! A client connection of HTTP/1.1. Dropping it closes the socket at once.

use std::{
    io,
    net::SocketAddr,
    time::{Duration, Instant},
};

use async_io::Timer;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, Response, body::Incoming, client::conn::http1};
use smol::{Task, net::TcpStream};
use smol_hyper::rt::FuturesIo;

/// Time in which a connection that ended its last answer becomes ready for the next request.
const READY_WAIT: Duration = Duration::from_millis(5);

/// An open connection.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    _driver: Task<()>,
    /// End of the last answer.
    pub used: Instant,
    /// Whether an answer was received on it before.
    pub kept: bool,
}

/// Why a request has no answer.
#[derive(Debug)]
pub enum SendError {
    /// The request was never written.
    NotSent(String),
    /// The request may have been received.
    Sent(String),
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns an error when the peer does not accept it within `limit`.
    pub async fn open(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        let stream = within(limit, TcpStream::connect(address)).await?;
        stream.set_nodelay(true)?;
        let handshake = http1::handshake(FuturesIo::new(stream)).await;
        let (sender, driver) = handshake.map_err(io::Error::other)?;
        let driver = smol::spawn(async move {
            if let Err(e) = driver.await {
                log::debug!("connection ended: {e}");
            }
        });
        Ok(Self {
            sender,
            _driver: driver,
            used: Instant::now(),
            kept: false,
        })
    }

    /// Returns whether the connection can take a request.
    pub async fn is_ready(&mut self) -> bool {
        if self.sender.is_closed() {
            return false;
        }
        let ready = async { self.sender.ready().await.map_err(io::Error::other) };
        within(READY_WAIT, ready).await.is_ok()
    }

    /// Sends a request and returns the head of its answer.
    ///
    /// # Errors
    ///
    /// Returns whether the request may have been received.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut e) => match e.take_message() {
                Some(_) => Err(SendError::NotSent(e.into_error().to_string())),
                None => Err(SendError::Sent(e.into_error().to_string())),
            },
        }
    }

    /// Sends a request and returns the head of its answer within `limit`.
    ///
    /// # Errors
    ///
    /// Returns whether the request may have been received.
    pub async fn send_within(
        &mut self,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Response<Incoming>, SendError> {
        answered_within(limit, self.send(request)).await
    }

    /// Sends a request and reads its whole answer within `limit`.
    ///
    /// # Errors
    ///
    /// Returns whether the request may have been received.
    pub async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Response<Bytes>, SendError> {
        let work = async {
            let answer = self.send(request).await?;
            let (head, body) = answer.into_parts();
            let body = read_body(body, usize::MAX).await;
            let body = body.map_err(|e| SendError::Sent(e.to_string()))?;
            self.used = Instant::now();
            self.kept = true;
            Ok(Response::from_parts(head, body))
        };
        answered_within(limit, work).await
    }
}

async fn answered_within<T>(
    limit: Duration,
    work: impl Future<Output = Result<T, SendError>>,
) -> Result<T, SendError> {
    smol::future::or(work, async {
        Timer::after(limit).await;
        Err(SendError::Sent(format!("no answer within {limit:?}")))
    })
    .await
}

/// Reads a body of at most `limit` bytes.
///
/// # Errors
///
/// Returns an error when the body breaks off or is longer.
pub async fn read_body<B>(body: B, limit: usize) -> io::Result<Bytes>
where
    B: hyper::body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let collected = Limited::new(body, limit).collect().await;
    Ok(collected.map_err(io::Error::other)?.to_bytes())
}

/// Bounds the time of an operation.
///
/// # Errors
///
/// Returns the error of the operation, or one of kind `TimedOut`.
pub async fn within<T>(
    limit: Duration,
    work: impl Future<Output = io::Result<T>>,
) -> io::Result<T> {
    smol::future::or(work, async {
        Timer::after(limit).await;
        Err(io::ErrorKind::TimedOut.into())
    })
    .await
}
