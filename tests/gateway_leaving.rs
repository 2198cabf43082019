//! Workers that leave while an instance cannot read the worker list, and instances that leave.

mod gateway_support;
mod support;

use std::{
    net::TcpStream,
    thread,
    time::{Duration, Instant},
};

use gateway_support::{Instance, Store, StoreFaults, Worker, platform};
use support::until;

const PAUSE: Duration = Duration::from_millis(2);

/// Time after the return of the store from which on no request may reach a worker that left before:
/// the platform's `stable_window_ms`.
const STABLE_WINDOW: Duration = Duration::from_secs(3);

/// Time after a stop signal from which on an instance must finish the requests that it accepts within
/// its grace period, by the platform's rules.
const ACCEPT_BOUND: Duration = Duration::from_secs(3);

/// Starts instances of one zone, of which three watch the store.
fn start(store: &Store, count: usize) -> Vec<Instance> {
    let first = Instance::start("one", store, &[]);
    let seeds = [first.peers];
    let names = ["two", "three", "four", "five", "six"];
    let others = names.iter().take(count - 1);
    let mut instances: Vec<Instance> = others
        .map(|name| Instance::start(name, store, &seeds))
        .collect();
    instances.push(first);
    until("three instances watch the workers", || {
        store.watches("servers") == 3
    });
    instances
}

fn has_logged(instance: &Instance, event: &str) -> bool {
    let log = std::fs::read_to_string(&instance.log).unwrap();
    log.contains(event)
}

fn fail_store_until_noticed(store: &Store, instances: &[Instance]) {
    store.set_faults(StoreFaults::DOWN);
    until("all instances have lost the store", || {
        instances.iter().all(|i| has_logged(i, "platform-lost"))
    });
}

/// Sends requests through all instances and returns how many of them ran at a worker.
fn runs_at(worker: &Worker, instances: &[Instance]) -> usize {
    let before = worker.runs().len();
    for round in 0..10 {
        for instance in instances {
            instance.stream("/resumable/x", &format!("{}-{round}", instance.callers));
        }
    }
    worker.runs().len() - before
}

/// Guards against instances that pass a worker without an entry on to each other after an outage,
/// so that requests reach it long after it left.
#[test]
fn a_worker_that_left_during_an_outage_gets_no_requests_after_it() {
    let (store, [_, left]) = platform(2, PAUSE);
    let instances = start(&store, 6);
    fail_store_until_noticed(&store, &instances);
    store.remove("servers", &left.id);
    store.set_faults(StoreFaults::default());
    let returned = Instant::now();
    assert!(runs_at(&left, &instances) > 0, "it may still come back");
    thread::sleep(STABLE_WINDOW.saturating_sub(returned.elapsed()));
    assert_eq!(runs_at(&left, &instances), 0);
}

/// Guards against requests that a planned stop accepts so late that it cuts them off at the end of its
/// grace period.
#[test]
fn a_planned_stop_accepts_no_request_that_it_has_no_time_to_finish() {
    let (store, _workers) = platform(2, PAUSE);
    let instance = Instance::start("one", &store, &[]);
    instance.terminate();
    thread::sleep(ACCEPT_BOUND);
    assert!(TcpStream::connect(instance.callers).is_err());
}
