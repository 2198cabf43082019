//! Runs entry instances and stand-ins as processes.
//!
//! Processes are killed when the values are dropped. Time limits only end tests that hang; they
//! never decide whether a test passes.

#![allow(dead_code, reason = "each test program uses only some of the items")]

pub mod http;
pub mod late_port;
pub mod link;
pub mod ports;
pub mod process;

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use http::{Answer, call};
pub use ports::free_address;
use process::Process;

/// Bound on a wait for a state.
pub const WAIT_LIMIT: Duration = Duration::from_secs(60);
/// Interval at which a state is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of attempts to start an entry instance.
const START_ATTEMPTS: u32 = 3;
/// Model of the engines.
pub const MODEL: &str = "m";
/// Default zone of engines and entry instances.
pub const ZONE: &str = "zone-a";

/// Waits until a condition holds, and panics with its description at the time limit.
pub fn until(condition: &str, mut holds: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_LIMIT;
    while !holds() {
        assert!(
            Instant::now() < deadline,
            "{condition}: did not hold in time"
        );
        thread::sleep(POLL_INTERVAL);
    }
}

/// Returns a sheet with the model of the engines and a plain service `till` with a call that must
/// not be repeated.
pub fn sheet() -> Value {
    json!({
        "deployment": "test",
        "throughput_weight": 0.5,
        "models": [{ "name": MODEL, "version": "1", "slots": 4 }],
        "services": [
            { "name": "lm", "model": MODEL },
            { "name": "till", "no_repeat": ["POST /receipts"] },
        ],
    })
}

/// A stand-in that runs as a process.
pub struct Standin {
    /// The process.
    pub process: Process,
    /// Its address.
    pub address: SocketAddr,
}

impl Standin {
    /// Starts a stand-in by the name of its program and waits for its address.
    pub fn start(program: &str, options: &[&str]) -> Self {
        let (process, address) = Process::start_listening(&program_path(program), options);
        Self { process, address }
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: &Value) {
        let answer = call(self.address, "POST", "/faults", &[], &faults.to_string());
        assert_eq!(answer.expect("an answer").status, 200);
    }

    /// Reads the ledger.
    pub fn ledger(&self) -> Value {
        call(self.address, "GET", "/ledger", &[], "")
            .expect("an answer")
            .json()
    }

    /// Returns the runs of a prompt.
    pub fn runs(&self, prompt: &str) -> Vec<Value> {
        let ledger = self.ledger();
        let runs = ledger["runs"].as_array().cloned().unwrap_or_default();
        runs.into_iter()
            .filter(|run| run["prompt"] == prompt)
            .collect()
    }
}

/// Returns the path of a program in the folder of the program under test.
fn program_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_BIN_EXE_gentianpath")).with_file_name(name)
}

/// An entry instance that runs as a process.
pub struct Entry {
    /// The process.
    pub process: Process,
    /// Name.
    pub name: String,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
    /// Address for other entry instances.
    pub peer: SocketAddr,
    settings: PathBuf,
}

impl Entry {
    /// Starts the entry instance again after its process ended, with the same settings.
    pub fn restart(&mut self) {
        self.process.kill();
        self.process = serve(&self.settings);
        self.wait_ready();
    }

    /// Returns whether it is ready.
    pub fn is_ready(&self) -> bool {
        let answer = call(self.operators, "GET", "/readyz", &[], "");
        answer.is_some_and(|answer| answer.status == 200)
    }

    /// Waits until it is ready.
    pub fn wait_ready(&mut self) {
        let ready = self.becomes_ready();
        assert!(ready, "{} ended:\n{}", self.name, self.process_log());
    }

    /// Waits until it is ready, and returns false if its process ended before.
    fn becomes_ready(&mut self) -> bool {
        let deadline = Instant::now() + WAIT_LIMIT;
        while !self.is_ready() {
            if self.process.ended().is_some() {
                return false;
            }
            let log = || self.process_log();
            assert!(
                Instant::now() < deadline,
                "{} is not ready:\n{}",
                self.name,
                log()
            );
            thread::sleep(POLL_INTERVAL);
        }
        true
    }

    /// Returns the log of the process.
    pub fn process_log(&self) -> String {
        std::fs::read_to_string(self.settings.with_extension("log")).unwrap_or_default()
    }

    /// Reads the status.
    pub fn status(&self) -> Value {
        call(self.operators, "GET", "/status", &[], "")
            .expect("an answer")
            .json()
    }

    /// Pushes a sheet and returns the answer.
    pub fn try_push(&self, sheet: &Value) -> Answer {
        let answer = call(self.operators, "POST", "/sheet", &[], &sheet.to_string());
        answer.expect("an answer")
    }

    /// Pushes a sheet and returns its revision.
    pub fn push_sheet(&self, sheet: &Value) -> u64 {
        let answer = self.try_push(sheet);
        assert_eq!(answer.status, 200, "{}", answer.text());
        answer.json()["revision"].as_u64().expect("a revision")
    }

    /// Requests a completion without streaming; returns `None` if the connection breaks.
    pub fn chat(&self, prompt: &str, tokens: u64) -> Option<Answer> {
        self.chat_with(prompt, tokens, false, &[])
    }

    /// Requests a completion, with or without streaming, with extra headers.
    pub fn chat_with(
        &self,
        prompt: &str,
        tokens: u64,
        stream: bool,
        headers: &[(&str, &str)],
    ) -> Option<Answer> {
        let body = json!({
            "model": MODEL,
            "messages": [{ "role": "user", "content": prompt }],
            "max_tokens": tokens,
            "stream": stream,
        });
        let path = "/v1/chat/completions";
        call(self.callers, "POST", path, headers, &body.to_string())
    }

    /// Submits a job; returns `None` if the connection breaks.
    pub fn submit(&self, name: &str, deadline: u64, items: &[Item]) -> Option<Answer> {
        let lines: Vec<String> = items.iter().map(Item::line).collect();
        let path = format!("/v1/batches?name={name}&model={MODEL}&deadline={deadline}");
        call(self.callers, "POST", &path, &[], &lines.join("\n"))
    }

    /// Reads the progress of a job.
    pub fn job(&self, name: &str) -> Option<Answer> {
        call(self.callers, "GET", &format!("/v1/batches/{name}"), &[], "")
    }

    /// Reads the results of a job.
    pub fn results(&self, name: &str) -> Vec<Value> {
        let path = format!("/v1/batches/{name}/results");
        let answer = call(self.callers, "GET", &path, &[], "").expect("an answer");
        assert_eq!(answer.status, 200, "{}", answer.text());
        let text = answer.text();
        text.lines()
            .map(|line| serde_json::from_str(line).expect("a result"))
            .collect()
    }
}

/// An item of a job.
#[derive(Debug, Clone)]
pub struct Item {
    /// Name inside the job.
    pub id: String,
    /// Prompt.
    pub prompt: String,
    /// Maximum number of generated tokens.
    pub tokens: u64,
    /// Whether it may run at most once.
    pub once: bool,
}

impl Item {
    /// Creates an item that may be repeated.
    pub fn new(id: &str, prompt: &str, tokens: u64) -> Self {
        Self {
            id: id.into(),
            prompt: prompt.into(),
            tokens,
            once: false,
        }
    }

    /// Returns the item as a line of a job.
    pub fn line(&self) -> String {
        let mut line = json!({ "id": self.id, "prompt": self.prompt, "max_tokens": self.tokens });
        if self.once {
            line["repeat"] = "never".into();
        }
        line.to_string()
    }
}

/// Platform, engines and entry instances of a test.
pub struct Fleet {
    /// Platform.
    pub platform: Standin,
    /// Engines and plain services.
    pub targets: Vec<Standin>,
    /// Entry instances.
    pub entries: Vec<Entry>,
    folder: tempfile::TempDir,
}

impl Fleet {
    /// Starts a platform with extra options.
    pub fn new(options: &[&str]) -> Self {
        Self {
            platform: Standin::start("standin-platform", options),
            targets: Vec::new(),
            entries: Vec::new(),
            folder: tempfile::tempdir().unwrap(),
        }
    }

    /// Starts a platform, engines, and entry instances with the sheet in force.
    pub fn running(engines: usize, entries: usize) -> Self {
        let mut fleet = Self::new(&[]);
        for i in 0..engines {
            fleet.add_engine(&format!("engine-{i}"), &["--slots", "4", "--token-ms", "2"]);
        }
        for i in 0..entries {
            fleet.add_entry(&format!("entry-{i}"), json!({}));
        }
        let revision = fleet.entries[0].push_sheet(&sheet());
        for entry in &fleet.entries {
            until("the sheet is in force", || {
                entry.status()["sheet"]["revision"] == revision
            });
            until("all workers are known", || {
                entry
                    .chat("warm up", 1)
                    .is_some_and(|answer| answer.status == 200)
            });
        }
        fleet
    }

    /// Starts an engine that registers itself.
    pub fn add_engine(&mut self, id: &str, options: &[&str]) {
        self.add_target(&[&["--id", id, "--model", MODEL], options].concat());
    }

    /// Starts an instance of a plain service that registers itself.
    pub fn add_service(&mut self, id: &str, service: &str, options: &[&str]) {
        self.add_target(&[&["--id", id, "--service", service], options].concat());
    }

    fn add_target(&mut self, options: &[&str]) {
        let platform = self.platform.address.to_string();
        let common = ["--platform", &platform, "--zone", ZONE];
        let options = [&common[..], options].concat();
        self.targets
            .push(Standin::start("standin-engine", &options));
    }

    /// Starts an entry instance and waits until it is ready. `changes` override settings.
    ///
    /// Another process may bind a free port before the entry instance does, so a start that exits
    /// early is retried with other ports.
    pub fn add_entry(&mut self, name: &str, changes: Value) -> &mut Entry {
        for _ in 1..START_ATTEMPTS {
            let mut entry = self.start_entry(name, &changes);
            if entry.becomes_ready() {
                self.entries.push(entry);
                return self.entries.last_mut().unwrap();
            }
        }
        let mut entry = self.start_entry(name, &changes);
        entry.wait_ready();
        self.entries.push(entry);
        self.entries.last_mut().unwrap()
    }

    fn start_entry(&self, name: &str, changes: &Value) -> Entry {
        let (callers, operators, peer) = (free_address(), free_address(), free_address());
        let mut settings = json!({
            "instance": name,
            "zone": ZONE,
            "region": "region",
            "caller_address": callers.to_string(),
            "operator_address": operators.to_string(),
            "peer_address": peer.to_string(),
            "platform_address": self.platform.address.to_string(),
            "timeouts": { "leave_notice_ms": 100, "load_poll_ms": 100, "exchange_ms": 100 },
        });
        for (key, value) in changes.as_object().into_iter().flatten() {
            settings[key] = value.clone();
        }
        let file = self.folder.path().join(format!("{name}.json"));
        std::fs::write(&file, settings.to_string()).unwrap();
        Entry {
            process: serve(&file),
            name: name.into(),
            callers,
            operators,
            peer,
            settings: file,
        }
    }

    /// Removes an instance from the instance list, as the platform does some time after it died.
    /// `group` is `entries` or `targets`.
    pub fn unlist(&self, group: &str, id: &str) {
        let path = format!("/instances/{group}/{id}");
        let answer = call(self.platform.address, "DELETE", &path, &[], "");
        assert_eq!(answer.expect("an answer").status, 200);
    }

    /// Returns the runs of a prompt on all engines.
    pub fn runs(&self, prompt: &str) -> Vec<Value> {
        self.targets
            .iter()
            .flat_map(|target| target.runs(prompt))
            .collect()
    }
}

fn serve(settings: &Path) -> Process {
    let program = Path::new(env!("CARGO_BIN_EXE_gentianpath"));
    let file = settings.to_str().unwrap();
    Process::start(
        program,
        &["serve", "--settings", file],
        &settings.with_extension("log"),
    )
}
