//! Batch admission and yield for one worker.

use std::time::Duration;

/// What is known of a worker's load.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Demand {
    /// Streams that the worker runs at most at once.
    pub slots: u32,
    /// Online requests in flight, own and announced by peers.
    pub online: u32,
    /// Batch streams in flight.
    pub batch: u32,
    /// Requests that the engine reported, running and waiting; lags.
    pub reported: u32,
}

/// Decides how many batch streams a worker carries beside its online requests.
#[derive(Debug, Clone, Default)]
pub struct Admission {
    weight: f64,
}

impl Admission {
    /// Sets the weight of batch throughput against online tail latency, 0 to 1.
    pub fn set_weight(&mut self, weight: f64) {
        self.weight = weight;
    }

    /// Returns how many more batch streams the worker has room for.
    pub fn room(&mut self, now: Duration, demand: Demand) -> u32 {
        self.limit(now, demand).saturating_sub(demand.batch)
    }

    /// Returns how many batch streams must yield.
    pub fn excess(&mut self, now: Duration, demand: Demand) -> u32 {
        demand.batch.saturating_sub(self.limit(now, demand))
    }

    fn limit(&mut self, _now: Duration, demand: Demand) -> u32 {
        let headroom = if demand.online == 0 { 0 } else { 1 };
        demand.slots.saturating_sub(demand.online + headroom)
    }
}
