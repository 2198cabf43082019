//! Batch jobs known to an instance, shared by all threads.

use std::{sync::Arc, time::Duration};

use smol::channel::{Receiver, Sender, bounded};

use crate::{
    fnv,
    ids::{JobId, Map, TeamId},
    mutex::{Mutex, lock},
};

use super::{
    config::Route,
    fleet::Backlog,
    job::{Job, UsualRun},
    peers::{self, JobKey, JobState},
};

/// Time for which the cancellation of a job is reported to the other instances.
const ENDED_RETENTION: Duration = Duration::from_secs(10);
/// Time for which a cancellation is remembered. An instance that was cut off may hear of it at the end
/// of the others' reports, and then reports it for as long again; no report may begin anew from that.
const ENDED_MEMORY: Duration = ENDED_RETENTION.saturating_mul(3);

/// Time for which an instance that does not run a job reports how many of its pages it knows: a
/// caller may have read the last one here.
const STATE_RETENTION: Duration = Duration::from_secs(5);

/// State of a job, shared between the tasks that work on it.
pub type SharedJob = Arc<Mutex<Job>>;

/// Jobs at an instance.
#[derive(Debug)]
pub struct Jobs {
    jobs: Mutex<Map<JobId, SharedJob>>,
    keys: Mutex<Map<JobKey, JobId>>,
    ended: Mutex<Map<JobId, Duration>>,
    waiting: Mutex<Vec<(u32, u64)>>,
    backlog: Mutex<Backlog>,
    usual_run: Mutex<Option<UsualRun>>,
    runner: (Sender<()>, Receiver<()>),
}

impl Default for Jobs {
    fn default() -> Self {
        Self {
            jobs: Mutex::default(),
            keys: Mutex::default(),
            ended: Mutex::default(),
            waiting: Mutex::default(),
            backlog: Mutex::default(),
            usual_run: Mutex::default(),
            runner: bounded(1),
        }
    }
}

/// Returns the hash of a route's name, and that of a team, that messages between instances use.
pub fn route_key(route: &Route, team: Option<&TeamId>) -> u32 {
    let team = team.map_or("", |t| t.as_ref());
    fnv::hash32(route.name.bytes().chain(team.bytes()))
}

impl Jobs {
    /// Returns a job.
    pub fn get(&self, id: &JobId) -> Option<SharedJob> {
        lock(&self.jobs).get(id).cloned()
    }

    /// Adds a job unless it is already known, and returns the known one.
    pub fn add(&self, id: &JobId, job: Job) -> SharedJob {
        lock(&self.keys).insert(peers::job_key(id), id.clone());
        let shared = {
            let mut jobs = lock(&self.jobs);
            let entry = jobs.entry(id.clone());
            entry.or_insert_with(|| Arc::new(Mutex::new(job))).clone()
        };
        // The record may have been read before the job was cancelled.
        if lock(&self.ended).contains_key(id) {
            lock(&shared).ended = true;
        }
        shared
    }

    /// Removes a job.
    pub fn remove(&self, id: &JobId) {
        lock(&self.keys).remove(&peers::job_key(id));
        lock(&self.jobs).remove(id);
    }

    /// Returns all jobs.
    pub fn all(&self) -> Vec<(JobId, SharedJob)> {
        let jobs = lock(&self.jobs);
        jobs.iter()
            .map(|(id, job)| (id.clone(), job.clone()))
            .collect()
    }

    /// Returns the jobs that this instance has work left on. Over time, most known jobs are
    /// complete.
    pub fn running(&self) -> Vec<(JobId, SharedJob)> {
        let jobs = lock(&self.jobs);
        let running = jobs.iter().filter(|(_, job)| lock(job).is_running());
        running.map(|(id, job)| (id.clone(), job.clone())).collect()
    }

    /// Returns the jobs with work left that this instance does not run.
    pub fn idle(&self) -> Vec<JobId> {
        let jobs = lock(&self.jobs);
        let is_idle = |job: &SharedJob| {
            let job = lock(job);
            !job.active && !job.ended && !job.is_complete()
        };
        let idle = jobs.iter().filter(|(_, job)| is_idle(job));
        idle.map(|(id, _)| id.clone()).collect()
    }

    /// Returns a job by the hash of its id.
    pub fn by_key(&self, key: JobKey) -> Option<(JobId, SharedJob)> {
        let id = lock(&self.keys).get(&key).cloned()?;
        let job = self.get(&id)?;
        Some((id, job))
    }

    /// Returns whether this instance runs a job.
    pub fn is_active(&self, id: &JobId) -> bool {
        self.get(id).is_some_and(|job| lock(&job).active)
    }

    /// Returns the state of the jobs that this instance runs and of those whose pages it learned
    /// recently.
    pub fn states(&self, now: Duration) -> Vec<JobState> {
        let jobs = lock(&self.jobs);
        let states = jobs.iter().filter_map(|(id, job)| {
            let job = lock(job);
            let told = job.active || now < job.page_time + STATE_RETENTION;
            told.then(|| JobState {
                key: peers::job_key(id),
                pages: job.next_page(),
                active: job.active,
            })
        });
        states.collect()
    }

    /// Records that a job was cancelled by its owner. Its runs stop at their next event.
    pub fn mark_ended(&self, id: &JobId, now: Duration) {
        lock(&self.ended).insert(id.clone(), now);
        if let Some(job) = self.get(id) {
            lock(&job).ended = true;
        }
    }

    /// Records that another instance reports the cancellation of a job. A repeated report changes
    /// nothing: all instances report it, and would renew it for each other without end.
    pub fn hear_ended(&self, id: &JobId, now: Duration) {
        if !lock(&self.ended).contains_key(id) {
            self.mark_ended(id, now);
        }
    }

    /// Returns the jobs that were cancelled recently.
    pub fn ended(&self, now: Duration) -> Vec<JobId> {
        let mut ended = lock(&self.ended);
        ended.retain(|_, at| now < *at + ENDED_MEMORY);
        let recent = ended.iter().filter(|(_, at)| now < **at + ENDED_RETENTION);
        recent.map(|(id, _)| id.clone()).collect()
    }

    /// Sets the tokens of unfinished items at this instance, by route.
    pub fn set_waiting(&self, waiting: Vec<(u32, u64)>) {
        *lock(&self.waiting) = waiting;
    }

    /// Returns the tokens of unfinished items at this instance, by route.
    pub fn waiting(&self) -> Vec<(u32, u64)> {
        lock(&self.waiting).clone()
    }

    /// Sets the number of items that wait for a free slot, and returns whether other instances need
    /// to know of the change.
    pub fn set_backlog(&self, backlog: Backlog) -> bool {
        let before = std::mem::replace(&mut *lock(&self.backlog), backlog);
        let kinds = |b: Backlog| (b.timely > 0, b.late > 0);
        kinds(before) != kinds(backlog)
    }

    /// Returns the number of items that wait for a free slot.
    pub fn backlog(&self) -> Backlog {
        *lock(&self.backlog)
    }

    /// Adds an item that ran without interruption to the averages.
    pub fn record_run(&self, time: Duration, events: u64) {
        let mut usual = lock(&self.usual_run);
        *usual = Some(UsualRun::add(*usual, time, events));
    }

    /// Returns the averages of items that ran without interruption, or `None` before the first one.
    pub fn usual_run(&self) -> Option<UsualRun> {
        *lock(&self.usual_run)
    }

    /// Notifies the runner that items may start or results may be committed.
    pub fn notify_runner(&self) {
        let _ = self.runner.0.try_send(());
    }

    /// Waits until the runner is notified.
    pub async fn runner_notified(&self) {
        let _ = self.runner.1.recv().await;
    }
}
