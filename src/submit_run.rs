//! Carries a submission and a cancel order to the object service.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{
    backoff::Backoff,
    conditional_write::{self, ConditionalWrite},
    context::{Command, Context},
    group::Groups,
    ids::{JobId, ModelId, TeamId, Version},
    job_record::{InputRecord, JobRecord, JobState},
    platform::{Kind, Object, WriteError},
    submit::{Answer, End, Op, Pace, Submit},
    verdict::{Reason, RequestError},
};

/// How long a submission or a cancel order tries before it is refused, without storing inputs.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(5);
/// Inputs of one submission that are written at once.
const INPUTS_AT_ONCE: usize = 2;
/// First span of the backoff.
const BACKOFF_FIRST: Duration = Duration::from_millis(50);
/// Longest span of the backoff.
const BACKOFF_MOST: Duration = Duration::from_secs(1);
/// When a caller should send a refused submission again.
const RETRY_AFTER: Duration = Duration::from_secs(5);

/// What a caller submits beside the items.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Offer {
    /// Name of the job.
    pub job: JobId,
    /// Team.
    pub team: TeamId,
    /// Model.
    pub model: ModelId,
    /// Deadline, in seconds since 1970-01-01 UTC.
    pub deadline: u64,
}

/// Bounds the time during which the object service makes no progress.
struct Trial {
    backoff: Backoff,
    rng: fastrand::Rng,
    progress: Instant,
}

impl Trial {
    fn new() -> Self {
        Self {
            backoff: Backoff::new(BACKOFF_FIRST, BACKOFF_MOST),
            rng: fastrand::Rng::new(),
            progress: Instant::now(),
        }
    }

    /// Waits for the next attempt; false when the time is up.
    async fn again(&mut self) -> bool {
        async_io::Timer::after(self.backoff.fail(&mut self.rng)).await;
        self.progress.elapsed() < PROGRESS_TIMEOUT
    }

    fn advanced(&mut self) {
        self.backoff.succeed();
        self.progress = Instant::now();
    }
}

/// Submits a job and returns once it is accepted, by this call or by an earlier one.
///
/// # Errors
///
/// The error's verdict is may-have-run only when the job may have been accepted.
pub async fn submit(
    ctx: &Arc<Context>,
    offer: &Offer,
    groups: &Groups,
) -> Result<Arc<Object>, RequestError> {
    let mut machine = Submit::new(record(offer, groups));
    let mut trial = Trial::new();
    while let Some(op) = machine.op() {
        let answer = call(ctx, &offer.job, groups, op, &mut trial).await;
        match machine.answer(answer) {
            Pace::Now => trial.advanced(),
            Pace::Backoff if trial.again().await => {}
            Pace::Backoff => return Err(gave_up(machine.doubt())),
            Pace::End(End::Accepted(version, found)) => {
                return accepted(ctx, &offer.job, version, &found);
            }
            Pace::End(End::Conflict) => break,
        }
    }
    Err(RequestError::not_run(
        Reason::Conflict,
        format!(
            "job '{}' exists with other content; use another name",
            offer.job
        ),
    ))
}

fn record(offer: &Offer, groups: &Groups) -> JobRecord {
    JobRecord {
        team: offer.team.clone(),
        model: offer.model.clone(),
        deadline: offer.deadline,
        items: groups.items,
        groups: groups.inputs.len() as u32,
        never: groups.never,
        digest: groups.digest.clone(),
        token: fastrand::u64(1..),
        state: JobState::Ready,
    }
}

async fn call(
    ctx: &Arc<Context>,
    job: &JobId,
    groups: &Groups,
    op: Op,
    trial: &mut Trial,
) -> Answer {
    match op {
        Op::Read => read(ctx, job).await,
        Op::Create(record) => written(ctx.platform.create(Kind::Job, job, &record).await),
        Op::Update(version, record) => {
            written(ctx.platform.update(Kind::Job, job, version, &record).await)
        }
        Op::Inputs => inputs(ctx, job, &groups.inputs, trial).await,
    }
}

async fn read(ctx: &Arc<Context>, job: &JobId) -> Answer {
    match ctx.platform.get_record(Kind::Job, job).await {
        Ok(Some((version, record))) => Answer::Found(version, Arc::new(record)),
        Ok(None) => Answer::Absent,
        Err(_) => Answer::Unavailable,
    }
}

fn written(result: Result<Version, WriteError>) -> Answer {
    match result {
        Ok(version) => Answer::Written(version),
        Err(WriteError::Conflict) => Answer::Conflict,
        Err(WriteError::Refused | WriteError::TooLarge) => Answer::Refused,
        Err(WriteError::Unknown) => Answer::Unknown,
    }
}

async fn inputs(
    ctx: &Arc<Context>,
    job: &JobId,
    inputs: &[InputRecord],
    trial: &mut Trial,
) -> Answer {
    for (batch, chunk) in inputs.chunks(INPUTS_AT_ONCE).enumerate() {
        let first = batch * INPUTS_AT_ONCE;
        while !store(ctx, job, first, chunk).await {
            if !trial.again().await {
                return Answer::Unavailable;
            }
        }
        trial.advanced();
    }
    Answer::Stored
}

/// Stores a few inputs.
async fn store(ctx: &Arc<Context>, job: &JobId, first: usize, chunk: &[InputRecord]) -> bool {
    let mut writes = Vec::new();
    for (i, input) in chunk.iter().enumerate() {
        writes.push(store_one(ctx, format!("{job}.{}", first + i), input));
    }
    let stored = futures::future::join_all(writes).await;
    stored.into_iter().all(|ok| ok)
}

/// Stores one input. One that exists is stored: the digest of the job covers its content.
async fn store_one(ctx: &Context, name: String, input: &InputRecord) -> bool {
    let created = ctx.platform.create(Kind::Input, &name, input).await;
    matches!(created, Ok(_) | Err(WriteError::Conflict))
}

fn gave_up(doubt: bool) -> RequestError {
    let message = "the object service does not answer; send the job again";
    let error = if doubt {
        RequestError::may_have_run(Reason::Unavailable, message)
    } else {
        RequestError::not_run(Reason::Unavailable, message)
    };
    error.with_retry_after(RETRY_AFTER)
}

fn accepted(
    ctx: &Arc<Context>,
    job: &JobId,
    version: Version,
    record: &JobRecord,
) -> Result<Arc<Object>, RequestError> {
    crate::event!(
        Info,
        JobAccepted,
        "job={job} items={} groups={} state={:?}",
        record.items,
        record.groups,
        record.state
    );
    publish(ctx, job, version, record)
}

/// Makes a job object known to this instance at once, and to the others with the next exchange.
fn publish(
    ctx: &Arc<Context>,
    job: &JobId,
    version: Version,
    record: &JobRecord,
) -> Result<Arc<Object>, RequestError> {
    let value = serde_json::to_value(record).map_err(|_| gave_up(true))?;
    let object = Arc::new(Object {
        name: job.clone(),
        version,
        value,
    });
    ctx.batch.record_job(object.clone());
    let _ = ctx.commands.try_send(Command::Refresh);
    Ok(object)
}

/// Cancels a job and returns its object; a job that was cancelled before is returned as it is.
///
/// # Errors
///
/// Returns not-found for an unknown job. The verdict is may-have-run when the cancel order may
/// have taken effect.
pub async fn cancel(ctx: &Arc<Context>, job: &JobId) -> Result<Arc<Object>, RequestError> {
    let mut trial = Trial::new();
    loop {
        match read(ctx, job).await {
            Answer::Absent => return Err(no_job(job)),
            Answer::Found(version, record) if record.state == JobState::Cancelled => {
                return publish(ctx, job, version, &record);
            }
            Answer::Found(version, record) => {
                let record = cancelled(&record);
                if let Some(version) = write_cancel(ctx, job, version, &record, &mut trial).await? {
                    crate::event!(Info, JobCancelled, "job={job}");
                    return publish(ctx, job, version, &record);
                }
            }
            _ if trial.again().await => {}
            _ => return Err(gave_up(false)),
        }
    }
}

/// Builds the error for an unknown job.
pub fn no_job(job: &str) -> RequestError {
    RequestError::not_run(Reason::NotFound, format!("no job '{job}'"))
}

fn cancelled(record: &JobRecord) -> JobRecord {
    JobRecord {
        state: JobState::Cancelled,
        token: fastrand::u64(1..),
        ..record.clone()
    }
}

/// Returns the version of the cancelled job, or nothing when another writer came first.
async fn write_cancel(
    ctx: &Arc<Context>,
    job: &JobId,
    version: Version,
    record: &JobRecord,
    trial: &mut Trial,
) -> Result<Option<Version>, RequestError> {
    let mut write = ConditionalWrite::new(Some(version), record.token);
    loop {
        let reply = match write.call() {
            conditional_write::Call::Write => reply(written(
                ctx.platform.update(Kind::Job, job, version, record).await,
            )),
            conditional_write::Call::Read => reply(read(ctx, job).await),
        };
        match write.reply(reply) {
            conditional_write::WriteStatus::Done(version) => return Ok(Some(version)),
            conditional_write::WriteStatus::Lost => return Ok(None),
            conditional_write::WriteStatus::Continue => {}
            _ if trial.again().await => {}
            _ => return Err(gave_up(write.uncertain())),
        }
    }
}

fn reply(answer: Answer) -> conditional_write::Reply {
    match answer {
        Answer::Written(version) => conditional_write::Reply::Written(version),
        Answer::Conflict => conditional_write::Reply::Conflict,
        Answer::Refused => conditional_write::Reply::Refused,
        Answer::Unknown => conditional_write::Reply::Unknown,
        Answer::Found(version, record) => conditional_write::Reply::Found {
            version,
            token: record.token,
        },
        Answer::Absent => conditional_write::Reply::Absent,
        Answer::Unavailable | Answer::Stored => conditional_write::Reply::Unavailable,
    }
}
