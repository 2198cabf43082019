//! Runs of instances that have reported online requests on workers of this instance.

use std::time::Duration;

use crate::{
    ids::{InstanceId, Map, SessionId},
    members::{HEARTBEAT_LIMIT, Members},
};

/// Whether a report of online requests comes from the current run of its sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunCheck {
    /// It comes from the known run.
    Current,
    /// It comes from a new run; the reports of the earlier run are void.
    NewRun,
    /// It comes from an earlier run and must be ignored.
    Late,
}

/// The latest run of each instance that has reported online requests.
#[derive(Debug, Default)]
pub struct PeerRuns(Map<InstanceId, PeerRun>);

#[derive(Debug, Clone, Copy)]
struct PeerRun {
    session: SessionId,
    /// Time of the last report.
    at: Duration,
}

impl PeerRuns {
    /// Records a report from a run of an instance.
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

    /// Removes and returns the instances whose run is gone, so that the end of its requests will
    /// not be reported. An instance that is about to stop still finishes them and is not gone.
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
