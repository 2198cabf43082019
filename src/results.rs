//! Reads of jobs: status and results, through any instance.

use std::{
    collections::VecDeque,
    io,
    sync::Arc,
    time::{Duration, Instant},
};

use futures::{Stream, StreamExt, stream};
use serde::{Deserialize, Serialize};

use crate::{
    batch_state::{FinishedGroup, Tally},
    context::Context,
    ids::{GroupIndex, ItemId, JobId, ModelId, TeamId},
    job_record::{
        Counts, GroupKey, GroupRecord, InputRecord, Item, ItemState, JobRecord, JobState, Outcome,
    },
    platform::{Kind, Object, ReadError},
    progress::Progress,
    submit_run::no_job,
    verdict::{Reason, RequestError},
};

/// Groups without an entry in the progress object that one status reads at most. The counts of
/// further ones are missing from the answer. With 64 groups, callers that asked often read 0.9
/// objects for each item of a job.
const STATUS_GROUPS: usize = 8;
/// Group objects that one status reads at once.
const STATUS_AT_ONCE: usize = 8;
/// Attempts to read an object for a list of results.
const READ_ATTEMPTS: u32 = 5;
/// Time between two attempts to read an object.
const READ_PAUSE: Duration = Duration::from_millis(200);
/// When a caller should ask again while the object service is down.
const RETRY_AFTER: Duration = Duration::from_secs(5);

/// A job as callers see it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct JobStatus {
    /// Name.
    pub name: JobId,
    /// Team.
    pub team: TeamId,
    /// Model.
    pub model: ModelId,
    /// Deadline, in seconds since 1970-01-01 UTC.
    pub deadline: u64,
    /// State.
    pub state: StateName,
    /// Number of items.
    pub items: u64,
    /// Items by outcome; nothing in a list of jobs.
    #[serde(flatten, skip_serializing_if = "Option::is_none")]
    pub counts: Option<StatusCounts>,
    /// Whether the job cannot meet its deadline at the observed rate.
    pub infeasible: bool,
}

/// Items by outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct StatusCounts {
    /// Completed.
    pub done: u64,
    /// Can never succeed.
    pub failed: u64,
    /// May have run and may not be repeated.
    pub in_doubt: u64,
    /// Cancelled before completion.
    pub cancelled: u64,
}

/// State of a job as callers see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "lowercase")]
pub enum StateName {
    /// Submitted and not accepted yet; the caller must send it again.
    Loading,
    /// Not accepted: its submission stopped; the caller may send it again.
    Abandoned,
    /// Accepted.
    Running,
    /// All items have an outcome.
    Finished,
    /// Cancelled.
    Cancelled,
}

/// One line of a list of results.
#[derive(Debug)]
#[derive(Serialize)]
struct Line<'a> {
    id: &'a ItemId,
    status: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    reason: Option<&'a str>,
    attempts: u8,
}

/// Reads a job object; the view's when the object service is down.
///
/// # Errors
///
/// Returns not-found for an unknown job.
pub async fn job(ctx: &Context, name: &str) -> Result<Arc<JobRecord>, RequestError> {
    let object = match ctx.platform.get(Kind::Job, name).await {
        Ok(object) => object.map(Arc::new),
        Err(_) => {
            let view = ctx.view.load();
            let known = view.jobs.get(name).cloned();
            Some(known.ok_or_else(unavailable)?)
        }
    };
    let record = object.and_then(|o| JobRecord::deserialize(&o.value).ok());
    record.map(Arc::new).ok_or_else(|| no_job(name))
}

/// Builds the status of a job without counts.
pub fn summary(ctx: &Context, name: &JobId, record: &JobRecord) -> JobStatus {
    let state = match record.state {
        JobState::Loading => StateName::Loading,
        JobState::Ready => StateName::Running,
        JobState::Cancelled => StateName::Cancelled,
        JobState::Abandoned => StateName::Abandoned,
    };
    JobStatus {
        name: name.clone(),
        team: record.team.clone(),
        model: record.model.clone(),
        deadline: ctx.view.load().sheet.deadline(name, record.deadline),
        state,
        items: record.items,
        counts: None,
        infeasible: record.state == JobState::Ready && ctx.batch.infeasible(name),
    }
}

/// Reads the status of a job with its counts.
///
/// # Errors
///
/// Returns unavailable when the object service does not answer.
pub async fn status(ctx: &Context, name: &JobId) -> Result<JobStatus, RequestError> {
    let record = job(ctx, name).await?;
    let tally = match ctx.batch.tally(name) {
        Some(tally) => tally,
        None => read_tally(ctx, name, &record).await?,
    };
    let status = summary(ctx, name, &record);
    Ok(counted(status, &record, tally.groups, tally.counts))
}

/// Reads the progress of a job, and the first groups that it lacks.
async fn read_tally(
    ctx: &Context,
    name: &JobId,
    record: &JobRecord,
) -> Result<Tally, RequestError> {
    let progress = ctx.platform.get(Kind::Progress, name).await;
    let progress = progress.map_err(|_| unavailable())?;
    let progress = progress.and_then(|o| Progress::deserialize(o.value).ok());
    let progress = progress.unwrap_or_default();
    let open: Vec<GroupIndex> = progress.open(record.groups).take(STATUS_GROUPS).collect();
    let mut groups = progress.groups();
    let mut counts = progress.counts();
    let reads = open.into_iter().map(|index| group(ctx, name, index));
    let mut reads = stream::iter(reads).buffer_unordered(STATUS_AT_ONCE);
    while let Some(found) = reads.next().await {
        if let Some(found) = found.map_err(|_| unavailable())? {
            groups += GroupIndex::from(found.finished());
            counts.merge(found.counts());
        }
    }
    let tally = Tally {
        at: Instant::now(),
        groups,
        counts,
    };
    ctx.batch.set_tally(name, tally);
    Ok(tally)
}

fn counted(
    mut status: JobStatus,
    record: &JobRecord,
    groups: GroupIndex,
    counts: Counts,
) -> JobStatus {
    let ended = counts.done + counts.failed + counts.doubt;
    let cancelled = match record.state {
        JobState::Cancelled => record.items.saturating_sub(ended),
        _ => counts.cancelled,
    };
    status.counts = Some(StatusCounts {
        done: counts.done,
        failed: counts.failed,
        in_doubt: counts.doubt,
        cancelled,
    });
    if record.state == JobState::Ready && groups == record.groups {
        status.state = StateName::Finished;
        status.infeasible = false;
    }
    status
}

/// Returns the results of a job as JSON lines in the order of its items. Items without an outcome
/// are left out.
pub fn lines(
    ctx: Arc<Context>,
    name: JobId,
    record: Arc<JobRecord>,
) -> impl Stream<Item = io::Result<Vec<u8>>> + Send {
    let split = record.groups - record.never.min(record.groups);
    let reader = Reader {
        cursors: [Cursor::new(0, split), Cursor::new(split, record.groups)],
        ctx,
        name,
        record,
    };
    stream::try_unfold(reader, |mut reader| async move {
        let chunk = reader.chunk().await?;
        Ok(chunk.map(|c| (c, reader)))
    })
}

/// A result with its place in the job.
struct Row {
    order: u64,
    line: Vec<u8>,
}

/// Groups in the order of their items.
struct Cursor {
    next: GroupIndex,
    end: GroupIndex,
    rows: VecDeque<Row>,
}

impl Cursor {
    fn new(next: GroupIndex, end: GroupIndex) -> Self {
        Self {
            next,
            end,
            rows: VecDeque::new(),
        }
    }
}

/// Merges the repeatable and the non-repeatable groups of a job.
struct Reader {
    ctx: Arc<Context>,
    name: JobId,
    record: Arc<JobRecord>,
    cursors: [Cursor; 2],
}

impl Reader {
    /// Returns lines up to the point where another group is needed.
    async fn chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        self.fill().await?;
        let [first, second] = &mut self.cursors;
        let mut chunk = Vec::new();
        loop {
            let from = match (first.rows.front(), second.rows.front()) {
                (Some(a), Some(b)) if a.order > b.order => &mut second.rows,
                (None, Some(_)) if first.next == first.end => &mut second.rows,
                (Some(_), None) if second.next < second.end => break,
                (Some(_), _) => &mut first.rows,
                (None, _) => break,
            };
            match from.pop_front() {
                Some(row) => chunk.extend(row.line),
                None => break,
            }
        }
        Ok((!chunk.is_empty()).then_some(chunk))
    }

    /// Reads groups until both cursors have rows or are at their end.
    async fn fill(&mut self) -> io::Result<()> {
        for i in 0..self.cursors.len() {
            while self.cursors[i].rows.is_empty() && self.cursors[i].next < self.cursors[i].end {
                let key = GroupKey {
                    job: self.name.clone(),
                    index: self.cursors[i].next,
                };
                self.cursors[i].next += 1;
                let rows = self.rows(&key).await?;
                self.cursors[i].rows.extend(rows);
            }
        }
        Ok(())
    }

    async fn rows(&self, key: &GroupKey) -> io::Result<Vec<Row>> {
        let group = load(&self.ctx, key).await?;
        let held = group.record.claim.is_some();
        if held && self.record.state == JobState::Cancelled {
            self.ctx.batch.add_cancelled(key.clone());
        }
        let cancelled = self.record.state == JobState::Cancelled && !held;
        let none = ItemState::default();
        let items = group.input.items.iter().enumerate();
        let rows = items.filter_map(|(i, item)| {
            let state = group.record.items.get(i).unwrap_or(&none);
            row(item, state, cancelled)
        });
        Ok(rows.collect())
    }
}

fn row(item: &Item, state: &ItemState, cancelled: bool) -> Option<Row> {
    let (status, text, reason) = match &state.outcome {
        Some(Outcome::Done { text }) => ("done", Some(text.as_ref()), None),
        Some(Outcome::Failed { reason }) => ("failed", None, Some(reason.as_ref())),
        Some(Outcome::MayHaveRun) => ("may-have-run", None, None),
        Some(Outcome::Cancelled) => ("cancelled", None, None),
        None if cancelled => ("cancelled", None, None),
        None => return None,
    };
    let line = Line {
        id: &item.id,
        status,
        text,
        reason,
        attempts: state.attempts,
    };
    let mut line = serde_json::to_vec(&line).ok()?;
    line.push(b'\n');
    Some(Row {
        order: item.order,
        line,
    })
}

/// Reads a group with its input, and keeps it when it is finished.
async fn load(ctx: &Context, key: &GroupKey) -> io::Result<Arc<FinishedGroup>> {
    if let Some(group) = ctx.batch.cached(key) {
        return Ok(group);
    }
    let name = key.name();
    let record = read(ctx, Kind::Group, &name).await?;
    let record = record.and_then(|o| GroupRecord::deserialize(o.value).ok());
    let input = read(ctx, Kind::Input, &name).await?;
    let input = input.and_then(|o| InputRecord::deserialize(o.value).ok());
    let group = Arc::new(FinishedGroup {
        input: Arc::new(input.ok_or_else(|| io::Error::other("the input of a group is missing"))?),
        record: Arc::new(record.unwrap_or_default()),
    });
    if group.record.finished() {
        ctx.batch.cache_group(key, group.clone());
    }
    Ok(group)
}

/// Reads an object despite a short outage. The answer breaks off when it lasts, so that the caller
/// never takes a part of the results for the whole.
async fn read(ctx: &Context, kind: Kind, name: &str) -> io::Result<Option<Object>> {
    for _ in 0..READ_ATTEMPTS {
        if let Ok(object) = ctx.platform.get(kind, name).await {
            return Ok(object);
        }
        async_io::Timer::after(READ_PAUSE).await;
    }
    Err(io::Error::other("the object service does not answer"))
}

async fn group(
    ctx: &Context,
    job: &JobId,
    index: GroupIndex,
) -> Result<Option<GroupRecord>, ReadError> {
    let key = GroupKey {
        job: job.clone(),
        index,
    };
    if let Some(group) = ctx.batch.cached(&key) {
        return Ok(Some(group.record.as_ref().clone()));
    }
    let object = ctx.platform.get(Kind::Group, &key.name()).await?;
    Ok(object.and_then(|o| GroupRecord::deserialize(o.value).ok()))
}

fn unavailable() -> RequestError {
    RequestError::not_run(Reason::Unavailable, "the object service does not answer")
        .with_retry_after(RETRY_AFTER)
}
