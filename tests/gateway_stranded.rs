//! Instances that are cut off from all workers, while callers and the other instances reach them.

mod gateway_support;
mod support;

use std::{
    thread,
    time::{Duration, Instant},
};

use gateway_support::{
    Instance, Store, Worker, config,
    partition::{Cut, Partition},
};
use serde_json::json;
use support::until;

const PAUSE: Duration = Duration::from_millis(10);
/// Time after the beginning of a cut in which requests may fail.
const STABLE_WINDOW: Duration = Duration::from_millis(2500);
const EVENTS: u64 = 5;

/// Instances and workers with a link to each worker.
struct Fleet {
    _store: Store,
    workers: Vec<Worker>,
    links: Vec<Partition>,
    instances: Vec<Instance>,
}

impl Fleet {
    fn start(count: usize, events: u64, pause: Duration) -> Self {
        let store = Store::start();
        let workers = ["w1", "w2", "w3"].map(|id| Worker::start(id, events, pause));
        let links: Vec<_> = workers.iter().map(|w| Partition::new(w.address)).collect();
        for (worker, link) in workers.iter().zip(&links) {
            let mut entry = worker.entry("ready");
            entry["addr"] = json!(link.address);
            store.put("servers", &worker.id, entry);
        }
        store.put("config", "main", config(1));
        let mut instances: Vec<Instance> = Vec::new();
        for number in 0..count {
            let seeds: Vec<_> = instances.iter().map(|i| i.peers).collect();
            instances.push(Instance::start(&format!("i{number}"), &store, &seeds));
        }
        thread::sleep(Duration::from_secs(1));
        Self {
            _store: store,
            workers: workers.into(),
            links,
            instances,
        }
    }

    fn cut(&self, instance: usize, how: Cut) {
        for link in &self.links {
            link.cut(self.instances[instance].id(), how);
        }
    }

    fn heal(&self) {
        for link in &self.links {
            link.heal();
        }
    }

    fn log(&self, instance: usize) -> String {
        std::fs::read_to_string(&self.instances[instance].log).unwrap()
    }

    fn runs(&self) -> usize {
        self.workers.iter().map(|w| w.runs().len()).sum()
    }
}

/// Guards against first tries that fail at an instance that has lost its links to all workers.
fn requests_are_served_through_another_instance(how: Cut) {
    let fleet = Fleet::start(2, EVENTS, PAUSE);
    let instance = &fleet.instances[0];
    let stream = |id: &str| instance.stream("/resumable/x", id);
    assert_eq!(stream("first").unwrap().status, 200);
    fleet.cut(0, how);
    let began = Instant::now();
    let mut number = 0;
    while began.elapsed() < STABLE_WINDOW {
        number += 1;
        stream(&format!("early-{number}"));
    }
    for path in ["/resumable/x", "/single/x", "/safe/x", "/unsafe/x"] {
        for number in 0..5 {
            let runs = fleet.runs();
            let id = format!("{path}-{number}").replace('/', "-");
            let answer = instance.stream(path, &id).unwrap();
            assert_eq!(answer.status, 200, "{id}: {}", fleet.log(0));
            assert_eq!(fleet.runs(), runs + 1, "{id} runs once");
        }
    }
    let log = fleet.log(0);
    assert!(log.contains("event=links-cut"), "{log}");
    assert!(!log.contains("ejected=true"), "{log}");
    fleet.heal();
    until("the links count as back", || {
        fleet.log(0).contains("event=links-back")
    });
    assert_eq!(stream("last").unwrap().status, 200);
}

#[test]
fn an_instance_whose_connections_hang_serves_requests() {
    requests_are_served_through_another_instance(Cut::Hang);
}

#[test]
fn an_instance_whose_connections_are_reset_serves_requests() {
    requests_are_served_through_another_instance(Cut::Reset);
}

#[test]
fn an_instance_whose_new_connections_are_refused_serves_requests() {
    requests_are_served_through_another_instance(Cut::Refuse);
}

/// Guards against a stream that breaks, or loses or repeats events, when its instance is cut off.
#[test]
fn a_running_stream_goes_on_through_another_instance() {
    for how in [Cut::Hang, Cut::Reset, Cut::Refuse] {
        let fleet = Fleet::start(2, 40, Duration::from_millis(50));
        let answer = thread::scope(|scope| {
            let running = scope.spawn(|| fleet.instances[0].stream("/resumable/x", "long"));
            until("the stream runs", || fleet.runs() > 0);
            thread::sleep(Duration::from_millis(300));
            fleet.cut(0, how);
            running.join().unwrap().expect("a whole answer")
        });
        let log = fleet.log(0);
        assert_eq!(answer.status, 200, "{how:?}: {log}");
        let text = answer.text();
        let ids = text.lines().filter_map(|l| l.strip_prefix("id:"));
        let ids: Vec<u64> = ids.filter_map(|i| i.trim().parse().ok()).collect();
        assert_eq!(ids, (0..40).collect::<Vec<u64>>(), "{how:?}: {log}");
    }
}

/// Guards against an answer that looks whole, or a worker that is blamed, when the instance in between is
/// killed.
#[test]
fn the_end_of_the_instance_in_between_is_no_end_of_an_answer() {
    let mut fleet = Fleet::start(2, 40, Duration::from_millis(50));
    fleet.cut(0, Cut::Hang);
    until("the cut is known", || {
        fleet.instances[0].stream("/safe/x", "probe");
        fleet.log(0).contains("event=links-cut")
    });
    let callers = fleet.instances[0].callers;
    let runs = fleet.runs();
    let running = thread::spawn(move || {
        let headers = [("x-request-id", "long"), ("x-deadline-ms", "5000")];
        support::http::call(callers, "POST", "/single/x", &headers, "prompt")
    });
    until("the stream runs", || fleet.runs() > runs);
    thread::sleep(Duration::from_millis(300));
    fleet.instances[1].kill();
    let answer = running.join().unwrap();
    let log = fleet.log(0);
    assert!(answer.is_none_or(|a| a.status != 200), "{log}");
    assert!(!log.contains("event=parts-suspected"), "{log}");
}

/// Guards against a cut that is put down to the links of an instance when one worker is silent.
#[test]
fn a_silent_worker_is_no_cut() {
    let fleet = Fleet::start(2, EVENTS, PAUSE);
    let instance = &fleet.instances[0];
    fleet.links[0].cut(instance.id(), Cut::Hang);
    for number in 0..10 {
        instance.stream("/resumable/x", &format!("r{number}"));
    }
    assert!(
        !fleet.log(0).contains("event=links-cut"),
        "{}",
        fleet.log(0)
    );
}

/// Guards against instances that go on to refuse requests after all workers were out of reach for all.
#[test]
fn workers_that_come_back_are_used_at_once() {
    let fleet = Fleet::start(2, EVENTS, PAUSE);
    for instance in 0..2 {
        fleet.cut(instance, Cut::Reset);
    }
    let began = Instant::now();
    while began.elapsed() < STABLE_WINDOW {
        fleet.instances[0].stream("/safe/x", "lost");
        thread::sleep(PAUSE);
    }
    fleet.heal();
    thread::sleep(Duration::from_millis(1500));
    let answer = fleet.instances[0].stream("/safe/x", "back").unwrap();
    assert_eq!(answer.status, 200, "{}", fleet.log(0));
}
