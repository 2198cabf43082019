//! Batch jobs of a fleet.

use std::net::SocketAddr;

use serde_json::Value;

use super::{EVENTS, Fleet, SERVICES, pause, texts::Expected};
use crate::{gateway_support::job_body, support::http};

/// Items of a job.
pub const ITEMS: usize = 4;

impl Fleet {
    /// Submits jobs, and reads earlier ones.
    pub fn submit(&self, number: usize, seed: u64) {
        let mut rng = fastrand::Rng::with_seed(seed);
        for n in 0.. {
            let job = format!("{}j{number}x{n}", self.run);
            let ids: Vec<String> = (0..ITEMS).map(|i| format!("{job}-{i}")).collect();
            let items: Vec<(&str, &str)> = ids.iter().map(|id| (&**id, "")).collect();
            let body = job_body(&items);
            // Its items may run before the answer arrives.
            self.record
                .lock()
                .unwrap()
                .jobs
                .insert(job.clone(), Vec::new());
            loop {
                if !self.is_running() {
                    // It may have been accepted, but no answer promised it.
                    return;
                }
                let headers = [("x-request-id", &*job)];
                let address = self.address(&mut rng);
                let answer = http::call(address, "POST", "/jobs/x", &headers, &body);
                if answer.is_some_and(|a| a.status == 202) {
                    break;
                }
                pause(&mut rng, 50..300);
            }
            self.accepted.lock().unwrap().push(job);
            for _ in 0..2 {
                let earlier = format!("{}j{number}x{}", self.run, rng.usize(..=n));
                self.read(&earlier, self.address(&mut rng));
                pause(&mut rng, 200..900);
            }
        }
    }

    /// Reads a job, compares it with what was read before, and returns the number of its results.
    pub fn read(&self, job: &str, address: SocketAddr) -> usize {
        let answer = http::call(address, "GET", &format!("/lots/{job}?after=0"), &[], "");
        let Some(answer) = answer.filter(|a| a.status == 200) else {
            return 0;
        };
        let json = answer.json();
        let results = json["results"].as_array().cloned().unwrap_or_default();
        if json["total"] != ITEMS {
            self.report("job total", &format!("{job}: {json}"));
        }
        let mut record = self.record.lock().unwrap();
        let known = record.jobs.entry(job.to_owned()).or_default();
        let is_same = known.iter().zip(&results).all(|(a, b)| a == b);
        let earlier = known.clone();
        if known.len() < results.len() {
            known.clone_from(&results);
        }
        drop(record);
        if !is_same {
            self.report(
                "job changed",
                &format!("{job}: {earlier:?}, then {results:?}"),
            );
        }
        results.len()
    }

    /// Checks the results of a job that has finished.
    pub fn check_job(&self, job: &str) {
        let results = self.record.lock().unwrap().jobs[job].clone();
        let mut ids: Vec<&str> = results.iter().filter_map(|r| r["id"].as_str()).collect();
        ids.sort_unstable();
        let items: Vec<String> = (0..ITEMS).map(|i| format!("{job}-{i}")).collect();
        if ids != items {
            self.report("job items", &format!("{job}: {results:?}"));
        }
        for result in &results {
            self.check_result(job, result);
        }
    }

    fn check_result(&self, job: &str, result: &Value) {
        let expected = Expected {
            run: &self.run,
            services: &SERVICES[..1],
            name: result["id"].as_str().unwrap_or_default(),
            events: EVENTS,
        };
        let output = result["output"].as_str().unwrap_or_default();
        let wrong = match expected.check_output(output) {
            _ if result["state"] != "done" => "not done".to_owned(),
            Err(fault) => fault.to_string(),
            Ok(()) => return,
        };
        self.report(&format!("item {wrong}"), &format!("{job}: {result}"));
    }
}
