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

/// Items of a claimed group. Smaller than the system's limit, in proportion to the length of a
/// trace against a day.
const GROUP: u64 = 16;
/// Teams that submit jobs.
const TEAMS: usize = 4;
/// Jobs with a deadline inside the trace.
const JOBS: usize = 12;
/// Part of the idle capacity that the jobs with a deadline need.
const LOAD: f64 = 0.7;
/// Items of the job that fills all capacity left over.
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
    /// Items that no instance has claimed.
    pub unclaimed: u64,
    /// Items that are not finished.
    pub unfinished: u64,
    /// Time at which the last item was finished.
    pub finished: Option<Micros>,
}

/// Makes the jobs of a trace for an idle capacity of `rate` items a second. All deadlines are
/// feasible with a part of that rate; the last job never ends.
pub fn jobs(kind: Kind, rate: f64, length: Micros, rng: &mut Rng) -> Vec<Job> {
    let mut jobs: Vec<Job> = (0..JOBS)
        .map(|i| {
            let due = deadline(kind, i, length, rng);
            make(i, due, 0)
        })
        .collect();
    jobs.sort_by_key(|j| j.due);
    let mut before = 0.0;
    for (i, job) in jobs.iter_mut().enumerate() {
        let possible = rate * LOAD * job.due as f64 / 1e6;
        let left = (JOBS - i) as f64;
        // The last jobs of a rush share what is left; others take it in order.
        let part = if kind == Kind::Rush { left } else { 1.0 };
        let items = (possible - before) / part;
        job.unclaimed = items.max(1.0) as u64;
        job.unfinished = job.unclaimed;
        before += job.unclaimed as f64;
    }
    jobs.push(make(JOBS, length * 10, BACKLOG));
    jobs
}

/// Returns a job as the schedule takes it.
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

fn make(index: usize, due: Micros, items: u64) -> Job {
    Job {
        name: format!("job-{index}").into(),
        team: format!("team-{}", index % TEAMS).into(),
        due,
        unclaimed: items,
        unfinished: items,
        finished: None,
    }
}

/// Deadlines are spread over the trace; those of a rush lie within its fifth sixth.
fn deadline(kind: Kind, index: usize, length: Micros, rng: &mut Rng) -> Micros {
    let slot = length / (JOBS as u64 + 1);
    match kind {
        Kind::Rush => length * 4 / 6 + rng.u64(..length / 6),
        _ => slot * (index as u64 + 1) + rng.u64(..slot / 2),
    }
}
