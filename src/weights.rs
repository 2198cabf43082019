//! Slots of the weight store: bounds the number of concurrent loads by a conditionally updated
//! object.

use serde::{Deserialize, Serialize};

use crate::ids::WorkerId;

/// Maximum number of concurrent loads; the weight store is rate-limited.
pub const SLOT_LIMIT: usize = 8;
/// Time after which a slot expires if its holder did not free it, in milliseconds.
pub const SLOT_LIFE_MS: u64 = 60_000;
/// Name of the object that holds the slots.
pub const SLOTS_NAME: &str = "slots";

/// Content of the slots object.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Slots {
    /// Slots in use.
    pub taken: Vec<Slot>,
}

/// A slot in use.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Slot {
    /// Worker that loads weights.
    pub worker: WorkerId,
    /// Expiry of the slot, in milliseconds since 1970-01-01 UTC.
    pub expires: u64,
}

impl Slots {
    /// Takes a slot for a worker and returns whether it has one. A worker that already has a slot
    /// renews it. Expired slots are removed.
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
