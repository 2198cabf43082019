//! Workers in trouble: what this instance and its neighbours saw fail in the last seconds.
//!
//! Each instance sends a worker only a few requests a second. Alone it meets a worker that is gone, or that
//! fails part of its requests, again and again before it leaves it out; together the instances of a zone
//! know it after the first failures.

use std::{collections::VecDeque, time::Duration};

use serde::{Deserialize, Serialize};

use crate::ids::Map;

/// Time for which a failure counts. It is long enough for a worker that fails a few requests a second to
/// stay known, and short enough for one that has recovered to be used again soon.
const MEMORY: Duration = Duration::from_secs(4);
/// Time for which a refused connection counts. A worker that starts again accepts connections within seconds.
const REFUSED_MEMORY: Duration = Duration::from_secs(2);
/// Failures of requests from which on a worker counts as in trouble. A single one may be due to the request.
const MIN_FAILURES: usize = 2;
/// Time for which an answer shows that this instance reaches workers.
const ANSWER_MEMORY: Duration = Duration::from_secs(1);
/// Failures of a worker that are remembered.
const MAX_FAILURES: usize = 8;
/// Failures that wait to be told to other instances; more are not told.
const MAX_NEWS: usize = 64;

/// Hash of a worker's id, as messages between instances use it.
type WorkerKey = u32;

/// What failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Kind {
    /// The worker accepted no connection, so that nothing was sent.
    Refused,
    /// A request failed, or its answer did not begin for long.
    Failed,
}

/// A failure of a worker, as one instance tells it to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Failure {
    /// The worker.
    pub worker: WorkerKey,
    /// Time of its start in ms since the Unix epoch.
    pub started: Option<u64>,
    /// What failed.
    pub kind: Kind,
}

/// Failures of the workers of which a run was seen last.
#[derive(Debug)]
struct Record {
    started: Option<u64>,
    refused: Option<Duration>,
    failed: VecDeque<Duration>,
}

/// Failures of all workers in the last seconds.
#[derive(Debug, Default)]
pub struct Troubles {
    records: Map<WorkerKey, Record>,
    news: Vec<Failure>,
    /// Time when a worker last answered here.
    answered: Option<Duration>,
}

impl Troubles {
    /// Records a failure that was seen here, and keeps it for the other instances. It is not told if no worker
    /// has answered here of late: the failure may be that of the links of this instance.
    pub fn see(&mut self, failure: Failure, now: Duration) {
        let is_reached = self.answered.is_some_and(|at| now < at + ANSWER_MEMORY);
        if is_reached && self.news.len() < MAX_NEWS {
            self.news.push(failure);
        }
        self.hear(failure, now);
    }

    /// Records that a worker answered a request of this instance.
    pub fn record_answer(&mut self, worker: WorkerKey, now: Duration) {
        self.answered = Some(now);
        if let Some(record) = self.records.get_mut(&worker) {
            record.refused = None;
        }
    }

    /// Records a failure that another instance saw.
    pub fn hear(&mut self, failure: Failure, now: Duration) {
        let record = self
            .records
            .entry(failure.worker)
            .or_insert_with(|| Record::new(failure.started));
        if record.started > failure.started {
            return;
        }
        if record.started < failure.started {
            *record = Record::new(failure.started);
        }
        match failure.kind {
            Kind::Refused => record.refused = Some(now),
            Kind::Failed => {
                record.failed.push_back(now);
                if record.failed.len() > MAX_FAILURES {
                    record.failed.pop_front();
                }
            }
        }
    }

    /// Returns the failures that were seen here since the last call.
    pub fn take_news(&mut self) -> Vec<Failure> {
        std::mem::take(&mut self.news)
    }

    /// Returns whether a run of a worker is in trouble. It gets requests only where there is no other slot.
    ///
    /// Answers the loss of many workers as the traffic jumps, and workers that fail part of their requests
    /// while they say that they are well: a worker that has just died has nothing in flight, so that by
    /// counts alone it looks the freest.
    pub fn is_troubled(&self, worker: WorkerKey, started: Option<u64>, now: Duration) -> bool {
        let record = self.records.get(&worker);
        let record = record.filter(|r| r.started == started);
        record.is_some_and(|r| r.is_refused(now) || r.recent(now) >= MIN_FAILURES)
    }

    /// Returns the number of workers in trouble.
    pub fn count(&self, now: Duration) -> usize {
        let troubled = |r: &&Record| r.is_refused(now) || r.recent(now) >= MIN_FAILURES;
        self.records.values().filter(troubled).count()
    }

    /// Forgets what counts no more.
    pub fn expire(&mut self, now: Duration) {
        self.records
            .retain(|_, r| r.is_refused(now) || r.recent(now) > 0);
    }
}

impl Record {
    fn new(started: Option<u64>) -> Self {
        Self {
            started,
            refused: None,
            failed: VecDeque::new(),
        }
    }

    fn is_refused(&self, now: Duration) -> bool {
        self.refused.is_some_and(|at| now < at + REFUSED_MEMORY)
    }

    fn recent(&self, now: Duration) -> usize {
        self.failed.iter().filter(|at| now < **at + MEMORY).count()
    }
}
