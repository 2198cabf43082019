//! Polls workers for load reports, and reconciles owned workers with the sheet: records their
//! placements and sends them orders.

use std::{cell::RefCell, rc::Rc, time::Duration};

use serde::Deserialize;

use crate::{
    backoff::Backoff,
    clock,
    control::Control,
    control_state::LOAD_MAX_AGE,
    engine::{LoadReport, Order, OrderError},
    event,
    ids::{Map, Set, Version, WorkerId},
    instance_list::ListedTarget,
    mutex::lock,
    orders::{Step, WorkerOrders, loads_weights},
    peer::WorkerLoad,
    placement::{Placement, Record},
    platform::{Kind, WriteError},
    weights::{SLOTS_NAME, Slots},
    workers::Load,
};

/// Maximum number of workers of other owners that are polled in one interval. Owners report the
/// loads of their workers, so only workers without a fresh load need a poll.
const STALE_READS: usize = 8;
/// Maximum number of workers of other owners that are checked for a stale load in one interval.
const STALE_CANDIDATES: usize = 256;
/// Interval at which the cache events of an owned worker are read. Engines publish them with a
/// delay in any case.
const EVENTS_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum number of reconcile steps for a worker after one load report.
const STEP_LIMIT: usize = 4;
/// Maximum number of attempts to update the slots of the weight store.
const SLOT_ATTEMPTS: usize = 3;
/// Upper bound of the first wait for a slot of the weight store.
const SLOT_BASE: Duration = Duration::from_millis(500);
/// Upper bound of any wait for a slot of the weight store.
const SLOT_CAP: Duration = Duration::from_secs(8);

/// Reconcile state of the workers that this instance owns.
#[derive(Default)]
struct OwnedWorkers {
    workers: Map<WorkerId, OwnedWorker>,
    wanted: Map<WorkerId, Placement>,
    reading: Set<WorkerId>,
}

/// Reconcile state of an owned worker.
struct OwnedWorker {
    orders: WorkerOrders,
    has_slot: bool,
    backoff: Backoff,
    /// Earliest time of the next attempt to take a slot of the weight store.
    retry_at: Duration,
    /// Number of the last cache event that was read.
    last_event: u64,
    /// Time of the next read of cache events.
    events_at: Duration,
}

impl Default for OwnedWorker {
    fn default() -> Self {
        Self {
            orders: WorkerOrders::default(),
            has_slot: false,
            backoff: Backoff::new(SLOT_BASE, SLOT_CAP),
            retry_at: Duration::ZERO,
            last_event: 0,
            events_at: Duration::ZERO,
        }
    }
}

type SharedWorkers = Rc<RefCell<OwnedWorkers>>;

/// Polls loads and keeps the owned workers in line with the sheet.
pub async fn run(control: Rc<Control>) {
    let workers = SharedWorkers::default();
    let mut next = 0;
    loop {
        workers.borrow_mut().update_wanted(&control);
        for target in due(&control, &mut next) {
            if workers.borrow_mut().reading.insert(target.id.clone()) {
                control.spawn(poll_worker(control.clone(), workers.clone(), target));
            }
        }
        control
            .sleep_jittered(control.ctx.settings.timeouts.load_poll)
            .await;
    }
}

impl OwnedWorkers {
    /// Recomputes the placements that the sheet requires of the workers of the zone.
    fn update_wanted(&mut self, control: &Control) {
        let state = control.state();
        self.workers.retain(|worker, _| state.owns(worker));
        let placed = self.workers.iter().filter_map(|(worker, owned)| {
            let placement = owned.orders.placement()?;
            Some((worker.clone(), placement.clone()))
        });
        let placed = placed.collect();
        self.wanted = state.wanted(&placed);
    }

    fn owned(&mut self, worker: &WorkerId) -> &mut OwnedWorker {
        self.workers.entry(worker.clone()).or_default()
    }
}

/// Returns the workers to poll: the owned ones, and some others without a fresh load. Each call
/// checks only the next few of the others, because checking 12,000 took 0.8% of a core.
fn due(control: &Control, next: &mut usize) -> Vec<ListedTarget> {
    let state = control.state();
    let now = control.now();
    let is_stale = |t: &ListedTarget| {
        let known = state.loads.get(&t.id);
        known.is_none_or(|k| now.saturating_sub(k.at) >= LOAD_MAX_AGE)
    };
    let mut due: Vec<ListedTarget> = state.owned().cloned().collect();
    let limit = due.len() + STALE_READS;
    for target in state.foreign(*next, STALE_CANDIDATES) {
        if due.len() == limit {
            break;
        }
        *next = next.wrapping_add(1);
        if is_stale(target) {
            due.push(target.clone());
        }
    }
    due
}

async fn poll_worker(control: Rc<Control>, workers: SharedWorkers, target: ListedTarget) {
    let report = control.ctx.engine.load(target.address).await;
    if let Some(report) = report {
        record_report(&control, &target.id, &report);
        let may_order = {
            let state = control.state();
            let has_sheet = state.log.in_force().revision > 0;
            state.owns(&target.id) && state.has_recent_contact(control.now()) && has_sheet
        };
        if may_order {
            reconcile(&control, &workers, &target, &report).await;
        }
        if control.state().owns(&target.id) {
            read_events(&control, &workers, &target).await;
        }
    } else {
        forget_cache(&control, &workers, &target.id);
    }
    workers.borrow_mut().reading.remove(&target.id);
}

/// Reads the cache events of an owned worker when a read is due.
async fn read_events(control: &Control, workers: &SharedWorkers, target: &ListedTarget) {
    let now = control.now();
    let since = {
        let mut workers = workers.borrow_mut();
        let owned = workers.owned(&target.id);
        if now < owned.events_at {
            return;
        }
        owned.events_at = now + EVENTS_INTERVAL;
        owned.last_event
    };
    let events = control.ctx.engine.events(target.address, since).await;
    let affinity = control.ctx.workers.affinity();
    let mut affinity = lock(&affinity);
    for event in events.into_iter().flatten() {
        affinity.apply_event(&target.id, &event, now);
        workers.borrow_mut().owned(&target.id).last_event = event.number;
    }
}

/// Clears the known cache content of a worker that does not answer. It may restart with an empty
/// cache and number its events from 1 again.
fn forget_cache(control: &Control, workers: &SharedWorkers, worker: &WorkerId) {
    if let Some(owned) = workers.borrow_mut().workers.get_mut(worker) {
        owned.last_event = 0;
    }
    let affinity = control.ctx.workers.affinity();
    lock(&affinity).clear(worker);
}

fn record_report(control: &Control, worker: &WorkerId, report: &LoadReport) {
    let demand = control.ctx.workers.cell(worker).current_demand();
    let mut state = control.state();
    let batch = if state.owns(worker) {
        demand.batch.min(report.running)
    } else {
        0
    };
    let load = WorkerLoad {
        worker: worker.clone(),
        slots: report.slots,
        online: report.running - batch,
        batch,
        waiting: report.waiting,
        leaving: report.leaving,
        model: report.model.clone(),
        version: report.version.clone(),
    };
    let counts = Load {
        running: report.running,
        waiting: report.waiting,
    };
    state.set_load(&control.ctx, load, counts, control.now());
}

/// Brings the record of a worker in line with the sheet and the worker in line with the record.
async fn reconcile(
    control: &Control,
    workers: &SharedWorkers,
    target: &ListedTarget,
    report: &LoadReport,
) {
    for _ in 0..STEP_LIMIT {
        let revision = control.state().log.in_force().revision;
        let now = control.now();
        let step = {
            let mut workers = workers.borrow_mut();
            let wanted = workers.wanted.get(&target.id).cloned();
            let orders = &mut workers.owned(&target.id).orders;
            orders.next(wanted.as_ref(), revision, report, now)
        };
        let proceeds = match step {
            Step::Idle => {
                free_slot(control, workers, &target.id).await;
                false
            }
            Step::Read => read(control, workers, &target.id).await,
            Step::Write(version) => write(control, workers, &target.id, version).await,
            Step::Order(order) => {
                send_order(control, workers, target, report, order).await;
                false
            }
        };
        if !proceeds {
            return;
        }
    }
}

async fn read(control: &Control, workers: &SharedWorkers, worker: &WorkerId) -> bool {
    let Ok(record) = control
        .ctx
        .platform
        .get_record(Kind::Placement, worker)
        .await
    else {
        return false;
    };
    workers.borrow_mut().owned(worker).orders.set_read(record);
    // The record is an input of the placements of the zone.
    workers.borrow_mut().update_wanted(control);
    true
}

async fn write(
    control: &Control,
    workers: &SharedWorkers,
    worker: &WorkerId,
    version: Option<Version>,
) -> bool {
    let Some(placement) = workers.borrow().wanted.get(worker).cloned() else {
        return false;
    };
    let instance = &control.ctx.settings.instance;
    let record = {
        let mut state = control.state();
        let token = format!("{instance}-{:016x}", state.rng.u64(..));
        Record {
            placement,
            revision: state.log.in_force().revision,
            owner: instance.clone(),
            token: token.into(),
        }
    };
    let platform = &control.ctx.platform;
    let written = platform
        .put(Kind::Placement, worker, version, &record)
        .await;
    let mut workers = workers.borrow_mut();
    let orders = &mut workers.owned(worker).orders;
    let Ok(fence) = written else {
        orders.forget();
        return false;
    };
    let Placement { model, version, .. } = &record.placement;
    event!(
        Info,
        PlacementChosen,
        "worker={worker} model={model} version={version} fence={fence}"
    );
    orders.set_written(fence, record);
    true
}

async fn send_order(
    control: &Control,
    workers: &SharedWorkers,
    target: &ListedTarget,
    report: &LoadReport,
    order: Order,
) {
    if loads_weights(&order) && !take_slot(control, workers, &target.id).await {
        return;
    }
    let Ok(record) = control
        .ctx
        .platform
        .get_record(Kind::Placement, &target.id)
        .await
    else {
        return;
    };
    if !workers
        .borrow_mut()
        .owned(&target.id)
        .orders
        .confirm(&order, record)
    {
        return;
    }
    let answer = control.ctx.engine.order(target.address, &order).await;
    let (worker, fence) = (&target.id, order.fence);
    let mut workers = workers.borrow_mut();
    let orders = &mut workers.owned(worker).orders;
    match answer {
        Ok(()) => {
            event!(
                Info,
                OrderGiven,
                "worker={worker} fence={fence} action={:?}",
                order.action
            );
            orders.set_sent(order, report, control.now());
        }
        Err(OrderError::Stale) => {
            event!(Warn, OrderStale, "worker={worker} fence={fence}");
            orders.forget();
        }
        Err(OrderError::Failed) => event!(Warn, OrderFailed, "worker={worker} fence={fence}"),
    }
}

async fn take_slot(control: &Control, workers: &SharedWorkers, worker: &WorkerId) -> bool {
    let now = control.now();
    if workers.borrow_mut().owned(worker).retry_at > now {
        return false;
    }
    let taken = change_slots(control, |slots| slots.take(worker, clock::unix_millis())).await;
    let mut workers = workers.borrow_mut();
    let owned = workers.owned(worker);
    owned.has_slot = taken;
    if taken {
        owned.backoff.succeed();
    } else {
        owned.retry_at = now + owned.backoff.fail(&mut control.state().rng);
    }
    taken
}

async fn free_slot(control: &Control, workers: &SharedWorkers, worker: &WorkerId) {
    if std::mem::take(&mut workers.borrow_mut().owned(worker).has_slot) {
        change_slots(control, |slots| slots.free(worker)).await;
    }
}

/// Changes the slots of the weight store by a conditional update. A slot whose write got no answer
/// counts as not taken and expires if it was.
async fn change_slots(control: &Control, change: impl Fn(&mut Slots) -> bool) -> bool {
    let platform = &control.ctx.platform;
    for _ in 0..SLOT_ATTEMPTS {
        let Ok(object) = platform.get(Kind::Weights, SLOTS_NAME).await else {
            return false;
        };
        let version = object.as_ref().map(|o| o.version);
        let slots = object.map(|o| Slots::deserialize(&o.value).unwrap_or_default());
        let mut slots = slots.unwrap_or_default();
        if !change(&mut slots) {
            return false;
        }
        let written = platform
            .put(Kind::Weights, SLOTS_NAME, version, &slots)
            .await;
        match written {
            Ok(_) => return true,
            Err(WriteError::Conflict) => {}
            Err(_) => return false,
        }
    }
    false
}
