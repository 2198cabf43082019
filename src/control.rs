//! The control thread: what the instance knows, and the tasks that keep it up to date.

use std::{
    cell::{RefCell, RefMut},
    net::SocketAddr,
    rc::{Rc, Weak},
    sync::Arc,
    time::Duration,
};

use anyhow::Context as _;
use async_io::Timer;
use smol::{
    LocalExecutor,
    channel::{Receiver, Sender},
    net::TcpListener,
};

use crate::{
    context::{Command, Context},
    control_state::State,
    drain::Phase,
    event, exchange,
    ids::{Revision, Set},
    levels,
    members::Identity,
    peer_client::{PeerClient, PeerClients},
    peer_server,
    platform::Kind,
    reconcile,
    route::Router,
    sheet_log::SheetLog,
    spread::{Delta, Watched},
    status::{self, Status},
    store,
    view::View,
    watch,
};

/// Longest time between two looks at what to publish.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(250);
/// Interval of the status for operators.
const STATUS_INTERVAL: Duration = Duration::from_secs(1);
/// Time without a look at what to publish after which this instance was paused.
const PAUSE_LIMIT: Duration = Duration::from_secs(1);
/// Least interval between two writes of the sheet to the data folder.
const SAVE_INTERVAL: Duration = Duration::from_secs(5);

/// What the tasks of the control thread share.
pub struct Control {
    /// State that traffic shares.
    pub ctx: Arc<Context>,
    executor: Weak<LocalExecutor<'static>>,
    state: RefCell<State>,
    clients: PeerClients,
    wake: Sender<()>,
    woken: Receiver<()>,
}

/// What was published last.
#[derive(Default)]
struct Published {
    looked: Duration,
    status: Duration,
    log: Arc<SheetLog>,
    saved: Option<(Revision, Duration)>,
}

/// Runs the control of an entry instance until traffic drops its command channel.
///
/// # Errors
///
/// Returns an error when the address for other entry instances cannot be used.
pub async fn run(ctx: Arc<Context>, commands: Receiver<Command>) -> anyhow::Result<()> {
    let address = ctx.settings.peer;
    let listener = TcpListener::bind(address).await;
    let listener = listener.with_context(|| format!("cannot listen on {address} for peers"))?;
    let executor = Rc::new(LocalExecutor::new());
    let control = Rc::new(Control::new(ctx, Rc::downgrade(&executor)));
    control.restore();
    control.spawn(peer_server::serve(control.clone(), listener));
    control.spawn(exchange::run(control.clone()));
    control.spawn(watch::run(control.clone(), Watched::Sheet, Kind::Sheet));
    control.spawn(watch::run(control.clone(), Watched::Job, Kind::Job));
    control.spawn(watch::run_instances(control.clone()));
    control.spawn(watch::run_register(control.clone()));
    control.spawn(reconcile::run(control.clone()));
    control.spawn(control.clone().run_publish());
    executor.run(levels::run(control, commands)).await;
    Ok(())
}

impl Control {
    fn new(ctx: Arc<Context>, executor: Weak<LocalExecutor<'static>>) -> Self {
        let settings = &ctx.settings;
        let me = Identity {
            id: settings.instance.clone(),
            session: ctx.session,
            zone: settings.zone.clone(),
            address: settings.peer,
            leaving: false,
        };
        let seed = ctx.session;
        let (wake, woken) = smol::channel::bounded(1);
        Self {
            ctx,
            executor,
            state: RefCell::new(State::new(me, seed)),
            clients: PeerClients::default(),
            wake,
            woken,
        }
    }

    /// Returns the time of the control thread and of the worker cells.
    pub fn now(&self) -> Duration {
        self.ctx.workers.now()
    }

    /// Borrows the state. The borrow must end before the next await.
    pub fn state(&self) -> RefMut<'_, State> {
        self.state.borrow_mut()
    }

    /// Starts a task on the control thread; it ends with the control thread.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        if let Some(executor) = self.executor.upgrade() {
            executor.spawn(task).detach();
        }
    }

    /// Returns the client of a peer.
    pub fn client(&self, address: SocketAddr) -> Rc<PeerClient> {
        let mut clients = self.clients.borrow_mut();
        let made = || {
            let deadline = self.ctx.settings.timeouts.peer;
            Rc::new(PeerClient::new(address, deadline, self.executor.clone()))
        };
        clients.entry(address).or_insert_with(made).clone()
    }

    /// Closes the connections to addresses of instances that are not known any more.
    pub fn forget_clients(&self) {
        let state = self.state();
        let known: Set<SocketAddr> = state
            .members
            .entries()
            .map(|m| m.identity.address)
            .collect();
        let seeds = &self.ctx.settings.peers;
        let kept = |address: &SocketAddr| known.contains(address) || seeds.contains(address);
        self.clients.borrow_mut().retain(|address, _| kept(address));
    }

    /// Takes over a delta of a kind and publishes what follows from it.
    pub fn merge(&self, kind: Watched, delta: Delta) {
        let now = self.now();
        if self.state().merge(kind, delta, now) {
            self.publish_soon();
        }
    }

    /// Asks for a look at what to publish.
    pub fn publish_soon(&self) {
        let _ = self.wake.try_send(());
    }

    /// Waits for an interval, between 75% and 125% of it, so that instances do not act in step.
    pub async fn pause(&self, interval: Duration) {
        Timer::after(self.spread_out(interval)).await;
    }

    /// Returns a random time between 75% and 125% of an interval.
    pub fn spread_out(&self, interval: Duration) -> Duration {
        interval.mul_f64(0.75 + self.state().rng.f64() / 2.0)
    }

    fn restore(&self) {
        let Some(folder) = &self.ctx.settings.folder else {
            return;
        };
        match store::load_sheet(folder) {
            Ok(Some(saved)) => self.state().restore(saved, self.now()),
            Ok(None) => {}
            Err(e) => log::warn!("cannot read the sheet in {}: {e}", folder.display()),
        }
    }

    async fn run_publish(self: Rc<Self>) {
        let mut published = Published::default();
        loop {
            self.publish(&mut published);
            self.save(&mut published).await;
            let woken = async {
                let _ = self.woken.recv().await;
            };
            let timeout = async {
                Timer::after(PUBLISH_INTERVAL).await;
            };
            smol::future::or(woken, timeout).await;
        }
    }

    fn publish(&self, published: &mut Published) {
        let now = self.now();
        let mut state = self.state();
        let looked = std::mem::replace(&mut published.looked, now);
        if now.saturating_sub(looked) > PAUSE_LIMIT {
            state.resume(now);
        }
        if self.ctx.drain.phase() != Phase::Running {
            state.members.leave();
        }
        let built = state.build(&self.ctx, now);
        let old = self.ctx.view.load();
        let changed = built.filter(|new| !is_same(new, &old));
        let is_changed = changed.is_some();
        if let Some(view) = changed {
            self.publish_view(view);
        }
        if !is_changed && now.saturating_sub(published.status) < STATUS_INTERVAL {
            return;
        }
        published.status = now;
        if published.log.checked() != state.log.checked() {
            published.log = Arc::new(state.log.clone());
        }
        let status = Status {
            log: published.log.clone(),
            initialized: state.is_initialized(now),
            report: status::report(&state, &self.ctx.view.load(), now),
        };
        self.ctx.status.store(Arc::new(status));
    }

    fn publish_view(&self, view: View) {
        let settings = &self.ctx.settings;
        for worker in &view.workers {
            let cell = self.ctx.workers.cell(&worker.id);
            cell.configure(view.sheet.weight, worker.slots);
        }
        let router = Router::build(&view, &self.ctx.workers, &settings.instance, &settings.zone);
        self.ctx.view.store(Arc::new(view));
        self.ctx.router.store(Arc::new(router));
    }

    async fn save(&self, published: &mut Published) {
        let Some(folder) = self.ctx.settings.folder.clone() else {
            return;
        };
        let now = self.now();
        let saved = self.state().saved();
        let revision = saved.snapshot.revision;
        let due = published
            .saved
            .is_none_or(|(r, at)| r != revision && now.saturating_sub(at) >= SAVE_INTERVAL);
        if revision == 0 || !due {
            return;
        }
        published.saved = Some((revision, now));
        let result = smol::unblock(move || store::save_sheet(&folder, &saved)).await;
        if let Err(e) = result {
            log::warn!("cannot save the sheet of revision {revision}: {e}");
        }
    }

    /// Logs that the platform was lost or is back.
    pub fn log_platform(&self, kind: &str, failures: u32) {
        match failures {
            0 => event!(Info, PlatformBack, "kind={kind}"),
            1 => event!(Warn, PlatformLost, "kind={kind}"),
            _ => {}
        }
    }
}

/// Says whether two views are the same. Sheet and jobs are shared with the state, so that equal
/// ones are the same allocation.
fn is_same(a: &View, b: &View) -> bool {
    let same_job = |(id, job): (&_, &_)| b.jobs.get(id).is_some_and(|o| Arc::ptr_eq(o, job));
    a.revision == b.revision
        && Arc::ptr_eq(&a.sheet, &b.sheet)
        && a.workers == b.workers
        && a.services == b.services
        && a.peers == b.peers
        && a.jobs.len() == b.jobs.len()
        && a.jobs.iter().all(same_job)
}
