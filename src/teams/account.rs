//! Requests of a team at one instance: what they need of the leader, and what is sent without it.

use std::{collections::VecDeque, time::Duration};

use crate::ids::{InstanceId, SessionId, TeamId};

use super::{
    ledger::{Ask, Denial, Reply},
    window::{Part, Window},
};

/// Time in which the leader answers, some round trips between zones. It also covers a pause of a machine
/// whose processor time is used up.
pub const ANSWER_LIMIT: Duration = Duration::from_millis(50);
/// Maximum growth of what an instance sends while no leader answers, over the window before. What others
/// send meanwhile is not known.
const MAX_GROWTH: f64 = 2.0;
/// Earlier leaders of a team that are remembered.
const MAX_LEADERS: usize = 4;

/// A leader of a team, in one run of its process.
pub type LeaderId = (InstanceId, SessionId);

/// What a request that enters does.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Entry {
    /// It is turned away, and finds room after this time.
    Denied(Duration),
    /// It waits for an answer that is on its way.
    Wait,
    /// It waits for the answer to this question.
    Ask(Ask),
}

/// What the requests that wait do after an answer of the leader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Settled {
    /// So many may be sent. The others are turned away and find room after the first time, one after
    /// another; without a denial they wait for the next answer.
    Granted(u32, Option<Denial>),
    /// Nobody can tell; each is decided here.
    Alone,
}

/// Callers that are turned away until a time.
#[derive(Debug, Clone, Copy)]
struct Closed {
    until: Duration,
    /// Time for which the last one was told to come back.
    next: Duration,
    spacing: Duration,
}

/// Requests of a team at one instance.
#[derive(Debug)]
pub struct Account {
    team: TeamId,
    /// Requests that were sent from here.
    sent: Window,
    asked: Option<Duration>,
    closed: Option<Closed>,
    /// Requests that were sent without a credit and that the leader does not know.
    debt: u32,
    /// Credits of requests that did not run.
    returned: u32,
    /// Requests of a window that this instance sends while no leader answers, and the time until which that
    /// holds.
    reserve: (u64, Duration),
    leader: Option<LeaderId>,
    /// Earlier leaders, and the times when they stopped to lead.
    earlier: VecDeque<(LeaderId, Duration)>,
}

impl Account {
    /// Builds the account of a team without requests.
    pub fn new(team: TeamId, window: Duration) -> Self {
        Self {
            team,
            sent: Window::new(window),
            asked: None,
            closed: None,
            debt: 0,
            returned: 0,
            reserve: (0, Duration::ZERO),
            leader: None,
            earlier: VecDeque::new(),
        }
    }

    /// Decides what a request does. `waiting` requests wait with it.
    pub fn enter(&mut self, waiting: u32, now: Duration) -> Entry {
        if let Some(closed) = &mut self.closed {
            if now < closed.until {
                closed.next += closed.spacing;
                return Entry::Denied(closed.next.saturating_sub(now));
            }
            self.closed = None;
        }
        if self.asked.is_some_and(|at| now < at + ANSWER_LIMIT) {
            return Entry::Wait;
        }
        Entry::Ask(self.ask(waiting, now))
    }

    fn ask(&mut self, wanted: u32, now: Duration) -> Ask {
        self.asked = Some(now);
        Ask {
            team: self.team.clone(),
            wanted,
            debt: self.debt,
            returned: std::mem::take(&mut self.returned),
        }
    }

    /// Returns what the leader has to know beside the requests that wait for it.
    pub fn unsettled(&mut self, now: Duration) -> Option<Ask> {
        let is_asked = self.asked.is_some_and(|at| now < at + ANSWER_LIMIT);
        let has_news = self.debt > 0 || self.returned > 0;
        (has_news && !is_asked).then(|| self.ask(0, now))
    }

    /// Records an answer of the leader while `waiting` requests wait. `instances` share the room that the
    /// leader expects.
    pub fn settle(
        &mut self,
        reply: &Reply,
        waiting: u32,
        instances: u32,
        now: Duration,
    ) -> Settled {
        self.asked = None;
        if !reply.leads {
            return Settled::Alone;
        }
        self.debt = self.debt.saturating_sub(reply.covered);
        let granted = reply.granted.min(waiting);
        // Requests that waited too long were sent without a credit, or their callers have left.
        let surplus = reply.granted - granted;
        let late = surplus.min(self.debt);
        self.debt -= late;
        self.returned += surplus - late;
        self.sent.add(granted, now);
        let growth = (1000.0 / f64::from(reply.used.max(1))).min(MAX_GROWTH);
        let reserve = self.sent.total(now) as f64 * growth;
        self.reserve = (reserve as u64, now + self.sent.span());
        if let Some(denial) = reply.denial {
            self.closed = Some(Closed {
                until: now + denial.wait,
                next: now + denial.wait + denial.spacing.saturating_mul(waiting - granted),
                spacing: denial.spacing.saturating_mul(instances.max(1)),
            });
        }
        Settled::Granted(granted, reply.denial)
    }

    /// Decides whether a request is sent although no leader answers, and counts it.
    ///
    /// Each instance goes on with what it sent in the last window, as much more as the quota has room for, or
    /// with its part of the quota if that is more. A team that stays at its usual is served as before, and
    /// one that sends more than its quota gets nowhere more than it had. `age` is the time since the start of
    /// the instance.
    pub fn send_alone(
        &mut self,
        limit: f64,
        instances: usize,
        age: Duration,
        now: Duration,
    ) -> bool {
        // What the instance sent before a restart is not known.
        let known = age.as_secs_f64() / self.sent.span().as_secs_f64();
        let part = limit / instances.max(1) as f64 * known.min(1.0);
        let part = part.ceil() as u64;
        let (reserve, until) = self.reserve;
        let reserve = if now < until { reserve } else { 0 };
        if self.sent.total(now) >= part.max(reserve) {
            return false;
        }
        self.sent.add(1, now);
        self.debt += 1;
        true
    }

    /// Takes back a request that did not run.
    pub fn give_back(&mut self) {
        self.sent.remove(1);
        if self.debt > 0 {
            self.debt -= 1;
        } else {
            self.returned += 1;
        }
    }

    /// Sets the leader of the team, and returns what it has to hear of the requests that were sent while it
    /// did not lead.
    pub fn set_leader(&mut self, leader: Option<LeaderId>, now: Duration) -> Vec<Part> {
        if self.leader == leader {
            return Vec::new();
        }
        if let Some(old) = std::mem::replace(&mut self.leader, leader) {
            self.earlier.retain(|(id, _)| *id != old);
            self.earlier.push_back((old, now));
            if self.earlier.len() > MAX_LEADERS {
                self.earlier.pop_front();
            }
        }
        let Some(leader) = &self.leader else {
            return Vec::new();
        };
        // The report below holds what the earlier leader did not know.
        self.debt = 0;
        self.asked = None;
        self.closed = None;
        let known = self.earlier.iter().find(|(id, _)| id == leader);
        let since = known.map_or(Duration::ZERO, |(_, at)| *at);
        self.sent.parts_since(since, now)
    }

    /// Returns whether the account holds nothing that matters later.
    pub fn is_idle(&mut self, now: Duration) -> bool {
        self.debt == 0 && self.returned == 0 && self.sent.total(now) == 0
    }
}
