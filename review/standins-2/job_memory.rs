//! One of two instances is lost for good, and the other one takes over its batch jobs.

use std::{
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    base64, config,
    fleet::{Bounds, Instance, Record, until},
    http::{self, Kept},
    json::Json,
    store::Store,
    worker::{Ledger, Output, Worker},
};

const MEMORY_MB: u32 = 96;
const BOUNDS: Bounds = Bounds {
    grace_s: 8.0,
    status_s: 120.0,
    memory_mb: MEMORY_MB,
};
const JOBS: usize = 260;
const ITEMS: usize = 24;
/// Bytes of the body of an item.
const BODY: usize = 15_000;
/// Clients of the instance that stays, each with a kept connection.
const CALLERS: usize = 12;

pub fn run(trouble: bool, folder: &Path, scratch: &Path) -> i32 {
    let record = Record::create(folder);
    let store = Store::default();
    let ledger = Ledger::default();
    let output = Output {
        events: 5,
        pause: Duration::from_millis(10),
        bytes: 40,
        head: Duration::from_millis(150),
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
    let body = base64(&vec![b'c'; BODY]);
    let limit = Duration::from_secs(5);
    let mut jobs = Vec::new();
    for n in 0..JOBS {
        let began = Instant::now();
        let id = format!("{:08x}c41e09b5", n as u32 * 2_654_435_761u32);
        let items: Vec<String> = (0..ITEMS)
            .map(|i| {
                format!(
                    "{{\"id\":\"{id}.{i}\",\"path\":\"/batch/3/{i}\",\"headers\":{{\"X-Model\":\"m\",\
                     \"X-Token-Count\":\"100,5\",\"X-Prompt-Prefix\":\"a:60,{n:x}{i:x}:40\"}},\
                     \"body\":\"{body}\",\"tokens\":105}}"
                )
            })
            .collect();
        let job = format!("{{\"items\":[{}]}}", items.join(","));
        let headers = [
            ("host", "a.example"),
            ("x-request-id", id.as_str()),
            ("content-type", "application/json"),
        ];
        let address = instances[n % 2].callers;
        let answer = http::call(
            address,
            "POST",
            &format!("/batch/{id}"),
            &headers,
            job.as_bytes(),
            limit,
        );
        let status = answer.map_or(0, |a| a.status);
        if status != 202 {
            record.line(&format!("job {id}: {status}"));
        } else {
            jobs.push(id);
        }
        thread::sleep(Duration::from_millis(220).saturating_sub(began.elapsed()));
    }
    record.line(&format!(
        "{} jobs of {ITEMS} items of {BODY} bytes are accepted",
        jobs.len()
    ));
    let is_done = |id: &String| {
        let path = format!("/lots/{id}?after=0");
        let answer = http::call(
            instances[1].callers,
            "GET",
            &path,
            &[("host", "a.example")],
            b"",
            limit,
        );
        let page = answer
            .ok()
            .and_then(|a| Json::parse(&a.text()))
            .unwrap_or_default();
        page.get("results").list().len() == ITEMS
    };
    if !until(Duration::from_secs(20), || jobs.iter().all(is_done)) {
        record.line("the jobs were not run");
        return 2;
    }
    for instance in &instances {
        record.line(&format!(
            "all jobs are done; {} uses {} KiB",
            instance.name,
            instance.memory_kib()
        ));
    }
    let over = Arc::new(AtomicBool::new(false));
    let cut = Arc::new(AtomicUsize::new(0));
    let served = Arc::new(AtomicUsize::new(0));
    let lost = Arc::new(Mutex::new(Vec::new()));
    let callers: Vec<_> = (0..CALLERS)
        .map(|c| {
            let (over, cut, served, lost) =
                (over.clone(), cut.clone(), served.clone(), lost.clone());
            let address = instances[1].callers;
            thread::spawn(move || {
                let mut client = Kept::new(address);
                let mut n = 0;
                while !over.load(Ordering::Relaxed) {
                    n += 1;
                    let id = format!("call-{c}-{n}");
                    let headers = [
                        ("host", "a.example"),
                        ("x-request-id", id.as_str()),
                        ("x-deadline-ms", "5000"),
                        ("x-model", "m"),
                        ("x-token-count", "100,5"),
                        ("x-prompt-prefix", "5c1e07a2:60,91bd3f06:40"),
                    ];
                    let kept = client.is_kept();
                    match client.post(
                        "/once/2f",
                        &headers,
                        format!("{{\"prompt\":\"{id}\"}}").as_bytes(),
                    ) {
                        Ok(_) => {
                            served.fetch_add(1, Ordering::Relaxed);
                        }
                        Err(_) if kept => {
                            cut.fetch_add(1, Ordering::Relaxed);
                            lost.lock().unwrap().push((Instant::now(), id));
                        }
                        Err(_) => thread::sleep(Duration::from_millis(300)),
                    }
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    if trouble {
        instances[0].kill();
        record.line("e1 is lost for good");
    }
    let began = Instant::now();
    let (mut ends, mut most) = (0, 0);
    while began.elapsed() < Duration::from_secs(20) {
        thread::sleep(Duration::from_millis(20));
        let used = instances[1].memory_kib();
        most = most.max(used);
        let has_ended = instances[1].has_ended();
        if has_ended || used > u64::from(MEMORY_MB) << 10 {
            record.line(&format!("e2 uses {used} KiB, more than {MEMORY_MB} MB, and is killed (ended by itself: {has_ended})"));
            instances[1].kill();
            ends += 1;
            thread::sleep(Duration::from_millis(500));
            instances[1].start();
            record.line("e2 is started again");
        }
    }
    over.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    let runs = ledger.lock().unwrap().clone();
    let mut passed = 0;
    for (at, id) in lost.lock().unwrap().iter() {
        let run = runs.iter().find(|r| r.id == *id);
        passed += usize::from(run.is_some());
        let worker = run.map_or("no worker", |r| &r.worker);
        record.line_at(*at, &format!("request {id}, passed on to {worker}: its kept connection is closed without an answer"));
    }
    record.line(&format!(
        "e2: ends {ends}, most memory {most} KiB; requests served {}, cut on kept connections {}, of these passed on {passed}",
        served.load(Ordering::Relaxed),
        cut.load(Ordering::Relaxed)
    ));
    println!(
        "ends of e2: {ends}; requests that were passed on and cut on kept connections: {passed}; most memory {most} KiB"
    );
    i32::from(passed > 3)
}
