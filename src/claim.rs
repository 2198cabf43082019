//! State machine of one group at one instance: claim, run, checkpoint, commit and release (pure).

use std::sync::Arc;

use crate::{
    conditional_write::{Call, ConditionalWrite, Reply, WriteStatus},
    ids::Version,
    job_record::{
        ATTEMPT_LIMIT, Claim, GroupRecord, ItemState, LOSS_LIMIT, Outcome, Repeat, WriteToken,
    },
};

/// A call to the object service that the state machine waits for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Op {
    /// Read the group.
    Read,
    /// Create the group.
    Create(Arc<GroupRecord>),
    /// Update the group if it still has this version.
    Update(Version, Arc<GroupRecord>),
}

/// Answer of the object service to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The write took effect.
    Written(Version),
    /// The condition of the write failed.
    Conflict,
    /// The service refused the write; it did not take effect.
    Refused,
    /// The value is over the size limit.
    TooLarge,
    /// The service did not answer a write, which may have taken effect.
    Unknown,
    /// The group exists.
    Found(Version, Arc<GroupRecord>),
    /// The group does not exist.
    Absent,
    /// The service did not answer a read.
    Unavailable,
}

/// Phase of the state machine.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Phase {
    /// Reads the group.
    Reading,
    /// The group can be claimed with [`Holder::claim`].
    Free,
    /// Another instance holds the group; [`Holder::claim`] takes it over once its lease has
    /// expired.
    Busy(Claim),
    /// Writes the claim.
    Claiming,
    /// Holds the group.
    Held,
    /// Holds the group and writes a checkpoint.
    Saving,
    /// Holds the group and reads it to check that the claim is still valid.
    Checking,
    /// Writes the last record: all items have an outcome, or the claim is released.
    Closing,
    /// The object service has an outcome for every item.
    Finished,
    /// The claim was released with unfinished items.
    Released,
    /// Another instance holds the group, or the claim was not written.
    Lost,
}

/// When to make the next call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pace {
    /// At once, if there is a call.
    Now,
    /// After a backoff.
    Backoff,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct PendingWrite {
    conditional: ConditionalWrite,
    record: Arc<GroupRecord>,
}

/// State of one group at one instance.
///
/// Outcomes in the object service never change: a takeover copies them, and a commit is conditional
/// on the version that the holder last read or wrote.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Holder {
    identity: Claim,
    repeat: Repeat,
    phase: Phase,
    version: Option<Version>,
    record: GroupRecord,
    write: Option<PendingWrite>,
    started: Vec<bool>,
    stored: Vec<bool>,
    dirty: bool,
    stopping: bool,
}

impl Holder {
    /// Creates a state machine that begins by reading the group. `identity` is the claim to write.
    pub fn new(identity: Claim, repeat: Repeat) -> Self {
        Self {
            identity,
            repeat,
            phase: Phase::Reading,
            version: None,
            record: GroupRecord::default(),
            write: None,
            started: Vec::new(),
            stored: Vec::new(),
            dirty: false,
            stopping: false,
        }
    }

    /// Returns the current phase.
    pub fn phase(&self) -> &Phase {
        &self.phase
    }

    /// Returns the record, including local results that are not written yet.
    pub fn record(&self) -> &GroupRecord {
        &self.record
    }

    /// Returns whether there are local results that no write includes yet.
    pub fn dirty(&self) -> bool {
        self.dirty
    }

    /// Returns whether the instance holds the group, unless another one took it over unnoticed.
    pub fn holds(&self) -> bool {
        use Phase::{Checking, Closing, Held, Saving};
        matches!(self.phase, Held | Saving | Checking | Closing)
    }

    /// Returns the call that the state machine waits for, if any.
    pub fn op(&self) -> Option<Op> {
        match (&self.phase, &self.write) {
            (Phase::Reading | Phase::Checking, _) => Some(Op::Read),
            (Phase::Claiming | Phase::Saving | Phase::Closing, Some(w)) => Some(w.op()),
            _ => None,
        }
    }

    /// Claims a free group of `count` items, or takes over one whose holder's lease has expired.
    pub fn claim(&mut self, count: usize, token: WriteToken) {
        let takeover = matches!(self.phase, Phase::Busy(_));
        if !takeover && self.phase != Phase::Free {
            return;
        }
        self.record.items.resize(count, ItemState::default());
        self.mark_stored();
        if takeover && self.repeat == Repeat::Never {
            let open = self.record.items.iter_mut();
            for item in open.filter(|i| i.outcome.is_none()) {
                item.outcome = Some(Outcome::MayHaveRun);
            }
        }
        self.started = vec![false; count];
        self.record.claim = (!self.record.finished()).then(|| self.identity.clone());
        self.begin_write(Phase::Claiming, token);
    }

    /// Returns whether items may start.
    pub fn can_start(&self) -> bool {
        matches!(self.phase, Phase::Held | Phase::Saving) && !self.stopping
    }

    /// Marks an item as started. Returns `false` if it must not run.
    pub fn start(&mut self, item: usize) -> bool {
        let free = self
            .record
            .items
            .get(item)
            .is_some_and(|i| i.outcome.is_none());
        if !self.can_start() || !free || self.started[item] {
            return false;
        }
        self.started[item] = true;
        true
    }

    /// Clears the start mark of an item that did not run, or that may run again.
    ///
    /// With `ran`, a non-repeatable item ends as [`Outcome::MayHaveRun`].
    pub fn clear_start(&mut self, item: usize, ran: bool) {
        if ran && self.repeat == Repeat::Never {
            self.finish(item, Outcome::MayHaveRun);
        } else if let Some(started) = self.started.get_mut(item) {
            *started = false;
        }
    }

    /// Counts a failed attempt on a healthy engine. The item fails at the attempt limit.
    pub fn count_attempt(&mut self, item: usize, reason: &str) {
        if !self.holds() || self.record.items[item].outcome.is_some() {
            return;
        }
        let attempts = &mut self.record.items[item].attempts;
        *attempts += 1;
        let spent = *attempts >= ATTEMPT_LIMIT;
        self.dirty = true;
        if spent && self.repeat == Repeat::Allowed {
            self.finish(item, Outcome::failed(reason));
        }
        self.clear_start(item, true);
    }

    /// Counts the loss of an engine that ran the item. The item fails at the loss limit.
    pub fn count_loss(&mut self, item: usize) {
        if !self.holds() || self.record.items[item].outcome.is_some() {
            return;
        }
        if self.repeat == Repeat::Allowed {
            let losses = &mut self.record.items[item].losses;
            *losses = losses.saturating_add(1);
            let spent = *losses >= LOSS_LIMIT;
            self.dirty = true;
            if spent {
                self.finish(item, Outcome::failed(&too_many_losses()));
            }
        }
        self.clear_start(item, true);
    }

    /// Sets the outcome of an item, unless it has one.
    pub fn finish(&mut self, item: usize, outcome: Outcome) {
        let Some(state) = self.record.items.get_mut(item) else {
            return;
        };
        if state.outcome.is_none() {
            state.outcome = Some(outcome);
            self.dirty = true;
        }
    }

    /// Prevents further items from starting. With `cancelled`, unfinished items of a held group end as
    /// cancelled.
    pub fn stop(&mut self, cancelled: bool) {
        self.stopping = true;
        if !cancelled || !self.holds() {
            return;
        }
        for item in 0..self.record.items.len() {
            self.finish(item, self.cancel_outcome(item));
        }
    }

    /// Writes the local results. The claim is kept while items are unfinished.
    pub fn save(&mut self, token: WriteToken) {
        if self.phase != Phase::Held {
            return;
        }
        let finished = self.record.finished();
        self.record.claim = (!finished).then(|| self.identity.clone());
        let phase = if finished {
            Phase::Closing
        } else {
            Phase::Saving
        };
        self.begin_write(phase, token);
    }

    /// Writes the local results and releases the claim. Non-repeatable items that were started and
    /// have not ended get [`Outcome::MayHaveRun`].
    pub fn release(&mut self, token: WriteToken) {
        if self.phase != Phase::Held {
            return;
        }
        self.stopping = true;
        for item in 0..self.record.items.len() {
            if self.started[item] && self.repeat == Repeat::Never {
                self.finish(item, Outcome::MayHaveRun);
            }
        }
        self.record.claim = None;
        self.begin_write(Phase::Closing, token);
    }

    /// Reads the group to check that the claim is still valid, before more items are started.
    pub fn check(&mut self) {
        if self.phase == Phase::Held {
            self.phase = Phase::Checking;
        }
    }

    /// Handles the answer to [`Self::op`].
    pub fn answer(&mut self, answer: Answer, token: WriteToken) -> Pace {
        match self.phase {
            Phase::Reading => self.on_read(answer),
            Phase::Checking => self.on_check(answer),
            Phase::Claiming | Phase::Saving | Phase::Closing => self.on_write(answer, token),
            _ => Pace::Now,
        }
    }

    fn on_read(&mut self, answer: Answer) -> Pace {
        match answer {
            Answer::Absent => self.phase = Phase::Free,
            Answer::Found(version, record) => {
                self.version = Some(version);
                self.record = Arc::unwrap_or_clone(record);
                self.phase = self.phase_after_read();
            }
            _ => return Pace::Backoff,
        }
        Pace::Now
    }

    fn phase_after_read(&self) -> Phase {
        if self.record.finished() {
            return Phase::Finished;
        }
        match &self.record.claim {
            // A claim of this session that is not held here is busy as well: it may come from an
            // earlier state machine that started items, which a takeover must treat as possibly run.
            Some(claim) => Phase::Busy(claim.clone()),
            None => Phase::Free,
        }
    }

    fn on_check(&mut self, answer: Answer) -> Pace {
        match answer {
            Answer::Found(version, _) if Some(version) == self.version => {
                self.phase = Phase::Held;
            }
            Answer::Found(..) | Answer::Absent => self.phase = Phase::Lost,
            _ => return Pace::Backoff,
        }
        Pace::Now
    }

    fn on_write(&mut self, answer: Answer, token: WriteToken) -> Pace {
        let Some(write) = &mut self.write else {
            return Pace::Now;
        };
        match write.conditional.reply(reply(&answer)) {
            WriteStatus::Continue => Pace::Now,
            WriteStatus::Backoff => self.retry(),
            WriteStatus::Done(version) => {
                self.version = Some(version);
                self.on_written()
            }
            WriteStatus::Lost => self.close(Phase::Lost),
            WriteStatus::TooLarge => self.shrink(token),
        }
    }

    /// Drops a claim that was refused, so that nothing is claimed during an outage. A claim that may
    /// have taken effect is retried.
    fn retry(&mut self) -> Pace {
        let uncertain = self
            .write
            .as_ref()
            .is_some_and(|w| w.conditional.uncertain());
        if self.phase == Phase::Claiming && !uncertain {
            return self.close(Phase::Lost);
        }
        Pace::Backoff
    }

    fn on_written(&mut self) -> Pace {
        let Some(write) = self.write.take() else {
            return Pace::Now;
        };
        self.stored = write.record.items.iter().map(has_outcome).collect();
        let kept = write.record.claim.is_some();
        self.phase = match (write.record.finished(), kept) {
            (true, _) => Phase::Finished,
            (_, true) => Phase::Held,
            (_, false) => Phase::Released,
        };
        Pace::Now
    }

    fn close(&mut self, phase: Phase) -> Pace {
        self.write = None;
        self.phase = phase;
        Pace::Now
    }

    /// Replaces the longest result that is not stored yet by a failure, so that the other results of
    /// the group can be stored.
    fn shrink(&mut self, token: WriteToken) -> Pace {
        if self.phase == Phase::Claiming {
            return self.close(Phase::Lost);
        }
        let phase = self.phase.clone();
        let items = self.record.items.iter_mut().zip(&self.stored);
        let open = items.filter(|(i, stored)| !**stored && text_len(i) > 0);
        let Some((item, _)) = open.max_by_key(|(i, _)| text_len(i)) else {
            return Pace::Backoff;
        };
        item.outcome = Some(Outcome::failed("the results are over the size limit"));
        self.begin_write(phase, token);
        Pace::Now
    }

    fn begin_write(&mut self, phase: Phase, token: WriteToken) {
        self.record.token = token;
        self.write = Some(PendingWrite {
            conditional: ConditionalWrite::new(self.version, token),
            record: Arc::new(self.record.clone()),
        });
        self.dirty = false;
        self.phase = phase;
    }

    fn mark_stored(&mut self) {
        self.stored = self.record.items.iter().map(has_outcome).collect();
    }

    fn cancel_outcome(&self, item: usize) -> Outcome {
        match (self.repeat, self.started[item]) {
            (Repeat::Never, true) => Outcome::MayHaveRun,
            _ => Outcome::Cancelled,
        }
    }
}

impl PendingWrite {
    fn op(&self) -> Op {
        match (self.conditional.call(), self.conditional.base()) {
            (Call::Read, _) => Op::Read,
            (Call::Write, None) => Op::Create(self.record.clone()),
            (Call::Write, Some(version)) => Op::Update(version, self.record.clone()),
        }
    }
}

fn reply(answer: &Answer) -> Reply {
    match answer {
        Answer::Written(version) => Reply::Written(*version),
        Answer::Conflict => Reply::Conflict,
        Answer::Refused => Reply::Refused,
        Answer::TooLarge => Reply::TooLarge,
        Answer::Unknown => Reply::Unknown,
        Answer::Found(version, record) => Reply::Found {
            version: *version,
            token: record.token,
        },
        Answer::Absent => Reply::Absent,
        Answer::Unavailable => Reply::Unavailable,
    }
}

fn too_many_losses() -> String {
    format!("{LOSS_LIMIT} workers were lost while they ran the item; it is not run again")
}

fn has_outcome(item: &ItemState) -> bool {
    item.outcome.is_some()
}

fn text_len(item: &ItemState) -> usize {
    match &item.outcome {
        Some(Outcome::Done { text }) => text.len(),
        _ => 0,
    }
}
