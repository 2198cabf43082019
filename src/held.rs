//! A group that this instance is claiming or holds, with the runs of its items (pure).

use std::{sync::Arc, time::Duration};

use smol::channel::{Receiver, Sender};

use crate::{
    backoff::Backoff,
    claim::Holder,
    ids::{ModelId, RequestId, WorkerId},
    item_run::{Fault, Partial, RunEnd},
    job_record::{Claim, GroupKey, InputRecord, JobRecord, LOSS_LIMIT, Outcome, Repeat},
    kv::{Cause, Failure, Policy},
    view::WorkerInfo,
};

/// Base of the backoff between calls to the object service for a group.
const CALL_BACKOFF_BASE: Duration = Duration::from_millis(50);
/// Cap of the backoff between calls to the object service for a group.
const CALL_BACKOFF_CAP: Duration = Duration::from_secs(5);
/// Base of the backoff between runs of an item.
const ITEM_BACKOFF_BASE: Duration = Duration::from_millis(100);
/// Cap of the backoff between runs of an item.
const ITEM_BACKOFF_CAP: Duration = Duration::from_secs(60);
/// Shortest wait after the first loss of an engine; it doubles with each further loss. All losses of
/// an item take more than two minutes, so that an engine in a crash loop of another cause does not
/// use up the loss limit of the items that it runs.
const LOSS_WAIT_MIN: Duration = Duration::from_secs(1);
/// How long a paused item waits for capacity on its worker before it restarts on any worker.
const RESUME_WAIT: Duration = Duration::from_secs(10);
/// The same for a non-repeatable item, which would end as [`Outcome::MayHaveRun`].
const RESUME_WAIT_NEVER: Duration = Duration::from_secs(120);
/// The same for an item that may also move to another worker. A restart would wait for the same
/// capacity; after this time the engine has probably dropped the state.
const RESUME_WAIT_MOVABLE: Duration = Duration::from_secs(60);
/// Moves of a paused item that may fail at the resume. Without a limit, workers that import states
/// and never resume them would keep the item from restarting.
const MAX_FAILED_MOVES: u8 = 3;

/// State of an item in a held group.
#[derive(Debug)]
enum RunState {
    /// May start from this time on.
    Waiting(Duration),
    /// Runs on a worker. Closing the channel stops the run. `since` and `moves` are those of the pause
    /// that it resumes from.
    Running {
        worker: WorkerId,
        stop: Option<Sender<()>>,
        /// Connection fault before the run was resumed.
        fault: Fault,
        since: Duration,
        moves: u8,
    },
    /// Was stopped, and may be resumed on its worker or, while moves are left, on another one.
    Paused {
        partial: Partial,
        since: Duration,
        after: Duration,
        moves: u8,
    },
    /// Has an outcome.
    Done,
}

/// Result of a run for its item and worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunReport {
    /// The item runs again later.
    Requeued,
    /// The item completed.
    Done,
    /// The item yielded to online requests and keeps its text.
    Yielded,
    /// The item failed for good.
    Failed(Arc<str>),
    /// The item reached the limit of lost engines.
    Lost(Arc<str>),
    /// The item is not repeatable and may have run.
    MayHaveRun,
    /// The item could not be moved, without a fault of the new worker.
    Unmoved(Failure),
    /// The worker failed; the item runs again later.
    WorkerFailed,
}

/// A paused item that expired and was requeued.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Expired {
    /// Number of the item inside the group.
    pub item: usize,
    /// Worker that had the item's state.
    pub worker: WorkerId,
    /// Result of the run.
    pub report: RunReport,
}

/// Start of a run.
#[derive(Debug)]
pub struct Launch {
    /// Where to start or resume.
    pub from: Partial,
    /// Whether to resume.
    pub resume: bool,
    /// Closes when the run must stop.
    pub stop: Receiver<()>,
}

/// A group that this instance is claiming or holds.
#[derive(Debug)]
pub struct Held {
    /// Key of the group.
    pub key: GroupKey,
    /// Record of its job.
    pub job: Arc<JobRecord>,
    /// Number that distinguishes runs of this claim from those of an earlier one.
    pub epoch: u64,
    /// State machine of claim and results.
    pub holder: Holder,
    /// Items, once they are read.
    pub input: Option<Arc<InputRecord>>,
    /// Whether a call is under way.
    pub busy: bool,
    /// Time of the next call.
    pub retry: Duration,
    /// Backoff of failed calls.
    pub backoff: Backoff,
    /// Time of the last checkpoint, or of the claim.
    pub saved: Duration,
    /// Whether the claim must be checked before more items start.
    pub recheck: bool,
    /// Whether the group belongs to a cancelled job. It is only taken over from a lost holder, to end
    /// its items.
    pub cleanup: bool,
    /// Previous claim, if the group is taken over.
    pub from: Option<Claim>,
    states: Vec<RunState>,
    backoffs: Vec<Backoff>,
    suspects: Vec<usize>,
}

impl Held {
    /// Creates the state of a group that is about to be read and claimed with `identity`.
    pub fn new(
        key: GroupKey,
        job: Arc<JobRecord>,
        identity: Claim,
        epoch: u64,
        now: Duration,
    ) -> Self {
        let repeat = job.repeat(key.index);
        Self {
            key,
            job,
            epoch,
            holder: Holder::new(identity, repeat),
            input: None,
            busy: false,
            retry: Duration::ZERO,
            backoff: Backoff::new(CALL_BACKOFF_BASE, CALL_BACKOFF_CAP),
            saved: now,
            recheck: false,
            cleanup: false,
            from: None,
            states: Vec::new(),
            backoffs: Vec::new(),
            suspects: Vec::new(),
        }
    }

    /// Returns the model of the job.
    pub fn model(&self) -> &ModelId {
        &self.job.model
    }

    /// Returns whether the items may be repeated.
    pub fn repeat(&self) -> Repeat {
        self.job.repeat(self.key.index)
    }

    /// Returns whether items may start.
    pub fn can_start(&self) -> bool {
        self.holder.can_start() && !self.recheck
    }

    /// Prepares the items to run, once the group is held.
    pub fn prepare(&mut self, now: Duration) {
        let items = self.holder.record().items.iter();
        self.states = items
            .map(|i| match i.outcome {
                Some(_) => RunState::Done,
                None => RunState::Waiting(now),
            })
            .collect();
        self.backoffs = vec![Backoff::new(ITEM_BACKOFF_BASE, ITEM_BACKOFF_CAP); self.states.len()];
        self.suspects = (0..self.states.len())
            .filter(|&i| self.is_suspect(i))
            .collect();
        self.saved = now;
    }

    /// Returns the number of running items.
    pub fn running(&self) -> usize {
        let running = self.states.iter();
        let runs = |s: &&RunState| matches!(s, RunState::Running { .. });
        running.filter(runs).count()
    }

    /// Returns the number of items that could start now.
    pub fn ready(&self, now: Duration) -> usize {
        let ready = |s: &&RunState| matches!(s, RunState::Waiting(after) if *after <= now);
        self.states.iter().filter(ready).count()
    }

    /// Returns whether an item suspected of crashing engines runs on this worker.
    pub fn suspect_on(&self, worker: &str) -> bool {
        let runs =
            |s: &RunState| matches!(s, RunState::Running { worker: w, .. } if w.as_ref() == worker);
        self.suspects.iter().any(|&i| runs(&self.states[i]))
    }

    /// Returns an item that is paused on this worker, without suspects if `skip_suspects`.
    pub fn paused_on(&self, worker: &str, skip_suspects: bool, now: Duration) -> Option<usize> {
        let ready = |s: &RunState| match s {
            RunState::Paused { partial, after, .. } => {
                partial.worker.as_ref() == worker && *after <= now
            }
            _ => false,
        };
        self.find_item(ready, skip_suspects)
    }

    /// Returns an item that is paused on another worker and may move to this one for a cause, without
    /// suspects if `skip_suspects`.
    pub fn movable_to(
        &self,
        target: &WorkerInfo,
        now: Duration,
        policy: &Policy,
        cause: Cause,
        skip_suspects: bool,
    ) -> Option<usize> {
        if self.repeat() == Repeat::Never {
            return None;
        }
        let movable = |s: &RunState| match s {
            RunState::Paused {
                partial,
                since,
                after,
                moves: 1..,
            } if *after <= now => {
                let waited = now.saturating_sub(*since);
                policy.cause(partial, waited, target) == Some(cause)
            }
            _ => false,
        };
        self.find_item(movable, skip_suspects)
    }

    /// Returns the partial run of a paused item.
    pub fn partial(&self, item: usize) -> Option<&Partial> {
        match &self.states[item] {
            RunState::Paused { partial, .. } => Some(partial),
            _ => None,
        }
    }

    /// Returns the number of items that are paused on a worker and may be moved.
    pub fn stopped_on(&self, worker: &str) -> usize {
        let stopped = |s: &&RunState| match s {
            RunState::Paused { partial, moves, .. } => {
                *moves > 0 && partial.worker.as_ref() == worker
            }
            _ => false,
        };
        self.states.iter().filter(stopped).count()
    }

    /// Returns the number of items on a worker that were asked to stop and still run.
    pub fn stopping_on(&self, worker: &str) -> usize {
        let stopping = |s: &&RunState| match s {
            RunState::Running {
                worker: at, stop, ..
            } => stop.is_none() && at.as_ref() == worker,
            _ => false,
        };
        self.states.iter().filter(stopping).count()
    }

    /// Stops up to `max` repeatable items that run on a worker and are long enough to be moved, and
    /// returns their number.
    pub fn stop_on(&mut self, worker: &str, max: usize, tokens: u64) -> usize {
        let Some(input) = self
            .input
            .as_ref()
            .filter(|_| self.repeat() == Repeat::Allowed)
        else {
            return 0;
        };
        let items = self.states.iter_mut().zip(&input.items);
        let long = items.filter(|(_, item)| u64::from(item.max_tokens) >= tokens);
        let runs = long.filter_map(|(state, _)| match state {
            RunState::Running {
                worker: at, stop, ..
            } if at.as_ref() == worker => Some(stop),
            _ => None,
        });
        let stops = runs.filter(|stop| stop.is_some()).take(max);
        let stops = stops.filter_map(|stop| stop.take());
        stops.filter(|stop| stop.try_send(()).is_ok()).count()
    }

    /// Returns an item that could start on any worker, without suspects if `skip_suspects`.
    pub fn next_ready(&self, skip_suspects: bool, now: Duration) -> Option<usize> {
        let ready = |s: &RunState| matches!(s, RunState::Waiting(after) if *after <= now);
        self.find_item(ready, skip_suspects)
    }

    fn find_item(&self, ready: impl Fn(&RunState) -> bool, skip_suspects: bool) -> Option<usize> {
        let mut items = self.states.iter().enumerate();
        let found = items.find(|(i, s)| ready(s) && !(skip_suspects && self.is_suspect(*i)));
        found.map(|(i, _)| i)
    }

    fn is_suspect(&self, item: usize) -> bool {
        self.holder.record().items[item].is_suspect()
    }

    /// Starts or resumes a run. Returns `None` if the item must not run. `fresh` is the start of a new
    /// run.
    pub fn launch(&mut self, item: usize, fresh: Partial) -> Option<Launch> {
        let resume = matches!(self.states[item], RunState::Paused { .. });
        if !resume && !self.holder.start(item) {
            return None;
        }
        let (sender, stop) = smol::channel::bounded(1);
        let (since, moves) = match &self.states[item] {
            RunState::Paused { since, moves, .. } => (*since, *moves),
            _ => (Duration::ZERO, MAX_FAILED_MOVES),
        };
        let worker = fresh.worker.clone();
        let state = std::mem::replace(&mut self.states[item], RunState::Done);
        let from = match state {
            RunState::Paused { partial, .. } => partial,
            _ => fresh,
        };
        self.states[item] = RunState::Running {
            worker,
            stop: Some(sender),
            fault: from.fault,
            since,
            moves,
        };
        Some(Launch { from, resume, stop })
    }

    /// Handles the end of a run.
    pub fn run_ended(
        &mut self,
        item: usize,
        end: RunEnd,
        now: Duration,
        rng: &mut fastrand::Rng,
    ) -> RunReport {
        match end {
            RunEnd::Done(text) => {
                self.holder.finish(item, Outcome::Done { text });
                self.requeue(item, now, RunReport::Done)
            }
            RunEnd::Rejected(reason) => {
                self.holder.finish(item, Outcome::failed(&reason));
                self.requeue(item, now, RunReport::Failed(reason))
            }
            RunEnd::Failed(reason) => {
                self.holder.count_attempt(item, &reason);
                let after = now + self.backoffs[item].fail(rng);
                self.requeue(item, after, RunReport::Failed(reason))
            }
            RunEnd::NotRun => {
                self.holder.clear_start(item, false);
                let after = now + self.backoffs[item].fail(rng);
                self.requeue(item, after, RunReport::WorkerFailed)
            }
            RunEnd::Lost => self.on_loss(item, now, rng),
            RunEnd::Gone if self.fault(item) != Fault::None => self.on_loss(item, now, rng),
            RunEnd::Gone => {
                self.holder.clear_start(item, true);
                self.requeue(item, now, RunReport::Requeued)
            }
            RunEnd::Stopped { partial, healthy } => self.pause(item, partial, healthy, now, rng),
            RunEnd::Unmoved { partial, failure } => self.keep_paused(item, partial, failure, now),
        }
    }

    /// Requeues paused items whose worker is gone, or has had no capacity for too long.
    ///
    /// A silent worker that is still listed may only be disconnected, which counts as no loss.
    pub fn expire(
        &mut self,
        now: Duration,
        rng: &mut fastrand::Rng,
        policy: &Policy,
    ) -> Vec<Expired> {
        let mut expired = Vec::new();
        for item in 0..self.states.len() {
            let RunState::Paused {
                partial,
                since,
                moves,
                ..
            } = &self.states[item]
            else {
                continue;
            };
            if now < *since + self.resume_wait(partial, *moves > 0, policy) {
                continue;
            }
            let (worker, listed) = (partial.worker.clone(), policy.source(partial).is_some());
            let report = match partial.fault {
                Fault::Broken => self.on_loss(item, now, rng),
                Fault::Silent if !listed => self.on_loss(item, now, rng),
                _ => {
                    self.holder.clear_start(item, true);
                    self.requeue(item, now, RunReport::Requeued)
                }
            };
            expired.push(Expired {
                item,
                worker,
                report,
            });
        }
        expired
    }

    /// Returns how long a paused item waits before it restarts.
    fn resume_wait(&self, partial: &Partial, movable: bool, policy: &Policy) -> Duration {
        let Some(source) = policy.source(partial) else {
            return Duration::ZERO;
        };
        match self.repeat() {
            Repeat::Never => RESUME_WAIT_NEVER,
            Repeat::Allowed if movable && policy.has_target(partial) => RESUME_WAIT_MOVABLE,
            // A leaving worker accepts no resume.
            Repeat::Allowed if source.leaving => Duration::ZERO,
            Repeat::Allowed => RESUME_WAIT,
        }
    }

    /// Stops all runs. Their ends are still reported.
    pub fn stop_runs(&mut self) {
        for state in &mut self.states {
            if let RunState::Running { stop, .. } = state {
                stop.take();
            }
        }
    }

    fn fault(&self, item: usize) -> Fault {
        match &self.states[item] {
            RunState::Running { fault, .. } => *fault,
            _ => Fault::None,
        }
    }

    /// Requeues an item whose engine was lost. The wait doubles with each loss.
    fn on_loss(&mut self, item: usize, now: Duration, rng: &mut fastrand::Rng) -> RunReport {
        self.holder.count_loss(item);
        let state = &self.holder.record().items[item];
        let doubled = LOSS_WAIT_MIN * (1 << state.losses.saturating_sub(1).min(LOSS_LIMIT));
        if state.is_suspect() && !self.suspects.contains(&item) {
            self.suspects.push(item);
        }
        // Jitter keeps items that lost the same engine from restarting together.
        let after = now + doubled.mul_f64(1.0 + rng.f64());
        self.requeue(item, after, RunReport::WorkerFailed)
    }

    fn pause(
        &mut self,
        item: usize,
        partial: Partial,
        healthy: bool,
        now: Duration,
        rng: &mut fastrand::Rng,
    ) -> RunReport {
        let wait = if healthy {
            Duration::ZERO
        } else {
            self.backoffs[item].fail(rng)
        };
        let since = now;
        self.states[item] = RunState::Paused {
            partial,
            since,
            after: now + wait,
            moves: MAX_FAILED_MOVES,
        };
        if healthy {
            RunReport::Yielded
        } else {
            RunReport::WorkerFailed
        }
    }

    /// Pauses an item again after a failed move. Further moves are allowed only if the target caused
    /// the failure.
    fn keep_paused(
        &mut self,
        item: usize,
        partial: Partial,
        failure: Failure,
        now: Duration,
    ) -> RunReport {
        let (since, moves) = match &self.states[item] {
            RunState::Running { since, moves, .. } => (*since, *moves),
            _ => (now, 0),
        };
        let moves = match failure {
            Failure::Connect => moves,
            Failure::Resume => moves.saturating_sub(1),
            Failure::Export | Failure::Mismatch | Failure::Import => 0,
        };
        self.states[item] = RunState::Paused {
            partial,
            since,
            after: now,
            moves,
        };
        match failure {
            Failure::Connect | Failure::Resume => RunReport::WorkerFailed,
            failure => RunReport::Unmoved(failure),
        }
    }

    /// Requeues an item unless it has an outcome.
    fn requeue(&mut self, item: usize, after: Duration, report: RunReport) -> RunReport {
        let outcome = self.holder.record().items[item].outcome.as_ref();
        self.states[item] = match outcome {
            Some(_) => RunState::Done,
            None => RunState::Waiting(after),
        };
        match (outcome, report) {
            (Some(Outcome::MayHaveRun), _) => RunReport::MayHaveRun,
            (Some(Outcome::Failed { reason }), RunReport::WorkerFailed) => {
                RunReport::Lost(reason.clone())
            }
            (None, RunReport::Failed(_)) => RunReport::Requeued,
            (_, report) => report,
        }
    }
}

/// Builds a request id that is unique to a run.
pub fn request_id(key: &GroupKey, item: usize, rng: &mut fastrand::Rng) -> RequestId {
    format!("{}.{}.{item}.{:016x}", key.job, key.index, rng.u64(..)).into()
}
