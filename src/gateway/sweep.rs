//! Finds stored jobs that no instance runs, and removes expired ones.

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
    job::{self, Record},
    job_store::{self, JOBS, PAGES},
    peer_call,
};

/// Delay between a membership change and the search for jobs that nobody runs any more.
const SWEEP_DELAY: Duration = Duration::from_millis(1500);
/// Time for which a job is kept after its retention period.
const REMOVAL_DELAY: Duration = Duration::from_secs(60);

/// Searches for jobs that no instance runs, after each membership change.
///
/// The list holds all items of all jobs, so one instance reads it for all. The others remember that
/// a search is due, in case that instance fails or loses the store.
pub async fn run(gateway: Arc<Gateway>, members: Receiver<()>) {
    loop {
        Timer::after(SWEEP_DELAY).await;
        if !gateway.is_sweeper() {
            continue;
        }
        while members.try_recv().is_ok() {}
        if let Err(e) = sweep(&gateway).await {
            event!(Info, StoreCallFailed, "call=sweep reason=\"{e}\"");
            continue;
        }
        if members.recv().await.is_err() {
            return;
        }
    }
}

async fn sweep(gateway: &Arc<Gateway>) -> Result<(), StoreError> {
    let mut after: Option<String> = None;
    loop {
        let page = gateway
            .store
            .list_page(JOBS, after.as_deref(), Freshness::Stale)
            .await?;
        for object in &page.objects {
            sweep_one(gateway, object).await;
        }
        after = page.next;
        if after.is_none() {
            return Ok(());
        }
    }
}

/// Has a listed job checked by the instance that should run it, unless an instance runs it.
async fn sweep_one(gateway: &Arc<Gateway>, object: &Object) {
    let id: JobId = object.name.as_str().into();
    let (record, ended) = match job_store::decode(object) {
        Ok(decoded) => decoded,
        Err(e) => {
            event!(Warn, JobInvalid, "job={id} reason=\"{e}\"");
            return;
        }
    };
    if !is_expired(gateway, &record) && (ended || gateway.is_run(&id)) {
        return;
    }
    let Some(home) = gateway.home(&id) else {
        check(gateway, &id).await;
        return;
    };
    if let Err(e) = peer_call::check(home.address, &id).await {
        event!(
            Info,
            PeerCallFailed,
            "job={id} peer={} call=check reason=\"{e:#}\"",
            home.instance
        );
    }
}

/// Removes a job that has expired, and takes over one that no instance runs.
pub async fn check(gateway: &Arc<Gateway>, id: &JobId) {
    if gateway.home(id).is_some() {
        return;
    }
    let job = match job_store::adopt(gateway, id).await {
        Ok(Some(job)) => job,
        Ok(None) => return,
        Err(e) => {
            event!(Info, StoreCallFailed, "job={id} call=adopt reason=\"{e}\"");
            return;
        }
    };
    let removable = {
        let job = lock(&job);
        is_expired(gateway, &job.record) && (job.is_complete() || job.ended)
    };
    if removable {
        remove(gateway, id).await;
    }
}

fn is_expired(gateway: &Gateway, record: &Record) -> bool {
    job_store::age(record) > gateway.settings.retention + REMOVAL_DELAY
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
