//! Report of a replay: measurements compared with the stated outcomes.

use std::fmt;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::replay_run::{Counts, Tally};

/// Microseconds in a millisecond.
const MICROS: f64 = 1000.0;
/// Quantile that latency outcomes refer to.
const P95: f64 = 0.95;

/// Outcomes that a trace states; one that is omitted is not checked.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Outcomes {
    /// Upper limit of the time to the first token at p95, in milliseconds.
    pub first_token_p95_ms: Option<f64>,
    /// Upper limit of the time between tokens at p95, in milliseconds.
    pub token_gap_p95_ms: Option<f64>,
    /// Lower limit of the share of complete answers among requests that were not refused.
    pub whole_answers: Option<f64>,
    /// Whether each item of an accepted job has exactly one result.
    pub items_once: Option<bool>,
    /// Upper limit of the share of refused requests.
    pub max_refused: Option<f64>,
    /// Whether each accepted job finished before its deadline.
    pub deadlines_met: Option<bool>,
}

/// Measured counts of one kind of request.
#[derive(Debug, Clone, Copy)]
#[derive(Serialize)]
struct Row {
    kind: &'static str,
    sent: u64,
    whole: u64,
    refused: u64,
    broken: u64,
}

/// A stated outcome, its measurement and whether it was met.
#[derive(Debug, Clone)]
#[derive(Serialize)]
struct OutcomeResult {
    name: &'static str,
    stated: String,
    measured: String,
    met: bool,
}

/// Measured latency, in milliseconds.
#[derive(Debug, Clone, Copy)]
#[derive(Serialize)]
struct Latency {
    name: &'static str,
    count: u64,
    p50_ms: f64,
    p95_ms: f64,
    p99_ms: f64,
}

/// Report of a replay.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub struct Report {
    requests: Vec<Row>,
    latencies: Vec<Latency>,
    outcomes: Vec<OutcomeResult>,
}

impl Report {
    /// Compares the measurements of a replay with the stated outcomes.
    pub fn new(outcomes: &Outcomes, tally: &Tally) -> Self {
        let first_token = latency("first_token", &tally.first_token);
        let token_gap = latency("token_gap", &tally.token_gap);
        let whole = share(tally, |c| c.whole, |c| c.sent - c.refused);
        let refused = share(tally, |c| c.refused, |c| c.sent);
        let once = tally.extra_results == 0 && tally.batch.broken == 0;
        let results = [
            at_most(
                "first_token_p95_ms",
                outcomes.first_token_p95_ms,
                first_token.p95(),
            ),
            at_most(
                "token_gap_p95_ms",
                outcomes.token_gap_p95_ms,
                token_gap.p95(),
            ),
            at_least("whole_answers", outcomes.whole_answers, whole),
            holds("items_once", outcomes.items_once, once),
            at_most("max_refused", outcomes.max_refused, refused),
            holds(
                "deadlines_met",
                outcomes.deadlines_met,
                tally.late_items == 0,
            ),
        ];
        Self {
            requests: vec![
                row("online", tally.online),
                row("plain", tally.plain),
                row("batch", tally.batch),
            ],
            latencies: vec![first_token, token_gap],
            outcomes: results.into_iter().flatten().collect(),
        }
    }

    /// Returns the names of the missed outcomes.
    pub fn missed(&self) -> Vec<&'static str> {
        let missed = self.outcomes.iter().filter(|outcome| !outcome.met);
        missed.map(|outcome| outcome.name).collect()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<20} {:>9} {:>9} {:>9} {:>9}",
            "kind", "sent", "whole", "refused", "broken"
        )?;
        for Row {
            kind,
            sent,
            whole,
            refused,
            broken,
        } in &self.requests
        {
            writeln!(
                f,
                "{kind:<20} {sent:>9} {whole:>9} {refused:>9} {broken:>9}"
            )?;
        }
        writeln!(
            f,
            "\n{:<20} {:>9} {:>9} {:>9} {:>9}",
            "latency (ms)", "count", "p50", "p95", "p99"
        )?;
        for l in &self.latencies {
            writeln!(
                f,
                "{:<20} {:>9} {:>9.1} {:>9.1} {:>9.1}",
                l.name, l.count, l.p50_ms, l.p95_ms, l.p99_ms
            )?;
        }
        if self.outcomes.is_empty() {
            return Ok(());
        }
        writeln!(
            f,
            "\n{:<20} {:>9} {:>9} {:>9}",
            "outcome", "stated", "measured", "met"
        )?;
        for o in &self.outcomes {
            let met = if o.met { "yes" } else { "no" };
            writeln!(
                f,
                "{:<20} {:>9} {:>9} {met:>9}",
                o.name, o.stated, o.measured
            )?;
        }
        Ok(())
    }
}

impl Latency {
    /// Returns the p95, or `None` without measurements.
    fn p95(&self) -> Option<f64> {
        (self.count > 0).then_some(self.p95_ms)
    }
}

fn row(kind: &'static str, counts: Counts) -> Row {
    Row {
        kind,
        sent: counts.sent,
        whole: counts.whole,
        refused: counts.refused,
        broken: counts.broken,
    }
}

fn latency(name: &'static str, micros: &Histogram<u64>) -> Latency {
    let at = |quantile| micros.value_at_quantile(quantile) as f64 / MICROS;
    Latency {
        name,
        count: micros.len(),
        p50_ms: at(0.5),
        p95_ms: at(P95),
        p99_ms: at(0.99),
    }
}

/// Returns a share over all kinds of requests, or `None` if its denominator is zero.
fn share(tally: &Tally, part: impl Fn(Counts) -> u64, of: impl Fn(Counts) -> u64) -> Option<f64> {
    let kinds = [tally.online, tally.plain, tally.batch];
    let part: u64 = kinds.into_iter().map(part).sum();
    let total: u64 = kinds.into_iter().map(of).sum();
    (total > 0).then(|| part as f64 / total as f64)
}

fn at_most(
    name: &'static str,
    stated: Option<f64>,
    measured: Option<f64>,
) -> Option<OutcomeResult> {
    compare(name, stated, measured, |measured, stated| {
        measured <= stated
    })
}

fn at_least(
    name: &'static str,
    stated: Option<f64>,
    measured: Option<f64>,
) -> Option<OutcomeResult> {
    compare(name, stated, measured, |measured, stated| {
        measured >= stated
    })
}

/// Compares a number with its stated limit. A stated outcome without a measurement is missed.
fn compare(
    name: &'static str,
    stated: Option<f64>,
    measured: Option<f64>,
    meets: impl Fn(f64, f64) -> bool,
) -> Option<OutcomeResult> {
    let stated = stated?;
    Some(OutcomeResult {
        name,
        stated: stated.to_string(),
        measured: measured.map_or("none".to_owned(), |m| format!("{m:.4}")),
        met: measured.is_some_and(|measured| meets(measured, stated)),
    })
}

fn holds(name: &'static str, stated: Option<bool>, measured: bool) -> Option<OutcomeResult> {
    stated.map(|stated| OutcomeResult {
        name,
        stated: stated.to_string(),
        measured: measured.to_string(),
        met: measured || !stated,
    })
}
