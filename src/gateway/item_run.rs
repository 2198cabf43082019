//! Runs an item of a batch job on a worker.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{HeaderMap, Method, Request, StatusCode, header};
use smol::channel::Receiver;

use crate::{
    adapter::headers::{self, Attempt},
    event,
    ids::{ItemId, JobId, SoftwareVersion, TeamId},
    metrics::{self, EndEvidence, ItemStatus},
    mutex::lock,
};

use super::{
    connection::{AttemptError, Connection, SendError},
    dispatch::Placement,
    fleet::Worker,
    gateway::Gateway,
    head::{self, Head},
    job::{Item, Job, Unproven, Verdict},
    jobs::SharedJob,
    links,
    liveness::{Delivery, Ended, Responder},
    marks, refresh,
    splice::Form,
    sse::{End, Event, Events, Next},
    upstream::{self, ReachError},
    write_gate::Decision,
};

/// Time without an event after which an item moves to another worker.
const STALL_LIMIT: Duration = Duration::from_millis(1500);
/// Time in which a text that may be complete has to be proved. It bounds the wait for an end.
const PROOF_LIMIT: Duration = Duration::from_secs(10);
/// Delay before an item is started again after a worker refused it or broke the connection.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Share of the time until an item fails that it pauses at most after a crash of its worker, or while
/// its parts are kept from the workers, so that it is still run several times.
const MAX_PAUSE_SHARE: f64 = 0.125;
/// Delay before an item is started again after an error from a worker.
const ERROR_PAUSE: Duration = Duration::from_millis(300);
/// Maximum size of the events of a run; a longer output would fit no object of the store.
const MAX_OUTPUT_BYTES: usize = 1 << 20;

/// How a run of an item ended.
enum RunEnd {
    /// The output is complete; tells whether its end differed from the end of the connection.
    Whole { framed: bool },
    /// The item yielded to online requests, or its job was cancelled or released.
    Yielded,
    /// The worker refused the item without running it.
    Refused(StatusCode),
    /// The connection ended, and the text may be complete.
    Unproven(Ended),
    /// Only one worker was there that had no further event, and it did not write the text.
    NoMore,
    /// The item was not written, since the worker may have begun to leave.
    Revoked(String),
    /// The connection broke, the worker timed out or its answer was invalid.
    Broken(AttemptError),
    /// The worker answered with an error status.
    Failed(StatusCode),
    /// The worker reported that the item can never succeed.
    Impossible,
}

/// Output of a run so far.
struct Output {
    events: Vec<Arc<str>>,
    /// Number of the last event that has one.
    last: Option<u64>,
    /// Number of events up to and including that one.
    numbered: usize,
    /// Whether the worker skipped the events after that one.
    skipped: bool,
}

impl Output {
    /// Builds the empty output of a run that resumes after an event.
    fn after(last: Option<u64>) -> Self {
        Self {
            events: Vec::new(),
            last,
            numbered: 0,
            skipped: false,
        }
    }

    fn push(&mut self, event: &Event) {
        if event.is_comment() {
            return;
        }
        let text = String::from_utf8_lossy(&event.data()).into();
        self.events.push(text);
        if event.id.is_some() {
            self.last = event.id;
            self.numbered = self.events.len();
        }
    }

    /// Returns the events that the next run does not repeat.
    fn resumable(mut self) -> Vec<Arc<str>> {
        self.events.truncate(self.numbered);
        self.events
    }
}

/// A run of an item.
pub struct Run {
    /// Shared state of the instance.
    pub gateway: Arc<Gateway>,
    /// Id of the job.
    pub job: JobId,
    /// The job.
    pub shared: SharedJob,
    /// The item.
    pub item: Item,
    /// Host of the requests.
    pub host: Arc<str>,
    /// Team of the job, which the workers are told.
    pub team: Option<TeamId>,
    /// Worker errors after which the item fails.
    pub attempts: u32,
    /// Time from the submission after which the item fails.
    pub ttl: Duration,
    /// Set if the connection of a worker ended after the last event, which may be the last one.
    pub unproven: Option<Unproven>,
}

impl Run {
    /// Runs the item on a worker until it ends, breaks or yields.
    pub async fn run(
        self,
        mut placement: Placement,
        yield_request: Receiver<()>,
        after: Option<u64>,
    ) {
        let started = self.gateway.now();
        event!(
            Info,
            ItemStarted,
            "job={} item={} worker={} zone={} version={} load={} slots={} after={after:?}",
            self.job,
            self.item.id,
            placement.worker.id,
            placement.worker.zone,
            placement.worker.version,
            placement.load,
            placement.worker.slots
        );
        let mut output = Output::after(after);
        let yielded = async {
            let _ = yield_request.recv().await;
            RunEnd::Yielded
        };
        let work = self.stream(&mut placement, after, &mut output);
        let mut end = smol::future::or(work, yielded).await;
        if after.is_none() && matches!(end, RunEnd::Whole { .. } | RunEnd::Unproven(_)) {
            let time = self.gateway.now().saturating_sub(started);
            self.gateway.jobs.record_run(time, output.last.unwrap_or(0));
        }
        let worker = placement.worker.id.clone();
        let version = placement.worker.version.clone();
        if let RunEnd::Broken(broken) = &end
            && broken.is_crash()
            && self.is_worker_fault(&placement).await
        {
            self.gateway
                .record_crash(&self.item.marks(), &self.item.id, &worker);
        }
        drop(placement);
        if let RunEnd::Unproven(ended) = end {
            end = self.settle(ended, &output).await;
        }
        self.record_end(end, output, &worker, version);
        self.gateway.jobs.notify_runner();
    }

    /// Decides what the end of a connection shows.
    async fn settle(&self, ended: Ended, output: &Output) -> RunEnd {
        let is_empty = output.events.is_empty();
        let evidence = match &self.unproven {
            Some(first) if is_empty && first.worker != ended.worker().id => EndEvidence::Agreed,
            Some(first) if is_empty && first.begun => EndEvidence::Outlived,
            // Two empty answers of one worker that was to go on may have the same fault.
            Some(_) if is_empty => {
                ended.reject_repeated();
                return RunEnd::NoMore;
            }
            // No worker can be asked for what follows an event without a number.
            _ if output.numbered != output.events.len() => EndEvidence::Outlived,
            _ => return RunEnd::Unproven(ended),
        };
        match ended.outlive(evidence, Delivery::Whole, PROOF_LIMIT).await {
            Ok(()) => RunEnd::Whole { framed: false },
            Err(e) => RunEnd::Broken(AttemptError::reading(&e, true)),
        }
    }

    /// Runs the item on a worker and collects its events.
    async fn stream(
        &self,
        placement: &mut Placement,
        after: Option<u64>,
        output: &mut Output,
    ) -> RunEnd {
        let dispatch = &self.gateway.dispatch;
        let worker = &placement.worker.clone();
        let mut connection = match self.connect(worker).await {
            Ok(connection) => connection,
            Err(e) => return self.unreached(worker, &e).await,
        };
        placement.path = connection.path.clone();
        let request = match self.request(&worker.id, after) {
            Ok(request) => request,
            Err(e) => return RunEnd::Broken(AttemptError::fault(e.to_string())),
        };
        let opened = Instant::now();
        refresh::wait(&self.gateway).await;
        if !dispatch.holds(worker) {
            return RunEnd::Revoked("the worker leaves".into());
        }
        connection.set_decision(Decision {
            request: self.item.id.clone(),
            worker: worker.id.clone(),
            chosen: placement.chosen,
            opened,
            checked: Instant::now(),
            reused: connection.reused,
        });
        let sent = dispatch.now();
        let Connection {
            reused, reported, ..
        } = connection;
        let answer = connection.send_within(request, STALL_LIMIT).await;
        if let Err(SendError::NotSent(_) | SendError::Sent(_)) = &answer
            && reported
        {
            self.gateway.upstream.record_report_end(worker);
        }
        let answer = match answer {
            Ok(answer) => answer,
            Err(SendError::Revoked(reason)) => return RunEnd::Revoked(reason),
            // A new connection may still work.
            Err(SendError::NotSent(e)) if reused || reported => {
                return RunEnd::Revoked(e);
            }
            Err(SendError::NotSent(e)) => return RunEnd::Broken(AttemptError::fault(e)),
            Err(SendError::Sent(reason)) => {
                self.record_failure(placement);
                return RunEnd::Broken(AttemptError::closed(reason));
            }
            Err(SendError::TimedOut(reason)) => {
                self.record_failure(placement);
                return RunEnd::Broken(AttemptError::fault(reason));
            }
        };
        let terms = headers::decode_answer(&answer);
        if terms.leaving {
            self.gateway.record_leaving(worker);
        }
        self.gateway
            .record_limit(worker, &terms, &self.item.id, sent);
        let status = answer.status();
        match head::interpret(status, &terms, &self.item.id, connection.reused) {
            Head::NotRun => return RunEnd::Refused(status),
            Head::Invalid(reason) => return RunEnd::Broken(AttemptError::fault(reason)),
            Head::Failed if status == StatusCode::UNPROCESSABLE_ENTITY => {
                return RunEnd::Impossible;
            }
            // The connection is closed: a late copy of this answer on it would name the same item.
            Head::Failed => return RunEnd::Failed(status),
            Head::Success => {}
        }
        if !Form::of(&answer).is_stream() {
            return RunEnd::Broken(AttemptError::fault("the answer is no stream of events"));
        }
        dispatch.record_success(worker);
        let responder = Responder {
            gateway: self.gateway.clone(),
            worker: worker.clone(),
            request: self.item.id.clone(),
            since: Instant::now(),
        };
        let mut events = Events::of(answer, after, true, responder).into_body();
        let mut bytes = 0;
        loop {
            placement.begin_wait();
            match events.next(output.last, STALL_LIMIT).await {
                Ok(Next::Event(event)) => {
                    placement.record_progress();
                    if output.events.is_empty() && !event.is_comment() {
                        self.gateway.record_proof(&self.item.marks());
                    }
                    bytes += event.bytes.len();
                    output.push(&event);
                    if bytes > MAX_OUTPUT_BYTES {
                        self.record_failure(placement);
                        // An endless output is no part of the item's result.
                        *output = Output::after(after);
                        return RunEnd::Broken(AttemptError::fault("the output is too long"));
                    }
                }
                Ok(Next::End(End::Framed)) => {
                    self.gateway.keep_connection(worker, connection);
                    return RunEnd::Whole { framed: true };
                }
                Ok(Next::End(End::Connection)) => {
                    let ended = events.responder().record_end();
                    return match ended.check_running().await {
                        Ok(()) if events.lacks_event() => {
                            self.record_failure(placement);
                            let e = ended.reject_empty();
                            RunEnd::Broken(AttemptError::reading(&e, false))
                        }
                        Ok(()) => RunEnd::Unproven(ended),
                        Err(e) => {
                            self.record_failure(placement);
                            RunEnd::Broken(AttemptError::reading(&e, !output.events.is_empty()))
                        }
                    };
                }
                Err(e) => {
                    output.skipped = events.has_skipped();
                    self.record_failure(placement);
                    return RunEnd::Broken(AttemptError::reading(&e, !output.events.is_empty()));
                }
            }
            if !self.should_continue() {
                return RunEnd::Yielded;
            }
        }
    }

    async fn connect(&self, worker: &Worker) -> Result<Connection, ReachError> {
        let upstream = &self.gateway.upstream;
        let connection = upstream
            .reach_listed(&self.gateway, worker, true, STALL_LIMIT)
            .await?;
        if !connection.path.is_direct() {
            event!(
                Info,
                RequestRelayed,
                "request={} worker={} kept={}",
                self.item.id,
                worker.id,
                connection.reused
            );
        }
        Ok(connection)
    }

    /// Records that there is no connection to the listed start of a worker, and returns the end of the run.
    async fn unreached(&self, worker: &Worker, error: &ReachError) -> RunEnd {
        if matches!(error, ReachError::OtherStart) {
            return RunEnd::Revoked(error.to_string());
        }
        upstream::record_unreached(&self.gateway, worker, error).await;
        RunEnd::Broken(AttemptError::fault(error.to_string()))
    }

    /// Returns whether a closed connection may be put down to its worker.
    async fn is_worker_fault(&self, placement: &Placement) -> bool {
        if placement.path.is_direct() {
            links::confirm_cut(&self.gateway, Some(&placement.worker.id)).await;
        }
        self.gateway.is_worker_fault(&placement.path)
    }

    /// Records a failure of a worker, unless the links of this instance explain it.
    fn record_failure(&self, placement: &Placement) {
        if self.gateway.is_worker_fault(&placement.path) {
            self.gateway.dispatch.record_failure(&placement.worker.id);
        }
    }

    fn should_continue(&self) -> bool {
        let job = lock(&self.shared);
        job.active && !job.ended
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
        headers::set_team(&mut call, self.team.as_ref());
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

    /// Returns the pause after a broken run, given the number of crashes before it. It doubles with
    /// each, as the next worker may crash as well.
    fn pause(&self, crashes: u32) -> Duration {
        let longest = longest_pause(self.ttl).max(RETRY_PAUSE);
        RETRY_PAUSE
            .saturating_mul(2_u32.saturating_pow(crashes))
            .min(longest)
    }

    /// Records the end of the run in the state of the job.
    fn record_end(&self, end: RunEnd, output: Output, worker: &str, version: SoftwareVersion) {
        let now = self.gateway.now();
        let mut job = lock(&self.shared);
        let Some(progress) = job.progress(&self.item.id) else {
            return;
        };
        progress.running = false;
        progress.ended = Some(now);
        let last = output.last;
        let has_events = !output.events.is_empty();
        if progress.unproven.is_some() {
            if has_events || output.skipped {
                progress.unproven = None;
                metrics::connection_end(EndEvidence::Torn);
            } else if matches!(end, RunEnd::Whole { framed: true }) {
                metrics::connection_end(EndEvidence::Framed);
            }
        }
        if let RunEnd::Unproven(ended) = &end {
            progress.unproven = Some(Unproven {
                worker: ended.worker().id.clone(),
                begun: has_events,
            });
        }
        progress.text.extend(match end {
            RunEnd::Whole { .. } => output.events,
            _ => output.resumable(),
        });
        progress.last = last;
        progress.version = Some(version);
        let id = &self.item.id;
        match end {
            RunEnd::Whole { framed } => {
                let output = progress.text.join("\n");
                let bytes = output.len();
                let verdict = job.finish(id, Verdict::Done, output.into(), now);
                if verdict == Some(Verdict::GivenUp) {
                    log_failure(&self.job, id, &format!("too-long bytes={bytes}"));
                    return;
                }
                event!(
                    Info,
                    ItemDone,
                    "job={} item={id} worker={worker} bytes={bytes} framed={framed}",
                    self.job
                );
                metrics::items(ItemStatus::Completed, 1);
            }
            RunEnd::Yielded => {
                event!(
                    Info,
                    ItemYielded,
                    "job={} item={id} worker={worker} last={last:?}",
                    self.job
                );
            }
            RunEnd::Refused(status) => {
                event!(
                    Info,
                    WorkerRefused,
                    "job={} item={id} worker={worker} status={}",
                    self.job,
                    status.as_u16()
                );
                progress.not_before = now + RETRY_PAUSE;
            }
            RunEnd::Revoked(reason) => {
                event!(
                    Info,
                    ChoiceRevoked,
                    "job={} item={id} worker={worker} reason={reason:?}",
                    self.job
                );
            }
            RunEnd::Broken(broken) => {
                event!(
                    Warn,
                    ItemBroken,
                    "job={} item={id} worker={worker} last={last:?} begun={} parts={} \
                     reason={:?}",
                    self.job,
                    broken.begun,
                    marks::names(&self.item.marks()),
                    broken.reason
                );
                progress.not_before = now + self.pause(progress.crashes);
                progress.crashes += u32::from(broken.closed);
            }
            RunEnd::Unproven(_) => {
                event!(
                    Info,
                    ItemUnproven,
                    "job={} item={id} worker={worker} last={last:?}",
                    self.job
                );
            }
            RunEnd::NoMore => {
                event!(
                    Warn,
                    ItemBroken,
                    "job={} item={id} worker={worker} last={last:?} reason=\"no further event\"",
                    self.job
                );
                progress.not_before = now + RETRY_PAUSE;
                // Only a whole run proves that no event is missing.
                job.drop_text(id);
            }
            RunEnd::Failed(status) => {
                progress.failures += 1;
                progress.not_before = now + ERROR_PAUSE;
                let failures = progress.failures;
                if failures >= self.attempts {
                    let status = status.as_u16();
                    let reason = format!("errors count={failures} status={status}");
                    fail_item(&mut job, &self.job, id, &reason, now);
                }
            }
            RunEnd::Impossible => fail_item(&mut job, &self.job, id, "impossible", now),
        }
    }
}

/// Returns the longest pause between two runs of an item that fails after a time.
pub fn longest_pause(ttl: Duration) -> Duration {
    ttl.mul_f64(MAX_PAUSE_SHARE)
}

/// Records an item as failed, without an output.
pub fn fail_item(job: &mut Job, job_id: &JobId, item: &ItemId, reason: &str, now: Duration) {
    log_failure(job_id, item, reason);
    job.finish(item, Verdict::GivenUp, "".into(), now);
}

fn log_failure(job: &JobId, item: &ItemId, reason: &str) {
    event!(Warn, ItemFailed, "job={job} item={item} reason={reason}");
    metrics::items(ItemStatus::Failed, 1);
}
