//! State machine of one group at one instance: claim, run, checkpoint, commit, release (pure).

use std::sync::Arc;

use crate::{
    conditional_write::{Call, ConditionalWrite, Progress, Reply},
    ids::Version,
    job_record::{
        ATTEMPT_LIMIT, Claim, GroupRecord, ItemState, LOSS_LIMIT, Outcome, Repeat, WriteToken,
    },
};

/// A call of the object service that the machine waits for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Op {
    /// Read the group.
    Read,
    /// Create the group.
    Create(Arc<GroupRecord>),
    /// Update the group if it still has the version.
    Update(Version, Arc<GroupRecord>),
}

/// Answer of the object service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The write took effect.
    Written(Version),
    /// The condition failed.
    Conflict,
    /// The write did not take effect.
    Refused,
    /// The value is over the size limit.
    TooLarge,
    /// No answer to a write.
    Unknown,
    /// The group as it was read.
    Found(Version, Arc<GroupRecord>),
    /// The group does not exist.
    Absent,
    /// No answer to a read.
    Unavailable,
}

/// Where the machine stands.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Phase {
    /// Reads the group.
    Look,
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
    /// Holds the group and checks by a read that it still does.
    Checking,
    /// Writes the last record: all items have an outcome, or the claim is given back.
    Closing,
    /// All items have an outcome in the object service.
    Finished,
    /// The claim was given back with items left.
    Released,
    /// Another instance has the group, or it was not claimed.
    Lost,
}

/// When to make the next call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pace {
    /// At once, if there is one.
    Now,
    /// After a backoff.
    Backoff,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Write {
    settle: ConditionalWrite,
    record: Arc<GroupRecord>,
}

/// One group at one instance.
///
/// Outcomes that are in the object service never change: a takeover copies them, and a commit is
/// conditional on the version that the holder last saw.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Holder {
    me: Claim,
    repeat: Repeat,
    phase: Phase,
    version: Option<Version>,
    record: GroupRecord,
    write: Option<Write>,
    started: Vec<bool>,
    stored: Vec<bool>,
    dirty: bool,
    stopping: bool,
}

impl Holder {
    /// Starts to look at a group.
    pub fn new(me: Claim, repeat: Repeat) -> Self {
        Self {
            me,
            repeat,
            phase: Phase::Look,
            version: None,
            record: GroupRecord::default(),
            write: None,
            started: Vec::new(),
            stored: Vec::new(),
            dirty: false,
            stopping: false,
        }
    }

    /// Returns where the machine stands.
    pub fn phase(&self) -> &Phase {
        &self.phase
    }

    /// Returns the record with local results.
    pub fn record(&self) -> &GroupRecord {
        &self.record
    }

    /// Says whether there are local results that no write carries yet.
    pub fn dirty(&self) -> bool {
        self.dirty
    }

    /// Says whether the instance holds the group as far as it knows.
    pub fn holds(&self) -> bool {
        use Phase::{Checking, Closing, Held, Saving};
        matches!(self.phase, Held | Saving | Checking | Closing)
    }

    /// Returns the call that the machine waits for.
    pub fn op(&self) -> Option<Op> {
        match (&self.phase, &self.write) {
            (Phase::Look | Phase::Checking, _) => Some(Op::Read),
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
        self.record.claim = (!self.record.finished()).then(|| self.me.clone());
        self.begin_write(Phase::Claiming, token);
    }

    /// Says whether items may start.
    pub fn starts(&self) -> bool {
        matches!(self.phase, Phase::Held | Phase::Saving) && !self.stopping
    }

    /// Marks an item as running; false when it must not run.
    pub fn start(&mut self, item: usize) -> bool {
        let free = self
            .record
            .items
            .get(item)
            .is_some_and(|i| i.outcome.is_none());
        if !self.starts() || !free || self.started[item] {
            return false;
        }
        self.started[item] = true;
        true
    }

    /// Takes back a start whose run did not happen, or may happen again.
    ///
    /// With `ran` a non-repeatable item ends in doubt, because it may have run.
    pub fn unstart(&mut self, item: usize, ran: bool) {
        if ran && self.repeat == Repeat::Never {
            self.finish(item, Outcome::MayHaveRun);
        } else if let Some(started) = self.started.get_mut(item) {
            *started = false;
        }
    }

    /// Counts a failed attempt on a healthy engine; the last one ends the item.
    pub fn attempt(&mut self, item: usize, reason: &str) {
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
        self.unstart(item, true);
    }

    /// Counts an engine that was lost while it ran the item; the last one ends the item.
    pub fn lose(&mut self, item: usize) {
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
        self.unstart(item, true);
    }

    /// Sets the outcome of an item, once.
    pub fn finish(&mut self, item: usize, outcome: Outcome) {
        let Some(state) = self.record.items.get_mut(item) else {
            return;
        };
        if state.outcome.is_none() {
            state.outcome = Some(outcome);
            self.dirty = true;
        }
    }

    /// Starts no more items. With `cancelled` the items of a held group that are not finished end as cancelled.
    pub fn stop(&mut self, cancelled: bool) {
        self.stopping = true;
        if !cancelled || !self.holds() {
            return;
        }
        for item in 0..self.record.items.len() {
            self.finish(item, self.cancel_outcome(item));
        }
    }

    /// Writes the local results and keeps the claim; the last write once all items have outcomes.
    pub fn save(&mut self, token: WriteToken) {
        if self.phase != Phase::Held {
            return;
        }
        let finished = self.record.finished();
        self.record.claim = (!finished).then(|| self.me.clone());
        let phase = if finished {
            Phase::Closing
        } else {
            Phase::Saving
        };
        self.begin_write(phase, token);
    }

    /// Writes the local results and gives the claim back. Non-repeatable items that were started
    /// and have not ended are in doubt.
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

    /// Checks by a read that the claim still stands, before more items are started.
    pub fn check(&mut self) {
        if self.phase == Phase::Held {
            self.phase = Phase::Checking;
        }
    }

    /// Takes the answer to [`Self::op`].
    pub fn answer(&mut self, answer: Answer, token: WriteToken) -> Pace {
        match self.phase {
            Phase::Look => self.looked(answer),
            Phase::Checking => self.checked(answer),
            Phase::Claiming | Phase::Saving | Phase::Closing => self.wrote(answer, token),
            _ => Pace::Now,
        }
    }

    fn looked(&mut self, answer: Answer) -> Pace {
        match answer {
            Answer::Absent => self.phase = Phase::Free,
            Answer::Found(version, record) => {
                self.version = Some(version);
                self.record = Arc::unwrap_or_clone(record);
                self.phase = self.seen();
            }
            _ => return Pace::Backoff,
        }
        Pace::Now
    }

    fn seen(&self) -> Phase {
        if self.record.finished() {
            return Phase::Finished;
        }
        match &self.record.claim {
            // A claim of this run that the machine does not hold is busy as well: it may stem from
            // a machine that started items, so that taking it over leaves them in doubt.
            Some(claim) => Phase::Busy(claim.clone()),
            None => Phase::Free,
        }
    }

    fn checked(&mut self, answer: Answer) -> Pace {
        match answer {
            Answer::Found(version, _) if Some(version) == self.version => {
                self.phase = Phase::Held;
            }
            Answer::Found(..) | Answer::Absent => self.phase = Phase::Lost,
            _ => return Pace::Backoff,
        }
        Pace::Now
    }

    fn wrote(&mut self, answer: Answer, token: WriteToken) -> Pace {
        let Some(write) = &mut self.write else {
            return Pace::Now;
        };
        match write.settle.reply(reply(&answer)) {
            Progress::Again => Pace::Now,
            Progress::Later => self.retry(),
            Progress::Done(version) => {
                self.version = Some(version);
                self.ended()
            }
            Progress::Lost => self.close(Phase::Lost),
            Progress::TooLarge => self.shrink(token),
        }
    }

    /// A claim that was refused is dropped, so that nothing is claimed during an outage. One that
    /// may still take effect is carried on.
    fn retry(&mut self) -> Pace {
        let doubt = self.write.as_ref().is_some_and(|w| w.settle.doubt());
        if self.phase == Phase::Claiming && !doubt {
            return self.close(Phase::Lost);
        }
        Pace::Backoff
    }

    fn ended(&mut self) -> Pace {
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

    /// Replaces the longest result that is not stored yet, so that the group's other results can be stored.
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
        self.write = Some(Write {
            settle: ConditionalWrite::new(self.version, token),
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

impl Write {
    fn op(&self) -> Op {
        match (self.settle.call(), self.settle.base()) {
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
