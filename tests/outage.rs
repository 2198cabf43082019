//! A long outage of the platform with work in flight and a restart during it.
//!
//! The environment variable `GENTIANPATH_OUTAGE_S` sets its length in seconds.

mod support;

use std::{
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};
use standins::text;
use support::{Entry, Fleet, Item, until};

/// Length of the outage in CI, in seconds.
const CI_LENGTH_S: u64 = 6;
/// Deadline of the job, in seconds since 1970.
const DEADLINE: u64 = 4_000_000_000;
/// Number of items of the job.
const ITEMS: usize = 600;
/// Number of tokens of an item and of an online answer.
const TOKENS: u64 = 10;
/// Interval between two online requests through an entry instance.
const ONLINE_INTERVAL: Duration = Duration::from_millis(500);

fn length() -> Duration {
    let value = std::env::var("GENTIANPATH_OUTAGE_S").ok();
    let seconds = value.and_then(|v| v.parse().ok()).unwrap_or(CI_LENGTH_S);
    Duration::from_secs(seconds)
}

fn start(folder: &tempfile::TempDir) -> Fleet {
    let mut fleet = Fleet::new(&[]);
    for i in 0..3 {
        let options = ["--slots", "4", "--token-ms", "5"];
        fleet.add_engine(&format!("engine-{i}"), &options);
    }
    let timeouts = json!({
        "leave_notice_ms": 100, "load_poll_ms": 100, "exchange_ms": 100,
        "lease_ms": 1500, "renew_ms": 500, "progress_ms": 300, "platform_ms": 500,
    });
    let mut peers = Vec::new();
    for i in 0..3 {
        let mut changes = json!({ "timeouts": timeouts, "peers": peers });
        if i == 2 {
            changes["data_folder"] = json!(folder.path());
        }
        let entry = fleet.add_entry(&format!("entry-{i}"), changes);
        peers.push(entry.peer.to_string());
    }
    fleet
}

fn revision(entry: &Entry) -> Value {
    entry.status()["sheet"]["revision"].clone()
}

/// Guards against lost or repeated work, failed online requests, a sheet that reverts and a restart
/// that does not complete, during an outage of the platform of any length.
#[test]
fn a_long_outage_loses_nothing_and_online_requests_go_on() {
    let folder = tempfile::tempdir().unwrap();
    let mut fleet = start(&folder);
    let sheet_revision = fleet.entries[0].push_sheet(&support::sheet());
    for entry in &fleet.entries {
        let answer = |a: support::http::Answer| a.status == 200;
        until("it answers", || {
            revision(entry) == sheet_revision && entry.chat("warm up", 1).is_some_and(answer)
        });
    }
    let item = |i: usize| Item::new(&format!("i{i}"), &format!("item {i}"), TOKENS);
    let items: Vec<Item> = (0..ITEMS).map(item).collect();
    let accepted = fleet.entries[0].submit("j", DEADLINE, &items).unwrap();
    assert_eq!(accepted.status, 200, "{}", accepted.text());
    until("items run", || !fleet.runs("item 0").is_empty());

    let outage = json!({ "gate": { "outage": "refuse" } });
    fleet.platform.set_faults(&outage);
    let begin = Instant::now();
    let mut answered = 0;
    let mut restarted = false;
    while begin.elapsed() < length() {
        if !restarted && begin.elapsed() > length() / 2 {
            fleet.entries[2].restart();
            restarted = true;
        }
        for entry in &fleet.entries {
            let prompt = format!("online {answered}");
            let answer = entry.chat(&prompt, TOKENS).expect("an answer");
            assert_eq!(
                answer.content(),
                text::answer(&prompt, TOKENS),
                "{}",
                answer.text()
            );
            answered += 1;
        }
        thread::sleep(ONLINE_INTERVAL);
    }
    for entry in &fleet.entries {
        assert_eq!(revision(entry), sheet_revision);
        let refused = entry.submit("k", DEADLINE, &items).expect("a refusal");
        assert_eq!(refused.header("gentianpath-verdict"), Some("not-run"));
    }

    fleet.platform.set_faults(&json!({}));
    let begin = Instant::now();
    until("the job is finished", || {
        let answer = fleet.entries[2].job("j").filter(|a| a.status == 200);
        answer.is_some_and(|a| a.json()["state"] == "finished")
    });
    println!(
        "{answered} online answers; finished {:?} after the outage",
        begin.elapsed()
    );
    println!("reads {}", fleet.platform.ledger()["reads"]);
    println!("writes {}", fleet.platform.ledger()["writes"]);
    let results = fleet.entries[1].results("j");
    assert_eq!(results.len(), ITEMS);
    for (result, item) in results.iter().zip(&items) {
        assert_eq!(result["status"], "done", "{result}");
        assert_eq!(result["text"], text::answer(&item.prompt, TOKENS));
    }
    let mut changed = support::sheet();
    changed["throughput_weight"] = json!(0.7);
    let next = fleet.entries[0].push_sheet(&changed);
    until("all follow", || {
        fleet.entries.iter().all(|e| revision(e) == next)
    });
}
