//! Callers that leave, send too much, too slowly or nonsense, or do not read.

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
/// Tokens of a request that no test waits for to its end.
const ENDLESS: u64 = 1_000_000;

fn setup(options: &[&str], changes: Value) -> (Platform, Target, Entry) {
    let platform = platform();
    let worker = worker("a", options);
    let entry = entry(platform.host.address, vec![worker.info()], changes);
    (platform, worker, entry)
}

/// Waits until the engine has stopped all runs, and checks that none went to its end.
fn assert_stopped(worker: &Target) {
    wait_until(|| !worker.runs().is_empty());
    for run in worker.settled() {
        assert!(run.tokens < ENDLESS, "the engine ran to the end");
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

/// Guards against an engine that goes on generating for a caller that has left.
#[test]
fn caller_that_leaves_mid_stream_stops_the_engine() {
    let (_platform, worker, entry) = setup(&[], json!({}));
    let mut conn = begin(&entry, true);
    let mut first = [0; 64];
    conn.read_exact(&mut first).expect("a first event");
    assert_eq!(entry.ctx.drain.active(), 1, "a stream counts until its end");
    drop(conn);
    assert_stopped(&worker);
    wait_until(|| entry.ctx.drain.active() == 0);
}

/// Guards against the same while the answer is still being assembled.
#[test]
fn caller_that_leaves_a_whole_answer_stops_the_engine() {
    let (_platform, worker, entry) = setup(&[], json!({}));
    let conn = begin(&entry, false);
    wait_until(|| worker.runs().iter().any(|r| r.tokens > 0));
    drop(conn);
    assert_stopped(&worker);
}

/// Guards against an engine that goes on when the close of the connection does not reach it: the
/// cancel order stops it, too.
#[test]
fn cancel_order_stops_an_engine_that_does_not_see_the_close() {
    let platform = platform();
    let worker = worker("a", &[]);
    let address = keeping(worker.address());
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

/// Forwards connections and never closes the far side, as a broken network does.
fn keeping(upstream: std::net::SocketAddr) -> std::net::SocketAddr {
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
        // Reads on, so that the far side never sees a full buffer.
        let _ = std::io::copy(&mut from, &mut std::io::sink());
    });
}

/// Guards against a caller that never reads and so holds a worker for ever.
#[test]
fn caller_that_does_not_read_is_closed() {
    let changes = json!({ "timeouts": { "caller_write_ms": 200 } });
    let (_platform, worker, entry) = setup(&["--token-ms", "0.01"], changes);
    let conn = begin(&entry, true);
    assert_stopped(&worker);
    wait_until(|| entry.ctx.drain.active() == 0);
    drop(conn);
}

/// Guards against a caller that closes its side while it waits and so holds a worker.
#[test]
fn caller_that_closes_its_side_is_closed() {
    let (_platform, worker, entry) = setup(&[], json!({}));
    let mut conn = begin(&entry, false);
    wait_until(|| !worker.runs().is_empty());
    conn.shutdown(Shutdown::Write).expect("a shutdown");
    assert_stopped(&worker);
    receive(&mut conn);
}

/// Guards against bodies beyond the limit reaching memory or an engine, announced or in chunks.
#[test]
fn oversized_body_is_refused() {
    let changes = json!({ "limits": { "body_bytes": 2048 } });
    let (_platform, worker, entry) = setup(&[], changes);
    let long = chat(&"x".repeat(4000), 1, false);
    let answer = post(entry.address, CHAT, &[], &long);
    assert_eq!((answer.status, answer.verdict()), (413, "not-run"));

    let head = format!("POST {CHAT} HTTP/1.1\r\nhost: t\r\ntransfer-encoding: chunked\r\n\r\n");
    // A small chunk after one that is over the limit must not count as the end of a good body.
    let chunk = |size: usize| format!("{size:x}\r\n{}\r\n", "x".repeat(size));
    let chunks = [chunk(16 << 10), chunk(100)].concat();
    let mut conn = raw(entry.address, &format!("{head}{chunks}0\r\n\r\n"));
    let answer = receive(&mut conn);
    assert_eq!((answer.status, answer.verdict()), (413, "not-run"));
    assert!(worker.runs().is_empty());
}

/// Guards against a flood of bodies that are never whole and fill the memory.
#[test]
fn bodies_share_a_budget() {
    let changes = json!({ "limits": { "reading_bytes": 65536 } });
    let (_platform, worker, entry) = setup(&[], changes);
    let head = format!("POST {CHAT} HTTP/1.1\r\nhost: t\r\ncontent-length: 200000\r\n\r\n");
    let slow = raw(entry.address, &format!("{head}{}", "x".repeat(60_000)));
    let long = chat(&"x".repeat(20_000), 1, false);
    let ask = || post(entry.address, CHAT, &[], &long);
    wait_until(|| ask().status == 429);
    assert_eq!(ask().verdict(), "not-run");
    assert!(ask().header("retry-after").is_some());
    drop(slow);
    wait_until(|| ask().status == 200);
    assert!(!worker.runs().is_empty());
}

/// Guards against nonsense that reaches an engine, and against a refusal without verdict.
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

/// Guards against callers that hold connections by sending slowly: in the head, in a
/// later head, a byte at a time, in the body, and after an early end of it.
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

/// Guards against a bound on one request that closes the next one on the same connection.
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
        .expect("an answer after more than the bound on its request");
    assert!(first.starts_with(b"HTTP/1.1 200"));
    let closing = request.replace("host: t", "host: t\r\nconnection: close");
    conn.write_all(closing.as_bytes())
        .expect("a second request");
    let rest = receive(&mut conn);
    let expected = text::answer("p", 8);
    assert!(rest.body.contains(&expected), "{}", rest.body);
}
