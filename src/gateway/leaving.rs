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
    pub fn update<'a>(&mut self, find: impl Fn(&WorkerId) -> Option<&'a Worker>) {
        self.lists += 1;
        let lists = self.lists;
        self.marks.retain(|id, mark| {
            let listed = find(id);
            mark.missing = match listed {
                Some(_) => None,
                None => mark.missing.or(Some(lists)),
            };
            listed.is_none_or(|w| w.started <= mark.started)
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
        }
    }
}
