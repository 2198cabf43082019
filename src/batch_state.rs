//! State that the batch driver and the HTTP interface for callers share.

use std::{
    collections::VecDeque,
    sync::Arc,
    time::{Duration, Instant},
};

use smol::channel::{Receiver, Sender};

use crate::{
    ids::{GroupIndex, JobId, Map, Set},
    job_record::{Counts, GroupKey, GroupRecord, InputRecord, Outcome},
    mutex::{Mutex, lock},
    platform::Object,
};

/// Size limit of the cache of finished groups, in bytes.
const CACHE_BYTES: usize = 32 << 20;
/// Concurrent submissions, which are held in memory.
const MAX_SUBMISSIONS: usize = 4;
/// Limit on the recorded groups of cancelled jobs.
const MAX_CANCELLED: usize = 1024;
/// How long a tally is reused, so that frequent status requests cause few reads.
const TALLY_REUSE: Duration = Duration::from_secs(1);
/// Approximate size of a cached item without its texts, in bytes.
const ITEM_BYTES: usize = 128;

/// A finished group with its input. Both are immutable.
#[derive(Debug)]
pub struct FinishedGroup {
    /// Items.
    pub input: Arc<InputRecord>,
    /// Outcomes.
    pub record: Arc<GroupRecord>,
}

#[derive(Debug, Default)]
struct Cache {
    groups: Map<GroupKey, Arc<FinishedGroup>>,
    by_age: VecDeque<GroupKey>,
    bytes: usize,
}

/// State that the batch driver and the HTTP interface share. All methods may be called from any
/// thread.
#[derive(Debug)]
pub struct BatchState {
    written: Mutex<Map<JobId, Arc<Object>>>,
    infeasible: Mutex<Set<JobId>>,
    cache: Mutex<Cache>,
    cancelled: Mutex<Set<GroupKey>>,
    tallies: Mutex<Map<JobId, Tally>>,
    permits: (Sender<()>, Receiver<()>),
    wakeup: (Sender<()>, Receiver<()>),
}

/// Finished groups and outcomes of a job at one time.
#[derive(Debug, Clone, Copy)]
pub struct Tally {
    /// When it was read.
    pub at: Instant,
    /// Number of finished groups.
    pub groups: GroupIndex,
    /// Items by outcome.
    pub counts: Counts,
}

/// Permit for one submission, released when it is dropped.
#[derive(Debug)]
pub struct Permit(Receiver<()>);

impl Default for BatchState {
    fn default() -> Self {
        Self {
            written: Mutex::default(),
            infeasible: Mutex::default(),
            cache: Mutex::default(),
            cancelled: Mutex::default(),
            tallies: Mutex::default(),
            permits: smol::channel::bounded(MAX_SUBMISSIONS),
            wakeup: smol::channel::bounded(1),
        }
    }
}

impl BatchState {
    /// Records a job object that this instance wrote or read, until the view has it, and wakes the
    /// driver.
    pub fn record_job(&self, object: Arc<Object>) {
        let mut written = lock(&self.written);
        let newer = written
            .get(&object.name)
            .is_none_or(|o| o.version < object.version);
        if newer {
            written.insert(object.name.clone(), object);
        }
        drop(written);
        let _ = self.wakeup.0.try_send(());
    }

    /// Returns the recorded job objects, after removing those that `known` has.
    pub fn written(&self, known: &Map<JobId, Arc<Object>>) -> Vec<Arc<Object>> {
        let mut written = lock(&self.written);
        written.retain(|name, o| known.get(name).is_none_or(|k| k.version < o.version));
        written.values().cloned().collect()
    }

    /// Waits until a job object is recorded.
    pub async fn job_written(&self) {
        let _ = self.wakeup.1.recv().await;
    }

    /// Sets the jobs that cannot meet their deadline.
    pub fn set_infeasible(&self, jobs: Set<JobId>) {
        *lock(&self.infeasible) = jobs;
    }

    /// Returns whether this instance has found that a job cannot meet its deadline.
    pub fn infeasible(&self, job: &str) -> bool {
        lock(&self.infeasible).contains(job)
    }

    /// Returns the tally of a job if it was read recently.
    pub fn tally(&self, job: &str) -> Option<Tally> {
        let tally = lock(&self.tallies).get(job).copied();
        tally.filter(|t| t.at.elapsed() < TALLY_REUSE)
    }

    /// Stores the tally of a job.
    pub fn set_tally(&self, job: &JobId, tally: Tally) {
        let mut tallies = lock(&self.tallies);
        tallies.retain(|_, t| t.at.elapsed() < TALLY_REUSE);
        tallies.insert(job.clone(), tally);
    }

    /// Records a group of a cancelled job that a reader found claimed. Its holder may be lost, and the
    /// schedule does not choose groups of cancelled jobs.
    pub fn add_cancelled(&self, key: GroupKey) {
        let mut cancelled = lock(&self.cancelled);
        if cancelled.len() < MAX_CANCELLED {
            cancelled.insert(key);
        }
    }

    /// Takes a recorded group of a cancelled job.
    pub fn take_cancelled(&self) -> Option<GroupKey> {
        let mut cancelled = lock(&self.cancelled);
        let key = cancelled.iter().next().cloned()?;
        cancelled.take(&key)
    }

    /// Acquires a permit for a submission. Returns `None` if all are in use.
    pub fn permit(&self) -> Option<Permit> {
        self.permits.0.try_send(()).ok()?;
        Some(Permit(self.permits.1.clone()))
    }

    /// Returns a finished group from the cache.
    pub fn cached(&self, key: &GroupKey) -> Option<Arc<FinishedGroup>> {
        lock(&self.cache).groups.get(key).cloned()
    }

    /// Caches a finished group, and evicts the oldest ones over the size limit.
    pub fn cache_group(&self, key: &GroupKey, group: Arc<FinishedGroup>) {
        let mut cache = lock(&self.cache);
        let bytes = group_bytes(&group);
        if cache.groups.insert(key.clone(), group).is_some() {
            return;
        }
        cache.bytes += bytes;
        cache.by_age.push_back(key.clone());
        while cache.bytes > CACHE_BYTES {
            let Some(oldest) = cache.by_age.pop_front() else {
                return;
            };
            let removed = cache.groups.remove(&oldest);
            cache.bytes -= removed.map_or(0, |g| group_bytes(&g));
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let _ = self.0.try_recv();
    }
}

fn group_bytes(group: &FinishedGroup) -> usize {
    let prompts = group
        .input
        .items
        .iter()
        .map(|i| i.prompt.len() + i.id.len());
    let results = group.record.items.iter().map(|i| match &i.outcome {
        Some(Outcome::Done { text }) => text.len(),
        Some(Outcome::Failed { reason }) => reason.len(),
        _ => 0,
    });
    prompts.sum::<usize>() + results.sum::<usize>() + group.record.items.len() * ITEM_BYTES
}
