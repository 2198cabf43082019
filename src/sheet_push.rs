//! A push of a sheet: a conditional create of the next log entry, as a pure state machine.

use std::sync::Arc;

use crate::{
    ids::Revision,
    platform::{ReadError, WriteError},
    sheet::{RawSheet, Sheet},
    sheet_log::{Entry, Snapshot, difference, split},
};

/// Platform calls that one push makes at most.
const CALL_LIMIT: u32 = 6;

/// What a push does next.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Create the entry of the revision.
    Create,
    /// Read the entry of the revision back.
    Read,
    /// Nothing; the push has ended.
    Done(Outcome),
}

/// The entry that stands in the log at the revision which a push asked for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Winner {
    /// Revision.
    pub revision: Revision,
    /// Token of its writer; nothing when it could not be read.
    pub token: Option<Arc<str>>,
}

/// How a push ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The entry stands in the log.
    Accepted(Revision),
    /// Another entry stands at the revision.
    Lost(Winner),
    /// The entry is over the size limit of an object and was not written.
    TooLarge,
    /// The entry was not written and will not be.
    NotRun,
    /// The entry may stand in the log.
    MayHaveRun,
}

/// A push of one entry.
#[derive(Debug, Clone)]
pub struct Push {
    /// Revision that the entry takes.
    pub revision: Revision,
    /// The entry.
    pub entry: Entry,
    step: Step,
    doubt: bool,
    exists: bool,
    calls: u32,
}

impl Push {
    /// Builds the push of a sheet that follows `base`; nothing when the sheet is the same.
    ///
    /// # Errors
    ///
    /// Returns one line when the sheet is not valid as a whole.
    pub fn new(raw: &RawSheet, base: &Snapshot, token: Arc<str>) -> anyhow::Result<Option<Self>> {
        Sheet::try_from(raw)?;
        let changes = difference(&base.parts, &split(raw)?);
        if changes.is_empty() {
            return Ok(None);
        }
        let entry = Entry {
            token,
            base: base.revision,
            changes,
        };
        Ok(Some(Self::of_entry(entry)))
    }

    /// Builds the push of an entry.
    pub fn of_entry(entry: Entry) -> Self {
        Self {
            revision: entry.base + 1,
            entry,
            step: Step::Create,
            doubt: false,
            exists: false,
            calls: 0,
        }
    }

    /// Returns what to do next.
    pub fn step(&self) -> &Step {
        &self.step
    }

    /// Takes over the answer to the create.
    ///
    /// A create is repeated only after the entry was read as absent. It is the same entry under
    /// the same condition, so it cannot stand twice when the first one arrives late.
    pub fn created(&mut self, answer: Result<(), WriteError>) {
        self.calls += 1;
        let next = match answer {
            Ok(()) => Step::Done(Outcome::Accepted(self.revision)),
            Err(WriteError::Conflict) => {
                self.exists = true;
                Step::Read
            }
            Err(WriteError::Unknown) => {
                self.doubt = true;
                Step::Read
            }
            // An earlier create without an answer can still take effect.
            Err(_) if self.doubt => Step::Done(Outcome::MayHaveRun),
            Err(WriteError::TooLarge) => Step::Done(Outcome::TooLarge),
            Err(WriteError::Refused) => Step::Done(Outcome::NotRun),
        };
        self.go(next);
    }

    /// Takes over the answer to the read.
    pub fn read(&mut self, answer: Result<Option<Arc<str>>, ReadError>) {
        self.calls += 1;
        let next = match answer {
            Ok(Some(token)) if token == self.entry.token => {
                Step::Done(Outcome::Accepted(self.revision))
            }
            Ok(Some(token)) => Step::Done(self.lost(Some(token))),
            // A stale read can miss an entry that is known to exist.
            Ok(None) if self.exists => Step::Read,
            Ok(None) => Step::Create,
            Err(_) => Step::Read,
        };
        self.go(next);
    }

    fn go(&mut self, next: Step) {
        let over = self.calls >= CALL_LIMIT;
        self.step = match next {
            Step::Create | Step::Read if over => Step::Done(self.give_up()),
            next => next,
        };
    }

    fn give_up(&self) -> Outcome {
        if self.exists && !self.doubt {
            return self.lost(None);
        }
        Outcome::MayHaveRun
    }

    fn lost(&self, token: Option<Arc<str>>) -> Outcome {
        Outcome::Lost(Winner {
            revision: self.revision,
            token,
        })
    }
}
