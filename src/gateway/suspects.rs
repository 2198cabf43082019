//! Requests that crash workers (no I/O).
//!
//! A request may crash each worker that begins to run it, and so may a part of its prompt, whatever
//! else it holds. An attempt whose connection breaks leaves a record with the marks of its request.
//! An attempt that gets an event proves the parts of its prompt sound, and one that gets its whole
//! answer proves the request sound. Marks in the records of several crashes, and never proved sound
//! since, are kept from the workers.
//!
//! Instances exchange records and proofs, since each of them sees only some of the crashes.

use std::{cmp::Reverse, time::Duration};

use crate::ids::{Fingerprint, Map, Set};

use super::{
    blame::{self, AttemptKey, Block, Crash, FIRST_PROBE},
    crash_report::{CrashReport, Report},
    fleet::WorkerKey,
    marks::Mark,
};

/// Time without a request with its marks after which a record is forgotten.
const MEMORY: Duration = Duration::from_secs(3600);
/// Maximum number of records.
const MAX_RECORDS: usize = 128;
/// Number of records at which those beyond `MAX_RECORDS` are dropped at once. Up to it they wait for
/// the next review, so that one review serves many new records.
const FULL_RECORDS: usize = 2 * MAX_RECORDS;
/// Minimum time between reviews that follow from reports of other instances. In a large fleet they
/// arrive by the thousand in a second when many workers crash.
const REVIEW_INTERVAL: Duration = Duration::from_millis(30);
/// Maximum number of dropped records that are remembered.
const MAX_DROPPED: usize = 8192;
/// Time by which a dropped record has to be needed later than before to be added again.
const NEEDED_AGAIN: Duration = Duration::from_secs(1);
/// Maximum number of marks in a record: the last parts of the prompt and the request.
const MAX_MARKS: usize = 16;
/// Maximum number of marks that are remembered as proved sound.
const MAX_PROVED: usize = 512;
/// Time for which a record is repeated to other instances after it was needed.
const CRASH_REPORTED: Duration = Duration::from_secs(60);
/// Time for which a proof is sent to other instances. It reaches them at once; later messages would
/// only make it seem newer by the time that they travel.
const PROOF_REPORTED: Duration = Duration::from_secs(5);
/// `Retry-After` of a request that is not probed any more.
const NO_PROBE_RETRY: Duration = Duration::from_secs(300);
/// Origin of the times kept here, so that records of other instances can be older than this one.
const ORIGIN: Duration = MEMORY.saturating_mul(2);

/// Whether a request may be sent to a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It may.
    Free,
    /// It may, to show whether its marks still crash workers.
    Probe,
    /// It may not, at least for some time.
    Refused(Duration),
}

/// Records of crashes and what follows from them.
#[derive(Debug, Default)]
pub struct Suspects {
    /// Sorted by attempt.
    crashes: Vec<Crash>,
    /// Records that were dropped lately, which other instances go on to report.
    dropped: Map<AttemptKey, Dropped>,
    proved: Map<Mark, Duration>,
    blocks: Vec<Block>,
    /// Time from which on the blocks are outdated.
    review_at: Option<Duration>,
    /// Time of the last review.
    reviewed: Duration,
    review_count: u64,
    probe_until: Duration,
    new_crashes: Vec<Crash>,
    new_proofs: Vec<(Mark, Duration)>,
    new_blocks: Vec<Block>,
    /// Blocks that `take_blocks` has returned or will return, by their identity.
    announced: Map<Vec<Mark>, Announced>,
    /// Requests under which a worker crashed at this instance, and whose crashes are not stored.
    unsaved: Set<Fingerprint>,
    /// Blocked requests that were proved sound at this instance.
    sound: Vec<Fingerprint>,
}

/// A record that was dropped.
#[derive(Debug)]
struct Dropped {
    /// Time of the break.
    crashed: Duration,
    /// Time of the last request that the record kept from the workers.
    needed: Duration,
    /// Time at which it was dropped.
    at: Duration,
}

/// A block that was announced.
#[derive(Debug, Clone, Copy)]
struct Announced {
    /// Time of the crash that completed the block.
    completed: Duration,
    is_local: bool,
}

/// What is new of blocked requests.
#[derive(Debug, Default)]
pub struct BlockNews {
    /// Requests with their crashes.
    pub crashed: Vec<(Fingerprint, Vec<CrashReport>)>,
    /// Requests that were proved sound.
    pub sound: Vec<Fingerprint>,
}

impl Suspects {
    /// Records that the connection of an attempt broke, and returns whether its request had marks to
    /// blame.
    pub fn record_crash(&mut self, marks: &[Mark], attempt: AttemptKey, now: Duration) -> bool {
        let now = now + ORIGIN;
        let first = marks.len().saturating_sub(MAX_MARKS);
        let crash = Crash {
            attempt,
            at: now,
            needed: now,
            marks: marks[first..].to_vec(),
            is_local: true,
        };
        if !self.add(crash.clone(), now) {
            return false;
        }
        self.review_at = Some(now);
        self.unsaved
            .extend(crash.marks.iter().filter_map(Mark::request));
        // Other instances keep no more of a report.
        if self.new_crashes.len() < MAX_RECORDS {
            self.new_crashes.push(crash);
        }
        true
    }

    /// Records that a worker answered a request with these marks, and returns whether one of them
    /// was suspected.
    pub fn record_proof(&mut self, marks: &[Mark], now: Duration) -> bool {
        let now = now + ORIGIN;
        let suspected = |m: &&Mark| self.crashes.iter().any(|c| c.marks.contains(m));
        let sound: Vec<Mark> = marks.iter().filter(suspected).copied().collect();
        let is_blocked = |f: &Fingerprint| self.blocks_request(*f);
        let unblocked = sound.iter().filter_map(Mark::request).filter(is_blocked);
        let unblocked: Vec<Fingerprint> = unblocked.collect();
        self.sound.extend(unblocked);
        if !sound.is_empty() {
            self.prove(sound.iter().map(|m| (*m, now)));
            self.review_at = Some(now);
        }
        self.new_proofs.extend(sound.iter().map(|m| (*m, now)));
        !sound.is_empty()
    }

    /// Decides whether a request may be sent to a worker. `may_probe` is asked only if a probe is
    /// due; of all instances one should answer yes.
    pub fn admit(
        &mut self,
        marks: &[Mark],
        now: Duration,
        may_probe: impl FnOnce(&Block) -> bool,
    ) -> Admission {
        if self.crashes.is_empty() {
            return Admission::Free;
        }
        let now = now + ORIGIN;
        self.review(now);
        let holding: Vec<Block> = self.blocks_in(marks).cloned().collect();
        let Some(block) = holding.first() else {
            return Admission::Free;
        };
        for crash in &mut self.crashes {
            if holding.iter().any(|b| is_subset(&b.marks, &crash.marks)) {
                crash.needed = now;
            }
        }
        let Some(due) = block.probe_time() else {
            return Admission::Refused(NO_PROBE_RETRY);
        };
        let due = due.max(self.probe_until);
        if now >= due && holding.len() == 1 && may_probe(block) {
            self.probe_until = now + FIRST_PROBE;
            return Admission::Probe;
        }
        Admission::Refused(due.saturating_sub(now).max(FIRST_PROBE))
    }

    /// Returns whether requests with these marks are kept from the workers.
    pub fn is_blocked(&mut self, marks: &[Mark], now: Duration) -> bool {
        if self.crashes.is_empty() {
            return false;
        }
        self.review(now + ORIGIN);
        self.blocks_in(marks).next().is_some()
    }

    /// Returns whether no mark is suspected.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// Returns the number of blocks.
    pub fn block_count(&self) -> usize {
        self.blocks.len()
    }

    /// Returns the number of times that the blocks were brought up to date.
    pub fn review_count(&self) -> u64 {
        self.review_count
    }

    /// Returns the blocks that are new since the last call, for the log. A block is new again only
    /// after its marks were proved sound or forgotten, or when it turns out that this instance saw
    /// the crash that completed it.
    pub fn take_blocks(&mut self) -> Vec<Block> {
        std::mem::take(&mut self.new_blocks)
    }

    /// Returns what happened at this instance since the last call.
    pub fn take_news(&mut self, now: Duration) -> Report {
        let now = now + ORIGIN;
        let crashes = self.new_crashes.drain(..);
        let proved = self.new_proofs.drain(..);
        Report {
            crashes: crashes.map(|c| CrashReport::new(&c, now)).collect(),
            proved: proved.map(|(mark, at)| (mark, age(at, now))).collect(),
        }
    }

    /// Returns what happened to blocked requests at this instance since the last call.
    pub fn take_block_news(&mut self, now: Duration) -> BlockNews {
        if self.unsaved.is_empty() && self.sound.is_empty() {
            return BlockNews::default();
        }
        self.review(now + ORIGIN);
        let mut unsaved = std::mem::take(&mut self.unsaved);
        let blocked = unsaved.extract_if(|f| self.blocks_request(*f));
        let blocked: Vec<Fingerprint> = blocked.collect();
        // Others may still join the records of those that do not block yet.
        let held = self.crashes.iter().flat_map(|c| &c.marks);
        let held: Set<Fingerprint> = held.filter_map(Mark::request).collect();
        unsaved.retain(|f| held.contains(f));
        self.unsaved = unsaved;
        let crashed = blocked.into_iter();
        BlockNews {
            crashed: crashed.map(|f| (f, self.crashes_of(f, now))).collect(),
            sound: std::mem::take(&mut self.sound),
        }
    }

    /// Returns the known crashes of a request.
    pub fn crashes_of(&self, request: Fingerprint, now: Duration) -> Vec<CrashReport> {
        let mark = Mark::Request(request);
        let crashes = self.crashes.iter().filter(|c| c.marks.contains(&mark));
        crashes.map(|c| CrashReport::new(c, now + ORIGIN)).collect()
    }

    /// Returns whether a blocked request may be probed by what is known of its crashes.
    pub fn is_probe_due(&mut self, request: Fingerprint, now: Duration) -> bool {
        let now = now + ORIGIN;
        self.review(now);
        let due = self.block_of(request).and_then(Block::probe_time);
        due.is_some_and(|d| now >= d)
    }

    /// Adds crashes that are known from the store, and returns whether any was new. Other instances
    /// are told of these.
    pub fn recall(&mut self, report: Report, now: Duration) -> bool {
        let now = now + ORIGIN;
        let mut is_new = false;
        for crash in report.crashes {
            let crash = Crash {
                attempt: crash.attempt,
                at: now.saturating_sub(Duration::from_millis(crash.at)),
                needed: now,
                marks: crash.marks,
                is_local: false,
            };
            // The record of an instance that saw the crash may have more marks.
            let is_known = self
                .crashes
                .iter()
                .any(|c| c.is_at_worker_of(&crash) && is_subset(&crash.marks, &c.marks));
            if !is_known && self.add(crash.clone(), now) {
                self.review_at = Some(now);
                is_new = true;
                self.new_crashes.push(crash);
            }
        }
        is_new
    }

    /// Returns whether a request is kept from the workers for its own sake.
    pub fn blocks_request(&self, request: Fingerprint) -> bool {
        self.block_of(request).is_some()
    }

    /// Returns the block that keeps a request from the workers for its own sake.
    fn block_of(&self, request: Fingerprint) -> Option<&Block> {
        let mark = Mark::Request(request);
        self.blocks.iter().find(|b| b.marks.contains(&mark))
    }

    /// Returns all that is known.
    pub fn report(&mut self, now: Duration) -> Report {
        self.report_needed(now, MEMORY)
    }

    /// Returns what was needed in the last time.
    pub fn recent_report(&mut self, now: Duration) -> Report {
        self.report_needed(now, CRASH_REPORTED)
    }

    fn report_needed(&mut self, now: Duration, within: Duration) -> Report {
        let now = now + ORIGIN;
        self.expire(now);
        if self.crashes.len() > MAX_RECORDS {
            self.trim(now);
        }
        let crashes = self.crashes.iter().filter(|c| now < c.needed + within);
        let proofs = self.proved.iter();
        let proofs = proofs.filter(|(_, at)| now < **at + PROOF_REPORTED);
        Report {
            crashes: crashes.map(|c| CrashReport::new(c, now)).collect(),
            proved: proofs.map(|(m, at)| (*m, age(*at, now))).collect(),
        }
    }

    /// Adds what another instance told.
    pub fn merge(&mut self, report: Report, now: Duration) {
        let now = now + ORIGIN;
        let time = |age: u64| now.saturating_sub(Duration::from_millis(age));
        let proved = report.proved.into_iter().take(MAX_PROVED);
        let mut changed = self.prove(proved.map(|(m, age)| (m, time(age))));
        for crash in report.crashes.into_iter().take(MAX_RECORDS) {
            let crash = Crash {
                attempt: crash.attempt,
                at: time(crash.at),
                needed: time(crash.needed),
                marks: crash.marks,
                is_local: false,
            };
            if !self.was_dropped(&crash, now) {
                changed |= self.add(crash, now);
            }
        }
        if changed {
            let due = now.max(self.reviewed + REVIEW_INTERVAL);
            self.review_at = Some(self.review_at.map_or(due, |t| t.min(due)));
        }
    }

    /// Returns whether a record was dropped and has not been needed since.
    fn was_dropped(&self, crash: &Crash, now: Duration) -> bool {
        self.dropped.get(&crash.attempt).is_some_and(|d| {
            now < d.at + CRASH_REPORTED
                && d.crashed.abs_diff(crash.at) < blame::SAME_CRASH
                && crash.needed < d.needed + NEEDED_AGAIN
        })
    }

    /// Adds a record, and returns whether that may change the blocks.
    fn add(&mut self, mut crash: Crash, now: Duration) -> bool {
        let is_sound = |m: &Mark| self.proved.get(m).is_some_and(|t| *t >= crash.at);
        crash.marks.retain(|m| !is_sound(m));
        if crash.marks.is_empty() || now >= crash.needed + MEMORY {
            return false;
        }
        let attempt = crash.attempt;
        let first = self.crashes.partition_point(|c| c.attempt < attempt);
        let beyond = self.crashes[first..].partition_point(|c| c.attempt == attempt);
        let mut known = self.crashes[first..first + beyond].iter_mut();
        if let Some(known) = known.find(|c| c.is_same(&crash)) {
            // Times that travel as ages are some milliseconds off, so the first one stays.
            known.needed = known.needed.max(crash.needed);
            let before = known.marks.len();
            known.marks.retain(|m| crash.marks.contains(m));
            if known.marks.is_empty() {
                self.crashes.retain(|c| !c.marks.is_empty());
                return true;
            }
            return known.marks.len() != before;
        }
        self.crashes.insert(first, crash);
        if self.crashes.len() >= FULL_RECORDS {
            self.trim(now);
        }
        true
    }

    /// Drops the records beyond `MAX_RECORDS`: first those that keep nothing from the workers, of the
    /// workers that have most of them. One that breaks connections all the time would otherwise
    /// displace the records of all others.
    fn trim(&mut self, now: Duration) {
        // The new records may complete a block.
        self.update_blocks(now);
        let excess = self.crashes.len().saturating_sub(MAX_RECORDS);
        if excess == 0 {
            return;
        }
        let blocks = |c: &Crash| self.blocks_in(&c.marks).next().is_some();
        let mut order: Vec<(bool, Duration, usize)> = self
            .crashes
            .iter()
            .enumerate()
            .map(|(i, c)| (blocks(c), c.needed, i))
            .collect();
        // The rank of a record among those of its worker: blocking ones first, then by need.
        order.sort_unstable();
        let mut ranks: Map<WorkerKey, usize> = Map::default();
        let mut order: Vec<_> = order
            .into_iter()
            .rev()
            .map(|(blocks, needed, i)| {
                let rank = ranks.entry(self.crashes[i].attempt.0).or_default();
                *rank += 1;
                (blocks, Reverse(*rank), needed, i)
            })
            .collect();
        order.sort_unstable();
        let excess: Set<usize> = order[..excess].iter().map(|(.., i)| *i).collect();
        let crashes = std::mem::take(&mut self.crashes).into_iter().enumerate();
        for (i, crash) in crashes {
            if excess.contains(&i) {
                let dropped = Dropped {
                    crashed: crash.at,
                    needed: crash.needed,
                    at: now,
                };
                self.dropped.insert(crash.attempt, dropped);
            } else {
                self.crashes.push(crash);
            }
        }
        self.dropped.retain(|_, d| now < d.at + CRASH_REPORTED);
        evict_oldest(&mut self.dropped, MAX_DROPPED, |d| d.at);
        // Without the dropped records the blocks may differ.
        let due = now + REVIEW_INTERVAL;
        self.review_at = Some(self.review_at.map_or(due, |t| t.min(due)));
    }

    /// Records that marks were sound at times, and returns whether records changed.
    fn prove(&mut self, proofs: impl Iterator<Item = (Mark, Duration)>) -> bool {
        let mut is_new = false;
        for (mark, at) in proofs {
            let known = self.proved.entry(mark).or_default();
            is_new |= at > *known;
            *known = at.max(*known);
        }
        if !is_new {
            return false;
        }
        let mut changed = false;
        let proved = &self.proved;
        for crash in &mut self.crashes {
            let before = crash.marks.len();
            let at = crash.at;
            crash
                .marks
                .retain(|m| proved.get(m).is_none_or(|t| *t < at));
            changed |= crash.marks.len() != before;
        }
        self.crashes.retain(|c| !c.marks.is_empty());
        let is_sound = |m: &Mark, a: &Announced| proved.get(m).is_some_and(|t| *t >= a.completed);
        self.announced
            .retain(|marks, a| !marks.iter().any(|m| is_sound(m, a)));
        evict_oldest(&mut self.proved, MAX_PROVED, |at| *at);
        changed
    }

    fn expire(&mut self, now: Duration) {
        let before = self.crashes.len();
        self.crashes.retain(|c| now < c.needed + MEMORY);
        self.proved.retain(|_, at| now < *at + MEMORY);
        if self.crashes.len() != before {
            self.review_at = Some(now);
        }
    }

    fn blocks_in(&self, marks: &[Mark]) -> impl Iterator<Item = &Block> {
        self.blocks.iter().filter(|b| is_subset(&b.marks, marks))
    }

    /// Brings the blocks up to date.
    fn review(&mut self, now: Duration) {
        self.expire(now);
        if self.review_at.is_none_or(|t| now < t) {
            return;
        }
        if self.crashes.len() > MAX_RECORDS {
            self.trim(now);
        } else {
            self.update_blocks(now);
        }
    }

    fn update_blocks(&mut self, now: Duration) {
        self.reviewed = now;
        self.review_count += 1;
        let (blocks, outdated) = blame::blocks(&self.crashes, now);
        self.review_at = outdated;
        let is_new = |b: &&Block| self.blocks.iter().all(|old| old.marks != b.marks);
        let new: Vec<Block> = blocks.iter().filter(is_new).cloned().collect();
        // Instances that dropped some of these records take them again.
        for crash in &mut self.crashes {
            if new.iter().any(|b| is_subset(&b.marks, &crash.marks)) {
                crash.needed = crash.needed.max(now);
            }
        }
        self.blocks = blocks;
        self.announce(now);
    }

    /// Notes the blocks that have not been announced. Reviews make a block anew, with other marks
    /// beside its request, whenever records come or go.
    fn announce(&mut self, now: Duration) {
        // A block that requests go on to meet outlives the memory of its crashes.
        let held: Set<Vec<Mark>> = self.blocks.iter().map(Block::identity).collect();
        self.announced
            .retain(|marks, a| now < a.completed + MEMORY || held.contains(marks));
        for block in &self.blocks {
            let announced = Announced {
                completed: block.completed,
                is_local: block.is_local,
            };
            let known = self.announced.get_mut(&block.identity());
            let is_new = known.as_ref().is_none_or(|a| block.is_local && !a.is_local);
            match known {
                Some(known) if is_new => *known = announced,
                // The record that completed it may have been dropped.
                Some(known) => known.completed = known.completed.max(block.completed),
                None => {
                    self.announced.insert(block.identity(), announced);
                }
            }
            if is_new {
                self.new_blocks.push(block.clone());
            }
        }
    }
}

/// Removes the entries with the oldest times beyond a number.
fn evict_oldest<K: Copy + Eq + std::hash::Hash, V>(
    entries: &mut Map<K, V>,
    max: usize,
    time: impl Fn(&V) -> Duration,
) {
    let excess = entries.len().saturating_sub(max);
    if excess == 0 {
        return;
    }
    let mut times: Vec<(Duration, K)> = entries.iter().map(|(k, v)| (time(v), *k)).collect();
    times.select_nth_unstable_by_key(excess, |(at, _)| *at);
    for (_, key) in &times[..excess] {
        entries.remove(key);
    }
}

fn is_subset(marks: &[Mark], of: &[Mark]) -> bool {
    marks.iter().all(|m| of.contains(m))
}

/// Returns the age of a time in milliseconds.
pub fn age(at: Duration, now: Duration) -> u64 {
    now.saturating_sub(at).as_millis() as u64
}
