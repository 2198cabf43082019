//! Records that the object service stores for batch jobs.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::ids::{GroupIndex, InstanceId, ItemId, JobId, ModelId, SessionId, TeamId};

/// Failed attempts on a healthy engine after which an item fails.
pub const ATTEMPT_LIMIT: u8 = 3;
/// Engines lost while they ran an item after which the item fails.
///
/// At 190 failures a day among 12,000 instances and engines, a run of one minute loses its engine
/// with a probability of 1 in 90,000, and a second independent loss occurs about once a month among
/// 240 million items a day. The margin above that covers the loss of a rack or zone, an engine that
/// fails repeatedly, and neighbours of an item that crashes engines.
pub const LOSS_LIMIT: u8 = 8;
/// Losses from which on an item is a suspect. A worker never runs two suspects at once. An item that
/// crashes engines then costs each neighbour at most this many losses, and a single failure of an
/// engine delays nothing.
pub const SUSPECT_LOSSES: u8 = 2;
/// Longest failure reason in a record, in bytes.
pub const REASON_BYTES: usize = 256;
/// Escaped bytes of result text per token. English text takes about 4; the margin is for escapes and
/// for scripts with longer encodings.
const BYTES_PER_TOKEN: usize = 16;
/// Least size limit of a result, in bytes of escaped text.
const MIN_RESULT_BYTES: usize = 1 << 10;
/// Greatest size limit of a result, in bytes of escaped text.
const MAX_RESULT_BYTES: usize = 64 << 10;

/// Token in each write, by which a writer recognises its write after a lost response.
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
    /// The submission stopped before all inputs were stored. The record keeps its digest, so that
    /// inputs stored late still match a submission that reopens the job.
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
    /// Number of groups with non-repeatable items, which come last.
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
    /// The item may run again after a run without a result.
    #[default]
    Allowed,
    /// The item runs at most once.
    Never,
}

/// One item of a job.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Item {
    /// Index in the job, from 0.
    pub order: u64,
    /// Id that is unique in the job.
    pub id: ItemId,
    /// Prompt.
    pub prompt: Arc<str>,
    /// Limit on the tokens of the result.
    pub max_tokens: u32,
}

impl Item {
    /// Returns the size limit of the result text, in bytes after JSON escaping.
    pub fn result_limit(&self) -> usize {
        (self.max_tokens as usize)
            .saturating_mul(BYTES_PER_TOKEN)
            .clamp(MIN_RESULT_BYTES, MAX_RESULT_BYTES)
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
    /// The item is not repeatable and may have run.
    MayHaveRun,
    /// The job was cancelled before the item completed.
    Cancelled,
}

impl Outcome {
    /// Builds a failure with a reason cut to [`REASON_BYTES`].
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
    /// Engines that were lost while they ran the item.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub losses: u8,
    /// Final outcome. Never changes once it is stored.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<Outcome>,
}

impl ItemState {
    /// Returns whether the item may have crashed its engines.
    pub fn is_suspect(&self) -> bool {
        self.losses >= SUSPECT_LOSSES && self.outcome.is_none()
    }
}

fn is_zero(count: &u8) -> bool {
    *count == 0
}

/// Holder of a group.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub struct Claim {
    /// Instance.
    pub holder: InstanceId,
    /// Session of the instance.
    pub session: SessionId,
}

/// Content of a `group` object. Claim and results are in one object, so that a commit fails when
/// another instance has taken the claim over.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub struct GroupRecord {
    /// Holder; `None` if the group is free or finished.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub claim: Option<Claim>,
    /// Token of the last writer.
    pub token: WriteToken,
    /// State of each item, in the order of the input.
    pub items: Vec<ItemState>,
}

impl GroupRecord {
    /// Returns whether every item has an outcome. Such a record never changes.
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
    /// Completed items.
    pub done: u64,
    /// Items that can never succeed.
    pub failed: u64,
    /// Non-repeatable items that may have run.
    pub doubt: u64,
    /// Items cancelled before completion.
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

    /// Adds other counts.
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
    /// Session of the instance.
    pub session: SessionId,
    /// Token of the write.
    pub token: WriteToken,
}

/// Identifies a group of a job.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct GroupKey {
    /// Job.
    pub job: JobId,
    /// Index of the group in the job.
    pub index: GroupIndex,
}

impl GroupKey {
    /// Returns the name of the group's objects. It is unique because job names contain no dot.
    pub fn name(&self) -> String {
        format!("{}.{}", self.job, self.index)
    }
}

impl std::fmt::Display for GroupKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}", self.job, self.index)
    }
}
