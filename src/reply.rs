//! The answer to one chat request: whole or as a stream of events, with its record.

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
    once::{Outcome, STORED_BYTES, Stored},
    once_store::{self, Entry, Marked, OnceRecord},
    online::{Online, TeamGuard},
    stream::End,
    verdict::{Reason, RequestError, Verdict},
};

/// Content type of an event stream.
pub const EVENTS: &str = "text/event-stream";
/// Content type of JSON.
pub const JSON: &str = "application/json";

/// What the headers of a request say.
#[derive(Debug, Clone)]
pub struct Terms {
    /// Id of the request, unique in the fleet.
    pub id: RequestId,
    /// Team of the caller.
    pub team: TeamId,
    /// Whether the request may be run again.
    pub repeat: Repeat,
    /// Idempotency key.
    pub key: Option<Arc<str>>,
}

/// An answer to a caller.
#[derive(Debug)]
pub struct Reply {
    /// HTTP status code.
    pub status: u16,
    /// Content type.
    pub kind: Arc<str>,
    /// Further headers.
    pub headers: Vec<Header>,
    /// Body.
    pub body: Body,
}

/// A header of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Header {
    /// Name.
    pub name: String,
    /// Value.
    pub value: String,
}

impl Reply {
    /// Builds an answer with status 200.
    pub fn new(kind: &str, body: impl Into<Body>) -> Self {
        Self {
            status: 200,
            kind: kind.into(),
            headers: Vec::new(),
            body: body.into(),
        }
    }
}

impl From<Stored> for Reply {
    fn from(stored: Stored) -> Self {
        Self {
            status: stored.status,
            ..Self::new(&stored.kind, stored.body.to_string())
        }
    }
}

/// A stream that is being forwarded to its caller.
#[derive(Debug)]
struct ReplyStream {
    forward: Forward,
    answer: Answer,
    first: Option<Piece>,
    begun: bool,
    over: bool,
    kept: Option<Kept>,
    _team: TeamGuard,
}

/// The record of a request and the text for it.
#[derive(Debug)]
struct Kept {
    record: OnceRecord,
    /// Nothing when the text is too large to store.
    text: Option<String>,
}

/// Serves one chat request.
///
/// # Errors
///
/// Returns the refusal of a request that is not answered.
pub async fn chat(
    online: Arc<Online>,
    terms: Terms,
    bytes: Vec<u8>,
) -> Result<Reply, RequestError> {
    let team = online.enter_team(&terms.team)?;
    let view = online.ctx.view.load_full();
    let request = ChatRequest::parse(&bytes, &view.sheet)?;
    let answer = Answer::new(terms.id.clone(), request.model.clone());
    let record = match enter(&online, &terms, &[b"chat", &bytes]).await? {
        Some(Entry::Return(stored)) => return resent(stored, &answer, request.stream),
        Some(Entry::Dispatch(record)) => Some(record),
        None => None,
    };
    let limit = online.ctx.settings.limits.answer;
    let stream = request.stream;
    let forward = Forward::new(online, terms.id, request, terms.repeat);
    if stream {
        streamed(forward, answer, record, team).await
    } else {
        whole(forward, answer, record, limit).await
    }
}

/// Creates the record of a request that is marked and keyed.
///
/// # Errors
///
/// Returns the refusal of a request that must not be sent.
pub async fn enter(
    online: &Online,
    terms: &Terms,
    content: &[&[u8]],
) -> Result<Option<Entry>, RequestError> {
    let (Repeat::Never, Some(key)) = (terms.repeat, &terms.key) else {
        return Ok(None);
    };
    let marked = Marked {
        team: &terms.team,
        key,
        token: &terms.id,
        content,
    };
    once_store::enter(&online.ctx, marked).await.map(Some)
}

/// Writes down in the record, if there is one, that the request failed.
pub async fn close_failed(record: Option<OnceRecord>, error: &RequestError) {
    let Some(record) = record else { return };
    let outcome = match error.verdict {
        Verdict::NotRun => Outcome::NotRun,
        Verdict::MayHaveRun => Outcome::InDoubt,
    };
    record.finish(outcome).await;
}

fn resent(stored: Stored, answer: &Answer, stream: bool) -> Result<Reply, RequestError> {
    if !stream {
        return Ok(stored.into());
    }
    let events = answer.replay(&stored.body);
    let events = events.ok_or_else(|| {
        RequestError::may_have_run(Reason::Conflict, "the stored answer cannot be understood")
    })?;
    Ok(Reply::new(EVENTS, events))
}

async fn whole(
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
        record.finish(Outcome::Answered(Some(stored(&body)))).await;
    }
    metrics::request(RequestOutcome::Complete);
    Ok(Reply::new(JSON, body))
}

/// Waits for the first piece, so that a request that fails before it is refused with a status.
async fn streamed(
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
    metrics::first_token(forward.age());
    let reply = ReplyStream {
        forward,
        answer,
        first: Some(first),
        begun: false,
        over: false,
        kept: record.map(Kept::new),
        _team: team,
    };
    let reader = Box::pin(reply.events()).into_async_read();
    Ok(Reply::new(EVENTS, Body::new_streaming(reader, None)))
}

impl ReplyStream {
    fn events(self) -> impl Stream<Item = io::Result<String>> + Send {
        stream::unfold(self, |mut reply| async {
            let event = reply.event().await?;
            Some((Ok(event), reply))
        })
    }

    async fn event(&mut self) -> Option<String> {
        if self.over {
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
        if let Some(kept) = &mut self.kept {
            kept.push(text);
        }
        let first = !self.begun;
        self.begun = true;
        self.answer.text_event(text, first)
    }

    /// Stores the answer before the caller learns that it is whole.
    async fn end(&mut self, end: &End) -> String {
        self.over = true;
        metrics::request(RequestOutcome::Complete);
        if let Some(kept) = self.kept.take() {
            let body = kept.text.map(|t| stored(&self.answer.whole(&t, end)));
            kept.record.finish(Outcome::Answered(body)).await;
        }
        self.answer.end_events(end)
    }

    async fn failed(&mut self, error: &RequestError) -> String {
        self.over = true;
        metrics::request(RequestOutcome::Failed(error.reason, error.verdict));
        event!(
            Info,
            RequestRefused,
            "reason={} verdict={} mid-stream",
            error.reason.as_str(),
            error.verdict
        );
        close_failed(self.kept.take().map(|k| k.record), error).await;
        error_event(error)
    }
}

impl Drop for ReplyStream {
    fn drop(&mut self) {
        if !self.over {
            metrics::request(RequestOutcome::Abandoned);
        }
    }
}

impl Kept {
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

fn stored(body: &str) -> Stored {
    Stored {
        status: 200,
        kind: JSON.into(),
        body: body.into(),
    }
}
