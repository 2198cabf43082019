//! Tests of orders, load, cache events and processes of the stand-in for an engine.

mod support;

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    process::{Child, Command, Stdio},
    time::Duration,
};

use gentianpath::engine::{Action, Order, OrderError};
use quickcheck::quickcheck;
use serde_json::{Value, json};
use standins::{
    host::block_on,
    prefix::{BLOCK_BYTES, CacheChange, PrefixCache, blocks},
};
use support::{
    call, engine, engine_client, faults, generate, get, platform, platform_client, read, until,
    weights,
};
use trillium_client::Method;

fn load_order(fence: u64, model: &str) -> Order {
    Order {
        fence,
        action: Action::Load,
        model: Some(model.into()),
        version: Some("2".into()),
        adapter: None,
        role: None,
    }
}

async fn model(address: SocketAddr) -> Option<String> {
    let report = engine_client().load(address).await?;
    report.model.map(|model| model.to_string())
}

/// Guards against an engine that checks fencing numbers when it should ignore them, or ignores them
/// when it should check them.
#[test]
fn an_old_fencing_number_is_refused_only_when_checked() {
    block_on(async {
        for (options, answer) in [
            (&["--check-fence"][..], Err(OrderError::Stale)),
            (&[][..], Ok(())),
        ] {
            let address = engine(options);
            let client = engine_client();
            client.order(address, &load_order(9, "new")).await.unwrap();
            until(async || model(address).await.as_deref() == Some("new")).await;
            assert_eq!(client.order(address, &load_order(8, "old")).await, answer);
            let obeyed = answer.is_ok();
            let expected = if obeyed { "old" } else { "new" };
            until(async || model(address).await.as_deref() == Some(expected)).await;
            let (_, ledger) = get(address, "/ledger").await;
            assert_eq!(ledger["orders"][1]["obeyed"], obeyed);
        }
    });
}

/// Guards against loads that bypass the weight store or do not break running streams.
#[test]
fn a_load_breaks_running_streams_and_waits_for_the_weight_store() {
    block_on(async {
        let store = weights(&["--rate", "0"]);
        faults(store, json!({ "gate": { "outage": "refuse", "count": 2 } })).await;
        let address = engine(&["--weights", &store.to_string()]);
        let client = engine_client();
        let mut stream = client
            .open(address, &generate("r", "p", 1_000_000))
            .await
            .unwrap();
        stream.next().await.unwrap();
        client
            .order(address, &load_order(1, "other"))
            .await
            .unwrap();
        read(&mut stream, &mut String::new()).await.unwrap_err();
        until(async || model(address).await.as_deref() == Some("other")).await;
        let (_, ledger) = get(store, "/ledger").await;
        let party = json!({ "model": "other", "version": "2", "party": "engine-1" });
        assert_eq!(ledger["reads"], json!([party]));
    });
}

/// Guards against a load report that is fresher than the lag allows.
#[test]
fn the_load_report_lags() {
    block_on(async {
        let address = engine(&["--load-lag-ms", "600000"]);
        let client = engine_client();
        assert_eq!(client.load(address).await.unwrap().running, 0);
        let mut stream = client
            .open(address, &generate("r", "p", 1_000_000))
            .await
            .unwrap();
        stream.next().await.unwrap();
        assert_eq!(client.load(address).await.unwrap().running, 0);
        faults(address, json!({ "load_lag_ms": 0 })).await;
        assert_eq!(client.load(address).await.unwrap().running, 1);
    });
}

/// Guards against dropped events that leave no gap in the numbers.
#[test]
fn cache_events_are_numbered_and_lost_on_demand() {
    block_on(async {
        let address = engine(&[]);
        let client = engine_client();
        faults(address, json!({ "event_gap": 1 })).await;
        for prompt in ["a", "b"] {
            let prompt = prompt.repeat(BLOCK_BYTES);
            let request = generate(&prompt[..1], &prompt, 1);
            let mut stream = client.open(address, &request).await.unwrap();
            read(&mut stream, &mut String::new()).await.unwrap();
        }
        let (_, answer) = get(address, "/events?since=0").await;
        let event =
            json!({ "seq": 2, "kind": "stored", "blocks": blocks(&"b".repeat(BLOCK_BYTES)) });
        assert_eq!(answer, json!({ "next": 2, "events": [event] }));
    });
}

quickcheck! {
    /// Guards against a prefix cache that exceeds its capacity, or whose events do not match its
    /// content.
    fn prefix_cache_is_bounded_and_its_events_add_up(prompts: Vec<u8>) -> bool {
        const CAPACITY: usize = 4;
        let mut cache = PrefixCache::new(CAPACITY);
        for prompt in prompts {
            let text = char::from(b'a' + prompt % 7).to_string();
            cache.insert(&text.repeat(BLOCK_BYTES * usize::from(prompt % 3)));
        }
        let mut content = std::collections::BTreeSet::new();
        for event in cache.since(0, Duration::ZERO) {
            for block in event.blocks {
                let changed = match event.kind {
                    CacheChange::Stored => content.insert(block),
                    CacheChange::Evicted => content.remove(&block),
                };
                if !changed {
                    return false;
                }
            }
        }
        content.len() <= CAPACITY
    }
}

/// A stand-in that runs as a process; killed on drop.
struct Process(Child, SocketAddr);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn spawn(options: &[&str]) -> Process {
    let mut child = Command::new(env!("CARGO_BIN_EXE_standin-engine"))
        .args(options)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut line = String::new();
    let stdout = child.stdout.as_mut().unwrap();
    BufReader::new(stdout).read_line(&mut line).unwrap();
    let address = line.trim().rsplit(' ').next().unwrap();
    let address = address.parse().unwrap();
    Process(child, address)
}

/// Guards against a crash that still completes streams, and against a missing registration.
#[test]
fn an_engine_registers_and_dies_after_a_number_of_tokens() {
    block_on(async {
        let list = platform(&[]);
        let mut process = spawn(&[
            "--model",
            "m",
            "--platform",
            &list.to_string(),
            "--zone",
            "z",
        ]);
        let targets = platform_client(list).instances().await.unwrap().targets;
        assert_eq!((&*targets[0].zone, targets[0].address), ("z", process.1));
        faults(process.1, json!({ "die_after_tokens": 3 })).await;
        let mut stream = engine_client()
            .open(process.1, &generate("r", "p", 9))
            .await
            .unwrap();
        let mut text = String::new();
        read(&mut stream, &mut text).await.unwrap_err();
        until(async || process.0.try_wait().unwrap().is_some()).await;
        assert_eq!(process.0.wait().unwrap().code(), Some(101));
    });
}

/// Guards against a plain service whose ledger lacks calls with lost answers.
#[test]
fn a_plain_service_lists_each_call_even_when_its_answer_is_lost() {
    block_on(async {
        let address = engine(&["--service", "receipts"]);
        faults(address, json!({ "lost": { "count": 1 } })).await;
        let body = || Some(json!({ "coin": 1 }));
        assert_eq!(
            call(address, Method::Post, "/pay?x=1", body(), "").await,
            None
        );
        let second = call(address, Method::Post, "/pay?x=1", body(), "").await;
        assert_eq!(second.map(|(status, _)| status), Some(200));
        let (_, ledger) = get(address, "/ledger").await;
        let calls: Vec<&Value> = ledger["calls"].as_array().unwrap().iter().collect();
        assert_eq!(calls.len(), 2);
        assert_eq!(calls[0]["path"], "/pay?x=1");
    });
}
