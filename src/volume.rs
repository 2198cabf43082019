//! Bound on the log lines of a process (pure).

use std::time::Duration;

/// Lines a second at most. With lines of at most [`crate::logging::LINE_BYTES`] a process writes
/// less than 400 KB a second.
pub const LINES: u32 = 400;
/// Lines a second of requests that go well. The others are kept for what fails or changes.
pub const ROUTINE_LINES: u32 = 250;

/// What a line tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Weight {
    /// A request or an item goes its usual way.
    Routine,
    /// A request fails, or the process changes what it believes.
    Important,
}

/// Lines that were left out.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Omitted {
    /// Lines of requests that go well.
    pub routine: u64,
    /// Others.
    pub important: u64,
    /// Lines that nobody read in time.
    pub dropped: u64,
}

/// Lines of the current second.
#[derive(Debug, Default)]
pub struct Volume {
    second: u64,
    routine: u32,
    all: u32,
    omitted: Omitted,
    dropped: u64,
}

impl Volume {
    /// Counts a line at a time; says whether it is written.
    pub fn admit(&mut self, weight: Weight, now: Duration) -> bool {
        if now.as_secs() != self.second {
            self.second = now.as_secs();
            (self.routine, self.all) = (0, 0);
        }
        let room = match weight {
            Weight::Routine => self.routine < ROUTINE_LINES && self.all < LINES,
            Weight::Important => self.all < LINES,
        };
        if !room {
            match weight {
                Weight::Routine => self.omitted.routine += 1,
                Weight::Important => self.omitted.important += 1,
            }
            return false;
        }
        self.all += 1;
        if weight == Weight::Routine {
            self.routine += 1;
        }
        true
    }

    /// Returns the lines that were left out before the current second, once. `dropped` counts those
    /// that nobody read in time, since the start of the process.
    pub fn take_omitted(&mut self, dropped: u64, now: Duration) -> Option<Omitted> {
        if now.as_secs() == self.second {
            return None;
        }
        self.omitted.dropped = dropped.saturating_sub(self.dropped);
        self.dropped = dropped;
        let omitted = std::mem::take(&mut self.omitted);
        (omitted != Omitted::default()).then_some(omitted)
    }
}
