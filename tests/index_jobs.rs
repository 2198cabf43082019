//! Comparison of the schedule's index with a scan of all jobs.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use gentianpath::{
    ids::{JobId, ModelId, TeamId},
    job_record::{Counts, GroupKey, JobRecord, JobState},
    jobs::Jobs,
    platform::Object,
    progress::Progress,
    schedule::{PendingJob, Schedule},
    sheet::Sheet,
};
use quickcheck::{Gen, QuickCheck};

const JOBS: u8 = 24;
const GROUPS: u32 = 3;
const GROUP_ITEMS: u64 = 10;

/// Reference implementation: the accounts and rules of the schedule, by a scan of all jobs.
#[derive(Default)]
struct Scan {
    accounts: BTreeMap<TeamId, f64>,
    turns: u64,
    latest: Option<JobId>,
}

impl Scan {
    fn choose(&mut self, jobs: &[PendingJob]) -> Option<JobId> {
        self.turns += 1;
        let overdue = self.fairest(jobs, |j| j.time_left.is_zero());
        let timely = jobs
            .iter()
            .filter(|j| j.items > 0 && !j.time_left.is_zero());
        let Some(first) = timely.map(|j| j.time_left).min() else {
            return overdue;
        };
        let horizon = first + Duration::from_secs(1).min(first) + first.mul_f64(0.05);
        if overdue.is_some() && self.turns.is_multiple_of(4) {
            return overdue;
        }
        self.fairest(jobs, |j| !j.time_left.is_zero() && j.time_left <= horizon)
    }

    fn claimed(&mut self, job: &JobId, team: &TeamId, items: u64) {
        self.latest = Some(job.clone());
        *self.accounts.entry(team.clone()).or_insert(0.0) += items as f64;
        if self.accounts.values().sum::<f64>() > 100_000.0 {
            self.accounts.values_mut().for_each(|a| *a /= 2.0);
            self.accounts.retain(|_, a| *a >= 1.0);
        }
    }

    fn fairest(
        &mut self,
        jobs: &[PendingJob],
        wanted: impl Fn(&PendingJob) -> bool,
    ) -> Option<JobId> {
        let open: Vec<_> = jobs.iter().filter(|j| j.items > 0 && wanted(j)).collect();
        let known = open.iter().filter_map(|j| self.accounts.get(&j.team));
        let lowest = known.copied().reduce(f64::min).unwrap_or(0.0);
        for job in &open {
            self.accounts.entry(job.team.clone()).or_insert(lowest);
        }
        let account = |j: &PendingJob| self.accounts[&j.team];
        let is_latest = |j: &&&PendingJob| self.latest.as_ref() == Some(&j.job);
        let latest = open.iter().find(is_latest);
        if let Some(latest) = latest.filter(|j| account(j) - lowest < 128.0) {
            return Some(latest.job.clone());
        }
        let best = open.into_iter().min_by(|a, b| {
            let accounts = account(a).total_cmp(&account(b));
            accounts.then_with(|| (a.time_left, &a.job).cmp(&(b.time_left, &b.job)))
        });
        best.map(|j| j.job.clone())
    }
}

struct World {
    jobs: Jobs,
    schedule: Schedule,
    scan: Scan,
    now: Duration,
    unix_now: Duration,
    version: u64,
    held: Vec<GroupKey>,
    choices: usize,
}

impl World {
    fn new() -> Self {
        Self {
            jobs: Jobs::new("a".into()),
            schedule: Schedule::default(),
            scan: Scan::default(),
            now: Duration::ZERO,
            unix_now: Duration::from_secs(1_000),
            version: 0,
            held: Vec::new(),
            choices: 0,
        }
    }

    /// Makes one change and returns whether index and scan then choose the same job.
    fn step(&mut self, (kind, a, b): (u8, u8, u8)) -> bool {
        let name = job(a);
        match kind % 12 {
            0 | 1 => self.observe(&name, b, JobState::Ready),
            2 => self.observe(&name, b, JobState::Cancelled),
            3 => self.finish(a),
            4 => self.give_back(a, Duration::from_millis(u64::from(b) * 20)),
            5 => self.merge(&name, b),
            6 => self.plan(&name, b),
            7 => self.now += Duration::from_millis(u64::from(b) * 10),
            8 => self.unix_now += Duration::from_millis(u64::from(a) * 500),
            9 if b < 32 => self.unix_now -= Duration::from_secs(u64::from(a % 20)),
            _ => {}
        }
        self.claim(a, b)
    }

    fn observe(&mut self, name: &JobId, b: u8, state: JobState) {
        self.version += 1;
        let record = JobRecord {
            team: format!("t{}", b % 5).into(),
            model: model(b / 5),
            deadline: 1_000 + u64::from(b % 64),
            items: GROUP_ITEMS * u64::from(GROUPS),
            groups: GROUPS,
            never: 0,
            digest: "d".into(),
            token: Default::default(),
            state,
        };
        self.jobs.observe(&Object {
            name: name.clone(),
            version: self.version,
            value: serde_json::to_value(record).expect("a record is JSON"),
        });
    }

    fn finish(&mut self, a: u8) {
        let key = match self.held.len() {
            // A group that was not taken, such as one of a cancelled job that is cleaned up.
            0 => GroupKey {
                job: job(a),
                index: u32::from(a) % GROUPS,
            },
            count => self.held.remove(usize::from(a) % count),
        };
        self.jobs.finish(&key, counts());
    }

    fn give_back(&mut self, a: u8, wait: Duration) {
        if !self.held.is_empty() {
            let key = self.held.remove(usize::from(a) % self.held.len());
            self.jobs.give_back(&key, self.now + wait);
        }
    }

    fn merge(&mut self, name: &JobId, b: u8) {
        let mut progress = Progress::default();
        for group in (0..GROUPS).filter(|g| b & (1 << g) != 0) {
            progress.add(group, counts());
        }
        self.jobs.merge(name, progress, self.now);
    }

    fn plan(&mut self, name: &JobId, b: u8) {
        let deadline = 1_000 + u64::from(b);
        let sheet = format!(
            r#"{{"deployment": "test", "throughput_weight": 0.5,
                "models": [{{"name": "m0", "version": "1", "slots": 4}}],
                "jobs": [{{"name": "{name}", "model": "m0", "deadline": {deadline}}}]}}"#
        );
        let sheet = Sheet::parse(&sheet).expect("the sheet is valid");
        self.jobs.set_sheet(Arc::new(sheet));
    }

    fn claim(&mut self, a: u8, b: u8) -> bool {
        let wanted = |m: &ModelId| (0..3).any(|i| (b >> i) & 1 == 0 && *m == model(i));
        self.jobs.update(&mut self.schedule, self.now);
        let pending = self.jobs.claimable(self.now, self.unix_now, wanted);
        let chosen = self.schedule.choose(self.unix_now, wanted);
        if chosen != self.scan.choose(&pending) {
            return false;
        }
        // Some choices lead to no claim, as when another instance claims the group first.
        let Some(job) = chosen.filter(|_| !b.is_multiple_of(3)) else {
            return true;
        };
        self.choices += 1;
        self.held.extend(self.jobs.take(&job, self.now));
        let team = self.jobs.get(&job).expect("chosen").record.team.clone();
        // Squares halve the accounts every few claims; small numbers stay within the quantum.
        let items = u64::from(a) * if b < 128 { u64::from(a) } else { 1 };
        self.schedule.claimed(&job, &team, items);
        self.scan.claimed(&job, &team, items);
        true
    }
}

fn job(number: u8) -> JobId {
    format!("j{}", number % JOBS).into()
}

fn model(number: u8) -> ModelId {
    format!("m{}", number % 3).into()
}

fn counts() -> Counts {
    Counts {
        done: GROUP_ITEMS,
        ..Counts::default()
    }
}

/// Guards against a change of jobs, deadlines, accounts or time that the index misses, so that it
/// chooses a job without a claimable group or skips one that is due.
#[test]
fn index_of_jobs_chooses_as_a_scan() {
    fn holds(steps: Vec<(u8, u8, u8)>) -> bool {
        let mut world = World::new();
        steps.into_iter().all(|s| world.step(s))
    }
    let generator = Gen::from_size_and_seed(400, 5);
    let mut check = QuickCheck::new().rng(generator).tests(400);
    check.quickcheck(holds as fn(Vec<(u8, u8, u8)>) -> bool);
}

/// Guards against random steps that rarely choose a job and so test nothing.
#[test]
fn random_steps_choose_jobs() {
    let mut rng = fastrand::Rng::with_seed(5);
    let mut world = World::new();
    for _ in 0..2_000 {
        assert!(world.step((rng.u8(..), rng.u8(..), rng.u8(..))));
    }
    assert!(world.choices > 200, "{} choices", world.choices);
}
