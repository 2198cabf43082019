//! Decision behind a request, until the request is written (no I/O).

use std::{
    io,
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{
    event,
    ids::WorkerId,
    mutex::{Mutex, lock},
};

/// Age of a decision from which on the write of its request is logged. Connections open within it.
pub const LATE_WRITE: Duration = Duration::from_millis(120);

/// Age of the last check of a decision from which on its request is not written any more. Workers serve
/// for two seconds after they announced that they leave; news of it takes a part of them.
pub const MAX_PAUSE: Duration = Duration::from_millis(500);

/// Decision to send a request or an item to a worker.
#[derive(Debug, Clone)]
pub struct Decision {
    /// Id of the request or item.
    pub request: Arc<str>,
    /// The worker.
    pub worker: WorkerId,
    /// Time when the worker was chosen.
    pub chosen: Instant,
    /// Time when the connection was open.
    pub opened: Instant,
    /// Time when the worker was last known to take requests.
    pub checked: Instant,
    /// Whether the connection was kept from an earlier request.
    pub reused: bool,
}

/// Decision behind the next bytes that are written to a connection.
#[derive(Debug, Clone, Default)]
pub struct WriteGate(Arc<Mutex<Gate>>);

#[derive(Debug, Default)]
enum Gate {
    /// The next bytes belong to no new decision.
    #[default]
    Open,
    /// The next bytes are the first ones of a request.
    Decided(Decision),
    /// The request is too late. None of its bytes were written.
    Closed,
}

impl WriteGate {
    /// Sets the decision behind the next bytes.
    pub fn set(&self, decision: Decision) {
        *lock(&self.0) = Gate::Decided(decision);
    }

    /// Returns whether a request was too late to be written.
    pub fn is_closed(&self) -> bool {
        matches!(*lock(&self.0), Gate::Closed)
    }

    /// Records that bytes are about to be written.
    ///
    /// # Errors
    ///
    /// Returns an error of kind `TimedOut` when the decision is too old.
    pub fn pass(&self, now: Instant) -> io::Result<()> {
        let mut gate = lock(&self.0);
        match &*gate {
            Gate::Open => Ok(()),
            Gate::Closed => Err(io::ErrorKind::TimedOut.into()),
            Gate::Decided(decision) => {
                let age = now.saturating_duration_since(decision.checked);
                if age > MAX_PAUSE {
                    *gate = Gate::Closed;
                    return Err(io::ErrorKind::TimedOut.into());
                }
                decision.log(now);
                *gate = Gate::Open;
                Ok(())
            }
        }
    }
}

impl Decision {
    fn log(&self, now: Instant) {
        let age = now.saturating_duration_since(self.chosen);
        if age < LATE_WRITE {
            return;
        }
        let opened = self.opened.saturating_duration_since(self.chosen);
        event!(
            Warn,
            RequestLate,
            "request={} worker={} opened_ms={} written_ms={} kept={}",
            self.request,
            self.worker,
            opened.as_millis(),
            age.as_millis(),
            self.reused
        );
    }
}
