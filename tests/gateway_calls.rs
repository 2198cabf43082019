//! Calls through an instance of the program, against stand-ins that speak the platform's protocol.

mod gateway_support;
mod support;

use std::{
    io::Read,
    net::TcpStream,
    thread,
    time::{Duration, Instant},
};

use gateway_support::{Behaviour, Instance, Store, StoreFaults, config, platform};
use serde_json::json;
use support::until;

const PAUSE: Duration = Duration::from_millis(2);
/// Time within which all instances must use a new configuration, as the platform requires.
const CONFIG_BOUND: Duration = Duration::from_secs(2);

fn whole(events: u64) -> String {
    (0..events)
        .map(|n| format!("id: {n}\ndata: t{n}\n\n"))
        .collect()
}

/// Guards against streams that are modified while being forwarded, and against requests whose
/// headers are.
#[test]
fn a_stream_arrives_as_the_worker_sent_it() {
    let (store, workers) = platform(5, PAUSE);
    let instance = Instance::start("one", &store, &[]);
    let answer = instance.stream("/resumable/x?y=1", "r1").unwrap();
    assert_eq!((answer.status, answer.text()), (200, whole(5)));
    assert!(answer.header("x-response-seal").is_some());
    let runs: Vec<_> = workers.iter().flat_map(|w| w.runs()).collect();
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0].path, "/resumable/x?y=1");
    assert_eq!(runs[0].body, b"prompt");
    assert_eq!(runs[0].header("x-request-id"), Some("r1"));
    let deadline: u64 = runs[0].header("x-deadline-ms").unwrap().parse().unwrap();
    assert!(deadline <= 5000);
}

/// Guards against missing, duplicate or truncated events after a worker broke the connection.
#[test]
fn a_broken_stream_goes_on_after_its_last_whole_event() {
    let (store, workers) = platform(6, PAUSE);
    workers[0].behave(&[Behaviour::BreakAfter(3)]);
    let instance = Instance::start("one", &store, &[]);
    until("the first worker has a request", || {
        let answer = instance.stream("/resumable/x", "r").unwrap();
        assert_eq!(answer.text(), whole(6));
        !workers[0].runs().is_empty()
    });
    let runs = workers[1].runs();
    let resumed = runs
        .iter()
        .filter(|r| r.header("last-event-id") == Some("2"));
    assert_eq!(resumed.count(), 1);
}

/// Guards against a request that runs twice, and against a truncated answer that looks complete.
#[test]
fn a_stream_that_cannot_resume_is_broken_off_and_runs_once() {
    let (store, workers) = platform(6, PAUSE);
    let instance = Instance::start("one", &store, &[]);
    for worker in &workers {
        worker.behave(&[Behaviour::BreakAfter(3)]);
    }
    assert!(instance.stream("/single/x", "r1").is_none());
    let runs: usize = workers.iter().map(|w| w.runs().len()).sum();
    assert_eq!(runs, 1);
}

/// Guards against a stream without a length that is taken for broken, or that is taken for complete
/// although it ends inside an event.
#[test]
fn a_stream_that_ends_with_its_connection_is_complete_unless_it_ends_inside_an_event() {
    let (store, workers) = platform(6, PAUSE);
    let instance = Instance::start("one", &store, &[]);
    for (number, path) in ["/single/x", "/resumable/x"].into_iter().enumerate() {
        workers
            .iter()
            .for_each(|w| w.behave(&[Behaviour::Unframed]));
        let answer = instance.stream(path, &format!("w{number}")).unwrap();
        assert_eq!(answer.text(), whole(6));
    }
    let cut = [Behaviour::UnframedBreakAfter(3)];
    workers.iter().for_each(|w| w.behave(&cut));
    assert!(instance.stream("/single/x", "c1").is_none());
    workers[0].behave(&cut);
    workers[1].behave(&[]);
    let before = workers[0].runs().len();
    until("the first worker has a request", || {
        let answer = instance.stream("/resumable/x", "c2").unwrap();
        assert_eq!(answer.text(), whole(6));
        workers[0].runs().len() > before
    });
    let runs = workers[1].runs();
    let resumed = runs
        .iter()
        .filter(|r| r.header("last-event-id") == Some("2"));
    assert_eq!(resumed.count(), 1);
}

/// Guards against reporting a request as not run when a worker may have run it.
#[test]
fn only_a_marked_refusal_counts_as_not_run() {
    let (store, workers) = platform(2, PAUSE);
    let instance = Instance::start("one", &store, &[]);
    workers.iter().for_each(|w| w.behave(&[Behaviour::Refuse]));
    let refused = instance.stream("/single/x", "r1").unwrap();
    assert_eq!(refused.status, 503);
    assert!(refused.header("retry-after").is_some());
    for worker in &workers {
        worker.behave(&[Behaviour::Unmarked]);
    }
    let unknown = instance.stream("/single/x", "r2").unwrap();
    assert_eq!(unknown.status, 502);
}

/// Guards against a worker's error that reaches the caller as a different one.
#[test]
fn a_failure_of_a_worker_is_passed_on_unchanged() {
    let (store, workers) = platform(2, PAUSE);
    let instance = Instance::start("one", &store, &[]);
    for worker in &workers {
        worker.behave(&[Behaviour::Fail(500)]);
    }
    let answer = instance.stream("/single/x", "r1").unwrap();
    assert_eq!((answer.status, answer.text().as_str()), (500, "failed"));
    assert!(answer.header("x-response-seal").is_some());
}

/// Guards against forwarding an answer to another request, and against taking extra bytes after an
/// answer for the next one.
#[test]
fn foreign_and_extra_answers_reach_no_caller() {
    let (store, workers) = platform(3, PAUSE);
    let instance = Instance::start("one", &store, &[]);
    for worker in &workers {
        worker.behave(&[Behaviour::Foreign]);
    }
    let answer = instance.stream("/single/x", "r1").unwrap();
    assert_eq!(answer.status, 502);
    for round in 0..4 {
        for worker in &workers {
            worker.behave(&[Behaviour::Extra, Behaviour::Extra]);
        }
        let answer = instance
            .stream("/resumable/x", &format!("e{round}"))
            .unwrap();
        assert_eq!(answer.text(), whole(3));
    }
}

/// Guards against a stream that waits for a stalled worker until the caller times out.
#[test]
fn a_silent_stream_goes_on_elsewhere() {
    let (store, workers) = platform(4, PAUSE);
    let instance = Instance::start("one", &store, &[]);
    for worker in &workers {
        worker.behave(&[Behaviour::StallAfter(2)]);
    }
    workers[0].behave(&[]);
    for id in ["r1", "r2"] {
        let answer = instance.stream("/resumable/x", id).unwrap();
        assert_eq!(answer.text(), whole(4));
    }
}

/// Guards against a worker that keeps running a request after its caller has disconnected.
#[test]
fn the_worker_stops_when_the_caller_leaves() {
    use std::io::Write;
    let (store, workers) = platform(400, Duration::from_millis(10));
    let instance = Instance::start("one", &store, &[]);
    let mut caller = TcpStream::connect(instance.callers).unwrap();
    write!(
        caller,
        "POST /resumable/x HTTP/1.1\r\nhost: 127.0.0.1\r\nx-request-id: r1\r\n\
         x-deadline-ms: 5000\r\ncontent-length: 1\r\n\r\nx"
    )
    .unwrap();
    let mut some = [0; 64];
    assert!(caller.read(&mut some).unwrap() > 0);
    drop(caller);
    thread::sleep(Duration::from_millis(600));
    let sent = |w: &gateway_support::Worker| w.sent();
    let before: u64 = workers.iter().map(sent).sum();
    thread::sleep(Duration::from_millis(300));
    let after: u64 = workers.iter().map(sent).sum();
    assert_eq!(before, after);
    assert!(after < 200);
}

/// Guards against a 404 for an existing route from an instance without a configuration.
#[test]
fn an_instance_without_a_configuration_is_not_ready_and_answers_503() {
    let store = Store::start();
    let instance = Instance::spawn("one", &store, &[]);
    until("the instance answers", || {
        instance.stream("/resumable/x", "r1").is_some()
    });
    assert_eq!(instance.stream("/resumable/x", "r1").unwrap().status, 503);
    assert!(!instance.is_ready());
    store.put("config", "main", config(1));
    until("the instance is ready", || instance.is_ready());
    assert_eq!(instance.stream("/none/x", "r2").unwrap().status, 404);
}

/// Guards against a restarted instance that cannot serve requests during a store outage.
#[test]
fn an_instance_that_starts_in_an_outage_learns_from_its_peers() {
    let (store, _workers) = platform(3, PAUSE);
    let one = Instance::start("one", &store, &[]);
    store.set_faults(StoreFaults::DOWN);
    let two = Instance::start("two", &store, &[one.peers]);
    assert_eq!(two.stream("/resumable/x", "r1").unwrap().text(), whole(3));
}

/// Guards against an instance without a watch of its own that keeps an old configuration or sends
/// requests to a worker that is about to stop.
#[test]
fn an_instance_that_does_not_watch_the_store_learns_from_those_that_do() {
    let (store, workers) = platform(1, PAUSE);
    let mut instances = vec![Instance::start("one", &store, &[])];
    let seeds = [instances[0].peers];
    for name in ["two", "three", "four", "five"] {
        instances.push(Instance::start(name, &store, &seeds));
    }
    until("three instances watch and no more", || {
        (0..25).all(|_| {
            thread::sleep(Duration::from_millis(20));
            store.watches("config") == 3
        })
    });
    store.put("servers", &workers[0].id, workers[0].entry("draining"));
    let mut newer = config(5);
    newer["routes"].as_array_mut().unwrap().remove(0);
    store.put("config", "main", newer);
    let changed = Instant::now();
    for instance in &instances {
        until("the route is gone", || {
            let answer = instance.stream("/resumable/x", "r1");
            answer.is_some_and(|a| a.status == 404)
        });
    }
    assert!(changed.elapsed() < CONFIG_BOUND, "{:?}", changed.elapsed());
    thread::sleep(CONFIG_BOUND.saturating_sub(changed.elapsed()));
    let before = workers[0].runs().len();
    for instance in &instances {
        assert_eq!(instance.stream("/single/x", "r2").unwrap().status, 200);
    }
    assert_eq!(workers[0].runs().len(), before);
}

/// Guards against an empty worker list after a store outage during which the entries of the workers
/// expired: they are written again within two seconds.
#[test]
fn workers_whose_entries_lapsed_in_an_outage_stay_in_use() {
    let (store, workers) = platform(1, PAUSE);
    let instance = Instance::start_for_jobs("one", &store);
    for round in 0..4 {
        store.set_faults(StoreFaults::DOWN);
        thread::sleep(Duration::from_millis(400));
        for worker in &workers {
            store.remove("servers", &worker.id);
        }
        store.set_faults(StoreFaults::default());
        let back = Instant::now();
        while back.elapsed() < Duration::from_millis(1300) {
            let answer = instance.stream("/resumable/x", &format!("r{round}"));
            assert_eq!(answer.unwrap().status, 200, "round {round}");
        }
        for worker in &workers {
            store.put("servers", &worker.id, worker.entry("ready"));
        }
        thread::sleep(Duration::from_millis(300));
    }
}

/// Guards against a configuration that takes effect late, and against a return to an older one.
#[test]
fn a_newer_configuration_comes_into_force_and_an_older_one_does_not() {
    let (store, _workers) = platform(1, PAUSE);
    let instance = Instance::start("one", &store, &[]);
    let mut newer = config(5);
    newer["routes"].as_array_mut().unwrap().remove(0);
    store.put("config", "main", newer);
    until("the route is gone", || {
        instance
            .stream("/resumable/x", "r1")
            .is_some_and(|a| a.status == 404)
    });
    store.put("config", "main", config(4));
    thread::sleep(Duration::from_millis(300));
    assert_eq!(instance.stream("/resumable/x", "r2").unwrap().status, 404);
}

/// Guards against new requests to a worker that is about to stop, and against a worker list that
/// one invalid entry breaks.
#[test]
fn a_leaving_worker_gets_no_more_requests() {
    let (store, workers) = platform(1, PAUSE);
    let instance = Instance::start("one", &store, &[]);
    store.put("servers", "other", json!({ "service": 7 }));
    store.put("servers", &workers[0].id, workers[0].entry("draining"));
    thread::sleep(Duration::from_millis(300));
    let before = workers[0].runs().len();
    for id in 0..6 {
        assert_eq!(
            instance
                .stream("/single/x", &format!("r{id}"))
                .unwrap()
                .status,
            200
        );
    }
    assert_eq!(workers[0].runs().len(), before);
}

/// Guards against a planned stop that interrupts a stream or refuses requests at once.
#[test]
fn a_planned_stop_finishes_streams_and_takes_requests_for_a_while() {
    let (store, _workers) = platform(20, Duration::from_millis(30));
    let mut instance = Instance::start("one", &store, &[]);
    let callers = instance.callers;
    let running = thread::spawn(move || {
        let headers = [("x-request-id", "r1"), ("x-deadline-ms", "5000")];
        support::http::call(callers, "POST", "/single/x", &headers, "prompt")
    });
    thread::sleep(Duration::from_millis(100));
    instance.terminate();
    until("the instance is no longer ready", || !instance.is_ready());
    assert_eq!(
        instance.stream("/single/x", "r2").unwrap().text(),
        whole(20)
    );
    assert_eq!(running.join().unwrap().unwrap().text(), whole(20));
    instance.wait_end();
}

/// Guards against a change that is missed for good, since it happened while a list of several pages
/// was read.
#[test]
fn a_worker_that_leaves_while_the_list_is_read_gets_no_requests() {
    let (store, workers) = platform(2, PAUSE);
    let [leaving, other] = &workers;
    store.write_between_pages("servers", &leaving.id, leaving.entry("draining"));
    let instance = Instance::start("one", &store, &[]);
    thread::sleep(Duration::from_millis(500));
    for n in 0..6 {
        let answer = instance.stream("/resumable/x", &format!("r{n}")).unwrap();
        assert_eq!(answer.status, 200);
    }
    assert_eq!((leaving.runs().len(), other.runs().len()), (0, 6));
}

/// Guards against a store that is back from an outage and gets a list call from every instance.
#[test]
fn only_the_watchers_of_a_zone_list_again_after_an_outage() {
    let (store, _workers) = platform(2, PAUSE);
    let first = Instance::start("i0", &store, &[]);
    let others: Vec<Instance> = (1..7)
        .map(|n| Instance::start(&format!("i{n}"), &store, &[first.peers]))
        .collect();
    let instances = || others.iter().chain([&first]);
    until("three instances watch", || store.watches("servers") == 3);
    let before = store.lists("servers");
    store.set_faults(StoreFaults::DOWN);
    thread::sleep(Duration::from_secs(3));
    store.set_faults(StoreFaults::default());
    until("three instances watch", || store.watches("servers") == 3);
    thread::sleep(Duration::from_secs(2));
    let log = |i: &Instance| std::fs::read_to_string(&i.log).unwrap();
    let logs: String = instances().map(log).collect();
    assert_eq!(store.lists("servers") - before, 3, "{logs}");
    assert!(instances().all(Instance::is_ready));
}
