//! Streams that a caller takes up at another instance while the first one still passes them on.

mod gateway_support;
mod support;

use std::{thread, time::Duration};

use gateway_support::{
    Instance, Store, config,
    worker_process::{Setup, WorkerProcess},
};
use support::{http, until};

const EVENTS: u64 = 40;
/// Event after which the caller goes on at the other instance.
const LAST: u64 = 5;
/// Streams for each framing.
const STREAMS: usize = 8;
/// Time in which instances that were started know what versions serve.
const SETTLE: Duration = Duration::from_secs(3);

fn event(version: &str, number: u64) -> String {
    format!("id: {number}\ndata: {version}{number}\n\n")
}

/// Takes streams up at a second instance while the first one passes them on, and checks that the caller
/// gets each event once, in order and of one version.
fn check(framing: &str) {
    let folder = tempfile::tempdir().unwrap();
    let store = Store::start();
    let setup = |version: &'static str| Setup {
        events: EVENTS,
        pause_ms: 20,
        framing: framing.to_owned(),
        version,
        options: Vec::new(),
        ledger: folder.path().join("ledger"),
    };
    let setups = [setup("a"), setup("b")];
    let start = |(n, id)| WorkerProcess::start(&store, &setups[n % 2], id, 1);
    let _workers = ["w0", "w1", "w2", "w3"].into_iter().enumerate().map(start);
    let _workers: Vec<_> = _workers.collect();
    store.put("config", "main", config(1));
    let one = Instance::start("one", &store, &[]);
    let two = Instance::start("two", &store, &[one.peers]);
    thread::sleep(SETTLE);
    let mut count = 0;
    for n in 0..STREAMS {
        let (id, again) = (format!("r{n}"), format!("again-{n}"));
        let path = format!("/resumable/{n}");
        let (first, second) = thread::scope(|scope| {
            let first = scope.spawn(|| {
                let headers = [("x-request-id", &*id), ("x-deadline-ms", "5000")];
                http::call(one.callers, "POST", &path, &headers, "prompt")
            });
            until("the stream runs", || {
                setups[0].runs().iter().any(|(run, _)| *run == id)
            });
            thread::sleep(Duration::from_millis(20 * (LAST + 5)));
            let last = LAST.to_string();
            let headers = [
                ("x-request-id", &*again),
                ("x-deadline-ms", "4500"),
                ("last-event-id", &*last),
                ("resumes", &*id),
            ];
            let second = http::call(two.callers, "POST", &path, &headers, "prompt");
            (first.join().unwrap(), second)
        });
        let first = first.filter(|a| a.status == 200).map(|a| a.text());
        let first = first.expect("the first instance goes on");
        let version = if first.starts_with(&event("a", 0)) {
            "a"
        } else {
            "b"
        };
        let events = |from| {
            (from..EVENTS)
                .map(|n| event(version, n))
                .collect::<String>()
        };
        assert_eq!(first, events(0));
        if let Some(second) = second.filter(|a| a.status == 200) {
            assert_eq!(second.text(), events(LAST + 1));
            count += 1;
        }
    }
    assert!(count * 2 >= STREAMS, "{count} of {STREAMS} were taken up");
}

/// Guards against events that are lost, doubled or of another version where two instances pass a stream on.
#[test]
fn a_stream_that_two_instances_pass_on_has_each_event_once() {
    check("chunked");
}

/// Guards against the same where nothing but the end of the connection marks the end of the stream.
#[test]
fn a_stream_without_length_that_two_instances_pass_on_has_each_event_once() {
    check("close");
}
