//! Moves the state of a stopped stream to another worker: when it is worth it, what an exported
//! state must be, and the transfer itself.

use std::{fmt, net::SocketAddr, sync::Arc, time::Duration};

use serde::Deserialize;
use smol::lock::Semaphore;

use crate::{
    engine::{Engine, ImportOutcome},
    ids::{ModelId, RequestId, WorkerId},
    item_run::Partial,
    view::WorkerInfo,
};

/// Transfers of an instance at once at most. They bound the states in memory, and the load that a
/// leaving worker with many streams puts on the others.
pub const TRANSFERS: usize = 4;
/// How long a stopped stream waits for room on its worker before it may go on at another one. After
/// a shorter burst it goes on without a transfer.
pub const MOVE_WAIT: Duration = Duration::from_secs(1);

/// Why a stopped stream goes on at another worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// Its worker is leaving.
    Leaving,
    /// Its worker has had no room for it for [`MOVE_WAIT`].
    NoRoom,
}

/// Which stopped streams may go on where.
#[derive(Debug, Clone, Copy)]
pub struct Policy<'a> {
    /// All workers.
    pub workers: &'a [WorkerInfo],
    /// Workers that streams may go to.
    pub targets: &'a [WorkerInfo],
    /// Generated tokens from which a state is moved.
    pub tokens: u64,
}

impl Policy<'_> {
    /// Returns the worker that has the state of a stream.
    pub fn home(&self, partial: &Partial) -> Option<&WorkerInfo> {
        self.workers.iter().find(|w| w.id == partial.worker)
    }

    /// Returns why a stream that was stopped for some time may go on at a worker now.
    pub fn cause(&self, partial: &Partial, waited: Duration, target: &WorkerInfo) -> Option<Cause> {
        let home = self.home(partial).filter(|_| self.fits(partial, target))?;
        if home.leaving {
            return Some(Cause::Leaving);
        }
        (waited >= MOVE_WAIT).then_some(Cause::NoRoom)
    }

    /// Says whether a stream may go on at any other worker, now or later.
    pub fn has_target(&self, partial: &Partial) -> bool {
        let mut targets = self.targets.iter();
        targets.any(|t| !t.leaving && self.fits(partial, t))
    }

    fn fits(&self, partial: &Partial, target: &WorkerInfo) -> bool {
        let other = |home: &WorkerInfo| home.id != target.id && same_weights(home, target);
        partial.next >= self.tokens && self.home(partial).is_some_and(other)
    }
}

/// Says whether two workers have the same version of the same model, so that a state of one is a
/// state of the other.
pub fn same_weights(a: &WorkerInfo, b: &WorkerInfo) -> bool {
    a.model.is_some() && a.model == b.model && a.version == b.version
}

/// A transfer to be made.
#[derive(Debug, Clone)]
pub struct Transfer {
    /// Address of the worker that has the state.
    pub home: SocketAddr,
    /// Worker that the state goes to.
    pub target: WorkerId,
    /// Id of the stream at the target, new for each transfer: what a lost or late import of an
    /// earlier transfer left there is never resumed.
    pub request: RequestId,
    /// Model that both workers have.
    pub model: ModelId,
    /// Version of the model that both workers have.
    pub version: Arc<str>,
    /// Bytes of the state at most.
    pub most: usize,
    /// Bounds transfers at once.
    pub permits: Arc<Semaphore>,
}

/// Where a move failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The state was not given whole in time.
    Export,
    /// The state is not that of the stream.
    Unfit,
    /// The target cannot be reached.
    Connect,
    /// The target refused the state.
    Import,
    /// The target did not go on with the stream.
    Resume,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Failure::Export => "export",
            Failure::Unfit => "check",
            Failure::Connect => "connect",
            Failure::Import => "import",
            Failure::Resume => "resume",
        })
    }
}

/// What an exported state says of itself. Its other content is the engine's.
#[derive(Debug)]
#[derive(Deserialize)]
struct Head {
    stream: RequestId,
    model: Option<ModelId>,
    version: Arc<str>,
    tokens: u64,
}

/// Says whether an exported state is that of a stream, has come at least as far as the text that
/// was received, and belongs to the expected version of the model. A state that was cut off is not
/// whole JSON.
pub fn is_fit(state: &[u8], partial: &Partial, model: &str, version: &str) -> bool {
    let Ok(head) = serde_json::from_slice::<Head>(state) else {
        return false;
    };
    head.stream == partial.request
        && head.tokens >= partial.next
        && head.model.as_deref() == Some(model)
        && head.version.as_ref() == version
}

/// Copies the state of a stopped stream to the target. After a lost answer to the import the state
/// may be there: a resume tells.
///
/// # Errors
///
/// Returns the step that failed. The state at the earlier worker is untouched.
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
            let exported = engine.export(transfer.home, &partial.request, transfer.most);
            exported.await.ok_or(Failure::Export)?
        }
    };
    if !is_fit(&state, partial, &transfer.model, &transfer.version) {
        return Err(Failure::Unfit);
    }
    match engine.import(target, &transfer.request, state).await {
        ImportOutcome::Done | ImportOutcome::Unknown => Ok(()),
        ImportOutcome::NotSent => Err(Failure::Connect),
        ImportOutcome::Refused => Err(Failure::Import),
    }
}
