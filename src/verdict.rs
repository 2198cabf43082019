//! Errors of requests, with the verdict on whether a failed request may have run.

use std::{fmt, sync::Arc, time::Duration};

/// Response header with the verdict of a refused or failed request.
pub const VERDICT_HEADER: &str = "gentianpath-verdict";

/// Whether a failed request may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The request did not run anywhere.
    NotRun,
    /// The request was sent to a target and may have run there.
    MayHaveRun,
}

impl Verdict {
    /// Returns the text used in headers and JSON bodies.
    pub fn as_str(self) -> &'static str {
        match self {
            Verdict::NotRun => "not-run",
            Verdict::MayHaveRun => "may-have-run",
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Why a request failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The request is malformed.
    Invalid,
    /// The request, its answer or a part of them exceeds a size limit.
    TooLarge,
    /// The model, service, job or path does not exist.
    NotFound,
    /// The request conflicts with an earlier one.
    Conflict,
    /// A limit on queued or running requests is reached.
    Overloaded,
    /// There is no usable target, or the object service does not answer.
    Unavailable,
    /// A target or the caller did not make progress in time.
    Timeout,
    /// A target failed while processing the request.
    TargetFailed,
    /// The connection to a target broke before its answer was complete.
    ConnectionBroken,
}

impl Reason {
    /// Returns the HTTP status code of the response.
    pub fn status(self) -> u16 {
        match self {
            Reason::Invalid => 400,
            Reason::TooLarge => 413,
            Reason::NotFound => 404,
            Reason::Conflict => 409,
            Reason::Overloaded => 429,
            Reason::Unavailable => 503,
            Reason::Timeout => 504,
            Reason::TargetFailed | Reason::ConnectionBroken => 502,
        }
    }

    /// Returns the text used in JSON bodies.
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::Invalid => "invalid",
            Reason::TooLarge => "too-large",
            Reason::NotFound => "not-found",
            Reason::Conflict => "conflict",
            Reason::Overloaded => "overloaded",
            Reason::Unavailable => "unavailable",
            Reason::Timeout => "timeout",
            Reason::TargetFailed => "target-failed",
            Reason::ConnectionBroken => "connection-broken",
        }
    }
}

/// Error of a request that failed, with the verdict on whether it may have run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestError {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Why it failed.
    pub reason: Reason,
    /// One-line message for the caller.
    pub message: Arc<str>,
    /// Time after which the caller should retry, if a retry may succeed.
    pub retry_after: Option<Duration>,
}

impl RequestError {
    /// Builds the error of a request that did not run.
    pub fn not_run(reason: Reason, message: impl Into<Arc<str>>) -> Self {
        Self {
            verdict: Verdict::NotRun,
            reason,
            message: message.into(),
            retry_after: None,
        }
    }

    /// Builds the error of a request that may have run.
    pub fn may_have_run(reason: Reason, message: impl Into<Arc<str>>) -> Self {
        Self {
            verdict: Verdict::MayHaveRun,
            ..Self::not_run(reason, message)
        }
    }

    /// Sets the time after which the caller should retry.
    pub fn with_retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }
}

impl fmt::Display for RequestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({})", self.message, self.verdict)
    }
}

impl std::error::Error for RequestError {}
