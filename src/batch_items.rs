//! Item runs of the batch driver: which item goes to which worker, and what their ends lead to.

use std::{net::SocketAddr, time::Duration};

use crate::{
    batch::{Driver, Pacer},
    batch_calls::Ended,
    held::{Held, Note, request_id},
    ids::WorkerId,
    item_run::{self, Fault, Partial, Run},
    job_record::GroupKey,
    kv::{Cause, Policy},
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
    /// Address of the worker that the item's state is fetched from.
    home: Option<SocketAddr>,
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
        self.evacuate(now);
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

    /// Chooses an item that would be lost with a leaving worker, or else one that was stopped here,
    /// or on a worker without room, or the first that is ready.
    fn pick(&self, order: &[GroupKey], worker: &WorkerInfo, now: Duration) -> Option<Pick> {
        let groups = || {
            let held = order.iter().filter_map(|k| self.held.get(k));
            held.filter(|h| h.starts() && worker.model.as_ref() == Some(h.model()))
        };
        let calm = self.held.values().any(|h| h.suspect_on(&worker.id));
        let policy = self.moves();
        let moved = |cause| {
            let movable = |h: &Held| h.movable_to(worker, now, &policy, cause, calm);
            groups().find_map(|h| Some((h, movable(h)?)))
        };
        let paused = || groups().find_map(|h| Some((h, h.paused_on(&worker.id, calm, now)?)));
        let ready = || groups().find_map(|h| Some((h, h.next_ready(calm, now)?)));
        let other = || paused().or_else(|| moved(Cause::NoRoom)).or_else(ready);
        let other = || {
            if self.evacuating(worker) {
                None
            } else {
                other()
            }
        };
        let (held, item) = moved(Cause::Leaving).or_else(other)?;
        let partial = held.partial(item).filter(|p| p.worker != worker.id);
        Some(Pick {
            key: held.key.clone(),
            item,
            home: partial.and_then(|p| Some(policy.home(p)?.address)),
        })
    }

    fn launch(&mut self, pick: &Pick, worker: &WorkerInfo, guard: BatchGuard) -> bool {
        let fresh = Partial {
            worker: worker.id.clone(),
            request: request_id(&pick.key, pick.item, &mut self.rng),
            text: String::new(),
            next: 0,
            fault: Fault::None,
            state: None,
        };
        let transfer = pick
            .home
            .map(|home| self.transfer(home, worker, &fresh.request));
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
            transfer,
            origin: None,
            most: self.ctx.settings.limits.transfer,
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
        let policy = Policy {
            workers: &self.view.workers,
            targets: &self.owned,
            tokens: self.ctx.settings.limits.transfer_tokens,
        };
        let mut expired = Vec::new();
        for (key, held) in self.held.iter_mut().filter(|(_, h)| h.holder.holds()) {
            let stopped = held.expire(now, &mut self.rng, &policy);
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
            Note::Unmoved(step) => {
                crate::event!(
                    Info,
                    ItemNotMoved,
                    "group={key} item={item} worker={worker} step={step}"
                );
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
