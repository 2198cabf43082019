//! Seeded random schedule of overlapping faults over instances and workers that run as processes.
//! At its end no answer that looks complete, no text of a job and no count of runs may be wrong.
//!
//! `GENTIANPATH_GATEWAY_SOAK_S` sets the length in seconds, `GENTIANPATH_GATEWAY_SOAK_SEED` the seed,
//! `GENTIANPATH_GATEWAY_SOAK_FRAMING` how workers mark the end of their answers, and
//! `GENTIANPATH_GATEWAY_SOAK_LOGS` a folder that keeps the logs of the instances.

mod gateway_support;
mod support;

use std::{
    collections::HashMap,
    net::SocketAddr,
    ops::Range,
    path::PathBuf,
    sync::{
        Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use gateway_support::{
    Instance, Store,
    caller::{Caller, Seen},
    config, job_body,
    relay::Relay,
    worker_process::{Setup, WorkerProcess},
};
use serde_json::{Value, json};
use support::{http, until};

/// Length of the test in CI, in seconds.
const CI_LENGTH_S: u64 = 20;
/// Seed of the test in CI.
const CI_SEED: u64 = 7;
const INSTANCES: usize = 3;
const WORKERS: usize = 4;
const CALLERS: usize = 8;
/// Items of a job.
const ITEMS: usize = 4;
/// Calls in which a caller takes up a stream.
const TAKE_UPS: usize = 4;
/// Time that a caller waits in all, which is also the timeout of the routes.
const DEADLINE: Duration = Duration::from_millis(5000);
/// Versions of the workers' software.
const VERSIONS: [&str; 2] = ["v1.", "v2."];
/// Time of a worker from its stop signal to its end.
const DRAIN: Duration = Duration::from_millis(1200);

/// What the callers saw, and what was wrong with it.
#[derive(Debug, Default)]
struct Record {
    violations: Vec<String>,
    /// Requests that may run once, and whether they were refused.
    once: Vec<(String, bool)>,
    /// Answers by kind of route and by how they ended.
    ends: HashMap<(&'static str, &'static str), usize>,
    /// Results of accepted jobs as they were read.
    jobs: HashMap<String, Vec<Value>>,
}

struct Soak {
    store: Store,
    setups: [Setup; 2],
    /// Addresses for callers and for other instances.
    addresses: Mutex<Vec<(SocketAddr, SocketAddr)>>,
    record: Mutex<Record>,
    stop: AtomicBool,
    logs: Option<PathBuf>,
}

fn variable(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.and_then(|v| v.parse().ok()).unwrap_or(default)
}

fn pause(rng: &mut fastrand::Rng, millis: Range<u64>) {
    thread::sleep(Duration::from_millis(rng.u64(millis)));
}

impl Soak {
    fn is_running(&self) -> bool {
        !self.stop.load(Ordering::SeqCst)
    }

    fn address(&self, rng: &mut fastrand::Rng) -> SocketAddr {
        self.addresses.lock().unwrap()[rng.usize(..INSTANCES)].0
    }

    fn report(&self, violation: String) {
        println!("violation: {violation}");
        self.record.lock().unwrap().violations.push(violation);
    }

    fn count(&self, kind: &'static str, seen: &Seen) {
        let end = match (seen.complete, seen.status) {
            (true, 200) => "whole",
            (true, _) => "refused",
            (false, _) => "broken",
        };
        let mut record = self.record.lock().unwrap();
        *record.ends.entry((kind, end)).or_default() += 1;
    }

    /// Lists a worker by the address of its relay.
    fn list(&self, worker: &WorkerProcess, relay: &Relay, state: &str) {
        let mut entry = worker.entry(state);
        entry["addr"] = json!(relay.address);
        self.store.put("servers", &worker.id, entry);
    }

    fn trouble_worker(&self, n: usize, seed: u64) -> (WorkerProcess, Relay) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let setup = &self.setups[n % VERSIONS.len()];
        let mut worker = WorkerProcess::spawn(setup, &format!("w{n}"), 1);
        let length = setup.answer().len() + 200;
        let relay = Relay::start(worker.standin.address, rng.u64(..), length);
        self.list(&worker, &relay, "ready");
        for born in 2.. {
            pause(&mut rng, 500..2500);
            if !self.is_running() {
                break;
            }
            let mut id = worker.id.clone();
            match rng.u32(..5) {
                0 | 1 => {
                    worker.standin.process.kill();
                    pause(&mut rng, 0..800);
                }
                2 | 3 => {
                    worker.standin.process.pause();
                    pause(&mut rng, 100..1500);
                    worker.standin.process.resume();
                    continue;
                }
                _ => {
                    self.list(&worker, &relay, "draining");
                    worker.standin.process.terminate();
                    thread::sleep(DRAIN);
                }
            }
            if rng.bool() {
                self.store.remove("servers", &id);
                id = format!("w{n}-{born}");
            }
            worker = WorkerProcess::spawn(setup, &id, born);
            relay.set_target(worker.standin.address);
            self.list(&worker, &relay, "ready");
        }
        relay.heal();
        (worker, relay)
    }

    fn start_instance(&self, n: usize) -> Instance {
        let seeds: Vec<SocketAddr> = {
            let addresses = self.addresses.lock().unwrap();
            let others = addresses.iter().enumerate().filter(|(i, _)| *i != n);
            others.map(|(_, (_, peers))| *peers).collect()
        };
        Instance::start(&format!("entry-{n}"), &self.store, &seeds)
    }

    fn trouble_instance(&self, n: usize, mut instance: Instance, seed: u64) -> Instance {
        let mut rng = fastrand::Rng::with_seed(seed);
        for start in 0.. {
            pause(&mut rng, 1500..4000);
            if !self.is_running() {
                break;
            }
            match rng.u32(..4) {
                0 => instance.kill(),
                1 => {
                    instance.terminate();
                    instance.wait_end();
                }
                _ => {
                    instance.pause();
                    pause(&mut rng, 100..2000);
                    instance.resume();
                    continue;
                }
            }
            self.keep_log(&instance, &format!("entry-{n}.{start}"));
            instance = self.start_instance(n);
            self.addresses.lock().unwrap()[n] = (instance.callers, instance.peers);
        }
        instance
    }

    fn keep_log(&self, instance: &Instance, name: &str) {
        if let Some(logs) = &self.logs {
            std::fs::create_dir_all(logs).unwrap();
            std::fs::copy(&instance.log, logs.join(name)).unwrap();
        }
    }

    fn call(&self, n: usize, seed: u64) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut caller = Caller::default();
        for k in 0.. {
            if !self.is_running() {
                break;
            }
            let is_slow = rng.u32(..8) == 0;
            caller.pause = Duration::from_millis(if is_slow { 30 } else { 0 });
            let id = format!("c{n}-{k}");
            match rng.u32(..6) {
                0..3 => self.call_stream(&mut caller, &mut rng, &id),
                3 => self.call_lone("single", &mut caller, &mut rng, &id),
                4 => self.call_lone("safe", &mut caller, &mut rng, &id),
                _ => self.call_lone("unsafe", &mut caller, &mut rng, &id),
            }
            pause(&mut rng, 0..60);
        }
    }

    /// Sends a stream that is taken up at any instance after a break.
    fn call_stream(&self, caller: &mut Caller, rng: &mut fastrand::Rng, id: &str) {
        let mut text = String::new();
        let mut origin: Option<String> = None;
        let begin = Instant::now();
        for attempt in 0..TAKE_UPS {
            let call = format!("{id}.{attempt}");
            let left = DEADLINE.saturating_sub(begin.elapsed()).as_millis();
            if left == 0 {
                return;
            }
            let left = left.to_string();
            let events = text.matches("\n\n").count();
            let last = events.saturating_sub(1).to_string();
            let mut headers = vec![("x-request-id", &*call), ("x-deadline-ms", &*left)];
            if let Some(origin) = &origin {
                headers.extend([("last-event-id", &*last), ("resumes", origin)]);
            }
            let path = format!("/resumable/{id}");
            let seen = caller.post(self.address(rng), &path, &headers, id);
            self.count("resumable", &seen);
            let part = seen.text();
            if seen.complete && seen.status == 200 {
                let whole = text + &part;
                if !self.setups.iter().any(|s| s.answer() == whole) {
                    self.report(format!("{call} after {events} events: complete {whole:?}"));
                }
                return;
            }
            if seen.status == 200 {
                let end = part.rfind("\n\n").map_or(0, |end| end + 2);
                text += &part[..end];
                if !self.is_begun(&text) {
                    self.report(format!("{call} after {events} events: {text:?}"));
                }
            }
            if origin.is_none() && !text.is_empty() {
                origin = Some(call);
            }
            pause(rng, 0..200);
        }
    }

    /// Sends a request whose answer comes from one worker.
    fn call_lone(
        &self,
        kind: &'static str,
        caller: &mut Caller,
        rng: &mut fastrand::Rng,
        id: &str,
    ) {
        let headers = [("x-request-id", id), ("x-deadline-ms", "5000")];
        let seen = caller.post(self.address(rng), &format!("/{kind}/{id}"), &headers, id);
        self.count(kind, &seen);
        let text = seen.text();
        let is_right = match (seen.status, seen.complete) {
            (200, true) => self.setups.iter().any(|s| s.answer() == text),
            (200, false) => self.is_begun(&text),
            _ => true,
        };
        if !is_right {
            let end = if seen.complete { "complete" } else { "broken" };
            self.report(format!("{kind} {id}: {end} {text:?}"));
        }
        if kind != "safe" {
            let refused = seen.complete && matches!(seen.status, 408 | 421 | 429 | 503);
            let mut record = self.record.lock().unwrap();
            record.once.push((id.to_owned(), refused));
        }
    }

    /// Returns whether a text is the beginning of an answer.
    fn is_begun(&self, text: &str) -> bool {
        self.setups.iter().any(|s| s.answer().starts_with(text))
    }

    /// Submits jobs, and reads earlier ones.
    fn submit(&self, seed: u64) {
        let mut rng = fastrand::Rng::with_seed(seed);
        for n in 0.. {
            let job = format!("job{n}");
            let ids: Vec<String> = (0..ITEMS).map(|i| format!("{job}-{i}")).collect();
            let items: Vec<(&str, &str)> = ids.iter().map(|id| (&**id, "")).collect();
            let body = job_body(&items);
            loop {
                if !self.is_running() {
                    return;
                }
                let headers = [("x-request-id", &*job)];
                let address = self.address(&mut rng);
                let answer = http::call(address, "POST", "/jobs/x", &headers, &body);
                if answer.is_some_and(|a| a.status == 202) {
                    break;
                }
                pause(&mut rng, 50..200);
            }
            self.record.lock().unwrap().jobs.insert(job, Vec::new());
            self.read(&format!("job{}", rng.usize(..=n)), self.address(&mut rng));
            pause(&mut rng, 300..1200);
        }
    }

    /// Reads a job, compares it with what was read before, and returns the number of its results.
    fn read(&self, job: &str, address: SocketAddr) -> usize {
        let answer = http::call(address, "GET", &format!("/lots/{job}?after=0"), &[], "");
        let Some(answer) = answer.filter(|a| a.status == 200) else {
            return 0;
        };
        let results = answer.json()["results"].as_array().cloned();
        let results = results.unwrap_or_default();
        let mut record = self.record.lock().unwrap();
        let known = record.jobs.entry(job.to_owned()).or_default();
        let is_same = known.iter().zip(&results).all(|(a, b)| a == b);
        let earlier = known.clone();
        if known.len() < results.len() {
            known.clone_from(&results);
        }
        drop(record);
        if !is_same {
            self.report(format!("{job}: {earlier:?}, then {results:?}"));
        }
        results.len()
    }

    fn check_job(&self, job: &str, results: &[Value]) {
        let mut ids: Vec<&str> = results.iter().filter_map(|r| r["id"].as_str()).collect();
        ids.sort_unstable();
        let expected: Vec<String> = (0..ITEMS).map(|i| format!("{job}-{i}")).collect();
        let is_whole = |r: &Value| {
            r["state"] == "done" && self.setups.iter().any(|s| r["output"] == s.output())
        };
        if ids != expected || !results.iter().all(is_whole) {
            self.report(format!("{job}: {results:?}"));
        }
    }

    /// Checks that requests that may run once did, and that refused ones did not.
    fn check_runs(&self) {
        let mut runs: HashMap<String, usize> = HashMap::new();
        for (id, _) in self.setups[0].runs() {
            *runs.entry(id).or_default() += 1;
        }
        let once = std::mem::take(&mut self.record.lock().unwrap().once);
        for (id, refused) in once {
            let count = runs.get(&id).copied().unwrap_or_default();
            if count > usize::from(!refused) {
                self.report(format!("{id} ran {count} times, refused: {refused}"));
            }
        }
    }
}

fn start(folder: &tempfile::TempDir) -> Soak {
    let framing = std::env::var("GENTIANPATH_GATEWAY_SOAK_FRAMING");
    let framing = framing.unwrap_or_else(|_| "mixed".to_owned());
    let setup = |version| Setup {
        events: 20,
        pause_ms: 15,
        framing: framing.clone(),
        version,
        options: Vec::new(),
        ledger: folder.path().join("ledger"),
    };
    let store = Store::start();
    let mut config = config(1);
    for route in config["routes"].as_array_mut().unwrap() {
        route["item_ttl_s"] = 3600.into();
        route["max_count"] = 0.into();
    }
    store.put("config", "main", config);
    Soak {
        store,
        setups: VERSIONS.map(setup),
        addresses: Mutex::default(),
        record: Mutex::default(),
        stop: AtomicBool::default(),
        logs: std::env::var_os("GENTIANPATH_GATEWAY_SOAK_LOGS").map(PathBuf::from),
    }
}

/// Guards against combined faults that tear, mix or double an answer or the output of an item.
#[test]
fn overlapping_faults_tear_and_double_nothing() {
    let length = Duration::from_secs(variable("GENTIANPATH_GATEWAY_SOAK_S", CI_LENGTH_S));
    let seed = variable("GENTIANPATH_GATEWAY_SOAK_SEED", CI_SEED);
    let folder = tempfile::tempdir().unwrap();
    let soak = &start(&folder);
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut seeds = move || rng.u64(..);
    let (_workers, instances) = thread::scope(|scope| {
        let trouble = |n| {
            let seed = seeds();
            scope.spawn(move || soak.trouble_worker(n, seed))
        };
        let workers: Vec<_> = (0..WORKERS).map(trouble).collect();
        let mut instances = Vec::new();
        for n in 0..INSTANCES {
            let instance = soak.start_instance(n);
            let address = (instance.callers, instance.peers);
            soak.addresses.lock().unwrap().push(address);
            instances.push(instance);
        }
        let instances: Vec<_> = instances
            .into_iter()
            .enumerate()
            .map(|(n, instance)| {
                let seed = seeds();
                scope.spawn(move || soak.trouble_instance(n, instance, seed))
            })
            .collect();
        for n in 0..CALLERS {
            let seed = seeds();
            scope.spawn(move || soak.call(n, seed));
        }
        let seed = seeds();
        scope.spawn(move || soak.submit(seed));
        let begin = Instant::now();
        while begin.elapsed() < length {
            thread::sleep(Duration::from_millis(50));
        }
        soak.stop.store(true, Ordering::SeqCst);
        let workers: Vec<_> = workers.into_iter().map(|w| w.join().unwrap()).collect();
        let instances: Vec<_> = instances.into_iter().map(|i| i.join().unwrap()).collect();
        (workers, instances)
    });
    let mut jobs: Vec<String> = soak.record.lock().unwrap().jobs.keys().cloned().collect();
    jobs.sort_unstable();
    for (n, job) in jobs.iter().enumerate() {
        let address = soak.addresses.lock().unwrap()[n % INSTANCES].0;
        until(&format!("seed {seed}: {job} is finished"), || {
            soak.read(job, address) >= ITEMS
        });
        let results = soak.record.lock().unwrap().jobs[job].clone();
        soak.check_job(job, &results);
    }
    soak.check_runs();
    for (n, instance) in instances.iter().enumerate() {
        soak.keep_log(instance, &format!("entry-{n}.last"));
    }
    let record = soak.record.lock().unwrap();
    let mut ends: Vec<_> = record.ends.iter().collect();
    ends.sort_unstable();
    println!("seed {seed}: {} jobs, {ends:?}", jobs.len());
    assert!(record.ends.contains_key(&("resumable", "whole")));
    let violations = &record.violations;
    assert!(violations.is_empty(), "{} in seed {seed}", violations.len());
}
