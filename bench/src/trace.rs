//! Seeded traces of online requests, batch items and faults.

use std::fmt;

use clap::ValueEnum;
use fastrand::Rng;
use gentianpath::affinity::stable_hash;

use crate::{Micros, SECOND};

/// Default length of a trace.
pub const LENGTH: Micros = 3600 * SECOND;
/// Start of the fault of a trace that has one.
pub const FAULT_START: Micros = 1200 * SECOND;
/// End of the fault.
pub const FAULT_END: Micros = 1800 * SECOND;
/// Shared prompt prefixes of online requests.
const PREFIXES: u32 = 48;
/// Tokens of a cache block.
pub const BLOCK_TOKENS: u32 = 64;
/// Online requests per second and worker in a steady trace.
const STEADY_RATE: f64 = 1.0;
/// Online requests per second and worker between bursts.
const CALM_RATE: f64 = 0.8;
/// Ratio of the rate of a burst to the rate between bursts.
const BURST_FACTOR: f64 = 4.0;
/// Mean time from the end of a burst to the start of the next one, in seconds.
const BURST_GAP: f64 = 20.0;
/// Shortest burst, in seconds.
const BURST_LOW: f64 = 2.0;
/// Longest burst, in seconds.
const BURST_HIGH: f64 = 5.0;

/// Kind of a trace.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(ValueEnum)]
pub enum Kind {
    /// Requests at a constant mean rate.
    Steady,
    /// Bursts of a few seconds with several times the mean rate.
    Bursts,
    /// Many batch jobs with deadlines at about the same time.
    Rush,
    /// A worker dies and returns.
    WorkerLost,
    /// A zone is cut off from the others and reconnects.
    ZoneCut,
    /// Load reports of two workers stop changing: one reports an overload, the other one no load.
    FrozenReport,
}

impl Kind {
    /// All kinds in the order of the tables.
    pub const ALL: [Kind; 6] = [
        Kind::Steady,
        Kind::Bursts,
        Kind::Rush,
        Kind::WorkerLost,
        Kind::ZoneCut,
        Kind::FrozenReport,
    ];
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Kind::Steady => "steady",
            Kind::Bursts => "bursts",
            Kind::Rush => "batch rush",
            Kind::WorkerLost => "worker lost",
            Kind::ZoneCut => "zone cut",
            Kind::FrozenReport => "report frozen",
        })
    }
}

/// An online request of a trace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Request {
    /// Arrival at its entry instance.
    pub at: Micros,
    /// Number of the entry instance.
    pub entry: usize,
    /// Number of the shared prompt prefix.
    pub prefix: u32,
    /// Prompt tokens after the shared prefix.
    pub own: u32,
    /// Tokens to generate.
    pub tokens: u32,
}

/// Prompt and length of a batch item.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Item {
    /// Number of its job.
    pub job: usize,
    /// Prompt tokens after the job's shared prefix, including those generated so far.
    pub own: u32,
    /// Remaining tokens to generate.
    pub tokens: u32,
}

/// Returns the tokens of a shared prefix.
pub fn prefix_tokens(prefix: u32) -> u32 {
    let spread = stable_hash(&prefix.to_le_bytes()) % 20;
    (4 + spread as u32) * BLOCK_TOKENS
}

/// Returns the block hashes of a shared prefix.
pub fn prefix_blocks(prefix: u32) -> Vec<u64> {
    let blocks = prefix_tokens(prefix) / BLOCK_TOKENS;
    let hash = |block: u32| {
        let (p, b) = (prefix.to_le_bytes(), block.to_le_bytes());
        stable_hash(&[p, b].concat())
    };
    (0..blocks).map(hash).collect()
}

/// Returns the number of a job's shared prefix.
pub fn job_prefix(job: usize) -> u32 {
    PREFIXES + job as u32
}

/// Generates the online requests of a trace.
pub fn requests(
    kind: Kind,
    workers: usize,
    entries: usize,
    length: Micros,
    rng: &mut Rng,
) -> Vec<Request> {
    let bursts = match kind {
        Kind::Bursts | Kind::FrozenReport => bursts(length, rng),
        _ => Vec::new(),
    };
    let calm = if bursts.is_empty() {
        STEADY_RATE
    } else {
        CALM_RATE
    };
    let mut requests = Vec::new();
    let mut at = 0.0;
    let end = seconds(length);
    while at < end {
        let burst = bursts.iter().any(|b| b.contains(&at));
        let factor = if burst { BURST_FACTOR } else { 1.0 };
        at += exponential(rng) / (calm * factor * workers as f64);
        requests.push(Request {
            at: (at * SECOND as f64) as Micros,
            entry: rng.usize(..entries),
            prefix: popular(rng),
            own: lognormal(rng, 250.0, 0.8, 3000),
            tokens: lognormal(rng, 100.0, 0.6, 600),
        });
    }
    requests
}

/// Generates the next item of a job.
pub fn item(job: usize, rng: &mut Rng) -> Item {
    Item {
        job,
        own: lognormal(rng, 150.0, 0.5, 1000),
        tokens: lognormal(rng, 150.0, 0.5, 600),
    }
}

fn bursts(length: Micros, rng: &mut Rng) -> Vec<std::ops::Range<f64>> {
    let mut bursts = Vec::new();
    let mut at = 0.0;
    while at < seconds(length) {
        let start = at + 5.0 + exponential(rng) * (BURST_GAP - 5.0);
        at = start + BURST_LOW + rng.f64() * (BURST_HIGH - BURST_LOW);
        bursts.push(start..at);
    }
    bursts
}

fn seconds(time: Micros) -> f64 {
    time as f64 / SECOND as f64
}

pub(crate) fn exponential(rng: &mut Rng) -> f64 {
    -(1.0 - rng.f64()).ln()
}

/// Picks a prefix; low numbers are more popular.
fn popular(rng: &mut Rng) -> u32 {
    let x = rng.f64();
    ((x * x * f64::from(PREFIXES)) as u32).min(PREFIXES - 1)
}

pub(crate) fn lognormal(rng: &mut Rng, median: f64, sigma: f64, max: u32) -> u32 {
    let angle = std::f64::consts::TAU * rng.f64();
    let normal = (2.0 * exponential(rng)).sqrt() * angle.cos();
    ((median * (sigma * normal).exp()) as u32).clamp(8, max)
}
