//! Workers that announced in an answer that they leave (no I/O).

use crate::ids::{Map, WorkerId};

use super::fleet::Worker;

/// Maximum number of workers that are remembered while the list lacks them.
const MAX_MISSING: usize = 1024;

/// Workers that announced that they leave, until the list shows a later start under the same id.
#[derive(Debug, Default)]
pub struct Leaving {
    marks: Map<WorkerId, Mark>,
    lists: u64,
}

/// An announcement that no longer holds.
#[derive(Debug)]
pub struct Forgotten {
    /// The worker.
    pub worker: WorkerId,
    /// Why it no longer holds.
    pub reason: ForgottenReason,
}

/// Reason why an announcement no longer holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ForgottenReason {
    /// The list shows a later start.
    Restarted,
    /// The list lacks too many workers that announced that they leave.
    TooMany,
}

impl ForgottenReason {
    /// Returns the name for the log.
    pub fn name(self) -> &'static str {
        match self {
            Self::Restarted => "restarted",
            Self::TooMany => "too-many",
        }
    }
}

#[derive(Debug)]
struct Mark {
    started: Option<u64>,
    /// Number of the first list in a row that lacks the worker.
    missing: Option<u64>,
}

impl Leaving {
    /// Records that a worker announced that it leaves, and returns whether that is new.
    pub fn record(&mut self, worker: &Worker) -> bool {
        if self.contains(worker) {
            return false;
        }
        let mark = Mark {
            started: worker.started,
            missing: None,
        };
        self.marks.insert(worker.id.clone(), mark);
        true
    }

    /// Returns whether a worker announced that it leaves. An entry of an earlier start is an old one.
    pub fn contains(&self, worker: &Worker) -> bool {
        let mark = self.marks.get(&worker.id);
        mark.is_some_and(|m| worker.started <= m.started)
    }

    /// Returns the number of workers that announced that they leave.
    pub fn len(&self) -> usize {
        self.marks.len()
    }

    /// Returns whether no worker announced that it leaves.
    pub fn is_empty(&self) -> bool {
        self.marks.is_empty()
    }

    /// Forgets workers that the list shows with a later start. Of those that it lacks, the ones that
    /// it lacked first are forgotten when they are too many: an entry may come back after an outage.
    /// Returns the announcements that were forgotten.
    pub fn update<'a>(&mut self, find: impl Fn(&WorkerId) -> Option<&'a Worker>) -> Vec<Forgotten> {
        self.lists += 1;
        let lists = self.lists;
        let mut forgotten = Vec::new();
        self.marks.retain(|id, mark| {
            let listed = find(id);
            mark.missing = match listed {
                Some(_) => None,
                None => mark.missing.or(Some(lists)),
            };
            let holds = listed.is_none_or(|w| w.started <= mark.started);
            if !holds {
                forgotten.push(Forgotten {
                    worker: id.clone(),
                    reason: ForgottenReason::Restarted,
                });
            }
            holds
        });
        let missing = self
            .marks
            .iter()
            .filter_map(|(id, m)| Some((m.missing?, id)));
        let mut missing: Vec<_> = missing.map(|(at, id)| (at, id.clone())).collect();
        missing.sort();
        let excess = missing.len().saturating_sub(MAX_MISSING);
        for (_, id) in missing.into_iter().take(excess) {
            self.marks.remove(&id);
            forgotten.push(Forgotten {
                worker: id,
                reason: ForgottenReason::TooMany,
            });
        }
        forgotten
    }
}
