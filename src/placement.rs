//! Assignment of models to the workers of a zone, from the sheet and the models that are loaded.

use std::{cmp::Reverse, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{
    ids::{InstanceId, Map, ModelId, Revision, WorkerId},
    ownership,
    sheet::Sheet,
};

/// Model, version and adapters that a worker should run.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Placement {
    /// Model.
    pub model: ModelId,
    /// Version of the model.
    pub version: Arc<str>,
    /// Adapters.
    pub adapters: Vec<Arc<str>>,
}

/// The placement of a worker as stored in the object service. The version of the object is the
/// fencing number of the orders that are derived from it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Record {
    /// What the worker should run.
    pub placement: Placement,
    /// Sheet revision on which the placement is based.
    pub revision: Revision,
    /// Instance that wrote the record.
    pub owner: InstanceId,
    /// Token of the write.
    pub token: Arc<str>,
}

/// A worker of the zone as input for the assignment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneWorker {
    /// The worker.
    pub worker: WorkerId,
    /// Model of its placement record, or else the model that it has loaded.
    pub model: Option<ModelId>,
    /// Whether it has requests in flight or waiting.
    pub busy: bool,
}

/// Assigns models to the workers of a zone. A worker that gets none is left unchanged.
///
/// A worker keeps its model while the sheet has it. Models below their minimum number of workers
/// first get workers without a model, then those of the model with the largest surplus, idle ones
/// before busy ones. All owners of a zone compute the same assignment from the same input, and each
/// applies it to the workers that it owns.
pub fn assign(workers: &[ZoneWorker], sheet: &Sheet) -> Map<WorkerId, Placement> {
    let mut table = Table::new(workers, sheet);
    let mut models: Vec<&ModelId> = sheet.models.keys().collect();
    models.sort();
    for model in &models {
        while table.count(model) < sheet.models[*model].workers {
            let Some(worker) = table.cheapest_change(model) else {
                break;
            };
            table.models[worker] = Some((*model).clone());
        }
    }
    while let Some(worker) = table.models.iter().position(Option::is_none) {
        let Some(model) = models.iter().min_by_key(|m| (table.count(m), **m)) else {
            break;
        };
        table.models[worker] = Some((*model).clone());
    }
    let assigned = workers.iter().zip(table.models);
    let placed = assigned.filter_map(|(p, m)| Some((p.worker.clone(), placement(&m?, sheet)?)));
    placed.collect()
}

fn placement(model: &ModelId, sheet: &Sheet) -> Option<Placement> {
    let entry = sheet.models.get(model)?;
    Some(Placement {
        model: model.clone(),
        version: entry.version.clone(),
        adapters: entry.adapters.clone(),
    })
}

/// Working state of an assignment.
struct Table<'a> {
    workers: &'a [ZoneWorker],
    sheet: &'a Sheet,
    models: Vec<Option<ModelId>>,
}

impl<'a> Table<'a> {
    fn new(workers: &'a [ZoneWorker], sheet: &'a Sheet) -> Self {
        let known = |p: &ZoneWorker| p.model.clone().filter(|m| sheet.models.contains_key(m));
        Self {
            workers,
            sheet,
            models: workers.iter().map(known).collect(),
        }
    }

    fn count(&self, model: &ModelId) -> u32 {
        let assigned = self.models.iter().filter(|m| m.as_ref() == Some(model));
        assigned.count() as u32
    }

    /// Returns the index of the worker with the lowest cost of a change to a model.
    fn cheapest_change(&self, model: &ModelId) -> Option<usize> {
        let candidates = (0..self.workers.len()).filter_map(|i| Some((self.cost(i, model)?, i)));
        candidates.min().map(|(_, i)| i)
    }

    /// Returns the cost of a change of a worker to a model, to be compared in order: whether it has
    /// a model, the surplus of that model, whether it is busy, and a hash. `None` when its current
    /// model needs the worker.
    fn cost(&self, i: usize, model: &ModelId) -> Option<(bool, Reverse<u32>, bool, Reverse<u64>)> {
        let worker = &self.workers[i];
        let tie = Reverse(ownership::score(model, &worker.worker));
        let Some(current) = &self.models[i] else {
            return Some((false, Reverse(0), worker.busy, tie));
        };
        let least = self.sheet.models[current].workers;
        let surplus = self.count(current).checked_sub(least + 1)?;
        (current != model).then_some((true, Reverse(surplus), worker.busy, tie))
    }
}
