//! Planned stops of an entry instance under load, each with one fault.

mod support;

use std::{
    sync::mpsc,
    thread::{self, JoinHandle},
    time::Duration,
};

use gentianpath::ownership::position;
use serde_json::{Value, json};
use standins::text;
use support::{
    Entry, Fleet, Item,
    http::{Answer, call, post_observed},
    link::{Link, State},
    until,
};

/// Deadline of all jobs, in seconds since 1970.
const DEADLINE: u64 = 4_000_000_000;
/// Items of a job.
const ITEMS: usize = 96;
/// Lease of a claim.
const LEASE: Duration = Duration::from_millis(1500);
/// Time within which a process reacts to a signal.
const SIGNAL_DELAY: Duration = Duration::from_millis(100);
/// Tokens of an online answer; it takes at least a second.
const LONG: u64 = 150;
/// Tokens of an online answer that takes longer than a test waits.
const ENDLESS: u64 = 20_000;
/// Time within which a stream begins.
const LIMIT: Duration = Duration::from_secs(60);
/// Path of online requests.
const CHAT: &str = "/v1/chat/completions";

/// A fleet whose first entry instance connects to the platform through a link.
struct Stop {
    fleet: Fleet,
    link: Link,
    job: String,
    items: Vec<Item>,
}

impl Stop {
    /// Starts the fleet and a job.
    fn new() -> Self {
        let mut stop = Self::without_job("j");
        stop.submit(1);
        stop
    }

    /// Starts the fleet and a job that the first entry instance is the first to claim, and waits
    /// for its claim.
    fn with_claim() -> Self {
        let others = ["entry-1".into()];
        let is_first = |job: &String| position(&format!("{job}.0"), "entry-0", &others) == 0;
        let job = (0..).map(|n| format!("j{n}")).find(is_first).unwrap();
        let mut stop = Self::without_job(&job);
        // On a slow machine the other instance could be faster.
        stop.fleet.entries[1].process.pause();
        stop.submit(0);
        until("the first instance claims", || {
            let log = stop.fleet.entries[0].process_log();
            log.contains("event=group-claimed")
        });
        stop.fleet.entries[1].process.resume();
        stop
    }

    fn without_job(job: &str) -> Self {
        let mut fleet = Fleet::new(&[]);
        for i in 0..4 {
            let options = ["--slots", "4", "--token-ms", "8"];
            fleet.add_engine(&format!("engine-{i}"), &options);
        }
        let link = Link::new(fleet.platform.address);
        let timeouts = json!({
            "leave_notice_ms": 300, "load_poll_ms": 100, "exchange_ms": 100,
            "lease_ms": LEASE.as_millis() as u64, "renew_ms": 500, "progress_ms": 300, "platform_ms": 500,
            "drain_ms": 30_000,
        });
        let linked = json!({ "timeouts": timeouts, "platform_address": link.address.to_string() });
        fleet.add_entry("entry-0", linked);
        fleet.add_entry("entry-1", json!({ "timeouts": timeouts }));
        let revision = push_sheet(&fleet.entries[0]);
        for entry in &fleet.entries {
            until("sheet, workers and peers are known", || {
                let status = entry.status();
                let owned = |name: &str| {
                    let workers = status["workers"].as_array();
                    workers.is_some_and(|w| w.iter().any(|w| w["owner"] == name))
                };
                status["sheet"]["revision"] == revision && owned("entry-0") && owned("entry-1")
            });
        }
        let item = |i: usize| Item::new(&format!("i{i}"), &format!("item {i}"), 12);
        Self {
            fleet,
            link,
            job: job.to_owned(),
            items: (0..ITEMS).map(item).collect(),
        }
    }

    /// Submits the job at an entry instance and waits until items run.
    fn submit(&mut self, entry: usize) {
        let answer = self.fleet.entries[entry].submit(&self.job, DEADLINE, &self.items);
        assert_eq!(answer.map(|a| a.status), Some(200));
        until("items run", || !self.fleet.runs("item 0").is_empty());
    }

    /// Requests a stream from the first entry instance and waits until it runs.
    fn start_stream(&self) -> JoinHandle<Option<Answer>> {
        let callers = self.fleet.entries[0].callers;
        let request = thread::spawn(move || call(callers, "POST", CHAT, &[], &long_body(LONG)));
        until("the stream runs", || !self.fleet.runs("long").is_empty());
        request
    }

    /// Stops the first entry instance while it forwards a stream, after injecting a fault, and
    /// returns the answer.
    fn stop_under(&mut self, fault: impl FnOnce(&mut Fleet, &Link)) -> Answer {
        let request = self.start_stream();
        fault(&mut self.fleet, &self.link);
        self.fleet.entries[0].process.terminate();
        request.join().unwrap().expect("an answer")
    }

    /// Waits until the process has exited, and checks by its exit code that it cut nothing off.
    fn assert_clean_end(&mut self) {
        let entry = &mut self.fleet.entries[0];
        until("the process ends", || entry.process.ended().is_some());
        let log = entry.process_log();
        assert_eq!(entry.process.exit_code(), Some(0), "{log}");
    }

    /// Checks that the other entry instance completes the job.
    fn assert_job_complete(&self) {
        let entry = &self.fleet.entries[1];
        until("the job is finished", || {
            let answer = entry.job(&self.job).filter(|a| a.status == 200);
            answer.is_some_and(|a| a.json()["state"] == "finished")
        });
        let results = entry.results(&self.job);
        assert_eq!(results.len(), ITEMS);
        for (result, item) in results.iter().zip(&self.items) {
            assert_eq!(result["id"], item.id.as_str());
            assert_eq!(result["status"], "done", "{result}");
            assert_eq!(result["text"], text::answer(&item.prompt, item.tokens));
        }
    }
}

/// Pushes the sheet until it is accepted. On a slow machine the platform may answer later than
/// `platform_ms`, and the push did not run.
fn push_sheet(entry: &Entry) -> Value {
    let mut revision = Value::Null;
    until("the sheet is pushed", || {
        let answer = entry.try_push(&support::sheet()).json();
        let pushed = answer["revision"].is_u64();
        assert!(
            pushed || answer["error"]["verdict"] == "not-run",
            "{answer}"
        );
        revision = answer["revision"].clone();
        pushed
    });
    revision
}

/// Returns the body of a request for a stream.
fn long_body(tokens: u64) -> String {
    let body = json!({
        "model": support::MODEL,
        "messages": [{ "role": "user", "content": "long" }],
        "max_tokens": tokens,
        "stream": true,
    });
    body.to_string()
}

/// Checks that a stream is complete.
fn assert_complete(answer: &Answer) {
    assert_eq!(answer.streamed(), text::answer("long", LONG));
    assert_eq!(answer.events().last().map(String::as_str), Some("[DONE]"));
}

/// Guards against a planned stop that waits forever for a platform with stalled connections, or
/// cuts off its stream because claims cannot be released.
#[test]
fn a_planned_stop_ends_while_the_platform_is_silent() {
    let mut stop = Stop::new();
    let answer = stop.stop_under(|_, link| link.set(State::Silent));
    assert_complete(&answer);
    stop.assert_clean_end();
    stop.assert_job_complete();
}

/// Guards against the same with an unreachable platform.
#[test]
fn a_planned_stop_ends_while_it_is_cut_from_the_platform() {
    let mut stop = Stop::new();
    let answer = stop.stop_under(|_, link| link.set(State::Cut));
    assert_complete(&answer);
    stop.assert_clean_end();
    stop.assert_job_complete();
}

/// Guards against a planned stop that waits until its deadline to release a claim. The platform is
/// unreachable and the lease lapses, so other instances take over the claim.
#[test]
fn a_planned_stop_leaves_claims_that_it_cannot_give_back() {
    let mut stop = Stop::with_claim();
    let answer = stop.stop_under(|_, link| link.set(State::Cut));
    assert_complete(&answer);
    stop.assert_clean_end();
    stop.assert_job_complete();
}

/// Guards against claims that are lost when the platform refuses all calls, also those of the other
/// instances, during a planned stop.
#[test]
fn a_planned_stop_ends_while_the_platform_is_down() {
    let mut stop = Stop::new();
    let outage = json!({ "gate": { "outage": "refuse" } });
    let answer = stop.stop_under(|fleet, _| fleet.platform.set_faults(&outage));
    assert_complete(&answer);
    stop.assert_clean_end();
    stop.fleet.platform.set_faults(&json!({}));
    stop.assert_job_complete();
}

/// Guards against claims that are released twice or not at all when the answers to the writes of a
/// planned stop are lost.
#[test]
fn a_planned_stop_gives_claims_back_although_answers_are_lost() {
    let mut stop = Stop::new();
    let lost = json!({ "lost": { "prefix": "group/", "count": 6 } });
    let answer = stop.stop_under(|fleet, _| fleet.platform.set_faults(&lost));
    assert_complete(&answer);
    stop.assert_clean_end();
    assert!(stop.fleet.platform.ledger()["lost"].as_u64() > Some(0));
    stop.fleet.platform.set_faults(&json!({}));
    stop.assert_job_complete();
}

/// Guards against a planned stop that waits for an answer of its peers, none of which responds.
#[test]
fn a_planned_stop_ends_while_its_peers_are_silent() {
    let mut stop = Stop::new();
    let answer = stop.stop_under(|fleet, _| fleet.entries[1].process.pause());
    assert_complete(&answer);
    stop.assert_clean_end();
    stop.fleet.entries[1].process.resume();
    stop.assert_job_complete();
}

/// Guards against a stream that is cut off because the stopping instance was paused, and against
/// claims that it releases after they were taken over.
#[test]
fn a_planned_stop_goes_on_after_a_pause() {
    let mut stop = Stop::new();
    let request = stop.start_stream();
    let process = &stop.fleet.entries[0].process;
    process.terminate();
    thread::sleep(SIGNAL_DELAY);
    process.pause();
    thread::sleep(2 * LEASE);
    process.resume();
    let answer = request.join().unwrap().expect("an answer");
    assert_complete(&answer);
    stop.assert_clean_end();
    stop.assert_job_complete();
}

/// Guards against a stop that reports a stream as cut off whose engine died, and against such a
/// stream that is reported as complete.
#[test]
fn a_planned_stop_ends_after_the_engine_of_its_stream_died() {
    let mut stop = Stop::new();
    let callers = stop.fleet.entries[0].callers;
    let (sender, begun) = mpsc::channel();
    let request = thread::spawn(move || {
        let observe = |answer: &Answer| {
            if !answer.streamed().is_empty() {
                let _ = sender.send(());
            }
        };
        post_observed(callers, CHAT, &long_body(ENDLESS), observe)
    });
    // From its first text on, a stream does not go on at another engine.
    begun.recv_timeout(LIMIT).expect("text");
    let runs = |t: &&mut support::Standin| !t.runs("long").is_empty();
    let engine = stop.fleet.targets.iter_mut().find(runs);
    engine.expect("an engine with the stream").process.kill();
    stop.fleet.entries[0].process.terminate();
    let answer = request.join().unwrap().expect("an answer");
    assert!(!answer.streamed().is_empty());
    assert!(text::answer("long", ENDLESS).starts_with(&answer.streamed()));
    assert!(!answer.events().iter().any(|e| e == "[DONE]"));
    stop.assert_clean_end();
    stop.assert_job_complete();
}
