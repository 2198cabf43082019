//! Placement, orders and reports of online requests, with engine processes and several control
//! threads.

mod control_support;

use std::time::Duration;

use control_support::{Instance, Process, http, sheet, wait};
use gentianpath::{affinity, context::Command};
use serde_json::{Value, json};

const ZONE: &str = "tas-south-a";
const MODEL: &str = "coinread";

fn engine(platform: &Process, id: &str, more: &[&str]) -> Process {
    let address = platform.address.to_string();
    let mut options = vec!["--id", id, "--zone", ZONE, "--platform", &address];
    options.extend(more);
    Process::start("standin-engine", &options)
}

fn loaded(engine: &Process) -> (Value, Value) {
    let load: Value = serde_json::from_str(&http("GET", engine.address, "/load", "").1).unwrap();
    (load["model"].clone(), load["version"].clone())
}

fn has(engine: &Process, version: &str) -> bool {
    loaded(engine) == (json!(MODEL), json!(version))
}

/// Guards against engines that do not follow the sheet, and against a stale order of a paused
/// owner. An engine that checks fencing numbers refuses the order; any other is corrected after its
/// next load report.
#[test]
fn engines_follow_the_sheet_and_a_stale_order_is_undone() {
    let platform = Process::platform();
    let checking = engine(&platform, "w1", &["--check-fence"]);
    let ignoring = engine(&platform, "w2", &[]);
    let _a = Instance::simple(platform.address, "a", ZONE);
    let b = Instance::simple(platform.address, "b", ZONE);
    for version in ["v1", "v2"] {
        b.push(sheet(MODEL, version, 4), None).unwrap();
        wait(version, || {
            has(&checking, version) && has(&ignoring, version)
        });
    }
    let stale = json!({ "fence": 1, "action": "load", "model": MODEL, "version": "v1" });
    let order = |engine: &Process| http("POST", engine.address, "/orders", &stale.to_string()).0;
    assert_eq!(order(&checking), 409);
    assert_eq!(order(&ignoring), 200);
    wait("the stale order shows", || !has(&ignoring, "v2"));
    wait("the stale order is undone", || has(&ignoring, "v2"));
    assert!(has(&checking, "v2"));
    wait("the view shows the models", || {
        let view = b.ctx.view.load();
        let right = |w: &&_| right_version(w);
        view.workers.iter().filter(right).count() == 2
    });
    wait("slots of the weight store are free", || {
        let slots = http("GET", platform.address, "/objects/weights/slots", "").1;
        let slots: Value = serde_json::from_str(&slots).unwrap();
        slots["value"]["taken"] == json!([])
    });
}

/// Guards against an engine that is left at an old version, or loads repeatedly, because a step of
/// its change failed: the write of the placement record or of the slot of the weight store, or the
/// order, was refused, got no answer, or took effect without an answer.
#[test]
fn orders_converge_after_a_fault_at_each_step() {
    let platform = Process::platform();
    let engines = [
        engine(&platform, "w1", &["--check-fence"]),
        engine(&platform, "w2", &[]),
    ];
    let instance = Instance::simple(platform.address, "a", ZONE);
    let mut number = 0;
    let mut change = |what: &str| {
        number += 1;
        let version = format!("v{number}");
        instance.push(sheet(MODEL, &version, 4), None).unwrap();
        wait(&format!("{version} after {what}"), || {
            engines.iter().all(|e| has(e, &version))
        });
    };
    change("nothing");
    for kind in ["placement", "weights"] {
        for outage in ["refuse", "silent", "close"] {
            let prefix = format!("/objects/{kind}");
            let gate = json!({ "outage": outage, "prefix": prefix, "count": 3 });
            platform.set_faults(&json!({ "gate": gate }));
            change(&format!("{outage} at {kind}"));
        }
        let lost = json!({ "prefix": format!("{kind}/"), "count": 2 });
        platform.set_faults(&json!({ "lost": lost }));
        change(&format!("lost answers at {kind}"));
    }
    assert!(platform.ledger()["lost"].as_u64() >= Some(2));
    platform.set_faults(&json!({}));
    let at_orders = |outage: &str| {
        let gate = json!({ "outage": outage, "prefix": "/orders", "count": 2 });
        json!({ "gate": gate })
    };
    let lost = json!({ "lost": { "prefix": "/orders", "count": 2 } });
    for faults in ["refuse", "silent", "close"]
        .map(at_orders)
        .iter()
        .chain([&lost])
    {
        for engine in &engines {
            engine.set_faults(faults);
        }
        change(&format!("{faults} at an engine"));
    }
}

/// Guards against a model that remains without its workers when one dies while it loads, and
/// against a slot of the lost worker that blocks other loads.
#[test]
fn another_engine_takes_the_place_of_one_that_dies_while_it_loads() {
    let platform = Process::platform();
    let loading = engine(&platform, "w1", &["--load-ms", "60000"]);
    let instance = Instance::simple(platform.address, "a", ZONE);
    instance.push(sheet(MODEL, "v1", 4), None).unwrap();
    wait("the first engine loads", || {
        loading.ledger()["orders"] != json!([])
    });
    drop(loading);
    let other = engine(&platform, "w2", &[]);
    wait("the second engine has the model", || has(&other, "v1"));
}

fn right_version(worker: &gentianpath::view::WorkerInfo) -> bool {
    worker.model.as_deref() == Some(MODEL) && &*worker.version == "v2" && worker.slots == 4
}

/// Guards against an owner that does not get reports of the online requests which another instance
/// sends to its worker, or of their end.
#[test]
fn the_owner_learns_the_level_of_online_requests() {
    let platform = Process::platform();
    let _engine = engine(&platform, "w1", &["--model", MODEL]);
    let mut pair = [
        Instance::simple(platform.address, "a", ZONE),
        Instance::simple(platform.address, "b", ZONE),
    ];
    let owner_of = |i: &Instance| {
        let view = i.ctx.view.load();
        let both = view.peers.len() == 1;
        view.workers
            .first()
            .filter(|_| both)
            .and_then(|w| w.owner.clone())
    };
    wait("both agree on the owner", || {
        let owner = owner_of(&pair[0]);
        owner.is_some() && owner == owner_of(&pair[1])
    });
    let owner = owner_of(&pair[0]).unwrap();
    if *owner == *"b" {
        pair.swap(0, 1);
    }
    let [owning, sending] = &pair;
    let worker: gentianpath::ids::WorkerId = "w1".into();
    let notify = || {
        let (worker, owner) = (worker.clone(), owner.clone());
        let command = Command::OnlineLevel { worker, owner };
        sending.ctx.commands.try_send(command).unwrap();
    };
    let level = || owning.ctx.workers.cell(&worker).current_demand().online;
    let cell = sending.ctx.workers.cell(&worker);
    let guards: Vec<_> = (0..3).map(|_| cell.begin_online(Duration::ZERO)).collect();
    notify();
    wait("the owner knows of three", || level() == 3);
    drop(guards);
    notify();
    wait("the owner knows of none", || level() == 0);
    // The level of a lost run must not block batch work for ever, whether the instance restarts
    // before its heartbeat expires or does not restart.
    let _guard = cell.begin_online(Duration::ZERO);
    notify();
    wait("the owner knows of one", || level() == 1);
    let [owning, sending] = pair;
    let name = sending.ctx.settings.instance.clone();
    drop(sending);
    let level = || owning.ctx.workers.cell(&worker).current_demand().online;
    let again = Instance::simple(platform.address, &name, ZONE);
    wait("the level of an earlier run is forgotten", || level() == 0);
    wait("the owner is known", || {
        owner_of(&again) == Some(owner.clone())
    });
    let _guard = again.ctx.workers.cell(&worker).begin_online(Duration::ZERO);
    wait("the level is reported without a command", || level() == 1);
    drop(again);
    wait("the level of a lost instance is forgotten", || level() == 0);
}

/// Guards against an owner that does not record which prompts its workers have cached, or that
/// keeps the records after the engine was lost.
#[test]
fn the_owner_learns_and_forgets_the_cached_prompts_of_its_workers() {
    let platform = Process::platform();
    let engine = engine(&platform, "w1", &["--model", MODEL]);
    let instance = Instance::simple(platform.address, "a", ZONE);
    let prompt = "a prompt of many blocks ".repeat(100);
    let body = json!({ "model": MODEL, "prompt": prompt, "max_tokens": 1 });
    let path = "/v1/chat/completions";
    wait("the engine answers", || {
        http("POST", engine.address, path, &body.to_string()).0 == 200
    });
    let blocks = affinity::blocks(&prompt);
    let worker: gentianpath::ids::WorkerId = "w1".into();
    let depth = || {
        let known = instance.ctx.workers.affinity();
        known.lock().unwrap().depth(&blocks, &worker)
    };
    assert_eq!(blocks.len(), 9);
    wait("the owner knows all blocks", || depth() == blocks.len());
    drop(engine);
    wait("the owner forgets the lost engine", || depth() == 0);
}
