//! Replies to chat requests, whole or as a stream of events, and the records of non-repeatable
//! ones.

use std::{io, sync::Arc};

use futures::{Stream, TryStreamExt, stream};
use trillium::Body;

use crate::{
    chat::{Answer, ChatRequest, error_event},
    engine::Piece,
    event,
    forward::{Forward, Repeat},
    ids::{RequestId, TeamId},
    metrics::{self, RequestOutcome},
    once::{Outcome, STORED_BYTES, StoredAnswer},
    once_store::{self, OnceRecord, OnceRequest, Opened},
    online::{Online, TeamGuard},
    stream::End,
    verdict::{Reason, RequestError, Verdict},
};

/// Content type of an event stream.
pub const EVENT_STREAM: &str = "text/event-stream";
/// Content type of JSON.
pub const JSON: &str = "application/json";

/// Options of a request, parsed from its headers.
#[derive(Debug, Clone)]
pub struct RequestOptions {
    /// Id of the request, unique in the fleet.
    pub id: RequestId,
    /// Team of the caller.
    pub team: TeamId,
    /// Whether the request may be repeated.
    pub repeat: Repeat,
    /// Idempotency key.
    pub key: Option<Arc<str>>,
}

/// A reply to a caller.
#[derive(Debug)]
pub struct Reply {
    /// HTTP status code.
    pub status: u16,
    /// Content type.
    pub content_type: Arc<str>,
    /// Further headers.
    pub headers: Vec<Header>,
    /// Body.
    pub body: Body,
}

/// A header of a reply or call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Header {
    /// Name.
    pub name: String,
    /// Value.
    pub value: String,
}

impl Reply {
    /// Builds a reply with status 200.
    pub fn new(content_type: &str, body: impl Into<Body>) -> Self {
        Self {
            status: 200,
            content_type: content_type.into(),
            headers: Vec::new(),
            body: body.into(),
        }
    }
}

impl From<StoredAnswer> for Reply {
    fn from(stored: StoredAnswer) -> Self {
        Self {
            status: stored.status,
            ..Self::new(&stored.kind, stored.body.to_string())
        }
    }
}

/// An event stream that is being sent to its caller.
#[derive(Debug)]
struct ReplyStream {
    forward: Forward,
    answer: Answer,
    first: Option<Piece>,
    started: bool,
    finished: bool,
    pending: Option<PendingRecord>,
    _team: TeamGuard,
}

/// The open record of a streamed request and the text to store in it.
#[derive(Debug)]
struct PendingRecord {
    record: OnceRecord,
    /// `None` when the text is too large to store.
    text: Option<String>,
}

/// Serves one chat request.
///
/// # Errors
///
/// Returns the error with which the request is refused.
pub async fn chat(
    online: Arc<Online>,
    options: RequestOptions,
    bytes: Vec<u8>,
) -> Result<Reply, RequestError> {
    let team = online.enter_team(&options.team)?;
    let view = online.ctx.view.load_full();
    let request = ChatRequest::parse(&bytes, &view.sheet)?;
    let answer = Answer::new(options.id.clone(), request.model.clone());
    let record = match open_record(&online, &options, &[b"chat", &bytes]).await? {
        Some(Opened::Return(stored)) => return stored_reply(stored, &answer, request.stream),
        Some(Opened::Dispatch(record)) => Some(record),
        None => None,
    };
    let limit = online.ctx.settings.limits.answer;
    let stream = request.stream;
    let forward = Forward::new(online, options.id, request, options.repeat);
    if stream {
        streamed_reply(forward, answer, record, team).await
    } else {
        whole_reply(forward, answer, record, limit).await
    }
}

/// Opens the record of a request that is marked as non-repeatable and has an idempotency key.
/// Returns `None` for other requests.
///
/// # Errors
///
/// Fails when the request must not be sent.
pub async fn open_record(
    online: &Online,
    options: &RequestOptions,
    content: &[&[u8]],
) -> Result<Option<Opened>, RequestError> {
    let (Repeat::Never, Some(key)) = (options.repeat, &options.key) else {
        return Ok(None);
    };
    let request = OnceRequest {
        team: &options.team,
        key,
        token: &options.id,
        content,
    };
    once_store::open(&online.ctx, request).await.map(Some)
}

/// Finishes the record of a failed request, if there is one, with the outcome of its verdict.
pub async fn close_failed(record: Option<OnceRecord>, error: &RequestError) {
    let Some(record) = record else { return };
    let outcome = match error.verdict {
        Verdict::NotRun => Outcome::NotRun,
        Verdict::MayHaveRun => Outcome::MayHaveRun,
    };
    record.finish(outcome).await;
}

fn stored_reply(
    stored: StoredAnswer,
    answer: &Answer,
    stream: bool,
) -> Result<Reply, RequestError> {
    if !stream {
        return Ok(stored.into());
    }
    let events = answer.replay(&stored.body);
    let events = events.ok_or_else(|| {
        RequestError::may_have_run(Reason::Conflict, "the stored answer cannot be understood")
    })?;
    Ok(Reply::new(EVENT_STREAM, events))
}

async fn whole_reply(
    mut forward: Forward,
    answer: Answer,
    record: Option<OnceRecord>,
    limit: usize,
) -> Result<Reply, RequestError> {
    let (text, end) = match forward.collect(limit).await {
        Ok(collected) => collected,
        Err(error) => {
            close_failed(record, &error).await;
            return Err(error);
        }
    };
    let body = answer.whole(&text, &end);
    if let Some(record) = record {
        record
            .finish(Outcome::Answered(Some(stored_answer(&body))))
            .await;
    }
    metrics::request(RequestOutcome::Complete);
    Ok(Reply::new(JSON, body))
}

/// Waits for the first piece before replying, so that an earlier failure is sent as an HTTP status.
async fn streamed_reply(
    mut forward: Forward,
    answer: Answer,
    record: Option<OnceRecord>,
    team: TeamGuard,
) -> Result<Reply, RequestError> {
    let first = match forward.next().await {
        Ok(piece) => piece,
        Err(error) => {
            close_failed(record, &error).await;
            return Err(error);
        }
    };
    metrics::first_token(forward.elapsed());
    let reply = ReplyStream {
        forward,
        answer,
        first: Some(first),
        started: false,
        finished: false,
        pending: record.map(PendingRecord::new),
        _team: team,
    };
    let reader = Box::pin(reply.events()).into_async_read();
    Ok(Reply::new(EVENT_STREAM, Body::new_streaming(reader, None)))
}

impl ReplyStream {
    fn events(self) -> impl Stream<Item = io::Result<String>> + Send {
        stream::unfold(self, |mut reply| async {
            let event = reply.event().await?;
            Some((Ok(event), reply))
        })
    }

    async fn event(&mut self) -> Option<String> {
        if self.finished {
            return None;
        }
        let piece = match self.first.take() {
            Some(piece) => Ok(piece),
            None => self.forward.next().await,
        };
        match piece {
            Ok(Piece::Text(text)) => Some(self.text(&text)),
            Ok(Piece::End(end)) => Some(self.end(&end).await),
            Err(error) => Some(self.failed(&error).await),
        }
    }

    fn text(&mut self, text: &str) -> String {
        if let Some(pending) = &mut self.pending {
            pending.push(text);
        }
        let first = !self.started;
        self.started = true;
        self.answer.text_event(text, first)
    }

    /// Stores the answer before the final event is sent to the caller.
    async fn end(&mut self, end: &End) -> String {
        self.finished = true;
        metrics::request(RequestOutcome::Complete);
        if let Some(pending) = self.pending.take() {
            let body = pending
                .text
                .map(|t| stored_answer(&self.answer.whole(&t, end)));
            pending.record.finish(Outcome::Answered(body)).await;
        }
        self.answer.end_events(end)
    }

    async fn failed(&mut self, error: &RequestError) -> String {
        self.finished = true;
        metrics::request(RequestOutcome::Failed(error.reason, error.verdict));
        event!(
            Info,
            RequestRefused,
            "reason={} verdict={} mid-stream",
            error.reason.as_str(),
            error.verdict
        );
        close_failed(self.pending.take().map(|p| p.record), error).await;
        error_event(error)
    }
}

impl Drop for ReplyStream {
    fn drop(&mut self) {
        if !self.finished {
            metrics::request(RequestOutcome::Abandoned);
        }
    }
}

impl PendingRecord {
    fn new(record: OnceRecord) -> Self {
        Self {
            record,
            text: Some(String::new()),
        }
    }

    fn push(&mut self, more: &str) {
        let Some(text) = &mut self.text else { return };
        text.push_str(more);
        if text.len() > STORED_BYTES {
            self.text = None;
        }
    }
}

fn stored_answer(body: &str) -> StoredAnswer {
    StoredAnswer {
        status: 200,
        kind: JSON.into(),
        body: body.into(),
    }
}
