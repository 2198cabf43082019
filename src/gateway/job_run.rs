//! Runs the items of the jobs of this instance and commits their results.

use std::{sync::Arc, time::Duration};

use async_io::Timer;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Method, Request, StatusCode, header};
use smol::channel::Receiver;

use crate::{
    adapter::{
        headers::{self, Attempt},
        store::{Freshness, StoreError},
    },
    event,
    ids::{JobId, ServiceId},
};

use super::{
    config::{Configuration, Route},
    connection::{self, SendError},
    dispatch::Placement,
    fleet::{Ask, Backlog, Urgency},
    gateway::Gateway,
    job::{self, Item, Mark, Record, Verdict},
    job_api::{self, JOBS, PAGES},
    jobs::{self, SharedJob, lock},
    sse::Splitter,
};

/// Interval at which the runner looks for room while items wait.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest pause between two looks. Each message of a peer asks for one.
const LOOK_PAUSE: Duration = Duration::from_millis(25);
/// Time without an event after which an item goes on elsewhere.
const STALL_LIMIT: Duration = Duration::from_millis(1500);
/// Pause before an item is started again after a worker refused or broke it.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Pause before an item is started again after a worker's error.
const ERROR_PAUSE: Duration = Duration::from_millis(300);
/// Pause after a commit that failed.
const COMMIT_PAUSE: Duration = Duration::from_millis(300);
/// Time from a change of the members to the look for jobs that have a new home.
const SWEEP_DELAY: Duration = Duration::from_millis(1500);
/// Time after its retention for which a job is kept.
const REMOVE_AFTER: Duration = Duration::from_secs(60);
/// Size of a worker's answer that is an error.
const ERROR_BYTES: usize = 64 << 10;

/// How a run of an item ended.
enum RunEnd {
    /// Its output is whole.
    Whole,
    /// It gave its place to online requests.
    Yielded,
    /// The worker did not run it.
    Refused(StatusCode),
    /// The worker broke off or fell silent.
    Broken(String),
    /// The worker failed on the item.
    Failed(StatusCode),
    /// The item can never be done.
    Impossible,
}

/// A run of an item.
struct Run {
    gateway: Arc<Gateway>,
    job: JobId,
    shared: SharedJob,
    item: Item,
    host: Arc<str>,
    attempts: u32,
}

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
        smol::future::or(gateway.jobs.woken(), pause).await;
        Timer::after(LOOK_PAUSE).await;
    }
}

/// Starts what can start; says whether something is left to do.
fn look(gateway: &Arc<Gateway>) -> bool {
    let Some(config) = gateway.config.load_full() else {
        return true;
    };
    let now = gateway.now();
    let mut jobs = due_jobs(gateway, &config);
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
    for (id, shared) in gateway.jobs.all() {
        if !lock(&shared).is_running() {
            continue;
        }
        give_up_late(gateway, &config, &id, &shared, now);
        commit(gateway, &id, &shared);
        left |= lock(&shared).is_running();
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

/// Returns the jobs of this instance that have work to do and a route. Jobs that are over outnumber
/// them after a while.
fn due_jobs(gateway: &Gateway, config: &Configuration) -> Vec<DueJob> {
    let run_time = gateway.jobs.run_time();
    let jobs = gateway.jobs.all().into_iter();
    let due = jobs.filter_map(|(id, shared)| {
        let job = lock(&shared);
        if !job.is_running() {
            return None;
        }
        let route = route_of(config, &job.record)?;
        let submitted = job.record.submitted;
        drop(job);
        let age = Duration::from_millis(job_api::unix_millis().saturating_sub(submitted));
        let urgency = match route.batch() {
            Some(terms) => job::urgency(age, terms.due, run_time),
            None => Urgency::Timely,
        };
        Some(DueJob {
            id,
            job: shared,
            route,
            submitted,
            urgency,
        })
    });
    due.collect()
}

fn route_of(config: &Configuration, record: &Record) -> Option<Arc<Route>> {
    config.route(&record.host, &record.path).cloned()
}

/// Starts an item of a job; says whether one was started.
fn start_one(gateway: &Arc<Gateway>, due: &DueJob, now: Duration, full: &mut bool) -> bool {
    let shared = &due.job;
    let Some(item) = lock(shared).startable(now).cloned() else {
        return false;
    };
    let Some(service) = item_service(gateway, &item, shared) else {
        return false;
    };
    let ask = Ask {
        service: &service,
        tried: &[],
    };
    let Some((placement, yields)) = gateway.dispatch.place_batch(&ask, due.urgency) else {
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
    let age = Duration::from_millis(job_api::unix_millis().saturating_sub(job.record.submitted));
    if age < terms.item_ttl {
        return;
    }
    for item in job.open_items() {
        event!(
            Info,
            ItemFailed,
            "job={id} item={item} reason=time-over age_s={}",
            age.as_secs()
        );
        job.finish(&item, Verdict::GivenUp, "".into(), now);
    }
    drop(job);
    gateway.jobs.wake();
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
        gateway.jobs.wake();
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
            if let Err(e) = job_api::read_pages(gateway, id, shared).await {
                event!(Info, StoreCallFailed, "job={id} call=read-page reason={e}");
                Timer::after(COMMIT_PAUSE).await;
            }
        }
        Err(e) => {
            event!(
                Info,
                StoreCallFailed,
                "job={id} call=create-page reason={e}"
            );
            Timer::after(COMMIT_PAUSE).await;
        }
    }
}

impl Run {
    async fn run(self, placement: Placement, yields: Receiver<()>, after: Option<u64>) {
        let started = self.gateway.now();
        let mut text = Vec::new();
        let mut last = after;
        let yielded = async {
            let _ = yields.recv().await;
            RunEnd::Yielded
        };
        let work = self.stream(&placement, after, &mut text, &mut last);
        let end = smol::future::or(work, yielded).await;
        if after.is_none() && matches!(end, RunEnd::Whole) {
            let time = self.gateway.now().saturating_sub(started);
            self.gateway.jobs.note_run_time(time);
        }
        let worker = placement.worker.id.clone();
        drop(placement);
        self.settle(end, text, last, &worker);
        self.gateway.jobs.wake();
    }

    /// Runs the item at a worker and collects its events.
    async fn stream(
        &self,
        placement: &Placement,
        after: Option<u64>,
        text: &mut Vec<Arc<str>>,
        last: &mut Option<u64>,
    ) -> RunEnd {
        let dispatch = &self.gateway.dispatch;
        let worker = &placement.worker;
        let mut connection = match self.gateway.upstream.connect(worker, true).await {
            Ok(connection) => connection,
            Err(e) => {
                dispatch.unreachable(worker);
                return RunEnd::Broken(e.to_string());
            }
        };
        let request = match self.request(&worker.id, after) {
            Ok(request) => request,
            Err(e) => return RunEnd::Broken(e.to_string()),
        };
        let send = smol::future::or(connection.send(request), async {
            Timer::after(STALL_LIMIT).await;
            Err(SendError::Sent("no answer in time".into()))
        });
        let answer = match send.await {
            Ok(answer) => answer,
            Err(SendError::NotSent(e)) => return RunEnd::Broken(e),
            Err(SendError::Sent(e)) => {
                dispatch.failed(&worker.id);
                return RunEnd::Broken(e);
            }
        };
        let terms = headers::decode_answer(&answer);
        if terms.id.as_ref().is_some_and(|id| *id != self.item.id) {
            return RunEnd::Broken("the worker answered another request".into());
        }
        if terms.not_run {
            return RunEnd::Refused(answer.status());
        }
        let status = answer.status();
        if status == StatusCode::UNPROCESSABLE_ENTITY {
            return RunEnd::Impossible;
        }
        if !status.is_success() {
            let read = connection::read_body(answer.into_body(), ERROR_BYTES);
            if connection::within(STALL_LIMIT, read).await.is_ok() {
                self.gateway.upstream.keep(&worker.id, connection);
            }
            return RunEnd::Failed(status);
        }
        if !terms.sealed {
            return RunEnd::Broken("the answer has no signature".into());
        }
        dispatch.worked(worker);
        let mut body = answer.into_body();
        let mut splitter = Splitter::default();
        loop {
            let frame = async {
                match body.frame().await {
                    None => Ok(None),
                    Some(Ok(frame)) => Ok(Some(frame)),
                    Some(Err(e)) => Err(std::io::Error::other(e)),
                }
            };
            match connection::within(STALL_LIMIT, frame).await {
                Ok(Some(frame)) => {
                    if let Some(data) = frame.data_ref() {
                        splitter.push(data);
                    }
                }
                Ok(None) if splitter.is_empty() => {
                    self.gateway.upstream.keep(&worker.id, connection);
                    return RunEnd::Whole;
                }
                Ok(None) => return RunEnd::Broken("the stream ended inside an event".into()),
                Err(e) => {
                    dispatch.failed(&worker.id);
                    return RunEnd::Broken(e.to_string());
                }
            }
            while let Some(event) = splitter.pop() {
                if event.id.is_some() && event.id <= *last {
                    continue;
                }
                *last = event.id.or(*last);
                text.push(String::from_utf8_lossy(&event.data()).into());
            }
            let wanted = {
                let job = lock(&self.shared);
                job.active && !job.ended
            };
            if !wanted {
                return RunEnd::Yielded;
            }
        }
    }

    fn request(
        &self,
        worker: &Arc<str>,
        after: Option<u64>,
    ) -> hyper::http::Result<Request<Full<Bytes>>> {
        let mut call = HeaderMap::new();
        for (name, value) in &self.item.headers {
            if let (Ok(name), Ok(value)) = (
                header::HeaderName::try_from(name),
                header::HeaderValue::try_from(value),
            ) {
                call.append(name, value);
            }
        }
        if let Ok(host) = header::HeaderValue::from_str(&self.host) {
            call.insert(header::HOST, host);
        }
        headers::set_request_id(&mut call, &self.item.id);
        let attempt = Attempt {
            worker,
            remaining: None,
            after,
        };
        let mut request = Request::builder()
            .method(Method::POST)
            .uri(&*self.item.path)
            .body(Full::new(self.item.body.clone()))?;
        *request.headers_mut() = headers::encode_attempt(&call, &attempt);
        Ok(request)
    }

    /// Takes the end of the run into the state of the job.
    fn settle(&self, end: RunEnd, text: Vec<Arc<str>>, last: Option<u64>, worker: &str) {
        let now = self.gateway.now();
        let mut job = lock(&self.shared);
        let Some(progress) = job.progress(&self.item.id) else {
            return;
        };
        progress.running = false;
        progress.text.extend(text);
        progress.last = last;
        let id = &self.item.id;
        match end {
            RunEnd::Whole => {
                let output = progress.text.join("\n");
                job.finish(id, Verdict::Done, output.into(), now);
            }
            RunEnd::Yielded => {
                event!(Info, ItemYielded, "item={id} worker={worker} last={last:?}");
            }
            RunEnd::Refused(status) => {
                event!(
                    Info,
                    WorkerRefused,
                    "item={id} worker={worker} status={}",
                    status.as_u16()
                );
                progress.not_before = now + RETRY_PAUSE;
            }
            RunEnd::Broken(reason) => {
                event!(
                    Info,
                    ItemBroken,
                    "item={id} worker={worker} last={last:?} reason={reason:?}"
                );
                progress.not_before = now + RETRY_PAUSE;
            }
            RunEnd::Failed(status) => {
                progress.failures += 1;
                progress.not_before = now + ERROR_PAUSE;
                let failures = progress.failures;
                if failures >= self.attempts {
                    let job_id = &self.job;
                    event!(
                        Info,
                        ItemFailed,
                        "job={job_id} item={id} reason=errors count={failures} status={}",
                        status.as_u16()
                    );
                    job.finish(id, Verdict::GivenUp, "".into(), now);
                }
            }
            RunEnd::Impossible => {
                event!(
                    Info,
                    ItemFailed,
                    "job={} item={id} reason=impossible",
                    self.job
                );
                job.finish(id, Verdict::GivenUp, "".into(), now);
            }
        }
    }
}

/// Looks for jobs that have this instance as a new home, after each change of the members.
pub async fn sweep(gateway: Arc<Gateway>, members: Receiver<()>) {
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
                event!(Info, StoreCallFailed, "call=sweep reason={e}");
                continue;
            }
        }
        if members.recv().await.is_err() {
            return;
        }
    }
}

async fn sweep_one(gateway: &Arc<Gateway>, object: &crate::adapter::store::Object) {
    let id: JobId = object.name.as_str().into();
    if gateway.home(&id).is_some() {
        return;
    }
    let mark: Option<Mark> = serde_json::from_str(&object.status).unwrap_or_default();
    let record: Record = match serde_json::from_str(&object.spec) {
        Ok(record) => record,
        Err(e) => {
            event!(Warn, JobInvalid, "job={id} reason={e}");
            return;
        }
    };
    let age = Duration::from_millis(job_api::unix_millis().saturating_sub(record.submitted));
    if age > gateway.settings.retention + REMOVE_AFTER && is_over(gateway, &id).await {
        remove(gateway, &id).await;
        return;
    }
    let ended = mark.unwrap_or_default().ended;
    if ended {
        gateway.jobs.note_ended(&id, gateway.now());
        return;
    }
    if let Err(e) = job_api::adopt(gateway, &id).await {
        event!(Info, StoreCallFailed, "job={id} call=adopt reason={e}");
    }
}

async fn is_over(gateway: &Arc<Gateway>, id: &JobId) -> bool {
    match job_api::adopt(gateway, id).await {
        Ok(Some(job)) => lock(&job).is_complete() || lock(&job).ended,
        Ok(None) | Err(_) => false,
    }
}

/// Removes a job and its results from the store. The pages go first, so that a removal that stops
/// half way is found again by the job.
async fn remove(gateway: &Gateway, id: &JobId) {
    let pages = gateway.jobs.get(id).map_or(0, |job| lock(&job).next_page());
    for page in 0..pages {
        let name = job::page_name(id, page);
        if let Err(e) = gateway.store.delete(PAGES, &name).await {
            event!(
                Info,
                StoreCallFailed,
                "job={id} call=delete-page reason={e}"
            );
        }
    }
    match gateway.store.delete(JOBS, id).await {
        Ok(()) | Err(StoreError::Missing) => gateway.jobs.remove(id),
        Err(e) => event!(Info, StoreCallFailed, "job={id} call=delete reason={e}"),
    }
}
