//! Tests of streams of the stand-in for an engine, read with the client of entry instances.

mod support;

use std::{net::SocketAddr, time::Duration};

use gentianpath::{
    engine::StreamError,
    verdict::{Reason, Verdict},
};
use serde_json::{Value, json};
use standins::{host::block_on, text};
use support::{
    call, engine, engine_client, engine_client_with, faults, generate, get, read, until,
};
use trillium_client::Method;

/// Tokens of a stream that does not end during a test.
const LONG: u64 = 1_000_000;

async fn run(address: SocketAddr, id: &str) -> Value {
    let (_, ledger) = get(address, "/ledger").await;
    let runs = ledger["runs"].as_array().unwrap();
    runs.iter()
        .find(|run| run["request"] == id)
        .cloned()
        .unwrap_or_default()
}

/// Guards against text that tests cannot predict, and against an answer with a wrong length.
#[test]
fn a_stream_carries_the_text_of_its_prompt() {
    block_on(async {
        let address = engine(&[]);
        let mut text = String::new();
        let mut stream = engine_client()
            .open(address, &generate("r", "hello", 40))
            .await
            .unwrap();
        assert_eq!(read(&mut stream, &mut text).await, Ok(40));
        assert_eq!(text, text::answer("hello", 40));
        let body = json!({ "model": "m", "max_tokens": 40, "messages": [{ "content": "hello" }] });
        let path = "/v1/chat/completions";
        let (_, whole) = call(address, Method::Post, path, Some(body), "")
            .await
            .unwrap();
        assert_eq!(whole["choices"][0]["message"]["content"], text);
    });
}

/// Checks that the ledger records exactly one stop.
fn assert_stopped_once(run: &Value) {
    let stops = run["stopped_at_us"].as_array().map(Vec::len);
    assert_eq!(stops, Some(1), "{run}");
}

/// Guards against an engine that continues after its caller disconnected, and against lost state of
/// a stopped stream.
#[test]
fn a_closed_connection_stops_the_stream_and_a_resume_completes_it() {
    block_on(async {
        let address = engine(&[]);
        let client = engine_client();
        let mut stream = client
            .open(address, &generate("r", "p", 200))
            .await
            .unwrap();
        let mut text = String::new();
        for _ in 0..5 {
            if let gentianpath::engine::Piece::Text(piece) = stream.next().await.unwrap() {
                text.push_str(&piece);
            }
        }
        let position = stream.position();
        drop(stream);
        until(async || run(address, "r").await["state"] == "stopped").await;
        let mut resumed = client.resume(address, &"r".into(), position).await.unwrap();
        assert_eq!(read(&mut resumed, &mut text).await, Ok(200));
        assert_eq!(text, text::answer("p", 200));
        let run = run(address, "r").await;
        assert_eq!(
            (&run["state"], &run["resumes"], &run["tokens"]),
            (&json!("done"), &json!(1), &json!(200))
        );
        assert_stopped_once(&run);
    });
}

/// Guards against one stream on two connections, and against a cancel without effect.
#[test]
fn a_resume_detaches_the_earlier_connection_and_a_cancel_ends_it() {
    block_on(async {
        let address = engine(&[]);
        let client = engine_client();
        let mut first = client
            .open(address, &generate("r", "p", LONG))
            .await
            .unwrap();
        first.next().await.unwrap();
        let mut second = client.resume(address, &"r".into(), 0).await.unwrap();
        let mut text = String::new();
        assert_eq!(read(&mut first, &mut text).await, Err(StreamError::Closed));
        second.next().await.unwrap();
        client.cancel(address, &"r".into()).await;
        assert_eq!(read(&mut second, &mut text).await, Err(StreamError::Closed));
        let cancelled = run(address, "r").await;
        assert_eq!(cancelled["state"], "cancelled");
        assert_stopped_once(&cancelled);
        let unknown = client
            .resume(address, &"other".into(), 0)
            .await
            .unwrap_err();
        assert_eq!(unknown.reason, Reason::NotFound);
    });
}

/// Guards against an engine that runs more streams than it has slots.
#[test]
fn streams_beyond_the_slots_wait_in_the_order_of_arrival() {
    block_on(async {
        let address = engine(&["--slots", "1", "--max-waiting", "1"]);
        let client = engine_client();
        let mut first = client
            .open(address, &generate("a", "a", LONG))
            .await
            .unwrap();
        first.next().await.unwrap();
        let mut second = client.open(address, &generate("b", "b", 3)).await.unwrap();
        until(async || client.load(address).await.unwrap().waiting == 1).await;
        assert_eq!(client.load(address).await.unwrap().running, 1);
        let third = client
            .open(address, &generate("c", "c", 3))
            .await
            .unwrap_err();
        assert_eq!(third.verdict, Verdict::NotRun);
        drop(first);
        assert_eq!(read(&mut second, &mut String::new()).await, Ok(3));
    });
}

/// Guards against stream faults without their stated effect, which tests of reassembly depend on.
/// Every broken stream completes after a resume.
#[test]
fn each_stream_fault_has_its_effect() {
    block_on(async {
        let cases = [
            ("duplicate", Ok(20)),
            ("late", Ok(20)),
            ("reorder", Err(StreamError::Disordered)),
            ("foreign", Err(StreamError::Disordered)),
            ("truncate", Err(StreamError::Closed)),
            ("silence", Err(StreamError::Stalled)),
        ];
        for (kind, end) in cases {
            let address = engine(&[]);
            let fault = json!({ "kind": kind, "after": 4, "ms": 50, "count": 1 });
            faults(address, json!({ "streams": [fault] })).await;
            let silent = end == Err(StreamError::Stalled);
            let stall = Duration::from_millis(if silent { 300 } else { 20_000 });
            let client = engine_client_with(stall);
            let mut stream = client.open(address, &generate("r", "p", 20)).await.unwrap();
            let mut text = String::new();
            assert_eq!(read(&mut stream, &mut text).await, end, "{kind}");
            if end.is_err() {
                let mut resumed = engine_client()
                    .resume(address, &"r".into(), stream.position())
                    .await
                    .unwrap();
                assert_eq!(read(&mut resumed, &mut text).await, Ok(20), "{kind}");
            }
            assert_eq!(text, text::answer("p", 20), "{kind}");
            assert_eq!(run(address, "r").await["tokens"], 20, "{kind}");
        }
    });
}

/// Guards against failures of a request that look like failures of the engine.
#[test]
fn markers_in_the_prompt_fail_one_request_and_leave_the_engine_healthy() {
    block_on(async {
        let address = engine(&[]);
        let client = engine_client();
        let invalid = client
            .open(address, &generate("a", "[[invalid]]", 5))
            .await
            .unwrap_err();
        assert_eq!(invalid.reason, Reason::Invalid);
        let (_, ledger) = get(address, "/ledger").await;
        assert_eq!(ledger["invalid"], 1);
        assert_eq!(run(address, "a").await, Value::Null);
        for id in ["b", "c"] {
            let mut stream = client
                .open(address, &generate(id, "[[fail]]", 5))
                .await
                .unwrap();
            read(&mut stream, &mut String::new()).await.unwrap_err();
            assert_eq!(run(address, id).await["state"], "failed");
        }
        let mut good = client
            .open(address, &generate("d", "good", 5))
            .await
            .unwrap();
        assert_eq!(read(&mut good, &mut String::new()).await, Ok(5));
    });
}

/// Guards against refusals that cannot be distinguished from requests that ran.
#[test]
fn refused_requests_are_reported_as_not_run() {
    block_on(async {
        let address = engine(&[]);
        let client = engine_client();
        faults(address, json!({ "refuse": { "count": 1 } })).await;
        let refused = client
            .open(address, &generate("a", "p", 5))
            .await
            .unwrap_err();
        assert_eq!(refused.verdict, Verdict::NotRun);
        let mut stream = client
            .open(address, &generate("b", "p", LONG))
            .await
            .unwrap();
        stream.next().await.unwrap();
        faults(address, json!({ "leaving": true })).await;
        let leaving = client
            .open(address, &generate("c", "p", 5))
            .await
            .unwrap_err();
        assert_eq!(leaving.verdict, Verdict::NotRun);
        assert!(client.load(address).await.unwrap().leaving);
        stream.next().await.expect("a running stream goes on");
        assert_eq!(run(address, "a").await, Value::Null);
    });
}

/// Guards against state that is lost or changed when it is moved to another engine.
#[test]
fn an_exported_stream_continues_on_another_engine() {
    block_on(async {
        let (from, to) = (engine(&[]), engine(&["--id", "engine-2"]));
        let client = engine_client();
        let mut stream = client.open(from, &generate("r", "p", 30)).await.unwrap();
        stream.next().await.unwrap();
        let position = stream.position();
        drop(stream);
        until(async || run(from, "r").await["state"] == "stopped").await;
        let (_, cache) = get(from, "/kv/r").await;
        let put = call(to, Method::Put, "/kv/r", Some(cache), "").await;
        assert_eq!(put.map(|(status, _)| status), Some(200));
        let mut text = text::token("p", 0);
        let mut resumed = client.resume(to, &"r".into(), position).await.unwrap();
        assert_eq!(read(&mut resumed, &mut text).await, Ok(30));
        assert_eq!(text, text::answer("p", 30));
    });
}
