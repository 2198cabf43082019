//! Compares policies on a short seeded trace, over processes on loopback.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use fastrand::Rng;
use gentianpath::workers::WorkerTable;
use hdrhistogram::Histogram;

use crate::{
    entry::worker_id,
    policy::{Policy, Routing, Sharing},
    process_batch::{Filler, report_loads},
    process_ledger::{Totals, totals},
    process_online::{Destination, DirectRouting, Outcome, send_trace},
    process_trace::{Item, Trace, items, submission},
    processes::{Fleet, Shape, Tuning, call},
};

/// Processes of a run.
const SHAPE: Shape = Shape {
    zones: 2,
    entries: 4,
    workers: 8,
    slots: 16,
    token_ms: 15,
};
/// Time of a prompt block that is not cached, in milliseconds, as in the load model.
const PREFILL_MS: &str = "6.4";
/// Capacity of the cache of a worker, in prompt blocks.
const CACHE_BLOCKS: &str = "512";
/// Number of stopped streams that a worker keeps.
const KEPT_STREAMS: &str = "1024";
/// Length of the trace on which all policies run.
const LENGTH: Duration = Duration::from_secs(18);
/// Length of the trace for the bound of the p99, which requires more requests.
const LONG_LENGTH: Duration = Duration::from_secs(60);
/// Time in which batch work fills the workers before the trace starts.
const FILL_TIME: Duration = Duration::from_secs(5);
/// Items of the batch job, more than a run can complete.
const ITEMS: usize = 3000;
/// Weight of the deployment with the lowest bound.
const WEIGHT: f64 = 0.0;
/// Path of the batch submission.
const SUBMIT: &str = "/v1/batches?name=bench&model=m1&deadline=4000000000";

/// Figures of a run of a policy.
struct Figures {
    first: Histogram<u64>,
    refused: usize,
    broken: usize,
    work: Totals,
    seconds: f64,
}

/// Tasks of batch work; dropping them ends it.
type Batch = Vec<smol::Task<()>>;

/// Runs each policy on the trace of a seed and prints a table. With `bounds`, only the policy of
/// the system runs, on a longer trace.
///
/// # Errors
///
/// Returns an error when a process does not start or answer.
pub fn run(seed: u64, bounds: bool) -> anyhow::Result<()> {
    let length = if bounds { LONG_LENGTH } else { LENGTH };
    let trace = Arc::new(Trace::new(SHAPE.workers, SHAPE.entries, length, seed));
    let items = items(ITEMS, seed);
    println!(
        "{} online requests in {} s, {} bursts of {:.1} times the mean rate\n",
        trace.requests.len(),
        length.as_secs(),
        trace.bursts,
        trace.peak
    );
    println!(
        "| policy | idle filled | TTFT p50 / p95 / p99 ms | ratio p50 / p95 / p99 | yields | work thrown away | refused | broken |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    let measure = |policy| measure(policy, &trace, length, &items, seed);
    let reference = measure(Policy::REFERENCE)?;
    print_row(Policy::REFERENCE, &reference, &reference);
    for policy in policies().into_iter().filter(|p| !bounds || is_system(*p)) {
        let figures = measure(policy)?;
        print_row(policy, &figures, &reference);
    }
    Ok(())
}

fn policies() -> Vec<Policy> {
    let half = |p: &Policy| p.sharing != Sharing::Admission(0.5);
    Policy::all(WEIGHT).into_iter().filter(half).collect()
}

fn measure(
    policy: Policy,
    trace: &Arc<Trace>,
    length: Duration,
    items: &[Item],
    seed: u64,
) -> anyhow::Result<Figures> {
    let fleet = Fleet::start_tuned(SHAPE, &tuning(policy))?;
    let table = counts(policy);
    let batch = start_batch(&fleet, policy, &table, items)?;
    let (destination, reports) = destination(&fleet, policy, &table, seed);
    thread::sleep(FILL_TIME);
    let before = totals(&fleet.workers)?;
    let start = Instant::now();
    let trace = trace.clone();
    let sent = async_global_executor::spawn(async move { send_trace(&destination, &trace).await });
    thread::sleep(length);
    let work = totals(&fleet.workers)?.since(before);
    let seconds = start.elapsed().as_secs_f64();
    let outcomes = smol::block_on(sent);
    drop((batch, reports));
    figures(&outcomes, work, seconds)
}

fn tuning(policy: Policy) -> Tuning {
    let weight = match policy.sharing {
        Sharing::Admission(weight) => weight,
        _ => WEIGHT,
    };
    let split = policy.sharing == Sharing::Split;
    let options = [
        ["--prefill-ms", PREFILL_MS],
        ["--prefix-blocks", CACHE_BLOCKS],
        ["--keep", KEPT_STREAMS],
    ];
    Tuning {
        weight,
        sheet_slots: split.then_some(SHAPE.slots / 2),
        worker_options: options.concat().into_iter().map(str::to_owned).collect(),
    }
}

/// Creates the counts of the load program.
fn counts(policy: Policy) -> Arc<WorkerTable> {
    let table = Arc::new(WorkerTable::default());
    if let Sharing::Admission(weight) = policy.sharing {
        for w in 0..SHAPE.workers {
            table.cell(&worker_id(w)).configure(weight, SHAPE.slots);
        }
    }
    table
}

/// Starts the batch work: through the entry instances for the policy of the system, and from the
/// load program for the baselines.
fn start_batch(
    fleet: &Fleet,
    policy: Policy,
    table: &Arc<WorkerTable>,
    items: &[Item],
) -> anyhow::Result<Batch> {
    if policy.sharing == Sharing::NoBatch {
        return Ok(Batch::new());
    }
    if is_system(policy) {
        call(fleet.entries[0].callers, "POST", SUBMIT, &submission(items))?;
        return Ok(Batch::new());
    }
    let (workers, table) = (&fleet.workers, table.clone());
    let filler = Filler::new(policy.sharing, SHAPE.slots, workers, table, items.to_vec());
    Ok(filler.start())
}

/// Returns whether a policy is that of the system.
fn is_system(policy: Policy) -> bool {
    policy.routing == Routing::Router && matches!(policy.sharing, Sharing::Admission(_))
}

/// Returns the destination of online requests, with the task that reads the reports of the workers.
fn destination(
    fleet: &Fleet,
    policy: Policy,
    table: &Arc<WorkerTable>,
    seed: u64,
) -> (Destination, Option<smol::Task<()>>) {
    if policy.routing == Routing::Router {
        let entries: Vec<SocketAddr> = fleet.entries.iter().map(|e| e.callers).collect();
        return (Destination::Entries(entries), None);
    }
    let direct = Arc::new(DirectRouting {
        routing: policy.routing,
        workers: fleet.workers.clone(),
        table: table.clone(),
        reported: (0..SHAPE.workers).map(|_| AtomicU32::new(0)).collect(),
        rng: Mutex::new(Rng::with_seed(seed)),
    });
    let shared = direct.clone();
    let store = move |w: usize, load| shared.reported[w].store(load, Ordering::Relaxed);
    let reports = async_global_executor::spawn(report_loads(fleet.workers.clone(), store));
    (Destination::Workers(direct), Some(reports))
}

fn figures(outcomes: &[Outcome], work: Totals, seconds: f64) -> anyhow::Result<Figures> {
    let mut first = Histogram::new(3)?;
    for outcome in outcomes {
        if let Outcome::Whole(time) = outcome {
            first.record(time.as_micros() as u64)?;
        }
    }
    let count = |kind| outcomes.iter().filter(|o| **o == kind).count();
    Ok(Figures {
        first,
        refused: count(Outcome::Refused),
        broken: count(Outcome::Broken),
        work,
        seconds,
    })
}

/// Returns the fraction of the idle capacity that batch work filled. The idle capacity is the
/// tokens of full workers minus those of online requests.
fn filled(figures: &Figures) -> f64 {
    let streams = SHAPE.workers as f64 * f64::from(SHAPE.slots);
    // A token takes twice as long on a full worker as on an idle one.
    let token_s = SHAPE.token_ms as f64 * 2.0 / 1000.0;
    let idle = streams / token_s * figures.seconds - figures.work.online as f64;
    figures.work.useful as f64 / idle
}

fn print_row(policy: Policy, figures: &Figures, reference: &Figures) {
    let at = |f: &Figures, q| f.first.value_at_quantile(q) as f64 / 1000.0;
    let quantiles = [0.5, 0.95, 0.99];
    let times = quantiles.map(|q| format!("{:.1}", at(figures, q)));
    let ratios = quantiles.map(|q| format!("{:.2}", at(figures, q) / at(reference, q)));
    let work = figures.work;
    let wasted = work.wasted as f64 / (work.useful + work.wasted).max(1) as f64;
    println!(
        "| {policy} | {:.1}% | {} | {} | {} | {:.2}% | {} | {} |",
        filled(figures) * 100.0,
        times.join(" / "),
        ratios.join(" / "),
        work.yields,
        wasted * 100.0,
        figures.refused,
        figures.broken
    );
}
