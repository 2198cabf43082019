//! Reads load reports of workers, records placements and gives orders for owned workers.

use std::{cell::RefCell, rc::Rc, time::Duration};

use serde::Deserialize;

use crate::{
    backoff::Backoff,
    clock,
    control::Control,
    control_state::LOAD_FRESH,
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

/// Reads of workers that this instance does not own, in one interval. Owners tell the loads of
/// their workers, so reads are left for workers of which no fresh load is known.
const STALE_READS: usize = 8;
/// Workers that this instance does not own and looks at in one interval, for such reads.
const STALE_LOOKS: usize = 256;
/// Interval at which the cache events of an owned worker are read; they come late anyway.
const EVENTS_INTERVAL: Duration = Duration::from_secs(2);
/// Steps for one worker after one load report at most.
const STEP_LIMIT: usize = 4;
/// Tries to take or free a slot of the weight store.
const SLOT_TRIES: usize = 3;
/// Bound of the first wait for a slot of the weight store.
const SLOT_BASE: Duration = Duration::from_millis(500);
/// Bound of the longest wait for a slot of the weight store.
const SLOT_CAP: Duration = Duration::from_secs(8);

/// What this instance knows of the workers that it owns.
#[derive(Default)]
struct OwnedWorkers {
    workers: Map<WorkerId, OwnedWorker>,
    wanted: Map<WorkerId, Placement>,
    reading: Set<WorkerId>,
}

/// An owned worker.
struct OwnedWorker {
    orders: WorkerOrders,
    has_slot: bool,
    backoff: Backoff,
    not_before: Duration,
    /// Number of the last cache event.
    event: u64,
    /// When cache events are read next.
    events_at: Duration,
}

impl Default for OwnedWorker {
    fn default() -> Self {
        Self {
            orders: WorkerOrders::default(),
            has_slot: false,
            backoff: Backoff::new(SLOT_BASE, SLOT_CAP),
            not_before: Duration::ZERO,
            event: 0,
            events_at: Duration::ZERO,
        }
    }
}

type SharedWorkers = Rc<RefCell<OwnedWorkers>>;

/// Reads loads and keeps the owned workers at what the sheet wants.
pub async fn run(control: Rc<Control>) {
    let workers = SharedWorkers::default();
    let mut next = 0;
    loop {
        workers.borrow_mut().plan(&control);
        for target in due(&control, &mut next) {
            if workers.borrow_mut().reading.insert(target.id.clone()) {
                control.spawn(visit(control.clone(), workers.clone(), target));
            }
        }
        control.pause(control.ctx.settings.timeouts.load_poll).await;
    }
}

impl OwnedWorkers {
    /// Decides what the sheet wants of the zone's workers.
    fn plan(&mut self, control: &Control) {
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

/// Returns the workers whose load is to be read: owned ones, and some without a fresh load. Of the
/// others each call looks at the next few, because a look at 12,000 took 0.8% of a core.
fn due(control: &Control, next: &mut usize) -> Vec<ListedTarget> {
    let state = control.state();
    let now = control.now();
    let is_stale = |t: &ListedTarget| {
        let known = state.loads.get(&t.id);
        known.is_none_or(|k| now.saturating_sub(k.at) >= LOAD_FRESH)
    };
    let mut due: Vec<ListedTarget> = state.owned().cloned().collect();
    let most = due.len() + STALE_READS;
    for target in state.foreign(*next, STALE_LOOKS) {
        if due.len() == most {
            break;
        }
        *next = next.wrapping_add(1);
        if is_stale(target) {
            due.push(target.clone());
        }
    }
    due
}

async fn visit(control: Rc<Control>, workers: SharedWorkers, target: ListedTarget) {
    let report = control.ctx.engine.load(target.address).await;
    if let Some(report) = report {
        take_report(&control, &target.id, &report);
        let acts = {
            let state = control.state();
            let has_sheet = state.log.in_force().revision > 0;
            state.owns(&target.id) && state.is_in_touch(control.now()) && has_sheet
        };
        if acts {
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

/// Reads the cache events of an owned worker, when it is time.
async fn read_events(control: &Control, workers: &SharedWorkers, target: &ListedTarget) {
    let now = control.now();
    let since = {
        let mut workers = workers.borrow_mut();
        let owned = workers.owned(&target.id);
        if now < owned.events_at {
            return;
        }
        owned.events_at = now + EVENTS_INTERVAL;
        owned.event
    };
    let events = control.ctx.engine.events(target.address, since).await;
    let affinity = control.ctx.workers.affinity();
    let mut affinity = lock(&affinity);
    for event in events.into_iter().flatten() {
        affinity.apply_event(&target.id, &event, now);
        workers.borrow_mut().owned(&target.id).event = event.number;
    }
}

/// Forgets the cache of a worker that does not answer: it may come back empty, with events from 1.
fn forget_cache(control: &Control, workers: &SharedWorkers, worker: &WorkerId) {
    if let Some(owned) = workers.borrow_mut().workers.get_mut(worker) {
        owned.event = 0;
    }
    let affinity = control.ctx.workers.affinity();
    lock(&affinity).clear(worker);
}

fn take_report(control: &Control, worker: &WorkerId, report: &LoadReport) {
    let known = control.ctx.workers.cell(worker).current_demand();
    let mut state = control.state();
    let batch = if state.owns(worker) {
        known.batch.min(report.running)
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
        let goes_on = match step {
            Step::Idle => {
                free_slot(control, workers, &target.id).await;
                false
            }
            Step::Read => read(control, workers, &target.id).await,
            Step::Write(version) => write(control, workers, &target.id, version).await,
            Step::Order(order) => {
                give(control, workers, target, report, order).await;
                false
            }
        };
        if !goes_on {
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
    // What the record says can change what is wanted of the zone.
    workers.borrow_mut().plan(control);
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
    let me = &control.ctx.settings.instance;
    let record = {
        let mut state = control.state();
        let token = format!("{me}-{:016x}", state.rng.u64(..));
        Record {
            placement,
            revision: state.log.in_force().revision,
            owner: me.clone(),
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

async fn give(
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
            orders.set_given(order, report, control.now());
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
    if workers.borrow_mut().owned(worker).not_before > now {
        return false;
    }
    let taken = change_slots(control, |slots| slots.take(worker, clock::unix_millis())).await;
    let mut workers = workers.borrow_mut();
    let owned = workers.owned(worker);
    owned.has_slot = taken;
    if taken {
        owned.backoff.succeed();
    } else {
        owned.not_before = now + owned.backoff.fail(&mut control.state().rng);
    }
    taken
}

async fn free_slot(control: &Control, workers: &SharedWorkers, worker: &WorkerId) {
    if std::mem::take(&mut workers.borrow_mut().owned(worker).has_slot) {
        change_slots(control, |slots| slots.free(worker)).await;
    }
}

/// Changes the slots of the weight store by a conditional update. A slot whose write got no
/// answer counts as not taken; it expires.
async fn change_slots(control: &Control, change: impl Fn(&mut Slots) -> bool) -> bool {
    let platform = &control.ctx.platform;
    for _ in 0..SLOT_TRIES {
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
