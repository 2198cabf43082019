//! The open connections to the platform's store go silent, and some seconds later the operator moves a
//! route to another service.

use std::{
    collections::BTreeMap,
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use serde_json::json;

use crate::{
    Verdict, client, http,
    instance::{self, Instance, Settings, free_address},
    proxy::{self, Paths, Swaps},
    record::Record,
    store::Store,
    worker::{Kind, Worker},
};

const ZONES: [&str; 3] = ["a", "b", "c"];
/// DEPLOY.md, bounds: stable_window_ms = 3000, config_apply_ms = 2000.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
const CONFIG_APPLY: f64 = 2.0;

pub fn run(folder: &Path, work: &Path, trouble: &str) -> Verdict {
    let record = Record::create(folder).expect("record.txt");
    let store = Store::start();
    let kind = Kind {
        record: record.clone(),
        runs: Arc::default(),
        events: 3,
        first: Duration::ZERO,
        pause: Duration::from_millis(10),
    };
    store.put("config", "main", config(1, "one", 5000));
    for n in 0..6 {
        let service = ["one", "two"][n / 3];
        let worker = Worker::start(&kind, &format!("i-{n}"), service, ZONES[n % 3], "v1");
        store.put("servers", &worker.id, worker.entry("ready"));
    }
    let paths: Arc<Paths> = Arc::default();
    let none = Swaps::new();
    let mut all: Vec<Settings> = (0..6)
        .map(|n| {
            let behind = free_address();
            proxy::tcp(behind, store.address, &paths, &none, &none);
            Settings::new(&format!("front-{n}"), ZONES[n / 2], behind)
        })
        .collect();
    let seeds: Vec<_> = all.iter().take(3).map(|s| s.peers).collect();
    all.iter_mut().for_each(|s| s.seeds = seeds.clone());
    let instances: Vec<Instance> = all.into_iter().map(|s| Instance::start(s, work)).collect();
    if !instance::await_ready(&instances, Duration::from_secs(10)) {
        return Verdict::NotRun("the instances were not ready".into());
    }
    thread::sleep(Duration::from_secs(4));

    let stop = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<BTreeMap<String, f64>>> = Arc::default();
    let clients: Vec<_> = instances
        .iter()
        .enumerate()
        .map(|(n, instance)| {
            let address = instance.settings.callers;
            let (record, stop, sent) = (record.clone(), stop.clone(), sent.clone());
            thread::spawn(move || {
                let mut served = 0;
                for count in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        return served;
                    }
                    let name = format!("c{n}-{count}");
                    sent.lock()
                        .unwrap()
                        .insert(format!("{name}-1"), record.now());
                    let outcome =
                        client::stream(&record, &name, &format!("/tally/{n}"), address, address);
                    served += u32::from(outcome.complete);
                    thread::sleep(Duration::from_millis(100));
                }
                served
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(2));

    store.put("config", "main", config(2, "one", 4800));
    record.say("plan: the configuration gets another timeout (version 2)");
    thread::sleep(Duration::from_millis(300));
    if trouble != "0" {
        paths.generation.fetch_add(1, Ordering::Relaxed);
        record.say("trouble: the open connections to the store go silent; new ones work");
    }
    thread::sleep(STABLE_WINDOW + Duration::from_millis(200));
    store.put("config", "main", config(3, "two", 4800));
    let acknowledged = record.now();
    record.say("plan: the route moves to service two (version 3), acknowledged");
    thread::sleep(Duration::from_secs(9));
    stop.store(true, Ordering::Relaxed);
    let served: u32 = clients
        .into_iter()
        .map(|c| c.join().expect("a client"))
        .sum();
    let probe = http::connect(store.address, Duration::from_secs(1));
    if probe.is_err() || served < 100 {
        return Verdict::NotRun(format!("{served} requests were served"));
    }

    let sent = sent.lock().unwrap();
    let runs = kind.runs.lock().unwrap();
    let late = |id: &str| {
        sent.get(id)
            .map(|at| at - acknowledged)
            .filter(|t| *t > CONFIG_APPLY)
    };
    let mut stale: BTreeMap<String, (u32, f64)> = BTreeMap::new();
    for run in runs.iter().filter(|r| r.service == "one") {
        if let Some(after) = late(&run.id) {
            let instance = run.id.split('-').next().unwrap_or_default().to_owned();
            let entry = stale.entry(instance).or_default();
            *entry = (entry.0 + 1, entry.1.max(after));
        }
    }
    for (client, (count, after)) in &stale {
        record.say(&format!(
            "broken: {count} requests of {client} to its instance were run by the old service, the \
             last one sent {after:.3} s after the acknowledgement"
        ));
    }
    let count: u32 = stale.values().map(|(n, _)| n).sum();
    record.say(&format!(
        "served={served} run_by_old_service_too_late={count}"
    ));
    record.flush();
    Verdict::of(count > 0)
}

fn config(version: u64, service: &str, timeout: u64) -> serde_json::Value {
    let service_of =
        |name: &str| json!({ "name": name, "health_path": "/healthz", "max_conns": 364 });
    json!({
        "version": version,
        "routes": [{
            "name": "tally", "host": client::HOST, "path_prefix": "/tally/", "kind": "stream",
            "timeout_ms": timeout, "goal_ms": 300, "priority": 0, "service": service,
            "max_attempts": 2, "sticky": true, "resumable": true, "gap_target_ms": 250,
        }],
        "services": [service_of("one"), service_of("two")],
        "limits": { "max_header_bytes": 16384, "max_body_bytes": 4194304,
                    "header_timeout_ms": 3000, "idle_timeout_ms": 15000 },
    })
}
