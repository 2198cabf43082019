//! State that all parts of an instance share.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use arc_swap::ArcSwapOption;

use crate::{
    adapter::store::Store,
    drain::{Drain, Phase},
    event,
    ids::{JobId, SessionId},
};

use super::{
    config::Configuration,
    dispatch::Dispatch,
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
    /// Revision of the newest change of the workers that is known.
    pub workers_newest: AtomicU64,
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
            workers_newest: AtomicU64::new(0),
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
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the views of the store.
    pub fn views(&self) -> MutexGuard<'_, Views> {
        self.views.lock().unwrap_or_else(PoisonError::into_inner)
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
            event!(Info, PlatformBack, "at_ms={}", self.now().as_millis());
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

    /// Says whether a peer knows a newer configuration or list of workers.
    pub fn is_behind(&self) -> bool {
        let workers = self.workers_newest.load(Ordering::Relaxed);
        let config = self.config_version();
        self.peers()
            .live(self.now())
            .any(|b| b.config > config || b.workers > workers)
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

    /// Takes a configuration unless it is older than the one in force; says whether it is new.
    pub fn set_config(&self, config: Configuration) -> bool {
        let current = self.config.load();
        if current
            .as_ref()
            .is_some_and(|c| c.version >= config.version)
        {
            return false;
        }
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
