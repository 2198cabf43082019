//! Choice of the job whose group is claimed next.

use std::{collections::BTreeSet, time::Duration};

use crate::{
    ids::{JobId, Map, ModelId, TeamId},
    job_queue::{JobQueue, Place},
};

/// Deadlines this close to the earliest count as equally urgent.
const URGENCY_SLACK: Duration = Duration::from_secs(1);
/// Part of the earliest job's time left by which another may be later and equally urgent.
const URGENCY_SHARE: f64 = 0.05;
/// One claim in this many goes to a job past its deadline while others can still meet theirs.
const OVERDUE_TURN: u64 = 4;
/// Items by which a team may run ahead of the others before the turn changes; a full group. Items
/// of one job share a prompt prefix, which engines cache in limited memory.
const QUANTUM: f64 = 128.0;
/// Items in the share accounts at most, before all accounts are halved. It bounds how far back
/// earlier claims count against a team.
const ACCOUNT_LIMIT: f64 = 100_000.0;

/// A job that has work left.
#[derive(Debug, Clone, PartialEq)]
pub struct PendingJob {
    /// Name.
    pub job: JobId,
    /// Team that submitted it.
    pub team: TeamId,
    /// Time left until its deadline; zero when it has passed.
    pub left: Duration,
    /// Items that are not finished.
    pub items: u64,
}

/// A job with a group that can be claimed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimableJob {
    /// Name.
    pub job: JobId,
    /// Team that submitted it.
    pub team: TeamId,
    /// Model that answers its items.
    pub model: ModelId,
    /// Deadline, as time since 1970-01-01 UTC.
    pub due: Duration,
}

impl ClaimableJob {
    fn timely(&self) -> Place {
        self.place(self.due)
    }

    /// Overdue jobs are equally urgent and ordered by name.
    fn overdue(&self) -> Place {
        self.place(Duration::ZERO)
    }

    fn place(&self, due: Duration) -> Place {
        Place {
            due,
            job: self.job.clone(),
            team: self.team.clone(),
        }
    }
}

/// Jobs of one model.
#[derive(Debug, Default)]
struct ModelJobs {
    timely: JobQueue,
    overdue: JobQueue,
    /// All timely jobs.
    line: BTreeSet<Place>,
}

impl ModelJobs {
    fn side(&self, side: Side) -> &JobQueue {
        match side {
            Side::Timely => &self.timely,
            Side::Overdue => &self.overdue,
        }
    }

    fn insert(&mut self, job: &ClaimableJob, side: Side, account: Option<f64>) {
        match side {
            Side::Overdue => self.overdue.insert(job.overdue(), account),
            Side::Timely => {
                self.line.insert(job.timely());
                self.timely.insert(job.timely(), account);
            }
        }
    }

    fn remove(&mut self, job: &ClaimableJob, side: Side, account: Option<f64>) {
        match side {
            Side::Overdue => self.overdue.remove(&job.overdue(), account),
            Side::Timely => {
                self.line.remove(&job.timely());
                self.timely.remove(&job.timely(), account);
            }
        }
    }

    fn set_account(&mut self, team: &TeamId, before: Option<f64>, after: Option<f64>) {
        self.timely.set_account(team, before, after);
        self.overdue.set_account(team, before, after);
    }
}

/// Where a job stands to its deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Side {
    Timely,
    Overdue,
}

/// Chooses jobs by deadline with fair shares, among those that were put into it. A choice and each
/// change take a time logarithmic in the number of jobs.
#[derive(Debug, Default)]
pub struct Schedule {
    accounts: Map<TeamId, f64>,
    /// Sum of the accounts.
    total: f64,
    turns: u64,
    latest: Option<JobId>,
    jobs: Map<JobId, (ClaimableJob, Side)>,
    models: Map<ModelId, ModelJobs>,
    today: Duration,
}

impl Schedule {
    /// Takes a job that can be claimed, or a change of its deadline.
    pub fn put(&mut self, job: ClaimableJob) {
        if self
            .jobs
            .get(&job.job)
            .is_some_and(|(known, _)| *known == job)
        {
            return;
        }
        self.remove(&job.job);
        self.insert(job);
    }

    /// Forgets a job that cannot be claimed any more or for now.
    pub fn remove(&mut self, job: &str) {
        let Some((job, side)) = self.jobs.remove(job) else {
            return;
        };
        let account = self.accounts.get(&job.team).copied();
        if let Some(model) = self.models.get_mut(&job.model) {
            model.remove(&job, side, account);
        }
    }

    /// Chooses the job to claim a group of, among those of wanted models. `today` is the time
    /// since 1970-01-01 UTC.
    pub fn choose(&mut self, today: Duration, wanted: impl Fn(&ModelId) -> bool) -> Option<JobId> {
        self.turns += 1;
        self.advance(today);
        let overdue = self.fairest(Side::Overdue, today, &wanted);
        let Some(last) = self.horizon(&wanted) else {
            return overdue;
        };
        if overdue.is_some() && self.turns.is_multiple_of(OVERDUE_TURN) {
            return overdue;
        }
        self.fairest(Side::Timely, last, &wanted)
    }

    /// Records that items of a job were claimed.
    pub fn claimed(&mut self, job: &JobId, team: &TeamId, items: u64) {
        self.latest = Some(job.clone());
        let account = self.accounts.get(team).copied().unwrap_or(0.0);
        self.set_account(team, Some(account + items as f64));
        if self.total > ACCOUNT_LIMIT {
            self.halve();
        }
    }

    /// Returns the jobs, as indices, that cannot meet their deadline at a rate of `rate` items a
    /// second for all jobs together.
    pub fn infeasible(&self, jobs: &[PendingJob], rate: f64) -> Vec<usize> {
        let mut order: Vec<usize> = (0..jobs.len()).filter(|&i| jobs[i].items > 0).collect();
        order.sort_by_key(|&i| jobs[i].left);
        let mut before = 0.0;
        order.retain(|&i| {
            let possible = rate.max(0.0) * jobs[i].left.as_secs_f64();
            before += jobs[i].items as f64;
            let late = before > possible;
            // A late job takes no more than the time until its deadline from those after it.
            before = before.min(possible);
            late
        });
        order
    }

    fn insert(&mut self, job: ClaimableJob) {
        let side = match job.due <= self.today {
            true => Side::Overdue,
            false => Side::Timely,
        };
        let account = self.accounts.get(&job.team).copied();
        let model = self.models.entry(job.model.clone()).or_default();
        model.insert(&job, side, account);
        self.jobs.insert(job.job.clone(), (job, side));
    }

    fn set_account(&mut self, team: &TeamId, after: Option<f64>) {
        let before = match after {
            Some(account) => self.accounts.insert(team.clone(), account),
            None => self.accounts.remove(team),
        };
        self.total += after.unwrap_or(0.0) - before.unwrap_or(0.0);
        for model in self.models.values_mut() {
            model.set_account(team, before, after);
        }
    }

    /// Halves all accounts and drops small ones. Linear in teams, once in 50,000 items; about 1 ms for
    /// 4,200 teams.
    fn halve(&mut self) {
        self.accounts.values_mut().for_each(|a| *a /= 2.0);
        self.total = self.accounts.values().sum();
        for model in self.models.values_mut() {
            model.timely.halve();
            model.overdue.halve();
        }
        let small = self.accounts.iter().filter(|(_, a)| **a < 1.0);
        let small: Vec<TeamId> = small.map(|(t, _)| t.clone()).collect();
        for team in small {
            self.set_account(&team, None);
        }
    }

    /// Moves jobs whose deadline has passed. Each job moves once, unless the clock is set back.
    fn advance(&mut self, today: Duration) {
        let back = today < self.today;
        self.today = today;
        let moved: Vec<JobId> = match back {
            true => self.jobs.keys().cloned().collect(),
            false => self.passed(today),
        };
        for job in moved {
            let Some((waiting, _)) = self.jobs.get(&job).cloned() else {
                continue;
            };
            self.remove(&job);
            self.insert(waiting);
        }
    }

    fn passed(&self, today: Duration) -> Vec<JobId> {
        let lines = self.models.values().map(|m| &m.line);
        let due = |line: &'_ BTreeSet<Place>| -> Vec<JobId> {
            let passed = line.iter().take_while(|p| p.due <= today);
            passed.map(|p| p.job.clone()).collect()
        };
        lines.flat_map(due).collect()
    }

    /// Returns the deadline up to which jobs are as urgent as the earliest that is not overdue.
    fn horizon(&self, wanted: &impl Fn(&ModelId) -> bool) -> Option<Duration> {
        let models = self.models.iter().filter(|(m, _)| wanted(m));
        let first = models
            .filter_map(|(_, m)| Some(m.line.first()?.due))
            .min()?;
        let left = first - self.today;
        Some(first + URGENCY_SLACK.min(left) + left.mul_f64(URGENCY_SHARE))
    }

    /// Returns the job of the latest claim as long as its team's turn lasts, or else the earliest
    /// job of the team with the smallest account, among jobs due up to `last`.
    fn fairest(
        &mut self,
        side: Side,
        last: Duration,
        wanted: &impl Fn(&ModelId) -> bool,
    ) -> Option<JobId> {
        let lowest = self.least(side, last, wanted).map_or(0.0, |(a, _)| a);
        // A team without claims so far starts level with the others, not with their whole past
        // as an advance.
        for team in self.fresh(side, last, wanted) {
            self.set_account(&team, Some(lowest));
        }
        if let Some((latest, at)) = self.latest.as_ref().and_then(|l| self.jobs.get(l)) {
            let open = *at == side && latest.due <= last && wanted(&latest.model);
            if open && self.accounts[&latest.team] - lowest < QUANTUM {
                return Some(latest.job.clone());
            }
        }
        self.least(side, last, wanted).map(|(_, p)| p.job.clone())
    }

    fn least(
        &self,
        side: Side,
        last: Duration,
        wanted: &impl Fn(&ModelId) -> bool,
    ) -> Option<(f64, &Place)> {
        let models = self.models.iter().filter(|(m, _)| wanted(m));
        let least = models.filter_map(|(_, m)| m.side(side).least(last));
        least.min_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(b.1)))
    }

    fn fresh(&self, side: Side, last: Duration, wanted: &impl Fn(&ModelId) -> bool) -> Vec<TeamId> {
        let models = self.models.iter().filter(|(m, _)| wanted(m));
        let fresh = models.flat_map(|(_, m)| m.side(side).fresh(last));
        fresh.cloned().collect()
    }
}
