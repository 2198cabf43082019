//! Follows the configuration and the list of workers in the object store.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

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

use super::{fleet::Worker, gateway::Gateway, peer_call, view::View};

/// Longest time that a watch waits at the store. A watch that went silent is noticed after it at
/// the latest; peers tell earlier that there is news.
const WATCH_WAIT: Duration = Duration::from_secs(9);
/// First wait after a failed call; it doubles with each failure.
const RETRY_FIRST: Duration = Duration::from_millis(150);
/// Longest wait between failed calls. The store has to be found within a second of its return.
const RETRY_LONGEST: Duration = Duration::from_millis(900);

/// Time in which an instance learns by its own watch what its peers know already.
const PULL_DELAY: Duration = Duration::from_millis(250);

/// Views of the store.
#[derive(Debug, Default)]
pub struct Views {
    /// The configuration.
    pub config: View,
    /// The workers.
    pub workers: View,
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
    let mut listed = false;
    loop {
        let step = step(&gateway, kind, &mut listed).await;
        let pause = match step {
            Ok(()) => {
                backoff.succeed();
                if gateway.note_store(true) {
                    let now = gateway.now();
                    kind.view(&mut gateway.views()).store_returned(now);
                    listed = false;
                }
                Duration::ZERO
            }
            Err(StoreError::Compacted) => {
                listed = false;
                Duration::ZERO
            }
            Err(e) => {
                event!(Warn, StoreCallFailed, "kind={} reason={e}", kind.name());
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

async fn step(gateway: &Gateway, kind: Kind, listed: &mut bool) -> Result<(), StoreError> {
    let now = gateway.now();
    if !*listed {
        let (objects, at) = gateway.store.list(kind.name(), Freshness::Latest).await?;
        kind.view(&mut gateway.views()).replace(objects, at, now);
        *listed = true;
        return Ok(());
    }
    let (since, expires) = {
        let mut views = gateway.views();
        let view = kind.view(&mut views);
        (view.at, view.expires())
    };
    let wait = expires.map_or(WATCH_WAIT, |t| {
        t.saturating_sub(now) + Duration::from_millis(50)
    });
    let wait = wait.min(WATCH_WAIT.mul_f64(fastrand::f64().mul_add(0.3, 0.7)));
    let (changes, at) = gateway.store.watch(kind.name(), since, wait).await?;
    kind.view(&mut gateway.views())
        .apply(changes, at, gateway.now());
    Ok(())
}

/// Pulls what peers know when this instance stays behind them, for ever: its watches may have gone
/// silent, or the store may be away.
pub async fn pull(gateway: Arc<Gateway>, behind: Receiver<SocketAddr>) {
    while let Ok(address) = behind.recv().await {
        Timer::after(PULL_DELAY).await;
        if !gateway.is_behind() {
            continue;
        }
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
                "peer={address} call=snapshot reason={e:#}"
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
            gateway
                .workers_newest
                .store(views.workers.newest, Ordering::Relaxed);
            let workers: Vec<Arc<Worker>> =
                views.workers.objects().filter_map(decode_worker).collect();
            gateway
                .upstream
                .retain(|id| workers.iter().any(|w| w.id == *id));
            gateway.dispatch.set_workers(workers);
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
            "revision={} reason={e:#}",
            object.revision
        ),
    }
}

fn decode_worker(object: &Object) -> Option<Arc<Worker>> {
    match objects::decode_worker(&object.name, &object.spec) {
        Ok(worker) => Some(Arc::new(worker)),
        Err(e) => {
            event!(Warn, WorkerInvalid, "entry={} reason={e:#}", object.name);
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
            if self.at > views.workers.at {
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
                "kind={} reason={e}",
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
