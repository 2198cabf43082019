//! Finished groups of a job (pure). This is only a hint: the group objects are authoritative.

use serde::{Deserialize, Serialize};

use crate::{ids::GroupIndex, job_record::Counts};

/// Groups per word of the bitmap.
const WORD_BITS: GroupIndex = u64::BITS;

/// Content of a `progress` object. Groups are added and never removed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Progress {
    /// One bit for each finished group.
    bits: Vec<u64>,
    /// Number of finished groups.
    groups: GroupIndex,
    /// Outcomes of the finished groups.
    counts: Counts,
}

impl Progress {
    /// Returns whether a group is known to be finished.
    pub fn contains(&self, group: GroupIndex) -> bool {
        let word = self.bits.get((group / WORD_BITS) as usize);
        word.is_some_and(|w| w & mask(group) != 0)
    }

    /// Adds a finished group. Returns `false` if it was known.
    pub fn add(&mut self, group: GroupIndex, counts: Counts) -> bool {
        if self.contains(group) {
            return false;
        }
        let word = (group / WORD_BITS) as usize;
        if self.bits.len() <= word {
            self.bits.resize(word + 1, 0);
        }
        self.bits[word] |= mask(group);
        self.groups += 1;
        self.counts.merge(counts);
        true
    }

    /// Returns the number of finished groups.
    pub fn groups(&self) -> GroupIndex {
        self.groups
    }

    /// Returns the outcomes of the finished groups.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns the groups below `groups` that are not known to be finished.
    pub fn open(&self, groups: GroupIndex) -> impl Iterator<Item = GroupIndex> {
        (0..groups).filter(|&g| !self.contains(g))
    }
}

fn mask(group: GroupIndex) -> u64 {
    1 << (group % WORD_BITS)
}
