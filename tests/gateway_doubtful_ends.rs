//! Answers that end with their connection, at sound workers that are silent for a while.

mod gateway_support;
mod support;

use std::{thread, time::Duration};

use gateway_support::{
    Instance, Store, config,
    process_fleet::post,
    worker_process::{Setup, WorkerProcess},
};
use support::until;

/// Times for which a sound worker is silent after its answer.
const SILENCES: [Duration; 3] = [
    Duration::from_millis(500),
    Duration::from_millis(1000),
    Duration::from_millis(1500),
];

/// A worker whose answers end with their connection, and an instance that uses it.
struct Side {
    setup: Setup,
    worker: WorkerProcess,
    instance: Instance,
    _store: Store,
    _folder: tempfile::TempDir,
}

impl Side {
    fn start(events: u64) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let setup = Setup {
            events,
            pause_ms: 20,
            framing: "close".to_owned(),
            version: "t",
            options: Vec::new(),
            ledger: folder.path().join("ledger"),
        };
        let store = Store::start();
        let worker = WorkerProcess::start(&store, &setup, "w1", 1);
        store.put("config", "main", config(1));
        let instance = Instance::start("one", &store, &[]);
        Self {
            setup,
            worker,
            instance,
            _store: store,
            _folder: folder,
        }
    }
}

/// Sends a request whose worker is silent right after the end of its answer, and checks that the answer is
/// whole and ran once.
fn check_silent(path: &str) {
    let side = Side::start(10);
    for (n, silence) in SILENCES.into_iter().enumerate() {
        let answer = thread::scope(|scope| {
            let sent = scope.spawn(|| post(side.instance.callers, path, &format!("s{n}")));
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
