//! Bounds the log lines on instances that join and leave (no I/O).
//!
//! Each instance logs the changes of all others, so that the lines of a fleet would grow with the
//! square of its size.

use std::time::Duration;

/// Time for which changes are counted together.
const WINDOW: Duration = Duration::from_secs(10);
/// Maximum number of changes within this time that get a line of their own.
const MAX_LINES: usize = 10;

/// Whether an instance joined or left.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberChange {
    /// It joined.
    Joined,
    /// It left.
    Left,
}

/// Changes without a line of their own.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Omitted {
    /// Number of instances that joined.
    pub joined: usize,
    /// Number of instances that left.
    pub left: usize,
}

/// Counts the changes.
#[derive(Debug, Default)]
pub struct MemberLog {
    /// End of the current window, if there is one.
    end: Option<Duration>,
    lines: usize,
    omitted: Omitted,
}

impl MemberLog {
    /// Counts a change, and returns whether it gets a line of its own.
    pub fn admit(&mut self, change: MemberChange, now: Duration) -> bool {
        self.end.get_or_insert(now + WINDOW);
        if self.lines < MAX_LINES {
            self.lines += 1;
            return true;
        }
        match change {
            MemberChange::Joined => self.omitted.joined += 1,
            MemberChange::Left => self.omitted.left += 1,
        }
        false
    }

    /// Ends the window when it is over, and returns the changes that got no line in it.
    pub fn take_omitted(&mut self, now: Duration) -> Option<Omitted> {
        if self.end.is_none_or(|end| now < end) {
            return None;
        }
        let omitted = std::mem::take(self).omitted;
        (omitted != Omitted::default()).then_some(omitted)
    }
}
