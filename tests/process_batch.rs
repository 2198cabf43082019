//! Batch jobs while entry instances are killed and paused and the platform is down.

mod support;

use serde_json::{Value, json};
use standins::text;
use support::{Entry, Fleet, Item, MODEL, until};

/// Deadline of all jobs, in seconds since 1970.
const DEADLINE: u64 = 4_000_000_000;
/// Total slots of two engines.
const SLOTS: usize = 8;
/// Tokens of an item.
const TOKENS: u64 = 12;

/// Starts a fleet in one zone with short leases, so that takeovers happen within seconds.
fn fleet(engines: usize, entries: usize, token_ms: &str) -> Fleet {
    let mut fleet = Fleet::new(&[]);
    for i in 0..engines {
        let options = ["--slots", "4", "--token-ms", token_ms];
        fleet.add_engine(&format!("engine-{i}"), &options);
    }
    let timeouts = json!({
        "leave_notice_ms": 100, "load_poll_ms": 100, "exchange_ms": 100,
        "lease_ms": 1500, "renew_ms": 500, "progress_ms": 300, "platform_ms": 500,
        "loading_ms": 1000,
    });
    for i in 0..entries {
        fleet.add_entry(&format!("entry-{i}"), json!({ "timeouts": timeouts }));
    }
    let revision = fleet.entries[0].push_sheet(&support::sheet());
    for entry in &fleet.entries {
        until("the sheet is in force", || {
            entry.status()["sheet"]["revision"] == revision
        });
        until("all workers are known", || knows_workers(entry, engines));
    }
    fleet
}

fn knows_workers(entry: &Entry, engines: usize) -> bool {
    let status = entry.status();
    let workers = status["workers"].as_array().cloned().unwrap_or_default();
    workers.iter().filter(|w| w["model"] == MODEL).count() == engines
}

fn items(count: usize, once: bool) -> Vec<Item> {
    let item = |i: usize| Item {
        once,
        ..Item::new(&format!("i{i}"), &format!("item {i} of a job"), TOKENS)
    };
    (0..count).map(item).collect()
}

fn state(entry: &Entry, job: &str) -> Option<String> {
    let answer = entry.job(job).filter(|a| a.status == 200)?;
    answer.json()["state"].as_str().map(str::to_owned)
}

fn wait_finished(entry: &Entry, job: &str) {
    until("the job is finished", || {
        state(entry, job).as_deref() == Some("finished")
    });
}

/// Checks that each item has one result, in order, with the text of its prompt.
fn assert_complete(entry: &Entry, job: &str, items: &[Item]) {
    let results = entry.results(job);
    assert_eq!(results.len(), items.len());
    for (result, item) in results.iter().zip(items) {
        assert_eq!(result["id"], item.id.as_str());
        assert_eq!(result["status"], "done", "{result}");
        assert_eq!(result["text"], text::answer(&item.prompt, item.tokens));
    }
}

fn runs(fleet: &Fleet, prompt: &str) -> usize {
    fleet.targets.iter().map(|t| t.runs(prompt).len()).sum()
}

/// Guards against an acknowledged job that is lost with the instance that acknowledged it.
#[test]
fn a_job_survives_the_instance_that_acknowledged_it() {
    let mut fleet = fleet(2, 2, "2");
    let items = items(300, false);
    let answer = fleet.entries[0].submit("j", DEADLINE, &items).unwrap();
    assert_eq!(answer.status, 200, "{}", answer.text());
    fleet.entries[0].process.kill();
    wait_finished(&fleet.entries[1], "j");
    assert_complete(&fleet.entries[1], "j", &items);
    fleet.entries[0].restart();
    assert_complete(&fleet.entries[0], "j", &items);
}

/// Guards against a holder that is paused past the end of its lease, resumes, and commits or runs
/// items that another instance has taken over.
#[test]
fn a_holder_that_wakes_after_its_lease_neither_commits_nor_runs_again() {
    let fleet = fleet(2, 2, "20");
    let once = items(32, true);
    let answer = fleet.entries[0].submit("once", DEADLINE, &once).unwrap();
    assert_eq!(answer.status, 200, "{}", answer.text());
    until("items run", || {
        once.iter().any(|i| runs(&fleet, &i.prompt) > 0)
    });
    fleet.entries[0].process.pause();
    wait_finished(&fleet.entries[1], "once");
    let expected = fleet.entries[1].results("once");
    fleet.entries[0].process.resume();
    until("the resumed instance answers", || {
        state(&fleet.entries[0], "once").as_deref() == Some("finished")
    });
    assert_eq!(fleet.entries[0].results("once"), expected);
    for (item, result) in once.iter().zip(&expected) {
        let count = runs(&fleet, &item.prompt);
        assert!(count <= 1, "{} ran {count} times", item.id);
        assert_ne!(result["status"], "failed", "{result}");
        if result["status"] == "done" {
            assert_eq!(result["text"], text::answer(&item.prompt, item.tokens));
        }
    }
}

/// Guards against a submitter that is paused while its job is closed and submitted again through
/// another instance, and then resumes: no partial job may run, and no result may change or be lost.
#[test]
fn a_submitter_that_wakes_after_its_job_was_closed_changes_nothing() {
    let fleet = fleet(2, 2, "2");
    let items = items(160, true);
    let (paused, other) = (&fleet.entries[0], &fleet.entries[1]);
    let slow = json!({ "gate": { "delay_ms": 300, "prefix": "/objects/input" } });
    fleet.platform.set_faults(&slow);
    std::thread::scope(|scope| {
        let first = scope.spawn(|| paused.submit("j", DEADLINE, &items));
        until("the job is loading", || {
            state(other, "j").as_deref() == Some("loading")
        });
        paused.process.pause();
        until("the job is closed", || {
            state(other, "j").as_deref() == Some("abandoned")
        });
        fleet.platform.set_faults(&json!({}));
        let again = other.submit("j", DEADLINE, &items).unwrap();
        assert_eq!(again.status, 200, "{}", again.text());
        wait_finished(other, "j");
        assert_complete(other, "j", &items);
        paused.process.resume();
        let first = first.join().unwrap().expect("an answer");
        assert_eq!(first.status, 200, "{}", first.text());
    });
    assert_complete(paused, "j", &items);
    assert_eq!(state(paused, "j").as_deref(), Some("finished"));
    for item in &items {
        assert_eq!(runs(&fleet, &item.prompt), 1, "{}", item.id);
    }
}

/// Guards against an acknowledged job that waits for the paused instance that acknowledged it, and
/// against a holder that resumes after a cancel and continues the job.
#[test]
fn an_instance_that_is_paused_after_its_answer_holds_up_neither_job_nor_cancel() {
    let fleet = fleet(2, 2, "10");
    let (kept, ended) = (items(40, false), items(120, false));
    let answer = fleet.entries[0].submit("ended", DEADLINE, &ended).unwrap();
    assert_eq!(answer.status, 200, "{}", answer.text());
    until("items run", || all_runs(&fleet) > 0);
    let claimed = |entry: &Entry| entry.process_log().contains("claimed group=ended.0");
    let holder = usize::from(!claimed(&fleet.entries[0]));
    let (paused, other) = (&fleet.entries[holder], &fleet.entries[1 - holder]);
    let answer = paused.submit("kept", DEADLINE - 1, &kept).unwrap();
    assert_eq!(answer.status, 200, "{}", answer.text());
    paused.process.pause();
    let path = "/v1/batches/ended/cancel";
    let answer = support::http::call(other.callers, "POST", path, &[], "").unwrap();
    assert_eq!(answer.status, 200, "{}", answer.text());
    wait_finished(other, "kept");
    assert_complete(other, "kept", &kept);
    // The only group has ended, so the resumed holder has nothing left to claim.
    until("all items have a result", || {
        other.results("ended").len() == ended.len()
    });
    let results = other.results("ended");
    assert!(results.iter().any(|r| r["status"] == "cancelled"));
    until("no worker runs an item", || running(&fleet) == 0);
    let before = all_runs(&fleet);
    paused.process.resume();
    until("the resumed instance answers", || {
        state(paused, "ended").as_deref() == Some("cancelled")
    });
    until("no worker runs an item", || running(&fleet) == 0);
    // Runs that were started before the pause may reach their engines only now.
    let late = all_runs(&fleet) - before;
    assert!(late <= SLOTS, "{late} items ran after the cancel");
    assert_complete(paused, "kept", &kept);
}

/// Guards against a holder that is paused after its streams yielded, and resumes them after another
/// instance has finished its items.
#[test]
fn a_holder_that_is_paused_after_a_yield_does_not_resume_its_streams() {
    let fleet = fleet(2, 2, "10");
    let once = items(32, true);
    let answer = fleet.entries[0].submit("once", DEADLINE, &once).unwrap();
    assert_eq!(answer.status, 200, "{}", answer.text());
    until("items run", || running(&fleet) >= 4);
    let yielded = |entry: &Entry| entry.process_log().contains("item-yielded");
    let (holder, other) = std::thread::scope(|scope| {
        for i in 0..8 {
            let entry = &fleet.entries[i % 2];
            scope.spawn(move || entry.chat(&format!("burst {i}"), 40));
        }
        until("streams yield", || fleet.entries.iter().any(yielded));
        let holder = usize::from(!yielded(&fleet.entries[0]));
        fleet.entries[holder].process.pause();
        let (holder, other) = (&fleet.entries[holder], &fleet.entries[1 - holder]);
        wait_finished(other, "once");
        let expected = other.results("once");
        holder.process.resume();
        until("the resumed instance answers", || {
            state(holder, "once").as_deref() == Some("finished")
        });
        assert_eq!(holder.results("once"), expected);
        (holder, other)
    });
    until("no worker runs an item", || running(&fleet) == 0);
    for item in &once {
        assert!(runs(&fleet, &item.prompt) <= 1, "{} ran twice", item.id);
    }
    assert_eq!(holder.results("once"), other.results("once"));
}

/// Guards against items that are lost or never finish because the object service was unavailable
/// while they ran.
#[test]
fn an_outage_of_the_platform_loses_no_item_in_flight() {
    let fleet = fleet(2, 2, "5");
    let items = items(200, false);
    let answer = fleet.entries[0].submit("j", DEADLINE, &items).unwrap();
    assert_eq!(answer.status, 200, "{}", answer.text());
    until("items run", || runs(&fleet, &items[0].prompt) > 0);
    fleet
        .platform
        .set_faults(&json!({ "gate": { "outage": "refuse" } }));
    let refused = fleet.entries[1].submit("k", DEADLINE, &items).unwrap();
    assert_eq!(refused.status, 503);
    assert_eq!(refused.header("gentianpath-verdict"), Some("not-run"));
    let online = fleet.entries[1].chat("during the outage", 5).unwrap();
    assert_eq!(online.content(), text::answer("during the outage", 5));
    std::thread::sleep(std::time::Duration::from_secs(3));
    fleet.platform.set_faults(&json!({}));
    wait_finished(&fleet.entries[1], "j");
    assert_complete(&fleet.entries[0], "j", &items);
}

/// Guards against a cancelled job that continues or restarts, also when it is submitted again.
#[test]
fn a_cancelled_job_stops_everywhere_and_stays_so() {
    let mut fleet = fleet(2, 2, "10");
    let items = items(400, false);
    let submit = |entry: &Entry| entry.submit("j", DEADLINE, &items).unwrap().status;
    assert_eq!(submit(&fleet.entries[0]), 200);
    until("items run", || runs(&fleet, &items[0].prompt) > 0);
    let path = "/v1/batches/j/cancel";
    let answer = support::http::call(fleet.entries[1].callers, "POST", path, &[], "").unwrap();
    assert_eq!(answer.status, 200, "{}", answer.text());
    until("no worker runs an item", || running(&fleet) == 0);
    let before = all_runs(&fleet);
    assert_eq!(submit(&fleet.entries[1]), 200);
    fleet.entries[0].restart();
    std::thread::sleep(std::time::Duration::from_secs(2));
    assert_eq!(all_runs(&fleet), before);
    assert_eq!(state(&fleet.entries[1], "j").as_deref(), Some("cancelled"));
}

fn ledger_runs(fleet: &Fleet) -> Vec<Value> {
    let ledgers = fleet.targets.iter().map(support::Standin::ledger);
    ledgers
        .flat_map(|l| l["runs"].as_array().cloned().unwrap_or_default())
        .collect()
}

fn all_runs(fleet: &Fleet) -> usize {
    ledger_runs(fleet).len()
}

fn running(fleet: &Fleet) -> usize {
    let runs = ledger_runs(fleet);
    runs.iter().filter(|r| r["state"] == "running").count()
}

/// Guards against a cancel that is acknowledged while the object service cannot store it, and
/// against one that cannot be repeated afterwards.
#[test]
fn a_cancel_during_an_outage_is_refused_and_works_when_repeated() {
    let fleet = fleet(1, 2, "10");
    let items = items(400, false);
    let answer = fleet.entries[0].submit("j", DEADLINE, &items).unwrap();
    assert_eq!(answer.status, 200, "{}", answer.text());
    let cancel = || {
        let address = fleet.entries[1].callers;
        support::http::call(address, "POST", "/v1/batches/j/cancel", &[], "").unwrap()
    };
    fleet
        .platform
        .set_faults(&json!({ "gate": { "outage": "refuse" } }));
    let refused = cancel();
    assert_eq!(refused.status, 503, "{}", refused.text());
    assert_eq!(refused.header("gentianpath-verdict"), Some("not-run"));
    fleet.platform.set_faults(&json!({}));
    until("the cancel is accepted", || cancel().status == 200);
    until("no worker runs an item", || running(&fleet) == 0);
    assert_eq!(state(&fleet.entries[0], "j").as_deref(), Some("cancelled"));
}
