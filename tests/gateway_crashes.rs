//! Parts of prompts that crash each worker that begins to write an answer on them.

mod gateway_support;
mod support;

use std::{
    thread,
    time::{Duration, Instant},
};

use gateway_support::{Instance, Store, Worker, platform};

const PAUSE: Duration = Duration::from_millis(2);

/// Requests with a part that crashes workers which may still reach workers some time after the fifth
/// crash, by the platform's rules.
const MAX_LATE_RUNS: usize = 3;
/// That time, the platform's `stable_window_ms`.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// Time within which an item runs, whatever its parts did to others: a fifth of `item_ttl_s`.
const ITEM_LIMIT: Duration = Duration::from_secs(12);

/// Starts a store with workers of which each breaks the answers to prompts with the part `dead`.
fn deadly_platform() -> (Store, Vec<Worker>) {
    let (store, first) = platform(3, PAUSE);
    let more = (3..=8).map(|n| Worker::start(&format!("w{n}"), 3, PAUSE));
    let workers: Vec<Worker> = first.into_iter().chain(more).collect();
    for worker in &workers {
        worker.set_deadly("dead:");
        store.put("servers", &worker.id, worker.entry("ready"));
    }
    (store, workers)
}

/// Returns the number of requests with the part that reached workers.
fn deadly_runs(workers: &[Worker]) -> usize {
    let runs = workers.iter().flat_map(Worker::runs);
    let is_deadly = |r: &gateway_support::Request| {
        let prompt = r.header("x-prompt-prefix").unwrap_or_default();
        prompt.contains("dead:")
    };
    runs.filter(is_deadly).count()
}

/// Guards against requests that crash one worker after the other, whichever instance they come to,
/// while sound ones that share all other parts are served.
#[test]
fn a_part_that_crashes_workers_is_kept_from_them_by_all_instances() {
    let (store, workers) = deadly_platform();
    let one = Instance::start("one", &store, &[]);
    let two = Instance::start("two", &store, &[one.peers]);
    let instances = [&one, &two];
    let send = |round: usize| {
        for (number, instance) in instances.iter().enumerate() {
            let id = format!("{round}-{number}");
            let last = 0x100 + 2 * round + number;
            let prompt = format!("aa:100,dead:50,bb:20,{last:x}:10");
            instance.stream_with("/resumable/x", &format!("d{id}"), &prompt);
            let prompt = format!("aa:100,bb:20,{last:x}:10");
            let sound = instance.stream_with("/resumable/x", &format!("s{id}"), &prompt);
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

/// Guards against an instance that forgets the part with a restart and crashes more workers, though
/// others know it.
#[test]
fn an_instance_that_starts_after_the_crashes_keeps_the_part_from_workers() {
    let (store, workers) = deadly_platform();
    let one = Instance::start("one", &store, &[]);
    let send = |instance: &Instance, count: u32| {
        for last in 0..count {
            let id = format!("{}-{last}", instance.callers);
            let prompt = format!("aa:100,dead:50,{last:x}:10");
            instance.stream_with("/resumable/x", &id, &prompt);
            thread::sleep(Duration::from_millis(50));
        }
    };
    send(&one, 10);
    thread::sleep(STABLE_WINDOW);
    let before = deadly_runs(&workers);
    let two = Instance::start("two", &store, &[one.peers]);
    thread::sleep(Duration::from_millis(200));
    send(&two, 10);
    let late = deadly_runs(&workers) - before;
    assert!(late <= MAX_LATE_RUNS, "{late} late runs");
}

/// Guards against batch items that crash one worker after the other, and against a job that waits
/// for them.
#[test]
fn an_item_with_a_part_that_crashes_workers_waits_and_its_neighbours_complete() {
    let (store, workers) = deadly_platform();
    let one = Instance::start_for_jobs("one", &store);
    let items = [
        ("d1", "aa:100,dead:50,1:10"),
        ("s1", "aa:100,2:10"),
        ("d2", "aa:100,dead:50,3:10"),
        ("s2", "aa:100,4:10"),
    ];
    assert_eq!(one.submit_with("job", &items).unwrap().status, 202);
    thread::sleep(STABLE_WINDOW);
    let before = deadly_runs(&workers);
    assert!(before >= 3, "only {before} runs");
    thread::sleep(STABLE_WINDOW);
    let late = deadly_runs(&workers) - before;
    assert!(late <= MAX_LATE_RUNS, "{late} late runs");
    let results = one.wait_results("job", 2);
    let done: Vec<_> = results.iter().map(|r| r["id"].as_str().unwrap()).collect();
    assert_eq!(done.len(), 2);
    assert!(done.contains(&"s1") && done.contains(&"s2"), "{done:?}");
}

/// Guards against an item that stays owed for ever, as a part that it shares with requests that
/// crashed workers is kept from them.
#[test]
fn an_item_with_a_blocked_part_runs_and_completes() {
    let (store, workers) = deadly_platform();
    let one = Instance::start_for_jobs("one", &store);
    // Long enough for the first probe, which crashes a worker too.
    for last in 0..40 {
        let prompt = format!("aa:100,dead:50,{last:x}:10");
        let path = format!("/resumable/{last}");
        one.stream_with(&path, &format!("d{last}"), &prompt);
        thread::sleep(Duration::from_millis(150));
    }
    for worker in &workers {
        worker.set_deadly("none:");
    }
    let items = [("i1", "aa:100,dead:50,77:10")];
    assert_eq!(one.submit_with("job", &items).unwrap().status, 202);
    let submitted = Instant::now();
    let results = one.wait_results("job", 1);
    assert_eq!(results[0]["state"], "done");
    assert!(
        submitted.elapsed() < ITEM_LIMIT,
        "{:?}",
        submitted.elapsed()
    );
}
