//! Workers of a newer software version are added while one instance is cut off; then that instance is
//! killed, and its clients take their streams up elsewhere.

use std::{
    collections::BTreeSet,
    path::Path,
    sync::{Arc, atomic::Ordering},
    thread,
    time::Duration,
};

use crate::{
    client::{Clients, Outcome},
    instance::free_address,
    proxy::{self, Paths},
    record::Record,
    side::{self, Side},
};

pub const ZONES: [&str; 3] = ["a", "b", "c"];
/// Site file: core_cut and node_cut for_s = 5.5.
const CUT: Duration = Duration::from_millis(5500);
/// Site file: node_kill for_s = 3.5 at most.
const DOWN: Duration = Duration::from_secs(3);
/// RULES.md, ORDER: more than two streams.
const ALLOWED: usize = 2;

pub fn run(folder: &Path, work: &Path, trouble: &str) -> Result<bool, String> {
    let side = Side::start(folder, 40, Duration::from_millis(25), config());
    let (record, store) = (side.record.clone(), side.store.clone());
    (0..3).for_each(|n| side.add(n, "lm", ZONES[n % 3], "v1"));

    // Six instances, two in a zone. The first one stands behind a proxy.
    let paths: Arc<Paths> = Arc::default();
    let mut all = side.settings(&[store.address; 6], |n| ZONES[n / 2]);
    let own = (all[0].peers, free_address());
    let others: Vec<_> = all[1..].iter().map(|s| (s.peers, free_address())).collect();
    proxy::surround(own, &others, &paths);
    let behind = free_address();
    let shown: Vec<_> = others.iter().map(|(real, shown)| (*real, *shown)).collect();
    let (up, down) = (proxy::text_swaps(&[own]), proxy::text_swaps(&shown));
    proxy::tcp(behind, store.address, &paths, &up, &down);
    all[0].store = behind;
    all[0].seeds = vec![others[0].1, others[1].1];
    for settings in &mut all[1..] {
        settings.seeds = vec![own.1, others[0].0, others[1].0];
    }
    let mut instances = side::start(all, work)?;

    let clients = Clients::start(&record, &instances);
    thread::sleep(Duration::from_secs(3));

    if trouble == "1" {
        record.say("trouble: front-0 is cut off from the platform's store and the other machines");
        paths.cut.store(true, Ordering::Relaxed);
    }
    thread::sleep(Duration::from_secs(1));
    record.say("plan: six workers of version v2 are added");
    (3..9).for_each(|n| side.add(n, "lm", ZONES[n % 3], "v2"));
    thread::sleep(CUT - Duration::from_secs(1));
    let shares = store.get("stream-versions", "lm").unwrap_or_default();
    record.say(&format!("stored shares: {}", shares["spec"]));
    if trouble != "0" {
        record.say("trouble: front-0 is killed");
        instances[0].kill();
    }
    paths.cut.store(false, Ordering::Relaxed);
    thread::sleep(DOWN);
    if trouble != "0" {
        instances[0].restart();
    }
    thread::sleep(Duration::from_secs(4));
    judge(&record, clients.stop())
}

/// Counts the streams that hold events of two versions.
pub fn judge(record: &Record, outcomes: Vec<(String, Outcome)>) -> Result<bool, String> {
    let mut mixed = 0;
    let (mut total, mut complete, mut taken_up, mut gone_on) = (0, 0, 0, 0);
    for (name, outcome) in outcomes {
        total += 1;
        complete += usize::from(outcome.complete);
        taken_up += outcome.taken_up;
        gone_on += outcome.gone_on;
        let version = |(_, data): &(u64, String)| data.split('/').next().map(str::to_owned);
        let versions: BTreeSet<_> = outcome.events.iter().filter_map(version).collect();
        if versions.len() > 1 {
            mixed += 1;
            record.say(&format!(
                "broken: stream {name} holds events of {versions:?}"
            ));
        }
    }
    record.say(&format!(
        "streams={total} complete={complete} taken_up={taken_up} gone_on={gone_on} mixed={mixed} \
         allowed={ALLOWED}"
    ));
    record.flush();
    if total < 50 || complete * 2 < total {
        return Err("too few streams were served".into());
    }
    Ok(mixed > ALLOWED)
}

pub fn config() -> serde_json::Value {
    side::config(3, &[side::route("lm", 5000)], &["lm"])
}
