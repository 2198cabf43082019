//! Which batch items yield their slot to online requests.

use std::{cmp::Reverse, time::Duration};

/// A running item.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Running {
    /// Time at which it is due, or `None` if it is late already.
    pub due: Option<Duration>,
    /// Number in the order of the starts.
    pub number: u64,
}

/// Returns the positions of running items in the order in which they yield.
///
/// Answers steps of the traffic beside jobs, at which items yield every few seconds: one that is late
/// already loses nothing more, and one that is due later can still be in time after a pause. Of items that are
/// due at the same time the one that started last yields: the others free their slots sooner by themselves.
pub fn order(running: &[Running]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..running.len()).collect();
    order.sort_by_key(|p| {
        let Running { due, number } = running[*p];
        (due.is_some(), Reverse((due, number)))
    });
    order
}
