//! Entry instances, started with the command of the deploy file.

use std::{
    fs::{self, File},
    io::Write,
    net::{SocketAddr, TcpListener, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Mutex,
    time::Duration,
};

use serde_json::json;

use crate::http;

/// Ports that were handed out, which may not be bound yet.
static TAKEN: Mutex<Vec<u16>> = Mutex::new(Vec::new());

/// Returns an address whose port is free for TCP and UDP. Ports of the dynamic range have five digits.
pub fn free_address() -> SocketAddr {
    let mut taken = TAKEN.lock().unwrap();
    loop {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let port = address.port();
        if port >= 16384 && !taken.contains(&port) && UdpSocket::bind(address).is_ok() {
            taken.push(port);
            return address;
        }
    }
}

/// What an instance is told in its settings.
#[derive(Debug, Clone)]
pub struct Settings {
    pub name: String,
    pub zone: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub peers: SocketAddr,
    pub metrics: SocketAddr,
    pub store: SocketAddr,
    pub seeds: Vec<SocketAddr>,
}

impl Settings {
    pub fn new(name: &str, zone: &str, store: SocketAddr) -> Self {
        Self {
            name: name.into(),
            zone: zone.into(),
            callers: free_address(),
            ready: free_address(),
            peers: free_address(),
            metrics: free_address(),
            store,
            seeds: Vec::new(),
        }
    }
}

/// A running instance, which is killed when it is dropped.
pub struct Instance {
    pub settings: Settings,
    file: PathBuf,
    log: PathBuf,
    child: Child,
}

impl Instance {
    pub fn start(settings: Settings, folder: &Path) -> Self {
        let text = json!({
            "instance": settings.name, "zone": settings.zone, "caller_address": settings.callers,
            "ready_address": settings.ready, "peer_address": settings.peers,
            "metrics_address": settings.metrics, "store_address": settings.store,
            "seeds": settings.seeds, "grace_s": 8, "status_s": 120,
        });
        let file = folder.join(format!("{}.json", settings.name));
        let log = folder.join(format!("{}.log", settings.name));
        fs::write(&file, text.to_string()).expect("settings");
        let child = spawn(&file, &log);
        Self {
            settings,
            file,
            log,
            child,
        }
    }

    pub fn is_ready(&self) -> bool {
        let ready = || {
            let stream = http::connect(self.settings.ready, Duration::from_secs(1)).ok()?;
            let answer = http::send(&stream, "GET", "/readyz", &[("host", "x")], b"").ok()?;
            Some(answer.head.status() == 200)
        };
        ready() == Some(true)
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn restart(&mut self) {
        self.kill();
        self.child = spawn(&self.file, &self.log);
    }
}

fn spawn(settings: &Path, log: &Path) -> Child {
    let log = File::options()
        .create(true)
        .append(true)
        .open(log)
        .expect("a log");
    let child = Command::new("target/release/gentianpath")
        .arg("gateway")
        .env_clear()
        .env("GENTIANPATH_SETTINGS", settings)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(Stdio::null())
        .spawn()
        .expect("target/release/gentianpath, built as the deploy file says");
    list_process(&child, settings.parent().expect("a folder"));
    child
}

/// Adds a process to those that are ended however the case ends.
pub fn list_process(child: &Child, work: &Path) {
    let pids = File::options()
        .create(true)
        .append(true)
        .open(work.join("pids"));
    writeln!(pids.expect("a list of processes"), "{}", child.id()).expect("a list of processes");
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}
