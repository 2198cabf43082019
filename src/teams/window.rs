//! Count of requests in a sliding window.

use std::{collections::VecDeque, time::Duration};

use serde::{Deserialize, Serialize};

/// Parts of a window. A request counts until the part that it belongs to has left the window, so that the
/// count is never too low, and too high by at most the requests of one part.
const PARTS: u32 = 50;

/// Requests of a part of a window, as one instance tells them to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Part {
    /// Age of the part in parts.
    pub age: u16,
    /// Requests in it.
    pub count: u32,
}

/// Requests of the last span of time.
#[derive(Debug, Clone)]
pub struct Window {
    span: Duration,
    /// Number and count of the parts with requests, oldest first.
    counts: VecDeque<(u64, u32)>,
}

impl Window {
    /// Builds an empty window.
    pub fn new(span: Duration) -> Self {
        Self {
            span: span.max(Duration::from_millis(u64::from(PARTS))),
            counts: VecDeque::new(),
        }
    }

    /// Returns the length of the window.
    pub fn span(&self) -> Duration {
        self.span
    }

    fn part_time(&self) -> Duration {
        self.span / PARTS
    }

    fn part(&self, now: Duration) -> u64 {
        (now.as_nanos() / self.part_time().as_nanos()) as u64
    }

    fn expire(&mut self, now: Duration) {
        let first = self.part(now).saturating_sub(u64::from(PARTS));
        while self.counts.front().is_some_and(|(part, _)| *part < first) {
            self.counts.pop_front();
        }
    }

    /// Counts requests.
    pub fn add(&mut self, count: u32, now: Duration) {
        self.add_part(Part { age: 0, count }, now);
    }

    /// Counts requests of a part of the past.
    pub fn add_part(&mut self, part: Part, now: Duration) {
        let number = self.part(now).saturating_sub(u64::from(part.age));
        if part.count == 0 || u32::from(part.age) > PARTS {
            return;
        }
        let at = self.counts.partition_point(|(other, _)| *other < number);
        match self.counts.get_mut(at) {
            Some((other, count)) if *other == number => *count = count.saturating_add(part.count),
            _ => self.counts.insert(at, (number, part.count)),
        }
    }

    /// Removes requests that did not run, the newest ones first.
    pub fn remove(&mut self, count: u32) {
        let mut left = count;
        while left > 0
            && let Some((_, newest)) = self.counts.back_mut()
        {
            let removed = left.min(*newest);
            *newest -= removed;
            left -= removed;
            if *newest == 0 {
                self.counts.pop_back();
            }
        }
    }

    /// Returns the number of requests.
    pub fn total(&mut self, now: Duration) -> u64 {
        self.expire(now);
        self.counts.iter().map(|(_, count)| u64::from(*count)).sum()
    }

    /// Returns the requests by the age of their parts, those since a time alone.
    pub fn parts_since(&mut self, since: Duration, now: Duration) -> Vec<Part> {
        self.expire(now);
        let (current, first) = (self.part(now), self.part(since));
        let known = self.counts.iter().filter(|(part, _)| *part >= first);
        let parts = known.map(|(part, count)| Part {
            age: current.saturating_sub(*part) as u16,
            count: *count,
        });
        parts.collect()
    }

    /// Returns the time until at most `count` requests are left, if no others come.
    pub fn time_until(&mut self, count: u64, now: Duration) -> Duration {
        let mut left = self.total(now);
        let part_time = self.part_time().as_nanos();
        for (part, requests) in &self.counts {
            if left <= count {
                break;
            }
            left -= u64::from(*requests);
            let end = u128::from(part + u64::from(PARTS) + 1) * part_time;
            let end = Duration::from_nanos(end.min(u128::from(u64::MAX)) as u64);
            if left <= count {
                return end.saturating_sub(now);
            }
        }
        Duration::ZERO
    }

    /// Counts requests at a time in the past.
    pub fn add_at(&mut self, count: f64, now: Duration, age: Duration) {
        let age = self
            .part(now)
            .saturating_sub(self.part(now.saturating_sub(age)));
        if let Ok(age) = u16::try_from(age) {
            let count = count as u32;
            self.add_part(Part { age, count }, now);
        }
    }

    /// Spreads requests evenly over the window, but for those of the parts since a time. `count` is what a whole
    /// window would hold.
    pub fn fill(&mut self, count: f64, since: Duration, now: Duration) {
        let first = self.part(now).saturating_sub(self.part(since));
        let first = u16::try_from(first).unwrap_or(u16::MAX);
        let share = count / f64::from(PARTS);
        let mut owed = 0.0;
        for age in (first..PARTS as u16).rev() {
            owed += share;
            let count = owed as u32;
            owed -= f64::from(count);
            self.add_part(Part { age, count }, now);
        }
    }
}
