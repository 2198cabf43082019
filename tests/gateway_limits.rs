//! Workers that name a limit on the requests that they take from all instances together.

mod gateway_support;
mod support;

use std::{
    thread,
    time::{Duration, Instant},
};

use gateway_support::{Behaviour, Instance, Store, Worker, config, platform};
use support::until;

const PAUSE: Duration = Duration::from_millis(2);

/// Time in which the platform counts the requests that reach a worker.
const WINDOW: Duration = Duration::from_secs(4);
/// Time from which on the platform counts those of an instance that was told the limit.
const NOTICE: Duration = Duration::from_millis(500);

/// Returns the most requests that reached a worker in one window, from half a second after a time on.
fn most_in_window(worker: &Worker, named: Instant) -> usize {
    let mut arrivals = worker.arrivals();
    arrivals.retain(|at| *at >= named + NOTICE);
    let count = |from: &Instant| {
        let in_window = |at: &&Instant| **at >= *from && **at < *from + WINDOW;
        arrivals.iter().filter(in_window).count()
    };
    arrivals.iter().map(count).max().unwrap_or_default()
}

/// Returns the requests that the platform allows in a window at a rate.
fn allowed(rate: f64) -> usize {
    (rate * 1.5 * WINDOW.as_secs_f64()) as usize + 5
}

fn start(store: &Store, names: &[&str]) -> Vec<Instance> {
    let first = Instance::start(names[0], store, &[]);
    let seeds = [first.peers];
    let others = names[1..].iter();
    let mut instances: Vec<Instance> = others
        .map(|name| Instance::start(name, store, &seeds))
        .collect();
    instances.push(first);
    instances
}

/// Sends requests through all instances at once for a time, and returns the statuses of the answers;
/// 0 stands for an answer that broke off.
fn send_for(instances: &[Instance], path: &str, time: Duration) -> Vec<u16> {
    let end = Instant::now() + time;
    thread::scope(|scope| {
        let send = |instance: &Instance| {
            let mut statuses = Vec::new();
            while Instant::now() < end {
                let id = format!("r-{}", fastrand::u64(..));
                let answer = instance.stream(path, &id);
                statuses.push(answer.map_or(0, |a| a.status));
                thread::sleep(Duration::from_millis(10));
            }
            statuses
        };
        let senders: Vec<_> = instances
            .iter()
            .map(|i| scope.spawn(move || send(i)))
            .collect();
        let statuses = senders.into_iter().flat_map(|s| s.join().unwrap());
        statuses.collect()
    })
}

/// Guards against a sum over all instances that exceeds the limit of a worker, also while an instance
/// joins, and against refusals of requests that another worker can serve.
#[test]
fn instances_together_keep_to_the_limit_of_a_worker() {
    let (store, [limited, free]) = platform(2, PAUSE);
    let mut entry = free.entry("ready");
    entry["slots"] = 8.into();
    store.put("servers", &free.id, entry);
    let mut instances = start(&store, &["one", "two", "three", "four"]);
    let named = Instant::now();
    limited.set_limit(Some("1"));
    let mut statuses = send_for(&instances, "/resumable/x", Duration::from_secs(3));
    instances.push(Instance::start("five", &store, &[instances[0].peers]));
    statuses.extend(send_for(&instances, "/resumable/x", Duration::from_secs(3)));
    assert!(statuses.iter().all(|s| *s == 200), "{statuses:?}");
    assert!(statuses.len() > 100);
    assert!(most_in_window(&limited, named) <= allowed(1.0));
}

/// Guards against ways to a worker that bypass its limit: streams that are resumed, second workers
/// beside silent ones and requests that are sent again.
#[test]
fn later_attempts_keep_to_the_limit_of_a_worker() {
    for behaviour in [
        Behaviour::BreakAfter(1),
        Behaviour::LateHead,
        Behaviour::Refuse,
        Behaviour::Fail(500),
    ] {
        let (store, [limited, faulty]) = platform(3, PAUSE);
        let instances = start(&store, &["one", "two"]);
        let named = Instant::now();
        limited.set_limit(Some("0.5"));
        faulty.behave(&[behaviour; 2000]);
        send_for(&instances, "/resumable/x", WINDOW + NOTICE);
        let most = most_in_window(&limited, named);
        assert!(most <= allowed(0.5), "{behaviour:?}: {most}");
    }
}

/// Guards against items that reach a worker above its limit, and against items that are lost by it.
#[test]
fn items_keep_to_the_limit_of_a_worker() {
    let (store, [limited, gone]) = platform(2, PAUSE);
    let instance = Instance::start_for_jobs("one", &store);
    store.put("servers", &gone.id, gone.entry("draining"));
    limited.set_limit(Some("2"));
    until("the limit is named", || {
        instance.stream("/resumable/x", "r");
        !limited.arrivals().is_empty()
    });
    let named = Instant::now();
    thread::sleep(NOTICE);
    let ids: Vec<String> = (0..24).map(|n| format!("i{n}")).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    assert_eq!(instance.submit("j1", &ids).unwrap().status, 202);
    instance.wait_results("j1", ids.len());
    assert!(most_in_window(&limited, named) <= allowed(2.0));
}

/// Guards against requests that wait for a permit that cannot come in time.
#[test]
fn a_request_above_all_limits_is_refused_at_once() {
    let (store, workers) = platform(2, PAUSE);
    let mut config = config(2);
    config["routes"][0]["goal_ms"] = 60000.into();
    config["routes"][0]["timeout_ms"] = 60000.into();
    store.put("config", "main", config);
    let instances = start(&store, &["one", "two"]);
    for worker in &workers {
        worker.set_limit(Some("0.1"));
    }
    let is_refused = |instance: &Instance| {
        let asked = Instant::now();
        let answer = instance.stream("/resumable/x", &format!("r-{}", fastrand::u64(..)));
        // Without the limits the request would wait for 13 s.
        assert!(asked.elapsed() < Duration::from_secs(3));
        answer.is_some_and(|a| a.status == 503 && a.header("retry-after").is_some())
    };
    for instance in &instances {
        until("requests are refused", || is_refused(instance));
    }
}

/// Guards against a worker that stays out of use after its limit has ended or was raised.
#[test]
fn a_limit_that_ended_holds_no_longer() {
    for later in [None, Some("1000")] {
        let (store, [limited, gone]) = platform(2, PAUSE);
        store.put("servers", &gone.id, gone.entry("draining"));
        let instances = start(&store, &["one", "two", "three"]);
        limited.set_limit(Some("0.5"));
        let refused = || {
            let statuses = send_for(&instances, "/resumable/x", Duration::from_millis(200));
            statuses.iter().filter(|s| **s != 200).count()
        };
        until("all but a few requests are refused", || refused() > 3);
        limited.set_limit(later);
        until("no request is refused", || refused() == 0);
    }
}
