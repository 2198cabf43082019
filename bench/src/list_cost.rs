//! Cost of the instance list by its length: bytes from the platform, processor time and memory of
//! the control thread, and bytes between entry instances after a restart.

use std::{thread, time::Duration};

use anyhow::Context;
use serde_json::{Value, json};

use crate::processes::{Entry, Fleet, Shape, call, wait_until};

/// Entry instances on the list, besides the running ones, at the target size.
const LISTED_ENTRIES: usize = 366;
/// Numbers of workers on the list that are compared.
const TARGET_STEPS: [usize; 4] = [0, 1_000, 4_000, 12_000];
/// Zones of the listed instances, at the target size.
const ZONES: usize = 8;
/// Time for the fleet to read the list.
const WARM_UP: Duration = Duration::from_secs(8);
/// Length of each measurement.
const MEASURE_TIME: Duration = Duration::from_secs(20);
/// Number of changes of the list in the second measurement, one per second.
const CHANGES: u32 = 20;
/// Time after the restart of an instance in which bytes are counted.
const RESTART_TIME: Duration = Duration::from_secs(15);
/// One zone with two watchers and two instances that get changes from them.
const SHAPE: Shape = Shape {
    zones: 1,
    entries: 4,
    workers: 1,
    slots: 32,
    token_ms: 1,
};

/// Snapshot of counters.
#[derive(Debug, Clone, Copy)]
struct Counts {
    cpu: f64,
    reads: f64,
    list_bytes: f64,
    peer_bytes: f64,
}

/// Measures and prints the cost of the instance list.
///
/// # Errors
///
/// Returns an error when a process does not start or does not answer.
pub fn run() -> anyhow::Result<()> {
    println!(
        "| entries | workers | bytes of the list | idle: reads/s | bytes a read | control CPU of 4, % of a core | one change/s: bytes a read | control CPU of 4, % | peer bytes/s of 4 | restart of one: KB sent by the other 3 | memory MB |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|");
    for targets in TARGET_STEPS {
        row(targets)?;
    }
    Ok(())
}

fn row(targets: usize) -> anyhow::Result<()> {
    let mut fleet = Fleet::start(SHAPE)?;
    fill(&fleet, targets)?;
    thread::sleep(WARM_UP);
    let length = call(fleet.platform, "GET", "/instances", "")?.len();
    let start = counts(&fleet)?;
    thread::sleep(MEASURE_TIME);
    let idle = counts(&fleet)?.since(start);
    let start = counts(&fleet)?;
    for change in 0..CHANGES {
        let state = if change % 2 == 0 { "leaving" } else { "live" };
        register(&fleet, "targets", "listed-0", &target(0, state))?;
        thread::sleep(MEASURE_TIME / CHANGES);
    }
    let busy = counts(&fleet)?.since(start);
    let memory = fleet.entries.iter().map(Entry::memory).max().unwrap_or(0) as f64 / 1e6;
    let restarted = restart_bytes(&mut fleet)? / 1e3;
    let seconds = MEASURE_TIME.as_secs_f64();
    println!(
        "| {} | {targets} | {length} | {:.1} | {:.0} | {:.2} | {:.0} | {:.2} | {:.0} | {restarted:.0} | {memory:.1} |",
        LISTED_ENTRIES + SHAPE.entries,
        idle.reads / seconds,
        idle.list_bytes / idle.reads,
        idle.cpu / seconds * 100.0,
        busy.list_bytes / busy.reads,
        busy.cpu / seconds * 100.0,
        busy.peer_bytes / seconds,
    );
    Ok(())
}

/// Adds instances that do not run to the list. Their zones are not those of running instances, so
/// that they are not used as peers of the zone.
fn fill(fleet: &Fleet, targets: usize) -> anyhow::Result<()> {
    for i in 0..LISTED_ENTRIES {
        let id = format!("listed-{i}");
        let entry = json!({
            "id": id, "session": 1_000_000_007_u64 * i as u64, "zone": zone(i), "state": "live",
            "address": "127.0.0.1:1", "peer_address": "127.0.0.1:1",
        });
        register(fleet, "entries", &id, &entry)?;
    }
    for i in 0..targets {
        register(fleet, "targets", &format!("listed-{i}"), &target(i, "live"))?;
    }
    Ok(())
}

fn target(i: usize, state: &str) -> Value {
    json!({
        "id": format!("listed-{i}"), "kind": "engine", "service": "",
        "address": format!("127.0.0.1:{}", 1 + i % 1000), "zone": zone(i), "state": state,
    })
}

fn zone(i: usize) -> String {
    format!("listed-zone-{}", i % ZONES)
}

fn register(fleet: &Fleet, group: &str, id: &str, value: &Value) -> anyhow::Result<()> {
    let path = format!("/instances/{group}/{id}");
    call(fleet.platform, "PUT", &path, &value.to_string())?;
    Ok(())
}

fn counts(fleet: &Fleet) -> anyhow::Result<Counts> {
    let ledger = fleet.platform_ledger()?;
    let number = |value: &Value| value.as_f64().context("the ledger lacks a count");
    Ok(Counts {
        cpu: fleet.entries.iter().map(|e| e.thread_cpu("control")).sum(),
        reads: number(&ledger["instance_reads"]["total"])?,
        list_bytes: number(&ledger["instance_bytes"])?,
        peer_bytes: sum_peer_bytes(&fleet.entries)?,
    })
}

fn sum_peer_bytes(entries: &[Entry]) -> anyhow::Result<f64> {
    let each = entries.iter().map(|e| e.metric("gentianpath_peer_bytes"));
    each.sum()
}

/// Restarts the last instance and returns the peer bytes of the others, minus those when idle.
fn restart_bytes(fleet: &mut Fleet) -> anyhow::Result<f64> {
    let last = SHAPE.entries - 1;
    let idle = sum_peer_bytes(&fleet.entries[..last])?;
    thread::sleep(RESTART_TIME);
    let start = sum_peer_bytes(&fleet.entries[..last])?;
    let idle = start - idle;
    fleet.kill(last)?;
    fleet.restart(last)?;
    wait_until(|| call(fleet.entries[last].operators, "GET", "/livez", "").is_ok())?;
    thread::sleep(RESTART_TIME);
    Ok(sum_peer_bytes(&fleet.entries[..last])? - start - idle)
}

impl Counts {
    fn since(self, before: Self) -> Self {
        Self {
            cpu: self.cpu - before.cpu,
            reads: self.reads - before.reads,
            list_bytes: self.list_bytes - before.list_bytes,
            peer_bytes: self.peer_bytes - before.peer_bytes,
        }
    }
}
