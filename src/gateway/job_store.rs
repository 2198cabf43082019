//! Batch jobs in the object store: storing them, reading them and taking them over from other
//! instances.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use async_io::Timer;

use crate::{
    adapter::store::{Freshness, Object, StoreError},
    event,
    ids::{InstanceId, JobId, Set},
    mutex::{Mutex, lock},
};

use super::{
    gateway::Gateway,
    job::{self, ItemHandover, Job, JobStatus, Outcome, Record},
    job_run,
    jobs::SharedJob,
    peer_call,
};

/// Object kind of job records.
pub const JOBS: &str = "batch-jobs";
/// Object kind of result pages.
pub const PAGES: &str = "batch-pages";
/// Time within which the runs of a stopping instance end; consecutive events are at most some tens
/// of milliseconds apart.
const HAND_OVER_PAUSE: Duration = Duration::from_millis(150);
/// Time for which a write of a job with an unknown outcome is retried.
const WRITE_RETRY_LIMIT: Duration = Duration::from_millis(2500);
/// Delay before a write with an unknown outcome is retried.
const WRITE_RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Makes this instance run a job.
pub fn activate(gateway: &Gateway, job: &SharedJob) {
    lock(job).active = true;
    gateway.jobs.notify_runner();
}

/// Stores a record and returns whether it was new. A write with an unknown outcome is retried until
/// the outcome is known, since it may still take effect.
///
/// # Errors
///
/// Returns `Unavailable` when nothing was stored, or another error when the outcome is unknown.
pub async fn store_record(
    gateway: &Gateway,
    id: &JobId,
    record: &Record,
) -> Result<bool, StoreError> {
    let started = Instant::now();
    let mut outcome_unknown = false;
    loop {
        match gateway.store.create(JOBS, id, record).await {
            Ok(()) => return Ok(true),
            Err(StoreError::Conflict) => return Ok(false),
            Err(
                e
                @ (StoreError::Unavailable(_) | StoreError::Refused(_) | StoreError::Unnamable(_)),
            ) if !outcome_unknown => return Err(e),
            Err(e) => {
                outcome_unknown = true;
                event!(Info, StoreCallFailed, "job={id} call=create reason=\"{e}\"");
                if started.elapsed() > WRITE_RETRY_LIMIT {
                    return Err(StoreError::Unknown(e.to_string()));
                }
            }
        }
        Timer::after(WRITE_RETRY_PAUSE).await;
    }
}

/// Returns a job, or `None` when there is none. The job is read from the store if it is not known
/// here.
///
/// # Errors
///
/// Returns an error when the store does not answer or an object cannot be decoded.
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
    let (record, ended) =
        decode(gateway, &object).map_err(|e| StoreError::Unknown(e.to_string()))?;
    let job = Arc::new(Mutex::new(Job::new(Arc::new(record), ended)));
    read_pages(gateway, id, &job).await?;
    let job = Arc::into_inner(job).map(|m| m.into_inner().unwrap_or_else(|e| e.into_inner()));
    Ok(job.map(|job| gateway.jobs.add(id, job)))
}

/// Decodes a stored job, and returns whether it was cancelled.
///
/// # Errors
///
/// Returns an error when the record cannot be read.
pub fn decode(gateway: &Gateway, object: &Object) -> serde_json::Result<(Record, bool)> {
    let record = serde_json::from_str(&object.spec)?;
    let status: Option<JobStatus> = serde_json::from_str(&object.status).unwrap_or_else(|e| {
        let id = &object.name;
        if gateway.store.is_new_fault(JOBS, id) {
            event!(Warn, JobInvalid, "job={id} part=status reason=\"{e}\"");
        }
        None
    });
    Ok((record, status.unwrap_or_default().ended))
}

/// Reads the result pages that are not known here yet.
///
/// # Errors
///
/// Returns an error when the store does not answer or an object cannot be decoded.
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
            job.apply_page(&outcomes, gateway.now());
        }
    }
}

/// Takes over a stored job, or returns `None` when there is none.
///
/// # Errors
///
/// Returns an error when the job cannot be read from the store.
pub async fn adopt(gateway: &Arc<Gateway>, id: &JobId) -> Result<Option<SharedJob>, StoreError> {
    let Some(job) = load(gateway, id).await? else {
        return Ok(None);
    };
    let newly_adopted = !lock(&job).active;
    if newly_adopted {
        event!(
            Info,
            JobAdopted,
            "job={id} open={}",
            lock(&job).unfinished_items().len()
        );
        activate(gateway, &job);
    }
    Ok(Some(job))
}

/// Continues a job that another instance hands over.
///
/// # Errors
///
/// Returns an error when the job cannot be read from the store.
pub async fn take_over(
    gateway: &Arc<Gateway>,
    id: &JobId,
    parts: Vec<ItemHandover>,
) -> Result<(), StoreError> {
    let Some(job) = load(gateway, id).await? else {
        return Err(StoreError::Missing);
    };
    event!(Info, JobAdopted, "job={id} parts={}", parts.len());
    lock(&job).take_over(parts, gateway.now());
    activate(gateway, &job);
    Ok(())
}

/// Hands the jobs of this instance over to the others. An instance that failed once is left out. The
/// finished results of a job that no instance takes over are stored.
pub async fn hand_over(gateway: &Arc<Gateway>) {
    let known = gateway.jobs.all();
    let running: Vec<_> = known
        .into_iter()
        .filter(|(_, job)| lock(job).is_running())
        .collect();
    for (_, job) in &running {
        lock(job).active = false;
    }
    // Runs check at their next event whether the job is still active.
    Timer::after(HAND_OVER_PAUSE).await;
    let mut failed = Set::default();
    for (id, job) in running {
        let parts = lock(&job).hand_over();
        if !hand_over_job(gateway, &id, &parts, &mut failed).await {
            job_run::commit_rest(gateway, &id, &job).await;
        }
    }
}

/// Hands a job over to the first instance that takes it, and returns whether one did. Those that
/// fail are added to `failed`.
async fn hand_over_job(
    gateway: &Gateway,
    id: &JobId,
    parts: &[ItemHandover],
    failed: &mut Set<InstanceId>,
) -> bool {
    let heirs = gateway.peers().heirs(id, gateway.now());
    for heir in heirs {
        if failed.contains(&heir.instance) {
            continue;
        }
        let error = match peer_call::hand_over(heir.address, id, parts.to_vec()).await {
            Ok(()) => {
                event!(
                    Info,
                    JobReleased,
                    "job={id} home={} parts={}",
                    heir.instance,
                    parts.len()
                );
                return true;
            }
            Err(e) => e,
        };
        event!(
            Info,
            PeerCallFailed,
            "job={id} peer={} call=hand-over reason=\"{error:#}\"",
            heir.instance
        );
        failed.insert(heir.instance);
    }
    false
}

/// Returns the time since the submission of a job.
pub fn age(gateway: &Gateway, record: &Record) -> Duration {
    Duration::from_millis(gateway.shared_millis().saturating_sub(record.submitted))
}
