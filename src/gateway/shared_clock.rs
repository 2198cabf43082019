//! The time of day that the instances share, whatever the clocks of some of them show (no I/O).
//!
//! Times that other instances read, also after a restart of all, are those of the instance whose clock is
//! in the middle of those that are known. Clocks that are wrong at less than half of the instances do not
//! change it.

use crate::ids::{InstanceId, Map};

/// Difference of a clock below which it counts as unchanged: messages take as long on their way.
const TOLERANCE: u64 = 50;
/// Time in ms without a message after which the clock of an instance is forgotten.
const FORGOTTEN: u64 = 60_000;

/// What is known of the clocks of the other instances. Times are in ms since the Unix epoch, by the local
/// clock unless said otherwise; no clock steps while its process runs.
#[derive(Debug, Default)]
pub struct SharedClock {
    clocks: Map<InstanceId, Known>,
    /// Time in ms by which the shared clock is ahead of the local one.
    ahead: i64,
}

#[derive(Debug, Clone, Copy)]
struct Known {
    ahead: i64,
    heard: u64,
}

impl SharedClock {
    /// Records the time that an instance sent by its own clock.
    pub fn hear(&mut self, member: &InstanceId, sent: u64, now: u64) {
        let ahead = sent.wrapping_sub(now) as i64;
        let known = self.clocks.get(member).copied();
        let unchanged = known.filter(|k| k.ahead.abs_diff(ahead) <= TOLERANCE);
        let ahead = unchanged.map_or(ahead, |k| k.ahead);
        let clock = Known { ahead, heard: now };
        self.clocks.insert(member.clone(), clock);
        if unchanged.is_none() {
            self.set_ahead(now);
        }
    }

    /// Records that an instance was heard, whose clock is remembered as long as that.
    pub fn retain(&mut self, member: &InstanceId, now: u64) {
        if let Some(known) = self.clocks.get_mut(member) {
            known.heard = now;
        }
    }

    /// With an even number of clocks all instances choose the earlier one of the two in the middle.
    fn set_ahead(&mut self, now: u64) {
        self.clocks
            .retain(|_, k| now < k.heard.saturating_add(FORGOTTEN));
        let others = self.clocks.values().map(|k| k.ahead);
        let mut all: Vec<i64> = others.chain([0]).collect();
        let middle = (all.len() - 1) / 2;
        self.ahead = *all.select_nth_unstable(middle).1;
    }

    /// Returns a local time as time of the shared clock.
    pub fn shared(&self, local: u64) -> u64 {
        local.saturating_add_signed(self.ahead)
    }

    /// Returns a time of the clock of an instance as local time, or `None` if that clock is not known.
    pub fn local_of(&self, member: &InstanceId, time: u64) -> Option<u64> {
        let known = self.clocks.get(member)?;
        Some(time.saturating_add_signed(known.ahead.saturating_neg()))
    }

    /// Returns a time of the shared clock as local time.
    pub fn local(&self, shared: u64) -> u64 {
        shared.saturating_add_signed(self.ahead.saturating_neg())
    }
}
