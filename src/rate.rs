//! Observed rate of finished items, used to report early that a job cannot finish in time. Without
//! I/O.

use std::time::Duration;

/// Interval between samples.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);
/// Weight of a new sample in the moving average, so that the rate follows changes within about half
/// a minute.
const WEIGHT: f64 = 0.05;
/// Minimum number of samples before a rate is returned.
const MIN_SAMPLES: u32 = 10;

/// Rate at which this instance finishes items while it has work, in items per second.
#[derive(Debug, Clone, Default)]
pub struct Rate {
    average: f64,
    samples: u32,
    items: u64,
    sample_start: Duration,
}

impl Rate {
    /// Counts a finished item.
    pub fn count(&mut self) {
        self.items += 1;
    }

    /// Closes the sample if it is due and returns whether it was. A sample that ends without
    /// remaining work does not show the capacity and is dropped.
    pub fn sample(&mut self, now: Duration, has_work: bool) -> bool {
        let span = now.saturating_sub(self.sample_start);
        if span < SAMPLE_INTERVAL {
            return false;
        }
        let rate = self.items as f64 / span.as_secs_f64();
        self.items = 0;
        self.sample_start = now;
        if has_work {
            self.samples = self.samples.saturating_add(1);
            let weight = WEIGHT.max(1.0 / f64::from(self.samples));
            self.average += weight * (rate - self.average);
        }
        true
    }

    /// Returns the rate, or `None` before enough samples were taken.
    pub fn get(&self) -> Option<f64> {
        (self.samples >= MIN_SAMPLES).then_some(self.average)
    }
}
