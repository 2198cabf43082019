//! Verdicts are checked against the engines' ledgers, for each way in which a request can fail.

mod online_common;

use std::{
    io::{ErrorKind, Read},
    net::{TcpListener, TcpStream},
    thread,
};

use gentianpath::{context::Command, view::WorkerInfo};
use online_common::{
    Answer, DeadAddress, EngineProxy, Entry, SLOTS, Target, chat, entry, info, platform, post,
    publish, receive, scripted, send, view, wait_until, worker,
};
use serde_json::{Value, json};
use standins::text;

const CHAT: &str = "/v1/chat/completions";
const NEVER: &[(&str, &str)] = &[("gentianpath-repeat", "never")];
const TOKENS: u64 = 5;

fn request(entry: &Entry, headers: &[(&str, &str)], prompt: &str, stream: bool) -> Answer {
    post(entry.address, CHAT, headers, &chat(prompt, TOKENS, stream))
}

fn runs(workers: &[&Target], prompt: &str) -> usize {
    let all = workers.iter().flat_map(|w| w.runs());
    all.filter(|r| &*r.prompt == prompt).count()
}

/// Guards against the verdict not-run for a request that an engine ran, and against a
/// non-repeatable request running on two engines: one engine fails in each of the ways, and the
/// other works.
#[test]
fn ledger_agrees_with_the_verdict() {
    let failures = [
        ("refused", json!({ "refuse": {} })),
        (
            "closed",
            json!({ "gate": { "outage": "close", "prefix": "/v1" } }),
        ),
        (
            "unavailable",
            json!({ "gate": { "outage": "refuse", "prefix": "/v1" } }),
        ),
        ("silent", json!({ "gate": { "outage": "silent" } })),
        (
            "broken",
            json!({ "streams": [{ "kind": "fail", "after": 0 }] }),
        ),
        (
            "broken later",
            json!({ "streams": [{ "kind": "fail", "after": 2 }] }),
        ),
        ("silent stream", json!({ "streams": [lost("silence", 0)] })),
        ("cut stream", json!({ "streams": [lost("truncate", 0)] })),
        (
            "silent later",
            json!({ "streams": [once("silence", 2), lost("silence", 0)] }),
        ),
        (
            "cut later",
            json!({ "streams": [once("truncate", 2), lost("truncate", 0)] }),
        ),
    ];
    thread::scope(|scope| {
        for (name, faults) in &failures {
            scope.spawn(move || {
                for headers in [&[], NEVER] {
                    for stream in [true, false] {
                        check_failure(&format!("{name} {stream}"), faults, headers, stream);
                    }
                }
            });
        }
    });
}

/// Breaks every connection of a stream.
fn lost(kind: &str, after: u64) -> Value {
    json!({ "kind": kind, "after": after, "resumed": true })
}

/// Breaks one connection of a stream.
fn once(kind: &str, after: u64) -> Value {
    json!({ "kind": kind, "after": after, "count": 1 })
}

/// Makes the entry instance prefer a worker over others of the same load.
fn preferred(worker: WorkerInfo) -> WorkerInfo {
    WorkerInfo {
        owner: Some("e1".into()),
        ..worker
    }
}

fn check_failure(prompt: &str, faults: &Value, headers: &[(&str, &str)], stream: bool) {
    let platform = platform();
    let (bad, good) = (worker("a", &[]), worker("b", &[]));
    bad.faults(faults.clone());
    let workers = vec![preferred(bad.info()), good.info()];
    let entry = entry(platform.host.address, workers, json!({}));
    let answer = request(&entry, headers, prompt, stream);
    let ran = runs(&[&bad, &good], prompt);
    let never = headers == NEVER;
    assert!(!never || ran <= 1, "{prompt}: ran {ran} times");
    if answer.status != 200 {
        let verdict = answer.verdict();
        assert!(
            verdict == "may-have-run" || ran == 0,
            "{prompt}: not-run, ran {ran} times"
        );
        assert!(never, "{prompt}: not retried: {}", answer.body);
        return;
    }
    if !stream {
        assert_eq!(answer.text(), text::answer(prompt, TOKENS));
        return;
    }
    let events = answer.events();
    assert_eq!(
        events.done + events.errors.len() as u32,
        1,
        "{prompt}: {}",
        answer.body
    );
    assert!(
        text::answer(prompt, TOKENS).starts_with(&events.text),
        "{prompt}"
    );
    if let Some(error) = events.errors.first() {
        assert_eq!(error["verdict"], "may-have-run", "{prompt}");
    } else {
        assert_eq!(events.text, text::answer(prompt, TOKENS), "{prompt}");
    }
}

/// Guards against the verdict not-run of the last worker hiding that an earlier one ran the
/// request.
#[test]
fn verdict_covers_all_attempts() {
    let platform = platform();
    let (bad, full) = (worker("a", &[]), worker("b", &[]));
    bad.faults(json!({ "streams": [lost("truncate", 0)] }));
    full.faults(json!({ "refuse": {} }));
    let workers = vec![preferred(bad.info()), full.info()];
    for number in 0..4 {
        let entry = entry(platform.host.address, workers.clone(), json!({}));
        let answer = request(&entry, &[], &format!("p{number}"), false);
        assert_eq!(answer.verdict(), "may-have-run");
    }
    assert_eq!(bad.runs().len(), 4);
}

/// Guards against a listener of another test that takes the address of a worker that is gone and gets its
/// requests.
#[test]
fn no_listener_takes_the_address_of_an_unreachable_worker() {
    let dead = DeadAddress::bind();
    let refused = TcpStream::connect(dead.address).map_err(|e| e.kind());
    assert_eq!(refused.err(), Some(ErrorKind::ConnectionRefused));
    let taken = TcpListener::bind(dead.address).map_err(|e| e.kind());
    assert_eq!(taken.err(), Some(ErrorKind::AddrInUse));
}

/// Guards against refusing a request that another worker would accept, and against sending requests
/// to a worker that keeps refusing connections.
#[test]
fn unreachable_worker_is_passed_over_and_ejected() {
    let platform = platform();
    let good = worker("b", &[]);
    let dead = DeadAddress::bind();
    let workers = vec![info("a", dead.address), good.info()];
    let entry = entry(platform.host.address, workers, json!({}));
    for number in 0..8 {
        let prompt = format!("p{number}");
        let answer = request(&entry, NEVER, &prompt, false);
        assert_eq!(answer.text(), text::answer(&prompt, TOKENS));
    }
}

/// Guards against a refusal without a verdict or `Retry-After` when no worker can be reached.
#[test]
fn without_a_worker_nothing_runs() {
    let platform = platform();
    let dead = DeadAddress::bind();
    for workers in [vec![], vec![info("a", dead.address)]] {
        let entry = entry(platform.host.address, workers, json!({}));
        let answer = request(&entry, &[], "p", true);
        assert_eq!((answer.status, answer.verdict()), (503, "not-run"));
        assert!(answer.header("retry-after").is_some());
    }
}

/// Guards against a stream whose engine died counting as complete or as not-run, and against
/// generating the answer again after text was forwarded.
#[test]
fn death_of_the_engine_mid_stream_is_told() {
    let platform = platform();
    let (bad, good) = (worker("a", &["--token-ms", "20"]), worker("b", &[]));
    let proxy = EngineProxy::to(bad.address());
    let behind = info("a", proxy.address);
    let entry = entry(platform.host.address, vec![behind.clone()], json!({}));
    let mut conn = send(entry.address, "POST", CHAT, &[], &chat("p", 10_000, true));
    let mut first = [0; 1];
    conn.read_exact(&mut first).expect("a first byte");
    publish(&entry.ctx, view(vec![behind, good.info()]));
    proxy.shut();
    let answer = receive(&mut conn);
    let body = &answer.body;
    assert!(body.contains("\"verdict\":\"may-have-run\""), "{body}");
    assert!(!body.contains("[DONE]"), "{body}");
    assert_eq!(runs(&[&good], "p"), 0);
}

/// Guards against losing a repeatable request whose engine dies before the first text. A
/// non-repeatable one is refused as may-have-run.
#[test]
fn death_of_the_engine_before_the_first_text() {
    for headers in [&[], NEVER] {
        let platform = platform();
        let good = worker("b", &[]);
        let bad = worker("a", &["--prefill-ms", "1000000"]);
        let proxy = EngineProxy::to(bad.address());
        let behind = info("a", proxy.address);
        let timeouts = json!({ "timeouts": { "first_token_ms": 60_000 } });
        let entry = entry(platform.host.address, vec![behind.clone()], timeouts);
        let mut conn = send(
            entry.address,
            "POST",
            CHAT,
            headers,
            &chat("p", TOKENS, true),
        );
        wait_until(|| runs(&[&bad], "p") == 1);
        publish(&entry.ctx, view(vec![behind, good.info()]));
        proxy.shut();
        let answer = receive(&mut conn);
        if headers == NEVER {
            assert_eq!(answer.verdict(), "may-have-run");
            assert_eq!(runs(&[&good], "p"), 0);
        } else {
            assert_eq!(answer.events().text, text::answer("p", TOKENS));
        }
    }
}

/// Occupies all slots of a worker with long streams.
fn occupy(entry: &Entry, worker: &Target) -> Vec<std::net::TcpStream> {
    let body = chat("busy", 10_000, true);
    let start = |_| send(entry.address, "POST", CHAT, &[], &body);
    let busy = (0..SLOTS).map(start).collect();
    wait_until(|| worker.runs().len() == SLOTS as usize);
    busy
}

/// Guards against unbounded queues in the engine: when all slots are in use a request waits for a
/// limited time, is refused as not-run and is never sent to the engine.
#[test]
fn full_workers_refuse_early() {
    let platform = platform();
    let worker = worker("a", &["--token-ms", "50"]);
    let settings = json!({ "limits": { "queued": 1 }, "timeouts": { "queue_wait_ms": 100 } });
    let entry = entry(platform.host.address, vec![worker.info()], settings);
    let busy = occupy(&entry, &worker);
    let answer = request(&entry, &[], "late", false);
    assert_eq!((answer.status, answer.verdict()), (429, "not-run"));
    assert!(answer.header("retry-after").is_some());
    assert_eq!(runs(&[&worker], "late"), 0);
    drop(busy);
}

/// Guards against a request staying in the queue after a worker became free, and against slots that
/// are never released.
#[test]
fn waiting_request_gets_the_freed_worker() {
    let platform = platform();
    let worker = worker("a", &["--token-ms", "20"]);
    let settings = json!({ "timeouts": { "queue_wait_ms": 60_000 } });
    let entry = entry(platform.host.address, vec![worker.info()], settings);
    let busy = occupy(&entry, &worker);
    let mut waiting = send(
        entry.address,
        "POST",
        CHAT,
        &[],
        &chat("late", TOKENS, false),
    );
    drop(busy);
    assert_eq!(receive(&mut waiting).text(), text::answer("late", TOKENS));
    wait_until(|| entry.ctx.workers.cell(&"a".into()).online() == 0);
}

/// Guards against a team using more than its limit of requests in flight.
#[test]
fn team_at_its_limit_is_refused() {
    let platform = platform();
    let worker = worker("a", &["--token-ms", "20"]);
    let entry = entry(platform.host.address, vec![worker.info()], json!({}));
    let team = &[("gentianpath-team", "small")];
    let busy = send(
        entry.address,
        "POST",
        CHAT,
        team,
        &chat("busy", 10_000, true),
    );
    wait_until(|| worker.runs().len() == 1);
    let answer = request(&entry, team, "late", false);
    assert_eq!((answer.status, answer.verdict()), (429, "not-run"));
    assert_eq!(request(&entry, &[], "other", false).status, 200);
    drop(busy);
}

/// Guards against batch streams that do not yield to an online request, and against an owner that
/// is not notified of the start or end of requests on its worker.
#[test]
fn batch_yields_and_the_owner_is_told() {
    let platform = platform();
    let worker = worker("a", &[]);
    let info = WorkerInfo {
        owner: Some("e2".into()),
        ..worker.info()
    };
    let entry = entry(platform.host.address, vec![info], json!({}));
    let cell = entry.ctx.workers.cell(&"a".into());
    let now = entry.ctx.workers.now();
    let batch: Vec<_> = (0..SLOTS).filter_map(|_| cell.begin_batch(now)).collect();
    assert_eq!(request(&entry, &[], "p", false).status, 200);
    assert!(batch.iter().any(|b| b.yielded.try_recv().is_ok()));
    let notification = Command::OnlineLevel {
        worker: "a".into(),
        owner: "e2".into(),
    };
    wait_until(|| entry.commands.len() == 2);
    for _ in 0..2 {
        assert_eq!(entry.commands.try_recv().as_ref(), Ok(&notification));
    }
}

/// Guards against accepting new requests during a planned stop, and against a stop that does not
/// wait for the end of running streams.
#[test]
fn draining_refuses_new_and_finishes_old() {
    let platform = platform();
    let worker = worker("a", &["--token-ms", "10"]);
    let entry = entry(platform.host.address, vec![worker.info()], json!({}));
    let drain = &entry.ctx.drain;
    let mut old = send(entry.address, "POST", CHAT, &[], &chat("old", 30, true));
    wait_until(|| worker.runs().len() == 1);
    drain.advance(gentianpath::drain::Phase::Draining);
    assert_eq!(drain.active(), 1);
    let refused = request(&entry, &[], "new", true);
    assert_eq!((refused.status, refused.verdict()), (503, "not-run"));
    let events = receive(&mut old).events();
    assert_eq!((events.text, events.done), (text::answer("old", 30), 1));
    wait_until(|| drain.active() == 0);
    assert_eq!(runs(&[&worker], "new"), 0);
}

/// Guards against the verdict not-run without the engine's own statement: after a 4xx or 5xx status
/// without the header the request may have run.
#[test]
fn only_the_engines_word_is_not_run() {
    for (status, header, verdict) in [
        (400, "", "may-have-run"),
        (404, "", "may-have-run"),
        (429, "", "may-have-run"),
        (503, "", "may-have-run"),
        (503, "gentianpath-engine-refused: not-run\r\n", "not-run"),
        (429, "gentianpath-engine-refused: not-run\r\n", "not-run"),
    ] {
        let platform = platform();
        let reply = format!("HTTP/1.1 {status} X\r\n{header}content-length: 0\r\n\r\n");
        let address = scripted(reply);
        let entry = entry(platform.host.address, vec![info("a", address)], json!({}));
        let answer = request(&entry, NEVER, "p", false);
        assert_eq!(answer.verdict(), verdict, "{status} {header}");
    }
}
