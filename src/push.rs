//! Pushes a sheet: brings the log up to date, then runs the conditional create.

use std::{sync::Arc, time::Duration};

use async_io::Timer;

use crate::{
    backoff::Backoff,
    context::{Command, Context},
    event,
    ids::Revision,
    platform::{Kind, Platform, ReadError},
    sheet::RawSheet,
    sheet_log::{Entry, SNAPSHOT_INTERVAL, SheetLog, entry_name},
    sheet_push::{Outcome, Push, Step, Winner},
    watch,
};

/// Upper bound of the first wait before a call of a push is repeated.
const RETRY_BASE: Duration = Duration::from_millis(50);
/// Upper bound of any wait before a call of a push is repeated.
const RETRY_CAP: Duration = Duration::from_secs(1);

/// A sheet to push.
#[derive(Debug, Clone)]
pub struct Request {
    /// The sheet.
    pub raw: RawSheet,
    /// Revision that the sheet is based on; the last one if `None`.
    pub base: Option<Revision>,
    /// Token by which a resend is recognized; a new one if `None`.
    pub token: Option<Arc<str>>,
}

/// Why a push failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// The sheet or its base is invalid, with the reason in one line.
    Invalid(String),
    /// Another push took the revision.
    Lost(Winner),
    /// The platform does not answer and nothing was written.
    NotRun,
    /// The platform does not answer and the sheet may have been written.
    MayHaveRun,
}

/// Pushes a sheet and returns its revision.
///
/// # Errors
///
/// Returns why the sheet is not in the log, or that this is unknown.
pub async fn push(ctx: &Context, request: Request) -> Result<Revision, Refusal> {
    let known = ctx.status.load().log.clone();
    let log = catch_up(&ctx.platform, &known)
        .await
        .map_err(|_| Refusal::NotRun)?;
    let token = request.token.clone().unwrap_or_else(|| new_token(ctx));
    let head = log.head();
    if let Some(base) = request.base.filter(|b| *b != head.revision) {
        return resolve_base(&ctx.platform, base, head.revision, &token).await;
    }
    let push = Push::new(&request.raw, head, token.clone());
    let push = push.map_err(|e| Refusal::Invalid(format!("{e:#}")))?;
    let Some(mut push) = push else {
        return Ok(head.revision);
    };
    let outcome = drive(&ctx.platform, &mut push).await;
    event!(
        Info,
        SheetPushed,
        "revision={} token={token} outcome={outcome:?}",
        push.revision
    );
    let revision = result_of(outcome)?;
    let _ = ctx.commands.try_send(Command::Refresh);
    if revision.is_multiple_of(SNAPSHOT_INTERVAL) {
        save_snapshot(ctx.platform.clone(), log, push.entry);
    }
    Ok(revision)
}

fn new_token(ctx: &Context) -> Arc<str> {
    format!("{}-{:016x}", ctx.settings.instance, fastrand::u64(..)).into()
}

/// Returns the log with all entries that the platform has. The log of this instance can be seconds
/// old, so two consecutive pushes of one operator could otherwise conflict.
async fn catch_up(platform: &Platform, known: &SheetLog) -> Result<SheetLog, ReadError> {
    let mut log = known.clone();
    if log.head().revision == 0 {
        for change in watch::list_all(platform, Kind::Sheet).await?.changes {
            if let Some(value) = &change.value {
                log.offer_object(&change.name, value);
            }
        }
    }
    let after = entry_name(log.head().revision);
    for object in platform.list_all(Kind::Sheet, &after).await?.items {
        log.offer_object(&object.name, &object.value);
    }
    Ok(log)
}

/// Resolves a push whose base is not the last revision: a resend that was accepted before, a lost
/// push or an invalid base.
async fn resolve_base(
    platform: &Platform,
    base: Revision,
    head: Revision,
    token: &Arc<str>,
) -> Result<Revision, Refusal> {
    if base > head {
        return Err(Refusal::Invalid(format!(
            "base revision {base} is after the last revision {head}; read the sheet again"
        )));
    }
    let revision = base + 1;
    match read_token(platform, revision).await {
        Ok(Some(found)) if found == *token => Ok(revision),
        Ok(token) => Err(Refusal::Lost(Winner { revision, token })),
        Err(_) => Err(Refusal::Lost(Winner {
            revision,
            token: None,
        })),
    }
}

async fn drive(platform: &Platform, push: &mut Push) -> Outcome {
    let mut backoff = Backoff::new(RETRY_BASE, RETRY_CAP);
    let mut rng = fastrand::Rng::new();
    let name = entry_name(push.revision);
    let mut first = true;
    loop {
        let step = push.step().clone();
        if !std::mem::take(&mut first) && !matches!(step, Step::Done(_)) {
            Timer::after(backoff.fail(&mut rng)).await;
        }
        match step {
            Step::Create => {
                let answer = platform.create(Kind::Sheet, &name, &push.entry).await;
                push.created(answer.map(|_| ()));
            }
            Step::Read => push.read(read_token(platform, push.revision).await),
            Step::Done(outcome) => return outcome,
        }
    }
}

async fn read_token(
    platform: &Platform,
    revision: Revision,
) -> Result<Option<Arc<str>>, ReadError> {
    let object = platform.get(Kind::Sheet, &entry_name(revision)).await?;
    let token = object.and_then(|o| o.value["token"].as_str().map(Into::into));
    Ok(token)
}

fn result_of(outcome: Outcome) -> Result<Revision, Refusal> {
    match outcome {
        Outcome::Accepted(revision) => Ok(revision),
        Outcome::Lost(winner) => Err(Refusal::Lost(winner)),
        Outcome::TooLarge => Err(Refusal::Invalid(
            "the changed parts are over the size limit of an object; push them in several steps"
                .into(),
        )),
        Outcome::NotRun => Err(Refusal::NotRun),
        Outcome::MayHaveRun => Err(Refusal::MayHaveRun),
    }
}

fn save_snapshot(platform: Platform, mut log: SheetLog, entry: Entry) {
    let task = async move {
        log.offer(entry.base + 1, entry);
        watch::write_snapshot(&platform, log.head()).await;
    };
    async_global_executor::spawn(task).detach();
}
