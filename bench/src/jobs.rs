//! Batch jobs of a trace and the claims on them.

use std::time::Duration;

use fastrand::Rng;
use gentianpath::{
    ids::{JobId, TeamId},
    schedule::ClaimableJob,
};

use crate::{
    Micros,
    entry::MODEL,
    trace::{Item, Kind, item},
};

/// Items of a claimed group. It is smaller than the limit of the system, because a trace is much
/// shorter than a day.
const GROUP: u64 = 16;
/// Teams that submit jobs.
const TEAMS: usize = 4;
/// Jobs with a deadline inside the trace.
const JOBS: usize = 12;
/// Fraction of the idle capacity that the jobs with a deadline need.
const LOAD: f64 = 0.7;
/// Items of the last job, which uses all remaining capacity.
const BACKLOG: u64 = u64::MAX / 4;

/// A batch job.
#[derive(Debug, Clone)]
pub struct Job {
    /// Name.
    pub name: JobId,
    /// Team.
    pub team: TeamId,
    /// Deadline.
    pub due: Micros,
    /// Unclaimed items.
    pub unclaimed: u64,
    /// Unfinished items.
    pub unfinished: u64,
    /// Time at which the last item was finished.
    pub finished: Option<Micros>,
}

/// Creates the jobs of a trace for an idle capacity of `rate` items per second. All deadlines are
/// feasible at a fraction of that rate; the last job never ends.
pub fn jobs(kind: Kind, rate: f64, length: Micros, rng: &mut Rng) -> Vec<Job> {
    let mut jobs: Vec<Job> = (0..JOBS)
        .map(|i| {
            let due = deadline(kind, i, length, rng);
            job(i, due, 0)
        })
        .collect();
    jobs.sort_by_key(|j| j.due);
    let mut before = 0.0;
    for (i, job) in jobs.iter_mut().enumerate() {
        let possible = rate * LOAD * job.due as f64 / 1e6;
        let left = (JOBS - i) as f64;
        // In a rush all jobs share the capacity; otherwise each takes the rest up to its deadline.
        let part = if kind == Kind::Rush { left } else { 1.0 };
        let items = (possible - before) / part;
        job.unclaimed = items.max(1.0) as u64;
        job.unfinished = job.unclaimed;
        before += job.unclaimed as f64;
    }
    jobs.push(job(JOBS, length * 10, BACKLOG));
    jobs
}

/// Converts a job for the schedule.
pub fn waiting(job: &Job) -> ClaimableJob {
    ClaimableJob {
        job: job.name.clone(),
        team: job.team.clone(),
        model: MODEL.into(),
        due: Duration::from_micros(job.due),
    }
}

/// Claims a group of a job and returns its items.
pub fn claim(jobs: &mut [Job], index: usize, rng: &mut Rng) -> Vec<Item> {
    let job = &mut jobs[index];
    let count = job.unclaimed.min(GROUP);
    job.unclaimed -= count;
    (0..count).map(|_| item(index, rng)).collect()
}

fn job(index: usize, due: Micros, items: u64) -> Job {
    Job {
        name: format!("job-{index}").into(),
        team: format!("team-{}", index % TEAMS).into(),
        due,
        unclaimed: items,
        unfinished: items,
        finished: None,
    }
}

/// Returns a deadline. Deadlines are spread over the trace; those of a rush are in its fifth sixth.
fn deadline(kind: Kind, index: usize, length: Micros, rng: &mut Rng) -> Micros {
    let slot = length / (JOBS as u64 + 1);
    match kind {
        Kind::Rush => length * 4 / 6 + rng.u64(..length / 6),
        _ => slot * (index as u64 + 1) + rng.u64(..slot / 2),
    }
}
