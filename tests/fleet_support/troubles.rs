//! Troubles that directors draw, which overlap and come in series.

use std::{thread, time::Duration};

use super::{Fleet, config, instances, links::Cut, pause, unix_ms, workers};
use crate::gateway_support::StoreFaults;

/// Versions of the configuration between two changes, at most.
const STEP: u64 = 7;

pub fn millis(rng: &mut fastrand::Rng, range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(rng.u64(range))
}

impl Fleet {
    /// Draws troubles of instances until the end of the run.
    pub fn trouble_instances(&self, seed: u64) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let count = self.options.instances;
        while self.is_running() {
            pause(&mut rng, 300..2500);
            match rng.u32(..10) {
                0 => {
                    let down = millis(&mut rng, 50..2000);
                    let moves = rng.bool();
                    for n in self.share(count, 55, &mut rng) {
                        self.order_instance(n, instances::Trouble::Kill { down, moves });
                    }
                    pause(&mut rng, 3000..6000);
                }
                1 => {
                    let moves = rng.bool();
                    for n in self.share(count, 45, &mut rng) {
                        self.order_instance(n, instances::Trouble::Stop { moves });
                        pause(&mut rng, 100..1300);
                    }
                }
                2 => self.cut_zone(&mut rng),
                _ => {
                    let n = rng.usize(..count);
                    let trouble = match rng.u32(..6) {
                        0 => instances::Trouble::Kill {
                            down: millis(&mut rng, 0..3000),
                            moves: rng.bool(),
                        },
                        1 => instances::Trouble::Stop { moves: rng.bool() },
                        2 | 3 => instances::Trouble::Freeze(millis(&mut rng, 100..4000)),
                        _ => instances::Trouble::Cut {
                            time: millis(&mut rng, 300..6000),
                            silent: rng.bool(),
                        },
                    };
                    self.order_instance(n, trouble);
                }
            }
        }
    }

    /// Cuts the instances of a zone off the store and makes its workers stand still.
    fn cut_zone(&self, rng: &mut fastrand::Rng) {
        let zone = rng.usize(..self.options.zones);
        let (time, silent) = (millis(rng, 1000..5500), rng.bool());
        let options = &self.options;
        for n in (zone..options.instances).step_by(self.options.zones) {
            self.order_instance(n, instances::Trouble::Cut { time, silent });
        }
        for n in (zone..options.workers).step_by(self.options.zones) {
            self.order_worker(n, workers::Trouble::Freeze(time));
        }
    }

    /// Draws cuts of the links between instances and workers until the end of the run.
    pub fn cut_links(&self, seed: u64) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let count = self.options.instances;
        while self.is_running() {
            pause(&mut rng, 1000..3000);
            let cut = [Cut::Hang, Cut::Reset, Cut::ResetNew][rng.usize(..3)];
            let time = millis(&mut rng, 9000..13_000);
            let numbers = match rng.u32(..4) {
                0 => vec![rng.usize(..count)],
                // The instances of a zone.
                1 => (rng.usize(..self.options.zones)..count)
                    .step_by(self.options.zones)
                    .collect(),
                _ => self.share(count, rng.usize(20..70), &mut rng),
            };
            for n in numbers {
                self.order_instance(n, instances::Trouble::Detach { time, cut });
            }
            thread::sleep(time);
        }
    }

    /// Draws troubles of workers until the end of the run.
    pub fn trouble_workers(&self, seed: u64) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let count = self.options.workers;
        let mut version = 1;
        while self.is_running() {
            pause(&mut rng, 200..2000);
            match rng.u32(..8) {
                0 => {
                    for _ in 0..rng.u32(1..3) {
                        version += 1;
                        let gap = rng.u64(50..600);
                        for n in self.share(count, 60, &mut rng) {
                            self.order_worker(n, workers::Trouble::Release(version));
                            pause(&mut rng, 0..gap);
                        }
                    }
                }
                1 => {
                    for n in self.share(count, 20, &mut rng) {
                        self.order_worker(n, workers::Trouble::Kill);
                    }
                }
                _ => {
                    let trouble = match rng.u32(..13) {
                        10.. => workers::Trouble::Silence(millis(&mut rng, 500..1500)),
                        0 => workers::Trouble::Kill,
                        1..4 => workers::Trouble::End,
                        4 => workers::Trouble::Drain,
                        5 => workers::Trouble::Withdraw,
                        6 | 7 => workers::Trouble::Freeze(millis(&mut rng, 100..4000)),
                        8 => workers::Trouble::Restart { back: rng.bool() },
                        _ => workers::Trouble::Flap,
                    };
                    self.order_worker(rng.usize(..count), trouble);
                }
            }
        }
    }

    /// Draws changes of the configuration until the end of the run.
    pub fn change_config(&self, seed: u64) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut version = 1;
        while self.is_running() {
            pause(&mut rng, 500..6000);
            let changes = if rng.u32(..3) == 0 { rng.u32(4..30) } else { 1 };
            for _ in 0..changes {
                version += rng.u64(1..STEP);
                let timeout = [5000, 5000, 4000, 6000][rng.usize(..4)];
                self.note(&format!("configuration {version}"));
                self.store
                    .put("config", "main", config(version, timeout, rng.usize(..8)));
                pause(&mut rng, 60..330);
            }
        }
        self.store
            .put("config", "main", config(version + STEP, 5000, 0));
    }

    /// Draws troubles of the store until the end of the run.
    pub fn trouble_store(&self, seed: u64) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let options = &self.options;
        while self.is_running() {
            pause(&mut rng, 2000..8000);
            let time = millis(&mut rng, 500..5000);
            let begin = unix_ms();
            self.unsettle(begin, u64::MAX);
            let faults = match rng.u32(..6) {
                0 => {
                    for n in self.share(options.workers, 30, &mut rng) {
                        let late = time + millis(&mut rng, 0..2000);
                        self.order_worker(n, workers::Trouble::Lapse(late));
                    }
                    StoreFaults::DOWN
                }
                1 => StoreFaults::DOWN,
                2 => StoreFaults {
                    delay_ms: rng.u64(50..900),
                    ..StoreFaults::default()
                },
                3 => StoreFaults {
                    lost_writes: 35,
                    ..StoreFaults::default()
                },
                4 => {
                    self.store.compact();
                    StoreFaults::default()
                }
                _ => {
                    let silent = rng.bool();
                    for n in self.share(options.instances, 33, &mut rng) {
                        self.order_instance(n, instances::Trouble::Cut { time, silent });
                    }
                    StoreFaults::default()
                }
            };
            self.note(&format!("store for {time:?}: {faults:?}"));
            self.store.set_faults(faults);
            thread::sleep(time);
            self.store.set_faults(StoreFaults::default());
            self.unsettle(begin, unix_ms());
        }
    }

    /// Draws a share of numbers in percent, in random order.
    pub fn share(&self, count: usize, percent: usize, rng: &mut fastrand::Rng) -> Vec<usize> {
        let mut numbers: Vec<usize> = (0..count).collect();
        rng.shuffle(&mut numbers);
        numbers.truncate((count * percent / 100).max(1));
        numbers
    }

    pub fn order_instance(&self, n: usize, trouble: instances::Trouble) {
        *self.instance_orders[n].lock().unwrap() = Some(trouble);
    }

    pub fn order_worker(&self, n: usize, trouble: workers::Trouble) {
        *self.worker_orders[n].lock().unwrap() = Some(trouble);
    }
}
