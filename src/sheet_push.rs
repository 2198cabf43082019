//! A push of a sheet: a conditional create of the next log entry, as a state machine without I/O.

use std::sync::Arc;

use crate::{
    ids::Revision,
    platform::{ReadError, WriteError},
    sheet::{RawSheet, Sheet},
    sheet_log::{Entry, Snapshot, difference, split},
};

/// Maximum number of platform calls of one push.
const CALL_LIMIT: u32 = 6;

/// Next step of a push.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Create the entry of the revision.
    Create,
    /// Read the entry of the revision back.
    Read,
    /// The push has ended.
    Done(Outcome),
}

/// The entry that holds the revision of a push.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Winner {
    /// Revision.
    pub revision: Revision,
    /// Token of the writer; `None` when it could not be read.
    pub token: Option<Arc<str>>,
}

/// Outcome of a push.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The entry is in the log.
    Accepted(Revision),
    /// Another entry holds the revision.
    Lost(Winner),
    /// The entry exceeds the size limit of an object and was not written.
    TooLarge,
    /// The entry was not written and will not be.
    NotRun,
    /// The entry may be in the log.
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
    /// Whether a create got no answer.
    unconfirmed: bool,
    /// Whether a create met an existing entry.
    exists: bool,
    calls: u32,
}

impl Push {
    /// Builds the push of a sheet that follows `base`; `None` when the sheet has not changed.
    ///
    /// # Errors
    ///
    /// Returns an error of one line when the sheet is invalid.
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
        Ok(Some(Self::from_entry(entry)))
    }

    /// Builds the push of an entry.
    pub fn from_entry(entry: Entry) -> Self {
        Self {
            revision: entry.base + 1,
            entry,
            step: Step::Create,
            unconfirmed: false,
            exists: false,
            calls: 0,
        }
    }

    /// Returns the next step.
    pub fn step(&self) -> &Step {
        &self.step
    }

    /// Records the answer to the create.
    ///
    /// A create is repeated only after a read found no entry. It carries the same entry and the
    /// same condition, so the entry is written once even when the first create takes effect late.
    pub fn created(&mut self, answer: Result<(), WriteError>) {
        self.calls += 1;
        let next = match answer {
            Ok(()) => Step::Done(Outcome::Accepted(self.revision)),
            Err(WriteError::Conflict) => {
                self.exists = true;
                Step::Read
            }
            Err(WriteError::Unknown) => {
                self.unconfirmed = true;
                Step::Read
            }
            // An earlier create without an answer can still take effect.
            Err(_) if self.unconfirmed => Step::Done(Outcome::MayHaveRun),
            Err(WriteError::TooLarge) => Step::Done(Outcome::TooLarge),
            Err(WriteError::Refused) => Step::Done(Outcome::NotRun),
        };
        self.advance(next);
    }

    /// Records the answer to the read.
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
        self.advance(next);
    }

    fn advance(&mut self, next: Step) {
        let exhausted = self.calls >= CALL_LIMIT;
        self.step = match next {
            Step::Create | Step::Read if exhausted => Step::Done(self.exhausted_outcome()),
            next => next,
        };
    }

    fn exhausted_outcome(&self) -> Outcome {
        if self.exists && !self.unconfirmed {
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
