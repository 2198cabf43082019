//! Driver of batch jobs: claims groups, runs their items on owned workers, commits results.
//!
//! One task on the control thread owns all state. Calls of the object service are futures of that
//! task; runs of items are tasks of the traffic threads that report their end over a channel.

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

/// Groups that an instance holds at most. It bounds the results that wait in memory during an
/// outage of the object service, to 64 times 640 KiB of text.
pub(crate) const HELD_MOST: usize = 64;
/// Ends of runs that wait for the driver at most.
const ENDS_CAPACITY: usize = 1024;
/// Interval at which room on workers is looked for while there is work. Idle capacity lasts
/// seconds, so that this loses little of it.
const TICK_BUSY: Duration = Duration::from_millis(10);
/// Interval while there is no work.
const TICK_IDLE: Duration = Duration::from_millis(200);
/// First span of the backoff of claims that came to nothing.
const CLAIM_FIRST: Duration = Duration::from_millis(10);
/// Longest span of the backoff of claims that came to nothing. It bounds the reads of idle
/// instances near the end of a job.
const CLAIM_MOST: Duration = Duration::from_secs(4);
/// First span of the backoff of lease renewals.
const LEASE_FIRST: Duration = Duration::from_millis(100);
/// Longest span of the backoff of lease renewals.
const LEASE_MOST: Duration = Duration::from_secs(2);
/// Longest time that non-repeatable items may still run in a planned stop. They would end in
/// doubt otherwise.
const NEVER_GRACE: Duration = Duration::from_secs(10);

/// A moment with a backoff.
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
    /// Starts with a backoff between two spans.
    pub fn new(first: Duration, most: Duration) -> Self {
        Self {
            at: Duration::ZERO,
            busy: false,
            backoff: Backoff::new(first, most),
        }
    }

    /// Says whether an attempt may start.
    pub fn due(&self, now: Duration) -> bool {
        !self.busy && now >= self.at
    }

    /// Counts a failure.
    pub fn fail(&mut self, now: Duration, rng: &mut fastrand::Rng) {
        self.at = now + self.backoff.fail(rng);
    }

    /// Counts a success.
    pub fn succeed(&mut self, next: Duration) {
        self.backoff.succeed();
        self.at = next;
    }
}

/// State of the batch driver.
pub(crate) struct Driver {
    pub ctx: Arc<Context>,
    pub me: Claim,
    pub rng: fastrand::Rng,
    pub view: Arc<View>,
    pub owned: Vec<WorkerInfo>,
    pub jobs: Jobs,
    pub schedule: Schedule,
    pub held: Map<GroupKey, Held>,
    pub looking: Option<GroupKey>,
    pub epoch: u64,
    pub claims: Pacer,
    pub lease: OwnLease,
    pub lease_pace: Pacer,
    pub lapsed: bool,
    pub observer: Observer,
    pub listing: Pacer,
    pub progress: Pacer,
    pub closing: Pacer,
    pub loading: LoadingJobs,
    pub workers: Map<WorkerId, Pacer>,
    /// Workers that are leaving, since when.
    pub leaving: Map<WorkerId, Duration>,
    pub transfers: Arc<Semaphore>,
    pub rate: Rate,
    pub infeasible: Set<Arc<str>>,
    pub stopping: Option<Duration>,
    calls: FuturesUnordered<CallFuture>,
    pub ends: Sender<Ended>,
    ended: Receiver<Ended>,
}

/// Runs the batch jobs of this instance until a planned stop, and then until all claims are given
/// back.
///
/// The future is not `Send`: it belongs on the control thread and spawns nothing there. Runs of
/// items are spawned on the global executor.
pub async fn run(ctx: Arc<Context>) {
    let mut driver = Driver::new(ctx);
    loop {
        driver.advance();
        if driver.stopping.is_some() && driver.held.is_empty() {
            return;
        }
        let event = driver.next().await;
        driver.handle(event);
    }
}

impl Driver {
    fn new(ctx: Arc<Context>) -> Self {
        let me = Claim {
            holder: ctx.settings.instance.clone(),
            session: ctx.session,
        };
        let (ends, ended) = smol::channel::bounded(ENDS_CAPACITY);
        let interval = ctx.settings.timeouts.renew;
        Self {
            view: ctx.view.load_full(),
            owned: Vec::new(),
            jobs: Jobs::new(me.holder.clone()),
            schedule: Schedule::default(),
            held: Map::default(),
            looking: None,
            epoch: 0,
            claims: Pacer::new(CLAIM_FIRST, CLAIM_MOST),
            lease: OwnLease::default(),
            lease_pace: Pacer::new(LEASE_FIRST, LEASE_MOST),
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
            ends,
            ended,
            rng: fastrand::Rng::new(),
            me,
            ctx,
        }
        .with_view()
    }

    fn with_view(mut self) -> Self {
        let view = self.view.clone();
        self.apply(view);
        self
    }

    /// Returns the time on the clock that the worker counts use.
    pub fn now(&self) -> Duration {
        self.ctx.workers.now()
    }

    /// Starts a call of the object service.
    pub fn call(&mut self, call: CallFuture) {
        self.calls.push(call);
    }

    /// Returns a token for a write.
    pub fn token(&mut self) -> u64 {
        self.rng.u64(1..)
    }

    /// Returns how long to wait for an event before room and times are looked at again.
    fn wait(&self) -> Duration {
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

    async fn next(&mut self) -> Event {
        let wait = self.wait();
        let calls = &mut self.calls;
        let call = async {
            match calls.next().await {
                Some(event) => event,
                None => std::future::pending().await,
            }
        };
        let ended = async {
            match self.ended.recv().await {
                Ok(ended) => Event::Ended(ended),
                Err(_) => std::future::pending().await,
            }
        };
        let woken = async {
            self.ctx.batch.woken().await;
            Event::Tick
        };
        let tick = async {
            async_io::Timer::after(wait).await;
            Event::Tick
        };
        let work = smol::future::or(call, ended);
        smol::future::or(work, smol::future::or(woken, tick)).await
    }

    /// Starts everything that is due.
    fn advance(&mut self) {
        let now = self.now();
        self.refresh();
        self.watch_stop(now);
        self.renew(now);
        self.step_groups(now);
        self.claim_more(now);
        self.dispatch(now);
        self.report(now);
        self.close_loading(now);
    }

    /// Takes over a new view and the jobs that were written through this instance.
    fn refresh(&mut self) {
        let view = self.ctx.view.load_full();
        if !Arc::ptr_eq(&view, &self.view) {
            self.apply(view);
        }
        let written = self.ctx.batch.written(&self.view.jobs);
        let mut news = false;
        for object in written {
            news |= self.jobs.observe(&object);
        }
        if news {
            self.claims.succeed(Duration::ZERO);
        }
    }

    fn apply(&mut self, view: Arc<View>) {
        let mut news = false;
        for object in view.jobs.values() {
            news |= self.jobs.observe(object);
        }
        let mut candidates: Vec<_> = view.peers.keys().cloned().collect();
        candidates.push(self.me.holder.clone());
        self.jobs.set_candidates(candidates);
        self.jobs.set_sheet(view.sheet.clone());
        let owned = view
            .workers
            .iter()
            .filter(|w| w.owner.as_ref() == Some(&self.me.holder));
        self.owned = owned.cloned().collect();
        self.workers
            .retain(|id, _| view.workers.iter().any(|w| w.id == *id));
        self.view = view;
        if news {
            self.claims.succeed(Duration::ZERO);
        }
    }

    /// Notices a planned stop. Repeatable items yield; the others may run on for a while.
    fn watch_stop(&mut self, now: Duration) {
        if self.stopping.is_none() && self.ctx.drain.phase() >= Stop::Leaving {
            self.stopping = Some(now);
        }
    }

    /// Says whether non-repeatable items must stop too.
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
        if self.held.is_empty() || !self.lease_pace.due(now) {
            return;
        }
        let Some(call) = self.lease.due(now, timeouts.renew) else {
            return;
        };
        self.lease_pace.busy = true;
        let record = LeaseRecord {
            session: self.me.session,
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
                self.lease_pace.busy = false;
                let failed = !self.lease.answer(answer, sent);
                if failed {
                    self.lease_pace.fail(now, &mut self.rng);
                } else {
                    self.lease_pace.succeed(now);
                }
            }
            Event::HolderLease(key, seen) => self.holder_seen(&key, seen, now),
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
