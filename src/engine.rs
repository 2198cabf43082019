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

/// Header that carries the id of a request to an engine.
pub const REQUEST_HEADER: &str = "gentianpath-request";
/// Header by which an engine says that it refused a request before running it.
pub const REFUSED_HEADER: &str = "gentianpath-engine-refused";

/// A request to generate text.
#[derive(Debug, Clone)]
pub struct Generate {
    /// Id of the request, new for each attempt.
    pub id: RequestId,
    /// Body in the form of the chat completions protocol; must ask for a stream.
    pub body: Arc<Value>,
}

/// Load report of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct LoadReport {
    /// Streams that run.
    pub running: u32,
    /// Streams that run at most at once.
    pub slots: u32,
    /// Requests admitted and not started.
    #[serde(default)]
    pub waiting: u32,
    /// Model that is loaded.
    pub model: Option<Arc<str>>,
    /// Version of the model.
    #[serde(default)]
    pub version: Arc<str>,
    /// Adapters that are loaded.
    #[serde(default)]
    pub adapters: Vec<Arc<str>>,
    /// Role.
    #[serde(default)]
    pub role: Arc<str>,
    /// Whether the engine is about to stop.
    #[serde(default)]
    pub leaving: bool,
}

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Order {
    /// Fencing number: the version of the placement record that the order follows from.
    pub fence: Fence,
    /// What to do.
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

/// What an order asks an engine to do.
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

/// Why an order was not carried out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderError {
    /// The engine has seen a higher fencing number.
    Stale,
    /// The engine did not answer or refused.
    Failed,
}

/// Why a call has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NoAnswer {
    /// The call was not sent.
    NotSent,
    /// The call may have had its effect.
    Lost,
}

/// What is known of an import after its call.
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

/// Cache events as an engine lists them.
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

/// One step of an engine stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Piece {
    /// Generated text.
    Text(Arc<str>),
    /// The stream is whole.
    End(End),
}

/// Why an engine stream stopped before its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamError {
    /// No event arrived within the time limit.
    Stalled,
    /// The connection closed.
    Closed,
    /// Events were missing or belonged to another stream.
    Disordered,
}

/// Client of model engines. Clones share settings only.
#[derive(Debug, Clone)]
pub struct Engine {
    client: Client,
    timeouts: Timeouts,
}

/// An open engine stream. Dropping it closes its connection.
#[derive(Debug)]
pub struct EngineStream {
    events: EventStream,
    order: Reassembly,
    first: Duration,
    stall: Duration,
}

impl Engine {
    /// Builds a client with the time limits of the settings.
    pub fn new(timeouts: Timeouts) -> Self {
        Self {
            client: dial::client(timeouts.connect),
            timeouts,
        }
    }

    /// Starts a generation and returns once the engine has answered the request's head.
    ///
    /// # Errors
    ///
    /// The error's verdict is not-run only when the request never left or the engine refused it.
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

    /// Continues a stream from an event number on a new connection. The wait for the first event
    /// was spent on the first connection, so the limit on silence holds from the start.
    ///
    /// # Errors
    ///
    /// Reason [`Reason::NotFound`] says that the engine no longer has the stream.
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

    /// Cancels a stream. The engine keeps its state for a resume as long as it has room.
    pub async fn cancel(&self, address: SocketAddr, id: &RequestId) {
        let url = format!("http://{address}/streams/{id}/cancel");
        let _ = self.answer(self.client.post(url)).await;
    }

    /// Reads the load report; nothing when the engine does not answer.
    pub async fn load(&self, address: SocketAddr) -> Option<LoadReport> {
        let (status, body) = self
            .answer(self.client.get(format!("http://{address}/load")))
            .await?;
        if status != 200 {
            return None;
        }
        serde_json::from_slice(&body).ok()
    }

    /// Reads the cache events after a number; nothing when the engine does not answer.
    pub async fn events(&self, address: SocketAddr, since: u64) -> Option<Vec<CacheEvent>> {
        let url = format!("http://{address}/events?since={since}");
        let (status, body) = self.answer(self.client.get(url)).await?;
        if status != 200 {
            return None;
        }
        let listed: ListedEvents = serde_json::from_slice(&body).ok()?;
        Some(listed.events.into_iter().map(CacheEvent::from).collect())
    }

    /// Reads the state of a stream; nothing when the engine does not give it whole within the
    /// deadline, or when it is over a number of bytes.
    pub async fn export(&self, address: SocketAddr, id: &str, most: usize) -> Option<Vec<u8>> {
        let conn = self.client.get(format!("http://{address}/kv/{id}"));
        let answer = self.answer_within(conn, self.timeouts.transfer, Some(most));
        match answer.await {
            Ok((200, body)) => Some(body),
            _ => None,
        }
    }

    /// Gives an engine the state of a stream under an id that it does not have yet.
    pub async fn import(&self, address: SocketAddr, id: &str, state: Vec<u8>) -> ImportOutcome {
        let url = format!("http://{address}/kv/{id}");
        let conn = self.client.put(url).with_body(state);
        let answer = self.answer_within(conn, self.timeouts.transfer, None);
        match answer.await {
            Ok((200, _)) => ImportOutcome::Done,
            Ok(_) => ImportOutcome::Refused,
            Err(NoAnswer::NotSent) => ImportOutcome::NotSent,
            Err(NoAnswer::Lost) => ImportOutcome::Unknown,
        }
    }

    /// Gives an order.
    ///
    /// # Errors
    ///
    /// Returns [`OrderError::Stale`] when the engine refused an old fencing number.
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
            order: Reassembly::new(id.clone(), from),
            first: limit,
            stall: self.timeouts.stall,
        })
    }

    /// Sends a short call and reads its answer within the stall limit.
    async fn answer(&self, conn: Conn) -> Option<(u16, Vec<u8>)> {
        let answer = self.answer_within(conn, self.timeouts.stall, None);
        answer.await.ok()
    }

    /// Sends a call and reads its answer, of `most` bytes at most, within a time limit.
    async fn answer_within(
        &self,
        mut conn: Conn,
        limit: Duration,
        most: Option<usize>,
    ) -> Result<(u16, Vec<u8>), NoAnswer> {
        let call = async {
            (&mut conn).await.map_err(no_answer)?;
            let status = conn.status().map_or(0, u16::from);
            let mut body = conn.response_body();
            if let Some(most) = most {
                body = body.with_max_len(most as u64);
            }
            let body = body.read_bytes().await.map_err(|_| NoAnswer::Lost)?;
            Ok((status, body))
        };
        let timeout = async {
            async_io::Timer::after(limit).await;
            Err(NoAnswer::Lost)
        };
        smol::future::or(call, timeout).await
    }
}

impl EngineStream {
    /// Waits for the next piece of the stream.
    ///
    /// # Errors
    ///
    /// After an error the stream must be dropped; it may be resumed from [`Self::position`].
    pub async fn next(&mut self) -> Result<Piece, StreamError> {
        loop {
            let limit = if self.order.next() == 0 {
                self.first
            } else {
                self.stall
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
            match self.order.accept(frame) {
                Step::Forward(text) => return Ok(Piece::Text(text)),
                Step::Complete(end) => return Ok(Piece::End(end)),
                Step::Duplicate => continue,
                Step::Broken => return Err(StreamError::Disordered),
            }
        }
    }

    /// Returns the number of the next event, from which a resume continues.
    pub fn position(&self) -> u64 {
        self.order.next()
    }
}

fn no_answer(error: trillium_client::Error) -> NoAnswer {
    match dial::never_sent(&error) {
        true => NoAnswer::NotSent,
        false => NoAnswer::Lost,
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

/// Only the engine's own word makes a refusal not-run; any other status says nothing about it.
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
