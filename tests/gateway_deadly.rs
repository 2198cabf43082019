//! Requests that crash each worker that runs them, and come again with the same path and body.

mod gateway_support;
mod support;

use std::{thread, time::Duration};

use gateway_support::{Behaviour, Instance, Store, Worker, platform};
use support::{http, until};

const PAUSE: Duration = Duration::from_millis(2);
/// Retries that may still reach workers, by the platform's rules.
const MAX_LATE_RUNS: usize = 3;
/// Time after the third crash from which on they count, the platform's `stable_window_ms`.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// Path of the requests that crash workers.
const DEADLY: &str = "/deadly";
/// Kind of the objects of blocked requests.
const BLOCKED: &str = "blocked-requests";
/// Time after the last crash at which a blocked request is probed.
const FIRST_PROBE: Duration = Duration::from_millis(5200);

/// Starts a store with workers of which each breaks the answers to deadly requests after some events.
fn deadly_platform(events: u64) -> (Store, Vec<Worker>) {
    let (store, first) = platform(6, PAUSE);
    let more = (3..=8).map(|n| Worker::start(&format!("w{n}"), 6, PAUSE));
    let workers: Vec<Worker> = first.into_iter().chain(more).collect();
    for worker in &workers {
        worker.set_deadly_path(Some((DEADLY, events)));
        store.put("servers", &worker.id, worker.entry("ready"));
    }
    (store, workers)
}

fn deadly_runs(workers: &[Worker]) -> usize {
    let runs = workers.iter().flat_map(Worker::runs);
    runs.filter(|r| r.path.contains(DEADLY)).count()
}

/// Sends a deadly request again and again to two instances beside sound ones with the same parts, and
/// checks how many reach workers late.
fn check_late_runs(route: &str, prompt: &str, events: u64) {
    let (store, workers) = deadly_platform(events);
    let one = Instance::start("one", &store, &[]);
    let two = Instance::start("two", &store, &[one.peers]);
    let send = |round: usize| {
        for (number, instance) in [&one, &two].iter().enumerate() {
            let id = format!("{round}-{number}");
            instance.stream_with(&format!("/{route}{DEADLY}"), &format!("d{id}"), prompt);
            let sound = instance.stream_with(&format!("/{route}/x"), &format!("s{id}"), prompt);
            assert_eq!(sound.unwrap().status, 200, "sound request {id}");
        }
    };
    (0..8).for_each(send);
    thread::sleep(STABLE_WINDOW);
    let before = deadly_runs(&workers);
    assert!(before >= 3, "only {before} runs");
    (8..28).for_each(send);
    let late = deadly_runs(&workers) - before;
    assert!(late <= MAX_LATE_RUNS, "{late} late runs");
}

/// Guards against requests without shared parts that crash one worker after the other.
#[test]
fn a_deadly_request_without_parts_is_kept_from_the_workers() {
    check_late_runs("resumable", "", 0);
}

/// Guards against a deadly request that is never found, as others with its parts are sound.
#[test]
fn a_deadly_request_with_sound_parts_is_kept_from_the_workers() {
    check_late_runs("resumable", "aa:100,bb:50,1:10", 0);
}

/// Guards against streams that crash workers after their first events, which prove their parts sound.
#[test]
fn a_stream_that_crashes_workers_midway_is_kept_from_them() {
    check_late_runs("resumable", "aa:100,1:10", 2);
}

/// Guards against deadly requests that are found on routes of one kind alone.
#[test]
fn deadly_requests_that_run_once_are_kept_from_the_workers() {
    check_late_runs("single", "", 1);
    check_late_runs("unsafe", "", 0);
}

/// Guards against deadly requests with whole answers, which break after the head.
#[test]
fn deadly_requests_with_whole_answers_are_kept_from_the_workers() {
    check_late_runs("safe", "aa:100,1:10", 3);
}

/// Guards against an item that crashes one worker after the other, and against one that is left lying
/// when its workers are sound again.
#[test]
fn an_item_under_which_workers_crash_pauses_and_completes() {
    let (store, workers) = deadly_platform(0);
    let one = Instance::start_for_jobs("one", &store);
    assert_eq!(one.submit("job", &["deadly"]).unwrap().status, 202);
    thread::sleep(STABLE_WINDOW);
    let runs = deadly_runs(&workers);
    assert!((2..=6).contains(&runs), "{runs} runs");
    for worker in &workers {
        worker.set_deadly_path(None);
    }
    let results = one.wait_results("job", 1);
    assert_eq!(results[0]["state"], "done");
}

/// Sends a deadly request to an instance some times.
fn send_deadly(instance: &Instance, count: u32) {
    for number in 0..count {
        let id = format!("{}-{number}", instance.callers);
        instance.stream_with(&format!("/resumable{DEADLY}"), &id, "");
        thread::sleep(Duration::from_millis(50));
    }
}

/// Guards against a request that crashes more workers after each restart of all instances.
#[test]
fn a_restart_of_all_instances_forgets_no_deadly_request() {
    let (store, workers) = deadly_platform(0);
    let mut one = Instance::start("one", &store, &[]);
    send_deadly(&one, 4);
    thread::sleep(STABLE_WINDOW);
    let before = deadly_runs(&workers);
    assert!(before >= 3, "only {before} runs");
    for _ in 0..2 {
        one.kill();
        one = Instance::start("one", &store, &[]);
        send_deadly(&one, 4);
    }
    let late = deadly_runs(&workers) - before;
    assert!(late <= MAX_LATE_RUNS, "{late} late runs");
}

/// Guards against a request that crashes more workers at each side of a cut, though all sides reach
/// the store.
#[test]
fn sides_that_do_not_hear_each_other_share_what_crashes_workers() {
    let (store, workers) = deadly_platform(1);
    store.set_stale_lists("entry-instances");
    let sides = ["one", "two", "three"].map(|name| Instance::start(name, &store, &[]));
    send_deadly(&sides[0], 4);
    thread::sleep(STABLE_WINDOW);
    let before = deadly_runs(&workers);
    assert!(before >= 3, "only {before} runs");
    send_deadly(&sides[1], 4);
    send_deadly(&sides[2], 4);
    let late = deadly_runs(&workers) - before;
    assert!(late <= MAX_LATE_RUNS, "{late} late runs");
}

/// Guards against probes without a limit by instances that are killed while they run.
#[test]
fn a_probe_whose_instance_is_killed_counts() {
    let (store, workers) = deadly_platform(0);
    let mut one = Instance::start("one", &store, &[]);
    send_deadly(&one, 4);
    let before = deadly_runs(&workers);
    thread::sleep(FIRST_PROBE);
    for worker in &workers {
        worker.set_deadly_path(None);
        worker.behave(&[Behaviour::StallAfter(0)]);
    }
    let callers = one.callers;
    thread::spawn(move || {
        let headers = [("x-request-id", "probe"), ("x-deadline-ms", "5000")];
        let path = format!("/resumable{DEADLY}");
        http::call(callers, "POST", &path, &headers, "prompt")
    });
    until("the probe runs", || deadly_runs(&workers) > before);
    one.kill();
    let before = deadly_runs(&workers);
    thread::sleep(FIRST_PROBE);
    let two = Instance::start("two", &store, &[]);
    send_deadly(&two, 20);
    let late = deadly_runs(&workers) - before;
    assert!(late <= 1, "{late} late runs");
}

/// Guards against a request that stays refused after workers were repaired.
#[test]
fn a_request_that_is_proved_sound_is_forgotten_by_the_store() {
    let (store, workers) = deadly_platform(0);
    let one = Instance::start("one", &store, &[]);
    send_deadly(&one, 4);
    until("the request is stored", || !store.names(BLOCKED).is_empty());
    for worker in &workers {
        worker.set_deadly_path(None);
    }
    thread::sleep(FIRST_PROBE);
    until("the request is served", || {
        let answer = one.stream_with(&format!("/resumable{DEADLY}"), "sound", "");
        answer.is_some_and(|a| a.status == 200)
    });
    until("the store forgets", || store.names(BLOCKED).is_empty());
}
