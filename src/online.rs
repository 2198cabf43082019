//! Places online requests on workers: limits, queue, choice of a worker, counts and notices.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use async_io::Timer;
use smol::channel::{Receiver, Sender};

use crate::{
    context::{Command, Context},
    event,
    health::Health,
    ids::{Map, ModelId, RequestId, TargetId, TeamId, WorkerId},
    limits::{Budget, Queue, Teams, Ticket, Turned},
    mutex::lock,
    route::{Candidate, Choice, RouteRequest},
    verdict::{Reason, RequestError},
    view::WorkerInfo,
    workers::OnlineGuard,
};

/// Interval at which the first request of a queue looks for room that another instance freed.
const LOOK_INTERVAL: Duration = Duration::from_millis(5);
/// Time after which a refused caller may try again, where nothing better is known.
pub const RETRY_AFTER: Duration = Duration::from_secs(1);

/// State of the online path, shared by all callers of an entry instance.
#[derive(Debug)]
pub struct Online {
    /// State of the whole instance.
    pub ctx: Arc<Context>,
    teams: Mutex<Teams>,
    queue: Mutex<Queue>,
    waiters: Mutex<Map<Ticket, Sender<()>>>,
    budget: Mutex<Budget>,
    health: Mutex<Health>,
    next: AtomicU64,
}

/// Counts a request of a team until it is dropped.
#[derive(Debug)]
pub struct TeamGuard {
    online: Arc<Online>,
    team: TeamId,
}

/// What a request needs of a worker.
#[derive(Debug, Clone, Copy)]
pub struct Wanted<'a> {
    /// Id of the request.
    pub id: &'a RequestId,
    /// Model that answers it.
    pub model: &'a ModelId,
    /// Hashes of the prompt's blocks, from its start.
    pub blocks: &'a [u64],
    /// Workers that it has tried already.
    pub tried: &'a [WorkerId],
}

/// A request on its worker. Dropping it frees the place.
#[derive(Debug)]
pub struct Placed {
    online: Arc<Online>,
    /// The worker.
    pub worker: WorkerInfo,
    model: ModelId,
    started: Duration,
    guard: Option<OnlineGuard>,
}

/// A place in the queue of a model. Dropping it leaves the queue.
#[derive(Debug)]
struct Turn<'a> {
    online: &'a Online,
    model: &'a ModelId,
    ticket: Ticket,
    wake: Receiver<()>,
}

impl Online {
    /// Builds the state with the limits of the settings.
    pub fn new(ctx: Arc<Context>) -> Arc<Self> {
        let settings = &ctx.settings;
        let queue = Queue::new(settings.limits.queued, settings.timeouts.queue);
        Arc::new(Self {
            teams: Mutex::default(),
            queue: Mutex::new(queue),
            waiters: Mutex::default(),
            budget: Mutex::default(),
            health: Mutex::default(),
            next: AtomicU64::new(0),
            ctx,
        })
    }

    /// Returns the id of a new request, unique in the fleet.
    pub fn request_id(&self) -> RequestId {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let session = self.ctx.session;
        format!("{}-{session:x}-{number}", self.ctx.settings.instance).into()
    }

    /// Counts a request of a team.
    ///
    /// # Errors
    ///
    /// Refuses the request when the team is at its limit.
    pub fn enter_team(self: &Arc<Self>, team: &TeamId) -> Result<TeamGuard, RequestError> {
        let view = self.ctx.view.load();
        let limit = view.sheet.teams.get(team).map(|t| t.online);
        if !lock(&self.teams).enter(team, limit) {
            let message = format!("team '{team}' is at its limit of requests in flight");
            return Err(
                RequestError::not_run(Reason::Overloaded, message).with_retry_after(RETRY_AFTER)
            );
        }
        lock(&self.budget).request();
        Ok(TeamGuard {
            online: self.clone(),
            team: team.clone(),
        })
    }

    /// Takes a retry from the budget; says whether it may be made.
    pub fn may_retry(&self) -> bool {
        lock(&self.budget).retry()
    }

    /// Notes that a target could not be reached, broke or fell silent.
    pub fn failed(&self, target: &TargetId) {
        let mut health = lock(&self.health);
        if !health.record_failure(target, self.now()) {
            return;
        }
        event!(Warn, TargetEjected, "target={target}");
        let view = self.ctx.view.load();
        let worker = |t: &TargetId| view.workers.iter().any(|w| w.id == *t);
        let service = |t: &TargetId| view.services.iter().any(|s| s.id == *t);
        health.retain(|t| worker(t) || service(t));
    }

    /// Notes that a target works.
    pub fn worked(&self, target: &TargetId) {
        lock(&self.health).record_success(target);
    }

    /// Notes that a target gets a request.
    pub fn chosen(&self, target: &TargetId) {
        lock(&self.health).record_request(target, self.now());
    }

    /// Returns the targets that get no requests now.
    pub fn ejected(&self) -> Vec<TargetId> {
        lock(&self.health).ejected(self.now())
    }

    /// Finds a worker for a request and counts it there, waiting in the queue when all are full.
    ///
    /// # Errors
    ///
    /// Refuses the request as not-run when no worker has the model, the queue is full, or the wait
    /// is or would be over its bound.
    pub async fn place(self: &Arc<Self>, wanted: &Wanted<'_>) -> Result<Placed, RequestError> {
        let empty = lock(&self.queue).head(wanted.model).is_none();
        if empty && let Some(placed) = self.choose(wanted)? {
            return Ok(placed);
        }
        let turn = self.join(wanted.model)?;
        let timeout = async {
            Timer::after(self.ctx.settings.timeouts.queue).await;
            Err(busy("no worker became free in time", RETRY_AFTER))
        };
        smol::future::or(self.wait(&turn, wanted), timeout).await
    }

    async fn wait(
        self: &Arc<Self>,
        turn: &Turn<'_>,
        wanted: &Wanted<'_>,
    ) -> Result<Placed, RequestError> {
        loop {
            if turn.is_first()
                && let Some(placed) = self.choose(wanted)?
            {
                return Ok(placed);
            }
            turn.wait().await;
        }
    }

    fn join<'a>(&'a self, model: &'a ModelId) -> Result<Turn<'a>, RequestError> {
        let joined = lock(&self.queue).join(model);
        let ticket = joined.map_err(|turned| match turned {
            Turned::Full => busy("too many requests wait for a worker", RETRY_AFTER),
            Turned::TooLong { wait } => busy("the wait for a worker is too long", wait),
        })?;
        let (sender, wake) = smol::channel::bounded(1);
        lock(&self.waiters).insert(ticket, sender);
        Ok(Turn {
            online: self,
            model,
            ticket,
            wake,
        })
    }

    /// Chooses a worker; nothing when all of them are full.
    fn choose(self: &Arc<Self>, wanted: &Wanted<'_>) -> Result<Option<Placed>, RequestError> {
        let mut avoid = self.ejected();
        if avoid.is_empty() {
            return self.choose_from(wanted, wanted.tried);
        }
        avoid.extend_from_slice(wanted.tried);
        // With all others gone an ejected worker is better than none.
        let chosen = self.choose_from(wanted, &avoid);
        chosen.or_else(|_| self.choose_from(wanted, wanted.tried))
    }

    fn choose_from(
        self: &Arc<Self>,
        wanted: &Wanted<'_>,
        tried: &[WorkerId],
    ) -> Result<Option<Placed>, RequestError> {
        let router = self.ctx.router.load();
        let ask = RouteRequest {
            model: wanted.model,
            blocks: wanted.blocks,
            tried,
        };
        let placement = router.place(&ask, &mut fastrand::Rng::new(), self.now());
        match placement.choice {
            Choice::Worker(candidate) => Ok(Some(self.take(wanted, candidate, placement.uncached))),
            Choice::Full => Ok(None),
            Choice::NoWorker => {
                let message = format!("no worker has model '{}'", wanted.model);
                Err(RequestError::not_run(Reason::Unavailable, message)
                    .with_retry_after(RETRY_AFTER))
            }
        }
    }

    /// Counts a request on its worker, which has to compute `fresh` blocks of the prompt.
    fn take(self: &Arc<Self>, wanted: &Wanted<'_>, candidate: &Candidate, fresh: usize) -> Placed {
        let now = self.now();
        let worker = candidate.info.clone();
        let guard = candidate.cell.begin_prompt(fresh, now);
        lock(&self.queue).started(wanted.model);
        self.chosen(&worker.id);
        event!(
            Info,
            RouteChosen,
            "request={} worker={} zone={}",
            wanted.id,
            worker.id,
            worker.zone
        );
        self.announce(&worker);
        Placed {
            online: self.clone(),
            worker,
            model: wanted.model.clone(),
            started: now,
            guard: Some(guard),
        }
    }

    /// Has control tell the owner of a worker how many requests this instance has on it.
    fn announce(&self, worker: &WorkerInfo) {
        let Some(owner) = &worker.owner else { return };
        if *owner == self.ctx.settings.instance {
            return;
        }
        // Levels and not changes are sent, so the next notice makes up for one that is dropped.
        let _ = self.ctx.commands.try_send(Command::OnlineLevel {
            worker: worker.id.clone(),
            owner: owner.clone(),
        });
    }

    fn wake_first(&self, model: &ModelId) {
        let Some(ticket) = lock(&self.queue).head(model) else {
            return;
        };
        if let Some(waiter) = lock(&self.waiters).get(&ticket) {
            let _ = waiter.try_send(());
        }
    }

    fn now(&self) -> Duration {
        self.ctx.workers.now()
    }
}

impl Turn<'_> {
    fn is_first(&self) -> bool {
        lock(&self.online.queue).head(self.model) == Some(self.ticket)
    }

    async fn wait(&self) {
        let woken = async {
            let _ = self.wake.recv().await;
        };
        if !self.is_first() {
            return woken.await;
        }
        let look = async {
            Timer::after(LOOK_INTERVAL).await;
        };
        smol::future::or(woken, look).await;
    }
}

impl Drop for Turn<'_> {
    fn drop(&mut self) {
        lock(&self.online.queue).leave(self.model, self.ticket);
        lock(&self.online.waiters).remove(&self.ticket);
        self.online.wake_first(self.model);
    }
}

impl Placed {
    /// Notes that the first token has arrived; a long prompt claims no more slots then.
    pub fn first_token(&self) {
        let changed = self.guard.as_ref().is_some_and(OnlineGuard::first_token);
        if changed {
            self.online.announce(&self.worker);
        }
    }
}

impl Drop for Placed {
    fn drop(&mut self) {
        self.guard = None;
        let took = self.online.now().saturating_sub(self.started);
        lock(&self.online.queue).ended(&self.model, took);
        self.online.announce(&self.worker);
        self.online.wake_first(&self.model);
    }
}

impl Drop for TeamGuard {
    fn drop(&mut self) {
        lock(&self.online.teams).leave(&self.team);
    }
}

fn busy(message: &str, wait: Duration) -> RequestError {
    RequestError::not_run(Reason::Overloaded, message).with_retry_after(wait)
}
