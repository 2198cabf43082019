//! Kinds of trouble that happen alone, so that a violation has one cause.

use std::{thread, time::Duration};

use serde_json::json;

use super::{Fleet, config, instances, pause, troubles::millis, unix_ms, workers};
use crate::gateway_support::StoreFaults;

/// Answers between two that a worker spoils. No multiple of three, so that with mixed framing each
/// framing has its turn.
pub const SPOIL_EVERY: &str = "10";
/// Idle limits between which the configuration changes, in milliseconds. Callers reuse connections
/// after up to 80 ms, four fifths of the shortest.
const IDLE_LIMITS: [u64; 4] = [100, 400, 2000, 15_000];

/// A kind of trouble that happens alone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Only {
    None,
    /// Workers that stay up close single answers between two events.
    Breaks,
    /// Workers that stay up close single answers in the middle of an event.
    Cuts,
    /// Workers that stay up spoil single answers in one way each.
    Spoils,
    /// Single answers have an event with the number of a later one.
    Skips,
    /// Single answers have an event twice.
    Repeats,
    /// Single answers have a changed byte in the head.
    Heads,
    Ends,
    Kills,
    /// The store does writes and does not answer.
    LostWrites,
    /// The store is away, and all connections to it are lost.
    StoreRestart,
    /// The configuration changes its idle limit.
    Idle,
    Releases,
    /// Instances are killed, stopped and paused.
    Instances,
}

impl TryFrom<&str> for Only {
    type Error = String;

    fn try_from(name: &str) -> Result<Self, String> {
        Ok(match name {
            "none" => Self::None,
            "breaks" => Self::Breaks,
            "breaks-inside" => Self::Cuts,
            "spoils" => Self::Spoils,
            "spoils-skip" => Self::Skips,
            "spoils-repeat" => Self::Repeats,
            "spoils-head" => Self::Heads,
            "ends" => Self::Ends,
            "kills" => Self::Kills,
            "lost-writes" => Self::LostWrites,
            "store-restart" => Self::StoreRestart,
            "idle" => Self::Idle,
            "releases" => Self::Releases,
            "instances" => Self::Instances,
            other => return Err(format!("'{other}' is no trouble")),
        })
    }
}

impl Only {
    /// Returns the options of a worker on answers that it spoils.
    pub fn worker_options(self, rng: &mut fastrand::Rng) -> Vec<&'static str> {
        let spoil = match self {
            Self::Cuts => "cut",
            Self::Spoils => ["skip", "repeat", "head"][rng.usize(..3)],
            Self::Skips => "skip",
            Self::Repeats => "repeat",
            Self::Heads => "head",
            _ => return Vec::new(),
        };
        vec!["--spoil-every", SPOIL_EVERY, "--spoil", spoil]
    }

    /// Returns the number of threads that draw troubles, as many for each process in larger fleets.
    pub fn directors(self, fleet: &Fleet) -> usize {
        match self {
            Self::Ends | Self::Kills => 1 + fleet.options.workers / 10,
            Self::Instances => 1 + fleet.options.instances / 20,
            _ => 1,
        }
    }
}

impl Fleet {
    /// Draws troubles of one kind until the end of the run.
    pub fn trouble_alone(&self, only: Only, seed: u64) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut version = 1;
        while self.is_running() {
            pause(&mut rng, 200..2000);
            version += 1;
            match only {
                // The options of the workers make these.
                Only::None
                | Only::Breaks
                | Only::Cuts
                | Only::Spoils
                | Only::Skips
                | Only::Repeats
                | Only::Heads => {}
                Only::Ends => self.order_any_worker(workers::Trouble::End, &mut rng),
                Only::Kills => self.order_any_worker(workers::Trouble::Kill, &mut rng),
                Only::LostWrites => {
                    let lost = StoreFaults {
                        lost_writes: 35,
                        ..StoreFaults::default()
                    };
                    self.fail_store(lost, millis(&mut rng, 500..5000));
                }
                Only::StoreRestart => {
                    let time = millis(&mut rng, 500..5000);
                    for n in 0..self.options.instances {
                        let cut = instances::Trouble::Cut {
                            time,
                            silent: false,
                        };
                        self.order_instance(n, cut);
                    }
                    self.fail_store(StoreFaults::DOWN, time);
                    pause(&mut rng, 1000..3000);
                }
                Only::Idle => {
                    let limit = IDLE_LIMITS[rng.usize(..IDLE_LIMITS.len())];
                    self.note(&format!("configuration {version}: idle limit {limit} ms"));
                    let mut changed = config(version, 5000, 0);
                    changed["limits"]["idle_timeout_ms"] = json!(limit);
                    self.store.put("config", "main", changed);
                }
                Only::Releases => {
                    let gap = rng.u64(50..600);
                    for n in self.share(self.options.workers, 60, &mut rng) {
                        self.order_worker(n, workers::Trouble::Release(version));
                        pause(&mut rng, 0..gap);
                    }
                }
                Only::Instances => {
                    let trouble = match rng.u32(..3) {
                        0 => instances::Trouble::Kill {
                            down: millis(&mut rng, 0..3000),
                            moves: rng.bool(),
                        },
                        1 => instances::Trouble::Stop { moves: rng.bool() },
                        _ => instances::Trouble::Freeze(millis(&mut rng, 100..4000)),
                    };
                    self.order_instance(rng.usize(..self.options.instances), trouble);
                }
            }
        }
        if only == Only::Idle {
            self.store
                .put("config", "main", config(version + 1, 5000, 0));
        }
    }

    fn order_any_worker(&self, trouble: workers::Trouble, rng: &mut fastrand::Rng) {
        self.order_worker(rng.usize(..self.options.workers), trouble);
    }

    /// Lets the store fail for a time.
    fn fail_store(&self, faults: StoreFaults, time: Duration) {
        let begin = unix_ms();
        self.unsettle(begin, u64::MAX);
        self.note(&format!("store for {time:?}: {faults:?}"));
        self.store.set_faults(faults);
        thread::sleep(time);
        self.store.set_faults(StoreFaults::default());
        self.unsettle(begin, unix_ms());
    }
}
