//! Jobs of two entry instances against stand-in processes.

mod batch_support;

use std::collections::HashSet;

use batch_support::{Fleet, MAX_POLLS, MODEL, Process, fleet, items, owned_fleet, wait_for};
use gentianpath::{group, job_record::LOSS_LIMIT};
use serde_json::{Value, json};

fn ids(results: &[Value]) -> Vec<&str> {
    results.iter().map(|r| r["id"].as_str().unwrap()).collect()
}

/// Returns the number of completed runs of a prompt on all engines.
fn completed(engines: &[Process], prompt: &str) -> usize {
    let runs = engines
        .iter()
        .flat_map(|e| e.runs().remove(prompt).unwrap_or_default());
    runs.filter(|r| r["state"] == "done").count()
}

/// Guards against lost or duplicate items, results out of order, items that block others, a job that is
/// accepted twice, and lost answers of the object service that count as failures.
#[test]
fn job_of_hundreds_of_items_is_read_back_whole_through_both_instances() {
    let fleet = fleet("1");
    let (a, b) = (&fleet.instances[0], &fleet.instances[1]);
    let mut body = items("i", 300, 4);
    body += &json!({"id": "bad", "prompt": "x [[invalid]]", "max_tokens": 4}).to_string();
    body += "\n";
    body += &json!({"id": "fails", "prompt": "x [[fail]]", "max_tokens": 4}).to_string();
    body += "\n";
    for i in 0..10 {
        let item = json!({"id": format!("n{i}"), "prompt": format!("never {i}"), "max_tokens": 4, "repeat": "never"});
        body += &(item.to_string() + "\n");
    }
    body += &items("z", 20, 4);
    fleet
        .platform
        .faults(json!({"lost": {"prefix": "", "count": 12}}));
    let (first, second) = std::thread::scope(|s| {
        let first = s.spawn(|| a.submit("j", &body));
        let second = s.spawn(|| b.submit("j", &body));
        (first.join().unwrap(), second.join().unwrap())
    });
    assert_eq!(
        (first.status, second.status),
        (200, 200),
        "{} {}",
        first.body,
        second.body
    );
    let other = b.submit("j", &items("other", 3, 4));
    assert_eq!(
        (other.status, other.verdict.as_deref()),
        (409, Some("not-run"))
    );
    fleet
        .platform
        .faults(json!({"lost": {"prefix": "group/", "count": 6}}));

    a.wait_finished("j");
    let results = a.results("j");
    let expected: Vec<String> = body
        .lines()
        .map(|l| {
            serde_json::from_str::<Value>(l).unwrap()["id"]
                .as_str()
                .unwrap()
                .to_owned()
        })
        .collect();
    assert_eq!(ids(&results), expected);
    assert_eq!(results, b.results("j"));
    for result in &results {
        let id = result["id"].as_str().unwrap();
        match id {
            "bad" => assert_eq!(
                (&result["status"], &result["attempts"]),
                (&json!("failed"), &json!(0))
            ),
            "fails" => assert_eq!(
                (&result["status"], &result["attempts"]),
                (&json!("failed"), &json!(3))
            ),
            _ => assert_eq!(result["status"], "done", "{result}"),
        }
        if id.starts_with('i') {
            assert_eq!(completed(&fleet.engines[..0], id), 0);
            assert_eq!(result["text"].as_str().unwrap().split(' ').count(), 4);
        }
    }
    let status = b.status("j");
    assert_eq!(
        (&status["done"], &status["failed"]),
        (&json!(330), &json!(2)),
        "{status}"
    );
    let mut runs = fleet.engines[0].runs();
    runs.extend(fleet.engines[1].runs());
    for i in 0..10 {
        assert_eq!(runs[&format!("never {i}")].len(), 1);
    }
}

/// Guards against groups that remain claimed by a dead instance, and against a new result for an item
/// that has one in a checkpoint.
#[test]
fn groups_of_a_lost_holder_are_taken_over() {
    let mut fleet = fleet("10");
    let body = items("i", 200, 8);
    assert_eq!(fleet.instances[0].submit("j", &body).status, 200);
    let begun = |f: &Fleet| f.instances[1].status("j")["done"].as_u64().unwrap_or(0) > 20;
    wait_for(
        || begun(&fleet),
        || fleet.instances[1].status("j").to_string(),
    );
    fleet.instances[0].kill();
    let before: HashSet<String> = fleet.instances[1]
        .results("j")
        .iter()
        .map(Value::to_string)
        .collect();
    fleet.instances[1].wait_finished("j");
    let after: HashSet<String> = fleet.instances[1]
        .results("j")
        .iter()
        .map(Value::to_string)
        .collect();
    assert_eq!(after.len(), 200);
    assert!(before.is_subset(&after), "a committed result changed");
}

/// Guards against batch streams that do not yield to online requests, or lose their text when they do.
#[test]
fn items_yield_to_online_requests_and_resume() {
    let fleet = owned_fleet("5", ["a", "a"]);
    let a = &fleet.instances[0];
    assert_eq!(a.submit("j", &items("i", 24, 60)).status, 200);
    let engine = &fleet.engines[0];
    let running = || a.ctx.workers.cell(&"w1".into()).current_demand().batch;
    wait_for(|| running() >= 4, || running().to_string());
    let cell = a.ctx.workers.cell(&"w1".into());
    let online: Vec<_> = (0..8)
        .map(|_| cell.begin_online(a.ctx.workers.now()))
        .collect();
    wait_for(|| running() == 0, || running().to_string());
    drop(online);
    a.wait_finished("j");
    let runs: Vec<Value> = engine.runs().into_values().flatten().collect();
    let tokens: u64 = runs.iter().map(|r| r["tokens"].as_u64().unwrap()).sum();
    let whole: u64 = runs.iter().map(|r| r["max_tokens"].as_u64().unwrap()).sum();
    assert!(
        runs.iter().any(|r| r["resumes"].as_u64().unwrap() > 0),
        "nothing was resumed"
    );
    assert_eq!(tokens, whole);
    assert_eq!(a.results("j").len(), 24);
}

/// Guards against the death of an engine that counts as a failed attempt.
#[test]
fn death_of_an_engine_counts_no_attempt() {
    let mut fleet = owned_fleet("5", ["a", "a"]);
    let a = &fleet.instances[0];
    assert_eq!(a.submit("j", &items("i", 40, 40)).status, 200);
    let running = || a.ctx.workers.cell(&"w1".into()).current_demand().batch;
    wait_for(|| running() >= 4, || running().to_string());
    fleet.engines[0].kill();
    let b = &fleet.instances[1];
    let mut view = fleet.instances[0].ctx.view.load().as_ref().clone();
    view.workers.remove(0);
    fleet.instances[0].ctx.view.store(view.into());
    b.wait_finished("j");
    for result in b.results("j") {
        assert_eq!(
            (&result["status"], &result["attempts"]),
            (&json!("done"), &json!(0))
        );
    }
}

/// Guards against a connection that is closed before the response and counts as a failed attempt
/// because the engine is reachable again at once, and against an error of an engine that counts as its
/// loss.
#[test]
fn a_broken_connection_counts_a_loss_and_an_error_an_attempt() {
    for (outage, counted) in [("close", "losses"), ("refuse", "attempts")] {
        let fleet = owned_fleet("1", ["a", "a"]);
        let gate = json!({"gate": {"outage": outage, "prefix": "/v1", "count": 2}});
        fleet.engines.iter().for_each(|e| e.faults(gate.clone()));
        let a = &fleet.instances[0];
        assert_eq!(a.submit("j", &items("i", 24, 4)).status, 200);
        a.wait_finished("j");
        let states = fleet.platform.object("group/j.0")["items"].clone();
        let states = states.as_array().unwrap();
        let count = |field: &str| states.iter().filter_map(|s| s[field].as_u64()).sum::<u64>();
        for field in ["losses", "attempts"] {
            let expected = if field == counted { 4 } else { 0 };
            assert_eq!(count(field), expected, "{field} after {outage}");
        }
        assert!(a.results("j").iter().all(|r| r["status"] == "done"));
    }
}

/// Guards against an item that crashes engines without limit, and against a loss count that restarts at
/// zero with each holder.
#[test]
fn an_item_that_crashes_its_engines_ends_and_its_neighbours_complete() {
    let mut fleet = owned_fleet("5", ["a", "a"]);
    let mut body = items("i", 10, 8);
    body += &json!({"id": "crash", "prompt": "x [[crash]]", "max_tokens": 8}).to_string();
    let mut states = vec![json!({}); 10];
    states.push(json!({"losses": LOSS_LIMIT - 1}));
    let record = json!({"token": 1, "items": states});
    fleet.platform.create("group/j.0", &record);
    let a = &fleet.instances[0];
    assert_eq!(a.submit("j", &body).status, 200);
    let mut lost = None;
    for _ in 0..MAX_POLLS {
        lost = fleet.engines.iter_mut().position(Process::ended);
        if lost.is_some() {
            break;
        }
        std::thread::sleep(std::time::Duration::from_millis(50));
    }
    let mut view = a.ctx.view.load().as_ref().clone();
    view.workers.remove(lost.expect("no engine crashed"));
    a.ctx.view.store(view.into());
    let b = &fleet.instances[1];
    b.wait_finished("j");
    for result in b.results("j") {
        assert_eq!(result["attempts"], 0);
        if result["id"] == "crash" {
            let reason = result["reason"].as_str().unwrap();
            assert!(reason.contains("workers were lost"), "{result}");
        } else {
            assert_eq!(result["status"], "done", "{result}");
        }
    }
}

/// Guards against results that are lost in an outage of the object service, items that run again after
/// it, and a submission that is refused without the verdict not-run.
#[test]
fn results_wait_for_the_end_of_an_outage() {
    let fleet = owned_fleet("5", ["a", "a"]);
    let a = &fleet.instances[0];
    assert_eq!(a.submit("j", &items("i", 40, 20)).status, 200);
    let running = || a.ctx.workers.cell(&"w1".into()).current_demand().batch;
    wait_for(|| running() >= 4, || running().to_string());
    fleet
        .platform
        .faults(json!({"gate": {"outage": "refuse", "prefix": "/objects"}}));
    let refused = a.submit("k", &items("i", 3, 4));
    assert_eq!(
        (refused.status, refused.verdict.as_deref()),
        (503, Some("not-run"))
    );
    assert!(refused.retry.is_some());
    fleet.platform.faults(json!({}));
    a.wait_finished("j");
    let results = a.results("j");
    assert_eq!(results.len(), 40);
    assert!(results.iter().all(|r| r["status"] == "done"));
    let runs = fleet.engines.iter().flat_map(|e| e.runs().into_values());
    let twice = runs.filter(|r| r.len() > 1).count();
    assert_eq!(twice, 0, "an outage made items run again");
}

/// Guards against a planned stop that does not release its claims, and against work on a cancelled job.
#[test]
fn planned_stop_gives_claims_back_and_cancel_ends_a_job() {
    let mut fleet = fleet("10");
    let reply = fleet.instances[0].submit("j", &items("i", 64, 20));
    assert_eq!(reply.status, 200);
    let running = |fleet: &Fleet, i: usize| {
        let worker = ["w1", "w2"][i].into();
        fleet.instances[i]
            .ctx
            .workers
            .cell(&worker)
            .current_demand()
            .batch
    };
    let either = |f: &Fleet| running(f, 0).max(running(f, 1)) >= 4;
    wait_for(|| either(&fleet), || "no runs".into());
    let (first, second) = if running(&fleet, 0) >= 4 {
        (0, 1)
    } else {
        (1, 0)
    };
    let leaving = gentianpath::drain::Phase::Leaving;
    fleet.instances[first].ctx.drain.advance(leaving);
    fleet.instances[first].join();
    wait_for(|| running(&fleet, second) >= 4, || "no runs".into());
    let b = &fleet.instances[second];
    let reply = batch_support::post(fleet.instances[0].callers, "/v1/batches/j/cancel", "");
    assert_eq!(
        (reply.status, &reply.json()["state"]),
        (200, &json!("cancelled"))
    );
    wait_for(|| running(&fleet, second) == 0, || "still runs".into());
    wait_for(
        || b.results("j").len() == 64,
        || b.results("j").len().to_string(),
    );
    assert!(b.results("j").iter().any(|r| r["status"] == "cancelled"));
    let again = b.submit("j", &items("i", 64, 20));
    assert_eq!(
        (again.status, &again.json()["state"]),
        (200, &json!("cancelled"))
    );
}

/// Guards against a job that remains in state loading because its submitter is gone, and against a
/// closed job that a resend cannot complete.
#[test]
fn a_job_whose_submitter_is_gone_is_closed_and_can_be_sent_again() {
    let fleet = fleet("1");
    let body = items("i", 300, 4);
    let groups = group::split(&body, &"default".into(), &MODEL.into()).unwrap();
    let loading = json!({
        "team": "default", "model": MODEL, "deadline": 4_000_000_000_u64, "items": 300,
        "groups": groups.inputs.len(), "never": 0, "digest": groups.digest, "token": 5,
        "state": "loading",
    });
    fleet.platform.create("job/j", &loading);
    let first = json!(groups.inputs[0]);
    fleet.platform.create("input/j.0", &first);
    let b = &fleet.instances[1];
    let closed = || b.status("j")["state"] == "abandoned";
    wait_for(closed, || b.status("j").to_string());
    let other = b.submit("j", &items("other", 3, 4));
    assert_eq!(other.status, 409, "{}", other.body);
    assert_eq!(b.submit("j", &body).status, 200);
    b.wait_finished("j");
    assert_eq!(fleet.instances[0].results("j").len(), 300);
}

/// Guards against items of a cancelled job that never get a result because their holder is gone: the
/// schedule does not choose groups of cancelled jobs.
#[test]
fn cancelled_job_of_a_lost_holder_is_settled() {
    let mut fleet = owned_fleet("20", ["a", "a"]);
    let reply = fleet.instances[0].submit("j", &items("i", 40, 100));
    assert_eq!(reply.status, 200);
    let cell = fleet.instances[0].ctx.workers.cell(&"w1".into());
    wait_for(|| cell.current_demand().batch >= 4, || "no runs".into());
    fleet.instances[0].kill();
    let b = &fleet.instances[1];
    let reply = batch_support::post(b.callers, "/v1/batches/j/cancel", "");
    assert_eq!(reply.status, 200);
    wait_for(
        || b.results("j").len() == 40,
        || b.results("j").len().to_string(),
    );
}
