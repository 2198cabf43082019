//! A seeded random schedule of faults over processes. At its end the ledgers of the stand-ins and
//! the results of the system must agree: nothing lost, nothing doubled.
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

/// Length of the soak in CI, in seconds.
const CI_LENGTH_S: u64 = 12;
/// Seed of the soak in CI.
const CI_SEED: u64 = 7;
/// Deadline of all jobs, in seconds since 1970.
const DEADLINE: u64 = 4_000_000_000;
/// Entry instances and engines.
const SIZE: usize = 3;
/// Tokens of items and online requests.
const TOKENS: u64 = 10;

/// A marked online request that was sent twice, and what its caller got.
struct Asked {
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

/// Sends a job through one instance after the other until it is accepted.
fn submit(callers: &[std::net::SocketAddr], job: usize, items: &[Item]) {
    let lines: Vec<String> = items.iter().map(Item::line).collect();
    let path = format!(
        "/v1/batches?name=job-{job}&model={}&deadline={DEADLINE}",
        support::MODEL
    );
    let mut tries = 0;
    until("the job is accepted", || {
        tries += 1;
        let address = callers[(job + tries) % callers.len()];
        let answer = support::http::call(address, "POST", &path, &[], &lines.join("\n"));
        answer.is_some_and(|a| a.status == 200)
    });
}

fn ask(callers: &[std::net::SocketAddr], n: usize) -> Asked {
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
    // The caller sends the request again through another instance, whatever came of the first.
    let send = |attempt: usize| {
        let address = callers[(n + attempt) % callers.len()];
        let path = "/v1/chat/completions";
        support::http::call(address, "POST", path, &headers, &body.to_string())
    };
    let answers = (0..2).map(send).collect();
    Asked { prompt, answers }
}

/// Injects one random fault and takes it back.
fn disturb(fleet: &mut Fleet, rng: &mut fastrand::Rng) {
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

/// Guards against faults in combination that lose or double a batch item or a marked request.
#[test]
fn random_faults_lose_and_double_nothing() {
    let length = Duration::from_secs(variable("GENTIANPATH_SOAK_S", CI_LENGTH_S));
    let seed = variable("GENTIANPATH_SOAK_SEED", CI_SEED);
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut fleet = start();
    let callers: Vec<_> = fleet.entries.iter().map(|e| e.callers).collect();
    let stop = AtomicBool::new(false);
    let asked = Mutex::new(Vec::new());
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
                let answered = ask(&callers, n);
                asked.lock().unwrap().push(answered);
                thread::sleep(Duration::from_millis(50));
            }
        });
        let begin = Instant::now();
        while begin.elapsed() < length {
            disturb(&mut fleet, &mut rng);
        }
        fleet.platform.set_faults(&json!({}));
        stop.store(true, Ordering::Relaxed);
        submitter.join().unwrap()
    });
    for target in &fleet.targets {
        target.set_faults(&json!({}));
    }
    let asked = asked.into_inner().unwrap();
    println!("seed {seed}: {jobs} jobs, {} marked requests", asked.len());
    for job in 0..jobs {
        let reader = &fleet.entries[job % SIZE];
        until(&format!("job-{job} is finished"), || finished(reader, job));
    }
    let runs = count_runs(&fleet);
    for job in 0..jobs {
        check_job(&fleet, job, &runs);
    }
    for request in &asked {
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

fn check_marked(asked: &Asked, runs: &HashMap<String, usize>) {
    let count = runs.get(&asked.prompt).copied().unwrap_or(0);
    assert!(count <= 1, "{} ran {count} times", asked.prompt);
    let whole = asked.answers.iter().flatten().filter(|a| a.status == 200);
    for answer in whole {
        assert_eq!(answer.content(), text::answer(&asked.prompt, TOKENS));
    }
    let is_not_run = |a: &Option<Answer>| {
        let answer = a.as_ref();
        answer.is_some_and(|a| a.header("gentianpath-verdict") == Some("not-run"))
    };
    if asked.answers.iter().all(is_not_run) {
        assert_eq!(count, 0, "{} was said not to have run", asked.prompt);
    }
}
