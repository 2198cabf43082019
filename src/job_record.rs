//! Records of batch jobs in the object service.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::ids::{GroupIndex, InstanceId, ItemId, JobId, ModelId, SessionId, TeamId};

/// Attempts of an item that may fail on a healthy engine.
pub const ATTEMPT_LIMIT: u8 = 3;
/// Engines that may be lost while they run an item, which ends as failed with the last of them.
///
/// At 190 failures a day among 12,000 instances and engines, one run of a minute loses its engine
/// with a chance of 1 in 90,000, and 240 million items a day see a second independent loss about
/// every month. The room above that is for the loss of a rack or zone, for an engine that fails
/// again and again, and for neighbours of an item that crashes engines.
pub const LOSS_LIMIT: u8 = 8;
/// Losses from which on an item runs on no worker together with another such item. An item that
/// crashes engines then costs each of its neighbours at most this many losses, and an engine that
/// fails once delays nothing.
pub const SUSPECT_LOSSES: u8 = 2;
/// Longest failure reason that a record keeps, in bytes.
pub const REASON_BYTES: usize = 256;
/// Escaped bytes of result text that one token may take. English text takes about 4; the rest is
/// room for escapes and for scripts with longer encodings.
const BYTES_PER_TOKEN: usize = 16;
/// Least room for a result, in bytes of escaped text.
const RESULT_LEAST: usize = 1 << 10;
/// Most room for a result, in bytes of escaped text.
const RESULT_MOST: usize = 64 << 10;

/// Token that a writer puts into each write, to recognise its own after a lost response.
pub type WriteToken = u64;

/// State of a job object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum JobState {
    /// Not all inputs are stored yet.
    Loading,
    /// All inputs are stored; the job is accepted.
    Ready,
    /// The job was cancelled.
    Cancelled,
    /// The submission stopped before all inputs were stored. The name keeps its digest, so that
    /// inputs which are still stored late belong to whoever opens it again.
    Abandoned,
}

/// Content of a `job` object.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub struct JobRecord {
    /// Team that submitted it.
    pub team: TeamId,
    /// Model.
    pub model: ModelId,
    /// Deadline, in seconds since 1970-01-01 UTC.
    pub deadline: u64,
    /// Number of items.
    pub items: u64,
    /// Number of groups.
    pub groups: GroupIndex,
    /// How many of the groups, the last ones, hold items that may not be repeated.
    pub never: GroupIndex,
    /// Digest of team, model and items.
    pub digest: Arc<str>,
    /// Token of the last writer.
    pub token: WriteToken,
    /// State.
    pub state: JobState,
}

impl JobRecord {
    /// Returns whether the items of a group may run more than once.
    pub fn repeat(&self, group: GroupIndex) -> Repeat {
        if group < self.groups - self.never.min(self.groups) {
            Repeat::Allowed
        } else {
            Repeat::Never
        }
    }
}

/// Whether an item may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum Repeat {
    /// A run that may have happened is followed by another.
    #[default]
    Allowed,
    /// The item runs at most once.
    Never,
}

/// One item of a job.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Item {
    /// Position in the job, from 0.
    pub order: u64,
    /// Name inside the job.
    pub id: ItemId,
    /// Prompt.
    pub prompt: Arc<str>,
    /// Most tokens of the result.
    pub max_tokens: u32,
}

impl Item {
    /// Returns the longest result text, in bytes after JSON escaping.
    pub fn result_limit(&self) -> usize {
        (self.max_tokens as usize)
            .saturating_mul(BYTES_PER_TOKEN)
            .clamp(RESULT_LEAST, RESULT_MOST)
    }
}

/// Content of an `input` object: the items of a group, immutable.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct InputRecord {
    /// Items in the order of the job.
    pub items: Vec<Item>,
}

/// Final outcome of an item.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
#[serde(tag = "status", rename_all = "kebab-case")]
pub enum Outcome {
    /// The item completed.
    Done {
        /// Result.
        text: Arc<str>,
    },
    /// The item can never succeed.
    Failed {
        /// Why, in one line.
        reason: Arc<str>,
    },
    /// The item may not be repeated, and whether it ran is not known.
    MayHaveRun,
    /// The job was cancelled before the item completed.
    Cancelled,
}

impl Outcome {
    /// Builds a failure with a bounded reason.
    pub fn failed(reason: &str) -> Self {
        let mut end = reason.len().min(REASON_BYTES);
        while !reason.is_char_boundary(end) {
            end -= 1;
        }
        Self::Failed {
            reason: reason[..end].into(),
        }
    }
}

/// Progress of one item inside a group record.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub struct ItemState {
    /// Attempts that failed on a healthy engine.
    #[serde(default)]
    pub attempts: u8,
    /// Engines that were lost while they ran it.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub losses: u8,
    /// Final outcome; never changes once it is written.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<Outcome>,
}

impl ItemState {
    /// Says whether the item may be what its engines were lost by.
    pub fn is_suspect(&self) -> bool {
        self.losses >= SUSPECT_LOSSES && self.outcome.is_none()
    }
}

fn is_zero(count: &u8) -> bool {
    *count == 0
}

/// Who holds a group.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub struct Claim {
    /// Instance.
    pub holder: InstanceId,
    /// Run of the instance.
    pub session: SessionId,
}

/// Content of a `group` object: claim and results together, so that a commit fails when another
/// instance has taken the claim over.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub struct GroupRecord {
    /// Holder; nothing when the group is free or finished.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub claim: Option<Claim>,
    /// Token of the last writer.
    pub token: WriteToken,
    /// State of each item, in the order of the input.
    pub items: Vec<ItemState>,
}

impl GroupRecord {
    /// Says whether every item has its outcome. Such a record never changes.
    pub fn finished(&self) -> bool {
        !self.items.is_empty() && self.items.iter().all(|i| i.outcome.is_some())
    }

    /// Counts the outcomes.
    pub fn counts(&self) -> Counts {
        let mut counts = Counts::default();
        for outcome in self.items.iter().filter_map(|i| i.outcome.as_ref()) {
            counts.add(outcome);
        }
        counts
    }
}

/// Numbers of items by outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Counts {
    /// Completed.
    pub done: u64,
    /// Can never succeed.
    pub failed: u64,
    /// May have run and may not be repeated.
    pub doubt: u64,
    /// Cancelled before completion.
    pub cancelled: u64,
}

impl Counts {
    fn add(&mut self, outcome: &Outcome) {
        let field = match outcome {
            Outcome::Done { .. } => &mut self.done,
            Outcome::Failed { .. } => &mut self.failed,
            Outcome::MayHaveRun => &mut self.doubt,
            Outcome::Cancelled => &mut self.cancelled,
        };
        *field += 1;
    }

    /// Adds the numbers of another group.
    pub fn merge(&mut self, other: Counts) {
        self.done += other.done;
        self.failed += other.failed;
        self.doubt += other.doubt;
        self.cancelled += other.cancelled;
    }

    /// Returns the number of items that have an outcome.
    pub fn total(&self) -> u64 {
        self.done + self.failed + self.doubt + self.cancelled
    }
}

/// Content of a `lease` object.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct LeaseRecord {
    /// Run of the instance.
    pub session: SessionId,
    /// Token of the write.
    pub token: WriteToken,
}

/// A group of a job.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct GroupKey {
    /// Job.
    pub job: JobId,
    /// Number of the group inside the job.
    pub index: GroupIndex,
}

impl GroupKey {
    /// Returns the name of the group's objects. Job names have no dot, so it is unique.
    pub fn name(&self) -> String {
        format!("{}.{}", self.job, self.index)
    }
}

impl std::fmt::Display for GroupKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}", self.job, self.index)
    }
}
