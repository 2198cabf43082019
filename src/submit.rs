//! State machine of one submission of a job (pure).

use std::sync::Arc;

use crate::{
    conditional_write::{Call, ConditionalWrite, Reply, WriteStatus},
    ids::Version,
    job_record::{JobRecord, JobState},
};

/// A call that the submission waits for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Op {
    /// Read the job object.
    Read,
    /// Create the job object.
    Create(Arc<JobRecord>),
    /// Update the job object if it still has the version.
    Update(Version, Arc<JobRecord>),
    /// Store the items of all groups; a group that exists is stored.
    Inputs,
}

/// Answer to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The write took effect.
    Written(Version),
    /// The condition failed.
    Conflict,
    /// The write did not take effect.
    Refused,
    /// No answer to a write.
    Unknown,
    /// The job as it was read.
    Found(Version, Arc<JobRecord>),
    /// The job does not exist.
    Absent,
    /// No answer to a read.
    Unavailable,
    /// All inputs are stored.
    Stored,
}

/// How a submission ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// The job is accepted, by this submission or an earlier one, or cancelled since.
    Accepted(Version, Arc<JobRecord>),
    /// The name belongs to another job.
    Conflict,
}

/// When to make the next call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Pace {
    /// At once.
    Now,
    /// After a backoff.
    Backoff,
    /// The submission has ended.
    End(End),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Phase {
    /// Creates the job object in state loading, or opens an abandoned one again.
    Create(ConditionalWrite),
    /// Reads the job object that another submission wrote.
    Look,
    /// Stores the inputs; the job object has this version.
    Inputs(Version),
    /// Makes the job ready.
    Ready(ConditionalWrite),
    /// Has ended.
    Ended,
}

/// One submission of a job.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Submit {
    loading: Arc<JobRecord>,
    ready: Arc<JobRecord>,
    phase: Phase,
}

impl Submit {
    /// Starts a submission. The record is that of the job in state `ready`.
    pub fn new(record: JobRecord) -> Self {
        let loading = JobRecord {
            state: JobState::Loading,
            ..record.clone()
        };
        let token = record.token;
        Self {
            loading: Arc::new(loading),
            ready: Arc::new(record),
            phase: Phase::Create(ConditionalWrite::new(None, token)),
        }
    }

    /// Returns the call that the submission waits for; nothing when it has ended.
    pub fn op(&self) -> Option<Op> {
        match &self.phase {
            Phase::Create(write) => Some(match (write.call(), write.base()) {
                (Call::Write, None) => Op::Create(self.loading.clone()),
                (Call::Write, Some(version)) => Op::Update(version, self.loading.clone()),
                (Call::Read, _) => Op::Read,
            }),
            Phase::Look => Some(Op::Read),
            Phase::Inputs(_) => Some(Op::Inputs),
            Phase::Ready(write) => Some(match (write.call(), write.base()) {
                (Call::Write, Some(version)) => Op::Update(version, self.ready.clone()),
                _ => Op::Read,
            }),
            Phase::Ended => None,
        }
    }

    /// Says whether the job may have been accepted although no answer says so.
    pub fn doubt(&self) -> bool {
        matches!(&self.phase, Phase::Ready(write) if write.uncertain())
    }

    /// Takes the answer to [`Self::op`].
    pub fn answer(&mut self, answer: Answer) -> Pace {
        match (&mut self.phase, answer) {
            (Phase::Look, answer) => self.looked(answer),
            (Phase::Inputs(version), Answer::Stored) => {
                let write = ConditionalWrite::new(Some(*version), self.ready.token);
                self.phase = Phase::Ready(write);
                Pace::Now
            }
            (Phase::Create(write), answer) => {
                match write.reply(reply(&answer, JobState::Loading)) {
                    WriteStatus::Done(version) => self.go(Phase::Inputs(version)),
                    status => self.other(status),
                }
            }
            (Phase::Ready(write), answer) => match write.reply(reply(&answer, JobState::Ready)) {
                WriteStatus::Done(version) => self.end(End::Accepted(version, self.ready.clone())),
                status => self.other(status),
            },
            (Phase::Inputs(_) | Phase::Ended, _) => Pace::Backoff,
        }
    }

    fn looked(&mut self, answer: Answer) -> Pace {
        match answer {
            Answer::Found(_, found) if found.digest != self.ready.digest => self.end(End::Conflict),
            Answer::Found(version, found) if found.state == JobState::Loading => {
                self.go(Phase::Inputs(version))
            }
            Answer::Found(version, found) if found.state == JobState::Abandoned => {
                let write = ConditionalWrite::new(Some(version), self.ready.token);
                self.go(Phase::Create(write))
            }
            Answer::Found(version, found) => self.end(End::Accepted(version, found)),
            Answer::Absent => self.go(Phase::Create(ConditionalWrite::new(None, self.ready.token))),
            _ => Pace::Backoff,
        }
    }

    fn other(&mut self, status: WriteStatus) -> Pace {
        match status {
            WriteStatus::Continue => Pace::Now,
            WriteStatus::Lost => self.go(Phase::Look),
            _ => Pace::Backoff,
        }
    }

    fn go(&mut self, phase: Phase) -> Pace {
        self.phase = phase;
        Pace::Now
    }

    fn end(&mut self, end: End) -> Pace {
        self.phase = Phase::Ended;
        Pace::End(end)
    }
}

/// Turns an answer into that of a write. The token of a submission stands for both states of its
/// job object, so that a read-back compares the state too.
fn reply(answer: &Answer, state: JobState) -> Reply {
    match answer {
        Answer::Written(version) => Reply::Written(*version),
        Answer::Conflict => Reply::Conflict,
        Answer::Refused => Reply::Refused,
        Answer::Unknown => Reply::Unknown,
        Answer::Found(version, found) => Reply::Found {
            version: *version,
            token: if found.state == state { found.token } else { 0 },
        },
        Answer::Absent => Reply::Absent,
        Answer::Unavailable | Answer::Stored => Reply::Unavailable,
    }
}
