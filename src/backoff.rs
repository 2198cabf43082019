//! Waits between retries: exponential with full jitter.

use std::time::Duration;

/// Grows with each failure in a row and starts again after a success.
#[derive(Debug, Clone)]
pub struct Backoff {
    base: Duration,
    cap: Duration,
    failures: u32,
}

impl Backoff {
    /// Builds a backoff whose waits stay below `base` at first and below `cap` at last.
    pub fn new(base: Duration, cap: Duration) -> Self {
        Self {
            base,
            cap,
            failures: 0,
        }
    }

    /// Counts a failure and returns how long to wait: any time up to the bound, so that callers
    /// which failed together do not come back together.
    pub fn fail(&mut self, rng: &mut fastrand::Rng) -> Duration {
        let doubled = self.base.saturating_mul(1 << self.failures.min(16));
        self.failures += 1;
        doubled.min(self.cap).mul_f64(rng.f64())
    }

    /// Forgets earlier failures.
    pub fn succeed(&mut self) {
        self.failures = 0;
    }

    /// Returns the number of failures in a row.
    pub fn failures(&self) -> u32 {
        self.failures
    }
}
