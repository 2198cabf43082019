//! Item runs of the batch driver: assignment of items to workers, and handling of ended runs.

use std::{net::SocketAddr, time::Duration};

use crate::{
    batch::{Driver, Pacer},
    batch_calls::Ended,
    held::{Held, RunReport, request_id},
    ids::WorkerId,
    item_run::{self, Fault, Partial, Run},
    job_record::GroupKey,
    kv::{Cause, Policy},
    view::WorkerInfo,
    workers::BatchGuard,
};

/// Base of the backoff of a worker that failed.
const WORKER_BACKOFF_BASE: Duration = Duration::from_millis(200);
/// Cap of the backoff of a worker that failed.
const WORKER_BACKOFF_CAP: Duration = Duration::from_secs(5);

/// An item that can run on a worker.
struct Pick {
    key: GroupKey,
    item: usize,
    /// Address of the worker that has the item's state, if it must be moved.
    source: Option<SocketAddr>,
}

impl Driver {
    /// Returns whether a worker accepts batch items.
    pub(crate) fn usable(&self, worker: &WorkerInfo, now: Duration) -> bool {
        let available = self.workers.get(&worker.id).is_none_or(|p| now >= p.at);
        available && !worker.leaving && worker.slots > 0
    }

    /// Starts items on owned workers with free slots, one per worker in turn, to spread the load evenly.
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

    /// Starts one item on a worker. Returns `false` if the worker has no free slot or no item fits.
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

    /// Chooses an item for a worker: first one that is paused on a leaving worker, then one that is
    /// paused on this worker, then one that is paused on a worker without capacity, then a ready one.
    fn pick(&self, order: &[GroupKey], worker: &WorkerInfo, now: Duration) -> Option<Pick> {
        let groups = || {
            let held = order.iter().filter_map(|k| self.held.get(k));
            held.filter(|h| h.can_start() && worker.model.as_ref() == Some(h.model()))
        };
        let skip_suspects = self.held.values().any(|h| h.suspect_on(&worker.id));
        let policy = self.move_policy();
        let moved = |cause| {
            let movable = |h: &Held| h.movable_to(worker, now, &policy, cause, skip_suspects);
            groups().find_map(|h| Some((h, movable(h)?)))
        };
        let paused =
            || groups().find_map(|h| Some((h, h.paused_on(&worker.id, skip_suspects, now)?)));
        let ready = || groups().find_map(|h| Some((h, h.next_ready(skip_suspects, now)?)));
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
            source: partial.and_then(|p| Some(policy.source(p)?.address)),
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
            .source
            .map(|source| self.transfer(source, worker, &fresh.request));
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
            state_limit: self.ctx.settings.limits.transfer,
            stop: launch.stop,
        };
        let (key, epoch, item) = (pick.key.clone(), held.epoch, pick.item);
        let (worker, ends_tx) = (worker.id.clone(), self.ends_tx.clone());
        let task = async move {
            let end = item_run::run(run).await;
            let ended = Ended {
                key,
                epoch,
                item,
                worker,
                end,
            };
            let _ = ends_tx.send(ended).await;
        };
        async_global_executor::spawn(task).detach();
        true
    }

    /// Requeues paused items whose worker is gone or has had no capacity for too long.
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
            self.handle_report(&key, end.item, &end.worker, end.report, now);
        }
    }

    /// Handles the end of a run.
    pub(crate) fn run_ended(&mut self, ended: Ended, now: Duration) {
        let Some(held) = self
            .held
            .get_mut(&ended.key)
            .filter(|h| h.epoch == ended.epoch)
        else {
            return;
        };
        let report = held.run_ended(ended.item, ended.end, now, &mut self.rng);
        self.handle_report(&ended.key, ended.item, &ended.worker, report, now);
    }

    fn handle_report(
        &mut self,
        key: &GroupKey,
        item: usize,
        worker: &WorkerId,
        report: RunReport,
        now: Duration,
    ) {
        match report {
            RunReport::Requeued => {}
            RunReport::Done => self.worker_succeeded(worker, now),
            RunReport::Yielded => {
                crate::event!(Info, ItemYielded, "group={key} item={item} worker={worker}");
            }
            RunReport::Failed(reason) => {
                crate::event!(Info, ItemFailed, "group={key} item={item} reason={reason}");
                self.worker_succeeded(worker, now);
            }
            RunReport::Lost(reason) => {
                crate::event!(Warn, ItemFailed, "group={key} item={item} reason={reason}");
                self.worker_failed(worker, now);
            }
            RunReport::MayHaveRun => {
                crate::event!(Warn, ItemInDoubt, "group={key} item={item} worker={worker}");
            }
            RunReport::Unmoved(step) => {
                crate::event!(
                    Info,
                    ItemNotMoved,
                    "group={key} item={item} worker={worker} step={step}"
                );
            }
            RunReport::WorkerFailed => self.worker_failed(worker, now),
        }
    }

    fn worker_succeeded(&mut self, worker: &str, now: Duration) {
        self.rate.count();
        if let Some(pacer) = self.workers.get_mut(worker) {
            pacer.succeed(now);
        }
    }

    fn worker_failed(&mut self, worker: &WorkerId, now: Duration) {
        let pacer = self.workers.entry(worker.clone());
        let pacer = pacer.or_insert_with(|| Pacer::new(WORKER_BACKOFF_BASE, WORKER_BACKOFF_CAP));
        // Concurrent failures of a worker's streams count once.
        if now < pacer.at {
            return;
        }
        pacer.fail(now, &mut self.rng);
        crate::event!(Warn, WorkerBackedOff, "worker={worker}");
    }
}
