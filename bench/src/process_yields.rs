//! Measures the delay until batch streams stop after a burst that arrives at another instance of
//! the zone, over processes on loopback.

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use anyhow::{Context, ensure};
use hdrhistogram::Histogram;
use serde_json::Value;
use trillium_client::Client;

use crate::{
    process_ledger::{Run, runs},
    process_online::{Outcome, client, stream},
    process_trace::{Request, items, submission},
    processes::{Fleet, Shape, Tuning, call, wait_until},
};

/// Processes of a run. Each zone has one worker, so that only one of its entry instances holds
/// batch work.
const SHAPE: Shape = Shape {
    zones: 2,
    entries: 4,
    workers: 2,
    slots: 16,
    token_ms: 15,
};
/// Number of bursts per row.
const BURSTS: usize = 110;
/// Number of requests per burst.
const BURST_REQUESTS: usize = 8;
/// Tokens of each request of a burst.
const BURST_TOKENS: u32 = 4;
/// Time between two bursts, which alternate between the zones.
const BURST_GAP: Duration = Duration::from_millis(600);
/// Time after a burst in which stopped streams are attributed to it, in microseconds.
const BURST_WINDOW_US: u64 = 400_000;
/// Items of the batch job, more than a run can complete.
const ITEMS: usize = 4000;
/// Minimum number of running streams on each worker before the first burst.
const FILLED: u64 = 14;
/// Number of callers that keep the entry instances busy under load.
const CALLERS: usize = 16;
/// Pause of a caller under load between two requests.
const CALLER_PAUSE: Duration = Duration::from_millis(5);
/// Number of long online streams under load.
const LONG_STREAMS: usize = 8;
/// Tokens of a long online stream.
const LONG_TOKENS: u32 = 400;
/// Path of the batch submission.
const SUBMIT: &str = "/v1/batches?name=bench&model=m1&deadline=4000000000";
/// Bound of the time from the first request to the stop, in microseconds.
const BOUND_US: u64 = 50_000;

/// A burst that was sent.
struct Burst {
    number: usize,
    /// Zone in which it arrived.
    zone: usize,
    /// Time before the load of the workers was read, in microseconds since 1970-01-01 UTC.
    read_us: u64,
    /// Time of its first request, on the same clock.
    sent_us: u64,
    /// Running streams on each worker before it.
    running: Vec<u64>,
}

/// Delays from the first request of a burst, in microseconds.
struct Delays {
    /// Until the first batch stream stopped.
    first: Histogram<u64>,
    /// Until enough batch streams stopped or ended that each request had a slot.
    last: Histogram<u64>,
    /// Bursts that needed no stop.
    unneeded: usize,
    /// Bursts for which not enough slots were released in the window.
    missing: usize,
}

/// Measures and prints the delays, without and under load, for both extremes of the weight.
///
/// # Errors
///
/// Returns an error when a process does not start or answer.
pub fn run() -> anyhow::Result<()> {
    println!(
        "| weight | load | worker in | bursts | first stop p50 / p99 / max ms | room for all p50 / p99 / max ms | over 50 ms | without need | without room |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    for (weight, loaded) in [(0.0, false), (0.0, true), (1.0, false), (1.0, true)] {
        let [same, other] = measure(weight, loaded)?;
        print_row(weight, loaded, "same zone", &same);
        print_row(weight, loaded, "other zone", &other);
    }
    Ok(())
}

/// Returns the delays at the workers of the zone in which bursts arrived, and of the other zone.
fn measure(weight: f64, loaded: bool) -> anyhow::Result<[Delays; 2]> {
    let tuning = Tuning {
        weight,
        ..Tuning::default()
    };
    let fleet = Fleet::start_tuned(SHAPE, &tuning)?;
    let idle = idle_entries(&fleet)?;
    let job = submission(&items(ITEMS, 1));
    call(fleet.entries[0].callers, "POST", SUBMIT, &job)?;
    wait_until(|| {
        fleet
            .workers
            .iter()
            .all(|w| running(*w).is_ok_and(|r| r >= FILLED))
    })?;
    let load = if loaded {
        start_load(&fleet)
    } else {
        Vec::new()
    };
    let mut bursts = Vec::new();
    let mut streams = Vec::new();
    for number in 0..BURSTS {
        thread::sleep(BURST_GAP);
        let (burst, sent) = send(&fleet, &idle, number)?;
        bursts.push(burst);
        streams.extend(sent);
    }
    let outcomes = smol::block_on(futures::future::join_all(streams));
    drop(load);
    let broken = outcomes.iter().filter(|o| !matches!(o, Outcome::Whole(_)));
    ensure!(broken.count() == 0, "an online request was not answered");
    delays(&fleet, &bursts)
}

/// Returns, for each zone, an entry instance that owns no worker and therefore holds no batch
/// streams.
fn idle_entries(fleet: &Fleet) -> anyhow::Result<Vec<SocketAddr>> {
    let status = fleet.entries[0].status()?;
    let workers = status["workers"].as_array().context("no workers")?;
    let owners: Vec<&Value> = workers.iter().map(|w| &w["owner"]).collect();
    let idle = |i: &usize| !owners.iter().any(|o| **o == format!("entry-{i}"));
    let of_zone = |zone| {
        let mut entries = 0..SHAPE.entries;
        let fits = |i: &usize| i % SHAPE.zones == zone && idle(i);
        let entry = entries.find(fits).context("no idle instance")?;
        Ok(fleet.entries[entry].callers)
    };
    (0..SHAPE.zones).map(of_zone).collect()
}

/// Sends the requests of a burst concurrently.
fn send(
    fleet: &Fleet,
    idle: &[SocketAddr],
    number: usize,
) -> anyhow::Result<(Burst, Vec<smol::Task<Outcome>>)> {
    let zone = number % SHAPE.zones;
    let entry = idle[zone];
    let read_us = unix_us();
    let running = fleet.workers.iter().map(|w| running(*w));
    let running = running.collect::<anyhow::Result<_>>()?;
    let client = client();
    let sent_us = unix_us();
    let request = |i| {
        request_text(
            client.clone(),
            entry,
            format!("burst {number}."),
            i,
            BURST_TOKENS,
        )
    };
    let streams = (0..BURST_REQUESTS).map(|i| async_global_executor::spawn(request(i)));
    let streams = streams.collect();
    let burst = Burst {
        number,
        zone,
        read_us,
        sent_us,
        running,
    };
    Ok((burst, streams))
}

async fn request_text(
    client: Client,
    entry: SocketAddr,
    name: String,
    i: usize,
    tokens: u32,
) -> Outcome {
    let request = Request {
        at: Duration::ZERO,
        entry: 0,
        prompt: format!("{name} {i}"),
        tokens,
    };
    stream(
        &client,
        entry,
        &request.prompt,
        &request,
        Instant::now(),
        None,
    )
    .await
}

/// Keeps the traffic threads busy with short calls, and some of the slots with online streams.
fn start_load(fleet: &Fleet) -> Vec<smol::Task<()>> {
    let entries: Vec<SocketAddr> = fleet.entries.iter().map(|e| e.callers).collect();
    let caller = |i: usize| request_models(entries[i % entries.len()]);
    let callers = (0..CALLERS).map(|i| async_global_executor::spawn(caller(i)));
    let long = |i: usize| keep_stream(entries[i % entries.len()], i);
    let streams = (0..LONG_STREAMS).map(|i| async_global_executor::spawn(long(i)));
    callers.chain(streams).collect()
}

async fn request_models(entry: SocketAddr) {
    let client = client();
    loop {
        let mut conn = client.get(format!("http://{entry}/v1/models"));
        if (&mut conn).await.is_ok() {
            let _ = conn.response_body().read_bytes().await;
        }
        async_io::Timer::after(CALLER_PAUSE).await;
    }
}

async fn keep_stream(entry: SocketAddr, i: usize) {
    let client = client();
    loop {
        request_text(client.clone(), entry, "long".into(), i, LONG_TOKENS).await;
    }
}

fn delays(fleet: &Fleet, bursts: &[Burst]) -> anyhow::Result<[Delays; 2]> {
    let mut delays = [Delays::new()?, Delays::new()?];
    let ledgers = fleet.workers.iter().map(|w| runs(*w));
    let ledgers: Vec<Vec<Run>> = ledgers.collect::<anyhow::Result<_>>()?;
    for burst in bursts {
        for (worker, runs) in ledgers.iter().enumerate() {
            let other = usize::from(worker % SHAPE.zones != burst.zone);
            delays[other].add(burst, runs, burst.running[worker])?;
        }
    }
    Ok(delays)
}

impl Delays {
    fn new() -> anyhow::Result<Self> {
        Ok(Self {
            first: Histogram::new(3)?,
            last: Histogram::new(3)?,
            unneeded: 0,
            missing: 0,
        })
    }

    /// Records the delays of a burst on one worker.
    fn add(&mut self, burst: &Burst, runs: &[Run], running: u64) -> anyhow::Result<()> {
        let mark = format!("burst {}. ", burst.number);
        let arrived = runs.iter().filter(|r| r.prompt.starts_with(&mark)).count();
        if arrived == 0 {
            return Ok(());
        }
        let free = u64::from(SHAPE.slots).saturating_sub(running);
        let needed = arrived.saturating_sub(free as usize);
        let released = releases(runs, burst);
        let within = released.iter().take(needed);
        if !within.clone().any(|l| l.stopped) {
            self.unneeded += 1;
            return Ok(());
        }
        let Some(last) = released.get(needed - 1) else {
            self.missing += 1;
            return Ok(());
        };
        let first = within.filter(|l| l.stopped).map(|l| l.after_us).next();
        self.first.record(first.unwrap_or(last.after_us))?;
        self.last.record(last.after_us)?;
        Ok(())
    }
}

/// Release of a slot by a batch stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct SlotRelease {
    /// Time since the first request of a burst; 0 for an earlier release.
    after_us: u64,
    /// Whether it was stopped.
    stopped: bool,
}

/// Returns the slots that batch streams released in the window of a burst, in order. The window
/// starts when the load of the workers is read.
fn releases(runs: &[Run], burst: &Burst) -> Vec<SlotRelease> {
    let batch = runs.iter().filter(|r| r.is_batch());
    let released = batch.flat_map(|run| {
        let stops = run.stopped_at_us.iter().map(|at| (*at, true));
        stops.chain(run.ended_at_us.map(|at| (at, false)))
    });
    let window = burst.read_us..burst.sent_us + BURST_WINDOW_US;
    let released = released.filter(|(at, _)| window.contains(at));
    let mut released: Vec<SlotRelease> = released
        .map(|(at, stopped)| SlotRelease {
            after_us: at.saturating_sub(burst.sent_us),
            stopped,
        })
        .collect();
    released.sort_unstable();
    released
}

fn running(worker: SocketAddr) -> anyhow::Result<u64> {
    let load: Value = serde_json::from_str(&call(worker, "GET", "/load", "")?)?;
    load["running"].as_u64().context("no load")
}

fn unix_us() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_micros() as u64
}

fn print_row(weight: f64, loaded: bool, zone: &str, delays: &Delays) {
    let load = if loaded { "busy" } else { "quiet" };
    let over = delays.last.len() - delays.last.count_between(0, BOUND_US);
    println!(
        "| {weight} | {load} | {zone} | {} | {} | {} | {over} | {} | {} |",
        delays.last.len(),
        times(&delays.first),
        times(&delays.last),
        delays.unneeded,
        delays.missing
    );
}

fn times(delays: &Histogram<u64>) -> String {
    let ms = |us: u64| format!("{:.1}", us as f64 / 1000.0);
    let (p50, p99) = (
        delays.value_at_quantile(0.5),
        delays.value_at_quantile(0.99),
    );
    [p50, p99, delays.max()].map(ms).join(" / ")
}
