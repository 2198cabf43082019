//! Faulty workers break off some of their streams between two events.

use std::{
    collections::BTreeMap,
    path::Path,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    config,
    fleet::{Bounds, Instance, Record, until},
    http,
    store::Store,
    worker::{Breaks, Ledger, Output, Worker},
};

const BOUNDS: Bounds = Bounds {
    grace_s: 8.0,
    status_s: 120.0,
    memory_mb: 96,
};
const EVENTS: u64 = 25;
/// Time for which workers are faulty.
const FAULTY: Duration = Duration::from_secs(6);
/// One in so many of their answers is broken off: less than 0.03.
const EACH: usize = 34;
/// Callers that send one request after another.
const CALLERS: usize = 16;

pub fn run(trouble: bool, folder: &Path, scratch: &Path) -> i32 {
    let record = Record::create(folder);
    let store = Store::default();
    let ledger = Ledger::default();
    let output = Output {
        events: EVENTS,
        pause: Duration::from_millis(10),
        bytes: 75,
        unframed: true,
        ..Output::default()
    };
    let workers: Vec<Worker> = (0..4)
        .map(|n| Worker::start(&format!("w-{n}"), 8, output, &ledger))
        .collect();
    store.put("config", "main", &config(0));
    for (n, worker) in workers.iter().enumerate() {
        store.put("servers", &worker.id, &worker.entry(["z1", "z2"][n % 2]));
    }
    let mut instances = [("e1", "z1"), ("e2", "z2")].map(|(n, z)| Instance::plan(n, z, scratch));
    let seeds: Vec<_> = instances.iter().map(|i| i.peers).collect();
    let address = store.listen("all");
    for instance in &mut instances {
        instance.configure(address, &seeds, BOUNDS);
        instance.start();
    }
    if !until(Duration::from_secs(15), || {
        instances.iter().all(Instance::is_ready)
    }) {
        record.line("the instances did not become ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(3));
    let began = Instant::now();
    if trouble {
        for worker in &workers[..2] {
            worker.set_breaks(Some(Breaks {
                each: EACH,
                after: 12,
            }));
            record.line(&format!(
                "{} breaks off one of {EACH} answers from now on",
                worker.id
            ));
        }
    }
    let seen = Arc::new(Mutex::new(BTreeMap::new()));
    let callers: Vec<_> = (0..CALLERS)
        .map(|c| {
            let (seen, address) = (seen.clone(), instances[c % 2].callers);
            thread::spawn(move || {
                let mut n = 0;
                while began.elapsed() < FAULTY {
                    n += 1;
                    let id = format!("call-{c}-{n}");
                    let headers = [
                        ("host", "a.example"),
                        ("x-request-id", id.as_str()),
                        ("x-deadline-ms", "5000"),
                        ("x-model", "m"),
                        ("x-token-count", "100,25"),
                        ("x-prompt-prefix", "5c1e07a2:60,91bd3f06:40"),
                    ];
                    let body = format!("{{\"prompt\":\"{id}\"}}");
                    let limit = Duration::from_secs(6);
                    let answer = http::call(
                        address,
                        "POST",
                        "/once/2f",
                        &headers,
                        body.as_bytes(),
                        limit,
                    );
                    let end = match answer {
                        Ok(a) if a.status == 200 => Some(a.text().matches("data: ").count() as u64),
                        _ => None,
                    };
                    seen.lock().unwrap().insert(id, end);
                }
            })
        })
        .collect();
    for caller in callers {
        let _ = caller.join();
    }
    let runs = ledger.lock().unwrap().clone();
    let seen = seen.lock().unwrap();
    let whole = seen.values().filter(|e| **e == Some(EVENTS)).count();
    let mut short = 0;
    for run in runs.iter().filter(|r| !r.whole) {
        let end = seen.get(&run.id).copied().flatten();
        let looks = end.map_or("broken off or refused".to_owned(), |e| {
            format!("complete with 200 and {e} of {EVENTS} events")
        });
        short += usize::from(end.is_some_and(|e| e < EVENTS));
        record.line_at(
            run.began,
            &format!(
                "request {} is broken off at {}; to its client the answer is {looks}",
                run.id, run.worker
            ),
        );
    }
    record.line(&format!(
        "{} requests, {whole} whole, {} broken off by workers, {short} of these look complete",
        seen.len(),
        runs.iter().filter(|r| !r.whole).count()
    ));
    println!("streams that look complete and lack events: {short}");
    i32::from(short > 0)
}
