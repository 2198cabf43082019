//! Export and import of the state of streams.

use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use futures::AsyncRead;
use serde::{Deserialize, Serialize};
use trillium::{Body, Conn};

use crate::{
    engine::{Engine, Run, RunState},
    faults::Bound,
    reply,
};

/// State of a stream that is moved to another engine.
#[derive(Debug)]
#[derive(Deserialize, Serialize)]
struct Cache {
    stream: Arc<str>,
    model: Option<String>,
    version: String,
    prompt: Arc<str>,
    max_tokens: u64,
    tokens: u64,
}

/// Kind of a fault of exports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ExportFaultKind {
    /// The connection closes in the middle of the answer.
    Truncate,
    /// The state is that of the stream before its first token.
    Early,
    /// The state is that of another stream, the one with the most tokens.
    Foreign,
    /// The state is that of another version of the model.
    Version,
}

/// A fault of exports.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExportFault {
    /// Kind.
    pub kind: ExportFaultKind,
    /// Maximum number of affected exports; unlimited if omitted.
    #[serde(default)]
    pub count: Option<u32>,
}

/// Returns the first half of a text and then fails, so that the connection closes.
struct FirstHalf(io::Cursor<Vec<u8>>);

impl AsyncRead for FirstHalf {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        match io::Read::read(&mut self.0, buffer) {
            Ok(0) => Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into())),
            read => Poll::Ready(read),
        }
    }
}

impl Engine {
    /// Answers with the state of a stream.
    pub(crate) fn export(&self, conn: Conn, id: &str) -> Conn {
        let Some(mut cache) = self.cache(id) else {
            return reply::error(conn, 404, "no such stream");
        };
        match self.export_fault() {
            None => {}
            Some(ExportFaultKind::Truncate) => return truncate(conn, &cache),
            Some(ExportFaultKind::Early) => cache.tokens = 0,
            Some(ExportFaultKind::Foreign) => match self.furthest_other(id) {
                Some(other) => cache = other,
                None => return reply::error(conn, 404, "no other stream"),
            },
            Some(ExportFaultKind::Version) => cache.version += "-other",
        }
        reply::json(conn, 200, &cache)
    }

    fn cache(&self, id: &str) -> Option<Cache> {
        let mut state = self.lock();
        let (model, version) = (state.loaded.model.clone(), state.loaded.version.clone());
        let run = state.run_mut(id)?;
        Some(Cache {
            stream: run.request.clone(),
            model,
            version,
            prompt: run.prompt.clone(),
            max_tokens: run.max_tokens,
            tokens: run.tokens,
        })
    }

    /// Returns the state of the stream with the most tokens among all others.
    fn furthest_other(&self, id: &str) -> Option<Cache> {
        let state = self.lock();
        let others = state
            .streams
            .iter()
            .filter(|(other, _)| other.as_ref() != id);
        let furthest = others.max_by_key(|(_, stream)| state.runs[stream.run].tokens);
        let furthest = furthest.map(|(id, _)| id.clone());
        drop(state);
        self.cache(&furthest?)
    }

    fn export_fault(&self) -> Option<ExportFaultKind> {
        let mut state = self.lock();
        let since = state.since;
        let fault = state.faults.export.as_mut()?;
        let mut bound = Bound {
            count: fault.count,
            for_ms: None,
        };
        let affected = bound.take(since);
        fault.count = bound.count;
        affected.then_some(fault.kind)
    }

    /// Imports the state of a stream under the given id.
    pub(crate) async fn import(&self, mut conn: Conn, id: &str) -> Conn {
        let cache: Cache = match reply::body(&mut conn).await {
            Ok(cache) => cache,
            Err(e) => return reply::error(conn, 400, &e),
        };
        let status = self.add_imported(id, cache);
        self.acknowledge(conn, status).await
    }

    fn add_imported(&self, id: &str, cache: Cache) -> u16 {
        let mut state = self.lock();
        let other = state.loaded.model != cache.model || state.loaded.version != cache.version;
        if other || state.run_mut(id).is_some() {
            return 409;
        }
        let run = Run {
            request: id.into(),
            prompt: cache.prompt,
            max_tokens: cache.max_tokens,
            tokens: cache.tokens,
            state: RunState::Stopped,
            resumes: 0,
            imported: true,
            taken: cache.tokens,
            prefilled: 0,
            started_ms: self.uptime_ms(),
            stopped_at_us: Vec::new(),
            ended_at_us: None,
        };
        let attachment = state.begin(run);
        state.detach(&attachment);
        200
    }
}

/// Answers with the first half of the state and the content length of the whole.
fn truncate(conn: Conn, cache: &Cache) -> Conn {
    let mut text = serde_json::to_vec(cache).unwrap_or_default();
    let whole = text.len() as u64;
    text.truncate(text.len() / 2);
    let body = Body::new_streaming(FirstHalf(io::Cursor::new(text)), Some(whole));
    conn.with_status(200).with_body(body).halt()
}
