//! Answers of workers that do not belong to the request at hand.

mod gateway_support;
mod support;

use std::time::Duration;

use gateway_support::{Behaviour, Instance, Worker, platform};
use support::until;

const PAUSE: Duration = Duration::from_millis(2);

fn behave_all(workers: &[Worker], next: &[Behaviour]) {
    workers.iter().for_each(|w| w.behave(next));
}

fn runs(workers: &[Worker]) -> usize {
    workers.iter().map(|w| w.runs().len()).sum()
}

/// Guards against a caller that is told to send a request again which a worker runs, because a copy of
/// an earlier refusal was taken as the answer on a reused connection.
#[test]
fn a_copy_of_an_earlier_refusal_promises_nothing() {
    let (store, workers) = platform(2, PAUSE);
    let instance = Instance::start("one", &store, &[]);
    let mut number = 0;
    let mut send = || {
        number += 1;
        instance.stream("/single/x", &format!("r{number}")).unwrap()
    };
    until("both workers have an idle connection", || {
        assert_eq!(send().status, 200);
        workers.iter().all(|w| !w.runs().is_empty())
    });
    behave_all(&workers, &[Behaviour::StaleRefusal]);
    let before = runs(&workers);
    assert_eq!(send().status, 502);
    assert_eq!(runs(&workers) - before, 1);
}

/// Guards against an item that counts as failed, or as one that can never succeed, because of a copy
/// of the answer to an earlier request.
#[test]
fn a_copy_of_an_earlier_error_fails_no_item() {
    let (store, workers) = platform(2, PAUSE);
    let instance = Instance::start_for_jobs("one", &store);
    let mut number = 0;
    until("both workers have an idle connection", || {
        number += 1;
        instance.stream("/single/x", &format!("r{number}")).unwrap();
        workers.iter().all(|w| !w.runs().is_empty())
    });
    behave_all(&workers, &[Behaviour::StaleError(422)]);
    assert_eq!(instance.submit("j1", &["i1"]).unwrap().status, 202);
    let results = instance.wait_results("j1", 1);
    assert_eq!(results[0]["state"], "done");
}

/// Guards against an item that fails too early because the copy of a worker's error is counted as
/// another one: it names the item, which runs again on the same connection.
#[test]
fn a_repeated_error_of_an_item_counts_once() {
    let (store, workers) = platform(2, PAUSE);
    let [worker, other] = &workers;
    store.put("servers", &other.id, other.entry("draining"));
    let instance = Instance::start_for_jobs("one", &store);
    let fail = Behaviour::FailTwice(500);
    worker.behave(&[fail, fail]);
    assert_eq!(instance.submit("j1", &["i1"]).unwrap().status, 202);
    let results = instance.wait_results("j1", 1);
    assert_eq!(
        (results[0]["state"].as_str(), worker.copies()),
        (Some("done"), 0)
    );
}
