//! Answers that ended with their connection, by worker (no I/O).

use std::time::Duration;

use crate::ids::{Map, WorkerId};

/// Time between two ends at one worker that count as ends at the same time. A worker that closes all its
/// answers does so within the pause between two of their events.
const NEAR: Duration = Duration::from_millis(100);
/// Time for which an end is remembered, longer than any decision on it takes.
const KEPT: Duration = Duration::from_secs(5);

/// Times at which answers of workers ended with their connection.
#[derive(Debug, Default)]
pub struct Ends {
    times: Map<WorkerId, Vec<Duration>>,
}

impl Ends {
    /// Records the end of an answer.
    pub fn record(&mut self, worker: &WorkerId, now: Duration) {
        self.times.retain(|_, times| {
            times.retain(|t| now.saturating_sub(*t) < KEPT);
            !times.is_empty()
        });
        self.times.entry(worker.clone()).or_default().push(now);
    }

    /// Returns the number of other answers of a worker that ended at about the time of a recorded end.
    pub fn beside(&self, worker: &WorkerId, at: Duration) -> usize {
        let times = self.times.get(worker).into_iter().flatten();
        let near = times.filter(|t| t.abs_diff(at) <= NEAR).count();
        near.saturating_sub(1)
    }
}
