//! Time between the events of one answer.

use std::time::Duration;

/// Gaps of an answer from which on it tells the pace of its worker.
const MIN_GAPS: u32 = 4;
/// Time after an event for which the caller may take it before the next gap counts no more: it then tells how
/// fast the caller reads.
const CALLER_TIME: Duration = Duration::from_millis(10);

/// Gaps between the events of an answer.
#[derive(Debug, Clone, Default)]
pub struct Gaps {
    last: Option<Duration>,
    is_waited: bool,
    sum: Duration,
    longest: Duration,
    count: u32,
}

impl Gaps {
    /// Records that the next event is waited for.
    pub fn begin_wait(&mut self, now: Duration) {
        let since = |last| now.saturating_sub(last);
        self.is_waited = self.last.is_some_and(|last| since(last) <= CALLER_TIME);
    }

    /// Records an event. The time to the first one depends on the prompt and does not count.
    pub fn record(&mut self, now: Duration) {
        if let Some(last) = self.last.replace(now)
            && self.is_waited
        {
            let gap = now.saturating_sub(last);
            self.sum += gap;
            self.longest = self.longest.max(gap);
            self.count += 1;
        }
        self.is_waited = false;
    }

    /// Returns the mean gap without the longest one, which may be a short stall of the worker.
    pub fn pace(&self) -> Option<Duration> {
        (self.count >= MIN_GAPS).then(|| (self.sum - self.longest) / (self.count - 1))
    }
}
