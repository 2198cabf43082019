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
    crashes: Vec<Crash>,
    proved: Map<Mark, Duration>,
    blocks: Vec<Block>,
    /// Time from which on the blocks are outdated.
    review_at: Option<Duration>,
    probe_until: Duration,
    new_crashes: Vec<Crash>,
    new_proofs: Vec<(Mark, Duration)>,
    new_blocks: Vec<Block>,
    /// Requests under which a worker crashed at this instance, and whose crashes are not stored.
    unsaved: Set<Fingerprint>,
    /// Blocked requests that were proved sound at this instance.
    sound: Vec<Fingerprint>,
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
        };
        if !self.add(crash.clone(), now) {
            return false;
        }
        self.unsaved
            .extend(crash.marks.iter().filter_map(Mark::request));
        self.new_crashes.push(crash);
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
        for mark in &sound {
            self.prove(*mark, now, now);
            self.new_proofs.push((*mark, now));
        }
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
            };
            // The record of an instance that saw the crash may have more marks.
            let is_known = self
                .crashes
                .iter()
                .any(|c| c.is_at_worker_of(&crash) && is_subset(&crash.marks, &c.marks));
            if !is_known && self.add(crash.clone(), now) {
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
        for (mark, age) in report.proved {
            self.prove(mark, time(age), now);
        }
        for crash in report.crashes {
            let crash = Crash {
                attempt: crash.attempt,
                at: time(crash.at),
                needed: time(crash.needed),
                marks: crash.marks,
            };
            self.add(crash, now);
        }
    }

    /// Adds a record, and returns whether any of its marks may be to blame.
    fn add(&mut self, mut crash: Crash, now: Duration) -> bool {
        let is_sound = |m: &Mark| self.proved.get(m).is_some_and(|t| *t >= crash.at);
        crash.marks.retain(|m| !is_sound(m));
        if crash.marks.is_empty() || now >= crash.needed + MEMORY {
            return false;
        }
        let same = |c: &&mut Crash| c.is_same(&crash);
        if let Some(known) = self.crashes.iter_mut().find(same) {
            // Times that travel as ages are some milliseconds off, so the first one stays.
            known.needed = known.needed.max(crash.needed);
            known.marks.retain(|m| crash.marks.contains(m));
        } else {
            self.crashes.push(crash);
        }
        self.crashes.retain(|c| !c.marks.is_empty());
        self.review_at = Some(now);
        if self.crashes.len() > MAX_RECORDS {
            // The record may be the one that completes a block.
            self.review(now);
            self.drop_record();
            self.review_at = Some(now);
        }
        true
    }

    /// Drops a record that keeps nothing from the workers, of the worker that has most of them: one
    /// that breaks connections all the time would otherwise displace the records of all others.
    fn drop_record(&mut self) {
        let mut counts: Map<WorkerKey, usize> = Map::default();
        for crash in &self.crashes {
            *counts.entry(crash.attempt.0).or_default() += 1;
        }
        let need = |i: &usize| {
            let crash = &self.crashes[*i];
            let blocks = self.blocks_in(&crash.marks).next().is_some();
            (blocks, Reverse(counts[&crash.attempt.0]), crash.needed)
        };
        let least = (0..self.crashes.len()).min_by_key(need);
        least.map(|i| self.crashes.swap_remove(i));
    }

    /// Records that a mark was sound at a time.
    fn prove(&mut self, mark: Mark, at: Duration, now: Duration) {
        let known = self.proved.entry(mark).or_insert(at);
        *known = at.max(*known);
        let at = *known;
        for crash in self.crashes.iter_mut().filter(|c| c.at <= at) {
            crash.marks.retain(|m| *m != mark);
        }
        self.crashes.retain(|c| !c.marks.is_empty());
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

    fn blocks_in(&self, marks: &[Mark]) -> impl Iterator<Item = &Block> {
        self.blocks.iter().filter(|b| is_subset(&b.marks, marks))
    }

    /// Brings the blocks up to date.
    fn review(&mut self, now: Duration) {
        self.expire(now);
        if self.review_at.is_none_or(|t| now < t) {
            return;
        }
        let (blocks, outdated) = blame::blocks(&self.crashes, now);
        self.review_at = outdated;
        let is_new = |b: &&Block| self.blocks.iter().all(|old| old.marks != b.marks);
        self.new_blocks
            .extend(blocks.iter().filter(is_new).cloned());
        self.blocks = blocks;
    }
}

fn is_subset(marks: &[Mark], of: &[Mark]) -> bool {
    marks.iter().all(|m| of.contains(m))
}

/// Returns the age of a time in milliseconds.
pub fn age(at: Duration, now: Duration) -> u64 {
    now.saturating_sub(at).as_millis() as u64
}
