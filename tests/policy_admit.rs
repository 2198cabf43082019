//! Admission and preemption of batch streams.

use std::{sync::Arc, time::Duration};

use gentianpath::{
    admit::{Admission, Demand},
    ids::{InstanceId, WorkerId},
    workers::{BatchGuard, Load, WorkerCell, WorkerTable},
};
use quickcheck::{Gen, QuickCheck};

const SLOTS: u32 = 16;

fn cell(weight: f64) -> Arc<WorkerCell> {
    let cell = WorkerTable::default().cell(&WorkerId::from("w"));
    cell.configure(weight, SLOTS);
    cell
}

fn millis(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// Starts batch streams until no slot is free; each gets its first token at once.
fn fill(cell: &Arc<WorkerCell>, now: Duration) -> Vec<BatchGuard> {
    let next = || cell.begin_batch(now).inspect(BatchGuard::started);
    std::iter::from_fn(next).collect()
}

fn yielding(streams: &[BatchGuard]) -> Vec<usize> {
    let notified = |s: &BatchGuard| s.yielded.try_recv().is_ok();
    (0..streams.len())
        .filter(|&i| notified(&streams[i]))
        .collect()
}

/// Guards against batch and online requests together exceeding the slots, after any history.
#[test]
fn admission_never_exceeds_slots_and_yields_cover_the_excess() {
    fn holds(weight: u8, history: Vec<(u16, u8, u8)>) -> bool {
        let mut admission = Admission::default();
        admission.set_weight(f64::from(weight) / 255.0);
        let mut now = Duration::ZERO;
        history.into_iter().all(|(wait, online, batch)| {
            now += millis(u64::from(wait));
            let demand = Demand {
                slots: SLOTS,
                online: u32::from(online) % 24,
                batch: u32::from(batch) % 24,
                ..Demand::default()
            };
            let free = admission.free_slots(now, demand);
            let excess = admission.excess(now, demand);
            let over = (demand.online + demand.batch).saturating_sub(SLOTS);
            let fits = free == 0 || demand.online + demand.batch + free <= SLOTS;
            fits && excess >= over.min(demand.batch) && (free == 0 || excess == 0)
        })
    }
    let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(60, 11));
    check.quickcheck(holds as fn(u8, Vec<(u16, u8, u8)>) -> bool);
}

/// Guards against batch streams keeping their slots during an online burst, at this instance or a
/// peer.
#[test]
fn burst_makes_batch_yield_at_once_the_latest_first() {
    for weight in [0.0, 1.0] {
        let cell = cell(weight);
        let streams = fill(&cell, millis(10));
        assert_eq!(streams.len(), SLOTS as usize);
        let burst: Vec<_> = (0..5).map(|_| cell.begin_online(millis(20))).collect();
        assert_eq!(yielding(&streams), (11..16).collect::<Vec<_>>());
        cell.set_peer_level(&InstanceId::from("peer"), 6, millis(21));
        assert_eq!(yielding(&streams), (5..11).collect::<Vec<_>>());
        drop(burst);
    }
}

/// Guards against idle slots becoming available to batch streams only after seconds.
#[test]
fn idle_capacity_is_taken_quickly() {
    let cell = cell(1.0);
    let online: Vec<_> = (0..SLOTS).map(|_| cell.begin_online(millis(10))).collect();
    assert!(fill(&cell, millis(20)).is_empty());
    drop(online);
    assert_eq!(fill(&cell, millis(30)).len(), SLOTS as usize);
}

/// Guards against a load report that frees slots which own counts occupy, against unannounced
/// traffic that is not counted, and against a frozen report that occupies slots for ever.
#[test]
fn reports_only_correct_upwards() {
    let cell = cell(1.0);
    let report = |running, at| {
        let load = Load {
            running,
            waiting: 0,
        };
        cell.set_report(load, SLOTS, millis(at));
    };
    let online: Vec<_> = (0..6).map(|_| cell.begin_online(millis(10))).collect();
    report(0, 100);
    assert_eq!(cell.free_batch_slots(millis(110)), 2);
    let streams = fill(&cell, millis(120));
    assert_eq!(streams.len(), 10);
    drop(streams);
    report(16, 6_000);
    assert_eq!(fill(&cell, millis(6_010)).len(), 0);
    drop(online);
    for i in 1..6 {
        report(16, 6_000 + i * 500);
    }
    assert_eq!(fill(&cell, millis(12_000)).len(), SLOTS as usize);
}

/// Guards against a batch prefill delaying an online arrival at weight 0, which favours online tail
/// latency.
#[test]
fn prefills_yield_at_weight_zero_only() {
    for (weight, expected) in [(0.0, vec![0]), (1.0, vec![])] {
        let cell = cell(weight);
        let stream = cell.begin_batch(millis(10));
        let streams: Vec<_> = stream.into_iter().collect();
        let _online = cell.begin_online(millis(20));
        assert_eq!(yielding(&streams), expected);
    }
}

/// Guards against the slots that a long prompt reserves staying reserved after its first token.
#[test]
fn long_prompt_reserves_slots_until_its_first_token() {
    let cell = cell(0.0);
    let online = cell.begin_prompt(40, millis(10));
    assert_eq!((cell.online(), cell.level()), (1, 12));
    assert!(online.first_token());
    assert_eq!(cell.level(), 1);
    drop(online);
    assert_eq!((cell.online(), cell.level()), (0, 0));
}
