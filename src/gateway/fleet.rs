//! Workers, the requests in flight on them from all instances, and worker selection (no I/O).

use std::{net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    capacity::learned::{Capacities, Sample},
    fnv,
    health::Health,
    ids::{InstanceId, Map, ServiceId, Set, SoftwareVersion, WorkerId, Zone},
    load::trouble::{Failure, Kind, Troubles},
};

use super::{
    ended_starts::EndedStarts,
    leaving::{Forgotten, Leaving},
    worker_limits::WorkerLimits,
};

/// Online requests that may queue at a worker whose slots are all taken. A request queued there
/// waits for at most half of a typical objective.
const QUEUE_DEPTH: u32 = 1;
/// Slots of a worker that batch items leave free, so that an online request can start at once.
const ONLINE_RESERVE: u32 = 1;
/// Number of instances up to which a request is placed among all workers where learned speeds are regarded.
const SAMPLED_ALL: usize = 4;
/// Minimum number of workers that it is placed among.
const MIN_SAMPLE: usize = 3;
/// Load penalty, in requests, of a worker in another zone, since traffic between zones is charged.
const ZONE_PENALTY: u32 = 2;
/// Weight of the newest request in the moving average of the time that online requests run; about
/// the last twenty count.
const ONLINE_TIME_WEIGHT: f64 = 0.05;

/// Unreachable workers of a zone after which the whole zone counts as cut off.
const PARTITION_THRESHOLD: usize = 2;
/// Time for which a zone counts as cut off, unless a heartbeat or an answer from it arrives.
const PARTITION_DURATION: Duration = Duration::from_secs(6);

/// Hash of a worker's id, used in messages between instances.
pub type WorkerKey = u32;

/// A worker of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Worker {
    /// Id of this run of the worker.
    pub id: WorkerId,
    /// Service that the worker serves.
    pub service: ServiceId,
    /// Address of its HTTP interface.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Zone,
    /// Version of its software; empty if its entry names none.
    pub version: SoftwareVersion,
    /// Requests that the worker runs concurrently.
    pub slots: u32,
    /// Whether the worker takes new requests.
    pub ready: bool,
    /// Time of its start in ms since the Unix epoch, which tells runs under one id apart.
    pub started: Option<u64>,
    /// Time from which on the worker counts as gone, if the store has no entry of it.
    pub until: Option<Duration>,
}

impl Worker {
    /// Returns whether the worker takes new requests at a time.
    pub fn is_ready(&self, now: Duration) -> bool {
        self.ready && self.until.is_none_or(|t| now < t)
    }
}

/// Class of a request, which decides how it is placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Class {
    /// A request that a caller waits for.
    Online,
    /// An item of a batch job.
    Batch,
}

/// Requests in flight on a worker, by class.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Level {
    /// Online requests.
    pub online: u32,
    /// Batch items.
    pub batch: u32,
}

impl Level {
    /// Returns the number of requests of both classes.
    pub fn total(self) -> u32 {
        self.online + self.batch
    }

    fn count_mut(&mut self, class: Class) -> &mut u32 {
        match class {
            Class::Online => &mut self.online,
            Class::Batch => &mut self.batch,
        }
    }
}

/// Batch items of an instance that wait for a free slot.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Backlog {
    /// Items that can still meet their due time.
    pub timely: u32,
    /// Items that can no longer meet their due time.
    pub late: u32,
}

/// Whether a batch item can still meet its due time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// The item can still meet its due time.
    Timely,
    /// The item can no longer meet its due time.
    Late,
}

/// Constraints on the worker for a request.
#[derive(Debug, Clone, Copy)]
pub struct Requirements<'a> {
    /// Service that the worker must serve.
    pub service: &'a ServiceId,
    /// Workers to leave out, since the request was already sent to them.
    pub tried: &'a [WorkerId],
    /// Version of the software that the worker must have, if a stream goes on or has to be able to.
    pub version: Option<&'a SoftwareVersion>,
}

/// Workers and the requests in flight on them, as known to one instance.
#[derive(Debug)]
pub struct Fleet {
    instance: InstanceId,
    zone: Zone,
    workers: Map<WorkerKey, Arc<Worker>>,
    local: Map<WorkerKey, Level>,
    peer_levels: Map<InstanceId, Map<WorkerKey, Level>>,
    backlogs: Map<InstanceId, Backlog>,
    zones: Map<InstanceId, Zone>,
    peer_totals: Map<WorkerKey, Level>,
    health: Health,
    partitions: Map<Zone, Partition>,
    leaving: Leaving,
    ended_starts: EndedStarts,
    /// Limits that workers announced.
    pub limits: WorkerLimits,
    /// Failures of the last seconds at this instance and its neighbours, if they are shared.
    troubles: Option<Troubles>,
    /// Learned speed of the workers, if placement regards it.
    capacities: Option<Capacities<ServiceId>>,
    far_age: Duration,
    online_time: Option<Duration>,
}

/// What a new list of workers changes.
#[derive(Debug, Default)]
pub struct ListChange {
    /// Workers that were in use and are no more.
    pub withdrawn: Vec<Withdrawn>,
    /// Announcements that no longer hold.
    pub forgotten: Vec<Forgotten>,
}

/// A worker that was in use until a new list.
#[derive(Debug)]
pub struct Withdrawn {
    /// The worker.
    pub worker: Arc<Worker>,
    /// What the list shows.
    pub reason: WithdrawnReason,
    /// Requests of this instance in flight on it.
    pub level: Level,
}

/// Reason why a worker is no longer in use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WithdrawnReason {
    /// The worker drains.
    Draining,
    /// The worker has no entry.
    Gone,
    /// Another run has the id.
    Restarted,
}

impl WithdrawnReason {
    /// Returns the name for the log.
    pub fn name(self) -> &'static str {
        match self {
            Self::Draining => "draining",
            Self::Gone => "gone",
            Self::Restarted => "restarted",
        }
    }
}

/// What an online request takes at a worker, best first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Place {
    /// A slot that is free.
    Free,
    /// A slot that is free, at a worker whose permits are better saved for a burst of requests.
    Reserved,
    /// A slot of the local zone from which a batch item is displaced.
    LocalItem,
    /// A slot of another zone that may have been taken since its level was sent.
    MaybeFree,
    /// A slot of another zone from which a batch item is displaced.
    FarItem,
    /// A slot of a worker in trouble.
    Doubtful,
    /// A position in the queue of the worker.
    Queue,
}

/// Workers that a request regards.
#[derive(Debug, Clone, Copy)]
enum Sampled {
    All,
    /// Those whose hash with a draw is below a bound.
    Some {
        draw: u32,
        below: u32,
    },
}

impl Sampled {
    fn leaves_out(self, worker: &Worker) -> bool {
        match self {
            Self::All => false,
            Self::Some { draw, below } => {
                let hash = fnv::hash32(worker.id.bytes().chain(draw.to_le_bytes()));
                hash > below
            }
        }
    }
}

/// Use of ejected workers and of workers in zones that are cut off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Avoided {
    /// They are used when there is no other, which is better than refusing a request.
    Last,
    /// Ejected ones are tried now and then while all workers are ejected or cut off.
    Tried,
    /// They are not used.
    Never,
}

/// Evidence of a network partition between this instance and a zone.
#[derive(Debug, Default)]
struct Partition {
    unreachable: Set<WorkerId>,
    until: Duration,
    /// Whether the zone sends no heartbeats, and not only some of its workers are out of reach.
    silent: bool,
}

/// Returns a moving average after one more value, which counts with a weight.
pub fn moving_average(mean: Option<Duration>, newest: Duration, weight: f64) -> Duration {
    mean.map_or(newest, |m| m.mul_f64(1.0 - weight) + newest.mul_f64(weight))
}

/// Returns the hash of a worker's id that messages between instances use.
pub fn key(id: &str) -> WorkerKey {
    fnv::hash32(id.bytes())
}

impl Fleet {
    /// Builds the state of an instance without any workers.
    pub fn new(instance: InstanceId, zone: Zone) -> Self {
        Self {
            instance,
            zone,
            workers: Map::default(),
            local: Map::default(),
            peer_levels: Map::default(),
            backlogs: Map::default(),
            zones: Map::default(),
            peer_totals: Map::default(),
            health: Health::default(),
            partitions: Map::default(),
            leaving: Leaving::default(),
            ended_starts: EndedStarts::default(),
            limits: WorkerLimits::default(),
            troubles: None,
            capacities: None,
            far_age: Duration::ZERO,
            online_time: None,
        }
    }

    /// Learns the speed of workers from now on, and places requests by it.
    pub fn learn_capacities(&mut self) {
        self.capacities.get_or_insert_default();
    }

    /// Records the mean time between two events of an answer that came through this instance. `before` are the
    /// requests at the worker when this one began.
    pub fn see_pace(&mut self, worker: &Worker, before: u32, pace: Duration, now: Duration) {
        let key = key(&worker.id);
        // The load changes while an answer is written.
        let load = (before + 1 + self.level(key).total()) / 2;
        let sample = Sample {
            worker: key,
            started: worker.started,
            load: load.max(1),
            pace: u32::try_from(pace.as_micros()).unwrap_or(u32::MAX),
        };
        if let Some(capacities) = &mut self.capacities {
            capacities.see(&worker.service, sample, now);
        }
    }

    /// Records paces of answers that came through another instance.
    pub fn hear_paces(&mut self, samples: &[Sample], now: Duration) {
        let Some(capacities) = &mut self.capacities else {
            return;
        };
        for sample in samples {
            if let Some(worker) = self.workers.get(&sample.worker) {
                capacities.hear(&worker.service, *sample, now);
            }
        }
    }

    /// Returns the paces that were seen here since the last call.
    pub fn take_paces(&mut self) -> Vec<Sample> {
        let capacities = self.capacities.as_mut();
        capacities.map(Capacities::take_news).unwrap_or_default()
    }

    /// Returns the load by which workers are compared: that after one more request, in thousandths, times how
    /// many times as long as usual the worker takes at it. Without learned speeds it grows with the load alone.
    fn weighed_load(&self, worker: &Worker, load: u32, now: Duration) -> u64 {
        let next = load + 1;
        let key = key(&worker.id);
        let slowness = self.capacities.as_ref().map_or(1.0, |c| {
            c.slowness(key, worker.started, self.level(key).total() + 1, now)
        });
        (f64::from(next) * slowness * 1000.0) as u64
    }

    /// Draws the workers that a request is placed among if learned speeds are regarded.
    ///
    /// By counts alone many workers are equal, and chance decides. Learned speeds leave hardly any ties, so that
    /// instances with the same news would all choose the same worker until the next news. Each request therefore
    /// regards some workers only, fewer the more instances send requests.
    fn draw_sample(&self, rng: &mut fastrand::Rng) -> Sampled {
        if self.capacities.is_none() {
            return Sampled::All;
        }
        let workers = self.workers.len().max(1);
        let instances = self.peer_levels.len() + 1;
        let count = (SAMPLED_ALL * workers).div_ceil(instances).max(MIN_SAMPLE);
        let share = (count as f64 / workers as f64).min(1.0);
        Sampled::Some {
            draw: rng.u32(..),
            below: (share * f64::from(u32::MAX)) as u32,
        }
    }

    /// Shares failures of workers with the instances of the zone from now on.
    pub fn share_failures(&mut self) {
        self.troubles.get_or_insert_default();
    }

    /// Returns whether failures of workers are shared.
    pub fn shares_failures(&self) -> bool {
        self.troubles.is_some()
    }

    /// Records a failure of a worker for the instances of the zone.
    pub fn see_failure(&mut self, worker: &WorkerId, kind: Kind, now: Duration) {
        let started = find(&self.workers, worker).and_then(|w| w.started);
        let failure = Failure {
            worker: key(worker),
            started,
            kind,
        };
        if let Some(troubles) = &mut self.troubles {
            troubles.see(failure, now);
        }
    }

    /// Records failures that another instance saw.
    pub fn hear_failures(&mut self, failures: &[Failure], now: Duration) {
        let Some(troubles) = &mut self.troubles else {
            return;
        };
        troubles.expire(now);
        for failure in failures {
            troubles.hear(*failure, now);
        }
    }

    /// Returns the failures that were seen here since the last call.
    pub fn take_failures(&mut self) -> Vec<Failure> {
        let troubles = self.troubles.as_mut();
        troubles.map(Troubles::take_news).unwrap_or_default()
    }

    /// Returns the number of workers in trouble.
    pub fn troubled_count(&self, now: Duration) -> usize {
        self.troubles.as_ref().map_or(0, |t| t.count(now))
    }

    fn is_troubled(&self, worker: &Worker, now: Duration) -> bool {
        let troubles = self.troubles.as_ref();
        troubles.is_some_and(|t| t.is_troubled(key(&worker.id), worker.started, now))
    }

    /// Sets the age that the levels of other zones may have here.
    pub fn set_far_age(&mut self, age: Duration) {
        self.far_age = age;
    }

    /// Adds the time that an online request ran to the average.
    pub fn record_online_time(&mut self, time: Duration) {
        self.online_time = Some(moving_average(self.online_time, time, ONLINE_TIME_WEIGHT));
    }

    /// Returns the peers that run batch items on a worker that has more requests than slots, with
    /// online requests of this instance among them.
    pub fn peers_to_yield(&self) -> Set<InstanceId> {
        let is_full = |key: &WorkerKey| {
            let worker = self.workers.get(key);
            worker.is_some_and(|w| self.level(*key).total() > w.slots)
        };
        let own = self.local.iter().filter(|(_, l)| l.online > 0);
        let full: Vec<WorkerKey> = own.map(|(k, _)| *k).filter(is_full).collect();
        if full.is_empty() {
            return Set::default();
        }
        let runs_items = |levels: &Map<WorkerKey, Level>| {
            full.iter()
                .any(|k| levels.get(k).is_some_and(|l| l.batch > 0))
        };
        let peers = self.peer_levels.iter().filter(|(_, l)| runs_items(l));
        peers.map(|(peer, _)| peer.clone()).collect()
    }

    /// Replaces the list of workers, and returns what changed.
    pub fn set_workers(&mut self, workers: impl IntoIterator<Item = Arc<Worker>>) -> ListChange {
        let workers = workers.into_iter().map(|w| (key(&w.id), w)).collect();
        let old = std::mem::replace(&mut self.workers, workers);
        let withdrawn = old.into_values().filter_map(|w| self.withdrawn(w));
        let withdrawn = withdrawn.collect();
        let known = &self.workers;
        let forgotten = self.leaving.update(|id| find(known, id).map(Arc::as_ref));
        self.ended_starts
            .update(|id| find(known, id).map(Arc::as_ref));
        let leaving = self.workers.values_mut();
        leaving
            .filter(|w| self.leaving.contains(w))
            .for_each(|w| Arc::make_mut(w).ready = false);
        let known = &self.workers;
        self.health.retain(|t| known.contains_key(&key(t)));
        if let Some(capacities) = &mut self.capacities {
            capacities.retain(|worker| known.contains_key(&worker));
        }
        ListChange {
            withdrawn,
            forgotten,
        }
    }

    /// Returns how a worker of the last list was withdrawn, if it was in use and is no more.
    fn withdrawn(&self, old: Arc<Worker>) -> Option<Withdrawn> {
        let reason = match find(&self.workers, &old.id) {
            None => WithdrawnReason::Gone,
            Some(new) if new.started != old.started => WithdrawnReason::Restarted,
            Some(new) if !new.ready => WithdrawnReason::Draining,
            Some(_) => return None,
        };
        let level = self.local.get(&key(&old.id)).copied().unwrap_or_default();
        old.ready.then_some(Withdrawn {
            worker: old,
            reason,
            level,
        })
    }

    /// Records that a worker announced that it leaves, and returns whether that is new. It takes no
    /// new requests from now on, whatever the list says.
    pub fn record_leaving(&mut self, worker: &Worker) -> bool {
        if !self.leaving.record(worker) {
            return false;
        }
        let known = self.workers.get_mut(&key(&worker.id));
        if let Some(known) = known.filter(|w| self.leaving.contains(w)) {
            Arc::make_mut(known).ready = false;
        }
        true
    }

    /// Records that a worker reported another start than the list names. It gets no requests until the list
    /// names another one, or for a short time, as a report may be damaged.
    pub fn record_ended_start(&mut self, worker: &Worker, now: Duration) {
        self.ended_starts.record(worker, now);
    }

    /// Returns the number of workers that announced that they leave.
    pub fn leaving_count(&self) -> usize {
        self.leaving.len()
    }

    /// Returns whether a worker takes new requests.
    pub fn is_ready(&self, worker: &WorkerId, now: Duration) -> bool {
        let worker = self.workers.get(&key(worker));
        worker.is_some_and(|w| w.is_ready(now))
    }

    /// Returns whether a chosen worker still takes new requests, in the same run at the same address.
    pub fn holds(&self, chosen: &Worker, now: Duration) -> bool {
        let worker = find(&self.workers, &chosen.id);
        worker.is_some_and(|w| {
            w.is_ready(now) && w.started == chosen.started && w.address == chosen.address
        })
    }

    /// Returns all workers.
    pub fn workers(&self) -> impl Iterator<Item = &Arc<Worker>> {
        self.workers.values()
    }

    /// Returns whether any worker of a service takes requests; with a version, one of that version.
    pub fn has_ready_worker(
        &self,
        service: &ServiceId,
        version: Option<&SoftwareVersion>,
        now: Duration,
    ) -> bool {
        self.has_candidate(
            &Requirements {
                service,
                tried: &[],
                version,
            },
            now,
        )
    }

    /// Returns whether a worker may serve a request, however full it is.
    pub fn has_candidate(&self, requirements: &Requirements<'_>, now: Duration) -> bool {
        self.candidates(requirements, now).next().is_some()
    }

    /// Returns the requests in flight from this instance, by worker.
    pub fn local_levels(&self) -> &Map<WorkerKey, Level> {
        &self.local
    }

    /// Returns the requests in flight on a worker from all instances.
    pub fn level(&self, worker: WorkerKey) -> Level {
        let local = self.local.get(&worker).copied().unwrap_or_default();
        let sum = self.peer_totals.get(&worker).copied().unwrap_or_default();
        Level {
            online: local.online + sum.online,
            batch: local.batch + sum.batch,
        }
    }

    /// Replaces the requests in flight from a peer. The map is empty for a peer that is gone.
    pub fn set_peer(&mut self, peer: &InstanceId, levels: Map<WorkerKey, Level>) {
        for (worker, level) in &levels {
            let sum = self.peer_totals.entry(*worker).or_default();
            sum.online += level.online;
            sum.batch += level.batch;
        }
        let old = if levels.is_empty() {
            self.peer_levels.remove(peer)
        } else {
            self.peer_levels.insert(peer.clone(), levels)
        };
        for (worker, level) in old.unwrap_or_default() {
            let sum = self.peer_totals.entry(worker).or_default();
            sum.online -= level.online;
            sum.batch -= level.batch;
            if sum.total() == 0 {
                self.peer_totals.remove(&worker);
            }
        }
    }

    /// Sets the zone of a peer. One without a zone counts as in the zone of each worker.
    pub fn set_zone(&mut self, peer: &InstanceId, zone: Option<Zone>) {
        match zone {
            Some(zone) => self.zones.insert(peer.clone(), zone),
            None => self.zones.remove(peer),
        };
    }

    /// Sets the number of batch items that wait at a peer.
    pub fn set_backlog(&mut self, peer: &InstanceId, backlog: Backlog) {
        if backlog == Backlog::default() {
            self.backlogs.remove(peer);
        } else {
            self.backlogs.insert(peer.clone(), backlog);
        }
    }

    /// Counts a request of this instance as in flight on a worker.
    pub fn start_request(&mut self, worker: WorkerKey, class: Class) {
        *self.local.entry(worker).or_default().count_mut(class) += 1;
    }

    /// Removes a request that `start_request` counted.
    pub fn finish_request(&mut self, worker: WorkerKey, class: Class) {
        if let Some(level) = self.local.get_mut(&worker) {
            let count = level.count_mut(class);
            *count = count.saturating_sub(1);
            if level.total() == 0 {
                self.local.remove(&worker);
            }
        }
    }

    /// Records that a worker could not be reached, broke a connection or timed out, and returns
    /// whether it is ejected.
    pub fn record_failure(&mut self, worker: &WorkerId, now: Duration) -> bool {
        self.see_failure(worker, Kind::Failed, now);
        self.health.record_failure(worker, now)
    }

    /// Records that a worker answered a request at a time.
    pub fn record_answer(&mut self, worker: &Worker, now: Duration) {
        if let Some(troubles) = &mut self.troubles {
            troubles.record_answer(key(&worker.id), now);
        }
    }

    /// Records that a worker answered, which also ends the partition of its zone.
    pub fn record_success(&mut self, worker: &Worker) {
        self.health.record_success(&worker.id);
        self.partitions.remove(&worker.zone);
    }

    /// Records that a worker accepted no connection in time, and returns whether its zone now
    /// counts as cut off. A zone is cut off once several of its workers are unreachable, so that
    /// requests do not wait for one connect timeout after another.
    pub fn record_unreachable(&mut self, worker: &Worker, now: Duration) -> bool {
        self.health.record_unreachable(&worker.id, now);
        self.see_failure(&worker.id, Kind::Refused, now);
        let partition = self.partitions.entry(worker.zone.clone()).or_default();
        partition.unreachable.insert(worker.id.clone());
        if partition.unreachable.len() >= PARTITION_THRESHOLD {
            partition.until = now + PARTITION_DURATION;
        }
        now < partition.until
    }

    /// Forgets failures of workers, as those of the links of this instance explain them.
    pub fn forgive_workers(&mut self) {
        self.health = Health::default();
        self.partitions.retain(|_, p| p.silent);
    }

    /// Returns some workers that take requests, those that are not ejected first: two of the local zone and
    /// one of each other zone, so that a cut between zones differs from one from all workers, and further
    /// ones up to `count`.
    pub fn sample_workers(
        &self,
        count: usize,
        except: Option<&WorkerId>,
        rng: &mut fastrand::Rng,
        now: Duration,
    ) -> Vec<Arc<Worker>> {
        let ejected = self.health.ejected(now);
        let ready = self.workers.values().filter(|w| w.is_ready(now));
        let others = ready.filter(|w| Some(&w.id) != except);
        let mut workers: Vec<Arc<Worker>> = others.cloned().collect();
        rng.shuffle(&mut workers);
        workers.sort_by_key(|w| ejected.contains(&w.id));
        let mut seen: Map<&Zone, usize> = Map::default();
        let (mut sample, mut rest) = (Vec::new(), Vec::new());
        for worker in &workers {
            let number = seen.entry(&worker.zone).or_default();
            *number += 1;
            let needed = if worker.zone == self.zone { 2 } else { 1 };
            if *number <= needed {
                sample.push(worker.clone());
            } else {
                rest.push(worker.clone());
            }
        }
        let missing = count.saturating_sub(sample.len());
        sample.extend(rest.into_iter().take(missing));
        sample
    }

    /// Records that no instance of a zone sends heartbeats any more.
    pub fn mark_zone_unreachable(&mut self, zone: &Zone, now: Duration) {
        let partition = self.partitions.entry(zone.clone()).or_default();
        partition.until = now + PARTITION_DURATION;
        partition.silent = true;
    }

    /// Records that a heartbeat from a zone arrived. If the zone was silent, its workers that could
    /// not be reached are used again: the partition explains the failures.
    pub fn mark_zone_reachable(&mut self, zone: &Zone) {
        let Some(partition) = self.partitions.remove(zone) else {
            return;
        };
        if partition.silent {
            for worker in &partition.unreachable {
                self.health.record_success(worker);
            }
        }
    }

    /// Chooses a worker for an online request, or returns `None` when all are full.
    ///
    /// Prefers a free slot, then a slot from which a batch item can be displaced, then queueing at
    /// the worker. A slot of another zone counts as free only beyond those that may have been taken
    /// since; otherwise it comes after the displacement of an item in the local zone, which is known
    /// exactly. Ties are broken by `rng`, so that instances do not all choose the same worker.
    ///
    /// Answers steps of the traffic in a fleet of many instances: levels of other zones are some
    /// hundred milliseconds old, so that requests met there at slots that only seemed free.
    pub fn choose_online(
        &mut self,
        requirements: &Requirements<'_>,
        rng: &mut fastrand::Rng,
        now: Duration,
    ) -> Option<Arc<Worker>> {
        let sample = self.draw_sample(rng);
        let score = |worker: &Worker, level: Level| {
            let zone_penalty = self.zone_penalty(worker);
            let place = self.online_place(worker, level, now)?;
            let place = match place {
                Place::Queue => place,
                _ if self.is_troubled(worker, now) => Place::Doubtful,
                _ => place,
            };
            let load = match place {
                Place::Queue => level.online,
                _ => level.total(),
            };
            let load = self.weighed_load(worker, load + zone_penalty, now);
            Some((place, sample.leaves_out(worker), load))
        };
        let chosen =
            self.choose_best(requirements, Class::Online, Avoided::Last, rng, now, score)?;
        self.record_chosen(&chosen, now);
        Some(chosen)
    }

    /// Chooses a worker with a free slot for an online request that already runs at another worker,
    /// or returns `None` when there is none.
    pub fn choose_spare(
        &mut self,
        requirements: &Requirements<'_>,
        rng: &mut fastrand::Rng,
        now: Duration,
    ) -> Option<Arc<Worker>> {
        let score = |worker: &Worker, level: Level| {
            let place = self.online_place(worker, level, now)?;
            let load = level.total() + self.zone_penalty(worker);
            let load = self.weighed_load(worker, load, now);
            let is_sound = place != Place::Queue && !self.is_troubled(worker, now);
            is_sound.then_some((place, load))
        };
        let chosen =
            self.choose_best(requirements, Class::Online, Avoided::Never, rng, now, score)?;
        self.record_chosen(&chosen, now);
        Some(chosen)
    }

    /// Chooses a certain worker for an online request that it ran already, or returns `None` when it has
    /// no free slot.
    pub fn choose_again(&mut self, chosen: &Worker, now: Duration) -> Option<Arc<Worker>> {
        let worker = find(&self.workers, &chosen.id)?.clone();
        let is_free = self.level(key(&worker.id)).total() < worker.slots;
        let is_open = self.holds(chosen, now) && self.limits.may_send(&worker, Class::Online, now);
        if !is_free || !is_open {
            return None;
        }
        self.record_chosen(&worker, now);
        Some(worker)
    }

    /// Chooses a worker for a batch item, or returns `None` when none has capacity beside online
    /// requests.
    ///
    /// An item waits rather than start on a worker that is ejected or in a zone that is cut off.
    /// There, it would find a free slot again and again, and fail each time. While there is no other
    /// worker, items try the ejected ones, one a second each: no online request may come that shows
    /// that they answer again. In another zone it leaves
    /// free what online requests there may have taken since, as it would have to yield at once, and
    /// the yield would be late.
    ///
    /// All instances with waiting items compute the same ranking per worker, and only as many of
    /// them as there are free slots start an item there. Without the ranking all of them would take
    /// the same slot at once and all but one would have to yield. Instances of other zones count only
    /// for as many slots as they do not leave free. Items that can no longer meet their due time come
    /// last.
    pub fn choose_batch(
        &mut self,
        requirements: &Requirements<'_>,
        urgency: Urgency,
        rng: &mut fastrand::Rng,
        now: Duration,
    ) -> Option<Arc<Worker>> {
        let score = |worker: &Worker, level: Level| {
            let reserve = ONLINE_RESERVE + self.uncertain_slots(worker, level);
            let capacity = worker.slots.saturating_sub(reserve);
            let free = capacity.checked_sub(level.total() + 1)?;
            let before = self.higher_ranked(worker, level, urgency, free, now);
            let load = level.total() + self.zone_penalty(worker);
            let load = self.weighed_load(worker, load, now);
            // An item takes a slot for long: at a limited worker it takes none that online requests
            // need.
            let is_sound = !self.is_troubled(worker, now);
            (before <= free).then(|| (!is_sound, !self.limits.is_limited(worker), load))
        };
        let chosen =
            self.choose_best(requirements, Class::Batch, Avoided::Tried, rng, now, score)?;
        self.record_chosen(&chosen, now);
        Some(chosen)
    }

    fn record_chosen(&mut self, worker: &Worker, now: Duration) {
        self.health.record_request(&worker.id, now);
        self.limits.record_sent(worker, now);
    }

    /// Returns the workers that may serve a request, however full they are.
    fn candidates<'a>(
        &'a self,
        requirements: &'a Requirements<'_>,
        now: Duration,
    ) -> impl Iterator<Item = (&'a WorkerKey, &'a Arc<Worker>)> {
        self.workers.iter().filter(move |(_, w)| {
            let is_usable = w.is_ready(now) && !self.ended_starts.contains(w, now);
            let serves = is_usable && w.service == *requirements.service;
            let fits = requirements.version.is_none_or(|v| w.version == *v);
            serves && fits && !requirements.tried.contains(&w.id)
        })
    }

    /// Returns the slots of the workers of a service that take requests, by version.
    pub fn slots_by_version(&self, now: Duration) -> Map<ServiceId, Map<SoftwareVersion, u32>> {
        let mut slots: Map<ServiceId, Map<SoftwareVersion, u32>> = Map::default();
        for worker in self.workers.values().filter(|w| w.is_ready(now)) {
            let versions = slots.entry(worker.service.clone()).or_default();
            *versions.entry(worker.version.clone()).or_default() += worker.slots;
        }
        slots
    }

    /// Returns whether an online request has a chance to be placed within a time, by the versions and
    /// limits of the workers.
    pub fn may_place(
        &self,
        requirements: &Requirements<'_>,
        max_wait: Duration,
        now: Duration,
    ) -> bool {
        let mut candidates = self.candidates(requirements, now).peekable();
        // An instance that has just started may not have read the list yet.
        let is_unknown = candidates.peek().is_none()
            && (requirements.version.is_none()
                || !self.has_ready_worker(requirements.service, None, now));
        is_unknown
            || candidates.any(|(_, w)| match self.limits.wait(w, Class::Online, now) {
                Some(wait) => wait <= max_wait,
                None => self.limits.may_ask(w, now) || self.limits.is_asked(w, now),
            })
    }

    /// Returns limited workers with a free slot whose leader is to be asked for a permit, so that the
    /// answers of a number of leaders are on their way.
    pub fn workers_to_ask(
        &self,
        requirements: &Requirements<'_>,
        count: usize,
        rng: &mut fastrand::Rng,
        now: Duration,
    ) -> Vec<Arc<Worker>> {
        let ejected = self.health.ejected(now);
        let candidates: Vec<_> = self.candidates(requirements, now).collect();
        let asked = candidates
            .iter()
            .filter(|(_, w)| self.limits.is_asked(w, now));
        let missing = count.saturating_sub(asked.count());
        let is_open = |key: &WorkerKey, w: &Worker| {
            self.limits.may_ask(w, now)
                && self.level(*key).total() < w.slots
                && !self.is_cut_off(&w.zone, now)
                && !ejected.contains(&w.id)
        };
        let open = candidates.into_iter().filter(|(key, w)| is_open(key, w));
        let mut open: Vec<_> = open
            .map(|(_, w)| (w.zone != self.zone, rng.u32(..), w))
            .collect();
        open.sort_by_key(|(is_far, random, _)| (*is_far, *random));
        let chosen = open.into_iter().take(missing);
        chosen.map(|(.., worker)| worker.clone()).collect()
    }

    /// Forgets limits of which there was no news for long.
    pub fn expire_limits(&mut self, now: Duration) {
        let known = &self.workers;
        self.limits
            .expire(|id| find(known, id).map(Arc::as_ref), now);
    }

    /// Returns a worker of the list.
    pub fn worker(&self, id: &WorkerId) -> Option<&Arc<Worker>> {
        find(&self.workers, id)
    }

    /// Returns the number of instances that start a waiting item on a worker before this one, counted
    /// up to one more than `most`.
    fn higher_ranked(
        &self,
        worker: &Worker,
        level: Level,
        urgency: Urgency,
        most: u32,
        now: Duration,
    ) -> u32 {
        let key = key(&worker.id);
        let own_rank = rank(&self.instance, key);
        let mut far_slots = worker
            .slots
            .saturating_sub(ONLINE_RESERVE + self.turnover(level) + level.total());
        let before = self.backlogs.iter().filter(|(peer, backlog)| {
            let far_zone = self.zones.get(*peer).filter(|z| **z != worker.zone);
            if far_zone.is_some_and(|z| far_slots == 0 || self.is_cut_off(z, now)) {
                return false;
            }
            let is_ahead = || rank(peer, key) < own_rank;
            let starts = match urgency {
                Urgency::Timely => backlog.timely > 0 && is_ahead(),
                Urgency::Late => backlog.timely > 0 || is_ahead(),
            };
            if starts && far_zone.is_some() {
                far_slots -= 1;
            }
            starts
        });
        before.take(most as usize + 1).count() as u32
    }

    /// Returns what an online request would take at a worker, or `None` when it is full.
    fn online_place(&self, worker: &Worker, level: Level, now: Duration) -> Option<Place> {
        let is_local = worker.zone == self.zone;
        let total = level.total();
        if total + self.uncertain_slots(worker, level) < worker.slots {
            if self.limits.is_scarce(worker, now) {
                Some(Place::Reserved)
            } else {
                Some(Place::Free)
            }
        } else if total < worker.slots {
            Some(Place::MaybeFree)
        } else if level.online < worker.slots && is_local {
            Some(Place::LocalItem)
        } else if level.online < worker.slots {
            Some(Place::FarItem)
        } else if level.online < worker.slots + QUEUE_DEPTH {
            Some(Place::Queue)
        } else {
            None
        }
    }

    /// Returns the number of slots of a worker that online requests may have taken since its level
    /// was sent: as many as ended in that time at a steady load. In the local zone levels are new.
    fn uncertain_slots(&self, worker: &Worker, level: Level) -> u32 {
        if worker.zone == self.zone {
            0
        } else {
            self.turnover(level)
        }
    }

    /// Returns the number of online requests that end at a level in the time that it takes to other
    /// zones.
    fn turnover(&self, level: Level) -> u32 {
        let Some(time) = self.online_time.filter(|t| !t.is_zero()) else {
            return 0;
        };
        let turnover = self.far_age.as_secs_f64() / time.as_secs_f64();
        (f64::from(level.online) * turnover.min(1.0)).ceil() as u32
    }

    fn is_cut_off(&self, zone: &Zone, now: Duration) -> bool {
        let partition = self.partitions.get(zone);
        partition.is_some_and(|p| now < p.until)
    }

    fn zone_penalty(&self, worker: &Worker) -> u32 {
        if worker.zone == self.zone {
            0
        } else {
            ZONE_PENALTY
        }
    }

    fn choose_best<S: Ord>(
        &self,
        requirements: &Requirements<'_>,
        class: Class,
        avoided: Avoided,
        rng: &mut fastrand::Rng,
        now: Duration,
        score: impl Fn(&Worker, Level) -> Option<S>,
    ) -> Option<Arc<Worker>> {
        let ejected = self.health.ejected(now);
        let is_avoided = |w: &Worker| self.is_cut_off(&w.zone, now) || ejected.contains(&w.id);
        let may_try = avoided == Avoided::Tried
            && self
                .candidates(requirements, now)
                .all(|(_, w)| is_avoided(w));
        let candidates = self.candidates(requirements, now);
        let permitted = candidates.filter(|(_, w)| self.limits.may_send(w, class, now));
        let ranked = permitted.filter_map(|(key, worker)| {
            let score = score(worker, self.level(*key))?;
            let comes_last = is_avoided(worker);
            let may_use = match avoided {
                _ if !comes_last => true,
                Avoided::Last => true,
                Avoided::Tried => {
                    may_try
                        && !self.is_cut_off(&worker.zone, now)
                        && self.health.may_try(&worker.id, now)
                }
                Avoided::Never => false,
            };
            if !may_use {
                return None;
            }
            Some((comes_last, score, rng.u32(..), worker))
        });
        let best = ranked.min_by(|a, b| (a.0, &a.1, a.2).cmp(&(b.0, &b.1, b.2)));
        best.map(|(.., worker)| worker.clone())
    }

    /// Returns how many batch items this instance must preempt, by worker.
    ///
    /// When several instances have items on an overloaded worker, all of them compute the same
    /// ranking, and only the first ones yield until the excess is gone.
    pub fn required_yields(&self) -> Vec<(WorkerKey, u32)> {
        let mut yields = Vec::new();
        for (key, local) in &self.local {
            let Some(worker) = self.workers.get(key) else {
                continue;
            };
            let excess = self.level(*key).total().saturating_sub(worker.slots);
            if excess == 0 || local.batch == 0 {
                continue;
            }
            let before: u32 = self
                .peer_levels
                .iter()
                .filter(|(peer, _)| rank(peer, *key) < rank(&self.instance, *key))
                .filter_map(|(_, levels)| levels.get(key))
                .map(|l| l.batch)
                .sum();
            let count = excess.saturating_sub(before).min(local.batch);
            if count > 0 {
                yields.push((*key, count));
            }
        }
        yields
    }
}

/// Returns the worker with an id; ids may share a key.
fn find<'a>(workers: &'a Map<WorkerKey, Arc<Worker>>, id: &WorkerId) -> Option<&'a Arc<Worker>> {
    workers.get(&key(id)).filter(|w| w.id == *id)
}

fn rank(instance: &str, worker: WorkerKey) -> u64 {
    fnv::extend(
        fnv::OFFSET_BASIS,
        instance.bytes().chain(worker.to_le_bytes()),
    )
}
