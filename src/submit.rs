//! State machine of one submission of a job (pure).

use std::sync::Arc;

use crate::{
    conditional_write::{Call, ConditionalWrite, Reply, WriteStatus},
    ids::Version,
    job_record::{JobRecord, JobState},
};

/// A call that the state machine waits for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Op {
    /// Read the job object.
    Read,
    /// Create the job object.
    Create(Arc<JobRecord>),
    /// Update the job object if it still has this version.
    Update(Version, Arc<JobRecord>),
    /// Store the items of all groups. An existing input object counts as stored.
    Inputs,
}

/// Answer to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The write took effect.
    Written(Version),
    /// The condition of the write failed.
    Conflict,
    /// The service refused the write; it did not take effect.
    Refused,
    /// The service did not answer a write, which may have taken effect.
    Unknown,
    /// The job exists.
    Found(Version, Arc<JobRecord>),
    /// The job does not exist.
    Absent,
    /// The service did not answer a read.
    Unavailable,
    /// All inputs are stored.
    Stored,
}

/// How a submission ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// The job was accepted by this submission or an earlier one, and may have been cancelled since.
    Accepted(Version, Arc<JobRecord>),
    /// The name is in use for a job with other content.
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
    /// Creates the job object in state loading, or reopens an abandoned one.
    Create(ConditionalWrite),
    /// Reads the job object that another submission wrote.
    Read,
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
    /// Creates the state machine. `record` is the record of the job in state `ready`.
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

    /// Returns the call that the state machine waits for, or `None` if it has ended.
    pub fn op(&self) -> Option<Op> {
        match &self.phase {
            Phase::Create(write) => Some(match (write.call(), write.base()) {
                (Call::Write, None) => Op::Create(self.loading.clone()),
                (Call::Write, Some(version)) => Op::Update(version, self.loading.clone()),
                (Call::Read, _) => Op::Read,
            }),
            Phase::Read => Some(Op::Read),
            Phase::Inputs(_) => Some(Op::Inputs),
            Phase::Ready(write) => Some(match (write.call(), write.base()) {
                (Call::Write, Some(version)) => Op::Update(version, self.ready.clone()),
                _ => Op::Read,
            }),
            Phase::Ended => None,
        }
    }

    /// Returns whether the job may have been accepted without an answer that confirms it.
    pub fn maybe_accepted(&self) -> bool {
        matches!(&self.phase, Phase::Ready(write) if write.uncertain())
    }

    /// Handles the answer to [`Self::op`].
    pub fn answer(&mut self, answer: Answer) -> Pace {
        match (&mut self.phase, answer) {
            (Phase::Read, answer) => self.on_read(answer),
            (Phase::Inputs(version), Answer::Stored) => {
                let write = ConditionalWrite::new(Some(*version), self.ready.token);
                self.phase = Phase::Ready(write);
                Pace::Now
            }
            (Phase::Create(write), answer) => {
                match write.reply(reply(&answer, JobState::Loading)) {
                    WriteStatus::Done(version) => self.enter(Phase::Inputs(version)),
                    status => self.on_unfinished(status),
                }
            }
            (Phase::Ready(write), answer) => match write.reply(reply(&answer, JobState::Ready)) {
                WriteStatus::Done(version) => self.end(End::Accepted(version, self.ready.clone())),
                status => self.on_unfinished(status),
            },
            (Phase::Inputs(_) | Phase::Ended, _) => Pace::Backoff,
        }
    }

    fn on_read(&mut self, answer: Answer) -> Pace {
        match answer {
            Answer::Found(_, found) if found.digest != self.ready.digest => self.end(End::Conflict),
            Answer::Found(version, found) if found.state == JobState::Loading => {
                self.enter(Phase::Inputs(version))
            }
            Answer::Found(version, found) if found.state == JobState::Abandoned => {
                let write = ConditionalWrite::new(Some(version), self.ready.token);
                self.enter(Phase::Create(write))
            }
            Answer::Found(version, found) => self.end(End::Accepted(version, found)),
            Answer::Absent => {
                self.enter(Phase::Create(ConditionalWrite::new(None, self.ready.token)))
            }
            _ => Pace::Backoff,
        }
    }

    fn on_unfinished(&mut self, status: WriteStatus) -> Pace {
        match status {
            WriteStatus::Continue => Pace::Now,
            WriteStatus::Lost => self.enter(Phase::Read),
            _ => Pace::Backoff,
        }
    }

    fn enter(&mut self, phase: Phase) -> Pace {
        self.phase = phase;
        Pace::Now
    }

    fn end(&mut self, end: End) -> Pace {
        self.phase = Phase::Ended;
        Pace::End(end)
    }
}

/// Converts an answer to the reply of a conditional write. A submission uses one token for both states
/// of its job object, so a read-back must compare the state too.
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
