//! Jobs in state `loading` whose submission has stopped (pure).

use std::time::Duration;

use crate::ids::{JobId, Map, Version};

/// Ranks for which closing waits longer each. It bounds the wait when the instances that come
/// first are paused or cut off from the object service.
const RANK_MOST: u32 = 3;

#[derive(Debug, Clone, Copy)]
struct Seen {
    version: Version,
    since: Duration,
}

/// A job that is to be closed if it still has the version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StaleJob {
    /// Job.
    pub job: JobId,
    /// Version that has not changed for the limit.
    pub version: Version,
}

/// Since when jobs have been loading, by this instance's clock.
#[derive(Debug, Default)]
pub struct LoadingJobs {
    seen: Map<JobId, Seen>,
}

impl LoadingJobs {
    /// Takes all jobs that are loading now, and returns one whose object has not changed for
    /// `limit`.
    ///
    /// `rank` is this instance's rank for a job, from 0. Each rank waits one limit more, so that
    /// mostly one instance writes.
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
            seen.insert(job.clone(), Seen { version, since });
        }
        self.seen = seen;
        let due = |s: &&StaleJob| {
            let age = now - self.seen[&s.job].since;
            age >= limit && age >= limit * (1 + (rank(&s.job) as u32).min(RANK_MOST))
        };
        jobs.iter().find(due).cloned()
    }
}
