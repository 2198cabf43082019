//! Entries of another writer among those that instances read.

mod gateway_support;
mod support;

use std::time::Duration;

use gateway_support::{Instance, Store, Worker, config};
use serde_json::{Value, json};
use support::until;

const PAUSE: Duration = Duration::from_millis(2);

/// Kinds of objects that an instance reads.
const KINDS: [&str; 5] = [
    "servers",
    "entry-instances",
    "stream-versions",
    "blocked-requests",
    "batch-jobs",
];

fn odd_specs() -> Vec<Value> {
    let mut nested = json!("x");
    // Deeper than JSON is read here.
    for _ in 0..300 {
        nested = json!([nested]);
    }
    let worker = |slots: Value, addr: &str| {
        json!({ "service": "lm", "addr": addr, "zone": "a", "version": "v1", "slots": slots,
                "state": "ready", "born": 1, "address": addr })
    };
    vec![
        nested.clone(),
        json!({ "service": nested.clone(), "mixes": nested.clone(), "address": nested }),
        worker(json!(8), "127.0.0.1:70000"),
        worker(json!(u64::MAX), "127.0.0.1:80"),
        worker(json!(u32::MAX), "127.0.0.1:80"),
        worker(json!(1e300), "127.0.0.1:80"),
        json!({ "number": u64::MAX, "mixes": [{ "since": u64::MAX, "shares": [["v9", u32::MAX]] }] }),
        json!({ "number": 1, "mixes": [] }),
        Value::Null,
    ]
}

fn write_odd_objects(store: &Store) {
    for kind in KINDS {
        for (n, spec) in odd_specs().into_iter().enumerate() {
            store.put(kind, &format!("odd-{n}"), spec);
        }
    }
}

/// Guards against processes that end, or no longer follow a list, by what another writer left there
/// before their start or while they run.
#[test]
fn odd_entries_stop_no_instance() {
    for before in [true, false] {
        let store = Store::start();
        let worker = Worker::start("w1", 2, PAUSE);
        store.put("config", "main", config(1));
        if before {
            write_odd_objects(&store);
        }
        store.put("servers", &worker.id, worker.entry("ready"));
        let mut one = Instance::start("one", &store, &[]);
        let mut two = Instance::start("two", &store, &[one.peers]);
        write_odd_objects(&store);
        let later = Worker::start("w2", 2, PAUSE);
        store.put("servers", &later.id, later.entry("ready"));
        store.remove("servers", &worker.id);
        for instance in [&mut one, &mut two] {
            let before = later.runs().len();
            until("the instance uses the later worker", || {
                instance.stream("/resumable/x", &format!("r{}", fastrand::u64(..)));
                later.runs().len() > before
            });
            assert!(instance.is_running());
        }
    }
}
