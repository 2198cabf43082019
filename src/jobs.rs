//! Known batch jobs of an entry instance, and the order in which it claims their groups (pure).

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use serde::Deserialize;

use crate::{
    ids::{GroupIndex, InstanceId, JobId, Map, ModelId, Set, Version},
    job_record::{Counts, GroupKey, JobRecord, JobState},
    loading::StaleJob,
    ownership,
    platform::Object,
    progress::Progress,
    schedule::{ClaimableJob, PendingJob, Schedule},
    sheet::Sheet,
};

/// A job with the known state of its groups.
#[derive(Debug)]
pub struct JobEntry {
    /// Latest known record.
    pub record: Arc<JobRecord>,
    version: Version,
    finished: Progress,
    /// Groups finished here that the progress object lacks.
    unreported: Map<GroupIndex, Counts>,
    /// When the progress object was last read.
    read_at: Option<Duration>,
    taken: Set<GroupIndex>,
    /// Groups that were given back, with the time of the next attempt.
    retry_after: Map<GroupIndex, Duration>,
    order: Vec<GroupIndex>,
    /// Time at which the first given back group can be claimed again, while no other group can.
    retry_at: Option<Duration>,
}

impl JobEntry {
    /// Returns the known finished groups with their outcomes.
    pub fn finished(&self) -> &Progress {
        &self.finished
    }

    fn open(&self) -> bool {
        self.record.state == JobState::Ready && self.finished.groups() < self.record.groups
    }

    fn usable(&self, group: GroupIndex, now: Duration) -> bool {
        !self.finished.contains(group)
            && !self.taken.contains(&group)
            && self
                .retry_after
                .get(&group)
                .is_none_or(|&until| now >= until)
    }

    fn claimable(&self, now: Duration) -> bool {
        self.open() && (0..self.record.groups).any(|g| self.usable(g, now))
    }

    fn items(&self) -> u64 {
        let finished = self.finished.counts().total();
        self.record.items.saturating_sub(finished)
    }

    /// Returns the earliest time at which a given back group can be claimed again.
    fn next_retry(&self, now: Duration) -> Option<Duration> {
        let later = self.retry_after.values().filter(|&&until| until > now);
        later.min().copied()
    }
}

/// All known jobs.
#[derive(Debug)]
pub struct Jobs {
    instance: InstanceId,
    candidates: Vec<InstanceId>,
    sheet: Arc<Sheet>,
    entries: Map<JobId, JobEntry>,
    /// Jobs that changed since the last update of the schedule.
    changed: Set<JobId>,
    /// Jobs by the time at which a given back group can be claimed again.
    retries: BTreeSet<(Duration, JobId)>,
}

impl Jobs {
    /// Creates an empty set of jobs for an instance.
    pub fn new(instance: InstanceId) -> Self {
        Self {
            candidates: vec![instance.clone()],
            instance,
            sheet: Arc::default(),
            entries: Map::default(),
            changed: Set::default(),
            retries: BTreeSet::new(),
        }
    }

    /// Returns a job.
    pub fn get(&self, job: &str) -> Option<&JobEntry> {
        self.entries.get(job)
    }

    /// Sets the sheet in force. Its deadlines replace those of the submissions.
    pub fn set_sheet(&mut self, sheet: Arc<Sheet>) {
        let before = std::mem::replace(&mut self.sheet, sheet);
        if Arc::ptr_eq(&before, &self.sheet) {
            return;
        }
        for (job, entry) in &self.entries {
            let submitted = entry.record.deadline;
            if before.deadline(job, submitted) != self.sheet.deadline(job, submitted) {
                self.changed.insert(job.clone());
            }
        }
    }

    /// Sets the live entry instances, this one included. The order of groups depends on them.
    pub fn set_candidates(&mut self, mut candidates: Vec<InstanceId>) {
        candidates.sort();
        if candidates == self.candidates {
            return;
        }
        self.candidates = candidates;
        for entry in self.entries.values_mut() {
            entry.order.clear();
        }
    }

    /// Records a job object and returns whether it is newer than the known version.
    pub fn observe(&mut self, object: &Object) -> bool {
        if self
            .entries
            .get(&object.name)
            .is_some_and(|e| e.version >= object.version)
        {
            return false;
        }
        let Ok(record) = JobRecord::deserialize(&object.value) else {
            return false;
        };
        let record = Arc::new(record);
        let entry = self
            .entries
            .entry(object.name.clone())
            .or_insert_with(|| JobEntry {
                record: record.clone(),
                version: object.version,
                finished: Progress::default(),
                unreported: Map::default(),
                read_at: None,
                taken: Set::default(),
                retry_after: Map::default(),
                order: Vec::new(),
                retry_at: None,
            });
        entry.record = record;
        entry.version = object.version;
        self.changed.insert(object.name.clone());
        true
    }

    /// Updates a schedule with the jobs that changed since the last call or can be claimed again.
    /// Each call must be given the same schedule.
    pub fn update(&mut self, schedule: &mut Schedule, now: Duration) {
        while let Some((at, _)) = self.retries.first()
            && *at <= now
        {
            let due = self.retries.pop_first();
            self.changed.extend(due.map(|(_, job)| job));
        }
        for job in std::mem::take(&mut self.changed) {
            self.update_job(schedule, job, now);
        }
    }

    fn update_job(&mut self, schedule: &mut Schedule, job: JobId, now: Duration) {
        let Some(entry) = self.entries.get_mut(&job) else {
            return;
        };
        if let Some(at) = entry.retry_at.take() {
            self.retries.remove(&(at, job.clone()));
        }
        if entry.claimable(now) && entry.items() > 0 {
            let deadline = self.sheet.deadline(&job, entry.record.deadline);
            return schedule.put(ClaimableJob {
                job,
                team: entry.record.team.clone(),
                model: entry.record.model.clone(),
                due: Duration::from_secs(deadline),
            });
        }
        schedule.remove(&job);
        entry.retry_at = entry.next_retry(now);
        self.retries.extend(entry.retry_at.map(|at| (at, job)));
    }

    /// Returns the jobs of wanted models that have a claimable group, by a scan of all jobs.
    /// `unix_now` is the time since 1970-01-01 UTC.
    pub fn claimable(
        &self,
        now: Duration,
        unix_now: Duration,
        wanted: impl Fn(&ModelId) -> bool,
    ) -> Vec<PendingJob> {
        let entries = self.entries.iter();
        let usable = entries.filter(|(_, e)| wanted(&e.record.model) && e.claimable(now));
        usable
            .map(|(job, e)| self.pending(job, e, unix_now))
            .collect()
    }

    /// Returns the jobs with unfinished groups whose progress object was read.
    pub fn open(&self, unix_now: Duration) -> Vec<PendingJob> {
        let open = self
            .entries
            .iter()
            .filter(|(_, e)| e.open() && e.read_at.is_some());
        open.map(|(job, e)| self.pending(job, e, unix_now))
            .collect()
    }

    /// Takes the next group of a job to claim; groups for which this instance ranks first come first.
    pub fn take(&mut self, job: &JobId, now: Duration) -> Option<GroupKey> {
        let entry = self.entries.get_mut(job)?;
        if entry.order.is_empty() {
            entry.order = rank_groups(job, entry, &self.instance, &self.candidates);
        }
        let index = entry
            .order
            .iter()
            .copied()
            .find(|&g| entry.usable(g, now))?;
        entry.taken.insert(index);
        self.changed.insert(job.clone());
        Some(GroupKey {
            job: job.clone(),
            index,
        })
    }

    /// Gives a taken group back. It can be taken again from `until` on.
    pub fn give_back(&mut self, key: &GroupKey, until: Duration) {
        if let Some(entry) = self.entries.get_mut(&key.job) {
            entry.taken.remove(&key.index);
            entry.retry_after.insert(key.index, until);
            self.changed.insert(key.job.clone());
        }
    }

    /// Records a finished group.
    pub fn finish(&mut self, key: &GroupKey, counts: Counts) {
        if let Some(entry) = self.entries.get_mut(&key.job) {
            entry.taken.remove(&key.index);
            entry.retry_after.remove(&key.index);
            if entry.finished.add(key.index, counts) {
                entry.unreported.insert(key.index, counts);
            }
            self.changed.insert(key.job.clone());
        }
    }

    /// Replaces the known progress of a job by its progress object, and adds the groups that were
    /// finished here and that the object lacks.
    pub fn merge(&mut self, job: &JobId, progress: Progress, now: Duration) {
        let Some(entry) = self.entries.get_mut(job) else {
            return;
        };
        entry.read_at = Some(now);
        entry
            .unreported
            .retain(|&group, _| !progress.contains(group));
        entry.finished = progress;
        for (&group, &counts) in &entry.unreported {
            entry.finished.add(group, counts);
        }
        self.changed.insert(job.clone());
    }

    /// Returns whether the job's progress object was read and is not outdated.
    pub fn progress_known(&self, job: &str) -> bool {
        self.entries.get(job).is_some_and(|e| e.read_at.is_some())
    }

    /// Marks the job's progress as unread if it was read more than `age` ago, because other instances
    /// have finished groups since.
    pub fn expire_progress(&mut self, job: &JobId, now: Duration, age: Duration) {
        if let Some(entry) = self.entries.get_mut(job) {
            entry.read_at = entry.read_at.filter(|&at| now < at + age);
        }
    }

    fn pending(&self, job: &JobId, entry: &JobEntry, unix_now: Duration) -> PendingJob {
        let record = &entry.record;
        let deadline = self.sheet.deadline(job, record.deadline);
        PendingJob {
            job: job.clone(),
            team: record.team.clone(),
            time_left: Duration::from_secs(deadline).saturating_sub(unix_now),
            items: entry.items(),
        }
    }

    /// Returns the jobs whose inputs are not all stored yet.
    pub fn loading(&self) -> impl Iterator<Item = StaleJob> {
        let entries = self.entries.iter();
        let loading = entries.filter(|(_, e)| e.record.state == JobState::Loading);
        loading.map(|(job, e)| StaleJob {
            job: job.clone(),
            version: e.version,
        })
    }

    /// Returns the job with the least recently read progress object.
    pub fn stalest(&self) -> Option<JobId> {
        let open = self.entries.iter().filter(|(_, e)| e.open());
        let stalest = open.min_by_key(|(_, e)| e.read_at);
        stalest.map(|(job, _)| job.clone())
    }

    /// Returns the job with the most finished groups that its progress object lacks.
    pub fn unreported(&self) -> Option<JobId> {
        let entries = self
            .entries
            .iter()
            .filter(|(_, e)| !e.unreported.is_empty());
        let most = entries.max_by_key(|(_, e)| e.unreported.len());
        most.map(|(job, _)| job.clone())
    }
}

/// Sorts the unfinished groups by this instance's rank for each, so that instances start with
/// different groups.
fn rank_groups(
    job: &JobId,
    entry: &JobEntry,
    instance: &InstanceId,
    candidates: &[InstanceId],
) -> Vec<GroupIndex> {
    let open = entry.finished.open(entry.record.groups);
    let mut ranked: Vec<(usize, GroupIndex)> = open
        .map(|g| {
            (
                ownership::position(&format!("{job}.{g}"), instance, candidates),
                g,
            )
        })
        .collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, g)| g).collect()
}
