//! Cost of claims in microseconds, by the number of jobs.

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

use fastrand::Rng;
use gentianpath::{
    ids::JobId,
    job_record::{JobRecord, JobState},
    jobs::Jobs,
    platform::Object,
    schedule::{ClaimableJob, Schedule},
};

use crate::decisions::{report, time};

/// Numbers of jobs that are measured; the last is the target size.
const SIZES: [usize; 3] = [16, 400, 4_200];
/// Teams at the target size.
const TEAMS: usize = 8_900;
/// Claims that are timed individually, because some of them halve the accounts of the teams.
const SINGLES: usize = 2_000;
/// Items of a claimed group.
const GROUP: u64 = 128;
/// Groups of a job.
const GROUPS: u32 = 200;
/// Range of the deadlines, in seconds.
const DAY: u64 = 86_400;

/// Measures and prints the rows.
pub fn print(seed: u64) {
    for size in SIZES {
        for due in [1..DAY, DAY..DAY + 1] {
            let equal = due.start == DAY;
            let name = if equal { ", equal deadlines" } else { "" };
            let mut rng = Rng::with_seed(seed);
            let jobs: Vec<ClaimableJob> = (0..size)
                .map(|i| waiting(i, rng.u64(due.clone()), &mut rng))
                .collect();
            claims(&jobs, name);
            changes(&jobs, name);
        }
        driver(size, seed);
    }
}

fn waiting(number: usize, due: u64, rng: &mut Rng) -> ClaimableJob {
    ClaimableJob {
        job: format!("job-{number}").into(),
        team: format!("team-{}", rng.usize(..TEAMS)).into(),
        model: "model".into(),
        due: Duration::from_secs(due),
    }
}

fn filled(jobs: &[ClaimableJob]) -> Schedule {
    let mut schedule = Schedule::default();
    jobs.iter().for_each(|j| schedule.put(j.clone()));
    schedule
}

fn claims(jobs: &[ClaimableJob], name: &str) {
    let mut schedule = filled(jobs);
    let mut claim = |_| {
        if let Some(job) = schedule.choose(Duration::ZERO, |_| true) {
            let team = &jobs[number(&job)].team;
            schedule.claimed(&job, team, GROUP);
        }
    };
    let size = jobs.len();
    let times = time(&mut claim);
    report(0, &format!("claim among {size} jobs{name}"), times);
    let slowest = (0..SINGLES).map(|_| single(&mut claim)).max();
    let slowest = slowest.unwrap_or_default().as_secs_f64() * 1e6;
    println!("| - | slowest of {SINGLES} claims among {size} jobs{name} | {slowest:.0} | - |");
}

fn single(claim: &mut impl FnMut(usize)) -> Duration {
    let start = Instant::now();
    claim(0);
    start.elapsed()
}

fn changes(jobs: &[ClaimableJob], name: &str) {
    let mut schedule = filled(jobs);
    let change = |i: usize| {
        let job = &jobs[i % jobs.len()];
        schedule.remove(&job.job);
        schedule.put(job.clone());
    };
    let name = format!("a job leaves and returns among {}{name}", jobs.len());
    report(0, &name, time(change));
}

/// Measures a claim by the driver: a group ends, and the next one is chosen and taken.
fn driver(size: usize, seed: u64) {
    let mut rng = Rng::with_seed(seed);
    let mut jobs = Jobs::new("entry-0".into());
    for i in 0..size {
        let job = waiting(i, rng.u64(1..DAY), &mut rng);
        jobs.observe(&object(&job));
    }
    let mut schedule = Schedule::default();
    let step = |i: usize| {
        let now = Duration::from_millis(i as u64);
        jobs.update(&mut schedule, now);
        let chosen = schedule.choose(Duration::ZERO, |_| true);
        let Some(key) = chosen.and_then(|job| jobs.take(&job, now)) else {
            return;
        };
        let team = jobs.get(&key.job).map(|j| j.record.team.clone());
        schedule.claimed(&key.job, &team.unwrap_or_default(), GROUP);
        jobs.give_back(&key, now + Duration::from_millis(5));
        black_box(&key);
    };
    report(
        0,
        &format!("claim by the driver among {size} jobs"),
        time(step),
    );
}

fn object(job: &ClaimableJob) -> Object {
    let record = JobRecord {
        team: job.team.clone(),
        model: job.model.clone(),
        deadline: job.due.as_secs(),
        items: u64::from(GROUPS) * GROUP,
        groups: GROUPS,
        never: 0,
        digest: "d".into(),
        token: Default::default(),
        state: JobState::Ready,
    };
    Object {
        name: job.job.clone(),
        version: 1,
        value: serde_json::to_value(record).unwrap_or_default(),
    }
}

fn number(job: &JobId) -> usize {
    job.rsplit('-')
        .next()
        .and_then(|n| n.parse().ok())
        .unwrap_or(0)
}
