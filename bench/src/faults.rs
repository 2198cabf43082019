//! Faults of traces: the loss of a worker and the cut of a zone.

use crate::{
    SECOND,
    fleet::{BATCH_BIT, BatchUpdate, Event, Fleet, ZONE_DELAY},
    trace::Kind,
};

/// Time until the entry instances detect a fault or its end.
const DETECTION_DELAY: u64 = SECOND;

impl Fleet {
    /// Starts or ends the fault of the trace.
    pub(crate) fn fault(&mut self, start: bool) {
        match self.kind {
            Kind::WorkerLost => {
                self.dead = start;
                if start {
                    self.kill();
                }
            }
            Kind::ZoneCut => {
                self.cut = start;
                if start {
                    self.break_streams();
                }
            }
            _ => {}
        }
        self.after(DETECTION_DELAY, Event::Detected(start));
    }

    /// Updates the views of the entry instances after a fault or its end.
    pub(crate) fn fault_detected(&mut self, start: bool) {
        self.publish(start && self.dead, start && self.cut);
        if start && self.dead {
            self.release();
        }
        if start && self.cut {
            self.drop_levels();
        }
        if !start && self.kind == Kind::WorkerLost {
            for entry in &self.entries {
                let affinity = entry.table.affinity();
                let lock = affinity.lock();
                let mut known = lock.unwrap_or_else(std::sync::PoisonError::into_inner);
                known.clear(&entry.cells[0].id);
            }
        }
    }

    /// Releases the claimed items of an owner whose only worker died. The next owner takes them
    /// over.
    fn release(&mut self) {
        let owner = self.owners[0];
        if self.owners[1..].contains(&owner) {
            return;
        }
        let items = std::mem::take(&mut self.entries[owner].items);
        let next = self.owners[1];
        self.entries[next].items.extend(items);
    }

    /// Ends all streams of the first worker.
    fn kill(&mut self) {
        let lost = self.engines[0].crash();
        for (id, generated) in lost {
            if id & BATCH_BIT != 0 {
                self.after(
                    ZONE_DELAY,
                    Event::Batch(0, id, BatchUpdate::Stopped(generated)),
                );
            } else {
                self.break_stream((id & u64::from(u32::MAX)) as usize, id);
            }
        }
    }

    /// Ends the online streams that cross a cut.
    fn break_streams(&mut self) {
        for number in 0..self.online.len() {
            let state = &self.online[number];
            let Some(worker) = state.worker else {
                continue;
            };
            let id = state.attempt << 32 | number as u64;
            let entry = &self.entries[state.request.entry];
            let crossing = !self.is_reachable(entry.zone, self.zone(worker));
            if crossing && entry.guards.contains_key(&id) {
                self.engines[worker].cancel(id);
                self.break_stream(number, id);
            }
        }
    }

    /// Breaks a stream: without a token it is retried, otherwise it fails.
    fn break_stream(&mut self, number: usize, id: u64) {
        self.ended(id);
        if self.online[number].first.is_none() {
            self.retry(number, ZONE_DELAY);
        } else {
            self.online[number].worker = None;
            self.tally.broken += 1;
        }
    }

    /// Resets the levels of instances that the owners cannot reach.
    fn drop_levels(&mut self) {
        let time = self.time();
        for w in 0..self.owners.len() {
            let owner = &self.entries[self.owners[w]];
            for entry in &self.entries {
                if !self.is_reachable(owner.zone, entry.zone) {
                    owner.cells[w].set_peer_level(&entry.id, 0, time);
                }
            }
        }
    }
}
