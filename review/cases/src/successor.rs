//! The instance that has just stored new shares of the versions is killed before it tells the others.
//! Some seconds later a second instance is killed, and its clients take their streams up elsewhere.

use std::{path::Path, thread, time::Duration};

use crate::{
    client::Clients,
    side::{self, Side, name},
    versions::{self, ZONES},
};

/// Time for which front-0 is down; the writer is down for half of it and some 1.9 s before. Site file:
/// node_kill for_s = 3.5 at most.
const DOWN: Duration = Duration::from_millis(2800);
/// Time for which the case waits for a call of the store.
const PATIENCE: Duration = Duration::from_secs(20);
/// Stored shares of the versions.
const SHARES: &str = "stream-versions";

pub fn run(folder: &Path, work: &Path, trouble: &str) -> Result<bool, String> {
    let side = Side::start(folder, 40, Duration::from_millis(25), versions::config());
    let (record, store) = (side.record.clone(), side.store.clone());
    (0..3).for_each(|n| side.add(n, "lm", ZONES[n % 3], "v1"));
    // These are bound before any port is chosen for an instance.
    let stores: Vec<_> = (0..6).map(|n| store.address_for(&name(n))).collect();
    let all = side.settings(&stores, |n| ZONES[n / 2]);
    let mut instances = side::start(all, work)?;

    let clients = Clients::start(&record, &instances);
    thread::sleep(Duration::from_secs(2));

    let calls = store.observe(SHARES);
    record.say("plan: six workers of version v2 are added");
    (3..9).for_each(|n| side.add(n, "lm", ZONES[n % 3], "v2"));
    let index = |caller: &str| (0..6).find(|n| name(*n) == caller);
    let written = loop {
        match calls.recv_timeout(PATIENCE) {
            Ok((caller, method)) if method == "PUT" => break index(&caller),
            Ok(_) => {}
            Err(_) => break None,
        }
    };
    let Some(writer) = written else {
        return Err("nobody stored new shares".into());
    };
    if trouble == "1" {
        instances[writer].kill();
        record.say(&format!(
            "trouble: {} has stored the new shares and is killed",
            name(writer)
        ));
        // The next one to read them has taken the duty over.
        let Ok((successor, _)) = calls.recv_timeout(PATIENCE) else {
            return Err("nobody took over".into());
        };
        record.say(&format!("{successor} reads the stored shares"));
    } else {
        thread::sleep(Duration::from_secs(2));
    }
    thread::sleep(Duration::from_millis(300));
    if trouble != "0" {
        instances[0].kill();
        record.say("trouble: front-0 is killed");
    }
    thread::sleep(DOWN / 2);
    if trouble == "1" {
        instances[writer].restart();
        record.say(&format!("{} is back", name(writer)));
    }
    thread::sleep(DOWN / 2);
    if trouble != "0" {
        instances[0].restart();
    }
    thread::sleep(Duration::from_secs(4));
    versions::judge(&record, clients.stop())
}
