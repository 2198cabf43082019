//! Numbers of the metrics page of a process that never go back.

use std::{collections::HashMap, thread, time::Duration};

use super::Fleet;
use crate::support::http;

/// Gauges that only grow within the life of a process.
const GROWING_GAUGES: [&str; 2] = ["gentianpath_config_version", "gentianpath_workers_revision"];
/// Pause between two reads of a metrics page.
const READ_INTERVAL: Duration = Duration::from_millis(400);

/// Numbers of the process of an instance as they were read last.
#[derive(Debug, Default)]
pub struct Numbers {
    /// Number of the process among those of the instance.
    life: u64,
    values: HashMap<String, f64>,
}

impl Numbers {
    /// Returns the series of a page that went back or are gone, and remembers the page.
    pub fn check(&mut self, life: u64, page: &str) -> Vec<String> {
        let series = page.lines().filter(|line| !line.starts_with('#'));
        let series = series.filter_map(|line| line.rsplit_once(' '));
        let values: HashMap<String, f64> = series
            .filter(|(name, _)| only_grows(name))
            .filter_map(|(name, value)| Some((name.to_owned(), value.parse().ok()?)))
            .collect();
        if life != self.life {
            self.values.clear();
        }
        let fault = |(name, before): (&String, &f64)| match values.get(name) {
            None => Some(format!("{name} {before}, then gone")),
            Some(now) if now < before => Some(format!("{name} {before}, then {now}")),
            Some(_) => None,
        };
        let mut faults: Vec<String> = self.values.iter().filter_map(fault).collect();
        faults.sort_unstable();
        self.life = life;
        self.values = values;
        faults
    }
}

fn only_grows(series: &str) -> bool {
    let name = series.split('{').next().unwrap_or_default();
    let is_counter = ["_total", "_count", "_sum", "_bucket"];
    is_counter.iter().any(|end| name.ends_with(end)) || GROWING_GAUGES.contains(&name)
}

impl Fleet {
    /// Reads the metrics page of an instance until the end of the run.
    pub fn watch_numbers(&self, number: usize) {
        let mut numbers = Numbers::default();
        while self.is_running() {
            thread::sleep(READ_INTERVAL);
            let (address, life) = self.metrics_of(number);
            let answer = http::call(address, "GET", "/metrics", &[], "");
            let Some(page) = answer.filter(|a| a.status == 200) else {
                continue;
            };
            // The page of a process that has just ended says nothing about the next one.
            if self.metrics_of(number) != (address, life) {
                continue;
            }
            for fault in numbers.check(life, &page.text()) {
                self.report("number went back", &format!("instance {number}: {fault}"));
            }
            self.record.lock().unwrap().pages += 1;
        }
    }
}
