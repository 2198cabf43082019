//! Live counts of requests on each worker, shared by all threads of an entry instance.

use std::{
    sync::{
        Arc, Mutex, PoisonError, RwLock,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use smol::channel::{Receiver, Sender};

use crate::{
    admit::{Admission, Demand},
    ids::{InstanceId, Map, WorkerId},
};

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
    slots: AtomicU32,
    state: Mutex<CellState>,
}

#[derive(Debug, Default)]
struct CellState {
    admission: Admission,
    peers: Map<InstanceId, u32>,
    batch: Vec<BatchStream>,
    report: Load,
    next: u64,
}

#[derive(Debug)]
struct BatchStream {
    number: u64,
    stop: Sender<()>,
}

/// Counts an online request on its worker until it is dropped.
#[derive(Debug)]
pub struct OnlineGuard(Arc<WorkerCell>);

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
            slots: AtomicU32::new(0),
            state: Mutex::default(),
        }
    }

    /// Counts an online request of this instance and makes batch streams yield for it at once.
    pub fn begin_online(self: &Arc<Self>, now: Duration) -> OnlineGuard {
        self.online.fetch_add(1, Ordering::Relaxed);
        self.rebalance(now);
        OnlineGuard(self.clone())
    }

    /// Counts a batch stream, when the worker has room for one.
    pub fn begin_batch(self: &Arc<Self>, now: Duration) -> Option<BatchGuard> {
        let mut state = self.lock();
        let demand = self.demand(&state);
        if state.admission.room(now, demand) == 0 {
            return None;
        }
        let (stop, yielded) = smol::channel::bounded(1);
        let number = state.next;
        state.next += 1;
        state.batch.push(BatchStream { number, stop });
        drop(state);
        Some(BatchGuard {
            cell: self.clone(),
            number,
            yielded,
        })
    }

    /// Returns how many more batch streams the worker has room for.
    pub fn batch_room(&self, now: Duration) -> u32 {
        let mut state = self.lock();
        let demand = self.demand(&state);
        state.admission.room(now, demand)
    }

    /// Sets how many online requests a peer has in flight on the worker.
    pub fn set_peer_level(&self, peer: &InstanceId, level: u32, now: Duration) {
        let mut state = self.lock();
        if level == 0 {
            state.peers.remove(peer);
        } else {
            state.peers.insert(peer.clone(), level);
        }
        drop(state);
        self.rebalance(now);
    }

    /// Takes over a load report of the engine.
    pub fn set_report(&self, report: Load, slots: u32, now: Duration) {
        self.slots.store(slots, Ordering::Relaxed);
        self.lock().report = report;
        self.rebalance(now);
    }

    /// Sets the weight of throughput against online tail, and the number of slots.
    pub fn configure(&self, weight: f64, slots: u32) {
        self.slots.store(slots, Ordering::Relaxed);
        self.lock().admission.set_weight(weight);
    }

    /// Returns the number of online requests of this instance.
    pub fn online(&self) -> u32 {
        self.online.load(Ordering::Relaxed)
    }

    /// Returns what is known of the worker's load.
    pub fn known(&self) -> Demand {
        self.demand(&self.lock())
    }

    fn rebalance(&self, now: Duration) {
        let mut state = self.lock();
        let demand = self.demand(&state);
        let excess = state.admission.excess(now, demand) as usize;
        // The most recently started streams yield first: they have the least work to lose.
        let keep = state.batch.len().saturating_sub(excess);
        for stream in &state.batch[keep..] {
            let _ = stream.stop.try_send(());
        }
    }

    fn demand(&self, state: &CellState) -> Demand {
        Demand {
            slots: self.slots.load(Ordering::Relaxed),
            online: self.online() + state.peers.values().sum::<u32>(),
            batch: state.batch.len() as u32,
            reported: state.report.running + state.report.waiting,
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, CellState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for OnlineGuard {
    fn drop(&mut self) {
        self.0.online.fetch_sub(1, Ordering::Relaxed);
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
    start: Instant,
}

impl Default for WorkerTable {
    fn default() -> Self {
        Self {
            cells: RwLock::default(),
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

    /// Returns the time since the table was made; the clock of all its cells.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }
}
