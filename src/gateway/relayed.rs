//! Connections to workers through another instance, for an instance that is cut off from them.
//!
//! The first instance keeps all decisions on a request and only its bytes take another path: the other
//! instance opens a connection to the worker and passes on what it receives. Bytes from the worker come in
//! frames, so that the end of the other instance cannot be taken for the end of an answer. The last frame
//! tells how many bytes the worker had received, so that the first instance knows whether it was a whole
//! request.

use std::{
    io,
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    task::{Context, Poll, ready},
    time::Duration,
};

use futures::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use hyper::{Request, Response, StatusCode, body::Incoming, header, upgrade::Upgraded};
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;

use crate::{drain::Phase, event, ids::WorkerId, metrics};

use super::{
    answer::{CallerBody, full_body, text_answer},
    connection::{aborted, invalid, within},
    fair_stream::FairStream,
    fleet::Worker,
    gateway::Gateway,
    links, socket_state,
    upstream::CONNECT_LIMIT,
};

/// Name of the protocol in the `Upgrade` header.
const PROTOCOL: &str = "gentianpath-worker";
/// Header with the id of the worker.
const WORKER: &str = "relayed-worker";
/// Header with the start of the worker's run, if that is known.
const STARTED: &str = "relayed-started";
/// Time in which the other instance answers, with its own connection to the worker open.
const OPEN_LIMIT: Duration = Duration::from_millis(250);
/// Time in which a live instance accepts a connection.
const ACCEPT_LIMIT: Duration = Duration::from_millis(120);
/// Maximum size of the head of its answer.
const MAX_HEAD_BYTES: usize = 1 << 10;
/// Size of the buffer of each direction at the instance in between.
const BUFFER_BYTES: usize = 8 << 10;
/// Maximum number of connections that an instance carries for others, some 2 MB of buffers.
const MAX_CARRIED: usize = 128;
/// Size of the length before each frame.
const LENGTH_BYTES: usize = 2;
/// Length that marks the end of the worker's connection. The number of bytes that the worker had received
/// before follows, except from earlier builds.
const END: u16 = 0;
/// Size of that number.
const COUNT_BYTES: usize = 8;
/// Turns that the other direction gets after the end of the worker's, to read what it has; a read may give
/// way once before it does.
const END_TURNS: usize = 3;
/// Answer of an instance that carries no more connections.
const FULL: StatusCode = StatusCode::TOO_MANY_REQUESTS;
/// Length that marks a break of the worker's connection.
const BREAK: u16 = u16::MAX;

/// Number of connections that this instance carries for others.
#[derive(Debug, Clone, Default)]
pub struct Carried(Arc<AtomicUsize>);

/// Bytes for a worker on a carried connection.
#[derive(Debug, Default)]
struct Upload {
    /// Whether a write has begun that did not succeed so far.
    unwritten: AtomicBool,
    /// Number of bytes that were written.
    written: AtomicU64,
    /// Whether the worker's side has ended.
    ended: AtomicBool,
}

impl Upload {
    fn begin_write(&self) {
        self.unwritten.store(true, Ordering::Relaxed);
    }

    fn finish_write(&self, count: usize) {
        self.written.fetch_add(count as u64, Ordering::Relaxed);
        if !self.ended.load(Ordering::Relaxed) {
            self.unwritten.store(false, Ordering::Relaxed);
        }
    }

    /// Records the end of the worker's side of a connection. Returns the number of bytes that the worker had
    /// received before, or `None` if bytes for it were left, those included that can be read for it now.
    async fn end(&self, worker: &TcpStream) -> Option<u64> {
        self.ended.store(true, Ordering::Relaxed);
        let left = socket_state::unacknowledged(worker).unwrap_or(0);
        let is_reset = socket_state::is_reset(worker);
        let received = self.written.load(Ordering::Relaxed);
        for _ in 0..END_TURNS {
            smol::future::yield_now().await;
        }
        let is_whole = left == 0 && !is_reset && !self.unwritten.load(Ordering::Relaxed);
        is_whole.then_some(received)
    }
}

/// Counts one carried connection until it is dropped.
#[derive(Debug)]
struct CarryGuard(Carried);

impl Carried {
    /// Returns the number of connections.
    pub fn count(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    fn enter(&self) -> Option<CarryGuard> {
        let fits = |count| Some(count + 1).filter(|c| *c <= MAX_CARRIED);
        let (order, fetched) = (Ordering::Relaxed, Ordering::Relaxed);
        self.0.fetch_update(order, fetched, fits).ok()?;
        Some(CarryGuard(self.clone()))
    }
}

impl Drop for CarryGuard {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Reason why another instance opened no connection to a worker.
#[derive(Debug)]
pub enum OpenError {
    /// The other instance reaches workers, but not this one.
    Worker(io::Error),
    /// The other instance knows no such run of the worker that takes requests.
    Unlisted,
    /// The other instance is cut off too, or stops.
    CutOff,
    /// The other instance does not answer, or carries no connection.
    Instance(io::Error),
}

impl std::fmt::Display for OpenError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Worker(e) | Self::Instance(e) => e.fmt(f),
            Self::Unlisted => f.write_str("it knows no such worker"),
            Self::CutOff => f.write_str("it is cut off or stops"),
        }
    }
}

/// A connection to a worker through another instance.
#[derive(Debug)]
pub struct RelayedStream {
    stream: TcpStream,
    frame: Frame,
    /// Number of bytes that were written.
    written: u64,
    /// Set when the connection to the other instance broke, which says nothing about the worker.
    lost: Arc<AtomicBool>,
}

/// Position in the frames from the other instance.
#[derive(Debug, Clone, Copy)]
enum Frame {
    Length {
        bytes: [u8; LENGTH_BYTES],
        count: usize,
    },
    Data {
        left: usize,
    },
    /// The number of bytes that the worker had received.
    Received {
        bytes: [u8; COUNT_BYTES],
        count: usize,
    },
    End,
}

const NEXT_LENGTH: Frame = Frame::Length {
    bytes: [0; LENGTH_BYTES],
    count: 0,
};

impl RelayedStream {
    /// Opens a connection to a worker through another instance.
    ///
    /// # Errors
    ///
    /// Returns an `OpenError` that tells whether the other instance or the worker is at fault.
    pub async fn open(address: SocketAddr, worker: &Worker) -> Result<Self, OpenError> {
        let opened = within(ACCEPT_LIMIT, TcpStream::connect(address)).await;
        let mut stream = opened.map_err(OpenError::Instance)?;
        let exchange = async {
            stream.set_nodelay(true)?;
            stream.write_all(hello(address, worker)?.as_bytes()).await?;
            read_status(&mut stream).await
        };
        match within(OPEN_LIMIT, exchange).await {
            Ok(101) => Ok(Self {
                stream,
                frame: NEXT_LENGTH,
                written: 0,
                lost: Arc::default(),
            }),
            Ok(502) => Err(OpenError::Worker(aborted(
                "another instance cannot connect",
            ))),
            Ok(409) => Err(OpenError::Unlisted),
            Ok(503) => Err(OpenError::CutOff),
            Ok(status) => Err(OpenError::Instance(invalid(format!("status {status}")))),
            Err(e) => Err(OpenError::Instance(e)),
        }
    }

    /// Returns the flag that tells whether the other instance was lost.
    pub fn lost(&self) -> Arc<AtomicBool> {
        self.lost.clone()
    }

    fn record_written(&mut self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        match written {
            Poll::Ready(Ok(count)) => {
                self.written += count as u64;
                Poll::Ready(Ok(count))
            }
            written => written.map_err(|e| self.fail(e)),
        }
    }

    fn fail(&self, error: io::Error) -> io::Error {
        self.lost.store(true, Ordering::Relaxed);
        error
    }
}

/// Builds the head of the request to the other instance.
fn hello(address: SocketAddr, worker: &Worker) -> io::Result<String> {
    let id = header::HeaderValue::from_str(&worker.id).map_err(invalid)?;
    let id = id.to_str().map_err(invalid)?;
    let started = worker.started.map_or_else(String::new, |s| s.to_string());
    Ok(format!(
        "GET / HTTP/1.1\r\nhost: {address}\r\nconnection: upgrade\r\nupgrade: {PROTOCOL}\r\n\
         {WORKER}: {id}\r\n{STARTED}: {started}\r\n\r\n"
    ))
}

/// Reads the head of the other instance's answer, and no byte after it.
async fn read_status(stream: &mut TcpStream) -> io::Result<u16> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if head.len() >= MAX_HEAD_BYTES {
            return Err(invalid("the head of the answer is too long"));
        }
        stream.read_exact(&mut byte).await?;
        head.push(byte[0]);
    }
    let head = std::str::from_utf8(&head).map_err(invalid)?;
    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok());
    status.ok_or_else(|| invalid("the answer has no status"))
}

impl AsyncRead for RelayedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            match self.frame {
                Frame::End => return Poll::Ready(Ok(0)),
                Frame::Data { left } => {
                    let size = buffer.len().min(left);
                    let read = Pin::new(&mut self.stream).poll_read(context, &mut buffer[..size]);
                    let count = match ready!(read) {
                        Ok(0) => return Poll::Ready(Err(self.fail(gone()))),
                        Ok(count) => count,
                        Err(e) => return Poll::Ready(Err(self.fail(e))),
                    };
                    self.frame = match left - count {
                        0 => NEXT_LENGTH,
                        left => Frame::Data { left },
                    };
                    return Poll::Ready(Ok(count));
                }
                Frame::Received { mut bytes, count } => {
                    let rest = &mut bytes[count..];
                    let read = Pin::new(&mut self.stream).poll_read(context, rest);
                    let more = ready!(read);
                    self.frame = Frame::End;
                    match more {
                        // An earlier build does not tell the number.
                        Ok(0) if count == 0 => return Poll::Ready(Ok(0)),
                        Ok(0) => return Poll::Ready(Err(self.fail(gone()))),
                        Ok(more) if count + more < COUNT_BYTES => {
                            self.frame = Frame::Received {
                                bytes,
                                count: count + more,
                            };
                        }
                        Ok(_) if u64::from_be_bytes(bytes) < self.written => {
                            let reason = "the worker's connection ended within the request";
                            return Poll::Ready(Err(aborted(reason)));
                        }
                        Ok(_) => return Poll::Ready(Ok(0)),
                        // The other instance had bytes for the worker that it had not read.
                        Err(e) => return Poll::Ready(Err(aborted(e))),
                    }
                }
                Frame::Length { mut bytes, count } => {
                    let rest = &mut bytes[count..];
                    let read = Pin::new(&mut self.stream).poll_read(context, rest);
                    let count = match ready!(read) {
                        Ok(0) => return Poll::Ready(Err(self.fail(gone()))),
                        Ok(more) => count + more,
                        Err(e) => return Poll::Ready(Err(self.fail(e))),
                    };
                    self.frame = match u16::from_be_bytes(bytes) {
                        _ if count < LENGTH_BYTES => Frame::Length { bytes, count },
                        END => Frame::Received {
                            bytes: [0; COUNT_BYTES],
                            count: 0,
                        },
                        BREAK => {
                            self.frame = Frame::End;
                            return Poll::Ready(Err(aborted("the worker broke the connection")));
                        }
                        left => Frame::Data { left: left.into() },
                    };
                }
            }
        }
    }
}

fn gone() -> io::Error {
    aborted("the instance in between is gone")
}

impl AsyncWrite for RelayedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_written(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, bytes);
        self.record_written(written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}

/// Returns whether a request of another instance asks for a connection to a worker.
pub fn is_request(request: &Request<Incoming>) -> bool {
    let upgrade = request.headers().get(header::UPGRADE);
    upgrade.is_some_and(|u| u.as_bytes() == PROTOCOL.as_bytes())
}

/// Answers a request for a connection to a worker, and begins to carry it.
pub async fn answer(gateway: Arc<Gateway>, request: Request<Incoming>) -> Response<CallerBody> {
    match carry(&gateway, request).await {
        Ok(()) => {
            metrics::peer_call(metrics::PeerCall::Carry, true);
            let mut answer = Response::new(full_body(""));
            *answer.status_mut() = StatusCode::SWITCHING_PROTOCOLS;
            let headers = answer.headers_mut();
            headers.insert(
                header::CONNECTION,
                header::HeaderValue::from_static("upgrade"),
            );
            headers.insert(header::UPGRADE, header::HeaderValue::from_static(PROTOCOL));
            answer
        }
        Err((status, reason)) => {
            metrics::peer_call(metrics::PeerCall::Carry, false);
            event!(
                Info,
                RelayRefused,
                "status={} reason={reason:?}",
                status.as_u16()
            );
            text_answer(status, &reason, None)
        }
    }
}

async fn carry(
    gateway: &Arc<Gateway>,
    request: Request<Incoming>,
) -> Result<(), (StatusCode, String)> {
    let text = |name| request.headers().get(name).and_then(|v| v.to_str().ok());
    let id = text(WORKER).unwrap_or_default().into();
    let started = text(STARTED).and_then(|s| s.parse().ok());
    let dispatch = &gateway.dispatch;
    let known = dispatch.worker(&id).filter(|w| w.started == started);
    let Some(worker) = known.filter(|w| dispatch.holds(w)) else {
        let reason = "the worker takes no requests, as far as is known here";
        return Err((StatusCode::CONFLICT, reason.into()));
    };
    let refuse = |reason: &str| Err((StatusCode::SERVICE_UNAVAILABLE, reason.to_owned()));
    if gateway.drain.phase() != Phase::Running {
        return refuse("this instance stops");
    }
    if gateway.is_cut_off() {
        return refuse("this instance is cut off");
    }
    let Some(guard) = gateway.carried.enter() else {
        return Err((FULL, "too many connections are carried".into()));
    };
    let mut buffers = gateway.memory.hold();
    if buffers.set(2 * BUFFER_BYTES).is_err() {
        return Err((FULL, "too many bytes are held".into()));
    }
    let opened = within(CONNECT_LIMIT, TcpStream::connect(worker.address)).await;
    let target = opened.and_then(|s| s.set_nodelay(true).map(|()| s));
    let target = match target {
        Ok(target) => target,
        Err(_) if links::confirm_cut(gateway, Some(&worker.id)).await => {
            return refuse("this instance is cut off");
        }
        Err(e) => return Err((StatusCode::BAD_GATEWAY, e.to_string())),
    };
    let upgrade = hyper::upgrade::on(request);
    let gateway = gateway.clone();
    smol::spawn(async move {
        match upgrade.await {
            Ok(upgraded) => pass_on(&gateway, &worker.id, upgraded, target).await,
            Err(e) => log::debug!("an upgrade failed: {e}"),
        }
        drop((guard, buffers));
    })
    .detach();
    Ok(())
}

/// Passes on bytes in both directions until one of the ends is closed. The connection to the worker is
/// closed as soon as the first instance closes its own.
async fn pass_on(gateway: &Arc<Gateway>, worker: &WorkerId, upgraded: Upgraded, target: TcpStream) {
    let Ok(parts) = upgraded.downcast::<FuturesIo<FairStream>>() else {
        return;
    };
    let (from_caller, to_caller) = parts.io.into_inner().split();
    let (early, from_worker) = (parts.read_buf, target.clone());
    let upload = Upload::default();
    let forth = async {
        let (mut from, mut to) = (from_caller, target);
        upload.begin_write();
        let mut sent = to.write_all(&early).await.map(|()| early.len());
        let mut buffer = vec![0; BUFFER_BYTES];
        while let Ok(count) = sent {
            upload.finish_write(count);
            match from.read(&mut buffer).await {
                Ok(count @ 1..) => {
                    upload.begin_write();
                    sent = to.write_all(&buffer[..count]).await.map(|()| count);
                }
                Ok(0) | Err(_) => return,
            }
        }
        // What the worker sent before it closed its connection is still passed on.
        std::future::pending::<()>().await;
    };
    let back = async {
        let passed = pass_frames(gateway, worker, from_worker, to_caller, &upload);
        if let Err(e) = passed.await {
            log::debug!("a carried connection ended: {e}");
        }
    };
    smol::future::or(back, forth).await;
}

/// Passes on bytes from a worker in frames. An end that is due to the links of this instance is passed on
/// as the end of this instance, as it says nothing about the worker. An end within the upload is passed on as
/// a break: a failed write takes the error of a reset from the socket, whose next read then looks like a
/// clean end.
async fn pass_frames(
    gateway: &Arc<Gateway>,
    worker: &WorkerId,
    mut from: TcpStream,
    mut to: impl AsyncWrite + Unpin,
    upload: &Upload,
) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let read = from.read(&mut buffer[LENGTH_BYTES..]).await;
        let is_end = !matches!(read, Ok(1..));
        let received = match is_end {
            true => upload.end(&from).await,
            false => None,
        };
        if is_end && links::confirm_cut(gateway, Some(worker)).await {
            return Err(aborted("this instance is cut off"));
        }
        let (length, count) = match (read, received) {
            (Ok(0), Some(received)) => {
                let bytes = received.to_be_bytes();
                buffer[LENGTH_BYTES..][..COUNT_BYTES].copy_from_slice(&bytes);
                (END, COUNT_BYTES)
            }
            (Ok(0), None) | (Err(_), _) => (BREAK, 0),
            (Ok(count), _) => (count as u16, count),
        };
        buffer[..LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
        to.write_all(&buffer[..LENGTH_BYTES + count]).await?;
        to.flush().await?;
        if is_end {
            return to.close().await;
        }
    }
}
