//! Forwarding of calls to the targets of plain services.

use std::{sync::Arc, time::Duration};

use async_io::Timer;
use futures::AsyncReadExt;
use percent_encoding::percent_decode_str;
use trillium::{Headers, Method};
use trillium_client::{Client, Conn};
use trillium_server_common::url::Url;

use crate::{
    dial,
    engine::REFUSED_HEADER,
    event,
    forward::Repeat,
    ids::{RequestId, ServiceId},
    once::{Outcome, STORED_BYTES, StoredAnswer},
    once_store::Opened,
    online::{Online, RETRY_AFTER},
    reply::{self, Header, Reply, RequestOptions},
    settings::Timeouts,
    sheet::{Call, Service},
    verdict::{Reason, RequestError, Verdict},
    view::ServiceTarget,
};

/// Maximum number of attempts of one call.
const MAX_ATTEMPTS: usize = 4;
/// Buffer size for reading an answer.
const READ_BYTES: usize = 16 << 10;
/// Time after the end of an answer that has neither a length nor chunks at which its target has to run
/// still. A target that ends may close its answers before its listener. Callers have to see an end
/// within 0.5 s; the rest is for the two requests that ask the target.
const SETTLE_TIME: Duration = Duration::from_millis(400);
/// Headers that apply to one connection only and are not forwarded.
const HOP_HEADERS: &[&str] = &[
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Serves calls of plain services.
#[derive(Debug)]
pub struct Services {
    /// State shared with chat requests.
    pub online: Arc<Online>,
    client: Client,
}

/// A call of a plain service.
#[derive(Debug, Clone)]
pub struct PlainCall {
    service: ServiceId,
    method: Method,
    url: Url,
    headers: Vec<Header>,
    body: Arc<[u8]>,
}

/// Answer of a target.
#[derive(Debug)]
struct TargetAnswer {
    status: u16,
    headers: Vec<Header>,
    body: Vec<u8>,
}

impl PlainCall {
    /// Builds a call. `path` is the path below the service.
    ///
    /// # Errors
    ///
    /// Fails when the path is not valid in a URL.
    pub fn new(
        service: &str,
        method: Method,
        path: &str,
        query: &str,
        headers: Vec<Header>,
        body: Vec<u8>,
    ) -> Result<Self, RequestError> {
        let mut url = Url::parse("http://127.0.0.1/")
            .map_err(|_| RequestError::not_run(Reason::Invalid, "the path is malformed"))?;
        url.set_path(path);
        url.set_query(Some(query).filter(|q| !q.is_empty()));
        Ok(Self {
            service: service.into(),
            method,
            url,
            headers,
            body: body.into(),
        })
    }

    /// Returns the call in the normal form that the sheet uses. Spellings of a path that a target
    /// may treat as equal give the same call.
    pub fn normalized(&self) -> Call {
        let decoded = percent_decode_str(self.url.path()).decode_utf8_lossy();
        let parts: Vec<&str> = decoded.split('/').filter(|p| !p.is_empty()).collect();
        Call {
            method: self.method.as_str().to_ascii_uppercase().into(),
            path: format!("/{}", parts.join("/")).into(),
        }
    }

    fn conn(&self, client: &Client, target: &ServiceTarget) -> Conn {
        let mut url = self.url.clone();
        let _ = url.set_ip_host(target.address.ip());
        let _ = url.set_port(Some(target.address.port()));
        let mut conn = client.build_conn(self.method, url);
        for header in &self.headers {
            let headers = conn.request_headers_mut();
            headers.append(header.name.clone(), header.value.clone());
        }
        conn.with_body(self.body.to_vec())
    }
}

/// Returns the end-to-end headers, which are forwarded.
pub fn end_to_end_headers(headers: &Headers) -> Vec<Header> {
    let mut forwarded = Vec::new();
    for (name, values) in headers.iter() {
        let name = name.to_string();
        if HOP_HEADERS.contains(&name.to_ascii_lowercase().as_str()) {
            continue;
        }
        for value in values.iter().filter_map(|v| v.as_str()) {
            forwarded.push(Header {
                name: name.clone(),
                value: value.to_owned(),
            });
        }
    }
    forwarded
}

impl Services {
    /// Builds the state for an entry instance.
    pub fn new(online: Arc<Online>) -> Arc<Self> {
        let client = dial::client(online.ctx.settings.timeouts.connect);
        Arc::new(Self { online, client })
    }

    /// Serves one call.
    ///
    /// # Errors
    ///
    /// Returns the error with which the call is refused.
    pub async fn call(
        &self,
        mut options: RequestOptions,
        call: PlainCall,
    ) -> Result<Reply, RequestError> {
        let _team = self.online.enter_team(&options.team)?;
        if self.is_non_repeatable(&call)? {
            options.repeat = Repeat::Never;
        }
        let method = call.method.as_str().as_bytes();
        let content = [&*call.service, call.url.as_str()].map(str::as_bytes);
        let content = [content[0], method, content[1], &call.body];
        let record = match reply::open_record(&self.online, &options, &content).await? {
            Some(Opened::Return(stored)) => return Ok(stored.into()),
            Some(Opened::Dispatch(record)) => Some(record),
            None => None,
        };
        match self.send(&options, &call).await {
            Ok(answered) => {
                if let Some(record) = record {
                    record.finish(Outcome::Answered(answered.stored())).await;
                }
                Ok(answered.into_reply())
            }
            Err(error) => {
                reply::close_failed(record, &error).await;
                Err(error)
            }
        }
    }

    /// Returns whether the sheet lists the call as non-repeatable.
    fn is_non_repeatable(&self, call: &PlainCall) -> Result<bool, RequestError> {
        let view = self.online.ctx.view.load();
        match view.sheet.services.get(&call.service) {
            Some(Service::Plain(calls)) => Ok(calls.contains(&call.normalized())),
            Some(Service::Model(_)) => Err(RequestError::not_run(
                Reason::NotFound,
                "a model answers this service; use /v1/chat/completions",
            )),
            None => {
                let message = format!("no service '{}'", call.service);
                Err(RequestError::not_run(Reason::NotFound, message))
            }
        }
    }

    /// Sends the call to one target after another until one answers or no more attempts are allowed.
    async fn send(
        &self,
        options: &RequestOptions,
        call: &PlainCall,
    ) -> Result<TargetAnswer, RequestError> {
        let mut may_have_run = false;
        let mut last = RequestError::not_run(Reason::Unavailable, "no target of the service")
            .with_retry_after(RETRY_AFTER);
        for target in self.targets(&call.service).iter().take(MAX_ATTEMPTS) {
            event!(
                Info,
                RouteChosen,
                "request={} target={} zone={}",
                options.id,
                target.id,
                target.zone
            );
            self.online.record_request(&target.id);
            let error = match self.exchange(&options.id, call, target).await {
                Ok(answered) => {
                    self.online.record_success(&target.id);
                    return Ok(answered);
                }
                Err(error) => error,
            };
            if error.reason != Reason::Overloaded && error.reason != Reason::TooLarge {
                self.online.record_failure(&target.id);
            }
            may_have_run |= error.verdict == Verdict::MayHaveRun;
            let reached = error.reason != Reason::Unavailable;
            let is_final = error.reason == Reason::TooLarge
                || may_have_run && options.repeat == Repeat::Never
                || reached && !self.online.may_retry();
            last = error;
            if is_final {
                break;
            }
        }
        if may_have_run {
            last.verdict = Verdict::MayHaveRun;
        }
        Err(last)
    }

    /// Returns the targets of a service in the order of attempts: the own zone first, ejected ones
    /// last.
    fn targets(&self, service: &ServiceId) -> Vec<ServiceTarget> {
        let view = self.online.ctx.view.load();
        let ejected = self.online.ejected();
        let zone = &self.online.ctx.settings.zone;
        let usable = |t: &&ServiceTarget| t.service == *service && !t.leaving;
        let mut targets: Vec<ServiceTarget> =
            view.services.iter().filter(usable).cloned().collect();
        fastrand::shuffle(&mut targets);
        targets.sort_by_key(|t| (ejected.contains(&t.id), t.zone != *zone));
        targets
    }

    async fn exchange(
        &self,
        id: &RequestId,
        call: &PlainCall,
        target: &ServiceTarget,
    ) -> Result<TargetAnswer, RequestError> {
        let settings = &self.online.ctx.settings;
        let mut conn = call.conn(&self.client, target);
        let sent = async { (&mut conn).await.map_err(|e| send_error(&e)) };
        with_timeout(settings.timeouts.first_token, sent).await?;
        let status = conn.status().map_or(0, u16::from);
        let refused = conn.response_headers().get_str(REFUSED_HEADER) == Some("not-run");
        if refused && matches!(status, 429 | 503) {
            let message = "the target refused the call";
            return Err(
                RequestError::not_run(Reason::Overloaded, message).with_retry_after(RETRY_AFTER)
            );
        }
        // The client passes over other interim answers, and knows no status above 599.
        if status < 200 {
            let message = "the target sent no final status";
            return Err(RequestError::may_have_run(Reason::TargetFailed, message));
        }
        let headers = end_to_end_headers(conn.response_headers());
        let body = read_answer(&mut conn, settings.limits.answer, &settings.timeouts).await?;
        if !dial::is_framed(&conn) {
            let confirmed = self.confirm_end(target).await;
            if let Err(error) = &confirmed {
                event!(
                    Warn,
                    EndUnconfirmed,
                    "request={id} target={} zone={} reason=\"{}\"",
                    target.id,
                    target.zone,
                    error.message
                );
            }
            confirmed?;
        }
        Ok(TargetAnswer {
            status,
            headers,
            body,
        })
    }

    /// Confirms that an answer which ended with its connection is whole: its target outlives it, and the
    /// list does not show that the target leaves or is gone.
    async fn confirm_end(&self, target: &ServiceTarget) -> Result<(), RequestError> {
        self.check_running(target).await?;
        Timer::after(SETTLE_TIME).await;
        self.check_running(target).await?;
        let view = self.online.ctx.view.load();
        let is_same =
            |t: &ServiceTarget| t.id == target.id && t.address == target.address && !t.leaving;
        if view.services.iter().any(is_same) {
            return Ok(());
        }
        Err(RequestError::may_have_run(
            Reason::ConnectionBroken,
            "the target leaves, and its answer may be cut",
        ))
    }

    /// Checks that a target runs. The kernel of a killed process ends a connection as a sound process
    /// does.
    async fn check_running(&self, target: &ServiceTarget) -> Result<(), RequestError> {
        let client = self.client.clone();
        let client = client.with_base(format!("http://{}", target.address));
        // An open connection would prove nothing: the kernel accepts them until the listener is closed.
        // This request has no effect, and any answer to it is proof.
        let mut conn = client.build_conn(Method::Options, "*");
        let answered = async { (&mut conn).await.map_err(|_| connection_broken()) };
        with_timeout(self.online.ctx.settings.timeouts.first_token, answered).await
    }
}

async fn read_answer(
    conn: &mut Conn,
    limit: usize,
    timeouts: &Timeouts,
) -> Result<Vec<u8>, RequestError> {
    let mut bytes = Vec::new();
    let mut buffer = vec![0; READ_BYTES];
    let mut body = conn.response_body();
    loop {
        let read = async {
            body.read(&mut buffer)
                .await
                .map_err(|_| connection_broken())
        };
        let count = with_timeout(timeouts.stall, read).await?;
        if count == 0 {
            return Ok(bytes);
        }
        if bytes.len() + count > limit {
            return Err(RequestError::may_have_run(
                Reason::TooLarge,
                "the answer is over the size limit",
            ));
        }
        bytes.extend_from_slice(&buffer[..count]);
    }
}

async fn with_timeout<T>(
    limit: Duration,
    work: impl Future<Output = Result<T, RequestError>>,
) -> Result<T, RequestError> {
    let timeout = async {
        Timer::after(limit).await;
        Err(RequestError::may_have_run(
            Reason::Timeout,
            "the target did not answer in time",
        ))
    };
    smol::future::or(work, timeout).await
}

fn send_error(error: &trillium_client::Error) -> RequestError {
    if dial::never_sent(error) {
        return RequestError::not_run(Reason::Unavailable, "the target cannot be reached")
            .with_retry_after(RETRY_AFTER);
    }
    connection_broken()
}

fn connection_broken() -> RequestError {
    RequestError::may_have_run(Reason::ConnectionBroken, "the target broke the connection")
}

impl TargetAnswer {
    fn content_type(&self) -> Arc<str> {
        let named = |h: &&Header| h.name.eq_ignore_ascii_case("content-type");
        match self.headers.iter().find(named) {
            Some(header) => header.value.as_str().into(),
            None => "application/octet-stream".into(),
        }
    }

    /// Returns the answer for a record, or `None` when the body is too large or not UTF-8.
    fn stored(&self) -> Option<StoredAnswer> {
        if self.body.len() > STORED_BYTES {
            return None;
        }
        let body = std::str::from_utf8(&self.body).ok()?;
        Some(StoredAnswer {
            status: self.status,
            kind: self.content_type(),
            body: body.into(),
        })
    }

    fn into_reply(mut self) -> Reply {
        let content_type = self.content_type();
        self.headers
            .retain(|h| !h.name.eq_ignore_ascii_case("content-type"));
        Reply {
            status: self.status,
            content_type,
            headers: self.headers,
            body: self.body.into(),
        }
    }
}
