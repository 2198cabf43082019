//! Rate limit of the log lines of a process. Pure functions without I/O.

use std::time::Duration;

/// Maximum lines per second. With lines of at most [`crate::logging::LINE_BYTES`], a process writes
/// less than 400 KB per second.
pub const LINES: u32 = 400;
/// Maximum routine lines per second. The rest of [`LINES`] is reserved for failures and changes of
/// state.
pub const ROUTINE_LINES: u32 = 250;

/// Importance of a line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Importance {
    /// Normal progress of a request or an item.
    Routine,
    /// A failure, or a change of the state of the process.
    Important,
}

/// Numbers of lines that were not written.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Omitted {
    /// Routine lines over the limit.
    pub routine: u64,
    /// Important lines over the limit.
    pub important: u64,
    /// Lines dropped because the reader was too slow.
    pub dropped: u64,
}

/// Counts of lines in the current second.
#[derive(Debug, Default)]
pub struct Volume {
    second: u64,
    routine: u32,
    all: u32,
    omitted: Omitted,
    dropped: u64,
}

impl Volume {
    /// Counts a line and returns whether it may be written.
    pub fn admit(&mut self, importance: Importance, now: Duration) -> bool {
        if now.as_secs() != self.second {
            self.second = now.as_secs();
            (self.routine, self.all) = (0, 0);
        }
        let allowed = match importance {
            Importance::Routine => self.routine < ROUTINE_LINES && self.all < LINES,
            Importance::Important => self.all < LINES,
        };
        if !allowed {
            match importance {
                Importance::Routine => self.omitted.routine += 1,
                Importance::Important => self.omitted.important += 1,
            }
            return false;
        }
        self.all += 1;
        if importance == Importance::Routine {
            self.routine += 1;
        }
        true
    }

    /// Returns the counts of lines omitted before the current second, and resets them. `dropped` is
    /// the total number of lines dropped for a slow reader since the start of the process.
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
