//! Non-repeatable requests through two entry instances run at most once, with resends and outages.

mod online_common;

use std::{thread, time::Duration};

use online_common::{
    Answer, Entry, Platform, Target, chat, entry, entry_with, platform, post, receive, scripted,
    send, service_target, target, view, wait_until, worker,
};
use serde_json::{Value, json};
use standins::text;

const CHAT: &str = "/v1/chat/completions";
const NON_REPEATABLE: &[(&str, &str)] =
    &[("gentianpath-repeat", "never"), ("idempotency-key", "k 1")];
const TOKENS: u64 = 5;

struct Fleet {
    platform: Platform,
    worker: Target,
    entries: [Entry; 2],
}

fn fleet(options: &[&str]) -> Fleet {
    let platform = platform();
    let worker = worker("a", options);
    let address = platform.host.address;
    let entries = [(), ()].map(|()| entry(address, vec![worker.info()], json!({})));
    Fleet {
        platform,
        worker,
        entries,
    }
}

fn request(entry: &Entry, prompt: &str, stream: bool) -> Answer {
    post(
        entry.address,
        CHAT,
        NON_REPEATABLE,
        &chat(prompt, TOKENS, stream),
    )
}

/// Guards against a second run, and against a resend that does not get the stored answer.
#[test]
fn resend_through_another_entry_gets_the_stored_answer() {
    for stream in [false, true] {
        let fleet = fleet(&[]);
        let first = request(&fleet.entries[0], "p", stream);
        let again = request(&fleet.entries[1], "p", stream);
        assert_eq!(fleet.worker.runs().len(), 1);
        if stream {
            assert_eq!(again.events(), first.events());
            assert_eq!(again.events().done, 1);
        } else {
            assert_eq!(again.body, first.body);
            assert_eq!(again.text(), text::answer("p", TOKENS));
        }
    }
}

/// Guards against two runs when a caller sends the same request through two instances concurrently.
#[test]
fn concurrent_resends_run_once() {
    let fleet = fleet(&[]);
    thread::scope(|scope| {
        for entry in fleet.entries.iter().cycle().take(8) {
            let address = entry.address;
            scope.spawn(move || post(address, CHAT, NON_REPEATABLE, &chat("p", TOKENS, false)));
        }
    });
    assert_eq!(fleet.worker.runs().len(), 1);
}

/// Guards against a second run while the first one is running, or after it was interrupted because
/// its caller left.
#[test]
fn resend_of_a_run_in_doubt_is_refused() {
    let fleet = fleet(&["--token-ms", "20"]);
    let first = &fleet.entries[0];
    let conn = send(
        first.address,
        "POST",
        CHAT,
        NON_REPEATABLE,
        &chat("p", 10_000, true),
    );
    wait_until(|| fleet.worker.runs().len() == 1);
    let body = chat("p", 10_000, true);
    let during = post(fleet.entries[1].address, CHAT, NON_REPEATABLE, &body);
    assert_eq!((during.status, during.verdict()), (409, "may-have-run"));
    drop(conn);
    fleet.worker.finished_runs();
    let after = post(fleet.entries[1].address, CHAT, NON_REPEATABLE, &body);
    assert_eq!((after.status, after.verdict()), (409, "may-have-run"));
    assert_eq!(fleet.worker.runs().len(), 1);
}

/// Guards against a run without a record, and against a second run after the answer to a write of
/// the record was lost. Each fault of the object service is active for the whole first call.
#[test]
fn faults_of_the_object_service_never_give_a_second_run() {
    let faults = [
        ("outage", json!({ "gate": { "outage": "refuse" } })),
        ("silence", json!({ "gate": { "outage": "silent" } })),
        ("lost answers", json!({ "lost": { "prefix": "once/" } })),
        (
            "one lost answer",
            json!({ "lost": { "prefix": "once/", "count": 1 } }),
        ),
        (
            "dropped writes",
            json!({ "dropped": { "prefix": "once/" } }),
        ),
        (
            "refused writes",
            json!({ "refused": { "prefix": "once/" } }),
        ),
    ];
    for (name, fault) in faults {
        let fleet = fleet(&[]);
        fleet.platform.faults(fault);
        let first = request(&fleet.entries[0], "p", false);
        let ran = fleet.worker.runs().len();
        if first.status != 200 {
            assert_eq!((first.status, first.verdict()), (503, "not-run"), "{name}");
            assert!(first.header("retry-after").is_some(), "{name}");
            assert_eq!(ran, 0, "{name}");
        }
        fleet.platform.faults(json!({}));
        let again = request(&fleet.entries[1], "p", false);
        assert!(fleet.worker.runs().len() <= 1, "{name}");
        if again.status == 200 {
            assert_eq!(again.text(), text::answer("p", TOKENS), "{name}");
        } else {
            assert_eq!(again.verdict(), "may-have-run", "{name}");
        }
    }
}

/// Guards against a failed write of the answer keeping the answer from the caller, or allowing a
/// second run.
#[test]
fn outage_at_the_store_leaves_the_answer_and_no_second_run() {
    let fleet = fleet(&["--token-ms", "50"]);
    let first = &fleet.entries[0];
    let mut conn = send(
        first.address,
        "POST",
        CHAT,
        NON_REPEATABLE,
        &chat("p", TOKENS, false),
    );
    wait_until(|| fleet.worker.runs().len() == 1);
    fleet
        .platform
        .faults(json!({ "gate": { "outage": "refuse" } }));
    assert_eq!(receive(&mut conn).text(), text::answer("p", TOKENS));
    fleet.platform.faults(json!({}));
    let again = request(&fleet.entries[1], "p", false);
    assert_eq!((again.status, again.verdict()), (409, "may-have-run"));
    assert_eq!(fleet.worker.runs().len(), 1);
}

/// Guards against a resend being refused for ever after the engine refused the first call.
#[test]
fn refused_by_the_engine_can_be_resent() {
    let fleet = fleet(&[]);
    fleet.worker.faults(json!({ "refuse": {} }));
    let first = request(&fleet.entries[0], "p", false);
    assert_eq!((first.status, first.verdict()), (429, "not-run"));
    fleet.worker.faults(json!({}));
    let again = request(&fleet.entries[1], "p", false);
    assert_eq!(again.text(), text::answer("p", TOKENS));
}

struct Services {
    _platform: Platform,
    targets: [Target; 2],
    entries: [Entry; 2],
}

/// Starts a plain service with one target in the entry instances' zone and one in another zone.
fn services() -> Services {
    let platform = platform();
    let targets = ["s1", "s2"].map(|id| target(id, &["--service", "till"]));
    let mut view = view(vec![]);
    view.services = vec![
        service_target(&targets[0], "till", "far"),
        service_target(&targets[1], "till", "z"),
    ];
    let address = platform.host.address;
    let entries = [(), ()].map(|()| entry_with(address, view.clone(), json!({})));
    Services {
        _platform: platform,
        targets,
        entries,
    }
}

fn calls(services: &Services) -> [usize; 2] {
    [services.targets[0].calls(), services.targets[1].calls()]
}

/// Guards against calls that leave the zone needlessly, that are forwarded incompletely, or that
/// reach unknown services.
#[test]
fn plain_calls_go_to_the_own_zone_first() {
    let services = services();
    let address = services.entries[0].address;
    for _ in 0..8 {
        post(address, "/services/till/a", &[], "");
    }
    assert_eq!(calls(&services), [0, 8]);
    let answer = post(address, "/services/till/a/b?c=d", &[], "body");
    let body: Value = serde_json::from_str(&answer.body).expect("JSON");
    assert_eq!(body["call"]["path"], "/a/b?c=d");
    assert_eq!(body["call"]["method"], "POST");
    assert_eq!(body["call"]["body"], "body");
    services.targets[1].faults(json!({ "gate": { "outage": "close" } }));
    assert_eq!(post(address, "/services/till/a", &[], "").status, 200);
    assert_eq!(calls(&services), [1, 9]);
    for path in ["/services/none/a", "/services/lm/a"] {
        let answer = post(address, path, &[], "");
        assert_eq!((answer.status, answer.verdict()), (404, "not-run"));
    }
}

/// Guards against a second run of a call that the sheet lists as non-repeatable, for all spellings
/// of its path: the target executes the call and the answer is lost.
#[test]
fn listed_calls_run_at_most_once() {
    for path in [
        "/receipts",
        "/receipts/",
        "//receipts",
        "/x/../receipts",
        "/%72eceipts",
        "/receipts?a=b",
    ] {
        let services = services();
        for target in &services.targets {
            target.faults(json!({ "lost": {} }));
        }
        let address = services.entries[0].address;
        let answer = post(address, &format!("/services/till{path}"), &[], "");
        assert_eq!(answer.verdict(), "may-have-run", "{path}");
        assert_eq!(calls(&services), [0, 1], "{path}");
    }
}

/// Guards against a second run of a listed call that is resent with the same key.
#[test]
fn keyed_calls_are_answered_from_the_record() {
    let services = services();
    let path = "/services/till/receipts";
    let key = &[("idempotency-key", "k")];
    let first = post(services.entries[0].address, path, key, "a");
    let again = post(services.entries[1].address, path, key, "a");
    assert_eq!((first.status, &first.body), (again.status, &again.body));
    let other = post(services.entries[1].address, path, key, "b");
    assert_eq!((other.status, other.verdict()), (409, "not-run"));
    assert_eq!(calls(&services), [0, 1]);
}

/// Guards against failing a call that one target refused and another would accept, and against a
/// wrong verdict when all targets refuse it.
#[test]
fn refused_calls_go_to_another_target() {
    let services = services();
    services.targets[1].faults(json!({ "leaving": true }));
    let address = services.entries[0].address;
    assert_eq!(
        post(address, "/services/till/receipts", &[], "").status,
        200
    );
    services.targets[0].faults(json!({ "leaving": true }));
    let answer = post(address, "/services/till/receipts", &[], "");
    assert_eq!(answer.verdict(), "not-run");
    assert_eq!(calls(&services), [1, 0]);
}

/// Guards against a target that never answers blocking its caller.
#[test]
fn silent_target_is_given_up() {
    let services = services();
    for target in &services.targets {
        target.faults(json!({ "gate": { "outage": "silent" } }));
    }
    let mut conn = send(
        services.entries[0].address,
        "GET",
        "/services/till/a",
        &[],
        "",
    );
    conn.set_read_timeout(Some(Duration::from_secs(60)))
        .expect("a time limit");
    let answer = receive(&mut conn);
    assert_eq!((answer.status, answer.verdict()), (504, "may-have-run"));
}

/// Guards against an incomplete answer being forwarded as complete, or blocking its caller.
#[test]
fn cut_answer_of_a_target_is_refused() {
    let platform = platform();
    let reply = "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\npart";
    let mut view = view(vec![]);
    let target = target("s1", &["--service", "till"]);
    view.services = vec![service_target(&target, "till", "z")];
    view.services[0].address = scripted(reply.into());
    let entry = entry_with(platform.host.address, view, json!({}));
    let answer = post(entry.address, "/services/till/a", &[], "");
    assert_eq!((answer.status, answer.verdict()), (504, "may-have-run"));
}
