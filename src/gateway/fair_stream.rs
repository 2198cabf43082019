//! TCP stream that leaves the thread to other tasks and bounds the bytes before the head of an answer
//! and in the buffers of its connection.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll, ready},
    time::Instant,
};

use futures::{AsyncRead, AsyncWrite};
use smol::net::TcpStream;

use super::{
    connection::BUFFER_BYTES, links::LastHeard, memory::Held, relayed::RelayedStream, socket_state,
    write_gate::WriteGate,
};

/// Bytes that are read in a row before other tasks get their turn. Neither hyper nor the executor makes
/// a task yield whose socket always has something to read.
const TURN_BYTES: usize = 64 << 10;
/// Bytes that a read counts at least, for a peer that sends single bytes.
const MIN_READ: usize = 1 << 10;
/// Maximum size of the heads of an answer, the interim ones included.
const MAX_HEAD_BYTES: usize = 128 << 10;

/// Bytes that are read at once while no more can be held. hyper's buffer of a connection stays at its
/// first size, 8 KiB, as long as no read fills it.
const SMALL_READ: usize = (8 << 10) - 1;
/// Bytes in the buffers of a connection that grew: what hyper reads, passes on and has passed on.
const GROWN_BYTES: usize = 3 * BUFFER_BYTES;

/// Number of bytes that were received since a request was sent, while its answer has not begun.
#[derive(Debug, Clone)]
pub struct HeadBytes(Arc<AtomicUsize>);

/// Value of a counter that is off.
const OFF: usize = usize::MAX;

impl Default for HeadBytes {
    fn default() -> Self {
        Self(Arc::new(AtomicUsize::new(OFF)))
    }
}

impl HeadBytes {
    /// Counts from now on.
    pub fn start(&self) {
        self.0.store(0, Ordering::Relaxed);
    }

    /// Stops counting, as the head has been received.
    pub fn stop(&self) {
        self.0.store(OFF, Ordering::Relaxed);
    }

    fn add(&self, count: usize) -> io::Result<()> {
        let known = self.0.load(Ordering::Relaxed);
        if known == OFF {
            return Ok(());
        }
        let sum = known.saturating_add(count);
        if sum > MAX_HEAD_BYTES {
            return Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "the head of the answer is too long",
            ));
        }
        self.0.store(sum, Ordering::Relaxed);
        Ok(())
    }
}

/// What carries the bytes of a connection.
#[derive(Debug)]
pub enum Wire {
    /// A connection to the peer itself.
    Direct(TcpStream),
    /// A connection to a worker through another instance.
    Relayed(RelayedStream),
}

impl From<TcpStream> for Wire {
    fn from(stream: TcpStream) -> Self {
        Self::Direct(stream)
    }
}

impl Wire {
    /// Returns whether the end of the stream came before its peer had received all that was written, as
    /// far as is known.
    fn ended_early(&self) -> bool {
        match self {
            Self::Direct(stream) => {
                socket_state::is_reset(stream)
                    || socket_state::unacknowledged(stream).is_ok_and(|left| left > 0)
            }
            // Its end is an error then.
            Self::Relayed(_) => false,
        }
    }
}

/// Calls a poll function of the stream in a `Wire`.
macro_rules! poll_wire {
    ($wire:expr, $poll:ident, $($arg:expr),+) => {
        match $wire {
            Wire::Direct(stream) => Pin::new(stream).$poll($($arg),+),
            Wire::Relayed(stream) => Pin::new(stream).$poll($($arg),+),
        }
    };
}

/// A stream of which a task reads a limited number of bytes in a row.
#[derive(Debug)]
pub struct FairStream {
    wire: Wire,
    turn: usize,
    head: HeadBytes,
    gate: WriteGate,
    /// Buffers of the connection, if they are bounded.
    buffers: Option<Held>,
    /// Records that bytes came, if this is a direct connection to a worker.
    heard: Option<LastHeard>,
    /// Whether the last write failed or left bytes, so that the peer has only a part of a request.
    unwritten: bool,
    /// Whether the end of the stream is an error while the peer lacks bytes.
    whole_requests: bool,
}

impl FairStream {
    /// Wraps a stream, counts the bytes that it receives, and passes a gate before it sends any. With
    /// `buffers`, the buffers of its connection grow only as far as they can be held.
    pub fn new(
        wire: impl Into<Wire>,
        head: HeadBytes,
        gate: WriteGate,
        buffers: Option<Held>,
    ) -> Self {
        Self {
            wire: wire.into(),
            turn: 0,
            head,
            gate,
            buffers,
            heard: None,
            unwritten: false,
            whole_requests: false,
        }
    }

    /// Makes the end of the stream an error while a request is not written, or is in the buffers of the
    /// kernel. A failed write takes the error of a reset from the socket, whose next read then looks like a
    /// clean end.
    pub fn with_whole_requests(mut self) -> Self {
        self.whole_requests = true;
        self
    }

    /// Records in `heard` that bytes came.
    pub fn with_heard(mut self, heard: Option<LastHeard>) -> Self {
        self.heard = heard;
        self
    }

    /// Returns the number of bytes that may be read at once.
    fn max_read(&self) -> usize {
        match &self.buffers {
            Some(held) if held.count() == 0 => SMALL_READ,
            _ => usize::MAX,
        }
    }

    /// Lets the buffers grow after a read that was as large as it may be, if they can be held.
    fn record_read(&mut self, count: usize) {
        let Some(held) = &mut self.buffers else {
            return;
        };
        if count < SMALL_READ {
            held.shrink(0);
        } else if held.count() == 0 && held.set(GROWN_BYTES).is_err() {
            log::debug!("a connection reads on in small parts");
        }
    }

    /// Records whether a write of `size` bytes left some. The writer offers all bytes that it has.
    fn record_written(&mut self, written: &Poll<io::Result<usize>>, size: usize) {
        self.unwritten = !matches!(written, Poll::Ready(Ok(count)) if *count == size);
    }
}

impl AsyncRead for FairStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.turn >= TURN_BYTES {
            self.turn = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let size = buffer.len().min(self.max_read());
        let read = poll_wire!(&mut self.wire, poll_read, context, &mut buffer[..size]);
        if read.is_pending() {
            self.turn = 0;
        }
        let count = ready!(read)?;
        if let Some(heard) = self.heard.as_ref().filter(|_| count > 0) {
            heard.record();
        }
        let is_end = count == 0 && size > 0;
        if is_end && self.whole_requests && (self.unwritten || self.wire.ended_early()) {
            return Poll::Ready(Err(io::Error::new(
                io::ErrorKind::ConnectionReset,
                "the connection ended before the request was received",
            )));
        }
        self.turn += count.max(MIN_READ);
        self.record_read(count);
        self.head.add(count)?;
        Poll::Ready(Ok(count))
    }
}

impl AsyncWrite for FairStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.gate.pass(Instant::now())?;
        let written = poll_wire!(&mut self.wire, poll_write, context, bytes);
        self.record_written(&written, bytes.len());
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.gate.pass(Instant::now())?;
        let written = poll_wire!(&mut self.wire, poll_write_vectored, context, bytes);
        self.record_written(&written, bytes.iter().map(|b| b.len()).sum());
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        poll_wire!(&mut self.wire, poll_flush, context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        poll_wire!(&mut self.wire, poll_close, context)
    }
}
