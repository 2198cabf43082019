//! HTTP client of model engines.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures::StreamExt;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use trillium_client::{Client, Conn, EventStream, SseErrorKind};

use crate::{
    affinity::{CacheChange, CacheEvent},
    dial,
    ids::{Fence, RequestId},
    settings::Timeouts,
    stream::{End, Frame, Reassembly, Step},
    verdict::{Reason, RequestError},
};

/// Request header with the id of a request.
pub const REQUEST_HEADER: &str = "gentianpath-request";
/// Response header of an engine that refused a request before running it.
pub const REFUSED_HEADER: &str = "gentianpath-engine-refused";

/// A request to generate text.
#[derive(Debug, Clone)]
pub struct Generate {
    /// Id of the request, new for each attempt.
    pub id: RequestId,
    /// Body in the format of the chat completions protocol; must request a stream.
    pub body: Arc<Value>,
}

/// Load report of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct LoadReport {
    /// Running streams.
    pub running: u32,
    /// Maximum number of streams at once.
    pub slots: u32,
    /// Requests that were admitted but have not started.
    #[serde(default)]
    pub waiting: u32,
    /// Loaded model.
    pub model: Option<Arc<str>>,
    /// Version of the model.
    #[serde(default)]
    pub version: Arc<str>,
    /// Loaded adapters.
    #[serde(default)]
    pub adapters: Vec<Arc<str>>,
    /// Role.
    #[serde(default)]
    pub role: Arc<str>,
    /// Whether the engine will stop soon.
    #[serde(default)]
    pub leaving: bool,
}

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Order {
    /// Fencing number: the version of the placement record on which the order is based.
    pub fence: Fence,
    /// Action to take.
    pub action: Action,
    /// Model.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub model: Option<Arc<str>>,
    /// Version of the model.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub version: Option<Arc<str>>,
    /// Adapter.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub adapter: Option<Arc<str>>,
    /// Role.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub role: Option<Arc<str>>,
}

/// Action of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Action {
    /// Load a model or adapter.
    Load,
    /// Unload a model or adapter.
    Unload,
    /// Change the role.
    Role,
}

/// Why an order was not executed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderError {
    /// The engine has seen a higher fencing number.
    Stale,
    /// The engine did not answer or refused the order.
    Failed,
}

/// Why a call failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallError {
    /// The call was not sent.
    NotSent,
    /// The call may have taken effect.
    Lost,
}

/// Outcome of an import.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ImportOutcome {
    /// The engine has the state.
    Done,
    /// The state was not sent, because the engine cannot be reached.
    NotSent,
    /// The engine refused the state.
    Refused,
    /// The engine did not answer; it may have the state.
    Unknown,
}

/// List of cache events, as returned by an engine.
#[derive(Debug)]
#[derive(Deserialize)]
struct ListedEvents {
    events: Vec<ListedEvent>,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct ListedEvent {
    seq: u64,
    kind: EventKind,
    blocks: Vec<u64>,
}

#[derive(Debug, Clone, Copy)]
#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum EventKind {
    Stored,
    Evicted,
}

impl From<ListedEvent> for CacheEvent {
    fn from(listed: ListedEvent) -> Self {
        Self {
            number: listed.seq,
            change: match listed.kind {
                EventKind::Stored => CacheChange::Stored(listed.blocks),
                EventKind::Evicted => CacheChange::Removed(listed.blocks),
            },
        }
    }
}

/// A piece of an engine stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Piece {
    /// Generated text.
    Text(Arc<str>),
    /// The stream is complete.
    End(End),
}

/// Why an engine stream ended early.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamError {
    /// No event arrived within the time limit.
    Stalled,
    /// The connection closed.
    Closed,
    /// Events were missing or belonged to another stream.
    Disordered,
}

/// Client of model engines. Clones share only the settings.
#[derive(Debug, Clone)]
pub struct Engine {
    client: Client,
    timeouts: Timeouts,
}

/// An open engine stream. Dropping it closes its connection.
#[derive(Debug)]
pub struct EngineStream {
    events: EventStream,
    reassembly: Reassembly,
    first_timeout: Duration,
    stall_timeout: Duration,
}

impl Engine {
    /// Builds a client with the timeouts of the settings.
    pub fn new(timeouts: Timeouts) -> Self {
        Self {
            client: dial::client(timeouts.connect),
            timeouts,
        }
    }

    /// Starts a generation and returns when the engine has sent the response head.
    ///
    /// # Errors
    ///
    /// The error's verdict is not-run only if the request was never sent or the engine refused it.
    pub async fn open(
        &self,
        address: SocketAddr,
        request: &Generate,
    ) -> Result<EngineStream, RequestError> {
        let body = request.body.to_string();
        let conn = self
            .client
            .post(format!("http://{address}/v1/chat/completions"))
            .with_request_header("content-type", "application/json")
            .with_request_header(REQUEST_HEADER, request.id.to_string())
            .with_body(body);
        self.start(conn, &request.id, 0, self.timeouts.first_token)
            .await
    }

    /// Continues a stream from an event number, on a new connection. The stall timeout applies from
    /// the start, because the longer wait for the first event belongs to the original connection.
    ///
    /// # Errors
    ///
    /// Fails with [`Reason::NotFound`] when the engine no longer has the stream.
    pub async fn resume(
        &self,
        address: SocketAddr,
        id: &RequestId,
        from: u64,
    ) -> Result<EngineStream, RequestError> {
        let url = format!("http://{address}/streams/{id}/resume?from={from}");
        self.start(self.client.post(url), id, from, self.timeouts.stall)
            .await
    }

    /// Cancels a stream. The engine keeps its state for a resume while it has capacity.
    pub async fn cancel(&self, address: SocketAddr, id: &RequestId) {
        let url = format!("http://{address}/streams/{id}/cancel");
        let _ = self.answer(self.client.post(url)).await;
    }

    /// Reads the load report. Returns `None` when the engine does not answer.
    pub async fn load(&self, address: SocketAddr) -> Option<LoadReport> {
        let (status, body) = self
            .answer(self.client.get(format!("http://{address}/load")))
            .await?;
        if status != 200 {
            return None;
        }
        serde_json::from_slice(&body).ok()
    }

    /// Reads the cache events after a number. Returns `None` when the engine does not answer.
    pub async fn events(&self, address: SocketAddr, since: u64) -> Option<Vec<CacheEvent>> {
        let url = format!("http://{address}/events?since={since}");
        let (status, body) = self.answer(self.client.get(url)).await?;
        if status != 200 {
            return None;
        }
        let listed: ListedEvents = serde_json::from_slice(&body).ok()?;
        Some(listed.events.into_iter().map(CacheEvent::from).collect())
    }

    /// Reads the state of a stream. Returns `None` when the engine does not send all of it within
    /// the transfer timeout, or when it exceeds `max_bytes`.
    pub async fn export(&self, address: SocketAddr, id: &str, max_bytes: usize) -> Option<Vec<u8>> {
        let conn = self.client.get(format!("http://{address}/kv/{id}"));
        let answer = self.answer_within(conn, self.timeouts.transfer, Some(max_bytes));
        match answer.await {
            Ok((200, body)) => Some(body),
            _ => None,
        }
    }

    /// Sends the state of a stream to an engine, under an id that the engine does not have yet.
    pub async fn import(&self, address: SocketAddr, id: &str, state: Vec<u8>) -> ImportOutcome {
        let url = format!("http://{address}/kv/{id}");
        let conn = self.client.put(url).with_body(state);
        let answer = self.answer_within(conn, self.timeouts.transfer, None);
        match answer.await {
            Ok((200, _)) => ImportOutcome::Done,
            Ok(_) => ImportOutcome::Refused,
            Err(CallError::NotSent) => ImportOutcome::NotSent,
            Err(CallError::Lost) => ImportOutcome::Unknown,
        }
    }

    /// Sends an order.
    ///
    /// # Errors
    ///
    /// Returns [`OrderError::Stale`] when the engine has seen a higher fencing number.
    pub async fn order(&self, address: SocketAddr, order: &Order) -> Result<(), OrderError> {
        let body = serde_json::to_vec(order).map_err(|_| OrderError::Failed)?;
        let conn = self
            .client
            .post(format!("http://{address}/orders"))
            .with_body(body);
        match self.answer(conn).await {
            Some((200, _)) => Ok(()),
            Some((409, _)) => Err(OrderError::Stale),
            _ => Err(OrderError::Failed),
        }
    }

    async fn start(
        &self,
        conn: Conn,
        id: &RequestId,
        from: u64,
        limit: Duration,
    ) -> Result<EngineStream, RequestError> {
        let opened = async { conn.into_sse().await.map_err(open_error) };
        let timeout = async {
            async_io::Timer::after(limit).await;
            Err(RequestError::may_have_run(
                Reason::Timeout,
                "the worker did not answer in time",
            ))
        };
        let events = smol::future::or(opened, timeout).await?;
        Ok(EngineStream {
            events,
            reassembly: Reassembly::new(id.clone(), from),
            first_timeout: limit,
            stall_timeout: self.timeouts.stall,
        })
    }

    /// Sends a short call and reads its answer within the stall timeout.
    async fn answer(&self, conn: Conn) -> Option<(u16, Vec<u8>)> {
        let answer = self.answer_within(conn, self.timeouts.stall, None);
        answer.await.ok()
    }

    /// Sends a call and reads its answer of at most `max_bytes` within a time limit.
    async fn answer_within(
        &self,
        mut conn: Conn,
        limit: Duration,
        max_bytes: Option<usize>,
    ) -> Result<(u16, Vec<u8>), CallError> {
        let call = async {
            (&mut conn).await.map_err(call_error)?;
            let status = conn.status().map_or(0, u16::from);
            let mut body = conn.response_body();
            if let Some(max_bytes) = max_bytes {
                body = body.with_max_len(max_bytes as u64);
            }
            let body = body.read_bytes().await.map_err(|_| CallError::Lost)?;
            Ok((status, body))
        };
        let timeout = async {
            async_io::Timer::after(limit).await;
            Err(CallError::Lost)
        };
        smol::future::or(call, timeout).await
    }
}

impl EngineStream {
    /// Waits for the next piece of the stream.
    ///
    /// # Errors
    ///
    /// After an error the stream must be dropped. It may be resumed from [`Self::position`].
    pub async fn next(&mut self) -> Result<Piece, StreamError> {
        loop {
            let limit = if self.reassembly.next() == 0 {
                self.first_timeout
            } else {
                self.stall_timeout
            };
            let timeout = async {
                async_io::Timer::after(limit).await;
                Err(StreamError::Stalled)
            };
            let event = async { Ok(self.events.next().await) };
            let event = match smol::future::or(event, timeout).await? {
                Some(Ok(event)) => event,
                Some(Err(_)) | None => return Err(StreamError::Closed),
            };
            let frame: Frame =
                serde_json::from_str(event.data()).map_err(|_| StreamError::Disordered)?;
            match self.reassembly.accept(frame) {
                Step::Forward(text) => return Ok(Piece::Text(text)),
                Step::Complete(end) => return Ok(Piece::End(end)),
                Step::Duplicate => continue,
                Step::Broken => return Err(StreamError::Disordered),
            }
        }
    }

    /// Returns the number of the next event, which is the position for a resume.
    pub fn position(&self) -> u64 {
        self.reassembly.next()
    }
}

fn call_error(error: trillium_client::Error) -> CallError {
    match dial::never_sent(&error) {
        true => CallError::NotSent,
        false => CallError::Lost,
    }
}

fn open_error(error: trillium_client::SseError) -> RequestError {
    let refused = error.response_headers().get_str(REFUSED_HEADER) == Some("not-run");
    match &error.kind {
        SseErrorKind::Status(status) => status_error(u16::from(*status), refused),
        SseErrorKind::Http(e) if dial::never_sent(e) => {
            RequestError::not_run(Reason::Unavailable, "the worker cannot be reached")
        }
        SseErrorKind::Http(_) => {
            RequestError::may_have_run(Reason::ConnectionBroken, "the worker broke the connection")
        }
        _ => RequestError::may_have_run(Reason::TargetFailed, "the worker sent no stream"),
    }
}

/// Maps an error status. Only a refusal that the engine declares as such has the verdict not-run;
/// any other status may be sent after the request ran.
fn status_error(status: u16, refused: bool) -> RequestError {
    let (reason, message) = match (status, refused) {
        (400 | 413 | 422, _) => (Reason::Invalid, "the worker refused the request as invalid"),
        (404, _) => (Reason::NotFound, "the worker does not have it"),
        (_, true) => (Reason::Overloaded, "the worker refused the request"),
        _ => (Reason::TargetFailed, "the worker failed"),
    };
    if refused {
        RequestError::not_run(reason, message)
    } else {
        RequestError::may_have_run(reason, message)
    }
}
