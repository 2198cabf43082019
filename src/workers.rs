//! Live counts of requests on each worker, shared by all threads of an entry instance.

use std::{
    sync::{
        Arc, Mutex, PoisonError, RwLock,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use arc_swap::ArcSwapOption;
use smol::channel::{Receiver, Sender};

use crate::{
    admit::{self, Admission, Demand},
    affinity::Affinity,
    free_index::FreeIndex,
    ids::{InstanceId, Map, WorkerId},
    mutex::lock,
};

/// Time for which a batch stream without a first token counts as starting at most, so that a
/// driver that never reports first tokens does not stop admission.
const START_LIMIT: Duration = Duration::from_secs(1);
/// Equal reports in a row after which a report counts as frozen, when own counts changed.
const FROZEN_REPORTS: u32 = 4;
/// Change of the own counts that a live report must have followed.
const FROZEN_CHANGE: u32 = 2;

/// A load report of an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Streams that run.
    pub running: u32,
    /// Requests admitted and not started.
    pub waiting: u32,
}

/// Counts of one worker. All methods may be called from any thread.
#[derive(Debug)]
pub struct WorkerCell {
    /// Name of the worker.
    pub id: WorkerId,
    online: AtomicU32,
    /// Slots that own long prompts claim until their first token.
    claims: AtomicU32,
    /// Online requests of peers by their notices.
    peers: AtomicU32,
    /// Online requests of other instances by the owner's last digest.
    announced: AtomicU32,
    slots: AtomicU32,
    seat: ArcSwapOption<Seat>,
    state: Mutex<CellState>,
}

/// Place of a worker in the index of the latest router.
#[derive(Debug)]
struct Seat {
    index: Arc<FreeIndex>,
    place: usize,
    slots: u32,
}

#[derive(Debug, Default)]
struct CellState {
    admission: Admission,
    peers: Map<InstanceId, u32>,
    batch: Vec<BatchStream>,
    report: Load,
    frozen: Frozen,
    next: u64,
}

/// Detects a load report that does not follow the worker any more.
#[derive(Debug, Default)]
struct Frozen {
    equal: u32,
    low: u32,
    high: u32,
}

impl Frozen {
    fn observe(&mut self, changed: bool, known: u32) {
        if changed {
            *self = Self {
                equal: 0,
                low: known,
                high: known,
            };
            return;
        }
        self.equal += 1;
        self.low = self.low.min(known);
        self.high = self.high.max(known);
    }

    fn holds(&self) -> bool {
        self.equal >= FROZEN_REPORTS && self.high - self.low >= FROZEN_CHANGE
    }
}

#[derive(Debug)]
struct BatchStream {
    number: u64,
    begun: Duration,
    started: bool,
    told: bool,
    stop: Sender<()>,
}

impl BatchStream {
    fn starting(&self, now: Duration) -> bool {
        !self.started && now < self.begun + START_LIMIT
    }
}

/// Counts an online request on its worker until it is dropped.
#[derive(Debug)]
pub struct OnlineGuard {
    cell: Arc<WorkerCell>,
    claim: AtomicU32,
}

/// Counts a batch stream on its worker until it is dropped, and tells when it must yield.
#[derive(Debug)]
pub struct BatchGuard {
    cell: Arc<WorkerCell>,
    number: u64,
    /// Receives one message when the stream must yield.
    pub yielded: Receiver<()>,
}

impl WorkerCell {
    fn new(id: WorkerId) -> Self {
        Self {
            id,
            online: AtomicU32::new(0),
            claims: AtomicU32::new(0),
            peers: AtomicU32::new(0),
            announced: AtomicU32::new(0),
            slots: AtomicU32::new(0),
            seat: ArcSwapOption::empty(),
            state: Mutex::default(),
        }
    }

    /// Counts an online request of this instance and makes batch streams yield for it at once.
    pub fn begin_online(self: &Arc<Self>, now: Duration) -> OnlineGuard {
        self.begin_prompt(0, now)
    }

    /// Counts an online request like [`Self::begin_online`]. A long prompt, of which the worker has
    /// to compute `fresh` blocks, makes more batch streams yield until its first token.
    pub fn begin_prompt(self: &Arc<Self>, fresh: usize, now: Duration) -> OnlineGuard {
        let slots = self.slots.load(Ordering::SeqCst);
        let claim = match fresh {
            0 => 0,
            _ => self.lock().admission.claim(slots, fresh),
        };
        self.online.fetch_add(1, Ordering::SeqCst);
        self.claims.fetch_add(claim, Ordering::SeqCst);
        self.index();
        self.rebalance(now, true);
        OnlineGuard {
            cell: self.clone(),
            claim: AtomicU32::new(claim),
        }
    }

    /// Counts a batch stream, when the worker has room for one.
    pub fn begin_batch(self: &Arc<Self>, now: Duration) -> Option<BatchGuard> {
        let mut state = self.lock();
        let demand = self.demand(&state, now);
        if state.admission.room(now, demand) == 0 {
            return None;
        }
        let (stop, yielded) = smol::channel::bounded(1);
        let number = state.next;
        state.next += 1;
        state.batch.push(BatchStream {
            number,
            begun: now,
            started: false,
            told: false,
            stop,
        });
        drop(state);
        Some(BatchGuard {
            cell: self.clone(),
            number,
            yielded,
        })
    }

    /// Returns how many more batch streams the worker has room for.
    pub fn free_batch_slots(&self, now: Duration) -> u32 {
        let mut state = self.lock();
        let demand = self.demand(&state, now);
        state.admission.room(now, demand)
    }

    /// Sets how many online requests a peer has in flight on the worker.
    pub fn set_peer_level(&self, peer: &InstanceId, level: u32, now: Duration) {
        let mut state = self.lock();
        let before = match level {
            0 => state.peers.remove(peer),
            _ => state.peers.insert(peer.clone(), level),
        };
        let total = state.peers.values().sum();
        self.peers.store(total, Ordering::SeqCst);
        drop(state);
        self.index();
        self.rebalance(now, level > before.unwrap_or(0));
    }

    /// Takes over a load report of the engine.
    pub fn set_report(&self, report: Load, slots: u32, now: Duration) {
        self.slots.store(slots, Ordering::SeqCst);
        let mut state = self.lock();
        let known = self.known_online() + state.batch.len() as u32;
        let changed = state.report != report;
        state.frozen.observe(changed, known);
        state.report = report;
        drop(state);
        self.index();
        self.rebalance(now, false);
    }

    /// Takes over the number of all online requests on the worker from its owner's digest. The own
    /// ones are part of it, as far as the owner knew them.
    pub fn set_announced(&self, online: u32) {
        let others = online.saturating_sub(self.online());
        self.announced.store(others, Ordering::SeqCst);
        self.index();
    }

    /// Returns the online requests on the worker as far as this instance knows: its own exactly,
    /// those of others by notices to the owner or by the owner's digest. Takes no lock.
    pub fn load(&self) -> u32 {
        let noticed = self.peers.load(Ordering::SeqCst);
        let announced = self.announced.load(Ordering::SeqCst);
        self.level() + noticed.max(announced)
    }

    /// Sets the weight of throughput against online tail, and the number of slots.
    pub fn configure(&self, weight: f64, slots: u32) {
        self.slots.store(slots, Ordering::SeqCst);
        self.lock().admission.set_weight(weight);
        self.index();
    }

    /// Keeps a place of an index up to date from now on, instead of an earlier one: it is in the
    /// index while the worker has less online requests than `slots`.
    pub fn set_index(&self, index: Arc<FreeIndex>, place: usize, slots: u32) {
        let seat = Seat {
            index,
            place,
            slots,
        };
        self.seat.store(Some(Arc::new(seat)));
        self.index();
    }

    /// Follows a change of the load in the index. All counts of the load change by sequentially
    /// consistent operations, as the index requires.
    fn index(&self) {
        if let Some(seat) = &*self.seat.load() {
            let room = || self.load() < seat.slots;
            seat.index.update(seat.place, room);
        }
    }

    /// Returns the number of online requests of this instance.
    pub fn online(&self) -> u32 {
        self.online.load(Ordering::SeqCst)
    }

    /// Returns the level of online requests of this instance that the worker's owner is told: their
    /// number and the claims of long prompts.
    pub fn level(&self) -> u32 {
        let slots = self.slots.load(Ordering::SeqCst);
        let claims = self.claims.load(Ordering::SeqCst);
        admit::level(slots, self.online(), claims)
    }

    /// Returns what is known of the worker's load. Batch streams are all counted as started.
    pub fn current_demand(&self) -> Demand {
        self.demand(&self.lock(), Duration::MAX)
    }

    /// Makes batch streams yield to the present load; after a rise of online requests also those
    /// that would delay them by their prefill.
    fn rebalance(&self, now: Duration, rise: bool) {
        let mut state = self.lock();
        let demand = self.demand(&state, now);
        let excess = state.admission.excess(now, demand) as usize;
        let preempts = rise && state.admission.preempts();
        // The most recently started streams yield first: they have the least work to lose.
        let keep = state.batch.len().saturating_sub(excess);
        for (i, stream) in state.batch.iter_mut().enumerate() {
            let yields = i >= keep || (preempts && stream.starting(now));
            if yields && !stream.told {
                stream.told = true;
                let _ = stream.stop.try_send(());
            }
        }
    }

    fn known_online(&self) -> u32 {
        self.level() + self.peers.load(Ordering::SeqCst)
    }

    fn demand(&self, state: &CellState, now: Duration) -> Demand {
        let reported = match state.frozen.holds() {
            true => 0,
            false => state.report.running + state.report.waiting,
        };
        let starting = state.batch.iter().filter(|s| s.starting(now)).count();
        Demand {
            slots: self.slots.load(Ordering::SeqCst),
            online: self.known_online(),
            batch: state.batch.len() as u32,
            starting: starting as u32,
            reported,
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, CellState> {
        lock(&self.state)
    }
}

impl OnlineGuard {
    /// Marks that the first token has arrived, so that the prompt claims no more slots. Says
    /// whether that changed the level, which the worker's owner is told then.
    pub fn first_token(&self) -> bool {
        let claim = self.claim.swap(0, Ordering::SeqCst);
        if claim > 0 {
            self.cell.claims.fetch_sub(claim, Ordering::SeqCst);
            self.cell.index();
        }
        claim > 0
    }
}

impl Drop for OnlineGuard {
    fn drop(&mut self) {
        self.first_token();
        self.cell.online.fetch_sub(1, Ordering::SeqCst);
        self.cell.index();
    }
}

impl BatchGuard {
    /// Marks that the stream's first token has arrived, so that the next one may start.
    pub fn started(&self) {
        let mut state = self.cell.lock();
        let mut streams = state.batch.iter_mut();
        if let Some(stream) = streams.find(|s| s.number == self.number) {
            stream.started = true;
        }
    }
}

impl Drop for BatchGuard {
    fn drop(&mut self) {
        self.cell.lock().batch.retain(|s| s.number != self.number);
    }
}

/// Counts of all workers.
#[derive(Debug)]
pub struct WorkerTable {
    cells: RwLock<Map<WorkerId, Arc<WorkerCell>>>,
    affinity: Arc<Mutex<Affinity>>,
    start: Instant,
}

impl Default for WorkerTable {
    fn default() -> Self {
        Self {
            cells: RwLock::default(),
            affinity: Arc::default(),
            start: Instant::now(),
        }
    }
}

impl WorkerTable {
    /// Returns the cell of a worker, made on first use.
    pub fn cell(&self, id: &WorkerId) -> Arc<WorkerCell> {
        let cells = self.cells.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(cell) = cells.get(id) {
            return cell.clone();
        }
        drop(cells);
        let mut cells = self.cells.write().unwrap_or_else(PoisonError::into_inner);
        let made = cells
            .entry(id.clone())
            .or_insert_with(|| Arc::new(WorkerCell::new(id.clone())));
        made.clone()
    }

    /// Returns what is known of the workers' prefix caches; shared by the routers of all views.
    pub fn affinity(&self) -> Arc<Mutex<Affinity>> {
        self.affinity.clone()
    }

    /// Returns the time since the table was made; the clock of all its cells.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }
}
