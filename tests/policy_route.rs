//! Selection of workers for online requests.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use fastrand::Rng;
use gentianpath::{
    affinity::{Affinity, CacheChange, CacheEvent, blocks},
    ids::{InstanceId, ModelId, WorkerId, Zone},
    route::{Choice, RouteRequest, Router},
    view::{View, WorkerInfo},
    workers::{OnlineGuard, WorkerTable},
};

const SLOTS: u32 = 4;
const NOW: Duration = Duration::from_secs(1);

struct Fleet {
    table: WorkerTable,
    router: Router,
    model: ModelId,
    guards: Vec<OnlineGuard>,
}

impl Fleet {
    /// Builds a fleet in two zones; `entry-0` in zone `near` owns every fourth worker.
    fn new(size: usize, leaving: &[usize]) -> Self {
        let model = ModelId::from("m");
        let info = |i: usize| WorkerInfo {
            id: worker(i),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            zone: Zone::from(if i.is_multiple_of(2) { "near" } else { "far" }),
            model: Some(model.clone()),
            version: "1".into(),
            slots: SLOTS,
            leaving: leaving.contains(&i),
            owner: Some(format!("entry-{}", i % 4).into()),
        };
        let view = View {
            workers: (0..size).map(info).collect(),
            ..View::default()
        };
        let table = WorkerTable::default();
        for i in 0..size {
            table.cell(&worker(i)).configure(0.0, SLOTS);
        }
        let instance = InstanceId::from("entry-0");
        let router = Router::build(&view, &table, &instance, &Zone::from("near"));
        let guards = Vec::new();
        Self {
            table,
            router,
            model,
            guards,
        }
    }

    fn fill(&mut self, number: usize, count: u32) {
        let cell = self.table.cell(&worker(number));
        let guards = (0..count).map(|_| cell.begin_online(NOW));
        self.guards.extend(guards);
    }

    fn choose(&self, blocks: &[u64], tried: &[WorkerId], seed: u64) -> Option<WorkerId> {
        let request = RouteRequest {
            model: &self.model,
            blocks,
            tried,
        };
        match self.router.choose(&request, &mut Rng::with_seed(seed), NOW) {
            Choice::Worker(c) => Some(c.info.id.clone()),
            Choice::Full | Choice::NoWorker => None,
        }
    }
}

fn worker(number: usize) -> WorkerId {
    Arc::from(format!("w{number}"))
}

/// Guards against retrying a request on a worker that was already tried, and against choosing a
/// leaving worker.
#[test]
fn tried_and_leaving_workers_are_avoided() {
    let fleet = Fleet::new(8, &[2, 4]);
    let tried = [worker(0), worker(1)];
    for seed in 0..500 {
        let chosen = fleet.choose(&[7], &tried, seed).expect("a free worker");
        let excluded = [0, 1, 2, 4].map(worker);
        assert!(!excluded.contains(&chosen), "chose {chosen}");
    }
    let all: Vec<WorkerId> = (0..8).map(worker).collect();
    assert_eq!(fleet.choose(&[], &all, 1), None);
}

/// Guards against a refusal because the sample missed the only worker with a free slot, in either
/// zone.
#[test]
fn only_free_worker_is_found() {
    for free in [2, 301] {
        let mut fleet = Fleet::new(400, &[]);
        (0..400)
            .filter(|&i| i != free)
            .for_each(|i| fleet.fill(i, SLOTS));
        for seed in 0..20 {
            assert_eq!(fleet.choose(&[], &[], seed), Some(worker(free)));
        }
        fleet.fill(free, SLOTS);
        assert_eq!(fleet.choose(&[], &[], 1), None);
    }
}

/// Guards against traffic that crosses zones needlessly, or stays in its zone when that is full.
#[test]
fn own_zone_first_then_others() {
    let mut fleet = Fleet::new(8, &[]);
    let near = |id: &WorkerId| ["w0", "w2", "w4", "w6"].contains(&&**id);
    let idle = (0..100).filter_map(|s| fleet.choose(&[], &[], s));
    assert!(idle.into_iter().all(|id| near(&id)));
    for i in [0, 2, 4, 6] {
        fleet.fill(i, SLOTS);
    }
    let spilled = (0..100).filter_map(|s| fleet.choose(&[], &[], s));
    assert_eq!(spilled.filter(|id| !near(id)).count(), 100);
}

/// Guards against a popular prefix overloading the worker that has it cached.
#[test]
fn affinity_stops_at_the_load_bound() {
    let mut fleet = Fleet::new(8, &[]);
    let prompt = [1, 2, 3];
    let affinity = fleet.table.affinity();
    affinity
        .lock()
        .expect("no panic")
        .record_prompt(&prompt, &worker(6), NOW);
    assert_eq!(fleet.choose(&prompt, &[], 3), Some(worker(6)));
    // All others are idle, so the mean load is near zero and the bound is about one request.
    fleet.fill(6, 3);
    assert_ne!(fleet.choose(&prompt, &[], 3), Some(worker(6)));
}

/// Guards against equal prompts hashing differently on another instance or in another release.
#[test]
fn block_hashes_are_stable_and_cover_the_prefix() {
    let text = "a".repeat(256);
    let first = blocks(&text);
    assert_eq!(first, [0xfd29_1620_0943_d825]);
    let both = blocks(&format!("{text}{text}"));
    let other = blocks(&format!("{}{text}", "b".repeat(256)));
    assert_eq!(both[0], first[0]);
    assert_ne!(both[1], other[1]);
}

/// Guards against entries that survive a lost removal event, and against late events being applied.
#[test]
fn gap_in_cache_events_clears_the_worker() {
    let mut affinity = Affinity::default();
    let id = worker(1);
    let stored = |number, block| CacheEvent {
        number,
        change: CacheChange::Stored(vec![block]),
    };
    affinity.apply_event(&id, &stored(1, 10), NOW);
    affinity.apply_event(&id, &stored(2, 20), NOW);
    assert_eq!(affinity.depth(&[10, 20], &id), 2);
    affinity.apply_event(&id, &stored(4, 40), NOW);
    assert_eq!(affinity.depth(&[10], &id), 0);
    assert_eq!(affinity.depth(&[40], &id), 1);
    affinity.apply_event(&id, &stored(3, 30), NOW);
    assert_eq!(affinity.depth(&[30], &id), 0);
}

/// Guards against memory that grows with the number of prompts, and against entries that never
/// expire.
#[test]
fn affinity_memory_is_bounded_and_ages() {
    let mut affinity = Affinity::default();
    for block in 0..500_000 {
        affinity.record_prompt(&[block], &worker(block as usize % 7), NOW);
    }
    assert!(affinity.len() <= 2 * 65_536, "{} blocks", affinity.len());
    for round in 1..=2 {
        let late = NOW + Duration::from_secs(round * 130);
        affinity.record_prompt(&[1_000_000 + round], &worker(0), late);
    }
    assert!(affinity.holders(&[499_999]).is_empty());
}
