//! Tests of the load model.

use bench::{
    Micros, SECOND,
    policy::{BENCHLINE, Policy, Routing, Sharing},
    run::Case,
    trace::{Kind, requests},
};
use fastrand::Rng;

/// Length of the traces, which is short because tests are built without optimisation.
const LENGTH: Micros = 60 * SECOND;

/// Guards against figures that depend on hash order or shared state and differ between runs.
#[test]
fn same_seed_gives_the_same_figures() {
    let policy = Policy {
        routing: Routing::Router,
        sharing: Sharing::Admission(1.0),
    };
    let run = |seed| Case::with_length(BENCHLINE, Kind::Bursts, LENGTH, seed).run(policy);
    let first = run(5);
    assert_eq!(first, run(5));
    assert_ne!(first, run(6));
}

/// Guards against a trace that differs between runs of a seed.
#[test]
fn same_seed_gives_the_same_trace() {
    let make = |seed| requests(Kind::Bursts, 10, 16, LENGTH, &mut Rng::with_seed(seed));
    assert_eq!(make(3), make(3));
    assert_ne!(make(3), make(4));
}
