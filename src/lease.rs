//! Leases of entry instances: renewing the own one, observing others (pure).

use std::time::Duration;

use crate::{
    ids::{InstanceId, Map, SessionId, Set, Version},
    job_record::Claim,
    platform::WriteError,
};

/// What is to be done for the own lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseCall {
    /// Read the object to learn its version.
    Read,
    /// Create the object.
    Create,
    /// Update the object if it still has the version.
    Update(Version),
}

/// Answer to a call for the own lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseAnswer {
    /// Version of the object; nothing when it does not exist.
    Read(Option<Version>),
    /// Result of the write.
    Written(Result<Version, WriteError>),
    /// No answer to a read.
    Unavailable,
}

/// The own lease.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OwnLease {
    known: Option<LeaseCall>,
    renewed: Option<Duration>,
}

impl OwnLease {
    /// Returns the next call when a renewal is due.
    pub fn due(&self, now: Duration, renew: Duration) -> Option<LeaseCall> {
        let due = self.renewed.is_none_or(|at| now >= at + renew);
        due.then(|| self.known.unwrap_or(LeaseCall::Read))
    }

    /// Takes the answer to a call that was sent at `sent`; false when it did not help.
    ///
    /// The lease runs from the sending: an observer cannot see the new version earlier.
    pub fn answer(&mut self, answer: LeaseAnswer, sent: Duration) -> bool {
        match answer {
            LeaseAnswer::Read(None) => self.known = Some(LeaseCall::Create),
            LeaseAnswer::Read(Some(version)) => self.known = Some(LeaseCall::Update(version)),
            LeaseAnswer::Written(Ok(version)) => {
                self.known = Some(LeaseCall::Update(version));
                self.renewed = Some(sent);
            }
            LeaseAnswer::Written(Err(WriteError::Refused)) | LeaseAnswer::Unavailable => {
                return false;
            }
            LeaseAnswer::Written(Err(_)) => {
                self.known = None;
                return false;
            }
        }
        true
    }

    /// Says whether no observer can have seen the lease expire.
    pub fn valid(&self, now: Duration, lease: Duration) -> bool {
        self.renewed.is_some_and(|at| now < at + lease)
    }

    /// Returns when the lease was last renewed.
    pub fn renewed(&self) -> Option<Duration> {
        self.renewed
    }
}

/// Ended sessions that an observer remembers at most.
const ENDED_MOST: usize = 4096;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Seen {
    version: Version,
    session: Option<SessionId>,
    first: Duration,
    last: Duration,
}

/// What this instance has seen of the leases of others, by its own clock.
#[derive(Debug, Clone, Default)]
pub struct Observer {
    seen: Map<InstanceId, Seen>,
    listed: Map<InstanceId, SessionId>,
    ended: Set<Claim>,
}

impl Observer {
    /// Takes a lease that was read after a claim of its holder was seen; an absent lease has
    /// version 0.
    pub fn observe(
        &mut self,
        holder: &InstanceId,
        version: Version,
        session: Option<SessionId>,
        now: Duration,
    ) {
        let first = match self.seen.get(holder) {
            Some(seen) if seen.version == version => seen.first,
            _ => now,
        };
        let seen = Seen {
            version,
            session,
            first,
            last: now,
        };
        self.seen.insert(holder.clone(), seen);
    }

    /// Takes the whole instance list. A session that an earlier list had and this one lacks has
    /// ended; one that no list had may only be missing because the list lags.
    pub fn observe_list(&mut self, entries: Map<InstanceId, SessionId>) {
        if self.ended.len() > ENDED_MOST {
            self.ended.clear();
        }
        for (holder, session) in std::mem::take(&mut self.listed) {
            if entries.get(&holder) != Some(&session) {
                self.ended.insert(Claim { holder, session });
            }
        }
        self.listed = entries;
    }

    /// Says whether a claim's holder has lost it, as of the last observation: its lease did not
    /// change for `lease`, or its session has ended.
    ///
    /// A holder writes its lease before its first claim, so that a lease of another session is one
    /// of a later session.
    pub fn expired(&self, claim: &Claim, lease: Duration) -> bool {
        if self.ended.contains(claim) {
            return true;
        }
        let Some(seen) = self.seen.get(&claim.holder) else {
            return false;
        };
        seen.session.is_some_and(|s| s != claim.session) || seen.last >= seen.first + lease
    }
}
