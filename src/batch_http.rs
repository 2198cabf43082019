//! HTTP interface for batch jobs.

use std::{sync::Arc, time::Duration};

use futures::{AsyncReadExt, TryStreamExt};
use serde::{Deserialize, Serialize};
use serde_json::json;
use trillium::{Body, Conn, Handler, Method, Version};
use trillium_server_common::url::form_urlencoded;

use crate::{
    context::Context,
    event,
    group::{self, Groups},
    http::{DEFAULT_TEAM, TEAM_HEADER},
    ids::{JobId, TeamId},
    job_record::JobRecord,
    platform::Object,
    refusal,
    results::{self, JobStatus},
    settings::is_name,
    submit_run::{self, JobSpec},
    verdict::{Reason, RequestError},
};

/// Base path of the jobs.
const JOBS_PATH: &str = "/v1/batches";
/// Size of the buffer for reading a body, in bytes.
const CHUNK_BYTES: usize = 64 << 10;
/// Timeout for reading a whole body, in multiples of the timeout for one read.
const MAX_READS: u32 = 30;
/// Time after which a caller should resend a job that was refused for lack of capacity.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// Returns the handler of the paths below `/v1/batches`. Other requests pass through.
pub fn handler(ctx: Arc<Context>) -> impl Handler {
    move |conn: Conn| {
        let ctx = ctx.clone();
        async move { serve(ctx, conn).await }
    }
}

async fn serve(ctx: Arc<Context>, mut conn: Conn) -> Conn {
    let path = conn.path().to_owned();
    let Some(rest) = path.strip_prefix(JOBS_PATH) else {
        return conn;
    };
    let parts: Vec<&str> = rest.split('/').collect();
    let answer = match (conn.method(), parts.as_slice()) {
        (Method::Post, [""]) => submit(&ctx, &mut conn).await,
        (Method::Get, [""]) => Ok(list(&ctx, &conn)),
        (Method::Get, ["", name]) => status(&ctx, name).await,
        (Method::Get, ["", name, "results"]) => results(&ctx, &conn, name).await,
        (Method::Post, ["", name, "cancel"]) => cancel(&ctx, name).await,
        _ => return conn,
    };
    match answer {
        Ok(answer) => answer.send(conn),
        Err(error) => refuse(conn, &error),
    }
}

/// Response body with its content type.
struct Answer {
    content_type: &'static str,
    body: Body,
}

impl Answer {
    fn json(value: &impl Serialize) -> Self {
        Self {
            content_type: "application/json",
            body: serde_json::to_vec(value).unwrap_or_default().into(),
        }
    }

    fn send(self, conn: Conn) -> Conn {
        conn.with_status(200)
            .with_response_header("content-type", self.content_type)
            .with_body(self.body)
            .halt()
    }
}

fn refuse(conn: Conn, error: &RequestError) -> Conn {
    event!(
        Info,
        RequestRefused,
        "reason={} verdict={} path={}",
        error.reason.as_str(),
        error.verdict,
        conn.path()
    );
    refusal::refuse(conn, error)
}

async fn submit(ctx: &Arc<Context>, conn: &mut Conn) -> Result<Answer, RequestError> {
    let spec = spec(ctx, conn)?;
    check_model(ctx, &spec)?;
    let Some(_permit) = ctx.batch.permit() else {
        let message = "too many jobs are being submitted";
        return Err(
            RequestError::not_run(Reason::Overloaded, message).with_retry_after(RETRY_AFTER)
        );
    };
    let groups = read_groups(ctx, conn, &spec).await?;
    let object = submit_run::submit(ctx, &spec, &groups).await?;
    summary(ctx, &object)
}

/// Reads the body and splits it into groups. The body is dropped before the job is stored.
async fn read_groups(
    ctx: &Context,
    conn: &mut Conn,
    spec: &JobSpec,
) -> Result<Groups, RequestError> {
    let body = read_body(ctx, conn).await?;
    let body = std::str::from_utf8(&body).map_err(|_| invalid("the items are not UTF-8"))?;
    group::split(body, &spec.team, &spec.model).map_err(|e| invalid(&format!("{e:#}")))
}

async fn read_body(ctx: &Context, conn: &mut Conn) -> Result<Vec<u8>, RequestError> {
    let limit = ctx.settings.limits.batch;
    let wait = ctx.settings.timeouts.request_read;
    let end = std::time::Instant::now() + wait * MAX_READS;
    let mut body = conn.request_body().with_max_len(limit as u64 + 1);
    if body.content_length().is_some_and(|l| l > limit as u64) {
        return Err(too_large(limit));
    }
    let mut bytes = Vec::new();
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let timeout = async {
            async_io::Timer::after(wait).await;
            Err(std::io::ErrorKind::TimedOut.into())
        };
        let read = smol::future::or(body.read(&mut chunk), timeout).await;
        match read {
            Ok(0) => return Ok(bytes),
            Ok(n) => bytes.extend_from_slice(&chunk[..n]),
            Err(_) => return Err(read_timed_out()),
        }
        if bytes.len() > limit {
            return Err(too_large(limit));
        }
        if std::time::Instant::now() > end {
            return Err(read_timed_out());
        }
    }
}

fn spec(ctx: &Context, conn: &Conn) -> Result<JobSpec, RequestError> {
    let team = conn.request_headers().get_str(TEAM_HEADER);
    let mut spec = JobSpec {
        job: "".into(),
        team: name("team", team.unwrap_or(DEFAULT_TEAM))?,
        model: "".into(),
        deadline: 0,
    };
    let mut deadline = None;
    for (key, value) in form_urlencoded::parse(conn.querystring().as_bytes()) {
        match key.as_ref() {
            "name" => spec.job = value.into(),
            "model" => spec.model = value.into(),
            "deadline" => deadline = Some(parse_time(&value)?),
            other => return Err(invalid(&format!("unknown parameter '{other}'; remove it"))),
        }
    }
    spec.job = name("name", &spec.job)?;
    spec.model = name("model", &spec.model)?;
    let view = ctx.view.load();
    let sheet_deadline = view.sheet.jobs.get(&spec.job).map(|j| j.deadline);
    let missing = "parameter 'deadline' is missing and the sheet has none for the job; give a time as RFC 3339 or unix seconds";
    spec.deadline = deadline
        .or(sheet_deadline)
        .ok_or_else(|| invalid(missing))?;
    Ok(spec)
}

fn name(field: &str, value: &str) -> Result<Arc<str>, RequestError> {
    if !is_name(value) {
        return Err(invalid(&format!(
            "{field} '{value}' is not a name; use 1 to 128 of a-z, A-Z, 0-9, '-', '_'"
        )));
    }
    Ok(value.into())
}

/// Parses a time as seconds since 1970-01-01 UTC, or as RFC 3339. An unescaped plus sign of an offset
/// arrives as a space.
fn parse_time(text: &str) -> Result<u64, RequestError> {
    if let Ok(seconds) = text.parse() {
        return Ok(seconds);
    }
    let time: Option<jiff::Timestamp> = text.replace(' ', "+").parse().ok();
    let seconds = time.and_then(|t| u64::try_from(t.as_second()).ok());
    seconds.ok_or_else(|| {
        invalid(&format!(
            "deadline '{text}' is not a time; use RFC 3339 or unix seconds"
        ))
    })
}

/// Refuses a job for a model that is not in the sheet. A known job is accepted, so that a resend
/// succeeds after the model was removed.
fn check_model(ctx: &Context, spec: &JobSpec) -> Result<(), RequestError> {
    let view = ctx.view.load();
    if view.sheet.models.contains_key(&spec.model) || view.jobs.contains_key(&spec.job) {
        return Ok(());
    }
    if view.revision == 0 {
        let message = "no sheet is known yet";
        return Err(
            RequestError::not_run(Reason::Unavailable, message).with_retry_after(RETRY_AFTER)
        );
    }
    let message = format!("no model '{}'", spec.model);
    Err(RequestError::not_run(Reason::NotFound, message))
}

fn list(ctx: &Context, conn: &Conn) -> Answer {
    let team: Option<TeamId> = conn.request_headers().get_str(TEAM_HEADER).map(Into::into);
    let view = ctx.view.load();
    let written = ctx.batch.written(&view.jobs);
    let objects = view.jobs.values().chain(&written);
    let mut jobs: Vec<JobStatus> = objects
        .filter_map(|o| summarize(ctx, o))
        .filter(|j| team.as_ref().is_none_or(|t| j.team == *t))
        .collect();
    jobs.sort_by(|a, b| a.name.cmp(&b.name));
    // A job that the view has in an older version occurs twice; the last one is current.
    jobs.reverse();
    jobs.dedup_by(|a, b| a.name == b.name);
    jobs.reverse();
    Answer::json(&json!({ "jobs": jobs }))
}

async fn status(ctx: &Context, name: &str) -> Result<Answer, RequestError> {
    let status = results::status(ctx, &parse_job_name(name)?).await?;
    Ok(Answer::json(&status))
}

async fn results(ctx: &Arc<Context>, conn: &Conn, name: &str) -> Result<Answer, RequestError> {
    // Lines that end with their connection look whole when this process is killed.
    if conn.http_version() < Version::Http1_1 {
        return Err(invalid("results are sent in chunks; use HTTP/1.1"));
    }
    let name = parse_job_name(name)?;
    let record = results::job(ctx, &name).await?;
    let lines = Box::pin(results::lines(ctx.clone(), name, record));
    Ok(Answer {
        content_type: "application/jsonl",
        body: Body::new_streaming(lines.into_async_read(), None),
    })
}

async fn cancel(ctx: &Arc<Context>, name: &str) -> Result<Answer, RequestError> {
    let object = submit_run::cancel(ctx, &parse_job_name(name)?).await?;
    summary(ctx, &object)
}

fn parse_job_name(name: &str) -> Result<JobId, RequestError> {
    if is_name(name) {
        Ok(name.into())
    } else {
        Err(submit_run::no_job(name))
    }
}

fn summary(ctx: &Context, object: &Object) -> Result<Answer, RequestError> {
    let status = summarize(ctx, object).ok_or_else(|| submit_run::no_job(&object.name))?;
    Ok(Answer::json(&status))
}

fn summarize(ctx: &Context, object: &Object) -> Option<JobStatus> {
    let record = JobRecord::deserialize(&object.value).ok()?;
    Some(results::summary(ctx, &object.name, &record))
}

fn invalid(message: &str) -> RequestError {
    RequestError::not_run(Reason::Invalid, message)
}

fn too_large(limit: usize) -> RequestError {
    let message = format!("the job is over {limit} bytes; split it");
    RequestError::not_run(Reason::TooLarge, message)
}

fn read_timed_out() -> RequestError {
    RequestError::not_run(Reason::Timeout, "the items did not arrive in time")
}
