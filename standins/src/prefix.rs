//! Prefix cache of an engine in limited memory, and its numbered events.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::{Duration, Instant},
};

use serde::Serialize;

use crate::text;

/// Bytes of a prompt in one block.
pub const BLOCK_BYTES: usize = 64;
/// Events that an engine remembers.
const EVENT_LIMIT: usize = 4096;

/// Returns the hashes of a prompt's whole blocks: the FNV-1a hash of the prompt up to the end of
/// each block.
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

/// What happened to blocks of the cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "lowercase")]
pub enum CacheChange {
    /// The blocks are in the cache now.
    Stored,
    /// The blocks are no longer in the cache.
    Evicted,
}

/// A numbered event of the cache.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct CacheEvent {
    /// Number, from 1 without gaps.
    pub seq: u64,
    /// What happened.
    pub kind: CacheChange,
    /// Hashes of the blocks.
    pub blocks: Vec<u64>,
}

/// Cache with eviction of the least recently used block.
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
    /// Makes an empty cache for a number of blocks.
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

    /// Loses the next events, so that readers see a gap in their numbers.
    pub fn lose(&mut self, count: u32) {
        self.gap = count;
    }

    /// Drops all blocks.
    pub fn clear(&mut self) {
        let all: Vec<u64> = self.used.drain().map(|(block, _)| block).collect();
        self.order.clear();
        self.publish(CacheChange::Evicted, all);
    }

    /// Takes a prompt in and returns the number of its blocks that were not cached.
    pub fn admit(&mut self, prompt: &str) -> usize {
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
        let ripe = self.events.iter().filter(|(at, _)| at.elapsed() >= lag);
        ripe.map(|(_, event)| event)
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
