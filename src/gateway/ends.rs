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
    /// The ends at which events were missing.
    torn: Map<WorkerId, Vec<Duration>>,
}

impl Ends {
    /// Records the end of an answer.
    pub fn record(&mut self, worker: &WorkerId, now: Duration) {
        for ends in [&mut self.times, &mut self.torn] {
            ends.retain(|_, times| {
                times.retain(|t| now.saturating_sub(*t) < KEPT);
                !times.is_empty()
            });
        }
        self.times.entry(worker.clone()).or_default().push(now);
    }

    /// Records that events were missing at a recorded end.
    pub fn record_torn(&mut self, worker: &WorkerId, at: Duration) {
        self.torn.entry(worker.clone()).or_default().push(at);
    }

    /// Returns whether an answer of a worker was torn at about the time of a recorded end.
    pub fn is_torn(&self, worker: &WorkerId, at: Duration) -> bool {
        near(&self.torn, worker, at) > 0
    }

    /// Returns the number of other answers of a worker that ended at about the time of a recorded end.
    pub fn beside(&self, worker: &WorkerId, at: Duration) -> usize {
        near(&self.times, worker, at).saturating_sub(1)
    }
}

fn near(ends: &Map<WorkerId, Vec<Duration>>, worker: &WorkerId, at: Duration) -> usize {
    let times = ends.get(worker).into_iter().flatten();
    times.filter(|t| t.abs_diff(at) <= NEAR).count()
}
