//! The instance that has just stored new shares of the versions is killed before it tells the others.
//! Some seconds later a second instance is killed, and its clients take their streams up elsewhere.

use std::{
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    Verdict, client,
    instance::{self, Instance, Settings},
    record::Record,
    store::Store,
    versions,
    worker::{Kind, Worker},
};

const ZONES: [&str; 3] = ["a", "b", "c"];
/// Time for which front-0 is down; the writer is down for half of it and some 1.9 s before. Site file:
/// node_kill for_s = 3.5 at most.
const DOWN: Duration = Duration::from_millis(2800);
/// Time for which the case waits for a call of the store.
const PATIENCE: Duration = Duration::from_secs(20);
/// Stored shares of the versions.
const SHARES: &str = "stream-versions";

pub fn run(folder: &Path, work: &Path, trouble: &str) -> Verdict {
    let record = Record::create(folder).expect("record.txt");
    let store = Store::start();
    let kind = Kind {
        record: record.clone(),
        runs: Arc::default(),
        events: 40,
        first: Duration::ZERO,
        pause: Duration::from_millis(25),
    };
    store.put("config", "main", versions::config());
    let start = |n: usize, version: &str| {
        let worker = Worker::start(&kind, &format!("i-{n}"), "lm", ZONES[n % 3], version);
        store.put("servers", &worker.id, worker.entry("ready"));
    };
    (0..3).for_each(|n| start(n, "v1"));
    let name = |n: usize| format!("front-{n}");
    // These are bound before any port is chosen for an instance.
    let stores: Vec<_> = (0..6).map(|n| store.address_for(&name(n))).collect();
    let mut all: Vec<Settings> = (0..6)
        .map(|n| Settings::new(&name(n), ZONES[n / 2], stores[n]))
        .collect();
    let seeds: Vec<_> = all.iter().take(3).map(|s| s.peers).collect();
    all.iter_mut().for_each(|s| s.seeds = seeds.clone());
    let mut instances: Vec<Instance> = all.into_iter().map(|s| Instance::start(s, work)).collect();
    if !instance::await_ready(&instances, Duration::from_secs(10)) {
        return Verdict::NotRun("the instances were not ready".into());
    }
    thread::sleep(Duration::from_secs(4));

    let addresses: Vec<_> = instances.iter().map(|i| i.settings.callers).collect();
    let stop = Arc::new(AtomicBool::new(false));
    // Ten clients at the first instance, and one at each other one. A retry goes to the other
    // instance of the zone.
    let at = |n: usize| n.saturating_sub(9);
    let paths_of = |n: usize| (addresses[at(n)], addresses[at(n) ^ 1]);
    let clients: Vec<_> = (0..15)
        .map(|n| client::start(&record, &stop, n, paths_of(n)))
        .collect();
    thread::sleep(Duration::from_secs(2));

    let calls = store.observe(SHARES);
    record.say("plan: six workers of version v2 are added");
    (3..9).for_each(|n| start(n, "v2"));
    let index = |caller: &str| (0..6).find(|n| name(*n) == caller);
    let written = loop {
        match calls.recv_timeout(PATIENCE) {
            Ok((caller, method)) if method == "PUT" => break index(&caller),
            Ok(_) => {}
            Err(_) => break None,
        }
    };
    let Some(writer) = written else {
        return Verdict::NotRun("nobody stored new shares".into());
    };
    if trouble == "1" {
        instances[writer].kill();
        record.say(&format!(
            "trouble: {} has stored the new shares and is killed",
            name(writer)
        ));
        // The next one to read them has taken the duty over.
        let Ok((successor, _)) = calls.recv_timeout(PATIENCE) else {
            return Verdict::NotRun("nobody took over".into());
        };
        record.say(&format!("{successor} reads the stored shares"));
    } else {
        thread::sleep(Duration::from_secs(2));
    }
    thread::sleep(Duration::from_millis(300));
    if trouble != "0" {
        instances[0].kill();
        record.say("trouble: front-0 is killed");
    }
    thread::sleep(DOWN / 2);
    if trouble == "1" {
        instances[writer].restart();
        record.say(&format!("{} is back", name(writer)));
    }
    thread::sleep(DOWN / 2);
    if trouble != "0" {
        instances[0].restart();
    }
    thread::sleep(Duration::from_secs(4));
    stop.store(true, Ordering::Relaxed);
    let outcomes = clients
        .into_iter()
        .flat_map(|c| c.join().expect("a client"));
    versions::judge(&record, outcomes.collect())
}
