//! What the object store holds of a request that crashes workers (no I/O).
//!
//! It outlives restarts of all instances, and reaches those that are cut from each other.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    fnv,
    ids::{Fingerprint, Map},
};

use super::{
    blame::{AttemptKey, FIRST_PROBE, SAME_CRASH},
    crash_report::{CrashReport, Report},
    marks::Mark,
};

/// Time for which a request whose attempt broke waits for the records of the store, which usually
/// answers within 4 ms.
pub const RECALL_LIMIT: Duration = Duration::from_millis(50);
/// Minimum interval of reads of the records.
pub const RECALL_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of crashes in an object. No more probes are sent long before.
const MAX_CRASHES: usize = 16;
/// Maximum number of objects.
const MAX_OBJECTS: usize = 128;
/// Time after the last crash for which a request is remembered.
const RETENTION_MS: u64 = 3_600_000;
/// Worker of a probe whose end is not known.
const UNKNOWN_WORKER: u32 = 0;

/// Crashes of workers by a request. Times are Unix times in milliseconds.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct BlockRecord {
    /// The crashes, by time.
    pub crashes: Vec<StoredCrash>,
    /// Time of a probe whose end is not known.
    pub probe: Option<u64>,
}

/// A crash of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct StoredCrash {
    /// Time of the crash.
    pub at: u64,
    /// Key of the worker.
    pub worker: u32,
}

/// Result of a claim of a probe.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Claim {
    /// The probe may be sent when this record is stored.
    Free(BlockRecord),
    /// Another instance probes, or may still do so.
    Taken,
}

/// Returns the name of the object of a request.
pub fn name(request: Fingerprint) -> String {
    format!("{request:016x}")
}

/// Returns the request of an object, or `None` if it has another name.
pub fn request(name: &str) -> Option<Fingerprint> {
    u64::from_str_radix(name, 16).ok()
}

impl BlockRecord {
    /// Builds the record of crashes that are known here.
    pub fn new(crashes: &[CrashReport], now: u64) -> Self {
        let mut record = Self::default();
        let crashes = crashes.iter().map(|c| StoredCrash {
            at: now.saturating_sub(c.at),
            worker: c.attempt.0,
        });
        record.add(crashes);
        record
    }

    /// Adds the crashes of another record of the request, and returns whether any was new.
    pub fn merge(&mut self, other: &Self) -> bool {
        let before = self.clone();
        self.probe = self.probe.max(other.probe);
        self.add(other.crashes.iter().copied());
        *self != before
    }

    fn add(&mut self, crashes: impl Iterator<Item = StoredCrash>) {
        for crash in crashes {
            let is_same = |c: &StoredCrash| {
                c.worker == crash.worker
                    && u128::from(c.at.abs_diff(crash.at)) < SAME_CRASH.as_millis()
            };
            if !self.crashes.iter().any(is_same) {
                self.crashes.push(crash);
            }
        }
        self.crashes.sort_unstable();
        while self.crashes.len() > MAX_CRASHES {
            // The first ones are needed to count the late ones, the last one for the age.
            self.crashes.remove(self.crashes.len() - 2);
        }
        let last = self.crashes.last().map(|c| c.at);
        self.probe = self.probe.filter(|probe| last.is_none_or(|l| l < *probe));
    }

    /// Counts a probe whose end should be known by now as a crash.
    fn settle(&mut self, now: u64) {
        if let Some(probe) = self
            .probe
            .filter(|p| now >= p + FIRST_PROBE.as_millis() as u64)
        {
            self.probe = None;
            let crash = StoredCrash {
                at: probe,
                worker: UNKNOWN_WORKER,
            };
            self.add([crash].into_iter());
        }
    }

    /// Claims a probe, which no other instance may send at the same time.
    pub fn claim(&self, now: u64) -> Claim {
        let mut record = self.clone();
        record.settle(now);
        if record.probe.is_some() {
            return Claim::Taken;
        }
        record.probe = Some(now);
        Claim::Free(record)
    }

    /// Returns the crashes in the form of a report.
    pub fn report(&self, request: Fingerprint, now: u64) -> Report {
        let mut record = self.clone();
        record.settle(now);
        // Of several requests that broke with one worker each has a record of its own, which stands
        // beside that of the instance that saw it and has more marks.
        let key = fnv::hash32(request.to_le_bytes());
        let attempt = |c: &StoredCrash| -> AttemptKey { (c.worker, key) };
        let crashes = record.crashes.iter().map(|c| CrashReport {
            attempt: attempt(c),
            at: now.saturating_sub(c.at),
            needed: 0,
            marks: vec![Mark::Request(request)],
        });
        Report {
            crashes: crashes.collect(),
            proved: Vec::new(),
        }
    }

    /// Returns the time of the last crash or probe.
    fn last(&self) -> u64 {
        let last = self.crashes.last().map_or(0, |c| c.at);
        last.max(self.probe.unwrap_or(0))
    }

    /// Returns whether the request is not remembered any more.
    pub fn is_expired(&self, now: u64) -> bool {
        now >= self.last() + RETENTION_MS
    }
}

/// Returns the records to remove: the expired ones, and the oldest ones beyond the limit.
pub fn outdated(records: &Map<Fingerprint, BlockRecord>, now: u64) -> Vec<Fingerprint> {
    let mut by_age: Vec<_> = records.iter().collect();
    by_age.sort_unstable_by_key(|(request, record)| (record.last(), **request));
    let excess = by_age.len().saturating_sub(MAX_OBJECTS);
    let is_outdated = |(n, (_, record)): &(usize, (&Fingerprint, &BlockRecord))| {
        *n < excess || record.is_expired(now)
    };
    let outdated = by_age.into_iter().enumerate().filter(is_outdated);
    outdated.map(|(_, (request, _))| *request).collect()
}
