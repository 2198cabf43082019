//! Runs of instances that told of online requests on workers of this one.

use std::time::Duration;

use crate::{
    ids::{InstanceId, Map, SessionId},
    members::{HEARTBEAT_LIMIT, Members},
};

/// What a notice of online requests means for what is known of its sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunCheck {
    /// It counts.
    Current,
    /// It counts, and what an earlier run told does not any more.
    NewRun,
    /// It comes from an earlier run.
    Late,
}

/// The run of each instance that told of online requests.
#[derive(Debug, Default)]
pub struct PeerRuns(Map<InstanceId, PeerRun>);

#[derive(Debug, Clone, Copy)]
struct PeerRun {
    session: SessionId,
    at: Duration,
}

impl PeerRuns {
    /// Takes over that a run of an instance sent a notice.
    pub fn record(
        &mut self,
        members: &Members,
        id: &InstanceId,
        session: SessionId,
        now: Duration,
    ) -> RunCheck {
        let member = members.entry(id).filter(|m| m.is_fresh(now));
        if member.is_some_and(|m| m.identity.session != session) {
            return RunCheck::Late;
        }
        let earlier = self.0.insert(id.clone(), PeerRun { session, at: now });
        match earlier {
            Some(run) if run.session != session => RunCheck::NewRun,
            _ => RunCheck::Current,
        }
    }

    /// Removes and returns the instances whose run is gone; nobody will report the end of its
    /// requests. An instance that is about to stop still finishes them.
    pub fn remove_gone(&mut self, members: &Members, now: Duration) -> Vec<InstanceId> {
        let is_gone = |id: &InstanceId, run: &PeerRun| match members.entry(id) {
            Some(member) if member.is_fresh(now) => member.identity.session != run.session,
            _ => now.saturating_sub(run.at) >= HEARTBEAT_LIMIT,
        };
        let gone = self.0.iter().filter(|(id, run)| is_gone(id, run));
        let gone: Vec<InstanceId> = gone.map(|(id, _)| id.clone()).collect();
        for id in &gone {
            self.0.remove(id);
        }
        gone
    }
}
