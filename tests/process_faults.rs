//! Faults of entry instances, peers and the platform at single steps of online requests, plain
//! calls, pushes and the leaving of targets.

mod support;

use std::{
    net::SocketAddr,
    thread::{self, JoinHandle},
    time::Duration,
};

use serde_json::{Value, json};
use standins::text;
use support::{
    Entry, Fleet, MODEL,
    http::{Answer, call},
    link::{Link, State},
    until,
};

/// Length of a pause of a process.
const PAUSE: Duration = Duration::from_secs(2);
/// Header of the token that identifies a push.
const PUSH_TOKEN: &str = "gentianpath-push-token";
/// Header of the revision that a pushed sheet is based on.
const PUSH_BASE: &str = "gentianpath-base-revision";

/// Sends a request on a new thread.
fn post(address: SocketAddr, path: &str, body: String) -> JoinHandle<Option<Answer>> {
    let path = path.to_owned();
    thread::spawn(move || call(address, "POST", &path, &[], &body))
}

fn request_text(entry: &Entry, prompt: &str, tokens: u64) -> JoinHandle<Option<Answer>> {
    let body = json!({
        "model": MODEL,
        "messages": [{ "role": "user", "content": prompt }],
        "max_tokens": tokens,
    });
    post(entry.callers, "/v1/chat/completions", body.to_string())
}

fn has_sheet(entry: &Entry, revision: u64) -> bool {
    entry.status()["sheet"]["revision"] == revision
}

/// Starts one engine with one slot, a slow plain service, and two entry instances.
fn slow_fleet() -> Fleet {
    let mut fleet = Fleet::new(&[]);
    fleet.add_engine("engine-0", &["--slots", "1", "--token-ms", "10"]);
    fleet.add_service("till-0", "till", &["--service-ms", "500"]);
    // The queue timeout is longer than a pause, so that a queued request survives it.
    let timeouts = json!({ "load_poll_ms": 100, "exchange_ms": 100, "queue_wait_ms": 20_000 });
    for name in ["entry-0", "entry-1"] {
        fleet.add_entry(name, json!({ "timeouts": timeouts }));
    }
    let revision = fleet.entries[0].push_sheet(&support::sheet());
    for entry in &fleet.entries {
        until("sheet and service are known", || {
            has_sheet(entry, revision) && entry.chat("warm up", 1).is_some_and(|a| a.status == 200)
        });
    }
    fleet
}

fn calls(fleet: &Fleet) -> usize {
    let ledger = fleet.targets[1].ledger();
    ledger["calls"].as_array().map_or(0, Vec::len)
}

/// Guards against answers that a pause of the entry instance cuts off or duplicates: of a stream, of
/// a queued request and of a plain call.
#[test]
fn a_pause_of_the_instance_cuts_off_and_doubles_nothing() {
    let fleet = slow_fleet();
    let entry = &fleet.entries[0];
    let running = request_text(entry, "running", 60);
    until("the stream runs", || !fleet.runs("running").is_empty());
    let queued = request_text(entry, "queued", 5);
    let plain = post(entry.callers, "/services/till/stock", "{}".into());
    until("the call is made", || calls(&fleet) == 1);
    entry.process.pause();
    thread::sleep(PAUSE);
    entry.process.resume();
    for (request, prompt, tokens) in [(running, "running", 60), (queued, "queued", 5)] {
        let answer = request.join().unwrap().expect("an answer");
        assert_eq!(
            answer.content(),
            text::answer(prompt, tokens),
            "{}",
            answer.text()
        );
        assert_eq!(fleet.runs(prompt).len(), 1, "{prompt}");
    }
    assert_eq!(plain.join().unwrap().map(|a| a.status), Some(200));
    assert_eq!(calls(&fleet), 1);
}

/// Guards against an engine that continues for a caller that disconnected while the entry instance
/// was paused.
#[test]
fn a_caller_that_leaves_during_a_pause_stops_the_engine() {
    let fleet = slow_fleet();
    let entry = &fleet.entries[0];
    let caller = std::net::TcpStream::connect(entry.callers).unwrap();
    let body = json!({
        "model": MODEL,
        "messages": [{ "role": "user", "content": "left" }],
        "max_tokens": 2000,
        "stream": true,
    });
    let body = body.to_string();
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    std::io::Write::write_all(&mut &caller, format!("{head}{body}").as_bytes()).unwrap();
    until("the stream runs", || !fleet.runs("left").is_empty());
    entry.process.pause();
    drop(caller);
    thread::sleep(PAUSE);
    entry.process.resume();
    until("the engine stopped", || {
        fleet.runs("left")[0]["state"] != "running"
    });
    assert!(fleet.runs("left")[0]["tokens"].as_u64() < Some(2000));
    assert_eq!(fleet.runs("left").len(), 1);
}

/// Guards against work that continues or is repeated after the entry instance died: a stream, and a
/// plain call that must not be repeated.
#[test]
fn the_death_of_the_instance_ends_its_streams_and_repeats_nothing() {
    let mut fleet = slow_fleet();
    let entry = &fleet.entries[0];
    let stream = request_text(entry, "long", 2000);
    until("the stream runs", || !fleet.runs("long").is_empty());
    let plain = post(entry.callers, "/services/till/receipts", "{}".into());
    until("the call is made", || calls(&fleet) == 1);
    fleet.entries[0].process.kill();
    assert!(
        stream.join().unwrap().is_none(),
        "a partial answer was returned"
    );
    assert!(plain.join().unwrap().is_none());
    until("the engine stopped", || {
        fleet.runs("long")[0]["state"] == "stopped"
    });
    fleet.entries[0].restart();
    let next = fleet.entries[0].chat("next", 5).unwrap();
    assert_eq!(next.content(), text::answer("next", 5), "{}", next.text());
    assert_eq!((fleet.runs("long").len(), calls(&fleet)), (1, 1));
}

/// Guards against an instance that becomes ready before it knows the workers and refuses the first
/// requests after each restart, and against one that never becomes ready without workers.
#[test]
fn a_restarted_instance_is_ready_when_it_can_answer() {
    let mut fleet = Fleet::running(2, 1);
    for i in 0..3 {
        fleet.entries[0].restart();
        let prompt = format!("first {i}");
        let answer = fleet.entries[0].chat(&prompt, 3).expect("an answer");
        assert_eq!(
            answer.content(),
            text::answer(&prompt, 3),
            "{}",
            answer.text()
        );
    }
    for engine in &mut fleet.targets {
        engine.process.kill();
    }
    fleet.entries[0].restart();
    let refused = fleet.entries[0].chat("none", 3).expect("a refusal");
    assert_eq!(refused.header("gentianpath-verdict"), Some("not-run"));
}

/// Guards against a restart that requires both the platform and the peers, and against one that fails
/// because of a pause at its beginning.
#[test]
fn a_restart_needs_the_platform_or_one_peer() {
    let mut fleet = Fleet::running(1, 1);
    let link = Link::new(fleet.platform.address);
    let peer = fleet.entries[0].peer.to_string();
    let platform = link.address.to_string();
    fleet.add_entry(
        "entry-1",
        json!({ "platform_address": platform, "peers": [peer] }),
    );
    let revision = fleet.entries[0].push_sheet(&support::sheet());
    let serves_sheet = |entry: &Entry| {
        until("the sheet is in force", || has_sheet(entry, revision));
        let answer = |a: Answer| a.content() == text::answer("p", 5);
        until("it answers", || entry.chat("p", 5).is_some_and(answer));
    };
    fleet.entries[0].process.pause();
    fleet.entries[1].restart();
    serves_sheet(&fleet.entries[1]);
    fleet.entries[0].process.resume();
    for state in [State::Silent, State::Cut] {
        link.set(state);
        fleet.entries[1].restart();
        serves_sheet(&fleet.entries[1]);
    }
    link.set(State::Open);
    fleet.entries[1].restart();
    fleet.entries[1].process.pause();
    thread::sleep(PAUSE);
    fleet.entries[1].process.resume();
    serves_sheet(&fleet.entries[1]);
}

/// Guards against a push that is lost silently or accepted twice when its instance dies or the
/// platform stops answering during the push.
#[test]
fn a_push_that_broke_off_is_accepted_once_when_sent_again() {
    let mut fleet = Fleet::running(1, 2);
    let before = fleet.entries[1].status()["sheet"]["revision"]
        .as_u64()
        .unwrap();
    let push = |address: SocketAddr, token: &str, base: u64| -> JoinHandle<Option<Answer>> {
        let mut sheet = support::sheet();
        sheet["throughput_weight"] = json!(1.0 / (base + 2) as f64);
        let (token, base) = (token.to_owned(), base.to_string());
        thread::spawn(move || {
            let headers = [(PUSH_TOKEN, &*token), (PUSH_BASE, &*base)];
            call(address, "POST", "/sheet", &headers, &sheet.to_string())
        })
    };
    let revision = |answer: Option<Answer>| -> Option<u64> {
        let answer = answer.filter(|a| a.status == 200)?;
        answer.json()["revision"].as_u64()
    };
    // The write has taken effect and its answer is outstanding when the instance dies.
    let faults = json!({ "lost": { "prefix": "sheet/", "count": 1, "silent": true } });
    fleet.platform.set_faults(&faults);
    let interrupted = push(fleet.entries[0].operators, "first", before);
    until("the write took effect", || {
        fleet.platform.ledger()["lost"] == 1
    });
    fleet.entries[0].process.kill();
    assert_eq!(revision(interrupted.join().unwrap()), None);
    fleet.platform.set_faults(&json!({}));
    let again = push(fleet.entries[1].operators, "first", before);
    let first = revision(again.join().unwrap());
    assert_eq!(first, Some(before + 1));
    // The platform does not answer before the write: the push is refused, and nothing is stored.
    let silent = json!({ "gate": { "outage": "silent", "prefix": "/objects/sheet" } });
    fleet.platform.set_faults(&silent);
    let refused = push(fleet.entries[1].operators, "second", before + 1);
    let refused = refused.join().unwrap().expect("a refusal");
    assert_eq!(refused.status, 503, "{}", refused.text());
    fleet.platform.set_faults(&json!({}));
    let again = push(fleet.entries[1].operators, "second", before + 1);
    assert_eq!(revision(again.join().unwrap()), Some(before + 2));
    fleet.entries[0].restart();
    until("both follow", || {
        fleet.entries.iter().all(|e| has_sheet(e, before + 2))
    });
}

/// Guards against new work for a target that leaves while the platform cannot report it, or while
/// the entry instance is paused: the load report of the target must be enough.
#[test]
fn a_leaving_target_gets_no_new_work_while_its_list_is_out_of_reach() {
    let faults: [fn(&Fleet, &Link); 4] = [
        |_, link| link.set(State::Silent),
        |_, link| link.set(State::Cut),
        |fleet, _| {
            let outage = json!({ "gate": { "outage": "refuse" } });
            fleet.platform.set_faults(&outage);
        },
        |fleet, _| {
            fleet.entries[1].process.pause();
            thread::sleep(PAUSE);
            fleet.entries[1].process.resume();
        },
    ];
    thread::scope(|scope| {
        for fault in faults {
            scope.spawn(move || leave_under(fault));
        }
    });
}

fn leave_under(fault: fn(&Fleet, &Link)) {
    let mut fleet = Fleet::running(2, 1);
    let link = Link::new(fleet.platform.address);
    let changes = json!({
        "platform_address": link.address.to_string(),
        "peers": [fleet.entries[0].peer.to_string()],
    });
    fleet.add_entry("entry-1", changes);
    let workers = |entry: &Entry, filter: fn(&Value) -> bool| {
        let status = entry.status();
        let workers = status["workers"].as_array().cloned();
        workers
            .unwrap_or_default()
            .iter()
            .filter(|w| filter(w))
            .count()
    };
    until("both workers are known", || {
        workers(&fleet.entries[1], |w| w["model"] == MODEL) == 2
    });
    let running = request_text(&fleet.entries[1], "stays", 400);
    until("the stream runs", || !fleet.runs("stays").is_empty());
    let leaving = fleet
        .targets
        .iter()
        .position(|t| !t.runs("stays").is_empty());
    let leaving = leaving.expect("an engine with the stream");
    fleet.targets[leaving].process.terminate();
    fault(&fleet, &link);
    until("the leaving target is known", || {
        workers(&fleet.entries[1], |w| {
            w["leaving"] == true || w["model"] != MODEL
        }) > 0
            || workers(&fleet.entries[1], |_| true) == 1
    });
    for i in 0..6 {
        let prompt = format!("new {i}");
        let answer = fleet.entries[1].chat(&prompt, 3).expect("an answer");
        assert_eq!(answer.content(), text::answer(&prompt, 3));
        assert_eq!(fleet.targets[1 - leaving].runs(&prompt).len(), 1);
    }
    let answer = running.join().unwrap().expect("an answer");
    assert_eq!(answer.content(), text::answer("stays", 400));
}
