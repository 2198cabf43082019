//! Sends a call to one worker after another until one answers.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response};

use crate::{
    adapter::headers::{self, Attempt},
    clock, event, health,
    ids::WorkerId,
    metrics::{self, EndEvidence},
};

use super::{
    blame::FIRST_PROBE,
    block_store,
    connection::{self, AttemptError, Connection, SendError},
    dispatch::{Busy, Placement},
    fleet::{Requirements, Worker},
    forward::{CRASHING, Failure, MAX_ANSWER_BYTES, QUEUE_WAIT_SHARE, Session, StartedAnswer},
    head::{self, Head},
    links,
    liveness::{Delivery, MAX_SILENCE, Responder},
    marks::{self, Mark},
    refresh,
    sse::Events,
    suspects::Admission,
    takeover::Reply,
    upstream::{self, REPORT_LIMIT, ReachError},
    write_gate::Decision,
};

/// Maximum number of workers that a call is tried at.
const MAX_TRIED: usize = 6;
/// Time without the beginning of an answer, in objectives of the route, after which a request counts as failed at
/// its worker: a worker that is only full begins sooner.
const LOST_OBJECTIVES: u32 = 3;
/// `Retry-After` when no worker of the service is known.
const NO_WORKER_RETRY: Duration = Duration::from_millis(500);

/// Result of an attempt at one worker.
enum AttemptResult {
    /// The worker started to answer.
    Answered(Box<StartedAnswer>),
    /// The worker has not run the call, or failed on it in a way that another worker may not.
    TryNext,
    /// The worker may have run the call.
    Broken(Box<Placement>, AttemptError),
}

impl Session {
    /// Sends the call to one worker after another until one of them answers.
    ///
    /// # Errors
    ///
    /// Returns the reason why no worker answers.
    pub async fn attempt(
        &mut self,
        after: Option<u64>,
        max_wait: Duration,
    ) -> Result<StartedAnswer, Failure> {
        let mut silent = Vec::new();
        loop {
            match self.attempt_once(after, max_wait, &mut silent).await? {
                AttemptResult::Answered(started) => return Ok(*started),
                AttemptResult::TryNext if self.asked.is_some() => {
                    return Err(Failure::MayHaveRun(
                        "the asked worker did not answer".into(),
                    ));
                }
                AttemptResult::TryNext => {}
                AttemptResult::Broken(placement, broken) => {
                    self.check_links(&placement, &broken).await;
                    self.record_broken(&placement, &broken);
                    drop(placement);
                    if !self.may_run_again() {
                        return Err(Failure::MayHaveRun(broken.reason));
                    }
                }
            }
        }
    }

    /// Finds out whether the links of this instance explain that a worker closed a connection.
    pub(super) async fn check_links(&self, placement: &Placement, broken: &AttemptError) {
        if broken.closed && placement.path.is_direct() {
            links::confirm_cut(&self.gateway, Some(&placement.worker.id)).await;
        }
    }

    /// Records that a worker sent the first event of its answer, or the whole of it.
    pub fn record_begun(&self) {
        if let Some(version) = &self.version {
            let now = clock::steady_millis();
            let stream = self.call.stream_id();
            let mut streams = self.gateway.streams();
            let is_news = streams.record_begun(&self.service, stream, version, now);
            drop(streams);
            if is_news {
                self.gateway.dispatch.notify();
            }
        }
        self.gateway.record_proof(self.part_marks());
    }

    fn part_marks(&self) -> &[Mark] {
        &self.marks[..self.marks.len() - 1]
    }

    /// Returns the marks to blame for a broken attempt.
    fn blamed(&self, broken: &AttemptError) -> &[Mark] {
        let first = if broken.begun {
            self.marks.len() - 1
        } else {
            0
        };
        &self.marks[first..]
    }

    /// Returns the failure of a call that would crash workers.
    fn blocked(&self, retry_after: Duration) -> Failure {
        if self.runs == 0 {
            Failure::Blocked(Busy { retry_after })
        } else {
            Failure::MayHaveRun(CRASHING.into())
        }
    }

    /// Records that a worker broke the connection or timed out on the call.
    pub fn record_broken(&mut self, placement: &Placement, broken: &AttemptError) {
        if broken.closed && self.gateway.is_worker_fault(&placement.path) {
            self.recalled = Some(block_store::start_recall(&self.gateway));
            let worker = &placement.worker.id;
            self.gateway
                .record_crash(self.blamed(broken), &self.call.id, worker);
        }
        self.count_run(&placement.worker.id);
        let ejected = self.record_failure(placement);
        event!(
            Warn,
            AttemptBroken,
            "request={} worker={} runs={} ejected={ejected} begun={} parts={} reason={:?}",
            self.call.id,
            placement.worker.id,
            self.runs,
            broken.begun,
            marks::names(&self.marks),
            broken.reason
        );
    }

    /// Records that there is no connection to the listed start of a worker.
    async fn record_unreached(
        &mut self,
        worker: &Worker,
        error: &ReachError,
        silent: &mut Vec<WorkerId>,
    ) {
        if matches!(error, ReachError::OtherStart) {
            self.log_revoked(&worker.id, &error.to_string());
            return;
        }
        let cut = upstream::record_unreached(&self.gateway, worker, error).await;
        event!(
            Warn,
            WorkerUnreachable,
            "request={} worker={} zone={} cut={cut} reason=\"{error}\"",
            self.call.id,
            worker.id,
            worker.zone
        );
        if !matches!(error, ReachError::Silent) {
            self.tried.push(worker.id.clone());
            self.unreached += 1;
            return;
        }
        // A sound worker may be silent for a while. Once no other one is left, the silent ones are asked again,
        // this one last.
        if !self.has_other(&worker.id, silent) {
            self.tried.retain(|w| !silent.contains(w));
        }
        if self.has_other(&worker.id, &[]) {
            self.tried.push(worker.id.clone());
        }
        if !silent.contains(&worker.id) {
            silent.push(worker.id.clone());
        }
    }

    /// Returns whether the call was tried at as many workers as it may be. Where instances tell each other of
    /// failures, those that it did not reach count only once it has waited for as long as it may: after the loss
    /// of many workers it meets some of them before the others are known to be the ones to use.
    fn has_tried_all(&self) -> bool {
        let limit = self.route.objective.mul_f64(QUEUE_WAIT_SHARE);
        let may_go_on =
            self.gateway.settings.shares_failures && self.call.received.elapsed() < limit;
        let unreached = if may_go_on { self.unreached } else { 0 };
        self.tried.len() >= MAX_TRIED + unreached
    }

    /// Returns whether a worker may run the call, however full it is, that is neither the given one nor silent.
    fn has_other(&self, worker: &WorkerId, silent: &[WorkerId]) -> bool {
        let tried = self.tried.iter().chain(silent).chain([worker]);
        let tried: Vec<WorkerId> = tried.cloned().collect();
        self.gateway.dispatch.has_candidate(&Requirements {
            service: &self.service,
            tried: &tried,
            version: self.version.as_ref(),
        })
    }

    /// Returns the time in which a worker has to report its start.
    fn report_limit(&self, worker: &WorkerId, silent: &[WorkerId]) -> Duration {
        let limit = if self.asked.is_some() || self.has_other(worker, silent) {
            REPORT_LIMIT
        } else {
            MAX_SILENCE
        };
        limit.min(self.remaining())
    }

    /// Records a failure of a worker, unless it may be due to the time that the caller or the route
    /// leaves. Returns whether the worker is ejected.
    fn record_failure(&self, placement: &Placement) -> bool {
        // A worker that is asked for further events may have to read the whole prompt first.
        let is_over = self.remaining().is_zero() || self.asked.is_some();
        let silence = placement.silence();
        if !health::is_failure(is_over, silence, self.route.objective)
            || !self.gateway.is_worker_fault(&placement.path)
        {
            return false;
        }
        self.gateway.dispatch.record_failure(&placement.worker.id)
    }

    /// Sends the call to one worker. `silent` are those that did not report their start in time.
    async fn attempt_once(
        &mut self,
        after: Option<u64>,
        max_wait: Duration,
        silent: &mut Vec<WorkerId>,
    ) -> Result<AttemptResult, Failure> {
        let remaining = self.remaining();
        if remaining.is_zero() {
            return Err(self.out_of_time());
        }
        let dispatch = self.gateway.dispatch.clone();
        if self.has_tried_all() {
            return Err(self.no_worker(dispatch.busy()));
        }
        if let Some(recalled) = self.recalled.take() {
            block_store::wait(recalled).await;
        }
        let admission = self.gateway.admit(&self.marks, &self.call.id);
        if let Admission::Refused(retry_after) = admission {
            return Err(self.blocked(retry_after));
        }
        let queued_at = Instant::now();
        // After a pause the list may no longer have a worker that takes requests.
        refresh::wait(&self.gateway).await;
        let placed = self.place(max_wait.min(remaining)).await;
        metrics::queue_time(queued_at.elapsed());
        let mut placement = match placed {
            Ok(placement) => placement,
            Err(busy) => return Err(self.no_worker(busy)),
        };
        if self.runs == 0 && self.form.is_none() && !self.gateway.may_begin(self.remaining()) {
            return Err(self.no_worker(dispatch.busy()));
        }
        // The call may have been blocked while the call was queued.
        if admission == Admission::Free
            && let Admission::Refused(retry_after) = self.gateway.admit(&self.marks, &self.call.id)
        {
            return Err(self.blocked(retry_after));
        }
        if admission == Admission::Probe
            && !block_store::claim_probe(&self.gateway, self.fingerprint).await
        {
            return Err(self.blocked(FIRST_PROBE));
        }
        let worker = placement.worker.clone();
        event!(
            Info,
            WorkerChosen,
            "request={} route={} team={:?} worker={} zone={} version={} started={:?} after={after:?} \
             origin={:?} load={} slots={} waited_ms={} config={} workers_at={}",
            self.call.id,
            self.route.name,
            self.call.team_name(),
            worker.id,
            worker.zone,
            worker.version,
            worker.started,
            self.call.origin,
            placement.load,
            worker.slots,
            queued_at.elapsed().as_millis(),
            self.gateway.config_version(),
            self.gateway.views().workers_version.newest
        );
        let repeatable = self.route.is_repeatable();
        let upstream = &self.gateway.upstream;
        let limit = self.report_limit(&worker.id, silent);
        let reached = upstream.reach_listed(&self.gateway, &worker, repeatable, limit);
        let connection = match reached.await {
            Ok(connection) => connection,
            Err(e) => {
                self.record_unreached(&worker, &e, silent).await;
                return Ok(AttemptResult::TryNext);
            }
        };
        let Connection {
            reused, reported, ..
        } = connection;
        placement.path = connection.path.clone();
        if !placement.path.is_direct() {
            event!(
                Info,
                RequestRelayed,
                "request={} worker={} kept={reused}",
                self.call.id,
                worker.id
            );
        }
        let opened = Instant::now();
        refresh::wait(&self.gateway).await;
        if !dispatch.holds(&worker) {
            self.log_revoked(&worker.id, "the worker leaves");
            return Ok(AttemptResult::TryNext);
        }
        if self.remaining().is_zero() {
            return Err(self.out_of_time());
        }
        let request = match self.request(&worker.id, after) {
            Ok(request) => request,
            Err(e) => return Err(Failure::MayHaveRun(e.to_string())),
        };
        connection.set_decision(Decision {
            request: self.call.id.clone(),
            worker: worker.id.clone(),
            chosen: placement.chosen,
            opened,
            checked: Instant::now(),
            reused,
        });
        placement.await_answer(self.route.objective * LOST_OBJECTIVES);
        let sent = dispatch.now();
        let (connection, response) = match self.send(connection, request, &placement, after).await {
            Ok(Reply::Received(connection, response)) => (connection, *response),
            Ok(Reply::TakenOver(started)) => return Ok(AttemptResult::Answered(started)),
            Err(SendError::NotSent(reason)) => {
                if !reused && placement.path.is_direct() {
                    links::confirm_cut(&self.gateway, Some(&worker.id)).await;
                }
                event!(
                    Warn,
                    WorkerUnreachable,
                    "request={} worker={} zone={} kept={} reason={reason:?}",
                    self.call.id,
                    worker.id,
                    worker.zone,
                    reused
                );
                // A worker may close an idle connection at any time, and some close each after a report; a
                // new connection may still work.
                if reported {
                    self.gateway.upstream.record_report_end(&worker);
                } else if !reused {
                    if self.gateway.is_worker_fault(&placement.path) {
                        dispatch.record_failure(&worker.id);
                    }
                    self.tried.push(worker.id.clone());
                }
                return Ok(AttemptResult::TryNext);
            }
            Err(SendError::Revoked(reason)) => {
                self.log_revoked(&worker.id, &reason);
                return Ok(AttemptResult::TryNext);
            }
            Err(SendError::Sent(_) | SendError::TimedOut(_)) if self.remaining().is_zero() => {
                self.runs += 1;
                self.record_failure(&placement);
                return Err(Failure::TimedOut);
            }
            Err(SendError::Sent(reason)) => {
                if reported {
                    self.gateway.upstream.record_report_end(&worker);
                }
                return Ok(AttemptResult::Broken(
                    Box::new(placement),
                    AttemptError::closed(reason),
                ));
            }
            Err(SendError::TimedOut(reason)) => {
                return Ok(AttemptResult::Broken(
                    Box::new(placement),
                    AttemptError::fault(reason),
                ));
            }
        };
        let terms = headers::decode_answer(&response);
        if terms.leaving {
            self.gateway.record_leaving(&worker);
        }
        self.gateway
            .record_limit(&worker, &terms, &self.call.id, sent);
        let status = response.status();
        let reused = connection.reused;
        let head = head::interpret(status, &terms, &self.call.id, reused);
        self.set_sent(head == Head::Success && self.awaits_event());
        match head {
            Head::NotRun => {
                event!(
                    Warn,
                    WorkerRefused,
                    "request={} worker={} status={} named={} reused={reused}",
                    self.call.id,
                    worker.id,
                    status.as_u16(),
                    terms.id.is_some()
                );
                self.tried.push(worker.id.clone());
                return Ok(AttemptResult::TryNext);
            }
            Head::Invalid(reason) => {
                return Ok(AttemptResult::Broken(
                    Box::new(placement),
                    AttemptError::fault(reason),
                ));
            }
            Head::Success | Head::Failed => {}
        }
        dispatch.record_success(&worker);
        if status.is_success() {
            return Ok(AttemptResult::Answered(Box::new(StartedAnswer {
                placement,
                connection,
                answer: Events::of(
                    response,
                    after,
                    self.form.is_some(),
                    self.responder(&worker),
                ),
            })));
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
            return Ok(AttemptResult::TryNext);
        }
        let answer = Events::of(response, after, false, self.responder(&worker));
        Err(self.read_failure(answer).await)
    }

    fn responder(&self, worker: &Arc<Worker>) -> Responder {
        Responder {
            gateway: self.gateway.clone(),
            worker: worker.clone(),
            request: self.call.id.clone(),
            since: Instant::now(),
        }
    }

    fn log_revoked(&self, worker: &str, reason: &str) {
        event!(
            Info,
            ChoiceRevoked,
            "request={} worker={worker} reason={reason:?}",
            self.call.id
        );
    }

    async fn read_failure(&self, answer: Response<Events>) -> Failure {
        let (head, body) = answer.into_parts();
        let framed = body.is_framed();
        let responder = body.responder().clone();
        let read = body.read_whole(MAX_ANSWER_BYTES);
        let mut read = connection::within(self.remaining(), read).await;
        if !framed && read.is_ok() {
            let ended = responder.record_end();
            let outlived = ended.outlive(EndEvidence::Outlived, Delivery::Whole, self.remaining());
            if let Err(e) = outlived.await {
                read = Err(e);
            }
        }
        match read {
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
        let known = self.gateway.dispatch.has_ready_worker(&self.service, None);
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
}
