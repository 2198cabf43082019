//! Detection of jobs in state `loading` whose submission has stopped (pure functions).

use std::time::Duration;

use crate::ids::{JobId, Map, Version};

/// Highest rank that lengthens the wait before closing. It bounds the wait when the instances of
/// lower ranks are paused or cut off from the object service.
const RANK_LIMIT: u32 = 3;

#[derive(Debug, Clone, Copy)]
struct Observation {
    version: Version,
    since: Duration,
}

/// A job in state `loading` with a version, to be closed only if it still has that version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StaleJob {
    /// Name of the job.
    pub job: JobId,
    /// Version of its object.
    pub version: Version,
}

/// Jobs in state `loading` and when each was first seen at its version, by the local clock.
#[derive(Debug, Default)]
pub struct LoadingJobs {
    seen: Map<JobId, Observation>,
}

impl LoadingJobs {
    /// Records all jobs in state `loading` and returns one whose object has not changed for
    /// `limit`.
    ///
    /// `rank` returns the rank of this instance for a job, from 0. Each rank waits one `limit`
    /// longer, so that usually only one instance writes.
    pub fn observe(
        &mut self,
        jobs: &[StaleJob],
        now: Duration,
        limit: Duration,
        rank: impl Fn(&JobId) -> usize,
    ) -> Option<StaleJob> {
        let mut seen = Map::default();
        for StaleJob { job, version } in jobs {
            let known = self.seen.get(job).filter(|s| s.version == *version);
            let since = known.map_or(now, |s| s.since);
            let version = *version;
            seen.insert(job.clone(), Observation { version, since });
        }
        self.seen = seen;
        let due = |s: &&StaleJob| {
            let age = now - self.seen[&s.job].since;
            age >= limit && age >= limit * (1 + (rank(&s.job) as u32).min(RANK_LIMIT))
        };
        jobs.iter().find(due).cloned()
    }
}
