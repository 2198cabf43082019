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

use crate::{
    client,
    instance::free_address,
    proxy::{self, Paths, Swaps},
    side::{self, Side},
    versions::ZONES,
};

/// DEPLOY.md, bounds: stable_window_ms = 3000, config_apply_ms = 2000.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
const CONFIG_APPLY: f64 = 2.0;

pub fn run(folder: &Path, work: &Path, trouble: &str) -> Result<bool, String> {
    let side = Side::start(folder, 3, Duration::from_millis(10), config(1, "one", 5000));
    let (record, store) = (side.record.clone(), side.store.clone());
    (0..6).for_each(|n| side.add(n, ["one", "two"][n / 3], ZONES[n % 3], "v1"));
    let paths: Arc<Paths> = Arc::default();
    let none = Swaps::new();
    let behind: Vec<_> = (0..6).map(|_| free_address()).collect();
    for address in &behind {
        proxy::tcp(*address, store.address, &paths, &none, &none);
    }
    let all = side.settings(&behind, |n| ZONES[n / 2]);
    let instances = side::start(all, work)?;

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
    if served < 100 {
        return Err(format!("{served} requests were served"));
    }

    let sent = sent.lock().unwrap();
    let runs = side.kind.runs.lock().unwrap();
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
    Ok(count > 0)
}

fn config(version: u64, service: &str, timeout: u64) -> serde_json::Value {
    side::config(version, &[side::route(service, timeout)], &["one", "two"])
}
