//! Reassembly of engine streams from numbered events.

use std::sync::Arc;

use serde::Deserialize;

use crate::ids::RequestId;

/// One event of an engine stream.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct Frame {
    /// Id of the stream.
    pub stream: RequestId,
    /// Position in the stream, starting at 0.
    pub seq: u64,
    /// Text of the event.
    #[serde(default)]
    pub text: Arc<str>,
    /// Whether this is the last event.
    #[serde(default)]
    pub done: bool,
    /// Finish reason, on the last event.
    #[serde(default)]
    pub finish: Option<Arc<str>>,
    /// Number of generated tokens, on the last event.
    #[serde(default)]
    pub tokens: u64,
}

/// How to handle an event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Forward this text.
    Forward(Arc<str>),
    /// The stream is complete.
    Complete(End),
    /// Ignore the event, because it was forwarded before.
    Duplicate,
    /// Resume from the next position, because events are missing or the event belongs to another
    /// stream.
    Broken,
}

/// End of a complete stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct End {
    /// Finish reason.
    pub finish: Arc<str>,
    /// Number of generated tokens.
    pub tokens: u64,
}

/// Position in one engine stream. Only the next event of that stream is forwarded.
#[derive(Debug, Clone)]
pub struct Reassembly {
    stream: RequestId,
    next: u64,
}

impl Reassembly {
    /// Starts at a position of a stream.
    pub fn new(stream: RequestId, next: u64) -> Self {
        Self { stream, next }
    }

    /// Returns the position of the next event.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Processes an event and returns how to handle it.
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
