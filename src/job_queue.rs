//! Deadline-ordered queue of the jobs of one model, searchable for the team with the smallest
//! account (pure).

use std::{collections::BTreeSet, time::Duration};

use crate::{
    ids::{JobId, Map, TeamId},
    min_tree::MinTree,
};

/// A job in the queue. Entries are ordered by deadline.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueEntry {
    /// Deadline, as time since 1970-01-01 UTC.
    pub due: Duration,
    /// Name of the job.
    pub job: JobId,
    /// Team that submitted it.
    pub team: TeamId,
}

/// Jobs by deadline. Only the first job of each team can be chosen, so that a change of a team's
/// account moves one entry.
#[derive(Debug, Default)]
pub struct JobQueue {
    teams: Map<TeamId, BTreeSet<QueueEntry>>,
    /// First jobs of teams with an account, by deadline and account.
    with_account: MinTree<QueueEntry>,
    /// First jobs of teams without an account.
    without_account: BTreeSet<QueueEntry>,
}

impl JobQueue {
    /// Adds a job of a team with this account.
    pub fn insert(&mut self, entry: QueueEntry, account: Option<f64>) {
        let team = entry.team.clone();
        self.edit(&team, account, |jobs| jobs.insert(entry));
    }

    /// Removes a job of a team with this account.
    pub fn remove(&mut self, entry: &QueueEntry, account: Option<f64>) {
        self.edit(&entry.team, account, |jobs| jobs.remove(entry));
    }

    /// Updates the account of a team.
    pub fn set_account(&mut self, team: &TeamId, before: Option<f64>, after: Option<f64>) {
        if let Some(first) = self.teams.get(team).and_then(|j| j.first()).cloned() {
            self.unlink(&first, before);
            self.link(first, after);
        }
    }

    /// Halves all accounts.
    pub fn halve(&mut self) {
        self.with_account.halve();
    }

    /// Returns the smallest account, and the first job of its team by deadline, among the teams with
    /// an account and a job due up to `last`.
    pub fn least(&self, last: Duration) -> Option<(f64, &QueueEntry)> {
        self.with_account.least(|p| p.due <= last)
    }

    /// Returns the teams without an account that have a job due up to `last`.
    pub fn without_account(&self, last: Duration) -> impl Iterator<Item = &TeamId> {
        let due = self
            .without_account
            .iter()
            .take_while(move |p| p.due <= last);
        due.map(|p| &p.team)
    }

    /// Edits the jobs of a team, and replaces the team's first job in the index if it changed.
    fn edit(
        &mut self,
        team: &TeamId,
        account: Option<f64>,
        apply: impl FnOnce(&mut BTreeSet<QueueEntry>) -> bool,
    ) {
        let jobs = self.teams.entry(team.clone()).or_default();
        let before = jobs.first().cloned();
        apply(jobs);
        let after = jobs.first().cloned();
        if after.is_none() {
            self.teams.remove(team);
        }
        if before == after {
            return;
        }
        if let Some(first) = before {
            self.unlink(&first, account);
        }
        if let Some(first) = after {
            self.link(first, account);
        }
    }

    fn link(&mut self, first: QueueEntry, account: Option<f64>) {
        match account {
            Some(account) => self.with_account.insert(first, account),
            None => {
                self.without_account.insert(first);
            }
        }
    }

    fn unlink(&mut self, first: &QueueEntry, account: Option<f64>) {
        match account {
            Some(_) => self.with_account.remove(first),
            None => {
                self.without_account.remove(first);
            }
        }
    }
}
