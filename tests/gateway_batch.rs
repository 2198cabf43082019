//! Batch jobs through instances of the program, against stand-ins that speak the platform's protocol.

mod gateway_support;
mod support;

use std::{
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::Duration,
};

use gateway_support::{Behaviour, Instance, StoreFaults, platform};
use serde_json::Value;
use support::{http, until};

const PAUSE: Duration = Duration::from_millis(2);

fn output(events: u64) -> String {
    let data: Vec<String> = (0..events).map(|n| format!("t{n}")).collect();
    data.join("\n")
}

fn fields<'a>(results: &'a [Value], name: &str) -> Vec<&'a str> {
    let mut fields: Vec<&str> = results.iter().filter_map(|r| r[name].as_str()).collect();
    fields.sort_unstable();
    fields
}

/// Guards against a job that is lost, runs twice or reads differently at another instance.
#[test]
fn a_job_completes_and_reads_alike_everywhere() {
    let (store, _workers) = platform(4, PAUSE);
    let one = Instance::start("one", &store, &[]);
    let two = Instance::start("two", &store, &[one.peers]);
    thread::sleep(Duration::from_secs(2));
    assert_eq!(one.submit("j1", &["a", "b", "c"]).unwrap().status, 202);
    assert_eq!(two.submit("j1", &["a", "b", "c"]).unwrap().status, 202);
    let results = two.wait_results("j1", 3);
    assert_eq!(fields(&results, "id"), ["a", "b", "c"]);
    assert!(
        results
            .iter()
            .all(|r| r["output"] == output(4) && r["state"] == "done")
    );
    assert_eq!(one.wait_results("j1", 3), results);
    let body = http::call(one.callers, "GET", "/items/j1?id=a", &[], "").unwrap();
    assert_eq!(body.body, [0, 255]);
    assert_eq!(one.results("j2", 0).unwrap().status, 404);
}

/// Guards against accepted items that are lost with the instance that ran them, and against results
/// that were read once and are gone later.
#[test]
fn a_job_survives_the_instance_that_runs_it() {
    let (store, _workers) = platform(30, Duration::from_millis(40));
    let mut one = Instance::start("one", &store, &[]);
    let two = Instance::start("two", &store, &[one.peers]);
    thread::sleep(Duration::from_secs(2));
    for job in ["j1", "j2", "j3"] {
        assert_eq!(one.submit(job, &["a", "b"]).unwrap().status, 202);
    }
    thread::sleep(Duration::from_millis(500));
    one.kill();
    for job in ["j1", "j2", "j3"] {
        let results = two.wait_results(job, 2);
        assert_eq!(fields(&results, "id"), ["a", "b"]);
        assert!(results.iter().all(|r| r["output"] == output(30)));
    }
}

/// Guards against an accepted job that nobody finishes, since its instance is lost and no caller
/// reads it, and against a list of all jobs that each instance reads.
#[test]
fn a_job_that_nobody_reads_survives_the_instance_that_runs_it() {
    let (store, _workers) = platform(30, Duration::from_millis(40));
    let mut one = Instance::start("one", &store, &[]);
    let others = ["two", "three", "four"].map(|n| Instance::start(n, &store, &[one.peers]));
    thread::sleep(Duration::from_secs(2));
    for job in ["j1", "j2", "j3", "j4"] {
        assert_eq!(one.submit(job, &["a"]).unwrap().status, 202);
    }
    let lists = store.lists("batch-jobs");
    one.kill();
    until("all jobs have results", || {
        let pages = store.names("batch-pages");
        ["j1.0", "j2.0", "j3.0", "j4.0"]
            .iter()
            .all(|p| pages.iter().any(|n| n == p))
    });
    assert_eq!(store.lists("batch-jobs") - lists, 1);
    drop(others);
}

/// Guards against missing or duplicate events in an output after a worker broke the connection, and
/// against an item that fails because of its worker.
#[test]
fn an_item_goes_on_after_a_broken_worker() {
    let (store, workers) = platform(6, PAUSE);
    for worker in &workers {
        worker.behave(&[
            Behaviour::BreakAfter(2),
            Behaviour::Refuse,
            Behaviour::Foreign,
        ]);
    }
    let instance = Instance::start_for_jobs("one", &store);
    instance.submit("j1", &["a"]).unwrap();
    let results = instance.wait_results("j1", 1);
    assert_eq!(results[0]["output"], output(6));
    let resumed = workers.iter().flat_map(|w| w.runs());
    assert!(
        resumed
            .into_iter()
            .any(|r| r.header("last-event-id") == Some("1"))
    );
}

/// Guards against an item that always fails and blocks other items or is retried forever.
#[test]
fn an_item_that_fails_always_is_given_up_after_its_attempts() {
    let (store, workers) = platform(2, PAUSE);
    for worker in &workers {
        worker.behave(&[Behaviour::Fail(500); 3]);
    }
    let instance = Instance::start_for_jobs("one", &store);
    instance.submit("j1", &["bad"]).unwrap();
    let results = instance.wait_results("j1", 1);
    assert_eq!(results[0]["state"], "dead");
    let runs: usize = workers.iter().map(|w| w.runs().len()).sum();
    assert_eq!(runs, 3);
}

/// Guards against a lost answer from the store that leads to a refused or duplicate job.
#[test]
fn a_lost_answer_to_the_creation_is_settled() {
    let (store, _workers) = platform(2, PAUSE);
    let instance = Instance::start_for_jobs("one", &store);
    store.set_faults(StoreFaults {
        lost_jobs: 1,
        ..StoreFaults::default()
    });
    assert_eq!(instance.submit("j1", &["a"]).unwrap().status, 202);
    assert_eq!(instance.wait_results("j1", 1).len(), 1);
}

/// Guards against answers that the store does not back: during an outage there must be no 202, and
/// no 404 for a job that may exist.
#[test]
fn nothing_is_accepted_or_denied_while_the_store_is_away() {
    let (store, _workers) = platform(2, PAUSE);
    let instance = Instance::start_for_jobs("one", &store);
    store.set_faults(StoreFaults::DOWN);
    assert_eq!(instance.submit("j1", &["a"]).unwrap().status, 503);
    assert_eq!(instance.results("j0", 0).unwrap().status, 503);
    assert!(store.names("batch-jobs").is_empty());
}

/// Guards against items that run after their job was cancelled, and against a cancellation that
/// only one instance knows of.
#[test]
fn an_ended_job_stops_everywhere() {
    let (store, workers) = platform(50, Duration::from_millis(20));
    let one = Instance::start("one", &store, &[]);
    let two = Instance::start("two", &store, &[one.peers]);
    thread::sleep(Duration::from_secs(2));
    one.submit("j1", &["a", "b", "c", "d", "e", "f"]).unwrap();
    thread::sleep(Duration::from_millis(300));
    for _ in 0..2 {
        let ended = http::call(two.callers, "DELETE", "/lots/j1", &[], "").unwrap();
        assert_eq!(ended.status, 200);
    }
    thread::sleep(Duration::from_millis(500));
    let runs = || workers.iter().map(|w| w.runs().len()).sum::<usize>();
    let before = runs();
    thread::sleep(Duration::from_millis(1000));
    assert_eq!(runs(), before);
    assert!(store.get("batch-jobs", "j1").is_some());
}

/// Guards against accepting more tokens than the quota of the route.
#[test]
fn a_job_over_the_quota_is_refused() {
    let (store, _workers) = platform(400, Duration::from_millis(20));
    let one = Instance::start_for_jobs("one", &store);
    let items: Vec<String> = (0..60).map(|n| format!("i{n}")).collect();
    let items: Vec<&str> = items.iter().map(String::as_str).collect();
    assert_eq!(one.submit("j1", &items).unwrap().status, 202);
    assert_eq!(one.submit("j2", &items).unwrap().status, 429);
    assert_eq!(one.submit("j1", &items).unwrap().status, 202);
}

/// Guards against jobs that are refused since items of another route wait.
#[test]
fn jobs_of_another_route_use_up_no_quota() {
    let (store, _workers) = platform(400, Duration::from_millis(20));
    let mut with_more = gateway_support::config(2);
    let mut more = with_more["routes"][4].clone();
    more["name"] = "more".into();
    more["path_prefix"] = "/more/".into();
    with_more["routes"].as_array_mut().unwrap().push(more);
    store.put("config", "main", with_more);
    let one = Instance::start_for_jobs("one", &store);
    let item = |n: u32| serde_json::json!({ "id": format!("m{n}"), "path": "/more/x", "headers": {}, "body": "", "tokens": 10 });
    let items: Vec<Value> = (0..60).map(item).collect();
    let body = serde_json::json!({ "items": items }).to_string();
    let submit = |job: &str| {
        let headers = [("x-request-id", job)];
        http::call(one.callers, "POST", "/more/x", &headers, &body)
    };
    assert_eq!(submit("m1").unwrap().status, 202);
    let items: Vec<String> = (0..60).map(|n| format!("i{n}")).collect();
    let items: Vec<&str> = items.iter().map(String::as_str).collect();
    assert_eq!(one.submit("j1", &items).unwrap().status, 202);
    assert_eq!(submit("m2").unwrap().status, 429);
}

/// Guards against work that is lost in a planned stop: another instance must resume where the
/// stopped one ended.
#[test]
fn a_planned_stop_hands_jobs_over() {
    let (store, workers) = platform(60, Duration::from_millis(30));
    let mut one = Instance::start("one", &store, &[]);
    let two = Instance::start("two", &store, &[one.peers]);
    thread::sleep(Duration::from_secs(2));
    for job in ["j1", "j2", "j3", "j4"] {
        assert_eq!(one.submit(job, &["a"]).unwrap().status, 202);
    }
    until("the items run", || {
        workers.iter().all(|w| !w.runs().is_empty())
    });
    thread::sleep(Duration::from_millis(400));
    one.terminate();
    for job in ["j1", "j2", "j3", "j4"] {
        let results = two.wait_results(job, 1);
        assert_eq!(results[0]["output"], output(60));
    }
    one.wait_end();
}

/// Guards against an operator who waits forever for an empty machine to be confirmed as empty.
#[test]
fn a_keeper_confirms_that_a_machine_is_empty() {
    let (store, _workers) = platform(1, PAUSE);
    let _keeper = gateway_support::keeper("disk-1", &store);
    store.put(
        "retirements",
        "disk-1",
        serde_json::json!({ "duration_s": 10 }),
    );
    until("the machine is empty", || {
        let object = store.get("retirements", "disk-1");
        object.is_some_and(|o| o["status"]["state"] == "done")
    });
}

/// Guards against items that wait beside empty workers, as callers of another route gave up before the
/// workers answered.
#[test]
fn deadlines_of_callers_hold_up_no_items() {
    let (store, workers) = platform(2, PAUSE);
    let instance = Instance::start_for_jobs("one", &store);
    let is_done = AtomicBool::new(false);
    thread::scope(|scope| {
        scope.spawn(|| {
            for n in 0.. {
                if is_done.load(Ordering::Relaxed) {
                    return;
                }
                for worker in &workers {
                    worker.behave(&[Behaviour::LateHead]);
                }
                let id = format!("short-{n}");
                let headers = [("x-request-id", &*id), ("x-deadline-ms", "100")];
                http::call(instance.callers, "POST", "/single/x", &headers, "prompt");
            }
        });
        until("callers gave up often", || {
            workers.iter().all(|w| w.runs().len() > 8)
        });
        instance.submit("j1", &["a", "b"]).unwrap();
        let results = instance.wait_results("j1", 2);
        is_done.store(true, Ordering::Relaxed);
        assert!(results.iter().all(|r| r["state"] == "done"));
    });
}
