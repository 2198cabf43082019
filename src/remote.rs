//! Commands that call a running entry instance.

use std::{io::Write, net::SocketAddr, path::Path, time::Duration};

use anyhow::{Context, bail};
use async_io::Timer;
use futures::AsyncReadExt;
use serde::Deserialize;
use serde_json::Value;
use trillium_client::{Client, Conn, Method};

use crate::{
    admin::{BASE_HEADER, TOKEN_HEADER},
    cli::{JobCommand, Remote},
    dial,
    exit::Exit,
    http::TEAM_HEADER,
    ids::Revision,
    settings::is_name,
    sheet::Sheet,
    verdict::{Reason, Verdict},
};

/// Bound on opening a connection.
const CONNECT_LIMIT: Duration = Duration::from_secs(5);
/// Bound on one call, including the upload of a large job.
const CALL_LIMIT: Duration = Duration::from_secs(120);
/// Bound on the wait for the next bytes of results.
const READ_LIMIT: Duration = Duration::from_secs(60);
/// Attempts of a push whose answer is lost; all carry the same token.
const PUSH_ATTEMPTS: u32 = 3;
/// Time between two attempts of a push.
const PUSH_RETRY: Duration = Duration::from_secs(1);
/// Size of the buffer for reading results, in bytes.
const CHUNK_BYTES: usize = 64 << 10;

/// A failed call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failure {
    /// One-line message for the operator.
    pub message: String,
    /// Reason given by the instance.
    pub reason: Option<String>,
    /// Whether the call may have taken effect.
    pub verdict: Verdict,
}

#[derive(Deserialize)]
struct ErrorBody {
    error: ErrorDetail,
}

#[derive(Deserialize)]
struct ErrorDetail {
    message: String,
    reason: Option<String>,
    verdict: Option<String>,
}

#[derive(Deserialize)]
struct PushResponse {
    revision: Revision,
}

#[derive(Deserialize)]
struct SheetResponse {
    revision: Revision,
    in_force: Revision,
    sheet: Option<Value>,
}

/// Pushes a sheet. A push whose answer is lost is sent again with the same token, so that the
/// instance recognises it.
///
/// # Errors
///
/// Returns a one-line error when the file cannot be read or holds no valid sheet.
pub fn push_sheet(file: &Path, base: Option<Revision>, remote: &Remote) -> anyhow::Result<Exit> {
    let text = read(file)?;
    Sheet::parse(&text)?;
    Ok(smol::block_on(push(text, base, remote)))
}

async fn push(text: String, base: Option<Revision>, remote: &Remote) -> Exit {
    let token = format!("{:016x}", fastrand::u64(..));
    let mut attempts = 1;
    loop {
        let mut conn = request(remote.address, Method::Post, "/sheet")
            .with_request_header(TOKEN_HEADER, token.clone())
            .with_body(text.clone());
        if let Some(base) = base {
            conn = conn.with_request_header(BASE_HEADER, base.to_string());
        }
        match fetch(conn).await {
            Ok(body) => {
                return print(remote, &body, |pushed: PushResponse| {
                    format!("sheet pushed as revision {}", pushed.revision)
                });
            }
            Err(f) if f.verdict == Verdict::MayHaveRun && attempts < PUSH_ATTEMPTS => {
                attempts += 1;
                Timer::after(PUSH_RETRY).await;
            }
            Err(f) => return f.report(),
        }
    }
}

/// Shows the sheet in force.
///
/// # Errors
///
/// Returns none: a failed call is reported and turned into an exit code.
pub fn show_sheet(remote: &Remote) -> anyhow::Result<Exit> {
    Ok(call(
        remote,
        Method::Get,
        "/sheet",
        |shown: SheetResponse| {
            let sheet = shown.sheet.map(|s| format!("{s:#}")).unwrap_or_default();
            format!(
                "revision {} in force, {} pushed\n{sheet}",
                shown.in_force, shown.revision
            )
        },
    ))
}

/// Shows the state of an entry instance.
///
/// # Errors
///
/// Returns none: a failed call is reported and turned into an exit code.
pub fn status(remote: &Remote) -> anyhow::Result<Exit> {
    Ok(call(remote, Method::Get, "/status", |status: Value| {
        fields(&status)
    }))
}

/// Runs a command on batch jobs.
///
/// # Errors
///
/// Returns a one-line error when an option or the items file is invalid.
pub fn job(command: &JobCommand) -> anyhow::Result<Exit> {
    match command {
        JobCommand::Submit { .. } => submit(command),
        JobCommand::Status { name, remote } => {
            let path = job_path(name, "")?;
            Ok(call(remote, Method::Get, &path, |job: Value| fields(&job)))
        }
        JobCommand::Results { name, remote } => {
            let path = job_path(name, "/results")?;
            Ok(smol::block_on(results(remote.address, &path)))
        }
        JobCommand::Cancel { name, remote } => {
            let path = job_path(name, "/cancel")?;
            Ok(call(remote, Method::Post, &path, |job: Value| fields(&job)))
        }
    }
}

fn submit(command: &JobCommand) -> anyhow::Result<Exit> {
    let JobCommand::Submit {
        file,
        name,
        model,
        deadline,
        team,
        remote,
    } = command
    else {
        bail!("not a submit");
    };
    let items = read(file)?;
    check_name("name", name)?;
    check_name("model", model)?;
    let path = format!("/v1/batches?name={name}&model={model}&deadline={deadline}");
    let mut conn = request(remote.address, Method::Post, &path).with_body(items);
    if let Some(team) = team {
        check_name("team", team)?;
        conn = conn.with_request_header(TEAM_HEADER, team.clone());
    }
    Ok(smol::block_on(async {
        match fetch(conn).await {
            Ok(body) => print(remote, &body, |job: Value| fields(&job)),
            Err(failure) => failure.report(),
        }
    }))
}

fn job_path(name: &str, rest: &str) -> anyhow::Result<String> {
    check_name("name", name)?;
    Ok(format!("/v1/batches/{name}{rest}"))
}

fn check_name(field: &str, value: &str) -> anyhow::Result<()> {
    if !is_name(value) {
        bail!("{field} '{value}' is not a name; use 1 to 128 of a-z, A-Z, 0-9, '-', '_'");
    }
    Ok(())
}

fn read(file: &Path) -> anyhow::Result<String> {
    std::fs::read_to_string(file).with_context(|| format!("cannot read {}", file.display()))
}

/// Builds a call of an entry instance.
pub fn request(address: SocketAddr, method: Method, path: &str) -> Conn {
    client().build_conn(method, format!("http://{address}{path}"))
}

/// Builds a client of entry instances.
pub fn client() -> Client {
    dial::client(CONNECT_LIMIT)
}

/// Sends a call and returns the body of a successful answer.
///
/// # Errors
///
/// Returns the failure of a call that was refused or got no complete answer.
pub async fn fetch(mut conn: Conn) -> Result<Vec<u8>, Failure> {
    let exchange = async {
        open(&mut conn).await?;
        let body = conn.response_body().read_bytes().await;
        body.map_err(|_| Failure::broken("the connection broke before the answer was complete"))
    };
    let timeout = async {
        Timer::after(CALL_LIMIT).await;
        Err(Failure::broken("no answer in time"))
    };
    smol::future::or(exchange, timeout).await
}

/// Sends a call and reads the head of its answer, and in case of a refusal its body.
async fn open(conn: &mut Conn) -> Result<(), Failure> {
    if let Err(error) = (&mut *conn).await {
        return Err(if dial::never_sent(&error) {
            let message = format!("the instance cannot be reached: {error}");
            Failure::new(message, Verdict::NotRun)
        } else {
            Failure::broken("the connection broke before an answer arrived")
        });
    }
    let status = conn.status().map_or(0, u16::from);
    match status {
        200 if dial::is_framed(conn) => return Ok(()),
        200 => {
            return Err(Failure::broken(
                "the answer has neither a length nor chunks",
            ));
        }
        _ => {}
    }
    let body = conn.response_body().read_bytes().await.unwrap_or_default();
    Err(Failure::refused(status, &body))
}

/// Sends a call without a body and prints its answer.
fn call<T: for<'a> Deserialize<'a>>(
    remote: &Remote,
    method: Method,
    path: &str,
    show: impl FnOnce(T) -> String,
) -> Exit {
    smol::block_on(async {
        match fetch(request(remote.address, method, path)).await {
            Ok(body) => print(remote, &body, show),
            Err(failure) => failure.report(),
        }
    })
}

/// Prints an answer: the JSON as received, or formatted for reading.
fn print<T: for<'a> Deserialize<'a>>(
    remote: &Remote,
    body: &[u8],
    show: impl FnOnce(T) -> String,
) -> Exit {
    if remote.json {
        println!("{}", String::from_utf8_lossy(body).trim_end());
        return Exit::Success;
    }
    match serde_json::from_slice(body) {
        Ok(answer) => {
            println!("{}", show(answer));
            Exit::Success
        }
        Err(e) => Failure::broken(&format!("the answer cannot be read: {e}")).report(),
    }
}

/// Copies results to the output as they arrive.
async fn results(address: SocketAddr, path: &str) -> Exit {
    let mut conn = request(address, Method::Get, path);
    match copy(&mut conn).await {
        Ok(()) => Exit::Success,
        Err(failure) => failure.report(),
    }
}

async fn copy(conn: &mut Conn) -> Result<(), Failure> {
    open(conn).await?;
    let mut body = conn.response_body();
    let mut chunk = vec![0; CHUNK_BYTES];
    let mut out = std::io::stdout().lock();
    loop {
        let timeout = async {
            Timer::after(READ_LIMIT).await;
            Err(std::io::ErrorKind::TimedOut.into())
        };
        let count = smol::future::or(body.read(&mut chunk), timeout).await;
        let count = count.map_err(|_| Failure::broken("the results are incomplete"))?;
        if count == 0 {
            return Ok(());
        }
        let written = out.write_all(&chunk[..count]);
        written.map_err(|e| Failure::broken(&format!("cannot write the results: {e}")))?;
    }
}

/// Formats the fields of an object, one per line.
fn fields(value: &Value) -> String {
    let Some(object) = value.as_object() else {
        return format!("{value:#}");
    };
    let line = |(key, value): (&String, &Value)| match value {
        Value::String(text) => format!("{key}: {text}"),
        Value::Array(items) if !items.is_empty() => {
            let items: Vec<String> = items.iter().map(|item| format!("  {item}")).collect();
            format!("{key}:\n{}", items.join("\n"))
        }
        other => format!("{key}: {other}"),
    };
    object.iter().map(line).collect::<Vec<_>>().join("\n")
}

impl Failure {
    fn new(message: String, verdict: Verdict) -> Self {
        Self {
            message,
            reason: None,
            verdict,
        }
    }

    fn broken(message: &str) -> Self {
        Self::new(message.to_owned(), Verdict::MayHaveRun)
    }

    fn refused(status: u16, body: &[u8]) -> Self {
        let Ok(ErrorBody { error }) = serde_json::from_slice(body) else {
            return Self::broken(&format!("the instance answered with status {status}"));
        };
        let not_run = error.verdict.as_deref() == Some(Verdict::NotRun.as_str());
        Self {
            message: error.message,
            reason: error.reason,
            verdict: if not_run {
                Verdict::NotRun
            } else {
                Verdict::MayHaveRun
            },
        }
    }

    /// Prints the message and returns the exit code.
    fn report(&self) -> Exit {
        eprintln!("gentianpath: {} ({})", self.message, self.verdict);
        match self.reason.as_deref() {
            Some(r) if r == Reason::Conflict.as_str() => Exit::Conflict,
            Some(r) if r == Reason::Invalid.as_str() => Exit::Usage,
            _ => Exit::Failure,
        }
    }
}
