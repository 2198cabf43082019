//! Submission and cancellation of jobs in the object service.

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

/// How long a submission or a cancel order is retried without progress before it is refused.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(5);
/// Concurrent writes of inputs by one submission.
const CONCURRENT_INPUTS: usize = 2;
/// Base of the backoff between calls.
const BACKOFF_BASE: Duration = Duration::from_millis(50);
/// Cap of the backoff between calls.
const BACKOFF_CAP: Duration = Duration::from_secs(1);
/// Time after which a caller should resend a refused submission.
const RETRY_AFTER: Duration = Duration::from_secs(5);

/// Parameters of a submitted job, without its items.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobSpec {
    /// Name of the job.
    pub job: JobId,
    /// Team.
    pub team: TeamId,
    /// Model.
    pub model: ModelId,
    /// Deadline, in seconds since 1970-01-01 UTC.
    pub deadline: u64,
}

/// Retries calls until the object service has made no progress for [`PROGRESS_TIMEOUT`].
struct Retry {
    backoff: Backoff,
    rng: fastrand::Rng,
    last_progress: Instant,
}

impl Retry {
    fn new() -> Self {
        Self {
            backoff: Backoff::new(BACKOFF_BASE, BACKOFF_CAP),
            rng: fastrand::Rng::new(),
            last_progress: Instant::now(),
        }
    }

    /// Waits for the next attempt. Returns `false` if the time without progress is over.
    async fn wait(&mut self) -> bool {
        async_io::Timer::after(self.backoff.fail(&mut self.rng)).await;
        self.last_progress.elapsed() < PROGRESS_TIMEOUT
    }

    fn record_progress(&mut self) {
        self.backoff.succeed();
        self.last_progress = Instant::now();
    }
}

/// Submits a job and returns once it is accepted, by this call or by an earlier one.
///
/// # Errors
///
/// Returns an error if the name is in use for other content, or if the object service does not
/// answer. The verdict is may-have-run only if the job may have been accepted.
pub async fn submit(
    ctx: &Arc<Context>,
    spec: &JobSpec,
    groups: &Groups,
) -> Result<Arc<Object>, RequestError> {
    let mut machine = Submit::new(record(spec, groups));
    let mut retry = Retry::new();
    while let Some(op) = machine.op() {
        let answer = call(ctx, &spec.job, groups, op, &mut retry).await;
        match machine.answer(answer) {
            Pace::Now => retry.record_progress(),
            Pace::Backoff if retry.wait().await => {}
            Pace::Backoff => return Err(unanswered(machine.maybe_accepted())),
            Pace::End(End::Accepted(version, found)) => {
                return accepted(ctx, &spec.job, version, &found);
            }
            Pace::End(End::Conflict) => break,
        }
    }
    Err(RequestError::not_run(
        Reason::Conflict,
        format!(
            "job '{}' exists with other content; use another name",
            spec.job
        ),
    ))
}

fn record(spec: &JobSpec, groups: &Groups) -> JobRecord {
    JobRecord {
        team: spec.team.clone(),
        model: spec.model.clone(),
        deadline: spec.deadline,
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
    retry: &mut Retry,
) -> Answer {
    match op {
        Op::Read => read(ctx, job).await,
        Op::Create(record) => written(ctx.platform.create(Kind::Job, job, &record).await),
        Op::Update(version, record) => {
            written(ctx.platform.update(Kind::Job, job, version, &record).await)
        }
        Op::Inputs => store_inputs(ctx, job, &groups.inputs, retry).await,
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

async fn store_inputs(
    ctx: &Arc<Context>,
    job: &JobId,
    inputs: &[InputRecord],
    retry: &mut Retry,
) -> Answer {
    for (batch, chunk) in inputs.chunks(CONCURRENT_INPUTS).enumerate() {
        let first = batch * CONCURRENT_INPUTS;
        while !store_chunk(ctx, job, first, chunk).await {
            if !retry.wait().await {
                return Answer::Unavailable;
            }
        }
        retry.record_progress();
    }
    Answer::Stored
}

/// Stores some inputs concurrently. Returns `false` if one of them may not be stored.
async fn store_chunk(ctx: &Arc<Context>, job: &JobId, first: usize, chunk: &[InputRecord]) -> bool {
    let mut writes = Vec::new();
    for (i, input) in chunk.iter().enumerate() {
        writes.push(store_input(ctx, format!("{job}.{}", first + i), input));
    }
    let stored = futures::future::join_all(writes).await;
    stored.into_iter().all(|ok| ok)
}

/// Stores one input. An existing object counts as stored, because the job's digest covers its content.
async fn store_input(ctx: &Context, name: String, input: &InputRecord) -> bool {
    let created = ctx.platform.create(Kind::Input, &name, input).await;
    matches!(created, Ok(_) | Err(WriteError::Conflict))
}

fn unanswered(may_have_run: bool) -> RequestError {
    let message = "the object service does not answer; send the job again";
    let error = if may_have_run {
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

/// Publishes a job object to this instance at once, and to the others with the next exchange.
fn publish(
    ctx: &Arc<Context>,
    job: &JobId,
    version: Version,
    record: &JobRecord,
) -> Result<Arc<Object>, RequestError> {
    let value = serde_json::to_value(record).map_err(|_| unanswered(true))?;
    let object = Arc::new(Object {
        name: job.clone(),
        version,
        value,
    });
    ctx.batch.record_job(object.clone());
    let _ = ctx.commands.try_send(Command::Refresh);
    Ok(object)
}

/// Cancels a job and returns its object. A job that is already cancelled is returned unchanged.
///
/// # Errors
///
/// Returns not-found for an unknown job. The verdict is may-have-run if the cancel order may have
/// taken effect.
pub async fn cancel(ctx: &Arc<Context>, job: &JobId) -> Result<Arc<Object>, RequestError> {
    let mut retry = Retry::new();
    loop {
        match read(ctx, job).await {
            Answer::Absent => return Err(no_job(job)),
            Answer::Found(version, record) if record.state == JobState::Cancelled => {
                return publish(ctx, job, version, &record);
            }
            Answer::Found(version, record) => {
                let record = cancelled(&record);
                if let Some(version) = write_cancel(ctx, job, version, &record, &mut retry).await? {
                    crate::event!(Info, JobCancelled, "job={job}");
                    return publish(ctx, job, version, &record);
                }
            }
            _ if retry.wait().await => {}
            _ => return Err(unanswered(false)),
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

/// Returns the version of the cancelled job, or `None` if another writer changed the job first.
async fn write_cancel(
    ctx: &Arc<Context>,
    job: &JobId,
    version: Version,
    record: &JobRecord,
    retry: &mut Retry,
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
            _ if retry.wait().await => {}
            _ => return Err(unanswered(write.uncertain())),
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
