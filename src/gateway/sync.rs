//! Follows the configuration and the list of workers in the object store.

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
    event,
};

use super::{fleet::Worker, gateway::Gateway, peer_call, peers::Edition, view::View};

/// Longest time that a watch waits at the store. A watch that went silent is noticed after it at
/// the latest; peers tell earlier that there is news.
const WATCH_WAIT: Duration = Duration::from_secs(9);
/// First wait after a failed call; it doubles with each failure.
const RETRY_FIRST: Duration = Duration::from_millis(150);
/// Longest wait between failed calls. The store has to be found within a second of its return.
const RETRY_LONGEST: Duration = Duration::from_millis(900);

/// Interval at which an instance that does not watch the store asks it for the configuration, which
/// shows that the store is there as well.
const CHECK_INTERVAL: Duration = Duration::from_millis(1500);
/// Time in which an instance learns by its own watch what its peers know already.
const WATCHER_PULL_DELAY: Duration = Duration::from_millis(250);
/// Time for which changes are gathered before an instance without a watch pulls them.
const PULL_DELAY: Duration = Duration::from_millis(60);

/// Views of the store.
#[derive(Debug, Default)]
pub struct Views {
    /// The configuration.
    pub config: View,
    /// The workers.
    pub workers: View,
    /// Edition of the workers that is in force.
    pub edition: Edition,
}

impl Views {
    /// Notes that the store is back after an outage.
    pub fn store_returned(&mut self, now: Duration) {
        self.config.store_returned(now);
        self.workers.store_returned(now);
    }
}

/// A kind of objects that instances follow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// The configuration.
    Config,
    /// The workers.
    Workers,
}

/// Views as one instance gives them to another.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct Snapshot {
    /// Revision and content of the configuration.
    pub config: Option<(u64, String)>,
    /// Revision that the list of workers shows.
    pub at: u64,
    /// Revision of the newest change in it.
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

/// Follows a kind for ever.
pub async fn follow(gateway: Arc<Gateway>, kind: Kind) {
    let mut backoff = Backoff::new(RETRY_FIRST, RETRY_LONGEST);
    let mut rng = fastrand::Rng::new();
    let mut follower = Follower {
        gateway: gateway.clone(),
        kind,
        listed: false,
        watches: false,
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
                follower.listed = false;
                event!(Warn, StoreCallFailed, "kind={} reason=\"{e}\"", kind.name());
                gateway.note_store(false);
                backoff.fail(&mut rng)
            }
        };
        publish(&gateway, kind);
        if !pause.is_zero() {
            Timer::after(pause).await;
        }
    }
}

/// Follows a kind.
struct Follower {
    gateway: Arc<Gateway>,
    kind: Kind,
    listed: bool,
    watches: bool,
}

impl Follower {
    async fn step(&mut self) -> Result<(), StoreError> {
        if !self.listed {
            return self.list().await;
        }
        let watches = self.gateway.is_watcher();
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

    async fn list(&mut self) -> Result<(), StoreError> {
        let store = &self.gateway.store;
        let (objects, at) = store.list(self.kind.name(), Freshness::Latest).await?;
        let now = self.gateway.now();
        self.gateway.note_store(true);
        self.kind
            .view(&mut self.gateway.views())
            .replace(objects, at, now);
        self.listed = true;
        Ok(())
    }

    async fn watch(&self) -> Result<(), StoreError> {
        let gateway = &self.gateway;
        let (since, expires) = {
            let mut views = gateway.views();
            let view = self.kind.view(&mut views);
            (view.at, view.expires())
        };
        let wait = expires.map_or(WATCH_WAIT, |t| {
            t.saturating_sub(gateway.now()) + Duration::from_millis(50)
        });
        let wait = wait.min(WATCH_WAIT.mul_f64(fastrand::f64().mul_add(0.3, 0.7)));
        let (changes, at) = gateway.store.watch(self.kind.name(), since, wait).await?;
        let now = gateway.now();
        gateway.note_store(true);
        self.kind.view(&mut gateway.views()).apply(changes, at, now);
        Ok(())
    }

    /// Leaves watching to others of the zone, which tell what changes, and only looks whether the
    /// store is there and the configuration is still the newest.
    async fn check(&self) -> Result<(), StoreError> {
        Timer::after(CHECK_INTERVAL).await;
        if self.kind != Kind::Config {
            return Ok(());
        }
        let gateway = &self.gateway;
        let (kind, name) = objects::CONFIG;
        let config = gateway.store.get(kind, name, Freshness::Stale).await?;
        let now = gateway.now();
        gateway.note_store(true);
        let mut views = gateway.views();
        if let Some(config) = config
            && config.revision > views.config.at
        {
            let at = config.revision;
            views.config.replace(vec![config], at, now);
        }
        Ok(())
    }
}

/// Pulls what peers know when this instance stays behind them, for ever: it does not watch the
/// store, its watches have gone silent, or the store is away.
pub async fn pull(gateway: Arc<Gateway>, behind: Receiver<()>) {
    while behind.recv().await.is_ok() {
        let delay = if gateway.is_watcher() {
            WATCHER_PULL_DELAY
        } else {
            PULL_DELAY
        };
        Timer::after(delay).await;
        let Some(address) = gateway.ahead() else {
            continue;
        };
        match peer_call::snapshot(address).await {
            Ok(snapshot) => {
                event!(
                    Info,
                    SnapshotPulled,
                    "peer={address} workers_at={}",
                    snapshot.at
                );
                snapshot.merge(&gateway);
            }
            Err(e) => event!(
                Warn,
                PeerCallFailed,
                "peer={address} call=snapshot reason=\"{e:#}\""
            ),
        }
    }
}

/// Puts what a view shows into force.
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
            views.workers.expire(gateway.now());
            let edition = views.workers.edition();
            let changed = views.edition.digest != edition.digest;
            views.edition = edition;
            let workers: Vec<Arc<Worker>> =
                views.workers.objects().filter_map(decode_worker).collect();
            gateway
                .upstream
                .retain(|id| workers.iter().any(|w| w.id == *id));
            gateway.dispatch.set_workers(workers);
            if changed {
                event!(
                    Info,
                    WorkersChanged,
                    "at={} newest={} workers={}",
                    edition.at,
                    edition.newest,
                    gateway.dispatch.workers()
                );
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
        Err(e) => event!(
            Warn,
            ConfigInvalid,
            "revision={} reason=\"{e:#}\"",
            object.revision
        ),
    }
}

fn decode_worker(object: &Object) -> Option<Arc<Worker>> {
    match objects::decode_worker(&object.name, &object.spec) {
        Ok(worker) => Some(Arc::new(worker)),
        Err(e) => {
            event!(
                Warn,
                WorkerInvalid,
                "entry={} reason=\"{e:#}\"",
                object.name
            );
            None
        }
    }
}

impl Snapshot {
    /// Returns what an instance knows.
    pub fn of(views: &Views) -> Self {
        let config = views.config.get(objects::CONFIG.1);
        let entry = |o: &Object| (o.name.clone(), o.revision, o.spec.clone());
        Self {
            config: config.map(|o| (o.revision, o.spec.clone())),
            at: views.workers.at,
            newest: views.workers.newest,
            workers: views.workers.objects().map(entry).collect(),
        }
    }

    /// Takes what a peer knows, as far as it is newer.
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
            if self.at >= views.workers.at {
                views.workers.replace(workers, self.at, now);
            }
            views.workers.newest = views.workers.newest.max(self.newest);
            if let Some((revision, spec)) = self.config
                && revision > views.config.at
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

/// Answers requests of the operator to empty a machine, for ever. Machines with disks hold
/// nothing that the store does not have, so each request is answered at once.
pub async fn follow_drain_requests(store: &Store) {
    let mut backoff = Backoff::new(RETRY_FIRST, RETRY_LONGEST);
    let mut rng = fastrand::Rng::new();
    let mut view = View::default();
    let mut listed = false;
    loop {
        if let Err(e) = step_drain_requests(store, &mut view, &mut listed).await {
            listed = false;
            event!(
                Warn,
                StoreCallFailed,
                "kind={} reason=\"{e}\"",
                objects::DRAIN_REQUESTS
            );
            Timer::after(backoff.fail(&mut rng)).await;
        } else {
            backoff.succeed();
        }
    }
}

async fn step_drain_requests(
    store: &Store,
    view: &mut View,
    listed: &mut bool,
) -> Result<(), StoreError> {
    let kind = objects::DRAIN_REQUESTS;
    if *listed {
        let (changes, at) = store.watch(kind, view.at, WATCH_WAIT).await?;
        view.apply(changes, at, Duration::ZERO);
    } else {
        let (objects, at) = store.list(kind, Freshness::Latest).await?;
        view.replace(objects, at, Duration::ZERO);
        *listed = true;
    }
    for object in view.objects().filter(|o| !objects::is_emptied(&o.status)) {
        store
            .set_status(kind, &object.name, &objects::emptied())
            .await?;
        event!(Info, MachineEmptied, "machine={}", object.name);
    }
    Ok(())
}
