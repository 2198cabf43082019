//! Seeded random schedule of faults over processes. At its end the ledgers of the stand-ins and the
//! results of the system must agree: no item or request is lost or runs twice.
//!
//! `GENTIANPATH_SOAK_S` sets the length in seconds, `GENTIANPATH_SOAK_SEED` the seed.

mod support;

use std::{
    collections::HashMap,
    sync::{
        Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};
use standins::text;
use support::{Entry, Fleet, Item, http::Answer, until};

/// Length of the test in CI, in seconds.
const CI_LENGTH_S: u64 = 12;
/// Seed of the test in CI.
const CI_SEED: u64 = 7;
/// Deadline of all jobs, in seconds since 1970.
const DEADLINE: u64 = 4_000_000_000;
/// Number of entry instances, and of engines.
const SIZE: usize = 3;
/// Tokens of items and online requests.
const TOKENS: u64 = 10;

/// A non-repeatable online request that was sent twice, and its answers.
struct MarkedRequest {
    prompt: String,
    answers: Vec<Option<Answer>>,
}

fn variable(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.and_then(|v| v.parse().ok()).unwrap_or(default)
}

fn start() -> Fleet {
    let mut fleet = Fleet::new(&[]);
    for i in 0..SIZE {
        let options = ["--slots", "4", "--token-ms", "5"];
        fleet.add_engine(&format!("engine-{i}"), &options);
    }
    let timeouts = json!({
        "leave_notice_ms": 100, "load_poll_ms": 100, "exchange_ms": 100, "stall_ms": 500,
        "lease_ms": 1500, "renew_ms": 500, "progress_ms": 300, "platform_ms": 500,
    });
    for i in 0..SIZE {
        fleet.add_entry(&format!("entry-{i}"), json!({ "timeouts": timeouts }));
    }
    fleet.entries[0].push_sheet(&support::sheet());
    fleet
}

fn items(job: usize, once: bool) -> Vec<Item> {
    let item = |i: usize| Item {
        once,
        ..Item::new(&format!("i{i}"), &format!("job {job} item {i}"), TOKENS)
    };
    (0..60).map(item).collect()
}

/// Submits a job to the instances in turn until one accepts it.
fn submit(callers: &[std::net::SocketAddr], job: usize, items: &[Item]) {
    let lines: Vec<String> = items.iter().map(Item::line).collect();
    let path = format!(
        "/v1/batches?name=job-{job}&model={}&deadline={DEADLINE}",
        support::MODEL
    );
    let mut attempts = 0;
    until("the job is accepted", || {
        attempts += 1;
        let address = callers[(job + attempts) % callers.len()];
        let answer = support::http::call(address, "POST", &path, &[], &lines.join("\n"));
        answer.is_some_and(|a| a.status == 200)
    });
}

fn send_marked(callers: &[std::net::SocketAddr], n: usize) -> MarkedRequest {
    let prompt = format!("marked {n}");
    let body = json!({
        "model": support::MODEL,
        "messages": [{ "role": "user", "content": prompt }],
        "max_tokens": TOKENS,
    });
    let key = format!("key-{n}");
    let headers = [
        ("gentianpath-repeat", "never"),
        ("idempotency-key", key.as_str()),
    ];
    // The caller always sends the request again to another instance, whatever the first answer is.
    let send = |attempt: usize| {
        let address = callers[(n + attempt) % callers.len()];
        let path = "/v1/chat/completions";
        support::http::call(address, "POST", path, &headers, &body.to_string())
    };
    let answers = (0..2).map(send).collect();
    MarkedRequest { prompt, answers }
}

/// Injects one random fault; pauses and outages end before it returns.
fn inject_fault(fleet: &mut Fleet, rng: &mut fastrand::Rng) {
    let i = rng.usize(..SIZE);
    let pause = |ms| thread::sleep(Duration::from_millis(ms));
    let stream = |kind: &str| json!({ "streams": [{ "kind": kind, "after": 3, "count": 4 }] });
    match rng.u32(..8) {
        0 => fleet.entries[i].restart(),
        1 => {
            fleet.entries[i].process.pause();
            pause(rng.u64(200..2500));
            fleet.entries[i].process.resume();
        }
        2 => {
            let failure = if rng.bool() { "refuse" } else { "silent" };
            fleet
                .platform
                .set_faults(&json!({ "gate": { "outage": failure } }));
            pause(rng.u64(200..2000));
            fleet.platform.set_faults(&json!({}));
        }
        3 => fleet
            .platform
            .set_faults(&json!({ "lost": { "count": 5 } })),
        4 => fleet
            .platform
            .set_faults(&json!({ "dropped": { "count": 5 } })),
        5 => fleet.targets[i].set_faults(&stream("silence")),
        6 => fleet.targets[i].set_faults(&stream("truncate")),
        _ => fleet.targets[i].set_faults(&json!({ "refuse": { "count": 3 } })),
    }
    pause(rng.u64(100..600));
}

/// Returns how often each prompt was run on all engines.
fn count_runs(fleet: &Fleet) -> HashMap<String, usize> {
    let mut counts = HashMap::new();
    for target in &fleet.targets {
        for run in target.ledger()["runs"].as_array().into_iter().flatten() {
            let prompt = run["prompt"].as_str().unwrap_or_default();
            *counts.entry(prompt.to_owned()).or_default() += 1;
        }
    }
    counts
}

/// Guards against combined faults that lose a batch item or a marked request, or run it twice.
#[test]
fn random_faults_lose_and_double_nothing() {
    let length = Duration::from_secs(variable("GENTIANPATH_SOAK_S", CI_LENGTH_S));
    let seed = variable("GENTIANPATH_SOAK_SEED", CI_SEED);
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut fleet = start();
    let callers: Vec<_> = fleet.entries.iter().map(|e| e.callers).collect();
    let stop = AtomicBool::new(false);
    let requests = Mutex::new(Vec::new());
    let jobs = thread::scope(|scope| {
        let submitter = scope.spawn(|| {
            let mut jobs = 0;
            while !stop.load(Ordering::Relaxed) {
                submit(&callers, jobs, &items(jobs, jobs % 3 == 2));
                jobs += 1;
                thread::sleep(Duration::from_millis(700));
            }
            jobs
        });
        scope.spawn(|| {
            for n in 0.. {
                if stop.load(Ordering::Relaxed) {
                    return;
                }
                let request = send_marked(&callers, n);
                requests.lock().unwrap().push(request);
                thread::sleep(Duration::from_millis(50));
            }
        });
        let start_time = Instant::now();
        while start_time.elapsed() < length {
            inject_fault(&mut fleet, &mut rng);
        }
        fleet.platform.set_faults(&json!({}));
        stop.store(true, Ordering::Relaxed);
        submitter.join().unwrap()
    });
    for target in &fleet.targets {
        target.set_faults(&json!({}));
    }
    let requests = requests.into_inner().unwrap();
    println!(
        "seed {seed}: {jobs} jobs, {} marked requests",
        requests.len()
    );
    for job in 0..jobs {
        let reader = &fleet.entries[job % SIZE];
        until(&format!("job-{job} is finished"), || finished(reader, job));
    }
    let runs = count_runs(&fleet);
    for job in 0..jobs {
        check_job(&fleet, job, &runs);
    }
    for request in &requests {
        check_marked(request, &runs);
    }
}

fn finished(entry: &Entry, job: usize) -> bool {
    let answer = entry.job(&format!("job-{job}")).filter(|a| a.status == 200);
    answer.is_some_and(|a| a.json()["state"] == "finished")
}

fn check_job(fleet: &Fleet, job: usize, runs: &HashMap<String, usize>) {
    let once = job % 3 == 2;
    let items = items(job, once);
    let name = format!("job-{job}");
    let results = fleet.entries[job % SIZE].results(&name);
    assert_eq!(results.len(), items.len(), "{name}");
    for (item, result) in items.iter().zip(&results) {
        check_item(item, result, runs, &name);
    }
}

fn check_item(item: &Item, result: &Value, runs: &HashMap<String, usize>, job: &str) {
    assert_eq!(result["id"], item.id.as_str(), "{job}");
    let in_doubt = item.once && result["status"] == "may-have-run";
    if !in_doubt {
        assert_eq!(result["status"], "done", "{job} {result}");
        assert_eq!(result["text"], text::answer(&item.prompt, item.tokens));
    }
    if item.once {
        let count = runs.get(&item.prompt).copied().unwrap_or(0);
        assert!(count <= 1, "{job} {} ran {count} times", item.id);
    }
}

fn check_marked(request: &MarkedRequest, runs: &HashMap<String, usize>) {
    let count = runs.get(&request.prompt).copied().unwrap_or(0);
    assert!(count <= 1, "{} ran {count} times", request.prompt);
    let whole = request.answers.iter().flatten().filter(|a| a.status == 200);
    for answer in whole {
        assert_eq!(answer.content(), text::answer(&request.prompt, TOKENS));
    }
    let is_not_run = |a: &Option<Answer>| {
        let answer = a.as_ref();
        answer.is_some_and(|a| a.header("gentianpath-verdict") == Some("not-run"))
    };
    if request.answers.iter().all(is_not_run) {
        assert_eq!(count, 0, "{} was reported as not run", request.prompt);
    }
}
