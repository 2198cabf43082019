//! Seeded troubles of a fleet of the size of a deployment, which runs as processes: instances in
//! four zones, workers of several versions and services, callers with open connections, batch jobs.
//! No answer that looks complete, no text of an item and no count of runs may be wrong.
//!
//! Variables of the environment, each with the prefix `GENTIANPATH_FLEET_SOAK_`: `SIZE` (`small`,
//! `benchline`, `hobart`), `S` (length in seconds), `SEED`, `FRAMING` (how workers mark the end of
//! their answers), `PROGRAM` (path of the instances' program), `LOGS` (folder that keeps the logs),
//! `BREAKS` (1: some workers break off answers while they stay up), `PAUSE_MS` (pause of a worker
//! after each event), `INSTANCES` and `WORKERS` (numbers other than those of the size), `CUTS` (1: links
//! between instances and workers are cut), `ONLY` (the one kind of trouble that happens, by the names
//! in `fleet_support/only.rs`; callers still leave and read slowly), `ZONES` (number of zones, 4 at
//! most), `EARLIER` (path of the program that the instances begin with; they are replaced by
//! `PROGRAM` one after the other, and rolled back), `SKEW` (parts of a day on which an instance is out
//! of step, see `fleet_support/skew.rs`).
//!
//! The log folder has the log of each instance, the `ledger` of the requests that ran and `notes` on
//! the troubles. `gentianpath explain ID FILE...` traces a request that a violation names.

mod fleet_support;
mod gateway_support;
mod support;

use std::{
    collections::HashSet,
    thread,
    time::{Duration, Instant},
};

use fleet_support::{
    Fleet, Options,
    instances::Instance,
    skew::{Breaker, Skew},
    upgrades::Upgrade,
    workers::Worker,
};
use support::{free_address, until};

/// Length of the test in CI, in seconds.
const CI_LENGTH_S: u64 = 45;
/// Seed of the test in CI.
const CI_SEED: u64 = 11;
/// Length of the test of an upgrade in CI, in seconds, unless the upgrade takes longer.
const CI_UPGRADE_S: u64 = 30;
/// Time in which all instances are replaced and rolled back, some 40 s at six instances. The jobs of the
/// run have to be readable at its end, which they are for 120 s.
const MAX_UPGRADE_TIME: Duration = Duration::from_secs(75);
/// Interval at which a process looks for its next trouble.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

fn keep_worker(fleet: &Fleet, n: usize, seed: u64) -> Worker {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut worker = Worker::spawn(fleet, n, fleet.worker_id(n), 1, &mut rng);
    worker.list(fleet, "ready");
    while fleet.is_running() {
        let order = fleet.worker_orders[n].lock().unwrap().take();
        if let Some(trouble) = order {
            worker = worker.suffer(fleet, trouble, &mut rng);
        }
        thread::sleep(POLL_INTERVAL);
    }
    worker.heal();
    worker
}

fn keep_instance(fleet: &Fleet, n: usize, mut instance: Instance) -> Instance {
    while fleet.is_running() {
        if let Some(trouble) = fleet.next_trouble(n) {
            instance.suffer(fleet, trouble);
        }
        thread::sleep(POLL_INTERVAL);
    }
    instance
}

fn run(fleet: &Fleet) -> (Vec<Worker>, Vec<Instance>) {
    let (count, workers) = (fleet.options.instances, fleet.options.workers);
    let callers = fleet.options.size.callers();
    let mut rng = fastrand::Rng::with_seed(fleet.options.seed);
    let mut seeds = move || rng.u64(..);
    let mut instances: Vec<Instance> = (0..count)
        .map(|n| {
            let instance = Instance::spawn(fleet, n);
            fleet.publish(n, instance.callers, instance.peers);
            instance
        })
        .collect();
    thread::scope(|scope| {
        let processes: Vec<_> = (0..workers)
            .map(|n| {
                let seed = seeds();
                scope.spawn(move || keep_worker(fleet, n, seed))
            })
            .collect();
        for instance in &mut instances {
            instance.wait_ready(fleet);
        }
        let instances: Vec<_> = instances
            .into_iter()
            .enumerate()
            .map(|(n, instance)| scope.spawn(move || keep_instance(fleet, n, instance)))
            .collect();
        for n in 0..callers {
            let seed = seeds();
            scope.spawn(move || fleet.call(n, seed));
        }
        for n in 0..1 + callers / 20 {
            let seed = seeds();
            scope.spawn(move || fleet.submit(n, seed));
            let seed = seeds();
            scope.spawn(move || fleet.read_jobs(seed));
        }
        for n in 0..count {
            scope.spawn(move || fleet.watch_numbers(n));
        }
        if let Some(only) = fleet.options.only {
            for _ in 0..only.directors(fleet) {
                let seed = seeds();
                scope.spawn(move || fleet.trouble_alone(only, seed));
            }
        } else {
            // Larger fleets have as many troubles for each process.
            for _ in 0..1 + workers / 10 {
                let seed = seeds();
                scope.spawn(move || fleet.trouble_workers(seed));
            }
            for _ in 0..1 + count / 20 {
                let seed = seeds();
                scope.spawn(move || fleet.trouble_instances(seed));
            }
            if fleet.options.cuts {
                let seed = seeds();
                scope.spawn(move || fleet.cut_links(seed));
            }
            let seed = seeds();
            scope.spawn(move || fleet.change_config(seed));
            let seed = seeds();
            scope.spawn(move || fleet.trouble_store(seed));
        }
        if let Some(upgrade) = &fleet.upgrade {
            let seed = seeds();
            scope.spawn(move || fleet.replace_instances(upgrade, seed));
        }
        let begin = Instant::now();
        let is_upgraded = || fleet.upgrade.as_ref().is_none_or(Upgrade::is_done);
        while begin.elapsed() < fleet.options.length
            || (!is_upgraded() && begin.elapsed() < MAX_UPGRADE_TIME)
        {
            thread::sleep(Duration::from_millis(50));
        }
        fleet.stop();
        let workers = processes.into_iter().map(|w| w.join().unwrap()).collect();
        let instances = instances.into_iter().map(|i| i.join().unwrap()).collect();
        (workers, instances)
    })
}

/// Waits until an instance is ready and serves requests again.
fn await_calm(fleet: &Fleet, n: usize, instance: &mut Instance) {
    instance.wait_ready(fleet);
    for kind in ["resumable", "unsafe", "side"] {
        let mut attempt = 0;
        until(&format!("{} serves {kind}", instance.callers), || {
            attempt += 1;
            let id = format!("{}z{n}{kind}{attempt}", fleet.run);
            fleet.is_served(n, kind, &id)
        });
    }
}

/// Guards against a process that listens where callers still expect one that has ended.
#[test]
fn no_address_is_given_to_two_processes() {
    let mut seen = HashSet::new();
    for _ in 0..2000 {
        let address = free_address();
        assert!(seen.insert(address), "{address} was returned twice");
    }
}

/// Guards against combined faults of a deployment that tear, shorten, mix or double an answer or the
/// output of an item.
#[test]
fn a_fleet_in_trouble_tears_and_doubles_nothing() {
    check_fleet(Options::read(CI_LENGTH_S, CI_SEED));
}

/// Guards against the same where each answer shows its end.
#[test]
fn a_fleet_with_chunked_answers_tears_and_doubles_nothing() {
    let mut options = Options::read(CI_LENGTH_S, CI_SEED);
    options.framing = "chunked".into();
    check_fleet(options);
}

/// Guards against instances that fail their callers while only their own links to workers are cut.
#[test]
fn instances_without_links_to_workers_serve_their_callers() {
    let mut options = Options::read(CI_LENGTH_S, CI_SEED);
    options.framing = "chunked".into();
    options.cuts = true;
    check_fleet(options);
}

/// Guards against two builds side by side that lose, tear or double what one of them began, while the
/// instances are replaced one after the other, forth and back. In CI both programs are the same.
#[test]
fn instances_that_are_replaced_one_by_one_tear_and_double_nothing() {
    let mut options = Options::read(CI_UPGRADE_S, CI_SEED);
    options.framing = "chunked".into();
    let earlier = options.earlier.take();
    options.earlier = Some(earlier.unwrap_or_else(|| options.program.clone()));
    check_fleet(options);
}

/// Guards against a worker that starts again under its id with another version of its software, and
/// goes on with streams of the version that an instance that is out of step still lists for it.
#[test]
fn a_worker_that_starts_again_under_its_id_continues_no_stream_of_another_version() {
    let days = Skew::days(CI_LENGTH_S);
    let violations: Vec<_> = days.into_iter().filter_map(play_skew).collect();
    assert!(violations.is_empty(), "{violations:?}");
}

/// Plays a day on which an instance is out of step, and returns what was wrong with its streams.
fn play_skew((options, skew): (Options, Skew)) -> Option<String> {
    let fleet = &Fleet::new(options);
    let tally = fleet.play_skew(skew);
    fleet.check_taken_up(skew, &tally);
    let record = fleet.record.lock().unwrap();
    let seed = fleet.options.seed;
    println!("summary: seed {seed}, {skew:?}");
    println!("summary: {tally:?}");
    println!("summary: violations {:?}", record.violations);
    // Instances themselves go on with the streams of a worker that ends.
    assert!(
        skew.breaker == Breaker::Worker || !tally.taken_up.is_empty(),
        "no stream was taken up in seed {seed}"
    );
    let is_sound = record.violations.is_empty();
    (!is_sound).then(|| format!("seed {seed}, {skew:?}: {:?}", record.violations))
}

/// Runs a fleet in trouble, and checks all answers, outputs and counts of runs.
fn check_fleet(options: Options) {
    let fleet = &Fleet::new(options);
    let (_workers, mut instances) = run(fleet);
    let Options { seed, size, .. } = fleet.options;
    thread::scope(|scope| {
        for (n, instance) in instances.iter_mut().enumerate() {
            scope.spawn(move || await_calm(fleet, n, instance));
        }
    });
    fleet.await_touch();
    let mut rng = fastrand::Rng::with_seed(seed);
    let jobs = fleet.accepted.lock().unwrap().clone();
    for (n, job) in jobs.iter().enumerate() {
        let address = fleet.address_of(n % fleet.options.instances);
        until(&format!("{job} is finished"), || {
            fleet.read_whole(job, address)
        });
        fleet.check_job(job, &mut rng);
    }
    fleet.check_runs();
    fleet.check_silences();
    if fleet.options.cuts {
        fleet.check_detached();
    }
    if let Some(upgrade) = &fleet.upgrade {
        assert!(upgrade.is_done(), "not all instances were replaced");
        fleet.check_logs();
    }
    let record = fleet.record.lock().unwrap();
    let framing = &fleet.options.framing;
    println!(
        "summary: size {size:?}, seed {seed}, framing {framing}, {} jobs",
        jobs.len()
    );
    println!(
        "summary: {} reads of jobs, {} at instances in touch, {} metrics pages",
        record.reads.0, record.reads.1, record.pages
    );
    println!("summary: answers {:?}", record.ends);
    println!("summary: violations {:?}", record.violations);
    assert!(record.ends.contains_key(&("resumable", "whole")));
    assert!(record.violations.is_empty(), "violations in seed {seed}");
}
