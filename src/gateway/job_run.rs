//! Runs the items of the jobs of this instance and commits their results.

use std::{sync::Arc, time::Duration};

use async_io::Timer;

use crate::{
    adapter::store::StoreError,
    event,
    ids::{JobId, ServiceId},
    mutex::lock,
};

use super::{
    config::{Configuration, Route},
    fleet::{Backlog, Requirements, Urgency},
    gateway::Gateway,
    item_run::{self, Run},
    job::{self, Item, Record},
    job_store::{self, PAGES},
    jobs::{self, SharedJob},
};

/// Interval at which the runner looks for room while items wait.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest pause between two looks. Each message of a peer asks for one.
const LOOK_PAUSE: Duration = Duration::from_millis(25);
/// Pause after a commit that failed.
const COMMIT_PAUSE: Duration = Duration::from_millis(300);

/// Starts items and commits results for ever.
pub async fn run(gateway: Arc<Gateway>) {
    loop {
        let waiting = look(&gateway);
        let pause = async {
            if waiting {
                Timer::after(LOOK_INTERVAL).await;
            } else {
                std::future::pending::<()>().await;
            }
        };
        smol::future::or(gateway.jobs.runner_notified(), pause).await;
        Timer::after(LOOK_PAUSE).await;
    }
}

/// Starts what can start and returns whether something is left to do.
fn look(gateway: &Arc<Gateway>) -> bool {
    let Some(config) = gateway.config.load_full() else {
        return true;
    };
    let now = gateway.now();
    let running = gateway.jobs.running();
    let mut jobs = due_jobs(gateway, &config, &running);
    jobs.sort_by_key(|j| (j.urgency, j.submitted));
    let mut left = false;
    let mut full = false;
    let mut waiting: Vec<(u32, u64)> = Vec::new();
    let mut backlog = Backlog::default();
    for due in &jobs {
        let key = jobs::route_key(&due.route);
        let tokens = lock(&due.job).waiting_tokens();
        match waiting.iter_mut().find(|(k, _)| *k == key) {
            Some((_, sum)) => *sum += tokens,
            None => waiting.push((key, tokens)),
        }
        while !full && start_one(gateway, due, now, &mut full) {}
        let count = lock(&due.job).startable_count(now);
        match due.urgency {
            Urgency::Timely => backlog.timely += count,
            Urgency::Late => backlog.late += count,
        }
    }
    for (id, shared) in &running {
        give_up_late(gateway, &config, id, shared, now);
        commit(gateway, id, shared);
        left |= lock(shared).is_running();
    }
    gateway.jobs.set_waiting(waiting);
    if gateway.jobs.set_backlog(backlog) {
        gateway.dispatch.notify();
    }
    left
}

/// A job with work to do.
struct DueJob {
    id: JobId,
    job: SharedJob,
    route: Arc<Route>,
    submitted: u64,
    urgency: Urgency,
}

/// Returns the running jobs that have a route.
fn due_jobs(
    gateway: &Gateway,
    config: &Configuration,
    running: &[(JobId, SharedJob)],
) -> Vec<DueJob> {
    let run_time = gateway.jobs.run_time();
    let due = running.iter().filter_map(|(id, shared)| {
        let job = lock(shared);
        let route = route_of(config, &job.record)?;
        let urgency = match route.batch() {
            Some(terms) => job::urgency(job_store::age(&job.record), terms.due, run_time),
            None => Urgency::Timely,
        };
        Some(DueJob {
            id: id.clone(),
            job: shared.clone(),
            route,
            submitted: job.record.submitted,
            urgency,
        })
    });
    due.collect()
}

fn route_of(config: &Configuration, record: &Record) -> Option<Arc<Route>> {
    config.route(&record.host, &record.path).cloned()
}

/// Starts an item of a job and returns whether one was started.
fn start_one(gateway: &Arc<Gateway>, due: &DueJob, now: Duration, full: &mut bool) -> bool {
    let shared = &due.job;
    let Some(item) = lock(shared).startable(now).cloned() else {
        return false;
    };
    let Some(service) = item_service(gateway, &item, shared) else {
        return false;
    };
    let requirements = Requirements {
        service: &service,
        tried: &[],
    };
    let Some((placement, yields)) = gateway.dispatch.place_batch(&requirements, due.urgency) else {
        *full = true;
        return false;
    };
    let mut job = lock(shared);
    let Some(progress) = job.progress(&item.id) else {
        return false;
    };
    progress.running = true;
    let after = progress.last;
    let run = Run {
        gateway: gateway.clone(),
        job: due.id.clone(),
        shared: shared.clone(),
        host: job.record.host.clone(),
        item,
        attempts: due.route.attempts,
    };
    drop(job);
    smol::spawn(run.run(placement, yields, after)).detach();
    true
}

/// Returns the service that the configuration names for an item now.
fn item_service(gateway: &Gateway, item: &Item, shared: &SharedJob) -> Option<ServiceId> {
    let config = gateway.config.load_full()?;
    let host = lock(shared).record.host.clone();
    let route = config.route(&host, &item.path)?;
    route.service(fastrand::f64()).cloned()
}

/// Gives up the items of a job whose time is over.
fn give_up_late(
    gateway: &Gateway,
    config: &Configuration,
    id: &JobId,
    shared: &SharedJob,
    now: Duration,
) {
    let mut job = lock(shared);
    let Some(route) = route_of(config, &job.record) else {
        return;
    };
    let Some(terms) = route.batch() else {
        return;
    };
    let age = job_store::age(&job.record);
    if age < terms.item_ttl {
        return;
    }
    let reason = format!("time-over age_s={}", age.as_secs());
    for item in job.open_items() {
        item_run::give_up(&mut job, id, &item, &reason, now);
    }
    drop(job);
    gateway.jobs.notify_runner();
}

/// Commits the finished items of a job when it is time.
fn commit(gateway: &Arc<Gateway>, id: &JobId, shared: &SharedJob) {
    let mut job = lock(shared);
    let Some(outcomes) = job.page_to_commit(gateway.now()) else {
        return;
    };
    job.committing = true;
    let page = job.next_page();
    drop(job);
    let (gateway, id, shared) = (gateway.clone(), id.clone(), shared.clone());
    smol::spawn(async move {
        commit_page(&gateway, &id, &shared, page, &outcomes).await;
        lock(&shared).committing = false;
        gateway.jobs.notify_runner();
    })
    .detach();
}

/// Creates a page of results. When the page is there already, what it holds counts.
async fn commit_page(
    gateway: &Gateway,
    id: &JobId,
    shared: &SharedJob,
    page: u32,
    outcomes: &[job::Outcome],
) {
    let name = job::page_name(id, page);
    match gateway.store.create(PAGES, &name, &outcomes).await {
        Ok(()) => {
            let mut job = lock(shared);
            if job.next_page() == page {
                job.absorb(outcomes, gateway.now());
            }
            event!(
                Info,
                PageCommitted,
                "job={id} page={page} results={}",
                outcomes.len()
            );
        }
        Err(StoreError::Conflict) => {
            event!(Info, PageTaken, "job={id} page={page}");
            if let Err(e) = job_store::read_pages(gateway, id, shared).await {
                event!(
                    Info,
                    StoreCallFailed,
                    "job={id} call=read-page reason=\"{e}\""
                );
                Timer::after(COMMIT_PAUSE).await;
            }
        }
        Err(e) => {
            event!(
                Info,
                StoreCallFailed,
                "job={id} call=create-page reason=\"{e}\""
            );
            Timer::after(COMMIT_PAUSE).await;
        }
    }
}
