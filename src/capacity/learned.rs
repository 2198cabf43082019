//! Learned slowness of workers, as a line over their load.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::Map;

/// Time after which a sample of a worker counts half. Changes are followed within seconds.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Time after which a sample of the service counts half.
const SERVICE_HALF_LIFE: Duration = Duration::from_secs(10);
/// Weight, in samples, of the assumption that a worker is as fast as the others of its service.
const PRIOR_WEIGHT: f64 = 1.0;
/// Weight, in samples, of the assumption that slowness does not grow with the load.
const SLOPE_PRIOR: f64 = 20.0;
/// Bounds of the slowness of a worker. Beyond them it is a fault, and not a speed.
const SLOWNESS: (f64, f64) = (0.25, 4.0);
/// Samples that wait to be told to other instances; more are not told.
const MAX_NEWS: usize = 64;

/// Hash of a worker's id, as messages between instances use it.
type WorkerKey = u32;

/// Pace of one answer, as one instance tells it to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Sample {
    /// The worker.
    pub worker: WorkerKey,
    /// Time of its start in ms since the Unix epoch.
    pub started: Option<u64>,
    /// Requests at the worker, with this one.
    pub load: u32,
    /// Mean time between two events, in microseconds.
    pub pace: u32,
}

/// Sums of samples for a fitted line, in which older ones count less.
#[derive(Debug, Clone, Default)]
struct Sums {
    weight: f64,
    load: f64,
    value: f64,
    load_squared: f64,
    product: f64,
    updated: Duration,
}

impl Sums {
    fn decay(&mut self, half_life: Duration, now: Duration) {
        let time = now.saturating_sub(self.updated);
        self.updated = self.updated.max(now);
        let factor = (-time.as_secs_f64() / half_life.as_secs_f64()).exp2();
        for sum in [
            &mut self.weight,
            &mut self.load,
            &mut self.value,
            &mut self.load_squared,
            &mut self.product,
        ] {
            *sum *= factor;
        }
    }

    fn add(&mut self, load: f64, value: f64) {
        self.weight += 1.0;
        self.load += load;
        self.value += value;
        self.load_squared += load * load;
        self.product += load * value;
    }

    /// Returns the value at a load on the line through the samples. `prior` counts as further samples of the
    /// value `usual`, and `flat` as an assumption that the line is level.
    fn at(&self, load: f64, usual: f64, prior: f64, flat: f64) -> f64 {
        let weight = self.weight + prior;
        if weight <= 0.0 {
            return usual;
        }
        let value = prior.mul_add(usual, self.value) / weight;
        if self.weight <= 0.0 {
            return value;
        }
        let middle = self.load / self.weight;
        let spread = middle.mul_add(-self.load, self.load_squared);
        let slope = middle.mul_add(-self.value, self.product) / (spread + flat);
        (load - middle).mul_add(slope, value)
    }
}

#[derive(Debug, Default)]
struct Learned {
    started: Option<u64>,
    sums: Sums,
}

/// Learned slowness of the workers of all services.
///
/// The service of a worker is its group: workers are compared with those of their own service alone.
#[derive(Debug)]
pub struct Capacities<G> {
    workers: Map<WorkerKey, Learned>,
    groups: Map<G, Sums>,
    news: Vec<Sample>,
}

impl<G> Default for Capacities<G> {
    fn default() -> Self {
        Self {
            workers: Map::default(),
            groups: Map::default(),
            news: Vec::new(),
        }
    }
}

impl<G: std::hash::Hash + Eq + Clone> Capacities<G> {
    /// Records the pace of an answer that came through this instance, and keeps it for the others.
    pub fn see(&mut self, group: &G, sample: Sample, now: Duration) {
        if self.news.len() < MAX_NEWS {
            self.news.push(sample);
        }
        self.hear(group, sample, now);
    }

    /// Records the pace of an answer that came through another instance.
    pub fn hear(&mut self, group: &G, sample: Sample, now: Duration) {
        let (load, pace) = (f64::from(sample.load), f64::from(sample.pace));
        let usual = self.usual_pace(group, load).unwrap_or(pace);
        let service = self.groups.entry(group.clone()).or_default();
        service.decay(SERVICE_HALF_LIFE, now);
        service.add(load, pace);
        if usual <= 0.0 {
            return;
        }
        let learned = self.workers.entry(sample.worker).or_default();
        if learned.started != sample.started {
            if learned.started > sample.started {
                return;
            }
            *learned = Learned {
                started: sample.started,
                ..Learned::default()
            };
        }
        let (least, most) = SLOWNESS;
        learned.sums.decay(HALF_LIFE, now);
        learned.sums.add(load, (pace / usual).clamp(least, most));
    }

    /// Returns the samples that were seen here since the last call.
    pub fn take_news(&mut self) -> Vec<Sample> {
        std::mem::take(&mut self.news)
    }

    /// Returns the usual time between two events at a load, over all workers of a service.
    fn usual_pace(&self, group: &G, load: f64) -> Option<f64> {
        let sums = self.groups.get(group)?;
        let mean = sums.value / sums.weight;
        let pace = sums.at(load, mean, 0.0, SLOPE_PRIOR);
        // A line through few samples may leave the range of sensible values.
        (sums.weight >= 1.0).then(|| pace.clamp(mean / 4.0, mean * 4.0))
    }

    /// Returns how many times as long as usual a worker takes at a load.
    ///
    /// Answers services whose workers differ in speed, and workers that slow down long before they are full: by
    /// counts alone a slow worker gets as much as one that is twice as fast.
    pub fn slowness(
        &self,
        worker: WorkerKey,
        started: Option<u64>,
        load: u32,
        now: Duration,
    ) -> f64 {
        let learned = self.workers.get(&worker).filter(|l| l.started == started);
        let Some(learned) = learned else {
            return 1.0;
        };
        let mut sums = learned.sums.clone();
        sums.decay(HALF_LIFE, now);
        let (least, most) = SLOWNESS;
        let slowness = sums.at(f64::from(load), 1.0, PRIOR_WEIGHT, SLOPE_PRIOR);
        slowness.clamp(least, most)
    }

    /// Forgets workers that are gone.
    pub fn retain(&mut self, is_known: impl Fn(WorkerKey) -> bool) {
        self.workers.retain(|worker, _| is_known(*worker));
    }
}
