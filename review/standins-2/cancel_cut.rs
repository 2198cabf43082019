//! An instance that runs a batch job is cut off from the other instances, and only from them, while the job is
//! ended at another one.

use std::{
    collections::BTreeMap,
    path::Path,
    thread,
    time::{Duration, Instant},
};

use crate::{
    base64, config,
    fleet::{Bounds, Instance, Record, until},
    http::{self, Answer},
    nat::Link,
    store::Store,
    worker::{Ledger, Output, Worker},
};

const JOBS: usize = 9;
const ITEMS: usize = 40;
/// `cancel_ms` of all sites.
const CANCEL: Duration = Duration::from_millis(3000);
/// Length of the cut.
const CUT: Duration = Duration::from_secs(12);
/// Time from the begin of the cut to the calls that end the jobs.
const ENDED_AT: Duration = Duration::from_secs(5);

const BOUNDS: Bounds = Bounds {
    grace_s: 8.0,
    status_s: 120.0,
    memory_mb: 96,
};

pub fn run(trouble: bool, folder: &Path, scratch: &Path) -> i32 {
    let record = Record::create(folder);
    let store = Store::default();
    let ledger = Ledger::default();
    let output = Output {
        events: 20,
        pause: Duration::from_millis(20),
        bytes: 20,
        ..Output::default()
    };
    let workers = ["w-1", "w-2"].map(|id| Worker::start(id, 4, output, &ledger));
    store.put("config", "main", &config(0));
    for (worker, zone) in workers.iter().zip(["z1", "z2"]) {
        store.put("servers", &worker.id, &worker.entry(zone));
    }
    let mut instances = [("e1", "z1"), ("e2", "z2"), ("e3", "z2")]
        .map(|(name, zone)| Instance::plan(name, zone, scratch));
    let (first, others) = instances.split_first().unwrap();
    let others: Vec<_> = others.iter().map(|i| i.peers).collect();
    let link = Link::start(first.peers, &others);
    for (real, front) in others.iter().zip(&link.outer) {
        store.rename("e1", &real.to_string(), &front.to_string());
    }
    for caller in ["e2", "e3"] {
        store.rename(caller, &first.peers.to_string(), &link.inner.to_string());
    }
    let seeds = [link.inner, others[0], others[1]];
    for (i, instance) in instances.iter_mut().enumerate() {
        let address = store.listen(&instance.name);
        let seeds = if i == 0 {
            [instance.peers, link.outer[0], link.outer[1]]
        } else {
            seeds
        };
        instance.configure(address, &seeds, BOUNDS);
        instance.start();
    }
    if !until(Duration::from_secs(15), || {
        instances.iter().all(Instance::is_ready)
    }) {
        record.line("the instances did not become ready");
        return 2;
    }
    record.line("3 instances are ready");
    thread::sleep(Duration::from_secs(4));

    let mut jobs = Vec::new();
    for n in 0..JOBS {
        let id = format!("job{n:05}c41e09b5");
        let answer = submit(&instances[n % 3], &id);
        record.line(&format!(
            "job {id} is sent to {}: {}",
            instances[n % 3].name,
            status(&answer)
        ));
        if !answer.is_ok_and(|a| a.status == 202) {
            return 2;
        }
        jobs.push(id);
    }
    thread::sleep(Duration::from_secs(1));
    let cut_at = Instant::now();
    if trouble {
        link.set_cut(true);
        record.line(
            "e1 is cut off from e2 and e3; it reaches the store, the workers and the clients",
        );
    }
    thread::sleep(ENDED_AT.saturating_sub(cut_at.elapsed()));
    let mut ended: BTreeMap<String, Instant> = BTreeMap::new();
    for id in &jobs {
        let headers = [("host", "a.example")];
        let path = format!("/lots/{id}");
        let limit = Duration::from_secs(5);
        let answer = http::call(instances[1].callers, "DELETE", &path, &headers, b"", limit);
        record.line(&format!("job {id} is ended at e2: {}", status(&answer)));
        if !answer.is_ok_and(|a| a.status == 200) {
            return 2;
        }
        ended.insert(id.clone(), Instant::now());
    }
    thread::sleep(CUT.saturating_sub(cut_at.elapsed()));
    let healed_at = Instant::now();
    link.set_cut(false);
    if trouble {
        record.line("the cut is over");
    }
    thread::sleep(Duration::from_secs(4));
    for instance in &mut instances {
        let gap = store.longest_gap(&instance.name, cut_at, healed_at);
        let has_ended = instance.has_ended();
        record.line(&format!(
            "{}: longest time between two calls that the store answered {} ms; process ended by itself: {has_ended}",
            instance.name,
            gap.as_millis()
        ));
    }
    let runs = ledger.lock().unwrap().clone();
    let mut late = 0;
    for run in &runs {
        let job = run.id.split('.').next().unwrap_or_default();
        let Some(end) = ended.get(job) else { continue };
        let since = run.began.saturating_duration_since(*end);
        if since <= CANCEL {
            continue;
        }
        late += 1;
        record.line_at(
            run.began,
            &format!(
                "item {} begins to run at {} {} ms after the acknowledgement of the end of its job",
                run.id,
                run.worker,
                since.as_millis()
            ),
        );
    }
    let (before, after): (Vec<_>, Vec<_>) = runs.iter().partition(|r| r.began < cut_at + ENDED_AT);
    record.line(&format!(
        "runs before the ends {}, after them {}, later than cancel_ms after them {late}",
        before.len(),
        after.len()
    ));
    println!("items that began to run later than cancel_ms after the end of their job: {late}");
    i32::from(late > 0)
}

fn status(answer: &std::io::Result<Answer>) -> String {
    match answer {
        Ok(answer) => answer.status.to_string(),
        Err(e) => e.to_string(),
    }
}

fn submit(instance: &Instance, id: &str) -> std::io::Result<Answer> {
    let items: Vec<String> = (0..ITEMS)
        .map(|n| {
            let body = base64(format!("body {id} {n}").as_bytes());
            format!(
                "{{\"id\":\"{id}.{n}\",\"path\":\"/batch/3/{n}\",\"headers\":{{\"X-Model\":\"m\",\
                 \"X-Token-Count\":\"100,40\",\"X-Prompt-Prefix\":\"{n:x}1:60,{n:x}2:40\"}},\
                 \"body\":\"{body}\",\"tokens\":140}}"
            )
        })
        .collect();
    let body = format!("{{\"items\":[{}]}}", items.join(","));
    let headers = [
        ("host", "a.example"),
        ("x-request-id", id),
        ("content-type", "application/json"),
    ];
    let path = format!("/batch/{id}");
    let limit = Duration::from_secs(5);
    http::call(
        instance.callers,
        "POST",
        &path,
        &headers,
        body.as_bytes(),
        limit,
    )
}
