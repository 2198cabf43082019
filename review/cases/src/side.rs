//! The deployment that a case plays in: store, workers and instances.

use std::{
    net::SocketAddr,
    path::Path,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use crate::{
    client::HOST,
    instance::{Instance, Settings},
    record::Record,
    store::Store,
    worker::{Kind, Worker},
};

/// Time after which instances know each other and do all their duties.
const SETTLE: Duration = Duration::from_secs(4);
/// Time in which instances must become ready.
const READY: Duration = Duration::from_secs(10);

/// Store and workers.
pub struct Side {
    pub record: Record,
    pub store: Store,
    pub kind: Kind,
}

impl Side {
    /// Starts a store with a configuration. Workers send streams of some events with a pause before
    /// each but the first.
    pub fn start(folder: &Path, events: u64, pause: Duration, config: Value) -> Self {
        let record = Record::create(folder).expect("record.txt");
        let store = Store::start();
        store.put("config", "main", config);
        let kind = Kind {
            record: record.clone(),
            runs: Arc::default(),
            events,
            first: Duration::ZERO,
            pause,
        };
        Self {
            record,
            store,
            kind,
        }
    }

    /// Adds a worker.
    pub fn add(&self, number: usize, service: &str, zone: &str, version: &str) {
        let worker = Worker::start(&self.kind, number, service, zone, version);
        self.list(&worker);
    }

    /// Writes the entry of a worker.
    pub fn list(&self, worker: &Worker) {
        self.store.put("servers", &worker.id, worker.entry());
    }

    /// Returns the settings of instances that use addresses of the store, and know the first three.
    pub fn settings(
        &self,
        stores: &[SocketAddr],
        zone: impl Fn(usize) -> &'static str,
    ) -> Vec<Settings> {
        let new = |(n, store): (usize, &SocketAddr)| Settings::new(&name(n), zone(n), *store);
        let mut all: Vec<Settings> = stores.iter().enumerate().map(new).collect();
        let seeds: Vec<_> = all.iter().take(3).map(|s| s.peers).collect();
        all.iter_mut().for_each(|s| s.seeds = seeds.clone());
        all
    }

    /// Starts instances in one zone.
    pub fn instances(&self, count: usize, work: &Path) -> Result<Vec<Instance>, String> {
        start(
            self.settings(&vec![self.store.address; count], |_| "a"),
            work,
        )
    }
}

/// Returns the name of an instance.
pub fn name(number: usize) -> String {
    format!("front-{number}")
}

/// Starts instances and waits until they are ready and know each other.
pub fn start(all: Vec<Settings>, work: &Path) -> Result<Vec<Instance>, String> {
    let instances: Vec<Instance> = all.into_iter().map(|s| Instance::start(s, work)).collect();
    let begun = Instant::now();
    while !instances.iter().all(Instance::is_ready) {
        if begun.elapsed() >= READY {
            return Err("the instances were not ready".into());
        }
        thread::sleep(Duration::from_millis(50));
    }
    thread::sleep(SETTLE);
    Ok(instances)
}

/// Returns a route of streams that may be resumed at another worker, with two attempts.
pub fn route(service: &str, timeout_ms: u64) -> Value {
    json!({
        "name": "tally", "host": HOST, "path_prefix": "/tally/", "kind": "stream",
        "timeout_ms": timeout_ms, "goal_ms": 300, "priority": 0, "service": service,
        "max_attempts": 2, "sticky": true, "resumable": true, "gap_target_ms": 250,
    })
}

/// Returns a route of streams that run at most once.
pub fn single_route(service: &str, timeout_ms: u64) -> Value {
    let mut route = route(service, timeout_ms);
    route["resumable"] = false.into();
    route["max_attempts"] = 1.into();
    route
}

/// Returns a configuration with the site's limits.
pub fn config(version: u64, routes: &[Value], services: &[&str]) -> Value {
    let service =
        |name: &&str| json!({ "name": name, "health_path": "/healthz", "max_conns": 364 });
    let services: Vec<Value> = services.iter().map(service).collect();
    json!({
        "version": version, "routes": routes, "services": services,
        "limits": { "max_header_bytes": 16384, "max_body_bytes": 4194304,
                    "header_timeout_ms": 3000, "idle_timeout_ms": 15000 },
    })
}
