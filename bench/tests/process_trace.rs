//! Tests of the trace of the comparison over processes.

use std::time::Duration;

use bench::process_trace::{Trace, items};

const LENGTH: Duration = Duration::from_secs(18);

/// Guards against a trace or a job that differs between runs of a seed.
#[test]
fn same_seed_gives_the_same_requests_and_items() {
    let make = |seed| Trace::new(8, 4, LENGTH, seed);
    assert_eq!(make(1), make(1));
    assert_ne!(make(1), make(2));
    assert_eq!(items(20, 1), items(20, 1));
    assert_ne!(items(20, 1), items(20, 2));
}

/// Guards against a trace without the bursts that the comparison of policies needs.
#[test]
fn traces_have_bursts_of_several_times_the_mean() {
    for seed in 1..20 {
        let trace = Trace::new(8, 4, LENGTH, seed);
        assert!(trace.bursts > 0 && trace.peak > 2.0, "{trace:?}");
        assert!(trace.requests.iter().all(|r| r.at < LENGTH && r.entry < 4));
    }
}
