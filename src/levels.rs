//! Reports the number of online requests that this instance has in flight on a worker (its level)
//! to the owner of the worker.

use std::{cell::RefCell, rc::Rc, time::Duration};

use async_io::Timer;
use smol::channel::Receiver;

use crate::{
    context::Command,
    control::Control,
    ids::{InstanceId, Map, Set, WorkerId},
    watch,
};

/// Time within which changes of a level are coalesced into one report.
const COALESCE: Duration = Duration::from_millis(2);

/// Last report to the owner of each worker.
#[derive(Debug, Default)]
pub struct Levels {
    reported: Map<WorkerId, Reported>,
    /// Workers with a report in flight.
    in_flight: Set<WorkerId>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Reported {
    owner: InstanceId,
    /// `None` while it is unknown whether the report arrived.
    level: Option<u32>,
}

impl Levels {
    /// Begins a report and returns whether it must be sent. It returns `false` while an earlier
    /// report for the worker is in flight, so that reports arrive in order, and when the owner
    /// already has the level.
    pub fn begin(&mut self, worker: &WorkerId, owner: &InstanceId, level: u32) -> bool {
        let now = Reported {
            owner: owner.clone(),
            level: Some(level),
        };
        if self.in_flight.contains(worker) || self.reported.get(worker) == Some(&now) {
            return false;
        }
        self.in_flight.insert(worker.clone());
        let unconfirmed = Reported { level: None, ..now };
        self.reported.insert(worker.clone(), unconfirmed);
        true
    }

    /// Records the end of a report and whether it arrived.
    pub fn end(&mut self, worker: &WorkerId, level: u32, arrived: bool) {
        self.in_flight.remove(worker);
        if let Some(reported) = self.reported.get_mut(worker).filter(|_| arrived) {
            reported.level = Some(level);
        }
    }

    /// Returns the workers with a recorded report, including those whose report may not have
    /// arrived.
    pub fn workers(&self) -> Vec<WorkerId> {
        self.reported.keys().cloned().collect()
    }

    /// Removes the workers whose owner has received a level of 0.
    pub fn remove_idle(&mut self) {
        self.reported
            .retain(|_, reported| reported.level != Some(0));
    }
}

/// Handles commands of the traffic side until their channel closes.
pub async fn run(control: Rc<Control>, commands: Receiver<Command>) {
    let levels = Rc::new(RefCell::new(Levels::default()));
    control.spawn(run_repair(control.clone(), levels.clone()));
    while let Ok(first) = commands.recv().await {
        Timer::after(COALESCE).await;
        let rest = std::iter::from_fn(|| commands.try_recv().ok());
        let mut workers = Set::default();
        let mut refresh = false;
        for command in std::iter::once(first).chain(rest) {
            match command {
                Command::OnlineLevel { worker, .. } => {
                    workers.insert(worker);
                }
                Command::Refresh => refresh = true,
            }
        }
        if refresh {
            control.spawn(watch::refresh(control.clone()));
        }
        for worker in workers {
            control.spawn(report_level(control.clone(), levels.clone(), worker));
        }
    }
}

/// Repeats reports that did not arrive, and sends reports to new owners.
async fn run_repair(control: Rc<Control>, levels: Rc<RefCell<Levels>>) {
    loop {
        control
            .sleep_jittered(control.ctx.settings.timeouts.exchange)
            .await;
        let mut workers: Set<WorkerId> = levels.borrow().workers().into_iter().collect();
        workers.extend(in_use(&control));
        for worker in workers {
            control.spawn(report_level(control.clone(), levels.clone(), worker));
        }
    }
}

/// Returns the workers of other owners on which this instance has online requests. A new owner
/// needs a report of requests that began under the previous one.
fn in_use(control: &Control) -> Vec<WorkerId> {
    let instance = &control.ctx.settings.instance;
    let view = control.ctx.view.load();
    let foreign = view
        .workers
        .iter()
        .filter(|w| w.owner.as_ref() != Some(instance));
    let used = foreign.filter(|w| control.ctx.workers.cell(&w.id).online() > 0);
    used.map(|w| w.id.clone()).collect()
}

/// Reports the level of a worker to its owner, and repeats this until the reported level is
/// current or a report fails.
async fn report_level(control: Rc<Control>, levels: Rc<RefCell<Levels>>, worker: WorkerId) {
    let instance = &control.ctx.settings.instance;
    loop {
        let owner = control
            .state()
            .owner(&worker)
            .filter(|owner| owner != instance);
        let address = owner.and_then(|owner| {
            let address = control.state().members.entry(&owner)?.identity.address;
            Some((owner, address))
        });
        let Some((owner, address)) = address else {
            return;
        };
        let level = control.ctx.workers.cell(&worker).level();
        if !levels.borrow_mut().begin(&worker, &owner, level) {
            break;
        }
        let arrived = control
            .client(address)
            .report_online((instance, control.ctx.session), &worker, level)
            .await;
        levels.borrow_mut().end(&worker, level, arrived.is_ok());
        if arrived.is_err() {
            return;
        }
    }
    levels.borrow_mut().remove_idle();
}
