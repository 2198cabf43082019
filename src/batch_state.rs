//! What the batch driver and the callers' HTTP share inside one entry instance.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use smol::channel::{Receiver, Sender};

use crate::{
    ids::{GroupIndex, JobId, Map, Set},
    job_record::{Counts, GroupKey, GroupRecord, InputRecord, Outcome},
    mutex::lock,
    platform::Object,
};

/// Bytes of finished groups that are kept for readers at most.
const CACHE_BYTES: usize = 32 << 20;
/// Submissions that are held in memory at once at most.
const SUBMISSIONS: usize = 4;
/// Claimed groups of cancelled jobs that are remembered at most.
const UNSETTLED: usize = 1024;
/// Time for which a tally is used again, so that callers who ask often read little.
const TALLY_REUSE: Duration = Duration::from_secs(1);
/// Bytes that an item takes beside its texts, about.
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
    ages: VecDeque<GroupKey>,
    bytes: usize,
}

/// State that the batch driver and the callers' HTTP share. All methods may be called from any
/// thread.
#[derive(Debug)]
pub struct BatchState {
    written: Mutex<Map<JobId, Arc<Object>>>,
    infeasible: Mutex<Set<JobId>>,
    cache: Mutex<Cache>,
    unsettled: Mutex<Set<GroupKey>>,
    tallies: Mutex<Map<JobId, Tally>>,
    permits: (Sender<()>, Receiver<()>),
    wake: (Sender<()>, Receiver<()>),
}

/// Finished groups and outcomes of a job at one moment.
#[derive(Debug, Clone, Copy)]
pub struct Tally {
    /// When it was read.
    pub at: Instant,
    /// Finished groups.
    pub groups: GroupIndex,
    /// Outcomes of items.
    pub counts: Counts,
}

/// Holds one of the places for submissions until it is dropped.
#[derive(Debug)]
pub struct Permit(Receiver<()>);

impl Default for BatchState {
    fn default() -> Self {
        Self {
            written: Mutex::default(),
            infeasible: Mutex::default(),
            cache: Mutex::default(),
            unsettled: Mutex::default(),
            tallies: Mutex::default(),
            permits: smol::channel::bounded(SUBMISSIONS),
            wake: smol::channel::bounded(1),
        }
    }
}

impl BatchState {
    /// Records a job object that this instance wrote or read, until the view has it, and wakes the
    /// driver.
    pub fn wrote(&self, object: Arc<Object>) {
        let mut written = lock(&self.written);
        let newer = written
            .get(&object.name)
            .is_none_or(|o| o.version < object.version);
        if newer {
            written.insert(object.name.clone(), object);
        }
        drop(written);
        let _ = self.wake.0.try_send(());
    }

    /// Returns the recorded job objects and forgets those that `known` has.
    pub fn written(&self, known: &Map<JobId, Arc<Object>>) -> Vec<Arc<Object>> {
        let mut written = lock(&self.written);
        written.retain(|name, o| known.get(name).is_none_or(|k| k.version < o.version));
        written.values().cloned().collect()
    }

    /// Waits until a job was written here.
    pub async fn woken(&self) {
        let _ = self.wake.1.recv().await;
    }

    /// Sets the jobs that cannot meet their deadline.
    pub fn set_infeasible(&self, jobs: Set<JobId>) {
        *lock(&self.infeasible) = jobs;
    }

    /// Says whether a job cannot meet its deadline, as far as this instance knows.
    pub fn infeasible(&self, job: &str) -> bool {
        lock(&self.infeasible).contains(job)
    }

    /// Returns the tally of a job when it was read lately.
    pub fn tally(&self, job: &str) -> Option<Tally> {
        let tally = lock(&self.tallies).get(job).copied();
        tally.filter(|t| t.at.elapsed() < TALLY_REUSE)
    }

    /// Keeps the tally of a job.
    pub fn set_tally(&self, job: &JobId, tally: Tally) {
        let mut tallies = lock(&self.tallies);
        tallies.retain(|_, t| t.at.elapsed() < TALLY_REUSE);
        tallies.insert(job.clone(), tally);
    }

    /// Records a group of a cancelled job that a reader found claimed. Its holder may be gone, and
    /// nobody claims groups of a cancelled job.
    pub fn found_claimed(&self, key: GroupKey) {
        let mut unsettled = lock(&self.unsettled);
        if unsettled.len() < UNSETTLED {
            unsettled.insert(key);
        }
    }

    /// Takes one of the groups of cancelled jobs that readers found claimed.
    pub fn take_claimed(&self) -> Option<GroupKey> {
        let mut unsettled = lock(&self.unsettled);
        let key = unsettled.iter().next().cloned()?;
        unsettled.take(&key)
    }

    /// Takes a place for a submission; nothing when all are in use.
    pub fn permit(&self) -> Option<Permit> {
        self.permits.0.try_send(()).ok()?;
        Some(Permit(self.permits.1.clone()))
    }

    /// Returns a finished group from the cache.
    pub fn cached(&self, key: &GroupKey) -> Option<Arc<FinishedGroup>> {
        lock(&self.cache).groups.get(key).cloned()
    }

    /// Keeps a finished group, and drops the oldest ones over the size limit.
    pub fn keep(&self, key: &GroupKey, group: Arc<FinishedGroup>) {
        let mut cache = lock(&self.cache);
        let bytes = size(&group);
        if cache.groups.insert(key.clone(), group).is_some() {
            return;
        }
        cache.bytes += bytes;
        cache.ages.push_back(key.clone());
        while cache.bytes > CACHE_BYTES {
            let Some(oldest) = cache.ages.pop_front() else {
                return;
            };
            let removed = cache.groups.remove(&oldest);
            cache.bytes -= removed.map_or(0, |g| size(&g));
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let _ = self.0.try_recv();
    }
}

fn size(group: &FinishedGroup) -> usize {
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
