//! HTTP responses to refused requests.

use serde_json::{Value, json};
use trillium::{Conn, KnownHeaderName};

use crate::verdict::{Reason, RequestError, VERDICT_HEADER};

/// Responds with an error: status, verdict header, JSON body and, if the error has a retry time,
/// `Retry-After`.
pub fn refuse(conn: Conn, error: &RequestError) -> Conn {
    refuse_with(conn, error.reason.status(), error, &body(error))
}

/// Responds like [`refuse`], with the given status and JSON body.
pub fn refuse_with(conn: Conn, status: u16, error: &RequestError, body: &Value) -> Conn {
    let mut conn = conn
        .with_status(status)
        .with_response_header(VERDICT_HEADER, error.verdict.as_str())
        .with_response_header(KnownHeaderName::ContentType, "application/json");
    if let Some(wait) = error.retry_after {
        let seconds = wait.as_secs_f64().ceil().max(1.0) as u64;
        conn.insert_response_header(KnownHeaderName::RetryAfter, seconds.to_string());
    }
    conn.with_body(body.to_string()).halt()
}

/// Returns the JSON body of an error.
pub fn body(error: &RequestError) -> Value {
    json!({"error": {
        "message": &*error.message,
        "reason": error.reason.as_str(),
        "verdict": error.verdict.as_str(),
    }})
}

/// Refuses a request that no handler matched.
pub async fn unmatched(conn: Conn) -> Conn {
    let message = format!("no such path: {} {}", conn.method(), conn.path());
    refuse(conn, &RequestError::not_run(Reason::NotFound, message))
}
