//! Workers of a newer software version are added while one instance is cut off; then that instance is
//! killed, and its clients take their streams up elsewhere.

use std::{
    collections::BTreeSet,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use serde_json::json;

use crate::{
    Verdict,
    client::{self, Outcome},
    instance::{self, Instance, Settings, free_address},
    proxy::{self, Paths},
    record::Record,
    store::Store,
    worker::{Kind, Worker},
};

const ZONES: [&str; 3] = ["a", "b", "c"];
/// Site file: core_cut and node_cut for_s = 5.5.
const CUT: Duration = Duration::from_millis(5500);
/// Site file: node_kill for_s = 3.5 at most.
const DOWN: Duration = Duration::from_secs(3);
/// RULES.md, ORDER: more than two streams.
const ALLOWED: usize = 2;

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
    store.put("config", "main", config());
    let start = |n: usize, version: &str| {
        let worker = Worker::start(&kind, &format!("i-{n}"), "lm", ZONES[n % 3], version);
        store.put("servers", &worker.id, worker.entry("ready"));
    };
    (0..3).for_each(|n| start(n, "v1"));

    // Six instances, two in a zone. The first one stands behind a proxy.
    let paths: Arc<Paths> = Arc::default();
    let mut all: Vec<Settings> = (0..6)
        .map(|n| Settings::new(&format!("front-{n}"), ZONES[n / 2], store.address))
        .collect();
    let own = (all[0].peers, free_address());
    let others: Vec<_> = all[1..].iter().map(|s| (s.peers, free_address())).collect();
    proxy::surround(own, &others, &paths);
    let behind = free_address();
    let shown: Vec<_> = others.iter().map(|(real, shown)| (*real, *shown)).collect();
    let (up, down) = (proxy::text_swaps(&[own]), proxy::text_swaps(&shown));
    proxy::tcp(behind, store.address, &paths, &up, &down);
    all[0].store = behind;
    all[0].seeds = vec![others[0].1, others[1].1];
    for settings in &mut all[1..] {
        settings.seeds = vec![own.1, others[0].0, others[1].0];
    }
    let mut instances: Vec<Instance> = all.into_iter().map(|s| Instance::start(s, work)).collect();
    if !instance::await_ready(&instances, Duration::from_secs(10)) {
        return Verdict::NotRun("the instances were not ready".into());
    }
    thread::sleep(Duration::from_secs(4));

    let addresses: Vec<_> = instances.iter().map(|i| i.settings.callers).collect();
    let stop = Arc::new(AtomicBool::new(false));
    // Ten clients whose connections go to the first instance, and one at each other one. A retry
    // goes to the other instance of the zone.
    let at = |n: usize| n.saturating_sub(9);
    let paths_of = |n: usize| (addresses[at(n)], addresses[at(n) ^ 1]);
    let clients: Vec<_> = (0..15)
        .map(|n| client::start(&record, &stop, n, paths_of(n)))
        .collect();
    thread::sleep(Duration::from_secs(3));

    if trouble == "1" {
        record.say("trouble: front-0 is cut off from the platform's store and the other machines");
        paths.cut.store(true, Ordering::Relaxed);
    }
    thread::sleep(Duration::from_secs(1));
    record.say("plan: six workers of version v2 are added");
    (3..9).for_each(|n| start(n, "v2"));
    thread::sleep(CUT - Duration::from_secs(1));
    let shares = store.get("stream-versions", "lm").unwrap_or_default();
    record.say(&format!("stored shares: {}", shares["spec"]));
    if trouble != "0" {
        record.say("trouble: front-0 is killed");
        instances[0].kill();
    }
    paths.cut.store(false, Ordering::Relaxed);
    thread::sleep(DOWN);
    if trouble != "0" {
        instances[0].restart();
    }
    thread::sleep(Duration::from_secs(4));
    stop.store(true, Ordering::Relaxed);

    let outcomes = clients
        .into_iter()
        .flat_map(|c| c.join().expect("a client"));
    judge(&record, outcomes.collect())
}

/// Counts the streams that hold events of two versions.
pub fn judge(record: &Record, outcomes: Vec<(String, Outcome)>) -> Verdict {
    let mut mixed = 0;
    let (mut total, mut complete, mut taken_up, mut gone_on) = (0, 0, 0, 0);
    for (name, outcome) in outcomes {
        total += 1;
        complete += usize::from(outcome.complete);
        taken_up += outcome.taken_up;
        gone_on += outcome.gone_on;
        let version = |(_, data): &(u64, String)| data.split('/').next().map(str::to_owned);
        let versions: BTreeSet<_> = outcome.events.iter().filter_map(version).collect();
        if versions.len() > 1 {
            mixed += 1;
            record.say(&format!(
                "broken: stream {name} holds events of {versions:?}"
            ));
        }
    }
    record.say(&format!(
        "streams={total} complete={complete} taken_up={taken_up} gone_on={gone_on} mixed={mixed} \
         allowed={ALLOWED}"
    ));
    record.flush();
    if total < 50 || complete * 2 < total {
        return Verdict::NotRun("too few streams were served".into());
    }
    Verdict::of(mixed > ALLOWED)
}

pub fn config() -> serde_json::Value {
    json!({
        "version": 3,
        "routes": [{
            "name": "tally", "host": client::HOST, "path_prefix": "/tally/", "kind": "stream",
            "timeout_ms": 5000, "goal_ms": 300, "priority": 0, "service": "lm", "max_attempts": 2,
            "sticky": true, "resumable": true, "gap_target_ms": 250,
        }],
        "services": [{ "name": "lm", "health_path": "/healthz", "max_conns": 364 }],
        "limits": { "max_header_bytes": 16384, "max_body_bytes": 4194304,
                    "header_timeout_ms": 3000, "idle_timeout_ms": 15000 },
    })
}
