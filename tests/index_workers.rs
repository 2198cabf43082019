//! The free-slot index finds the same workers as a scan of all workers.

use std::{
    cell::Cell,
    collections::BTreeSet,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    thread,
    time::Duration,
};

use fastrand::Rng;
use gentianpath::{
    free_index::FreeIndex,
    ids::{InstanceId, ModelId, WorkerId, Zone},
    route::{RouteRequest, Router},
    view::{View, WorkerInfo},
    workers::{Load, OnlineGuard, WorkerCell, WorkerTable},
};
use quickcheck::{Gen, QuickCheck};

const WORKERS: usize = 70;
const SLOTS: u32 = 4;

struct Fleet {
    table: WorkerTable,
    workers: Vec<WorkerInfo>,
    router: Router,
    guards: Vec<(usize, OnlineGuard)>,
    now: Duration,
    /// An index of all workers that replaces the router's index.
    index: Option<Arc<FreeIndex>>,
}

impl Fleet {
    /// Builds a fleet in two zones with all slots in use.
    fn new(index: Option<Arc<FreeIndex>>) -> Self {
        let mut fleet = Self {
            table: WorkerTable::default(),
            workers: (0..WORKERS).map(info).collect(),
            router: Router::default(),
            guards: Vec::new(),
            now: Duration::ZERO,
            index,
        };
        for i in 0..WORKERS {
            fleet.cell(i).configure(0.0, SLOTS);
            (0..SLOTS).for_each(|_| fleet.begin(i, 0));
        }
        fleet.build();
        fleet
    }

    fn cell(&self, worker: usize) -> Arc<WorkerCell> {
        self.table.cell(&self.workers[worker].id)
    }

    fn begin(&mut self, worker: usize, uncached: usize) {
        let guard = self.cell(worker).begin_prompt(uncached, self.now);
        self.guards.push((worker, guard));
    }

    fn end(&mut self, worker: usize) {
        if let Some(i) = self.guards.iter().position(|(w, _)| *w == worker) {
            self.guards.swap_remove(i);
        }
    }

    fn build(&mut self) {
        let view = View {
            workers: self.workers.clone(),
            ..View::default()
        };
        let (instance, zone) = (InstanceId::from("entry-0"), Zone::from("near"));
        self.router = Router::build(&view, &self.table, &instance, &zone);
        if let Some(index) = &self.index {
            let slots = self.workers.iter().map(|w| w.slots).enumerate();
            slots.for_each(|(i, slots)| self.cell(i).set_index(index.clone(), i, slots));
        }
    }

    fn has_free_slot(&self, worker: usize) -> bool {
        self.cell(worker).load() < self.workers[worker].slots
    }

    fn index_agrees(&self, index: &FreeIndex) -> bool {
        (0..WORKERS).all(|i| index.first(i, i + 1).is_some() == self.has_free_slot(i))
    }

    /// Makes one change and returns whether index and scan agree after it.
    fn step(&mut self, (kind, a, b): (u8, u8, u8)) -> bool {
        let worker = usize::from(a) % WORKERS;
        let count = u32::from(b) % (SLOTS + 2);
        self.now += Duration::from_millis(1);
        match kind % 12 {
            0 | 1 => self.begin(worker, usize::from(b) % 50),
            2 | 3 => self.end(worker),
            4 => {
                let guards = self.guards.iter().filter(|(w, _)| *w == worker);
                guards.for_each(|(_, g)| _ = g.first_token());
            }
            5 => {
                let peer = InstanceId::from(format!("peer-{}", b % 3));
                self.cell(worker).set_peer_level(&peer, count, self.now);
            }
            6 => self.cell(worker).set_announced(count),
            7 => self
                .cell(worker)
                .set_report(Load::default(), count, self.now),
            8 => self.cell(worker).configure(0.5, count),
            9 if b < 64 => {
                self.workers[worker].slots = count;
                self.build();
            }
            10 if b < 32 => {
                self.workers[worker].leaving ^= true;
                self.build();
            }
            _ => (0..SLOTS).for_each(|_| self.end(worker)),
        }
        match &self.index {
            Some(index) => self.index_agrees(index),
            None => self.search_agrees(u64::from(a)),
        }
    }

    fn search_agrees(&self, seed: u64) -> bool {
        let model = ModelId::from("m");
        let tried = [self.workers[seed as usize % WORKERS].id.clone()];
        [&tried[..], &[]].into_iter().all(|tried| {
            let request = RouteRequest {
                model: &model,
                blocks: &[],
                tried,
            };
            let found = self.router.search(&request, &mut Rng::with_seed(seed));
            found.map(|c| &c.info.id) == self.scan(tried, &mut Rng::with_seed(seed))
        })
    }

    /// Scans all workers from a random position on, the own zone first.
    fn scan(&self, tried: &[WorkerId], rng: &mut Rng) -> Option<&WorkerId> {
        let rank = |w: &&WorkerInfo| (&*w.zone != "near", owner(w) != "entry-0");
        let mut list: Vec<&WorkerInfo> = self.workers.iter().filter(|w| !w.leaving).collect();
        list.sort_by_key(|w| if rank(w).0 { (true, true) } else { rank(w) });
        let (near, far) = list.split_at(list.partition_point(|w| !rank(w).0));
        let mut first = |part: &[&'_ WorkerInfo]| {
            let start = if part.is_empty() {
                0
            } else {
                rng.usize(..part.len())
            };
            let (head, tail) = part.split_at(start);
            let is_free =
                |w: &&WorkerInfo| self.table.cell(&w.id).load() < w.slots && !tried.contains(&w.id);
            let found = tail.iter().chain(head).find(|w| is_free(w));
            found.and_then(|w| self.workers.iter().position(|k| k.id == w.id))
        };
        let found = first(near).or_else(|| first(far));
        found.map(|i| &self.workers[i].id)
    }
}

fn owner(worker: &WorkerInfo) -> &str {
    worker.owner.as_deref().unwrap_or_default()
}

fn info(number: usize) -> WorkerInfo {
    WorkerInfo {
        id: format!("w{number}").into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: Zone::from(if number.is_multiple_of(2) {
            "near"
        } else {
            "far"
        }),
        model: Some("m".into()),
        version: "1".into(),
        slots: SLOTS,
        leaving: false,
        owner: Some(format!("entry-{}", number % 4).into()),
    }
}

/// Guards against a change of a worker's counts that the index misses, so that no search finds its
/// free slot.
#[test]
fn index_search_equals_a_scan() {
    fn holds(steps: Vec<(u8, u8, u8)>) -> bool {
        let mut fleet = Fleet::new(None);
        steps.into_iter().all(|s| fleet.step(s))
    }
    let generator = Gen::from_size_and_seed(300, 6);
    let mut check = QuickCheck::new().rng(generator).tests(200);
    check.quickcheck(holds as fn(Vec<(u8, u8, u8)>) -> bool);
}

/// Guards against full workers staying in the index, which makes searches of a full fleet check
/// each worker.
#[test]
fn index_holds_only_workers_with_free_slots() {
    fn holds(steps: Vec<(u8, u8, u8)>) -> bool {
        let mut fleet = Fleet::new(Some(Arc::new(FreeIndex::new(WORKERS))));
        steps.into_iter().all(|s| fleet.step(s))
    }
    let generator = Gen::from_size_and_seed(300, 8);
    let mut check = QuickCheck::new().rng(generator).tests(200);
    check.quickcheck(holds as fn(Vec<(u8, u8, u8)>) -> bool);
}

/// Guards against a summary bit that does not match the word below it, on each of three levels.
#[test]
fn sparse_index_finds_the_next_number() {
    fn holds(steps: Vec<(u16, bool, u16)>) -> bool {
        const LENGTH: usize = 10_000;
        let index = FreeIndex::new(LENGTH);
        let mut set = BTreeSet::new();
        steps.into_iter().all(|(number, add, from)| {
            let number = usize::from(number) % LENGTH;
            let number = if add {
                number
            } else {
                set.pop_last().unwrap_or(number)
            };
            index.update(number, || add);
            if add {
                set.insert(number);
            }
            let (from, end) = (usize::from(from) % LENGTH, LENGTH - number / 2);
            let next = set.range(from..).next().copied();
            index.first(from, end) == next.filter(|&n| n < end)
        })
    }
    let generator = Gen::from_size_and_seed(200, 7);
    let mut check = QuickCheck::new().rng(generator).tests(200);
    check.quickcheck(holds as fn(Vec<(u16, bool, u16)>) -> bool);
}

/// Guards against an outdated write that overtakes another thread's newer one.
#[test]
fn overtaken_update_is_repaired() {
    let index = FreeIndex::new(10);
    let (free, first) = (Cell::new(true), Cell::new(true));
    index.update(7, || {
        let read = free.get();
        if first.replace(false) {
            // Simulates another thread's whole update between this read and its write.
            free.set(false);
            index.update(7, || false);
        }
        read
    });
    assert_eq!(index.first(0, 10), None);
}

/// Guards against concurrent changes that leave a number wrongly in or out of the index for good.
#[test]
fn index_is_right_after_concurrent_changes() {
    const LENGTH: usize = 130;
    for round in 0..200 {
        let index = FreeIndex::new(LENGTH);
        let counts: Vec<AtomicU32> = (0..LENGTH).map(|_| AtomicU32::new(0)).collect();
        let change = |thread: u64| {
            let mut rng = Rng::with_seed(round * 4 + thread);
            for _ in 0..1_000 {
                // A few numbers in two words, so that threads contend.
                let number = rng.usize(..4) * 40;
                let is_free = || counts[number].load(Ordering::SeqCst).is_multiple_of(3);
                counts[number].fetch_add(1, Ordering::SeqCst);
                index.update(number, is_free);
            }
        };
        let change = &change;
        thread::scope(|scope| (0..4).for_each(|t| drop(scope.spawn(move || change(t)))));
        let free: Vec<usize> = (0..LENGTH)
            .filter(|&n| n % 40 == 0 && counts[n].load(Ordering::SeqCst).is_multiple_of(3))
            .collect();
        let next = |&n: &usize| index.first(n + 1, LENGTH);
        let found: Vec<usize> = std::iter::successors(index.first(0, LENGTH), next).collect();
        assert_eq!(found, free, "round {round}");
    }
}
