//! Forwards a call to workers of its service, one after the other, until one answers.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{HeaderMap, Method, Request, Response, StatusCode, Uri, body::Incoming, header};

use crate::{
    adapter::headers::{self, AnswerTerms, Attempt},
    event,
    ids::{RequestId, ServiceId, WorkerId},
    metrics::{self, CallEnd},
};

use super::{
    answer::{CallerBody, refuse, whole},
    config::{Route, RouteKind},
    connection::{self, Connection, SendError},
    dispatch::{Busy, Placement},
    fleet::Requirements,
    gateway::Gateway,
    relay,
};

/// Part of the objective that a request waits for a worker before it is refused: a refusal that
/// comes sooner leaves the caller time to succeed elsewhere.
const WAIT_SHARE: f64 = 0.22;
/// Time that a stream which was forwarded in part waits for another worker.
pub const RESUME_WAIT: Duration = Duration::from_millis(800);
/// Part of the objective without a first event after which a repeatable request leaves a worker that
/// had a free slot; another one is still in time then.
const FIRST_SHARE: f64 = 0.55;
/// Part of the objective without a first event after which a repeatable request leaves a worker at
/// which it had to wait.
const QUEUED_SHARE: f64 = 3.0;
/// Workers that a call is sent to at most when each one refuses it.
const TRIES: usize = 6;
/// Size of a worker's whole answer at most.
const ANSWER_LIMIT: usize = 16 << 20;
/// Time that a caller is asked to wait when no worker of the service is known.
const NO_WORKER_RETRY: Duration = Duration::from_millis(500);

/// A call of a caller, with its body.
#[derive(Debug, Clone)]
pub struct Call {
    /// Id of the call.
    pub id: RequestId,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers as the caller sent them.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Time of arrival.
    pub received: Instant,
    /// Time that the caller waits.
    pub deadline: Option<Duration>,
    /// Event after which the caller wants a stream to go on.
    pub after: Option<u64>,
}

/// A worker's answer whose head was received.
pub struct Live {
    /// The worker.
    pub placement: Placement,
    /// Connection to it.
    pub connection: Connection,
    /// Its answer.
    pub answer: Response<Incoming>,
}

/// How an attempt at one worker went.
enum Attempted {
    /// The worker answers.
    Answered(Live),
    /// The worker has not run the call, or failed on it in a way that another one may make good.
    Elsewhere,
    /// The worker may have run the call.
    Broken(Placement, String),
}

/// Why a call has no answer of a worker.
#[derive(Debug)]
pub enum Failure {
    /// It has not run and will not.
    NotRun(Busy),
    /// It may have run.
    MayHaveRun(String),
    /// The time of the route or of the caller is over.
    TimedOut,
    /// A worker answered with a failure.
    Answered(Response<Bytes>),
}

impl std::fmt::Display for Failure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NotRun(_) => f.write_str("no worker is free"),
            Self::MayHaveRun(reason) => f.write_str(reason),
            Self::TimedOut => f.write_str("the time is over"),
            Self::Answered(answer) => write!(f, "a worker answered {}", answer.status()),
        }
    }
}

/// Attempts of one call.
pub struct Session {
    /// Route of the call.
    pub route: Arc<Route>,
    /// The call.
    pub call: Call,
    gateway: Arc<Gateway>,
    service: ServiceId,
    tried: Vec<WorkerId>,
    runs: u32,
    end: Instant,
    ended: bool,
}

/// Forwards a call and returns the answer for the caller.
pub async fn forward(gateway: Arc<Gateway>, route: Arc<Route>, call: Call) -> Response<CallerBody> {
    let Some(service) = route.service(fastrand::f64()).cloned() else {
        return refuse(
            &call.id,
            StatusCode::SERVICE_UNAVAILABLE,
            "the route has no service",
            None,
        );
    };
    let limit = call.deadline.unwrap_or(route.timeout).min(route.timeout);
    let session = Session {
        end: call.received + limit,
        gateway,
        route,
        service,
        call,
        tried: Vec::new(),
        runs: 0,
        ended: false,
    };
    session.run().await
}

impl Session {
    async fn run(mut self) -> Response<CallerBody> {
        let max_wait = self.route.objective.mul_f64(WAIT_SHARE);
        let max_wait = max_wait.saturating_sub(self.call.received.elapsed());
        let failure = match self.attempt(self.call.after, max_wait).await {
            Ok(live) if matches!(self.route.kind, RouteKind::Stream { .. }) => {
                return relay::relay(self, live);
            }
            Ok(live) => match self.read_whole(live).await {
                Ok(answer) => return answer,
                Err(failure) => failure,
            },
            Err(failure) => failure,
        };
        self.fail(failure)
    }

    fn fail(&mut self, failure: Failure) -> Response<CallerBody> {
        let reason = failure.to_string();
        let (status, end) = match &failure {
            Failure::NotRun(_) => (StatusCode::SERVICE_UNAVAILABLE, CallEnd::NotRun),
            Failure::MayHaveRun(_) => (StatusCode::BAD_GATEWAY, CallEnd::MayHaveRun),
            Failure::TimedOut => (StatusCode::GATEWAY_TIMEOUT, CallEnd::TimedOut),
            Failure::Answered(answer) => (answer.status(), CallEnd::WorkerFailed),
        };
        self.end(end);
        event!(
            Warn,
            CallFailed,
            "request={} route={} status={} runs={} tried={} age_ms={} config={} workers={} \
             store={} reason={reason:?}",
            self.call.id,
            self.route.name,
            status.as_u16(),
            self.runs,
            self.tried.len(),
            self.call.received.elapsed().as_millis(),
            self.gateway.config_version(),
            self.gateway.dispatch.ready_workers(),
            self.gateway.reaches_store()
        );
        match failure {
            Failure::Answered(answer) => {
                let (mut head, body) = answer.into_parts();
                head.headers = headers::forwarded(&head.headers);
                Response::from_parts(head, whole(body))
            }
            Failure::NotRun(busy) => refuse(&self.call.id, status, &reason, Some(busy.retry_after)),
            Failure::MayHaveRun(_) | Failure::TimedOut => {
                refuse(&self.call.id, status, &reason, None)
            }
        }
    }

    /// Records how the call ended.
    pub fn end(&mut self, end: CallEnd) {
        self.ended = true;
        metrics::call(end, self.call.received.elapsed());
    }

    /// Records that a worker's answer was forwarded to its end.
    pub fn answered(&mut self) {
        self.end(CallEnd::Answered);
        event!(
            Info,
            CallAnswered,
            "request={} route={} runs={} age_ms={}",
            self.call.id,
            self.route.name,
            self.runs + 1,
            self.call.received.elapsed().as_millis()
        );
    }

    /// Returns the time that is left for the call.
    pub fn remaining(&self) -> Duration {
        self.end.saturating_duration_since(Instant::now())
    }

    /// Keeps a connection to a worker whose answer was read to its end.
    pub fn keep(&self, placement: &Placement, connection: Connection) {
        self.gateway.keep_connection(&placement.worker, connection);
    }

    /// Returns whether the call may be sent once more after it may have run.
    pub fn may_run_again(&self) -> bool {
        let left = self.runs < self.route.attempts && !self.remaining().is_zero();
        self.route.is_repeatable() && left
    }

    /// Sends the call to one worker after another until one of them answers.
    ///
    /// # Errors
    ///
    /// Returns why no worker answers.
    pub async fn attempt(
        &mut self,
        after: Option<u64>,
        max_wait: Duration,
    ) -> Result<Live, Failure> {
        loop {
            match self.attempt_once(after, max_wait).await? {
                Attempted::Answered(live) => return Ok(live),
                Attempted::Elsewhere => {}
                Attempted::Broken(placement, reason) => {
                    self.note_broken(&placement, &reason);
                    drop(placement);
                    if !self.may_run_again() {
                        return Err(Failure::MayHaveRun(reason));
                    }
                }
            }
        }
    }

    /// Records that a worker broke off or fell silent on the call.
    pub fn note_broken(&mut self, placement: &Placement, reason: &str) {
        self.runs += 1;
        self.tried.push(placement.worker.id.clone());
        let ejected = self.gateway.dispatch.record_failure(&placement.worker.id);
        event!(
            Warn,
            AttemptBroken,
            "request={} worker={} runs={} ejected={ejected} reason={reason:?}",
            self.call.id,
            placement.worker.id,
            self.runs
        );
    }

    /// Sends the call to one worker.
    async fn attempt_once(
        &mut self,
        after: Option<u64>,
        max_wait: Duration,
    ) -> Result<Attempted, Failure> {
        let remaining = self.remaining();
        if remaining.is_zero() {
            return Err(self.out_of_time());
        }
        let dispatch = self.gateway.dispatch.clone();
        if self.tried.len() >= TRIES {
            return Err(self.no_worker(dispatch.busy()));
        }
        let requirements = Requirements {
            service: &self.service,
            tried: &self.tried,
        };
        let max_wait = max_wait.min(remaining);
        let asked = Instant::now();
        let placed = dispatch.place_online(&requirements, max_wait).await;
        metrics::queue_time(asked.elapsed());
        let placement = match placed {
            Ok(placement) => placement,
            Err(busy) => return Err(self.no_worker(busy)),
        };
        let worker = placement.worker.clone();
        event!(
            Info,
            WorkerChosen,
            "request={} route={} worker={} zone={} load={} slots={} waited_ms={} config={} \
             workers_at={}",
            self.call.id,
            self.route.name,
            worker.id,
            worker.zone,
            placement.load,
            worker.slots,
            asked.elapsed().as_millis(),
            self.gateway.config_version(),
            self.gateway.views().workers_version.newest
        );
        let repeatable = self.route.is_repeatable();
        let upstream = &self.gateway.upstream;
        let mut connection = match upstream.connect(&worker, repeatable).await {
            Ok(connection) => connection,
            Err(e) => {
                let cut = dispatch.record_unreachable(&worker);
                event!(
                    Warn,
                    WorkerUnreachable,
                    "request={} worker={} zone={} cut={cut} reason=\"{e}\"",
                    self.call.id,
                    worker.id,
                    worker.zone
                );
                self.tried.push(worker.id.clone());
                return Ok(Attempted::Elsewhere);
            }
        };
        let request = match self.request(&worker.id, after) {
            Ok(request) => request,
            Err(e) => return Err(Failure::MayHaveRun(e.to_string())),
        };
        let sent = match self
            .send(&mut connection, request, placement.had_free_slot())
            .await
        {
            Ok(answer) => answer,
            Err(SendError::NotSent(reason)) => {
                event!(
                    Warn,
                    WorkerUnreachable,
                    "request={} worker={} zone={} kept={} reason={reason:?}",
                    self.call.id,
                    worker.id,
                    worker.zone,
                    connection.kept
                );
                // A worker may close an idle connection at any time; a new one may still work.
                if !connection.kept {
                    dispatch.record_failure(&worker.id);
                    self.tried.push(worker.id.clone());
                }
                return Ok(Attempted::Elsewhere);
            }
            Err(SendError::Sent(_)) if self.remaining().is_zero() => {
                self.runs += 1;
                dispatch.record_failure(&worker.id);
                return Err(Failure::TimedOut);
            }
            Err(SendError::Sent(reason)) => return Ok(Attempted::Broken(placement, reason)),
        };
        let terms = headers::decode_answer(&sent);
        let status = sent.status();
        if terms.not_run && terms.is_for(&self.call.id) {
            event!(
                Warn,
                WorkerRefused,
                "request={} worker={} status={}",
                self.call.id,
                worker.id,
                status.as_u16()
            );
            self.tried.push(worker.id.clone());
            return Ok(Attempted::Elsewhere);
        }
        if let Some(reason) = self.fault(&sent, &terms) {
            return Ok(Attempted::Broken(placement, reason));
        }
        dispatch.record_success(&worker);
        if status.is_success() {
            return Ok(Attempted::Answered(Live {
                placement,
                connection,
                answer: sent,
            }));
        }
        self.runs += 1;
        self.tried.push(worker.id.clone());
        if status.is_server_error() && self.may_run_again() {
            event!(
                Warn,
                AttemptBroken,
                "request={} worker={} runs={} ejected=false reason=\"status {}\"",
                self.call.id,
                worker.id,
                self.runs,
                status.as_u16()
            );
            return Ok(Attempted::Elsewhere);
        }
        Err(self.read_failure(sent).await)
    }

    /// Says why an answer is not the worker's answer to this call.
    fn fault(&self, answer: &Response<Incoming>, terms: &AnswerTerms) -> Option<String> {
        if !terms.is_for(&self.call.id) {
            return Some("the worker answered another request".into());
        }
        if answer.headers().contains_key(header::CONTENT_ENCODING) {
            return Some("the answer has an encoding that was not asked for".into());
        }
        if answer.status().is_success() && !terms.sealed {
            return Some("the answer has no signature".into());
        }
        let promises = matches!(answer.status().as_u16(), 408 | 421 | 429 | 503);
        promises.then(|| format!("the worker answered {}", answer.status().as_u16()))
    }

    async fn read_failure(&self, answer: Response<Incoming>) -> Failure {
        let (head, body) = answer.into_parts();
        let read = connection::read_body(body, ANSWER_LIMIT);
        match connection::within(self.remaining(), read).await {
            Ok(body) => Failure::Answered(Response::from_parts(head, body)),
            Err(e) => Failure::MayHaveRun(e.to_string()),
        }
    }

    fn out_of_time(&self) -> Failure {
        if self.runs > 0 {
            Failure::TimedOut
        } else {
            Failure::NotRun(self.gateway.dispatch.busy())
        }
    }

    fn no_worker(&self, busy: Busy) -> Failure {
        if self.runs > 0 {
            return Failure::MayHaveRun("no other worker is free".into());
        }
        let known = self.gateway.dispatch.has_ready_worker(&self.service);
        Failure::NotRun(if known {
            busy
        } else {
            Busy {
                retry_after: NO_WORKER_RETRY,
            }
        })
    }

    fn request(
        &self,
        worker: &WorkerId,
        after: Option<u64>,
    ) -> hyper::http::Result<Request<Full<Bytes>>> {
        let attempt = Attempt {
            worker,
            remaining: Some(self.remaining()),
            after,
        };
        let mut request = Request::builder()
            .method(self.call.method.clone())
            .uri(self.call.uri.clone())
            .body(Full::new(self.call.body.clone()))?;
        *request.headers_mut() = headers::encode_attempt(&self.call.headers, &attempt);
        Ok(request)
    }

    /// Sends a request and waits for the head of its answer.
    async fn send(
        &self,
        connection: &mut Connection,
        request: Request<Full<Bytes>>,
        free: bool,
    ) -> Result<Response<Incoming>, SendError> {
        let remaining = self.remaining();
        let limit = if self.route.is_repeatable() && self.runs + 1 < self.route.attempts {
            let share = if free { FIRST_SHARE } else { QUEUED_SHARE };
            remaining.min(self.route.objective.mul_f64(share))
        } else {
            remaining
        };
        connection.send_within(request, limit).await
    }

    /// Reads an answer that is forwarded as a whole.
    async fn read_whole(&mut self, live: Live) -> Result<Response<CallerBody>, Failure> {
        let mut live = live;
        loop {
            let (mut head, body) = live.answer.into_parts();
            let read = connection::read_body(body, ANSWER_LIMIT);
            match connection::within(self.remaining(), read).await {
                Ok(body) => {
                    self.keep(&live.placement, live.connection);
                    self.answered();
                    head.headers = headers::forwarded(&head.headers);
                    return Ok(Response::from_parts(head, whole(body)));
                }
                Err(e) => {
                    let reason = e.to_string();
                    self.note_broken(&live.placement, &reason);
                    if !self.may_run_again() {
                        return Err(Failure::MayHaveRun(reason));
                    }
                }
            }
            drop(live.placement);
            let max_wait = self.remaining().min(RESUME_WAIT);
            live = self.attempt(None, max_wait).await?;
        }
    }
}

impl Drop for Session {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        self.end(CallEnd::CallerLeft);
        event!(
            Info,
            CallerLeft,
            "request={} route={} runs={} age_ms={}",
            self.call.id,
            self.route.name,
            self.runs,
            self.call.received.elapsed().as_millis()
        );
    }
}
