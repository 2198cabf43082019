//! Runs of a policy on a trace, and the resulting rows of the table.

use fastrand::Rng;

use crate::{
    Micros,
    engine::{Engine, SLOTS, Stream, full_time},
    fleet::Fleet,
    jobs::jobs,
    policy::{Deployment, Policy, Sharing},
    trace::{
        FAULT_END, FAULT_START, Item, Kind, LENGTH, Request, item, job_prefix, prefix_tokens,
        requests,
    },
};

/// Iterations of a single engine for the measurement of its full rate.
const FULL_ITERATIONS: usize = 200_000;
/// Percentiles of the time to first token.
const PERCENTILES: [f64; 4] = [0.5, 0.95, 0.99, 0.999];

/// Rates of an engine with batch work alone.
#[derive(Debug, Clone, Copy)]
pub struct FullRate {
    /// Generated tokens per second.
    pub tokens: f64,
    /// Items per second.
    pub items: f64,
}

/// A trace with its reference run.
#[derive(Debug)]
pub struct Case {
    /// Deployment.
    pub deployment: Deployment,
    /// Kind of trace.
    pub kind: Kind,
    /// Seed.
    pub seed: u64,
    length: Micros,
    requests: Vec<Request>,
    /// Batch tokens per second that the fleet can generate beside the online load.
    pub idle: f64,
    /// Items per second that the fleet can complete beside the online load.
    pub items: f64,
    /// Times to first token without batch work, in microseconds.
    pub reference: [Micros; 4],
}

/// Figures of a policy on a trace.
#[derive(Debug, Clone, PartialEq)]
pub struct Row {
    /// Batch tokens as a fraction of the useful idle capacity.
    pub filled: f64,
    /// Jobs that met their deadline.
    pub met: usize,
    /// Jobs with a deadline inside the trace.
    pub due: usize,
    /// Times to first token at the percentiles, in microseconds.
    pub first: [Micros; 4],
    /// Their ratios to the trace without batch work.
    pub ratio: [f64; 4],
    /// Time between tokens at p95, in microseconds.
    pub between: Micros,
    /// Engine time of prompts computed for yielded streams, as a fraction of all batch work.
    pub lost: f64,
    /// Longest time from an online arrival to a cancel order that it caused, in microseconds.
    pub yielding: Micros,
    /// Yielded streams.
    pub yields: usize,
    /// Online requests.
    pub requests: usize,
    /// Online requests refused.
    pub refused: u64,
    /// Online requests broken off.
    pub broken: u64,
}

impl Case {
    /// Generates a trace of the default length and runs it without batch work.
    pub fn new(deployment: Deployment, kind: Kind, seed: u64) -> Self {
        Self::with_length(deployment, kind, LENGTH, seed)
    }

    /// Generates a trace of a length and runs it without batch work.
    pub fn with_length(deployment: Deployment, kind: Kind, length: Micros, seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let (workers, entries) = (deployment.workers, deployment.entries);
        let requests = requests(kind, workers, entries, length, &mut rng);
        let mut case = Self {
            deployment,
            kind,
            seed,
            length,
            requests,
            idle: 1.0,
            items: 1.0,
            reference: [1; 4],
        };
        let reference = case.simulate(Policy::REFERENCE);
        let full = full_rate(seed);
        let free = free_workers(&reference, kind, length);
        case.idle = full.tokens * free;
        case.items = full.items * free;
        case.reference = percentiles(reference.tally.first);
        case
    }

    /// Runs a policy.
    pub fn run(&self, policy: Policy) -> Row {
        let fleet = self.simulate(policy);
        let work = fleet.engines().iter().map(|e| e.work);
        let batch: u64 = work.clone().map(|w| w.batch).sum();
        let prompt: u64 = work.clone().map(|w| w.batch_prompt).sum();
        let lost: u64 = work.map(|w| w.lost_prompt).sum();
        let due = fleet.jobs.iter().filter(|j| j.due <= self.length);
        let met = |j: &&crate::jobs::Job| j.finished.is_some_and(|f| f <= j.due);
        let first = percentiles(fleet.tally.first);
        let ratio = |i: usize| first[i] as f64 / self.reference[i] as f64;
        let mut between = fleet.tally.between;
        between.sort_unstable();
        Row {
            filled: batch as f64 / (self.length as f64 / 1e6) / self.idle,
            met: due.clone().filter(met).count(),
            due: due.count(),
            first,
            ratio: [0, 1, 2, 3].map(ratio),
            between: percentile(&between, 0.95),
            lost: full_time(lost, 0) / full_time(prompt, batch).max(1.0),
            yielding: fleet.tally.yields.iter().copied().max().unwrap_or(0),
            yields: fleet.tally.yields.len(),
            requests: self.requests.len(),
            refused: fleet.tally.refused,
            broken: fleet.tally.broken,
        }
    }

    fn simulate(&self, policy: Policy) -> Fleet {
        let jobs = match policy.sharing {
            Sharing::NoBatch => Vec::new(),
            _ => {
                let mut rng = Rng::with_seed(self.seed + 1);
                jobs(self.kind, self.items, self.length, &mut rng)
            }
        };
        let mut fleet = Fleet::new(
            self.deployment,
            policy,
            self.kind,
            self.length,
            &self.requests,
            jobs,
            self.seed + 2,
        );
        fleet.run();
        fleet
    }
}

/// Measures the rates of an engine that always has waiting batch items.
pub fn full_rate(seed: u64) -> FullRate {
    let mut rng = Rng::with_seed(seed);
    let mut engine = Engine::default();
    let (mut time, mut items) = (0, 0);
    for _ in 0..FULL_ITERATIONS {
        let (running, waiting) = engine.load();
        for _ in running + waiting..SLOTS {
            items += 1;
            engine.admit(batch_stream(items, item(0, &mut rng)));
        }
        time += engine.begin().unwrap_or(0);
        engine.end();
    }
    let seconds = time as f64 / 1e6;
    FullRate {
        tokens: engine.work.batch as f64 / seconds,
        items: items as f64 / seconds,
    }
}

fn batch_stream(id: u64, item: Item) -> Stream {
    let prefix = job_prefix(item.job);
    Stream {
        id,
        batch: true,
        prefix,
        shared: prefix_tokens(prefix),
        own: item.own,
        tokens: item.tokens,
    }
}

/// Returns the engine time that the online load leaves free, as a number of workers. An online
/// token is charged its share of an iteration of a full engine.
fn free_workers(reference: &Fleet, kind: Kind, length: Micros) -> f64 {
    let work = reference.engines().iter().map(|e| e.work);
    let used: f64 = work.map(|w| full_time(w.online_prompt, w.online)).sum();
    let lost = match kind {
        Kind::WorkerLost => FAULT_END - FAULT_START,
        _ => 0,
    };
    reference.engines().len() as f64 - (used + lost as f64) / length as f64
}

fn percentiles(mut times: Vec<Micros>) -> [Micros; 4] {
    times.sort_unstable();
    PERCENTILES.map(|p| percentile(&times, p))
}

fn percentile(sorted: &[Micros], fraction: f64) -> Micros {
    let rank = (sorted.len() as f64 * fraction).ceil() as usize;
    sorted.get(rank.saturating_sub(1)).copied().unwrap_or(0)
}
