//! Admission and preemption of batch streams on one worker.

use std::time::Duration;

/// Width of a bucket of the concurrency history.
const BUCKET: Duration = Duration::from_millis(250);
/// Buckets of the concurrency history.
const BUCKETS: usize = 16;
/// Window of the online peak from which headroom is computed.
const PEAK_WINDOW: Duration = Duration::from_secs(2);
/// Greatest assumed age of a load report. A request that ended within this time may still be in a
/// report and is not counted as unannounced traffic.
const REPORT_LAG: Duration = Duration::from_secs(2);
/// Fraction of the decline from the recent online peak that is kept free at weight 0.
const PEAK_SHARE: f64 = 0.15;
/// Maximum number of batch streams before their first token, at weight 0. A prefill delays each
/// online request that arrives after it, because engines admit requests in order of arrival.
const STARTING_LOW: f64 = 1.0;
/// Maximum number of batch streams before their first token, at weight 1.
const STARTING_HIGH: f64 = 2.0;
/// Time after an online arrival during which no batch stream starts, at weight 0. Otherwise both
/// prefills would share the engine's iterations.
const START_PAUSE: Duration = Duration::from_millis(250);
/// Greatest weight at which an online arrival preempts batch prefills.
const PREEMPT_WEIGHT: f64 = 0.5;

/// Number of uncached blocks from which a prompt counts as long.
const LONG_BLOCKS: usize = 20;
/// Number of uncached blocks from which a prompt reserves the full share.
const FULL_BLOCKS: f64 = 40.0;
/// Fraction of the slots that a long prompt reserves until its first token, at weight 0. Each
/// running stream lengthens every iteration of the prompt's prefill.
const LONG_SHARE: f64 = 0.75;
/// The same at weight 1, where it mainly keeps other online requests away from the worker.
const LONG_SHARE_HIGH: f64 = 0.25;
/// Fraction of the slots up to which the reservations of long prompts count.
const RESERVED_SHARE: f64 = 0.75;

/// Returns the number of slots to report to a worker's owner: the online requests in flight and the
/// reservations of long prompts.
pub fn level(slots: u32, online: u32, reserved: u32) -> u32 {
    let limit = (f64::from(slots) * RESERVED_SHARE) as u32;
    (online + reserved).min(limit).max(online)
}

/// Known load of a worker.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Demand {
    /// Maximum number of streams that the worker runs at once.
    pub slots: u32,
    /// Online requests in flight: those of this instance and those announced by peers.
    pub online: u32,
    /// Batch streams in flight.
    pub batch: u32,
    /// Batch streams in flight that have no first token yet.
    pub starting: u32,
    /// Running and waiting requests of the engine's last load report, which lags.
    pub reported: u32,
}

/// Decides how many batch streams a worker may run beside its online requests.
#[derive(Debug, Clone, Default)]
pub struct Admission {
    weight: f64,
    online: Peaks,
    total: Peaks,
    last_online: u32,
    /// Time of the last increase of online requests.
    last_rise: Option<Duration>,
}

impl Admission {
    /// Sets the weight of batch throughput against online tail latency, 0 to 1.
    pub fn set_weight(&mut self, weight: f64) {
        self.weight = weight.clamp(0.0, 1.0);
    }

    /// Returns how many more batch streams may start on the worker now.
    pub fn free_slots(&mut self, now: Duration, demand: Demand) -> u32 {
        let free = self.limit(now, demand).saturating_sub(demand.batch);
        if self.paused(now) {
            return 0;
        }
        let span = STARTING_HIGH - STARTING_LOW;
        let starts = (STARTING_LOW + span * self.weight).round() as u32;
        free.min(starts.saturating_sub(demand.starting))
    }

    /// Returns how many running batch streams must yield.
    pub fn excess(&mut self, now: Duration, demand: Demand) -> u32 {
        demand.batch.saturating_sub(self.limit(now, demand))
    }

    /// Returns how many extra slots a prompt reserves until its first token.
    pub fn reserved_slots(&self, slots: u32, uncached: usize) -> u32 {
        if uncached < LONG_BLOCKS {
            return 0;
        }
        let share = LONG_SHARE + (LONG_SHARE_HIGH - LONG_SHARE) * self.weight;
        let size = (uncached as f64 / FULL_BLOCKS).min(1.0);
        (f64::from(slots) * share * size).round() as u32
    }

    /// Returns whether batch streams before their first token yield to an online arrival.
    pub fn preempts(&self) -> bool {
        self.weight <= PREEMPT_WEIGHT
    }

    /// Returns whether the prefill of a recent online request is probably still running.
    fn paused(&self, now: Duration) -> bool {
        let pause = START_PAUSE.mul_f64(1.0 - self.weight);
        self.last_rise.is_some_and(|rise| now < rise + pause)
    }

    fn limit(&mut self, now: Duration, demand: Demand) -> u32 {
        self.total.record(now, demand.online + demand.batch);
        let known = self.total.peak(now, REPORT_LAG);
        let unannounced = demand.reported.saturating_sub(known);
        let online = demand.online + unannounced;
        self.online.record(now, online);
        if demand.online > self.last_online {
            self.last_rise = Some(now);
        }
        self.last_online = demand.online;
        let used = online + self.headroom(now, online);
        demand.slots.saturating_sub(used)
    }

    /// Returns the slots kept free for online requests that may arrive soon.
    fn headroom(&self, now: Duration, online: u32) -> u32 {
        let peak = self.online.peak(now, PEAK_WINDOW);
        let tail = 1.0 - self.weight;
        let decline = f64::from(peak - online);
        (decline * PEAK_SHARE * tail).round() as u32
    }
}

/// Peak of a count over a sliding window, in buckets.
#[derive(Debug, Clone, Default)]
struct Peaks {
    ring: [u32; BUCKETS],
    last: u64,
}

impl Peaks {
    /// Records the count at a time; times must not decrease.
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

    /// Returns the highest count in the window that ends now.
    fn peak(&self, now: Duration, window: Duration) -> u32 {
        let span = bucket(window).min(BUCKETS as u64 - 1);
        let first = bucket(now).saturating_sub(span);
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
