//! Workers that are silent for a while, and go on.

mod gateway_support;
mod support;

use std::time::Duration;

use gateway_support::{Behaviour, Instance, platform};
use support::until;

const PAUSE: Duration = Duration::from_millis(2);
const EVENTS: u64 = 4;

fn assert_whole(instance: &Instance, path: &str, id: &str) {
    let events = (0..EVENTS).map(|n| format!("id: {n}\ndata: t{n}\n\n"));
    let answer = instance.stream(path, id).expect("the answer is complete");
    assert_eq!((answer.status, answer.text()), (200, events.collect()));
}

/// Guards against a worker that is given up for silence on the last attempt of a stream.
#[test]
fn a_silent_worker_is_kept_on_the_last_attempt() {
    let (store, workers) = platform(EVENTS, PAUSE);
    let instance = Instance::start("one", &store, &[]);
    until("the worker that breaks has the request", || {
        workers[0].behave(&[Behaviour::BreakAfter(1)]);
        workers[1].behave(&[Behaviour::StallAfter(2)]);
        let before = workers[0].runs().len();
        assert_whole(&instance, "/resumable/x", "r");
        let runs = workers[1].runs();
        let resumed = runs.last().and_then(|r| r.header("last-event-id"));
        workers[0].runs().len() > before && resumed == Some("0")
    });
}
