//! Answers that end with their connection, at workers that several instances share or that are silent for
//! a while.

mod gateway_support;
mod support;

use std::{thread, time::Duration};

use gateway_support::{
    Instance, Store, config,
    process_fleet::post,
    worker_process::{Setup, WorkerProcess},
};
use support::until;

/// Events of an answer, which lasts long enough for a worker to end within it on a busy machine.
const EVENTS: u64 = 50;
/// Time from the end of a worker until its process exits, in ms.
const LINGER: &str = "2000";
/// Times for which a sound worker is silent after its answer.
const SILENCES: [Duration; 3] = [
    Duration::from_millis(500),
    Duration::from_millis(1000),
    Duration::from_millis(1500),
];

/// A worker whose answers end with their connection, and two instances that use it.
struct Side {
    setup: Setup,
    worker: WorkerProcess,
    instances: [Instance; 2],
    _store: Store,
    _folder: tempfile::TempDir,
}

impl Side {
    fn start(events: u64, options: &[&str]) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let setup = Setup {
            events,
            pause_ms: 20,
            framing: "close".to_owned(),
            version: "t",
            options: options.iter().map(|o| (*o).to_owned()).collect(),
            ledger: folder.path().join("ledger"),
        };
        let store = Store::start();
        let worker = WorkerProcess::start(&store, &setup, "w1", 1);
        store.put("config", "main", config(1));
        let one = Instance::start("one", &store, &[]);
        let two = Instance::start_for_jobs("two", &store);
        Self {
            setup,
            worker,
            instances: [one, two],
            _store: store,
            _folder: folder,
        }
    }
}

/// Sends one request to each instance, whose worker closes both answers and exits long after, and checks
/// that no answer is short and looks complete.
fn check_shared(path: &str) {
    let side = Side::start(
        EVENTS,
        &["--ending", "close-running", "--linger-ms", LINGER],
    );
    let answers = thread::scope(|scope| {
        let sent = side.instances.each_ref().map(|instance| {
            let (address, id) = (instance.callers, format!("r{}", instance.callers.port()));
            scope.spawn(move || post(address, path, &id))
        });
        until("the worker runs both requests", || {
            side.worker.running() == 2
        });
        side.worker.standin.process.end_worker();
        sent.map(|s| s.join().unwrap())
    });
    let complete = answers.iter().flatten().filter(|a| a.status == 200);
    let whole = side.setup.answer();
    let short = complete.filter(|a| a.text() != whole).count();
    assert_eq!(short, 0, "of {} answers are short", answers.len());
}

/// Sends a request whose worker is silent right after the end of its answer, and checks that the answer is
/// whole and ran once.
fn check_silent(path: &str) {
    let side = Side::start(10, &[]);
    let [instance, _] = &side.instances;
    for (n, silence) in SILENCES.into_iter().enumerate() {
        let answer = thread::scope(|scope| {
            let sent = scope.spawn(|| post(instance.callers, path, &format!("s{n}")));
            until("the request runs", || side.setup.runs().len() > n);
            until("the answer ends", || side.worker.running() == 0);
            side.worker.standin.process.pause();
            thread::sleep(silence);
            side.worker.standin.process.resume();
            sent.join().unwrap()
        });
        let text = answer.filter(|a| a.status == 200).map(|a| a.text());
        assert_eq!(text, Some(side.setup.answer()), "silent for {silence:?}");
        assert_eq!(side.setup.runs().len(), n + 1, "silent for {silence:?}");
    }
}

/// Guards against short streams that look complete, as each instance sees one of the answers that a worker
/// closes.
#[test]
fn lone_streams_that_a_worker_closes_at_two_instances_look_broken_off() {
    check_shared("/single/x");
}

/// Guards against short whole answers, as each instance sees one of the answers that a worker closes.
#[test]
fn unsafe_answers_that_a_worker_closes_at_two_instances_are_not_complete() {
    check_shared("/unsafe/x");
}

/// Guards against a whole stream that is broken off, as its sound worker is silent after it.
#[test]
fn a_lone_stream_whose_worker_is_silent_after_its_end_is_complete() {
    check_silent("/single/x");
}

/// Guards against a whole answer that gets 502, as its sound worker is silent after it.
#[test]
fn an_unsafe_answer_whose_worker_is_silent_after_its_end_is_complete() {
    check_silent("/unsafe/x");
}

/// Guards against a whole answer that is run again, as its sound worker is silent after it.
#[test]
fn a_safe_answer_whose_worker_is_silent_after_its_end_is_run_once() {
    check_silent("/safe/x");
}
