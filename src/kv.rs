//! Moves of a paused stream to another worker with its KV cache state: policy, check of exported
//! states, and transfer.

use std::{fmt, net::SocketAddr, sync::Arc, time::Duration};

use serde::Deserialize;
use smol::lock::Semaphore;

use crate::{
    engine::{Engine, ImportOutcome},
    ids::{ModelId, RequestId, WorkerId},
    item_run::Partial,
    view::WorkerInfo,
};

/// Concurrent transfers of an instance. The limit bounds the states in memory, and the load that a
/// leaving worker with many streams puts on the others.
pub const MAX_TRANSFERS: usize = 4;
/// How long a paused stream waits for capacity on its worker before it may move to another one. After
/// a shorter burst it resumes without a transfer.
pub const MOVE_WAIT: Duration = Duration::from_secs(1);

/// Why a paused stream moves to another worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// Its worker is leaving.
    Leaving,
    /// Its worker has had no capacity for it for [`MOVE_WAIT`].
    NoRoom,
}

/// Rules for moves of paused streams.
#[derive(Debug, Clone, Copy)]
pub struct Policy<'a> {
    /// All workers.
    pub workers: &'a [WorkerInfo],
    /// Workers that streams may move to.
    pub targets: &'a [WorkerInfo],
    /// Least number of generated tokens for a move.
    pub tokens: u64,
}

impl Policy<'_> {
    /// Returns the worker that has the state of a stream.
    pub fn source(&self, partial: &Partial) -> Option<&WorkerInfo> {
        self.workers.iter().find(|w| w.id == partial.worker)
    }

    /// Returns why a stream that has been paused for `waited` may move to a worker now, or `None`.
    pub fn cause(&self, partial: &Partial, waited: Duration, target: &WorkerInfo) -> Option<Cause> {
        let source = self
            .source(partial)
            .filter(|_| self.is_target(partial, target))?;
        if source.leaving {
            return Some(Cause::Leaving);
        }
        (waited >= MOVE_WAIT).then_some(Cause::NoRoom)
    }

    /// Returns whether a stream may move to any other worker, now or later.
    pub fn has_target(&self, partial: &Partial) -> bool {
        let mut targets = self.targets.iter();
        targets.any(|t| !t.leaving && self.is_target(partial, t))
    }

    fn is_target(&self, partial: &Partial, target: &WorkerInfo) -> bool {
        let compatible =
            |source: &WorkerInfo| source.id != target.id && same_weights(source, target);
        partial.next >= self.tokens && self.source(partial).is_some_and(compatible)
    }
}

/// Returns whether two workers have the same version of the same model, so that their states are
/// interchangeable.
pub fn same_weights(a: &WorkerInfo, b: &WorkerInfo) -> bool {
    a.model.is_some() && a.model == b.model && a.version == b.version
}

/// Parameters of a transfer.
#[derive(Debug, Clone)]
pub struct Transfer {
    /// Address of the worker that has the state.
    pub source: SocketAddr,
    /// Worker that the state goes to.
    pub target: WorkerId,
    /// Id of the stream at the target, new for each transfer, so that a state left there by a lost or
    /// late import of an earlier transfer is never resumed.
    pub request: RequestId,
    /// Model that both workers have.
    pub model: ModelId,
    /// Version of the model that both workers have.
    pub version: Arc<str>,
    /// Size limit of the state, in bytes.
    pub state_limit: usize,
    /// Limits concurrent transfers.
    pub permits: Arc<Semaphore>,
}

/// Step at which a move failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The state was not exported completely in time.
    Export,
    /// The state does not belong to the stream.
    Mismatch,
    /// The target cannot be reached.
    Connect,
    /// The target refused the state.
    Import,
    /// The target did not resume the stream.
    Resume,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Failure::Export => "export",
            Failure::Mismatch => "check",
            Failure::Connect => "connect",
            Failure::Import => "import",
            Failure::Resume => "resume",
        })
    }
}

/// Checked fields of an exported state. The other content is opaque.
#[derive(Debug)]
#[derive(Deserialize)]
struct StateHeader {
    stream: RequestId,
    model: Option<ModelId>,
    version: Arc<str>,
    tokens: u64,
}

/// Returns whether an exported state belongs to a stream and to the expected model version, and
/// covers at least the received text. A truncated state is not valid JSON.
pub fn matches_stream(state: &[u8], partial: &Partial, model: &str, version: &str) -> bool {
    let Ok(header) = serde_json::from_slice::<StateHeader>(state) else {
        return false;
    };
    header.stream == partial.request
        && header.tokens >= partial.next
        && header.model.as_deref() == Some(model)
        && header.version.as_ref() == version
}

/// Copies the state of a paused stream to the target. An import without an answer counts as done: the
/// resume shows whether the state arrived.
///
/// # Errors
///
/// Returns the step that failed. The state at the source worker is unchanged.
pub async fn transfer(
    engine: &Engine,
    transfer: &Transfer,
    partial: &Partial,
    target: SocketAddr,
) -> Result<(), Failure> {
    let _permit = transfer.permits.acquire().await;
    let state = match &partial.state {
        Some(state) => state.to_vec(),
        None => {
            let exported = engine.export(transfer.source, &partial.request, transfer.state_limit);
            exported.await.ok_or(Failure::Export)?
        }
    };
    if !matches_stream(&state, partial, &transfer.model, &transfer.version) {
        return Err(Failure::Mismatch);
    }
    match engine.import(target, &transfer.request, state).await {
        ImportOutcome::Done | ImportOutcome::Unknown => Ok(()),
        ImportOutcome::NotSent => Err(Failure::Connect),
        ImportOutcome::Refused => Err(Failure::Import),
    }
}
