//! Choice of the job whose group is claimed next.

use std::time::Duration;

use crate::ids::{JobId, Map, TeamId};

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
pub struct Schedule {
    accounts: Map<TeamId, f64>,
    turns: u64,
    latest: Option<JobId>,
}

impl Schedule {
    /// Chooses the job to claim a group of; an index into `jobs`. Jobs without items are passed
    /// over.
    pub fn choose(&mut self, jobs: &[Pending]) -> Option<usize> {
        self.turns += 1;
        let overdue = self.fairest(jobs, |j| j.left.is_zero());
        let Some(horizon) = horizon(jobs) else {
            return overdue;
        };
        if overdue.is_some() && self.turns.is_multiple_of(OVERDUE_TURN) {
            return overdue;
        }
        self.fairest(jobs, |j| !j.left.is_zero() && j.left <= horizon)
    }

    /// Records that items of a job were claimed.
    pub fn claimed(&mut self, job: &JobId, team: &TeamId, items: u64) {
        self.latest = Some(job.clone());
        *self.accounts.entry(team.clone()).or_insert(0.0) += items as f64;
        if self.accounts.values().sum::<f64>() > ACCOUNT_LIMIT {
            self.accounts.retain(|_, a| {
                *a /= 2.0;
                *a >= 1.0
            });
        }
    }

    /// Returns the jobs, as indices, that cannot meet their deadline at a rate of `rate` items a
    /// second for all jobs together.
    pub fn infeasible(&self, jobs: &[Pending], rate: f64) -> Vec<usize> {
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

    /// Returns the job of the latest claim as long as its team's turn lasts, or else the earliest
    /// job of the team with the smallest account.
    fn fairest(&mut self, jobs: &[Pending], wanted: impl Fn(&Pending) -> bool) -> Option<usize> {
        let open = |j: &&Pending| j.items > 0 && wanted(j);
        let known = jobs.iter().filter(open);
        let lowest = known
            .filter_map(|j| self.accounts.get(&j.team))
            .copied()
            .reduce(f64::min)
            .unwrap_or(0.0);
        // A team without claims so far starts level with the others, not with their whole past
        // as an advance.
        for job in jobs.iter().filter(open) {
            if !self.accounts.contains_key(&job.team) {
                self.accounts.insert(job.team.clone(), lowest);
            }
        }
        let indices = (0..jobs.len()).filter(|&i| open(&&jobs[i]));
        let turn = |&i: &usize| {
            let job = &jobs[i];
            let ahead = self.accounts[&job.team] - lowest;
            self.latest.as_ref() == Some(&job.job) && ahead < QUANTUM
        };
        if let Some(same) = indices.clone().find(turn) {
            return Some(same);
        }
        indices.min_by(|&a, &b| {
            let (a, b) = (&jobs[a], &jobs[b]);
            let accounts = self.accounts[&a.team].total_cmp(&self.accounts[&b.team]);
            accounts.then_with(|| (a.left, &a.job).cmp(&(b.left, &b.job)))
        })
    }
}

/// Returns the time left up to which jobs are as urgent as the earliest that is not overdue.
fn horizon(jobs: &[Pending]) -> Option<Duration> {
    let open = jobs.iter().filter(|j| j.items > 0 && !j.left.is_zero());
    let first = open.map(|j| j.left).min()?;
    Some(first + URGENCY_SLACK.min(first) + first.mul_f64(URGENCY_SHARE))
}
