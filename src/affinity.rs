//! Prefix cache contents of workers, inferred from this instance's routing and from cache events,
//! which may be late or missing.

use std::time::Duration;

use crate::{
    fnv,
    ids::{Map, WorkerId},
};

/// Bytes of prompt text in a block.
const BLOCK_BYTES: usize = 256;
/// Maximum number of hashed blocks of a prompt; later blocks are rarely shared.
pub const MAX_BLOCKS: usize = 64;
/// Maximum number of workers tracked per block.
const MAX_HOLDERS: usize = 4;
/// Maximum number of blocks in each of the two generations.
const GENERATION_BLOCKS: usize = 65_536;
/// Maximum age of a generation. An unused block is dropped after one to two generations.
const GENERATION_AGE: Duration = Duration::from_secs(120);
/// Maximum number of workers. When it is exceeded, everything is dropped.
const MAX_WORKERS: usize = 16_384;

/// Returns the hashes of the blocks of a prompt. Each hash covers all text up to the end of its
/// block. It is FNV-1a, which is the same on every instance and in every release.
pub fn blocks(prompt: &str) -> Vec<u64> {
    let mut hash = fnv::OFFSET_BASIS;
    let whole = prompt.as_bytes().chunks_exact(BLOCK_BYTES);
    whole
        .take(MAX_BLOCKS)
        .map(|block| {
            hash = fnv::extend(hash, block.iter().copied());
            hash
        })
        .collect()
}

/// Returns the FNV-1a hash of bytes, the same on every instance and in every release.
pub fn stable_hash(bytes: &[u8]) -> u64 {
    fnv::extend(fnv::OFFSET_BASIS, bytes.iter().copied())
}

/// A change of a worker's prefix cache.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CacheChange {
    /// Blocks were stored.
    Stored(Vec<u64>),
    /// Blocks were removed.
    Removed(Vec<u64>),
}

/// A numbered cache event of a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CacheEvent {
    /// Position in the events of the worker.
    pub number: u64,
    /// The change.
    pub change: CacheChange,
}

/// A worker that holds a prefix of a prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    /// The worker.
    pub worker: WorkerId,
    /// Number of leading blocks of the prompt that it holds.
    pub depth: usize,
}

#[derive(Debug)]
struct WorkerState {
    id: WorkerId,
    /// Current epoch; entries of earlier epochs are invalid.
    epoch: u32,
    /// Number of the next expected cache event.
    next_event: Option<u64>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Entry {
    worker: u32,
    epoch: u32,
}

type Holders = [Option<Entry>; MAX_HOLDERS];

/// Known prefix cache contents of all workers. Memory is bounded by two generations of blocks.
#[derive(Debug, Default)]
pub struct Affinity {
    numbers: Map<WorkerId, u32>,
    workers: Vec<WorkerState>,
    young: Map<u64, Holders>,
    old: Map<u64, Holders>,
    opened: Duration,
}

impl Affinity {
    /// Records that a prompt was sent to a worker, which caches it.
    pub fn record_prompt(&mut self, blocks: &[u64], worker: &WorkerId, now: Duration) {
        let entry = self.entry(worker);
        for &block in blocks.iter().take(MAX_BLOCKS) {
            self.store(block, entry, now);
        }
    }

    /// Applies a cache event. An event that was applied before is ignored. A gap in the numbers
    /// invalidates all blocks of the worker, because a removal may have been missed.
    pub fn apply_event(&mut self, worker: &WorkerId, event: &CacheEvent, now: Duration) {
        let number = self.number(worker) as usize;
        let state = &mut self.workers[number];
        if state.next_event.is_some_and(|next| event.number < next) {
            return;
        }
        if state.next_event.is_some_and(|next| event.number > next) {
            state.epoch = state.epoch.wrapping_add(1);
        }
        state.next_event = Some(event.number + 1);
        match &event.change {
            CacheChange::Stored(blocks) => self.record_prompt(blocks, worker, now),
            CacheChange::Removed(blocks) => self.remove(blocks, number as u32),
        }
    }

    /// Clears a worker's blocks and event position after it restarted.
    pub fn clear(&mut self, worker: &WorkerId) {
        let number = self.number(worker) as usize;
        let state = &mut self.workers[number];
        state.epoch = state.epoch.wrapping_add(1);
        state.next_event = None;
    }

    /// Returns the workers that hold the longest known prefix of a prompt.
    pub fn holders(&self, blocks: &[u64]) -> Vec<Holder> {
        let depth = blocks.len().min(MAX_BLOCKS);
        for (i, block) in blocks[..depth].iter().enumerate().rev() {
            let found: Vec<Holder> = self
                .valid(*block)
                .map(|e| Holder {
                    worker: self.workers[e.worker as usize].id.clone(),
                    depth: i + 1,
                })
                .collect();
            if !found.is_empty() {
                return found;
            }
        }
        Vec::new()
    }

    /// Returns how many leading blocks of a prompt a worker is known to hold.
    pub fn depth(&self, blocks: &[u64], worker: &WorkerId) -> usize {
        let Some(&number) = self.numbers.get(worker) else {
            return 0;
        };
        let holds = |block: &u64| self.valid(*block).any(|e| e.worker == number);
        let known = blocks.iter().take(MAX_BLOCKS);
        known.take_while(|b| holds(b)).count()
    }

    /// Returns the number of tracked blocks.
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Returns whether no blocks are tracked.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn valid(&self, block: u64) -> impl Iterator<Item = Entry> + '_ {
        let holders = self.young.get(&block).or_else(|| self.old.get(&block));
        let entries = holders.into_iter().flatten().flatten();
        entries
            .copied()
            .filter(|e| self.workers[e.worker as usize].epoch == e.epoch)
    }

    fn store(&mut self, block: u64, entry: Entry, now: Duration) {
        self.rotate(now);
        let previous = self.old.remove(&block);
        let holders = self
            .young
            .entry(block)
            .or_insert(previous.unwrap_or_default());
        let known = holders
            .iter()
            .position(|h| h.is_some_and(|e| e.worker == entry.worker));
        // The most recent holder comes first and the least recent one is dropped.
        let end = known.unwrap_or(MAX_HOLDERS - 1);
        holders[..=end].rotate_right(1);
        holders[0] = Some(entry);
    }

    fn remove(&mut self, blocks: &[u64], worker: u32) {
        for block in blocks {
            for generation in [&mut self.young, &mut self.old] {
                let Some(holders) = generation.get_mut(block) else {
                    continue;
                };
                for holder in holders.iter_mut() {
                    holder.take_if(|e| e.worker == worker);
                }
            }
        }
    }

    /// Starts a new generation and drops the old one, when the young one is full or too old.
    fn rotate(&mut self, now: Duration) {
        let expired = now.saturating_sub(self.opened) >= GENERATION_AGE;
        if expired || self.young.len() >= GENERATION_BLOCKS {
            self.old = std::mem::take(&mut self.young);
            self.opened = now;
        }
    }

    fn entry(&mut self, worker: &WorkerId) -> Entry {
        let number = self.number(worker);
        let epoch = self.workers[number as usize].epoch;
        Entry {
            worker: number,
            epoch,
        }
    }

    fn number(&mut self, worker: &WorkerId) -> u32 {
        if let Some(&number) = self.numbers.get(worker) {
            return number;
        }
        if self.workers.len() >= MAX_WORKERS {
            *self = Self {
                opened: self.opened,
                ..Self::default()
            };
        }
        let number = self.workers.len() as u32;
        self.numbers.insert(worker.clone(), number);
        self.workers.push(WorkerState {
            id: worker.clone(),
            epoch: 0,
            next_event: None,
        });
        number
    }
}
