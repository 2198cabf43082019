//! HTTP interface of the stand-in for an engine.

use std::time::Duration;

use async_io::Timer;
use serde::{Deserialize, Serialize};
use serde_json::json;
use trillium::{Conn, Handler, Method, Upgrade};

use crate::{
    engine::{Attachment, Engine, Faults, ResumeError, Run, RunState, ServiceCall, State},
    faults,
    generate::{self, INVALID_MARKER, Producer, Step},
    orders::{self, Order},
    reply,
    stream_faults::StreamFault,
};

/// Header that carries the id of a request.
const REQUEST_HEADER: &str = "gentianpath-request";
/// Header that marks a refusal of a request that did not run.
const REFUSED_HEADER: &str = "gentianpath-engine-refused";
/// Tokens of a request without `max_tokens`.
const DEFAULT_TOKENS: u64 = 16;

/// Body of a completion request.
#[derive(Debug)]
#[derive(Deserialize)]
// Serde names the type in the text of a 400 answer.
#[serde(expecting = "struct Ask")]
struct CompletionRequest {
    model: Option<String>,
    #[serde(default)]
    messages: Vec<Message>,
    prompt: Option<String>,
    max_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct Message {
    #[serde(default)]
    content: String,
}

/// A stream that starts once the head of its answer is written.
struct Start {
    attachment: Attachment,
    fault: Option<StreamFault>,
}

/// Why a request was not run.
enum Refusal {
    Status(u16, &'static str),
    Invalid(String),
}

impl Engine {
    async fn serve(&self, conn: Conn, parts: &[&str]) -> Conn {
        match (conn.method(), parts) {
            (Method::Post, ["v1", "chat", "completions"]) => self.complete(conn).await,
            (Method::Post, ["streams", id, "resume"]) => self.resume(conn, id),
            (Method::Post, ["streams", id, "cancel"]) => {
                let known = self.lock().cancel(id);
                self.acknowledge(conn, if known { 200 } else { 404 }).await
            }
            (Method::Get, ["load"]) => match self.report() {
                Some(report) => reply::json(conn, 200, &report),
                None => reply::error(conn, 503, "no report yet"),
            },
            (Method::Get, ["events"]) => self.events(conn),
            (Method::Get, ["kv", id]) => self.export(conn, id),
            (Method::Put, ["kv", id]) => self.import(conn, id).await,
            (Method::Post, ["orders"]) => self.order(conn).await,
            _ => reply::error(conn, 404, "no such path"),
        }
    }

    async fn complete(&self, mut conn: Conn) -> Conn {
        let request: CompletionRequest = match reply::body(&mut conn).await {
            Ok(request) => request,
            Err(e) => return self.refuse(conn, Refusal::Invalid(e)),
        };
        let header = conn.request_headers().get_str(REQUEST_HEADER);
        let id = header.map_or_else(|| format!("own-{:016x}", fastrand::u64(..)), str::to_owned);
        let (attachment, fault) = match self.admit(&id, &request) {
            Ok(admitted) => admitted,
            Err(refusal) => return self.refuse(conn, refusal),
        };
        if request.stream {
            return start(conn, Start { attachment, fault });
        }
        self.collect(conn, attachment).await
    }

    /// Checks a request and starts its run.
    fn admit(
        &self,
        id: &str,
        request: &CompletionRequest,
    ) -> Result<(Attachment, Option<StreamFault>), Refusal> {
        let mut state = self.lock();
        check(&mut state, request)?;
        if state.queue.waiting() >= self.options.max_waiting {
            return Err(Refusal::Status(429, "too many requests wait"));
        }
        let run = Run {
            request: id.into(),
            prompt: prompt(request).into(),
            max_tokens: request.max_tokens.unwrap_or(DEFAULT_TOKENS),
            tokens: 0,
            state: RunState::Running,
            resumes: 0,
            imported: false,
            taken: 0,
            prefilled: 0,
            started_ms: self.uptime_ms(),
            stopped_at_us: Vec::new(),
            ended_at_us: None,
        };
        let attachment = state.begin(run);
        let fault = state.pick_fault(&attachment);
        Ok((attachment, fault))
    }

    fn refuse(&self, conn: Conn, refusal: Refusal) -> Conn {
        let mut state = self.lock();
        match refusal {
            Refusal::Invalid(message) => {
                state.invalid += 1;
                drop(state);
                reply::error(conn, 400, &message)
            }
            Refusal::Status(status, message) => {
                state.refused += 1;
                drop(state);
                let conn = conn.with_response_header(REFUSED_HEADER, "not-run");
                reply::error(conn, status, message)
            }
        }
    }

    /// Generates the whole text and answers with it at once.
    async fn collect(&self, mut conn: Conn, attachment: Attachment) -> Conn {
        let id = attachment.id.clone();
        let mut producer = Producer::new(self.clone(), attachment);
        let detached = producer.detached();
        let whole = async {
            let mut text = String::new();
            loop {
                match producer.next().await {
                    Step::Token(token) => text.push_str(&token),
                    Step::Done(tokens) => return Some((text, tokens)),
                    Step::Failed => return None,
                }
            }
        };
        let detached = async {
            let _ = detached.recv().await;
            None
        };
        let whole = conn
            .cancel_on_disconnect(smol::future::or(whole, detached))
            .await;
        let Some(Some((text, tokens))) = whole else {
            return reply::error(conn, 500, "generation failed");
        };
        let message = json!({ "role": "assistant", "content": text });
        let answer = json!({
            "id": id,
            "object": "chat.completion",
            "choices": [{ "index": 0, "message": message, "finish_reason": "stop" }],
            "usage": { "completion_tokens": tokens },
        });
        self.answer(conn, 200, &answer).await
    }

    fn resume(&self, conn: Conn, id: &str) -> Conn {
        let from = reply::number(&conn, "from");
        let mut state = self.lock();
        let attachment = match state.resume(&id.into(), from) {
            Ok(attachment) => attachment,
            Err(error) => {
                drop(state);
                return reply::error(conn, error.status(), error.message());
            }
        };
        let fault = state.pick_fault(&attachment);
        drop(state);
        start(conn, Start { attachment, fault })
    }

    fn events(&self, conn: Conn) -> Conn {
        let since = reply::number(&conn, "since");
        let state = self.lock();
        let lag = state
            .faults
            .event_lag_ms
            .unwrap_or(self.options.event_lag_ms);
        let events = state.prefix.since(since, Duration::from_millis(lag));
        drop(state);
        let next = events.last().map_or(since, |event| event.seq);
        reply::json(conn, 200, &json!({ "next": next, "events": events }))
    }

    async fn order(&self, mut conn: Conn) -> Conn {
        let order: Order = match reply::body(&mut conn).await {
            Ok(order) => order,
            Err(e) => return reply::error(conn, 400, &e),
        };
        match orders::apply(self, &order) {
            Ok(()) => self.acknowledge(conn, 200).await,
            Err(stale) => {
                self.answer(conn, 409, &json!({ "fence": stale.fence }))
                    .await
            }
        }
    }

    async fn call_service(&self, mut conn: Conn, service: &str) -> Conn {
        let body = conn.request_body_string().await.unwrap_or_default();
        let header = conn.request_headers().get_str("idempotency-key");
        let call = ServiceCall {
            method: conn.method().to_string(),
            path: conn.path_and_query().into(),
            body,
            key: header.unwrap_or_default().into(),
        };
        if self.lock().leaving {
            return self.refuse(conn, Refusal::Status(503, "the target is leaving"));
        }
        let answer = json!({ "service": service, "target": self.options.id, "call": call });
        self.lock().calls.push(call);
        Timer::after(Duration::from_millis(self.options.service_ms)).await;
        self.answer(conn, 200, &answer).await
    }

    /// Answers a call that took effect with a status and an empty object.
    pub(crate) async fn acknowledge(&self, conn: Conn, status: u16) -> Conn {
        self.answer(conn, status, &json!({})).await
    }

    /// Answers a call that took effect, unless a fault loses the answer.
    async fn answer(&self, conn: Conn, status: u16, body: &impl Serialize) -> Conn {
        let lost = {
            let mut state = self.lock();
            let since = state.since;
            faults::take(&mut state.faults.lost, conn.path(), since)
        };
        match lost {
            Some(silent) => reply::no_answer(conn, silent).await,
            None => reply::json(conn, status, body),
        }
    }

    fn ledger(&self, conn: Conn) -> Conn {
        let state = self.lock();
        let ledger = json!({
            "runs": state.runs,
            "calls": state.calls,
            "orders": state.orders,
            "refused": state.refused,
            "invalid": state.invalid,
        });
        drop(state);
        reply::json(conn, 200, &ledger)
    }

    async fn change_faults(&self, mut conn: Conn) -> Conn {
        match reply::body::<Faults>(&mut conn).await {
            Ok(faults) => {
                self.set_faults(faults);
                reply::json(conn, 200, &json!({}))
            }
            Err(e) => reply::error(conn, 400, &e),
        }
    }
}

impl Handler for Engine {
    async fn run(&self, conn: Conn) -> Conn {
        let path = conn.path().to_owned();
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        match (conn.method(), parts.as_slice()) {
            (Method::Post, ["faults"]) => return self.change_faults(conn).await,
            (Method::Get, ["ledger"]) => return self.ledger(conn),
            _ => {}
        }
        let conn = match self.gate.pass(conn).await {
            Ok(conn) => conn,
            Err(conn) => return conn,
        };
        match &self.options.service {
            Some(service) if path != "/load" => self.call_service(conn, service).await,
            _ => self.serve(conn, &parts).await,
        }
    }

    fn has_upgrade(&self, upgrade: &Upgrade) -> bool {
        upgrade.state().contains::<Start>()
    }

    async fn upgrade(&self, mut upgrade: Upgrade) {
        if let Some(start) = upgrade.state_mut().take::<Start>() {
            let producer = Producer::new(self.clone(), start.attachment);
            // The raw transport: the upgrade itself reads only up to the end of the request.
            let (_, transport) = upgrade.into_transport();
            generate::forward(producer, transport, start.fault).await;
        }
    }
}

impl ResumeError {
    fn status(self) -> u16 {
        match self {
            ResumeError::Unknown => 404,
            ResumeError::Ahead => 409,
        }
    }

    fn message(self) -> &'static str {
        match self {
            ResumeError::Unknown => "no such stream",
            ResumeError::Ahead => "the stream has not come that far",
        }
    }
}

/// Answers with the head of an event stream; the events follow on the upgraded connection.
fn start(mut conn: Conn, start: Start) -> Conn {
    // The server closes a connection with this header instead of upgrading it. The connection is
    // closed after the stream in any case.
    conn.request_headers_mut().remove("connection");
    conn.with_status(200)
        .with_response_header("content-type", "text/event-stream")
        .with_state(start)
        .halt()
        .upgrade()
}

fn check(state: &mut State, request: &CompletionRequest) -> Result<(), Refusal> {
    let since = state.since;
    let refuse = state.faults.refuse.as_mut();
    if refuse.is_some_and(|bound| bound.take(since)) {
        return Err(Refusal::Status(503, "refused by a fault"));
    }
    if state.leaving {
        return Err(Refusal::Status(503, "the engine is leaving"));
    }
    if prompt(request).contains(INVALID_MARKER) {
        return Err(Refusal::Invalid("the prompt is invalid".into()));
    }
    let Some(model) = &state.loaded.model else {
        return Err(Refusal::Status(503, "no model is loaded"));
    };
    let known = |name: &String| name == model || state.loaded.adapters.contains(name);
    match &request.model {
        Some(name) if !known(name) => Err(Refusal::Status(404, "the model is not loaded")),
        _ => Ok(()),
    }
}

/// Returns the prompt, or the contents of the messages, one per line. The answer is derived from it.
fn prompt(request: &CompletionRequest) -> String {
    let contents: Vec<&str> = request
        .messages
        .iter()
        .map(|m| m.content.as_str())
        .collect();
    request
        .prompt
        .clone()
        .unwrap_or_else(|| contents.join("\n"))
}
