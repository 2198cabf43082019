//! Requests that crash each worker that runs them, and come again with the same path and body.

mod gateway_support;
mod support;

use std::{thread, time::Duration};

use gateway_support::{Instance, Store, Worker, platform};

const PAUSE: Duration = Duration::from_millis(2);
/// Retries that may still reach workers, by the platform's rules.
const MAX_LATE_RUNS: usize = 3;
/// Time after the third crash from which on they count, the platform's `stable_window_ms`.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// Path of the requests that crash workers.
const DEADLY: &str = "/deadly";

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
