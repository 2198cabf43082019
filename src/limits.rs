//! Limits on online requests: requests of a team in flight, the queue of requests that wait for a
//! worker, and the retry budget.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use crate::ids::{Map, ModelId, TeamId};

/// Weight of the latest request in the mean duration of requests.
const MEAN_WEIGHT: f64 = 0.1;

/// Parts into which one retry is divided; a request earns one part, so that retries stay at or
/// below a tenth of the requests.
const PARTS_PER_RETRY: u32 = 10;
/// Retries that may be saved up, so that an instance with little traffic can retry at all.
const SAVED_RETRIES: u32 = 10;

/// Number of a waiting request.
pub type Ticket = u64;

/// Why a request cannot wait for a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Turned {
    /// The queue has its greatest length.
    Full,
    /// The expected wait is over the bound.
    TooLong {
        /// Expected wait.
        wait: Duration,
    },
}

/// Counts the requests of each team in flight.
#[derive(Debug, Default)]
pub struct Teams {
    active: Map<TeamId, u32>,
}

impl Teams {
    /// Counts a request, unless its team has `limit` of them in flight.
    pub fn enter(&mut self, team: &TeamId, limit: Option<u32>) -> bool {
        let active = self.active.get(team).copied().unwrap_or(0);
        if limit.is_some_and(|l| active >= l) {
            return false;
        }
        self.active.insert(team.clone(), active + 1);
        true
    }

    /// Ends a request that was counted.
    pub fn leave(&mut self, team: &TeamId) {
        let Some(active) = self.active.get_mut(team) else {
            return;
        };
        *active -= 1;
        if *active == 0 {
            self.active.remove(team);
        }
    }

    /// Returns the number of requests of a team in flight.
    pub fn active(&self, team: &TeamId) -> u32 {
        self.active.get(team).copied().unwrap_or(0)
    }
}

/// Requests that wait for a worker, in order of arrival for each model.
#[derive(Debug)]
pub struct Queue {
    capacity: usize,
    bound: Duration,
    waiting: usize,
    next: Ticket,
    lanes: BTreeMap<ModelId, Lane>,
}

#[derive(Debug, Default)]
struct Lane {
    tickets: VecDeque<Ticket>,
    running: u32,
    mean: Option<Duration>,
}

impl Queue {
    /// Builds a queue for at most `capacity` requests that wait at most `bound`.
    pub fn new(capacity: usize, bound: Duration) -> Self {
        Self {
            capacity,
            bound,
            waiting: 0,
            next: 0,
            lanes: BTreeMap::new(),
        }
    }

    /// Adds a request to the end of the queue of its model.
    ///
    /// # Errors
    ///
    /// Returns the reason when the queue is full or the expected wait is over the bound.
    pub fn join(&mut self, model: &ModelId) -> Result<Ticket, Turned> {
        if self.waiting >= self.capacity {
            return Err(Turned::Full);
        }
        let wait = self.expected(model);
        if wait > self.bound {
            return Err(Turned::TooLong { wait });
        }
        let ticket = self.next;
        self.next += 1;
        self.waiting += 1;
        self.lane(model).tickets.push_back(ticket);
        Ok(ticket)
    }

    /// Removes a request from the queue.
    pub fn leave(&mut self, model: &ModelId, ticket: Ticket) {
        let lane = self.lane(model);
        let before = lane.tickets.len();
        lane.tickets.retain(|t| *t != ticket);
        let removed = before - lane.tickets.len();
        self.waiting -= removed;
    }

    /// Returns the request whose turn it is.
    pub fn head(&self, model: &ModelId) -> Option<Ticket> {
        self.lanes.get(model)?.tickets.front().copied()
    }

    /// Returns how long a request that joins now is expected to wait: the requests before it, at
    /// the rate at which requests of this instance end.
    pub fn expected(&self, model: &ModelId) -> Duration {
        let Some(lane) = self.lanes.get(model) else {
            return Duration::ZERO;
        };
        let Some(mean) = lane.mean.filter(|_| lane.running > 0) else {
            return Duration::ZERO;
        };
        mean.mul_f64((lane.tickets.len() + 1) as f64 / f64::from(lane.running))
    }

    /// Counts a request that got a worker.
    pub fn started(&mut self, model: &ModelId) {
        self.lane(model).running += 1;
    }

    /// Takes a request that left its worker after `took`.
    pub fn ended(&mut self, model: &ModelId, took: Duration) {
        let lane = self.lane(model);
        lane.running = lane.running.saturating_sub(1);
        let mean = match lane.mean {
            Some(mean) => mean.mul_f64(1.0 - MEAN_WEIGHT) + took.mul_f64(MEAN_WEIGHT),
            None => took,
        };
        lane.mean = Some(mean);
    }

    fn lane(&mut self, model: &ModelId) -> &mut Lane {
        self.lanes.entry(model.clone()).or_default()
    }
}

/// Keeps retries at or below a tenth of the requests, beside a few that are saved up.
#[derive(Debug)]
pub struct Budget {
    parts: u32,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            parts: SAVED_RETRIES * PARTS_PER_RETRY,
        }
    }
}

impl Budget {
    /// Counts a request of a caller.
    pub fn request(&mut self) {
        self.parts = (self.parts + 1).min(SAVED_RETRIES * PARTS_PER_RETRY);
    }

    /// Takes a retry from the budget; says whether it may be made.
    pub fn retry(&mut self) -> bool {
        let left = self.parts.checked_sub(PARTS_PER_RETRY);
        self.parts = left.unwrap_or(self.parts);
        left.is_some()
    }
}
