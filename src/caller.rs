//! Connections of callers with time limits. A connection is closed when the caller sends its
//! request too slowly, does not read its answer, or leaves the connection idle.

use std::{
    convert::Infallible,
    io::{self, ErrorKind},
    net::SocketAddr,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use async_io::Timer;
use futures::{AsyncRead, AsyncWrite, Future};
use trillium_server_common::{Acceptor, Transport};

use crate::settings::Settings;

/// Maximum time that a connection may stay open without a request.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Bytes that end a request head.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// Start of an interim response, after which the request continues.
const INTERIM: &[u8] = b"HTTP/1.1 100";
/// Number of bytes that a caller may send beyond the maximum body size before it gets an answer.
const SURPLUS_BYTES: usize = 1 << 20;

/// Limits on the connections that a server accepts.
#[derive(Debug, Clone)]
pub struct CallerBounds {
    read_timeout: Duration,
    write_timeout: Duration,
    max_bytes: usize,
}

/// A connection of a caller.
#[derive(Debug)]
pub struct CallerConn<T> {
    inner: T,
    bounds: CallerBounds,
    phase: Phase,
    /// Number of bytes of [`HEAD_END`] that the bytes read so far end with.
    matched: usize,
    received: usize,
    read_timer: Option<Timer>,
    write_timer: Option<Timer>,
}

/// Read phase of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// No request has started.
    Idle,
    /// The head of a request is being read.
    Head,
    /// The head is complete. The handler limits the time to read the body.
    Request,
}

impl CallerBounds {
    /// Reads the limits from the settings.
    pub fn new(settings: &Settings) -> Self {
        Self {
            read_timeout: settings.timeouts.request_read,
            write_timeout: settings.timeouts.caller_write,
            max_bytes: settings.limits.body.max(settings.limits.batch) + SURPLUS_BYTES,
        }
    }
}

impl<T: Transport> Acceptor<T> for CallerBounds {
    type Output = CallerConn<T>;
    type Error = Infallible;

    async fn accept(&self, input: T) -> Result<CallerConn<T>, Infallible> {
        Ok(CallerConn {
            inner: input,
            bounds: self.clone(),
            phase: Phase::Idle,
            matched: 0,
            received: 0,
            read_timer: None,
            write_timer: None,
        })
    }

    fn is_secure(&self) -> bool {
        false
    }
}

impl<T> CallerConn<T> {
    /// Handles bytes that were read.
    ///
    /// # Errors
    ///
    /// Fails when the caller sends more than the maximum size of a request before it gets an
    /// answer.
    fn on_read(&mut self, bytes: &[u8]) -> io::Result<()> {
        if self.phase == Phase::Idle {
            self.phase = Phase::Head;
            self.matched = 0;
            self.received = 0;
            self.read_timer = Some(Timer::after(self.bounds.read_timeout));
        }
        self.received += bytes.len();
        if self.received > self.bounds.max_bytes {
            return Err(ErrorKind::InvalidData.into());
        }
        if self.phase == Phase::Head && self.ends_head(bytes) {
            self.phase = Phase::Request;
            self.read_timer = None;
        }
        Ok(())
    }

    fn ends_head(&mut self, bytes: &[u8]) -> bool {
        for &byte in bytes {
            if byte == HEAD_END[self.matched] {
                self.matched += 1;
            } else {
                self.matched = usize::from(byte == HEAD_END[0]);
            }
            if self.matched == HEAD_END.len() {
                return true;
            }
        }
        false
    }

    fn on_write(&mut self, bytes: &[u8]) {
        self.write_timer = None;
        if !bytes.starts_with(INTERIM) {
            self.phase = Phase::Idle;
            self.read_timer = None;
        }
    }

    /// Fails when the read timed out.
    fn check_read(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        if self.phase == Phase::Idle && self.read_timer.is_none() {
            self.read_timer = Some(Timer::after(IDLE_TIMEOUT));
        }
        check_timer(&mut self.read_timer, cx)
    }

    /// Fails when the write timed out.
    fn check_write(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        let limit = self.bounds.write_timeout;
        self.write_timer.get_or_insert_with(|| Timer::after(limit));
        check_timer(&mut self.write_timer, cx)
    }
}

fn check_timer(timer: &mut Option<Timer>, cx: &mut Context<'_>) -> io::Result<()> {
    match timer.as_mut().map(|t| Pin::new(t).poll(cx)) {
        Some(Poll::Ready(_)) => Err(ErrorKind::TimedOut.into()),
        Some(Poll::Pending) | None => Ok(()),
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for CallerConn<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        match Pin::new(&mut self.inner).poll_read(cx, buf) {
            Poll::Ready(Ok(count)) => {
                if count > 0 {
                    self.on_read(&buf[..count])?;
                }
                Poll::Ready(Ok(count))
            }
            Poll::Ready(Err(e)) => Poll::Ready(Err(e)),
            Poll::Pending => {
                self.check_read(cx)?;
                Poll::Pending
            }
        }
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for CallerConn<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        match Pin::new(&mut self.inner).poll_write(cx, buf) {
            Poll::Ready(Ok(count)) => {
                self.on_write(&buf[..count]);
                Poll::Ready(Ok(count))
            }
            Poll::Ready(Err(e)) => Poll::Ready(Err(e)),
            Poll::Pending => {
                self.check_write(cx)?;
                Poll::Pending
            }
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(cx)
    }
}

impl<T: Transport> Transport for CallerConn<T> {
    fn set_linger(&mut self, linger: Option<Duration>) -> io::Result<()> {
        self.inner.set_linger(linger)
    }

    fn set_nodelay(&mut self, nodelay: bool) -> io::Result<()> {
        self.inner.set_nodelay(nodelay)
    }

    fn set_ip_ttl(&mut self, ttl: u32) -> io::Result<()> {
        self.inner.set_ip_ttl(ttl)
    }

    fn peer_addr(&self) -> io::Result<Option<SocketAddr>> {
        self.inner.peer_addr()
    }
}
