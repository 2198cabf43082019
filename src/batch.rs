//! Driver of batch jobs: claims groups, runs their items on owned workers and commits the results.
//!
//! One task on the control thread owns all state. Calls to the object service are futures of that
//! task; runs of items are tasks on the traffic threads that report their end over a channel.

use std::{sync::Arc, time::Duration};

use futures::{StreamExt, stream::FuturesUnordered};
use smol::{
    channel::{Receiver, Sender},
    lock::Semaphore,
};

use crate::{
    backoff::Backoff,
    batch_calls::{self, CallFuture, Ended, Event},
    context::Context,
    drain::Phase as Stop,
    held::Held,
    ids::{Map, Set, WorkerId},
    job_record::{Claim, GroupKey, LeaseRecord},
    jobs::Jobs,
    kv::MAX_TRANSFERS,
    lease::{Observer, OwnLease},
    loading::LoadingJobs,
    rate::Rate,
    schedule::Schedule,
    view::{View, WorkerInfo},
};

/// Limit on the groups that an instance claims or holds. It bounds the results in memory during an
/// outage of the object service to 64 times 640 KiB of text.
pub(crate) const MAX_HELD: usize = 64;
/// Capacity of the channel for ended runs.
const ENDS_CAPACITY: usize = 1024;
/// Interval between checks for free worker slots while groups are held. Idle capacity lasts seconds,
/// so that little of it is lost.
const TICK_BUSY: Duration = Duration::from_millis(10);
/// Longest interval while no group is held.
const TICK_IDLE: Duration = Duration::from_millis(200);
/// Base of the backoff after claims without success.
const CLAIM_BACKOFF_BASE: Duration = Duration::from_millis(10);
/// Cap of the backoff after claims without success. It limits the reads of idle instances near the end
/// of a job.
const CLAIM_BACKOFF_CAP: Duration = Duration::from_secs(4);
/// Base of the backoff of lease renewals.
const LEASE_BACKOFF_BASE: Duration = Duration::from_millis(100);
/// Cap of the backoff of lease renewals.
const LEASE_BACKOFF_CAP: Duration = Duration::from_secs(2);
/// Longest time that non-repeatable items may still run in a planned stop. Stopping them earlier would
/// end them as may-have-run.
const NEVER_GRACE: Duration = Duration::from_secs(10);

/// Time of the next attempt of a repeated operation, with a backoff after failures.
#[derive(Debug)]
pub(crate) struct Pacer {
    /// Earliest time of the next attempt.
    pub at: Duration,
    /// Whether an attempt is under way.
    pub busy: bool,
    /// Backoff after failures.
    pub backoff: Backoff,
}

impl Pacer {
    /// Creates a pacer that is due at once. `base` and `cap` are those of the backoff.
    pub fn new(base: Duration, cap: Duration) -> Self {
        Self {
            at: Duration::ZERO,
            busy: false,
            backoff: Backoff::new(base, cap),
        }
    }

    /// Returns whether an attempt may start.
    pub fn due(&self, now: Duration) -> bool {
        !self.busy && now >= self.at
    }

    /// Records a failure and schedules the next attempt after a backoff.
    pub fn fail(&mut self, now: Duration, rng: &mut fastrand::Rng) {
        self.at = now + self.backoff.fail(rng);
    }

    /// Records a success and schedules the next attempt.
    pub fn succeed(&mut self, next: Duration) {
        self.backoff.succeed();
        self.at = next;
    }
}

/// State of the batch driver.
pub(crate) struct Driver {
    pub ctx: Arc<Context>,
    /// Claim that this instance writes.
    pub identity: Claim,
    pub rng: fastrand::Rng,
    pub view: Arc<View>,
    pub owned: Vec<WorkerInfo>,
    pub jobs: Jobs,
    pub schedule: Schedule,
    pub held: Map<GroupKey, Held>,
    /// Group that is being claimed.
    pub claiming: Option<GroupKey>,
    pub epoch: u64,
    pub claims: Pacer,
    pub lease: OwnLease,
    pub lease_pacer: Pacer,
    pub lapsed: bool,
    pub observer: Observer,
    pub listing: Pacer,
    pub progress: Pacer,
    pub closing: Pacer,
    pub loading: LoadingJobs,
    pub workers: Map<WorkerId, Pacer>,
    /// Workers that are leaving, with the time since when.
    pub leaving: Map<WorkerId, Duration>,
    pub transfers: Arc<Semaphore>,
    pub rate: Rate,
    pub infeasible: Set<Arc<str>>,
    pub stopping: Option<Duration>,
    calls: FuturesUnordered<CallFuture>,
    pub ends_tx: Sender<Ended>,
    ends_rx: Receiver<Ended>,
}

/// Runs the batch jobs of this instance until all claims are released in a planned stop.
///
/// The future is not `Send`: it must run on the control thread, where it spawns nothing. Runs of items
/// are spawned on the global executor.
pub async fn run(ctx: Arc<Context>) {
    let mut driver = Driver::new(ctx);
    loop {
        driver.advance();
        if driver.stopping.is_some() && driver.held.is_empty() {
            return;
        }
        let event = driver.next_event().await;
        driver.handle(event);
    }
}

impl Driver {
    fn new(ctx: Arc<Context>) -> Self {
        let identity = Claim {
            holder: ctx.settings.instance.clone(),
            session: ctx.session,
        };
        let (ends_tx, ends_rx) = smol::channel::bounded(ENDS_CAPACITY);
        let interval = ctx.settings.timeouts.renew;
        Self {
            view: ctx.view.load_full(),
            owned: Vec::new(),
            jobs: Jobs::new(identity.holder.clone()),
            schedule: Schedule::default(),
            held: Map::default(),
            claiming: None,
            epoch: 0,
            claims: Pacer::new(CLAIM_BACKOFF_BASE, CLAIM_BACKOFF_CAP),
            lease: OwnLease::default(),
            lease_pacer: Pacer::new(LEASE_BACKOFF_BASE, LEASE_BACKOFF_CAP),
            lapsed: false,
            observer: Observer::default(),
            listing: Pacer::new(interval, interval),
            progress: Pacer::new(interval, interval),
            closing: Pacer::new(interval, interval),
            loading: LoadingJobs::default(),
            workers: Map::default(),
            leaving: Map::default(),
            transfers: Arc::new(Semaphore::new(MAX_TRANSFERS)),
            rate: Rate::default(),
            infeasible: Set::default(),
            stopping: None,
            calls: FuturesUnordered::new(),
            ends_tx,
            ends_rx,
            rng: fastrand::Rng::new(),
            identity,
            ctx,
        }
        .with_view()
    }

    fn with_view(mut self) -> Self {
        let view = self.view.clone();
        self.apply(view);
        self
    }

    /// Returns the current time of the clock that the worker loads use.
    pub fn now(&self) -> Duration {
        self.ctx.workers.now()
    }

    /// Starts a call to the object service.
    pub fn call(&mut self, call: CallFuture) {
        self.calls.push(call);
    }

    /// Returns a new write token.
    pub fn token(&mut self) -> u64 {
        self.rng.u64(1..)
    }

    /// Returns how long to wait for an event before the next periodic check.
    fn tick_interval(&self) -> Duration {
        if !self.held.is_empty() {
            return TICK_BUSY;
        }
        let claim = self.claims.at.saturating_sub(self.now());
        if claim.is_zero() {
            TICK_IDLE
        } else {
            claim.min(TICK_IDLE)
        }
    }

    async fn next_event(&mut self) -> Event {
        let interval = self.tick_interval();
        let calls = &mut self.calls;
        let call = async {
            match calls.next().await {
                Some(event) => event,
                None => std::future::pending().await,
            }
        };
        let ended = async {
            match self.ends_rx.recv().await {
                Ok(ended) => Event::Ended(ended),
                Err(_) => std::future::pending().await,
            }
        };
        let job_written = async {
            self.ctx.batch.job_written().await;
            Event::Tick
        };
        let tick = async {
            async_io::Timer::after(interval).await;
            Event::Tick
        };
        let work = smol::future::or(call, ended);
        smol::future::or(work, smol::future::or(job_written, tick)).await
    }

    /// Starts all work that is due.
    fn advance(&mut self) {
        let now = self.now();
        self.refresh();
        self.check_stop(now);
        self.renew(now);
        self.step_groups(now);
        self.claim_more(now);
        self.dispatch(now);
        self.report(now);
        self.close_loading(now);
    }

    /// Applies a new view, and the jobs that were written through this instance.
    fn refresh(&mut self) {
        let view = self.ctx.view.load_full();
        if !Arc::ptr_eq(&view, &self.view) {
            self.apply(view);
        }
        let written = self.ctx.batch.written(&self.view.jobs);
        let mut changed = false;
        for object in written {
            changed |= self.jobs.observe(&object);
        }
        if changed {
            self.claims.succeed(Duration::ZERO);
        }
    }

    fn apply(&mut self, view: Arc<View>) {
        let mut changed = false;
        for object in view.jobs.values() {
            changed |= self.jobs.observe(object);
        }
        let mut candidates: Vec<_> = view.peers.keys().cloned().collect();
        candidates.push(self.identity.holder.clone());
        self.jobs.set_candidates(candidates);
        self.jobs.set_sheet(view.sheet.clone());
        let owned = view
            .workers
            .iter()
            .filter(|w| w.owner.as_ref() == Some(&self.identity.holder));
        self.owned = owned.cloned().collect();
        self.workers
            .retain(|id, _| view.workers.iter().any(|w| w.id == *id));
        self.view = view;
        if changed {
            self.claims.succeed(Duration::ZERO);
        }
    }

    /// Detects the start of a planned stop. Repeatable items stop then; the others get a grace period.
    fn check_stop(&mut self, now: Duration) {
        if self.stopping.is_none() && self.ctx.drain.phase() >= Stop::Leaving {
            self.stopping = Some(now);
        }
    }

    /// Returns whether non-repeatable items must stop too.
    pub fn grace_over(&self, now: Duration) -> bool {
        let grace = NEVER_GRACE.min(self.ctx.settings.timeouts.drain / 2);
        self.stopping.is_some_and(|since| now >= since + grace)
    }

    fn renew(&mut self, now: Duration) {
        let timeouts = &self.ctx.settings.timeouts;
        let valid = self.lease.valid(now, timeouts.lease);
        let claimed = self.held.values().filter(|h| h.holder.holds()).count();
        if !valid && claimed > 0 && !self.lapsed {
            self.lapsed = true;
            crate::event!(Warn, LeaseLapsed, "groups={claimed}");
        }
        if valid && std::mem::take(&mut self.lapsed) {
            for held in self.held.values_mut() {
                held.recheck = true;
            }
        }
        if self.held.is_empty() || !self.lease_pacer.due(now) {
            return;
        }
        let Some(call) = self.lease.due(now, timeouts.renew) else {
            return;
        };
        self.lease_pacer.busy = true;
        let record = LeaseRecord {
            session: self.identity.session,
            token: self.token(),
        };
        self.call(batch_calls::own_lease(self.ctx.clone(), call, record));
    }

    fn handle(&mut self, event: Event) {
        let now = self.now();
        match event {
            Event::Tick => {}
            Event::Group(key, answer) => self.group_answered(&key, answer, now),
            Event::Input(key, input) => self.input_read(&key, input, now),
            Event::OwnLease(answer, sent) => {
                self.lease_pacer.busy = false;
                let failed = !self.lease.answer(answer, sent);
                if failed {
                    self.lease_pacer.fail(now, &mut self.rng);
                } else {
                    self.lease_pacer.succeed(now);
                }
            }
            Event::HolderLease(key, lease) => self.holder_lease_read(&key, lease, now),
            Event::Listed(list) => {
                self.listing.busy = false;
                if let Some(list) = list {
                    self.observer.observe_list(list);
                }
            }
            Event::Progress(read) => self.progress_read(read, now),
            Event::ProgressWritten(job, written) => self.progress_written(&job, written, now),
            Event::Closed(job, object) => self.closed(&job, object),
            Event::Ended(ended) => self.run_ended(ended, now),
        }
    }
}
