//! Tells owners of workers how many online requests this instance has in flight on them.

use std::{cell::RefCell, rc::Rc, time::Duration};

use async_io::Timer;
use smol::channel::Receiver;

use crate::{
    context::Command,
    control::Control,
    ids::{InstanceId, Map, Set, WorkerId},
    watch,
};

/// Time in which changes of a level are told as one.
const COALESCE: Duration = Duration::from_millis(2);

/// What owners were told last.
#[derive(Debug, Default)]
pub struct Levels {
    told: Map<WorkerId, Told>,
    busy: Set<WorkerId>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Told {
    owner: InstanceId,
    /// Nothing when it is not known whether the notice arrived.
    level: Option<u32>,
}

impl Levels {
    /// Says whether a level must be told to an owner now. The answer is no while an earlier
    /// notice for the worker is under way, so that notices arrive in order.
    pub fn begin(&mut self, worker: &WorkerId, owner: &InstanceId, level: u32) -> bool {
        let now = Told {
            owner: owner.clone(),
            level: Some(level),
        };
        if self.busy.contains(worker) || self.told.get(worker) == Some(&now) {
            return false;
        }
        self.busy.insert(worker.clone());
        let doubt = Told { level: None, ..now };
        self.told.insert(worker.clone(), doubt);
        true
    }

    /// Notes how a notice ended.
    pub fn end(&mut self, worker: &WorkerId, level: u32, arrived: bool) {
        self.busy.remove(worker);
        if let Some(told) = self.told.get_mut(worker).filter(|_| arrived) {
            told.level = Some(level);
        }
    }

    /// Returns the workers whose owner was told something or may have missed a notice.
    pub fn workers(&self) -> Vec<WorkerId> {
        self.told.keys().cloned().collect()
    }

    /// Forgets workers for which a level of 0 has arrived.
    pub fn tidy(&mut self) {
        self.told.retain(|_, told| told.level != Some(0));
    }
}

/// Handles commands of traffic until their channel closes.
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
            control.spawn(tell(control.clone(), levels.clone(), worker));
        }
    }
}

/// Repeats notices that did not arrive, and tells new owners.
async fn run_repair(control: Rc<Control>, levels: Rc<RefCell<Levels>>) {
    loop {
        control.pause(control.ctx.settings.timeouts.exchange).await;
        let mut workers: Set<WorkerId> = levels.borrow().workers().into_iter().collect();
        workers.extend(in_use(&control));
        for worker in workers {
            control.spawn(tell(control.clone(), levels.clone(), worker));
        }
    }
}

/// Returns the workers of other owners on which this instance has online requests. A new owner
/// has to be told of requests that began under the earlier one.
fn in_use(control: &Control) -> Vec<WorkerId> {
    let me = &control.ctx.settings.instance;
    let view = control.ctx.view.load();
    let foreign = view.workers.iter().filter(|w| w.owner.as_ref() != Some(me));
    let used = foreign.filter(|w| control.ctx.workers.cell(&w.id).online() > 0);
    used.map(|w| w.id.clone()).collect()
}

/// Tells the owner of a worker the present level, until what was told is the present level.
async fn tell(control: Rc<Control>, levels: Rc<RefCell<Levels>>, worker: WorkerId) {
    let me = &control.ctx.settings.instance;
    loop {
        let owner = control.state().owner(&worker).filter(|owner| owner != me);
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
            .online((me, control.ctx.session), &worker, level)
            .await;
        levels.borrow_mut().end(&worker, level, arrived.is_ok());
        if arrived.is_err() {
            return;
        }
    }
    levels.borrow_mut().tidy();
}
