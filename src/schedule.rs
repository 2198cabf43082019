//! Choice of the job whose group is claimed next.

use std::time::Duration;

use crate::ids::{JobId, TeamId};

/// A job that has work left.
#[derive(Debug, Clone, PartialEq)]
pub struct Pending {
    /// Name.
    pub job: JobId,
    /// Team that submitted it.
    pub team: TeamId,
    /// Time left until its deadline; zero when it has passed.
    pub left: Duration,
    /// Items that are not finished.
    pub items: u64,
}

/// Chooses jobs by deadline with fair shares.
#[derive(Debug, Default)]
pub struct Schedule {}

impl Schedule {
    /// Chooses the job to claim a group of; an index into `jobs`.
    pub fn choose(&mut self, jobs: &[Pending]) -> Option<usize> {
        let first = jobs.iter().enumerate().min_by_key(|(_, j)| j.left)?;
        Some(first.0)
    }

    /// Records that items of a job were claimed.
    pub fn claimed(&mut self, _job: &JobId, _team: &TeamId, _items: u64) {}

    /// Returns the jobs, as indices, that cannot meet their deadline at a rate of `rate` items a
    /// second for all jobs together.
    pub fn infeasible(&self, jobs: &[Pending], rate: f64) -> Vec<usize> {
        let mut order: Vec<usize> = (0..jobs.len()).collect();
        order.sort_by_key(|&i| jobs[i].left);
        let mut before = 0;
        order.retain(|&i| {
            before += jobs[i].items;
            before as f64 > rate * jobs[i].left.as_secs_f64()
        });
        order
    }
}
