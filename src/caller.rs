//! Connections of callers with bounds on time: a caller that sends its request too slowly, does
//! not read its answer, or leaves a connection unused is closed.

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

/// Time that a connection may stay open without a request.
const IDLE: Duration = Duration::from_secs(60);
/// End of a request head.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// Start of an interim response, after which the request goes on.
const INTERIM: &[u8] = b"HTTP/1.1 100";
/// Bytes that a caller may send beyond a body of the greatest size before it gets an answer.
const SURPLUS_BYTES: usize = 1 << 20;

/// Puts bounds on the connections that a server accepts.
#[derive(Debug, Clone)]
pub struct CallerBounds {
    read: Duration,
    write: Duration,
    bytes: usize,
}

/// A connection of a caller.
#[derive(Debug)]
pub struct CallerConn<T> {
    inner: T,
    bounds: CallerBounds,
    phase: Phase,
    /// Bytes at the end of what was read that may begin the end of the head.
    matched: usize,
    received: usize,
    read_by: Option<Timer>,
    write_by: Option<Timer>,
}

/// Phase of a connection, as far as reading goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// No request has begun.
    Idle,
    /// The head of a request arrives.
    Head,
    /// The head is whole. The handler bounds the time of the body.
    Request,
}

impl CallerBounds {
    /// Takes the bounds from the settings.
    pub fn new(settings: &Settings) -> Self {
        Self {
            read: settings.timeouts.request_read,
            write: settings.timeouts.caller_write,
            bytes: settings.limits.body.max(settings.limits.batch) + SURPLUS_BYTES,
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
            read_by: None,
            write_by: None,
        })
    }

    fn is_secure(&self) -> bool {
        false
    }
}

impl<T> CallerConn<T> {
    /// Takes bytes that arrived.
    ///
    /// # Errors
    ///
    /// Fails when the caller sends more than any request may have before it gets an answer.
    fn received(&mut self, bytes: &[u8]) -> io::Result<()> {
        if self.phase == Phase::Idle {
            self.phase = Phase::Head;
            self.matched = 0;
            self.received = 0;
            self.read_by = Some(Timer::after(self.bounds.read));
        }
        self.received += bytes.len();
        if self.received > self.bounds.bytes {
            return Err(ErrorKind::InvalidData.into());
        }
        if self.phase == Phase::Head && self.ends_head(bytes) {
            self.phase = Phase::Request;
            self.read_by = None;
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

    fn sent(&mut self, bytes: &[u8]) {
        self.write_by = None;
        if !bytes.starts_with(INTERIM) {
            self.phase = Phase::Idle;
            self.read_by = None;
        }
    }

    /// Fails when the read took too long.
    fn check_read(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        if self.phase == Phase::Idle && self.read_by.is_none() {
            self.read_by = Some(Timer::after(IDLE));
        }
        check(&mut self.read_by, cx)
    }

    /// Fails when the write took too long.
    fn check_write(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        let limit = self.bounds.write;
        self.write_by.get_or_insert_with(|| Timer::after(limit));
        check(&mut self.write_by, cx)
    }
}

fn check(timer: &mut Option<Timer>, cx: &mut Context<'_>) -> io::Result<()> {
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
                    self.received(&buf[..count])?;
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
                self.sent(&buf[..count]);
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
