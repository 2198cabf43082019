//! Batch work yields to online requests that arrive at another entry instance of the zone.

mod support;

use serde_json::{Value, json};
use support::{Entry, Fleet, Item, MODEL, until};

/// Deadline of the job, in seconds since 1970.
const DEADLINE: u64 = 4_000_000_000;
/// Tokens of an item, so many that none ends during the test.
const LONG: u64 = 4_000;
/// Slots of the engine.
const SLOTS: usize = 4;

fn fleet() -> Fleet {
    let mut fleet = Fleet::new(&[]);
    let slots = SLOTS.to_string();
    fleet.add_engine("engine-0", &["--slots", &slots, "--token-ms", "50"]);
    for name in ["entry-0", "entry-1"] {
        fleet.add_entry(name, json!({}));
    }
    let revision = fleet.entries[0].push_sheet(&support::sheet());
    for entry in &fleet.entries {
        until("the sheet is in force", || {
            entry.status()["sheet"]["revision"] == revision
        });
    }
    until("both instances report the same owner", || {
        let owners = fleet.entries.iter().map(owner);
        let owners: Vec<Option<String>> = owners.collect();
        owners[0].is_some() && owners[0] == owners[1]
    });
    fleet
}

/// Returns the owner of the engine that an entry instance reports, once it can use the engine.
fn owner(entry: &Entry) -> Option<String> {
    let worker = &entry.status()["workers"][0];
    let owner = worker["owner"]
        .as_str()
        .filter(|_| worker["model"] == MODEL);
    owner.map(str::to_owned)
}

fn batch_runs(fleet: &Fleet) -> Vec<Value> {
    let ledger = fleet.targets[0].ledger();
    let runs = ledger["runs"].as_array().cloned().unwrap_or_default();
    let runs = runs.into_iter();
    runs.filter(|r| r["max_tokens"] == LONG).collect()
}

fn was_stopped(run: &Value) -> bool {
    run["stopped_at_us"]
        .as_array()
        .is_some_and(|s| !s.is_empty())
}

/// Guards against batch work that does not yield to online requests of an instance that holds none.
/// The load report lags, so only the notification to the owner shows these requests.
#[test]
fn batch_yields_to_an_instance_that_holds_no_batch_work() {
    let fleet = fleet();
    fleet.targets[0].set_faults(&json!({ "load_lag_ms": 600_000 }));
    let item = |i| Item::new(&format!("i{i}"), &format!("long item {i}"), LONG);
    let items: Vec<Item> = (0..2 * SLOTS).map(item).collect();
    let submitted = fleet.entries[0].submit("j", DEADLINE, &items);
    assert_eq!(submitted.map(|a| a.status), Some(200));
    until("batch work fills the engine", || {
        let runs = batch_runs(&fleet);
        runs.iter().filter(|r| r["tokens"] != 0).count() >= SLOTS
    });
    let owner = owner(&fleet.entries[0]);
    let mut entries = fleet.entries.iter();
    let other = entries.find(|e| Some(&e.name) != owner.as_ref());
    let answer = other.expect("another instance").chat("online", 3);
    assert_eq!(answer.map(|a| a.status), Some(200));
    let runs = batch_runs(&fleet);
    assert!(runs.iter().any(was_stopped), "no item yielded: {runs:?}");
}
