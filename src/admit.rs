//! Batch admission and yield for one worker.

use std::time::Duration;

/// Width of a bucket of the concurrency history.
const BUCKET: Duration = Duration::from_millis(250);
/// Buckets of the concurrency history.
const BUCKETS: usize = 16;
/// Window of the online peak that headroom follows.
const PEAK_WINDOW: Duration = Duration::from_secs(2);
/// Oldest state that a load report may show. A request that was known within this time and has
/// ended since is not mistaken for unannounced traffic.
const REPORT_LAG: Duration = Duration::from_secs(2);
/// Part of the drop from the recent online peak that is kept free at weight 0.
const PEAK_SHARE: f64 = 0.15;
/// Batch streams before their first token at most, at weight 0. A prefill delays each online
/// request that arrives behind it, because engines admit in arrival order.
const STARTING_LOW: f64 = 1.0;
/// Batch streams before their first token at most, at weight 1.
const STARTING_HIGH: f64 = 2.0;
/// Time after an online arrival in which no batch stream starts, at weight 0. The prefills would
/// share the iterations of the engine.
const START_PAUSE: Duration = Duration::from_millis(250);
/// Weight up to which an online arrival makes batch prefills yield.
const PREEMPT_WEIGHT: f64 = 0.5;

/// Blocks of a prompt that a worker has to compute, from which it counts as long.
const LONG_BLOCKS: usize = 20;
/// Blocks to compute from which a prompt claims the full share.
const FULL_BLOCKS: f64 = 40.0;
/// Part of the slots that a long prompt claims at weight 0 until its first token. Each running
/// stream lengthens each of the iterations that the prompt takes.
const LONG_SHARE: f64 = 0.75;
/// The same at weight 1, where it mainly keeps other online requests off the worker.
const LONG_SHARE_HIGH: f64 = 0.25;
/// Part of the slots up to which the claims of long prompts count.
const CLAIM_SHARE: f64 = 0.75;

/// Returns the slots to tell a worker's owner for online requests in flight, with the claims of
/// long prompts.
pub fn level(slots: u32, online: u32, claims: u32) -> u32 {
    let most = (f64::from(slots) * CLAIM_SHARE) as u32;
    (online + claims).min(most).max(online)
}

/// What is known of a worker's load.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Demand {
    /// Streams that the worker runs at most at once.
    pub slots: u32,
    /// Online requests in flight, own and announced by peers.
    pub online: u32,
    /// Batch streams in flight.
    pub batch: u32,
    /// Batch streams in flight that have no first token yet.
    pub starting: u32,
    /// Requests that the engine reported, running and waiting; lags.
    pub reported: u32,
}

/// Decides how many batch streams a worker carries beside its online requests.
#[derive(Debug, Clone, Default)]
pub struct Admission {
    weight: f64,
    online: Peaks,
    total: Peaks,
    latest: u32,
    /// Time of the last rise of online requests.
    risen: Option<Duration>,
}

impl Admission {
    /// Sets the weight of batch throughput against online tail latency, 0 to 1.
    pub fn set_weight(&mut self, weight: f64) {
        self.weight = weight.clamp(0.0, 1.0);
    }

    /// Returns how many more batch streams the worker has room for.
    pub fn room(&mut self, now: Duration, demand: Demand) -> u32 {
        let free = self.limit(now, demand).saturating_sub(demand.batch);
        if self.paused(now) {
            return 0;
        }
        let span = STARTING_HIGH - STARTING_LOW;
        let starts = (STARTING_LOW + span * self.weight).round() as u32;
        free.min(starts.saturating_sub(demand.starting))
    }

    /// Returns how many batch streams must yield.
    pub fn excess(&mut self, now: Duration, demand: Demand) -> u32 {
        demand.batch.saturating_sub(self.limit(now, demand))
    }

    /// Returns the slots that a prompt claims beside its own until its first token.
    pub fn claim(&self, slots: u32, fresh: usize) -> u32 {
        if fresh < LONG_BLOCKS {
            return 0;
        }
        let share = LONG_SHARE + (LONG_SHARE_HIGH - LONG_SHARE) * self.weight;
        let size = (fresh as f64 / FULL_BLOCKS).min(1.0);
        (f64::from(slots) * share * size).round() as u32
    }

    /// Says whether batch streams before their first token yield to an online arrival.
    pub fn preempts(&self) -> bool {
        self.weight <= PREEMPT_WEIGHT
    }

    /// Says whether the prefill of a recent online request is likely to be under way.
    fn paused(&self, now: Duration) -> bool {
        let pause = START_PAUSE.mul_f64(1.0 - self.weight);
        self.risen.is_some_and(|risen| now < risen + pause)
    }

    fn limit(&mut self, now: Duration, demand: Demand) -> u32 {
        self.total.record(now, demand.online + demand.batch);
        let known = self.total.peak(now, REPORT_LAG);
        let unannounced = demand.reported.saturating_sub(known);
        let online = demand.online + unannounced;
        self.online.record(now, online);
        if demand.online > self.latest {
            self.risen = Some(now);
        }
        self.latest = demand.online;
        let used = online + self.headroom(now, online);
        demand.slots.saturating_sub(used)
    }

    /// Returns the slots kept free for online requests that may arrive next.
    fn headroom(&self, now: Duration, online: u32) -> u32 {
        let peak = self.online.peak(now, PEAK_WINDOW);
        let tail = 1.0 - self.weight;
        let fallen = f64::from(peak - online);
        (fallen * PEAK_SHARE * tail).round() as u32
    }
}

/// Peak of a count over a sliding window, in buckets.
#[derive(Debug, Clone, Default)]
struct Peaks {
    ring: [u32; BUCKETS],
    last: u64,
}

impl Peaks {
    /// Records the count at a moment; moments do not go back.
    fn record(&mut self, now: Duration, count: u32) {
        let bucket = bucket(now);
        let skipped = bucket.saturating_sub(self.last).min(BUCKETS as u64);
        for i in 0..skipped {
            self.ring[index(bucket - i)] = 0;
        }
        self.last = self.last.max(bucket);
        let slot = &mut self.ring[index(self.last)];
        *slot = count.max(*slot);
    }

    /// Returns the highest count of the window that ends now.
    fn peak(&self, now: Duration, window: Duration) -> u32 {
        let reach = bucket(window).min(BUCKETS as u64 - 1);
        let first = bucket(now).saturating_sub(reach);
        let oldest = self.last.saturating_sub(BUCKETS as u64 - 1).max(first);
        (oldest..=self.last)
            .map(|b| self.ring[index(b)])
            .max()
            .unwrap_or(0)
    }
}

fn bucket(time: Duration) -> u64 {
    (time.as_millis() / BUCKET.as_millis()) as u64
}

fn index(bucket: u64) -> usize {
    (bucket % BUCKETS as u64) as usize
}
