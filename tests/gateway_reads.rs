//! Reads of batch jobs while the store is slow.

mod gateway_support;
mod support;

use std::{
    thread,
    time::{Duration, Instant},
};

use gateway_support::{Instance, platform};
use serde_json::json;

/// Guards against reads that search the store again and again, as each search takes longer than the
/// interval between two.
#[test]
fn a_read_ends_while_the_store_is_slow() {
    let (store, _workers) = platform(300, Duration::from_millis(100));
    store.put(
        "entry-instances",
        "lost",
        json!({ "address": "127.0.0.1:9" }),
    );
    let instance = Instance::start_for_jobs("one", &store);
    assert_eq!(instance.submit("j1", &["a"]).unwrap().status, 202);
    thread::sleep(Duration::from_millis(1600));
    store.slow_reads("batch-pages", Duration::from_millis(600));
    let elapsed = thread::scope(|scope| {
        let read = scope.spawn(|| {
            let started = Instant::now();
            let answer = instance.results("j1", 0);
            (answer.is_some(), started.elapsed())
        });
        thread::sleep(Duration::from_secs(6));
        // Lets a read that goes on for ever end, so that the test ends too.
        store.slow_reads("batch-pages", Duration::ZERO);
        read.join().unwrap()
    });
    assert!(elapsed.0, "the read was not answered");
    assert!(elapsed.1 < Duration::from_secs(3), "{:?}", elapsed.1);
}
