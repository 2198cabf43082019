//! Parts of prompts that crash workers (no I/O).
//!
//! A part may crash each worker that begins to write an answer on it, whatever else the prompt holds.
//! An attempt whose connection ends before its first event leaves a record with the parts of its
//! prompt; an attempt that gets an event proves its parts sound. Parts that are in the records of
//! several crashes, and never proved sound since, are kept from the workers.
//!
//! Instances exchange records and proofs, since each of them sees only some of the crashes.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{Map, PartId};

use super::fleet::WorkerKey;

/// Crashes with a part in common after which it is kept from the workers. The platform tolerates
/// five; a sound part seldom meets three in a row, without an event in between.
const MIN_CRASHES: usize = 3;
/// Time after the last of these crashes in which other instances may report that the parts are
/// sound; a message between zones takes up to 340 ms.
const SETTLE_TIME: Duration = Duration::from_millis(350);
/// Time within which broken attempts at one worker are the same crash. A worker that starts again
/// under its id needs longer.
const SAME_CRASH: Duration = Duration::from_secs(1);
/// Time within which broken attempts at several workers have one cause, such as the loss of a rack,
/// and count as one crash.
const SAME_CAUSE: Duration = Duration::from_millis(30);
/// Time without a request with its parts after which a record is forgotten.
const MEMORY: Duration = Duration::from_secs(60);
/// Maximum number of records; the ones that were not needed for longest are dropped.
const MAX_RECORDS: usize = 128;
/// Maximum number of parts in a record, the last ones of the prompt.
const MAX_PARTS: usize = 16;
/// Maximum number of parts that are remembered as proved sound.
const MAX_PROVED: usize = 512;
/// Time for which a proof is sent to other instances. It reaches them at once; later messages would
/// only make it seem newer by the time that they travel.
const PROOF_REPORTED: Duration = Duration::from_secs(5);
/// Delay of the first probe after the last crash; it triples with each crash. With the two crashes
/// that the platform tolerates beyond `MIN_CRASHES` and three requests later, five probes are
/// harmless.
const FIRST_PROBE: Duration = Duration::from_secs(5);
/// Maximum delay of a probe.
const MAX_PROBE_DELAY: Duration = Duration::from_secs(300);
/// Origin of the times kept here, so that records of other instances can be older than this one.
const ORIGIN: Duration = Duration::from_secs(3600);

/// Identifies a broken attempt: the worker, and a hash of the request.
type AttemptKey = (WorkerKey, u32);

/// A record of an attempt that broke before its first event.
#[derive(Debug, Clone)]
struct Crash {
    attempt: AttemptKey,
    /// Time of the break.
    at: Duration,
    /// Time of the last request that the record kept from the workers.
    needed: Duration,
    /// Shared parts of the prompt that are not proved sound.
    parts: Vec<PartId>,
}

/// Parts that have crashed workers whenever they came together. A request that holds all of them is
/// kept from the workers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Block {
    /// The parts, sorted. Which of them crash workers shows when they come apart.
    pub parts: Vec<PartId>,
    /// Number of crashes.
    pub crashes: usize,
    last: Duration,
}

/// Whether a request may be sent to a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It may.
    Free,
    /// It may, to show whether its parts still crash workers.
    Probe,
    /// It may not, at least for some time.
    Refused(Duration),
}

/// What an instance tells others. Times are ages in milliseconds.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Report {
    crashes: Vec<CrashReport>,
    proved: Vec<(PartId, u64)>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct CrashReport {
    attempt: AttemptKey,
    at: u64,
    needed: u64,
    parts: Vec<PartId>,
}

/// Returns the ids of parts in the form of the log.
pub fn names(parts: &[PartId]) -> String {
    let names: Vec<String> = parts.iter().map(|p| format!("{p:x}")).collect();
    names.join(",")
}

impl Report {
    /// Returns whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.proved.is_empty()
    }
}

/// Records of crashes and what follows from them.
#[derive(Debug, Default)]
pub struct Suspects {
    crashes: Vec<Crash>,
    proved: Map<PartId, Duration>,
    blocks: Vec<Block>,
    /// Time from which on the blocks are outdated.
    review_at: Option<Duration>,
    probe_until: Duration,
    new_crashes: Vec<Crash>,
    new_proofs: Vec<(PartId, Duration)>,
    new_blocks: Vec<Block>,
}

impl Suspects {
    /// Records that the connection of an attempt ended before its first event, and returns whether
    /// its prompt had parts to blame.
    pub fn record_crash(&mut self, parts: &[PartId], attempt: AttemptKey, now: Duration) -> bool {
        let now = now + ORIGIN;
        let first = parts.len().saturating_sub(MAX_PARTS);
        let crash = Crash {
            attempt,
            at: now,
            needed: now,
            parts: parts[first..].to_vec(),
        };
        if !self.add(crash.clone(), now) {
            return false;
        }
        self.new_crashes.push(crash);
        true
    }

    /// Records that a worker sent an event of an answer to a prompt with these parts, and returns
    /// whether one of them was suspected.
    pub fn record_proof(&mut self, parts: &[PartId], now: Duration) -> bool {
        let now = now + ORIGIN;
        let suspected = |p: &&PartId| self.crashes.iter().any(|c| c.parts.contains(p));
        let sound: Vec<PartId> = parts.iter().filter(suspected).copied().collect();
        for part in &sound {
            self.prove(*part, now, now);
            self.new_proofs.push((*part, now));
        }
        !sound.is_empty()
    }

    /// Decides whether a request may be sent to a worker. `may_probe` is asked only if a probe is
    /// due; of all instances one should answer yes.
    pub fn admit(
        &mut self,
        parts: &[PartId],
        now: Duration,
        may_probe: impl FnOnce(&Block) -> bool,
    ) -> Admission {
        if self.crashes.is_empty() {
            return Admission::Free;
        }
        let now = now + ORIGIN;
        self.review(now);
        let holding: Vec<Block> = self.blocks_in(parts).cloned().collect();
        let Some(block) = holding.first() else {
            return Admission::Free;
        };
        for crash in &mut self.crashes {
            if holding.iter().any(|b| is_subset(&b.parts, &crash.parts)) {
                crash.needed = now;
            }
        }
        let due = block.probe_time().max(self.probe_until);
        if now >= due && holding.len() == 1 && may_probe(block) {
            self.probe_until = now + FIRST_PROBE;
            return Admission::Probe;
        }
        Admission::Refused(due.saturating_sub(now).max(FIRST_PROBE))
    }

    /// Returns whether requests with these parts are kept from the workers.
    pub fn is_blocked(&mut self, parts: &[PartId], now: Duration) -> bool {
        if self.crashes.is_empty() {
            return false;
        }
        self.review(now + ORIGIN);
        self.blocks_in(parts).next().is_some()
    }

    /// Returns whether no part is suspected.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// Returns the number of blocks.
    pub fn block_count(&self) -> usize {
        self.blocks.len()
    }

    /// Returns the blocks that are new since the last call, for the log.
    pub fn take_blocks(&mut self) -> Vec<Block> {
        std::mem::take(&mut self.new_blocks)
    }

    /// Returns what happened at this instance since the last call.
    pub fn take_news(&mut self, now: Duration) -> Report {
        let now = now + ORIGIN;
        let crashes = self.new_crashes.drain(..);
        let proved = self.new_proofs.drain(..);
        Report {
            crashes: crashes.map(|c| c.report(now)).collect(),
            proved: proved.map(|(part, at)| (part, age(at, now))).collect(),
        }
    }

    /// Returns all that is known.
    pub fn report(&mut self, now: Duration) -> Report {
        let now = now + ORIGIN;
        self.expire(now);
        let crashes = self.crashes.iter().map(|c| c.report(now));
        let recent = self
            .proved
            .iter()
            .filter(|(_, at)| now < **at + PROOF_REPORTED);
        let proved = recent.map(|(p, at)| (*p, age(*at, now)));
        Report {
            crashes: crashes.collect(),
            proved: proved.collect(),
        }
    }

    /// Adds what another instance told.
    pub fn merge(&mut self, report: Report, now: Duration) {
        let now = now + ORIGIN;
        let time = |age: u64| now.saturating_sub(Duration::from_millis(age));
        for (part, age) in report.proved {
            self.prove(part, time(age), now);
        }
        for crash in report.crashes {
            let crash = Crash {
                attempt: crash.attempt,
                at: time(crash.at),
                needed: time(crash.needed),
                parts: crash.parts,
            };
            self.add(crash, now);
        }
    }

    /// Adds a record, and returns whether any of its parts may be to blame.
    fn add(&mut self, mut crash: Crash, now: Duration) -> bool {
        let is_sound = |p: &PartId| self.proved.get(p).is_some_and(|t| *t >= crash.at);
        crash.parts.retain(|p| !is_sound(p));
        if crash.parts.is_empty() || now >= crash.needed + MEMORY {
            return false;
        }
        let same =
            |c: &&mut Crash| c.attempt == crash.attempt && c.at.abs_diff(crash.at) < SAME_CRASH;
        if let Some(known) = self.crashes.iter_mut().find(same) {
            // Times that travel as ages are some milliseconds off, so the first one stays.
            known.needed = known.needed.max(crash.needed);
            known.parts.retain(|p| crash.parts.contains(p));
        } else {
            self.crashes.push(crash);
        }
        self.crashes.retain(|c| !c.parts.is_empty());
        if self.crashes.len() > MAX_RECORDS {
            let oldest = (0..self.crashes.len()).min_by_key(|i| self.crashes[*i].needed);
            oldest.map(|i| self.crashes.swap_remove(i));
        }
        self.review_at = Some(now);
        true
    }

    /// Records that a part was sound at a time.
    fn prove(&mut self, part: PartId, at: Duration, now: Duration) {
        let known = self.proved.entry(part).or_insert(at);
        *known = at.max(*known);
        let at = *known;
        for crash in self.crashes.iter_mut().filter(|c| c.at <= at) {
            crash.parts.retain(|p| *p != part);
        }
        self.crashes.retain(|c| !c.parts.is_empty());
        if self.proved.len() > MAX_PROVED
            && let Some((oldest, _)) = self.proved.iter().min_by_key(|(_, at)| **at)
        {
            let oldest = *oldest;
            self.proved.remove(&oldest);
        }
        self.review_at = Some(now);
    }

    fn expire(&mut self, now: Duration) {
        let before = self.crashes.len();
        self.crashes.retain(|c| now < c.needed + MEMORY);
        self.proved.retain(|_, at| now < *at + MEMORY);
        if self.crashes.len() != before {
            self.review_at = Some(now);
        }
    }

    fn blocks_in(&self, parts: &[PartId]) -> impl Iterator<Item = &Block> {
        self.blocks.iter().filter(|b| is_subset(&b.parts, parts))
    }

    /// Brings the blocks up to date.
    ///
    /// The part with most crashes is to blame for all records that hold it; what is left is examined
    /// in the same way. So parts that only come along with it are not blamed.
    fn review(&mut self, now: Duration) {
        self.expire(now);
        if self.review_at.is_none_or(|t| now < t) {
            return;
        }
        self.review_at = None;
        let mut blocks = Vec::new();
        let mut open: Vec<&Crash> = self.crashes.iter().collect();
        while let Some(part) = most_suspected(&open) {
            let (held, rest): (Vec<&Crash>, Vec<&Crash>) =
                open.into_iter().partition(|c| c.parts.contains(&part));
            open = rest;
            let times = crash_times(&held);
            let settled = times[MIN_CRASHES - 1] + SETTLE_TIME;
            if now < settled {
                self.review_at = Some(self.review_at.map_or(settled, |t| t.min(settled)));
                continue;
            }
            let mut parts = held[0].parts.clone();
            parts.retain(|p| held.iter().all(|c| c.parts.contains(p)));
            parts.sort_unstable();
            blocks.push(Block {
                parts,
                crashes: times.len(),
                last: times[times.len() - 1],
            });
        }
        let is_new = |b: &&Block| self.blocks.iter().all(|old| old.parts != b.parts);
        self.new_blocks
            .extend(blocks.iter().filter(is_new).cloned());
        self.blocks = blocks;
    }
}

impl Crash {
    fn report(&self, now: Duration) -> CrashReport {
        CrashReport {
            attempt: self.attempt,
            at: age(self.at, now),
            needed: age(self.needed, now),
            parts: self.parts.clone(),
        }
    }
}

impl Block {
    /// Returns the time from which on a request may be sent to show whether its parts still crash
    /// workers.
    fn probe_time(&self) -> Duration {
        let triplings = self.crashes.saturating_sub(MIN_CRASHES).min(8) as u32;
        self.last + (FIRST_PROBE * 3_u32.pow(triplings)).min(MAX_PROBE_DELAY)
    }
}

/// Returns the part that is in the records of most crashes, if it has enough of them.
fn most_suspected(crashes: &[&Crash]) -> Option<PartId> {
    let mut by_part: Map<PartId, Vec<&Crash>> = Map::default();
    for crash in crashes {
        for part in &crash.parts {
            by_part.entry(*part).or_default().push(crash);
        }
    }
    let counts = by_part.into_iter();
    let counts = counts.map(|(part, crashes)| (crash_times(&crashes).len(), part));
    let (count, part) = counts.max()?;
    (count >= MIN_CRASHES).then_some(part)
}

/// Returns the times of the crashes in records, in order. Attempts that broke at one worker at the
/// same time, or everywhere at the same moment, are one crash.
fn crash_times(records: &[&Crash]) -> Vec<Duration> {
    let mut times: Vec<(Duration, WorkerKey)> =
        records.iter().map(|c| (c.at, c.attempt.0)).collect();
    times.sort_unstable();
    let mut crashes: Vec<(Duration, WorkerKey)> = Vec::new();
    for (at, worker) in times {
        let same = |c: &(Duration, WorkerKey)| {
            at < c.0 + SAME_CAUSE || c.1 == worker && at < c.0 + SAME_CRASH
        };
        if !crashes.iter().any(same) {
            crashes.push((at, worker));
        }
    }
    crashes.into_iter().map(|(at, _)| at).collect()
}

fn is_subset(parts: &[PartId], of: &[PartId]) -> bool {
    parts.iter().all(|p| of.contains(p))
}

fn age(at: Duration, now: Duration) -> u64 {
    now.saturating_sub(at).as_millis() as u64
}
