//! A conditional write that reaches a known result despite lost responses (pure).

use crate::{ids::Version, job_record::WriteToken};

/// Next call that a write needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Call {
    /// Send the write, conditional on the base version.
    Write,
    /// Read the object to learn whether the write took effect.
    Read,
}

/// Answer of the object service to a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reply {
    /// The write took effect.
    Written(Version),
    /// The condition of the write failed.
    Conflict,
    /// The service refused the write; it did not take effect.
    Refused,
    /// The value is over the size limit; the write did not take effect.
    TooLarge,
    /// The service did not answer the write, which may have taken effect or may do so later.
    Unknown,
    /// The object exists.
    Found {
        /// Its version.
        version: Version,
        /// Token of its last writer.
        token: WriteToken,
    },
    /// The object does not exist.
    Absent,
    /// The service did not answer the read.
    Unavailable,
}

/// State of a write after a reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteStatus {
    /// The next call can be made at once.
    Continue,
    /// The next call must wait for a backoff.
    Backoff,
    /// The write took effect.
    Done(Version),
    /// Another writer changed the object first; the write can never take effect.
    Lost,
    /// The value is over the size limit; the write did not take effect.
    TooLarge,
}

/// One conditional write. The value must not change until the write has ended: a lost response may
/// belong to any of the calls, and the token identifies the value.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ConditionalWrite {
    base: Option<Version>,
    token: WriteToken,
    call: Call,
    uncertain: bool,
}

impl ConditionalWrite {
    /// Creates a write to the object at version `base`, or a creation if it is `None`.
    pub fn new(base: Option<Version>, token: WriteToken) -> Self {
        Self {
            base,
            token,
            call: Call::Write,
            uncertain: false,
        }
    }

    /// Returns the version that the write is conditional on.
    pub fn base(&self) -> Option<Version> {
        self.base
    }

    /// Returns the next call.
    pub fn call(&self) -> Call {
        self.call
    }

    /// Returns whether an earlier call without an answer may have taken effect or may still do so.
    pub fn uncertain(&self) -> bool {
        self.uncertain
    }

    /// Handles the reply to the current call.
    pub fn reply(&mut self, reply: Reply) -> WriteStatus {
        match reply {
            Reply::Written(version) => WriteStatus::Done(version),
            Reply::TooLarge => WriteStatus::TooLarge,
            Reply::Refused | Reply::Unavailable => WriteStatus::Backoff,
            // The conflict may be with an earlier call of this write whose response was lost.
            Reply::Conflict if self.uncertain => self.set_call(Call::Read, WriteStatus::Continue),
            Reply::Conflict => WriteStatus::Lost,
            Reply::Unknown => {
                self.uncertain = true;
                self.set_call(Call::Read, WriteStatus::Continue)
            }
            Reply::Found { version, token } if token == self.token => WriteStatus::Done(version),
            Reply::Found { version, .. } if Some(version) == self.base => {
                self.set_call(Call::Write, WriteStatus::Backoff)
            }
            Reply::Absent if self.base.is_none() => {
                self.set_call(Call::Write, WriteStatus::Backoff)
            }
            Reply::Found { .. } | Reply::Absent => WriteStatus::Lost,
        }
    }

    fn set_call(&mut self, call: Call, status: WriteStatus) -> WriteStatus {
        self.call = call;
        status
    }
}
