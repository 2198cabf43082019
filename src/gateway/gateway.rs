//! State that all parts of an instance share.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use arc_swap::ArcSwapOption;

use crate::{
    adapter::store::Store,
    drain::{Drain, Phase},
    event,
    ids::{JobId, SessionId},
    metrics::InstanceState,
    mutex::lock,
};

use super::{
    config::Configuration,
    connection::Connection,
    dispatch::Dispatch,
    fleet::Worker,
    jobs::Jobs,
    peers::{Beat, Candidate, Peers},
    settings::Settings,
    sync::Views,
    upstream::Upstream,
};

/// Time from its start after which an instance has heard the others, which send several messages in
/// it. Before, it takes over no job, since another one may run it.
const SETTLE_TIME: Duration = Duration::from_millis(1300);

/// State of an instance.
#[derive(Debug)]
pub struct Gateway {
    /// Settings.
    pub settings: Settings,
    /// Run of the instance.
    pub session: SessionId,
    /// Newest configuration; nothing before the first one is known.
    pub config: ArcSwapOption<Configuration>,
    /// Placement of requests.
    pub dispatch: Arc<Dispatch>,
    /// Connections to workers.
    pub upstream: Upstream,
    /// Client of the object store.
    pub store: Store,
    /// Phase of a planned stop.
    pub drain: Drain,
    /// Batch jobs at this instance.
    pub jobs: Jobs,
    /// Objects of the configuration and of the workers as the store gave them.
    pub views: Mutex<Views>,
    peers: Mutex<Peers>,
    store_reached: AtomicBool,
    start: Instant,
}

impl Gateway {
    /// Builds the state of an instance.
    pub fn new(settings: Settings, session: SessionId) -> Arc<Self> {
        Arc::new(Self {
            dispatch: Dispatch::new(settings.instance.clone(), settings.zone.clone()),
            store: Store::new(settings.store),
            settings,
            session,
            config: ArcSwapOption::empty(),
            upstream: Upstream::default(),
            drain: Drain::default(),
            jobs: Jobs::default(),
            views: Mutex::default(),
            peers: Mutex::default(),
            store_reached: AtomicBool::new(true),
            start: Instant::now(),
        })
    }

    /// Returns the time since the start of the instance.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Returns the other instances.
    pub fn peers(&self) -> MutexGuard<'_, Peers> {
        lock(&self.peers)
    }

    /// Returns the views of the store.
    pub fn views(&self) -> MutexGuard<'_, Views> {
        lock(&self.views)
    }

    /// Says whether the balancer may send connections.
    pub fn is_ready(&self) -> bool {
        self.drain.phase() == Phase::Running && self.config.load().is_some()
    }

    /// Says whether the object store answered the last call.
    pub fn reaches_store(&self) -> bool {
        self.store_reached.load(Ordering::Relaxed)
    }

    /// Notes whether the object store answers; says whether that changed.
    pub fn note_store(&self, reached: bool) -> bool {
        let before = self.store_reached.swap(reached, Ordering::Relaxed);
        if before == reached {
            return false;
        }
        if reached {
            let now = self.now();
            self.views().store_returned(now);
            event!(Info, PlatformBack, "at_ms={}", now.as_millis());
        } else {
            event!(Warn, PlatformLost, "at_ms={}", self.now().as_millis());
        }
        true
    }

    /// Says whether this instance has heard the others since its start.
    pub fn is_settled(&self) -> bool {
        self.now() >= SETTLE_TIME
    }

    /// Returns the version of the configuration in force, 0 for none.
    pub fn config_version(&self) -> u64 {
        self.config.load().as_ref().map_or(0, |c| c.version)
    }

    /// Says whether this instance watches the object store for its zone. Until it has had the time
    /// to hear all others it leaves that to those that it hears.
    pub fn is_watcher(&self) -> bool {
        let Settings { instance, zone, .. } = &self.settings;
        let (peers, now) = (self.peers(), self.now());
        if self.is_settled() {
            peers.is_watcher(instance, zone, now)
        } else {
            peers.live(now).next().is_none()
        }
    }

    /// Says whether a peer knows of the configuration or the workers what this instance does not.
    pub fn is_behind(&self, peer: &Beat) -> bool {
        let workers = self.views().edition;
        // Each message is compared, so who watches is worked out only when it matters.
        peer.config > self.config_version()
            || workers.is_older(&peer.workers)
            || (workers.differs(&peer.workers) && !self.is_watcher())
    }

    /// Returns the address of a peer that knows more than this instance, one of its zone if there
    /// is one.
    pub fn ahead(&self) -> Option<SocketAddr> {
        let (config, workers) = (self.config_version(), self.views().edition);
        let watches = self.is_watcher();
        let peers = self.peers();
        let ahead = |b: &&Beat| b.config > config || workers.lacks(&b.workers, watches);
        let ahead = peers.live(self.now()).filter(ahead);
        let other_zone = |b: &&Beat| b.zone != self.settings.zone;
        ahead.min_by_key(other_zone).map(|b| b.address)
    }

    /// Returns the instance that runs a job; nothing when it is this one.
    pub fn home(&self, job: &JobId) -> Option<Beat> {
        let me = Candidate {
            instance: &self.settings.instance,
            able: self.drain.phase() == Phase::Running && self.reaches_store() && self.is_settled(),
            holds: self.jobs.is_active(job),
        };
        self.peers().home(job, &me, self.now())
    }

    /// Returns the state of this instance for its gauges.
    pub fn beliefs(&self) -> InstanceState {
        let running = self.jobs.running();
        let waiting = running.iter().map(|(_, job)| lock(job).waiting_tokens());
        let peers = self.peers().live(self.now()).count();
        InstanceState {
            config: self.config_version(),
            workers_revision: self.views().edition.newest,
            workers: self.dispatch.workers() as u64,
            peers: peers as u64,
            store: self.reaches_store(),
            watcher: self.is_watcher(),
            queue: self.dispatch.queue() as u64,
            jobs: running.len() as u64,
            waiting: waiting.sum(),
        }
    }

    /// Keeps a connection to a worker whose answer was read to its end.
    pub fn keep(&self, worker: &Worker, connection: Connection) {
        let config = self.config.load();
        let service = config
            .as_ref()
            .and_then(|c| c.services.get(&worker.service));
        let instances = 1 + self.peers().live(self.now()).count();
        self.upstream
            .keep(&worker.id, connection, service, instances);
    }

    /// Takes a configuration unless it is older than the one in force; says whether it is new.
    pub fn set_config(&self, config: Configuration) -> bool {
        let current = self.config.load();
        if current
            .as_ref()
            .is_some_and(|c| c.version >= config.version)
        {
            return false;
        }
        // The instances that do not watch the store learn of it by the next message.
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
