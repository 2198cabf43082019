//! Choice of jobs by deadline with fair shares between teams.

use std::{collections::BTreeMap, time::Duration};

use gentianpath::schedule::{ClaimableJob, PendingJob, Schedule};
use quickcheck::{Gen, QuickCheck};

const UNIX_NOW: Duration = Duration::from_secs(1_000);

fn job(name: &str, team: &str, time_left: u64, items: u64) -> PendingJob {
    PendingJob {
        job: name.into(),
        team: team.into(),
        time_left: Duration::from_secs(time_left),
        items,
    }
}

/// Updates the schedule with the jobs and chooses one of them.
fn choose(schedule: &mut Schedule, jobs: &[PendingJob]) -> Option<usize> {
    for job in jobs {
        let claimable = ClaimableJob {
            job: job.job.clone(),
            team: job.team.clone(),
            model: "m".into(),
            due: UNIX_NOW + job.time_left,
        };
        match job.items {
            0 => schedule.remove(&job.job),
            _ => schedule.put(claimable),
        }
    }
    let chosen = schedule.choose(UNIX_NOW, |_| true)?;
    jobs.iter().position(|j| j.job == chosen)
}

/// Claims groups of 10 items and returns the number of groups of each job.
fn claim(
    schedule: &mut Schedule,
    jobs: &mut [PendingJob],
    rounds: usize,
) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for _ in 0..rounds {
        let Some(i) = choose(schedule, jobs) else {
            break;
        };
        jobs[i].items = jobs[i].items.saturating_sub(10);
        schedule.claimed(&jobs[i].job, &jobs[i].team, 10);
        *counts.entry(jobs[i].job.to_string()).or_default() += 1;
    }
    counts
}

/// Guards against a small job due soon that waits behind a large one due later, also when its team
/// has claimed many items before.
#[test]
fn early_due_job_is_not_starved() {
    let mut schedule = Schedule::default();
    schedule.claimed(&"past".into(), &"small".into(), 50_000);
    let mut jobs = [
        job("large", "big", 3_600, 1_000_000),
        job("soon", "small", 60, 50),
    ];
    let counts = claim(&mut schedule, &mut jobs, 6);
    assert_eq!(counts.get("soon"), Some(&5));
}

/// Guards against a team that takes all capacity with many jobs of the same deadline.
#[test]
fn teams_share_at_equal_urgency() {
    let mut schedule = Schedule::default();
    let mut jobs = vec![job("single", "a", 600, 10_000)];
    jobs.extend((0..9).map(|i| job(&format!("many-{i}"), "b", 600, 10_000)));
    let counts = claim(&mut schedule, &mut jobs, 400);
    // The quantum is one group of 128 items: 13 claims of 10.
    assert!(counts["single"].abs_diff(200) <= 13, "{counts:?}");
}

/// Guards against overdue jobs that take all capacity, and against overdue jobs that starve.
#[test]
fn overdue_jobs_get_a_bounded_share() {
    let mut schedule = Schedule::default();
    let mut jobs = [job("late", "a", 0, 10_000), job("timely", "b", 600, 10_000)];
    let counts = claim(&mut schedule, &mut jobs, 100);
    assert_eq!((counts["late"], counts["timely"]), (25, 75));
}

/// Guards against an infeasible job that is not reported, or that makes feasible ones infeasible.
#[test]
fn infeasible_jobs_are_reported_alone() {
    let jobs = [
        job("fits", "a", 10, 50),
        job("too-large", "a", 20, 500),
        job("later", "b", 100, 700),
        job("empty", "b", 0, 0),
    ];
    assert_eq!(Schedule::default().infeasible(&jobs, 10.0), [1]);
    assert_eq!(Schedule::default().infeasible(&jobs, 0.0), [0, 1, 2]);
}

/// Guards against the choice of a finished job, or of none while items are left.
#[test]
fn choice_has_items_whenever_there_are_some() {
    fn holds(jobs: Vec<(u8, u8, u8)>) -> bool {
        let make = |(i, &(team, time_left, items)): (usize, &(u8, u8, u8))| {
            let (job_name, team) = (format!("j{i}"), format!("t{}", team % 4));
            job(&job_name, &team, u64::from(time_left), u64::from(items))
        };
        let jobs: Vec<PendingJob> = jobs.iter().enumerate().map(make).collect();
        match choose(&mut Schedule::default(), &jobs) {
            Some(i) => jobs[i].items > 0,
            None => jobs.iter().all(|j| j.items == 0),
        }
    }
    let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(30, 12));
    check.quickcheck(holds as fn(Vec<(u8, u8, u8)>) -> bool);
}
