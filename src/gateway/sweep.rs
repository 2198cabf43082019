//! Finds jobs that no instance runs, and removes expired ones.

use std::{sync::Arc, time::Duration};

use async_io::Timer;
use smol::channel::Receiver;

use crate::{
    adapter::store::{Freshness, Object, StoreError},
    event,
    ids::{JobId, Set},
    mutex::lock,
};

use super::{
    block_store,
    gateway::Gateway,
    job::{self, Record},
    job_store::{self, JOBS, PAGES},
    orphans::Orphans,
    peer_call, peers,
};

/// Delay between a membership change and the search for jobs that nobody runs any more.
const SWEEP_DELAY: Duration = Duration::from_millis(1500);
/// Interval at which the jobs known here are looked through for those that nobody runs.
const WATCH_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which a job is kept after its retention period.
const REMOVAL_DELAY: Duration = Duration::from_secs(60);

/// Searches for jobs that no instance runs, after each membership change, and watches that somebody
/// runs the jobs known here.
///
/// The list holds all items of all jobs, so one instance reads it for all. The others remember that
/// a search is due, in case that instance fails or loses the store. An older list would lack the jobs
/// that a lost instance had just accepted.
pub async fn run(gateway: Arc<Gateway>, members: Receiver<()>) {
    let mut orphans = Orphans::default();
    let mut found = Set::default();
    let mut due = Some(gateway.now() + SWEEP_DELAY);
    loop {
        Timer::after(WATCH_INTERVAL).await;
        let now = gateway.now();
        if members.try_recv().is_ok() {
            due.get_or_insert(now + SWEEP_DELAY);
        }
        if due.is_some_and(|d| now >= d) && gateway.is_sweeper() {
            due = None;
            if let Err(e) = sweep_all(&gateway, &mut found).await {
                event!(Info, StoreCallFailed, "call=sweep reason=\"{e}\"");
                due = Some(now + SWEEP_DELAY);
            }
        }
        check_orphans(&gateway, &mut orphans, &mut found).await;
    }
}

/// Has the jobs checked that this instance knows or found in the store, and that no instance has
/// announced for some time.
async fn check_orphans(gateway: &Arc<Gateway>, orphans: &mut Orphans, found: &mut Set<JobId>) {
    let now = gateway.now();
    let announced = gateway.peers().announced(now);
    let is_announced = |id: &JobId| announced.contains(&peers::job_key(id));
    found.retain(|id| !is_announced(id) && !gateway.jobs.is_active(id));
    let mut unannounced = gateway.jobs.idle();
    unannounced.retain(|id| !is_announced(id) && !found.contains(id));
    unannounced.extend(found.iter().cloned());
    for id in orphans.update(unannounced, now) {
        let known = gateway.jobs.get(&id);
        if known.is_some_and(|job| is_expired(gateway, &lock(&job).record)) {
            gateway.jobs.remove(&id);
            continue;
        }
        event!(Warn, JobOrphaned, "job={id}");
        if !check_at_home(gateway, &id).await {
            found.remove(&id);
            gateway.jobs.remove(&id);
        }
    }
}

async fn sweep_all(gateway: &Arc<Gateway>, found: &mut Set<JobId>) -> Result<(), StoreError> {
    sweep(gateway, found).await?;
    block_store::sweep(gateway).await
}

/// Adds the jobs that no instance runs to `found`, and has them checked.
async fn sweep(gateway: &Arc<Gateway>, found: &mut Set<JobId>) -> Result<(), StoreError> {
    let mut pages = gateway.store.pages(JOBS, Freshness::Latest);
    while let Some(page) = pages.next().await? {
        for object in &page.objects {
            sweep_one(gateway, object, found).await;
        }
    }
    Ok(())
}

/// Has a listed job checked by the instance that should run it, unless an instance runs it.
async fn sweep_one(gateway: &Arc<Gateway>, object: &Object, found: &mut Set<JobId>) {
    let id: JobId = object.name.as_str().into();
    let (record, ended) = match job_store::decode(gateway, object) {
        Ok(decoded) => decoded,
        Err(e) => {
            if gateway.store.is_new_fault(JOBS, &id) {
                event!(Warn, JobInvalid, "job={id} reason=\"{e}\"");
            }
            return;
        }
    };
    let is_expired = is_expired(gateway, &record);
    let is_run = gateway.is_run(&id);
    if ended && is_run {
        // A cut may have kept the cancellation from the instance that runs the job.
        gateway.jobs.mark_ended(&id, gateway.now());
    }
    if !is_expired && (ended || is_run) {
        return;
    }
    if check_at_home(gateway, &id).await && !is_expired {
        found.insert(id);
    }
}

/// Has a job checked by the instance that should run it, and returns whether the job still exists.
async fn check_at_home(gateway: &Arc<Gateway>, id: &JobId) -> bool {
    let Some(home) = gateway.home(id) else {
        if !gateway.reaches_store() {
            return true;
        }
        return check(gateway, id).await.unwrap_or(true);
    };
    peer_call::check(home.address, id)
        .await
        .unwrap_or_else(|e| {
            event!(
                Info,
                PeerCallFailed,
                "job={id} peer={} call=check reason=\"{e:#}\"",
                home.instance
            );
            true
        })
}

/// Removes a job that has expired, and takes over one that no instance runs. Returns whether the job
/// exists.
///
/// # Errors
///
/// Returns an error when the job cannot be read from the store.
pub async fn check(gateway: &Arc<Gateway>, id: &JobId) -> Result<bool, StoreError> {
    if gateway.home(id).is_some() {
        return Ok(true);
    }
    let job = match job_store::adopt(gateway, id).await {
        Ok(Some(job)) => job,
        Ok(None) => return Ok(false),
        Err(e) => {
            event!(Info, StoreCallFailed, "job={id} call=adopt reason=\"{e}\"");
            return Err(e);
        }
    };
    let removable = {
        let job = lock(&job);
        is_expired(gateway, &job.record) && (job.is_complete() || job.ended)
    };
    if removable {
        remove(gateway, id).await;
    }
    Ok(true)
}

fn is_expired(gateway: &Gateway, record: &Record) -> bool {
    job_store::age(gateway, record) > gateway.settings.retention + REMOVAL_DELAY
}

/// Removes a job and its results from the store. The pages are removed first, so that an
/// interrupted removal is continued when the job is found again.
async fn remove(gateway: &Gateway, id: &JobId) {
    let pages = gateway.jobs.get(id).map_or(0, |job| lock(&job).next_page());
    for page in 0..pages {
        let name = job::page_name(id, page);
        if let Err(e) = gateway.store.delete(PAGES, &name).await {
            event!(
                Info,
                StoreCallFailed,
                "job={id} call=delete-page reason=\"{e}\""
            );
        }
    }
    match gateway.store.delete(JOBS, id).await {
        Ok(()) | Err(StoreError::Missing) => gateway.jobs.remove(id),
        Err(e) => event!(Info, StoreCallFailed, "job={id} call=delete reason=\"{e}\""),
    }
}
