//! Health of targets as this instance observes it: ejection after consecutive failures, and
//! probing with backoff.

use std::time::Duration;

use crate::ids::{Map, TargetId};

/// Consecutive failures after which a target is ejected.
const EJECT_AFTER: u32 = 3;
/// Length of the first ejection.
const FIRST_EJECTION: Duration = Duration::from_secs(1);
/// Length of the longest ejection.
const LONGEST_EJECTION: Duration = Duration::from_secs(30);

/// Health of all targets that failed lately.
#[derive(Debug, Default)]
pub struct Health {
    targets: Map<TargetId, Failing>,
}

#[derive(Debug, Default)]
struct Failing {
    failures: u32,
    until: Duration,
}

impl Health {
    /// Takes a failure of a target: it could not be reached, broke or fell silent. Says whether
    /// the target is ejected for it.
    pub fn record_failure(&mut self, target: &TargetId, now: Duration) -> bool {
        let state = self.targets.entry(target.clone()).or_default();
        state.failures = state.failures.saturating_add(1);
        if state.failures < EJECT_AFTER {
            return false;
        }
        let doublings = (state.failures - EJECT_AFTER).min(16);
        let length = FIRST_EJECTION * (1 << doublings);
        state.until = now + length.min(LONGEST_EJECTION);
        true
    }

    /// Takes a target that accepted no connection; it is ejected at once, since each try of it costs
    /// a request the whole limit of a connection.
    pub fn record_unreachable(&mut self, target: &TargetId, now: Duration) {
        let state = self.targets.entry(target.clone()).or_default();
        state.failures = state.failures.max(EJECT_AFTER - 1);
        self.record_failure(target, now);
    }

    /// Takes a success of a target.
    pub fn record_success(&mut self, target: &TargetId) {
        self.targets.remove(target);
    }

    /// Returns the targets that get no requests now.
    pub fn ejected(&self, now: Duration) -> Vec<TargetId> {
        let ejected = self.targets.iter().filter(|(_, s)| now < s.until);
        ejected.map(|(t, _)| t.clone()).collect()
    }

    /// Notes that a target gets a request. When its ejection is over this request is the probe,
    /// and others stay away until it has ended or the ejection time has passed again.
    pub fn record_request(&mut self, target: &TargetId, now: Duration) {
        let Some(state) = self.targets.get_mut(target) else {
            return;
        };
        if state.failures >= EJECT_AFTER && now >= state.until {
            state.until = now + FIRST_EJECTION;
        }
    }

    /// Forgets targets that `keep` does not name.
    pub fn retain(&mut self, keep: impl Fn(&TargetId) -> bool) {
        self.targets.retain(|t, _| keep(t));
    }
}
