//! Forwards a call to the workers of its service, one after another, until one answers.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use async_io::Timer;
use bytes::Bytes;
use hyper::{HeaderMap, Method, Response, StatusCode, Uri, http::response::Parts};
use smol::channel::{Receiver, Sender};

use crate::{
    adapter::headers,
    clock, event,
    ids::{Fingerprint, RequestId, ServiceId, SoftwareVersion, WorkerId},
    metrics::{self, CallEnd, EndEvidence},
    ownership,
    teams::directory::Team,
};

use super::{
    answer::{CallerBody, full_body, refuse},
    answer_end::AnswerEnd,
    config::{Route, RouteKind},
    connection::{self, AttemptError, Connection},
    dispatch::{Busy, Claim, Placement},
    fleet::Worker,
    gateway::Gateway,
    liveness::Delivery,
    marks::{self, Mark},
    relay, run_reads,
    splice::Form,
    sse::{self, Events},
    takeover::Overlap,
    version_store,
    versions::{Origin, StreamCall},
};

/// Share of the objective that a request may wait for a worker before it is refused. An early
/// refusal leaves the caller time to succeed elsewhere.
pub(super) const QUEUE_WAIT_SHARE: f64 = 0.22;
/// Interval at which a new stream looks for the version at which it begins.
const ORIGIN_POLL: Duration = Duration::from_millis(10);
/// Time in which the store has to confirm the shares before a stream is taken up.
const CONFIRM_LIMIT: Duration = Duration::from_millis(500);
/// Time for which the take-up of a stream whose version is unclear waits for instances and workers
/// that know it.
const ASK_LIMIT: Duration = Duration::from_millis(100);
/// Time for which the take-up of a stream waits at an instance that has just started until it knows the
/// others.
const START_LIMIT: Duration = Duration::from_secs(2);
/// Time that a partly forwarded stream may wait for another worker.
pub const RESUME_WAIT: Duration = Duration::from_millis(800);
/// Maximum size of an answer that is forwarded as a whole.
pub(super) const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Reason of a failure for the log and the caller.
pub(super) const CRASHING: &str = "workers crash on such requests";

/// A caller's call with its body.
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
    /// Time when the call was received.
    pub received: Instant,
    /// Earliest time at which the call may have reached this instance, in ms since the Unix epoch, by
    /// the clock of `clock::steady_millis`.
    pub arrived: u64,
    /// Time that the caller waits for the answer.
    pub deadline: Option<Duration>,
    /// Number of the event after which the caller wants a stream to resume.
    pub after: Option<u64>,
    /// Id of the call that brought the first event of that stream.
    pub origin: Option<RequestId>,
    /// Team of the caller, if calls need a key.
    pub team: Option<Arc<Team>>,
}

impl Call {
    /// Returns the name of the team for the log; empty if there is none.
    pub fn team_name(&self) -> &str {
        self.team.as_ref().map_or("", |t| &t.name)
    }

    /// Returns the id of the call that began the stream.
    pub fn stream_id(&self) -> &RequestId {
        let taken_up = self.after.and(self.origin.as_ref());
        taken_up.unwrap_or(&self.id)
    }
}

/// A worker's answer of which the head was received.
pub struct StartedAnswer {
    /// The worker.
    pub placement: Placement,
    /// Connection to it.
    pub connection: Connection,
    /// Its answer.
    pub answer: Response<Events>,
}

/// Reason why no worker's answer can be forwarded.
#[derive(Debug)]
pub enum Failure {
    /// The call has not run and will not.
    NotRun(Busy),
    /// The call has not run and will not, as such calls crash workers.
    Blocked(Busy),
    /// The call has not run and will not, as no worker may continue the stream.
    NotResumable,
    /// The call may have run.
    MayHaveRun(String),
    /// The timeout of the route or the deadline of the caller has passed.
    TimedOut,
    /// A worker answered with an error status.
    Answered(Response<Bytes>),
}

impl std::fmt::Display for Failure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NotRun(_) => f.write_str("no worker is free"),
            Self::Blocked(_) => f.write_str(CRASHING),
            Self::NotResumable => f.write_str("no worker of the version of the stream is known"),
            Self::MayHaveRun(reason) => f.write_str(reason),
            Self::TimedOut => f.write_str("the time is over"),
            Self::Answered(answer) => write!(f, "a worker answered {}", answer.status()),
        }
    }
}

/// A call that is being forwarded, with the state of its attempts. Dropping it before its end was
/// recorded counts the caller as gone.
pub struct Session {
    /// Route of the call.
    pub route: Arc<Route>,
    /// The call.
    pub call: Call,
    pub(super) gateway: Arc<Gateway>,
    pub(super) service: ServiceId,
    /// Version of the software at which the stream begins and goes on, if it may be resumed.
    pub(super) version: Option<SoftwareVersion>,
    /// The parts of the prompt, then the call itself.
    pub(super) marks: Vec<Mark>,
    pub(super) fingerprint: Fingerprint,
    /// A read of what others know of the call, since an attempt broke.
    pub(super) recalled: Option<Receiver<()>>,
    /// Workers that the call is not sent to any more.
    pub(super) tried: Vec<WorkerId>,
    /// Number of those that accepted no connection, so that nothing was sent.
    pub(super) unreached: usize,
    /// Number of workers that may have run the call and whose answer is not used.
    pub(super) runs: u32,
    deadline: Instant,
    end_recorded: bool,
    /// Form of the stream that the caller gets, once it has begun.
    pub(super) form: Option<Form>,
    /// Time for which a worker has had the call and has not answered.
    pub(super) sent: Overlap,
    /// Receives the changes of `sent` while an earlier worker may still answer.
    pub(super) takeover: Option<Sender<bool>>,
    /// Workers that `runs` counts and that are not to be counted again.
    pub(super) counted: Vec<WorkerId>,
    /// The worker that is asked for further events of a stream that ended with its connection.
    pub(super) asked: Option<Asked>,
}

/// Worker that is asked for further events. It has to have a free slot.
#[derive(Debug, Clone)]
pub enum Asked {
    /// One that has not run the call.
    Other,
    /// The one whose connection ended.
    Same(Arc<Worker>),
}

/// Forwards a call and returns the answer for the caller.
pub async fn forward(gateway: Arc<Gateway>, route: Arc<Route>, call: Call) -> Response<CallerBody> {
    let draw = service_draw(&route, &call);
    let Some(service) = route.service(draw).cloned() else {
        return refuse(
            &call.id,
            StatusCode::SERVICE_UNAVAILABLE,
            "the route has no service",
            None,
        );
    };
    let limit = call.deadline.unwrap_or(route.timeout).min(route.timeout);
    let mut marks = marks::of_parts(headers::decode_parts(&call.headers));
    let fingerprint = marks::fingerprint(&call);
    marks.push(Mark::Request(fingerprint));
    let origin = await_origin(&gateway, &service, &route, &call).await;
    let mut session = Session {
        deadline: call.received + limit,
        gateway,
        route,
        service,
        version: None,
        marks,
        fingerprint,
        recalled: None,
        call,
        tried: Vec::new(),
        unreached: 0,
        runs: 0,
        end_recorded: false,
        form: None,
        sent: Overlap::default(),
        takeover: None,
        counted: Vec::new(),
        asked: None,
    };
    match origin {
        Some(Origin::Version(version)) => session.version = Some(version),
        Some(Origin::Unclear) if session.call.after.is_some() => {
            return session.fail(Failure::NotResumable);
        }
        Some(Origin::Unclear) => {
            let busy = session.gateway.dispatch.busy();
            return session.fail(Failure::NotRun(busy));
        }
        None => {}
    }
    session.run().await
}

/// Returns the number between 0 and 1 that decides which service of its route runs a call. A stream
/// that is taken up goes on at the service that began it.
fn service_draw(route: &Route, call: &Call) -> f64 {
    if route.is_resumable() {
        ownership::unit(&route.name, call.stream_id())
    } else {
        fastrand::f64()
    }
}

/// Returns the version at which the stream of a call has to begin or go on, or `None` for a call whose
/// answer is never resumed.
async fn await_origin(
    gateway: &Arc<Gateway>,
    service: &ServiceId,
    route: &Route,
    call: &Call,
) -> Option<Origin> {
    if !route.is_resumable() {
        return None;
    }
    Some(match call.after {
        Some(_) => taken_up_origin(gateway, service, route, call).await,
        None => new_origin(gateway, service, route, call).await,
    })
}

/// Returns the version at which a new stream has to begin, and waits for it as long as for a worker. An
/// instance that has just started knows neither shares nor workers.
async fn new_origin(gateway: &Gateway, service: &ServiceId, route: &Route, call: &Call) -> Origin {
    let limit = route.objective.mul_f64(QUEUE_WAIT_SHARE);
    loop {
        let origin = stream_origin(gateway, service, route, call);
        if origin != Origin::Unclear || call.received.elapsed() >= limit {
            return origin;
        }
        Timer::after(ORIGIN_POLL).await;
    }
}

/// Returns the version at which the stream that a call takes up has to go on. What was recorded of the stream
/// counts before the shares, also if that is two versions.
async fn taken_up_origin(
    gateway: &Arc<Gateway>,
    service: &ServiceId,
    route: &Route,
    call: &Call,
) -> Origin {
    let begun = call.origin.as_ref();
    if begun.is_some_and(|id| gateway.streams().has_begun(service, id)) {
        return stream_origin(gateway, service, route, call);
    }
    let knows_shares = knows_shares(gateway).await;
    if knows_shares {
        let origin = stream_origin(gateway, service, route, call);
        if origin != Origin::Unclear {
            return origin;
        }
    }
    if is_told(gateway, service, call).await {
        return stream_origin(gateway, service, route, call);
    }
    if !knows_shares {
        event!(
            Warn,
            OriginUnclear,
            "request={} origin={:?} store={}",
            call.id,
            call.origin,
            gateway.reaches_store()
        );
    }
    Origin::Unclear
}

/// Asks the other instances and the workers for the version that began the stream of a call, and returns
/// whether one of them knows it.
async fn is_told(gateway: &Arc<Gateway>, service: &ServiceId, call: &Call) -> bool {
    let Some(id) = &call.origin else {
        return false;
    };
    gateway.streams().ask_begun(service, id);
    gateway.dispatch.notify();
    run_reads::begin_round(gateway, service);
    let asked = Instant::now();
    while asked.elapsed() < ASK_LIMIT {
        Timer::after(ORIGIN_POLL).await;
        if gateway.streams().has_begun(service, id) {
            return true;
        }
    }
    false
}

/// Returns whether this instance knows all shares by which streams of other instances may have begun.
async fn knows_shares(gateway: &Gateway) -> bool {
    // What the others use is known once they are heard.
    let started = Instant::now();
    while !gateway.knows_peers() {
        if started.elapsed() >= START_LIMIT {
            return false;
        }
        Timer::after(ORIGIN_POLL).await;
    }
    version_store::confirm(gateway, CONFIRM_LIMIT).await || gateway.is_store_unreached()
}

/// Returns the version at which the stream of a call has to begin or go on, as far as it is known now.
fn stream_origin(gateway: &Gateway, service: &ServiceId, route: &Route, call: &Call) -> Origin {
    gateway.stream_version(&StreamCall {
        service,
        route: &route.name,
        timeout: route.timeout,
        id: &call.id,
        resumes: call.after.is_some(),
        origin: call.origin.as_deref(),
        deadline: call.deadline,
        waited: Duration::from_millis(clock::steady_millis().saturating_sub(call.arrived)),
    })
}

impl Session {
    async fn run(mut self) -> Response<CallerBody> {
        // The first event of a stream that goes on has met its objective already.
        let max_wait = match self.call.after {
            Some(_) if self.version.is_some() => RESUME_WAIT,
            _ => self.route.objective.mul_f64(QUEUE_WAIT_SHARE),
        };
        let max_wait = max_wait.saturating_sub(self.call.received.elapsed());
        let failure = match self.attempt(self.call.after, max_wait).await {
            Ok(started) if matches!(self.route.kind, RouteKind::Stream { .. }) => {
                return relay::relay(self, started);
            }
            Ok(started) => match self.read_whole(started).await {
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
            Failure::NotRun(_) | Failure::Blocked(_) | Failure::NotResumable => {
                (StatusCode::SERVICE_UNAVAILABLE, CallEnd::NotRun)
            }
            Failure::MayHaveRun(_) => (StatusCode::BAD_GATEWAY, CallEnd::MayHaveRun),
            Failure::TimedOut => (StatusCode::GATEWAY_TIMEOUT, CallEnd::TimedOut),
            Failure::Answered(answer) => (answer.status(), CallEnd::WorkerFailed),
        };
        if let (CallEnd::NotRun, Some(team)) = (end, &self.call.team) {
            self.gateway.give_back(team);
        }
        self.record_end(end);
        event!(
            Warn,
            CallFailed,
            "request={} route={} team={:?} status={} runs={} tried={} age_ms={} config={} workers={} \
             store={} reason={reason:?}",
            self.call.id,
            self.route.name,
            self.call.team_name(),
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
                self.whole(head, body)
            }
            Failure::NotRun(busy) | Failure::Blocked(busy) => {
                refuse(&self.call.id, status, &reason, Some(busy.retry_after))
            }
            Failure::NotResumable | Failure::MayHaveRun(_) | Failure::TimedOut => {
                refuse(&self.call.id, status, &reason, None)
            }
        }
    }

    /// Records how the call ended.
    pub fn record_end(&mut self, end: CallEnd) {
        self.end_recorded = true;
        metrics::call(end, self.call.received.elapsed());
    }

    /// Records that a worker's answer was forwarded completely.
    pub fn record_answered(&mut self, framed: bool) {
        self.gateway.record_proof(&self.marks);
        self.record_end(CallEnd::Answered);
        event!(
            Info,
            CallAnswered,
            "request={} route={} runs={} age_ms={} framed={framed}",
            self.call.id,
            self.route.name,
            self.runs + 1,
            self.call.received.elapsed().as_millis()
        );
    }

    /// Returns what the call claims among those that wait for a worker.
    pub(super) fn claim(&self) -> Claim {
        let team = self.call.team.as_ref();
        let rank = team.and_then(|t| t.priority);
        Claim {
            rank: rank.unwrap_or(self.route.priority),
            team: team.map(|t| t.name.clone()),
        }
    }

    /// Returns the time left until the deadline.
    pub fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Keeps a connection to a worker for reuse, after an answer was read to its end.
    pub fn keep_connection(&self, placement: &Placement, connection: Connection) {
        self.gateway.keep_connection(&placement.worker, connection);
    }

    /// Returns whether the call may be sent again after it may have run.
    pub fn may_run_again(&self) -> bool {
        let can_retry = self.runs < self.route.attempts && !self.remaining().is_zero();
        self.route.is_repeatable() && can_retry
    }

    /// Counts a worker that may have run the call, unless it is counted already, and keeps later attempts
    /// from it.
    pub(super) fn count_run(&mut self, worker: &WorkerId) {
        self.leave_out(worker);
        if !self.counted.contains(worker) {
            self.counted.push(worker.clone());
            self.runs += 1;
        }
    }

    /// Keeps later attempts from a worker.
    pub(super) fn leave_out(&mut self, worker: &WorkerId) {
        if !self.tried.contains(worker) {
            self.tried.push(worker.clone());
        }
    }

    /// Returns whether the call may be sent to another worker beside one that has it.
    pub fn may_run_beside(&self) -> bool {
        self.asked.is_none()
            && self.route.is_repeatable()
            && self.runs + 1 < self.route.attempts
            && !self.remaining().is_zero()
    }

    /// Builds an answer that ends with the time of the call.
    fn whole(&self, mut head: Parts, body: Bytes) -> Response<CallerBody> {
        let (end, body) = AnswerEnd::of_whole(&self.call.id, self.remaining(), body);
        head.extensions.insert(end);
        Response::from_parts(head, full_body(body))
    }

    /// Reads an answer that is forwarded as a whole.
    async fn read_whole(
        &mut self,
        started: StartedAnswer,
    ) -> Result<Response<CallerBody>, Failure> {
        let mut started = started;
        loop {
            let is_stream = Form::of(&started.answer).is_stream();
            let (mut head, events) = started.answer.into_parts();
            let framed = events.is_framed();
            let responder = events.responder().clone();
            let read = events.read_whole(MAX_ANSWER_BYTES);
            let mut read = connection::within(self.remaining(), read).await;
            if !framed && let Ok(body) = &read {
                started.placement.release();
                let ended = responder.record_end();
                let is_empty = body.is_empty() || is_stream && !sse::has_event(body);
                let holds_nothing = is_empty && self.call.after.is_none();
                let proof = if holds_nothing {
                    let running = ended.check_running().await;
                    running.and_then(|()| Err(ended.reject_empty()))
                } else {
                    let limit = self.remaining();
                    let evidence = EndEvidence::Outlived;
                    ended.outlive(evidence, Delivery::Whole, limit).await
                };
                read = proof.and(read);
            }
            match read {
                Ok(body) => {
                    self.record_begun();
                    self.keep_connection(&started.placement, started.connection);
                    self.record_answered(framed);
                    head.headers = headers::forwarded(&head.headers);
                    return Ok(self.whole(head, body));
                }
                Err(e) => {
                    let broken = AttemptError::reading(&e, false);
                    self.record_broken(&started.placement, &broken);
                    if !self.may_run_again() {
                        return Err(Failure::MayHaveRun(broken.reason));
                    }
                }
            }
            drop(started.placement);
            let max_wait = self.remaining().min(RESUME_WAIT);
            started = self.attempt(None, max_wait).await?;
        }
    }
}

impl Drop for Session {
    fn drop(&mut self) {
        if self.end_recorded {
            return;
        }
        self.record_end(CallEnd::CallerLeft);
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
