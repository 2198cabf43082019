//! A conditional write that is carried to a known end despite lost responses (pure).

use crate::{ids::Version, job_record::WriteToken};

/// Next call of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Call {
    /// Send the write, with the condition of its base version.
    Write,
    /// Read the object back.
    Read,
}

/// Answer of the object service to a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reply {
    /// The write took effect.
    Written(Version),
    /// The condition of the write failed.
    Conflict,
    /// The write did not take effect.
    Refused,
    /// The value is over the size limit; the write did not take effect.
    TooLarge,
    /// No answer to the write; it may have taken effect or may do so later.
    Unknown,
    /// The object as it was read.
    Found {
        /// Its version.
        version: Version,
        /// Token of its last writer.
        token: WriteToken,
    },
    /// The object does not exist.
    Absent,
    /// No answer to the read.
    Unavailable,
}

/// What a write has come to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// The next call follows at once.
    Again,
    /// The next call follows after a backoff.
    Later,
    /// The write took effect.
    Done(Version),
    /// Another writer came first; the write can never take effect.
    Lost,
    /// The value is over the size limit; the write did not take effect.
    TooLarge,
}

/// One conditional write. The value must stay the same until it has ended: a response that was
/// lost may belong to any of the calls, and the token stands for the value.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ConditionalWrite {
    base: Option<Version>,
    token: WriteToken,
    call: Call,
    doubt: bool,
}

impl ConditionalWrite {
    /// Starts a write of an object at version `base`; a creation without one.
    pub fn new(base: Option<Version>, token: WriteToken) -> Self {
        Self {
            base,
            token,
            call: Call::Write,
            doubt: false,
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

    /// Says whether an earlier call may still take effect.
    pub fn doubt(&self) -> bool {
        self.doubt
    }

    /// Takes the answer to the current call.
    pub fn reply(&mut self, reply: Reply) -> Progress {
        match reply {
            Reply::Written(version) => Progress::Done(version),
            Reply::TooLarge => Progress::TooLarge,
            Reply::Refused | Reply::Unavailable => Progress::Later,
            // The conflict may be with an own earlier call whose response was lost.
            Reply::Conflict if self.doubt => self.turn(Call::Read, Progress::Again),
            Reply::Conflict => Progress::Lost,
            Reply::Unknown => {
                self.doubt = true;
                self.turn(Call::Read, Progress::Again)
            }
            Reply::Found { version, token } if token == self.token => Progress::Done(version),
            Reply::Found { version, .. } if Some(version) == self.base => {
                self.turn(Call::Write, Progress::Later)
            }
            Reply::Absent if self.base.is_none() => self.turn(Call::Write, Progress::Later),
            Reply::Found { .. } | Reply::Absent => Progress::Lost,
        }
    }

    fn turn(&mut self, call: Call, progress: Progress) -> Progress {
        self.call = call;
        progress
    }
}
