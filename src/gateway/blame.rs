//! Which requests are to blame for crashes of workers (no I/O).

use std::time::Duration;

use crate::ids::Map;

use super::{fleet::WorkerKey, marks::Mark};

/// Crashes with a mark in common after which it is kept from the workers. The platform tolerates
/// three by one request and five by one part.
const MIN_CRASHES: usize = 3;
/// Time after the last of these crashes in which other instances may report that the parts are
/// sound; a message between zones takes up to 340 ms.
const SETTLE_TIME: Duration = Duration::from_millis(350);
/// Time within which broken attempts at one worker are the same crash. A worker that starts again
/// under its id needs longer.
pub const SAME_CRASH: Duration = Duration::from_secs(1);
/// Time within which all attempts at a worker break with its crash, as other instances report it.
const BREAK_TIME: Duration = Duration::from_millis(100);
/// Number of other moments around a crash at which other requests broke at the worker, from which on
/// it counts as failing: a worker that crashed is down and breaks no more connections.
const FAILING_MOMENTS: usize = 2;
/// Time within which broken attempts at several workers have one cause, such as the loss of a rack,
/// and count as one crash.
const SAME_CAUSE: Duration = Duration::from_millis(30);
/// Delay of the first probe after the last crash; it triples with each crash.
pub const FIRST_PROBE: Duration = Duration::from_secs(5);
/// Maximum delay of a probe.
const MAX_PROBE_DELAY: Duration = Duration::from_secs(300);
/// Time after which crashes beyond `MIN_CRASHES` count as late. Requests that were under way then
/// have crashed before.
const LATE_AFTER: Duration = Duration::from_secs(1);
/// Late crashes by parts that the platform tolerates, after which no probe follows.
const MAX_LATE: usize = 3;
/// The same for one request; the platform tolerates one more, which an instance that is out of reach
/// of the others may need.
const MAX_LATE_REQUESTS: usize = 2;

/// Identifies a broken attempt: the worker, and a hash of the request.
pub type AttemptKey = (WorkerKey, u32);

/// A record of an attempt that broke.
#[derive(Debug, Clone)]
pub struct Crash {
    /// The attempt.
    pub attempt: AttemptKey,
    /// Time of the break.
    pub at: Duration,
    /// Time of the last request that the record kept from the workers.
    pub needed: Duration,
    /// Marks of the request that are not proved sound.
    pub marks: Vec<Mark>,
}

/// Marks that have crashed workers whenever they came together. A request that holds all of them is
/// kept from the workers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Block {
    /// The marks, sorted. Which of them crash workers shows when they come apart.
    pub marks: Vec<Mark>,
    /// Number of crashes.
    pub crashes: usize,
    last: Duration,
    late: usize,
}

impl Crash {
    /// Returns whether both are records of one attempt. Times that travel as ages differ by some
    /// milliseconds.
    pub fn is_same(&self, other: &Self) -> bool {
        self.attempt.1 == other.attempt.1 && self.is_at_worker_of(other)
    }

    /// Returns whether both are of one crash of a worker.
    pub fn is_at_worker_of(&self, other: &Self) -> bool {
        self.attempt.0 == other.attempt.0 && self.at.abs_diff(other.at) < SAME_CRASH
    }

    /// Returns whether the worker of the attempt goes on to break connections of other requests, so
    /// that the break says nothing about the request.
    fn is_by_failing_worker(&self, crashes: &[Self]) -> bool {
        let is_other = |c: &&Self| {
            let distance = c.at.abs_diff(self.at);
            c.attempt.0 == self.attempt.0
                && (BREAK_TIME..SAME_CRASH).contains(&distance)
                && !c.marks.iter().any(|m| self.marks.contains(m))
        };
        let mut times: Vec<Duration> = crashes.iter().filter(is_other).map(|c| c.at).collect();
        times.sort_unstable();
        let mut moments = 0;
        let mut next = Duration::ZERO;
        for time in times {
            if time >= next {
                moments += 1;
                next = time + BREAK_TIME;
            }
        }
        moments >= FAILING_MOMENTS
    }

    /// Returns whether both attempts broke with the same crash of a worker.
    fn is_beside(&self, other: &Self) -> bool {
        self.attempt.0 == other.attempt.0 && self.at.abs_diff(other.at) < BREAK_TIME
    }
}

impl Block {
    /// Returns the time from which on a request may be sent to show whether its marks still crash
    /// workers, or `None` if no more crashes are tolerated.
    pub fn probe_time(&self) -> Option<Duration> {
        let max_late = if names_request(&self.marks) {
            MAX_LATE_REQUESTS
        } else {
            MAX_LATE
        };
        let triplings = self.crashes.saturating_sub(MIN_CRASHES).min(8) as u32;
        let delay = (FIRST_PROBE * 3_u32.pow(triplings)).min(MAX_PROBE_DELAY);
        (self.late < max_late).then_some(self.last + delay)
    }
}

/// Returns the blocks that follow from records, and the time from which on they are outdated.
///
/// The mark with most crashes is to blame for all records that hold it, and for all requests that
/// broke with the same workers; what is left is examined in the same way. So marks that only come
/// along with it, and requests that only ran beside it, are not blamed. Breaks by workers that fail
/// all the time do not count.
pub fn blocks(crashes: &[Crash], now: Duration) -> (Vec<Block>, Option<Duration>) {
    let mut blocks = Vec::new();
    let mut outdated: Option<Duration> = None;
    let crashed = |c: &&Crash| !c.is_by_failing_worker(crashes);
    let mut open: Vec<&Crash> = crashes.iter().filter(crashed).collect();
    while let Some(mark) = most_suspected(&open) {
        let (held, rest): (Vec<&Crash>, Vec<&Crash>) =
            open.into_iter().partition(|c| c.marks.contains(&mark));
        let is_explained = |c: &&Crash| held.iter().any(|h| h.is_beside(c));
        open = rest.into_iter().filter(|c| !is_explained(c)).collect();
        let times = crash_times(&held);
        let third = times[MIN_CRASHES - 1];
        let mut marks = held[0].marks.clone();
        marks.retain(|m| held.iter().all(|c| c.marks.contains(m)));
        marks.sort_unstable();
        // Only its own repeats prove a request sound, so nothing is gained by waiting for others.
        let settled = if names_request(&marks) {
            third
        } else {
            third + SETTLE_TIME
        };
        if now < settled {
            outdated = Some(outdated.map_or(settled, |t| t.min(settled)));
            continue;
        }
        blocks.push(Block {
            marks,
            crashes: times.len(),
            last: times[times.len() - 1],
            late: times.iter().filter(|t| **t > third + LATE_AFTER).count(),
        });
    }
    (blocks, outdated)
}

fn names_request(marks: &[Mark]) -> bool {
    marks.iter().any(|m| matches!(m, Mark::Request(_)))
}

/// Returns the mark that is in the records of most crashes, if it has enough of them.
fn most_suspected(crashes: &[&Crash]) -> Option<Mark> {
    let mut by_mark: Map<Mark, Vec<&Crash>> = Map::default();
    for crash in crashes {
        for mark in &crash.marks {
            by_mark.entry(*mark).or_default().push(crash);
        }
    }
    let counts = by_mark.into_iter();
    let counts = counts.map(|(mark, crashes)| (crash_times(&crashes).len(), mark));
    let (count, mark) = counts.max()?;
    (count >= MIN_CRASHES).then_some(mark)
}

/// Returns the times of the crashes in records, in order. Attempts that broke at one worker at the
/// same time, or everywhere at the same moment, are one crash. Attempts of one request follow each
/// other, so each of them met a crash of its own.
fn crash_times(records: &[&Crash]) -> Vec<Duration> {
    let mut breaks: Vec<(Duration, AttemptKey)> =
        records.iter().map(|c| (c.at, c.attempt)).collect();
    breaks.sort_unstable();
    let mut crashes: Vec<(Duration, AttemptKey)> = Vec::new();
    for (at, (worker, request)) in breaks {
        let is_same = |(earlier, attempt): &(Duration, AttemptKey)| {
            let same_cause = at < *earlier + SAME_CAUSE && attempt.1 != request;
            same_cause || attempt.0 == worker && at < *earlier + SAME_CRASH
        };
        if !crashes.iter().any(is_same) {
            crashes.push((at, (worker, request)));
        }
    }
    crashes.into_iter().map(|(at, _)| at).collect()
}
