//! Callers that disconnect, send too much, too slowly or malformed requests, or do not read.

mod online_common;

use std::{
    io::{Read, Write},
    net::{Shutdown, TcpStream},
};

use online_common::{
    Entry, Platform, Target, chat, entry, platform, post, raw, receive, send, wait_until, worker,
};
use serde_json::{Value, json};
use standins::text;

const CHAT: &str = "/v1/chat/completions";
/// Tokens of a request that never ends within a test.
const ENDLESS: u64 = 1_000_000;

fn setup(options: &[&str], changes: Value) -> (Platform, Target, Entry) {
    let platform = platform();
    let worker = worker("a", options);
    let entry = entry(platform.host.address, vec![worker.info()], changes);
    (platform, worker, entry)
}

/// Waits until the engine has stopped all runs, and checks that none was completed.
fn assert_stopped(worker: &Target) {
    wait_until(|| !worker.runs().is_empty());
    for run in worker.finished_runs() {
        assert!(run.tokens < ENDLESS, "the engine completed the run");
    }
}

fn begin(entry: &Entry, stream: bool) -> TcpStream {
    send(
        entry.address,
        "POST",
        CHAT,
        &[],
        &chat("p", ENDLESS, stream),
    )
}

/// Guards against an engine that keeps generating for a caller that has disconnected.
#[test]
fn caller_that_leaves_mid_stream_stops_the_engine() {
    let (_platform, worker, entry) = setup(&[], json!({}));
    let mut conn = begin(&entry, true);
    let mut first = [0; 64];
    conn.read_exact(&mut first).expect("a first event");
    assert_eq!(
        entry.ctx.drain.active(),
        1,
        "a stream counts as active until its end"
    );
    drop(conn);
    assert_stopped(&worker);
    wait_until(|| entry.ctx.drain.active() == 0);
}

/// Guards against the same for a whole answer that is still being collected.
#[test]
fn caller_that_leaves_a_whole_answer_stops_the_engine() {
    let (_platform, worker, entry) = setup(&[], json!({}));
    let conn = begin(&entry, false);
    wait_until(|| worker.runs().iter().any(|r| r.tokens > 0));
    drop(conn);
    assert_stopped(&worker);
}

/// Guards against an engine that keeps generating when it does not observe the close of the
/// connection: the cancel order must stop it.
#[test]
fn cancel_order_stops_an_engine_that_does_not_see_the_close() {
    let platform = platform();
    let worker = worker("a", &[]);
    let address = half_open_proxy(worker.address());
    let entry = entry(
        platform.host.address,
        vec![online_common::info("a", address)],
        json!({}),
    );
    let mut conn = begin(&entry, true);
    let mut first = [0; 64];
    conn.read_exact(&mut first).expect("a first event");
    drop(conn);
    assert_stopped(&worker);
    assert_eq!(
        worker.runs()[0].state,
        standins::engine::RunState::Cancelled
    );
}

/// Starts a proxy that never closes its connections to the engine, as after a network failure.
fn half_open_proxy(upstream: std::net::SocketAddr) -> std::net::SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        let mut kept = Vec::new();
        for near in listener.incoming() {
            let near = near.expect("a connection");
            let far = TcpStream::connect(upstream).expect("an engine");
            kept.push(far.try_clone().expect("a socket"));
            pipe(near.try_clone(), far.try_clone());
            pipe(Ok(far), Ok(near));
        }
    });
    address
}

fn pipe(from: std::io::Result<TcpStream>, to: std::io::Result<TcpStream>) {
    let (mut from, mut to) = (from.expect("a socket"), to.expect("a socket"));
    std::thread::spawn(move || {
        let _ = std::io::copy(&mut from, &mut to);
        // Keeps reading, so that the sender's buffer never fills.
        let _ = std::io::copy(&mut from, &mut std::io::sink());
    });
}

/// Guards against a caller that never reads occupying a worker for ever.
#[test]
fn caller_that_does_not_read_is_closed() {
    let changes = json!({ "timeouts": { "caller_write_ms": 200 } });
    let (_platform, worker, entry) = setup(&["--token-ms", "0.01"], changes);
    let conn = begin(&entry, true);
    assert_stopped(&worker);
    wait_until(|| entry.ctx.drain.active() == 0);
    drop(conn);
}

/// Guards against a caller that closes its side while waiting and keeps occupying a worker.
#[test]
fn caller_that_closes_its_side_is_closed() {
    let (_platform, worker, entry) = setup(&[], json!({}));
    let mut conn = begin(&entry, false);
    wait_until(|| !worker.runs().is_empty());
    conn.shutdown(Shutdown::Write).expect("a shutdown");
    assert_stopped(&worker);
    receive(&mut conn);
}

/// Guards against oversized bodies being buffered or sent to an engine, with a content length or in
/// chunks.
#[test]
fn oversized_body_is_refused() {
    let changes = json!({ "limits": { "body_bytes": 2048 } });
    let (_platform, worker, entry) = setup(&[], changes);
    let long = chat(&"x".repeat(4000), 1, false);
    let answer = post(entry.address, CHAT, &[], &long);
    assert_eq!((answer.status, answer.verdict()), (413, "not-run"));

    let head = format!("POST {CHAT} HTTP/1.1\r\nhost: t\r\ntransfer-encoding: chunked\r\n\r\n");
    // A small chunk after an oversized one must not make the body look acceptable.
    let chunk = |size: usize| format!("{size:x}\r\n{}\r\n", "x".repeat(size));
    let chunks = [chunk(16 << 10), chunk(100)].concat();
    let mut conn = raw(entry.address, &format!("{head}{chunks}0\r\n\r\n"));
    let answer = receive(&mut conn);
    assert_eq!((answer.status, answer.verdict()), (413, "not-run"));
    assert!(worker.runs().is_empty());
}

/// Guards against many incomplete bodies exhausting memory.
#[test]
fn bodies_share_a_budget() {
    let changes = json!({ "limits": { "reading_bytes": 65536 } });
    let (_platform, worker, entry) = setup(&[], changes);
    let head = format!("POST {CHAT} HTTP/1.1\r\nhost: t\r\ncontent-length: 200000\r\n\r\n");
    let slow = raw(entry.address, &format!("{head}{}", "x".repeat(60_000)));
    let long = chat(&"x".repeat(20_000), 1, false);
    let request = || post(entry.address, CHAT, &[], &long);
    wait_until(|| request().status == 429);
    assert_eq!(request().verdict(), "not-run");
    assert!(request().header("retry-after").is_some());
    drop(slow);
    wait_until(|| request().status == 200);
    assert!(!worker.runs().is_empty());
}

/// Guards against malformed requests reaching an engine, and against refusals without a verdict.
#[test]
fn malformed_requests_are_refused() {
    let (_platform, worker, entry) = setup(&[], json!({}));
    let good = chat("p", 1, false);
    let bodies = [
        "",
        "{",
        "[]",
        "{}",
        "\u{0}",
        &good.replace("\"messages\"", "\"other\""),
        &good.replace("false", "\"yes\""),
        &good.replace("\"role\"", "\"rolle\""),
        &good.replace("\"model\":\"m\"", "\"model\":7"),
    ];
    for body in bodies {
        let answer = post(entry.address, CHAT, &[], body);
        assert_eq!(
            (answer.status, answer.verdict()),
            (400, "not-run"),
            "{body}"
        );
    }
    let unknown = good.replace("\"model\":\"m\"", "\"model\":\"x\"");
    assert_eq!(post(entry.address, CHAT, &[], &unknown).status, 404);
    for header in [
        ("gentianpath-repeat", "perhaps"),
        ("gentianpath-team", "a.b/c"),
        ("idempotency-key", ""),
    ] {
        let answer = post(entry.address, CHAT, &[header], &good);
        assert_eq!(
            (answer.status, answer.verdict()),
            (400, "not-run"),
            "{header:?}"
        );
    }
    let mut conn = raw(entry.address, "NONSENSE\r\n\r\n");
    assert_eq!(receive(&mut conn).status, 400);
    assert!(worker.runs().is_empty());
    assert_eq!(
        post(entry.address, CHAT, &[], &good).text(),
        text::answer("p", 1)
    );
}

/// Guards against callers that keep connections open by sending slowly: in the first head, a byte
/// at a time, in a later head, in the body, and after ending the body early.
#[test]
fn slow_callers_are_closed() {
    let changes = json!({ "timeouts": { "request_read_ms": 200 } });
    let (_platform, worker, entry) = setup(&[], changes);
    let head = format!("POST {CHAT} HTTP/1.1\r\nhost: t\r\n");

    let mut conn = raw(entry.address, &head);
    assert_eq!(receive(&mut conn).status, 0);

    let mut conn = raw(
        entry.address,
        &format!("{head}content-length: 100\r\n\r\n{{"),
    );
    let answer = receive(&mut conn);
    assert_eq!((answer.status, answer.verdict()), (504, "not-run"));

    let mut conn = raw(
        entry.address,
        &format!("{head}content-length: 100\r\n\r\n{{"),
    );
    conn.shutdown(Shutdown::Write).expect("a shutdown");
    let answer = receive(&mut conn);
    assert_eq!((answer.status, answer.verdict()), (400, "not-run"));

    let get = "GET /v1/models HTTP/1.1\r\nhost: t\r\n\r\n";
    let mut conn = raw(entry.address, get);
    let mut first = [0; 12];
    conn.read_exact(&mut first).expect("an answer");
    conn.write_all(head.as_bytes()).expect("a second head");
    receive(&mut conn);

    let mut conn = raw(entry.address, &head);
    while conn.write_all(b"x").is_ok() {
        std::thread::sleep(std::time::Duration::from_millis(20));
    }
    assert!(worker.runs().is_empty());
}

/// Guards against the time limit of one request closing the next one on the same connection.
#[test]
fn connection_carries_one_request_after_another() {
    let changes = json!({ "timeouts": { "request_read_ms": 500 } });
    let (_platform, _worker, entry) = setup(&["--token-ms", "100"], changes);
    let body = chat("p", 8, false);
    let request = format!(
        "POST {CHAT} HTTP/1.1\r\nhost: t\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut conn = raw(entry.address, &request);
    let mut first = [0; 16];
    conn.read_exact(&mut first)
        .expect("an answer after more than the read time limit");
    assert!(first.starts_with(b"HTTP/1.1 200"));
    let closing = request.replace("host: t", "host: t\r\nconnection: close");
    conn.write_all(closing.as_bytes())
        .expect("a second request");
    let rest = receive(&mut conn);
    let expected = text::answer("p", 8);
    assert!(rest.body.contains(&expected), "{}", rest.body);
}
