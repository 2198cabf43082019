//! Choice of a worker for an online request.

use std::{
    iter,
    ops::Range,
    sync::{Arc, Mutex},
    time::Duration,
};

use crate::{
    affinity::Affinity,
    free_index::FreeIndex,
    ids::{InstanceId, Map, ModelId, WorkerId, Zone},
    mutex::lock,
    view::{View, WorkerInfo},
    workers::{WorkerCell, WorkerTable},
};

/// Workers sampled among the own ones, whose online requests are known exactly.
const OWN_SAMPLE: usize = 2;
/// Workers sampled among the others of the zone.
const ZONE_SAMPLE: usize = 3;
/// Workers sampled in other zones.
const REMOTE_SAMPLE: usize = 2;
/// Default cost of a zone hop, as a part of a worker's slots.
const HOP_COST: f64 = 0.125;
/// Cost of a worker that another instance owns, as a part of its slots: less than one request on
/// most workers, so that it only decides between equal loads.
const FOREIGN_COST: f64 = 0.03;
/// Load of a worker, over the mean, up to which affinity is followed.
const AFFINITY_RATIO: f64 = 1.25;
/// Requests over the mean load up to which affinity is followed.
const AFFINITY_MARGIN: f64 = 1.0;

/// What an online request needs.
#[derive(Debug, Clone, Copy)]
pub struct RouteRequest<'a> {
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

/// A choice with what is known of the prompt on the chosen worker.
#[derive(Debug, Clone)]
pub struct Placement<'a> {
    /// The choice.
    pub choice: Choice<'a>,
    /// Blocks of the prompt that the worker is not known to hold.
    pub uncached: usize,
}

/// Workers of one model: own ones, then others of the zone, then those of other zones.
#[derive(Debug)]
struct Pool {
    list: Vec<Candidate>,
    /// End of the own workers in the list.
    own: usize,
    /// End of the workers of the own zone in the list.
    zone: usize,
    places: Map<WorkerId, usize>,
    /// Places of workers with room.
    free: Arc<FreeIndex>,
}

/// Chooses workers; built for each view and read by all traffic threads.
#[derive(Debug)]
pub struct Router {
    models: Map<ModelId, Pool>,
    affinity: Arc<Mutex<Affinity>>,
    hop: f64,
}

impl Default for Router {
    fn default() -> Self {
        Self {
            models: Map::default(),
            affinity: Arc::default(),
            hop: HOP_COST,
        }
    }
}

impl Router {
    /// Builds the router of a view, for an entry instance in `zone`. The counts of the table keep the
    /// index of the router that was built last; earlier ones find room by their samples only.
    pub fn build(view: &View, table: &WorkerTable, me: &InstanceId, zone: &Zone) -> Self {
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
            .map(|(m, list)| (m, Pool::new(list, me, zone)))
            .collect();
        Self {
            models,
            affinity: table.affinity(),
            hop: HOP_COST,
        }
    }

    /// Sets the cost of a zone hop, as a part of a worker's slots.
    pub fn with_hop_cost(mut self, cost: f64) -> Self {
        self.hop = cost;
        self
    }

    /// Searches all workers for one with room, those of the own zone first, from a random place on.
    pub fn search(&self, ask: &RouteRequest<'_>, rng: &mut fastrand::Rng) -> Option<&Candidate> {
        self.models.get(ask.model)?.search(ask, rng)
    }

    /// Chooses a worker for a request. The cost does not grow with the number of workers, unless
    /// the sampled ones have no room; then it grows with its logarithm.
    pub fn choose(
        &self,
        ask: &RouteRequest<'_>,
        rng: &mut fastrand::Rng,
        now: Duration,
    ) -> Choice<'_> {
        self.place(ask, rng, now).choice
    }

    /// Chooses a worker for a request and tells how much of the prompt it has to compute.
    pub fn place(
        &self,
        ask: &RouteRequest<'_>,
        rng: &mut fastrand::Rng,
        now: Duration,
    ) -> Placement<'_> {
        let choice = self.pick(ask, rng);
        let mut uncached = 0;
        if let Choice::Worker(chosen) = &choice
            && !ask.blocks.is_empty()
        {
            let mut affinity = self.lock();
            uncached = ask.blocks.len() - affinity.depth(ask.blocks, &chosen.info.id);
            affinity.sent(ask.blocks, &chosen.info.id, now);
        }
        Placement { choice, uncached }
    }

    fn pick(&self, ask: &RouteRequest<'_>, rng: &mut fastrand::Rng) -> Choice<'_> {
        let Some(pool) = self.models.get(ask.model) else {
            return Choice::NoWorker;
        };
        if pool.exhausted(ask) {
            return Choice::NoWorker;
        }
        let sample = self.sample(pool, ask, rng);
        let chosen = self
            .holder(pool, ask, &sample)
            .or(sample.best)
            .or_else(|| pool.search(ask, rng));
        chosen.map_or(Choice::Full, Choice::Worker)
    }

    /// Samples own workers, the zone and the other zones, and finds the one of least cost.
    fn sample<'a>(
        &self,
        pool: &'a Pool,
        ask: &RouteRequest<'_>,
        rng: &mut fastrand::Rng,
    ) -> Sample<'a> {
        let mut sample = Sample::default();
        for i in picks(rng, 0, pool.own, OWN_SAMPLE) {
            sample.add(&pool.list[i], ask, 0.0);
        }
        for i in picks(rng, pool.own, pool.zone, ZONE_SAMPLE) {
            sample.add(&pool.list[i], ask, FOREIGN_COST);
        }
        for i in picks(rng, pool.zone, pool.list.len(), REMOTE_SAMPLE) {
            sample.add(&pool.list[i], ask, FOREIGN_COST + self.hop);
        }
        sample
    }

    /// Returns the least loaded worker that holds a prefix of the prompt, when its load is within
    /// the bound of affinity.
    fn holder<'a>(
        &self,
        pool: &'a Pool,
        ask: &RouteRequest<'_>,
        sample: &Sample<'_>,
    ) -> Option<&'a Candidate> {
        if ask.blocks.is_empty() {
            return None;
        }
        let bound = sample.mean()? * AFFINITY_RATIO + AFFINITY_MARGIN;
        let holders = self.lock().holders(ask.blocks);
        let places = holders.iter().filter_map(|h| pool.places.get(&h.worker));
        places
            .filter(|&&i| i < pool.zone)
            .map(|&i| &pool.list[i])
            .filter(|c| has_room(c, ask) && f64::from(c.cell.load()) <= bound)
            .min_by_key(|c| c.cell.load())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Affinity> {
        lock(&self.affinity)
    }
}

impl Pool {
    fn new(mut list: Vec<Candidate>, me: &InstanceId, zone: &Zone) -> Self {
        let rank = |c: &Candidate| match (&c.info.zone == zone, &c.info.owner) {
            (true, Some(owner)) if owner == me => 0,
            (true, _) => 1,
            (false, _) => 2,
        };
        list.sort_by_key(rank);
        let own = list.partition_point(|c| rank(c) == 0);
        for owned in &list[..own] {
            // The owner counts by notices; what an earlier owner announced is void.
            owned.cell.set_announced(0);
        }
        let free = Arc::new(FreeIndex::new(list.len()));
        for (place, candidate) in list.iter().enumerate() {
            let slots = candidate.info.slots;
            candidate.cell.set_index(free.clone(), place, slots);
        }
        let names = list.iter().map(|c| c.info.id.clone());
        Self {
            own,
            zone: list.partition_point(|c| rank(c) <= 1),
            places: names.zip(0..).collect(),
            free,
            list,
        }
    }

    /// Says whether all workers were tried.
    fn exhausted(&self, ask: &RouteRequest<'_>) -> bool {
        let untried = |c: &Candidate| !ask.tried.contains(&c.info.id);
        // Found at one of the first few places, unless all were tried.
        !self.list.iter().any(untried)
    }

    /// Searches the list for a worker with room, the own zone first.
    fn search(&self, ask: &RouteRequest<'_>, rng: &mut fastrand::Rng) -> Option<&Candidate> {
        let near = self.first_free(0..self.zone, ask, rng);
        near.or_else(|| self.first_free(self.zone..self.list.len(), ask, rng))
    }

    /// Returns the first worker with room from a random place of a range on, round its end.
    fn first_free(
        &self,
        range: Range<usize>,
        ask: &RouteRequest<'_>,
        rng: &mut fastrand::Rng,
    ) -> Option<&Candidate> {
        if range.is_empty() {
            return None;
        }
        let start = rng.usize(range.clone());
        let tail = self.first_between(start, range.end, ask);
        tail.or_else(|| self.first_between(range.start, start, ask))
    }

    /// Returns the first worker with room between two places. The index may be behind a change
    /// that another thread makes, so that the counts of the worker decide.
    fn first_between(&self, from: usize, end: usize, ask: &RouteRequest<'_>) -> Option<&Candidate> {
        let next = |&place: &usize| self.free.first(place + 1, end);
        let places = iter::successors(self.free.first(from, end), next);
        places
            .map(|place| &self.list[place])
            .find(|c| has_room(c, ask))
    }
}

/// Workers looked at for one request.
#[derive(Debug, Default)]
struct Sample<'a> {
    best: Option<&'a Candidate>,
    cost: f64,
    load: u64,
    count: u64,
}

impl<'a> Sample<'a> {
    fn add(&mut self, candidate: &'a Candidate, ask: &RouteRequest<'_>, extra: f64) {
        let load = candidate.cell.load();
        self.load += u64::from(load);
        self.count += 1;
        if !has_room(candidate, ask) {
            return;
        }
        let cost = f64::from(load) / f64::from(candidate.info.slots) + extra;
        if self.best.is_none() || cost < self.cost {
            self.best = Some(candidate);
            self.cost = cost;
        }
    }

    fn mean(&self) -> Option<f64> {
        (self.count > 0).then(|| self.load as f64 / self.count as f64)
    }
}

/// Picks up to `count` distinct places in `low..high`: neighbours in steps from a random place, so
/// that short ranges are covered without repeats.
fn picks(
    rng: &mut fastrand::Rng,
    low: usize,
    high: usize,
    count: usize,
) -> impl Iterator<Item = usize> + use<> {
    let len = high - low;
    let start = if len == 0 { 0 } else { rng.usize(..len) };
    let step = if len <= count { 1 } else { rng.usize(1..len) };
    let taken = if is_spread(len, step, count) { step } else { 1 };
    (0..count.min(len)).map(move |i| low + (start + i * taken) % len)
}

/// Says whether `count` steps of a size through a ring of `len` places meet no place twice.
fn is_spread(len: usize, step: usize, count: usize) -> bool {
    (1..count).all(|i| !(i * step).is_multiple_of(len))
}

fn has_room(candidate: &Candidate, ask: &RouteRequest<'_>) -> bool {
    candidate.cell.load() < candidate.info.slots && !ask.tried.contains(&candidate.info.id)
}
