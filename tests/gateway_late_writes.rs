//! Requests whose worker begins to leave between the decision and the write.

mod gateway_support;
mod support;

use std::{
    io::Read,
    net::{SocketAddr, TcpListener},
    thread,
    time::{Duration, Instant},
};

use bytes::Bytes;
use gateway_support::{Instance, Store, Worker, platform};
use gentianpath::gateway::{
    connection::{Connection, SendError},
    write_gate::{Decision, MAX_PAUSE},
};
use http_body_util::Full;
use hyper::Request;
use jiff::Timestamp;
use support::late_port::LatePort;

const PAUSE: Duration = Duration::from_millis(2);
/// Time after the store's answer from which on no request may reach a worker that leaves.
const DRAIN_BOUND: Duration = Duration::from_secs(2);

/// Time in which the kernel sends the first SYN segments again.
const SETUP_LIMIT: Duration = Duration::from_secs(4);

/// A worker that is reached through a port, and one that takes requests only once the first leaves.
struct Pair {
    store: Store,
    stays: Worker,
    leaves: Worker,
    port: LatePort,
}

impl Pair {
    fn start() -> Self {
        let (store, [stays, leaves]) = platform(4, PAUSE);
        let port = LatePort::full(leaves.address);
        store.put("servers", &stays.id, stays.entry("draining"));
        store.put("servers", &leaves.id, entry(&leaves, port.address, "ready"));
        Self {
            store,
            stays,
            leaves,
            port,
        }
    }

    /// Stops an instance while it connects to the worker, and lets it go on long after the worker
    /// began to leave. Returns false if the instance gave the connection up before it was stopped.
    fn leave_during_connect(&self, instance: &Instance, chosen: &str) -> bool {
        let log = || std::fs::read_to_string(&instance.log).unwrap();
        // An instance that does not know the worker yet refuses the request.
        if !holds_soon(|| log().contains(chosen)) {
            return false;
        }
        instance.pause();
        // The log of an item's connection that failed.
        let failed = ["event=worker-unreachable", "event=item-broken"];
        if failed.iter().any(|event| log().contains(event)) {
            instance.resume();
            return false;
        }
        let entry = entry(&self.leaves, self.port.address, "draining");
        self.store.put("servers", &self.leaves.id, entry);
        let since = Instant::now();
        self.store
            .put("servers", &self.stays.id, self.stays.entry("ready"));
        self.port.open();
        // The instance may have given up before it was stopped, with its log not yet written.
        if !holds_soon(|| self.port.accepted() > 0) {
            instance.resume();
            return false;
        }
        thread::sleep(DRAIN_BOUND.saturating_sub(since.elapsed()));
        instance.resume();
        true
    }
}

/// Waits until a condition holds, and returns false if it does not. The set-up is then repeated.
fn holds_soon(condition: impl Fn() -> bool) -> bool {
    let end = Instant::now() + SETUP_LIMIT;
    while !condition() {
        if Instant::now() > end {
            return false;
        }
        thread::sleep(Duration::from_millis(1));
    }
    true
}

fn entry(worker: &Worker, address: SocketAddr, state: &str) -> serde_json::Value {
    let mut entry = worker.entry(state);
    entry["addr"] = address.to_string().into();
    entry
}

/// Guards against a request that is written by a decision from before its instance stood still.
#[test]
fn a_request_is_not_written_to_a_worker_that_began_to_leave_meanwhile() {
    for path in ["/single/x", "/resumable/x", "/unsafe/x"] {
        loop {
            let pair = Pair::start();
            let instance = Instance::start("one", &pair.store, &[]);
            let (stopped, answer) = thread::scope(|scope| {
                let answer = scope.spawn(|| instance.stream(path, "r"));
                let stopped = pair.leave_during_connect(&instance, "event=worker-chosen");
                (stopped, answer.join().unwrap())
            });
            if stopped {
                assert_eq!(pair.leaves.runs().len(), 0, "{path}");
                let log = std::fs::read_to_string(&instance.log).unwrap();
                assert_eq!(answer.unwrap().status, 200, "{path}: {log}");
                break;
            }
        }
    }
}

/// Guards against a request that is refused after its instance stood still: the list from before has no
/// worker that takes requests, and the connection to the one that was chosen has failed.
#[test]
fn a_request_is_placed_by_the_present_list_after_a_pause() {
    for path in ["/single/x", "/resumable/x", "/unsafe/x"] {
        loop {
            let pair = Pair::start();
            let instance = Instance::start("one", &pair.store, &[]);
            let log = || std::fs::read_to_string(&instance.log).unwrap();
            let (resumed, answer) = thread::scope(|scope| {
                let answer = scope.spawn(|| instance.stream(path, "r"));
                holds_soon(|| log().contains("event=worker-chosen"));
                instance.pause();
                pair.store.hold_watches("servers");
                let entry = entry(&pair.leaves, pair.port.address, "draining");
                pair.store.put("servers", &pair.leaves.id, entry);
                pair.store
                    .put("servers", &pair.stays.id, pair.stays.entry("ready"));
                thread::sleep(2 * MAX_PAUSE);
                let resumed = Timestamp::now();
                instance.resume();
                (resumed, answer.join().unwrap())
            });
            // The instance may have given up the connection before it was stopped.
            if failed_at(&log()).is_some_and(|failed| failed >= resumed) {
                assert_eq!(answer.unwrap().status, 200, "{path}: {}", log());
                break;
            }
        }
    }
}

/// Returns the time at which a connection to a worker first failed.
fn failed_at(log: &str) -> Option<Timestamp> {
    let line = log
        .lines()
        .find(|l| l.contains("event=worker-unreachable"))?;
    let time = line.strip_prefix("time=")?.split(' ').next()?;
    Some(time.parse().unwrap())
}

/// Guards against an item that is written by a decision from before its instance stood still.
#[test]
fn an_item_is_not_written_to_a_worker_that_began_to_leave_meanwhile() {
    loop {
        let pair = Pair::start();
        let instance = Instance::start_for_jobs("one", &pair.store);
        assert_eq!(instance.submit("j1", &["i1"]).unwrap().status, 202);
        if pair.leave_during_connect(&instance, "event=item-started") {
            instance.wait_results("j1", 1);
            assert_eq!(pair.leaves.runs().len(), 0);
            break;
        }
    }
}

/// Guards against a request that is written late because the instance stood still after it had checked
/// the worker.
#[test]
fn no_byte_is_written_by_an_old_decision() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let send = |checked: Instant| {
        smol::block_on(async {
            let mut connection = Connection::open(address, DRAIN_BOUND).await.unwrap();
            let (mut server, _) = listener.accept().unwrap();
            connection.set_decision(Decision {
                request: "r".into(),
                worker: "w".into(),
                chosen: checked,
                opened: checked,
                checked,
                reused: false,
            });
            let request = Request::post("/").body(Full::new(Bytes::from("body")));
            let sent = connection.send_within(request.unwrap(), MAX_PAUSE).await;
            drop(connection);
            let mut bytes = Vec::new();
            server.read_to_end(&mut bytes).unwrap();
            (sent, bytes.len())
        })
    };
    let old = Instant::now().checked_sub(2 * MAX_PAUSE).unwrap();
    assert!(matches!(send(old), (Err(SendError::Revoked(_)), 0)));
    // The server does not answer.
    assert!(matches!(
        send(Instant::now() + DRAIN_BOUND),
        (Err(SendError::TimedOut(_)), 1..)
    ));
}
