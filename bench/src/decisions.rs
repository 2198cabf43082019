//! Cost of decisions in microseconds, by the number of workers.

use std::{
    hint::black_box,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use fastrand::Rng;
use gentianpath::{
    ids::{InstanceId, ModelId, WorkerId, Zone},
    route::{Choice, RouteRequest, Router},
    view::{View, WorkerInfo},
    workers::{Load, OnlineGuard, WorkerCell, WorkerTable},
};

use crate::job_cost;

/// Numbers of workers that are measured.
const SIZES: [usize; 5] = [10, 20, 100, 1_000, 12_000];
/// Workers of one entry instance at the target size.
const WORKERS_PER_ENTRY: usize = 32;
/// Availability zones.
const ZONES: usize = 8;
/// Slots of a worker.
const SLOTS: u32 = 16;
/// Decisions of a measurement.
const DECISIONS: usize = 20_000;
/// Decisions that are timed together, so that the cost of reading the clock is negligible.
const BATCH: usize = 20;
/// Blocks of a prompt.
const BLOCKS: u64 = 12;
/// Number of different prompts.
const PROMPTS: u64 = 500;

struct Fixture {
    table: WorkerTable,
    router: Router,
    model: ModelId,
    ids: Vec<WorkerId>,
}

/// Measures and prints the table.
pub fn print(seed: u64) {
    println!("| workers | decision | p50 us | p99 us |");
    println!("|---|---|---|---|");
    for size in SIZES {
        let fixture = fixture(size);
        let mut rng = Rng::with_seed(seed);
        let guards = occupy(&fixture, 0.4, &mut rng);
        report(size, "route", time(|i| route(&fixture, i, false, &mut rng)));
        report(
            size,
            "route with affinity",
            time(|i| route(&fixture, i, true, &mut rng)),
        );
        let cells: Vec<_> = fixture
            .ids
            .iter()
            .map(|id| fixture.table.cell(id))
            .collect();
        report(
            size,
            "online begins, batch yields",
            time(|i| drop(cells[i % cells.len()].begin_online(now(i)))),
        );
        report(
            size,
            "batch admission",
            time(|i| drop(cells[i % cells.len()].begin_batch(now(i)))),
        );
        drop(guards);
        let guards = occupy(&fixture, 1.0, &mut rng);
        report(
            size,
            "route, all full",
            time(|i| route(&fixture, i, false, &mut rng)),
        );
        drop(guards);
        let begin = |c: &Arc<WorkerCell>| c.begin_online(Duration::ZERO);
        let one_left = cells.iter().flat_map(|c| (1..SLOTS).map(move |_| begin(c)));
        let mut guards: Vec<_> = one_left.collect();
        report(
            size,
            "last place of a worker taken and freed",
            time(|i| drop(cells[i % cells.len()].begin_online(now(i)))),
        );
        guards.extend(cells[1..].iter().map(begin));
        report(
            size,
            "route, one place free",
            time(|i| route(&fixture, i, false, &mut rng)),
        );
        drop(guards);
    }
    job_cost::print(seed);
}

/// Prints a row.
pub(crate) fn report(size: usize, name: &str, times: Vec<f64>) {
    let at = |fraction: f64| times[(times.len() as f64 * fraction) as usize];
    let size = if size == 0 {
        "-".into()
    } else {
        size.to_string()
    };
    println!("| {size} | {name} | {:.2} | {:.2} |", at(0.5), at(0.99));
}

/// Returns the sorted times of a decision in microseconds, each the mean of a short batch.
pub(crate) fn time(mut decide: impl FnMut(usize)) -> Vec<f64> {
    let mut times: Vec<f64> = (0..DECISIONS / BATCH)
        .map(|b| {
            let start = Instant::now();
            for i in 0..BATCH {
                decide(b * BATCH + i);
            }
            start.elapsed().as_secs_f64() * 1e6 / BATCH as f64
        })
        .collect();
    times.sort_by(f64::total_cmp);
    times
}

/// Returns the time of a decision: 83 us apart, as at 12,000 requests per second.
fn now(decision: usize) -> Duration {
    Duration::from_micros(decision as u64 * 83)
}

fn route(fixture: &Fixture, number: usize, affine: bool, rng: &mut Rng) {
    let first = rng.u64(..PROMPTS) * BLOCKS;
    let count = if affine { BLOCKS } else { 0 };
    let blocks: Vec<u64> = (first..first + count).collect();
    let request = RouteRequest {
        model: &fixture.model,
        blocks: &blocks,
        tried: &[],
    };
    let choice = fixture.router.choose(&request, rng, now(number));
    if let Choice::Worker(candidate) = &choice {
        drop(candidate.cell.begin_online(now(number)));
    }
    black_box(&choice);
}

fn occupy(fixture: &Fixture, part: f64, rng: &mut Rng) -> Vec<OnlineGuard> {
    let mut guards = Vec::new();
    for id in &fixture.ids {
        let cell = fixture.table.cell(id);
        let mean = f64::from(SLOTS) * part;
        let count = if part >= 1.0 {
            SLOTS
        } else {
            (mean * 2.0 * rng.f64()) as u32
        };
        guards.extend((0..count).map(|_| cell.begin_online(Duration::ZERO)));
    }
    guards
}

fn fixture(size: usize) -> Fixture {
    let model = ModelId::from("model");
    let ids: Vec<WorkerId> = (0..size).map(|i| format!("worker-{i}").into()).collect();
    let info = |(i, id): (usize, &WorkerId)| WorkerInfo {
        id: id.clone(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: Zone::from(format!("zone-{}", i % ZONES)),
        model: Some(model.clone()),
        version: "1".into(),
        slots: SLOTS,
        leaving: false,
        owner: Some(owner(i, size)),
    };
    let view = View {
        workers: ids.iter().enumerate().map(info).collect(),
        ..View::default()
    };
    let table = WorkerTable::default();
    for id in &ids {
        let cell = table.cell(id);
        cell.configure(0.0, SLOTS);
        cell.set_report(Load::default(), SLOTS, Duration::ZERO);
    }
    let local = InstanceId::from("entry-0");
    let router = Router::build(&view, &table, &local, &Zone::from("zone-0"));
    Fixture {
        table,
        router,
        model,
        ids,
    }
}

fn owner(worker: usize, size: usize) -> InstanceId {
    let entries = size.div_ceil(WORKERS_PER_ENTRY).max(16);
    format!("entry-{}", worker % entries).into()
}
