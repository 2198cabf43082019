//! State machine for the records of requests that must run at most once, without I/O.
//!
//! The record of a request that is marked as non-repeatable and has an idempotency key is created
//! before the request is sent to a target. A request is sent only while the record contains its own
//! token and is open.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{
    ids::{TeamId, Version},
    platform::{ReadError, WriteError},
    verdict::{Reason, RequestError},
};

/// Maximum size of an answer that is stored in a record, in bytes.
pub const STORED_BYTES: usize = 64 << 10;
/// Maximum number of writes of one answer to its record.
const MAX_CLOSE_WRITES: u32 = 3;
/// Time after which a caller may send a request again while it is still running or its record
/// cannot be accessed.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Record of a request, as stored in the object service.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Record {
    /// Token of the call that created the record.
    pub token: Arc<str>,
    /// Digest of the request's content.
    pub request: Arc<str>,
    /// Whether the request was completed.
    pub done: bool,
    /// Its answer, unless it exceeds the size limit.
    pub answer: Option<StoredAnswer>,
}

/// Answer that is returned to a resend.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Content type.
    pub kind: Arc<str>,
    /// Body.
    pub body: Arc<str>,
}

/// A record that was read, with its version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionedRecord {
    /// Version of the object.
    pub version: Version,
    /// Content; `None` when it cannot be decoded.
    pub record: Option<Record>,
}

/// How the run of a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// It ran and was answered; `None` when the answer cannot be stored.
    Answered(Option<StoredAnswer>),
    /// It did not run.
    NotRun,
    /// It may have run.
    MayHaveRun,
}

/// Result of the last step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StepResult {
    /// Result of a create, update or removal.
    Wrote(Result<Version, WriteError>),
    /// Result of a read.
    Read(Result<Option<VersionedRecord>, ReadError>),
    /// Outcome of the run.
    Ran(Outcome),
}

/// Next step of the driver.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Create the record.
    Create(Record),
    /// Read the record.
    Read,
    /// Update the record.
    Update(Version, Record),
    /// Remove the record.
    Remove(Version),
    /// Send the request to a target, with at most one attempt that may have run.
    Dispatch,
    /// Return the answer of an earlier run.
    Return(StoredAnswer),
    /// Refuse the request.
    Refuse(RequestError),
    /// All steps are done.
    Complete,
}

/// Progress of one non-repeatable request with a key.
#[derive(Debug, Clone)]
pub struct Once {
    token: Arc<str>,
    request: Arc<str>,
    state: State,
}

#[derive(Debug, Clone)]
enum State {
    /// The record is being created.
    Creating,
    /// The result of the create is unknown and the record is read back.
    ReadingBack,
    /// The record existed before and is being read.
    ReadingOther,
    /// The request is running; the record has this version.
    Running(Version),
    /// The answer is being stored.
    Closing(Closing),
    /// The result of the write of the answer is unknown and the record is read back.
    CheckingClose(Closing),
    /// The record is being removed, because the request did not run.
    Removing,
    /// All steps are done.
    Complete,
}

#[derive(Debug, Clone)]
struct Closing {
    version: Version,
    answer: Option<StoredAnswer>,
    writes: u32,
}

impl Once {
    /// Begins a request and returns its first step. `token` must be new for each call; `request` is
    /// the digest of the request's content.
    pub fn begin(token: Arc<str>, request: Arc<str>) -> (Self, Step) {
        let once = Self {
            token,
            request,
            state: State::Creating,
        };
        let step = Step::Create(once.record(false, None));
        (once, step)
    }

    /// Handles the result of the last step and returns the next one.
    pub fn advance(&mut self, result: StepResult) -> Step {
        let state = std::mem::replace(&mut self.state, State::Complete);
        match (state, result) {
            (State::Creating, StepResult::Wrote(result)) => self.created(result),
            (State::ReadingBack, StepResult::Read(result)) => self.read_back(result),
            (State::ReadingOther, StepResult::Read(result)) => self.read_other(result),
            (State::Running(version), StepResult::Ran(outcome)) => self.ran(version, outcome),
            (State::Closing(closing), StepResult::Wrote(result)) => {
                self.close_written(closing, result)
            }
            (State::CheckingClose(closing), StepResult::Read(result)) => {
                self.close_checked(closing, result)
            }
            _ => Step::Complete,
        }
    }

    fn created(&mut self, result: Result<Version, WriteError>) -> Step {
        match result {
            Ok(version) => self.dispatch(version),
            Err(WriteError::Conflict) => self.transition(State::ReadingOther, Step::Read),
            Err(WriteError::Unknown) => self.transition(State::ReadingBack, Step::Read),
            Err(WriteError::Refused | WriteError::TooLarge) => Step::Refuse(record_unavailable()),
        }
    }

    fn read_back(&mut self, result: Result<Option<VersionedRecord>, ReadError>) -> Step {
        match result {
            Ok(Some(found)) => self.evaluate(found),
            // The create may still take effect later. The record then remains open and a resend is
            // refused as may-have-run, which is safe.
            Ok(None) | Err(_) => Step::Refuse(record_unavailable()),
        }
    }

    fn read_other(&mut self, result: Result<Option<VersionedRecord>, ReadError>) -> Step {
        match result {
            Ok(Some(found)) => self.evaluate(found),
            // The create found a record, so an earlier request with this key may have run.
            Ok(None) | Err(_) => Step::Refuse(
                RequestError::may_have_run(
                    Reason::Unavailable,
                    "the record of an earlier request with this key cannot be read",
                )
                .with_retry_after(RETRY_AFTER),
            ),
        }
    }

    fn evaluate(&mut self, found: VersionedRecord) -> Step {
        let Some(record) = found.record else {
            return Step::Refuse(earlier_run("the record of this key cannot be understood"));
        };
        if record.token == self.token && !record.done {
            return self.dispatch(found.version);
        }
        if record.request != self.request {
            return Step::Refuse(RequestError::not_run(
                Reason::Conflict,
                "the key belongs to another request; use a new key",
            ));
        }
        match (record.done, record.answer) {
            (true, Some(answer)) => Step::Return(answer),
            (true, None) => Step::Refuse(earlier_run(
                "an earlier request with this key ran; its answer was too large to store",
            )),
            (false, _) => Step::Refuse(
                earlier_run("an earlier request with this key runs or was cut off")
                    .with_retry_after(RETRY_AFTER),
            ),
        }
    }

    fn dispatch(&mut self, version: Version) -> Step {
        self.transition(State::Running(version), Step::Dispatch)
    }

    fn ran(&mut self, version: Version, outcome: Outcome) -> Step {
        match outcome {
            Outcome::Answered(answer) => self.store(Closing {
                version,
                answer: answer.filter(|a| a.body.len() <= STORED_BYTES),
                writes: 0,
            }),
            // The request is not sent any more, so a resend may run.
            Outcome::NotRun => self.transition(State::Removing, Step::Remove(version)),
            Outcome::MayHaveRun => Step::Complete,
        }
    }

    fn store(&mut self, mut closing: Closing) -> Step {
        if closing.writes == MAX_CLOSE_WRITES {
            return Step::Complete;
        }
        closing.writes += 1;
        let step = Step::Update(closing.version, self.record(true, closing.answer.clone()));
        self.transition(State::Closing(closing), step)
    }

    fn close_written(&mut self, mut closing: Closing, result: Result<Version, WriteError>) -> Step {
        match result {
            Ok(_) | Err(WriteError::Conflict) => Step::Complete,
            Err(WriteError::Refused) => self.store(closing),
            Err(WriteError::TooLarge) => {
                closing.answer = None;
                self.store(closing)
            }
            Err(WriteError::Unknown) => self.transition(State::CheckingClose(closing), Step::Read),
        }
    }

    fn close_checked(
        &mut self,
        mut closing: Closing,
        result: Result<Option<VersionedRecord>, ReadError>,
    ) -> Step {
        let Ok(found) = result else {
            return self.store(closing);
        };
        match found {
            Some(VersionedRecord {
                version,
                record: Some(r),
            }) if r.token == self.token && !r.done => {
                closing.version = version;
                self.store(closing)
            }
            _ => Step::Complete,
        }
    }

    fn record(&self, done: bool, answer: Option<StoredAnswer>) -> Record {
        Record {
            token: self.token.clone(),
            request: self.request.clone(),
            done,
            answer,
        }
    }

    fn transition(&mut self, state: State, step: Step) -> Step {
        self.state = state;
        step
    }
}

/// Returns the name of the record for a team's idempotency key.
pub fn record_name(team: &TeamId, key: &str) -> String {
    format!("{team}.{}", digest(&[key.as_bytes()]))
}

/// Returns a digest of the parts, which is the same on all instances.
pub fn digest(parts: &[&[u8]]) -> String {
    let mut hash = Sha256::new();
    for part in parts {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    let bytes = hash.finalize();
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn record_unavailable() -> RequestError {
    RequestError::not_run(
        Reason::Unavailable,
        "the object service does not answer; without a record the request is not sent",
    )
    .with_retry_after(RETRY_AFTER)
}

fn earlier_run(message: &str) -> RequestError {
    RequestError::may_have_run(Reason::Conflict, message)
}
