//! Runs of workers, as recorded in their ledgers.

use std::{collections::HashMap, net::SocketAddr};

use serde::Deserialize;

use crate::{process_trace::BATCH_MARK, processes::call};

/// One run of a request, as a worker lists it.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
pub struct Run {
    /// Prompt.
    pub prompt: String,
    /// Tokens generated.
    pub tokens: u64,
    /// Times at which the stream was stopped, in microseconds since 1970-01-01 UTC.
    pub stopped_at_us: Vec<u64>,
    /// Time at which the stream completed or failed, on the same clock.
    pub ended_at_us: Option<u64>,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct Ledger {
    runs: Vec<Run>,
}

/// Sums over the ledgers of all workers.
#[derive(Debug, Clone, Copy, Default)]
pub struct Totals {
    /// Tokens of online requests.
    pub online: u64,
    /// Tokens of batch items, each counted once even if it was generated several times.
    pub useful: u64,
    /// Tokens of batch items that were generated again or abandoned.
    pub wasted: u64,
    /// Stops of batch streams before their end.
    pub yields: u64,
}

impl Run {
    /// Returns whether the request is a batch item.
    pub fn is_batch(&self) -> bool {
        self.prompt.starts_with(BATCH_MARK)
    }
}

impl Totals {
    /// Returns the difference to an earlier reading.
    pub fn since(self, earlier: Self) -> Self {
        Self {
            online: self.online - earlier.online,
            useful: self.useful - earlier.useful,
            wasted: self.wasted.saturating_sub(earlier.wasted),
            yields: self.yields - earlier.yields,
        }
    }
}

/// Reads the runs of a worker.
///
/// # Errors
///
/// Returns an error when the worker does not answer.
pub fn runs(worker: SocketAddr) -> anyhow::Result<Vec<Run>> {
    let text = call(worker, "GET", "/ledger", "")?;
    let ledger: Ledger = serde_json::from_str(&text)?;
    Ok(ledger.runs)
}

/// Reads and sums the ledgers of workers.
///
/// # Errors
///
/// Returns an error when a worker does not answer.
pub fn totals(workers: &[SocketAddr]) -> anyhow::Result<Totals> {
    let mut sums = Totals::default();
    let mut items: HashMap<String, u64> = HashMap::new();
    let mut generated = 0;
    for worker in workers {
        for run in runs(*worker)? {
            if !run.is_batch() {
                sums.online += run.tokens;
                continue;
            }
            generated += run.tokens;
            sums.yields += run.stopped_at_us.len() as u64;
            let best = items.entry(run.prompt).or_default();
            *best = run.tokens.max(*best);
        }
    }
    sums.useful = items.values().sum();
    sums.wasted = generated - sums.useful;
    Ok(sums)
}
