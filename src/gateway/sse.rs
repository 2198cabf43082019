//! Splits the event streams of workers (server-sent events) into whole events.

use std::{io, time::Duration};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::{Response, body::Incoming};

use super::{connection, liveness::Responder, memory::Held};

/// Maximum size of an event; the output of an item with a longer one would fit no object of the
/// store.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Buffers bytes of an event stream and splits them into events.
#[derive(Debug, Default)]
pub struct Splitter {
    partial: BytesMut,
    /// Number of bytes in which no event ends.
    searched: usize,
}

/// A whole event, including the blank line that ends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// The event as it was received.
    pub bytes: Bytes,
    /// Number of the event, if it has one.
    pub id: Option<u64>,
}

/// Events of a worker's answer.
#[derive(Debug)]
pub struct Events {
    body: Incoming,
    responder: Responder,
    splitter: Splitter,
    start: Start,
    /// Whether the end of the body differs from the end of its connection.
    framed: bool,
    /// Whether the body has been read to its end.
    ended: bool,
    /// The next event, or the end, if it was read ahead.
    ahead: Option<Option<Event>>,
    held: Held,
}

/// What an answer has to show before its events are used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Start {
    /// Nothing.
    Free,
    /// A numbered event after the one that it resumes after, or an end without any further event
    /// that is more than the end of the connection.
    Resumed,
}

impl Events {
    /// Builds a reader of the events of an answer, which may have to resume a stream.
    pub fn of(answer: Response<Incoming>, resumes: bool, responder: Responder) -> Response<Self> {
        let framed = connection::is_framed(&answer);
        let held = responder.gateway.memory.hold();
        answer.map(|body| Self {
            body,
            responder,
            splitter: Splitter::default(),
            start: if resumes { Start::Resumed } else { Start::Free },
            framed,
            ended: false,
            ahead: None,
            held,
        })
    }

    /// Returns whether the end of the body differs from the end of its connection.
    pub fn is_framed(&self) -> bool {
        self.framed
    }

    /// Reads the body, of which nothing may have been read, as a whole of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Returns the errors of `connection::read_held` and `Responder::confirm_end`.
    pub async fn read_whole(self, limit: usize) -> io::Result<Bytes> {
        let memory = &self.responder.gateway.memory;
        let bytes = connection::read_held(self.body, limit, memory).await?;
        if !self.framed {
            self.responder.confirm_end().await?;
        }
        Ok(bytes)
    }

    /// Returns the next event after the one with a number, or `None` at the end of the stream.
    ///
    /// Only a whole new event counts as progress. Single bytes or repeated events do not extend
    /// `limit`.
    ///
    /// # Errors
    ///
    /// Returns an error when the stream breaks, ends inside an event, sends an event that is too
    /// long or has no further event within `limit`, and when an answer that resumes a stream begins
    /// with something else than its next event.
    pub async fn next(&mut self, after: Option<u64>, limit: Duration) -> io::Result<Option<Event>> {
        if let Some(event) = self.ahead.take() {
            return Ok(event);
        }
        match connection::within(limit, self.read_next(after)).await? {
            Some(event) => Ok(Some(event)),
            None => self.end().await,
        }
    }

    /// Reads the next event, which `next` then returns. An event that is not read within `limit` is
    /// left to `next`.
    ///
    /// # Errors
    ///
    /// Returns the errors of `next`, except for the timeout.
    pub async fn read_ahead(&mut self, after: Option<u64>, limit: Duration) -> io::Result<()> {
        match self.next(after, limit).await {
            Ok(event) => {
                self.ahead = Some(event);
                Ok(())
            }
            Err(e) if e.kind() == io::ErrorKind::TimedOut => Ok(()),
            Err(e) => Err(e),
        }
    }

    /// Returns the next event, or `None` at the end of the body.
    async fn read_next(&mut self, after: Option<u64>) -> io::Result<Option<Event>> {
        loop {
            while let Some(event) = self.splitter.pop() {
                if event.id > after {
                    self.start = Start::Free;
                    return Ok(Some(event));
                }
                match self.start {
                    _ if event.id.is_some() => {}
                    Start::Free => return Ok(Some(event)),
                    Start::Resumed if event.is_comment() => {}
                    Start::Resumed => {
                        return Err(connection::invalid("the answer does not resume the stream"));
                    }
                }
            }
            self.held.set(self.splitter.capacity())?;
            if self.splitter.len() > MAX_EVENT_BYTES {
                return Err(connection::invalid("an event is too long"));
            }
            if self.ended {
                return Ok(None);
            }
            match self.body.frame().await.transpose() {
                Ok(Some(frame)) => {
                    if let Some(data) = frame.data_ref() {
                        self.splitter.push(data);
                    }
                }
                Ok(None) => self.ended = true,
                Err(e) => return Err(connection::aborted(e)),
            }
        }
    }

    /// Returns the end of the stream if nothing is missing.
    async fn end(&self) -> io::Result<Option<Event>> {
        if !self.splitter.is_empty() {
            let reason = "the stream ended inside an event";
            return Err(if self.framed {
                connection::invalid(reason)
            } else {
                connection::aborted(reason)
            });
        }
        if self.framed {
            return Ok(None);
        }
        self.responder.confirm_end().await?;
        match self.start {
            Start::Free => Ok(None),
            Start::Resumed => Err(connection::invalid(NoFurtherEvent)),
        }
    }
}

/// Error for an answer that resumes a stream, has no event and ends with its connection at a worker that is
/// running. The stream may be complete, or the worker may have failed.
#[derive(Debug)]
pub struct NoFurtherEvent;

impl std::fmt::Display for NoFurtherEvent {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the connection ended without an event")
    }
}

impl std::error::Error for NoFurtherEvent {}

impl NoFurtherEvent {
    /// Returns whether an error is of this type.
    pub fn is(error: &io::Error) -> bool {
        error.get_ref().is_some_and(|e| e.is::<Self>())
    }
}

impl Splitter {
    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.partial.extend_from_slice(bytes);
    }

    /// Returns the next whole event, if there is one.
    pub fn pop(&mut self) -> Option<Event> {
        let end = self.find_end()?;
        self.searched = 0;
        let bytes = self.partial.split_to(end).freeze();
        let id = field(&bytes, b"id:").and_then(|v| std::str::from_utf8(v).ok()?.parse().ok());
        Some(Event { bytes, id })
    }

    /// Returns the length of the first event, including its blank line. Bytes that were searched are not
    /// searched again, as an event may come in any number of parts.
    fn find_end(&mut self) -> Option<usize> {
        while let Some(at) = find_newline(&self.partial[self.searched..]) {
            self.searched += at;
            match &self.partial[self.searched + 1..] {
                [b'\n', ..] => return Some(self.searched + 2),
                [b'\r', b'\n', ..] => return Some(self.searched + 3),
                [] | [b'\r'] => return None,
                _ => self.searched += 1,
            }
        }
        self.searched = self.partial.len();
        None
    }

    /// Returns the number of buffered bytes.
    pub fn len(&self) -> usize {
        self.partial.len()
    }

    /// Returns the number of bytes that the buffer takes.
    pub fn capacity(&self) -> usize {
        self.partial.capacity()
    }

    /// Returns whether no partial event is buffered.
    pub fn is_empty(&self) -> bool {
        self.partial.is_empty()
    }
}

impl Event {
    /// Returns the data of the event; multiple data lines are joined by line feeds.
    pub fn data(&self) -> Vec<u8> {
        let lines = lines(&self.bytes).filter_map(|l| l.strip_prefix(b"data:"));
        let values: Vec<&[u8]> = lines.map(|v| v.strip_prefix(b" ").unwrap_or(v)).collect();
        values.join(&b'\n')
    }

    /// Returns whether the event holds comments only.
    pub fn is_comment(&self) -> bool {
        lines(&self.bytes).all(|l| l.is_empty() || l.starts_with(b":"))
    }
}

fn field<'a>(event: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = lines(event).find_map(|l| l.strip_prefix(name))?;
    Some(value.trim_ascii())
}

fn lines(event: &[u8]) -> impl Iterator<Item = &[u8]> {
    let lines = event.split(|b| *b == b'\n');
    lines.map(|l| l.strip_suffix(b"\r").unwrap_or(l))
}

fn find_newline(bytes: &[u8]) -> Option<usize> {
    bytes.iter().position(|b| *b == b'\n')
}
