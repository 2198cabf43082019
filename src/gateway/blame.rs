//! Which requests are to blame for crashes of workers (no I/O).

use std::time::Duration;

use crate::ids::{Map, Set};

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
    /// Whether the attempt was made by this instance.
    pub is_local: bool,
}

/// Marks that have crashed workers whenever they came together. A request that holds all of them is
/// kept from the workers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Block {
    /// The marks, sorted. Which of them crash workers shows when they come apart.
    pub marks: Vec<Mark>,
    /// Number of crashes.
    pub crashes: usize,
    /// Whether an attempt of this instance broke with the crash that completed the block.
    pub is_local: bool,
    /// Time of the crash that completed the block.
    pub completed: Duration,
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
    /// that the break says nothing about the request. `breaks` are the records of the worker, sorted
    /// by time.
    fn is_by_failing_worker(&self, breaks: &[&Self]) -> bool {
        let first = breaks.partition_point(|c| c.at + SAME_CRASH <= self.at);
        let near = breaks[first..].iter();
        let near = near.take_while(|c| c.at < self.at + SAME_CRASH);
        let mut moments = 0;
        let mut next = Duration::ZERO;
        for other in near.filter(|c| c.at.abs_diff(self.at) >= BREAK_TIME) {
            if other.at < next || other.marks.iter().any(|m| self.marks.contains(m)) {
                continue;
            }
            moments += 1;
            if moments == FAILING_MOMENTS {
                return true;
            }
            next = other.at + BREAK_TIME;
        }
        false
    }

    /// Returns whether the attempt broke with one of the crashes of its worker at these times, which
    /// are sorted.
    fn is_beside(&self, times: &[Duration]) -> bool {
        let first = times.partition_point(|t| *t + BREAK_TIME <= self.at);
        times.get(first).is_some_and(|t| *t < self.at + BREAK_TIME)
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

    /// Returns the marks that identify the block: the request, if it names one. Its parts are proved
    /// sound by other requests while the block holds.
    pub fn identity(&self) -> Vec<Mark> {
        let request = self.marks.iter().find(|m| m.request().is_some());
        request.map_or_else(|| self.marks.clone(), |m| vec![*m])
    }
}

/// Returns the blocks that follow from records, and the time from which on they are outdated.
///
/// The mark with most crashes is to blame for all records that hold it, and for all requests that
/// broke with the same workers; what is left is examined in the same way. So marks that only come
/// along with it, and requests that only ran beside it, are not blamed. Breaks by workers that fail
/// all the time do not count.
///
/// While as many other workers crash as the request met, it may be sent once more after its third
/// crash, for all of them may be lost for another reason. Its block begins with the fourth crash, or
/// when further crashes would count as late. So a request that does crash workers costs one more of
/// them, earlier than the platform counts.
pub fn blocks(crashes: &[Crash], now: Duration) -> (Vec<Block>, Option<Duration>) {
    let mut blocks = Vec::new();
    let mut outdated: Option<Duration> = None;
    let breaks = sound_worker_breaks(crashes);
    let mut open = breaks.clone();
    let mut suspicions = Suspicions::new(&open);
    while let Some(mark) = suspicions.most_suspected() {
        let (held, rest): (Vec<&Crash>, Vec<&Crash>) =
            open.into_iter().partition(|c| c.marks.contains(&mark));
        let mut moments: Map<WorkerKey, Vec<Duration>> = Map::default();
        for crash in &held {
            moments.entry(crash.attempt.0).or_default().push(crash.at);
        }
        for times in moments.values_mut() {
            times.sort_unstable();
        }
        let (explained, rest): (Vec<&Crash>, Vec<&Crash>) = rest
            .into_iter()
            .partition(|c| moments.get(&c.attempt.0).is_some_and(|t| c.is_beside(t)));
        open = rest;
        let times = crash_times(&held);
        suspicions.remove(held.iter().chain(&explained), &open);
        let third = times[MIN_CRASHES - 1];
        let mut marks = held[0].marks.clone();
        marks.retain(|m| held.iter().all(|c| c.marks.contains(m)));
        marks.sort_unstable();
        let is_elsewhere = |c: &&&Crash| {
            c.at.abs_diff(third) < SETTLE_TIME
                && moments.get(&c.attempt.0).is_none_or(|t| !c.is_beside(t))
        };
        let lost_elsewhere = || {
            let lost = breaks.iter().filter(is_elsewhere).map(|c| c.attempt.0);
            lost.collect::<Set<WorkerKey>>().len()
        };
        let settled = if !names_request(&marks) {
            third + SETTLE_TIME
        } else if times.len() == MIN_CRASHES && lost_elsewhere() >= MIN_CRASHES {
            third + LATE_AFTER
        } else {
            // Only its own repeats prove a request sound, so nothing is gained by waiting for others.
            third
        };
        if now < settled {
            outdated = Some(outdated.map_or(settled, |t| t.min(settled)));
            continue;
        }
        let mut completing = held.iter().filter(|c| c.at == third);
        let is_local = |c: &&Crash| held.iter().any(|o| o.is_local && o.is_at_worker_of(c));
        blocks.push(Block {
            is_local: completing.any(is_local),
            completed: third,
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

/// Returns the records of attempts at workers that do not break connections all the time.
fn sound_worker_breaks(crashes: &[Crash]) -> Vec<&Crash> {
    let mut by_worker: Map<WorkerKey, Vec<&Crash>> = Map::default();
    for crash in crashes {
        by_worker.entry(crash.attempt.0).or_default().push(crash);
    }
    for breaks in by_worker.values_mut() {
        breaks.sort_unstable_by_key(|c| c.at);
    }
    let is_sound = |c: &&Crash| !c.is_by_failing_worker(&by_worker[&c.attempt.0]);
    crashes.iter().filter(is_sound).collect()
}

/// Number of crashes by each mark that may have enough of them.
struct Suspicions(Map<Mark, usize>);

impl Suspicions {
    fn new(crashes: &[&Crash]) -> Self {
        let mut by_mark = records_by_mark(crashes, |_| true);
        by_mark.retain(|_, records| records.len() >= MIN_CRASHES);
        let counts = by_mark.into_iter();
        Self(counts.map(|(m, r)| (m, crash_times(&r).len())).collect())
    }

    /// Returns the mark that is in the records of most crashes, if it has enough of them.
    fn most_suspected(&self) -> Option<Mark> {
        let counts = self.0.iter().map(|(mark, count)| (*count, *mark));
        let (count, mark) = counts.max()?;
        (count >= MIN_CRASHES).then_some(mark)
    }

    /// Counts the marks of removed records again in those that are left.
    fn remove<'a>(&mut self, removed: impl Iterator<Item = &'a &'a Crash>, left: &[&Crash]) {
        let mut outdated: Set<Mark> = Set::default();
        for mark in removed.flat_map(|c| &c.marks) {
            if self.0.remove(mark).is_some() {
                outdated.insert(*mark);
            }
        }
        if outdated.is_empty() {
            return;
        }
        for (mark, records) in records_by_mark(left, |m| outdated.contains(m)) {
            if records.len() >= MIN_CRASHES {
                self.0.insert(mark, crash_times(&records).len());
            }
        }
    }
}

/// Returns the records with each of the wanted marks.
fn records_by_mark<'a>(
    crashes: &[&'a Crash],
    wanted: impl Fn(&Mark) -> bool,
) -> Map<Mark, Vec<&'a Crash>> {
    let mut by_mark: Map<Mark, Vec<&Crash>> = Map::default();
    for crash in crashes {
        for mark in crash.marks.iter().filter(|m| wanted(m)) {
            by_mark.entry(*mark).or_default().push(crash);
        }
    }
    by_mark
}

/// Returns the times of the crashes in records, in order. Attempts that broke at one worker at the
/// same time, or everywhere at the same moment, are one crash. Attempts of one request follow each
/// other, so each of them met a crash of its own.
fn crash_times(records: &[&Crash]) -> Vec<Duration> {
    let mut breaks: Vec<(Duration, AttemptKey)> =
        records.iter().map(|c| (c.at, c.attempt)).collect();
    breaks.sort_unstable();
    let mut by_worker: Map<WorkerKey, Duration> = Map::default();
    // The last crash, and the last one by another request.
    let mut last: Option<(Duration, u32)> = None;
    let mut before: Option<(Duration, u32)> = None;
    let mut times = Vec::new();
    for (at, (worker, request)) in breaks {
        let at_worker = by_worker.get(&worker);
        let has_cause =
            |(earlier, other): &(Duration, u32)| at < *earlier + SAME_CAUSE && *other != request;
        if at_worker.is_some_and(|t| at < *t + SAME_CRASH)
            || last.iter().chain(&before).any(has_cause)
        {
            continue;
        }
        times.push(at);
        by_worker.insert(worker, at);
        if last.is_some_and(|(_, other)| other != request) {
            before = last;
        }
        last = Some((at, request));
    }
    times
}
