//! HTTP interface for operators.

use std::{sync::Arc, time::Duration};

use serde::Serialize;
use serde_json::json;
use trillium::{Conn, Handler};
use trillium_router::Router;

use crate::{
    context::Context,
    drain::Phase,
    ids::Revision,
    metrics,
    push::{self, Refusal, Request},
    refusal,
    sheet::{RawSheet, parse_raw},
    sheet_log,
    sheet_push::Winner,
    status::Report,
    verdict::{Reason, RequestError},
};

/// Header of the revision that a pushed sheet is based on.
pub const BASE_HEADER: &str = "gentianpath-base-revision";
/// Header of the token that identifies a push, so that a resend is recognised.
pub const TOKEN_HEADER: &str = "gentianpath-push-token";
/// Largest sheet, in bytes.
const SHEET_LIMIT: u64 = 8 << 20;
/// Status code for an invalid sheet.
const UNPROCESSABLE: u16 = 422;
/// Time after which an operator may retry a push when the platform does not answer.
const PUSH_RETRY: Duration = Duration::from_secs(2);

/// Answer to a push.
#[derive(Debug)]
#[derive(Serialize)]
struct PushResponse {
    revision: Revision,
}

/// Answer to a read of the sheet.
#[derive(Debug)]
#[derive(Serialize)]
struct SheetResponse {
    revision: Revision,
    in_force: Revision,
    sheet: Option<RawSheet>,
}

/// Answer to a read of the status.
#[derive(Debug)]
#[derive(Serialize)]
struct StatusResponse<'a> {
    instance: &'a str,
    session: u64,
    zone: &'a str,
    phase: &'a str,
    ready: bool,
    active: usize,
    #[serde(flatten)]
    report: &'a Report,
}

/// Returns the handler of the operators' address.
pub fn handler(ctx: Arc<Context>) -> impl Handler {
    Router::new()
        .get("/livez", async |conn: Conn| conn.ok("live\n"))
        .get("/readyz", with(&ctx, async |ctx, conn| ready(&ctx, conn)))
        .get("/metrics", async |conn: Conn| conn.ok(metrics::text()))
        .get("/status", with(&ctx, async |ctx, conn| status(&ctx, conn)))
        .get("/sheet", with(&ctx, async |ctx, conn| show(&ctx, conn)))
        .post("/sheet", with(&ctx, push_sheet))
}

/// Builds a handler that calls a function with the shared state.
fn with<F, A>(ctx: &Arc<Context>, handle: F) -> impl Handler + use<F, A>
where
    F: Fn(Arc<Context>, Conn) -> A + Send + Sync + 'static,
    A: Future<Output = Conn> + Send + 'static,
{
    let ctx = ctx.clone();
    move |conn: Conn| handle(ctx.clone(), conn)
}

/// Returns whether the instance takes requests: it is not stopping, and sheet and workers are known.
pub fn is_ready(ctx: &Context) -> bool {
    ctx.drain.phase() == Phase::Running && ctx.status.load().initialized
}

fn ready(ctx: &Context, conn: Conn) -> Conn {
    if is_ready(ctx) {
        return conn.ok("ready\n");
    }
    let reason = match ctx.drain.phase() {
        Phase::Running => "sheet or workers are not known yet\n",
        Phase::Leaving | Phase::Draining => "the instance stops\n",
    };
    conn.with_status(503).with_body(reason).halt()
}

fn status(ctx: &Context, conn: Conn) -> Conn {
    let status = ctx.status.load();
    let phase = match ctx.drain.phase() {
        Phase::Running => "running",
        Phase::Leaving => "leaving",
        Phase::Draining => "draining",
    };
    let response = StatusResponse {
        instance: &ctx.settings.instance,
        session: ctx.session,
        zone: &ctx.settings.zone,
        phase,
        ready: is_ready(ctx),
        active: ctx.drain.active(),
        report: &status.report,
    };
    answer(conn, 200, &response)
}

fn show(ctx: &Context, conn: Conn) -> Conn {
    let status = ctx.status.load();
    let head = status.log.head();
    let response = SheetResponse {
        revision: head.revision,
        in_force: status.log.in_force().revision,
        sheet: sheet_log::join(&head.parts).ok(),
    };
    answer(conn, 200, &response)
}

async fn push_sheet(ctx: Arc<Context>, mut conn: Conn) -> Conn {
    let request = match read_push(&mut conn).await {
        Ok(request) => request,
        Err(message) => return refuse(conn, &Refusal::Invalid(message)),
    };
    match push::push(&ctx, request).await {
        Ok(revision) => answer(conn, 200, &PushResponse { revision }),
        Err(refusal) => refuse(conn, &refusal),
    }
}

async fn read_push(conn: &mut Conn) -> Result<Request, String> {
    let base = conn.request_headers().get_str(BASE_HEADER);
    let base = base.map(|b| {
        b.parse().map_err(|_| {
            format!("header {BASE_HEADER}: '{b}' is not a revision; use a number from GET /sheet")
        })
    });
    let base = base.transpose()?;
    let token = conn.request_headers().get_str(TOKEN_HEADER).map(Into::into);
    let body = conn
        .request_body()
        .with_max_len(SHEET_LIMIT)
        .read_string()
        .await;
    let text = body.map_err(|e| format!("the sheet cannot be read: {e}"))?;
    let raw = parse_raw(&text).map_err(|e| format!("{e:#}"))?;
    Ok(Request { raw, base, token })
}

fn refuse(conn: Conn, refusal: &Refusal) -> Conn {
    match refusal {
        Refusal::Invalid(message) => {
            let error = RequestError::not_run(Reason::Invalid, message.as_str());
            fail(conn, UNPROCESSABLE, &error, None)
        }
        Refusal::Lost(winner) => {
            let text = format!(
                "revision {} was pushed by another operator",
                winner.revision
            );
            let error = RequestError::not_run(Reason::Conflict, text);
            fail(conn, error.reason.status(), &error, Some(winner))
        }
        Refusal::NotRun => {
            let text = "the object service does not answer; the sheet was not pushed";
            unavailable(conn, RequestError::not_run(Reason::Unavailable, text))
        }
        Refusal::MayHaveRun => {
            let text = "the object service does not answer; the sheet may have been pushed";
            unavailable(conn, RequestError::may_have_run(Reason::Unavailable, text))
        }
    }
}

fn unavailable(conn: Conn, error: RequestError) -> Conn {
    let status = error.reason.status();
    fail(conn, status, &error.with_retry_after(PUSH_RETRY), None)
}

fn fail(conn: Conn, status: u16, error: &RequestError, winner: Option<&Winner>) -> Conn {
    let mut body = refusal::body(error);
    if let Some(winner) = winner {
        body["error"]["winner"] = json!({ "revision": winner.revision, "token": winner.token });
    }
    refusal::refuse_with(conn, status, error, &body)
}

fn answer(conn: Conn, status: u16, body: &impl Serialize) -> Conn {
    match serde_json::to_string(body) {
        Ok(text) => conn
            .with_status(status)
            .with_response_header("content-type", "application/json")
            .with_body(text)
            .halt(),
        Err(e) => conn.with_status(500).with_body(e.to_string()).halt(),
    }
}
