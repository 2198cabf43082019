//! Batch items whose worker stops, tested with processes.

mod support;

use serde_json::{Value, json};
use standins::text;
use support::{Fleet, Item, MODEL, until};

/// Deadline of the job, in seconds since 1970.
const DEADLINE: u64 = 4_000_000_000;
/// Tokens of an item. It takes longer than an engine waits for its streams when it stops.
const TOKENS: u64 = 400;
/// Items of the job.
const ITEMS: usize = 4;

/// Guards against work that is lost because an engine exits from a planned stop before its items end,
/// and against moves that work only with the simulated workers of other tests.
#[test]
fn items_of_a_stopping_engine_go_on_where_they_were() {
    let mut fleet = Fleet::new(&[]);
    for i in 0..2 {
        let options = ["--slots", "4", "--token-ms", "10", "--leave-ms", "3000"];
        fleet.add_engine(&format!("engine-{i}"), &options);
    }
    let timeouts = json!({"load_poll_ms": 100, "exchange_ms": 100, "leave_run_ms": 200});
    fleet.add_entry("entry-0", json!({ "timeouts": timeouts }));
    let entry = &fleet.entries[0];
    let revision = entry.push_sheet(&support::sheet());
    until("the sheet is in force", || {
        entry.status()["sheet"]["revision"] == revision
    });
    until("all workers are known", || {
        let status = entry.status();
        let workers = status["workers"].as_array().cloned().unwrap_or_default();
        workers.iter().filter(|w| w["model"] == MODEL).count() == 2
    });
    let item = |i: usize| Item::new(&format!("i{i}"), &format!("item {i}"), TOKENS);
    let items: Vec<Item> = (0..ITEMS).map(item).collect();
    let answer = entry.submit("j", DEADLINE, &items).unwrap();
    assert_eq!(answer.status, 200, "{}", answer.text());
    let runs = |engine: usize| -> Vec<Value> {
        let ledger = fleet.targets[engine].ledger();
        ledger["runs"].as_array().cloned().unwrap_or_default()
    };
    let number = |run: &Value, field: &str| run[field].as_u64().unwrap();
    let is_started = |engine: usize| runs(engine).iter().any(|r| number(r, "tokens") >= 20);
    until("items run", || is_started(0) || is_started(1));
    let (old, new) = if is_started(0) { (0, 1) } else { (1, 0) };
    fleet.targets[old].process.terminate();
    until("the job is finished", || {
        let job = entry.job("j").filter(|a| a.status == 200);
        job.is_some_and(|a| a.json()["state"] == "finished")
    });
    for (result, item) in entry.results("j").iter().zip(&items) {
        assert_eq!(result["status"], "done", "{result}");
        assert_eq!(result["text"], text::answer(&item.prompt, item.tokens));
    }
    let imported = runs(new).iter().filter(|r| r["imported"] == true).count();
    assert!(imported > 0, "no state was moved: {}", entry.process_log());
}
