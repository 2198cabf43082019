//! Model of an engine: continuous batching in iterations, admission in the order of arrival,
//! chunked prefill, and a prefix cache of limited size.

use std::collections::VecDeque;

use gentianpath::affinity::{CacheChange, CacheEvent};

use crate::{Micros, trace::prefix_blocks};

/// Maximum number of running streams of an engine.
pub const SLOTS: u32 = 16;
/// Time of an iteration without streams.
const BASE: Micros = 20_000;
/// Time that each decoding stream adds to an iteration.
const PER_STREAM: Micros = 400;
/// Time that each prompt token adds to an iteration.
const PER_PROMPT_TOKEN: Micros = 100;
/// Maximum number of prompt tokens computed in an iteration.
const CHUNK: u32 = 512;
/// Capacity of the cache, in prompt prefixes.
const CACHED_PREFIXES: usize = 16;

/// A request to an engine.
#[derive(Debug, Clone)]
pub struct Stream {
    /// Id, unique in a run.
    pub id: u64,
    /// Whether it is batch work.
    pub batch: bool,
    /// Number of its shared prompt prefix.
    pub prefix: u32,
    /// Tokens of the shared prefix.
    pub shared: u32,
    /// Tokens of the prompt after the shared prefix.
    pub own: u32,
    /// Tokens to generate.
    pub tokens: u32,
}

/// What an engine reports at the end of an iteration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Output {
    /// The first token of a stream.
    First(u64),
    /// A stream is complete.
    Done(u64),
    /// A stream was cancelled after it had generated this many tokens.
    Stopped(u64, u32),
}

#[derive(Debug)]
struct Running {
    stream: Stream,
    prefill: u32,
    chunk: u32,
    prefilled: u32,
    generated: u32,
    cancelled: bool,
}

/// Total work of an engine.
#[derive(Debug, Clone, Copy, Default)]
pub struct Work {
    /// Generated tokens of online requests.
    pub online: u64,
    /// Generated tokens of batch items.
    pub batch: u64,
    /// Prompt tokens computed for online requests.
    pub online_prompt: u64,
    /// Prompt tokens computed for batch items.
    pub batch_prompt: u64,
    /// Prompt tokens computed for batch streams that were cancelled later.
    pub lost_prompt: u64,
}

/// One engine.
#[derive(Debug, Default)]
pub struct Engine {
    running: Vec<Running>,
    waiting: VecDeque<Stream>,
    cache: VecDeque<u32>,
    events: Vec<CacheEvent>,
    numbered: u64,
    /// Number of crashes; iterations of an earlier epoch are ignored.
    pub epoch: u32,
    /// Whether an iteration is in progress.
    pub busy: bool,
    /// Work done so far.
    pub work: Work,
}

impl Engine {
    /// Adds a request to the end of the queue.
    pub fn admit(&mut self, stream: Stream) {
        self.waiting.push_back(stream);
    }

    /// Cancels a running stream at the end of the iteration, or a waiting one immediately.
    pub fn cancel(&mut self, id: u64) -> Option<Output> {
        if let Some(at) = self.waiting.iter().position(|s| s.id == id) {
            self.waiting.remove(at);
            return Some(Output::Stopped(id, 0));
        }
        let mut running = self.running.iter_mut();
        running.find(|r| r.stream.id == id)?.cancelled = true;
        None
    }

    /// Starts an iteration and returns its duration, or `None` without work.
    pub fn begin(&mut self) -> Option<Micros> {
        while self.running.len() < SLOTS as usize {
            let Some(stream) = self.waiting.pop_front() else {
                break;
            };
            self.start(stream);
        }
        if self.running.is_empty() {
            return None;
        }
        self.busy = true;
        let mut budget = CHUNK;
        let mut decoding = 0;
        for r in &mut self.running {
            r.chunk = r.prefill.min(budget);
            budget -= r.chunk;
            decoding += u64::from(r.prefill == 0);
        }
        let prompt = u64::from(CHUNK - budget);
        Some(BASE + PER_STREAM * decoding + PER_PROMPT_TOKEN * prompt)
    }

    /// Ends an iteration and returns what it produced.
    pub fn end(&mut self) -> Vec<Output> {
        self.busy = false;
        let mut outputs = Vec::new();
        for r in &mut self.running {
            advance(r, &mut self.work, &mut outputs);
        }
        let work = &mut self.work;
        self.running.retain(|r| {
            let done = r.generated == r.stream.tokens;
            if r.cancelled && !done {
                outputs.push(Output::Stopped(r.stream.id, r.generated));
                work.lost_prompt += u64::from(r.prefilled);
            }
            !done && !r.cancelled
        });
        outputs
    }

    /// Crashes: drops all streams and the cache, and returns the ids of the streams with their
    /// generated tokens.
    pub fn crash(&mut self) -> Vec<(u64, u32)> {
        let running = self.running.iter().map(|r| (r.stream.id, r.generated));
        let lost = running.chain(self.waiting.iter().map(|s| (s.id, 0)));
        let lost = lost.collect();
        *self = Self {
            work: self.work,
            epoch: self.epoch + 1,
            ..Self::default()
        };
        lost
    }

    /// Returns the numbers of running and of waiting requests.
    pub fn load(&self) -> (u32, u32) {
        (self.running.len() as u32, self.waiting.len() as u32)
    }

    /// Takes the cache events since the last call.
    pub fn take_events(&mut self) -> Vec<CacheEvent> {
        std::mem::take(&mut self.events)
    }

    fn start(&mut self, stream: Stream) {
        let cached = self.touch(stream.prefix);
        let shared = if cached { 0 } else { stream.shared };
        self.running.push(Running {
            // The last prompt token is always computed.
            prefill: (shared + stream.own).max(1),
            stream,
            chunk: 0,
            prefilled: 0,
            generated: 0,
            cancelled: false,
        });
    }

    /// Moves a prefix to the front of the cache and returns whether it was cached.
    fn touch(&mut self, prefix: u32) -> bool {
        let position = self.cache.iter().position(|&p| p == prefix);
        if let Some(at) = position {
            self.cache.remove(at);
        } else {
            self.publish(CacheChange::Stored(prefix_blocks(prefix)));
        }
        self.cache.push_front(prefix);
        if self.cache.len() > CACHED_PREFIXES {
            let evicted = self.cache.pop_back().unwrap_or(prefix);
            self.publish(CacheChange::Removed(prefix_blocks(evicted)));
        }
        position.is_some()
    }

    fn publish(&mut self, change: CacheChange) {
        let number = self.numbered;
        self.numbered += 1;
        self.events.push(CacheEvent { number, change });
    }
}

fn advance(r: &mut Running, work: &mut Work, outputs: &mut Vec<Output>) {
    let batch = r.stream.batch;
    let prompt = if batch {
        &mut work.batch_prompt
    } else {
        &mut work.online_prompt
    };
    *prompt += u64::from(r.chunk);
    r.prefilled += r.chunk;
    r.prefill -= r.chunk;
    r.chunk = 0;
    if r.prefill > 0 || r.cancelled {
        return;
    }
    r.generated += 1;
    let tokens = if batch {
        &mut work.batch
    } else {
        &mut work.online
    };
    *tokens += 1;
    if r.generated == 1 {
        outputs.push(Output::First(r.stream.id));
    }
    if r.generated == r.stream.tokens {
        outputs.push(Output::Done(r.stream.id));
    }
}

/// Returns the engine time of some work in a full engine, in microseconds.
pub fn full_time(prompt: u64, tokens: u64) -> f64 {
    let iteration = (BASE + PER_STREAM * u64::from(SLOTS)) as f64;
    (prompt * PER_PROMPT_TOKEN) as f64 + tokens as f64 * iteration / f64::from(SLOTS)
}
