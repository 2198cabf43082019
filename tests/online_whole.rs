//! Answers are complete and correct under faults of the engine's connection.

mod online_common;

use std::thread;

use online_common::{Target, chat, entry, platform, post, worker};
use serde_json::json;
use standins::text;

const CHAT: &str = "/v1/chat/completions";
const TOKENS: u64 = 6;
const KINDS: [&str; 5] = ["silence", "truncate", "duplicate", "reorder", "foreign"];

fn runs(workers: &[Target]) -> usize {
    workers.iter().map(|w| w.runs().len()).sum()
}

/// Guards against missing, repeated or foreign text, against a second generation, and against a
/// stream that counts as complete because its connection ended.
#[test]
fn faults_of_a_connection_do_not_show() {
    let platform = platform();
    let workers = [worker("w1", &[])];
    let entry = entry(platform.host.address, vec![workers[0].info()], json!({}));
    for kind in KINDS {
        for after in [0, 1, TOKENS] {
            let fault = json!({ "kind": kind, "after": after, "count": 1 });
            for stream in [true, false] {
                workers[0].faults(json!({ "streams": [fault] }));
                let prompt = format!("{kind} {after} {stream}");
                let before = runs(&workers);
                let answer = post(entry.address, CHAT, &[], &chat(&prompt, TOKENS, stream));
                let expected = text::answer(&prompt, TOKENS);
                if stream {
                    let events = answer.events();
                    assert_eq!((events.text, events.done), (expected, 1), "{prompt}");
                    assert!(events.errors.is_empty(), "{prompt}");
                } else {
                    assert_eq!(answer.text(), expected, "{prompt}");
                }
                assert_eq!(runs(&workers), before + 1, "{prompt}");
            }
        }
    }
}

/// Guards against a caller receiving another caller's text when many streams break at the same
/// time.
#[test]
fn each_caller_gets_its_own_answer() {
    let platform = platform();
    let workers = [worker("w1", &[]), worker("w2", &[])];
    let infos = workers.iter().map(Target::info).collect();
    let entry = entry(
        platform.host.address,
        infos,
        json!({ "timeouts": { "queue_wait_ms": 20_000 } }),
    );
    let fault = |kind| json!({ "kind": kind, "after": 2, "count": 3 });
    for worker in &workers {
        worker.faults(json!({ "streams": KINDS.map(fault) }));
    }
    let callers: Vec<_> = (0..24)
        .map(|number| {
            let address = entry.address;
            thread::spawn(move || {
                let prompt = format!("caller {number}");
                let answer = post(address, CHAT, &[], &chat(&prompt, TOKENS, true));
                assert_eq!(answer.events().text, text::answer(&prompt, TOKENS));
                assert_eq!(answer.events().done, 1);
            })
        })
        .collect();
    for caller in callers {
        caller.join().expect("a correct answer");
    }
}

/// Guards against an incomplete answer that looks complete: when the engine always fails, a stream
/// ends with an error event and no `[DONE]`, and a whole request is refused without partial text.
#[test]
fn answer_that_cannot_be_completed_is_no_answer() {
    let platform = platform();
    let workers = [worker("w1", &[])];
    let entry = entry(platform.host.address, vec![workers[0].info()], json!({}));
    let answer = post(entry.address, CHAT, &[], &chat("[[fail]]", TOKENS, true));
    let events = answer.events();
    assert_eq!(
        (events.done, events.errors.len()),
        (0, 1),
        "{}",
        answer.body
    );
    assert_eq!(events.errors[0]["verdict"], "may-have-run");
    let answer = post(entry.address, CHAT, &[], &chat("[[fail]]", TOKENS, false));
    assert_ne!(answer.status, 200);
    assert_eq!(answer.verdict(), "may-have-run");
}

/// Guards against memory use that grows with the length of an answer.
#[test]
fn whole_answer_is_bounded() {
    let platform = platform();
    let worker = worker("w1", &[]);
    let limits = json!({ "limits": { "answer_bytes": 1024 } });
    let entry = entry(platform.host.address, vec![worker.info()], limits);
    let answer = post(entry.address, CHAT, &[], &chat("long", 100_000, false));
    assert_eq!(answer.status, 413);
    assert_eq!(answer.verdict(), "may-have-run");
    let tokens = worker.finished_runs()[0].tokens;
    assert!(tokens < 100_000, "the engine kept running: {tokens}");
}

/// Guards against a model list that differs from the sheet, and against a service name that is not
/// resolved to its model.
#[test]
fn models_and_services_are_found_by_name() {
    let platform = platform();
    let worker = worker("w1", &[]);
    let entry = entry(platform.host.address, vec![worker.info()], json!({}));
    let mut conn = online_common::send(entry.address, "GET", "/v1/models", &[], "");
    let models = online_common::receive(&mut conn);
    assert!(models.body.contains("\"id\":\"m\""), "{}", models.body);
    let body = chat("p", 2, false).replace("\"model\":\"m\"", "\"model\":\"lm\"");
    assert_eq!(
        post(entry.address, CHAT, &[], &body).text(),
        text::answer("p", 2)
    );
}
