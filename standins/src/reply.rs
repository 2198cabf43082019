//! HTTP answers, and connections that are left without one.

use std::{
    future::pending,
    io,
    pin::Pin,
    task::{Context, Poll},
};

use futures::AsyncRead;
use serde::{Serialize, de::DeserializeOwned};
use serde_json::json;
use trillium::{Body, Conn};

use crate::target::Target;

/// Header with the name of the caller, so that faults can cut it off.
pub const PARTY_HEADER: &str = "gentianpath-party";

/// Body that fails at the first read, so that the connection closes before any byte of the answer.
struct Broken;

impl AsyncRead for Broken {
    fn poll_read(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        _: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()))
    }
}

/// Answers with JSON.
pub fn json(conn: Conn, status: u16, body: &impl Serialize) -> Conn {
    text(conn, status, encode(body))
}

/// Returns the JSON text of a value.
pub fn encode(body: &impl Serialize) -> String {
    serde_json::to_string(body).unwrap_or_default()
}

/// Answers with a JSON text or an empty body.
pub fn text(conn: Conn, status: u16, text: String) -> Conn {
    conn.with_status(status)
        .with_response_header("content-type", "application/json")
        .with_body(text)
        .halt()
}

/// Answers with an error message as JSON.
pub fn error(conn: Conn, status: u16, message: &str) -> Conn {
    json(conn, status, &json!({ "error": { "message": message } }))
}

/// Closes the connection without an answer.
pub fn close(conn: Conn) -> Conn {
    conn.with_status(200)
        .with_body(Body::new_streaming(Broken, None))
        .halt()
}

/// Keeps the connection open without an answer until the caller closes it.
pub async fn hang(mut conn: Conn) -> Conn {
    conn.cancel_on_disconnect(pending::<()>()).await;
    close(conn)
}

/// Sends no answer: keeps the connection open or closes it.
pub async fn no_answer(conn: Conn, keep_open: bool) -> Conn {
    if keep_open {
        hang(conn).await
    } else {
        close(conn)
    }
}

/// Reads the request body as JSON.
///
/// # Errors
///
/// Returns a one-line error message when the body is invalid.
pub async fn body<T: DeserializeOwned>(conn: &mut Conn) -> Result<T, String> {
    let bytes = conn.request_body().read_bytes().await;
    let bytes = bytes.map_err(|e| e.to_string())?;
    serde_json::from_slice(&bytes).map_err(|e| e.to_string())
}

/// Returns a decoded parameter of the query string.
pub fn query(conn: &Conn, key: &str) -> Option<String> {
    let target = Target::parse(&format!("/?{}", conn.querystring())).ok()?;
    target.query(key).map(str::to_owned)
}

/// Returns a number from the query string, or 0 when it is missing.
pub fn number(conn: &Conn, key: &str) -> u64 {
    query(conn, key).and_then(|v| v.parse().ok()).unwrap_or(0)
}

/// Returns the name of the caller, if it sent one.
pub fn party(conn: &Conn) -> Option<&str> {
    conn.request_headers().get_str(PARTY_HEADER)
}
