//! Workers that start again under their id while an instance lists their earlier start.

mod gateway_support;
mod support;

use std::time::Duration;

use gateway_support::{Instance, Request, Store, Worker, config};
use support::until;

const EVENTS: u64 = 4;
const PAUSE: Duration = Duration::from_millis(2);
const CALLS: usize = 12;

/// Starts two workers of one version.
fn start_workers(store: &Store) -> [Worker; 2] {
    let workers = ["w1", "w2"].map(|id| Worker::start(id, EVENTS, PAUSE));
    for worker in &workers {
        let mut entry = worker.entry("ready");
        entry["slots"] = 8.into();
        store.put("servers", &worker.id, entry);
    }
    store.put("config", "main", config(1));
    workers
}

fn ran(worker: &Worker, id: &str) -> bool {
    let is_own = |r: &Request| r.header("x-request-id") == Some(id);
    worker.runs().iter().any(is_own)
}

/// Sends requests for a path until the worker runs one of them.
fn await_use(instance: &Instance, worker: &Worker, path: &str) {
    let mut calls = 0;
    until("the worker is in use", || {
        calls += 1;
        let id = format!("use-{path}-{calls}");
        instance.stream(path, &id);
        ran(worker, &id)
    });
}

/// Guards against requests that run at a start of a worker of which the instance knows neither the
/// version nor the limit, as its list is older than that start.
#[test]
fn nothing_is_sent_to_a_start_that_is_not_listed() {
    let store = Store::start();
    let [listed, restarted] = start_workers(&store);
    restarted.set_born(2);
    let instance = Instance::start("one", &store, &[]);
    await_use(&instance, &listed, "/resumable/x");
    for path in ["/resumable/x", "/single/x", "/safe/x", "/unsafe/x"] {
        for n in 0..CALLS {
            let answer = instance.stream(path, &format!("{path}-{n}"));
            assert_eq!(answer.map(|a| a.status), Some(200), "{path}");
        }
    }
    assert!(restarted.runs().is_empty(), "{:?}", restarted.runs());
    store.put("servers", &restarted.id, restarted.entry("ready"));
    await_use(&instance, &restarted, "/resumable/x");
}

/// Guards against a text of an item that an unknown version wrote.
#[test]
fn no_item_runs_at_a_start_that_is_not_listed() {
    let store = Store::start();
    let [_listed, restarted] = start_workers(&store);
    restarted.set_born(2);
    let instance = Instance::start_for_jobs("one", &store);
    let items: Vec<String> = (0..CALLS).map(|n| format!("i{n}")).collect();
    let items: Vec<&str> = items.iter().map(String::as_str).collect();
    assert_eq!(instance.submit("j1", &items).unwrap().status, 202);
    let results = instance.wait_results("j1", items.len());
    assert!(results.iter().all(|r| r["state"] == "done"));
    assert!(restarted.runs().is_empty(), "{:?}", restarted.runs());
}

/// Guards against workers that get no requests since their reports name no start, and against requests to one
/// whose report cannot be read.
#[test]
fn workers_whose_reports_name_no_start_are_used() {
    for report in ["", "{}", r#"{"stage":"both","queued":0}"#] {
        let store = Store::start();
        let [unnamed, damaged] = start_workers(&store);
        unnamed.set_report(report);
        damaged.set_report("\u{7}x");
        let instance = Instance::start("one", &store, &[]);
        await_use(&instance, &unnamed, "/resumable/x");
        for path in ["/resumable/x", "/single/x", "/safe/x", "/unsafe/x"] {
            let answer = instance.stream(path, &format!("{path}-0"));
            assert_eq!(answer.map(|a| a.status), Some(200), "{path} {report:?}");
        }
        assert!(damaged.runs().is_empty());
    }
}

/// Guards against a worker that is not used any more after one of its reports came damaged.
#[test]
fn a_worker_is_used_again_after_a_damaged_report() {
    let store = Store::start();
    let [listed, damaged] = start_workers(&store);
    damaged.set_born(2);
    let instance = Instance::start("one", &store, &[]);
    await_use(&instance, &listed, "/resumable/x");
    for n in 0..CALLS {
        instance.stream("/resumable/x", &format!("r{n}"));
    }
    assert!(damaged.runs().is_empty());
    damaged.set_born(1);
    await_use(&instance, &damaged, "/resumable/x");
}

/// Guards against connections to a worker that are never used again, as the clock of its machine was set
/// back before it started again, so that its listed start is the smaller one.
#[test]
fn connections_to_a_start_with_a_smaller_time_are_kept() {
    let store = Store::start();
    let worker = Worker::start("w", EVENTS, PAUSE);
    worker.set_born(5);
    store.put("servers", &worker.id, worker.entry("ready"));
    store.put("config", "main", config(1));
    let instance = Instance::start("one", &store, &[]);
    for born in [5, 3] {
        worker.set_born(born);
        store.put("servers", &worker.id, worker.entry("ready"));
        let mut calls = 0;
        let mut reported = worker.reports();
        until("a kept connection is used", || {
            calls += 1;
            let id = format!("{born}-{calls}");
            instance.stream("/resumable/x", &id);
            let before = std::mem::replace(&mut reported, worker.reports());
            let listed = std::fs::read_to_string(&instance.log).unwrap();
            let on_start = listed.lines().any(|l| {
                l.contains(&format!("request={id} "))
                    && l.contains(&format!("started=Some({born})"))
            });
            on_start && ran(&worker, &id) && before == reported
        });
    }
}
