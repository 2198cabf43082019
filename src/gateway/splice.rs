//! Decides whether the answer of another worker may continue a broken stream (no I/O).

use std::sync::Arc;

use hyper::{HeaderMap, Response, StatusCode, header};

/// What the answers that make up one stream have in common.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Form {
    status: StatusCode,
    media_type: Option<Arc<str>>,
}

impl Form {
    /// Returns the form of an answer.
    pub fn of<B>(answer: &Response<B>) -> Self {
        Self {
            status: answer.status(),
            media_type: media_type(answer.headers()),
        }
    }

    /// Returns whether an answer of this form is a stream of events. An answer that states no type
    /// may be one.
    pub fn is_stream(&self) -> bool {
        let is_events = |t: &Arc<str>| &**t == "text/event-stream";
        self.status == StatusCode::OK && self.media_type.as_ref().is_none_or(is_events)
    }
}

fn media_type(headers: &HeaderMap) -> Option<Arc<str>> {
    let value = headers.get(header::CONTENT_TYPE)?.to_str().ok()?;
    let essence = value.split(';').next().unwrap_or_default();
    Some(essence.trim().to_ascii_lowercase().into())
}
