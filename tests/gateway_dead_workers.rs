//! Workers whose processes are killed between two events of their answers.
//!
//! An answer with neither a length nor chunks ends with its connection, and the kernel closes the
//! connections of a killed process as a sound worker does.

mod gateway_support;
mod support;

use std::{collections::HashSet, thread};

use gateway_support::{
    process_fleet::{CALLERS, Fleet, KILLS, is_complete, post},
    worker_process::WorkerProcess,
};
use serde_json::Value;

/// Guards against a stream that ends as complete where its worker died.
#[test]
fn a_stream_whose_worker_is_killed_is_not_complete() {
    let mut fleet = Fleet::start("close", 20, &[]);
    let answers = fleet.answers(WorkerProcess::kill, "/resumable/x");
    fleet.check(&answers);
    assert!(answers.iter().all(is_complete), "a sound worker was there");
}

/// Guards against a stream of chunks that does not go on at another worker.
#[test]
fn a_stream_of_chunks_goes_on_after_its_worker_is_killed() {
    let mut fleet = Fleet::start("chunked", 20, &[]);
    let answers = fleet.answers(WorkerProcess::kill, "/resumable/x");
    fleet.check(&answers);
    assert!(answers.iter().all(is_complete), "a sound worker was there");
}

/// Guards against a stream that may not go on and does not look broken off.
#[test]
fn a_lone_stream_whose_worker_is_killed_looks_broken_off() {
    let mut fleet = Fleet::start("close", 20, &[]);
    let answers = fleet.answers(WorkerProcess::kill, "/single/x");
    fleet.check(&answers);
    assert!(fleet.runs().values().all(|count| *count == 1));
}

/// Guards against half of a whole answer that is passed on after its worker died.
#[test]
fn a_safe_answer_whose_worker_is_killed_is_not_complete() {
    let mut fleet = Fleet::start("close", 20, &[]);
    let answers = fleet.answers(WorkerProcess::kill, "/safe/x");
    fleet.check(&answers);
    assert!(answers.iter().all(is_complete), "a sound worker was there");
}

/// Guards against half of an answer to a request that may run once.
#[test]
fn an_unsafe_answer_whose_worker_is_killed_is_not_complete() {
    let mut fleet = Fleet::start("close", 20, &[]);
    let answers = fleet.answers(WorkerProcess::kill, "/unsafe/x");
    fleet.check(&answers);
    assert!(fleet.runs().values().all(|count| *count == 1));
}

/// Guards against half of an output that is stored as the whole one.
#[test]
fn an_item_whose_worker_is_killed_is_stored_whole() {
    let mut fleet = Fleet::start("close", 20, &[]);
    for kill in 0..KILLS {
        let job = format!("j{kill}");
        let ids: Vec<String> = (0..CALLERS).map(|n| format!("{kill}-{n}")).collect();
        let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
        assert_eq!(fleet.instance.submit(&job, &ids).unwrap().status, 202);
        fleet.end_busy(WorkerProcess::kill);
        let results = fleet.instance.wait_results(&job, CALLERS);
        assert!(results.iter().all(|r| r["state"] == "done"), "{results:?}");
        let output = Value::from(fleet.setup.output());
        let torn = results.iter().filter(|r| r["output"] != output).count();
        assert_eq!(torn, 0, "of {CALLERS} outputs are torn: {results:?}");
        fleet.restart(kill);
    }
}

/// Guards against answers of sound workers that are broken off or run again, since nothing but the
/// end of the connection marks their end.
#[test]
fn answers_that_end_with_their_connection_run_once_and_are_complete() {
    let fleet = Fleet::start("close", 5, &[]);
    let paths = ["/resumable/x", "/single/x", "/safe/x", "/unsafe/x"];
    let mut answers = Vec::new();
    for round in 0..10 {
        thread::scope(|scope| {
            let address = fleet.instance.callers;
            let send = |path: &'static str| {
                let id = format!("{round}{path}");
                scope.spawn(move || post(address, path, &id))
            };
            let sent = paths.map(send);
            answers.extend(sent.map(|s| s.join().unwrap()));
        });
    }
    assert!(answers.iter().all(is_complete), "{answers:?}");
    fleet.check(&answers);
    assert_eq!(fleet.instance.submit("j", &["a", "b"]).unwrap().status, 202);
    let results = fleet.instance.wait_results("j", 2);
    let output = Value::from(fleet.setup.output());
    assert!(results.iter().all(|r| r["output"] == output));
    let runs = fleet.setup.runs();
    let begun = runs.iter().filter(|(_, after)| after.is_none());
    let begun: HashSet<&str> = begun.map(|(id, _)| &**id).collect();
    assert_eq!(begun.len(), 10 * paths.len() + 2);
    // Where it is possible, a worker is asked once whether there are events after the last one.
    let asked = runs.iter().filter(|(_, after)| *after == Some(4));
    let asked: HashSet<&str> = asked.map(|(id, _)| &**id).collect();
    let can_ask = |id: &&&str| id.contains("/resumable/") || ["a", "b"].contains(*id);
    assert_eq!(asked, begun.iter().filter(can_ask).copied().collect());
    assert_eq!(runs.len(), begun.len() + asked.len(), "{runs:?}");
}
