//! Placement and orders: paused owners, engines that check fencing numbers and those that do not.

use std::{sync::Arc, time::Duration};

use gentianpath::{
    engine::{LoadReport, Order},
    orders::{LAG_WAIT, LOAD_WAIT, Step, WorkerOrders, loads_weights, order},
    placement::{Placement, Record, ZoneWorker, assign},
    sheet::{RawModel, RawSheet, Sheet},
    weights::{SLOT_LIFE_MS, SLOT_LIMIT, Slots},
};

fn placement(version: &str) -> Placement {
    Placement {
        model: "coinread".into(),
        version: version.into(),
        adapters: vec![],
    }
}

fn report(version: Option<&str>) -> LoadReport {
    LoadReport {
        running: 0,
        slots: 4,
        waiting: 0,
        model: version.map(|_| "coinread".into()),
        version: version.unwrap_or_default().into(),
        adapters: vec![],
        role: "".into(),
        leaving: false,
    }
}

/// The object service's record and the engine.
#[derive(Debug, Clone)]
struct World {
    record: Option<(u64, Record)>,
    version: u64,
    loaded: Option<Arc<str>>,
    fence: u64,
    checks: bool,
    now: Duration,
}

impl World {
    fn new(checks: bool) -> Self {
        Self {
            record: None,
            version: 0,
            loaded: None,
            fence: 0,
            checks,
            now: Duration::ZERO,
        }
    }

    fn write(&mut self, expected: Option<u64>, record: &Record) -> Option<u64> {
        let current = self.record.as_ref().map(|(v, _)| *v);
        if current != expected {
            return None;
        }
        self.version += 1;
        self.record = Some((self.version, record.clone()));
        Some(self.version)
    }

    fn obey(&mut self, order: &Order) -> bool {
        if self.checks && order.fence < self.fence {
            return false;
        }
        self.fence = self.fence.max(order.fence);
        self.loaded = order.version.clone();
        true
    }
}

/// What an owner is about to do when it is paused.
#[derive(Debug, Clone)]
enum Intent {
    Look,
    Read,
    Write(Option<u64>),
    Confirm(Order, LoadReport),
    Send(Order, LoadReport),
}

/// An instance that believes to own the worker.
#[derive(Debug, Clone)]
struct Owner {
    name: &'static str,
    orders: WorkerOrders,
    wanted: Placement,
    revision: u64,
    intent: Intent,
}

impl Owner {
    fn new(name: &'static str, version: &str, revision: u64) -> Self {
        Self {
            name,
            orders: WorkerOrders::default(),
            wanted: placement(version),
            revision,
            intent: Intent::Look,
        }
    }

    /// Takes one step; the instance may be paused before and after it.
    fn step(&mut self, world: &mut World) {
        world.now += Duration::from_millis(100);
        self.intent = match std::mem::replace(&mut self.intent, Intent::Look) {
            Intent::Look => self.look(world),
            Intent::Read => {
                self.orders.set_read(world.record.clone());
                Intent::Look
            }
            Intent::Write(expected) => {
                let record = Record {
                    placement: self.wanted.clone(),
                    revision: self.revision,
                    owner: self.name.into(),
                    token: self.name.into(),
                };
                match world.write(expected, &record) {
                    Some(version) => self.orders.set_written(version, record),
                    None => self.orders.forget(),
                }
                Intent::Look
            }
            Intent::Confirm(order, seen) => {
                if self.orders.confirm(&order, world.record.clone()) {
                    Intent::Send(order, seen)
                } else {
                    Intent::Look
                }
            }
            Intent::Send(order, seen) => {
                if world.obey(&order) {
                    self.orders.set_sent(order, &seen, world.now);
                } else {
                    self.orders.forget();
                }
                Intent::Look
            }
        };
    }

    fn look(&mut self, world: &World) -> Intent {
        let seen = report(world.loaded.as_deref());
        let step = self
            .orders
            .next(Some(&self.wanted), self.revision, &seen, world.now);
        match step {
            Step::Idle => Intent::Look,
            Step::Read => Intent::Read,
            Step::Write(version) => Intent::Write(version),
            Step::Order(order) => Intent::Confirm(order, seen),
        }
    }
}

/// Steps in which an owner that is alone reaches its placement.
const ALONE: usize = 12;

/// Guards against a paused owner that wakes anywhere and undoes what the new owner ordered from a
/// later sheet. Engines that check never obey it; engines that do not are corrected at the next
/// report.
#[test]
fn a_paused_owner_cannot_undo_newer_orders() {
    for checks in [true, false] {
        for before in 0..ALONE {
            for after in 0..ALONE {
                let mut world = World::new(checks);
                let mut old = Owner::new("old", "v1", 1);
                let mut new = Owner::new("new", "v2", 2);
                (0..before).for_each(|_| old.step(&mut world));
                (0..ALONE).for_each(|_| new.step(&mut world));
                assert_eq!(world.loaded.as_deref(), Some("v2"));
                for _ in 0..after {
                    old.step(&mut world);
                    let undone = world.loaded.as_deref() != Some("v2");
                    assert!(
                        !(checks && undone),
                        "a stale order was obeyed, step {before}"
                    );
                }
                // One report and one order of the owner, without a repeat wait.
                let waited = world.now + LAG_WAIT;
                (0..ALONE).for_each(|_| new.step(&mut world));
                assert!(world.now < waited);
                assert_eq!(
                    world.loaded.as_deref(),
                    Some("v2"),
                    "pause {before}, steps {after}"
                );
                let (_, record) = world.record.unwrap();
                assert_eq!(record.placement, placement("v2"));
            }
        }
    }
}

/// Guards against two instances that believe to own a worker and leave it in a wrong state,
/// whatever the order of their steps.
#[test]
fn any_interleaving_of_two_owners_ends_at_the_later_sheet() {
    const STEPS: u32 = 14;
    for checks in [true, false] {
        for schedule in 0..1_u32 << STEPS {
            let mut world = World::new(checks);
            let mut old = Owner::new("old", "v1", 1);
            let mut new = Owner::new("new", "v2", 2);
            for i in 0..STEPS {
                if schedule >> i & 1 == 0 {
                    old.step(&mut world);
                } else {
                    new.step(&mut world);
                }
            }
            for _ in 0..3 * ALONE {
                old.step(&mut world);
                new.step(&mut world);
            }
            assert_eq!(world.loaded.as_deref(), Some("v2"), "schedule {schedule:b}");
        }
    }
}

/// Guards against an order that is sent without its record, and one that restarts a load with
/// each report.
#[test]
fn an_order_follows_its_record_and_is_not_repeated_while_it_loads() {
    let wanted = placement("v1");
    let mut orders = WorkerOrders::default();
    let at = Duration::from_secs;
    assert_eq!(
        orders.next(Some(&wanted), 1, &report(None), at(0)),
        Step::Read
    );
    orders.set_read(None);
    assert_eq!(
        orders.next(Some(&wanted), 1, &report(None), at(0)),
        Step::Write(None)
    );
    let record = Record {
        placement: wanted.clone(),
        revision: 1,
        owner: "a".into(),
        token: "t".into(),
    };
    orders.set_written(7, record.clone());
    let Step::Order(order) = orders.next(Some(&wanted), 1, &report(None), at(0)) else {
        panic!("no order");
    };
    assert_eq!(order.fence, 7);
    assert!(loads_weights(&order));
    assert!(orders.confirm(&order, Some((7, record.clone()))));
    orders.set_sent(order.clone(), &report(None), at(0));
    assert_eq!(
        orders.next(Some(&wanted), 1, &report(None), at(5)),
        Step::Idle
    );
    let other = orders.next(Some(&wanted), 1, &report(Some("v0")), at(5));
    assert_eq!(
        other,
        Step::Order(order.clone()),
        "another order took effect"
    );
    let late = orders.next(Some(&wanted), 1, &report(None), LOAD_WAIT);
    assert_eq!(late, Step::Order(order.clone()), "the load takes too long");
    // A report may lag, or a stale order brought back what was loaded before.
    orders.set_sent(order.clone(), &report(Some("v0")), at(5));
    let old =
        |orders: &mut WorkerOrders, now| orders.next(Some(&wanted), 1, &report(Some("v0")), now);
    assert_eq!(old(&mut orders, at(6)), Step::Idle);
    assert_eq!(
        old(&mut orders, at(5) + LAG_WAIT),
        Step::Order(order.clone())
    );
    assert_eq!(
        orders.next(Some(&wanted), 1, &report(Some("v1")), at(6)),
        Step::Idle
    );
    assert!(!orders.confirm(&order, Some((9, record))));
}

/// Guards against adapters that are never loaded or never unloaded.
#[test]
fn adapters_follow_the_model() {
    let mut wanted = placement("v1");
    wanted.adapters = vec!["a1".into()];
    let mut seen = report(Some("v1"));
    let load = order(3, &wanted, &seen).unwrap();
    assert_eq!(load.adapter.as_deref(), Some("a1"));
    assert!(!loads_weights(&load));
    seen.adapters = vec!["a1".into(), "a0".into()];
    let unload = order(3, &wanted, &seen).unwrap();
    assert_eq!(unload.adapter.as_deref(), Some("a0"));
    seen.adapters.pop();
    assert_eq!(order(3, &wanted, &seen), None);
}

fn sheet(models: &[(&str, u32)]) -> Sheet {
    let raw = RawSheet {
        deployment: "d".into(),
        throughput_weight: 0.0,
        models: models
            .iter()
            .map(|(name, min_workers)| RawModel {
                name: (*name).into(),
                version: "v1".into(),
                adapters: vec![],
                min_workers: *min_workers,
                slots: 4,
            })
            .collect(),
        ..RawSheet::default()
    };
    Sheet::try_from(&raw).unwrap()
}

fn zone_worker(worker: &str, model: &str, busy: bool) -> ZoneWorker {
    ZoneWorker {
        worker: worker.into(),
        model: (!model.is_empty()).then(|| model.into()),
        busy,
    }
}

fn models(workers: &[ZoneWorker], sheet: &Sheet) -> Vec<String> {
    let assigned = assign(workers, sheet);
    workers
        .iter()
        .map(|p| assigned[&p.worker].model.to_string())
        .collect()
}

/// Guards against workers that lose a model which the sheet still wants, and busy workers that
/// are changed while idle ones could be.
#[test]
fn placement_disturbs_least() {
    let both = sheet(&[("a", 2), ("b", 1)]);
    let workers = [
        zone_worker("w1", "a", false),
        zone_worker("w2", "a", true),
        zone_worker("w3", "a", false),
    ];
    let after = models(&workers, &both);
    assert_eq!(after.iter().filter(|m| *m == "b").count(), 1);
    assert_eq!(after[1], "a", "the busy worker changed");
    let free = [
        zone_worker("w1", "a", false),
        zone_worker("w2", "a", false),
        zone_worker("w3", "", false),
    ];
    assert_eq!(models(&free, &both), ["a", "a", "b"]);
    let settled = [
        zone_worker("w1", "b", true),
        zone_worker("w2", "a", true),
        zone_worker("w3", "b", true),
    ];
    let one_each = sheet(&[("a", 1), ("b", 1)]);
    assert_eq!(models(&settled, &one_each), ["b", "a", "b"]);
    assert!(assign(&settled, &Sheet::default()).is_empty());
}

/// Guards against a model that takes the last workers of another one when there are too few.
#[test]
fn a_shortage_does_not_move_workers_back_and_forth() {
    let both = sheet(&[("a", 2), ("b", 2)]);
    let mut workers = [
        zone_worker("w1", "a", false),
        zone_worker("w2", "a", false),
        zone_worker("w3", "", false),
    ];
    for _ in 0..4 {
        let after = models(&workers, &both);
        assert_eq!(after, ["a", "a", "b"]);
        for (place, model) in workers.iter_mut().zip(after) {
            place.model = Some(model.as_str().into());
        }
    }
}

/// Guards against more loads at once than the weight store allows, and slots that are lost with
/// their holder.
#[test]
fn slots_are_bounded_and_expire() {
    let mut slots = Slots::default();
    let worker = |i: usize| -> Arc<str> { format!("w{i}").into() };
    assert!((0..SLOT_LIMIT).all(|i| slots.take(&worker(i), 1000)));
    assert!(!slots.take(&worker(99), 1000));
    assert!(slots.take(&worker(0), 2000), "a holder renews its slot");
    assert!(slots.free(&worker(1)));
    assert!(slots.take(&worker(99), 2000));
    assert!(!slots.take(&worker(1), 2000));
    assert!(slots.take(&worker(1), 1000 + SLOT_LIFE_MS));
}
