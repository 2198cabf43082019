//! Claims of the batch driver: choice of groups, handling of answers, and job progress.

use std::{sync::Arc, time::Duration};

use crate::{
    batch::{Driver, MAX_HELD},
    batch_calls::{self, ObservedLease, ProgressRead, Purpose},
    batch_state::FinishedGroup,
    claim::{Answer, Pace, Phase},
    clock,
    held::Held,
    ids::{JobId, Map, ModelId, Set},
    job_record::{Claim, GroupKey, InputRecord, JobState, Repeat},
    metrics::{self, ItemStatus},
    progress::Progress,
};

/// Next step of a group.
enum NextStep {
    /// Wait for an event.
    Wait,
    /// Make the call that the state machine waits for.
    Call,
    /// Read the items.
    Input,
    /// Write the claim.
    Claim,
    /// Read the lease of the holder.
    Lease(Claim),
    /// Stop working on the group.
    Drop,
}

impl Driver {
    /// Advances every group as far as possible without waiting.
    pub(crate) fn step_groups(&mut self, now: Duration) {
        let keys: Vec<GroupKey> = self.held.keys().cloned().collect();
        for key in keys {
            self.step(&key, now);
        }
    }

    fn step(&mut self, key: &GroupKey, now: Duration) {
        self.step_held(key, now);
        let Some(held) = self.held.get(key).filter(|h| !h.busy && now >= h.retry) else {
            return;
        };
        let ctx = self.ctx.clone();
        match self.next_step(held, now) {
            NextStep::Wait => {}
            NextStep::Call => {
                if let Some(op) = held.holder.op() {
                    self.begin(key, batch_calls::group(ctx, key.clone(), op));
                }
            }
            NextStep::Input => self.begin(key, batch_calls::input(ctx, key.clone())),
            NextStep::Claim => self.write_claim(key),
            NextStep::Lease(claim) => {
                let holder = claim.holder;
                self.begin(key, batch_calls::holder_lease(ctx, key.clone(), holder));
            }
            NextStep::Drop => self.drop_group(key, now),
        }
    }

    fn begin(&mut self, key: &GroupKey, call: batch_calls::CallFuture) {
        if let Some(held) = self.held.get_mut(key) {
            held.busy = true;
        }
        self.call(call);
    }

    fn next_step(&self, held: &Held, now: Duration) -> NextStep {
        let valid = self.lease.valid(now, self.ctx.settings.timeouts.lease);
        // Without a lease, other instances take the group over, so a stop need not wait to release it.
        if self.stopping.is_some() && !valid && held.running() == 0 {
            return NextStep::Drop;
        }
        let unclaimed = matches!(
            held.holder.phase(),
            Phase::Reading | Phase::Free | Phase::Busy(_)
        );
        let wanted = self.ready(&held.key) || held.cleanup;
        if unclaimed && (self.stopping.is_some() || !wanted) {
            return NextStep::Drop;
        }
        match held.holder.phase() {
            Phase::Busy(claim) if *claim != self.identity && held.from.is_none() => {
                NextStep::Lease(claim.clone())
            }
            // An unclaimed group of a cancelled job needs no record.
            Phase::Free if held.cleanup => NextStep::Drop,
            Phase::Free | Phase::Busy(_) if held.input.is_none() => NextStep::Input,
            Phase::Free | Phase::Busy(_) if valid => NextStep::Claim,
            Phase::Free | Phase::Busy(_) => NextStep::Wait,
            Phase::Finished if held.input.is_none() => NextStep::Input,
            Phase::Finished | Phase::Released | Phase::Lost if held.running() == 0 => {
                NextStep::Drop
            }
            _ if held.holder.op().is_some() => NextStep::Call,
            _ => NextStep::Wait,
        }
    }

    fn ready(&self, key: &GroupKey) -> bool {
        let entry = self.jobs.get(&key.job);
        entry.is_some_and(|e| e.record.state == JobState::Ready)
    }

    fn write_claim(&mut self, key: &GroupKey) {
        let token = self.token();
        if let Some(held) = self.held.get_mut(key) {
            let count = held.input.as_ref().map_or(0, |i| i.items.len());
            held.holder.claim(count, token);
        }
    }

    /// Stops runs of a held group if necessary, and starts a save, release or check that is due.
    fn step_held(&mut self, key: &GroupKey, now: Duration) {
        let token = self.token();
        let cancelled = !self.ready(key);
        let stopping = self.stopping.is_some();
        let grace_over = self.grace_over(now);
        let interval = self.ctx.settings.timeouts.progress;
        let Some(held) = self.held.get_mut(key) else {
            return;
        };
        if matches!(held.holder.phase(), Phase::Lost) {
            held.stop_runs();
        }
        if !held.holder.holds() {
            return;
        }
        if cancelled || (stopping && (held.repeat() == Repeat::Allowed || grace_over)) {
            held.stop_runs();
        }
        if cancelled || stopping {
            held.holder.stop(false);
        }
        if *held.holder.phase() != Phase::Held {
            return;
        }
        let idle = held.running() == 0;
        if cancelled && idle {
            held.holder.stop(true);
            held.holder.save(token);
        } else if stopping && idle {
            held.holder.release(token);
        } else if held.holder.record().finished()
            || (held.holder.dirty() && now >= held.saved + interval)
        {
            held.saved = now;
            held.holder.save(token);
        } else if std::mem::take(&mut held.recheck) {
            held.holder.check();
        }
    }

    /// Handles the answer to a call for a group.
    pub(crate) fn group_answered(&mut self, key: &GroupKey, answer: Answer, now: Duration) {
        let token = self.token();
        let Some(held) = self.held.get_mut(key) else {
            return;
        };
        held.busy = false;
        let before = held.holder.phase().clone();
        match held.holder.answer(answer, token) {
            Pace::Now => held.backoff.succeed(),
            Pace::Backoff => held.retry = now + held.backoff.fail(&mut self.rng),
        }
        let after = held.holder.phase().clone();
        if before == Phase::Claiming && after == Phase::Held {
            self.claimed(key, now);
        }
        if before == Phase::Reading && after == Phase::Reading {
            self.drop_group(key, now);
        }
    }

    fn claimed(&mut self, key: &GroupKey, now: Duration) {
        self.claiming = None;
        self.claims.succeed(now);
        let Some(held) = self.held.get_mut(key) else {
            return;
        };
        held.prepare(now);
        let items = held.ready(now);
        match &held.from {
            Some(from) => crate::event!(
                Info,
                GroupTakenOver,
                "group={key} items={items} from={}",
                from.holder
            ),
            None => crate::event!(Info, GroupClaimed, "group={key} items={items}"),
        }
        self.schedule
            .claimed(&key.job, &held.job.team, items as u64);
    }

    /// Handles the items of a group that were read.
    pub(crate) fn input_read(
        &mut self,
        key: &GroupKey,
        input: Option<Arc<InputRecord>>,
        now: Duration,
    ) {
        let Some(held) = self.held.get_mut(key) else {
            return;
        };
        held.busy = false;
        match input {
            Some(input) => held.input = Some(input),
            None if *held.holder.phase() == Phase::Finished => {
                held.retry = now + held.backoff.fail(&mut self.rng);
            }
            None => self.drop_group(key, now),
        }
    }

    /// Handles the lease of a group's holder, and begins a takeover if it has expired.
    pub(crate) fn holder_lease_read(
        &mut self,
        key: &GroupKey,
        read: Option<ObservedLease>,
        now: Duration,
    ) {
        let lease = self.ctx.settings.timeouts.lease;
        let Some(held) = self.held.get_mut(key) else {
            return;
        };
        held.busy = false;
        let Phase::Busy(claim) = held.holder.phase().clone() else {
            return;
        };
        if let Some(read) = read {
            let (version, session) = (read.version, read.session);
            self.observer.observe(&claim.holder, version, session, now);
            if self.observer.expired(&claim, lease) {
                held.from = Some(claim);
                return;
            }
        }
        self.drop_group(key, now);
        if self.listing.due(now) {
            self.listing.busy = true;
            self.listing.succeed(now + self.ctx.settings.timeouts.renew);
            self.call(batch_calls::instance_list(self.ctx.clone()));
        }
    }

    /// Ends the work on a group and records what became of it.
    fn drop_group(&mut self, key: &GroupKey, now: Duration) {
        let Some(held) = self.held.remove(key) else {
            return;
        };
        let was_claiming = self.claiming.as_ref() == Some(key);
        if was_claiming {
            self.claiming = None;
            self.claims.fail(now, &mut self.rng);
        }
        let record = held.holder.record();
        match held.holder.phase() {
            Phase::Finished => {
                let counts = record.counts();
                self.jobs.finish(key, counts);
                self.cache_group(&held);
                if was_claiming && held.from.is_none() {
                    let interval = self.ctx.settings.timeouts.progress;
                    self.jobs.expire_progress(&key.job, now, interval);
                } else {
                    metrics::items(ItemStatus::Completed, counts.done);
                    metrics::items(ItemStatus::Failed, counts.failed);
                    metrics::items(ItemStatus::MayHaveRun, counts.doubt);
                    crate::event!(
                        Info,
                        GroupCommitted,
                        "group={key} done={} failed={} doubt={} cancelled={}",
                        counts.done,
                        counts.failed,
                        counts.doubt,
                        counts.cancelled
                    );
                }
            }
            Phase::Released => {
                crate::event!(Info, GroupReleased, "group={key}");
                self.jobs.give_back(key, now);
            }
            Phase::Lost if !was_claiming => {
                crate::event!(Warn, GroupLost, "group={key}");
                self.jobs.give_back(key, now);
            }
            // A holder renews its lease three times within its lifetime. Checking at that rate detects
            // an expiry soon.
            Phase::Busy(_) => {
                let wait = self.ctx.settings.timeouts.renew.mul_f64(self.rng.f64());
                self.jobs.give_back(key, now + wait);
            }
            _ => self.jobs.give_back(key, now),
        }
    }

    fn cache_group(&self, held: &Held) {
        let Some(input) = held.input.clone() else {
            return;
        };
        let record = Arc::new(held.holder.record().clone());
        let group = Arc::new(FinishedGroup { input, record });
        self.ctx.batch.cache_group(&held.key, group);
    }

    /// Claims one more group if owned workers have free slots for more items than are ready. One group
    /// is claimed at a time, because claimed groups without free slots would be withheld from other
    /// instances.
    pub(crate) fn claim_more(&mut self, now: Duration) {
        let failing = self.held.values().any(|h| h.backoff.failures() > 0);
        let full = self.held.len() >= MAX_HELD;
        let stopping = self.stopping.is_some();
        if stopping || failing || full || self.claiming.is_some() || !self.claims.due(now) {
            return;
        }
        if let Some(key) = self.ctx.batch.take_cancelled() {
            self.start_claim(key, true, now);
            return;
        }
        let wanted = self.wanted_models(now);
        if wanted.is_empty() {
            return;
        }
        self.jobs.update(&mut self.schedule, now);
        let Some(job) = self
            .schedule
            .choose(clock::unix_time(), |m| wanted.contains(m))
        else {
            return;
        };
        if !self.jobs.progress_known(&job) {
            self.claims.busy = true;
            self.call(batch_calls::progress(self.ctx.clone(), job, Purpose::Claim));
            return;
        }
        self.claim_next(&job, now);
    }

    fn claim_next(&mut self, job: &JobId, now: Duration) {
        if let Some(key) = self.jobs.take(job, now) {
            self.start_claim(key, false, now);
        }
    }

    /// Starts to claim a group. With `cleanup` it belongs to a cancelled job and is not run.
    fn start_claim(&mut self, key: GroupKey, cleanup: bool, now: Duration) {
        let Some(entry) = self.jobs.get(&key.job) else {
            return;
        };
        // Until this driver knows of the cancel, it would claim the group to run its items.
        if self.held.contains_key(&key) || (cleanup && self.ready(&key)) {
            return;
        }
        self.epoch += 1;
        let identity = self.identity.clone();
        let mut held = Held::new(key.clone(), entry.record.clone(), identity, self.epoch, now);
        held.cleanup = cleanup;
        self.held.insert(key.clone(), held);
        self.claiming = Some(key.clone());
        self.step(&key, now);
    }

    /// Returns the models with more free slots on owned workers than ready items.
    fn wanted_models(&self, now: Duration) -> Set<ModelId> {
        let mut slots: Map<ModelId, i64> = Map::default();
        for worker in self.owned.iter().filter(|w| self.usable(w, now)) {
            if let Some(model) = &worker.model {
                let free = self.ctx.workers.cell(&worker.id).free_batch_slots(now);
                *slots.entry(model.clone()).or_default() += i64::from(free);
            }
        }
        for held in self.held.values() {
            if let Some(slots) = slots.get_mut(held.model()) {
                *slots -= held.ready(now) as i64;
            }
        }
        slots
            .into_iter()
            .filter(|(_, r)| *r > 0)
            .map(|(m, _)| m)
            .collect()
    }

    /// Reads the progress of one job at each interval, to write or update it, and checks deadlines.
    pub(crate) fn report(&mut self, now: Duration) {
        let work = self.held.values().any(|h| h.ready(now) > 0);
        if self.rate.sample(now, work) {
            self.update_infeasible();
        }
        if !self.progress.due(now) {
            return;
        }
        let job = self.jobs.unreported().or_else(|| self.jobs.stalest());
        let Some(job) = job else {
            return;
        };
        self.progress.busy = true;
        self.call(batch_calls::progress(
            self.ctx.clone(),
            job,
            Purpose::Report,
        ));
    }

    /// Handles the progress of a job that was read, and writes it if this instance knows more finished
    /// groups.
    pub(crate) fn progress_read(&mut self, read: ProgressRead, now: Duration) {
        if let Some(stored) = &read.stored {
            self.jobs.merge(&read.job, stored.progress.clone(), now);
        }
        if read.purpose == Purpose::Claim {
            self.claims.busy = false;
            if read.stored.is_none() {
                self.claims.fail(now, &mut self.rng);
            }
            return;
        }
        let known = self.jobs.get(&read.job).map(|e| e.finished().clone());
        match (read.stored, known) {
            (Some(stored), Some(known)) if known.groups() > stored.progress.groups() => {
                let ctx = self.ctx.clone();
                let call = batch_calls::write_progress(ctx, read.job, stored.version, known);
                self.call(call);
            }
            _ => self.end_progress(now),
        }
    }

    fn end_progress(&mut self, now: Duration) {
        let interval = self.ctx.settings.timeouts.progress;
        self.progress.busy = false;
        // Jitter keeps instances that started together from writing together.
        self.progress
            .succeed(now + interval + interval.mul_f64(self.rng.f64()));
    }

    /// Handles the result of a progress write. A failed write is repeated after the next interval.
    pub(crate) fn progress_written(
        &mut self,
        job: &JobId,
        written: Option<Progress>,
        now: Duration,
    ) {
        if let Some(progress) = written {
            self.jobs.merge(job, progress, now);
        }
        self.end_progress(now);
    }

    /// Updates the set of jobs that cannot meet their deadline, and logs the new ones.
    fn update_infeasible(&mut self) {
        let pending = self.jobs.open(clock::unix_time());
        let fleet = self.view.peers.len() as f64 + 1.0;
        let late: Vec<usize> = match self.rate.get() {
            Some(rate) => self.schedule.infeasible(&pending, rate * fleet),
            None => (0..pending.len())
                .filter(|&i| pending[i].time_left.is_zero())
                .collect(),
        };
        let jobs: Set<JobId> = late.into_iter().map(|i| pending[i].job.clone()).collect();
        for job in jobs.difference(&self.infeasible) {
            crate::event!(Warn, JobInfeasible, "job={job}");
        }
        self.ctx.batch.set_infeasible(jobs.clone());
        self.infeasible = jobs;
    }
}
