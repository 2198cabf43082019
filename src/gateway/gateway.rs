//! Shared state of an entry instance.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use arc_swap::ArcSwapOption;

use crate::{
    adapter::{headers::AnswerTerms, store::Store},
    clock,
    drain::{Drain, Phase, StopEnd},
    event, fnv,
    ids::{JobId, RequestId, SessionId, WorkerId},
    metrics::InstanceState,
    mutex::{Mutex, MutexGuard, lock},
};

use super::{
    blame::Block,
    block_store::Recall,
    change_log::MemberLog,
    config::Configuration,
    connection::Connection,
    dispatch::Dispatch,
    ends::Ends,
    fleet::{self, Worker},
    jobs::Jobs,
    links::Links,
    marks::{self, Mark},
    memory::Memory,
    peers::{Candidate, FORGET_AFTER, Heartbeat, Member, Peers},
    refresh::Pulse,
    relayed::Carried,
    run_reads::RunReads,
    settings::Settings,
    suspects::{Admission, Suspects},
    sync::Views,
    team_gate::TeamGate,
    upstream::Upstream,
    version_store::Reads,
    versions::{Origin, StreamCall, Streams},
    worker_limits::{Announced, Change, Observation},
};

/// Time after its start in which an instance receives heartbeats from all others, which send
/// several of them in it. Until then it takes over no job, since another instance may run it.
const DISCOVERY_TIME: Duration = Duration::from_millis(1300);

/// Shared state of an instance.
#[derive(Debug)]
pub struct Gateway {
    /// Settings of the instance.
    pub settings: Settings,
    /// Session of the instance, which a restart changes.
    pub session: SessionId,
    /// Configuration in use, or `None` before the first one is known.
    pub config: ArcSwapOption<Configuration>,
    /// Placement of requests.
    pub dispatch: Arc<Dispatch>,
    /// Connections to workers.
    pub upstream: Upstream,
    /// Client of the object store.
    pub store: Store,
    /// Bound on the bytes of callers' bodies and workers' answers.
    pub memory: Arc<Memory>,
    /// Phase of a planned stop and requests in flight.
    pub drain: Drain,
    /// End of a planned stop.
    pub stop: StopEnd,
    /// Batch jobs at this instance.
    pub jobs: Jobs,
    /// Configuration and worker entries as read from the store.
    pub views: Mutex<Views>,
    peers: Mutex<Peers>,
    suspects: Mutex<Suspects>,
    member_log: Mutex<MemberLog>,
    streams: Mutex<Streams>,
    ends: Mutex<Ends>,
    run_reads: Mutex<RunReads>,
    /// Reads of the shares of the versions.
    pub share_reads: Reads,
    /// The last read of the requests that are blocked by others.
    pub recall: Mutex<Option<Recall>>,
    /// Last sign that the process runs.
    pub pulse: Mutex<Pulse>,
    /// State of the links to the workers.
    pub(super) links: Mutex<Links>,
    /// Connections to workers that are carried for other instances.
    pub carried: Carried,
    /// Keys and quotas of teams.
    pub teams: TeamGate,
    /// Time of the start, by `clock::steady_millis`.
    pub(super) started_at: u64,
    store_reached: AtomicBool,
}

impl Gateway {
    /// Builds the state of an instance.
    pub fn new(settings: Settings, session: SessionId) -> Arc<Self> {
        let memory = Memory::new(settings.memory);
        let teams = TeamGate::new(settings.quota, settings.revoke);
        let dispatch = Dispatch::new(settings.instance.clone(), settings.zone.clone());
        if settings.shares_failures {
            dispatch.share_failures();
        }
        if settings.learns_capacity {
            dispatch.learn_capacities();
        }
        Arc::new(Self {
            dispatch,
            store: Store::new(settings.store),
            upstream: Upstream::new(memory.clone()),
            memory,
            settings,
            session,
            config: ArcSwapOption::empty(),
            drain: Drain::default(),
            stop: StopEnd::default(),
            jobs: Jobs::default(),
            views: Mutex::default(),
            peers: Mutex::default(),
            suspects: Mutex::default(),
            member_log: Mutex::default(),
            streams: Mutex::default(),
            ends: Mutex::default(),
            run_reads: Mutex::default(),
            share_reads: Reads::default(),
            recall: Mutex::default(),
            pulse: Mutex::default(),
            links: Mutex::default(),
            carried: Carried::default(),
            teams,
            started_at: clock::steady_millis(),
            store_reached: AtomicBool::new(true),
        })
    }

    /// Returns the time since the start of the instance.
    pub fn now(&self) -> Duration {
        self.dispatch.now()
    }

    /// Returns the state of the other instances.
    pub fn peers(&self) -> MutexGuard<'_, Peers> {
        lock(&self.peers)
    }

    /// Returns the views of the store.
    pub fn views(&self) -> MutexGuard<'_, Views> {
        lock(&self.views)
    }

    /// Returns what is known of requests that crash workers.
    pub fn suspects(&self) -> MutexGuard<'_, Suspects> {
        lock(&self.suspects)
    }

    /// Returns the bound on the log lines on other instances.
    pub fn member_log(&self) -> MutexGuard<'_, MemberLog> {
        lock(&self.member_log)
    }

    /// Returns what is known of the versions that begin streams.
    pub fn streams(&self) -> MutexGuard<'_, Streams> {
        lock(&self.streams)
    }

    /// Returns the ends of answers that ended with their connection.
    pub fn ends(&self) -> MutexGuard<'_, Ends> {
        lock(&self.ends)
    }

    /// Returns the times at which workers were asked what they run.
    pub fn run_reads(&self) -> MutexGuard<'_, RunReads> {
        lock(&self.run_reads)
    }

    /// Returns the time in ms since the Unix epoch by the clock that the instances share.
    pub fn shared_millis(&self) -> u64 {
        self.streams().shared_time(clock::steady_millis())
    }

    /// Returns the version at which a stream has to begin or go on.
    pub fn stream_version(&self, call: &StreamCall<'_>) -> Origin {
        let serving = || self.dispatch.versions(call.service);
        let is_unheard = self.now() < FORGET_AFTER && self.peers().has_unheard(self.settings.peers);
        let mut streams = self.streams();
        streams.set_unheard(is_unheard);
        streams.version(call, serving, clock::steady_millis())
    }

    /// Returns the earliest time at which a call that is read now may have come, in ms since the Unix epoch,
    /// by the clock of `clock::steady_millis`.
    pub fn call_arrival(&self) -> u64 {
        let now = clock::steady_millis();
        let mut pulse = lock(&self.pulse);
        pulse.beat(now);
        pulse.arrival(now)
    }

    /// Records that the connection of an attempt broke.
    pub fn record_crash(&self, marks: &[Mark], request: &str, worker: &WorkerId) {
        let attempt = (fleet::key(worker), fnv::hash32(request.bytes()));
        let now = self.now();
        if self.suspects().record_crash(marks, attempt, now) {
            event!(
                Info,
                PartsSuspected,
                "request={request} worker={worker} parts={}",
                marks::names(marks)
            );
            // Other instances learn of it by a report, which is sent in the next round of heartbeats.
            self.dispatch.notify();
        }
    }

    /// Records that a worker answered a request with these marks.
    pub fn record_proof(&self, marks: &[Mark]) {
        let now = self.now();
        if self.suspects().record_proof(marks, now) {
            self.dispatch.notify();
        }
    }

    /// Decides whether a request or an item may be sent to a worker.
    pub fn admit(&self, marks: &[Mark], request: &str) -> Admission {
        let now = self.now();
        let admission = self.suspects().admit(marks, now, |b| self.is_prober(b));
        if admission == Admission::Probe {
            let parts = marks::names(marks);
            event!(Info, PartsProbed, "request={request} parts={parts}");
        }
        admission
    }

    /// Returns whether this is the instance that probes a block.
    fn is_prober(&self, block: &Block) -> bool {
        let name = marks::names(&block.marks);
        let local = &self.settings.instance;
        self.peers().is_prober(&name, local, self.now())
    }

    /// Returns whether the load balancer may send connections.
    pub fn is_ready(&self) -> bool {
        let knows_workers = || self.views().workers.revision > 0;
        self.drain.phase() == Phase::Running && self.config.load().is_some() && knows_workers()
    }

    /// Returns whether a call that no worker has yet may still be sent to one. In the last phase of a
    /// planned stop it may not if it can take longer than the instance will run.
    pub fn may_begin(&self, remaining: Duration) -> bool {
        self.stop
            .may_begin(self.drain.phase(), remaining, Instant::now())
    }

    /// Returns whether the object store answered the last call.
    pub fn reaches_store(&self) -> bool {
        self.store_reached.load(Ordering::Relaxed)
    }

    /// Records whether the object store answers, and returns whether that changed.
    pub fn set_store_reached(&self, reached: bool) -> bool {
        let before = self.store_reached.swap(reached, Ordering::Relaxed);
        if before == reached {
            return false;
        }
        if reached {
            event!(Info, PlatformBack, "at_ms={}", self.now().as_millis());
        } else {
            event!(Warn, PlatformLost, "at_ms={}", self.now().as_millis());
        }
        true
    }

    /// Returns whether this instance may have heard all others, so that it can tell what they use.
    pub fn knows_peers(&self) -> bool {
        self.has_discovered_peers() && self.peers().is_listed()
    }

    /// Returns whether this instance has had the time to discover its peers.
    pub fn has_discovered_peers(&self) -> bool {
        self.now() >= DISCOVERY_TIME
    }

    /// Returns the version of the configuration in use, or 0 if there is none.
    pub fn config_version(&self) -> u64 {
        self.config.load().as_ref().map_or(0, |c| c.version)
    }

    /// Returns whether this instance watches the object store for its zone. Until it has discovered
    /// its peers, it watches only if no peer is live. It leaves the watch to its neighbours while
    /// they reach the store and it does not.
    pub fn is_watcher(&self) -> bool {
        let Settings { instance, zone, .. } = &self.settings;
        let (peers, now) = (self.peers(), self.now());
        if self.has_discovered_peers() {
            let able = self.reaches_store() || !peers.reaches_store(zone, now);
            able && peers.is_watcher(instance, zone, now)
        } else {
            peers.live(now).next().is_none()
        }
    }

    /// Returns whether a peer has a newer configuration or worker list.
    pub fn is_behind(&self, peer: &Heartbeat) -> bool {
        let workers = self.views().workers_version;
        peer.config > self.config_version() || workers.is_missing_changes(&peer.workers)
    }

    /// Returns the address of a peer with a newer configuration or worker list, after some pulls
    /// that failed in a row.
    pub fn peer_ahead(&self, failures: usize) -> Option<SocketAddr> {
        let (config, workers) = (self.config_version(), self.views().workers_version);
        let zone = &self.settings.zone;
        let now = self.now();
        self.peers().source(zone, config, &workers, failures, now)
    }

    /// Returns whether this instance searches the store for jobs that nobody runs.
    pub fn is_sweeper(&self) -> bool {
        self.may_adopt() && self.peers().is_sweeper(&self.settings.instance, self.now())
    }

    /// Returns whether a live instance runs a job.
    pub fn is_run(&self, job: &JobId) -> bool {
        self.jobs.is_active(job) || self.peers().is_run(job, self.now())
    }

    /// Returns whether an instance that is not heard here may run jobs.
    pub fn may_be_cut(&self) -> bool {
        self.peers().may_be_cut(self.settings.peers, self.now())
    }

    /// Returns whether no instance can have learned from the object store what this one does not know.
    pub fn is_store_unreached(&self) -> bool {
        let local = self.settings.peers;
        !self.reaches_store() && self.peers().none_reaches_store(local, self.now())
    }

    /// Returns whether this instance may take over jobs.
    fn may_adopt(&self) -> bool {
        self.drain.phase() == Phase::Running && self.reaches_store() && self.has_discovered_peers()
    }

    /// Returns the last heartbeat of the instance that runs a job, or `None` when it is this one.
    pub fn home(&self, job: &JobId) -> Option<Heartbeat> {
        let local = Candidate {
            instance: &self.settings.instance,
            eligible: self.may_adopt(),
            active: self.jobs.is_active(job),
        };
        self.peers().home(job, &local, self.now())
    }

    /// Returns the state of this instance for its gauges.
    pub fn instance_state(&self) -> InstanceState {
        let running = self.jobs.running();
        let waiting = running.iter().map(|(_, job)| lock(job).waiting_tokens());
        let peers = self.peers().live(self.now()).count();
        // Guards within the literal below would be held until its end.
        let workers_revision = self.views().workers_version.newest;
        let blocks = self.suspects().block_count() as u64;
        let led_teams = self.teams.led();
        let unconfirmed = self.teams.lease().age(clock::steady_millis());
        let unconfirmed = unconfirmed.unwrap_or_default();
        InstanceState {
            config: self.config_version(),
            workers_revision,
            workers: self.dispatch.ready_workers() as u64,
            peers: peers as u64,
            store: self.reaches_store(),
            watcher: self.is_watcher(),
            queue: self.dispatch.queue_length() as u64,
            jobs: running.len() as u64,
            waiting: waiting.sum(),
            blocks,
            leaving: self.dispatch.leaving_count() as u64,
            limited: self.dispatch.limited_count() as u64,
            cut_off: self.is_cut_off(),
            carried: self.carried.count() as u64,
            unconfirmed: unconfirmed.as_millis() as u64,
            led_teams: led_teams as u64,
            troubled: self.dispatch.troubled_count() as u64,
        }
    }

    /// Records that an answer of a worker announced that it leaves.
    pub fn record_leaving(&self, worker: &Worker) {
        if !self.dispatch.record_leaving(worker) {
            return;
        }
        event!(
            Info,
            WorkerLeaving,
            "worker={} zone={} workers={}",
            worker.id,
            worker.zone,
            self.dispatch.ready_workers()
        );
        self.upstream.retain(|id, _| *id != worker.id);
    }

    /// Records what an answer to a request that was sent at a time tells of the limit of its worker.
    pub fn record_limit(
        &self,
        worker: &Worker,
        terms: &AnswerTerms,
        request: &RequestId,
        sent: Duration,
    ) {
        // An answer that may be a copy of an earlier one does not end a limit.
        let is_own = terms.id.as_ref() == Some(request);
        let announced = match terms.limit {
            Announced::Unlimited if !is_own => Announced::Unknown,
            announced => announced,
        };
        let seen = Observation {
            announced,
            sent,
            received: self.now(),
        };
        match self.dispatch.observe_limit(worker, seen) {
            Some(Change::Named(rate)) => {
                event!(Info, WorkerLimited, "worker={} rate={rate}", worker.id);
            }
            Some(Change::Ended) => event!(Info, WorkerLimitEnded, "worker={}", worker.id),
            Some(Change::Changed) | None => {}
        }
    }

    /// Returns the address of the instance that hands out the permits for a limited worker, or `None`
    /// when it is this one.
    pub fn limit_leader(&self, worker: &Worker) -> Option<SocketAddr> {
        let local = Member {
            instance: &self.settings.instance,
            zone: &self.settings.zone,
            stays: self.drain.phase() == Phase::Running,
        };
        let (peers, now) = (self.peers(), self.now());
        let leader = peers.limit_leader(&worker.id, &worker.zone, &local, now)?;
        Some(leader.address)
    }

    /// Sets which limited workers this instance leads.
    pub fn update_limit_shares(&self) {
        let limited = self.dispatch.limited_workers();
        if limited.is_empty() {
            return;
        }
        let live_share = self.peers().live_share(self.now());
        for worker in limited {
            let leads = self.has_discovered_peers() && self.limit_leader(&worker).is_none();
            let share = if leads { live_share } else { 0.0 };
            self.dispatch.set_limit_share(&worker.id, share);
        }
    }

    /// Keeps a connection for reuse after an answer was read to its end, if it goes to the listed start of a
    /// worker that takes requests.
    pub fn keep_connection(&self, worker: &Worker, connection: Connection) {
        // A carried connection is opened for one request, as the other instance checks the worker then.
        // Direct ones may hang during a cut.
        let is_unusable = !connection.path.is_direct() || self.is_cut_off();
        if is_unusable || !self.dispatch.holds(worker) {
            return;
        }
        let config = self.config.load();
        let service = config
            .as_ref()
            .and_then(|c| c.services.get(&worker.service));
        let instances = 1 + self.peers().live(self.now()).count();
        self.upstream.keep(worker, connection, service, instances);
    }

    /// Puts a configuration in use unless it is not newer than the current one, and returns whether
    /// it was newer.
    pub fn set_config(&self, config: Configuration) -> bool {
        let current = self.config.load();
        if current
            .as_ref()
            .is_some_and(|c| c.version >= config.version)
        {
            return false;
        }
        // Instances that do not watch the store learn of it from the next heartbeat.
        self.dispatch.notify();
        event!(
            Info,
            ConfigInForce,
            "version={} routes={}",
            config.version,
            config.routes.len()
        );
        self.config.store(Some(Arc::new(config)));
        true
    }
}
