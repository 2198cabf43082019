//! Workers that end by closing their answers, and close them although they go on, while they answer
//! reports.
//!
//! Nothing but the end of the connection marks the end of these answers.

mod gateway_support;
mod support;

use std::thread;

use gateway_support::{
    process_fleet::{CALLERS, Fleet, KILLS, is_complete, post},
    worker_process::WorkerProcess,
};
use serde_json::Value;
use support::http::Answer;

/// Events of an answer, which lasts long enough for a worker to end within it on a busy machine.
const EVENTS: u64 = 50;
/// Ways in which a worker ends that close the running answers first.
const ENDINGS: [&str; 3] = ["close-running", "close-all", "close-and-refuse"];
/// Time from the end of a worker until its process exits, in ms.
const LINGER: &str = "150";
/// Like `LINGER`, of a worker that takes longer to exit.
const LONG_LINGER: &str = "600";

fn fleet(ending: &str, linger: &str) -> Fleet {
    Fleet::start(
        "close",
        EVENTS,
        &["--ending", ending, "--linger-ms", linger],
    )
}

/// Starts a sound worker and one that breaks off each third answer and goes on.
fn fleet_with_breaks() -> Fleet {
    let mut fleet = Fleet::start("close", EVENTS, &[]);
    fleet.setup.options = ["--break-every", "3"].map(str::to_owned).into();
    fleet.restart(0);
    fleet
}

/// Sends requests for a path to workers that end in each way, and checks the answers. Returns them by
/// ending, with the fleet.
fn answers_of_ended(path: &str, linger: &str) -> Vec<(Fleet, Vec<Option<Answer>>)> {
    thread::scope(|scope| {
        let run = |ending: &'static str| {
            scope.spawn(move || {
                let mut fleet = fleet(ending, linger);
                let answers = fleet.answers(WorkerProcess::end, path);
                (ending, fleet, answers)
            })
        };
        let runs = ENDINGS.map(run);
        let runs = runs.map(|r| r.join().unwrap());
        let counts = runs.iter().map(|(ending, fleet, answers)| {
            let torn = fleet.torn(answers).len();
            (
                torn,
                format!("{ending}: {torn} of {} answers are torn", answers.len()),
            )
        });
        let (torn, reports): (Vec<usize>, Vec<String>) = counts.unzip();
        assert!(torn.iter().all(|t| *t == 0), "{reports:?}");
        runs.into_iter().map(|(_, f, a)| (f, a)).collect()
    })
}

fn check_resumable(linger: &str) {
    for (_, answers) in answers_of_ended("/resumable/x", linger) {
        let complete = answers.iter().filter(|a| is_complete(a)).count();
        assert_eq!(complete, answers.len(), "a sound worker was there");
    }
}

/// Checks answers that run once. Those of the worker that does not end are complete.
fn check_once(path: &str, linger: &str) {
    for (fleet, answers) in answers_of_ended(path, linger) {
        assert!(fleet.runs().values().all(|count| *count == 1));
        let complete = answers.iter().filter(|a| is_complete(a)).count();
        assert!(complete >= KILLS as usize * 2, "{complete} are complete");
    }
}

fn check_items(linger: &str) {
    thread::scope(|scope| {
        for ending in ENDINGS {
            scope.spawn(move || {
                let mut fleet = fleet(ending, linger);
                for kill in 0..KILLS {
                    check_job(&mut fleet, kill, WorkerProcess::end);
                    fleet.restart(kill);
                }
            });
        }
    });
}

/// Runs a job, during which a worker ends, and checks the outputs of its items.
fn check_job(fleet: &mut Fleet, number: u64, end: fn(&mut WorkerProcess)) {
    let job = format!("j{number}");
    let ids: Vec<String> = (0..CALLERS).map(|n| format!("{number}-{n}")).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    assert_eq!(fleet.instance.submit(&job, &ids).unwrap().status, 202);
    fleet.end_busy(end);
    let results = fleet.instance.wait_results(&job, CALLERS);
    assert!(results.iter().all(|r| r["state"] == "done"), "{results:?}");
    let output = Value::from(fleet.setup.output());
    let torn = results.iter().filter(|r| r["output"] != output).count();
    assert_eq!(torn, 0, "of {CALLERS} outputs are torn: {results:?}");
}

/// Guards against a stream that ends as complete where its worker closed it at its end.
#[test]
fn a_stream_that_its_worker_closes_at_its_end_is_not_complete() {
    check_resumable(LINGER);
}

/// Guards against a stream that ends as complete where its worker exits long after it closed it.
#[test]
fn a_stream_whose_worker_exits_late_is_not_complete() {
    check_resumable(LONG_LINGER);
}

/// Guards against a stream that may not go on and does not look broken off.
#[test]
fn a_lone_stream_that_its_worker_closes_at_its_end_looks_broken_off() {
    check_once("/single/x", LINGER);
}

/// Guards against a stream that may not go on and looks complete as its worker exits late.
#[test]
fn a_lone_stream_whose_worker_exits_late_looks_broken_off() {
    check_once("/single/x", LONG_LINGER);
}

/// Guards against half of an answer to a request that may run once.
#[test]
fn an_unsafe_answer_that_its_worker_closes_at_its_end_is_not_complete() {
    check_once("/unsafe/x", LINGER);
}

/// Guards against half of an answer to a request that may run once, of a worker that exits late.
#[test]
fn an_unsafe_answer_whose_worker_exits_late_is_not_complete() {
    check_once("/unsafe/x", LONG_LINGER);
}

/// Guards against half of a whole answer that is passed on after its worker closed it.
#[test]
fn a_safe_answer_that_its_worker_closes_at_its_end_is_run_again() {
    for linger in [LINGER, LONG_LINGER] {
        for (_, answers) in answers_of_ended("/safe/x", linger) {
            assert!(answers.iter().all(is_complete), "a sound worker was there");
        }
    }
}

/// Guards against half of an output that is stored as the whole one.
#[test]
fn an_item_that_its_worker_closes_at_its_end_is_stored_whole() {
    check_items(LINGER);
}

/// Guards against half of an output that is stored as the whole one, of a worker that exits late.
#[test]
fn an_item_whose_worker_exits_late_is_stored_whole() {
    check_items(LONG_LINGER);
}

/// Guards against streams that end as complete where a worker that goes on closed their connections.
#[test]
fn a_stream_that_a_running_worker_breaks_off_is_not_complete() {
    let fleet = fleet_with_breaks();
    let mut answers = Vec::new();
    for round in 0..KILLS {
        thread::scope(|scope| {
            let address = fleet.instance.callers;
            let send =
                |n| scope.spawn(move || post(address, "/resumable/x", &format!("{round}-{n}")));
            let sent: Vec<_> = (0..CALLERS).map(send).collect();
            answers.extend(sent.into_iter().map(|s| s.join().unwrap()));
        });
    }
    fleet.check(&answers);
    assert!(answers.iter().all(is_complete), "a sound worker was there");
}

/// Guards against half of an output that is stored as the whole one, since the worker goes on.
#[test]
fn an_item_that_a_running_worker_breaks_off_is_stored_whole() {
    let mut fleet = fleet_with_breaks();
    for round in 0..KILLS {
        check_job(&mut fleet, round, |_| {});
    }
}
