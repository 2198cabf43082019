//! Places requests on workers. Holds the shared state of the fleet, the queue of online requests
//! and the batch items that can be asked to yield.

use std::{
    collections::VecDeque,
    sync::Arc,
    time::{Duration, Instant},
};

use async_io::Timer;
use smol::channel::{Receiver, Sender, bounded, unbounded};

use crate::{
    capacity::{gaps::Gaps, learned::Sample},
    ids::{InstanceId, Map, ServiceId, Set, SoftwareVersion, TeamId, WorkerId, Zone},
    load::{
        order::{self, Standing},
        trouble::{Failure, Kind},
        yields::{self, Running},
    },
    mutex::{Mutex, MutexGuard, lock},
};

use super::{
    connection::Path,
    fleet::{
        self, Backlog, Class, Fleet, Level, ListChange, Requirements, Urgency, Worker, WorkerKey,
    },
    worker_limits::{Change, Notice, Observation, Reply},
};

/// Minimum `Retry-After` of a refused request; a slot of a full fleet becomes free well within it.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Maximum `Retry-After` of a refused request. Callers that are refused together come back spread
/// over the interval between the two bounds.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1100);
/// Interval at which a request that already runs looks for a free slot.
const SPARE_POLL: Duration = Duration::from_millis(20);
/// Interval at which a queued request looks for permits of limited workers.
const PERMIT_POLL: Duration = Duration::from_millis(20);

/// Fleet and request queue of an instance, shared by all threads.
#[derive(Debug)]
pub struct Dispatch {
    state: Mutex<State>,
    start: Instant,
    changed: (Sender<()>, Receiver<()>),
    asks: (Sender<Ask>, Receiver<Ask>),
}

/// Question to the leader of a limited worker whether a request may be sent to it.
#[derive(Debug)]
pub struct Ask {
    /// The worker.
    pub worker: Arc<Worker>,
    /// What is known of its limit here.
    pub notice: Notice,
    /// Class of the request.
    pub class: Class,
}

#[derive(Debug)]
struct State {
    fleet: Fleet,
    queue: VecDeque<Waiter>,
    batch_runs: Map<WorkerKey, Vec<BatchRun>>,
    rng: fastrand::Rng,
    next_number: u64,
    /// Changes of limits that the other instances do not know yet.
    limit_news: Vec<(WorkerId, Change)>,
    /// Running requests of this instance, by team.
    running: Map<TeamId, u32>,
    /// Number of slots that queued requests got.
    turn: u64,
    /// Requests that workers have not begun to answer.
    awaited: Map<u64, Awaited>,
}

/// Request that a worker has not begun to answer.
#[derive(Debug)]
struct Awaited {
    worker: WorkerId,
    /// Time by which the answer has to begin.
    until: Duration,
}

/// What a request claims in the order of those that wait.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Claim {
    /// Rank of its route or team; 0 is the highest.
    pub rank: u32,
    /// Team of its caller, if there is one.
    pub team: Option<TeamId>,
}

impl State {
    /// Returns the positions of queued requests in the order in which they get free slots.
    fn queue_order(&self) -> Vec<usize> {
        let running = |team: &TeamId| self.running.get(team).copied().unwrap_or_default();
        let standing = |w: &Waiter| Standing {
            rank: w.claim.rank,
            running: w.claim.team.as_ref().map_or(0, running),
            number: w.number,
        };
        let waiting: Vec<Standing> = self.queue.iter().map(standing).collect();
        order::order(&waiting, self.turn)
    }

    /// Counts a request of a team as running, or as ended.
    fn count_running(&mut self, team: Option<&TeamId>, starts: bool) {
        let Some(team) = team else {
            return;
        };
        let count = self.running.entry(team.clone()).or_default();
        *count = if starts {
            *count + 1
        } else {
            count.saturating_sub(1)
        };
        if *count == 0 {
            self.running.remove(team);
        }
    }

    /// Returns whether a request that may take the same workers is queued.
    fn is_behind(&self, requirements: &Requirements<'_>) -> bool {
        let mut queue = self.queue.iter();
        queue.any(|w| {
            let versions = w.version.as_ref().zip(requirements.version);
            w.service == *requirements.service && versions.is_none_or(|(a, b)| a == b)
        })
    }
}

/// A running batch item.
#[derive(Debug)]
struct BatchRun {
    /// What decides whether it yields.
    running: Running,
    yield_sender: Sender<()>,
}

#[derive(Debug)]
struct Waiter {
    number: u64,
    service: ServiceId,
    tried: Vec<WorkerId>,
    version: Option<SoftwareVersion>,
    deadline: Duration,
    claim: Claim,
    grant: Sender<Grant>,
}

impl Waiter {
    fn requirements(&self) -> Requirements<'_> {
        Requirements {
            service: &self.service,
            tried: &self.tried,
            version: self.version.as_ref(),
        }
    }
}

/// A worker assigned to an online request.
#[derive(Debug)]
struct Grant {
    worker: Arc<Worker>,
    load: u32,
    chosen: Instant,
}

/// Refusal of a request because no worker is free. The request has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Busy {
    /// Time after which the caller may retry.
    pub retry_after: Duration,
}

/// A slot taken on a worker. Dropping it releases the slot.
#[derive(Debug)]
pub struct Placement {
    dispatch: Arc<Dispatch>,
    /// The worker.
    pub worker: Arc<Worker>,
    /// Requests on the worker before this one, as known to this instance.
    pub load: u32,
    /// Time when the worker was chosen.
    pub chosen: Instant,
    /// Path of the connection to the worker.
    pub path: Path,
    class: Class,
    /// Team that the request counts for.
    team: Option<TeamId>,
    run: Option<u64>,
    /// Number of the entry that waits for the beginning of the answer.
    awaited: Option<u64>,
    /// Times between the events of the answer.
    gaps: Gaps,
    started: Duration,
    /// Time when the worker last showed progress on the request, or was chosen.
    progress: Duration,
    released: bool,
}

/// A request's entry in the queue. Dropping it removes the entry.
struct QueueGuard<'a> {
    dispatch: &'a Arc<Dispatch>,
    number: u64,
    granted: Receiver<Grant>,
}

impl Placement {
    /// Returns whether the worker had a free slot, as known to this instance.
    pub fn had_free_slot(&self) -> bool {
        self.load < self.worker.slots
    }

    /// Records that the worker has to begin its answer within a time.
    pub fn await_answer(&mut self, limit: Duration) {
        let until = self.dispatch.now() + limit;
        let mut state = self.dispatch.lock();
        if !state.fleet.shares_failures() {
            return;
        }
        let number = state.next_number;
        state.next_number += 1;
        let worker = self.worker.id.clone();
        state.awaited.insert(number, Awaited { worker, until });
        drop(state);
        self.awaited = Some(number);
    }

    /// Records that the next event of the answer is waited for.
    pub fn begin_wait(&mut self) {
        self.gaps.begin_wait(self.dispatch.now());
    }

    /// Records that the worker showed progress.
    pub fn record_progress(&mut self) {
        self.progress = self.dispatch.now();
        self.gaps.record(self.progress);
        if let Some(number) = self.awaited.take() {
            self.dispatch.lock().awaited.remove(&number);
        }
    }

    /// Releases the slot before the placement is dropped, as the worker has ended its answer.
    pub fn release(&mut self) {
        if std::mem::replace(&mut self.released, true) {
            return;
        }
        let key = fleet::key(&self.worker.id);
        let now = self.dispatch.now();
        let mut state = self.dispatch.lock();
        if let Some(number) = self.awaited {
            state.awaited.remove(&number);
        }
        if let Some(pace) = self.gaps.pace() {
            state.fleet.see_pace(&self.worker, self.load, pace, now);
        }
        state.fleet.finish_request(key, self.class);
        state.count_running(self.team.as_ref(), false);
        if self.class == Class::Online {
            let time = now.saturating_sub(self.started);
            state.fleet.record_online_time(time);
        }
        if let Some(run) = self.run
            && let Some(batch_runs) = state.batch_runs.get_mut(&key)
        {
            batch_runs.retain(|r| r.running.number != run);
            if batch_runs.is_empty() {
                state.batch_runs.remove(&key);
            }
        }
        self.dispatch.assign_queued(&mut state);
        drop(state);
        self.dispatch.notify();
    }

    /// Returns the time for which the worker has shown no progress.
    pub fn silence(&self) -> Duration {
        self.dispatch.now().saturating_sub(self.progress)
    }
}

impl Dispatch {
    /// Builds the dispatcher of an instance.
    pub fn new(instance: InstanceId, zone: Zone) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::new(State {
                fleet: Fleet::new(instance, zone),
                queue: VecDeque::new(),
                batch_runs: Map::default(),
                rng: fastrand::Rng::new(),
                next_number: 0,
                limit_news: Vec::new(),
                running: Map::default(),
                turn: 0,
                awaited: Map::default(),
            }),
            start: Instant::now(),
            changed: bounded(1),
            asks: unbounded(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Returns the time since the start of the instance.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Replaces the list of workers, and returns what changed.
    pub fn set_workers(&self, workers: Vec<Arc<Worker>>) -> ListChange {
        let mut state = self.lock();
        let change = state.fleet.set_workers(workers);
        self.assign_queued(&mut state);
        change
    }

    /// Replaces the requests in flight from a peer and its backlog.
    pub fn set_peer(&self, peer: &InstanceId, levels: Map<WorkerKey, Level>, backlog: Backlog) {
        let mut state = self.lock();
        state.fleet.set_peer(peer, levels);
        state.fleet.set_backlog(peer, backlog);
        self.assign_queued(&mut state);
    }

    /// Sets the zone of a peer, or forgets it.
    pub fn set_zone(&self, peer: &InstanceId, zone: Option<Zone>) {
        self.lock().fleet.set_zone(peer, zone);
    }

    /// Sets the age that the levels of other zones may have here.
    pub fn set_far_age(&self, age: Duration) {
        self.lock().fleet.set_far_age(age);
    }

    /// Returns the peers that have to learn at once that batch items must yield to requests of this
    /// instance.
    pub fn peers_to_yield(&self) -> Set<InstanceId> {
        self.lock().fleet.peers_to_yield()
    }

    /// Returns the requests in flight from this instance, by worker.
    pub fn local_levels(&self) -> Map<WorkerKey, Level> {
        self.lock().fleet.local_levels().clone()
    }

    /// Returns the number of workers that take requests.
    pub fn ready_workers(&self) -> usize {
        let now = self.now();
        let state = self.lock();
        state.fleet.workers().filter(|w| w.is_ready(now)).count()
    }

    /// Records that a worker announced that it leaves, and returns whether that is new.
    pub fn record_leaving(&self, worker: &Worker) -> bool {
        self.lock().fleet.record_leaving(worker)
    }

    /// Records that a worker reported another start than the list names.
    pub fn record_ended_start(&self, worker: &Worker) {
        let now = self.now();
        self.lock().fleet.record_ended_start(worker, now);
    }

    /// Returns the number of workers that announced that they leave.
    pub fn leaving_count(&self) -> usize {
        self.lock().fleet.leaving_count()
    }

    /// Returns whether a worker takes new requests.
    pub fn is_ready(&self, worker: &WorkerId) -> bool {
        self.lock().fleet.is_ready(worker, self.now())
    }

    /// Returns whether a chosen worker still takes new requests, in the same run at the same address.
    pub fn holds(&self, chosen: &Worker) -> bool {
        self.lock().fleet.holds(chosen, self.now())
    }

    /// Returns the number of queued requests.
    pub fn queue_length(&self) -> usize {
        self.lock().queue.len()
    }

    /// Returns whether any worker of a service takes requests; with a version, one of that version.
    pub fn has_ready_worker(&self, service: &ServiceId, version: Option<&SoftwareVersion>) -> bool {
        let now = self.now();
        self.lock().fleet.has_ready_worker(service, version, now)
    }

    /// Returns whether a worker may serve a request, however full it is.
    pub fn has_candidate(&self, requirements: &Requirements<'_>) -> bool {
        let now = self.now();
        self.lock().fleet.has_candidate(requirements, now)
    }

    /// Returns the slots of the workers of a service that take requests, by version.
    pub fn versions(&self, service: &ServiceId) -> Map<SoftwareVersion, u32> {
        let mut services = self.slots_by_version();
        services.remove(service).unwrap_or_default()
    }

    /// Returns the slots of the workers that take requests, by service and version.
    pub fn slots_by_version(&self) -> Map<ServiceId, Map<SoftwareVersion, u32>> {
        self.lock().fleet.slots_by_version(self.now())
    }

    /// Waits until the levels or the backlog of this instance change.
    pub async fn changed(&self) {
        let _ = self.changed.1.recv().await;
    }

    /// Records that a worker could not be reached, broke a connection or timed out, and returns
    /// whether it is ejected.
    pub fn record_failure(&self, worker: &WorkerId) -> bool {
        let now = self.now();
        self.lock().fleet.record_failure(worker, now)
    }

    /// Records that a worker accepted no connection in time, and returns whether its zone now
    /// counts as cut off.
    pub fn record_unreachable(&self, worker: &Worker) -> bool {
        let now = self.now();
        self.lock().fleet.record_unreachable(worker, now)
    }

    /// Forgets failures of workers, as those of the links of this instance explain them.
    pub fn forgive_workers(&self) {
        let mut state = self.lock();
        state.fleet.forgive_workers();
        self.assign_queued(&mut state);
    }

    /// Returns some workers of all zones that take requests.
    pub fn sample_workers(&self, count: usize, except: Option<&WorkerId>) -> Vec<Arc<Worker>> {
        let now = self.now();
        let mut state = self.lock();
        let State { fleet, rng, .. } = &mut *state;
        fleet.sample_workers(count, except, rng, now)
    }

    /// Returns whether requests of this instance are in flight.
    pub fn has_requests(&self) -> bool {
        !self.lock().fleet.local_levels().is_empty()
    }

    /// Records that no instance of a zone sends heartbeats any more.
    pub fn mark_zone_unreachable(&self, zone: &Zone) {
        let now = self.now();
        self.lock().fleet.mark_zone_unreachable(zone, now);
    }

    /// Records that a heartbeat from a zone arrived.
    pub fn mark_zone_reachable(&self, zone: &Zone) {
        self.lock().fleet.mark_zone_reachable(zone);
    }

    /// Records that a worker answered.
    pub fn record_success(&self, worker: &Worker) {
        let now = self.now();
        let mut state = self.lock();
        state.fleet.record_success(worker);
        state.fleet.record_answer(worker, now);
    }

    /// Learns the speed of workers from now on, and places requests by it.
    pub fn learn_capacities(&self) {
        self.lock().fleet.learn_capacities();
    }

    /// Records paces of answers that came through another instance.
    pub fn hear_paces(&self, samples: &[Sample]) {
        let now = self.now();
        self.lock().fleet.hear_paces(samples, now);
    }

    /// Returns the paces of answers that came through this instance since the last call.
    pub fn take_paces(&self) -> Vec<Sample> {
        self.lock().fleet.take_paces()
    }

    /// Shares failures of workers with the instances of the zone from now on.
    pub fn share_failures(&self) {
        self.lock().fleet.share_failures();
    }

    /// Records failures of workers that another instance saw.
    pub fn hear_failures(&self, failures: &[Failure]) {
        let now = self.now();
        self.lock().fleet.hear_failures(failures, now);
    }

    /// Returns the failures of workers that were seen here since the last call, with the requests that were
    /// not answered in time.
    pub fn take_failures(&self) -> Vec<Failure> {
        let now = self.now();
        let mut state = self.lock();
        let (overdue, awaited): (Map<_, _>, Map<_, _>) = std::mem::take(&mut state.awaited)
            .into_iter()
            .partition(|(_, a)| now >= a.until);
        state.awaited = awaited;
        for Awaited { worker, .. } in overdue.into_values() {
            state.fleet.see_failure(&worker, Kind::Failed, now);
        }
        state.fleet.take_failures()
    }

    /// Returns the number of workers in trouble.
    pub fn troubled_count(&self) -> usize {
        self.lock().fleet.troubled_count(self.now())
    }

    /// Records what an answer tells of the limit of a worker, and returns what changed.
    pub fn observe_limit(&self, worker: &Worker, seen: Observation) -> Option<Change> {
        let mut state = self.lock();
        let change = state.fleet.limits.observe(worker, seen)?;
        state.limit_news.push((worker.id.clone(), change));
        self.notify();
        self.assign_queued(&mut state);
        Some(change)
    }

    /// Records what another instance tells of the limits of workers.
    pub fn hear_limits(&self, notices: &[Notice]) {
        let now = self.now();
        let mut state = self.lock();
        for notice in notices {
            state.fleet.limits.hear(notice, now);
        }
        self.assign_queued(&mut state);
    }

    /// Returns what is known of the limits of workers.
    pub fn limits(&self) -> Vec<Notice> {
        self.lock().fleet.limits.notices(self.now())
    }

    /// Returns the changes that were observed here since the last call.
    pub fn take_limit_news(&self) -> Vec<(Notice, Change)> {
        let now = self.now();
        let mut state = self.lock();
        let news = std::mem::take(&mut state.limit_news);
        let limits = &state.fleet.limits;
        let notices = news
            .into_iter()
            .filter_map(|(id, change)| Some((limits.notice(&id, now)?, change)));
        notices.collect()
    }

    /// Returns a worker of the list.
    pub fn worker(&self, id: &WorkerId) -> Option<Arc<Worker>> {
        self.lock().fleet.worker(id).cloned()
    }

    /// Returns the workers of a service in the list.
    pub fn workers_of(&self, service: &ServiceId) -> Vec<Arc<Worker>> {
        let state = self.lock();
        let workers = state.fleet.workers().filter(|w| w.service == *service);
        workers.cloned().collect()
    }

    /// Returns the limited workers of the list, and forgets limits without news.
    pub fn limited_workers(&self) -> Vec<Arc<Worker>> {
        let mut state = self.lock();
        state.fleet.expire_limits(self.now());
        let workers = state.fleet.limits.workers();
        let listed = workers.filter_map(|id| state.fleet.worker(id));
        listed.cloned().collect()
    }

    /// Returns the number of limited workers.
    pub fn limited_count(&self) -> usize {
        self.lock().fleet.limits.workers().count()
    }

    /// Sets the part of a worker's limit that this instance hands out.
    pub fn set_limit_share(&self, worker: &WorkerId, share: f64) {
        let now = self.now();
        self.lock().fleet.limits.set_share(worker, share, now);
    }

    /// Decides whether another instance may send a request to a worker. Returns `None` for a worker
    /// that has no limit, as far as is known here.
    pub fn grant(&self, notice: &Notice, class: Class) -> Option<Reply> {
        let now = self.now();
        let mut state = self.lock();
        let limits = &mut state.fleet.limits;
        limits.hear(notice, now);
        let known = limits.notice(&notice.worker, now)?;
        known.rate?;
        Some(limits.grant(&notice.worker, class, now))
    }

    /// Records the answer of the leader of a worker, and assigns queued requests or refuses those that
    /// no worker can take.
    pub fn accept(&self, worker: &WorkerId, reply: Reply) {
        let now = self.now();
        let mut state = self.lock();
        state.fleet.limits.accept(worker, reply, now);
        self.assign_queued(&mut state);
    }

    /// Waits for the next question to the leader of a limited worker.
    pub async fn next_ask(&self) -> Option<Ask> {
        self.asks.1.recv().await.ok()
    }

    /// Asks for permits, so that the answers of a number of leaders are on their way.
    fn ask(&self, state: &mut State, requirements: &Requirements<'_>, class: Class, count: usize) {
        let now = self.now();
        let State { fleet, rng, .. } = state;
        for worker in fleet.workers_to_ask(requirements, count, rng, now) {
            if let Some(notice) = fleet.limits.ask(&worker.id, now) {
                let ask = Ask {
                    worker,
                    notice,
                    class,
                };
                let _ = self.asks.0.try_send(ask);
            }
        }
    }

    /// Asks for the permits that queued requests lack, and refuses requests that no worker can take.
    fn ask_for_queued(&self, state: &mut State) {
        if state.queue.is_empty() || state.fleet.limits.workers().next().is_none() {
            return;
        }
        let now = self.now();
        let queue = std::mem::take(&mut state.queue);
        let mut waiting: Map<ServiceId, usize> = Map::default();
        for waiter in queue {
            let count = waiting.entry(waiter.service.clone()).or_default();
            *count += 1;
            self.ask(state, &waiter.requirements(), Class::Online, *count + 1);
            let wait = waiter.deadline.saturating_sub(now);
            if state.fleet.may_place(&waiter.requirements(), wait, now) {
                state.queue.push_back(waiter);
            }
            // Dropping the waiter closes its channel, which refuses the request.
        }
    }

    /// Looks for permits for all queued requests while the one with a number is the first.
    async fn poll_permits(&self, number: u64) {
        loop {
            Timer::after(PERMIT_POLL).await;
            let mut state = self.lock();
            let is_first = state.queue.front().is_some_and(|w| w.number == number);
            if is_first && state.fleet.limits.workers().next().is_some() {
                self.assign_queued(&mut state);
            }
        }
    }

    /// Places an online request on a worker, waiting up to `max_wait` when all are full.
    ///
    /// # Errors
    ///
    /// Returns `Busy` when no worker becomes free in time, or none can by its limit.
    pub async fn place_online(
        self: &Arc<Self>,
        requirements: &Requirements<'_>,
        claim: &Claim,
        max_wait: Duration,
    ) -> Result<Placement, Busy> {
        let guard = {
            let mut state = self.lock();
            if !state.is_behind(requirements)
                && let Some(grant) = self.choose(&mut state, requirements)
            {
                drop(state);
                return Ok(self.placement(grant, claim));
            }
            if !state.fleet.may_place(requirements, max_wait, self.now()) {
                drop(state);
                return Err(self.busy());
            }
            let (grant, granted) = bounded(1);
            let number = state.next_number;
            state.next_number += 1;
            state.queue.push_back(Waiter {
                number,
                service: requirements.service.clone(),
                tried: requirements.tried.to_vec(),
                version: requirements.version.cloned(),
                deadline: self.now() + max_wait,
                claim: claim.clone(),
                grant,
            });
            self.ask_for_queued(&mut state);
            QueueGuard {
                dispatch: self,
                number,
                granted,
            }
        };
        let granted = async { guard.granted.recv().await.ok() };
        let timeout = async {
            Timer::after(max_wait).await;
            None
        };
        let polls = async {
            self.poll_permits(guard.number).await;
            None
        };
        match smol::future::or(granted, smol::future::or(timeout, polls)).await {
            Some(grant) => Ok(self.placement(grant, claim)),
            None => Err(self.busy()),
        }
    }

    /// Places an online request on a worker with a free slot, waiting up to `max_wait` for one. It
    /// comes after all queued requests for the service.
    ///
    /// # Errors
    ///
    /// Returns `Busy` when there is no free slot in time.
    pub async fn place_spare(
        self: &Arc<Self>,
        requirements: &Requirements<'_>,
        max_wait: Duration,
    ) -> Result<Placement, Busy> {
        let deadline = Instant::now() + max_wait;
        loop {
            if let Some(placement) = self.try_spare(requirements) {
                return Ok(placement);
            }
            if Instant::now() >= deadline {
                return Err(self.busy());
            }
            Timer::after(SPARE_POLL).await;
        }
    }

    fn try_spare(self: &Arc<Self>, requirements: &Requirements<'_>) -> Option<Placement> {
        let mut state = self.lock();
        if state.is_behind(requirements) {
            return None;
        }
        let now = self.now();
        let State { fleet, rng, .. } = &mut *state;
        let Some(worker) = fleet.choose_spare(requirements, rng, now) else {
            self.ask(&mut state, requirements, Class::Online, 1);
            return None;
        };
        let grant = self.start_online(&mut state, worker);
        drop(state);
        Some(self.placement(grant, &Claim::default()))
    }

    /// Places an online request on a worker that ran it already, waiting up to `max_wait` for a free slot.
    ///
    /// # Errors
    ///
    /// Returns `Busy` when it has no free slot in time, or takes no requests any more.
    pub async fn place_again(
        self: &Arc<Self>,
        worker: &Worker,
        max_wait: Duration,
    ) -> Result<Placement, Busy> {
        let deadline = Instant::now() + max_wait;
        loop {
            if let Some(placement) = self.try_again(worker) {
                return Ok(placement);
            }
            if Instant::now() >= deadline || !self.holds(worker) {
                return Err(self.busy());
            }
            Timer::after(SPARE_POLL).await;
        }
    }

    fn try_again(self: &Arc<Self>, worker: &Worker) -> Option<Placement> {
        let now = self.now();
        let mut state = self.lock();
        let worker = state.fleet.choose_again(worker, now)?;
        let grant = self.start_online(&mut state, worker);
        drop(state);
        Some(self.placement(grant, &Claim::default()))
    }

    /// Places a batch item on a worker that has capacity beside online requests. The receiver gets
    /// a message when the item has to yield. `left` is the time until it is due.
    pub fn place_batch(
        self: &Arc<Self>,
        requirements: &Requirements<'_>,
        urgency: Urgency,
        left: Duration,
    ) -> Option<(Placement, Receiver<()>)> {
        let now = self.now();
        let mut state = self.lock();
        let State { fleet, rng, .. } = &mut *state;
        let Some(worker) = fleet.choose_batch(requirements, urgency, rng, now) else {
            if !state.is_behind(requirements) {
                self.ask(&mut state, requirements, Class::Batch, 1);
            }
            return None;
        };
        let key = fleet::key(&worker.id);
        let load = fleet.level(key).total();
        state.fleet.start_request(key, Class::Batch);
        let (sender, receiver) = bounded(1);
        let number = state.next_number;
        state.next_number += 1;
        let run = BatchRun {
            running: Running {
                due: (urgency == Urgency::Timely).then(|| now.saturating_add(left)),
                number,
            },
            yield_sender: sender,
        };
        state.batch_runs.entry(key).or_default().push(run);
        drop(state);
        self.notify();
        let placement = Placement {
            dispatch: self.clone(),
            worker,
            load,
            chosen: self.start + now,
            path: Path::default(),
            class: Class::Batch,
            team: None,
            run: Some(number),
            awaited: None,
            gaps: Gaps::default(),
            started: now,
            progress: now,
            released: false,
        };
        Some((placement, receiver))
    }

    /// Returns the refusal for a request when all workers are full.
    pub fn busy(&self) -> Busy {
        let span = MAX_RETRY_DELAY - MIN_RETRY_DELAY;
        Busy {
            retry_after: MIN_RETRY_DELAY + span.mul_f64(fastrand::f64()),
        }
    }

    fn placement(self: &Arc<Self>, grant: Grant, claim: &Claim) -> Placement {
        let now = self.now();
        self.lock().count_running(claim.team.as_ref(), true);
        Placement {
            dispatch: self.clone(),
            worker: grant.worker,
            load: grant.load,
            chosen: grant.chosen,
            path: Path::default(),
            class: Class::Online,
            team: claim.team.clone(),
            run: None,
            awaited: None,
            gaps: Gaps::default(),
            started: now,
            progress: now,
            released: false,
        }
    }

    /// Chooses a worker for an online request and counts the request as in flight.
    fn choose(&self, state: &mut State, requirements: &Requirements<'_>) -> Option<Grant> {
        let State { fleet, rng, .. } = state;
        let worker = fleet.choose_online(requirements, rng, self.now())?;
        let grant = self.start_online(state, worker);
        if grant.load >= grant.worker.slots {
            // The next requests need not queue at a worker if another one grants permits.
            self.ask(state, requirements, Class::Online, 1);
        }
        Some(grant)
    }

    fn start_online(&self, state: &mut State, worker: Arc<Worker>) -> Grant {
        let key = fleet::key(&worker.id);
        let load = state.fleet.level(key).total();
        state.fleet.start_request(key, Class::Online);
        self.signal_yields(state);
        self.notify();
        Grant {
            worker,
            load,
            chosen: Instant::now(),
        }
    }

    /// Assigns free slots to queued requests and tells batch items to yield.
    fn assign_queued(&self, state: &mut State) {
        let order = state.queue_order();
        let mut queue: Vec<Option<Waiter>> = state.queue.drain(..).map(Some).collect();
        for position in order {
            let Some(waiter) = queue[position].take() else {
                continue;
            };
            let Some(grant) = self.choose(state, &waiter.requirements()) else {
                queue[position] = Some(waiter);
                continue;
            };
            state.turn += 1;
            let key = fleet::key(&grant.worker.id);
            if waiter.grant.try_send(grant).is_err() {
                state.fleet.finish_request(key, Class::Online);
            }
        }
        state.queue = queue.into_iter().flatten().collect();
        self.ask_for_queued(state);
        self.signal_yields(state);
    }

    fn signal_yields(&self, state: &mut State) {
        for (worker, count) in state.fleet.required_yields() {
            let Some(batch_runs) = state.batch_runs.get_mut(&worker) else {
                continue;
            };
            let running: Vec<Running> = batch_runs.iter().map(|r| r.running).collect();
            for position in yields::order(&running).into_iter().take(count as usize) {
                let _ = batch_runs[position].yield_sender.try_send(());
            }
        }
    }

    /// Triggers a heartbeat with the new levels and backlog to the other instances.
    pub fn notify(&self) {
        let _ = self.changed.0.try_send(());
    }
}

impl Drop for Placement {
    fn drop(&mut self) {
        self.release();
    }
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.dispatch.lock();
        state.queue.retain(|w| w.number != self.number);
        // Releases a grant that arrived together with the timeout.
        if let Ok(grant) = self.granted.try_recv() {
            state
                .fleet
                .finish_request(fleet::key(&grant.worker.id), Class::Online);
            self.dispatch.assign_queued(&mut state);
        }
    }
}
