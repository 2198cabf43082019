//! Starts stand-ins as processes, and control threads of several instances in this process.

#![allow(dead_code, reason = "each test program uses a part of it")]

#[path = "../support/ports.rs"]
mod ports;

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Arc,
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use gentianpath::{
    context::Context,
    control, dial,
    ids::Revision,
    push::{self, Refusal, Request},
    settings::{RawSettings, Settings},
    sheet::{RawModel, RawSheet},
};
use serde_json::{Value, json};
use smol::channel::Sender;

pub use ports::free_address;

/// Timeout of a wait for a state. It only ends a test that hangs; no result depends on how long a
/// wait took.
const WAIT_LIMIT: Duration = Duration::from_secs(30);
/// Interval between two checks of a state.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// A stand-in that runs as a process and is killed on drop.
pub struct Process {
    pub address: SocketAddr,
    child: Child,
}

impl Process {
    /// Starts a stand-in and waits until it prints its address.
    pub fn start(program: &str, options: &[&str]) -> Self {
        let _ = env_logger::builder().is_test(true).try_init();
        let mut child = Command::new(program_path(program))
            .args(options)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap_or_else(|e| panic!("{program}: {e}; run cargo build --workspace first"));
        let mut line = String::new();
        let out = child.stdout.take().unwrap();
        BufReader::new(out).read_line(&mut line).unwrap();
        let address = line.trim().rsplit(' ').next().unwrap().parse().unwrap();
        Self { address, child }
    }

    /// Starts an empty platform.
    pub fn platform() -> Self {
        Self::start("standin-platform", &[])
    }

    /// Starts an empty platform at the address of an earlier one.
    pub fn platform_at(address: SocketAddr) -> Self {
        Self::start("standin-platform", &["--address", &address.to_string()])
    }

    /// Sets the faults of the stand-in.
    pub fn set_faults(&self, faults: &Value) {
        let (status, _) = http("POST", self.address, "/faults", &faults.to_string());
        assert_eq!(status, 200);
    }

    /// Returns the ledger of the stand-in.
    pub fn ledger(&self) -> Value {
        let (status, body) = http("GET", self.address, "/ledger", "");
        assert_eq!(status, 200);
        serde_json::from_str(&body).unwrap()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn program_path(name: &str) -> PathBuf {
    let test = std::env::current_exe().unwrap();
    test.parent().and_then(Path::parent).unwrap().join(name)
}

/// Sends a request and returns status and body.
pub fn http(method: &str, address: SocketAddr, path: &str, body: &str) -> (u16, String) {
    smol::block_on(async {
        let client = dial::client(Duration::from_secs(5));
        let url = format!("http://{address}{path}");
        let mut conn = client.build_conn(method, url).with_body(body.to_owned());
        (&mut conn).await.unwrap();
        let status = conn.status().map_or(0, u16::from);
        let body = conn.response_body().read_string().await.unwrap();
        (status, body)
    })
}

/// An entry instance of which only the control thread runs.
pub struct Instance {
    pub ctx: Arc<Context>,
    stop: Sender<()>,
    thread: Option<JoinHandle<()>>,
}

/// Settings in which the instances of a test differ.
#[derive(Default, Clone)]
pub struct InstanceConfig<'a> {
    pub name: &'a str,
    pub zone: &'a str,
    pub session: u64,
    pub peers: Vec<SocketAddr>,
    pub folder: Option<&'a Path>,
}

impl Instance {
    /// Starts the control thread of an instance.
    pub fn start(platform: SocketAddr, config: &InstanceConfig<'_>) -> Self {
        let (ctx, commands) = Context::new(settings(platform, config), config.session);
        let (stop, stopped) = smol::channel::bounded(1);
        let context = ctx.clone();
        let run = move || {
            let stopped = async {
                let _ = stopped.recv().await;
            };
            let run = async {
                control::run(context, commands).await.unwrap();
            };
            smol::block_on(smol::future::or(run, stopped));
        };
        Self {
            ctx,
            stop,
            thread: Some(thread::spawn(run)),
        }
    }

    /// Starts an instance of a zone with a random session.
    pub fn simple(platform: SocketAddr, name: &str, zone: &str) -> Self {
        let config = InstanceConfig {
            name,
            zone,
            session: fastrand::u64(..),
            ..InstanceConfig::default()
        };
        Self::start(platform, &config)
    }

    pub fn peer(&self) -> SocketAddr {
        self.ctx.settings.peer
    }

    pub fn revision(&self) -> Revision {
        self.ctx.view.load().revision
    }

    pub fn exchanges(&self) -> u64 {
        self.ctx.status.load().report.peers.exchanges
    }

    /// Pushes a sheet through this instance.
    pub fn push(&self, raw: RawSheet, base: Option<Revision>) -> Result<Revision, Refusal> {
        let request = Request {
            raw,
            base,
            token: None,
        };
        smol::block_on(push::push(&self.ctx, request))
    }

    pub fn wait_revision(&self, revision: Revision) {
        let name = &self.ctx.settings.instance;
        wait(&format!("{name} at revision {revision}"), || {
            self.revision() >= revision
        });
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        let _ = self.stop.try_send(());
        let result = self.thread.take().unwrap().join();
        if !thread::panicking() {
            result.unwrap();
        }
    }
}

fn settings(platform: SocketAddr, config: &InstanceConfig<'_>) -> Settings {
    let raw = json!({
        "instance": config.name,
        "zone": config.zone,
        "region": "qld-south",
        "caller_address": free_address(),
        "operator_address": free_address(),
        "peer_address": free_address(),
        "platform_address": platform,
        "peers": config.peers,
        "data_folder": config.folder,
        "timeouts": { "exchange_ms": 100, "load_poll_ms": 100, "platform_ms": 1000 },
    });
    let raw: RawSettings = serde_json::from_value(raw).unwrap();
    Settings::try_from(raw).unwrap()
}

/// Waits until a state is reached.
pub fn wait(what: &str, mut reached: impl FnMut() -> bool) {
    let start = Instant::now();
    while !reached() {
        assert!(start.elapsed() < WAIT_LIMIT, "not reached: {what}");
        thread::sleep(CHECK_INTERVAL);
    }
}

/// Returns a sheet with one model.
pub fn sheet(model: &str, version: &str, slots: u32) -> RawSheet {
    RawSheet {
        deployment: "benchline".into(),
        throughput_weight: 0.5,
        models: vec![RawModel {
            name: model.into(),
            version: version.into(),
            adapters: vec![],
            min_workers: 1,
            slots,
        }],
        ..RawSheet::default()
    }
}
