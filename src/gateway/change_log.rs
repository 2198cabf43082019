//! Bounds the log lines on instances that join and leave and on workers (no I/O).
//!
//! Each instance logs the changes of all others and of all workers, so that the lines of a fleet would
//! grow with the square of its size.

use std::time::Duration;

/// Time for which changes are counted together.
const WINDOW: Duration = Duration::from_secs(10);
/// Maximum number of changes within this time that get a line of their own.
const MAX_LINES: usize = 10;

/// Counts changes, and sums up those without a line of their own in `T`.
#[derive(Debug, Default)]
pub struct ChangeLog<T> {
    /// End of the current window, if there is one.
    end: Option<Duration>,
    lines: usize,
    omitted: T,
}

/// Counts the instances that join and leave.
pub type MemberLog = ChangeLog<Omitted>;
/// Counts the workers that are withdrawn or kept.
pub type WorkerLog = ChangeLog<OmittedWorkers>;
/// Counts the changes of the list of workers.
pub type ListLog = ChangeLog<usize>;

/// Whether an instance joined or left.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberChange {
    /// It joined.
    Joined,
    /// It left.
    Left,
}

/// Changes of instances without a line of their own.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Omitted {
    /// Number of instances that joined.
    pub joined: usize,
    /// Number of instances that left.
    pub left: usize,
}

/// Whether a worker was withdrawn or kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkerChange {
    /// It takes no requests any more.
    Withdrawn,
    /// It stays in use without an entry.
    Kept,
}

/// Changes of workers without a line of their own.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct OmittedWorkers {
    /// Number of workers that were withdrawn.
    pub withdrawn: usize,
    /// Number of workers that were kept.
    pub kept: usize,
}

impl<T: Default + PartialEq> ChangeLog<T> {
    /// Counts a change, and returns whether it gets a line of its own. If not, `count` adds it to the
    /// sums.
    fn admit_or(&mut self, now: Duration, count: impl FnOnce(&mut T)) -> bool {
        self.end.get_or_insert(now + WINDOW);
        if self.lines < MAX_LINES {
            self.lines += 1;
            return true;
        }
        count(&mut self.omitted);
        false
    }

    /// Ends the window when it is over, and returns the changes that got no line in it.
    pub fn take_omitted(&mut self, now: Duration) -> Option<T> {
        if self.end.is_none_or(|end| now < end) {
            return None;
        }
        let omitted = std::mem::take(self).omitted;
        (omitted != T::default()).then_some(omitted)
    }
}

impl MemberLog {
    /// Counts a change, and returns whether it gets a line of its own.
    pub fn admit(&mut self, change: MemberChange, now: Duration) -> bool {
        self.admit_or(now, |omitted| match change {
            MemberChange::Joined => omitted.joined += 1,
            MemberChange::Left => omitted.left += 1,
        })
    }
}

impl WorkerLog {
    /// Counts a change, and returns whether it gets a line of its own.
    pub fn admit(&mut self, change: WorkerChange, now: Duration) -> bool {
        self.admit_or(now, |omitted| match change {
            WorkerChange::Withdrawn => omitted.withdrawn += 1,
            WorkerChange::Kept => omitted.kept += 1,
        })
    }
}

impl ListLog {
    /// Counts a change, and returns whether it gets a line of its own.
    pub fn admit(&mut self, now: Duration) -> bool {
        self.admit_or(now, |omitted| *omitted += 1)
    }
}
