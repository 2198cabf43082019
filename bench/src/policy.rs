//! Compared policies, and the two deployments.

use std::fmt;

use crate::Micros;

/// How online requests are routed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Routing {
    /// The router of the system.
    Router,
    /// A random worker.
    Random,
    /// The worker with the lowest load in the last, lagging report.
    Reported,
}

/// How batch work shares a worker with online requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Sharing {
    /// No batch work at all.
    NoBatch,
    /// The admission of the system with a weight of throughput against online tail.
    Admission(f64),
    /// Batch fills all free slots and never yields.
    ShareAll,
    /// Batch and online requests get half of the slots each.
    Split,
    /// Batch runs only on workers without online requests; any online request cancels it.
    CancelAll,
}

/// A policy.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Policy {
    /// Routing of online requests.
    pub routing: Routing,
    /// Sharing of workers.
    pub sharing: Sharing,
}

impl Policy {
    /// The reference of the ratios: the router of the system without batch work.
    pub const REFERENCE: Policy = Policy {
        routing: Routing::Router,
        sharing: Sharing::NoBatch,
    };

    /// Returns the policies of the table; routing baselines use the deployment's weight.
    pub fn all(weight: f64) -> Vec<Policy> {
        let system = [0.0, 0.5, 1.0].map(Sharing::Admission);
        let baselines = [Sharing::ShareAll, Sharing::Split, Sharing::CancelAll];
        let sharing = system.into_iter().chain(baselines);
        let routing = [Routing::Random, Routing::Reported];
        let sharing = sharing.map(|sharing| Policy {
            routing: Routing::Router,
            sharing,
        });
        let routing = routing.map(|routing| Policy {
            routing,
            sharing: Sharing::Admission(weight),
        });
        sharing.chain(routing).collect()
    }
}

impl fmt::Display for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (self.routing, self.sharing) {
            (Routing::Random, _) => f.write_str("random routing"),
            (Routing::Reported, _) => f.write_str("least reported load"),
            (_, Sharing::NoBatch) => f.write_str("no batch"),
            (_, Sharing::Admission(w)) => write!(f, "ours, weight {w}"),
            (_, Sharing::ShareAll) => f.write_str("no yielding"),
            (_, Sharing::Split) => f.write_str("static split"),
            (_, Sharing::CancelAll) => f.write_str("cancel all"),
        }
    }
}

/// A deployment.
#[derive(Debug, Clone, Copy)]
pub struct Deployment {
    /// Name.
    pub name: &'static str,
    /// Availability zones.
    pub zones: usize,
    /// Workers.
    pub workers: usize,
    /// Entry instances.
    pub entries: usize,
    /// Delay between two zones, one way.
    pub hop: Micros,
    /// Weight of batch throughput against online tail latency.
    pub weight: f64,
    /// Bound of the ratio of online p99 time to first token.
    pub bound: f64,
}

/// The Authority's deployment.
pub const BENCHLINE: Deployment = Deployment {
    name: "Benchline",
    zones: 4,
    workers: 10,
    entries: 16,
    hop: 1_500,
    weight: 1.0,
    bound: 1.25,
};

/// Brightwell's deployment.
pub const COINREAD: Deployment = Deployment {
    name: "Coinread",
    zones: 3,
    workers: 20,
    entries: 18,
    hop: 1_000,
    weight: 0.0,
    bound: 1.1,
};
