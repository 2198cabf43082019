//! Slots of the weight store: a bounded number of loads at once, in one conditional object.

use serde::{Deserialize, Serialize};

use crate::ids::WorkerId;

/// Loads that may run at once; the weight store is rate-limited.
pub const SLOT_LIMIT: usize = 8;
/// Time after which a slot is free again, in milliseconds, when its holder did not free it.
pub const SLOT_LIFE_MS: u64 = 60_000;
/// Name of the object.
pub const SLOTS_NAME: &str = "slots";

/// Slots that are taken.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Slots {
    /// Taken slots.
    pub taken: Vec<Slot>,
}

/// A slot that is taken.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Slot {
    /// Worker that loads.
    pub worker: WorkerId,
    /// When the slot is free again, in milliseconds since 1970.
    pub expires: u64,
}

impl Slots {
    /// Takes a slot for a worker and returns whether it has one. A worker that has a slot keeps it
    /// with a new expiry. Expired slots are removed.
    pub fn take(&mut self, worker: &WorkerId, now_ms: u64) -> bool {
        self.taken
            .retain(|s| s.expires > now_ms && s.worker != *worker);
        if self.taken.len() >= SLOT_LIMIT {
            return false;
        }
        self.taken.push(Slot {
            worker: worker.clone(),
            expires: now_ms + SLOT_LIFE_MS,
        });
        true
    }

    /// Frees the slot of a worker and returns whether it had one.
    pub fn free(&mut self, worker: &WorkerId) -> bool {
        let before = self.taken.len();
        self.taken.retain(|s| s.worker != *worker);
        self.taken.len() != before
    }
}
