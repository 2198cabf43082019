//! Item runs of the batch driver: which item goes to which worker, and what their ends lead to.

use std::time::Duration;

use crate::{
    batch::{Driver, Pacer},
    batch_calls::Ended,
    held::{Note, request_id},
    ids::WorkerId,
    item_run::{self, Fault, Partial, Run},
    job_record::GroupKey,
    view::WorkerInfo,
    workers::BatchGuard,
};

/// First span of the backoff of a worker that did not do its part.
const WORKER_FIRST: Duration = Duration::from_millis(200);
/// Longest span of the backoff of a worker that did not do its part.
const WORKER_MOST: Duration = Duration::from_secs(5);

/// An item that can run on a worker.
struct Pick {
    key: GroupKey,
    item: usize,
}

impl Driver {
    /// Says whether a worker takes batch items.
    pub(crate) fn usable(&self, worker: &WorkerInfo, now: Duration) -> bool {
        let calm = self.workers.get(&worker.id).is_none_or(|p| now >= p.at);
        calm && !worker.leaving && worker.slots > 0
    }

    /// Starts items on owned workers with room, one a worker in turn, so that the load is even.
    pub(crate) fn dispatch(&mut self, now: Duration) {
        self.expire(now);
        let valid = self.lease.valid(now, self.ctx.settings.timeouts.lease);
        if self.stopping.is_some() || self.held.is_empty() || !valid {
            return;
        }
        let mut order: Vec<GroupKey> = self.held.keys().cloned().collect();
        order.sort_by_cached_key(|k| {
            let submitted = self.held[k].job.deadline;
            let deadline = self.view.sheet.deadline(&k.job, submitted);
            (deadline, k.job.clone(), k.index)
        });
        let mut workers: Vec<WorkerInfo> = self.owned.clone();
        workers.retain(|w| self.usable(w, now));
        while !workers.is_empty() {
            workers.retain(|w| self.start_one(&order, w, now));
        }
    }

    /// Starts one item on a worker; false when the worker has no room or no item.
    fn start_one(&mut self, order: &[GroupKey], worker: &WorkerInfo, now: Duration) -> bool {
        let Some(pick) = self.pick(order, worker, now) else {
            return false;
        };
        let cell = self.ctx.workers.cell(&worker.id);
        let Some(guard) = cell.begin_batch(now) else {
            return false;
        };
        self.launch(&pick, worker, guard)
    }

    /// Chooses a stopped item of this worker, or else the first that is ready.
    fn pick(&self, order: &[GroupKey], worker: &WorkerInfo, now: Duration) -> Option<Pick> {
        let groups = || {
            let held = order.iter().filter_map(|k| self.held.get(k));
            held.filter(|h| h.starts() && worker.model.as_ref() == Some(h.model()))
        };
        let calm = self.held.values().any(|h| h.suspect_on(&worker.id));
        let paused = groups().find_map(|h| Some((h, h.paused_on(&worker.id, calm, now)?)));
        let ready = || groups().find_map(|h| Some((h, h.next_ready(calm, now)?)));
        let (held, item) = paused.or_else(ready)?;
        Some(Pick {
            key: held.key.clone(),
            item,
        })
    }

    fn launch(&mut self, pick: &Pick, worker: &WorkerInfo, guard: BatchGuard) -> bool {
        let fresh = Partial {
            worker: worker.id.clone(),
            request: request_id(&pick.key, pick.item, &mut self.rng),
            text: String::new(),
            next: 0,
            fault: Fault::None,
        };
        let Some(held) = self.held.get_mut(&pick.key) else {
            return false;
        };
        let Some(input) = held.input.clone() else {
            return false;
        };
        let Some(launch) = held.launch(pick.item, fresh) else {
            return false;
        };
        let run = Run {
            engine: self.ctx.engine.clone(),
            address: worker.address,
            guard,
            input,
            item: pick.item,
            model: held.model().clone(),
            from: launch.from,
            resume: launch.resume,
            stop: launch.stop,
        };
        let (key, epoch, item) = (pick.key.clone(), held.epoch, pick.item);
        let (worker, ends) = (worker.id.clone(), self.ends.clone());
        let task = async move {
            let end = item_run::run(run).await;
            let ended = Ended {
                key,
                epoch,
                item,
                worker,
                end,
            };
            let _ = ends.send(ended).await;
        };
        async_global_executor::spawn(task).detach();
        true
    }

    /// Gives up stopped streams whose worker is gone or has had no room for long.
    fn expire(&mut self, now: Duration) {
        let view = self.view.clone();
        let present = |id: &str| view.workers.iter().any(|w| w.id.as_ref() == id);
        let mut expired = Vec::new();
        for (key, held) in self.held.iter_mut().filter(|(_, h)| h.holder.holds()) {
            let stopped = held.expire(now, &mut self.rng, present);
            expired.extend(stopped.into_iter().map(|e| (key.clone(), e)));
        }
        for (key, end) in expired {
            self.noted(&key, end.item, &end.worker, end.note, now);
        }
    }

    /// Takes the end of a run.
    pub(crate) fn run_ended(&mut self, ended: Ended, now: Duration) {
        let Some(held) = self
            .held
            .get_mut(&ended.key)
            .filter(|h| h.epoch == ended.epoch)
        else {
            return;
        };
        let note = held.ended(ended.item, ended.end, now, &mut self.rng);
        self.noted(&ended.key, ended.item, &ended.worker, note, now);
    }

    fn noted(&mut self, key: &GroupKey, item: usize, worker: &WorkerId, note: Note, now: Duration) {
        match note {
            Note::Quiet => {}
            Note::Done => self.worker_did(worker, now),
            Note::Yielded => {
                crate::event!(Info, ItemYielded, "group={key} item={item} worker={worker}");
            }
            Note::Failed(reason) => {
                crate::event!(Info, ItemFailed, "group={key} item={item} reason={reason}");
                self.worker_did(worker, now);
            }
            Note::Lost(reason) => {
                crate::event!(Warn, ItemFailed, "group={key} item={item} reason={reason}");
                self.worker_failed(worker, now);
            }
            Note::Doubt => {
                crate::event!(Warn, ItemInDoubt, "group={key} item={item} worker={worker}");
            }
            Note::WorkerFailed => self.worker_failed(worker, now),
        }
    }

    fn worker_did(&mut self, worker: &str, now: Duration) {
        self.rate.count();
        if let Some(pacer) = self.workers.get_mut(worker) {
            pacer.succeed(now);
        }
    }

    fn worker_failed(&mut self, worker: &WorkerId, now: Duration) {
        let pacer = self.workers.entry(worker.clone());
        let pacer = pacer.or_insert_with(|| Pacer::new(WORKER_FIRST, WORKER_MOST));
        // The failures of all streams of a worker count once.
        if now < pacer.at {
            return;
        }
        pacer.fail(now, &mut self.rng);
        crate::event!(Warn, WorkerBackedOff, "worker={worker}");
    }
}
