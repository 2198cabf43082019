//! Decides what the head of a worker's answer proves about a request (no I/O).

use hyper::StatusCode;

use crate::{adapter::headers::AnswerTerms, ids::RequestId};

/// What the head of a worker's answer proves about a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Head {
    /// The worker has not run the request and will not.
    NotRun,
    /// The worker sends the result of the request.
    Success,
    /// The worker ran the request and failed.
    Failed,
    /// The answer proves nothing, so the request may have run; the text is the reason.
    Invalid(String),
}

/// Interprets the head of an answer to a request. `reused` tells whether the connection carried
/// an earlier request.
///
/// An answer without an id belongs to the request only as the first answer of a connection; on a
/// reused one it may be a late copy of the answer to an earlier request.
pub fn interpret(
    status: StatusCode,
    terms: &AnswerTerms,
    request: &RequestId,
    reused: bool,
) -> Head {
    match &terms.id {
        Some(id) if id != request => {
            return Head::Invalid("the worker answered another request".into());
        }
        None if reused => return Head::Invalid("the answer names no request".into()),
        _ => {}
    }
    // RFC 9110, section 15: a status above 599 is invalid, and one below 200 ends no exchange.
    if !(200..600).contains(&status.as_u16()) {
        return Head::Invalid(format!("the worker answered {}", status.as_u16()));
    }
    if terms.not_run && !status.is_success() {
        return Head::NotRun;
    }
    if terms.encoded {
        return Head::Invalid("the answer has an encoding that was not asked for".into());
    }
    if status.is_success() {
        return if terms.sealed {
            Head::Success
        } else {
            Head::Invalid("the answer has no signature".into())
        };
    }
    // A caller takes these statuses as a promise, which the worker has not made.
    if matches!(status.as_u16(), 408 | 421 | 429 | 503) {
        return Head::Invalid(format!("the worker answered {}", status.as_u16()));
    }
    Head::Failed
}
