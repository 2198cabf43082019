//! Entry instances, which run as processes with the command of the deploy file, and the record of a case.

use std::{
    fs::{self, File},
    io::Write,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http;

/// Command of the role `entry` in deploy/system.toml.
const PROGRAM: &str = "target/release/gentianpath";

/// File `record.txt` of a case.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    pub fn create(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt")).expect("record.txt");
        Self {
            file: Arc::new(Mutex::new(file)),
            began: Instant::now(),
        }
    }

    pub fn line(&self, text: &str) {
        self.line_at(Instant::now(), text);
    }

    pub fn line_at(&self, at: Instant, text: &str) {
        let at = at.saturating_duration_since(self.began).as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {text}");
    }
}

/// What a deployment sets.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    pub grace_s: f64,
    pub status_s: f64,
    pub memory_mb: u32,
}

pub struct Instance {
    pub name: String,
    pub zone: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub peers: SocketAddr,
    settings: PathBuf,
    folder: PathBuf,
    child: Option<Child>,
}

/// Returns a free port of 127.0.0.1.
pub fn free() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address")
}

impl Instance {
    /// Chooses the addresses of an instance.
    pub fn plan(name: &str, zone: &str, folder: &Path) -> Self {
        Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            callers: free(),
            ready: free(),
            peers: free(),
            settings: folder.join(format!("{name}.json")),
            folder: folder.to_owned(),
            child: None,
        }
    }

    /// Writes the settings, as deploy/settings.json renders them.
    pub fn configure(&self, store: SocketAddr, seeds: &[SocketAddr], bounds: Bounds) {
        let seeds: Vec<String> = seeds.iter().map(|s| format!("\"{s}\"")).collect();
        let text = format!(
            "{{\"instance\":\"{}\",\"zone\":\"{}\",\"caller_address\":\"{}\",\"ready_address\":\"{}\",\
             \"peer_address\":\"{}\",\"metrics_address\":\"{}\",\"store_address\":\"{store}\",\
             \"seeds\":[{}],\"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"batch\",\
             \"stream\",\"engine\",\"platform\"],\"grace_s\":{},\"status_s\":{},\"memory_mb\":{}}}",
            self.name,
            self.zone,
            self.callers,
            self.ready,
            self.peers,
            free(),
            seeds.join(","),
            bounds.grace_s,
            bounds.status_s,
            bounds.memory_mb
        );
        fs::write(&self.settings, text).expect("settings");
    }

    pub fn start(&mut self) {
        let log = self.folder.join(format!("{}.log", self.name));
        let log = File::options()
            .create(true)
            .append(true)
            .open(log)
            .expect("a log");
        let child = Command::new(PROGRAM)
            .arg("gateway")
            .env_clear()
            .env("PATH", "/usr/bin:/bin")
            .env("GENTIANPATH_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn();
        let child = child.expect("the instance starts");
        // The script ends what is left.
        let pids = self.folder.join("pids");
        let pids = File::options().create(true).append(true).open(pids);
        let _ = writeln!(pids.expect("a list of processes"), "{}", child.id());
        self.child = Some(child);
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns whether the process ended by itself.
    pub fn has_ended(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|c| matches!(c.try_wait(), Ok(Some(_))))
    }

    pub fn is_ready(&self) -> bool {
        let host = self.ready.to_string();
        let answer = http::call(
            self.ready,
            "GET",
            "/readyz",
            &[("host", &host)],
            b"",
            Duration::from_secs(1),
        );
        answer.is_ok_and(|a| a.status == 200)
    }

    /// Returns the memory of the process in KiB.
    pub fn memory_kib(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid()));
        let status = status.unwrap_or_default();
        let line = status.lines().find(|l| l.starts_with("VmRSS:"));
        let number = line.and_then(|l| l.split_whitespace().nth(1));
        number.and_then(|n| n.parse().ok()).unwrap_or(0)
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until a condition holds, and returns whether it did in time.
pub fn until(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if condition() {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    condition()
}
