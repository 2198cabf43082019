//! Sheet pushes and their distribution, with platform processes and several control threads.

mod control_support;

use std::{
    thread,
    time::{Duration, Instant},
};

use control_support::{Instance, InstanceConfig, Process, http, sheet, wait};
use gentianpath::{
    push::{Refusal, Request},
    sheet_log::{Snapshot, split},
    store::{self, SavedSheet},
};
use serde_json::{Value, json};

const MODEL: &str = "benchline-lm";

/// Guards against two concurrent pushes that are both reported as accepted.
#[test]
fn one_of_two_operators_wins_and_the_other_is_told() {
    let platform = Process::platform();
    let a = Instance::simple(platform.address, "a", "toowoomba");
    let b = Instance::simple(platform.address, "b", "ipswich");
    let (one, two) = thread::scope(|scope| {
        let one = scope.spawn(|| a.push(sheet(MODEL, "v1", 4), Some(0)));
        let two = scope.spawn(|| b.push(sheet(MODEL, "v2", 4), Some(0)));
        (one.join().unwrap(), two.join().unwrap())
    });
    let (winner, lost, loser) = match (one, two) {
        (Ok(1), Err(lost)) => ("v1", lost, &b),
        (Err(lost), Ok(1)) => ("v2", lost, &a),
        other => panic!("{other:?}"),
    };
    let Refusal::Lost(accepted) = lost else {
        panic!("{lost:?}");
    };
    assert_eq!(accepted.revision, 1);
    assert!(accepted.token.is_some());
    for instance in [&a, &b] {
        instance.wait_revision(1);
        let version = &instance.ctx.view.load().sheet.models[MODEL].version;
        assert_eq!(&**version, winner);
    }
    assert_eq!(loser.push(sheet(MODEL, "v3", 4), Some(1)), Ok(2));
    // One operator pushes through two instances, of which the second is behind.
    assert_eq!(a.push(sheet(MODEL, "v4", 4), None), Ok(3));
    assert_eq!(b.push(sheet(MODEL, "v5", 4), None), Ok(4));
    a.wait_revision(4);
    b.wait_revision(4);
}

/// Guards against a push that is repeated or reported as failed after its answer was lost.
#[test]
fn a_push_whose_answer_is_lost_is_accepted_once() {
    let platform = Process::platform();
    let a = Instance::simple(platform.address, "a", "toowoomba");
    platform.set_faults(&json!({ "lost": { "prefix": "sheet/", "count": 1 } }));
    assert_eq!(a.push(sheet(MODEL, "v1", 4), None), Ok(1));
    assert_eq!(platform.ledger()["lost"], 1);
    assert_eq!(platform.ledger()["calls"]["write sheet"], 1);
    a.wait_revision(1);
    // The operator gets no answer and sends the push again.
    let request = |token: &str| Request {
        raw: sheet(MODEL, "v2", 4),
        base: Some(1),
        token: Some(token.into()),
    };
    let push = |token| smol::block_on(gentianpath::push::push(&a.ctx, request(token)));
    assert_eq!(push("operator-1"), Ok(2));
    assert_eq!(push("operator-1"), Ok(2));
    assert!(matches!(push("operator-2"), Err(Refusal::Lost(_))));
}

/// Guards against a platform outage that changes the published view, against a push that is
/// reported as accepted during it, and against a platform that returns with an older state.
#[test]
fn an_outage_changes_nothing_and_an_older_platform_is_ignored() {
    let platform = Process::platform();
    let engine = Process::start(
        "standin-engine",
        &[
            "--id",
            "w1",
            "--zone",
            "ipswich",
            "--platform",
            &platform.address.to_string(),
        ],
    );
    let a = Instance::simple(platform.address, "a", "ipswich");
    let b = Instance::simple(platform.address, "b", "ipswich");
    for revision in 1..=2 {
        let raw = sheet(MODEL, "v1", revision as u32 + 1);
        assert_eq!(a.push(raw, None), Ok(revision));
    }
    let is_synced = |i: &Instance| {
        let view = i.ctx.view.load();
        let loaded = view
            .workers
            .iter()
            .any(|w| w.model.as_deref() == Some(MODEL));
        view.revision == 2 && loaded && view.peers.len() == 1
    };
    wait("both have the worker", || is_synced(&a) && is_synced(&b));
    let address = platform.address;
    drop(platform);
    let before = b.ctx.view.load_full();
    let exchanges = b.exchanges();
    wait("exchanges during the outage", || {
        b.exchanges() > exchanges + 30
    });
    assert!(std::sync::Arc::ptr_eq(&before, &b.ctx.view.load_full()));
    assert_eq!(a.push(sheet(MODEL, "v9", 4), None), Err(Refusal::NotRun));
    // Without a platform a new instance gets sheet and targets from the peer in its settings.
    let config = InstanceConfig {
        name: "c",
        zone: "ipswich",
        session: 3,
        peers: vec![a.peer()],
        ..InstanceConfig::default()
    };
    let c = Instance::start(address, &config);
    c.wait_revision(2);
    wait("the worker from peers", || {
        !c.ctx.view.load().workers.is_empty()
    });
    // The platform returns empty, which is an older state than that of the instances.
    let empty = Process::platform_at(address);
    wait("watches of the empty platform", || {
        empty.ledger()["calls"]["watch sheet"].as_u64() > Some(2)
    });
    let exchanges = c.exchanges();
    wait("exchanges", || c.exchanges() > exchanges + 10);
    for instance in [&a, &b, &c] {
        assert_eq!(instance.revision(), 2);
    }
    drop(engine);
}

/// Guards against a restart that loses the sheet when neither platform nor peers answer, and
/// against a saved sheet that replaces a newer one.
#[test]
fn a_saved_sheet_serves_a_restart_and_never_replaces_a_newer_one() {
    let platform = Process::platform();
    let (new, old) = (tempfile::tempdir().unwrap(), tempfile::tempdir().unwrap());
    let config = |name, folder, session, peers| InstanceConfig {
        name,
        zone: "ipswich",
        session,
        peers,
        folder: Some(folder),
    };
    let a = Instance::start(platform.address, &config("a", new.path(), 1, vec![]));
    for revision in 1..=3 {
        assert_eq!(
            a.push(sheet(MODEL, "v1", revision as u32), None),
            Ok(revision)
        );
    }
    wait("saved", || {
        let saved = store::load_sheet(new.path()).unwrap();
        saved.is_some_and(|s| s.snapshot.revision == 3)
    });
    let address = platform.address;
    drop((a, platform));
    let a = Instance::start(address, &config("a", new.path(), 2, vec![]));
    a.wait_revision(3);
    let older = SavedSheet {
        version: 1,
        snapshot: Snapshot {
            revision: 1,
            parts: split(&sheet(MODEL, "v0", 1)).unwrap(),
        },
    };
    store::save_sheet(old.path(), &older).unwrap();
    let b = Instance::start(address, &config("b", old.path(), 1, vec![a.peer()]));
    let mut seen = 0;
    wait("b follows a", || {
        assert_eq!(a.revision(), 3, "an older sheet replaced a newer one");
        assert!(b.revision() >= seen, "b went back");
        seen = b.revision();
        seen == 3
    });
    assert_eq!(b.ctx.view.load().sheet.models[MODEL].version.as_ref(), "v1");
}

/// Measures how long a sheet takes to reach 20 instances in 4 zones, and the platform calls for it.
#[test]
fn a_sheet_reaches_20_instances_in_4_zones() {
    const PUSHES: u64 = 5;
    let platform = Process::platform();
    let zones = ["toowoomba", "brisbane-ek", "gold-coast", "ipswich"];
    let names: Vec<String> = (0..20).map(|i| format!("e{i}")).collect();
    let instances: Vec<Instance> = names
        .iter()
        .enumerate()
        .map(|(i, name)| Instance::simple(platform.address, name, zones[i % 4]))
        .collect();
    wait("members", || {
        instances
            .iter()
            .all(|i| i.ctx.view.load().peers.len() == 19)
    });
    let watchers = || {
        let watches = |i: &&Instance| i.ctx.status.load().report.views.iter().any(|v| v.watched);
        instances.iter().filter(watches).count()
    };
    wait("two watchers per zone", || watchers() == 8);
    let before = platform.ledger();
    let (bytes, start) = (sent_bytes(), Instant::now());
    let mut times = Vec::new();
    for push in 1..=PUSHES {
        let pushed = Instant::now();
        assert_eq!(
            instances[0].push(sheet(MODEL, "v1", push as u32), None),
            Ok(push)
        );
        wait("spread", || instances.iter().all(|i| i.revision() == push));
        times.push(pushed.elapsed());
        thread::sleep(Duration::from_millis(200));
    }
    let after = platform.ledger();
    let took = start.elapsed().as_secs_f64();
    let bytes = (sent_bytes() - bytes) / took / instances.len() as f64;
    println!("an instance sends its peers {bytes:.0} bytes/s");
    println!("spread of {PUSHES} pushes to 20 instances, exchange every 100 ms: {times:?}");
    for counter in [
        "reads",
        "writes",
        "watches",
        "instance_reads",
        "registrations",
    ] {
        let count = |ledger: &Value| ledger[counter]["total"].as_f64().unwrap_or_default();
        let rate = (count(&after) - count(&before)) / took;
        println!("platform {counter}: {rate:.1}/s");
    }
    // 20 direct watchers of two kinds would be 40 watches at once and 20 more after each push.
    let watches = |l: &Value| l["watches"]["total"].as_u64().unwrap();
    println!(
        "watches after pushes: {}",
        watches(&after) - watches(&before)
    );
}

/// Returns the bytes that all instances of this process have sent to peers.
fn sent_bytes() -> f64 {
    let metrics = gentianpath::metrics::text();
    let line = metrics
        .lines()
        .find(|l| l.starts_with("gentianpath_peer_bytes") && l.contains("direction=\"out\""));
    line.and_then(|l| l.rsplit(' ').next()?.parse().ok())
        .unwrap_or_default()
}

/// Guards against answers to operators that do not show the outcome of a push or the state of the
/// instance.
#[test]
fn operators_see_verdicts_and_state_over_http() {
    let platform = Process::platform();
    let a = Instance::simple(platform.address, "a", "ipswich");
    let operators = a.ctx.settings.operators;
    let server = trillium_smol::config()
        .without_signals()
        .with_host(&operators.ip().to_string())
        .with_port(operators.port())
        .spawn(gentianpath::admin::handler(a.ctx.clone()));
    wait("ready without a sheet", || {
        std::net::TcpStream::connect(operators).is_ok()
            && http("GET", operators, "/readyz", "").0 == 200
    });
    assert_eq!(http("GET", operators, "/livez", "").0, 200);
    let good = serde_json::to_string(&sheet(MODEL, "v1", 4)).unwrap();
    let bad = good.replace("\"slots\":4", "\"slots\":0");
    let (status, body) = http("POST", operators, "/sheet", &bad);
    let error: Value = serde_json::from_str(&body).unwrap();
    assert_eq!(
        (status, &error["error"]["verdict"]),
        (422, &json!("not-run"))
    );
    assert!(
        error["error"]["message"]
            .as_str()
            .unwrap()
            .contains("models[0].slots")
    );
    assert_eq!(
        http("POST", operators, "/sheet", &good),
        (200, r#"{"revision":1}"#.into())
    );
    a.wait_revision(1);
    let shown: Value = serde_json::from_str(&http("GET", operators, "/sheet", "").1).unwrap();
    assert_eq!(shown["sheet"]["models"][0]["name"], MODEL);
    wait("the status has the sheet", || {
        let status = http("GET", operators, "/status", "").1;
        let status: Value = serde_json::from_str(&status).unwrap();
        status["sheet"]["revision"] == 1
            && status["instance"] == "a"
            && status["phase"] == "running"
    });
    let metrics = http("GET", operators, "/metrics", "").1;
    assert!(metrics.contains("gentianpath_sheet_revision"), "{metrics}");
    platform.set_faults(&json!({ "gate": { "outage": "refuse" } }));
    let (status, body) = http("POST", operators, "/sheet", &good.replace("v1", "v2"));
    let error: Value = serde_json::from_str(&body).unwrap();
    assert_eq!(
        (status, &error["error"]["verdict"]),
        (503, &json!("not-run"))
    );
    a.ctx.drain.advance(gentianpath::drain::Phase::Leaving);
    assert_eq!(http("GET", operators, "/readyz", "").0, 503);
    smol::block_on(server.shut_down());
}
