//! Load on the platform directly after an outage, with held batch claims and waiting watches.

use std::{
    thread,
    time::{Duration, Instant},
};

use anyhow::Context;
use serde_json::{Value, json};

use crate::processes::{Fleet, Shape, call};

/// Numbers of entry instances whose load is compared.
const ENTRY_STEPS: [usize; 3] = [8, 16, 32];
/// Items of the job per worker, enough for the whole measurement.
const WORKER_ITEMS: usize = 2_000;
/// Tokens of an item. With the token time below, an item takes 2 to 4 s and a group of 128 items 8
/// to 16 s, so that held groups finish during the outage and wait for their commit.
const ITEM_TOKENS: u64 = 400;
/// Base time per token, in milliseconds; it doubles when all slots are busy.
const TOKEN_MS: u64 = 5;
/// Slots of a worker.
const SLOTS: u32 = 32;
/// Time for the instances to claim groups.
const CLAIM_TIME: Duration = Duration::from_secs(10);
/// Length of the outage. Leases of 30 s do not expire, and backoffs reach their maximum.
const OUTAGE: Duration = Duration::from_secs(25);
/// Time after the outage in which calls are counted.
const AFTER: Duration = Duration::from_secs(10);
/// Interval at which calls are counted.
const SAMPLE: Duration = Duration::from_millis(100);
/// Number of samples per second.
const SECOND: usize = 10;

/// Numbers of calls since the start of a measurement.
#[derive(Debug, Clone, Copy, Default)]
struct Calls {
    reads: f64,
    writes: f64,
    watches: f64,
}

/// Measures and prints the calls after an outage.
///
/// # Errors
///
/// Returns an error when a process does not start or does not answer.
pub fn run() -> anyhow::Result<()> {
    println!("## Calls of the platform after an outage of {OUTAGE:?} (4 zones, one worker each)\n");
    println!(
        "| instances | held groups | calls/s before | first 100 ms | first second | peak reads/s | peak writes/s | peak watches/s | all in {AFTER:?} |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    for entries in ENTRY_STEPS {
        row(entries)?;
    }
    Ok(())
}

fn row(entries: usize) -> anyhow::Result<()> {
    let fleet = Fleet::start(Shape {
        zones: 4,
        entries,
        workers: entries,
        slots: SLOTS,
        token_ms: TOKEN_MS,
    })?;
    submit(&fleet, entries * WORKER_ITEMS)?;
    thread::sleep(CLAIM_TIME);
    let groups = held_groups(&fleet)?;
    let before = sample(&fleet, OUTAGE / 5)?;
    set_outage(&fleet, json!({"gate": {"outage": "refuse"}}))?;
    thread::sleep(OUTAGE);
    set_outage(&fleet, json!({}))?;
    let after = sample(&fleet, AFTER)?;
    let total = |c: &Calls| c.reads + c.writes + c.watches;
    let last = total(&after[after.len() - 1]);
    println!(
        "| {entries} | {groups} | {:.0} | {:.0} | {:.0} | {:.0} | {:.0} | {:.0} | {last:.0} |",
        total(&before[before.len() - 1]) / (OUTAGE / 5).as_secs_f64(),
        total(&after[1]),
        total(&after[SECOND]),
        peak(&after, |c| c.reads),
        peak(&after, |c| c.writes),
        peak(&after, |c| c.watches),
    );
    eprintln!("calls by kind: {}", fleet.platform_ledger()?["calls"]);
    Ok(())
}

fn submit(fleet: &Fleet, items: usize) -> anyhow::Result<()> {
    let line = |i| {
        json!({"id": format!("i{i}"), "prompt": format!("item {i}"), "max_tokens": ITEM_TOKENS})
            .to_string()
    };
    let lines: Vec<String> = (0..items).map(line).collect();
    let path = "/v1/batches?name=bench&model=m1&deadline=4000000000";
    call(fleet.entries[0].callers, "POST", path, &lines.join("\n"))?;
    Ok(())
}

/// Returns the number of claimed, unfinished groups.
fn held_groups(fleet: &Fleet) -> anyhow::Result<usize> {
    let text = call(fleet.platform, "GET", "/objects/group?limit=100000", "")?;
    let listing: Value = serde_json::from_str(&text)?;
    let items = listing["items"].as_array().context("no listing")?;
    Ok(items
        .iter()
        .filter(|o| !o["value"]["claim"].is_null())
        .count())
}

fn set_outage(fleet: &Fleet, faults: Value) -> anyhow::Result<()> {
    call(fleet.platform, "POST", "/faults", &faults.to_string())?;
    Ok(())
}

/// Samples the number of calls over a time span.
fn sample(fleet: &Fleet, span: Duration) -> anyhow::Result<Vec<Calls>> {
    let start = Instant::now();
    let first = calls(fleet)?;
    let mut samples = vec![Calls::default()];
    while start.elapsed() < span {
        let next = SAMPLE * samples.len() as u32;
        thread::sleep(next.saturating_sub(start.elapsed()));
        let now = calls(fleet)?;
        samples.push(Calls {
            reads: now.reads - first.reads,
            writes: now.writes - first.writes,
            watches: now.watches - first.watches,
        });
    }
    Ok(samples)
}

fn calls(fleet: &Fleet) -> anyhow::Result<Calls> {
    let ledger = fleet.platform_ledger()?;
    let total = |kind: &str| ledger[kind]["total"].as_f64().unwrap_or(0.0);
    Ok(Calls {
        reads: total("reads") + total("instance_reads"),
        writes: total("writes") + total("registrations"),
        watches: total("watches"),
    })
}

/// Returns the maximum number of calls within a second.
fn peak(samples: &[Calls], kind: impl Fn(&Calls) -> f64) -> f64 {
    let windows = samples.windows(SECOND + 1);
    let rates = windows.map(|w| kind(&w[SECOND]) - kind(&w[0]));
    rates.fold(0.0, f64::max)
}
