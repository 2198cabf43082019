//! Runs the items of the jobs of this instance and commits their results.

use std::{cmp::Reverse, sync::Arc, time::Duration};

use async_io::Timer;

use crate::{
    adapter::store::StoreError,
    event,
    ids::{JobId, ServiceId, Set, SoftwareVersion},
    mutex::lock,
};

use super::{
    config::{Configuration, Route},
    fleet::{Backlog, Requirements, Urgency},
    gateway::Gateway,
    item_run::{self, Run},
    job::{self, Item, Job, Record, UsualRun},
    job_store::{self, PAGES},
    jobs::{self, SharedJob},
    suspects::Admission,
};

/// Interval at which the runner looks for free slots while items wait.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum pause between two rounds of the runner. While items wait, each heartbeat from a peer
/// notifies it.
const MIN_POLL_PAUSE: Duration = Duration::from_millis(25);
/// Pause after a commit that failed.
const COMMIT_PAUSE: Duration = Duration::from_millis(300);

/// Starts items and commits results, forever.
pub async fn run(gateway: Arc<Gateway>) {
    loop {
        let waiting = schedule(&gateway);
        let pause = async {
            if waiting {
                Timer::after(POLL_INTERVAL).await;
            } else {
                std::future::pending::<()>().await;
            }
        };
        smol::future::or(gateway.jobs.runner_notified(), pause).await;
        Timer::after(MIN_POLL_PAUSE).await;
    }
}

/// Starts items, commits results, and returns whether any work is left.
fn schedule(gateway: &Arc<Gateway>) -> bool {
    let Some(config) = gateway.config.load_full() else {
        return true;
    };
    let now = gateway.now();
    let running = gateway.jobs.running();
    let mut jobs = runnable_jobs(gateway, &config, &running);
    jobs.sort_by_key(|j| j.submitted);
    let mut unfinished = false;
    let mut full: Set<Target> = Set::default();
    let mut waiting: Vec<(u32, u64)> = Vec::new();
    let mut backlog = Backlog::default();
    for runnable in &jobs {
        let (key, tokens) = {
            let job = lock(&runnable.job);
            let key = jobs::route_key(&runnable.route, job.record.team.as_ref());
            (key, job.waiting_tokens())
        };
        match waiting.iter_mut().find(|(k, _)| *k == key) {
            Some((_, sum)) => *sum += tokens,
            None => waiting.push((key, tokens)),
        }
    }
    for urgency in [Urgency::Timely, Urgency::Late] {
        for runnable in &jobs {
            while start_item(gateway, &config, runnable, urgency, now, &mut full) {}
            let count = waiting_items(gateway, runnable, urgency, now);
            match urgency {
                Urgency::Timely => backlog.timely += count,
                Urgency::Late => backlog.late += count,
            }
        }
    }
    for (id, shared) in &running {
        fail_expired(gateway, &config, id, shared, now);
        commit(gateway, id, shared);
        unfinished |= lock(shared).is_running();
    }
    gateway.jobs.set_waiting(waiting);
    if gateway.jobs.set_backlog(backlog) {
        gateway.dispatch.notify();
    }
    unfinished
}

/// A running job with its route.
struct RunnableJob {
    id: JobId,
    job: SharedJob,
    route: Arc<Route>,
    submitted: u64,
    age: Duration,
    usual_run: Option<UsualRun>,
}

impl RunnableJob {
    /// Returns the items that can start now and have an urgency, those with the most events first.
    fn startable<'a>(&self, job: &'a Job, urgency: Urgency, now: Duration) -> Vec<&'a Item> {
        let mut items: Vec<_> = job
            .startable(now)
            .map(|i| (job.last_event(&i.id), i))
            .filter(|(last, _)| self.urgency(*last) == urgency)
            .collect();
        items.sort_by_key(|(last, _)| Reverse(*last));
        items.into_iter().map(|(_, i)| i).collect()
    }

    /// Returns the route of an item, which is the one of its job if its path has none.
    fn item_route<'a>(
        &'a self,
        config: &'a Configuration,
        host: &str,
        item: &Item,
    ) -> &'a Arc<Route> {
        config.route(host, &item.path).unwrap_or(&self.route)
    }

    /// Returns the services that run the items of the job.
    fn services(&self, config: &Configuration) -> Arc<[ServiceId]> {
        let mut job = lock(&self.job);
        if let Some((version, services)) = &job.services
            && *version == config.version
        {
            return services.clone();
        }
        let Record { host, items, .. } = &*job.record;
        let routes = items.iter().map(|i| self.item_route(config, host, i));
        let shares = routes.flat_map(|r| r.split.iter().filter(|(_, weight)| *weight > 0));
        let names = shares.map(|(service, _)| service.clone());
        let services: Set<ServiceId> = names.collect();
        let services: Arc<[ServiceId]> = services.into_iter().collect();
        job.services = Some((config.version, services.clone()));
        services
    }

    /// Returns the time from the submission after which the items fail.
    fn ttl(&self) -> Duration {
        let terms = self.route.batch();
        terms.map_or(Duration::ZERO, |t| t.item_ttl)
    }

    /// Returns the time until the items are due.
    fn left(&self) -> Duration {
        let due = self.route.batch().map_or(Duration::MAX, |t| t.due);
        due.saturating_sub(self.age)
    }

    fn urgency(&self, last: Option<u64>) -> Urgency {
        let Some(terms) = self.route.batch() else {
            return Urgency::Timely;
        };
        let remaining = self.usual_run.map(|u| u.remaining(last));
        job::urgency(self.age, terms.due, remaining)
    }
}

/// Returns the running jobs that have a route for batch jobs.
fn runnable_jobs(
    gateway: &Gateway,
    config: &Configuration,
    running: &[(JobId, SharedJob)],
) -> Vec<RunnableJob> {
    let usual_run = gateway.jobs.usual_run();
    let now = gateway.now();
    let runnable = running.iter().filter_map(|(id, shared)| {
        let mut job = lock(shared);
        let route = route_of(config, &job.record)?;
        let age = job_store::age(gateway, &job.record);
        job.due = route.batch().map(|t| (now + t.due).saturating_sub(age));
        Some(RunnableJob {
            id: id.clone(),
            job: shared.clone(),
            route,
            submitted: job.record.submitted,
            age,
            usual_run,
        })
    });
    runnable.collect()
}

fn route_of(config: &Configuration, record: &Record) -> Option<Arc<Route>> {
    let route = config.route(&record.host, &record.path);
    route.filter(|r| r.batch().is_some()).cloned()
}

/// Service of an item, and the version that wrote its text if it has one that can go on.
type Target = (ServiceId, Option<SoftwareVersion>);

/// Starts an item of a job whose service is not full, and returns whether one was started.
fn start_item(
    gateway: &Arc<Gateway>,
    config: &Configuration,
    runnable: &RunnableJob,
    urgency: Urgency,
    now: Duration,
    full: &mut Set<Target>,
) -> bool {
    let shared = &runnable.job;
    let (item, version, placement, yield_request) = loop {
        let Some((item, (service, version))) =
            next_item(gateway, config, runnable, urgency, now, full)
        else {
            return false;
        };
        let avoided = lock(shared).avoided(&item.id, now).cloned();
        let requirements = Requirements {
            service: &service,
            tried: avoided.as_slice(),
            version: version.as_ref(),
        };
        if let Some((placement, yield_request)) =
            gateway
                .dispatch
                .place_batch(&requirements, urgency, runnable.left())
        {
            break (item, version, placement, yield_request);
        }
        if avoided.is_none() {
            full.insert((service, version));
        } else if let Some(progress) = lock(shared).progress(&item.id) {
            // The worker that it keeps from may have a slot for others.
            progress.not_before = now + POLL_INTERVAL;
        }
    };
    let mut job = lock(shared);
    if version.is_none() {
        job.drop_text(&item.id);
    }
    let Some(progress) = job.progress(&item.id) else {
        return false;
    };
    progress.running = true;
    let after = progress.last;
    let unproven = progress.unproven.clone();
    let run = Run {
        gateway: gateway.clone(),
        job: runnable.id.clone(),
        shared: shared.clone(),
        host: job.record.host.clone(),
        team: job.record.team.clone(),
        item,
        attempts: runnable.route.attempts,
        ttl: runnable.ttl(),
        unproven,
    };
    drop(job);
    smol::spawn(run.run(placement, yield_request, after)).detach();
    true
}

/// Returns the first item of a job that can start now and may be sent to a worker, with its service and
/// the version that wrote its text. A text whose version has no worker left cannot go on.
fn next_item(
    gateway: &Gateway,
    config: &Configuration,
    runnable: &RunnableJob,
    urgency: Urgency,
    now: Duration,
    full: &Set<Target>,
) -> Option<(Item, Target)> {
    let is_full = |service: &ServiceId| full.contains(&(service.clone(), None));
    if !full.is_empty() && runnable.services(config).iter().all(is_full) {
        return None;
    }
    let job = lock(&runnable.job);
    let host = &job.record.host;
    let longest_pause = item_run::longest_pause(runnable.ttl());
    let is_admitted = |i: &Item| {
        // An item stays owed whatever its parts did to other requests.
        !matches!(gateway.admit(&i.marks(), &i.id), Admission::Refused(_))
            || job.idle_time(&i.id, runnable.age, now) >= longest_pause
    };
    let items = runnable.startable(&job, urgency, now);
    items.into_iter().find_map(|item| {
        let route = runnable.item_route(config, host, item);
        let service = route.service(fastrand::f64())?;
        let version = job.text_version(&item.id);
        let serves = |v: &&SoftwareVersion| gateway.dispatch.has_ready_worker(service, Some(*v));
        let target = (service.clone(), version.filter(serves).cloned());
        let can_start = !is_full(service) && !full.contains(&target) && is_admitted(item);
        can_start.then(|| (item.clone(), target))
    })
}

/// Returns the number of items of a job that only wait for a free slot. Items that are kept from the
/// workers claim none.
fn waiting_items(
    gateway: &Gateway,
    runnable: &RunnableJob,
    urgency: Urgency,
    now: Duration,
) -> u32 {
    let job = lock(&runnable.job);
    let items = runnable.startable(&job, urgency, now);
    if gateway.suspects().is_empty() {
        return items.len() as u32;
    }
    let is_free = |i: &&Item| !gateway.suspects().is_blocked(&i.marks(), now);
    items.into_iter().filter(is_free).count() as u32
}

/// Fails the unfinished items of a job that has exceeded its maximum age, and those that do not run
/// when its route has ended. A configuration from before the job cannot end its route.
fn fail_expired(
    gateway: &Gateway,
    config: &Configuration,
    id: &JobId,
    shared: &SharedJob,
    now: Duration,
) {
    let mut job = lock(shared);
    let age = job_store::age(gateway, &job.record);
    let route = route_of(config, &job.record);
    let (items, reason) = match route.as_ref().and_then(|r| r.batch()) {
        Some(terms) if age < terms.item_ttl => return,
        Some(_) => (job.unfinished_items(), "time-over"),
        None if config.version <= job.record.config => return,
        None => (job.waiting_items(), "no-route"),
    };
    if items.is_empty() {
        return;
    }
    let reason = format!("{reason} age_s={}", age.as_secs());
    for item in items {
        item_run::fail_item(&mut job, id, &item, &reason, now);
    }
    drop(job);
    gateway.jobs.notify_runner();
}

/// Commits the finished items of a job if a page is due.
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

/// Commits the finished items of a job that this instance runs no more, with one attempt for each
/// page.
pub async fn commit_rest(gateway: &Gateway, id: &JobId, shared: &SharedJob) {
    loop {
        let (page, outcomes) = {
            let job = lock(shared);
            (job.next_page(), job.pending_page())
        };
        if outcomes.is_empty() {
            return;
        }
        commit_page(gateway, id, shared, page, &outcomes).await;
        if lock(shared).next_page() == page {
            return;
        }
    }
}

/// Creates a page of results. If another instance has already created the page, its results are
/// used.
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
                job.apply_page(outcomes, gateway.now());
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
