//! Calls of the batch driver to the object service. Each one ends in an event.

use std::{sync::Arc, time::Duration};

use futures::future::LocalBoxFuture;
use serde::Deserialize;

use crate::{
    claim::{Answer, Op},
    context::Context,
    ids::{InstanceId, JobId, Map, SessionId, Version},
    item_run::RunEnd,
    job_record::{GroupKey, GroupRecord, InputRecord, JobRecord, LeaseRecord},
    lease::{LeaseAnswer, LeaseCall},
    loading::StaleJob,
    platform::{Kind, Object, ReadError, WriteError},
    progress::Progress,
};

/// Event that the batch driver handles.
#[derive(Debug)]
pub enum Event {
    /// Periodic check for due work.
    Tick,
    /// Answer to a call for a group.
    Group(GroupKey, Answer),
    /// Items of a group; `None` if they could not be read.
    Input(GroupKey, Option<Arc<InputRecord>>),
    /// Answer to a call for this instance's lease, with the time when the call was sent.
    OwnLease(LeaseAnswer, Duration),
    /// Lease of the holder of a group; `None` if it could not be read.
    HolderLease(GroupKey, Option<ObservedLease>),
    /// Sessions on the instance list; `None` if it could not be read.
    Listed(Option<Map<InstanceId, SessionId>>),
    /// Result of reading the progress of a job.
    Progress(ProgressRead),
    /// Result of writing the progress of a job; `None` if the write failed.
    ProgressWritten(JobId, Option<Progress>),
    /// Result of closing a job whose submission stopped; `None` if it failed or had no answer.
    Closed(JobId, Option<Arc<Object>>),
    /// A run ended.
    Ended(Ended),
}

/// A lease that was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ObservedLease {
    /// Version; 0 if the object does not exist.
    pub version: Version,
    /// Session of its writer.
    pub session: Option<SessionId>,
}

/// A read of a progress object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProgressRead {
    /// Job.
    pub job: JobId,
    /// Why it was read.
    pub purpose: Purpose,
    /// Stored progress; `None` if the service did not answer.
    pub stored: Option<StoredProgress>,
}

/// Why a progress object is read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// To choose the first group of the job to claim.
    Claim,
    /// To add finished groups, or to update the number of unfinished items.
    Report,
}

/// A progress object that was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredProgress {
    /// Version; `None` if the object does not exist.
    pub version: Option<Version>,
    /// Content; empty if the object does not exist.
    pub progress: Progress,
}

/// The end of a run.
#[derive(Debug)]
pub struct Ended {
    /// Group.
    pub key: GroupKey,
    /// Claim that the run belongs to.
    pub epoch: u64,
    /// Number of the item inside the group.
    pub item: usize,
    /// Worker.
    pub worker: Arc<str>,
    /// How it ended.
    pub end: RunEnd,
}

/// A pending call.
pub type CallFuture = LocalBoxFuture<'static, Event>;

/// Makes a call for a group.
pub fn group(ctx: Arc<Context>, key: GroupKey, op: Op) -> CallFuture {
    Box::pin(async move {
        let name = key.name();
        let answer = match op {
            Op::Read => found(ctx.platform.get_record(Kind::Group, &name).await),
            Op::Create(record) => written(ctx.platform.create(Kind::Group, &name, &record).await),
            Op::Update(version, record) => written(
                ctx.platform
                    .update(Kind::Group, &name, version, &record)
                    .await,
            ),
        };
        Event::Group(key, answer)
    })
}

/// Reads the items of a group.
pub fn input(ctx: Arc<Context>, key: GroupKey) -> CallFuture {
    Box::pin(async move {
        let object = ctx.platform.get(Kind::Input, &key.name()).await;
        let input = object
            .ok()
            .flatten()
            .and_then(|o| InputRecord::deserialize(o.value).ok());
        Event::Input(key, input.map(Arc::new))
    })
}

/// Makes a call for this instance's lease.
pub fn own_lease(ctx: Arc<Context>, call: LeaseCall, record: LeaseRecord) -> CallFuture {
    Box::pin(async move {
        let sent = ctx.workers.now();
        let name = &ctx.settings.instance;
        let answer = match call {
            LeaseCall::Read => match ctx.platform.get(Kind::Lease, name).await {
                Ok(object) => LeaseAnswer::Read(object.map(|o| o.version)),
                Err(_) => LeaseAnswer::Unavailable,
            },
            LeaseCall::Create => {
                LeaseAnswer::Written(ctx.platform.create(Kind::Lease, name, &record).await)
            }
            LeaseCall::Update(version) => LeaseAnswer::Written(
                ctx.platform
                    .update(Kind::Lease, name, version, &record)
                    .await,
            ),
        };
        Event::OwnLease(answer, sent)
    })
}

/// Reads the lease of the holder of a group.
pub fn holder_lease(ctx: Arc<Context>, key: GroupKey, holder: InstanceId) -> CallFuture {
    Box::pin(async move {
        let read = ctx.platform.get(Kind::Lease, &holder).await;
        Event::HolderLease(key, read.ok().map(|o| observed(o.as_ref())))
    })
}

/// Reads the instance list.
pub fn instance_list(ctx: Arc<Context>) -> CallFuture {
    Box::pin(async move {
        let list = ctx.platform.instances().await.ok();
        let sessions = list.map(|l| l.entries.into_iter().map(|e| (e.id, e.session)).collect());
        Event::Listed(sessions)
    })
}

/// Reads the progress of a job.
pub fn progress(ctx: Arc<Context>, job: JobId, purpose: Purpose) -> CallFuture {
    Box::pin(async move {
        let read = ctx.platform.get(Kind::Progress, &job).await;
        Event::Progress(ProgressRead {
            job,
            purpose,
            stored: read.ok().map(stored),
        })
    })
}

/// Writes the progress of a job.
pub fn write_progress(
    ctx: Arc<Context>,
    job: JobId,
    version: Option<Version>,
    progress: Progress,
) -> CallFuture {
    Box::pin(async move {
        let result = ctx
            .platform
            .put(Kind::Progress, &job, version, &progress)
            .await;
        Event::ProgressWritten(job, result.ok().map(|_| progress))
    })
}

/// Closes a job whose submission stopped, if the job still has the observed version.
pub fn close(ctx: Arc<Context>, stale: StaleJob, record: JobRecord) -> CallFuture {
    Box::pin(async move {
        let StaleJob { job, version } = stale;
        let closed = ctx.platform.update(Kind::Job, &job, version, &record).await;
        let object = closed.ok().and_then(|version| {
            let value = serde_json::to_value(&record).ok()?;
            let name = job.clone();
            Some(Arc::new(Object {
                name,
                version,
                value,
            }))
        });
        Event::Closed(job, object)
    })
}

fn found(read: Result<Option<(Version, GroupRecord)>, ReadError>) -> Answer {
    match read {
        Ok(Some((version, record))) => Answer::Found(version, Arc::new(record)),
        Ok(None) => Answer::Absent,
        Err(_) => Answer::Unavailable,
    }
}

fn written(result: Result<Version, WriteError>) -> Answer {
    match result {
        Ok(version) => Answer::Written(version),
        Err(WriteError::Conflict) => Answer::Conflict,
        Err(WriteError::Refused) => Answer::Refused,
        Err(WriteError::TooLarge) => Answer::TooLarge,
        Err(WriteError::Unknown) => Answer::Unknown,
    }
}

fn observed(object: Option<&Object>) -> ObservedLease {
    let record = object.and_then(|o| LeaseRecord::deserialize(&o.value).ok());
    ObservedLease {
        version: object.map_or(0, |o| o.version),
        session: record.map(|r| r.session),
    }
}

fn stored(object: Option<Object>) -> StoredProgress {
    let version = object.as_ref().map(|o| o.version);
    let progress = object.and_then(|o| Progress::deserialize(o.value).ok());
    StoredProgress {
        version,
        progress: progress.unwrap_or_default(),
    }
}
