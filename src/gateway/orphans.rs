//! Jobs that are known here and that no instance runs (no I/O).

use std::time::Duration;

use crate::ids::{JobId, Map};

use super::peers;

/// Time for which no instance announces a job before it counts as orphaned: that for which an
/// instance that is gone is still trusted, and the time of a search of the store after that.
const ORPHAN_TIMEOUT: Duration = peers::LIVENESS_TIMEOUT.saturating_mul(2);

/// Times since when no instance announces a job.
#[derive(Debug, Default)]
pub struct Orphans {
    since: Map<JobId, Duration>,
}

impl Orphans {
    /// Records the jobs that no instance announces now, and returns those that became orphaned. One
    /// that remains so is returned again after the same time.
    pub fn update(&mut self, unannounced: Vec<JobId>, now: Duration) -> Vec<JobId> {
        let mut since = Map::default();
        let mut orphaned = Vec::new();
        for job in unannounced {
            let begin = self.since.get(&job).copied().unwrap_or(now);
            let is_orphaned = now >= begin + ORPHAN_TIMEOUT;
            since.insert(job.clone(), if is_orphaned { now } else { begin });
            if is_orphaned {
                orphaned.push(job);
            }
        }
        self.since = since;
        orphaned
    }
}
