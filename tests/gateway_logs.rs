//! Logs and metrics of the program on the platform.

mod gateway_support;
mod support;

use std::{
    process::Command,
    thread,
    time::{Duration, Instant},
};

use gateway_support::{Behaviour, Instance, platform};
use support::{http, until};

const PAUSE: Duration = Duration::from_millis(2);

/// Guards against a failed request whose cause cannot be found from its id.
#[test]
fn a_failed_request_is_explained_from_its_id() {
    let (store, workers) = platform(6, PAUSE);
    let instance = Instance::start("one", &store, &[]);
    for worker in &workers {
        worker.behave(&[Behaviour::BreakAfter(3)]);
    }
    assert!(instance.stream("/single/x", "r1").is_none());
    let mut text = String::new();
    until("the lines are written", || {
        let output = Command::new(env!("CARGO_BIN_EXE_gentianpath"))
            .args(["explain", "r1"])
            .arg(&instance.log)
            .output()
            .unwrap();
        text = String::from_utf8(output.stdout).unwrap();
        output.status.success() && text.contains("stream-broken")
    });
    for event in ["worker-chosen", "attempt-broken", "stream-broken"] {
        assert!(text.contains(&format!("event={event}")), "{event}: {text}");
    }
    assert!(text.contains("the stream ended inside an event") || text.contains("reason="));
}

/// Guards against a log reader that stops reading and thereby blocks the instance.
#[test]
fn an_unread_log_does_not_block_the_instance() {
    let (store, _workers) = platform(1, PAUSE);
    let mut instance = Instance::spawn_unread("one", &store);
    until("the instance is ready", || instance.is_ready());
    // A pipe buffers 64 KB, which about 400 lines fill.
    let started = Instant::now();
    let mut calls = 0;
    while started.elapsed() < Duration::from_secs(5) {
        let answer = instance.stream("/none/x", &format!("n{calls}")).unwrap();
        assert_eq!(answer.status, 404);
        calls += 1;
    }
    assert!(calls > 1000, "{calls} calls");
    for round in 0..20 {
        let call_started = Instant::now();
        let answer = instance.stream("/single/x", &format!("r{round}")).unwrap();
        assert_eq!(answer.status, 200);
        assert!(call_started.elapsed() < Duration::from_secs(1));
    }
    instance.terminate();
    instance.wait_end();
}

/// Guards against a flood of log lines, and against lines that are dropped without a notice.
#[test]
fn a_flood_of_failures_writes_a_bounded_number_of_lines() {
    let (store, _workers) = platform(1, PAUSE);
    let instance = Instance::start("one", &store, &[]);
    let started = Instant::now();
    let flood = |thread: usize| {
        let callers = instance.callers;
        thread::spawn(move || {
            while started.elapsed() < Duration::from_secs(3) {
                let headers = [("x-request-id", "r"), ("x-deadline-ms", "5000")];
                http::call(callers, "POST", &format!("/none/{thread}"), &headers, "");
            }
        })
    };
    let threads: Vec<_> = (0..4).map(flood).collect();
    threads.into_iter().for_each(|t| t.join().unwrap());
    thread::sleep(Duration::from_millis(1100));
    instance.stream("/none/x", "last");
    let mut log = String::new();
    until("the last line is written", || {
        log = std::fs::read_to_string(&instance.log).unwrap();
        log.contains("event=lines-omitted")
    });
    let seconds = started.elapsed().as_secs() as usize + 2;
    assert!(log.lines().count() <= 400 * seconds);
}

/// Guards against metrics that lack the outcomes of requests or the state of the instance.
#[test]
fn metrics_report_call_outcomes_and_instance_state() {
    let (store, workers) = platform(2, PAUSE);
    let instance = Instance::start("one", &store, &[]);
    assert_eq!(instance.stream("/single/x", "r1").unwrap().status, 200);
    workers.iter().for_each(|w| w.behave(&[Behaviour::Refuse]));
    assert_eq!(instance.stream("/single/x", "r2").unwrap().status, 503);
    let metrics = http::call(instance.metrics, "GET", "/metrics", &[], "").unwrap();
    let text = metrics.text();
    for expected in [
        r#"gentianpath_calls_total{end="answered""#,
        r#"gentianpath_calls_total{end="not-run""#,
        "gentianpath_config_version{",
        "gentianpath_queue_time_seconds_bucket",
        r#"gentianpath_platform_calls_total{call="list",outcome="done""#,
    ] {
        assert!(text.contains(expected), "{expected} is missing:\n{text}");
    }
}
