//! Earliest-deadline-first choice of the next job to claim, with fair shares between teams.

use std::{collections::BTreeSet, time::Duration};

use crate::{
    ids::{JobId, Map, ModelId, TeamId},
    job_queue::{JobQueue, QueueEntry},
};

/// Deadlines within this time of the earliest one are equally urgent.
const URGENCY_SLACK: Duration = Duration::from_secs(1);
/// Share of the time left until the earliest deadline that extends the window of equally urgent
/// deadlines.
const URGENCY_SHARE: f64 = 0.05;
/// While other jobs can still meet their deadline, one claim in this many goes to an overdue job.
const OVERDUE_INTERVAL: u64 = 4;
/// Items by which a team's account may exceed the lowest one before another team is chosen: a full
/// group. Items of one job share a prompt prefix, which engines cache in limited memory.
const QUANTUM: f64 = 128.0;
/// Sum of the accounts, in items, above which all accounts are halved. It bounds how long past
/// claims count against a team.
const ACCOUNT_LIMIT: f64 = 100_000.0;

/// A job with unfinished items.
#[derive(Debug, Clone, PartialEq)]
pub struct PendingJob {
    /// Name of the job.
    pub job: JobId,
    /// Team that submitted it.
    pub team: TeamId,
    /// Time left until its deadline; zero when it has passed.
    pub time_left: Duration,
    /// Number of unfinished items.
    pub items: u64,
}

/// A job with a group that can be claimed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimableJob {
    /// Name of the job.
    pub job: JobId,
    /// Team that submitted it.
    pub team: TeamId,
    /// Model that runs its items.
    pub model: ModelId,
    /// Deadline, as time since 1970-01-01 UTC.
    pub due: Duration,
}

impl ClaimableJob {
    fn timely_entry(&self) -> QueueEntry {
        self.entry(self.due)
    }

    /// Returns an entry without the deadline: overdue jobs are equally urgent and ordered by name.
    fn overdue_entry(&self) -> QueueEntry {
        self.entry(Duration::ZERO)
    }

    fn entry(&self, due: Duration) -> QueueEntry {
        QueueEntry {
            due,
            job: self.job.clone(),
            team: self.team.clone(),
        }
    }
}

/// Claimable jobs of one model.
#[derive(Debug, Default)]
struct ModelJobs {
    timely: JobQueue,
    overdue: JobQueue,
    /// All timely jobs, by deadline.
    by_deadline: BTreeSet<QueueEntry>,
}

impl ModelJobs {
    fn queue(&self, status: DeadlineStatus) -> &JobQueue {
        match status {
            DeadlineStatus::Timely => &self.timely,
            DeadlineStatus::Overdue => &self.overdue,
        }
    }

    fn insert(&mut self, job: &ClaimableJob, status: DeadlineStatus, account: Option<f64>) {
        match status {
            DeadlineStatus::Overdue => self.overdue.insert(job.overdue_entry(), account),
            DeadlineStatus::Timely => {
                self.by_deadline.insert(job.timely_entry());
                self.timely.insert(job.timely_entry(), account);
            }
        }
    }

    fn remove(&mut self, job: &ClaimableJob, status: DeadlineStatus, account: Option<f64>) {
        match status {
            DeadlineStatus::Overdue => self.overdue.remove(&job.overdue_entry(), account),
            DeadlineStatus::Timely => {
                self.by_deadline.remove(&job.timely_entry());
                self.timely.remove(&job.timely_entry(), account);
            }
        }
    }

    fn set_account(&mut self, team: &TeamId, before: Option<f64>, after: Option<f64>) {
        self.timely.set_account(team, before, after);
        self.overdue.set_account(team, before, after);
    }
}

/// Whether the deadline of a job has passed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DeadlineStatus {
    Timely,
    Overdue,
}

/// Index of claimable jobs that chooses by deadline, with fair shares between teams. A choice and
/// each change take time logarithmic in the number of jobs.
#[derive(Debug, Default)]
pub struct Schedule {
    /// Items claimed by each team, halved together from time to time.
    accounts: Map<TeamId, f64>,
    /// Sum of the accounts.
    total: f64,
    turns: u64,
    latest: Option<JobId>,
    jobs: Map<JobId, (ClaimableJob, DeadlineStatus)>,
    models: Map<ModelId, ModelJobs>,
    unix_now: Duration,
}

impl Schedule {
    /// Inserts a job that can be claimed, or updates it.
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

    /// Removes a job that cannot be claimed any more, or not at present.
    pub fn remove(&mut self, job: &str) {
        let Some((job, status)) = self.jobs.remove(job) else {
            return;
        };
        let account = self.accounts.get(&job.team).copied();
        if let Some(model) = self.models.get_mut(&job.model) {
            model.remove(&job, status, account);
        }
    }

    /// Chooses the job to claim a group of, among the jobs of wanted models. `unix_now` is the time
    /// since 1970-01-01 UTC.
    pub fn choose(
        &mut self,
        unix_now: Duration,
        wanted: impl Fn(&ModelId) -> bool,
    ) -> Option<JobId> {
        self.turns += 1;
        self.advance(unix_now);
        let overdue = self.fairest(DeadlineStatus::Overdue, unix_now, &wanted);
        let Some(last) = self.horizon(&wanted) else {
            return overdue;
        };
        if overdue.is_some() && self.turns.is_multiple_of(OVERDUE_INTERVAL) {
            return overdue;
        }
        self.fairest(DeadlineStatus::Timely, last, &wanted)
    }

    /// Records that items of a job were claimed, and charges them to its team.
    pub fn claimed(&mut self, job: &JobId, team: &TeamId, items: u64) {
        self.latest = Some(job.clone());
        let account = self.accounts.get(team).copied().unwrap_or(0.0);
        self.set_account(team, Some(account + items as f64));
        if self.total > ACCOUNT_LIMIT {
            self.halve();
        }
    }

    /// Returns the indices of the jobs that cannot meet their deadline at a total rate of `rate` items
    /// a second.
    pub fn infeasible(&self, jobs: &[PendingJob], rate: f64) -> Vec<usize> {
        let mut order: Vec<usize> = (0..jobs.len()).filter(|&i| jobs[i].items > 0).collect();
        order.sort_by_key(|&i| jobs[i].time_left);
        let mut before = 0.0;
        order.retain(|&i| {
            let possible = rate.max(0.0) * jobs[i].time_left.as_secs_f64();
            before += jobs[i].items as f64;
            let late = before > possible;
            // A late job counts against later ones only up to its own deadline.
            before = before.min(possible);
            late
        });
        order
    }

    fn insert(&mut self, job: ClaimableJob) {
        let status = match job.due <= self.unix_now {
            true => DeadlineStatus::Overdue,
            false => DeadlineStatus::Timely,
        };
        let account = self.accounts.get(&job.team).copied();
        let model = self.models.entry(job.model.clone()).or_default();
        model.insert(&job, status, account);
        self.jobs.insert(job.job.clone(), (job, status));
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

    /// Halves all accounts and removes small ones. Runs once in 50,000 items and is linear in the
    /// number of teams; about 1 ms for 4,200 teams.
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

    /// Moves jobs whose deadline has passed to the overdue queue. Each job moves once, unless the clock
    /// is set back.
    fn advance(&mut self, unix_now: Duration) {
        let clock_back = unix_now < self.unix_now;
        self.unix_now = unix_now;
        let moved: Vec<JobId> = match clock_back {
            true => self.jobs.keys().cloned().collect(),
            false => self.passed_deadlines(unix_now),
        };
        for job in moved {
            let Some((claimable, _)) = self.jobs.get(&job).cloned() else {
                continue;
            };
            self.remove(&job);
            self.insert(claimable);
        }
    }

    fn passed_deadlines(&self, unix_now: Duration) -> Vec<JobId> {
        let queues = self.models.values().map(|m| &m.by_deadline);
        let due = |queue: &'_ BTreeSet<QueueEntry>| -> Vec<JobId> {
            let passed = queue.iter().take_while(|p| p.due <= unix_now);
            passed.map(|p| p.job.clone()).collect()
        };
        queues.flat_map(due).collect()
    }

    /// Returns the deadline up to which jobs are as urgent as the earliest timely one.
    fn horizon(&self, wanted: &impl Fn(&ModelId) -> bool) -> Option<Duration> {
        let models = self.models.iter().filter(|(m, _)| wanted(m));
        let first = models
            .filter_map(|(_, m)| Some(m.by_deadline.first()?.due))
            .min()?;
        let time_left = first - self.unix_now;
        Some(first + URGENCY_SLACK.min(time_left) + time_left.mul_f64(URGENCY_SHARE))
    }

    /// Returns the job of the latest claim while its team is within the quantum, or else the earliest
    /// job of the team with the smallest account, among jobs due up to `last`.
    fn fairest(
        &mut self,
        status: DeadlineStatus,
        last: Duration,
        wanted: &impl Fn(&ModelId) -> bool,
    ) -> Option<JobId> {
        let lowest = self.least(status, last, wanted).map_or(0.0, |(a, _)| a);
        // A team without claims so far starts at the lowest account: from zero it would be preferred
        // until it has caught up with all earlier claims of the others.
        for team in self.new_teams(status, last, wanted) {
            self.set_account(&team, Some(lowest));
        }
        if let Some((latest, latest_status)) = self.latest.as_ref().and_then(|l| self.jobs.get(l)) {
            let open = *latest_status == status && latest.due <= last && wanted(&latest.model);
            if open && self.accounts[&latest.team] - lowest < QUANTUM {
                return Some(latest.job.clone());
            }
        }
        self.least(status, last, wanted).map(|(_, p)| p.job.clone())
    }

    fn least(
        &self,
        status: DeadlineStatus,
        last: Duration,
        wanted: &impl Fn(&ModelId) -> bool,
    ) -> Option<(f64, &QueueEntry)> {
        let models = self.models.iter().filter(|(m, _)| wanted(m));
        let least = models.filter_map(|(_, m)| m.queue(status).least(last));
        least.min_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(b.1)))
    }

    fn new_teams(
        &self,
        status: DeadlineStatus,
        last: Duration,
        wanted: &impl Fn(&ModelId) -> bool,
    ) -> Vec<TeamId> {
        let models = self.models.iter().filter(|(m, _)| wanted(m));
        let new_teams = models.flat_map(|(_, m)| m.queue(status).without_account(last));
        new_teams.cloned().collect()
    }
}
