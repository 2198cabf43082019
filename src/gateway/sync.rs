//! Follows the configuration and the worker list in the object store.

use std::{sync::Arc, time::Duration};

use async_io::Timer;
use serde::{Deserialize, Serialize};
use smol::channel::Receiver;

use crate::{
    adapter::{
        objects,
        store::{Freshness, Object, Store, StoreError},
    },
    backoff::Backoff,
    clock, event,
    ids::{Map, Set, WorkerId},
};

use super::{
    change_log::{ListLog, OmittedWorkers, WorkerChange, WorkerLog},
    fleet::{ListChange, Withdrawn, Worker},
    gateway::Gateway,
    leaving::Forgotten,
    peer_call,
    peers::ListVersion,
    view::View,
};

/// Maximum time that a watch waits at the store.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(9);
/// Delay after the first failed call; it doubles with each failure.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Maximum delay between failed calls, so that an instance reconnects within a second of the
/// store's return.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(900);

/// Interval at which an instance that does not watch the store reads the configuration, which also
/// shows whether the store is reachable.
const CHECK_INTERVAL: Duration = Duration::from_millis(1500);
/// Interval at which the connections to the store of an instance that watches are probed. Without it a
/// silent watch would hide changes for as long as it may wait.
const PROBE_INTERVAL: Duration = Duration::from_millis(1250);
/// Delay before a watcher pulls from a peer what its own watch should deliver as well.
const WATCHER_PULL_DELAY: Duration = Duration::from_millis(250);
/// Delay before an instance without a watch pulls from a peer, so that changes are pulled together.
const PULL_DELAY: Duration = Duration::from_millis(60);

/// Number of failed confirmations of empty machines that ends a round of them.
const MAX_FAILED_CONFIRMATIONS: u32 = 3;

/// Local views of the object store.
#[derive(Debug, Default)]
pub struct Views {
    /// The configuration.
    pub config: View,
    /// The workers.
    pub workers: View,
    /// Version of the worker list in use.
    pub workers_version: ListVersion,
    /// Workers without an entry that were logged as kept.
    kept: Set<String>,
    worker_log: WorkerLog,
    list_log: ListLog,
}

impl Views {
    /// Logs the workers that are newly kept without an entry, and returns how many are kept.
    fn log_kept(&mut self, now: Duration) -> usize {
        let kept: Set<String> = self.workers.kept().cloned().collect();
        for worker in kept.difference(&self.kept) {
            if self.worker_log.admit(WorkerChange::Kept, now) {
                event!(
                    Info,
                    WorkerKept,
                    "worker={worker} at={}",
                    self.workers.revision
                );
            }
        }
        self.kept = kept;
        self.kept.len()
    }

    fn log_change(&mut self, change: &ListChange, now: Duration) {
        for Withdrawn {
            worker,
            reason,
            level,
        } in &change.withdrawn
        {
            // The history of a request in flight needs the line on its worker.
            let in_use = level.online + level.batch > 0;
            if !in_use && !self.worker_log.admit(WorkerChange::Withdrawn, now) {
                continue;
            }
            event!(
                Info,
                WorkerWithdrawn,
                "worker={} zone={} reason={} online={} items={}",
                worker.id,
                worker.zone,
                reason.name(),
                level.online,
                level.batch
            );
        }
        for Forgotten { worker, reason } in &change.forgotten {
            let reason = reason.name();
            event!(Info, LeavingForgotten, "worker={worker} reason={reason}");
        }
    }

    /// Returns the changes of workers and the number of changes of their list that got no line, when
    /// the time for which they are counted is over.
    pub fn take_omitted(&mut self, now: Duration) -> Option<(OmittedWorkers, usize)> {
        let workers = self.worker_log.take_omitted(now);
        let lists = self.list_log.take_omitted(now);
        (workers.is_some() || lists.is_some())
            .then(|| (workers.unwrap_or_default(), lists.unwrap_or_default()))
    }
}

/// A kind of object that instances follow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// The configuration.
    Config,
    /// The workers.
    Workers,
}

/// Configuration and worker list, as one instance sends them to another.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct Snapshot {
    /// Revision and content of the configuration.
    pub config: Option<(u64, String)>,
    /// Store revision that the worker list reflects.
    pub at: u64,
    /// Revision of the newest change in the worker list.
    pub newest: u64,
    /// Name, revision and content of the workers' entries.
    pub workers: Vec<(String, u64, String)>,
}

impl Kind {
    fn name(self) -> &'static str {
        match self {
            Self::Config => objects::CONFIG.0,
            Self::Workers => objects::WORKERS,
        }
    }

    fn view(self, views: &mut Views) -> &mut View {
        match self {
            Self::Config => &mut views.config,
            Self::Workers => &mut views.workers,
        }
    }
}

/// Keeps the view of a kind up to date, forever.
pub async fn follow(gateway: Arc<Gateway>, kind: Kind) {
    let mut backoff = Backoff::new(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
    let mut rng = fastrand::Rng::new();
    let mut follower = Follower {
        gateway: gateway.clone(),
        kind,
        listed: false,
        watches: false,
        called: Duration::ZERO,
    };
    loop {
        let pause = match follower.step().await {
            Ok(()) => {
                backoff.succeed();
                Duration::ZERO
            }
            Err(StoreError::Compacted) => {
                follower.listed = false;
                Duration::ZERO
            }
            Err(e) => {
                follower.fail();
                match e {
                    StoreError::Silent => event!(Warn, StoreSilent, "kind={}", kind.name()),
                    e => event!(Warn, StoreCallFailed, "kind={} reason=\"{e}\"", kind.name()),
                }
                gateway.views().workers.store_failed(follower.called);
                gateway.set_store_reached(false);
                backoff.fail(&mut rng)
            }
        };
        publish(&gateway, kind);
        if !pause.is_zero() {
            Timer::after(pause).await;
        }
    }
}

/// Probes the connections to the store while this instance watches it, forever.
pub async fn probe_watches(gateway: Arc<Gateway>) {
    loop {
        Timer::after(PROBE_INTERVAL).await;
        if gateway.is_watcher() {
            if gateway.teams.is_bounded() {
                confirm(&gateway).await;
            } else {
                probe(&gateway.store).await;
            }
        }
    }
}

/// Reads the newest configuration, which shows as well whether open connections still work.
async fn confirm(gateway: &Gateway) {
    let (kind, name) = objects::CONFIG;
    let called = clock::steady_millis();
    match gateway.store.confirm(kind, name).await {
        Ok(config) => {
            add_config(gateway, config);
            publish(gateway, Kind::Config);
            gateway.teams.confirm(called);
        }
        Err(e) => event!(Warn, StoreCallFailed, "call=confirm reason=\"{e}\""),
    }
}

/// Adds a configuration that was read by itself to the view, if it is newer.
fn add_config(gateway: &Gateway, config: Option<Object>) {
    let now = gateway.now();
    let mut views = gateway.views();
    if let Some(config) = config
        && config.revision > views.config.revision
    {
        let revision = config.revision;
        views.config.replace(vec![config], revision, now);
    }
}

async fn probe(store: &Store) {
    let (kind, name) = objects::CONFIG;
    if let Err(e) = store.probe(kind, name).await {
        event!(Warn, StoreCallFailed, "call=probe reason=\"{e}\"");
    }
}

/// Progress of following a kind.
struct Follower {
    gateway: Arc<Gateway>,
    kind: Kind,
    listed: bool,
    watches: bool,
    /// Time when the last call began.
    called: Duration,
}

impl Follower {
    async fn step(&mut self) -> Result<(), StoreError> {
        let watches = self.gateway.is_watcher();
        if !self.listed && (watches || !self.has_pulled()) {
            return self.list().await;
        }
        if watches != self.watches {
            self.watches = watches;
            event!(
                Info,
                WatcherChanged,
                "kind={} watches={watches}",
                self.kind.name()
            );
        }
        if watches {
            self.watch().await
        } else {
            self.check().await
        }
    }

    /// Returns whether this instance has objects of the kind from a peer.
    fn has_pulled(&self) -> bool {
        let mut views = self.gateway.views();
        self.kind.view(&mut views).revision > 0
    }

    /// Forgets a watch that failed. An instance that does not watch goes on with what it has learned
    /// from its peers: in a large fleet, lists of all instances would use up the calls of a store
    /// that is just back.
    fn fail(&mut self) {
        if self.watches {
            self.listed = false;
        }
    }

    async fn list(&mut self) -> Result<(), StoreError> {
        self.called = self.gateway.now();
        let asked = clock::steady_millis();
        let store = &self.gateway.store;
        let (objects, revision) = store.list(self.kind.name(), Freshness::Latest).await?;
        let now = self.gateway.now();
        self.gateway.set_store_reached(true);
        self.kind
            .view(&mut self.gateway.views())
            .replace(objects, revision, now);
        self.listed = true;
        if self.kind == Kind::Config {
            publish(&self.gateway, self.kind);
            self.gateway.teams.confirm(asked);
        }
        Ok(())
    }

    async fn watch(&mut self) -> Result<(), StoreError> {
        let gateway = &self.gateway;
        self.called = gateway.now();
        let since = self.kind.view(&mut gateway.views()).revision;
        let wait = MAX_WATCH_WAIT.mul_f64(fastrand::f64().mul_add(0.3, 0.7));
        let (changes, revision) = gateway.store.watch(self.kind.name(), since, wait).await?;
        let now = gateway.now();
        gateway.set_store_reached(true);
        self.kind
            .view(&mut gateway.views())
            .apply(changes, revision, now);
        Ok(())
    }

    /// Checks only that the store is reachable and the configuration is current. Changes arrive
    /// from the instances that watch the store for this zone.
    async fn check(&mut self) -> Result<(), StoreError> {
        let gateway = &self.gateway;
        // After a failed call the next one follows after the pause for failures alone.
        if self.kind != Kind::Config || gateway.reaches_store() {
            Timer::after(CHECK_INTERVAL).await;
        }
        if self.kind != Kind::Config {
            return Ok(());
        }
        self.called = gateway.now();
        let (kind, name) = objects::CONFIG;
        let asked = clock::steady_millis();
        let needs_newest = gateway.teams.lease().needs_store(asked);
        let freshness = if needs_newest {
            Freshness::Latest
        } else {
            Freshness::Stale
        };
        let config = match gateway.store.get(kind, name, freshness).await {
            // The earlier configuration stays in force.
            Err(StoreError::Unreadable(_)) => None,
            other => other?,
        };
        gateway.set_store_reached(true);
        add_config(gateway, config);
        if needs_newest {
            publish(gateway, Kind::Config);
            gateway.teams.confirm(asked);
        }
        Ok(())
    }
}

/// Pulls the configuration and worker list from a peer when this instance falls behind, forever.
/// That happens when it does not watch the store, its watches stall, or the store is unreachable.
pub async fn pull(gateway: Arc<Gateway>, behind: Receiver<()>) {
    let mut failures = 0;
    while behind.recv().await.is_ok() {
        let delay = if gateway.is_watcher() {
            WATCHER_PULL_DELAY
        } else {
            PULL_DELAY
        };
        Timer::after(delay).await;
        let Some(address) = gateway.peer_ahead(failures) else {
            continue;
        };
        match peer_call::snapshot(address).await {
            Ok(snapshot) => {
                failures = 0;
                event!(
                    Info,
                    SnapshotPulled,
                    "peer={address} workers_at={}",
                    snapshot.at
                );
                snapshot.merge(&gateway);
            }
            Err(e) => {
                failures += 1;
                event!(
                    Warn,
                    PeerCallFailed,
                    "peer={address} call=snapshot reason=\"{e:#}\""
                );
            }
        }
    }
}

/// Applies the current state of a view to the instance.
pub fn publish(gateway: &Gateway, kind: Kind) {
    let mut views = gateway.views();
    match kind {
        Kind::Config => {
            let Some(object) = views.config.get(objects::CONFIG.1) else {
                return;
            };
            publish_config(gateway, object);
        }
        Kind::Workers => {
            let now = gateway.now();
            views.workers.expire(now);
            let version = views.workers.version();
            let before = (views.workers_version.digest, views.kept.len());
            views.workers_version = version;
            let kept = views.log_kept(now);
            let changed = before != (version.digest, kept);
            let worker = |object: &Object| {
                let mut worker = decode_worker(gateway, object)?;
                worker.until = views.workers.kept_until(&object.name);
                Some(Arc::new(worker))
            };
            let workers: Vec<Arc<Worker>> = views.workers.objects().filter_map(worker).collect();
            // The clock of a worker's machine may have been set back, so that a later start is the smaller one.
            let is_listed = |id: &WorkerId, started| {
                let mut workers = workers.iter();
                workers.any(|w| w.id == *id && w.started == started)
            };
            gateway.upstream.retain(is_listed);
            let change = gateway.dispatch.set_workers(workers);
            views.log_change(&change, now);
            if changed {
                if views.list_log.admit(now) {
                    event!(
                        Info,
                        WorkersChanged,
                        "at={} newest={} digest={:08x} workers={} kept={kept}",
                        version.at,
                        version.newest,
                        version.digest,
                        gateway.dispatch.ready_workers()
                    );
                }
                gateway.dispatch.notify();
            }
        }
    }
}

fn publish_config(gateway: &Gateway, object: &Object) {
    match objects::decode_config(&object.spec) {
        Ok(config) => {
            gateway.set_config(config);
        }
        Err(e) => {
            let revision = object.revision;
            let entry = format!("{}@{revision}", object.name);
            if gateway.store.is_new_fault(objects::CONFIG.0, &entry) {
                event!(Warn, ConfigInvalid, "revision={revision} reason=\"{e:#}\"");
            }
        }
    }
}

fn decode_worker(gateway: &Gateway, object: &Object) -> Option<Worker> {
    match objects::decode_worker(&object.name, &object.spec) {
        Ok(worker) => Some(worker),
        Err(e) => {
            if gateway.store.is_new_fault(objects::WORKERS, &object.name) {
                event!(
                    Warn,
                    WorkerInvalid,
                    "entry={:?} reason=\"{e:#}\"",
                    object.name
                );
            }
            None
        }
    }
}

impl Snapshot {
    /// Builds a snapshot of the views, without workers that are kept only here.
    pub fn of(views: &Views) -> Self {
        let config = views.config.get(objects::CONFIG.1);
        let entry = |o: &Object| (o.name.clone(), o.revision, o.spec.clone());
        Self {
            config: config.map(|o| (o.revision, o.spec.clone())),
            at: views.workers.revision,
            newest: views.workers.newest,
            workers: views.workers.listed().map(entry).collect(),
        }
    }

    /// Merges the snapshot into the views of this instance, where it is newer.
    pub fn merge(self, gateway: &Gateway) {
        let object = |(name, revision, spec): (String, u64, String)| Object {
            name,
            revision,
            spec,
            status: "null".into(),
        };
        let now = gateway.now();
        {
            let mut views = gateway.views();
            let workers = self.workers.into_iter().map(object).collect();
            if self.at > views.workers.revision {
                views.workers.replace(workers, self.at, now);
                views.workers.newest = views.workers.newest.max(self.newest);
            }
            if let Some((revision, spec)) = self.config
                && revision > views.config.revision
            {
                let name = objects::CONFIG.1.to_owned();
                let config = object((name, revision, spec));
                views.config.replace(vec![config], revision, now);
            }
        }
        publish(gateway, Kind::Config);
        publish(gateway, Kind::Workers);
    }
}

/// Confirms the operator's requests to empty a machine, forever. A machine with a disk holds no
/// data that is not in the store, so each request is confirmed at once.
pub async fn follow_drain_requests(store: &Store) {
    let probes = async {
        loop {
            Timer::after(PROBE_INTERVAL).await;
            probe(store).await;
        }
    };
    smol::future::or(watch_drain_requests(store), probes).await;
}

async fn watch_drain_requests(store: &Store) {
    let mut backoff = Backoff::new(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
    let mut rng = fastrand::Rng::new();
    let mut requests = DrainRequests::new(store);
    loop {
        if let Err(e) = requests.step(&mut rng).await {
            requests.listed = false;
            log_drain_failure(&e);
            Timer::after(backoff.fail(&mut rng)).await;
        } else {
            backoff.succeed();
        }
    }
}

/// A request to empty a machine: its name and revision.
type DrainRequest = (String, u64);

/// The operator's requests to empty a machine.
struct DrainRequests<'a> {
    store: &'a Store,
    view: View,
    listed: bool,
    /// Number of failed confirmations, or `None` for a request that the store refuses for good.
    failures: Map<DrainRequest, Option<u32>>,
    backoff: Backoff,
    /// Time until failed confirmations are tried again.
    retry: Option<Duration>,
}

impl<'a> DrainRequests<'a> {
    fn new(store: &'a Store) -> Self {
        Self {
            store,
            view: View::default(),
            listed: false,
            failures: Map::default(),
            backoff: Backoff::new(MIN_RETRY_DELAY, MAX_RETRY_DELAY),
            retry: None,
        }
    }

    /// Reads the requests or their changes, and confirms those that are not confirmed.
    async fn step(&mut self, rng: &mut fastrand::Rng) -> Result<(), StoreError> {
        let kind = objects::DRAIN_REQUESTS;
        if self.listed {
            let wait = self.retry.unwrap_or(MAX_WATCH_WAIT);
            let (changes, revision) = self.store.watch(kind, self.view.revision, wait).await?;
            self.view.apply(changes, revision, Duration::ZERO);
        } else {
            let (objects, revision) = self.store.list(kind, Freshness::Latest).await?;
            self.view.replace(objects, revision, Duration::ZERO);
            self.listed = true;
        }
        self.retry = if self.confirm().await {
            self.backoff.succeed();
            None
        } else {
            Some(self.backoff.fail(rng))
        };
        Ok(())
    }

    /// Returns the requests to confirm. Those that failed least come first, so that they hold up no
    /// other.
    fn pending(&mut self) -> Vec<DrainRequest> {
        let open = self
            .view
            .objects()
            .filter(|o| !objects::is_emptied(&o.status));
        let open: Set<DrainRequest> = open.map(|o| (o.name.clone(), o.revision)).collect();
        self.failures.retain(|request, _| open.contains(request));
        let count = |r: &DrainRequest| self.failures.get(r).copied().unwrap_or(Some(0));
        let mut pending: Vec<_> = open.into_iter().filter(|r| count(r).is_some()).collect();
        pending.sort_by_cached_key(|r| (count(r), r.clone()));
        pending
    }

    /// Confirms requests, and returns whether none failed. The round ends early in an outage of the
    /// store, so that the end of the outage is noticed.
    async fn confirm(&mut self) -> bool {
        let kind = objects::DRAIN_REQUESTS;
        let mut failures = 0;
        for request in self.pending() {
            let machine = &request.0;
            let status = objects::emptied_status();
            match self.store.set_status(kind, machine, &status).await {
                Ok(()) => event!(Info, MachineEmptied, "machine={machine}"),
                // The operator has withdrawn the request.
                Err(StoreError::Missing) => {}
                Err(StoreError::Refused(reason)) => {
                    self.store.log_fault(kind, machine, &reason);
                    self.failures.insert(request, None);
                }
                Err(e) => {
                    log_drain_failure(&e);
                    let count = self.failures.entry(request).or_insert(Some(0));
                    *count = count.map(|c| c + 1);
                    failures += 1;
                }
            }
            if failures == MAX_FAILED_CONFIRMATIONS {
                break;
            }
        }
        failures == 0
    }
}

fn log_drain_failure(error: &StoreError) {
    let kind = objects::DRAIN_REQUESTS;
    event!(Warn, StoreCallFailed, "kind={kind} reason=\"{error}\"");
}
