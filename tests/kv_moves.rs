//! Moves of items to another worker with their state, and faults at each step of a move.

mod batch_support;

use std::{sync::Arc, time::Duration};

use batch_support::{Instance, Owned, Process, items, wait_for};
use gentianpath::{
    item_run::{Fault, Partial},
    kv,
    view::WorkerInfo,
    workers::OnlineGuard,
};
use serde_json::{Value, json};
use standins::text;

/// Tokens of an item in most tests.
const TOKENS: u32 = 160;
/// Tokens of an item that ends soon after its worker begins to leave.
const SHORT: u32 = 90;
/// Tokens of an item that is moved twice.
const LONG: u32 = 600;
/// Items of a job, which fit on one worker.
const ITEMS: usize = 4;
/// Tokens that each item has when its worker is about to leave.
const BEFORE: u64 = 20;
/// Online requests that leave a worker no capacity for batch streams.
const FULL: usize = 8;

/// An instance that owns all engines. The first engine runs all items of a job.
struct Scene {
    /// Dropped first, while the platform still runs.
    instance: Instance,
    engines: Vec<Process>,
    /// Tokens of an item.
    tokens: u32,
    _platform: Process,
}

impl Scene {
    /// Starts engines with the given versions, and a job on the first one.
    fn start(versions: &[&str]) -> Self {
        Self::with(versions, TOKENS)
    }

    /// Does the same with a number of tokens per item.
    fn with(versions: &[&str], tokens: u32) -> Self {
        let platform = Process::platform();
        let start = |(i, version): (usize, &&str)| {
            let id = name(i);
            let options = ["--id", &id, "--model", "m", "--slots", "8"];
            let more = ["--token-ms", "5", "--version", version];
            Process::start("standin-engine", &[&options[..], &more].concat())
        };
        let engines: Vec<Process> = versions.iter().enumerate().map(start).collect();
        let names: Vec<String> = (0..engines.len()).map(name).collect();
        let owned = |(id, engine)| Owned {
            id,
            engine,
            owner: "a",
        };
        let pairs = names.iter().map(String::as_str).zip(&engines);
        let workers: Vec<Owned> = pairs.map(owned).collect();
        let instance = Instance::start("a", 1, &platform, &workers);
        let scene = Self {
            instance,
            engines,
            tokens,
            _platform: platform,
        };
        scene.run_on_first();
        scene
    }

    fn run_on_first(&self) {
        let others: Vec<_> = (1..self.engines.len()).map(|i| self.burst(i)).collect();
        let body = items("i", ITEMS, self.tokens);
        assert_eq!(self.instance.submit("j", &body).status, 200);
        let tokens = || -> Vec<u64> { self.runs(0).iter().map(|r| number(r, "tokens")).collect() };
        wait_for(
            || tokens().len() == ITEMS && tokens().iter().all(|t| *t >= BEFORE),
            || format!("{:?}", tokens()),
        );
        drop(others);
    }

    /// Occupies a worker with online requests until the guards are dropped.
    fn burst(&self, worker: usize) -> Vec<OnlineGuard> {
        let workers = &self.instance.ctx.workers;
        let cell = workers.cell(&name(worker).into());
        (0..FULL)
            .map(|_| cell.begin_online(workers.now()))
            .collect()
    }

    /// Publishes a view with changed workers.
    fn publish(&self, change: impl FnOnce(&mut Vec<WorkerInfo>)) {
        let mut view = self.instance.ctx.view.load().as_ref().clone();
        change(&mut view.workers);
        self.instance.ctx.view.store(Arc::new(view));
    }

    /// Marks the first worker as leaving.
    fn leave(&self) {
        self.publish(|workers| workers[0].leaving = true);
    }

    /// Returns the runs in the ledger of an engine.
    fn runs(&self, engine: usize) -> Vec<Value> {
        self.engines[engine]
            .runs()
            .into_values()
            .flatten()
            .collect()
    }

    fn imported(&self, engine: usize) -> usize {
        let runs = self.runs(engine);
        runs.iter().filter(|r| r["imported"] == true).count()
    }

    /// Waits for the job and checks that each item is done with its complete text.
    fn finish(&self) {
        self.instance.wait_finished("j");
        let results = self.instance.results("j");
        assert_eq!(results.len(), ITEMS);
        for (i, result) in results.iter().enumerate() {
            let id = format!("i{i:04}");
            let whole = text::answer(&format!("prompt of {id}"), u64::from(self.tokens));
            assert_eq!(result["id"], id.as_str());
            assert_eq!(
                (&result["status"], &result["attempts"]),
                (&json!("done"), &json!(0))
            );
            assert_eq!(result["text"], whole);
        }
    }

    /// Returns the total tokens of all items.
    fn whole(&self) -> u64 {
        u64::from(self.tokens) * ITEMS as u64
    }

    /// Returns the number of tokens that the given engines generated.
    fn generated(&self, engines: &[usize]) -> u64 {
        let runs = engines.iter().flat_map(|e| self.runs(*e));
        runs.map(|r| number(&r, "tokens") - number(&r, "taken"))
            .sum()
    }
}

fn name(worker: usize) -> String {
    format!("w{}", worker + 1)
}

fn number(run: &Value, field: &str) -> u64 {
    run[field].as_u64().unwrap()
}

/// Moves items off a leaving worker under faults of the old and the new one, and checks that they
/// restart and complete without an imported state.
fn check_restart(old: Value, new: Value) {
    let scene = Scene::start(&["1", "1"]);
    scene.engines[0].faults(old);
    scene.engines[1].faults(new);
    scene.leave();
    scene.finish();
    assert_eq!(scene.imported(1), 0, "a state was imported");
    assert_eq!(ends(&scene), (1, 1));
    assert!(
        scene.generated(&[0, 1]) > scene.whole(),
        "nothing left the worker"
    );
}

/// Returns the least and the greatest number of completed runs per prompt.
fn ends(scene: &Scene) -> (usize, usize) {
    let runs: Vec<Value> = (0..scene.engines.len())
        .flat_map(|e| scene.runs(e))
        .collect();
    let ends = |i| {
        let prompt = format!("prompt of i{i:04}");
        let runs = runs.iter().filter(|r| r["prompt"] == prompt.as_str());
        runs.filter(|r| r["state"] == "done").count()
    };
    let ends: Vec<usize> = (0..ITEMS).map(ends).collect();
    (*ends.iter().min().unwrap(), *ends.iter().max().unwrap())
}

/// Guards against tokens that are generated again although a leaving worker still has the state.
#[test]
fn state_moves_from_a_leaving_worker() {
    let scene = Scene::start(&["1", "1"]);
    scene.leave();
    scene.finish();
    // The old worker generates further tokens during the export, so only the runs are counted.
    assert_eq!((scene.imported(1), scene.runs(1).len()), (ITEMS, ITEMS));
    assert_eq!(ends(&scene), (1, 1));
}

/// Guards against items that wait for a long burst, or restart, while another worker is idle.
#[test]
fn state_moves_from_a_worker_under_a_long_burst() {
    let scene = Scene::start(&["1", "1"]);
    let _burst = scene.burst(0);
    scene.finish();
    assert_eq!(scene.imported(1), ITEMS);
    assert_eq!(scene.generated(&[0, 1]), scene.whole());
    assert_eq!(ends(&scene), (1, 1));
}

/// Guards against a state that is refused because the worker had an earlier state of the same item.
#[test]
fn state_moves_back_to_its_first_worker() {
    let scene = Scene::with(&["1", "1"], LONG);
    let first = scene.burst(0);
    let begun = |r: &Value| number(r, "tokens") > number(r, "taken");
    wait_for(
        || scene.runs(1).iter().filter(|r| begun(r)).count() == ITEMS,
        || format!("{:?}", scene.runs(1)),
    );
    drop(first);
    let _second = scene.burst(1);
    scene.finish();
    assert_eq!((scene.imported(0), scene.imported(1)), (ITEMS, ITEMS));
    assert_eq!(scene.generated(&[0, 1]), scene.whole());
    assert_eq!(ends(&scene), (1, 1));
}

/// Guards against an item that is lost, or charged with an attempt, when its state is not exported.
#[test]
fn refused_export_starts_the_item_anew() {
    check_restart(
        json!({"gate": {"outage": "refuse", "prefix": "/kv"}}),
        json!({}),
    );
}

/// Guards against a transfer without a deadline.
#[test]
fn slow_export_starts_the_item_anew() {
    check_restart(
        json!({"gate": {"delay_ms": 60_000, "prefix": "/kv"}}),
        json!({}),
    );
}

/// Guards against a second run of an item that finishes while its worker does not export its state:
/// the last 40 tokens take some 0.3 s, a transfer may take 0.5 s.
#[test]
fn an_item_that_ends_during_a_slow_export_is_not_run_again() {
    let scene = Scene::with(&["1", "1"], SHORT);
    scene.engines[0].faults(json!({"gate": {"delay_ms": 60_000, "prefix": "/kv"}}));
    scene.leave();
    scene.finish();
    assert_eq!(ends(&scene), (1, 1));
    assert_eq!(scene.generated(&[0, 1]), scene.whole());
}

/// Guards against the use of a truncated state.
#[test]
fn cut_export_starts_the_item_anew() {
    check_restart(json!({"export": {"kind": "truncate"}}), json!({}));
}

/// Guards against an exported state that lacks tokens which were already received.
#[test]
fn late_export_is_not_used() {
    check_restart(json!({"export": {"kind": "early"}}), json!({}));
}

/// Guards against the state of another stream, such as an earlier attempt of the item.
#[test]
fn export_of_another_stream_is_not_used() {
    check_restart(json!({"export": {"kind": "foreign"}}), json!({}));
}

/// Guards against an item that is lost, or charged with an attempt, when its state is not imported.
#[test]
fn refused_import_starts_the_item_anew() {
    check_restart(
        json!({}),
        json!({"gate": {"outage": "refuse", "prefix": "/kv"}}),
    );
}

/// Guards against a second run of an item whose state was imported although the answer was lost.
#[test]
fn import_without_an_answer_is_resumed() {
    let scene = Scene::start(&["1", "1"]);
    scene.engines[1].faults(json!({"lost": {"prefix": "/kv"}}));
    scene.leave();
    scene.finish();
    // The old worker generates further tokens during the export, so only the runs are counted.
    assert_eq!((scene.imported(1), scene.runs(1).len()), (ITEMS, ITEMS));
    assert_eq!(ends(&scene), (1, 1));
}

/// Guards against the loss of a state when the new worker dies before it sends any text.
#[test]
fn death_of_the_new_worker_leaves_the_state_with_the_old_one() {
    let mut scene = Scene::start(&["1", "1", "1"]);
    let death = json!({"kind": "death", "resumed": true});
    scene.engines[1].faults(json!({"streams": [death]}));
    let third = scene.instance.ctx.view.load().workers[2].clone();
    scene.publish(|workers| {
        workers[0].leaving = true;
        workers.truncate(2);
    });
    for _ in 0..2_000 {
        if scene.engines[1].ended() {
            break;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    scene.publish(|workers| workers[1] = third);
    scene.finish();
    assert_eq!(scene.imported(2), ITEMS, "a state was lost");
}

/// Guards against a state that is moved to a worker with another model version.
#[test]
fn state_does_not_move_to_another_version() {
    // The engine would accept the state: only the view shows different versions.
    let scene = Scene::start(&["1", "1"]);
    scene.publish(|workers| workers[1].version = "2".into());
    scene.leave();
    scene.finish();
    assert_eq!(scene.imported(1), 0);
    assert_eq!(ends(&scene), (1, 1));
}

/// Guards against an item that is lost when the new worker loaded another version unnoticed.
#[test]
fn worker_with_an_unnoticed_version_refuses_the_state() {
    let scene = Scene::start(&["1", "2"]);
    scene.leave();
    scene.finish();
    assert_eq!(scene.imported(1), 0);
    assert_eq!(ends(&scene), (1, 1));
}

/// Guards against a state whose stream, position, model or version is not checked.
#[test]
fn only_the_complete_state_of_the_stream_matches() {
    let partial = Partial {
        worker: "w1".into(),
        request: "r".into(),
        text: String::new(),
        next: 20,
        fault: Fault::None,
        state: None,
    };
    let state = |stream: &str, model: &str, version: &str, tokens: u64| {
        json!({"stream": stream, "model": model, "version": version, "tokens": tokens}).to_string()
    };
    let matches = |state: &str| kv::matches_stream(state.as_bytes(), &partial, "m", "1");
    let whole = state("r", "m", "1", 20);
    assert!(matches(&whole));
    assert!(matches(&state("r", "m", "1", 21)));
    assert!(!matches(&state("r", "m", "1", 19)));
    assert!(!matches(&state("s", "m", "1", 20)));
    assert!(!matches(&state("r", "n", "1", 20)));
    assert!(!matches(&state("r", "m", "2", 20)));
    for end in 0..whole.len() {
        assert!(!matches(&whole[..end]));
    }
}

/// Tokens that the engines processed for a job.
#[derive(Debug)]
struct Work {
    generated: u64,
    prefilled: u64,
}

/// Runs a job on three workers. One of them leaves and is gone some seconds later; the others serve a
/// long and a short burst of online requests.
fn work(tokens: usize) -> Work {
    let platform = Process::platform();
    let start = |id: &str| {
        let options = [
            "--id",
            id,
            "--model",
            "m",
            "--slots",
            "8",
            "--token-ms",
            "10",
        ];
        Process::start(
            "standin-engine",
            &[&options[..], &["--prefill-ms", "2"]].concat(),
        )
    };
    let ids = ["w1", "w2", "w3"];
    let engines: Vec<Process> = ids.iter().map(|id| start(id)).collect();
    let owned = |(id, engine)| Owned {
        id,
        engine,
        owner: "a",
    };
    let workers: Vec<Owned> = ids.into_iter().zip(&engines).map(owned).collect();
    let limits = json!({"transfer_tokens": tokens});
    let instance = Instance::with("a", 1, &platform, &workers, limits);
    let mut scene = Scene {
        instance,
        engines,
        tokens: 0,
        _platform: platform,
    };
    let lines = (0..JOB).map(|i| {
        let item =
            json!({"id": format!("i{i}"), "prompt": job_prompt(i), "max_tokens": job_tokens(i)});
        item.to_string() + "\n"
    });
    let reply = scene.instance.submit("j", &lines.collect::<String>());
    assert_eq!(reply.status, 200);
    std::thread::sleep(Duration::from_millis(1_500));
    let long = scene.burst(1);
    scene.leave();
    std::thread::sleep(Duration::from_millis(1_500));
    let short = scene.burst(2);
    std::thread::sleep(Duration::from_millis(500));
    drop(short);
    std::thread::sleep(Duration::from_millis(2_500));
    let mut runs = scene.runs(0);
    scene.engines[0].kill();
    scene.publish(|workers| drop(workers.remove(0)));
    std::thread::sleep(Duration::from_millis(7_500));
    drop(long);
    scene.instance.wait_finished("j");
    for (i, result) in scene.instance.results("j").iter().enumerate() {
        assert_eq!(result["text"], text::answer(&job_prompt(i), job_tokens(i)));
    }
    runs.extend(scene.runs(1));
    runs.extend(scene.runs(2));
    let made = |r: &Value| number(r, "tokens") - number(r, "taken");
    Work {
        generated: runs.iter().map(made).sum(),
        prefilled: runs.iter().map(|r| number(r, "prefilled")).sum(),
    }
}

/// Items of the measured job.
const JOB: usize = 48;

/// Returns a prompt of somewhat more than 16 blocks, none of which occurs in another item.
fn job_prompt(item: usize) -> String {
    format!("{item:04} ").repeat(206)
}

/// Returns the tokens of an item: 100 to 570.
fn job_tokens(item: usize) -> u64 {
    100 + (item as u64 * 7 % JOB as u64) * 10
}

/// Guards against moves that do not reduce the work for a job under bursts while a worker leaves.
#[test]
fn moves_save_tokens_under_bursts_and_a_leaving_worker() {
    let (with, without) = std::thread::scope(|s| {
        let with = s.spawn(|| work(16));
        let without = s.spawn(|| work(1 << 20));
        (with.join().unwrap(), without.join().unwrap())
    });
    let least: u64 = (0..JOB).map(job_tokens).sum();
    println!("least {least}, with {with:?}, without {without:?}");
    let repeated = |work: &Work| work.generated - least;
    assert!(
        2 * repeated(&with) < repeated(&without),
        "{with:?} {without:?}"
    );
    assert!(with.prefilled <= without.prefilled, "{with:?} {without:?}");
}
