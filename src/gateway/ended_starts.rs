//! Starts that the list of workers names and that others have replaced, by the reports of the workers (no I/O).

use std::time::Duration;

use crate::ids::{Map, WorkerId};

use super::fleet::Worker;

/// Time after which a listed start is tried again, as a report may be damaged.
const RETRY_TIME: Duration = Duration::from_secs(1);

/// Starts that the list of workers names and that others have replaced.
#[derive(Debug, Default)]
pub struct EndedStarts {
    ended: Map<WorkerId, EndedStart>,
}

#[derive(Debug)]
struct EndedStart {
    started: Option<u64>,
    recorded: Duration,
}

impl EndedStarts {
    /// Records that another process has replaced the listed start of a worker.
    pub fn record(&mut self, worker: &Worker, now: Duration) {
        let ended = EndedStart {
            started: worker.started,
            recorded: now,
        };
        self.ended.insert(worker.id.clone(), ended);
    }

    /// Returns whether the listed start of a worker has ended, as far as is known.
    pub fn contains(&self, worker: &Worker, now: Duration) -> bool {
        let ended = self.ended.get(&worker.id);
        ended.is_some_and(|e| e.started == worker.started && now < e.recorded + RETRY_TIME)
    }

    /// Forgets starts that the list no longer names.
    pub fn update<'a>(&mut self, find: impl Fn(&WorkerId) -> Option<&'a Worker>) {
        self.ended
            .retain(|id, ended| find(id).is_some_and(|w| w.started == ended.started));
    }
}
