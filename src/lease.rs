//! Leases of entry instances: renewal of the local one and observation of others (pure functions).

use std::time::Duration;

use crate::{
    ids::{InstanceId, Map, SessionId, Set, Version},
    job_record::Claim,
    platform::WriteError,
};

/// Next call for the local lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseCall {
    /// Read the object to get its version.
    Read,
    /// Create the object.
    Create,
    /// Update the object if it still has the version.
    Update(Version),
}

/// Answer to a call for the local lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseAnswer {
    /// Version of the object; `None` when it does not exist.
    Read(Option<Version>),
    /// Result of the write.
    Written(Result<Version, WriteError>),
    /// A read got no answer.
    Unavailable,
}

/// The lease of this instance.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OwnLease {
    next_call: Option<LeaseCall>,
    renewed: Option<Duration>,
}

impl OwnLease {
    /// Returns the next call when a renewal is due.
    pub fn due(&self, now: Duration, renew: Duration) -> Option<LeaseCall> {
        let due = self.renewed.is_none_or(|at| now >= at + renew);
        due.then(|| self.next_call.unwrap_or(LeaseCall::Read))
    }

    /// Records the answer to a call that was sent at `sent` and returns whether the call succeeded.
    ///
    /// The lease starts at the time of sending, because no observer can see the new version
    /// earlier.
    pub fn answer(&mut self, answer: LeaseAnswer, sent: Duration) -> bool {
        match answer {
            LeaseAnswer::Read(None) => self.next_call = Some(LeaseCall::Create),
            LeaseAnswer::Read(Some(version)) => self.next_call = Some(LeaseCall::Update(version)),
            LeaseAnswer::Written(Ok(version)) => {
                self.next_call = Some(LeaseCall::Update(version));
                self.renewed = Some(sent);
            }
            LeaseAnswer::Written(Err(WriteError::Refused)) | LeaseAnswer::Unavailable => {
                return false;
            }
            LeaseAnswer::Written(Err(_)) => {
                self.next_call = None;
                return false;
            }
        }
        true
    }

    /// Returns whether the lease is valid: no observer can have seen it expire.
    pub fn valid(&self, now: Duration, lease: Duration) -> bool {
        self.renewed.is_some_and(|at| now < at + lease)
    }

    /// Returns when the lease was last renewed.
    pub fn renewed(&self) -> Option<Duration> {
        self.renewed
    }
}

/// Maximum number of ended sessions that an observer records.
const ENDED_LIMIT: usize = 4096;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Observation {
    version: Version,
    session: Option<SessionId>,
    /// When this version was first observed.
    first: Duration,
    /// When this version was last observed.
    last: Duration,
}

/// Observations of the leases of other instances, by the local clock.
#[derive(Debug, Clone, Default)]
pub struct Observer {
    seen: Map<InstanceId, Observation>,
    listed: Map<InstanceId, SessionId>,
    ended: Set<Claim>,
}

impl Observer {
    /// Records a lease that was read after a claim of its holder was seen. An absent lease has
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
        let seen = Observation {
            version,
            session,
            first,
            last: now,
        };
        self.seen.insert(holder.clone(), seen);
    }

    /// Records the full instance list. A session has ended if the last list had it and this one
    /// does not. A session that no list had may be missing only because the list lags.
    pub fn observe_list(&mut self, entries: Map<InstanceId, SessionId>) {
        if self.ended.len() > ENDED_LIMIT {
            self.ended.clear();
        }
        for (holder, session) in std::mem::take(&mut self.listed) {
            if entries.get(&holder) != Some(&session) {
                self.ended.insert(Claim { holder, session });
            }
        }
        self.listed = entries;
    }

    /// Returns whether a claim has expired, as of the last observation: the lease of its holder did
    /// not change for `lease`, or the session of its holder has ended.
    ///
    /// A holder writes its lease before its first claim, so a lease of another session belongs to a
    /// later session.
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
