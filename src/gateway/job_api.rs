//! Calls for batch jobs: submit a job, read results, read the body of an item, cancel a job.
//!
//! Any instance can serve any call from the object store. The instance that runs a job knows its
//! latest state, so calls are forwarded to it first.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use async_io::Timer;
use bytes::Bytes;
use hyper::{Response, StatusCode, header};
use serde::{Deserialize, Serialize};

use crate::{
    adapter::{
        job_calls::{self, JobCall},
        store::{Freshness, StoreError},
    },
    event,
    ids::{ItemId, JobId, TeamId},
    mutex::lock,
};

use super::{
    answer::{CallerBody, full_body, text_answer},
    config::{Configuration, Route},
    connection::SendError,
    gateway::Gateway,
    job::{self, Job, JobStatus, Record},
    job_store::{self, JOBS},
    jobs::{self, SharedJob},
    peer_call,
};

/// `Retry-After` when the quota is used up or the store is unavailable.
const RETRY_AFTER: Duration = Duration::from_millis(1000);
/// Interval at which a waiting read checks for results.
const READ_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// A call for a job, as instances forward it to each other.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct JobRequest {
    /// What the call asks for.
    pub action: Action,
    /// The job.
    pub job: JobId,
    /// Host of the call.
    pub host: Arc<str>,
    /// Path of the call.
    pub path: Arc<str>,
    /// Body of the call.
    pub body: Vec<u8>,
    /// Time that a read may wait for results.
    pub wait: Duration,
    /// Team of the caller. Instances of earlier releases cannot read it here, so it goes beside the request.
    #[serde(skip)]
    pub team: Option<TeamId>,
}

/// Action on a job.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Action {
    /// Submits the job.
    Submit,
    /// Reads results from a position on.
    Results(usize),
    /// Reads the body of an item.
    Item(ItemId),
    /// Cancels the job.
    End,
}

impl JobRequest {
    /// Builds a request from a caller's call.
    pub fn new(
        call: Option<JobCall>,
        call_id: JobId,
        host: &str,
        path: &str,
        body: &Bytes,
    ) -> Self {
        let (action, job) = match call {
            None => (Action::Submit, call_id),
            Some(JobCall::Results { job, after }) => (Action::Results(after), job),
            Some(JobCall::Item { job, item }) => (Action::Item(item), job),
            Some(JobCall::End { job }) => (Action::End, job),
        };
        Self {
            action,
            job,
            host: host.into(),
            path: path.into(),
            body: body.to_vec(),
            wait: Duration::ZERO,
            team: None,
        }
    }
}

/// Serves a caller's call at the instance that runs the job, or locally if there is none or it
/// fails.
pub async fn answer_caller(gateway: Arc<Gateway>, request: JobRequest) -> Response<CallerBody> {
    let started = Instant::now();
    if let Err(e) = job::check_id(&request.job) {
        return match request.action {
            Action::Submit => text_answer(StatusCode::BAD_REQUEST, &format!("job id: {e}"), None),
            _ => text_answer(StatusCode::NOT_FOUND, "no such job", None),
        };
    }
    if let Some(home) = gateway.home(&request.job) {
        match peer_call::job(home.address, &request).await {
            // The other instance may not have heard of the route yet.
            Ok(answer)
                if answer.status() == StatusCode::NOT_FOUND && request.action == Action::Submit => {
            }
            Ok(answer) if answer.status() != StatusCode::SERVICE_UNAVAILABLE => {
                let (head, body) = answer.into_parts();
                return Response::from_parts(head, full_body(body));
            }
            // The other instance guarantees that it has not accepted the job.
            Ok(_) => {}
            Err(SendError::NotSent(e) | SendError::Revoked(e)) => {
                log_peer_failure(&request, &home.instance, &e)
            }
            Err(SendError::Sent(e) | SendError::TimedOut(e)) => {
                log_peer_failure(&request, &home.instance, &e);
                if request.action == Action::Submit {
                    let answer = answer_locally(&gateway, &request).await;
                    // The first instance may have accepted the job, so a status that guarantees
                    // that the job will not run would be wrong.
                    if promises_not_run(answer.status()) {
                        return text_answer(
                            StatusCode::GATEWAY_TIMEOUT,
                            "the outcome is unknown",
                            None,
                        );
                    }
                    return answer;
                }
            }
        }
    }
    let mut request = request;
    request.wait = request.wait.saturating_sub(started.elapsed());
    answer_locally(&gateway, &request).await
}

fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    )
}

fn log_peer_failure(request: &JobRequest, peer: &str, reason: &str) {
    event!(
        Info,
        PeerCallFailed,
        "job={} peer={peer} call={:?} reason={reason:?}",
        request.job,
        request.action
    );
}

/// Serves a call at this instance.
pub async fn answer_locally(gateway: &Arc<Gateway>, request: &JobRequest) -> Response<CallerBody> {
    match &request.action {
        Action::Submit => submit(gateway, request).await,
        Action::Results(after) => read(gateway, request, *after).await,
        Action::Item(item) => read_item(gateway, request, item).await,
        Action::End => end(gateway, request).await,
    }
}

fn unavailable(reason: &str) -> Response<CallerBody> {
    text_answer(StatusCode::SERVICE_UNAVAILABLE, reason, Some(RETRY_AFTER))
}

async fn submit(gateway: &Arc<Gateway>, request: &JobRequest) -> Response<CallerBody> {
    if let Some(job) = gateway.jobs.get(&request.job) {
        return answer_known(gateway, request, &lock(&job).record);
    }
    let Some(config) = gateway.config.load_full() else {
        return unavailable("no configuration is known yet");
    };
    let Some(route) = config.route(&request.host, &request.path).cloned() else {
        return text_answer(StatusCode::NOT_FOUND, "no such route", None);
    };
    let items = match job_calls::decode_job(&request.body) {
        Ok(items) => items,
        Err(e) => return text_answer(StatusCode::BAD_REQUEST, &format!("{e:#}"), None),
    };
    let tokens: u64 = items.iter().map(|i| i.tokens).sum();
    let record = Record {
        host: request.host.clone(),
        path: request.path.clone(),
        submitted: gateway.shared_millis(),
        config: config.version,
        team: request.team.clone(),
        items,
    };
    if !record.fits_store() {
        return text_answer(StatusCode::PAYLOAD_TOO_LARGE, "the job is too large", None);
    }
    if !fits_quota(gateway, &config, &route, request.team.as_ref(), tokens) {
        // A job that was accepted before is accepted again, whatever the quota.
        return match gateway
            .store
            .get(JOBS, &request.job, Freshness::Latest)
            .await
        {
            Ok(None) => {
                event!(
                    Warn,
                    JobRefused,
                    "job={} tokens={tokens} route={}",
                    request.job,
                    route.name
                );
                text_answer(
                    StatusCode::TOO_MANY_REQUESTS,
                    "too many tokens wait",
                    Some(RETRY_AFTER),
                )
            }
            Ok(Some(_)) => job_store::adopt(gateway, &request.job).await.map_or_else(
                |e| text_answer(StatusCode::GATEWAY_TIMEOUT, &e.to_string(), None),
                |job| match job {
                    Some(job) => answer_known(gateway, request, &lock(&job).record),
                    None => text_answer(StatusCode::ACCEPTED, "accepted", None),
                },
            ),
            Err(e) => text_answer(StatusCode::GATEWAY_TIMEOUT, &e.to_string(), None),
        };
    }
    match job_store::store_record(gateway, &request.job, &record).await {
        Ok(true) => {
            event!(
                Info,
                JobAccepted,
                "job={} items={} tokens={tokens}",
                request.job,
                record.items.len()
            );
            let job = Job::new(Arc::new(record), false);
            job_store::activate(gateway, &gateway.jobs.add(&request.job, job));
            text_answer(StatusCode::ACCEPTED, "accepted", None)
        }
        Ok(false) => {
            // The record is stored, so some instance will run the job even if this one cannot adopt
            // it now.
            match job_store::adopt(gateway, &request.job).await {
                Ok(Some(job)) => return answer_known(gateway, request, &lock(&job).record),
                Ok(None) => {}
                Err(e) => event!(
                    Warn,
                    StoreCallFailed,
                    "job={} call=adopt reason=\"{e}\"",
                    request.job
                ),
            }
            text_answer(StatusCode::ACCEPTED, "accepted", None)
        }
        Err(StoreError::Unavailable(e)) => unavailable(&e),
        Err(e) => text_answer(StatusCode::GATEWAY_TIMEOUT, &e.to_string(), None),
    }
}

/// Answers the submission of a job that is known already. The id of another team's job is taken.
fn answer_known(gateway: &Gateway, request: &JobRequest, record: &Record) -> Response<CallerBody> {
    if has_access(gateway, record, request.team.as_ref()) {
        text_answer(StatusCode::ACCEPTED, "accepted", None)
    } else {
        text_answer(StatusCode::CONFLICT, "the id is taken", None)
    }
}

/// Returns whether a caller may use a job: one of its team, or any for a job of no team.
fn has_access(gateway: &Gateway, record: &Record, team: Option<&TeamId>) -> bool {
    let has_teams = || {
        let config = gateway.config.load();
        config.as_ref().is_some_and(|c| c.teams.is_some())
    };
    record.team.is_none() || record.team.as_ref() == team || team.is_none() && !has_teams()
}

/// Returns whether a job is known to be accepted, without a look at the store. Of a job that only
/// another instance knows, host, path and team are not known here.
pub fn is_accepted(
    gateway: &Gateway,
    id: &JobId,
    host: &str,
    path: &str,
    team: Option<&TeamId>,
) -> bool {
    match gateway.jobs.get(id) {
        Some(job) => {
            let job = lock(&job);
            let is_same = *job.record.host == *host && *job.record.path == *path;
            is_same && has_access(gateway, &job.record, team)
        }
        None => gateway.is_run(id),
    }
}

/// Returns whether the tokens of a job fit beside those that wait: of the team if there is one, otherwise of
/// all callers.
fn fits_quota(
    gateway: &Gateway,
    config: &Configuration,
    route: &Route,
    team: Option<&TeamId>,
    tokens: u64,
) -> bool {
    let Some(quota) = route.batch().and_then(|t| t.quota) else {
        return true;
    };
    let key = jobs::route_key(route, team);
    let is_of_route = |job: &Job| {
        let found = config.route(&job.record.host, &job.record.path);
        found.is_some_and(|r| r.name == route.name) && job.record.team.as_ref() == team
    };
    let local: u64 = gateway
        .jobs
        .running()
        .iter()
        .map(|(_, job)| lock(job))
        .filter(|job| is_of_route(job))
        .map(|job| job.waiting_tokens())
        .sum();
    let others = gateway.peers().waiting(key, gateway.now());
    local + others + tokens <= quota
}

/// Returns a job for a read, and takes it over if this instance should run it.
async fn job_for_read(
    gateway: &Arc<Gateway>,
    request: &JobRequest,
) -> Result<SharedJob, Response<CallerBody>> {
    let id = &request.job;
    if !gateway.has_discovered_peers() && !gateway.jobs.is_active(id) {
        return Err(unavailable("the instance has just started"));
    }
    let found = if gateway.home(id).is_none() {
        job_store::adopt(gateway, id).await
    } else {
        job_store::load(gateway, id).await
    };
    match found {
        Ok(Some(job)) if has_access(gateway, &lock(&job).record, request.team.as_ref()) => Ok(job),
        Ok(_) => Err(text_answer(StatusCode::NOT_FOUND, "no such job", None)),
        Err(e) => Err(unavailable(&e.to_string())),
    }
}

async fn read(gateway: &Arc<Gateway>, request: &JobRequest, after: usize) -> Response<CallerBody> {
    let started = Instant::now();
    let job = match job_for_read(gateway, request).await {
        Ok(job) => job,
        Err(answer) => return answer,
    };
    // The caller has read further at another instance.
    let behind = after > lock(&job).result_count();
    if behind && let Err(e) = job_store::read_pages(gateway, &request.job, &job).await {
        return unavailable(&e.to_string());
    }
    let mut searched = false;
    loop {
        let may_be_cut = gateway.may_be_cut();
        let now = gateway.now();
        let is_over = {
            let job = lock(&job);
            let page = job.read(after);
            let is_certain = !page.results.is_empty() || job.is_complete();
            let is_over = job.ended || started.elapsed() >= request.wait;
            let needs_search = !searched && may_be_cut && job.needs_page_check(now);
            let answer = job_calls::encode_page(&page);
            if is_certain || is_over && !needs_search {
                return json(answer);
            }
            is_over
        };
        if !is_over {
            Timer::after(READ_POLL_INTERVAL).await;
            continue;
        }
        if let Err(e) = job_store::read_pages(gateway, &request.job, &job).await {
            return unavailable(&e.to_string());
        }
        lock(&job).page_check = now;
        // With a slow store, the search takes longer than the interval between two.
        searched = true;
    }
}

async fn read_item(
    gateway: &Arc<Gateway>,
    request: &JobRequest,
    item: &ItemId,
) -> Response<CallerBody> {
    let job = match job_for_read(gateway, request).await {
        Ok(job) => job,
        Err(answer) => return answer,
    };
    let job = lock(&job);
    let found = job.record.items.iter().find(|i| i.id == *item);
    match found {
        Some(item) if !job.ended => Response::new(full_body(item.body.clone())),
        _ => text_answer(StatusCode::NOT_FOUND, "no such item", None),
    }
}

/// Checks that a job belongs to the team of a call.
async fn check_owner(
    gateway: &Arc<Gateway>,
    request: &JobRequest,
) -> Result<(), Response<CallerBody>> {
    let job = match job_store::load(gateway, &request.job).await {
        Ok(job) => job,
        Err(e) => return Err(unavailable(&e.to_string())),
    };
    let is_owner = |job: SharedJob| has_access(gateway, &lock(&job).record, request.team.as_ref());
    if job.is_some_and(is_owner) {
        Ok(())
    } else {
        Err(text_answer(StatusCode::NOT_FOUND, "no such job", None))
    }
}

async fn end(gateway: &Arc<Gateway>, request: &JobRequest) -> Response<CallerBody> {
    if request.team.is_some()
        && let Err(answer) = check_owner(gateway, request).await
    {
        return answer;
    }
    let status = JobStatus { ended: true };
    match gateway.store.set_status(JOBS, &request.job, &status).await {
        Ok(()) => {
            event!(Info, JobCancelled, "job={}", request.job);
            gateway.jobs.mark_ended(&request.job, gateway.now());
            gateway.jobs.notify_runner();
            text_answer(StatusCode::OK, "ended", None)
        }
        Err(StoreError::Missing) => text_answer(StatusCode::NOT_FOUND, "no such job", None),
        Err(e) => {
            event!(
                Info,
                StoreCallFailed,
                "job={} call=end reason=\"{e}\"",
                request.job
            );
            unavailable(&e.to_string())
        }
    }
}

fn json(body: Vec<u8>) -> Response<CallerBody> {
    let mut answer = Response::new(full_body(body));
    let kind = header::HeaderValue::from_static("application/json");
    answer.headers_mut().insert(header::CONTENT_TYPE, kind);
    answer
}
