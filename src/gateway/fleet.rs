//! Workers, the requests that all instances have on them, and the choice of a worker (pure).

use std::{net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    fnv,
    health::Health,
    ids::{InstanceId, Map, ServiceId, Set, WorkerId, Zone},
};

/// Requests more than its slots that a worker is given when all are full: as they wait there for
/// half of a usual objective at most.
const DEPTH: u32 = 1;
/// Slots of a worker that batch items leave free, so that an online request starts at once.
const BATCH_RESERVE: u32 = 1;
/// Requests that a worker of another zone must have less to be chosen, since bytes between zones
/// have a price.
const ZONE_BIAS: u32 = 2;

/// Workers of a zone that accept no connection before the zone counts as cut off.
const CUT_AFTER: usize = 2;
/// Time for which a zone counts as cut off when no instance is heard from it.
const CUT_FOR: Duration = Duration::from_secs(6);

/// Short form of a worker's id in messages between instances.
pub type WorkerKey = u32;

/// A worker of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Worker {
    /// Id of this run of the worker.
    pub id: WorkerId,
    /// Service that it serves.
    pub service: ServiceId,
    /// Address of its interface.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Zone,
    /// Requests that run at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub ready: bool,
}

/// Kind of a request, as the placement sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    /// A caller waits for it.
    Online,
    /// An item of a batch job.
    Batch,
}

/// Requests on a worker.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Level {
    /// Online requests.
    pub online: u32,
    /// Batch items.
    pub batch: u32,
}

impl Level {
    /// Returns the number of all requests.
    pub fn total(self) -> u32 {
        self.online + self.batch
    }

    fn count(&mut self, class: Class) -> &mut u32 {
        match class {
            Class::Online => &mut self.online,
            Class::Batch => &mut self.batch,
        }
    }
}

/// Batch items that wait for room at an instance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Backlog {
    /// Items that can still be in time.
    pub timely: u32,
    /// Items that will be late in any case.
    pub late: u32,
}

/// Whether a batch item can still be in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// It can.
    Timely,
    /// It will be late in any case.
    Late,
}

/// What a request needs.
#[derive(Debug, Clone, Copy)]
pub struct Ask<'a> {
    /// Service that answers it.
    pub service: &'a ServiceId,
    /// Workers that it was sent to already.
    pub tried: &'a [WorkerId],
}

/// Workers and their levels as one instance knows them.
#[derive(Debug)]
pub struct Fleet {
    me: InstanceId,
    zone: Zone,
    workers: Map<WorkerKey, Arc<Worker>>,
    own: Map<WorkerKey, Level>,
    peers: Map<InstanceId, Map<WorkerKey, Level>>,
    backlogs: Map<InstanceId, Backlog>,
    sums: Map<WorkerKey, Level>,
    health: Health,
    cuts: Map<Zone, Cut>,
}

/// What speaks for a cut between this instance and a zone.
#[derive(Debug, Default)]
struct Cut {
    unreached: Set<WorkerId>,
    until: Duration,
}

/// Returns the short form of a worker's id.
pub fn key(id: &str) -> WorkerKey {
    fnv::hash32(id.bytes())
}

impl Fleet {
    /// Builds the state of an instance that knows no workers.
    pub fn new(me: InstanceId, zone: Zone) -> Self {
        Self {
            me,
            zone,
            workers: Map::default(),
            own: Map::default(),
            peers: Map::default(),
            backlogs: Map::default(),
            sums: Map::default(),
            health: Health::default(),
            cuts: Map::default(),
        }
    }

    /// Replaces the list of workers.
    pub fn set_workers(&mut self, workers: impl IntoIterator<Item = Arc<Worker>>) {
        self.workers = workers.into_iter().map(|w| (key(&w.id), w)).collect();
        let known = &self.workers;
        self.health.retain(|t| known.contains_key(&key(t)));
    }

    /// Returns the known workers.
    pub fn workers(&self) -> impl Iterator<Item = &Arc<Worker>> {
        self.workers.values()
    }

    /// Says whether a worker of a service is known that takes requests.
    pub fn serves(&self, service: &ServiceId) -> bool {
        self.workers
            .values()
            .any(|w| w.ready && w.service == *service)
    }

    /// Returns the requests of this instance, by worker.
    pub fn own(&self) -> &Map<WorkerKey, Level> {
        &self.own
    }

    /// Returns the requests of all instances on a worker.
    pub fn level(&self, worker: WorkerKey) -> Level {
        let own = self.own.get(&worker).copied().unwrap_or_default();
        let sum = self.sums.get(&worker).copied().unwrap_or_default();
        Level {
            online: own.online + sum.online,
            batch: own.batch + sum.batch,
        }
    }

    /// Replaces what a peer has on the workers; an empty map for a peer that is gone.
    pub fn set_peer(&mut self, peer: &InstanceId, levels: Map<WorkerKey, Level>) {
        let old = if levels.is_empty() {
            self.peers.remove(peer)
        } else {
            self.peers.insert(peer.clone(), levels.clone())
        };
        for (worker, level) in old.unwrap_or_default() {
            let sum = self.sums.entry(worker).or_default();
            sum.online -= level.online;
            sum.batch -= level.batch;
        }
        for (worker, level) in levels {
            let sum = self.sums.entry(worker).or_default();
            sum.online += level.online;
            sum.batch += level.batch;
        }
        self.sums.retain(|_, l| l.total() > 0);
    }

    /// Sets the batch items that wait at a peer.
    pub fn set_backlog(&mut self, peer: &InstanceId, backlog: Backlog) {
        if backlog == Backlog::default() {
            self.backlogs.remove(peer);
        } else {
            self.backlogs.insert(peer.clone(), backlog);
        }
    }

    /// Counts a request of this instance on a worker.
    pub fn begin(&mut self, worker: WorkerKey, class: Class) {
        *self.own.entry(worker).or_default().count(class) += 1;
    }

    /// Ends a request that was counted before.
    pub fn end(&mut self, worker: WorkerKey, class: Class) {
        if let Some(level) = self.own.get_mut(&worker) {
            let count = level.count(class);
            *count = count.saturating_sub(1);
            if level.total() == 0 {
                self.own.remove(&worker);
            }
        }
    }

    /// Notes that a worker could not be reached, broke or fell silent.
    pub fn failed(&mut self, worker: &WorkerId, now: Duration) -> bool {
        self.health.record_failure(worker, now)
    }

    /// Notes that a worker answers.
    pub fn worked(&mut self, worker: &Worker) {
        self.health.record_success(&worker.id);
        self.cuts.remove(&worker.zone);
    }

    /// Notes that a worker accepted no connection in time. When several of its zone do not, the
    /// whole zone counts as cut off, so that requests do not try its workers one after the other.
    /// Says whether it does.
    pub fn unreachable(&mut self, worker: &Worker, now: Duration) -> bool {
        self.health.record_unreachable(&worker.id, now);
        let cut = self.cuts.entry(worker.zone.clone()).or_default();
        cut.unreached.insert(worker.id.clone());
        if cut.unreached.len() >= CUT_AFTER {
            cut.until = now + CUT_FOR;
        }
        now < cut.until
    }

    /// Notes that no instance of a zone is heard any more.
    pub fn zone_silent(&mut self, zone: &Zone, now: Duration) {
        self.cuts.entry(zone.clone()).or_default().until = now + CUT_FOR;
    }

    /// Notes that an instance of a zone is heard.
    pub fn zone_heard(&mut self, zone: &Zone) {
        self.cuts.remove(zone);
    }

    /// Chooses a worker for an online request; nothing when all are full.
    ///
    /// A free slot comes first, then a slot that a batch item gives up, then a short wait at the
    /// worker. Equal workers are told apart by `rng`, so that instances do not all choose the same.
    pub fn choose_online(
        &mut self,
        ask: &Ask<'_>,
        rng: &mut fastrand::Rng,
        now: Duration,
    ) -> Option<Arc<Worker>> {
        let score = |worker: &Worker, level: Level| {
            let bias = self.bias(worker);
            if level.total() < worker.slots {
                Some((0, level.total() + bias))
            } else if level.online < worker.slots {
                Some((1, level.total() + bias))
            } else if level.online < worker.slots + DEPTH {
                Some((2, level.online + bias))
            } else {
                None
            }
        };
        let chosen = self.best(ask, rng, now, score)?;
        self.health.record_request(&chosen.id, now);
        Some(chosen)
    }

    /// Chooses a worker for a batch item; nothing when none has room beside online requests.
    ///
    /// Instances with waiting items rank each other alike for each worker, and only as many as there
    /// are free places start an item there. Without that all of them take the same place at once
    /// and all but one stop again. Items that will be late in any case come after all others.
    pub fn choose_batch(
        &mut self,
        ask: &Ask<'_>,
        urgency: Urgency,
        rng: &mut fastrand::Rng,
        now: Duration,
    ) -> Option<Arc<Worker>> {
        let score = |worker: &Worker, level: Level| {
            let room = worker.slots.saturating_sub(BATCH_RESERVE);
            let bias = self.bias(worker);
            let before = self.contenders_before(key(&worker.id), urgency);
            (level.total() + before < room).then_some(level.total() + bias)
        };
        let chosen = self.best(ask, rng, now, score)?;
        self.health.record_request(&chosen.id, now);
        Some(chosen)
    }

    /// Returns the number of instances that start a waiting item on a worker before this one.
    fn contenders_before(&self, worker: WorkerKey, urgency: Urgency) -> u32 {
        let mine = rank(&self.me, worker);
        let before = self.backlogs.iter().filter(|(peer, backlog)| {
            let ahead = rank(peer, worker) < mine;
            match urgency {
                Urgency::Timely => backlog.timely > 0 && ahead,
                Urgency::Late => backlog.timely > 0 || ahead,
            }
        });
        before.count() as u32
    }

    fn bias(&self, worker: &Worker) -> u32 {
        if worker.zone == self.zone {
            0
        } else {
            ZONE_BIAS
        }
    }

    fn best<S: Ord>(
        &self,
        ask: &Ask<'_>,
        rng: &mut fastrand::Rng,
        now: Duration,
        score: impl Fn(&Worker, Level) -> Option<S>,
    ) -> Option<Arc<Worker>> {
        let ejected = self.health.ejected(now);
        let fits = |w: &Worker| w.ready && w.service == *ask.service && !ask.tried.contains(&w.id);
        let candidates = self.workers.iter().filter(|(_, w)| fits(w));
        let marked = candidates.filter_map(|(key, worker)| {
            let score = score(worker, self.level(*key))?;
            // With all others full an ejected worker is better than none.
            let cut = self.cuts.get(&worker.zone).is_some_and(|c| now < c.until);
            let out = cut || ejected.contains(&worker.id);
            Some((out, score, rng.u32(..), worker))
        });
        let best = marked.min_by(|a, b| (a.0, &a.1, a.2).cmp(&(b.0, &b.1, b.2)));
        best.map(|(.., worker)| worker.clone())
    }

    /// Returns the workers on which this instance gives up batch items, with their number.
    ///
    /// Where several instances have items on an overfull worker, all of them rank each other the
    /// same way and only the first ones give up what is over.
    pub fn yields(&self) -> Vec<(WorkerKey, u32)> {
        let mut yields = Vec::new();
        for (key, own) in &self.own {
            let Some(worker) = self.workers.get(key) else {
                continue;
            };
            let over = self.level(*key).total().saturating_sub(worker.slots);
            if over == 0 || own.batch == 0 {
                continue;
            }
            let before: u32 = self
                .peers
                .iter()
                .filter(|(peer, _)| rank(peer, *key) < rank(&self.me, *key))
                .filter_map(|(_, levels)| levels.get(key))
                .map(|l| l.batch)
                .sum();
            let count = over.saturating_sub(before).min(own.batch);
            if count > 0 {
                yields.push((*key, count));
            }
        }
        yields
    }
}

fn rank(instance: &str, worker: WorkerKey) -> u64 {
    fnv::extend(
        fnv::OFFSET_BASIS,
        instance.bytes().chain(worker.to_le_bytes()),
    )
}
