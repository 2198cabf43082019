//! Tests with entry instances, engines and the platform as processes.

mod support;

use serde_json::json;
use standins::text;
use support::{
    Fleet,
    link::{Link, State},
    until,
};

/// Guards against a harness or an entry instance that does not start to serve.
#[test]
fn a_fleet_of_processes_serves_whole_answers() {
    let fleet = Fleet::running(2, 2);
    for (i, entry) in fleet.entries.iter().enumerate() {
        let prompt = format!("question {i}");
        let answer = entry.chat(&prompt, 20).unwrap();
        assert_eq!(answer.content(), text::answer(&prompt, 20));
        assert_eq!(fleet.runs(&prompt).len(), 1);
    }
}

/// Guards against a planned stop that cuts off the requests in flight.
#[test]
fn a_planned_stop_finishes_the_stream_in_flight() {
    let mut fleet = Fleet::running(1, 1);
    let entry = &fleet.entries[0];
    let answer = std::thread::scope(|scope| {
        let request = scope.spawn(|| entry.chat_with("long", 300, true, &[]).unwrap());
        until("the stream runs", || !fleet.runs("long").is_empty());
        entry.process.terminate();
        request.join().unwrap()
    });
    assert_eq!(answer.events().last().map(String::as_str), Some("[DONE]"));
    assert_eq!(fleet.entries[0].process.exit_code(), Some(0));
}

/// Guards against requests that fail because an engine died: a request without forwarded text is
/// retried on another engine.
#[test]
fn requests_after_the_death_of_an_engine_are_answered_by_another() {
    let mut fleet = Fleet::running(2, 1);
    fleet.targets[0].process.kill();
    for i in 0..8 {
        let prompt = format!("after {i}");
        let answer = fleet.entries[0].chat(&prompt, 5).unwrap();
        assert_eq!(
            (answer.status, answer.content()),
            (200, text::answer(&prompt, 5))
        );
    }
}

/// Guards against an entry instance without the latest sheet after a pause or a restart.
#[test]
fn a_paused_and_a_restarted_instance_serve_the_latest_sheet() {
    let mut fleet = Fleet::running(1, 2);
    fleet.entries[1].process.pause();
    let mut changed = support::sheet();
    changed["teams"] = json!([{ "name": "t", "online_limit": 3 }]);
    let revision = fleet.entries[0].push_sheet(&changed);
    fleet.entries[1].process.resume();
    let paused = &fleet.entries[1];
    until("the paused instance has the sheet", || {
        paused.status()["sheet"]["revision"] == revision
    });
    fleet.entries[0].restart();
    let restarted = &fleet.entries[0];
    until("the restarted instance has the sheet", || {
        restarted.status()["sheet"]["revision"] == revision
    });
}

/// Guards against an entry instance that needs the platform to answer online requests, and against
/// one that does not reconnect after its connections were closed or stalled.
#[test]
fn an_instance_without_its_platform_answers_online_requests_and_catches_up() {
    for state in [State::Silent, State::Cut] {
        let mut fleet = Fleet::running(1, 1);
        let link = Link::new(fleet.platform.address);
        let platform = json!({ "platform_address": link.address.to_string() });
        let peers = fleet.entries[0].peer.to_string();
        let mut changes = platform;
        changes["peers"] = json!([peers]);
        fleet.add_entry("entry-linked", changes);
        let linked = &fleet.entries[1];
        let answers = |prompt: &str| {
            let answer = linked.chat(prompt, 5);
            answer.is_some_and(|a| a.content() == text::answer(prompt, 5))
        };
        until("the workers are known", || answers("before"));
        link.set(state);
        assert!(answers("during"), "{state:?}");
        link.set(State::Open);
        let mut changed = support::sheet();
        changed["throughput_weight"] = json!(0.6);
        let revision = fleet.entries[0].push_sheet(&changed);
        until("the sheet is in force", || {
            linked.status()["sheet"]["revision"] == revision
        });
        assert!(answers("after"), "{state:?}");
    }
}

/// Guards against an engine that is still used after its removal from the list.
#[test]
fn an_engine_off_the_list_gets_no_new_requests() {
    let fleet = Fleet::running(2, 1);
    fleet.unlist("targets", "engine-0");
    until("the engine is removed", || {
        let status = fleet.entries[0].status();
        status["workers"].as_array().is_some_and(|w| w.len() == 1)
    });
    for i in 0..6 {
        let prompt = format!("p{i}");
        assert_eq!(fleet.entries[0].chat(&prompt, 3).unwrap().status, 200);
        assert_eq!(fleet.targets[0].runs(&prompt).len(), 0);
    }
}

/// Guards against new work for a stopping engine, and against a stop that cuts off its streams.
#[test]
fn a_stopping_engine_finishes_its_stream_and_gets_no_new_one() {
    let mut fleet = Fleet::running(1, 1);
    let entry = &fleet.entries[0];
    let answer = std::thread::scope(|scope| {
        let request = scope.spawn(|| entry.chat("long", 400).unwrap());
        until("the stream runs", || !fleet.runs("long").is_empty());
        fleet.targets[0].process.terminate();
        until("new requests are refused", || {
            entry
                .chat("new", 1)
                .is_some_and(|answer| answer.status != 200)
        });
        request.join().unwrap()
    });
    assert_eq!(answer.content(), text::answer("long", 400));
    assert_eq!(fleet.targets[0].process.exit_code(), Some(0));
}
