//! Moves of the batch driver: which items leave a worker that is about to stop, and how the state of
//! a stopped item reaches another worker.

use std::{net::SocketAddr, time::Duration};

use crate::{
    batch::Driver,
    ids::{RequestId, WorkerId},
    kv::{Policy, Transfer, same_weights},
    view::WorkerInfo,
};

impl Driver {
    /// Returns which stopped streams may go on where.
    pub(crate) fn moves(&self) -> Policy<'_> {
        Policy {
            workers: &self.view.workers,
            targets: &self.owned,
            tokens: self.ctx.settings.limits.transfer_tokens,
        }
    }

    /// Builds the transfer of a state to a worker.
    pub(crate) fn transfer(
        &self,
        home: SocketAddr,
        target: &WorkerInfo,
        request: &RequestId,
    ) -> Transfer {
        Transfer {
            home,
            target: target.id.clone(),
            request: request.clone(),
            model: target.model.clone().unwrap_or_default(),
            version: target.version.clone(),
            most: self.ctx.settings.limits.transfer,
            permits: self.transfers.clone(),
        }
    }

    /// Stops items that still run on a leaving worker after a while, as many as other workers have
    /// room for. A worker ends its last streams when its own time to leave is over, which nobody
    /// tells; until then it is useful.
    pub(crate) fn evacuate(&mut self, now: Duration) {
        let limit = self.ctx.settings.timeouts.leave_run;
        let tokens = self.ctx.settings.limits.transfer_tokens;
        self.note_leaving(now);
        let due = self
            .leaving
            .iter()
            .filter(|(_, since)| now >= **since + limit);
        let due: Vec<WorkerId> = due.map(|(id, _)| id.clone()).collect();
        for worker in due {
            let room = self.room_beside(&worker, now);
            let held = self.held.values();
            let stopped = held.map(|h| h.stopped_on(&worker) + h.stopping_on(&worker));
            let mut free = room.saturating_sub(stopped.sum());
            for held in self.held.values_mut() {
                free -= held.stop_on(&worker, free, tokens);
            }
        }
    }

    /// Says whether items of a leaving worker are about to stop, so that the room that they were
    /// stopped for must not go to other items.
    pub(crate) fn evacuating(&self, target: &WorkerInfo) -> bool {
        let mut leaving = self.view.workers.iter().filter(|w| w.leaving);
        leaving.any(|home| {
            let mut held = self.held.values();
            same_weights(home, target) && held.any(|h| h.stopping_on(&home.id) > 0)
        })
    }

    /// Remembers since when workers are leaving.
    fn note_leaving(&mut self, now: Duration) {
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

    /// Returns the room for batch streams on other workers with the same weights.
    fn room_beside(&self, worker: &str, now: Duration) -> usize {
        let mut workers = self.view.workers.iter();
        let Some(home) = workers.find(|w| w.id.as_ref() == worker) else {
            return 0;
        };
        let targets = self.owned.iter().filter(|w| self.usable(w, now));
        let targets = targets.filter(|w| same_weights(home, w));
        let room = targets.map(|w| self.ctx.workers.cell(&w.id).free_batch_slots(now));
        room.sum::<u32>() as usize
    }
}
