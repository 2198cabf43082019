//! Moves of the batch driver: evacuation of leaving workers, and transfers of the state of paused
//! items.

use std::{net::SocketAddr, time::Duration};

use crate::{
    batch::Driver,
    ids::{RequestId, WorkerId},
    kv::{Policy, Transfer, same_weights},
    view::WorkerInfo,
};

impl Driver {
    /// Returns the policy for moves of paused items.
    pub(crate) fn move_policy(&self) -> Policy<'_> {
        Policy {
            workers: &self.view.workers,
            targets: &self.owned,
            tokens: self.ctx.settings.limits.transfer_tokens,
        }
    }

    /// Builds the transfer of an item's state to a worker.
    pub(crate) fn transfer(
        &self,
        source: SocketAddr,
        target: &WorkerInfo,
        request: &RequestId,
    ) -> Transfer {
        Transfer {
            source,
            target: target.id.clone(),
            request: request.clone(),
            model: target.model.clone().unwrap_or_default(),
            version: target.version.clone(),
            state_limit: self.ctx.settings.limits.transfer,
            permits: self.transfers.clone(),
        }
    }

    /// Stops items that still run on a worker some time after it began to leave, as many as other
    /// workers have capacity for. The worker aborts its last streams at a deadline that is not
    /// announced; until then it still does useful work.
    pub(crate) fn evacuate(&mut self, now: Duration) {
        let limit = self.ctx.settings.timeouts.leave_run;
        let tokens = self.ctx.settings.limits.transfer_tokens;
        self.track_leaving(now);
        let due = self
            .leaving
            .iter()
            .filter(|(_, since)| now >= **since + limit);
        let due: Vec<WorkerId> = due.map(|(id, _)| id.clone()).collect();
        for worker in due {
            let slots = self.free_slots_elsewhere(&worker, now);
            let held = self.held.values();
            let stopped = held.map(|h| h.stopped_on(&worker) + h.stopping_on(&worker));
            let mut free = slots.saturating_sub(stopped.sum());
            for held in self.held.values_mut() {
                free -= held.stop_on(&worker, free, tokens);
            }
        }
    }

    /// Returns whether items of a leaving worker that could move to `target` are about to stop. The
    /// capacity is then reserved for them.
    pub(crate) fn evacuating(&self, target: &WorkerInfo) -> bool {
        let mut leaving = self.view.workers.iter().filter(|w| w.leaving);
        leaving.any(|source| {
            let mut held = self.held.values();
            same_weights(source, target) && held.any(|h| h.stopping_on(&source.id) > 0)
        })
    }

    /// Records since when workers are leaving.
    fn track_leaving(&mut self, now: Duration) {
        let workers = self.view.workers.iter();
        let leaving: Vec<WorkerId> = workers
            .filter(|w| w.leaving)
            .map(|w| w.id.clone())
            .collect();
        self.leaving.retain(|id, _| leaving.contains(id));
        for id in leaving {
            self.leaving.entry(id).or_insert(now);
        }
    }

    /// Returns the number of free batch slots on usable owned workers with the same weights.
    fn free_slots_elsewhere(&self, worker: &str, now: Duration) -> usize {
        let mut workers = self.view.workers.iter();
        let Some(source) = workers.find(|w| w.id.as_ref() == worker) else {
            return 0;
        };
        let targets = self.owned.iter().filter(|w| self.usable(w, now));
        let targets = targets.filter(|w| same_weights(source, w));
        let slots = targets.map(|w| self.ctx.workers.cell(&w.id).free_batch_slots(now));
        slots.sum::<u32>() as usize
    }
}
