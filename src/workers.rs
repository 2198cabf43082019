//! Live request counts of each worker, shared by all threads of an entry instance.

use std::{
    sync::{
        Arc, PoisonError,
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
    mutex::{Mutex, MutexGuard, RwLock, lock},
};

/// Maximum time for which a batch stream without a first token counts as starting, so that a driver
/// that never reports first tokens does not block admission.
const START_LIMIT: Duration = Duration::from_secs(1);
/// Number of equal reports in a row after which a report counts as frozen, if this instance's
/// counts changed.
const FROZEN_REPORTS: u32 = 4;
/// Change of this instance's counts after which a live report would have changed, too.
const FROZEN_CHANGE: u32 = 2;

/// Load as reported by an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Streams that run.
    pub running: u32,
    /// Requests admitted and not started.
    pub waiting: u32,
}

/// Request counts of one worker. All methods may be called from any thread.
#[derive(Debug)]
pub struct WorkerCell {
    /// Id of the worker.
    pub id: WorkerId,
    online: AtomicU32,
    /// Slots that long prompts of this instance reserve until their first token.
    reserved: AtomicU32,
    /// Online requests of peers, from their notifications.
    peers: AtomicU32,
    /// Online requests of other instances, from the owner's last digest.
    announced: AtomicU32,
    slots: AtomicU32,
    index_entry: ArcSwapOption<IndexEntry>,
    state: Mutex<CellState>,
}

/// Entry of a worker in the free-slot index of the latest router.
#[derive(Debug)]
struct IndexEntry {
    index: Arc<FreeIndex>,
    position: usize,
    slots: u32,
}

#[derive(Debug, Default)]
struct CellState {
    admission: Admission,
    peers: Map<InstanceId, u32>,
    batch: Vec<BatchStream>,
    report: Load,
    frozen: FrozenDetector,
    next: u64,
}

/// Detects a load report that no longer follows the worker's load.
#[derive(Debug, Default)]
struct FrozenDetector {
    equal: u32,
    low: u32,
    high: u32,
}

impl FrozenDetector {
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

    fn is_frozen(&self) -> bool {
        self.equal >= FROZEN_REPORTS && self.high - self.low >= FROZEN_CHANGE
    }
}

#[derive(Debug)]
struct BatchStream {
    number: u64,
    begun: Duration,
    started: bool,
    notified: bool,
    stop: Sender<()>,
}

impl BatchStream {
    fn is_starting(&self, now: Duration) -> bool {
        !self.started && now < self.begun + START_LIMIT
    }
}

/// Counts an online request on its worker until dropped.
#[derive(Debug)]
pub struct OnlineGuard {
    cell: Arc<WorkerCell>,
    reserved: AtomicU32,
}

/// Counts a batch stream on its worker until dropped, and signals when it must yield.
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
            reserved: AtomicU32::new(0),
            peers: AtomicU32::new(0),
            announced: AtomicU32::new(0),
            slots: AtomicU32::new(0),
            index_entry: ArcSwapOption::empty(),
            state: Mutex::default(),
        }
    }

    /// Counts an online request of this instance and at once makes batch streams yield to it.
    pub fn begin_online(self: &Arc<Self>, now: Duration) -> OnlineGuard {
        self.begin_prompt(0, now)
    }

    /// Counts an online request like [`Self::begin_online`]. With many blocks to compute
    /// (`uncached`), the prompt reserves slots until its first token, so that more batch streams
    /// yield.
    pub fn begin_prompt(self: &Arc<Self>, uncached: usize, now: Duration) -> OnlineGuard {
        let slots = self.slots.load(Ordering::SeqCst);
        let reserved = match uncached {
            0 => 0,
            _ => self.lock().admission.reserved_slots(slots, uncached),
        };
        self.online.fetch_add(1, Ordering::SeqCst);
        self.reserved.fetch_add(reserved, Ordering::SeqCst);
        self.update_index();
        self.rebalance(now, true);
        OnlineGuard {
            cell: self.clone(),
            reserved: AtomicU32::new(reserved),
        }
    }

    /// Counts a batch stream. Returns `None` when the worker cannot take one now.
    pub fn begin_batch(self: &Arc<Self>, now: Duration) -> Option<BatchGuard> {
        let mut state = self.lock();
        let demand = self.demand(&state, now);
        if state.admission.free_slots(now, demand) == 0 {
            return None;
        }
        let (stop, yielded) = smol::channel::bounded(1);
        let number = state.next;
        state.next += 1;
        state.batch.push(BatchStream {
            number,
            begun: now,
            started: false,
            notified: false,
            stop,
        });
        drop(state);
        Some(BatchGuard {
            cell: self.clone(),
            number,
            yielded,
        })
    }

    /// Returns how many more batch streams the worker can take now.
    pub fn free_batch_slots(&self, now: Duration) -> u32 {
        let mut state = self.lock();
        let demand = self.demand(&state, now);
        state.admission.free_slots(now, demand)
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
        self.update_index();
        self.rebalance(now, level > before.unwrap_or(0));
    }

    /// Stores a load report of the engine.
    pub fn set_report(&self, report: Load, slots: u32, now: Duration) {
        self.slots.store(slots, Ordering::SeqCst);
        let mut state = self.lock();
        let known = self.known_online() + state.batch.len() as u32;
        let changed = state.report != report;
        state.frozen.observe(changed, known);
        state.report = report;
        drop(state);
        self.update_index();
        self.rebalance(now, false);
    }

    /// Stores the number of all online requests on the worker, as announced in its owner's digest.
    /// It includes the requests of this instance that the owner knew of.
    pub fn set_announced(&self, online: u32) {
        let others = online.saturating_sub(self.online());
        self.announced.store(others, Ordering::SeqCst);
        self.update_index();
    }

    /// Returns the known online load of the worker: the exact level of this instance, and for other
    /// instances the higher of peer notifications and the owner's digest. Takes no lock.
    pub fn load(&self) -> u32 {
        let notified = self.peers.load(Ordering::SeqCst);
        let announced = self.announced.load(Ordering::SeqCst);
        self.level() + notified.max(announced)
    }

    /// Sets the weight of batch throughput against online tail latency, and the number of slots.
    pub fn configure(&self, weight: f64, slots: u32) {
        self.slots.store(slots, Ordering::SeqCst);
        self.lock().admission.set_weight(weight);
        self.update_index();
    }

    /// Registers the worker at a position of an index, which replaces an earlier index. The
    /// position is in the index while the worker has fewer online requests than `slots`.
    pub fn set_index(&self, index: Arc<FreeIndex>, position: usize, slots: u32) {
        let entry = IndexEntry {
            index,
            position,
            slots,
        };
        self.index_entry.store(Some(Arc::new(entry)));
        self.update_index();
    }

    /// Updates the index after a change of the load. All counts that make up the load change by
    /// sequentially consistent operations, as the index requires.
    fn update_index(&self) {
        if let Some(entry) = &*self.index_entry.load() {
            let is_free = || self.load() < entry.slots;
            entry.index.update(entry.position, is_free);
        }
    }

    /// Returns the number of online requests of this instance.
    pub fn online(&self) -> u32 {
        self.online.load(Ordering::SeqCst)
    }

    /// Returns the level that this instance reports to the worker's owner: its online requests and
    /// the slots that its long prompts reserve.
    pub fn level(&self) -> u32 {
        let slots = self.slots.load(Ordering::SeqCst);
        let reserved = self.reserved.load(Ordering::SeqCst);
        admit::level(slots, self.online(), reserved)
    }

    /// Returns the known load of the worker, with all batch streams counted as started.
    pub fn current_demand(&self) -> Demand {
        self.demand(&self.lock(), Duration::MAX)
    }

    /// Makes excess batch streams yield. After an increase of online requests, streams whose
    /// prefill would delay them yield, too.
    fn rebalance(&self, now: Duration, rise: bool) {
        let mut state = self.lock();
        let demand = self.demand(&state, now);
        let excess = state.admission.excess(now, demand) as usize;
        let preempts = rise && state.admission.preempts();
        // The most recently started streams yield first, because they lose the least work.
        let keep = state.batch.len().saturating_sub(excess);
        for (i, stream) in state.batch.iter_mut().enumerate() {
            let yields = i >= keep || (preempts && stream.is_starting(now));
            if yields && !stream.notified {
                stream.notified = true;
                let _ = stream.stop.try_send(());
            }
        }
    }

    fn known_online(&self) -> u32 {
        self.level() + self.peers.load(Ordering::SeqCst)
    }

    fn demand(&self, state: &CellState, now: Duration) -> Demand {
        let reported = match state.frozen.is_frozen() {
            true => 0,
            false => state.report.running + state.report.waiting,
        };
        let starting = state.batch.iter().filter(|s| s.is_starting(now)).count();
        Demand {
            slots: self.slots.load(Ordering::SeqCst),
            online: self.known_online(),
            batch: state.batch.len() as u32,
            starting: starting as u32,
            reported,
        }
    }

    fn lock(&self) -> MutexGuard<'_, CellState> {
        lock(&self.state)
    }
}

impl OnlineGuard {
    /// Records the first token, which releases the slots that the prompt reserved. Returns whether
    /// that changed the level, which then must be reported to the worker's owner.
    pub fn first_token(&self) -> bool {
        let reserved = self.reserved.swap(0, Ordering::SeqCst);
        if reserved > 0 {
            self.cell.reserved.fetch_sub(reserved, Ordering::SeqCst);
            self.cell.update_index();
        }
        reserved > 0
    }
}

impl Drop for OnlineGuard {
    fn drop(&mut self) {
        self.first_token();
        self.cell.online.fetch_sub(1, Ordering::SeqCst);
        self.cell.update_index();
    }
}

impl BatchGuard {
    /// Records the stream's first token, after which the next batch stream may start.
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

/// Request counts of all workers.
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
    /// Returns the cell of a worker, creating it on first use.
    pub fn cell(&self, id: &WorkerId) -> Arc<WorkerCell> {
        let cells = self.cells.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(cell) = cells.get(id) {
            return cell.clone();
        }
        drop(cells);
        let mut cells = self.cells.write().unwrap_or_else(PoisonError::into_inner);
        let created = cells
            .entry(id.clone())
            .or_insert_with(|| Arc::new(WorkerCell::new(id.clone())));
        created.clone()
    }

    /// Returns the known prefix cache contents of the workers, shared by the routers of all views.
    pub fn affinity(&self) -> Arc<Mutex<Affinity>> {
        self.affinity.clone()
    }

    /// Returns the time since the table was created, which is the clock of all its cells.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }
}
