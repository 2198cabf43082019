//! Forwards a call to workers of its service: attempts, resumes and the answer to the caller.

use std::{
    io,
    sync::Arc,
    time::{Duration, Instant},
};

use async_io::Timer;
use bytes::Bytes;
use futures::{StreamExt, stream};
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode, Uri,
    body::{Frame, Incoming},
    header,
};

use crate::{
    adapter::headers::{self, AnswerTerms, Attempt},
    event,
    ids::{RequestId, ServiceId, WorkerId},
};

use super::{
    config::{Route, RouteKind},
    connection::{self, Connection, SendError},
    dispatch::{Busy, Placement},
    fleet::Ask,
    gateway::Gateway,
    sse::Splitter,
};

/// Body of an answer to a caller.
pub type CallerBody = UnsyncBoxBody<Bytes, io::Error>;

/// Part of the objective that a request waits for a worker before it is refused: a refusal that
/// comes sooner leaves the caller time to succeed elsewhere.
const WAIT_SHARE: f64 = 0.22;
/// Time that a stream which was forwarded in part waits for another worker.
const RESUME_WAIT: Duration = Duration::from_millis(800);
/// Part of the longest pause that is on time after which a resumable stream goes on elsewhere: what is
/// left is enough for another worker to read the prompt and make the next event.
const STALL_SHARE: f64 = 0.55;
/// Time without an event after which a resumable stream goes on elsewhere where the route names no
/// pause. Callers give up after 2 s.
const STALL_LIMIT: Duration = Duration::from_millis(600);
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
struct Live {
    placement: Placement,
    connection: Connection,
    answer: Response<Incoming>,
}

/// Why a call has no answer of a worker.
enum Failure {
    /// It has not run and will not.
    NotRun(Busy),
    /// It may have run.
    MayHaveRun(String),
    /// The time of the route or of the caller is over.
    TimedOut,
    /// A worker answered with a failure.
    Answered(Response<Bytes>),
}

/// Attempts of one call.
struct Session {
    gateway: Arc<Gateway>,
    route: Arc<Route>,
    service: ServiceId,
    call: Call,
    tried: Vec<WorkerId>,
    runs: u32,
    end: Instant,
}

/// Forwards a call and returns the answer for the caller.
pub async fn forward(gateway: Arc<Gateway>, route: Arc<Route>, call: Call) -> Response<CallerBody> {
    let Some(service) = route.service(fastrand::f64()).cloned() else {
        return refuse(
            &call,
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
    };
    session.run().await
}

impl Session {
    async fn run(mut self) -> Response<CallerBody> {
        let patience = self.route.objective.mul_f64(WAIT_SHARE);
        let patience = patience.saturating_sub(self.call.received.elapsed());
        let failure = match self.attempt(self.call.after, patience).await {
            Ok(live) if matches!(self.route.kind, RouteKind::Stream { .. }) => {
                return self.relay(live);
            }
            Ok(live) => match self.read_whole(live).await {
                Ok(answer) => return answer,
                Err(failure) => failure,
            },
            Err(failure) => failure,
        };
        self.fail(failure)
    }

    fn fail(&self, failure: Failure) -> Response<CallerBody> {
        let (status, reason, retry) = match failure {
            Failure::NotRun(busy) => (
                StatusCode::SERVICE_UNAVAILABLE,
                "no worker is free".to_owned(),
                Some(busy.retry_after),
            ),
            Failure::MayHaveRun(reason) => (StatusCode::BAD_GATEWAY, reason, None),
            Failure::TimedOut => (StatusCode::GATEWAY_TIMEOUT, "the time is over".into(), None),
            Failure::Answered(answer) => {
                let (mut head, body) = answer.into_parts();
                head.headers = headers::forwarded(&head.headers);
                return Response::from_parts(head, whole(body));
            }
        };
        event!(
            Info,
            CallFailed,
            "request={} route={} status={} runs={} tried={} age_ms={} reason={reason:?}",
            self.call.id,
            self.route.name,
            status.as_u16(),
            self.runs,
            self.tried.len(),
            self.call.received.elapsed().as_millis()
        );
        refuse(&self.call, status, &reason, retry)
    }

    /// Says whether the call may be sent once more after it may have run.
    fn may_run_again(&self) -> bool {
        self.route.is_repeatable() && self.runs < self.route.attempts && Instant::now() < self.end
    }

    /// Sends the call to one worker after another until one of them answers.
    async fn attempt(&mut self, after: Option<u64>, patience: Duration) -> Result<Live, Failure> {
        loop {
            let live = self.attempt_once(after, patience).await?;
            let Some((placement, outcome)) = live else {
                continue;
            };
            match outcome {
                Ok((connection, answer)) => {
                    return Ok(Live {
                        placement,
                        connection,
                        answer,
                    });
                }
                Err(reason) => {
                    self.note_broken(&placement, &reason);
                    drop(placement);
                    if !self.may_run_again() {
                        return Err(Failure::MayHaveRun(reason));
                    }
                }
            }
        }
    }

    fn note_broken(&mut self, placement: &Placement, reason: &str) {
        self.runs += 1;
        self.tried.push(placement.worker.id.clone());
        let ejected = self.gateway.dispatch.failed(&placement.worker.id);
        event!(
            Info,
            AttemptBroken,
            "request={} worker={} runs={} ejected={ejected} reason={reason:?}",
            self.call.id,
            placement.worker.id,
            self.runs
        );
    }

    /// Sends the call to one worker. Nothing is returned when that worker has not run it and the
    /// call can go to another one; the inner error says that it may have run.
    #[allow(clippy::type_complexity)]
    async fn attempt_once(
        &mut self,
        after: Option<u64>,
        patience: Duration,
    ) -> Result<Option<(Placement, Result<(Connection, Response<Incoming>), String>)>, Failure>
    {
        let remaining = self.end.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Err(self.out_of_time());
        }
        let dispatch = self.gateway.dispatch.clone();
        if self.tried.len() >= TRIES {
            return Err(self.no_worker(dispatch.busy()));
        }
        let ask = Ask {
            service: &self.service,
            tried: &self.tried,
        };
        let patience = patience.min(remaining);
        let placement = match dispatch.place(&ask, patience).await {
            Ok(placement) => placement,
            Err(busy) => return Err(self.no_worker(busy)),
        };
        let worker = placement.worker.clone();
        let repeatable = self.route.is_repeatable();
        let upstream = &self.gateway.upstream;
        let mut connection = match upstream.connect(&worker, repeatable).await {
            Ok(connection) => connection,
            Err(e) => {
                let cut = dispatch.unreachable(&worker);
                event!(
                    Info,
                    WorkerUnreachable,
                    "request={} worker={} zone={} cut={cut} reason={e}",
                    self.call.id,
                    worker.id,
                    worker.zone
                );
                self.tried.push(worker.id.clone());
                return Ok(None);
            }
        };
        let request = match self.request(&worker.id, after) {
            Ok(request) => request,
            Err(e) => return Err(Failure::MayHaveRun(e.to_string())),
        };
        let sent = match self.send(&mut connection, request, placement.free).await {
            Ok(answer) => answer,
            Err(SendError::NotSent(_)) if connection.kept => return Ok(None),
            Err(SendError::NotSent(_)) => {
                dispatch.failed(&worker.id);
                self.tried.push(worker.id.clone());
                return Ok(None);
            }
            Err(SendError::Sent(_)) if Instant::now() >= self.end => {
                self.runs += 1;
                dispatch.failed(&worker.id);
                return Err(Failure::TimedOut);
            }
            Err(SendError::Sent(reason)) => return Ok(Some((placement, Err(reason)))),
        };
        let terms = headers::decode_answer(&sent);
        if terms.not_run && self.is_own(&terms) {
            event!(
                Info,
                WorkerRefused,
                "request={} worker={} status={}",
                self.call.id,
                worker.id,
                sent.status().as_u16()
            );
            self.tried.push(worker.id.clone());
            return Ok(None);
        }
        if let Some(reason) = self.fault(&sent, &terms) {
            return Ok(Some((placement, Err(reason))));
        }
        dispatch.worked(&worker);
        if sent.status().is_success() {
            return Ok(Some((placement, Ok((connection, sent)))));
        }
        self.runs += 1;
        self.tried.push(worker.id.clone());
        let retry = sent.status().is_server_error() && self.may_run_again();
        if retry {
            return Ok(None);
        }
        Err(self.read_failure(sent).await)
    }

    fn is_own(&self, terms: &AnswerTerms) -> bool {
        terms.id.as_ref().is_none_or(|id| *id == self.call.id)
    }

    /// Says why an answer is not the worker's answer to this call.
    fn fault(&self, answer: &Response<Incoming>, terms: &AnswerTerms) -> Option<String> {
        if !self.is_own(terms) {
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
        let limit = self.end.saturating_duration_since(Instant::now());
        match connection::within(limit, connection::read_body(body, ANSWER_LIMIT)).await {
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
        let known = self.gateway.dispatch.serves(&self.service);
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
        let remaining = self.end.saturating_duration_since(Instant::now());
        let attempt = Attempt {
            worker,
            remaining: Some(remaining),
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
        let remaining = self.end.saturating_duration_since(Instant::now());
        let limit = if self.route.is_repeatable() && self.runs + 1 < self.route.attempts {
            let share = if free { FIRST_SHARE } else { QUEUED_SHARE };
            remaining.min(self.route.objective.mul_f64(share))
        } else {
            remaining
        };
        smol::future::or(connection.send(request), async {
            Timer::after(limit).await;
            Err(SendError::Sent(format!("no answer within {limit:?}")))
        })
        .await
    }

    /// Reads an answer that is forwarded as a whole.
    async fn read_whole(&mut self, live: Live) -> Result<Response<CallerBody>, Failure> {
        let mut live = live;
        loop {
            let worker = live.placement.worker.id.clone();
            let (mut head, body) = live.answer.into_parts();
            let limit = self.end.saturating_duration_since(Instant::now());
            let read = connection::read_body(body, ANSWER_LIMIT);
            match connection::within(limit, read).await {
                Ok(body) => {
                    self.gateway.upstream.keep(&worker, live.connection);
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
            let remaining = self.end.saturating_duration_since(Instant::now());
            live = self.attempt(None, remaining.min(RESUME_WAIT)).await?;
        }
    }

    /// Forwards a stream event by event as it arrives.
    fn relay(self, live: Live) -> Response<CallerBody> {
        let Live {
            placement,
            connection,
            answer,
        } = live;
        let (mut head, body) = answer.into_parts();
        head.headers = headers::forwarded(&head.headers);
        let relay = Relay {
            last: self.call.after,
            session: self,
            source: Some(Source {
                placement,
                connection,
                body,
            }),
            splitter: Splitter::default(),
        };
        let frames = stream::unfold(Some(relay), |relay| async {
            let mut relay = relay?;
            match relay.next().await {
                Ok(Some(bytes)) => Some((Ok(Frame::data(bytes)), Some(relay))),
                Ok(None) => None,
                Err(e) => Some((Err(e), None)),
            }
        });
        Response::from_parts(head, StreamBody::new(frames.boxed()).boxed_unsync())
    }
}

/// A worker whose stream is being forwarded.
struct Source {
    placement: Placement,
    connection: Connection,
    body: Incoming,
}

/// A stream on its way to a caller. Dropping it closes the connection to the worker.
struct Relay {
    session: Session,
    source: Option<Source>,
    splitter: Splitter,
    last: Option<u64>,
}

impl Relay {
    /// Returns the next bytes for the caller; nothing at the end of the stream.
    async fn next(&mut self) -> io::Result<Option<Bytes>> {
        loop {
            while let Some(event) = self.splitter.pop() {
                let repeated = event.id.is_some() && event.id <= self.last;
                if !repeated {
                    self.last = event.id.or(self.last);
                    return Ok(Some(event.bytes));
                }
            }
            let Some(source) = &mut self.source else {
                return Ok(None);
            };
            match next_frame(&mut source.body, self.session.stall_limit()).await {
                Ok(Some(frame)) => {
                    if let Some(data) = frame.data_ref() {
                        self.splitter.push(data);
                    }
                }
                Ok(None) if self.splitter.is_empty() => {
                    if let Some(source) = self.source.take() {
                        let worker = &source.placement.worker.id;
                        self.session
                            .gateway
                            .upstream
                            .keep(worker, source.connection);
                    }
                }
                Ok(None) => {
                    self.resume("the stream ended inside an event".into())
                        .await?
                }
                Err(e) => self.resume(e.to_string()).await?,
            }
        }
    }

    /// Goes on at another worker after the last event that was forwarded.
    async fn resume(&mut self, reason: String) -> io::Result<()> {
        if let Some(source) = self.source.take() {
            self.session.note_broken(&source.placement, &reason);
        }
        self.splitter = Splitter::default();
        if !self.session.may_run_again() {
            return Err(self.broken(&reason));
        }
        let remaining = self.session.end.saturating_duration_since(Instant::now());
        match self
            .session
            .attempt(self.last, remaining.min(RESUME_WAIT))
            .await
        {
            Ok(live) => {
                event!(
                    Info,
                    StreamMoved,
                    "request={} worker={} after={:?}",
                    self.session.call.id,
                    live.placement.worker.id,
                    self.last
                );
                self.source = Some(Source {
                    placement: live.placement,
                    connection: live.connection,
                    body: live.answer.into_body(),
                });
                Ok(())
            }
            Err(_) => Err(self.broken(&reason)),
        }
    }

    fn broken(&self, reason: &str) -> io::Error {
        event!(
            Info,
            StreamBroken,
            "request={} route={} last={:?} age_ms={} reason={reason:?}",
            self.session.call.id,
            self.session.route.name,
            self.last,
            self.session.call.received.elapsed().as_millis()
        );
        io::Error::other(reason.to_owned())
    }
}

impl Session {
    /// Returns how long the next event of a stream may take.
    fn stall_limit(&self) -> Duration {
        let remaining = self.end.saturating_duration_since(Instant::now());
        if self.may_run_again() {
            let limit = self.route.pause.map(|p| p.mul_f64(STALL_SHARE));
            remaining.min(limit.unwrap_or(STALL_LIMIT))
        } else {
            remaining
        }
    }
}

async fn next_frame(body: &mut Incoming, limit: Duration) -> io::Result<Option<Frame<Bytes>>> {
    let frame = async {
        match body.frame().await {
            None => Ok(None),
            Some(Ok(frame)) => Ok(Some(frame)),
            Some(Err(e)) => Err(io::Error::other(e)),
        }
    };
    connection::within(limit, frame).await
}

/// Makes a body of bytes that are known as a whole.
pub fn whole(bytes: impl Into<Bytes>) -> CallerBody {
    Full::new(bytes.into())
        .map_err(|e: std::convert::Infallible| match e {})
        .boxed_unsync()
}

/// Makes the answer to a call that no worker answered.
pub fn refuse(
    call: &Call,
    status: StatusCode,
    reason: &str,
    retry: Option<Duration>,
) -> Response<CallerBody> {
    let mut answer = plain(status, reason, retry);
    headers::set_request_id(answer.headers_mut(), &call.id);
    answer
}

/// Makes an answer of one line of text.
pub fn plain(status: StatusCode, reason: &str, retry: Option<Duration>) -> Response<CallerBody> {
    let mut answer = Response::new(whole(format!("{reason}\n")));
    *answer.status_mut() = status;
    if let Some(retry) = retry {
        let value = format!("{:.2}", retry.as_secs_f64());
        if let Ok(value) = value.parse() {
            answer.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    answer
}
