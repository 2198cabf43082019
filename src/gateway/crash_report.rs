//! What instances tell each other of requests that crash workers (no I/O).

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{Fingerprint, PartId};

use super::{
    blame::{AttemptKey, Crash},
    marks::Mark,
    suspects::age,
};

/// What an instance tells others. Times are ages in milliseconds.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Report {
    /// Records of broken attempts.
    pub crashes: Vec<CrashReport>,
    /// Marks that were proved sound.
    pub proved: Vec<(Mark, u64)>,
}

/// A record of a broken attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashReport {
    /// The attempt.
    pub attempt: AttemptKey,
    /// Age of the break.
    pub at: u64,
    /// Age of the last request that needed the record.
    pub needed: u64,
    /// Marks of the request that are not proved sound.
    pub marks: Vec<Mark>,
}

/// First section of a message, the only one that earlier releases know.
#[derive(Serialize, Deserialize)]
struct PartSection {
    crashes: Vec<PartCrash>,
    proved: Vec<(PartId, u64)>,
}

#[derive(Serialize, Deserialize)]
struct PartCrash {
    attempt: AttemptKey,
    at: u64,
    needed: u64,
    parts: Vec<PartId>,
}

/// Second section of a message.
#[derive(Default)]
#[derive(Serialize, Deserialize)]
struct RequestSection {
    /// Requests of the crashes of the first section, in the same order.
    requests: Vec<Option<Fingerprint>>,
    proved: Vec<(Fingerprint, u64)>,
}

impl CrashReport {
    /// Builds the report of a record.
    pub fn new(crash: &Crash, now: Duration) -> Self {
        Self {
            attempt: crash.attempt,
            at: age(crash.at, now),
            needed: age(crash.needed, now),
            marks: crash.marks.clone(),
        }
    }
}

impl Report {
    /// Returns whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.proved.is_empty()
    }

    /// Encodes the report behind the first bytes of a message.
    ///
    /// # Errors
    ///
    /// Returns an error when the report cannot be encoded.
    pub fn encode(&self, message: Vec<u8>) -> postcard::Result<Vec<u8>> {
        let crash = |c: &CrashReport| PartCrash {
            attempt: c.attempt,
            at: c.at,
            needed: c.needed,
            parts: c.marks.iter().filter_map(Mark::part).collect(),
        };
        let proved = self.proved.iter();
        let parts = PartSection {
            crashes: self.crashes.iter().map(crash).collect(),
            proved: proved.filter_map(|(m, t)| Some((m.part()?, *t))).collect(),
        };
        let proved = self.proved.iter();
        let requests = RequestSection {
            requests: self
                .crashes
                .iter()
                .map(|c| c.marks.iter().find_map(Mark::request))
                .collect(),
            proved: proved
                .filter_map(|(m, t)| Some((m.request()?, *t)))
                .collect(),
        };
        postcard::to_extend(&requests, postcard::to_extend(&parts, message)?)
    }

    /// Decodes a report, also one of an earlier release.
    ///
    /// # Errors
    ///
    /// Returns an error when the bytes are no report.
    pub fn decode(bytes: &[u8]) -> postcard::Result<Self> {
        let (parts, rest) = postcard::take_from_bytes::<PartSection>(bytes)?;
        let requests = if rest.is_empty() {
            RequestSection::default()
        } else {
            postcard::from_bytes(rest)?
        };
        let mut fingerprints = requests.requests.into_iter();
        let crash = |c: PartCrash| {
            let marks = c.parts.into_iter().map(Mark::Part);
            let request = fingerprints.next().flatten().map(Mark::Request);
            CrashReport {
                attempt: c.attempt,
                at: c.at,
                needed: c.needed,
                marks: marks.chain(request).collect(),
            }
        };
        let crashes = parts.crashes.into_iter().map(crash).collect();
        let proved = parts.proved.into_iter().map(|(p, t)| (Mark::Part(p), t));
        let sound = requests.proved.into_iter();
        let sound = sound.map(|(r, t)| (Mark::Request(r), t));
        Ok(Self {
            crashes,
            proved: proved.chain(sound).collect(),
        })
    }
}
