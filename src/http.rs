//! HTTP API for callers: chat requests, the model list and plain services.

use std::{sync::Arc, time::Duration};

use async_io::Timer;
use futures::AsyncReadExt;
use trillium::{Conn, Handler, KnownHeaderName, Method, RequestBody};

use crate::{
    budget::ByteReservation,
    chat,
    context::Context,
    drain::{Drain, OwnedGuard, Phase},
    event,
    forward::Repeat,
    ids::TeamId,
    metrics::{self, RequestOutcome},
    online::{Online, RETRY_AFTER},
    plain::{PlainCall, Services, end_to_end_headers},
    refusal,
    reply::{self, JSON, Reply, RequestOptions},
    settings::is_name,
    verdict::{Reason, RequestError},
};

/// Request header with the team of the caller.
pub const TEAM_HEADER: &str = "gentianpath-team";
/// Request header that marks a request as non-repeatable.
pub const REPEAT_HEADER: &str = "gentianpath-repeat";
/// Request header with the idempotency key.
pub const KEY_HEADER: &str = "idempotency-key";
/// Team of requests without a team header.
pub const DEFAULT_TEAM: &str = "default";
/// Number of bytes of an oversized body that are read and dropped, so that the caller can read the
/// refusal.
const DROPPED_BYTES: usize = 1 << 20;
/// Buffer size for reading a body.
const READ_BYTES: usize = 16 << 10;

/// Gives a guard access to the drain state without borrowing the context.
#[derive(Debug)]
struct DrainRef(Arc<Context>);

impl AsRef<Drain> for DrainRef {
    fn as_ref(&self) -> &Drain {
        &self.0.drain
    }
}

/// Returns the handler of online requests. It passes on requests for other paths.
pub fn handler(ctx: Arc<Context>) -> impl Handler {
    let services = Services::new(Online::new(ctx));
    move |conn: Conn| {
        let services = services.clone();
        async move { route(services, conn).await }
    }
}

async fn route(services: Arc<Services>, conn: Conn) -> Conn {
    let path = conn.path().to_owned();
    match (conn.method(), path.as_str()) {
        (Method::Post, "/v1/chat/completions") => serve(services, conn, None).await,
        (Method::Get, "/v1/models") => {
            let sheet = services.online.ctx.view.load().sheet.clone();
            answer(conn, Reply::new(JSON, chat::models(&sheet)))
        }
        (_, path) => match path.strip_prefix("/services/") {
            Some(rest) => serve(services, conn, Some(rest)).await,
            None => conn,
        },
    }
}

/// Serves a chat request, or a call of a plain service whose name and path are in `service`.
async fn serve(services: Arc<Services>, mut conn: Conn, service: Option<&str>) -> Conn {
    let ctx = services.online.ctx.clone();
    // The connection's state is dropped when the last byte of the answer has been sent.
    conn.insert_state(OwnedGuard::begin(DrainRef(ctx.clone())));
    // The body is read before a request is refused. Closing a connection with unread bytes resets
    // it, and the caller would not get the refusal.
    let body = read_body(&mut conn, &ctx).await;
    let body = match body {
        Ok(body) => body,
        Err(error) => return refuse(close(conn), &error),
    };
    if ctx.drain.phase() == Phase::Draining {
        let error = RequestError::not_run(Reason::Unavailable, "the instance is stopping");
        return refuse(close(conn), &error.with_retry_after(RETRY_AFTER));
    }
    let options = match parse_options(&conn, &services.online) {
        Ok(options) => options,
        Err(error) => return refuse(conn, &error),
    };
    let served = match service {
        None => {
            let call = reply::chat(services.online.clone(), options, body);
            conn.cancel_on_disconnect(call).await
        }
        Some(rest) => {
            let call = plain_call(&conn, rest, body);
            let call = async move { services.call(options, call?).await };
            conn.cancel_on_disconnect(call).await
        }
    };
    match served {
        Some(Ok(reply)) => answer(conn, reply),
        Some(Err(error)) => refuse(conn, &error),
        // The caller has disconnected, and dropping the call has stopped it.
        None => {
            metrics::request(RequestOutcome::Abandoned);
            close(conn).with_status(400).halt()
        }
    }
}

fn plain_call(conn: &Conn, rest: &str, body: Vec<u8>) -> Result<PlainCall, RequestError> {
    let (service, path) = rest.split_at(rest.find('/').unwrap_or(rest.len()));
    PlainCall::new(
        service,
        conn.method(),
        path,
        conn.querystring(),
        end_to_end_headers(conn.request_headers()),
        body,
    )
}

fn parse_options(conn: &Conn, online: &Online) -> Result<RequestOptions, RequestError> {
    let headers = conn.request_headers();
    let team: TeamId = headers.get_str(TEAM_HEADER).unwrap_or(DEFAULT_TEAM).into();
    if !is_name(&team) {
        return Err(invalid("header 'Gentianpath-Team' is not a name"));
    }
    let repeat = match headers.get_str(REPEAT_HEADER) {
        None => Repeat::Allowed,
        Some("never") => Repeat::Never,
        Some(_) => return Err(invalid("header 'Gentianpath-Repeat' may only be 'never'")),
    };
    if headers.has_header(KEY_HEADER) && headers.get_str(KEY_HEADER).is_none_or(str::is_empty) {
        return Err(invalid(
            "header 'Idempotency-Key' is empty, repeated or not a text",
        ));
    }
    Ok(RequestOptions {
        id: online.request_id(),
        team,
        repeat,
        key: headers.get_str(KEY_HEADER).map(Into::into),
    })
}

/// Reads the body within the size and time limits.
async fn read_body(conn: &mut Conn, ctx: &Context) -> Result<Vec<u8>, RequestError> {
    let settings = &ctx.settings;
    let limit = settings.limits.body;
    let read = async {
        let body = conn.request_body().with_max_len(u64::MAX);
        read_limited(body, limit, ctx.body_budget.begin()).await
    };
    smol::future::or(read, too_slow(settings.timeouts.request_read)).await
}

async fn read_limited(
    mut body: RequestBody<'_>,
    limit: usize,
    mut reserved: ByteReservation<'_>,
) -> Result<Vec<u8>, RequestError> {
    let mut bytes = Vec::new();
    let mut buffer = vec![0; READ_BYTES];
    let mut too_long = body.content_length().is_some_and(|l| l > limit as u64);
    let mut exhausted = false;
    let mut dropped = 0;
    while dropped < DROPPED_BYTES {
        let read = body.read(&mut buffer).await;
        let count = read.map_err(|_| invalid("the body ended early or is malformed"))?;
        if count == 0 {
            break;
        }
        too_long |= bytes.len() + count > limit;
        exhausted |= !too_long && !exhausted && !reserved.reserve(count);
        if too_long || exhausted {
            dropped += count;
        } else {
            bytes.extend_from_slice(&buffer[..count]);
        }
    }
    if too_long {
        return Err(too_large(limit));
    }
    if exhausted {
        let message = "too many request bodies are being read";
        let error = RequestError::not_run(Reason::Overloaded, message);
        return Err(error.with_retry_after(RETRY_AFTER));
    }
    Ok(bytes)
}

async fn too_slow(time: Duration) -> Result<Vec<u8>, RequestError> {
    Timer::after(time).await;
    Err(RequestError::not_run(
        Reason::Timeout,
        "the request was sent too slowly",
    ))
}

fn too_large(limit: usize) -> RequestError {
    RequestError::not_run(
        Reason::TooLarge,
        format!("the body is over the limit of {limit} bytes"),
    )
}

fn invalid(message: &str) -> RequestError {
    RequestError::not_run(Reason::Invalid, message)
}

fn answer(mut conn: Conn, reply: Reply) -> Conn {
    let headers = conn.response_headers_mut();
    for header in reply.headers {
        headers.append(header.name, header.value);
    }
    headers.insert(KnownHeaderName::ContentType, reply.content_type.to_string());
    headers.insert(KnownHeaderName::CacheControl, "no-store");
    conn.with_status(reply.status).with_body(reply.body).halt()
}

/// Sends a refusal and logs it.
fn refuse(conn: Conn, error: &RequestError) -> Conn {
    event!(
        Info,
        RequestRefused,
        "path={} reason={} verdict={} {}",
        conn.path(),
        error.reason.as_str(),
        error.verdict,
        error.message
    );
    metrics::request(RequestOutcome::Failed(error.reason, error.verdict));
    refusal::refuse(conn, error)
}

/// Closes the connection after the answer, because the request was not read completely.
fn close(conn: Conn) -> Conn {
    conn.with_response_header(KnownHeaderName::Connection, "close")
}
