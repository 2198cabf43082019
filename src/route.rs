//! Choice of a worker for an online request.

use std::{sync::Arc, time::Duration};

use crate::{
    ids::{InstanceId, Map, ModelId, WorkerId, Zone},
    view::{View, WorkerInfo},
    workers::{WorkerCell, WorkerTable},
};

/// What an online request needs.
#[derive(Debug, Clone, Copy)]
pub struct Ask<'a> {
    /// Model that answers it.
    pub model: &'a ModelId,
    /// Hashes of the prompt's blocks, from its start.
    pub blocks: &'a [u64],
    /// Workers that this request has tried already.
    pub tried: &'a [WorkerId],
}

/// A worker that can be chosen.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// The worker.
    pub info: WorkerInfo,
    /// Its live counts.
    pub cell: Arc<WorkerCell>,
}

/// Result of a choice.
#[derive(Debug, Clone)]
pub enum Choice<'a> {
    /// Send the request to this worker.
    Worker(&'a Candidate),
    /// All workers of the model are at their limit.
    Full,
    /// No worker has the model.
    NoWorker,
}

/// Chooses workers; built for each view and read by all traffic threads.
#[derive(Debug, Default)]
pub struct Router {
    models: Map<ModelId, Vec<Candidate>>,
}

impl Router {
    /// Builds the router of a view, for an entry instance in `zone`.
    pub fn build(view: &View, table: &WorkerTable, _me: &InstanceId, zone: &Zone) -> Self {
        let mut models: Map<ModelId, Vec<Candidate>> = Map::default();
        for info in view.workers.iter().filter(|w| !w.leaving) {
            let Some(model) = &info.model else { continue };
            models.entry(model.clone()).or_default().push(Candidate {
                info: info.clone(),
                cell: table.cell(&info.id),
            });
        }
        for list in models.values_mut() {
            list.sort_by_key(|c| c.info.zone != *zone);
        }
        Self { models }
    }

    /// Chooses a worker for a request.
    pub fn choose(&self, ask: &Ask<'_>, _rng: &mut fastrand::Rng, _now: Duration) -> Choice<'_> {
        let Some(list) = self.models.get(ask.model) else {
            return Choice::NoWorker;
        };
        let usable = list.iter().filter(|c| !ask.tried.contains(&c.info.id));
        match usable.min_by_key(|c| c.cell.known().online) {
            Some(c) if c.cell.known().online < c.info.slots => Choice::Worker(c),
            Some(_) => Choice::Full,
            None => Choice::NoWorker,
        }
    }
}
