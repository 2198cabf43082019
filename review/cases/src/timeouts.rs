//! The requests of one route run into its timeout while the items of a batch job of another route wait.

use std::{
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use crate::{
    client,
    side::{self, Side},
};

/// Bounds of the site: finish_s = 18.
const FINISH: Duration = Duration::from_secs(18);
/// Time that workers take for the first event of a request.
const FIRST_EVENT: Duration = Duration::from_millis(150);
/// New timeout of the route of streams.
const TIMEOUT_MS: u64 = 110;
const ITEMS: usize = 10;
const PATIENCE: Duration = Duration::from_secs(5);

pub fn run(folder: &Path, work: &Path, trouble: &str) -> Result<bool, String> {
    let mut side = Side::start(folder, 25, Duration::from_millis(20), config(1, 5000));
    let (record, store) = (side.record.clone(), side.store.clone());
    side.kind.first = FIRST_EVENT;
    (0..4).for_each(|n| side.add(n, "lm", "a", "v1"));
    let instances = side.instances(3, work)?;
    let addresses: Vec<_> = instances.iter().map(|i| i.settings.callers).collect();
    if trouble != "0" {
        store.put("config", "main", config(2, TIMEOUT_MS));
        record.say("plan: the timeout of the route of streams becomes 110 ms");
        thread::sleep(Duration::from_secs(2));
    }

    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..12)
        .map(|n: usize| {
            let address = addresses[n % 3];
            let (record, stop) = (record.clone(), stop.clone());
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(33 * n as u64));
                for count in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    let id = format!("c{n}-{count}");
                    record.write(&format!("sent request={id}"));
                    let result =
                        client::call(address, "POST", "/tally/x", &id, b"prompt", PATIENCE);
                    let status = result.as_ref().map(|(status, _)| *status);
                    record.write(&format!("answered request={id} result={status:?}"));
                    thread::sleep(Duration::from_millis(300));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(5));
    let item = |n: usize| {
        json!({ "id": format!("item-{n}"), "path": "/lots-of/x", "headers": { "X-Model": "m",
                "X-Token-Count": "350,25" }, "body": "q83v", "tokens": 375 })
    };
    let items: Vec<Value> = (0..ITEMS).map(item).collect();
    let body = json!({ "items": items }).to_string();
    let accepted = (0..5).any(|n| {
        let result = client::call(
            addresses[n % 3],
            "POST",
            "/lots-of/job",
            "job-1",
            body.as_bytes(),
            PATIENCE,
        );
        record.say(&format!(
            "batch job sent, result={:?}",
            result.as_ref().map(|(s, _)| *s)
        ));
        matches!(result, Ok((202, _)))
    });
    if !accepted {
        return Err("the batch job was not accepted".into());
    }
    thread::sleep(Duration::from_secs(3));
    stop.store(true, Ordering::Relaxed);
    clients
        .into_iter()
        .for_each(|c| c.join().expect("a client"));
    record.say("the traffic has ended");

    let ended = Instant::now();
    let mut listed = 0;
    let mut item_runs = 0;
    let mut reads = 0;
    while ended.elapsed() < FINISH && listed < ITEMS {
        thread::sleep(Duration::from_millis(500));
        reads += 1;
        let path = "/lots/job-1?after=0";
        if let Ok((200, text)) =
            client::call(addresses[reads % 3], "GET", path, "read", b"", PATIENCE)
        {
            let page: Value = serde_json::from_slice(&text).unwrap_or_default();
            listed = page["results"].as_array().map_or(0, Vec::len);
        }
        let runs = side.kind.runs.lock().unwrap();
        item_runs = runs.iter().filter(|r| r.id.starts_with("item-")).count();
    }
    let after = ended.elapsed();
    record.say(&format!(
        "items={ITEMS} listed={listed} item_runs={item_runs} {after:.1?} after the end of the traffic"
    ));
    record.flush();
    // No worker has an item, all are empty, and no item was finished in the last seconds.
    Ok(listed < ITEMS && item_runs == 0)
}

fn config(version: u64, timeout: u64) -> Value {
    let batch = json!({
        "name": "lots", "host": client::HOST, "path_prefix": "/lots-of/", "kind": "batch",
        "timeout_ms": 15000, "goal_ms": 400, "priority": 2, "service": "lm", "max_attempts": 3,
        "sticky": true, "resumable": true, "gap_target_ms": 250, "result_due_ms": 18000,
        "item_ttl_s": 60, "max_count": 2700000,
    });
    side::config(
        version,
        &[side::single_route("lm", timeout), batch],
        &["lm"],
    )
}
