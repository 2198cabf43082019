//! The control thread: owns the state of the instance and runs the tasks that keep it up to date.

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

/// Longest time between two runs of the publish task.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which the status for operators is published.
const STATUS_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two runs of the publish task above which the instance is taken to have been paused.
const PAUSE_LIMIT: Duration = Duration::from_secs(1);
/// Minimum interval between two writes of the sheet to the data folder.
const SAVE_INTERVAL: Duration = Duration::from_secs(5);

/// Context shared by the tasks of the control thread.
pub struct Control {
    /// Context shared with the traffic threads.
    pub ctx: Arc<Context>,
    executor: Weak<LocalExecutor<'static>>,
    state: RefCell<State>,
    clients: PeerClients,
    publish_sender: Sender<()>,
    publish_receiver: Receiver<()>,
}

/// Bookkeeping of the publish task: what was published and saved last, and when.
#[derive(Default)]
struct Published {
    last_run: Duration,
    status_at: Duration,
    log: Arc<SheetLog>,
    saved: Option<(Revision, Duration)>,
}

/// Runs the control thread of an entry instance until the traffic side closes its command channel.
///
/// # Errors
///
/// Returns an error when the listener for peers cannot be bound.
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
        let local = Identity {
            id: settings.instance.clone(),
            session: ctx.session,
            zone: settings.zone.clone(),
            address: settings.peer,
            leaving: false,
        };
        let seed = ctx.session;
        let (publish_sender, publish_receiver) = smol::channel::bounded(1);
        Self {
            ctx,
            executor,
            state: RefCell::new(State::new(local, seed)),
            clients: PeerClients::default(),
            publish_sender,
            publish_receiver,
        }
    }

    /// Returns the current time on the clock that the control thread and the worker cells use.
    pub fn now(&self) -> Duration {
        self.ctx.workers.now()
    }

    /// Borrows the state. The borrow must end before the next await.
    pub fn state(&self) -> RefMut<'_, State> {
        self.state.borrow_mut()
    }

    /// Spawns a task on the control thread. The task is dropped when the thread ends.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        if let Some(executor) = self.executor.upgrade() {
            executor.spawn(task).detach();
        }
    }

    /// Returns the client of a peer, creating it on first use.
    pub fn client(&self, address: SocketAddr) -> Rc<PeerClient> {
        let mut clients = self.clients.borrow_mut();
        let build = || {
            let deadline = self.ctx.settings.timeouts.peer;
            Rc::new(PeerClient::new(address, deadline, self.executor.clone()))
        };
        clients.entry(address).or_insert_with(build).clone()
    }

    /// Closes the connections to addresses that are neither those of known instances nor in the
    /// settings.
    pub fn close_unused_clients(&self) {
        let state = self.state();
        let known: Set<SocketAddr> = state
            .members
            .entries()
            .map(|m| m.identity.address)
            .collect();
        let seeds = &self.ctx.settings.peers;
        let is_used = |address: &SocketAddr| known.contains(address) || seeds.contains(address);
        self.clients
            .borrow_mut()
            .retain(|address, _| is_used(address));
    }

    /// Merges a delta of a watched kind and requests a publish when it changed something.
    pub fn merge(&self, kind: Watched, delta: Delta) {
        let now = self.now();
        if self.state().merge(kind, delta, now) {
            self.request_publish();
        }
    }

    /// Requests a run of the publish task before its interval is over.
    pub fn request_publish(&self) {
        let _ = self.publish_sender.try_send(());
    }

    /// Sleeps for 75% to 125% of an interval, so that instances do not act in step.
    pub async fn sleep_jittered(&self, interval: Duration) {
        Timer::after(self.jittered(interval)).await;
    }

    /// Returns a random duration between 75% and 125% of an interval.
    pub fn jittered(&self, interval: Duration) -> Duration {
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
            let requested = async {
                let _ = self.publish_receiver.recv().await;
            };
            let timeout = async {
                Timer::after(PUBLISH_INTERVAL).await;
            };
            smol::future::or(requested, timeout).await;
        }
    }

    fn publish(&self, published: &mut Published) {
        let now = self.now();
        let mut state = self.state();
        let last_run = std::mem::replace(&mut published.last_run, now);
        if now.saturating_sub(last_run) > PAUSE_LIMIT {
            state.resume(now);
        }
        if self.ctx.drain.phase() != Phase::Running {
            state.members.mark_leaving();
        }
        let built = state.build(&self.ctx, now);
        let old = self.ctx.view.load();
        let changed = built.filter(|new| !is_same(new, &old));
        let is_changed = changed.is_some();
        if let Some(view) = changed {
            self.publish_view(view);
        }
        if !is_changed && now.saturating_sub(published.status_at) < STATUS_INTERVAL {
            return;
        }
        published.status_at = now;
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

    /// Logs the first failure of a platform watch (`failures` is 1) and its recovery (0).
    pub fn log_platform(&self, kind: &str, failures: u32) {
        match failures {
            0 => event!(Info, PlatformBack, "kind={kind}"),
            1 => event!(Warn, PlatformLost, "kind={kind}"),
            _ => {}
        }
    }
}

/// Returns whether two views are equal. Sheet and jobs are shared with the state, so equal ones are
/// the same allocation and are compared by pointer.
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
