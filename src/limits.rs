//! Limits on online requests: requests in flight per team, the queue of requests that wait for a
//! worker, and the retry budget.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use crate::ids::{Map, ModelId, TeamId};

/// Weight of the latest request in the moving average of request durations.
const MEAN_WEIGHT: f64 = 0.1;

/// Credits that one retry costs. Each request earns one credit, so retries stay at or below a tenth
/// of the requests.
const CREDITS_PER_RETRY: u32 = 10;
/// Maximum number of retries saved up, so that an instance with little traffic can retry at all.
const SAVED_RETRIES: u32 = 10;

/// Identifies a waiting request.
pub type Ticket = u64;

/// Why a request was not admitted to the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueError {
    /// The queue is full.
    Full,
    /// The expected wait exceeds the maximum.
    TooLong {
        /// Expected wait.
        wait: Duration,
    },
}

/// Counts the requests in flight of each team.
#[derive(Debug, Default)]
pub struct Teams {
    active: Map<TeamId, u32>,
}

impl Teams {
    /// Counts a request and returns true, unless its team already has `limit` requests in flight.
    pub fn enter(&mut self, team: &TeamId, limit: Option<u32>) -> bool {
        let active = self.active.get(team).copied().unwrap_or(0);
        if limit.is_some_and(|l| active >= l) {
            return false;
        }
        self.active.insert(team.clone(), active + 1);
        true
    }

    /// Removes a request that was counted.
    pub fn leave(&mut self, team: &TeamId) {
        let Some(active) = self.active.get_mut(team) else {
            return;
        };
        *active -= 1;
        if *active == 0 {
            self.active.remove(team);
        }
    }

    /// Returns the number of requests in flight of a team.
    pub fn active(&self, team: &TeamId) -> u32 {
        self.active.get(team).copied().unwrap_or(0)
    }
}

/// Requests that wait for a worker, in order of arrival per model.
#[derive(Debug)]
pub struct Queue {
    capacity: usize,
    max_wait: Duration,
    waiting: usize,
    next: Ticket,
    models: BTreeMap<ModelId, ModelQueue>,
}

#[derive(Debug, Default)]
struct ModelQueue {
    tickets: VecDeque<Ticket>,
    running: u32,
    mean_time: Option<Duration>,
}

impl Queue {
    /// Builds a queue for at most `capacity` requests that wait at most `max_wait`.
    pub fn new(capacity: usize, max_wait: Duration) -> Self {
        Self {
            capacity,
            max_wait,
            waiting: 0,
            next: 0,
            models: BTreeMap::new(),
        }
    }

    /// Adds a request to the end of the queue of its model.
    ///
    /// # Errors
    ///
    /// Fails when the queue is full or the expected wait exceeds the maximum.
    pub fn join(&mut self, model: &ModelId) -> Result<Ticket, QueueError> {
        if self.waiting >= self.capacity {
            return Err(QueueError::Full);
        }
        let wait = self.expected_wait(model);
        if wait > self.max_wait {
            return Err(QueueError::TooLong { wait });
        }
        let ticket = self.next;
        self.next += 1;
        self.waiting += 1;
        self.model_queue(model).tickets.push_back(ticket);
        Ok(ticket)
    }

    /// Removes a request from the queue.
    pub fn leave(&mut self, model: &ModelId, ticket: Ticket) {
        let queue = self.model_queue(model);
        let before = queue.tickets.len();
        queue.tickets.retain(|t| *t != ticket);
        let removed = before - queue.tickets.len();
        self.waiting -= removed;
    }

    /// Returns the request at the head of a model's queue.
    pub fn head(&self, model: &ModelId) -> Option<Ticket> {
        self.models.get(model)?.tickets.front().copied()
    }

    /// Returns the expected wait of a request that joins now, from the length of the model's queue
    /// and the rate at which this instance's requests end.
    pub fn expected_wait(&self, model: &ModelId) -> Duration {
        let Some(queue) = self.models.get(model) else {
            return Duration::ZERO;
        };
        let Some(mean) = queue.mean_time.filter(|_| queue.running > 0) else {
            return Duration::ZERO;
        };
        mean.mul_f64((queue.tickets.len() + 1) as f64 / f64::from(queue.running))
    }

    /// Counts a request that was placed on a worker.
    pub fn started(&mut self, model: &ModelId) {
        self.model_queue(model).running += 1;
    }

    /// Records that a request left its worker after `elapsed`.
    pub fn ended(&mut self, model: &ModelId, elapsed: Duration) {
        let queue = self.model_queue(model);
        queue.running = queue.running.saturating_sub(1);
        let mean = match queue.mean_time {
            Some(mean) => mean.mul_f64(1.0 - MEAN_WEIGHT) + elapsed.mul_f64(MEAN_WEIGHT),
            None => elapsed,
        };
        queue.mean_time = Some(mean);
    }

    fn model_queue(&mut self, model: &ModelId) -> &mut ModelQueue {
        self.models.entry(model.clone()).or_default()
    }
}

/// Limits retries to a tenth of the requests, plus a few that are saved up.
#[derive(Debug)]
pub struct RetryBudget {
    credits: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            credits: SAVED_RETRIES * CREDITS_PER_RETRY,
        }
    }
}

impl RetryBudget {
    /// Adds a credit for a request of a caller.
    pub fn add_request(&mut self) {
        self.credits = (self.credits + 1).min(SAVED_RETRIES * CREDITS_PER_RETRY);
    }

    /// Takes a retry from the budget and returns whether it may be made.
    pub fn take_retry(&mut self) -> bool {
        let left = self.credits.checked_sub(CREDITS_PER_RETRY);
        self.credits = left.unwrap_or(self.credits);
        left.is_some()
    }
}
