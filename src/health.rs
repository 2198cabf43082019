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

/// Health of all targets that failed recently.
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
    /// Records a failure of a target: it could not be reached, broke a connection or timed out.
    /// Returns whether the target is ejected.
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

    /// Records that a request is sent to a target. If the target's ejection has just ended, the
    /// request is a probe, and the target stays ejected until the probe has succeeded or the first
    /// ejection time has passed again.
    pub fn record_request(&mut self, target: &TargetId, now: Duration) {
        let Some(state) = self.targets.get_mut(target) else {
            return;
        };
        if state.failures >= EJECT_AFTER && now >= state.until {
            state.until = now + FIRST_EJECTION;
        }
    }

    /// Removes the targets for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&TargetId) -> bool) {
        self.targets.retain(|t, _| keep(t));
    }
}
