//! Places requests on workers: shared state of the fleet, the queue of online requests and the
//! batch items that can be asked to yield.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use async_io::Timer;
use smol::channel::{Receiver, Sender, bounded};

use crate::{
    ids::{InstanceId, Map, ServiceId, WorkerId, Zone},
    mutex::lock,
};

use super::fleet::{self, Ask, Backlog, Class, Fleet, Level, Urgency, Worker, WorkerKey};

/// Shortest time after which a refused caller is asked to come back; a slot of a full fleet frees
/// well within it.
const RETRY_SHORTEST: Duration = Duration::from_millis(250);
/// Longest time after which a refused caller is asked to come back. Callers that are refused
/// together return spread over the span.
const RETRY_LONGEST: Duration = Duration::from_millis(1100);

/// Fleet and queue of an instance, shared by all threads.
#[derive(Debug)]
pub struct Dispatch {
    state: Mutex<State>,
    start: Instant,
    changed: (Sender<()>, Receiver<()>),
}

#[derive(Debug)]
struct State {
    fleet: Fleet,
    waiting: VecDeque<Waiter>,
    runs: Map<WorkerKey, Vec<BatchRun>>,
    rng: fastrand::Rng,
    next: u64,
}

/// A batch item that runs.
#[derive(Debug)]
struct BatchRun {
    number: u64,
    urgency: Urgency,
    yields: Sender<()>,
}

#[derive(Debug)]
struct Waiter {
    number: u64,
    service: ServiceId,
    tried: Vec<WorkerId>,
    grant: Sender<Grant>,
}

/// A worker for an online request.
#[derive(Debug)]
struct Grant {
    worker: Arc<Worker>,
    load: u32,
}

/// Why a request has no worker. It has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Busy {
    /// Time after which the caller may come back.
    pub retry_after: Duration,
}

/// A request on its worker. Dropping it frees the place.
#[derive(Debug)]
pub struct Placement {
    dispatch: Arc<Dispatch>,
    /// The worker.
    pub worker: Arc<Worker>,
    /// Requests that were on the worker before, as far as this instance knew.
    pub load: u32,
    class: Class,
    run: Option<u64>,
}

/// A place in the queue. Dropping it leaves the queue.
struct Turn<'a> {
    dispatch: &'a Arc<Dispatch>,
    number: u64,
    granted: Receiver<Grant>,
}

impl Placement {
    /// Says whether a slot was free, as far as this instance knew.
    pub fn is_free(&self) -> bool {
        self.load < self.worker.slots
    }
}

impl Dispatch {
    /// Builds the state of an instance.
    pub fn new(me: InstanceId, zone: Zone) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::new(State {
                fleet: Fleet::new(me, zone),
                waiting: VecDeque::new(),
                runs: Map::default(),
                rng: fastrand::Rng::new(),
                next: 0,
            }),
            start: Instant::now(),
            changed: bounded(1),
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Returns the time since the start of the instance.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Replaces the list of workers.
    pub fn set_workers(&self, workers: Vec<Arc<Worker>>) {
        let mut state = self.lock();
        state.fleet.set_workers(workers);
        self.settle(&mut state);
    }

    /// Replaces what a peer has on the workers and what waits there.
    pub fn set_peer(&self, peer: &InstanceId, levels: Map<WorkerKey, Level>, backlog: Backlog) {
        let mut state = self.lock();
        state.fleet.set_peer(peer, levels);
        state.fleet.set_backlog(peer, backlog);
        self.settle(&mut state);
    }

    /// Returns the requests of this instance by worker.
    pub fn own_levels(&self) -> Map<WorkerKey, Level> {
        self.lock().fleet.own().clone()
    }

    /// Returns the number of workers that take requests.
    pub fn workers(&self) -> usize {
        let state = self.lock();
        state.fleet.workers().filter(|w| w.ready).count()
    }

    /// Returns the number of requests that wait for a worker.
    pub fn queue(&self) -> usize {
        self.lock().waiting.len()
    }

    /// Says whether a worker of a service is known that takes requests.
    pub fn serves(&self, service: &ServiceId) -> bool {
        self.lock().fleet.serves(service)
    }

    /// Returns when the levels of this instance change.
    pub async fn changed(&self) {
        let _ = self.changed.1.recv().await;
    }

    /// Notes that a worker could not be reached, broke or fell silent; says whether it is ejected.
    pub fn failed(&self, worker: &WorkerId) -> bool {
        let now = self.now();
        self.lock().fleet.failed(worker, now)
    }

    /// Notes that a worker accepted no connection in time; says whether its zone counts as cut off.
    pub fn unreachable(&self, worker: &Worker) -> bool {
        let now = self.now();
        self.lock().fleet.unreachable(worker, now)
    }

    /// Notes that no instance of a zone is heard any more.
    pub fn zone_silent(&self, zone: &Zone) {
        let now = self.now();
        self.lock().fleet.zone_silent(zone, now);
    }

    /// Notes that an instance of a zone is heard.
    pub fn zone_heard(&self, zone: &Zone) {
        self.lock().fleet.zone_heard(zone);
    }

    /// Notes that a worker answers.
    pub fn worked(&self, worker: &Worker) {
        self.lock().fleet.worked(worker);
    }

    /// Finds a worker for an online request, waiting up to `patience` when all are full.
    ///
    /// # Errors
    ///
    /// Refuses the request when no worker became free in time.
    pub async fn place(
        self: &Arc<Self>,
        ask: &Ask<'_>,
        patience: Duration,
    ) -> Result<Placement, Busy> {
        let turn = {
            let mut state = self.lock();
            if state.waiting.is_empty()
                && let Some(grant) = self.choose(&mut state, ask)
            {
                drop(state);
                return Ok(self.placement(grant));
            }
            let (grant, granted) = bounded(1);
            let number = state.next;
            state.next += 1;
            state.waiting.push_back(Waiter {
                number,
                service: ask.service.clone(),
                tried: ask.tried.to_vec(),
                grant,
            });
            Turn {
                dispatch: self,
                number,
                granted,
            }
        };
        let granted = async { turn.granted.recv().await.ok() };
        let timeout = async {
            Timer::after(patience).await;
            None
        };
        match smol::future::or(granted, timeout).await {
            Some(grant) => Ok(self.placement(grant)),
            None => Err(self.busy()),
        }
    }

    /// Finds room for a batch item beside online requests. The receiver gets a message when the
    /// item has to yield.
    pub fn place_batch(
        self: &Arc<Self>,
        ask: &Ask<'_>,
        urgency: Urgency,
    ) -> Option<(Placement, Receiver<()>)> {
        let now = self.now();
        let mut state = self.lock();
        let State { fleet, rng, .. } = &mut *state;
        let worker = fleet.choose_batch(ask, urgency, rng, now)?;
        let key = fleet::key(&worker.id);
        let load = fleet.level(key).total();
        state.fleet.begin(key, Class::Batch);
        let (sender, receiver) = bounded(1);
        let number = state.next;
        state.next += 1;
        let run = BatchRun {
            number,
            urgency,
            yields: sender,
        };
        state.runs.entry(key).or_default().push(run);
        drop(state);
        self.notify();
        let placement = Placement {
            dispatch: self.clone(),
            worker,
            load,
            class: Class::Batch,
            run: Some(number),
        };
        Some((placement, receiver))
    }

    /// Returns the refusal of a request that finds all workers full.
    pub fn busy(&self) -> Busy {
        let span = RETRY_LONGEST - RETRY_SHORTEST;
        Busy {
            retry_after: RETRY_SHORTEST + span.mul_f64(fastrand::f64()),
        }
    }

    fn placement(self: &Arc<Self>, grant: Grant) -> Placement {
        Placement {
            dispatch: self.clone(),
            worker: grant.worker,
            load: grant.load,
            class: Class::Online,
            run: None,
        }
    }

    /// Chooses a worker for an online request and counts it there.
    fn choose(&self, state: &mut State, ask: &Ask<'_>) -> Option<Grant> {
        let State { fleet, rng, .. } = state;
        let worker = fleet.choose_online(ask, rng, self.now())?;
        let key = fleet::key(&worker.id);
        let load = fleet.level(key).total();
        fleet.begin(key, Class::Online);
        self.settle_runs(state);
        self.notify();
        Some(Grant { worker, load })
    }

    /// Gives free places to the queue and asks batch items to yield.
    fn settle(&self, state: &mut State) {
        let mut passed = VecDeque::new();
        while let Some(waiter) = state.waiting.pop_front() {
            let ask = Ask {
                service: &waiter.service,
                tried: &waiter.tried,
            };
            let Some(grant) = self.choose(state, &ask) else {
                passed.push_back(waiter);
                continue;
            };
            let key = fleet::key(&grant.worker.id);
            if waiter.grant.try_send(grant).is_err() {
                state.fleet.end(key, Class::Online);
            }
        }
        state.waiting = passed;
        self.settle_runs(state);
    }

    fn settle_runs(&self, state: &mut State) {
        for (worker, count) in state.fleet.yields() {
            let Some(runs) = state.runs.get_mut(&worker) else {
                continue;
            };
            // Late items first; of the others the youngest, which has the least to read again.
            runs.sort_by_key(|r| (r.urgency, r.number));
            for run in runs.iter().rev().take(count as usize) {
                let _ = run.yields.try_send(());
            }
        }
    }

    /// Has the levels and the backlog told to the other instances.
    pub fn notify(&self) {
        let _ = self.changed.0.try_send(());
    }
}

impl Drop for Placement {
    fn drop(&mut self) {
        let key = fleet::key(&self.worker.id);
        let mut state = self.dispatch.lock();
        state.fleet.end(key, self.class);
        if let Some(run) = self.run
            && let Some(runs) = state.runs.get_mut(&key)
        {
            runs.retain(|r| r.number != run);
            if runs.is_empty() {
                state.runs.remove(&key);
            }
        }
        self.dispatch.settle(&mut state);
        drop(state);
        self.dispatch.notify();
    }
}

impl Drop for Turn<'_> {
    fn drop(&mut self) {
        let mut state = self.dispatch.lock();
        state.waiting.retain(|w| w.number != self.number);
        // A grant that crossed the end of the wait is given back.
        if let Ok(grant) = self.granted.try_recv() {
            state.fleet.end(fleet::key(&grant.worker.id), Class::Online);
            self.dispatch.settle(&mut state);
        }
    }
}
