//! Settings of an instance on a platform with its own registry of routes and workers: raw JSON to
//! checked values.

use std::{net::SocketAddr, time::Duration};

use anyhow::{Context, ensure};
use serde::Deserialize;

use crate::{
    adapter::contracts,
    ids::{InstanceId, Zone},
    teams::ledger::Terms,
    uri,
};

/// Shortest time within which keys can be taken away: the configuration is confirmed once a second, and a
/// lost answer must not end it.
const MIN_REVOKE: Duration = Duration::from_secs(3);

/// Settings as read from the file, unchecked. docs/settings.md describes every field.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawSettings {
    instance: String,
    zone: String,
    #[serde(default)]
    caller_address: Option<SocketAddr>,
    #[serde(default)]
    ready_address: Option<SocketAddr>,
    #[serde(default)]
    peer_address: Option<SocketAddr>,
    #[serde(default)]
    metrics_address: Option<SocketAddr>,
    store_address: SocketAddr,
    #[serde(default)]
    seeds: Vec<SocketAddr>,
    grace_s: f64,
    status_s: f64,
    #[serde(default = "default_memory")]
    memory_mb: f64,
    #[serde(default)]
    contracts: Vec<String>,
    #[serde(default)]
    learn_capacity: bool,
    #[serde(default)]
    revoke_ms: Option<f64>,
    #[serde(default)]
    quota_window_s: Option<f64>,
    #[serde(default)]
    quota_excess: Option<f64>,
    #[serde(default)]
    quota_slack: Option<f64>,
}

/// Memory in MiB of the smallest machine that the program is meant for.
fn default_memory() -> f64 {
    96.0
}

/// Checked settings of an entry instance.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Availability zone.
    pub zone: Zone,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for the load balancer.
    pub ready: SocketAddr,
    /// Address for other instances.
    pub peers: SocketAddr,
    /// Address for the metrics collector.
    pub metrics: Option<SocketAddr>,
    /// Address of the object store.
    pub store: SocketAddr,
    /// Addresses of some other instances, which may be outdated.
    pub seeds: Vec<SocketAddr>,
    /// Time from the stop signal to the end of the process.
    pub grace: Duration,
    /// Time for which a job stays readable.
    pub retention: Duration,
    /// Bytes that the process may use.
    pub memory: usize,
    /// Time within which a key that is taken away stops working, also at an instance that is cut off, or
    /// `None` if there is no such bound.
    pub revoke: Option<Duration>,
    /// Terms of the quotas of teams.
    pub quota: Terms,
    /// Whether instances of a zone tell each other of failures of workers.
    pub shares_failures: bool,
    /// Whether requests are placed by the learned speed of workers.
    pub learns_capacity: bool,
}

/// Checked settings of a keeper, which runs on machines with disks.
#[derive(Debug, Clone)]
pub struct KeeperSettings {
    /// Name of the machine.
    pub instance: InstanceId,
    /// Address of the object store.
    pub store: SocketAddr,
}

impl TryFrom<RawSettings> for Settings {
    type Error = anyhow::Error;

    fn try_from(raw: RawSettings) -> anyhow::Result<Self> {
        // The instance registers under its name.
        uri::check_segment(&raw.instance).context("instance")?;
        ensure!(raw.grace_s > 0.0, "grace_s: must be above 0");
        ensure!(raw.memory_mb > 0.0, "memory_mb: must be above 0");
        ensure!(raw.status_s > 0.0, "status_s: must be above 0");
        let defaults = Terms::default();
        let window = raw.quota_window_s.unwrap_or(defaults.window.as_secs_f64());
        ensure!(
            (0.1..=3600.0).contains(&window),
            "quota_window_s: must be 0.1 to 3600"
        );
        let (excess, slack) = (raw.quota_excess, raw.quota_slack);
        let quota = Terms {
            window: Duration::from_secs_f64(window),
            excess: excess.unwrap_or(defaults.excess),
            slack: slack.unwrap_or(defaults.slack),
        };
        ensure!(quota.excess >= 0.0, "quota_excess: must be 0 or more");
        ensure!(quota.slack >= 0.0, "quota_slack: must be 0 or more");
        let revoke = raw
            .revoke_ms
            .map(|ms| Duration::try_from_secs_f64(ms / 1000.0));
        let revoke = revoke.transpose().context("revoke_ms: is out of range")?;
        ensure!(
            revoke.is_none_or(|r| r >= MIN_REVOKE),
            "revoke_ms: must be {} or more",
            MIN_REVOKE.as_millis()
        );
        Ok(Self {
            revoke,
            quota,
            learns_capacity: raw.learn_capacity,
            shares_failures: contracts::shares_failures(&raw.contracts),
            instance: raw.instance.into(),
            zone: raw.zone.into(),
            callers: raw.caller_address.context("caller_address: is missing")?,
            ready: raw.ready_address.context("ready_address: is missing")?,
            peers: raw.peer_address.context("peer_address: is missing")?,
            metrics: raw.metrics_address,
            store: raw.store_address,
            seeds: raw.seeds,
            grace: Duration::from_secs_f64(raw.grace_s),
            retention: Duration::from_secs_f64(raw.status_s),
            memory: (raw.memory_mb * f64::from(1 << 20)) as usize,
        })
    }
}

impl From<RawSettings> for KeeperSettings {
    fn from(raw: RawSettings) -> Self {
        Self {
            instance: raw.instance.into(),
            store: raw.store_address,
        }
    }
}
