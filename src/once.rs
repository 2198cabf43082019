//! Records of requests that may not be repeated: what to do at each step, without I/O.
//!
//! The record of a marked and keyed request is created before the request is sent to a target.
//! Only the request whose token stands in the record is sent, and only while the record is open.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{
    ids::{TeamId, Version},
    platform::{ReadError, WriteError},
    verdict::{Reason, RequestError},
};

/// Largest answer that is stored in a record, in bytes.
pub const STORED_BYTES: usize = 64 << 10;
/// Writes of one answer into its record at most.
const CLOSE_TRIES: u32 = 3;
/// Time after which a caller may ask again for the answer of a request that runs.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Record of a request in the object service.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Record {
    /// Token of the request that wrote the record.
    pub token: Arc<str>,
    /// Digest of the request.
    pub request: Arc<str>,
    /// Whether the request ran to its end.
    pub done: bool,
    /// Its answer, when it is not over the size limit.
    pub answer: Option<Stored>,
}

/// Answer that is returned to a resend.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Stored {
    /// HTTP status code.
    pub status: u16,
    /// Content type.
    pub kind: Arc<str>,
    /// Body.
    pub body: Arc<str>,
}

/// A record as it was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Held {
    /// Version of the object.
    pub version: Version,
    /// Content; nothing when it cannot be understood.
    pub record: Option<Record>,
}

/// How the run of a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// It ran and this is its answer; nothing when the answer cannot be stored.
    Answered(Option<Stored>),
    /// It did not run.
    NotRun,
    /// It may have run.
    InDoubt,
}

/// What happened to the last step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Seen {
    /// The create, update or removal ended like this.
    Wrote(Result<Version, WriteError>),
    /// The read ended like this.
    Read(Result<Option<Held>, ReadError>),
    /// The run ended like this.
    Ran(Outcome),
}

/// What to do next.
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
    /// Send the request to a target; at most one attempt that may have run.
    Dispatch,
    /// Return the answer of an earlier run.
    Return(Stored),
    /// Refuse the request.
    Refuse(RequestError),
    /// Nothing is left to do.
    Over,
}

/// Progress of one marked and keyed request.
#[derive(Debug, Clone)]
pub struct Once {
    token: Arc<str>,
    request: Arc<str>,
    state: State,
}

#[derive(Debug, Clone)]
enum State {
    /// The create was sent.
    Creating,
    /// The answer to the create was lost and the record is read back.
    ReadingBack,
    /// The record existed before and is read.
    ReadingOther,
    /// The request runs; the record has this version.
    Running(Version),
    /// The answer is being stored.
    Closing(Closing),
    /// The answer to a store was lost and the record is read back.
    CheckingClose(Closing),
    /// The record of a request that did not run is being removed.
    Removing,
    /// All is done.
    Over,
}

#[derive(Debug, Clone)]
struct Closing {
    version: Version,
    answer: Option<Stored>,
    tries: u32,
}

impl Once {
    /// Begins a request. `token` must be new for each call, `request` is the digest of its content.
    pub fn begin(token: Arc<str>, request: Arc<str>) -> (Self, Step) {
        let once = Self {
            token,
            request,
            state: State::Creating,
        };
        let step = Step::Create(once.record(false, None));
        (once, step)
    }

    /// Takes what happened to the last step and returns the next one.
    pub fn on(&mut self, seen: Seen) -> Step {
        let state = std::mem::replace(&mut self.state, State::Over);
        match (state, seen) {
            (State::Creating, Seen::Wrote(result)) => self.created(result),
            (State::ReadingBack, Seen::Read(result)) => self.read_back(result),
            (State::ReadingOther, Seen::Read(result)) => self.read_other(result),
            (State::Running(version), Seen::Ran(outcome)) => self.ran(version, outcome),
            (State::Closing(closing), Seen::Wrote(result)) => self.stored(closing, result),
            (State::CheckingClose(closing), Seen::Read(result)) => self.checked(closing, result),
            _ => Step::Over,
        }
    }

    fn created(&mut self, result: Result<Version, WriteError>) -> Step {
        match result {
            Ok(version) => self.dispatch(version),
            Err(WriteError::Conflict) => self.go(State::ReadingOther, Step::Read),
            Err(WriteError::Unknown) => self.go(State::ReadingBack, Step::Read),
            Err(WriteError::Refused | WriteError::TooLarge) => Step::Refuse(no_record()),
        }
    }

    fn read_back(&mut self, result: Result<Option<Held>, ReadError>) -> Step {
        match result {
            Ok(Some(held)) => self.judge(held),
            // The create may still take effect later. The record then stays open, and a resend is
            // refused as may-have-run, which is safe.
            Ok(None) | Err(_) => Step::Refuse(no_record()),
        }
    }

    fn read_other(&mut self, result: Result<Option<Held>, ReadError>) -> Step {
        match result {
            Ok(Some(held)) => self.judge(held),
            // A record existed a moment ago, so an earlier request with the key may have run.
            Ok(None) | Err(_) => Step::Refuse(
                RequestError::may_have_run(
                    Reason::Unavailable,
                    "the record of an earlier request with this key cannot be read",
                )
                .with_retry_after(RETRY_AFTER),
            ),
        }
    }

    fn judge(&mut self, held: Held) -> Step {
        let Some(record) = held.record else {
            return Step::Refuse(earlier("the record of this key cannot be understood"));
        };
        if record.token == self.token && !record.done {
            return self.dispatch(held.version);
        }
        if record.request != self.request {
            return Step::Refuse(RequestError::not_run(
                Reason::Conflict,
                "the key belongs to another request; use a new key",
            ));
        }
        match (record.done, record.answer) {
            (true, Some(answer)) => Step::Return(answer),
            (true, None) => Step::Refuse(earlier(
                "an earlier request with this key ran; its answer was too large to store",
            )),
            (false, _) => Step::Refuse(
                earlier("an earlier request with this key runs or was cut off")
                    .with_retry_after(RETRY_AFTER),
            ),
        }
    }

    fn dispatch(&mut self, version: Version) -> Step {
        self.go(State::Running(version), Step::Dispatch)
    }

    fn ran(&mut self, version: Version, outcome: Outcome) -> Step {
        match outcome {
            Outcome::Answered(answer) => self.store(Closing {
                version,
                answer: answer.filter(|a| a.body.len() <= STORED_BYTES),
                tries: 0,
            }),
            // Nothing is sent after this, so a resend may start anew.
            Outcome::NotRun => self.go(State::Removing, Step::Remove(version)),
            Outcome::InDoubt => Step::Over,
        }
    }

    fn store(&mut self, mut closing: Closing) -> Step {
        if closing.tries == CLOSE_TRIES {
            return Step::Over;
        }
        closing.tries += 1;
        let step = Step::Update(closing.version, self.record(true, closing.answer.clone()));
        self.go(State::Closing(closing), step)
    }

    fn stored(&mut self, mut closing: Closing, result: Result<Version, WriteError>) -> Step {
        match result {
            Ok(_) | Err(WriteError::Conflict) => Step::Over,
            Err(WriteError::Refused) => self.store(closing),
            Err(WriteError::TooLarge) => {
                closing.answer = None;
                self.store(closing)
            }
            Err(WriteError::Unknown) => self.go(State::CheckingClose(closing), Step::Read),
        }
    }

    fn checked(&mut self, mut closing: Closing, result: Result<Option<Held>, ReadError>) -> Step {
        let Ok(held) = result else {
            return self.store(closing);
        };
        match held {
            Some(Held {
                version,
                record: Some(r),
            }) if r.token == self.token && !r.done => {
                closing.version = version;
                self.store(closing)
            }
            _ => Step::Over,
        }
    }

    fn record(&self, done: bool, answer: Option<Stored>) -> Record {
        Record {
            token: self.token.clone(),
            request: self.request.clone(),
            done,
            answer,
        }
    }

    fn go(&mut self, state: State, step: Step) -> Step {
        self.state = state;
        step
    }
}

/// Returns the name of the record of a key of a team.
pub fn record_name(team: &TeamId, key: &str) -> String {
    format!("{team}.{}", digest(&[key.as_bytes()]))
}

/// Returns a digest of the parts that is the same on all instances.
pub fn digest(parts: &[&[u8]]) -> String {
    let mut hash = Sha256::new();
    for part in parts {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    let bytes = hash.finalize();
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn no_record() -> RequestError {
    RequestError::not_run(
        Reason::Unavailable,
        "the object service does not answer; without a record the request is not sent",
    )
    .with_retry_after(RETRY_AFTER)
}

fn earlier(message: &str) -> RequestError {
    RequestError::may_have_run(Reason::Conflict, message)
}
