//! Seeded online requests and batch items of the comparison of policies over processes.

use std::{ops::Range, time::Duration};

use fastrand::Rng;
use serde_json::json;

use crate::trace::{exponential, lognormal};

/// Online requests per second and worker uniform bursts.
const CALM_RATE: f64 = 1.0;
/// Ratio of the rate of a burst to the rate uniform bursts.
const BURST_FACTOR: f64 = 10.0;
/// Shortest burst, in seconds.
const BURST_LOW: f64 = 2.0;
/// Longest burst, in seconds.
const BURST_HIGH: f64 = 5.0;
/// Shortest time uniform two bursts, in seconds.
const GAP_LOW: f64 = 7.0;
/// Longest time uniform two bursts, in seconds.
const GAP_HIGH: f64 = 10.0;
/// Shared prompt prefixes of online requests.
const PREFIXES: u32 = 16;
/// Length of the shortest shared prefix, in blocks.
const PREFIX_BLOCKS: u32 = 2;
/// Size of a prompt block, in bytes.
const BLOCK_BYTES: usize = 64;
/// Prefix of the prompts of batch items.
pub const BATCH_MARK: &str = "batch";

/// An online request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Arrival time, relative to the start of the trace.
    pub at: Duration,
    /// Number of the entry instance.
    pub entry: usize,
    /// Prompt.
    pub prompt: String,
    /// Tokens to generate.
    pub tokens: u32,
}

/// A batch item.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// Prompt.
    pub prompt: String,
    /// Tokens to generate.
    pub tokens: u32,
}

/// A trace of online requests with its bursts.
#[derive(Debug, Clone, PartialEq)]
pub struct Trace {
    /// Online requests in the order of arrival.
    pub requests: Vec<Request>,
    /// Number of bursts.
    pub bursts: usize,
    /// Ratio of the rate of a burst to the mean rate.
    pub peak: f64,
}

impl Trace {
    /// Generates the online requests of a seed.
    pub fn new(workers: usize, entries: usize, length: Duration, seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let end = length.as_secs_f64();
        let bursts = bursts(end, &mut rng);
        let calm = CALM_RATE * workers as f64;
        let mut requests = Vec::new();
        let mut at = 0.0;
        loop {
            let burst = bursts.iter().any(|b| b.contains(&at));
            let factor = if burst { BURST_FACTOR } else { 1.0 };
            at += exponential(&mut rng) / (calm * factor);
            if at >= end {
                break;
            }
            requests.push(request(requests.len(), at, entries, &mut rng));
        }
        let mean = requests.len() as f64 / end;
        Self {
            peak: calm * BURST_FACTOR / mean,
            bursts: bursts.len(),
            requests,
        }
    }
}

/// Generates the items of the batch job of a seed.
pub fn items(count: usize, seed: u64) -> Vec<Item> {
    let mut rng = Rng::with_seed(!seed);
    let item = |i| Item {
        prompt: padded(
            &format!("{BATCH_MARK} {i}"),
            lognormal(&mut rng, 150.0, 0.5, 1000),
        ),
        tokens: lognormal(&mut rng, 150.0, 0.5, 600),
    };
    (0..count).map(item).collect()
}

/// Returns the body of a submission of items.
pub fn submission(items: &[Item]) -> String {
    let line = |(i, item): (usize, &Item)| {
        json!({"id": format!("i{i}"), "prompt": item.prompt, "max_tokens": item.tokens}).to_string()
    };
    let lines: Vec<String> = items.iter().enumerate().map(line).collect();
    lines.join("\n")
}

fn bursts(end: f64, rng: &mut Rng) -> Vec<Range<f64>> {
    let mut bursts = Vec::new();
    let mut at = uniform(GAP_LOW, GAP_HIGH, rng) / 2.0;
    while at < end {
        let stop = at + uniform(BURST_LOW, BURST_HIGH, rng);
        bursts.push(at..stop.min(end));
        at = stop + uniform(GAP_LOW, GAP_HIGH, rng);
    }
    bursts
}

fn uniform(low: f64, high: f64, rng: &mut Rng) -> f64 {
    low + rng.f64() * (high - low)
}

fn request(number: usize, at: f64, entries: usize, rng: &mut Rng) -> Request {
    let prefix = rng.u32(..PREFIXES);
    let shared = (PREFIX_BLOCKS + prefix) as usize * BLOCK_BYTES;
    let shared = padded(&format!("prefix {prefix}"), shared as u32);
    let own = lognormal(rng, 250.0, 0.8, 3000);
    Request {
        at: Duration::from_secs_f64(at),
        entry: rng.usize(..entries),
        prompt: format!("{shared}{}", padded(&format!("online {number}"), own)),
        tokens: lognormal(rng, 25.0, 0.6, 200),
    }
}

/// Pads a text to a length.
fn padded(text: &str, length: u32) -> String {
    format!("{text:.<width$}", width = length as usize)
}
