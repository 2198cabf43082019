//! Replacement of the instances' program by that of another build, one instance after the other.

use std::{
    path::{Path, PathBuf},
    sync::{
        Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use super::{
    Fleet,
    instances::{Trouble, Way},
    pause,
};

/// Rounds after which each instance has been replaced and rolled back.
pub const THERE_AND_BACK: usize = 2;
/// Interval at which the next replacement waits for the end of the one before.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Program of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Build {
    Present,
    Earlier,
}

/// Which instance has which program.
pub struct Upgrade {
    earlier: PathBuf,
    builds: Vec<Mutex<Build>>,
    /// Replacements that are due. Other troubles, of which a later one takes the place of an earlier one,
    /// have their own orders.
    orders: Vec<Mutex<Option<Trouble>>>,
    /// Rounds in which all instances were replaced.
    rounds: AtomicUsize,
}

impl Upgrade {
    /// Builds the state in which all instances have the earlier program.
    pub fn new(earlier: PathBuf, instances: usize) -> Self {
        let builds = (0..instances).map(|_| Mutex::new(Build::Earlier));
        Self {
            earlier,
            builds: builds.collect(),
            orders: (0..instances).map(|_| Mutex::default()).collect(),
            rounds: AtomicUsize::default(),
        }
    }

    /// Returns whether each instance has been replaced and rolled back.
    pub fn is_done(&self) -> bool {
        self.rounds.load(Ordering::SeqCst) >= THERE_AND_BACK
    }

    fn build(&self, number: usize) -> Build {
        *self.builds[number].lock().unwrap()
    }
}

impl Fleet {
    /// Returns the program that an instance starts with.
    pub fn program(&self, number: usize) -> &Path {
        match &self.upgrade {
            Some(upgrade) if upgrade.build(number) == Build::Earlier => &upgrade.earlier,
            _ => &self.options.program,
        }
    }

    /// Sets the program that an instance starts with.
    pub fn set_build(&self, number: usize, build: Build) {
        if let Some(upgrade) = &self.upgrade {
            *upgrade.builds[number].lock().unwrap() = build;
        }
    }

    /// Takes the next trouble of an instance.
    pub fn next_trouble(&self, number: usize) -> Option<Trouble> {
        let upgrade = self.upgrade.as_ref();
        let replacement = upgrade.and_then(|u| u.orders[number].lock().unwrap().take());
        replacement.or_else(|| self.instance_orders[number].lock().unwrap().take())
    }

    /// Replaces the program of all instances, and then rolls them back, until the end of the run.
    pub fn replace_instances(&self, upgrade: &Upgrade, seed: u64) {
        let mut rng = fastrand::Rng::with_seed(seed);
        for build in [Build::Present, Build::Earlier].into_iter().cycle() {
            let gap = rng.u64(50..1500);
            let mut numbers: Vec<usize> = (0..self.options.instances).collect();
            rng.shuffle(&mut numbers);
            for n in numbers {
                let (way, moves) = (Way::draw(&mut rng), rng.bool());
                let trouble = Trouble::Replace { build, way, moves };
                *upgrade.orders[n].lock().unwrap() = Some(trouble);
                while upgrade.build(n) != build {
                    if !self.is_running() {
                        return;
                    }
                    thread::sleep(POLL_INTERVAL);
                }
                pause(&mut rng, 0..gap);
            }
            let round = 1 + upgrade.rounds.fetch_add(1, Ordering::SeqCst);
            self.note(&format!(
                "round {round}: all instances replaced by {build:?}"
            ));
            pause(&mut rng, 500..3000);
        }
    }

    /// Checks that no instance got a message, a job or a configuration that it could not read.
    pub fn check_logs(&self) {
        for n in 0..self.options.instances {
            let log = self.logs.join(format!("{}-e{n}.log", self.run));
            let text = std::fs::read_to_string(log).unwrap();
            for event in ["message-invalid", "job-invalid", "config-invalid"] {
                let field = format!("event={event} ");
                let mut lines = text.lines().filter(|l| l.contains(&field));
                if let Some(line) = lines.next() {
                    let more = lines.count();
                    self.report(event, &format!("instance {n}: {line}, and {more} more"));
                }
            }
        }
    }
}
