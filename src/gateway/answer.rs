//! Answers that an instance generates itself.

use std::{io, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::{Response, StatusCode, header};

use crate::{adapter::headers, ids::RequestId};

/// Body of an answer to a caller.
pub type CallerBody = UnsyncBoxBody<Bytes, io::Error>;

/// Builds a body from bytes that are completely known.
pub fn full_body(bytes: impl Into<Bytes>) -> CallerBody {
    Full::new(bytes.into())
        .map_err(|e: std::convert::Infallible| match e {})
        .boxed_unsync()
}

/// Builds the answer to a call that no worker answered.
pub fn refuse(
    id: &RequestId,
    status: StatusCode,
    reason: &str,
    retry: Option<Duration>,
) -> Response<CallerBody> {
    let mut answer = text_answer(status, reason, retry);
    headers::set_request_id(answer.headers_mut(), id);
    answer
}

/// Builds an answer with one line of text.
pub fn text_answer(
    status: StatusCode,
    reason: &str,
    retry: Option<Duration>,
) -> Response<CallerBody> {
    let mut answer = Response::new(full_body(format!("{reason}\n")));
    *answer.status_mut() = status;
    if let Some(retry) = retry {
        let value = format!("{:.2}", retry.as_secs_f64());
        if let Ok(value) = value.parse() {
            answer.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    answer
}
