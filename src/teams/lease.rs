//! Time for which the configuration may be trusted without a look at the store.
//!
//! A key that is taken away has to stop working within a bound at every instance, also at one that is cut
//! off. So an instance uses keys only while it knows that its configuration was the newest a short time ago.

use std::time::Duration;

/// Part of the bound for which a configuration is trusted. The rest covers the drift of clocks.
const LEASE_SHARE: f64 = 0.9;
/// Part of the bound after which an instance that hears nothing from others asks the store itself.
const RENEW_SHARE: f64 = 0.4;

/// What an instance knows of the age of its configuration. Times are in ms, by a clock that counts the time
/// for which the machine is suspended.
#[derive(Debug, Clone)]
pub struct Lease {
    /// Time within which a key that is taken away has to stop working, or `None` if there is no bound.
    bound: Option<Duration>,
    /// Last time at which the configuration in use was the newest.
    confirmed: Option<u64>,
}

impl Lease {
    /// Builds the lease of an instance that knows no configuration.
    pub fn new(bound: Option<Duration>) -> Self {
        Self {
            bound,
            confirmed: None,
        }
    }

    /// Returns whether there is a bound.
    pub fn is_bounded(&self) -> bool {
        self.bound.is_some()
    }

    /// Records that no configuration newer than the one in use existed at a time: that of the question, not
    /// of the answer.
    pub fn confirm(&mut self, at: u64) {
        self.confirmed = self.confirmed.max(Some(at));
    }

    /// Returns the time since the configuration in use was the newest.
    pub fn age(&self, now: u64) -> Option<Duration> {
        self.confirmed
            .map(|at| Duration::from_millis(now.saturating_sub(at)))
    }

    /// Returns whether the keys of the configuration may be used.
    pub fn is_valid(&self, now: u64) -> bool {
        self.has_age_below(LEASE_SHARE, now)
    }

    /// Returns whether the store has to be asked, as other instances have not confirmed the configuration.
    pub fn needs_store(&self, now: u64) -> bool {
        !self.has_age_below(RENEW_SHARE, now)
    }

    fn has_age_below(&self, share: f64, now: u64) -> bool {
        match self.bound {
            Some(bound) => self.age(now).is_some_and(|age| age < bound.mul_f64(share)),
            None => true,
        }
    }
}
