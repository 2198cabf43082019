//! Selection of a worker for an online request.

use std::{iter, ops::Range, sync::Arc, time::Duration};

use crate::{
    affinity::Affinity,
    free_index::FreeIndex,
    ids::{InstanceId, Map, ModelId, WorkerId, Zone},
    mutex::{Mutex, MutexGuard, lock},
    view::{View, WorkerInfo},
    workers::{WorkerCell, WorkerTable},
};

/// Sample size among the workers that this instance owns, whose online load is known exactly.
const OWNED_SAMPLE: usize = 2;
/// Sample size among the other workers of the instance's zone.
const ZONE_SAMPLE: usize = 3;
/// Sample size among the workers of other zones.
const REMOTE_SAMPLE: usize = 2;
/// Default cost of crossing zones, as a fraction of a worker's slots.
const HOP_COST: f64 = 0.125;
/// Cost of a worker that another instance owns, as a fraction of its slots. It is below the cost of
/// one request on most workers, so it only breaks ties between equal loads.
const FOREIGN_COST: f64 = 0.03;
/// Ratio of a worker's load to the mean load up to which affinity is followed.
const AFFINITY_RATIO: f64 = 1.25;
/// Requests above [`AFFINITY_RATIO`] times the mean load up to which affinity is followed.
const AFFINITY_MARGIN: f64 = 1.0;

/// Requirements of an online request.
#[derive(Debug, Clone, Copy)]
pub struct RouteRequest<'a> {
    /// Requested model.
    pub model: &'a ModelId,
    /// Hashes of the prompt's blocks, in order.
    pub blocks: &'a [u64],
    /// Workers that this request was already sent to; they are not chosen again.
    pub tried: &'a [WorkerId],
}

/// A worker that may be chosen.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// Identity and configuration of the worker.
    pub info: WorkerInfo,
    /// Live request counts of the worker.
    pub cell: Arc<WorkerCell>,
}

/// Outcome of a selection.
#[derive(Debug, Clone)]
pub enum Choice<'a> {
    /// Send the request to this worker.
    Worker(&'a Candidate),
    /// Every untried worker of the model has all slots in use.
    Full,
    /// No untried worker has the model.
    NoWorker,
}

/// A selection and the number of prompt blocks that the chosen worker has to compute.
#[derive(Debug, Clone)]
pub struct Placement<'a> {
    /// Outcome of the selection.
    pub choice: Choice<'a>,
    /// Blocks of the prompt that are not known to be in the worker's prefix cache.
    pub uncached: usize,
}

/// Workers of one model: those that this instance owns, then the others of its zone, then those of
/// other zones.
#[derive(Debug)]
struct Pool {
    list: Vec<Candidate>,
    /// End of the owned workers in the list.
    own_end: usize,
    /// End of the workers of the own zone in the list.
    zone_end: usize,
    positions: Map<WorkerId, usize>,
    /// Positions of the workers that have a free slot.
    free: Arc<FreeIndex>,
}

/// Selects workers. It is rebuilt for each view and read by all traffic threads.
#[derive(Debug)]
pub struct Router {
    models: Map<ModelId, Pool>,
    affinity: Arc<Mutex<Affinity>>,
    hop_cost: f64,
}

impl Default for Router {
    fn default() -> Self {
        Self {
            models: Map::default(),
            affinity: Arc::default(),
            hop_cost: HOP_COST,
        }
    }
}

impl Router {
    /// Builds the router of a view, for an entry instance in `zone`. The cells of the table update
    /// the free-slot index of the latest router only; earlier routers rely on their samples.
    pub fn build(view: &View, table: &WorkerTable, instance: &InstanceId, zone: &Zone) -> Self {
        let mut lists: Map<ModelId, Vec<Candidate>> = Map::default();
        for info in view.workers.iter().filter(|w| !w.leaving) {
            let Some(model) = &info.model else { continue };
            let list = lists.entry(model.clone()).or_default();
            list.push(Candidate {
                info: info.clone(),
                cell: table.cell(&info.id),
            });
        }
        let pools = lists.into_iter();
        let models = pools
            .map(|(m, list)| (m, Pool::new(list, instance, zone)))
            .collect();
        Self {
            models,
            affinity: table.affinity(),
            hop_cost: HOP_COST,
        }
    }

    /// Sets the cost of crossing zones, as a fraction of a worker's slots.
    pub fn with_hop_cost(mut self, cost: f64) -> Self {
        self.hop_cost = cost;
        self
    }

    /// Searches all workers for one with a free slot: the own zone first, from a random position
    /// on.
    pub fn search(
        &self,
        request: &RouteRequest<'_>,
        rng: &mut fastrand::Rng,
    ) -> Option<&Candidate> {
        self.models.get(request.model)?.search(request, rng)
    }

    /// Chooses a worker for a request. The running time is independent of the number of workers,
    /// except when no sampled worker has a free slot; then it is logarithmic.
    pub fn choose(
        &self,
        request: &RouteRequest<'_>,
        rng: &mut fastrand::Rng,
        now: Duration,
    ) -> Choice<'_> {
        self.place(request, rng, now).choice
    }

    /// Chooses a worker for a request and returns how many blocks of the prompt it has to compute.
    pub fn place(
        &self,
        request: &RouteRequest<'_>,
        rng: &mut fastrand::Rng,
        now: Duration,
    ) -> Placement<'_> {
        let choice = self.pick(request, rng);
        let mut uncached = 0;
        if let Choice::Worker(chosen) = &choice
            && !request.blocks.is_empty()
        {
            let mut affinity = self.lock();
            uncached = request.blocks.len() - affinity.depth(request.blocks, &chosen.info.id);
            affinity.record_prompt(request.blocks, &chosen.info.id, now);
        }
        Placement { choice, uncached }
    }

    fn pick(&self, request: &RouteRequest<'_>, rng: &mut fastrand::Rng) -> Choice<'_> {
        let Some(pool) = self.models.get(request.model) else {
            return Choice::NoWorker;
        };
        if pool.exhausted(request) {
            return Choice::NoWorker;
        }
        let sample = self.sample(pool, request, rng);
        let chosen = self
            .prefix_holder(pool, request, &sample)
            .or(sample.best)
            .or_else(|| pool.search(request, rng));
        chosen.map_or(Choice::Full, Choice::Worker)
    }

    /// Samples owned workers, the own zone and the other zones, and finds the one of least cost.
    fn sample<'a>(
        &self,
        pool: &'a Pool,
        request: &RouteRequest<'_>,
        rng: &mut fastrand::Rng,
    ) -> Sample<'a> {
        let mut sample = Sample::default();
        for i in sample_positions(rng, 0, pool.own_end, OWNED_SAMPLE) {
            sample.add(&pool.list[i], request, 0.0);
        }
        for i in sample_positions(rng, pool.own_end, pool.zone_end, ZONE_SAMPLE) {
            sample.add(&pool.list[i], request, FOREIGN_COST);
        }
        for i in sample_positions(rng, pool.zone_end, pool.list.len(), REMOTE_SAMPLE) {
            sample.add(&pool.list[i], request, FOREIGN_COST + self.hop_cost);
        }
        sample
    }

    /// Returns the least loaded worker that has a prefix of the prompt cached, if its load is
    /// within the bound for affinity.
    fn prefix_holder<'a>(
        &self,
        pool: &'a Pool,
        request: &RouteRequest<'_>,
        sample: &Sample<'_>,
    ) -> Option<&'a Candidate> {
        if request.blocks.is_empty() {
            return None;
        }
        let bound = sample.mean_load()? * AFFINITY_RATIO + AFFINITY_MARGIN;
        let holders = self.lock().holders(request.blocks);
        let positions = holders.iter().filter_map(|h| pool.positions.get(&h.worker));
        positions
            .filter(|&&i| i < pool.zone_end)
            .map(|&i| &pool.list[i])
            .filter(|c| has_free_slot(c, request) && f64::from(c.cell.load()) <= bound)
            .min_by_key(|c| c.cell.load())
    }

    fn lock(&self) -> MutexGuard<'_, Affinity> {
        lock(&self.affinity)
    }
}

impl Pool {
    fn new(mut list: Vec<Candidate>, instance: &InstanceId, zone: &Zone) -> Self {
        let rank = |c: &Candidate| match (&c.info.zone == zone, &c.info.owner) {
            (true, Some(owner)) if owner == instance => 0,
            (true, _) => 1,
            (false, _) => 2,
        };
        list.sort_by_key(rank);
        let own_end = list.partition_point(|c| rank(c) == 0);
        for owned in &list[..own_end] {
            // The owner counts by peer notifications. A count announced by a previous owner is
            // stale.
            owned.cell.set_announced(0);
        }
        let free = Arc::new(FreeIndex::new(list.len()));
        for (position, candidate) in list.iter().enumerate() {
            let slots = candidate.info.slots;
            candidate.cell.set_index(free.clone(), position, slots);
        }
        let ids = list.iter().map(|c| c.info.id.clone());
        Self {
            own_end,
            zone_end: list.partition_point(|c| rank(c) <= 1),
            positions: ids.zip(0..).collect(),
            free,
            list,
        }
    }

    /// Returns whether all workers were tried.
    fn exhausted(&self, request: &RouteRequest<'_>) -> bool {
        let untried = |c: &Candidate| !request.tried.contains(&c.info.id);
        // Usually ends within the first few entries; scans all of them only when all were tried.
        !self.list.iter().any(untried)
    }

    /// Searches the list for a worker with a free slot, the own zone first.
    fn search(&self, request: &RouteRequest<'_>, rng: &mut fastrand::Rng) -> Option<&Candidate> {
        let near = self.first_free(0..self.zone_end, request, rng);
        near.or_else(|| self.first_free(self.zone_end..self.list.len(), request, rng))
    }

    /// Returns the first worker with a free slot from a random position of a range on, wrapping
    /// around at its end.
    fn first_free(
        &self,
        range: Range<usize>,
        request: &RouteRequest<'_>,
        rng: &mut fastrand::Rng,
    ) -> Option<&Candidate> {
        if range.is_empty() {
            return None;
        }
        let start = rng.usize(range.clone());
        let tail = self.first_between(start, range.end, request);
        tail.or_else(|| self.first_between(range.start, start, request))
    }

    /// Returns the first worker with a free slot between two positions. The index may lag behind a
    /// concurrent change, so the worker's own counts are checked again.
    fn first_between(
        &self,
        from: usize,
        end: usize,
        request: &RouteRequest<'_>,
    ) -> Option<&Candidate> {
        let next = |&position: &usize| self.free.first(position + 1, end);
        let positions = iter::successors(self.free.first(from, end), next);
        positions
            .map(|position| &self.list[position])
            .find(|c| has_free_slot(c, request))
    }
}

/// Workers sampled for one request: the best one and the mean load.
#[derive(Debug, Default)]
struct Sample<'a> {
    best: Option<&'a Candidate>,
    cost: f64,
    load: u64,
    count: u64,
}

impl<'a> Sample<'a> {
    fn add(&mut self, candidate: &'a Candidate, request: &RouteRequest<'_>, extra: f64) {
        let load = candidate.cell.load();
        self.load += u64::from(load);
        self.count += 1;
        if !has_free_slot(candidate, request) {
            return;
        }
        let cost = f64::from(load) / f64::from(candidate.info.slots) + extra;
        if self.best.is_none() || cost < self.cost {
            self.best = Some(candidate);
            self.cost = cost;
        }
    }

    fn mean_load(&self) -> Option<f64> {
        (self.count > 0).then(|| self.load as f64 / self.count as f64)
    }
}

/// Returns up to `count` distinct positions in `low..high`, at a fixed stride from a random start.
/// The stride is 1 when a larger one would visit a position twice.
fn sample_positions(
    rng: &mut fastrand::Rng,
    low: usize,
    high: usize,
    count: usize,
) -> impl Iterator<Item = usize> + use<> {
    let len = high - low;
    let start = if len == 0 { 0 } else { rng.usize(..len) };
    let step = if len <= count { 1 } else { rng.usize(1..len) };
    let stride = if is_distinct(len, step, count) {
        step
    } else {
        1
    };
    (0..count.min(len)).map(move |i| low + (start + i * stride) % len)
}

/// Returns whether `count` steps through a ring of `len` positions visit no position twice.
fn is_distinct(len: usize, step: usize, count: usize) -> bool {
    (1..count).all(|i| !(i * step).is_multiple_of(len))
}

fn has_free_slot(candidate: &Candidate, request: &RouteRequest<'_>) -> bool {
    candidate.cell.load() < candidate.info.slots && !request.tried.contains(&candidate.info.id)
}
