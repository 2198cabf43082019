//! Exponential backoff with full jitter.

use std::time::Duration;

/// Delay between retries, whose bound doubles with each consecutive failure and resets on success.
#[derive(Debug, Clone)]
pub struct Backoff {
    base: Duration,
    cap: Duration,
    failures: u32,
}

impl Backoff {
    /// Builds a backoff whose first delay is below `base` and whose delays never exceed `cap`.
    pub fn new(base: Duration, cap: Duration) -> Self {
        Self {
            base,
            cap,
            failures: 0,
        }
    }

    /// Records a failure and returns the delay: a random time up to the bound, so that callers
    /// which failed together do not retry together.
    pub fn fail(&mut self, rng: &mut fastrand::Rng) -> Duration {
        let doubled = self.base.saturating_mul(1 << self.failures.min(16));
        self.failures += 1;
        doubled.min(self.cap).mul_f64(rng.f64())
    }

    /// Resets the number of failures.
    pub fn succeed(&mut self) {
        self.failures = 0;
    }

    /// Returns the number of consecutive failures.
    pub fn failures(&self) -> u32 {
        self.failures
    }
}
