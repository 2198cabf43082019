//! Counts of calls and their peak rate.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use serde::Serialize;

/// Window over which a rate is measured.
const WINDOW: Duration = Duration::from_secs(1);

/// Number of calls of one kind, and their peak rate.
#[derive(Debug, Clone, Default)]
#[derive(Serialize)]
pub struct Counter {
    /// Calls.
    pub total: u64,
    /// Most calls within one second.
    pub peak: u64,
    #[serde(skip)]
    recent: VecDeque<Instant>,
}

impl Counter {
    /// Counts a call and returns the number of calls within the last second.
    pub fn add(&mut self, now: Instant) -> u64 {
        while self.recent.front().is_some_and(|t| now - *t >= WINDOW) {
            self.recent.pop_front();
        }
        self.recent.push_back(now);
        self.total += 1;
        let rate = self.recent.len() as u64;
        self.peak = self.peak.max(rate);
        rate
    }
}
