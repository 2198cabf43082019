//! Observed rate of finished items, for the early report of jobs that are too large (pure).

use std::time::Duration;

/// Interval of the samples.
const SAMPLE: Duration = Duration::from_secs(1);
/// Part of a new sample in the average: the rate follows changes within about half a minute.
const WEIGHT: f64 = 0.05;
/// Samples before the rate says anything.
const SAMPLES_LEAST: u32 = 10;

/// Items a second that this instance finishes while there is work.
#[derive(Debug, Clone, Default)]
pub struct Rate {
    average: f64,
    samples: u32,
    items: u64,
    from: Duration,
}

impl Rate {
    /// Counts a finished item.
    pub fn count(&mut self) {
        self.items += 1;
    }

    /// Closes the sample when it is due and says whether it was. A sample without work left says
    /// nothing about the capacity and is dropped.
    pub fn sample(&mut self, now: Duration, work: bool) -> bool {
        let span = now.saturating_sub(self.from);
        if span < SAMPLE {
            return false;
        }
        let rate = self.items as f64 / span.as_secs_f64();
        self.items = 0;
        self.from = now;
        if work {
            self.samples = self.samples.saturating_add(1);
            let weight = WEIGHT.max(1.0 / f64::from(self.samples));
            self.average += weight * (rate - self.average);
        }
        true
    }

    /// Returns the rate; nothing before it is known.
    pub fn get(&self) -> Option<f64> {
        (self.samples >= SAMPLES_LEAST).then_some(self.average)
    }
}
