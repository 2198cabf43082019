//! HTTP/1.1 client connection. Dropping it closes the socket at once.

use std::{
    io,
    net::SocketAddr,
    pin::pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use async_io::Timer;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::{
    Request, Response,
    body::{Body, Incoming},
    client::conn::http1,
    header,
};
use smol::{Task, net::TcpStream};
use smol_hyper::rt::FuturesIo;

use super::{
    fair_stream::{FairStream, HeadBytes, Wire},
    links::LastHeard,
    memory::{Held, HeldBuffer, Memory},
    write_gate::{Decision, WriteGate},
};

/// Time for a connection to become ready for the next request after its last answer.
const READY_WAIT: Duration = Duration::from_millis(5);

/// Maximum size of an answer that is read as a whole from the store or another instance. Both send a
/// few MB at most.
const MAX_EXCHANGE_BYTES: usize = 16 << 20;

/// Maximum size of the buffer of a connection, which a head has to fit in.
pub const BUFFER_BYTES: usize = 64 << 10;

/// An open HTTP/1.1 connection.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    head: HeadBytes,
    gate: WriteGate,
    _driver: Task<()>,
    /// Time when the connection was opened.
    pub opened: Instant,
    /// Time when the last answer ended.
    pub last_used: Instant,
    /// Whether an earlier answer was received on the connection.
    pub reused: bool,
    /// Whether the last request on it was a call for a report, after which some workers close it.
    pub reported: bool,
    /// Path of the connection.
    pub path: Path,
}

/// Path of a connection to a worker.
#[derive(Debug, Clone, Default)]
pub enum Path {
    /// It goes to the worker itself.
    #[default]
    Direct,
    /// It goes through another instance. The flag is set once the way to that instance broke.
    Relayed(Arc<AtomicBool>),
}

impl Path {
    /// Returns whether the connection goes to the worker itself.
    pub fn is_direct(&self) -> bool {
        matches!(self, Self::Direct)
    }

    /// Returns whether the way to the instance in between broke.
    pub fn is_lost(&self) -> bool {
        match self {
            Self::Direct => false,
            Self::Relayed(lost) => lost.load(Ordering::Relaxed),
        }
    }
}

/// What shows that an answer is whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Proof {
    /// A length or chunks.
    Framing,
    /// The content, which the caller checks.
    Content,
}

/// Reason why a request has no answer.
#[derive(Debug)]
pub enum SendError {
    /// The request was never written.
    NotSent(String),
    /// The request was not written, since the decision to send it was too old.
    Revoked(String),
    /// The request may have been received; the connection ended without an answer.
    Sent(String),
    /// The request may have been received; there was no answer in time.
    TimedOut(String),
}

impl SendError {
    /// Returns the reason for the log.
    pub fn into_reason(self) -> String {
        match self {
            Self::NotSent(e) | Self::Revoked(e) | Self::Sent(e) | Self::TimedOut(e) => e,
        }
    }
}

/// Reason why an attempt at a worker has no whole answer.
#[derive(Debug)]
pub struct AttemptError {
    /// Reason for the log.
    pub reason: String,
    /// Whether the worker closed the connection, and did not time out or answer wrongly.
    pub closed: bool,
    /// Whether the worker had begun to write the answer.
    pub begun: bool,
}

impl AttemptError {
    /// Builds the error for a worker that stalled or answered wrongly.
    pub fn fault(reason: impl Into<String>) -> Self {
        Self {
            reason: reason.into(),
            closed: false,
            begun: false,
        }
    }

    /// Builds the error for a connection that the worker closed before the head of the answer.
    pub fn closed(reason: String) -> Self {
        Self {
            reason,
            closed: true,
            begun: false,
        }
    }

    /// Builds the error for an answer that could not be read to its end. Only an error of kind
    /// `ConnectionAborted` stands for a connection that the worker closed.
    pub fn reading(error: &io::Error, begun: bool) -> Self {
        Self {
            reason: error.to_string(),
            closed: error.kind() == io::ErrorKind::ConnectionAborted,
            begun,
        }
    }

    /// Returns whether the worker may have crashed as it began to write the answer.
    pub fn is_crash(&self) -> bool {
        self.closed && !self.begun
    }
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
        Self::over(stream.into(), None, None).await
    }

    /// Builds a connection over an open stream. With `buffers`, its buffers grow only as far as they can
    /// be held. If it goes to a worker itself, `heard` records that bytes came.
    ///
    /// # Errors
    ///
    /// Returns an error when the stream was closed at once.
    pub async fn over(
        wire: Wire,
        buffers: Option<Held>,
        heard: Option<LastHeard>,
    ) -> io::Result<Self> {
        let path = match &wire {
            Wire::Direct(_) => Path::Direct,
            Wire::Relayed(stream) => Path::Relayed(stream.lost()),
        };
        let head = HeadBytes::default();
        let gate = WriteGate::default();
        let stream = FairStream::new(wire, head.clone(), gate.clone(), buffers);
        let stream = stream.with_heard(heard).with_whole_requests();
        let mut client = http1::Builder::new();
        // Without vectored writes hyper copies a body before it sends it.
        let handshake = client.max_buf_size(BUFFER_BYTES).writev(true);
        let handshake = handshake.handshake(FuturesIo::new(stream)).await;
        let (sender, driver) = handshake.map_err(io::Error::other)?;
        let driver = smol::spawn(async move {
            if let Err(e) = driver.await {
                log::debug!("connection ended: {e}");
            }
        });
        Ok(Self {
            sender,
            head,
            gate,
            _driver: driver,
            opened: Instant::now(),
            last_used: Instant::now(),
            reused: false,
            reported: false,
            path,
        })
    }

    /// Returns whether the connection can send a request.
    pub async fn is_ready(&mut self) -> bool {
        if self.sender.is_closed() {
            return false;
        }
        let ready = async { self.sender.ready().await.map_err(io::Error::other) };
        within(READY_WAIT, ready).await.is_ok()
    }

    /// Returns whether the connection has ended, as far as is known.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sets the decision behind the next request.
    pub fn set_decision(&self, decision: Decision) {
        self.gate.set(decision);
    }

    /// Sends a request and returns the head of the answer.
    ///
    /// # Errors
    ///
    /// Returns a `SendError` that tells whether the request may have been received.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        self.reported = false;
        self.head.start();
        let sent = self.sender.try_send_request(request).await;
        self.head.stop();
        match sent {
            Ok(response) => Ok(response),
            Err(e) if self.gate.is_closed() => Err(SendError::Revoked(e.into_error().to_string())),
            Err(mut e) => match e.take_message() {
                Some(_) => Err(SendError::NotSent(e.into_error().to_string())),
                None => Err(SendError::Sent(e.into_error().to_string())),
            },
        }
    }

    /// Sends a request and returns the head of the answer within `limit`.
    ///
    /// # Errors
    ///
    /// Returns a `SendError` that tells whether the request may have been received.
    pub async fn send_within(
        &mut self,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Response<Incoming>, SendError> {
        answered_within(limit, self.send(request)).await
    }

    /// Sends a request and reads the whole answer, of limited size, within `limit`.
    ///
    /// # Errors
    ///
    /// Returns a `SendError` that tells whether the request may have been received.
    pub async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        limit: Duration,
        proof: Proof,
    ) -> Result<Response<Bytes>, SendError> {
        let work = async {
            let answer = self.send(request).await?;
            if proof == Proof::Framing && !is_framed(&answer) {
                let reason = "the answer has neither a length nor chunks";
                return Err(SendError::Sent(reason.into()));
            }
            let (head, body) = answer.into_parts();
            let body = read_body(body, MAX_EXCHANGE_BYTES).await;
            let body = body.map_err(|e| SendError::Sent(e.to_string()))?;
            self.last_used = Instant::now();
            self.reused = true;
            Ok(Response::from_parts(head, body))
        };
        answered_within(limit, work).await
    }
}

/// Returns whether a length or chunks show where an answer ends. Any other answer ends with its
/// connection, and does so in the same way when its sender is killed.
pub fn is_framed(answer: &Response<Incoming>) -> bool {
    let codings = answer.headers().get_all(header::TRANSFER_ENCODING);
    let last = codings.iter().next_back().and_then(|v| v.to_str().ok());
    let last = last.and_then(|v| v.rsplit(',').next());
    let is_chunked = last.is_some_and(|c| c.trim().eq_ignore_ascii_case("chunked"));
    is_chunked || answer.body().size_hint().exact().is_some()
}

/// Returns whether an answer that was read tells that its connection ends.
pub fn announces_end<B>(answer: &Response<B>) -> bool {
    let options = answer.headers().get_all(header::CONNECTION).iter();
    let mut options = options
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','));
    options.any(|o| o.trim().eq_ignore_ascii_case("close"))
}

async fn answered_within<T>(
    limit: Duration,
    work: impl Future<Output = Result<T, SendError>>,
) -> Result<T, SendError> {
    smol::future::or(work, async {
        Timer::after(limit).await;
        Err(SendError::TimedOut(format!("no answer within {limit:?}")))
    })
    .await
}

/// Reads a body of at most `limit` bytes.
///
/// # Errors
///
/// Returns an error of kind `ConnectionAborted` when the body is truncated, and one of another kind
/// when it is longer than `limit`.
pub async fn read_body<B>(body: B, limit: usize) -> io::Result<Bytes>
where
    B: hyper::body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let collected = Limited::new(body, limit).collect().await;
    let collected = collected.map_err(unread)?;
    Ok(collected.to_bytes())
}

/// Like `read_body`, for bytes that count as held in memory until the last part of them is dropped.
///
/// # Errors
///
/// Returns the errors of `read_body`, and one of kind `OutOfMemory` when the bytes would exceed the
/// bound of the process.
pub async fn read_held<B>(body: B, limit: usize, memory: &Arc<Memory>) -> io::Result<Bytes>
where
    B: hyper::body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let expected = body.size_hint().exact();
    let expected = expected.and_then(|e| usize::try_from(e).ok());
    let mut body = pin!(Limited::new(body, limit));
    let mut bytes = match expected {
        Some(expected) => HeldBuffer::sized(expected.min(limit), memory),
        None => HeldBuffer::growing(memory),
    };
    while let Some(frame) = body.frame().await {
        if let Some(data) = frame.map_err(unread)?.data_ref() {
            bytes.push(data)?;
        }
    }
    Ok(bytes.finish())
}

/// Reads the rest of a body that is not used, so that its sender receives an answer.
pub async fn discard(body: &mut Incoming, limit: usize) {
    let mut body = Limited::new(body, limit);
    while let Some(Ok(_)) = body.frame().await {}
}

fn unread(error: Box<dyn std::error::Error + Send + Sync>) -> io::Error {
    if error.is::<LengthLimitError>() {
        invalid(error)
    } else {
        aborted(error)
    }
}

/// Builds the error for a body that ended with its connection.
pub fn aborted(error: impl Into<Box<dyn std::error::Error + Send + Sync>>) -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionAborted, error)
}

/// Builds the error for an answer that is wrong.
pub fn invalid(error: impl Into<Box<dyn std::error::Error + Send + Sync>>) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error)
}

/// Applies a timeout to an operation.
///
/// # Errors
///
/// Returns the error of the operation, or an error of kind `TimedOut`.
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
