//! Reassembly of an engine stream from numbered events.

use std::sync::Arc;

use serde::Deserialize;

use crate::ids::RequestId;

/// One event of an engine stream.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct Frame {
    /// Stream that the event belongs to.
    pub stream: RequestId,
    /// Position in the stream, from 0.
    pub seq: u64,
    /// Text of the event.
    #[serde(default)]
    pub text: Arc<str>,
    /// Whether the stream is complete with this event.
    #[serde(default)]
    pub done: bool,
    /// Why the engine ended the stream, on the last event.
    #[serde(default)]
    pub finish: Option<Arc<str>>,
    /// Number of generated tokens, on the last event.
    #[serde(default)]
    pub tokens: u64,
}

/// What to do with an event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Forward this text.
    Forward(Arc<str>),
    /// The stream is whole.
    Complete(End),
    /// Ignore the event: it was forwarded before.
    Duplicate,
    /// Events are missing, or the event belongs to another stream: resume from the next number.
    Broken,
}

/// End of a whole stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct End {
    /// Why the engine ended the stream.
    pub finish: Arc<str>,
    /// Number of generated tokens.
    pub tokens: u64,
}

/// Position in one engine stream. Only the next event of its own stream is forwarded.
#[derive(Debug, Clone)]
pub struct Reassembly {
    stream: RequestId,
    next: u64,
}

impl Reassembly {
    /// Starts at the given position of a stream.
    pub fn new(stream: RequestId, next: u64) -> Self {
        Self { stream, next }
    }

    /// Returns the position of the next event.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Takes an event and says what to do with it.
    pub fn accept(&mut self, frame: Frame) -> Step {
        if frame.stream != self.stream || frame.seq > self.next {
            return Step::Broken;
        }
        if frame.seq < self.next {
            return Step::Duplicate;
        }
        self.next += 1;
        if frame.done {
            return Step::Complete(End {
                finish: frame.finish.unwrap_or_else(|| "stop".into()),
                tokens: frame.tokens,
            });
        }
        Step::Forward(frame.text)
    }
}
