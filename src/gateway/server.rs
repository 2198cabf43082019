//! HTTP servers of an instance, for callers, the load balancer, other instances and the collector
//! of metrics.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use anyhow::Context as _;
use bytes::Bytes;
use hyper::{
    Method, Request, Response, StatusCode, Version,
    body::{Body, Incoming},
    header,
    server::conn::http1,
    service::service_fn,
};
use rustix::net::sockopt::set_socket_linger;
use smol::{
    channel::{Receiver, Sender},
    net::{TcpListener, TcpStream},
};
use smol_hyper::rt::{FuturesIo, SmolTimer};

use crate::{
    adapter::{headers, job_calls},
    drain::Phase,
    event,
    ids::RequestId,
    metrics::{self, TeamEnd},
    mutex::{Mutex, lock},
    teams::directory::Team,
};

use super::{
    answer::{self, CallerBody, full_body, text_answer},
    answer_end::AnswerEnd,
    connection::{self, BUFFER_BYTES},
    fair_stream::{FairStream, HeadBytes},
    forward::{self, Call},
    gateway::Gateway,
    identity::Refused,
    job_api::{self, JobRequest},
    memory::Memory,
    peer_call,
    write_gate::WriteGate,
};

/// Delay after a failed accept, such as when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// `Retry-After` when the instance has no configuration yet.
const UNCONFIGURED_RETRY: Duration = Duration::from_millis(500);
/// `Retry-After` when too many bytes are held; a body is passed on and answered within a second or two.
const MEMORY_RETRY: Duration = Duration::from_secs(1);

/// `Retry-After` of an instance that stops; other instances take the call at once.
const STOPPING_RETRY: Duration = Duration::from_millis(50);
/// Reason of the answers to calls that a planned stop leaves out.
const STOPPING: &str = "the instance is stopping";

/// Kind of client that a server serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerKind {
    /// Callers.
    Callers,
    /// The load balancer.
    Balancer,
    /// Other instances.
    Peers,
    /// The operator's metrics collector.
    Metrics,
}

/// A running server.
#[derive(Debug)]
pub struct Server {
    _accepting: smol::Task<()>,
    stop: Sender<()>,
    ended: Receiver<()>,
}

impl Server {
    /// Starts a server.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound.
    pub fn start(
        gateway: Arc<Gateway>,
        address: SocketAddr,
        kind: ServerKind,
    ) -> anyhow::Result<Self> {
        let listener = std::net::TcpListener::bind(address)
            .with_context(|| format!("cannot listen on {address}; is the address in use?"))?;
        let listener = TcpListener::try_from(listener)?;
        let (stop, stopping) = smol::channel::bounded(1);
        let (alive, ended) = smol::channel::bounded(1);
        let accepting = smol::spawn(accept(gateway, listener, kind, stopping, alive));
        Ok(Self {
            _accepting: accepting,
            stop,
            ended,
        })
    }

    /// Stops accepting, closes idle connections and returns when the last answer has ended.
    pub async fn stop(self) {
        self.stop.close();
        drop(self._accepting);
        let _ = self.ended.recv().await;
    }
}

async fn accept(
    gateway: Arc<Gateway>,
    listener: TcpListener,
    kind: ServerKind,
    stopping: Receiver<()>,
    alive: Sender<()>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let serving = serve(
                    gateway.clone(),
                    stream,
                    kind,
                    stopping.clone(),
                    alive.clone(),
                );
                smol::spawn(serving).detach();
            }
            Err(e) => {
                event!(Warn, AcceptFailed, "reason=\"{e}\"");
                async_io::Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(
    gateway: Arc<Gateway>,
    stream: TcpStream,
    kind: ServerKind,
    stopping: Receiver<()>,
    _alive: Sender<()>,
) {
    if let Err(e) = stream.set_nodelay(true) {
        log::debug!("a caller's connection is gone: {e}");
        return;
    }
    let idle = gateway.config.load().as_ref().map_or_else(
        || super::config::CallerLimits::default().idle,
        |c| c.limits.idle,
    );
    let socket = stream.clone();
    let (ends, answers) = smol::channel::unbounded::<AnswerEnd>();
    let last = Mutex::new(None);
    let service = service_fn(|request| {
        let (gateway, ends) = (gateway.clone(), ends.clone());
        async move {
            let answer = match kind {
                ServerKind::Callers => answer_until_stop(gateway, request).await,
                ServerKind::Balancer => answer_balancer(&gateway),
                ServerKind::Peers => peer_call::answer(gateway, request).await,
                ServerKind::Metrics => answer_metrics(&gateway),
            };
            if let Some(end) = answer.extensions().get::<AnswerEnd>() {
                let _ = ends.try_send(end.clone());
            }
            Ok::<_, std::convert::Infallible>(answer)
        }
    });
    let connection = http1::Builder::new()
        .max_buf_size(BUFFER_BYTES)
        .writev(true)
        .timer(SmolTimer::new())
        .header_read_timeout(idle)
        .serve_connection(
            FuturesIo::new(FairStream::new(
                stream,
                HeadBytes::default(),
                WriteGate::default(),
                Some(gateway.memory.hold()),
            )),
            service,
        )
        .with_upgrades();
    let mut connection = std::pin::pin!(connection);
    let stop = async {
        let _ = stopping.recv().await;
        None
    };
    let served = async {
        let ended = async { Some(connection.as_mut().await) };
        if let Some(result) = smol::future::or(ended, stop).await {
            return Some(result);
        }
        connection.as_mut().graceful_shutdown();
        Some(connection.as_mut().await)
    };
    let late = async {
        await_late(&answers, &last).await;
        None
    };
    match smol::future::or(served, late).await {
        Some(Ok(())) => return,
        // The answer was broken off.
        Some(Err(e)) if e.is_user() => {}
        Some(Err(e)) => {
            log::debug!("a connection ended: {e}");
            return;
        }
        None => {}
    }
    let end = lock(&last).take();
    if let Some((end, over)) = end.and_then(|e: AnswerEnd| e.overdue().map(|o| (e, o))) {
        event!(
            Warn,
            AnswerCut,
            "request={} overdue_ms={}",
            end.request(),
            over.as_millis()
        );
        // A close would send what waits in the socket before the end, as slowly as the caller reads.
        if let Err(e) = set_socket_linger(&socket, Some(Duration::ZERO)) {
            log::debug!("a connection cannot be reset: {e}");
        }
    }
}

/// Waits until an answer is late. A connection carries one after another; `last` is the last one.
async fn await_late(answers: &Receiver<AnswerEnd>, last: &Mutex<Option<AnswerEnd>>) {
    loop {
        let end = lock(last).clone();
        let next = async { answers.recv().await.ok() };
        let late = async {
            match end {
                Some(end) if end.is_late().await => None,
                _ => std::future::pending().await,
            }
        };
        match smol::future::or(next, late).await {
            Some(end) => *lock(last) = Some(end),
            None => return,
        }
    }
}

fn answer_balancer(gateway: &Gateway) -> Response<CallerBody> {
    let status = if gateway.is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    text_answer(status, status.canonical_reason().unwrap_or(""), None)
}

fn answer_metrics(gateway: &Gateway) -> Response<CallerBody> {
    metrics::instance_state(&gateway.instance_state());
    Response::new(full_body(metrics::text()))
}

/// Answers a call. One without an answer at the end of a planned stop gets one that says that it may have
/// run.
async fn answer_until_stop(
    gateway: Arc<Gateway>,
    request: Request<Incoming>,
) -> Response<CallerBody> {
    let stopped = async {
        gateway.stop.wait().await;
        text_answer(StatusCode::GATEWAY_TIMEOUT, STOPPING, None)
    };
    let knows_chunks = request.version() >= Version::HTTP_11 || request.method() == Method::HEAD;
    let answered = async {
        let answer = answer_caller(gateway.clone(), request).await;
        match knows_chunks {
            true => answer,
            false => with_length(answer, &gateway.memory).await,
        }
    };
    smol::future::or(answered, stopped).await
}

/// Reads an answer to its end, so that it has a length. Without one it would look whole to a caller that
/// knows no chunks when this process is killed.
async fn with_length(answer: Response<CallerBody>, memory: &Arc<Memory>) -> Response<CallerBody> {
    let has_length = answer.headers().contains_key(header::CONTENT_LENGTH);
    if has_length || answer.body().size_hint().exact().is_some() {
        return answer;
    }
    let (head, body) = answer.into_parts();
    match connection::read_held(body, usize::MAX, memory).await {
        Ok(bytes) => Response::from_parts(head, full_body(bytes)),
        Err(e) => text_answer(StatusCode::BAD_GATEWAY, &e.to_string(), None),
    }
}

/// Answers a call that its key or the quota of its team does not allow.
fn turn_away(
    gateway: &Gateway,
    id: &RequestId,
    team: Option<&Team>,
    refused: Refused,
) -> Response<CallerBody> {
    gateway.record_refused(id, team, refused);
    let mut answer = refused.answer();
    headers::set_request_id(answer.headers_mut(), id);
    answer
}

async fn answer_caller(gateway: Arc<Gateway>, request: Request<Incoming>) -> Response<CallerBody> {
    let received = Instant::now();
    let arrived = gateway.call_arrival();
    let Some(config) = gateway.config.load_full() else {
        let reason = "no configuration is known yet";
        return text_answer(
            StatusCode::SERVICE_UNAVAILABLE,
            reason,
            Some(UNCONFIGURED_RETRY),
        );
    };
    let host = request
        .headers()
        .get(header::HOST)
        .and_then(|v| v.to_str().ok())
        .unwrap_or_default()
        .to_owned();
    let terms = headers::decode_call(request.headers());
    let path = request.uri().path();
    let caller = terms.id.clone().unwrap_or_default();
    if let Some(call) = job_calls::decode_path(request.method(), request.uri()) {
        // Accepted jobs outlive their route. A call without a key reaches only jobs of no team.
        let is_open = !headers::has_key(request.headers()) && config.has_open_jobs(&host);
        let team = match gateway.identify(&config, request.headers(), is_open) {
            Ok(team) => team,
            Err(refused) => return turn_away(&gateway, &caller, None, refused),
        };
        let mut request = JobRequest::new(Some(call), "".into(), &host, path, &Bytes::new());
        request.wait = terms.wait.unwrap_or_default();
        request.team = team.map(|t| t.name.clone());
        return job_api::answer_caller(gateway, request).await;
    }
    let Some(route) = config.route(&host, path).cloned() else {
        let id = terms.id.filter(|_| request.method() == Method::POST);
        let team = gateway.identify(&config, request.headers(), false);
        let is_accepted = |id, team| job_api::is_accepted(&gateway, id, &host, path, team);
        if let (Some(id), Ok(team)) = (id, team)
            && is_accepted(&id, team.as_ref().map(|t| &t.name))
        {
            return text_answer(StatusCode::ACCEPTED, "accepted", None);
        }
        event!(
            Warn,
            NoRoute,
            "host={host:?} path={} config={}",
            request.uri().path(),
            config.version
        );
        return text_answer(StatusCode::NOT_FOUND, "no such route", None);
    };
    let Some(id) = terms.id.clone() else {
        event!(Warn, CallInvalid, "route={} reason=no-id", route.name);
        return text_answer(StatusCode::BAD_REQUEST, "the request has no id", None);
    };
    let team = match gateway.identify(&config, request.headers(), route.open) {
        Ok(team) => team,
        Err(refused) => return turn_away(&gateway, &id, None, refused),
    };
    let (mut head, mut body) = request.into_parts();
    if config.teams.is_some() {
        headers::set_team(&mut head.headers, team.as_ref().map(|t| &t.name));
    }
    let limit = terms.deadline.unwrap_or(route.timeout).min(route.timeout);
    let read = connection::read_held(&mut body, config.limits.body, &gateway.memory);
    let body = match connection::within(limit, read).await {
        Ok(body) => body,
        Err(e) if e.kind() == std::io::ErrorKind::TimedOut => {
            return text_answer(
                StatusCode::REQUEST_TIMEOUT,
                "the body came too slowly",
                None,
            );
        }
        Err(e) if e.kind() == std::io::ErrorKind::OutOfMemory => {
            event!(Warn, BodyUnread, "request={id} reason=\"{e}\"");
            let rest = async {
                connection::discard(&mut body, config.limits.body).await;
                Ok(())
            };
            let left = limit.saturating_sub(received.elapsed());
            let _ = connection::within(left, rest).await;
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return answer::refuse(&id, status, &e.to_string(), Some(MEMORY_RETRY));
        }
        Err(e) => {
            event!(Warn, BodyUnread, "request={id} reason=\"{e}\"");
            return text_answer(
                StatusCode::PAYLOAD_TOO_LARGE,
                "the body cannot be read",
                None,
            );
        }
    };
    // The caller began to send the call before the instance stopped to accept connections.
    if gateway.drain.phase() == Phase::Draining {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        return answer::refuse(&id, status, STOPPING, Some(STOPPING_RETRY));
    }
    let call = Call {
        id,
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body,
        received,
        arrived,
        deadline: terms.deadline,
        after: terms.after,
        origin: terms.origin,
        team,
    };
    if route.batch().is_some() {
        let path = call.uri.path();
        let mut request = JobRequest::new(None, call.id, &host, path, &call.body);
        request.team = call.team.map(|t| t.name.clone());
        return job_api::answer_caller(gateway, request).await;
    }
    if let Some(team) = &call.team {
        if let Err(refused) = gateway.charge(team).await {
            return turn_away(&gateway, &call.id, Some(team), refused);
        }
        metrics::team_call(&team.name, TeamEnd::Admitted);
    }
    forward::forward(gateway, route, call).await
}
