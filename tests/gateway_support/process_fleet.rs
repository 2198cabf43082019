//! Workers that run as processes and end while they answer.

use std::{collections::HashMap, net::SocketAddr, thread};

use super::{
    Instance, Store, config,
    worker_process::{Setup, WorkerProcess},
};
use crate::support::{
    http::{self, Answer},
    until,
};

/// Requests that run at the two workers at a time.
pub const CALLERS: usize = 6;
/// Times that a worker ends.
pub const KILLS: u64 = 4;

/// Ends a worker.
pub type End = fn(&mut WorkerProcess);

/// Two workers, one of which ends and is started again, and an instance that uses them.
pub struct Fleet {
    pub store: Store,
    pub setup: Setup,
    pub workers: [WorkerProcess; 2],
    pub instance: Instance,
    _folder: tempfile::TempDir,
}

impl Fleet {
    pub fn start(framing: &str, events: u64, options: &[&str]) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let setup = Setup {
            events,
            pause_ms: 20,
            framing: framing.to_owned(),
            version: "t",
            options: options.iter().map(|o| (*o).to_owned()).collect(),
            ledger: folder.path().join("ledger"),
        };
        let store = Store::start();
        let workers = ["w1", "w2"].map(|id| WorkerProcess::start(&store, &setup, id, 1));
        store.put("config", "main", config(1));
        let instance = Instance::start_for_jobs("one", &store);
        Self {
            store,
            setup,
            workers,
            instance,
            _folder: folder,
        }
    }

    /// Ends a worker in some way as soon as it runs half of the requests.
    pub fn end_busy(&mut self, end: End) {
        let mut victim = None;
        until("a worker runs half of the requests", || {
            let is_busy = |w: &WorkerProcess| w.running() >= CALLERS as u64 / 2;
            victim = self.workers.iter().position(is_busy);
            victim.is_some()
        });
        self.workers.swap(0, victim.unwrap());
        end(&mut self.workers[0]);
    }

    /// Starts the ended worker again, under its id or a new one.
    pub fn restart(&mut self, kill: u64) {
        self.workers[0].kill();
        let id = self.workers[0].id.clone();
        let id = if kill.is_multiple_of(2) {
            id
        } else {
            self.store.remove("servers", &id);
            format!("{id}{kill}")
        };
        self.workers[0] = WorkerProcess::start(&self.store, &self.setup, &id, kill + 2);
        let seal = format!("{id}.{}", kill + 2);
        let mut calls = 0;
        until("the instance uses the worker", || {
            calls += 1;
            let call = format!("after-{kill}-{calls}");
            let answer = post(self.instance.callers, "/unsafe/x", &call);
            answer.is_some_and(|a| a.header("x-response-seal") == Some(&*seal))
        });
    }

    /// Sends requests for a path, one of whose workers ends, several times over.
    pub fn answers(&mut self, end: End, path: &str) -> Vec<Option<Answer>> {
        let mut answers = Vec::new();
        for kill in 0..KILLS {
            thread::scope(|scope| {
                let address = self.instance.callers;
                let send = |n| {
                    let id = format!("{kill}-{n}");
                    scope.spawn(move || post(address, path, &id))
                };
                let sent: Vec<_> = (0..CALLERS).map(send).collect();
                self.end_busy(end);
                answers.extend(sent.into_iter().map(|s| s.join().unwrap()));
            });
            self.restart(kill);
        }
        answers
    }

    /// Returns the texts of answers that look complete and are not whole.
    pub fn torn(&self, answers: &[Option<Answer>]) -> Vec<String> {
        let complete = answers.iter().flatten().filter(|a| a.status == 200);
        let whole = self.setup.answer();
        complete.map(Answer::text).filter(|t| *t != whole).collect()
    }

    /// Checks that each answer that looks complete is whole.
    pub fn check(&self, answers: &[Option<Answer>]) {
        let torn = self.torn(answers);
        assert!(
            torn.is_empty(),
            "{} of {} answers are torn, as {:?}",
            torn.len(),
            answers.len(),
            torn[0]
        );
    }

    /// Returns how often each request ran.
    pub fn runs(&self) -> HashMap<String, usize> {
        let mut counts = HashMap::new();
        for (id, _) in self.setup.runs() {
            *counts.entry(id).or_default() += 1;
        }
        counts
    }
}

/// Sends a request, again with another id while it is refused, which promises that it has not run.
pub fn post(address: SocketAddr, path: &str, id: &str) -> Option<Answer> {
    let mut answer = None;
    let mut attempts = 0;
    until("the request is not refused", || {
        attempts += 1;
        let id = format!("{id}.{attempts}");
        let headers = [("x-request-id", &*id), ("x-deadline-ms", "5000")];
        // Requests of one text that crash three workers are kept from the others.
        let body = format!("prompt {id}");
        answer = http::call(address, "POST", path, &headers, &body);
        answer.as_ref().is_none_or(|a| a.status != 503)
    });
    answer
}

pub fn is_complete(answer: &Option<Answer>) -> bool {
    answer.as_ref().is_some_and(|a| a.status == 200)
}
