//! RPC client of another entry instance.

use std::{
    cell::{Cell, RefCell},
    fmt,
    net::SocketAddr,
    rc::{Rc, Weak},
    time::{Duration, Instant},
};

use capnp::message::ReaderOptions;
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use smol::{LocalExecutor, Task, net::TcpStream};

use crate::{
    backoff::Backoff,
    ids::{InstanceId, SessionId, Version, WorkerId},
    metrics::{self, PeerCall},
    peer::{Digest, read_changes, read_digest, write_digest},
    peer_capnp::peer,
    peer_stream::{self, Encoding, Halves},
    spread::{Delta, Watched},
};

/// Upper bound of the first wait before a connection is opened again.
const RETRY_BASE: Duration = Duration::from_millis(100);
/// Upper bound of any wait before a connection is opened again.
const RETRY_CAP: Duration = Duration::from_secs(2);

/// Why a call to a peer failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerError {
    /// The peer was not called, because the client is backing off after a failure.
    BackingOff,
    /// The deadline passed; the connection is replaced.
    TimedOut,
    /// The connection or the call failed.
    Failed(String),
}

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PeerError::BackingOff => f.write_str("backing off before the next attempt"),
            PeerError::TimedOut => f.write_str("no answer before the deadline"),
            PeerError::Failed(why) => f.write_str(why),
        }
    }
}

impl std::error::Error for PeerError {}

impl From<capnp::Error> for PeerError {
    fn from(e: capnp::Error) -> Self {
        PeerError::Failed(e.to_string())
    }
}

/// A client with at most one connection, opened on first use. It is used on the control thread
/// only.
pub struct PeerClient {
    address: SocketAddr,
    deadline: Duration,
    executor: Weak<LocalExecutor<'static>>,
    connection: RefCell<Option<Connection>>,
    opened: Cell<u64>,
    encoding: Cell<Encoding>,
    backoff: RefCell<Backoff>,
    retry_at: Cell<Option<Instant>>,
}

/// An open connection; dropping it closes it.
struct Connection {
    /// Sequence number, by which a replaced connection is recognized.
    number: u64,
    client: peer::Client,
    /// Whether any call on it was answered.
    answered: Cell<bool>,
    _system: Task<()>,
}

impl PeerClient {
    /// Builds a client whose calls time out after `deadline`.
    pub fn new(
        address: SocketAddr,
        deadline: Duration,
        executor: Weak<LocalExecutor<'static>>,
    ) -> Self {
        Self {
            address,
            deadline,
            executor,
            connection: RefCell::default(),
            opened: Cell::default(),
            encoding: Cell::default(),
            backoff: RefCell::new(Backoff::new(RETRY_BASE, RETRY_CAP)),
            retry_at: Cell::default(),
        }
    }

    /// Sends a digest and returns that of the peer.
    ///
    /// # Errors
    ///
    /// Returns why the call failed.
    pub async fn exchange(&self, digest: &Digest) -> Result<Digest, PeerError> {
        let call = async |client: peer::Client| {
            let mut request = client.exchange_request();
            write_digest(digest, request.get().init_digest());
            let answer = request.send().promise.await?;
            Ok(read_digest(answer.get()?.get_digest()?)?)
        };
        self.call(PeerCall::Exchange, call).await
    }

    /// Requests the changes of a watched kind after a version.
    ///
    /// # Errors
    ///
    /// Returns why the call failed.
    pub async fn changes(&self, kind: Watched, since: Version) -> Result<Delta, PeerError> {
        let call = async |client: peer::Client| {
            let mut request = client.changes_request();
            request.get().set_kind(kind.as_str());
            request.get().set_since(since);
            let answer = request.send().promise.await?;
            let answer = answer.get()?;
            let full = answer.get_full();
            Ok(Delta {
                since: if full { 0 } else { since },
                version: answer.get_version(),
                full,
                changes: read_changes(answer.get_changes()?)?,
            })
        };
        self.call(PeerCall::Changes, call).await
    }

    /// Reports how many online requests this instance has in flight on a worker that the peer owns.
    ///
    /// # Errors
    ///
    /// Returns why the call failed.
    pub async fn report_online(
        &self,
        sender: (&InstanceId, SessionId),
        worker: &WorkerId,
        level: u32,
    ) -> Result<(), PeerError> {
        let call = async |client: peer::Client| {
            let mut request = client.online_request();
            request.get().set_instance(&**sender.0);
            request.get().set_session(sender.1);
            request.get().set_worker(&**worker);
            request.get().set_level(level);
            request.send().promise.await?;
            Ok(())
        };
        self.call(PeerCall::Online, call).await
    }

    /// Runs a call within the deadline. A connection on which a call failed or timed out is
    /// replaced, because it may be dead while new connections work.
    async fn call<T>(
        &self,
        kind: PeerCall,
        call: impl AsyncFn(peer::Client) -> Result<T, PeerError>,
    ) -> Result<T, PeerError> {
        if self.retry_at.get().is_some_and(|t| Instant::now() < t) {
            return Err(PeerError::BackingOff);
        }
        let used = Cell::new(0);
        let work = async {
            let (number, client) = self.open().await?;
            used.set(number);
            call(client).await
        };
        let timeout = async {
            async_io::Timer::after(self.deadline).await;
            Err(PeerError::TimedOut)
        };
        let result = smol::future::or(work, timeout).await;
        metrics::peer_call(kind, result.is_ok());
        match &result {
            Ok(_) => self.succeed(),
            Err(_) => self.close(used.get()),
        }
        result
    }

    async fn open(&self) -> Result<(u64, peer::Client), PeerError> {
        if let Some(open) = &*self.connection.borrow() {
            return Ok((open.number, open.client.clone()));
        }
        let stream = TcpStream::connect(self.address).await;
        let stream = stream.map_err(|e| PeerError::Failed(e.to_string()))?;
        let _ = stream.set_nodelay(true);
        let Some(executor) = self.executor.upgrade() else {
            return Err(PeerError::Failed("the instance is stopping".into()));
        };
        let Halves { reader, writer } = peer_stream::opened(stream, self.encoding.get());
        let network = VatNetwork::new(reader, writer, Side::Client, ReaderOptions::new());
        let mut system = RpcSystem::new(Box::new(network), None);
        let client: peer::Client = system.bootstrap(Side::Server);
        let number = self.opened.get() + 1;
        self.opened.set(number);
        let system_task = executor.spawn(async move {
            let _ = system.await;
        });
        *self.connection.borrow_mut() = Some(Connection {
            number,
            client: client.clone(),
            answered: Cell::new(false),
            _system: system_task,
        });
        Ok((number, client))
    }

    fn succeed(&self) {
        self.backoff.borrow_mut().succeed();
        if let Some(connection) = &*self.connection.borrow() {
            connection.answered.set(true);
        }
    }

    /// Drops the connection on which a call failed, unless another call has replaced it. If no call
    /// on it was answered, the peer may run a release that supports only the other encoding.
    fn close(&self, number: u64) {
        let wait = self.backoff.borrow_mut().fail(&mut fastrand::Rng::new());
        self.retry_at.set(Some(Instant::now() + wait));
        let mut connection = self.connection.borrow_mut();
        if let Some(old) = connection.take_if(|c| c.number == number) {
            self.encoding
                .set(match (old.answered.get(), self.encoding.get()) {
                    (false, Encoding::Packed) => Encoding::Plain,
                    _ => Encoding::Packed,
                });
        }
    }
}

impl fmt::Debug for PeerClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PeerClient")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

/// Clients by address, shared by the tasks of the control thread.
pub type PeerClients = RefCell<crate::ids::Map<SocketAddr, Rc<PeerClient>>>;
