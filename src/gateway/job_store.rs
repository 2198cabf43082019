//! Batch jobs in the object store: how an instance stores them, reads them, and takes them over from
//! others.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use async_io::Timer;

use crate::{
    adapter::store::{Freshness, Object, StoreError},
    clock, event,
    ids::JobId,
    mutex::lock,
};

use super::{
    gateway::Gateway,
    job::{self, Job, Mark, Outcome, Part, Record},
    jobs::SharedJob,
    peer_call,
};

/// Kind of the records of jobs.
pub const JOBS: &str = "batch-jobs";
/// Kind of the pages of results.
pub const PAGES: &str = "batch-pages";
/// Time in which runs of a stopping instance end: events are at most some tens of milliseconds apart.
const HAND_OVER_PAUSE: Duration = Duration::from_millis(150);
/// Time in which an unclear write of a job is settled.
const SETTLE_LIMIT: Duration = Duration::from_millis(2500);
/// Pause before an unclear write is tried again.
const SETTLE_PAUSE: Duration = Duration::from_millis(150);

/// Has this instance run a job.
pub fn activate(gateway: &Gateway, job: &SharedJob) {
    lock(job).active = true;
    gateway.jobs.notify_runner();
}

/// Stores a record and returns whether it was new. A write whose outcome is unknown is tried until it is
/// known, since it may still take effect.
///
/// # Errors
///
/// Returns `Unavailable` when nothing was stored, else that the outcome is unknown.
pub async fn store_record(
    gateway: &Gateway,
    id: &JobId,
    record: &Record,
) -> Result<bool, StoreError> {
    let started = Instant::now();
    let mut unclear = false;
    loop {
        match gateway.store.create(JOBS, id, record).await {
            Ok(()) => return Ok(true),
            Err(StoreError::Conflict) => return Ok(false),
            Err(StoreError::Unavailable(e)) if !unclear => return Err(StoreError::Unavailable(e)),
            Err(e) => {
                unclear = true;
                event!(Info, StoreCallFailed, "job={id} call=create reason=\"{e}\"");
                if started.elapsed() > SETTLE_LIMIT {
                    return Err(StoreError::Unknown(e.to_string()));
                }
            }
        }
        Timer::after(SETTLE_PAUSE).await;
    }
}

/// Returns a job, read from the store when it is not known here, or `None` if there is none.
///
/// # Errors
///
/// Returns an error when the store does not answer or holds what cannot be read.
pub async fn load(gateway: &Arc<Gateway>, id: &JobId) -> Result<Option<SharedJob>, StoreError> {
    let known = gateway.jobs.get(id);
    if let Some(job) = known {
        let stale = lock(&job).is_stale();
        if stale {
            read_pages(gateway, id, &job).await?;
        }
        return Ok(Some(job));
    }
    let Some(object) = gateway.store.get(JOBS, id, Freshness::Latest).await? else {
        return Ok(None);
    };
    let (record, ended) = decode(&object).map_err(|e| StoreError::Unknown(e.to_string()))?;
    let job = Arc::new(std::sync::Mutex::new(Job::new(Arc::new(record), ended)));
    read_pages(gateway, id, &job).await?;
    let job = Arc::into_inner(job).map(|m| m.into_inner().unwrap_or_else(|e| e.into_inner()));
    Ok(job.map(|job| gateway.jobs.add(id, job)))
}

/// Returns a job as it is stored, and whether it was ended.
///
/// # Errors
///
/// Returns an error when the record cannot be read.
pub fn decode(object: &Object) -> serde_json::Result<(Record, bool)> {
    let record = serde_json::from_str(&object.spec)?;
    let mark: Option<Mark> = serde_json::from_str(&object.status).unwrap_or_else(|e| {
        event!(
            Warn,
            JobInvalid,
            "job={} part=status reason=\"{e}\"",
            object.name
        );
        None
    });
    Ok((record, mark.unwrap_or_default().ended))
}

/// Reads the pages of results that are not known here.
///
/// # Errors
///
/// Returns an error when the store does not answer or holds what cannot be read.
pub async fn read_pages(gateway: &Gateway, id: &JobId, job: &SharedJob) -> Result<(), StoreError> {
    loop {
        let page = {
            let job = lock(job);
            if job.is_complete() {
                return Ok(());
            }
            job.next_page()
        };
        let name = job::page_name(id, page);
        let Some(object) = gateway.store.get(PAGES, &name, Freshness::Latest).await? else {
            return Ok(());
        };
        let outcomes: Vec<Outcome> =
            serde_json::from_str(&object.spec).map_err(|e| StoreError::Unknown(e.to_string()))?;
        let mut job = lock(job);
        if job.next_page() == page {
            job.absorb(&outcomes, gateway.now());
        }
    }
}

/// Takes over a job that is stored, or `None` if there is none.
///
/// # Errors
///
/// Returns an error when the job cannot be read from the store.
pub async fn adopt(gateway: &Arc<Gateway>, id: &JobId) -> Result<Option<SharedJob>, StoreError> {
    let Some(job) = load(gateway, id).await? else {
        return Ok(None);
    };
    let fresh = !lock(&job).active;
    if fresh {
        event!(
            Info,
            JobAdopted,
            "job={id} open={}",
            lock(&job).open_items().len()
        );
        activate(gateway, &job);
    }
    Ok(Some(job))
}

/// Goes on with a job that another instance hands over.
///
/// # Errors
///
/// Returns an error when the job cannot be read from the store.
pub async fn take_over(
    gateway: &Arc<Gateway>,
    id: &JobId,
    parts: Vec<Part>,
) -> Result<(), StoreError> {
    let Some(job) = load(gateway, id).await? else {
        return Err(StoreError::Missing);
    };
    event!(Info, JobAdopted, "job={id} parts={}", parts.len());
    lock(&job).take_over(parts, gateway.now());
    activate(gateway, &job);
    Ok(())
}

/// Hands the jobs of this instance over to the others.
pub async fn hand_over(gateway: &Arc<Gateway>) {
    let held = gateway.jobs.all();
    let running: Vec<_> = held
        .into_iter()
        .filter(|(_, job)| lock(job).is_running())
        .collect();
    for (_, job) in &running {
        lock(job).active = false;
    }
    // Runs notice at their next event that they are not wanted any more.
    Timer::after(HAND_OVER_PAUSE).await;
    for (id, job) in running {
        let parts = lock(&job).hand_over();
        let Some(home) = gateway.home(&id) else {
            continue;
        };
        let count = parts.len();
        match peer_call::hand_over(home.address, &id, parts).await {
            Ok(()) => event!(
                Info,
                JobReleased,
                "job={id} home={} parts={count}",
                home.instance
            ),
            Err(e) => event!(
                Info,
                PeerCallFailed,
                "job={id} peer={} call=hand-over reason=\"{e:#}\"",
                home.instance
            ),
        }
    }
}

/// Returns the time since the submission of a job.
pub fn age(record: &Record) -> Duration {
    Duration::from_millis(clock::unix_millis().saturating_sub(record.submitted))
}
