//! Whether a request that failed may have run.

use std::{fmt, sync::Arc, time::Duration};

/// Header that carries the verdict of a refused or failed request.
pub const VERDICT_HEADER: &str = "gentianpath-verdict";

/// Says whether a request that failed may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The request did not run anywhere.
    NotRun,
    /// The request was written to a target, so it may have run there.
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
    /// The request itself is wrong.
    Invalid,
    /// The request or a part of it is over a size limit.
    TooLarge,
    /// No such model, service, job or path.
    NotFound,
    /// The request conflicts with one that was accepted before.
    Conflict,
    /// A limit on queued or running requests is reached.
    Overloaded,
    /// No usable target, or the object service does not answer.
    Unavailable,
    /// A target or the caller did not make progress in time.
    Timeout,
    /// A target failed while it worked on the request.
    TargetFailed,
    /// The connection to a target broke before its answer was whole.
    ConnectionBroken,
}

impl Reason {
    /// Returns the HTTP status code of the refusal.
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

/// A request that failed, with the verdict on whether it may have run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestError {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Why it failed.
    pub reason: Reason,
    /// One line for the caller.
    pub message: Arc<str>,
    /// How long the caller should wait before it sends the request again, where waiting helps.
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

    /// Adds the time after which sending again may help.
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
