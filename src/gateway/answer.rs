//! Answers that an instance makes itself.

use std::{io, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::{Response, StatusCode, header};

use crate::{adapter::headers, ids::RequestId};

/// Body of an answer to a caller.
pub type CallerBody = UnsyncBoxBody<Bytes, io::Error>;

/// Makes a body of bytes that are known as a whole.
pub fn whole(bytes: impl Into<Bytes>) -> CallerBody {
    Full::new(bytes.into())
        .map_err(|e: std::convert::Infallible| match e {})
        .boxed_unsync()
}

/// Makes the answer to a call that no worker answered.
pub fn refuse(
    id: &RequestId,
    status: StatusCode,
    reason: &str,
    retry: Option<Duration>,
) -> Response<CallerBody> {
    let mut answer = plain(status, reason, retry);
    headers::set_request_id(answer.headers_mut(), id);
    answer
}

/// Makes an answer of one line of text.
pub fn plain(status: StatusCode, reason: &str, retry: Option<Duration>) -> Response<CallerBody> {
    let mut answer = Response::new(whole(format!("{reason}\n")));
    *answer.status_mut() = status;
    if let Some(retry) = retry {
        let value = format!("{:.2}", retry.as_secs_f64());
        if let Ok(value) = value.parse() {
            answer.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    answer
}
