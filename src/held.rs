//! A group that this instance looks at or holds, with the runs of its items (pure).

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

/// First span of the backoff between calls of the object service for a group.
const CALL_FIRST: Duration = Duration::from_millis(50);
/// Longest span of the backoff between calls of the object service for a group.
const CALL_MOST: Duration = Duration::from_secs(5);
/// First span of the backoff between runs of an item.
const ITEM_FIRST: Duration = Duration::from_millis(100);
/// Longest span of the backoff between runs of an item.
const ITEM_MOST: Duration = Duration::from_secs(60);
/// Least wait after the first loss of an engine; it doubles with each further one. All losses of
/// an item take over two minutes, so that an engine which fails and starts again and again for
/// another reason does not end the items that it is given.
const LOSS_FIRST: Duration = Duration::from_secs(1);
/// How long a stopped stream waits for its worker to have room again, before it starts anew on
/// another worker.
const RESUME_WAIT: Duration = Duration::from_secs(10);
/// The same for an item that may not be repeated and would end in doubt.
const RESUME_WAIT_NEVER: Duration = Duration::from_secs(120);
/// The same for a stream that may also go on at another worker. Starting anew would wait for the
/// same room; after so long the engine has hardly kept the state.
const RESUME_WAIT_MOVABLE: Duration = Duration::from_secs(60);
/// Moves of a stopped stream at most that end at a worker which does not go on with it. Without a
/// limit, workers that take states and never resume them would keep the item from starting anew.
const MOVES_MOST: u8 = 3;

/// Where an item stands.
#[derive(Debug)]
enum Slot {
    /// May start after a time.
    Waiting(Duration),
    /// Runs on a worker; closing the channel stops it. `since` and `moves` are those of the stop
    /// that it goes on from.
    Running {
        worker: WorkerId,
        stop: Option<Sender<()>>,
        /// Fault of the connection before the run was resumed.
        fault: Fault,
        since: Duration,
        moves: u8,
    },
    /// Was stopped and may be resumed on its worker, or on another one while moves are left.
    Paused {
        partial: Partial,
        since: Duration,
        after: Duration,
        moves: u8,
    },
    /// Has its outcome.
    Done,
}

/// What an item's run came to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Note {
    /// Nothing to tell.
    Quiet,
    /// The item completed.
    Done,
    /// The item yielded and keeps its text.
    Yielded,
    /// The item failed for good.
    Failed(Arc<str>),
    /// The item failed for good with the loss of an engine.
    Lost(Arc<str>),
    /// The item may not be repeated, and whether it ran is not known.
    Doubt,
    /// The item could not be moved to the worker, which is not at fault.
    Unmoved(Failure),
    /// The worker did not do its part.
    WorkerFailed,
}

/// A stopped stream that was given up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Expired {
    /// Number of the item inside the group.
    pub item: usize,
    /// Worker that had the stream.
    pub worker: WorkerId,
    /// What the run came to.
    pub note: Note,
}

/// What a run starts from.
#[derive(Debug)]
pub struct Launch {
    /// Where to start, or to continue.
    pub from: Partial,
    /// Whether to continue.
    pub resume: bool,
    /// Closes when the run must stop.
    pub stop: Receiver<()>,
}

/// A group that this instance looks at or holds.
#[derive(Debug)]
pub struct Held {
    /// The group.
    pub key: GroupKey,
    /// Its job.
    pub job: Arc<JobRecord>,
    /// Tells runs of this claim from those of an earlier one.
    pub epoch: u64,
    /// Claim and results.
    pub holder: Holder,
    /// Items, once they were read.
    pub input: Option<Arc<InputRecord>>,
    /// Whether a call is under way.
    pub busy: bool,
    /// Time of the next call.
    pub retry: Duration,
    /// Backoff of calls.
    pub backoff: Backoff,
    /// Time of the last checkpoint, or of the claim.
    pub saved: Duration,
    /// Whether the claim must be checked before more items start.
    pub recheck: bool,
    /// Whether the group belongs to a cancelled job and is only taken over, once its holder is
    /// gone, to end its items.
    pub settle: bool,
    /// Holder from whom the group is taken over.
    pub from: Option<Claim>,
    slots: Vec<Slot>,
    waits: Vec<Backoff>,
    suspects: Vec<usize>,
}

impl Held {
    /// Starts to look at a group.
    pub fn new(key: GroupKey, job: Arc<JobRecord>, me: Claim, epoch: u64, now: Duration) -> Self {
        let repeat = job.repeat(key.index);
        Self {
            key,
            job,
            epoch,
            holder: Holder::new(me, repeat),
            input: None,
            busy: false,
            retry: Duration::ZERO,
            backoff: Backoff::new(CALL_FIRST, CALL_MOST),
            saved: now,
            recheck: false,
            settle: false,
            from: None,
            slots: Vec::new(),
            waits: Vec::new(),
            suspects: Vec::new(),
        }
    }

    /// Returns the model.
    pub fn model(&self) -> &ModelId {
        &self.job.model
    }

    /// Returns whether the items may be repeated.
    pub fn repeat(&self) -> Repeat {
        self.job.repeat(self.key.index)
    }

    /// Says whether items may start.
    pub fn starts(&self) -> bool {
        self.holder.can_start() && !self.recheck
    }

    /// Makes the items ready to run, once the group is held.
    pub fn prepare(&mut self, now: Duration) {
        let items = self.holder.record().items.iter();
        self.slots = items
            .map(|i| match i.outcome {
                Some(_) => Slot::Done,
                None => Slot::Waiting(now),
            })
            .collect();
        self.waits = vec![Backoff::new(ITEM_FIRST, ITEM_MOST); self.slots.len()];
        self.suspects = (0..self.slots.len()).filter(|&i| self.suspect(i)).collect();
        self.saved = now;
    }

    /// Returns how many items run.
    pub fn running(&self) -> usize {
        let running = self.slots.iter();
        let runs = |s: &&Slot| matches!(s, Slot::Running { .. });
        running.filter(runs).count()
    }

    /// Returns how many items could start now.
    pub fn ready(&self, now: Duration) -> usize {
        let ready = |s: &&Slot| matches!(s, Slot::Waiting(after) if *after <= now);
        self.slots.iter().filter(ready).count()
    }

    /// Says whether an item runs on this worker that may be what its engines were lost by.
    pub fn suspect_on(&self, worker: &str) -> bool {
        let runs = |s: &Slot| matches!(s, Slot::Running { worker: w, .. } if w.as_ref() == worker);
        self.suspects.iter().any(|&i| runs(&self.slots[i]))
    }

    /// Returns an item that was stopped on this worker. With `calm` it is not a suspect.
    pub fn paused_on(&self, worker: &str, calm: bool, now: Duration) -> Option<usize> {
        let ready = |s: &Slot| match s {
            Slot::Paused { partial, after, .. } => {
                partial.worker.as_ref() == worker && *after <= now
            }
            _ => false,
        };
        self.first(ready, calm)
    }

    /// Returns an item that was stopped on another worker and may go on at this one for a cause.
    /// With `calm` it is not a suspect.
    pub fn movable_to(
        &self,
        target: &WorkerInfo,
        now: Duration,
        policy: &Policy,
        cause: Cause,
        calm: bool,
    ) -> Option<usize> {
        if self.repeat() == Repeat::Never {
            return None;
        }
        let movable = |s: &Slot| match s {
            Slot::Paused {
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
        self.first(movable, calm)
    }

    /// Returns where the state of a stopped item is.
    pub fn partial(&self, item: usize) -> Option<&Partial> {
        match &self.slots[item] {
            Slot::Paused { partial, .. } => Some(partial),
            _ => None,
        }
    }

    /// Returns how many items of a worker have stopped and may be moved.
    pub fn stopped_on(&self, worker: &str) -> usize {
        let stopped = |s: &&Slot| match s {
            Slot::Paused { partial, moves, .. } => *moves > 0 && partial.worker.as_ref() == worker,
            _ => false,
        };
        self.slots.iter().filter(stopped).count()
    }

    /// Returns how many items of a worker were told to stop and have not stopped yet.
    pub fn stopping_on(&self, worker: &str) -> usize {
        let stopping = |s: &&Slot| match s {
            Slot::Running {
                worker: at, stop, ..
            } => stop.is_none() && at.as_ref() == worker,
            _ => false,
        };
        self.slots.iter().filter(stopping).count()
    }

    /// Stops up to a number of repeatable items that run on a worker and are long enough to be
    /// moved; returns how many.
    pub fn stop_on(&mut self, worker: &str, most: usize, tokens: u64) -> usize {
        let Some(input) = self
            .input
            .as_ref()
            .filter(|_| self.repeat() == Repeat::Allowed)
        else {
            return 0;
        };
        let items = self.slots.iter_mut().zip(&input.items);
        let long = items.filter(|(_, item)| u64::from(item.max_tokens) >= tokens);
        let runs = long.filter_map(|(slot, _)| match slot {
            Slot::Running {
                worker: at, stop, ..
            } if at.as_ref() == worker => Some(stop),
            _ => None,
        });
        let stops = runs.filter(|stop| stop.is_some()).take(most);
        let stops = stops.filter_map(|stop| stop.take());
        stops.filter(|stop| stop.try_send(()).is_ok()).count()
    }

    /// Returns an item that could start on any worker. With `calm` it is not a suspect.
    pub fn next_ready(&self, calm: bool, now: Duration) -> Option<usize> {
        let ready = |s: &Slot| matches!(s, Slot::Waiting(after) if *after <= now);
        self.first(ready, calm)
    }

    fn first(&self, ready: impl Fn(&Slot) -> bool, calm: bool) -> Option<usize> {
        let mut items = self.slots.iter().enumerate();
        let found = items.find(|(i, s)| ready(s) && !(calm && self.suspect(*i)));
        found.map(|(i, _)| i)
    }

    fn suspect(&self, item: usize) -> bool {
        self.holder.record().items[item].suspect()
    }

    /// Starts a run; nothing when the item must not run. `fresh` is where a run begins anew.
    pub fn launch(&mut self, item: usize, fresh: Partial) -> Option<Launch> {
        let resume = matches!(self.slots[item], Slot::Paused { .. });
        if !resume && !self.holder.start(item) {
            return None;
        }
        let (sender, stop) = smol::channel::bounded(1);
        let (since, moves) = match &self.slots[item] {
            Slot::Paused { since, moves, .. } => (*since, *moves),
            _ => (Duration::ZERO, MOVES_MOST),
        };
        let worker = fresh.worker.clone();
        let slot = std::mem::replace(&mut self.slots[item], Slot::Done);
        let from = match slot {
            Slot::Paused { partial, .. } => partial,
            _ => fresh,
        };
        self.slots[item] = Slot::Running {
            worker,
            stop: Some(sender),
            fault: from.fault,
            since,
            moves,
        };
        Some(Launch { from, resume, stop })
    }

    /// Takes the end of a run.
    pub fn ended(
        &mut self,
        item: usize,
        end: RunEnd,
        now: Duration,
        rng: &mut fastrand::Rng,
    ) -> Note {
        match end {
            RunEnd::Done(text) => {
                self.holder.finish(item, Outcome::Done { text });
                self.close(item, now, Note::Done)
            }
            RunEnd::Rejected(reason) => {
                self.holder.finish(item, Outcome::failed(&reason));
                self.close(item, now, Note::Failed(reason))
            }
            RunEnd::Failed(reason) => {
                self.holder.count_attempt(item, &reason);
                let after = now + self.waits[item].fail(rng);
                self.close(item, after, Note::Failed(reason))
            }
            RunEnd::NotRun => {
                self.holder.clear_start(item, false);
                let after = now + self.waits[item].fail(rng);
                self.close(item, after, Note::WorkerFailed)
            }
            RunEnd::Lost => self.lose(item, now, rng),
            RunEnd::Gone if self.fault(item) != Fault::None => self.lose(item, now, rng),
            RunEnd::Gone => {
                self.holder.clear_start(item, true);
                self.close(item, now, Note::Quiet)
            }
            RunEnd::Stopped { partial, healthy } => self.pause(item, partial, healthy, now, rng),
            RunEnd::Unmoved { partial, failure } => self.stay(item, partial, failure, now),
        }
    }

    /// Gives up stopped streams whose worker is gone, or has had no room for too long.
    ///
    /// A worker that fell silent and is still there may only be cut off, which is no loss.
    pub fn expire(
        &mut self,
        now: Duration,
        rng: &mut fastrand::Rng,
        policy: &Policy,
    ) -> Vec<Expired> {
        let mut expired = Vec::new();
        for item in 0..self.slots.len() {
            let Slot::Paused {
                partial,
                since,
                moves,
                ..
            } = &self.slots[item]
            else {
                continue;
            };
            if now < *since + self.resume_wait(partial, *moves > 0, policy) {
                continue;
            }
            let (worker, there) = (partial.worker.clone(), policy.home(partial).is_some());
            let note = match partial.fault {
                Fault::Broken => self.lose(item, now, rng),
                Fault::Silent if !there => self.lose(item, now, rng),
                _ => {
                    self.holder.clear_start(item, true);
                    self.close(item, now, Note::Quiet)
                }
            };
            expired.push(Expired { item, worker, note });
        }
        expired
    }

    /// Returns how long a stopped stream waits before it starts anew.
    fn resume_wait(&self, partial: &Partial, movable: bool, policy: &Policy) -> Duration {
        let Some(home) = policy.home(partial) else {
            return Duration::ZERO;
        };
        match self.repeat() {
            Repeat::Never => RESUME_WAIT_NEVER,
            Repeat::Allowed if movable && policy.has_target(partial) => RESUME_WAIT_MOVABLE,
            // A leaving worker takes no resume.
            Repeat::Allowed if home.leaving => Duration::ZERO,
            Repeat::Allowed => RESUME_WAIT,
        }
    }

    /// Stops all runs. Their ends still arrive.
    pub fn stop_runs(&mut self) {
        for slot in &mut self.slots {
            if let Slot::Running { stop, .. } = slot {
                stop.take();
            }
        }
    }

    fn fault(&self, item: usize) -> Fault {
        match &self.slots[item] {
            Slot::Running { fault, .. } => *fault,
            _ => Fault::None,
        }
    }

    /// Puts an item back whose engine was lost, for longer with each loss.
    fn lose(&mut self, item: usize, now: Duration, rng: &mut fastrand::Rng) -> Note {
        self.holder.count_loss(item);
        let state = &self.holder.record().items[item];
        let doubled = LOSS_FIRST * (1 << state.losses.saturating_sub(1).min(LOSS_LIMIT));
        if state.suspect() && !self.suspects.contains(&item) {
            self.suspects.push(item);
        }
        // Jitter keeps the items that lost an engine together from coming back together.
        let after = now + doubled.mul_f64(1.0 + rng.f64());
        self.close(item, after, Note::WorkerFailed)
    }

    fn pause(
        &mut self,
        item: usize,
        partial: Partial,
        healthy: bool,
        now: Duration,
        rng: &mut fastrand::Rng,
    ) -> Note {
        let wait = if healthy {
            Duration::ZERO
        } else {
            self.waits[item].fail(rng)
        };
        let since = now;
        self.slots[item] = Slot::Paused {
            partial,
            since,
            after: now + wait,
            moves: MOVES_MOST,
        };
        if healthy {
            Note::Yielded
        } else {
            Note::WorkerFailed
        }
    }

    /// Leaves an item where it was after a move that failed. Another worker may take it only when
    /// the target was at fault.
    fn stay(&mut self, item: usize, partial: Partial, failure: Failure, now: Duration) -> Note {
        let (since, moves) = match &self.slots[item] {
            Slot::Running { since, moves, .. } => (*since, *moves),
            _ => (now, 0),
        };
        let moves = match failure {
            Failure::Connect => moves,
            Failure::Resume => moves.saturating_sub(1),
            Failure::Export | Failure::Unfit | Failure::Import => 0,
        };
        self.slots[item] = Slot::Paused {
            partial,
            since,
            after: now,
            moves,
        };
        match failure {
            Failure::Connect | Failure::Resume => Note::WorkerFailed,
            failure => Note::Unmoved(failure),
        }
    }

    /// Puts an item back unless it has its outcome.
    fn close(&mut self, item: usize, after: Duration, note: Note) -> Note {
        let outcome = self.holder.record().items[item].outcome.as_ref();
        self.slots[item] = match outcome {
            Some(_) => Slot::Done,
            None => Slot::Waiting(after),
        };
        match (outcome, note) {
            (Some(Outcome::MayHaveRun), _) => Note::Doubt,
            (Some(Outcome::Failed { reason }), Note::WorkerFailed) => Note::Lost(reason.clone()),
            (None, Note::Failed(_)) => Note::Quiet,
            (_, note) => note,
        }
    }
}

/// Builds the id of a request, new for each run.
pub fn request_id(key: &GroupKey, item: usize, rng: &mut fastrand::Rng) -> RequestId {
    format!("{}.{}.{item}.{:016x}", key.job, key.index, rng.u64(..)).into()
}
