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

/// Returns whether a request without a whole answer counts as a failure of its target. When the time of
/// the request is over, it does only if the target showed no progress for as long as requests may take:
/// a sound target cannot meet every deadline of a caller.
pub fn is_failure(is_over: bool, silence: Duration, objective: Duration) -> bool {
    !is_over || silence >= objective
}

/// Health of all targets that failed recently.
#[derive(Debug, Default)]
pub struct Health {
    targets: Map<TargetId, Failing>,
}

#[derive(Debug, Default)]
struct Failing {
    failures: u32,
    until: Duration,
    /// Time of the last failure or request.
    tried: Duration,
}

impl Health {
    /// Records a failure of a target: it could not be reached, broke a connection or timed out.
    /// Returns whether the target is ejected.
    pub fn record_failure(&mut self, target: &TargetId, now: Duration) -> bool {
        let state = self.targets.entry(target.clone()).or_default();
        state.failures = state.failures.saturating_add(1);
        state.tried = now;
        if state.failures < EJECT_AFTER {
            return false;
        }
        let doublings = (state.failures - EJECT_AFTER).min(16);
        let length = FIRST_EJECTION * (1 << doublings);
        state.until = now + length.min(LONGEST_EJECTION);
        true
    }

    /// Records that a target accepted no connection. The target is ejected at once, since each
    /// attempt at it costs a request the full connect timeout.
    pub fn record_unreachable(&mut self, target: &TargetId, now: Duration) {
        let state = self.targets.entry(target.clone()).or_default();
        state.failures = state.failures.max(EJECT_AFTER - 1);
        self.record_failure(target, now);
    }

    /// Records a success of a target, which ends its ejection.
    pub fn record_success(&mut self, target: &TargetId) {
        self.targets.remove(target);
    }

    /// Returns the targets that are ejected at the moment.
    pub fn ejected(&self, now: Duration) -> Vec<TargetId> {
        let ejected = self.targets.iter().filter(|(_, s)| now < s.until);
        ejected.map(|(t, _)| t.clone()).collect()
    }

    /// Returns whether a request that may wait can be sent to an ejected target, as there is no other:
    /// one in the first ejection time.
    pub fn may_try(&self, target: &TargetId, now: Duration) -> bool {
        let state = self.targets.get(target);
        state.is_none_or(|s| now >= s.tried + FIRST_EJECTION)
    }

    /// Records that a request is sent to a target. If the target's ejection has just ended, the
    /// request is a probe, and the target stays ejected until the probe has succeeded or the first
    /// ejection time has passed again.
    pub fn record_request(&mut self, target: &TargetId, now: Duration) {
        let Some(state) = self.targets.get_mut(target) else {
            return;
        };
        state.tried = now;
        if state.failures >= EJECT_AFTER && now >= state.until {
            state.until = now + FIRST_EJECTION;
        }
    }

    /// Removes the targets for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&TargetId) -> bool) {
        self.targets.retain(|t, _| keep(t));
    }
}
