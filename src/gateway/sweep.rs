//! Finds stored jobs that this instance should run, and removes expired ones.

use std::{sync::Arc, time::Duration};

use async_io::Timer;
use smol::channel::Receiver;

use crate::{
    adapter::store::{Freshness, Object, StoreError},
    event,
    ids::JobId,
    mutex::lock,
};

use super::{
    gateway::Gateway,
    job,
    job_store::{self, JOBS, PAGES},
};

/// Delay between a membership change and the search for jobs that this instance should run now.
const SWEEP_DELAY: Duration = Duration::from_millis(1500);
/// Time for which a job is kept after its retention period.
const REMOVAL_DELAY: Duration = Duration::from_secs(60);

/// Searches for jobs that this instance should run, after each membership change.
pub async fn run(gateway: Arc<Gateway>, members: Receiver<()>) {
    loop {
        Timer::after(SWEEP_DELAY).await;
        while members.try_recv().is_ok() {}
        match gateway.store.list(JOBS, Freshness::Stale).await {
            Ok((objects, _)) => {
                for object in objects {
                    sweep_one(&gateway, &object).await;
                }
            }
            Err(e) => {
                event!(Info, StoreCallFailed, "call=sweep reason=\"{e}\"");
                continue;
            }
        }
        if members.recv().await.is_err() {
            return;
        }
    }
}

async fn sweep_one(gateway: &Arc<Gateway>, object: &Object) {
    let id: JobId = object.name.as_str().into();
    if gateway.home(&id).is_some() {
        return;
    }
    let (record, ended) = match job_store::decode(object) {
        Ok(decoded) => decoded,
        Err(e) => {
            event!(Warn, JobInvalid, "job={id} reason=\"{e}\"");
            return;
        }
    };
    if job_store::age(&record) > gateway.settings.retention + REMOVAL_DELAY
        && is_over(gateway, &id).await
    {
        remove(gateway, &id).await;
        return;
    }
    if ended {
        gateway.jobs.mark_ended(&id, gateway.now());
        return;
    }
    if let Err(e) = job_store::adopt(gateway, &id).await {
        event!(Info, StoreCallFailed, "job={id} call=adopt reason=\"{e}\"");
    }
}

async fn is_over(gateway: &Arc<Gateway>, id: &JobId) -> bool {
    match job_store::adopt(gateway, id).await {
        Ok(Some(job)) => lock(&job).is_complete() || lock(&job).ended,
        Ok(None) | Err(_) => false,
    }
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
