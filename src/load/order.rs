//! Order in which waiting requests get the slots that become free.

use std::cmp::Reverse;

/// One slot in so many goes to the request that waits longest, whatever its rank. It bounds what a lower rank
/// loses: it is served at least a quarter as often as it would be in order of arrival.
const AGE_TURN: u64 = 4;

/// A request that waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Standing {
    /// Rank of its route or team; 0 is the highest.
    pub rank: u32,
    /// Requests of its team that run already, as far as they came through this instance.
    pub running: u32,
    /// Number in the order of arrival.
    pub number: u64,
}

/// Returns the positions of waiting requests in the order in which they get slots, as the slot with this
/// number becomes free.
///
/// Answers more requests than slots: urgent ones come first, and among those of the same rank the team with
/// the fewest running requests, so that a team that sends many times its usual does not hold up the others.
/// Requests of equal standing keep the order of arrival.
pub fn order(waiting: &[Standing], turn: u64) -> Vec<usize> {
    let mut order: Vec<usize> = (0..waiting.len()).collect();
    let key = |position: usize| {
        let Standing {
            rank,
            running,
            number,
        } = waiting[position];
        (rank, running, number)
    };
    order.sort_by_key(|p| key(*p));
    if turn.is_multiple_of(AGE_TURN) {
        let oldest = (0..waiting.len()).max_by_key(|p| Reverse(waiting[*p].number));
        order.sort_by_key(|p| Some(*p) != oldest);
    }
    order
}
