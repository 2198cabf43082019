//! Faults injected while batch items yield, claims are released, jobs are cancelled and groups are
//! taken over.

mod batch_support;

use std::{
    collections::{HashMap, HashSet},
    thread,
    time::{Duration, Instant},
};

use batch_support::{Fleet, Instance, Process, fleet, items, once, owned_fleet, post, wait_for};
use gentianpath::{drain::Phase, workers::OnlineGuard};
use serde_json::{Value, json};
use standins::text;

/// Lease of the instances.
const LEASE: Duration = Duration::from_secs(3);
/// Time in which an instance detects a fault.
const SHORT: Duration = Duration::from_millis(300);
const TOKENS: u32 = 40;
/// Tokens of items that still run when the others are done.
const LONG: u32 = 400;

fn running(fleet: &Fleet, instance: usize, worker: &str) -> u32 {
    let workers = &fleet.instances[instance].ctx.workers;
    workers.cell(&worker.into()).current_demand().batch
}

fn wait_running(fleet: &Fleet, instance: usize, worker: &str) {
    let state = || format!("{} streams", running(fleet, instance, worker));
    wait_for(|| running(fleet, instance, worker) >= 2, state);
}

/// Makes the streams of a worker yield, and waits until none runs.
fn yield_streams(fleet: &Fleet, worker: &str) -> Vec<OnlineGuard> {
    let ctx = &fleet.instances[0].ctx;
    let cell = ctx.workers.cell(&worker.into());
    let online = (0..batch_support::SLOTS).map(|_| cell.begin_online(ctx.workers.now()));
    let online = online.collect();
    wait_for(|| running(fleet, 0, worker) == 0, || "no yield".into());
    online
}

/// Kills an engine and removes it from the view of an instance.
fn lose_engine(fleet: &mut Fleet, engine: usize, instance: usize) {
    fleet.engines[engine].kill();
    let view = &fleet.instances[instance].ctx.view;
    let mut without = view.load().as_ref().clone();
    without.workers.remove(engine);
    view.store(without.into());
}

/// Checks that each item has one outcome, the complete text if it is done, and no failed attempt.
/// Returns the number of items that may have run.
fn check_results(reader: &Instance, job: &str, count: usize) -> usize {
    let results = reader.results(job);
    assert_eq!(results.len(), count);
    for result in &results {
        assert_eq!(result["attempts"], 0, "{result}");
        if result["status"] == "done" {
            let id = result["id"].as_str().unwrap();
            let tokens = if id.starts_with("long") { LONG } else { TOKENS };
            let whole = text::answer(&format!("prompt of {id}"), tokens.into());
            assert_eq!(result["text"], whole);
        } else {
            assert_eq!(result["status"], "may-have-run", "{result}");
        }
    }
    let doubt = |r: &&Value| r["status"] == "may-have-run";
    results.iter().filter(doubt).count()
}

/// Returns the prompts of the non-repeatable job `n` that were started on an engine.
fn started(fleet: &Fleet, engine: usize) -> HashSet<String> {
    let prompts = fleet.engines[engine].runs().into_keys();
    prompts.filter(|p| p.starts_with("prompt of n")).collect()
}

/// Returns the number of completed runs of short items of job `j` on an engine.
fn completed(fleet: &Fleet, engine: usize) -> usize {
    let runs = fleet.engines[engine].runs().into_iter();
    let short = runs.filter(|(prompt, _)| prompt.starts_with("prompt of i"));
    short
        .flat_map(|(_, r)| r)
        .filter(|r| r["state"] == "done")
        .count()
}

/// Returns the greatest number of runs of one prompt on all engines.
fn most_runs(fleet: &Fleet) -> usize {
    let mut counts = HashMap::new();
    for (prompt, runs) in fleet.engines.iter().flat_map(Process::runs) {
        *counts.entry(prompt).or_insert(0) += runs.len();
    }
    counts.into_values().max().unwrap_or(0)
}

/// Guards against a paused stream that ends with partial text, or fails, because the connection to a
/// live engine is silent after the resume.
#[test]
fn stopped_streams_outlast_silent_connections() {
    let fleet = owned_fleet("5", ["a", "a"]);
    let a = &fleet.instances[0];
    assert_eq!(a.submit("j", &items("i", 16, TOKENS)).status, 200);
    wait_running(&fleet, 0, "w1");
    let online = yield_streams(&fleet, "w1");
    let silence = json!([{"kind": "silence", "after": 3, "count": 6, "resumed": true}]);
    fleet.engines[0].faults(json!({ "streams": silence }));
    drop(online);
    a.wait_finished("j");
    assert_eq!(check_results(a, "j", 16), 0);
}

/// Guards against paused streams that wait for a dead engine or continue on another engine without
/// their state, and against a second run of non-repeatable items.
#[test]
fn stopped_streams_of_a_dead_engine_run_anew_or_end_in_doubt() {
    let mut fleet = owned_fleet("5", ["a", "a"]);
    let a = &fleet.instances[0];
    assert_eq!(a.submit("j", &items("i", 8, TOKENS)).status, 200);
    assert_eq!(a.submit("n", &once("n", 8, TOKENS)).status, 200);
    wait_for(|| started(&fleet, 0).len() >= 2, || "no runs".into());
    let online = yield_streams(&fleet, "w1");
    let stopped = started(&fleet, 0);
    lose_engine(&mut fleet, 0, 0);
    drop(online);
    let b = &fleet.instances[1];
    b.wait_finished("j");
    b.wait_finished("n");
    assert_eq!(check_results(b, "j", 8), 0);
    check_results(b, "n", 8);
    assert!(started(&fleet, 1).is_disjoint(&stopped));
}

/// Guards against items that are lost, and non-repeatable items that run twice, when their holder dies
/// after their streams yielded.
#[test]
fn stopped_streams_of_a_dead_holder_are_taken_over() {
    let mut fleet = fleet("5");
    let a = &fleet.instances[0];
    assert_eq!(a.submit("n", &once("n", 32, TOKENS)).status, 200);
    wait_running(&fleet, 0, "w1");
    let online = yield_streams(&fleet, "w1");
    fleet.instances[0].kill();
    drop(online);
    let b = &fleet.instances[1];
    b.wait_finished("n");
    assert!(check_results(b, "n", 32) > 0, "no stream was stopped");
    assert_eq!(most_runs(&fleet), 1);
}

/// Guards against a planned stop that ends before its claims are released because the object service
/// does not answer: results in memory would be lost and the items would run again. They may run again
/// if the machine was so slow that the lease lapsed.
#[test]
fn a_planned_stop_waits_for_the_object_service() {
    for outage in ["refuse", "silent"] {
        let mut fleet = fleet("2");
        let a = &fleet.instances[0];
        let body = [items("i", 8, TOKENS), items("long", 8, LONG)].concat();
        let begun = Instant::now();
        // On a slow machine the other instance could claim the only group first.
        let cut = json!({"gate": {"cut": {"parties": ["b"], "failure": "close"}}});
        fleet.platform.faults(cut);
        assert_eq!(a.submit("j", &body).status, 200);
        wait_running(&fleet, 0, "w1");
        let gate = json!({"gate": {"outage": outage, "prefix": "/objects"}});
        fleet.platform.faults(gate);
        wait_for(|| completed(&fleet, 0) == 8, || "items run".into());
        thread::sleep(SHORT);
        fleet.instances[0].ctx.drain.advance(Phase::Leaving);
        thread::sleep(SHORT);
        fleet.platform.faults(json!({}));
        fleet.instances[0].join();
        let leased = begun.elapsed() < LEASE * 2 / 3;
        let b = &fleet.instances[1];
        b.wait_finished("j");
        assert_eq!(check_results(b, "j", 16), 0);
        let runs = completed(&fleet, 0) + completed(&fleet, 1);
        assert!(runs == 8 || !leased, "ran again after {outage}");
    }
}

/// Guards against an instance that stops while it is disconnected from the platform, and overwrites the
/// results of the new holder of its group once the connection is back.
#[test]
fn a_planned_stop_under_a_cut_leaves_the_results_of_others() {
    let mut fleet = fleet("5");
    let (a, b) = (&fleet.instances[0], &fleet.instances[1]);
    assert_eq!(a.submit("j", &items("i", 100, TOKENS)).status, 200);
    wait_running(&fleet, 0, "w1");
    let cut = json!({"gate": {"cut": {"parties": ["a"], "failure": "silent"}}});
    fleet.platform.faults(cut);
    a.ctx.drain.advance(Phase::Leaving);
    b.wait_finished("j");
    let committed = b.results("j");
    fleet.platform.faults(json!({}));
    fleet.instances[0].join();
    let reader = Instance::start("c", 3, &fleet.platform, &[]);
    assert_eq!(check_results(&reader, "j", 100), 0);
    assert_eq!(reader.results("j"), committed);
}

/// Guards against a planned stop that hangs because of a dead engine, or that releases non-repeatable
/// items as if they had not run.
#[test]
fn a_planned_stop_with_a_dead_engine_ends() {
    let mut fleet = fleet("20");
    let a = &fleet.instances[0];
    assert_eq!(a.submit("j", &items("i", 8, TOKENS)).status, 200);
    assert_eq!(a.submit("n", &once("n", 16, TOKENS)).status, 200);
    wait_for(|| started(&fleet, 0).len() >= 2, || "no runs".into());
    let begun = started(&fleet, 0);
    fleet.instances[0].ctx.drain.advance(Phase::Leaving);
    lose_engine(&mut fleet, 0, 0);
    fleet.instances[0].join();
    let b = &fleet.instances[1];
    b.wait_finished("j");
    b.wait_finished("n");
    assert_eq!(check_results(b, "j", 8), 0);
    check_results(b, "n", 16);
    assert!(started(&fleet, 1).is_disjoint(&begun));
}

/// Guards against a cancel that is reported as done or as failed without proof because its connection
/// was silent before or after it took effect.
#[test]
fn a_cancel_over_a_silent_connection_is_read_back_or_refused() {
    let fleet = fleet("20");
    let (a, b) = (&fleet.instances[0], &fleet.instances[1]);
    assert_eq!(a.submit("j", &items("i", 64, TOKENS)).status, 200);
    assert_eq!(a.submit("k", &items("k", 64, TOKENS)).status, 200);
    let cancel = |job: &str| post(b.callers, &format!("/v1/batches/{job}/cancel"), "");
    let lost = json!({"lost": {"prefix": "job/j", "count": 1, "silent": true}});
    fleet.platform.faults(lost);
    assert_eq!(cancel("j").json()["state"], "cancelled");
    for failure in ["silent", "close"] {
        let cut = json!({"gate": {"cut": {"parties": ["b"], "failure": failure}}});
        fleet.platform.faults(cut);
        let refused = cancel("k");
        assert_eq!(
            (refused.status, refused.verdict.as_deref()),
            (503, Some("not-run"))
        );
        fleet.platform.faults(json!({}));
        assert_ne!(a.status("k")["state"], "cancelled");
    }
    assert_eq!(cancel("k").json()["state"], "cancelled");
    let idle = || running(&fleet, 0, "w1") + running(&fleet, 1, "w2") == 0;
    wait_for(idle, || "still runs".into());
    for job in ["j", "k"] {
        wait_for(|| a.results(job).len() == 64, || a.status(job).to_string());
    }
}

/// Guards against a group that is taken over from a live holder because its lease cannot be read, and
/// against a group of a dead holder that is not taken over once the lease can be read.
#[test]
fn a_lease_that_cannot_be_read_has_not_expired() {
    let mut fleet = fleet("20");
    let (a, b) = (&fleet.instances[0], &fleet.instances[1]);
    assert_eq!(a.submit("n", &once("n", 8, 4 * TOKENS)).status, 200);
    wait_running(&fleet, 0, "w1");
    let gate = json!({"cut": {"parties": ["b"], "failure": "close"}, "prefix": "/objects/lease/a"});
    fleet.platform.faults(json!({ "gate": gate }));
    thread::sleep(LEASE * 3 / 2);
    assert_eq!(b.status("n")["in_doubt"], 0, "taken from a live holder");
    fleet.instances[0].kill();
    thread::sleep(SHORT);
    fleet.platform.faults(json!({}));
    fleet.instances[1].wait_finished("n");
    assert_eq!(fleet.instances[1].results("n").len(), 8);
    assert_eq!(most_runs(&fleet), 1);
}

/// Guards against a submission that is acknowledged before it is accepted when the object service does
/// not respond after each write, and against one that is accepted twice.
#[test]
fn a_submission_over_silent_connections_is_acknowledged_once_accepted() {
    let mut fleet = fleet("1");
    let body = items("i", 150, TOKENS);
    fleet
        .platform
        .faults(json!({"lost": {"prefix": "job/", "count": 2, "silent": true}}));
    assert_eq!(fleet.instances[0].submit("j", &body).status, 200);
    fleet.instances[0].kill();
    let b = &fleet.instances[1];
    assert_eq!(b.submit("j", &body).status, 200);
    b.wait_finished("j");
    assert_eq!(check_results(b, "j", 150), 0);
}
