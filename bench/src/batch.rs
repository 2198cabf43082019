//! Batch work in the model: claims, starts, yields and ends of items.

use gentianpath::workers::BatchGuard;

use crate::{
    Micros,
    engine::{SLOTS, Stream},
    fleet::{BATCH_BIT, BatchUpdate, Event, Fleet, ZONE_DELAY},
    jobs::claim,
    policy::Sharing,
    trace::{Item, job_prefix, prefix_tokens},
};

/// A batch stream of an owner.
#[derive(Debug)]
pub struct BatchRun {
    id: u64,
    item: Item,
    /// Guard of the admission of the system, if the policy uses it.
    guard: Option<BatchGuard>,
    cancelled: bool,
}

impl Fleet {
    /// Starts batch streams while a worker has capacity for them.
    pub(crate) fn fill(&mut self, worker: usize) {
        if self.policy.sharing == Sharing::NoBatch || (self.dead && worker == 0) {
            return;
        }
        while let Some(guard) = self.begin_batch(worker) {
            let Some(item) = self.next_item(self.owners[worker]) else {
                return;
            };
            let id = self.next_batch;
            self.next_batch += 1;
            self.runs[worker].push(BatchRun {
                id,
                item,
                guard,
                cancelled: false,
            });
            self.after(ZONE_DELAY, Event::Admit(worker, id));
        }
    }

    /// Sends cancel orders to the streams that must yield because of an event at time `cause`.
    pub(crate) fn collect_yields(&mut self, worker: usize, cause: Micros) {
        let online = self.known_online(worker);
        let all = self.policy.sharing == Sharing::CancelAll && online > 0;
        let mut yielding = Vec::new();
        for run in self.runs[worker].iter_mut().filter(|r| !r.cancelled) {
            let yielded = |g: &BatchGuard| g.yielded.try_recv().is_ok();
            if all || run.guard.as_ref().is_some_and(yielded) {
                run.cancelled = true;
                yielding.push(run.id);
            }
        }
        for id in yielding {
            self.after(ZONE_DELAY, Event::Cancel(worker, id, cause));
        }
    }

    /// Handles the arrival of a cancel order at a worker.
    pub(crate) fn cancel(&mut self, worker: usize, id: u64, cause: Micros) {
        self.tally.yields.push(self.now - cause);
        if let Some(output) = self.engines[worker].cancel(id) {
            self.output(worker, output);
        }
    }

    /// Handles the arrival of an update of a batch stream at its owner.
    pub(crate) fn batch_update(&mut self, worker: usize, id: u64, update: BatchUpdate) {
        let Some(at) = self.runs[worker].iter().position(|r| r.id == id) else {
            return;
        };
        match update {
            BatchUpdate::First => {
                if let Some(guard) = &self.runs[worker][at].guard {
                    guard.started();
                }
            }
            BatchUpdate::Done => {
                let run = self.runs[worker].remove(at);
                self.finish(run.item);
            }
            BatchUpdate::Stopped(generated) => {
                let run = self.runs[worker].remove(at);
                self.requeue(worker, run.item, generated);
            }
        }
        self.fill(worker);
    }

    /// Builds the request of a batch stream.
    pub(crate) fn batch_stream(&self, worker: usize, id: u64) -> Option<Stream> {
        let run = self.runs[worker].iter().find(|r| r.id == id)?;
        let prefix = job_prefix(run.item.job);
        Some(Stream {
            id: id | BATCH_BIT,
            batch: true,
            prefix,
            shared: prefix_tokens(prefix),
            own: run.item.own,
            tokens: run.item.tokens,
        })
    }

    /// Puts an item back with its partial output, which a later run computes again as part of the
    /// prompt.
    fn requeue(&mut self, worker: usize, item: Item, generated: u32) {
        let owner = self.owners[worker];
        self.entries[owner].items.push_front(Item {
            own: item.own + generated,
            tokens: item.tokens - generated,
            ..item
        });
    }

    fn finish(&mut self, item: Item) {
        let job = &mut self.jobs[item.job];
        job.unfinished -= 1;
        if job.unfinished == 0 {
            job.finished = Some(self.now);
        }
    }

    /// Admits one more batch stream if the policy allows it, and returns its guard.
    fn begin_batch(&self, worker: usize) -> Option<Option<BatchGuard>> {
        let batch = self.runs[worker].len() as u32;
        let online = self.known_online(worker);
        let owner = &self.entries[self.owners[worker]];
        let free = match self.policy.sharing {
            Sharing::NoBatch => false,
            Sharing::Admission(_) => {
                return owner.cells[worker].begin_batch(self.time()).map(Some);
            }
            Sharing::ShareAll => online + batch < SLOTS,
            Sharing::Split => batch < SLOTS / 2,
            Sharing::CancelAll => online == 0 && batch < SLOTS,
        };
        free.then_some(None)
    }

    fn known_online(&self, worker: usize) -> u32 {
        let owner = &self.entries[self.owners[worker]];
        owner.cells[worker].current_demand().online
    }

    /// Returns a claimed item of an owner, or claims another group.
    fn next_item(&mut self, owner: usize) -> Option<Item> {
        if let Some(item) = self.entries[owner].items.pop_front() {
            return Some(item);
        }
        let now = self.time();
        let schedule = &mut self.entries[owner].schedule;
        let name = schedule.choose(now, |_| true)?;
        let index = self.jobs.iter().position(|j| j.name == name)?;
        let items = claim(&mut self.jobs, index, &mut self.rng);
        let job = &self.jobs[index];
        schedule.claimed(&name, &job.team, items.len() as u64);
        self.entries[owner].items.extend(items);
        if job.unclaimed == 0 {
            for entry in &mut self.entries {
                entry.schedule.remove(&name);
            }
        }
        self.entries[owner].items.pop_front()
    }
}
