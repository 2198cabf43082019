//! Batch jobs that an entry instance knows, and the order in which it tries their groups (pure).

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

/// A job and what is known of its groups.
#[derive(Debug)]
pub struct JobEntry {
    /// Record as it was last seen.
    pub record: Arc<JobRecord>,
    version: Version,
    finished: Progress,
    own: Map<GroupIndex, Counts>,
    loaded: Option<Duration>,
    taken: Set<GroupIndex>,
    busy: Map<GroupIndex, Duration>,
    order: Vec<GroupIndex>,
    /// Time at which a given back group can be tried again, while no other can.
    wake: Option<Duration>,
}

impl JobEntry {
    /// Returns the groups that are known to be finished, with their outcomes.
    pub fn finished(&self) -> &Progress {
        &self.finished
    }

    fn open(&self) -> bool {
        self.record.state == JobState::Ready && self.finished.groups() < self.record.groups
    }

    fn usable(&self, group: GroupIndex, now: Duration) -> bool {
        !self.finished.contains(group)
            && !self.taken.contains(&group)
            && self.busy.get(&group).is_none_or(|&until| now >= until)
    }

    fn claimable(&self, now: Duration) -> bool {
        self.open() && (0..self.record.groups).any(|g| self.usable(g, now))
    }

    fn items(&self) -> u64 {
        let finished = self.finished.counts().total();
        self.record.items.saturating_sub(finished)
    }

    /// Returns when the first of the given back groups can be tried again.
    fn next_try(&self, now: Duration) -> Option<Duration> {
        let later = self.busy.values().filter(|&&until| until > now);
        later.min().copied()
    }
}

/// All known jobs.
#[derive(Debug)]
pub struct Jobs {
    me: InstanceId,
    candidates: Vec<InstanceId>,
    sheet: Arc<Sheet>,
    entries: Map<JobId, JobEntry>,
    /// Jobs that changed since the schedule was brought up to date.
    changed: Set<JobId>,
    /// Jobs by the time at which a group can be tried again.
    wakes: BTreeSet<(Duration, JobId)>,
}

impl Jobs {
    /// Starts without jobs.
    pub fn new(me: InstanceId) -> Self {
        Self {
            candidates: vec![me.clone()],
            me,
            sheet: Arc::default(),
            entries: Map::default(),
            changed: Set::default(),
            wakes: BTreeSet::new(),
        }
    }

    /// Returns a job.
    pub fn get(&self, job: &str) -> Option<&JobEntry> {
        self.entries.get(job)
    }

    /// Sets the sheet in force, whose deadlines replace those of submissions.
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

    /// Takes a job object and says whether it is news; an older version than the known one is not.
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
                own: Map::default(),
                loaded: None,
                taken: Set::default(),
                busy: Map::default(),
                order: Vec::new(),
                wake: None,
            });
        entry.record = record;
        entry.version = object.version;
        self.changed.insert(object.name.clone());
        true
    }

    /// Brings a schedule up to date with the jobs that changed since the last call or can be tried
    /// again by now. A schedule that is given once must be given each time.
    pub fn update(&mut self, schedule: &mut Schedule, now: Duration) {
        while let Some((at, _)) = self.wakes.first()
            && *at <= now
        {
            let woken = self.wakes.pop_first();
            self.changed.extend(woken.map(|(_, job)| job));
        }
        for job in std::mem::take(&mut self.changed) {
            self.update_job(schedule, job, now);
        }
    }

    fn update_job(&mut self, schedule: &mut Schedule, job: JobId, now: Duration) {
        let Some(entry) = self.entries.get_mut(&job) else {
            return;
        };
        if let Some(wake) = entry.wake.take() {
            self.wakes.remove(&(wake, job.clone()));
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
        entry.wake = entry.next_try(now);
        self.wakes.extend(entry.wake.map(|at| (at, job)));
    }

    /// Returns jobs with groups that can be tried now, whose model is wanted, by a scan of all
    /// jobs. `today` is the time since 1970-01-01 UTC.
    pub fn claimable(
        &self,
        now: Duration,
        today: Duration,
        wanted: impl Fn(&ModelId) -> bool,
    ) -> Vec<PendingJob> {
        let entries = self.entries.iter();
        let usable = entries.filter(|(_, e)| wanted(&e.record.model) && e.claimable(now));
        usable.map(|(job, e)| self.pending(job, e, today)).collect()
    }

    /// Returns all jobs with unfinished groups whose progress object was read.
    pub fn open(&self, today: Duration) -> Vec<PendingJob> {
        let open = self
            .entries
            .iter()
            .filter(|(_, e)| e.open() && e.loaded.is_some());
        open.map(|(job, e)| self.pending(job, e, today)).collect()
    }

    /// Takes the next group of a job to try: those that this instance ranks first for come first.
    pub fn take(&mut self, job: &JobId, now: Duration) -> Option<GroupKey> {
        let entry = self.entries.get_mut(job)?;
        if entry.order.is_empty() {
            entry.order = order(job, entry, &self.me, &self.candidates);
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

    /// Gives a taken group back; it is not tried again before `until`.
    pub fn give_back(&mut self, key: &GroupKey, until: Duration) {
        if let Some(entry) = self.entries.get_mut(&key.job) {
            entry.taken.remove(&key.index);
            entry.busy.insert(key.index, until);
            self.changed.insert(key.job.clone());
        }
    }

    /// Records a finished group.
    pub fn finish(&mut self, key: &GroupKey, counts: Counts) {
        if let Some(entry) = self.entries.get_mut(&key.job) {
            entry.taken.remove(&key.index);
            entry.busy.remove(&key.index);
            if entry.finished.add(key.index, counts) {
                entry.own.insert(key.index, counts);
            }
            self.changed.insert(key.job.clone());
        }
    }

    /// Takes the job's progress object as it was read. Groups that only this instance knows to be
    /// finished stay known.
    pub fn merge(&mut self, job: &JobId, progress: Progress, now: Duration) {
        let Some(entry) = self.entries.get_mut(job) else {
            return;
        };
        entry.loaded = Some(now);
        entry.own.retain(|&group, _| !progress.contains(group));
        entry.finished = progress;
        for (&group, &counts) in &entry.own {
            entry.finished.add(group, counts);
        }
        self.changed.insert(job.clone());
    }

    /// Says whether the job's progress object was read.
    pub fn loaded(&self, job: &str) -> bool {
        self.entries.get(job).is_some_and(|e| e.loaded.is_some())
    }

    /// Has the job's progress object read again when it was read more than `age` ago: other
    /// instances have finished groups since.
    pub fn outdated(&mut self, job: &JobId, now: Duration, age: Duration) {
        if let Some(entry) = self.entries.get_mut(job) {
            entry.loaded = entry.loaded.filter(|&at| now < at + age);
        }
    }

    fn pending(&self, job: &JobId, entry: &JobEntry, today: Duration) -> PendingJob {
        let record = &entry.record;
        let deadline = self.sheet.deadline(job, record.deadline);
        PendingJob {
            job: job.clone(),
            team: record.team.clone(),
            left: Duration::from_secs(deadline).saturating_sub(today),
            items: entry.items(),
        }
    }

    /// Returns the jobs whose inputs are not all stored.
    pub fn loading(&self) -> impl Iterator<Item = StaleJob> {
        let entries = self.entries.iter();
        let loading = entries.filter(|(_, e)| e.record.state == JobState::Loading);
        loading.map(|(job, e)| StaleJob {
            job: job.clone(),
            version: e.version,
        })
    }

    /// Returns the job whose progress object was read longest ago.
    pub fn stalest(&self) -> Option<JobId> {
        let open = self.entries.iter().filter(|(_, e)| e.open());
        let stalest = open.min_by_key(|(_, e)| e.loaded);
        stalest.map(|(job, _)| job.clone())
    }

    /// Returns a job with finished groups that its progress object lacks.
    pub fn unreported(&self) -> Option<JobId> {
        let entries = self.entries.iter().filter(|(_, e)| !e.own.is_empty());
        let most = entries.max_by_key(|(_, e)| e.own.len());
        most.map(|(job, _)| job.clone())
    }
}

/// Orders the unfinished groups by this instance's rank for each, so that instances start on
/// disjoint groups.
fn order(
    job: &JobId,
    entry: &JobEntry,
    me: &InstanceId,
    candidates: &[InstanceId],
) -> Vec<GroupIndex> {
    let open = entry.finished.open(entry.record.groups);
    let mut ranked: Vec<(usize, GroupIndex)> = open
        .map(|g| {
            (
                ownership::position(&format!("{job}.{g}"), me, candidates),
                g,
            )
        })
        .collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, g)| g).collect()
}
