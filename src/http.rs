//! HTTP for callers: online requests, models and plain services.

use std::{sync::Arc, time::Duration};

use async_io::Timer;
use futures::AsyncReadExt;
use trillium::{Conn, Handler, HttpConfig, KnownHeaderName, Method};

use crate::{
    chat,
    context::Context,
    drain::{Drain, OwnedGuard, Phase},
    event,
    forward::Repeat,
    ids::TeamId,
    online::{Online, RETRY_AFTER},
    plain::{PlainCall, Services, own_headers},
    reply::{self, JSON, Reply, Terms},
    settings::{Settings, is_name},
    verdict::{Reason, RequestError, VERDICT_HEADER},
};

/// Header that names the team of a caller.
pub const TEAM_HEADER: &str = "gentianpath-team";
/// Header by which a caller marks a request as non-repeatable.
pub const REPEAT_HEADER: &str = "gentianpath-repeat";
/// Header that identifies a resend.
pub const KEY_HEADER: &str = "idempotency-key";
/// Team of a caller that names none.
const DEFAULT_TEAM: &str = "default";
/// Bytes of an oversized body that are read and dropped, so that the caller can read the refusal.
const DROPPED_BYTES: usize = 1 << 20;
/// Size of one read of a body.
const READ_BYTES: usize = 16 << 10;

/// Lets a guard count a request without borrowing the context.
#[derive(Debug)]
struct Counted(Arc<Context>);

impl AsRef<Drain> for Counted {
    fn as_ref(&self) -> &Drain {
        &self.0.drain
    }
}

/// Returns the HTTP settings of a server for callers.
pub fn config(settings: &Settings) -> HttpConfig {
    HttpConfig::default().with_head_max_len(settings.limits.header)
}

/// Returns the handler of online requests. It leaves alone what it does not serve.
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

/// Serves a chat request, or a call of the plain service that `service` names with its path.
async fn serve(services: Arc<Services>, mut conn: Conn, service: Option<&str>) -> Conn {
    let ctx = services.online.ctx.clone();
    // The state of the connection lives until the last byte of the answer has been sent.
    conn.insert_state(OwnedGuard::begin(Counted(ctx.clone())));
    if ctx.drain.phase() == Phase::Draining {
        let error = RequestError::not_run(Reason::Unavailable, "the instance is stopping");
        return refuse(close(conn), &error.with_retry_after(RETRY_AFTER));
    }
    let terms = match terms(&conn, &services.online) {
        Ok(terms) => terms,
        Err(error) => return refuse(close(conn), &error),
    };
    let body = match read_body(&mut conn, &ctx.settings).await {
        Ok(body) => body,
        Err(error) => return refuse(close(conn), &error),
    };
    let served = match service {
        None => {
            let call = reply::chat(services.online.clone(), terms, body);
            conn.cancel_on_disconnect(call).await
        }
        Some(rest) => {
            let call = plain_call(&conn, rest, body);
            let call = async move { services.call(terms, call?).await };
            conn.cancel_on_disconnect(call).await
        }
    };
    match served {
        Some(Ok(reply)) => answer(conn, reply),
        Some(Err(error)) => refuse(conn, &error),
        // The caller has left; dropping the call has stopped it.
        None => close(conn).with_status(400).halt(),
    }
}

fn plain_call(conn: &Conn, rest: &str, body: Vec<u8>) -> Result<PlainCall, RequestError> {
    let (service, path) = rest.split_at(rest.find('/').unwrap_or(rest.len()));
    PlainCall::new(
        service,
        conn.method(),
        path,
        conn.querystring(),
        own_headers(conn.request_headers()),
        body,
    )
}

fn terms(conn: &Conn, online: &Online) -> Result<Terms, RequestError> {
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
    Ok(Terms {
        id: online.request_id(),
        team,
        repeat,
        key: headers.get_str(KEY_HEADER).map(Into::into),
    })
}

/// Reads the body within the limits of size and time.
async fn read_body(conn: &mut Conn, settings: &Settings) -> Result<Vec<u8>, RequestError> {
    let limit = settings.limits.body;
    let time = settings.timeouts.request_read;
    let read = async {
        let mut body = conn.request_body().with_max_len(u64::MAX);
        let mut bytes = Vec::new();
        let mut buffer = vec![0; READ_BYTES];
        let announced = body.content_length().unwrap_or(0);
        let mut dropped = 0;
        loop {
            let count = body
                .read(&mut buffer)
                .await
                .map_err(|_| invalid("the body ended early or is malformed"))?;
            let over = announced > limit as u64 || bytes.len() + count > limit;
            if count == 0 && !over {
                return Ok(bytes);
            }
            if !over {
                bytes.extend_from_slice(&buffer[..count]);
                continue;
            }
            dropped += count;
            if count == 0 || dropped >= DROPPED_BYTES {
                return Err(too_large(limit));
            }
        }
    };
    smol::future::or(read, too_slow(time)).await
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
    headers.insert(KnownHeaderName::ContentType, reply.kind.to_string());
    headers.insert(KnownHeaderName::CacheControl, "no-store");
    conn.with_status(reply.status).with_body(reply.body).halt()
}

/// Sends a refusal with its verdict.
pub fn refuse(mut conn: Conn, error: &RequestError) -> Conn {
    event!(
        Info,
        RequestRefused,
        "path={} reason={} verdict={} {}",
        conn.path(),
        error.reason.as_str(),
        error.verdict,
        error.message
    );
    let headers = conn.response_headers_mut();
    headers.insert(VERDICT_HEADER, error.verdict.as_str());
    headers.insert(KnownHeaderName::ContentType, JSON);
    if let Some(wait) = error.retry_after {
        let seconds = wait.as_secs_f64().ceil().max(1.0) as u64;
        headers.insert(KnownHeaderName::RetryAfter, seconds.to_string());
    }
    conn.with_status(error.reason.status())
        .with_body(chat::error_body(error))
        .halt()
}

/// Closes the connection after the answer, because the request was not read to its end.
fn close(conn: Conn) -> Conn {
    conn.with_response_header(KnownHeaderName::Connection, "close")
}
