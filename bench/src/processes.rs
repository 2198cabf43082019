//! Starts stand-ins and entry instances as processes on loopback, and reads their resource usage.

use std::{
    fs,
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU16, Ordering},
    thread,
    time::{Duration, Instant},
};

use anyhow::{Context, bail, ensure};
use serde_json::{Value, json};

/// Bound on the wait for a process to answer.
const START_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval at which a starting process is polled.
const START_POLL: Duration = Duration::from_millis(50);
/// Bound on one call to a process.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// First port of the range for processes.
const FIRST_PORT: u16 = 12_000;
/// End of the port range for processes, exclusive.
const LAST_PORT: u16 = 32_000;
/// Distance between the first ports of two runs with consecutive process ids.
const RUN_PORTS: u32 = 499;
/// Clock ticks per second in `/proc`, fixed on Linux.
const TICKS_PER_SECOND: f64 = 100.0;
/// Size of a memory page, in bytes.
const PAGE_BYTES: u64 = 4096;

/// Numbers of processes to start.
#[derive(Debug, Clone, Copy)]
pub struct Shape {
    /// Availability zones.
    pub zones: usize,
    /// Entry instances in all zones.
    pub entries: usize,
    /// Workers in all zones.
    pub workers: usize,
    /// Maximum number of running streams of a worker.
    pub slots: u32,
    /// Base time per token of a worker, in milliseconds.
    pub token_ms: u64,
}

/// Settings of a measurement besides the numbers of processes.
#[derive(Debug, Clone)]
pub struct Tuning {
    /// Weight of batch throughput against online tail latency in the sheet.
    pub weight: f64,
    /// Slots of a worker in the sheet; those of [`Shape`] if `None`.
    pub sheet_slots: Option<u32>,
    /// Additional options of the workers.
    pub worker_options: Vec<String>,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            weight: 0.5,
            sheet_slots: None,
            worker_options: Vec::new(),
        }
    }
}

/// A running entry instance.
#[derive(Debug)]
pub struct Entry {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
    settings: PathBuf,
    process: Process,
}

/// A running fleet; dropping it kills its processes.
#[derive(Debug)]
pub struct Fleet {
    /// Address of the stand-in for the platform.
    pub platform: SocketAddr,
    /// Addresses of the workers.
    pub workers: Vec<SocketAddr>,
    /// Entry instances.
    pub entries: Vec<Entry>,
    bin: PathBuf,
    _folder: Folder,
    _processes: Vec<Process>,
}

/// A process that is killed on drop.
#[derive(Debug)]
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A folder that is removed on drop.
#[derive(Debug)]
struct Folder(PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

impl Fleet {
    /// Starts a fleet and waits until its entry instances are ready with a sheet in force.
    ///
    /// # Errors
    ///
    /// Returns an error when a process does not start.
    pub fn start(shape: Shape) -> anyhow::Result<Self> {
        Self::start_tuned(shape, &Tuning::default())
    }

    /// Starts a fleet like [`Self::start`], with the given settings.
    ///
    /// # Errors
    ///
    /// Returns an error when a process does not start.
    pub fn start_tuned(shape: Shape, tuning: &Tuning) -> anyhow::Result<Self> {
        let bin = std::env::current_exe()?
            .parent()
            .context("no program folder")?
            .to_path_buf();
        let name = format!("gentianpath-bench-{}", std::process::id());
        let folder = Folder(std::env::temp_dir().join(name));
        fs::create_dir_all(&folder.0)?;
        let platform = free_address()?;
        let mut processes = vec![spawn(
            Command::new(bin.join("standin-platform"))
                .arg("--address")
                .arg(platform.to_string()),
        )?];
        wait_until(|| call(platform, "GET", "/instances", "").is_ok())?;
        let mut workers = Vec::new();
        for i in 0..shape.workers {
            let address = free_address()?;
            let mut command = engine(&bin, address, i, shape, platform);
            processes.push(spawn(command.args(&tuning.worker_options))?);
            workers.push(address);
        }
        let mut fleet = Self {
            platform,
            workers,
            entries: Vec::new(),
            bin,
            _folder: folder,
            _processes: processes,
        };
        for i in 0..shape.entries {
            let entry = fleet.start_entry(i, shape)?;
            fleet.entries.push(entry);
        }
        fleet.wait_answering()?;
        let first = &fleet.entries[0];
        let sheet = sheet(shape, tuning).to_string();
        let answer = call(first.operators, "POST", "/sheet", &sheet)?;
        ensure!(
            answer.contains("revision"),
            "the sheet was refused: {answer}"
        );
        fleet.wait_ready()?;
        Ok(fleet)
    }

    fn start_entry(&self, i: usize, shape: Shape) -> anyhow::Result<Entry> {
        let callers = free_address()?;
        let operators = free_address()?;
        let settings = self._folder.0.join(format!("entry-{i}.json"));
        let text = json!({
            "instance": format!("entry-{i}"),
            "zone": zone(i, shape),
            "region": "bench",
            "caller_address": callers.to_string(),
            "operator_address": operators.to_string(),
            "peer_address": free_address()?.to_string(),
            "platform_address": self.platform.to_string(),
        });
        fs::write(&settings, text.to_string())?;
        let process = self.spawn_entry(&settings)?;
        Ok(Entry {
            callers,
            operators,
            settings,
            process,
        })
    }

    fn spawn_entry(&self, settings: &Path) -> anyhow::Result<Process> {
        spawn(
            Command::new(self.bin.join("gentianpath"))
                .arg("serve")
                .arg("--settings")
                .arg(settings)
                .env("RUST_LOG", "warn"),
        )
    }

    /// Kills an entry instance without a planned stop.
    ///
    /// # Errors
    ///
    /// Returns an error when the process cannot be killed.
    pub fn kill(&mut self, i: usize) -> anyhow::Result<()> {
        let child = &mut self.entries[i].process.0;
        child.kill()?;
        child.wait()?;
        Ok(())
    }

    /// Restarts an entry instance that was killed.
    ///
    /// # Errors
    ///
    /// Returns an error when the process does not start.
    pub fn restart(&mut self, i: usize) -> anyhow::Result<()> {
        let settings = self.entries[i].settings.clone();
        self.entries[i].process = self.spawn_entry(&settings)?;
        Ok(())
    }

    fn wait_answering(&self) -> anyhow::Result<()> {
        for entry in &self.entries {
            wait_until(|| call(entry.operators, "GET", "/livez", "").is_ok())?;
        }
        Ok(())
    }

    /// Waits until every entry instance is ready.
    ///
    /// # Errors
    ///
    /// Returns an error when one of them is not ready in time.
    pub fn wait_ready(&self) -> anyhow::Result<()> {
        for entry in &self.entries {
            wait_until(|| entry.is_ready(self.workers.len()))?;
        }
        Ok(())
    }

    /// Reads the ledger of the platform.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform does not answer.
    pub fn platform_ledger(&self) -> anyhow::Result<Value> {
        let text = call(self.platform, "GET", "/ledger", "")?;
        Ok(serde_json::from_str(&text)?)
    }
}

impl Entry {
    /// Returns whether the instance is ready and knows at least a number of workers with a model.
    pub fn is_ready(&self, workers: usize) -> bool {
        let ready = call(self.operators, "GET", "/readyz", "").is_ok();
        ready && self.status().is_ok_and(|s| usable_workers(&s) >= workers)
    }

    /// Reads the status page.
    ///
    /// # Errors
    ///
    /// Returns an error when the instance does not answer.
    pub fn status(&self) -> anyhow::Result<Value> {
        let text = call(self.operators, "GET", "/status", "")?;
        Ok(serde_json::from_str(&text)?)
    }

    /// Returns the sum of a metric over its labels, or 0 if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns an error when the instance does not answer.
    pub fn metric(&self, name: &str) -> anyhow::Result<f64> {
        let text = call(self.operators, "GET", "/metrics", "")?;
        let values = text.lines().filter(|l| l.starts_with(name));
        Ok(values
            .filter_map(|l| l.rsplit(' ').next()?.parse::<f64>().ok())
            .sum())
    }

    /// Returns the processor time of the threads with a name, in seconds.
    pub fn thread_cpu(&self, name: &str) -> f64 {
        let tasks = format!("/proc/{}/task", self.process.0.id());
        let Ok(entries) = fs::read_dir(tasks) else {
            return 0.0;
        };
        let stats = entries.filter_map(|e| fs::read_to_string(e.ok()?.path().join("stat")).ok());
        stats.filter_map(|s| cpu_of(&s, name)).sum()
    }

    /// Returns the resident memory, in bytes.
    pub fn memory(&self) -> u64 {
        let statm = fs::read_to_string(format!("/proc/{}/statm", self.process.0.id()));
        let pages = statm
            .ok()
            .and_then(|s| s.split(' ').nth(1)?.parse::<u64>().ok());
        pages.unwrap_or(0) * PAGE_BYTES
    }
}

fn usable_workers(status: &Value) -> usize {
    let workers = status["workers"].as_array();
    let usable = |w: &&Value| w["model"].is_string() && w["slots"].as_u64() > Some(0);
    workers.map_or(0, |w| w.iter().filter(usable).count())
}

/// Parses user and system time in a line of `/proc/*/stat` if the thread has the name.
fn cpu_of(stat: &str, name: &str) -> Option<f64> {
    const USER_TIME: usize = 11;
    const SYSTEM_TIME: usize = 12;
    let (head, rest) = stat.rsplit_once(") ")?;
    if head.split_once('(')?.1 != name {
        return None;
    }
    let fields: Vec<&str> = rest.split(' ').collect();
    let user: f64 = fields.get(USER_TIME)?.parse().ok()?;
    let system: f64 = fields.get(SYSTEM_TIME)?.parse().ok()?;
    Some((user + system) / TICKS_PER_SECOND)
}

fn zone(i: usize, shape: Shape) -> String {
    format!("zone-{}", i % shape.zones)
}

fn engine(
    bin: &Path,
    address: SocketAddr,
    i: usize,
    shape: Shape,
    platform: SocketAddr,
) -> Command {
    let mut command = Command::new(bin.join("standin-engine"));
    command
        .args(["--address", &address.to_string()])
        .args(["--id", &format!("worker-{i}")])
        .args(["--zone", &zone(i, shape)])
        .args(["--slots", &shape.slots.to_string()])
        .args(["--model", "m1", "--version", "1"])
        .args(["--token-ms", &shape.token_ms.to_string()])
        .args(["--platform", &platform.to_string()]);
    command
}

fn sheet(shape: Shape, tuning: &Tuning) -> Value {
    let slots = tuning.sheet_slots.unwrap_or(shape.slots);
    json!({
        "deployment": "bench",
        "throughput_weight": tuning.weight,
        "models": [{"name": "m1", "version": "1", "slots": slots}],
        "services": [{"name": "s1", "model": "m1"}],
    })
}

fn spawn(command: &mut Command) -> anyhow::Result<Process> {
    let child = command
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .with_context(|| format!("cannot start {:?}", command.get_program()))?;
    Ok(Process(child))
}

/// Returns a free loopback address. Its port is below the range for outgoing connections, so that
/// no connection uses it before the process listens. Concurrent runs start at different ports,
/// because a port counts as free until its process listens.
fn free_address() -> anyhow::Result<SocketAddr> {
    static TAKEN: AtomicU16 = AtomicU16::new(0);
    const SPAN: u32 = (LAST_PORT - FIRST_PORT) as u32;
    let start = std::process::id().wrapping_mul(RUN_PORTS) % SPAN;
    loop {
        let taken = TAKEN.fetch_add(1, Ordering::Relaxed);
        ensure!(u32::from(taken) < SPAN, "no free port is left");
        let port = FIRST_PORT + ((start + u32::from(taken)) % SPAN) as u16;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
}

/// Repeats a check until it succeeds.
///
/// # Errors
///
/// Returns an error when it does not succeed in time.
pub fn wait_until(mut check: impl FnMut() -> bool) -> anyhow::Result<()> {
    let start = Instant::now();
    while !check() {
        if start.elapsed() > START_TIMEOUT {
            bail!("a process did not answer within {START_TIMEOUT:?}");
        }
        thread::sleep(START_POLL);
    }
    Ok(())
}

/// Sends one short call and returns the body of a successful answer.
///
/// # Errors
///
/// Returns an error when the call fails or its status is not a success.
pub fn call(address: SocketAddr, method: &str, path: &str, body: &str) -> anyhow::Result<String> {
    let mut stream = TcpStream::connect_timeout(&address, CALL_TIMEOUT)?;
    stream.set_read_timeout(Some(CALL_TIMEOUT))?;
    write!(
        stream,
        "{method} {path} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    let (head, body) = answer.split_once("\r\n\r\n").context("no answer")?;
    let status = head.split(' ').nth(1).unwrap_or_default();
    ensure!(
        status.starts_with('2'),
        "{method} {path}: status {status}: {body}"
    );
    Ok(body.to_owned())
}
