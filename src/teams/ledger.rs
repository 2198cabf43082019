//! Counts the requests of teams at the instance that leads them, and grants credits for more.
//!
//! One instance leads a team: it knows what all instances together have sent in the window of the quota, so
//! that the bound does not depend on their number or on how callers spread over them.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{Map, TeamId};

use super::{
    directory::Quota,
    window::{Part, Window},
};

/// Time for which a new leader hears what the others have used before it grants credits.
const SETTLE_TIME: Duration = Duration::from_millis(300);

/// Time for which an instance has been silent at least when another one takes over from it. What it has sent
/// since a restart it can tell.
const SILENT_TIME: Duration = Duration::from_millis(1500);
/// Lowest rate at which room is expected, so that times until then stay finite.
const MIN_RATE: f64 = 0.01;

/// Terms on which the quotas of a deployment hold.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Terms {
    /// Span in which requests are counted.
    pub window: Duration,
    /// Part of a quota by which it may be exceeded.
    pub excess: f64,
    /// Requests by which a quota may be exceeded beside that.
    pub slack: f64,
}

impl Default for Terms {
    /// Terms of a deployment that names none.
    fn default() -> Self {
        Self {
            window: Duration::from_secs(1),
            excess: 0.1,
            slack: 0.0,
        }
    }
}

impl Terms {
    /// Returns the requests by which a quota may be exceeded in a window.
    fn tolerance(&self, quota: &Quota) -> f64 {
        quota
            .allowed(self.window)
            .mul_add(self.excess, self.slack)
            .max(0.0)
    }

    /// Returns the requests in a window from which on callers are turned away. Half of the tolerance is for
    /// them, so that none below the quota is refused as counts are rounded up; the other half is for what
    /// instances send that do not reach the leader.
    pub fn allowance(&self, quota: &Quota) -> f64 {
        quota.allowed(self.window) + self.tolerance(quota) / 2.0
    }
}

/// Question of an instance to the leader of a team.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Ask {
    /// The team.
    pub team: TeamId,
    /// Requests that wait for a credit.
    pub wanted: u32,
    /// Requests that were sent without one.
    pub debt: u32,
    /// Credits of requests that did not run.
    pub returned: u32,
}

/// Answer of the leader of a team.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Reply {
    /// The team.
    pub team: TeamId,
    /// Whether the sender leads the team.
    pub leads: bool,
    /// Credits for requests that wait.
    pub granted: u32,
    /// Requests without a credit that are counted now.
    pub covered: u32,
    /// Requests of the last window that got a credit, in thousandths of the quota.
    pub used: u32,
    /// Set if some requests got no credit.
    pub denial: Option<Denial>,
}

/// When callers that are turned away find room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Denial {
    /// Time until the first one finds room.
    pub wait: Duration,
    /// Time between two of them.
    pub spacing: Duration,
}

impl Reply {
    /// Builds the answer of an instance that does not lead the team.
    fn elsewhere(team: TeamId) -> Self {
        Self {
            team,
            leads: false,
            granted: 0,
            covered: 0,
            used: 0,
            denial: None,
        }
    }
}

/// How much of the fleet a leader speaks for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Standing {
    /// Part of the known instances that is live. The sum over the sides of a partition is at most 1.
    pub share: f64,
    /// Part of the known instances that cannot tell what they have sent in the last window.
    pub unheard: f64,
}

/// What is recorded of a team's use before the instance started to lead it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Recorded {
    /// Records could not be read.
    Unknown,
    /// The team had used less than `RECORDED_PART` of its quota.
    Little,
    /// The team had used more, as of this long ago.
    Much(Duration),
}

/// Part of a quota from which on its use is recorded. Below it a team may use as much again before the next
/// record without doubling its quota over a restart of all instances.
const RECORDED_PART: f64 = 0.8;

#[derive(Debug)]
struct Lead {
    window: Window,
    /// Time since which this instance leads the team.
    since: Option<Duration>,
    /// Time for which the last caller that was turned away was told to come back.
    promised: Duration,
}

impl Lead {
    fn new(span: Duration) -> Self {
        Self {
            window: Window::new(span),
            since: None,
            promised: Duration::ZERO,
        }
    }

    fn is_settled(&self, now: Duration) -> bool {
        self.since.is_some_and(|since| now >= since + SETTLE_TIME)
    }
}

/// Counts of the teams that an instance leads.
#[derive(Debug)]
pub struct Ledger {
    terms: Terms,
    leads: Map<TeamId, Lead>,
}

impl Ledger {
    /// Builds the ledger of an instance that leads no team.
    pub fn new(terms: Terms) -> Self {
        Self {
            terms,
            leads: Map::default(),
        }
    }

    /// Begins to lead a team, or goes on.
    ///
    /// Instances that were killed cannot tell what they have sent. Beyond half of the tolerance, their part of
    /// the quota counts as used at the time of its record, or less of it evenly over the last window until they
    /// fell silent if there is no record; all of it if records could not be read.
    pub fn lead(
        &mut self,
        team: &TeamId,
        quota: &Quota,
        standing: &Standing,
        recorded: Recorded,
        now: Duration,
    ) {
        let Terms { window, .. } = self.terms;
        let lead = self.leads.entry(team.clone());
        let lead = lead.or_insert_with(|| Lead::new(window));
        if lead.since.is_some() {
            return;
        }
        lead.since = Some(now);
        let unheard = quota.allowed(window) * standing.unheard;
        let free = self.terms.tolerance(quota) / 2.0;
        let silent = now.saturating_sub(SILENT_TIME);
        match recorded {
            Recorded::Much(age) => lead.window.add_at((unheard - free).max(0.0), now, age),
            Recorded::Little => {
                let assumed = unheard.mul_add(RECORDED_PART, -free);
                lead.window.fill(assumed.max(0.0), silent, now);
            }
            Recorded::Unknown => lead.window.fill((unheard - free).max(0.0), silent, now),
        }
    }

    /// Ends the lead of the teams that are led elsewhere. Their counts are kept until they are outdated, as
    /// the lead may come back.
    pub fn retain(&mut self, is_led: impl Fn(&TeamId) -> bool, now: Duration) {
        self.leads.retain(|team, lead| {
            if !is_led(team) {
                lead.since = None;
            }
            lead.since.is_some() || lead.window.total(now) > 0
        });
    }

    /// Returns the teams that this instance leads and that have used so much of their quota that it is to be
    /// recorded.
    pub fn to_record(
        &mut self,
        quota: impl Fn(&TeamId) -> Option<Quota>,
        now: Duration,
    ) -> Vec<TeamId> {
        let window = self.terms.window;
        let leads = self.leads.iter_mut().filter(|(_, l)| l.is_settled(now));
        let much = leads.filter_map(|(team, lead)| {
            let recorded = quota(team)?.allowed(window) * RECORDED_PART;
            (lead.window.total(now) as f64 >= recorded).then(|| team.clone())
        });
        much.collect()
    }

    /// Returns the number of teams that this instance leads.
    pub fn led(&self) -> usize {
        self.leads.values().filter(|l| l.since.is_some()).count()
    }

    /// Counts what an instance sent while another one led the team.
    pub fn hear(&mut self, team: &TeamId, parts: &[Part], now: Duration) {
        let window = self.terms.window;
        let lead = self.leads.entry(team.clone());
        let lead = lead.or_insert_with(|| Lead::new(window));
        for part in parts {
            lead.window.add_part(*part, now);
        }
    }

    /// Decides how many of the requests that wait at an instance may be sent.
    ///
    /// Answers a team that sends a multiple of its quota through all instances at once: as many requests as
    /// the quota allows get a credit, wherever they come, and the others are told when there is room.
    pub fn decide(&mut self, ask: &Ask, quota: &Quota, share: f64, now: Duration) -> Reply {
        let allowed = (self.terms.allowance(quota) * share).max(1.0) as u64;
        let limit = (quota.allowed(self.terms.window) * share).max(1.0);
        let lead = self.leads.get_mut(&ask.team);
        let Some(lead) = lead.filter(|l| l.is_settled(now)) else {
            return Reply::elsewhere(ask.team.clone());
        };
        lead.window.remove(ask.returned);
        lead.window.add(ask.debt, now);
        let room = allowed.saturating_sub(lead.window.total(now));
        let granted = ask.wanted.min(u32::try_from(room).unwrap_or(u32::MAX));
        lead.window.add(granted, now);
        let denied = ask.wanted - granted;
        let denial = (denied > 0).then(|| {
            let spacing = Duration::from_secs_f64((quota.rate * share).max(MIN_RATE).recip());
            let free = now + lead.window.time_until(allowed - 1, now);
            // Many of those that are told to come back later do not.
            let first = free.max(lead.promised).min(now + self.terms.window);
            lead.promised = first + spacing.saturating_mul(denied);
            Denial {
                wait: first.saturating_sub(now),
                spacing,
            }
        });
        Reply {
            team: ask.team.clone(),
            leads: true,
            granted,
            covered: ask.debt,
            used: (lead.window.total(now) as f64 * 1000.0 / limit) as u32,
            denial,
        }
    }
}
