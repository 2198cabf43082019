//! Splits the event streams of workers (server-sent events) into whole events.

use std::{io, time::Duration};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::{Response, body::Incoming};

use super::{connection, liveness::Responder, memory::Held, splice::Form};

/// Maximum size of an event; the output of an item with a longer one would fit no object of the
/// store.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Fields of an event that may stand in a line without a colon, with an empty value.
const BARE_FIELDS: [&[u8]; 4] = [b"data", b"event", b"id", b"retry"];
/// Reason why an answer without any event is not used.
pub const NO_EVENT: &str = "the answer holds no event";

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

/// What an answer sends next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Next {
    /// An event.
    Event(Event),
    /// Its end.
    End(End),
}

/// End of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// A length or the last chunk shows that the answer is whole.
    Framed,
    /// The connection ended, so that the answer may lack events.
    Connection,
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
    /// Whether an event came whose number does not follow.
    skipped: bool,
    /// Number of the last event that came, also of a repeated one.
    latest: Option<u64>,
    /// Whether the body has been read to its end.
    ended: bool,
    /// The next event, or the end, if it was read ahead.
    ahead: Option<Next>,
    held: Held,
}

/// What an answer has to show before its events, or its end, are used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Start {
    /// An event that is no comment, as each generation has one.
    Fresh,
    /// Nothing.
    Free,
    /// A numbered event after the one that it resumes after, or an end without any further event.
    Resumed,
}

impl Events {
    /// Builds a reader of the events of an answer to a request that resumes after an event, if any.
    /// `is_begun` tells whether the caller has a part of the stream.
    pub fn of(
        answer: Response<Incoming>,
        after: Option<u64>,
        is_begun: bool,
        responder: Responder,
    ) -> Response<Self> {
        let start = match after {
            None if Form::of(&answer).is_stream() => Start::Fresh,
            None => Start::Free,
            Some(_) if is_begun => Start::Resumed,
            Some(_) => Start::Free,
        };
        let framed = connection::is_framed(&answer);
        let held = responder.gateway.memory.hold();
        answer.map(|body| Self {
            body,
            responder,
            splitter: Splitter::default(),
            start,
            framed,
            skipped: false,
            latest: None,
            ended: false,
            ahead: None,
            held,
        })
    }

    /// Returns whether the end of the body differs from the end of its connection.
    pub fn is_framed(&self) -> bool {
        self.framed
    }

    /// Returns the worker that sends the answer.
    pub fn responder(&self) -> &Responder {
        &self.responder
    }

    /// Returns whether the answer has to have an event and has none so far. Such an answer is not whole,
    /// however it ends.
    pub fn lacks_event(&self) -> bool {
        self.start == Start::Fresh
    }

    /// Returns whether the worker sent an event whose number does not follow, so that events before it are
    /// missing.
    pub fn has_skipped(&self) -> bool {
        self.skipped
    }

    /// Returns whether the end of the connection was read ahead, without an event before it.
    pub fn is_empty_end(&self) -> bool {
        self.ahead == Some(Next::End(End::Connection))
    }

    /// Reads the body, of which nothing may have been read, as a whole of at most `limit` bytes. Unless
    /// it is framed, it may be incomplete.
    ///
    /// # Errors
    ///
    /// Returns the errors of `connection::read_held`.
    pub async fn read_whole(self, limit: usize) -> io::Result<Bytes> {
        let memory = &self.responder.gateway.memory;
        connection::read_held(self.body, limit, memory).await
    }

    /// Returns the next event after the one with a number, or the end of the stream.
    ///
    /// The number of an event has to be the one after `after`, if there is one, as any worker resumes
    /// there; lower ones are repeated and left out. An event that skips some shows that the worker lost
    /// them. Only a whole new event counts as progress. Single bytes or repeated events do not extend
    /// `limit`.
    ///
    /// # Errors
    ///
    /// Returns an error when the stream breaks, ends inside an event, after a repeated one, or with a mark
    /// but without any event, sends an event that is malformed, too long or skips others, or has no further event within
    /// `limit`, and when an answer that resumes a stream begins with something else than its next event.
    pub async fn next(&mut self, after: Option<u64>, limit: Duration) -> io::Result<Next> {
        if let Some(next) = self.ahead.take() {
            return Ok(next);
        }
        match connection::within(limit, self.read_next(after)).await? {
            Some(event) => Ok(Next::Event(event)),
            None => self.end(after).map(Next::End),
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
            Ok(next) => {
                self.ahead = Some(next);
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
                // A damaged head may make the sizes of chunks part of the body.
                if !event.is_well_formed() {
                    return Err(connection::invalid("a line of an event is no field"));
                }
                if let (Some(id), Some(last)) = (event.id, after)
                    && id > last.saturating_add(1)
                {
                    self.skipped = true;
                    let reason = format!("the worker sent event {id} after event {last}");
                    return Err(connection::invalid(reason));
                }
                self.latest = event.id.or(self.latest);
                if event.id > after {
                    self.start = Start::Free;
                    return Ok(Some(event));
                }
                match self.start {
                    _ if event.id.is_some() => {}
                    Start::Fresh if !event.is_comment() => {
                        self.start = Start::Free;
                        return Ok(Some(event));
                    }
                    Start::Fresh | Start::Free => return Ok(Some(event)),
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

    /// Returns the end of the stream, unless it is inside an event or after a repeated one, as an answer
    /// that repeats events has to go on to the end.
    fn end(&self, after: Option<u64>) -> io::Result<End> {
        if let (Some(latest), Some(last)) = (self.latest, after)
            && latest < last
        {
            let reason = format!("the answer ended with event {latest} after event {last}");
            return Err(connection::invalid(reason));
        }
        let reason = "the stream ended inside an event";
        match (self.splitter.is_empty(), self.framed) {
            (true, true) if self.lacks_event() => Err(connection::invalid(NO_EVENT)),
            (true, true) => Ok(End::Framed),
            (true, false) => Ok(End::Connection),
            (false, true) => Err(connection::invalid(reason)),
            (false, false) => Err(connection::aborted(reason)),
        }
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

    /// Returns whether each line is a field or a comment.
    pub fn is_well_formed(&self) -> bool {
        let is_field = |l: &[u8]| l.is_empty() || l.contains(&b':') || BARE_FIELDS.contains(&l);
        lines(&self.bytes).all(is_field)
    }

    /// Returns whether the event holds comments only.
    pub fn is_comment(&self) -> bool {
        lines(&self.bytes).all(|l| l.is_empty() || l.starts_with(b":"))
    }
}

/// Returns whether a body holds an event that is no comment, or a part of one.
pub fn has_event(body: &[u8]) -> bool {
    lines(body).any(|l| !l.is_empty() && !l.starts_with(b":"))
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
