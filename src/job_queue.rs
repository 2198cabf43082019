//! Jobs of one model in deadline order, with the job of the least served team (pure).

use std::{collections::BTreeSet, time::Duration};

use crate::{
    ids::{JobId, Map, TeamId},
    min_tree::MinTree,
};

/// A job in the queue; earlier ones are less.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// Deadline, as time since 1970-01-01 UTC.
    pub due: Duration,
    /// Job.
    pub job: JobId,
    /// Team that submitted it.
    pub team: TeamId,
}

/// Jobs by deadline. Of each team only its first job can be chosen, so that a change of a team's
/// account moves one entry.
#[derive(Debug, Default)]
pub struct JobQueue {
    teams: Map<TeamId, BTreeSet<Place>>,
    /// First jobs of teams with an account, by deadline and account.
    known: MinTree<Place>,
    /// First jobs of teams without an account.
    fresh: BTreeSet<Place>,
}

impl JobQueue {
    /// Adds a job of a team with this account.
    pub fn insert(&mut self, place: Place, account: Option<f64>) {
        let team = place.team.clone();
        self.change(&team, account, |jobs| jobs.insert(place));
    }

    /// Removes a job of a team with this account.
    pub fn remove(&mut self, place: &Place, account: Option<f64>) {
        self.change(&place.team, account, |jobs| jobs.remove(place));
    }

    /// Follows a change of a team's account.
    pub fn set_account(&mut self, team: &TeamId, before: Option<f64>, after: Option<f64>) {
        if let Some(first) = self.teams.get(team).and_then(|j| j.first()).cloned() {
            self.unlink(&first, before);
            self.link(first, after);
        }
    }

    /// Follows the halving of all accounts.
    pub fn halve(&mut self) {
        self.known.halve();
    }

    /// Returns the first job, by deadline, of the team with the least account, among the teams
    /// with an account and a job due up to `last`.
    pub fn least(&self, last: Duration) -> Option<(f64, &Place)> {
        self.known.least(|p| p.due <= last)
    }

    /// Returns the teams without an account that have a job due up to `last`.
    pub fn fresh(&self, last: Duration) -> impl Iterator<Item = &TeamId> {
        let due = self.fresh.iter().take_while(move |p| p.due <= last);
        due.map(|p| &p.team)
    }

    fn change(
        &mut self,
        team: &TeamId,
        account: Option<f64>,
        edit: impl FnOnce(&mut BTreeSet<Place>) -> bool,
    ) {
        let jobs = self.teams.entry(team.clone()).or_default();
        let before = jobs.first().cloned();
        edit(jobs);
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

    fn link(&mut self, first: Place, account: Option<f64>) {
        match account {
            Some(account) => self.known.insert(first, account),
            None => {
                self.fresh.insert(first);
            }
        }
    }

    fn unlink(&mut self, first: &Place, account: Option<f64>) {
        match account {
            Some(_) => self.known.remove(first),
            None => {
                self.fresh.remove(first);
            }
        }
    }
}
