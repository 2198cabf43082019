//! Settings of an entry instance: reads JSON and checks its values.

use std::{fs, net::SocketAddr, path::Path, path::PathBuf, sync::Arc, time::Duration};

use anyhow::{Context, anyhow, bail};
use serde::{Deserialize, de::DeserializeOwned};

use crate::ids::{InstanceId, Zone};

/// Unchecked settings, as read from the file. Each field is described in docs/settings.md.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawSettings {
    instance: String,
    zone: String,
    region: String,
    caller_address: String,
    operator_address: String,
    peer_address: String,
    platform_address: String,
    weights_address: Option<String>,
    #[serde(default)]
    peers: Vec<String>,
    data_folder: Option<PathBuf>,
    #[serde(default = "default_traffic_threads")]
    traffic_threads: usize,
    #[serde(default)]
    limits: RawLimits,
    #[serde(default)]
    timeouts: RawTimeouts,
}

#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RawLimits {
    body_bytes: usize,
    reading_bytes: usize,
    header_bytes: usize,
    connections: usize,
    queued: usize,
    answer_bytes: usize,
    batch_body_bytes: usize,
    transfer_bytes: usize,
    transfer_tokens: usize,
}

impl Default for RawLimits {
    fn default() -> Self {
        Self {
            body_bytes: 1 << 20,
            reading_bytes: 64 << 20,
            header_bytes: 16 << 10,
            connections: 4096,
            queued: 512,
            answer_bytes: 4 << 20,
            batch_body_bytes: 64 << 20,
            transfer_bytes: 64 << 20,
            transfer_tokens: 16,
        }
    }
}

#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RawTimeouts {
    connect_ms: u64,
    queue_wait_ms: u64,
    first_token_ms: u64,
    stall_ms: u64,
    request_read_ms: u64,
    caller_write_ms: u64,
    platform_ms: u64,
    peer_ms: u64,
    drain_ms: u64,
    leave_notice_ms: u64,
    exchange_ms: u64,
    load_poll_ms: u64,
    lease_ms: u64,
    renew_ms: u64,
    progress_ms: u64,
    loading_ms: u64,
    transfer_ms: u64,
    leave_run_ms: u64,
}

impl Default for RawTimeouts {
    fn default() -> Self {
        Self {
            connect_ms: 500,
            queue_wait_ms: 400,
            first_token_ms: 10_000,
            stall_ms: 2_000,
            request_read_ms: 10_000,
            caller_write_ms: 10_000,
            platform_ms: 2_000,
            peer_ms: 1_000,
            drain_ms: 60_000,
            leave_notice_ms: 3_000,
            exchange_ms: 1_000,
            load_poll_ms: 500,
            lease_ms: 30_000,
            renew_ms: 10_000,
            progress_ms: 10_000,
            // The largest job has 1,797 inputs. Written two at a time, they take 90 s at 100 ms a write.
            loading_ms: 600_000,
            transfer_ms: 1_000,
            leave_run_ms: 5_000,
        }
    }
}

fn default_traffic_threads() -> usize {
    2
}

/// Checked settings of an entry instance.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the instance, unique in the fleet.
    pub instance: InstanceId,
    /// Availability zone of the instance.
    pub zone: Zone,
    /// Region of the zone.
    pub region: Arc<str>,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
    /// Address for other entry instances.
    pub peer: SocketAddr,
    /// Address of the platform's object service and instance list.
    pub platform: SocketAddr,
    /// Address of the weight store.
    pub weights: Option<SocketAddr>,
    /// Peer addresses to try when the platform's instance list cannot be read.
    pub peers: Vec<SocketAddr>,
    /// Folder for bulk data, on instances with a disk.
    pub folder: Option<PathBuf>,
    /// Number of threads that handle traffic.
    pub threads: usize,
    /// Size and count limits.
    pub limits: Limits,
    /// Time limits and intervals.
    pub timeouts: Timeouts,
}

/// Size and count limits.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Largest request body of an online call, in bytes.
    pub body: usize,
    /// Total size of the bodies of online calls that are being read, in bytes.
    pub reading: usize,
    /// Largest request head, in bytes.
    pub header: usize,
    /// Maximum number of open caller connections.
    pub connections: usize,
    /// Maximum number of online requests that wait for a worker.
    pub queued: usize,
    /// Largest answer that is assembled in memory, in bytes.
    pub answer: usize,
    /// Largest body of a batch submission, in bytes.
    pub batch: usize,
    /// Largest state of a stream that is moved to another worker, in bytes.
    pub transfer: usize,
    /// Minimum number of generated tokens for which the state of a stream is moved.
    pub transfer_tokens: u64,
}

/// Time limits and intervals.
#[derive(Debug, Clone)]
pub struct Timeouts {
    /// Bound on opening a connection to a target.
    pub connect: Duration,
    /// Bound on the wait of an online request for a worker.
    pub queue: Duration,
    /// Bound on the wait for the first event of an engine stream.
    pub first_token: Duration,
    /// Bound on the time between two events of an engine stream.
    pub stall: Duration,
    /// Bound on reading a request from a caller.
    pub request_read: Duration,
    /// Bound on a write to a caller that does not read.
    pub caller_write: Duration,
    /// Deadline of a call of the platform.
    pub platform: Duration,
    /// Deadline of a call of another entry instance.
    pub peer: Duration,
    /// Bound on a planned stop.
    pub drain: Duration,
    /// Time between becoming not ready and refusing new work, so that the load balancer can react.
    pub leave_notice: Duration,
    /// Interval of digest exchanges with peers.
    pub exchange: Duration,
    /// Interval of load report reads from owned workers.
    pub load_poll: Duration,
    /// Time without a change after which a lease counts as expired, by the observer's clock.
    pub lease: Duration,
    /// Interval of lease renewals.
    pub renew: Duration,
    /// Minimum interval between two progress writes of the instance.
    pub progress: Duration,
    /// Time without a change after which a job in the state `loading` is closed.
    pub loading: Duration,
    /// Deadline of an export and of an import of a stream's state.
    pub transfer: Duration,
    /// Time that batch items continue on a leaving worker before they are moved.
    pub leave_run: Duration,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns a one-line error that names the field, the value and the remedy.
    pub fn load(path: &Path) -> anyhow::Result<Self> {
        read::<RawSettings>(path)?.try_into()
    }
}

/// Reads raw settings from a file.
///
/// # Errors
///
/// Returns a one-line error that names the field, the value and the remedy.
pub fn read<T: DeserializeOwned>(path: &Path) -> anyhow::Result<T> {
    let text = fs::read_to_string(path)
        .with_context(|| format!("cannot read settings file {}", path.display()))?;
    let mut reader = serde_json::Deserializer::from_str(&text);
    serde_path_to_error::deserialize(&mut reader)
        .map_err(|e| anyhow!("settings field '{}': {}", e.path(), e.inner()))
}

impl TryFrom<RawSettings> for Settings {
    type Error = anyhow::Error;

    fn try_from(raw: RawSettings) -> anyhow::Result<Self> {
        let settings = Self {
            instance: name("instance", &raw.instance)?,
            zone: name("zone", &raw.zone)?,
            region: name("region", &raw.region)?,
            callers: address("caller_address", &raw.caller_address)?,
            operators: address("operator_address", &raw.operator_address)?,
            peer: address("peer_address", &raw.peer_address)?,
            platform: address("platform_address", &raw.platform_address)?,
            weights: raw
                .weights_address
                .as_deref()
                .map(|a| address("weights_address", a))
                .transpose()?,
            peers: raw
                .peers
                .iter()
                .map(|a| address("peers", a))
                .collect::<anyhow::Result<_>>()?,
            folder: raw.data_folder,
            threads: count("traffic_threads", raw.traffic_threads, 1, 256)?,
            limits: Limits::try_from(raw.limits)?,
            timeouts: Timeouts::try_from(raw.timeouts)?,
        };
        Ok(settings)
    }
}

impl TryFrom<RawLimits> for Limits {
    type Error = anyhow::Error;

    fn try_from(raw: RawLimits) -> anyhow::Result<Self> {
        Ok(Self {
            body: count("limits.body_bytes", raw.body_bytes, 1 << 10, 64 << 20)?,
            reading: count("limits.reading_bytes", raw.reading_bytes, 1 << 10, 1 << 30)?,
            header: count("limits.header_bytes", raw.header_bytes, 1 << 10, 1 << 20)?,
            connections: count("limits.connections", raw.connections, 1, 1 << 20)?,
            queued: count("limits.queued", raw.queued, 1, 1 << 20)?,
            answer: count("limits.answer_bytes", raw.answer_bytes, 1 << 10, 64 << 20)?,
            batch: count(
                "limits.batch_body_bytes",
                raw.batch_body_bytes,
                1 << 10,
                1 << 30,
            )?,
            transfer: count(
                "limits.transfer_bytes",
                raw.transfer_bytes,
                1 << 10,
                1 << 30,
            )?,
            transfer_tokens: count("limits.transfer_tokens", raw.transfer_tokens, 1, 1 << 20)?
                as u64,
        })
    }
}

impl TryFrom<RawTimeouts> for Timeouts {
    type Error = anyhow::Error;

    fn try_from(raw: RawTimeouts) -> anyhow::Result<Self> {
        let timeouts = Self {
            connect: millis("connect_ms", raw.connect_ms)?,
            queue: millis("queue_wait_ms", raw.queue_wait_ms)?,
            first_token: millis("first_token_ms", raw.first_token_ms)?,
            stall: millis("stall_ms", raw.stall_ms)?,
            request_read: millis("request_read_ms", raw.request_read_ms)?,
            caller_write: millis("caller_write_ms", raw.caller_write_ms)?,
            platform: millis("platform_ms", raw.platform_ms)?,
            peer: millis("peer_ms", raw.peer_ms)?,
            drain: millis("drain_ms", raw.drain_ms)?,
            leave_notice: millis("leave_notice_ms", raw.leave_notice_ms)?,
            exchange: millis("exchange_ms", raw.exchange_ms)?,
            load_poll: millis("load_poll_ms", raw.load_poll_ms)?,
            lease: millis("lease_ms", raw.lease_ms)?,
            renew: millis("renew_ms", raw.renew_ms)?,
            progress: millis("progress_ms", raw.progress_ms)?,
            loading: millis("loading_ms", raw.loading_ms)?,
            transfer: millis("transfer_ms", raw.transfer_ms)?,
            leave_run: millis("leave_run_ms", raw.leave_run_ms)?,
        };
        if timeouts.renew * 2 > timeouts.lease {
            bail!(
                "settings field 'timeouts.renew_ms': {} is more than half of lease_ms {}; lower it",
                raw.renew_ms,
                raw.lease_ms
            );
        }
        Ok(timeouts)
    }
}

fn name(field: &str, value: &str) -> anyhow::Result<Arc<str>> {
    if !is_name(value) {
        bail!(
            "settings field '{field}': '{value}' is not a name; use 1 to 128 of a-z, A-Z, 0-9, '-', '_'"
        );
    }
    Ok(value.into())
}

/// Returns whether a text is a valid part of an object name.
pub fn is_name(value: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    (1..=128).contains(&value.len()) && value.chars().all(allowed)
}

fn address(field: &str, value: &str) -> anyhow::Result<SocketAddr> {
    value.parse().map_err(|_| {
        anyhow!("settings field '{field}': '{value}' is not an address; use IP:PORT, for example 127.0.0.1:8080")
    })
}

fn count(field: &str, value: usize, min: usize, max: usize) -> anyhow::Result<usize> {
    if !(min..=max).contains(&value) {
        bail!("settings field '{field}': {value} is out of range; use {min} to {max}");
    }
    Ok(value)
}

fn millis(field: &str, value: u64) -> anyhow::Result<Duration> {
    const DAY_MS: u64 = 24 * 60 * 60 * 1000;
    if !(1..=DAY_MS).contains(&value) {
        bail!(
            "settings field 'timeouts.{field}': {value} is out of range; use 1 to {DAY_MS} milliseconds"
        );
    }
    Ok(Duration::from_millis(value))
}
