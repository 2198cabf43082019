//! Decision behind a request, until the request is written (no I/O).

use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use crate::{event, ids::WorkerId, mutex::lock};

/// Age of a decision from which on the write of its request is logged. Connections open within it.
pub const LATE_WRITE: Duration = Duration::from_millis(120);

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
    /// Whether the connection was kept from an earlier request.
    pub reused: bool,
}

/// Decision behind the next bytes that are written to a connection.
#[derive(Debug, Clone, Default)]
pub struct WriteGate(Arc<Mutex<Option<Decision>>>);

impl WriteGate {
    /// Sets the decision behind the next bytes.
    pub fn set(&self, decision: Decision) {
        *lock(&self.0) = Some(decision);
    }

    /// Records that bytes are about to be written.
    pub fn pass(&self, now: Instant) {
        if let Some(decision) = lock(&self.0).take() {
            decision.log(now);
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
