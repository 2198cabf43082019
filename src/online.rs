//! Placement of online requests on workers: limits, queue, worker selection, counts and load
//! notifications to owners.

use std::{
    sync::{
        Arc,
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
    limits::{Queue, QueueError, RetryBudget, Teams, Ticket},
    mutex::{Mutex, lock},
    route::{Candidate, Choice, RouteRequest},
    verdict::{Reason, RequestError},
    view::WorkerInfo,
    workers::OnlineGuard,
};

/// Interval at which the first request of a queue checks for slots that another instance has freed.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Default `Retry-After` time of a refused request.
pub const RETRY_AFTER: Duration = Duration::from_secs(1);

/// State of the online path, shared by all callers of an entry instance.
#[derive(Debug)]
pub struct Online {
    /// State of the whole instance.
    pub ctx: Arc<Context>,
    teams: Mutex<Teams>,
    queue: Mutex<Queue>,
    waiters: Mutex<Map<Ticket, Sender<()>>>,
    budget: Mutex<RetryBudget>,
    health: Mutex<Health>,
    next: AtomicU64,
}

/// Counts a request against its team's limit until dropped.
#[derive(Debug)]
pub struct TeamGuard {
    online: Arc<Online>,
    team: TeamId,
}

/// Requirements of a request that is to be placed on a worker.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// Id of the request.
    pub id: &'a RequestId,
    /// Requested model.
    pub model: &'a ModelId,
    /// Hashes of the prompt's blocks, in order.
    pub blocks: &'a [u64],
    /// Workers that it was already sent to.
    pub tried: &'a [WorkerId],
}

/// A request that occupies a slot of its worker. Dropping it frees the slot.
#[derive(Debug)]
pub struct PlacedRequest {
    online: Arc<Online>,
    /// Worker that runs the request.
    pub worker: WorkerInfo,
    model: ModelId,
    started: Duration,
    guard: Option<OnlineGuard>,
}

/// A position in the queue of a model. Dropping it leaves the queue.
#[derive(Debug)]
struct QueuePosition<'a> {
    online: &'a Online,
    model: &'a ModelId,
    ticket: Ticket,
    notified: Receiver<()>,
}

impl Online {
    /// Builds the state with the limits from the settings.
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

    /// Counts a request against the limit of its team.
    ///
    /// # Errors
    ///
    /// Fails when the team is at its limit of requests in flight.
    pub fn enter_team(self: &Arc<Self>, team: &TeamId) -> Result<TeamGuard, RequestError> {
        let view = self.ctx.view.load();
        let limit = view.sheet.teams.get(team).map(|t| t.online);
        if !lock(&self.teams).enter(team, limit) {
            let message = format!("team '{team}' is at its limit of requests in flight");
            return Err(
                RequestError::not_run(Reason::Overloaded, message).with_retry_after(RETRY_AFTER)
            );
        }
        lock(&self.budget).add_request();
        Ok(TeamGuard {
            online: self.clone(),
            team: team.clone(),
        })
    }

    /// Takes a retry from the budget and returns whether it may be made.
    pub fn may_retry(&self) -> bool {
        lock(&self.budget).take_retry()
    }

    /// Records a failure of a target: it could not be reached, broke the connection or stalled.
    pub fn record_failure(&self, target: &TargetId) {
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

    /// Records a success of a target.
    pub fn record_success(&self, target: &TargetId) {
        lock(&self.health).record_success(target);
    }

    /// Records that a request is sent to a target.
    pub fn record_request(&self, target: &TargetId) {
        lock(&self.health).record_request(target, self.now());
    }

    /// Returns the targets that are ejected and get no requests for now.
    pub fn ejected(&self) -> Vec<TargetId> {
        lock(&self.health).ejected(self.now())
    }

    /// Selects a worker for a request and occupies a slot of it; waits in the queue while all are
    /// full.
    ///
    /// # Errors
    ///
    /// Fails with verdict not-run when no worker has the model, the queue is full, or the actual or
    /// expected wait exceeds its maximum.
    pub async fn place(
        self: &Arc<Self>,
        request: &PlacementRequest<'_>,
    ) -> Result<PlacedRequest, RequestError> {
        let empty = lock(&self.queue).head(request.model).is_none();
        if empty && let Some(placed) = self.choose(request)? {
            return Ok(placed);
        }
        let position = self.join(request.model)?;
        let timeout = async {
            Timer::after(self.ctx.settings.timeouts.queue).await;
            Err(busy("no worker became free in time", RETRY_AFTER))
        };
        smol::future::or(self.wait(&position, request), timeout).await
    }

    async fn wait(
        self: &Arc<Self>,
        position: &QueuePosition<'_>,
        request: &PlacementRequest<'_>,
    ) -> Result<PlacedRequest, RequestError> {
        loop {
            if position.is_first()
                && let Some(placed) = self.choose(request)?
            {
                return Ok(placed);
            }
            position.wait().await;
        }
    }

    fn join<'a>(&'a self, model: &'a ModelId) -> Result<QueuePosition<'a>, RequestError> {
        let joined = lock(&self.queue).join(model);
        let ticket = joined.map_err(|error| match error {
            QueueError::Full => busy("too many requests wait for a worker", RETRY_AFTER),
            QueueError::TooLong { wait } => busy("the wait for a worker is too long", wait),
        })?;
        let (sender, notified) = smol::channel::bounded(1);
        lock(&self.waiters).insert(ticket, sender);
        Ok(QueuePosition {
            online: self,
            model,
            ticket,
            notified,
        })
    }

    /// Chooses a worker. Returns `None` when all of them are full.
    fn choose(
        self: &Arc<Self>,
        request: &PlacementRequest<'_>,
    ) -> Result<Option<PlacedRequest>, RequestError> {
        let mut avoid = self.ejected();
        if avoid.is_empty() {
            return self.choose_from(request, request.tried);
        }
        avoid.extend_from_slice(request.tried);
        // When no other worker is left, an ejected one is used after all.
        let chosen = self.choose_from(request, &avoid);
        chosen.or_else(|_| self.choose_from(request, request.tried))
    }

    fn choose_from(
        self: &Arc<Self>,
        request: &PlacementRequest<'_>,
        tried: &[WorkerId],
    ) -> Result<Option<PlacedRequest>, RequestError> {
        let router = self.ctx.router.load();
        let route = RouteRequest {
            model: request.model,
            blocks: request.blocks,
            tried,
        };
        let placement = router.place(&route, &mut fastrand::Rng::new(), self.now());
        match placement.choice {
            Choice::Worker(candidate) => {
                Ok(Some(self.occupy(request, candidate, placement.uncached)))
            }
            Choice::Full => Ok(None),
            Choice::NoWorker => {
                let message = format!("no worker has model '{}'", request.model);
                Err(RequestError::not_run(Reason::Unavailable, message)
                    .with_retry_after(RETRY_AFTER))
            }
        }
    }

    /// Counts a request on its worker, which has to compute `uncached` blocks of the prompt.
    fn occupy(
        self: &Arc<Self>,
        request: &PlacementRequest<'_>,
        candidate: &Candidate,
        uncached: usize,
    ) -> PlacedRequest {
        let now = self.now();
        let worker = candidate.info.clone();
        let guard = candidate.cell.begin_prompt(uncached, now);
        lock(&self.queue).started(request.model);
        self.record_request(&worker.id);
        event!(
            Info,
            RouteChosen,
            "request={} worker={} zone={}",
            request.id,
            worker.id,
            worker.zone
        );
        self.announce_level(&worker);
        PlacedRequest {
            online: self.clone(),
            worker,
            model: request.model.clone(),
            started: now,
            guard: Some(guard),
        }
    }

    /// Asks the control thread to send the worker's owner the number of requests of this instance.
    fn announce_level(&self, worker: &WorkerInfo) {
        let Some(owner) = &worker.owner else { return };
        if *owner == self.ctx.settings.instance {
            return;
        }
        // Absolute levels are sent, not changes, so the next notification makes up for a dropped
        // one.
        let _ = self.ctx.commands.try_send(Command::OnlineLevel {
            worker: worker.id.clone(),
            owner: owner.clone(),
        });
    }

    fn notify_first(&self, model: &ModelId) {
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

impl QueuePosition<'_> {
    fn is_first(&self) -> bool {
        lock(&self.online.queue).head(self.model) == Some(self.ticket)
    }

    async fn wait(&self) {
        let notified = async {
            let _ = self.notified.recv().await;
        };
        if !self.is_first() {
            return notified.await;
        }
        let poll = async {
            Timer::after(POLL_INTERVAL).await;
        };
        smol::future::or(notified, poll).await;
    }
}

impl Drop for QueuePosition<'_> {
    fn drop(&mut self) {
        lock(&self.online.queue).leave(self.model, self.ticket);
        lock(&self.online.waiters).remove(&self.ticket);
        self.online.notify_first(self.model);
    }
}

impl PlacedRequest {
    /// Records the first token, at which the slots that a long prompt reserved are released.
    pub fn first_token(&self) {
        let changed = self.guard.as_ref().is_some_and(OnlineGuard::first_token);
        if changed {
            self.online.announce_level(&self.worker);
        }
    }
}

impl Drop for PlacedRequest {
    fn drop(&mut self) {
        self.guard = None;
        let elapsed = self.online.now().saturating_sub(self.started);
        lock(&self.online.queue).ended(&self.model, elapsed);
        self.online.announce_level(&self.worker);
        self.online.notify_first(&self.model);
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
