//! Fleet in virtual time: an event queue and the state that events change.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};

use fastrand::Rng;
use gentianpath::workers::Load;

use crate::{
    MILLI, Micros,
    batch::BatchRun,
    engine::{Engine, Output, SLOTS},
    entry::{Entry, owners, worker_info},
    jobs::{Job, waiting},
    online::Online,
    policy::{Deployment, Policy, Sharing},
    trace::{FAULT_END, FAULT_START, Kind, Request},
};

/// Delay between an entry instance and a worker or peer of its zone, one way.
pub const ZONE_DELAY: Micros = 250;
/// Interval of load reports and digests.
const REPORT_INTERVAL: Micros = 500 * MILLI;
/// Age of a load report when it arrives.
const REPORT_LAG: Micros = 100 * MILLI;
/// Interval at which an owner checks a worker for free capacity, in addition to events.
const FILL_INTERVAL: Micros = 50 * MILLI;
/// Lag of cache events.
const CACHE_LAG: Micros = 300 * MILLI;
/// Fraction of the cache events that is lost.
const CACHE_LOSS: f64 = 0.1;
/// Running and waiting requests in a frozen report of an overload.
const FROZEN_HIGH: (u32, u32) = (SLOTS, SLOTS / 2);
/// Running and waiting requests in a frozen report of an idle moment.
const FROZEN_LOW: (u32, u32) = (0, 0);
/// Bit that marks the ids of batch streams.
pub const BATCH_BIT: u64 = 1 << 63;

/// Event of the simulation. Numbers identify entry instances, workers, requests and streams.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Event {
    /// A request arrives, or retries after waiting for a worker.
    Dispatch(usize),
    /// A stream reaches its worker.
    Admit(usize, u64),
    /// An iteration of a worker ends; the second number is the epoch of the worker.
    Iteration(usize, u32),
    /// An entry instance receives the first token of an attempt.
    FirstToken(u64),
    /// An entry instance receives the end of an attempt.
    Ended(u64),
    /// An entry instance sends its level to the owner of a worker.
    SendLevel(usize, usize),
    /// A level of an entry instance arrives at the owner; the last number is the time of its cause.
    Level(usize, usize, u32, Micros),
    /// An owner receives an update of a batch stream.
    Batch(usize, u64, BatchUpdate),
    /// A cancel order arrives at a worker; the last number is the time of its cause.
    Cancel(usize, u64, Micros),
    /// A worker creates a load report.
    Report(usize),
    /// A load report arrives.
    ReportArrived(usize, u32, u32),
    /// Cache events of a worker arrive.
    Cache(usize, u64),
    /// An owner checks a worker for free capacity.
    Fill(usize),
    /// A fault starts or ends.
    Fault(bool),
    /// The entry instances detect the start or end of a fault.
    Detected(bool),
}

/// Update of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum BatchUpdate {
    /// Its first token arrived.
    First,
    /// It is complete.
    Done,
    /// It stopped after this many tokens.
    Stopped(u32),
}

/// Figures of a run.
#[derive(Debug, Default)]
pub struct Tally {
    /// Times to first token.
    pub first: Vec<Micros>,
    /// Mean times between tokens of each online request.
    pub between: Vec<Micros>,
    /// Times from the arrival of an online request to a cancel order that it caused.
    pub yields: Vec<Micros>,
    /// Online requests refused because no worker had free capacity.
    pub refused: u64,
    /// Online requests that broke off or used up their attempts.
    pub broken: u64,
}

/// The fleet.
#[derive(Debug)]
pub struct Fleet {
    pub(crate) deployment: Deployment,
    pub(crate) policy: Policy,
    pub(crate) kind: Kind,
    pub(crate) length: Micros,
    pub(crate) now: Micros,
    pub(crate) cut: bool,
    pub(crate) dead: bool,
    pub(crate) engines: Vec<Engine>,
    pub(crate) entries: Vec<Entry>,
    pub(crate) owners: Vec<usize>,
    pub(crate) online: Vec<Online>,
    pub(crate) runs: Vec<Vec<BatchRun>>,
    pub(crate) next_batch: u64,
    /// Levels that are not sent yet, by entry and worker, with the time of the first rise, if any.
    pub(crate) pending_levels: BTreeMap<(usize, usize), Option<Micros>>,
    pub(crate) rng: Rng,
    queue: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    sequence: u64,
    cache: BTreeMap<u64, Vec<gentianpath::affinity::CacheEvent>>,
    /// Batch jobs.
    pub jobs: Vec<Job>,
    /// Figures.
    pub tally: Tally,
}

impl Fleet {
    /// Creates a fleet with its requests and jobs.
    pub fn new(
        deployment: Deployment,
        policy: Policy,
        kind: Kind,
        length: Micros,
        requests: &[Request],
        jobs: Vec<Job>,
        seed: u64,
    ) -> Self {
        let weight = match policy.sharing {
            Sharing::Admission(weight) => weight,
            _ => 0.0,
        };
        let slots = online_slots(policy);
        let entry = |e| Entry::new(e, &deployment, weight, slots, seed);
        let mut fleet = Self {
            deployment,
            policy,
            kind,
            length,
            now: 0,
            cut: false,
            dead: false,
            engines: (0..deployment.workers).map(|_| Engine::default()).collect(),
            entries: (0..deployment.entries).map(entry).collect(),
            owners: owners(&deployment),
            online: requests.iter().copied().map(Online::new).collect(),
            runs: (0..deployment.workers).map(|_| Vec::new()).collect(),
            next_batch: BATCH_BIT,
            pending_levels: BTreeMap::new(),
            rng: Rng::with_seed(seed),
            queue: BinaryHeap::new(),
            sequence: 0,
            cache: BTreeMap::new(),
            jobs,
            tally: Tally::default(),
        };
        for entry in &mut fleet.entries {
            let jobs = fleet.jobs.iter().map(waiting);
            jobs.for_each(|job| entry.schedule.put(job));
        }
        fleet.prepare();
        fleet
    }

    /// Runs the simulation to the end of the trace.
    pub fn run(&mut self) {
        while let Some(Reverse((at, _, event))) = self.queue.pop() {
            if at > self.length {
                break;
            }
            self.now = at;
            self.handle(event);
        }
    }

    /// Returns the engines.
    pub fn engines(&self) -> &[Engine] {
        &self.engines
    }

    /// Returns the virtual time as a duration, for the decision code.
    pub(crate) fn time(&self) -> Duration {
        Duration::from_micros(self.now)
    }

    /// Queues an event after a delay.
    pub(crate) fn after(&mut self, delay: Micros, event: Event) {
        self.sequence += 1;
        let at = self.now + delay;
        self.queue.push(Reverse((at, self.sequence, event)));
    }

    /// Returns the zone of a worker.
    pub(crate) fn zone(&self, worker: usize) -> usize {
        worker % self.deployment.zones
    }

    /// Returns the delay between two zones, one way.
    pub(crate) fn delay(&self, a: usize, b: usize) -> Micros {
        if a == b {
            ZONE_DELAY
        } else {
            self.deployment.hop
        }
    }

    /// Returns whether two zones can reach each other; a cut separates zone 0 from the others.
    pub(crate) fn is_reachable(&self, a: usize, b: usize) -> bool {
        !self.cut || (a == 0) == (b == 0)
    }

    /// Starts an iteration of a worker unless one is in progress.
    pub(crate) fn start_iteration(&mut self, worker: usize) {
        let engine = &mut self.engines[worker];
        if engine.busy {
            return;
        }
        if let Some(duration) = engine.begin() {
            let epoch = engine.epoch;
            self.after(duration, Event::Iteration(worker, epoch));
        }
    }

    /// Updates the router of each entry instance with the workers that it can reach.
    pub(crate) fn publish(&mut self, dead: bool, cut: bool) {
        let zones = self.deployment.zones;
        let slots = online_slots(self.policy);
        for entry in &mut self.entries {
            let reached = |w: &usize| !cut || w.is_multiple_of(zones) == (entry.zone == 0);
            let numbers = (0..self.deployment.workers).filter(|w| !(dead && *w == 0));
            let infos = numbers
                .filter(reached)
                .map(|w| worker_info(w, w % zones, slots, self.owners[w]));
            let infos = infos.collect();
            entry.publish(infos);
        }
    }

    fn prepare(&mut self) {
        self.publish(false, false);
        let arrivals: Vec<_> = self.online.iter().map(|o| o.request.at).collect();
        for (i, at) in arrivals.into_iter().enumerate() {
            self.after(at, Event::Dispatch(i));
        }
        for w in 0..self.deployment.workers {
            // The reports of the workers are spread over the interval.
            let offset = self.rng.u64(..REPORT_INTERVAL);
            self.after(offset, Event::Report(w));
            self.after(offset / 10, Event::Fill(w));
        }
        if matches!(self.kind, Kind::WorkerLost | Kind::ZoneCut) {
            self.after(FAULT_START, Event::Fault(true));
            self.after(FAULT_END, Event::Fault(false));
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Dispatch(request) => self.dispatch(request),
            Event::Admit(worker, id) => self.admit(worker, id),
            Event::Iteration(worker, epoch) => self.iterate(worker, epoch),
            Event::FirstToken(attempt) => self.first_token(attempt),
            Event::Ended(attempt) => self.ended(attempt),
            Event::SendLevel(entry, worker) => self.send_level(entry, worker),
            Event::Level(entry, worker, level, cause) => self.level(entry, worker, level, cause),
            Event::Batch(worker, id, update) => self.batch_update(worker, id, update),
            Event::Cancel(worker, id, cause) => self.cancel(worker, id, cause),
            Event::Report(worker) => self.report(worker),
            Event::ReportArrived(worker, running, waiting) => {
                self.report_arrived(worker, running, waiting)
            }
            Event::Cache(worker, number) => self.cache_arrived(worker, number),
            Event::Fill(worker) => {
                self.fill(worker);
                self.after(FILL_INTERVAL, Event::Fill(worker));
            }
            Event::Fault(start) => self.fault(start),
            Event::Detected(start) => self.fault_detected(start),
        }
    }

    fn iterate(&mut self, worker: usize, epoch: u32) {
        if self.engines[worker].epoch != epoch {
            return;
        }
        let outputs = self.engines[worker].end();
        for output in outputs {
            self.output(worker, output);
        }
        self.start_iteration(worker);
    }

    /// Forwards an output of a worker to the instance that runs the stream.
    pub(crate) fn output(&mut self, worker: usize, output: Output) {
        let (id, update) = match output {
            Output::First(id) => (id, BatchUpdate::First),
            Output::Done(id) => (id, BatchUpdate::Done),
            Output::Stopped(id, generated) => (id, BatchUpdate::Stopped(generated)),
        };
        if id & BATCH_BIT != 0 {
            self.after(ZONE_DELAY, Event::Batch(worker, id, update));
        } else {
            self.online_output(worker, id, update);
        }
    }

    fn report(&mut self, worker: usize) {
        self.after(REPORT_INTERVAL, Event::Report(worker));
        if self.dead && worker == 0 {
            return;
        }
        let (running, waiting) = self.reported_load(worker);
        self.after(REPORT_LAG, Event::ReportArrived(worker, running, waiting));
        let events = self.engines[worker].take_events();
        for event in events {
            if self.rng.f64() < CACHE_LOSS {
                continue;
            }
            let number = self.sequence;
            self.cache.entry(number).or_default().push(event);
            self.after(CACHE_LAG, Event::Cache(worker, number));
        }
    }

    /// Returns the load that a worker reports. During a fault the first worker repeats the report
    /// of an overload, the second one that of an idle moment.
    fn reported_load(&self, worker: usize) -> (u32, u32) {
        let fault = (FAULT_START..FAULT_END).contains(&self.now);
        match worker {
            0 if self.kind == Kind::FrozenReport && fault => FROZEN_HIGH,
            1 if self.kind == Kind::FrozenReport && fault => FROZEN_LOW,
            _ => self.engines[worker].load(),
        }
    }

    fn report_arrived(&mut self, worker: usize, running: u32, waiting: u32) {
        let owner = self.owners[worker];
        let time = self.time();
        let cell = &self.entries[owner].cells[worker];
        cell.set_report(Load { running, waiting }, SLOTS, time);
        let online = cell.current_demand().online;
        self.collect_yields(worker, self.now);
        let zone = self.zone(worker);
        for e in 0..self.entries.len() {
            if !self.is_reachable(zone, self.entries[e].zone) {
                continue;
            }
            self.entries[e].reported[worker] = running + waiting;
            if e != owner {
                self.entries[e].cells[worker].set_announced(online);
            }
        }
    }

    fn cache_arrived(&mut self, worker: usize, number: u64) {
        let owner = self.owners[worker];
        let time = self.time();
        let events = self.cache.remove(&number).unwrap_or_default();
        let entry = &self.entries[owner];
        let id = &entry.cells[worker].id;
        let affinity = entry.table.affinity();
        let mut affinity = affinity
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        for event in &events {
            affinity.apply_event(id, event, time);
        }
    }
}

/// Returns the slots of a worker that online requests may use.
fn online_slots(policy: Policy) -> u32 {
    match policy.sharing {
        Sharing::Split => SLOTS / 2,
        _ => SLOTS,
    }
}
