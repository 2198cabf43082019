//! Prefix cache of an engine with a limited capacity, and its numbered events.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::{Duration, Instant},
};

use serde::Serialize;

use crate::text;

/// Size of a prompt block, in bytes.
pub const BLOCK_BYTES: usize = 64;
/// Number of past events that an engine keeps.
const EVENT_LIMIT: usize = 4096;

/// Returns the hashes of the complete blocks of a prompt. The hash of a block is the FNV-1a hash of
/// the prompt up to the end of the block.
pub fn blocks(prompt: &str) -> Vec<u64> {
    let mut hash = text::hash(&[]);
    let whole = prompt.as_bytes().chunks_exact(BLOCK_BYTES);
    whole
        .map(|block| {
            hash = text::hash_from(hash, block);
            hash
        })
        .collect()
}

/// Change of the cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "lowercase")]
pub enum CacheChange {
    /// The blocks were added to the cache.
    Stored,
    /// The blocks were removed from the cache.
    Evicted,
}

/// A numbered event of the cache.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct CacheEvent {
    /// Number, from 1 without gaps.
    pub seq: u64,
    /// Kind of change.
    pub kind: CacheChange,
    /// Hashes of the blocks.
    pub blocks: Vec<u64>,
}

/// Cache that evicts the least recently used block.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: usize,
    tick: u64,
    used: HashMap<u64, u64>,
    order: BTreeMap<u64, u64>,
    events: VecDeque<(Instant, CacheEvent)>,
    seq: u64,
    gap: u32,
}

impl PrefixCache {
    /// Creates an empty cache for a number of blocks.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            tick: 0,
            used: HashMap::new(),
            order: BTreeMap::new(),
            events: VecDeque::new(),
            seq: 0,
            gap: 0,
        }
    }

    /// Drops the next events, so that readers see a gap in their numbers.
    pub fn drop_events(&mut self, count: u32) {
        self.gap = count;
    }

    /// Drops all blocks.
    pub fn clear(&mut self) {
        let all: Vec<u64> = self.used.drain().map(|(block, _)| block).collect();
        self.order.clear();
        self.publish(CacheChange::Evicted, all);
    }

    /// Adds a prompt to the cache and returns the number of its blocks that were not cached.
    pub fn insert(&mut self, prompt: &str) -> usize {
        let blocks = blocks(prompt);
        let hits = blocks
            .iter()
            .take_while(|b| self.used.contains_key(b))
            .count();
        // From the last block to the first, so that a block is never evicted before its successors.
        for block in blocks.iter().rev() {
            self.touch(*block);
        }
        let evicted = self.evict();
        self.publish(CacheChange::Stored, blocks[hits..].to_vec());
        self.publish(CacheChange::Evicted, evicted);
        prompt.len().div_ceil(BLOCK_BYTES) - hits
    }

    /// Returns the events after a number that are at least `lag` old.
    pub fn since(&self, seq: u64, lag: Duration) -> Vec<CacheEvent> {
        let visible = self.events.iter().filter(|(at, _)| at.elapsed() >= lag);
        visible
            .map(|(_, event)| event)
            .filter(|e| e.seq > seq)
            .cloned()
            .collect()
    }

    fn touch(&mut self, block: u64) {
        self.tick += 1;
        if let Some(earlier) = self.used.insert(block, self.tick) {
            self.order.remove(&earlier);
        }
        self.order.insert(self.tick, block);
    }

    fn evict(&mut self) -> Vec<u64> {
        let mut evicted = Vec::new();
        while self.used.len() > self.capacity
            && let Some((_, block)) = self.order.pop_first()
        {
            self.used.remove(&block);
            evicted.push(block);
        }
        evicted
    }

    fn publish(&mut self, kind: CacheChange, blocks: Vec<u64>) {
        if blocks.is_empty() {
            return;
        }
        self.seq += 1;
        if self.gap > 0 {
            self.gap -= 1;
            return;
        }
        let event = CacheEvent {
            seq: self.seq,
            kind,
            blocks,
        };
        self.events.push_back((Instant::now(), event));
        if self.events.len() > EVENT_LIMIT {
            self.events.pop_front();
        }
    }
}
