//! Settings of an instance on a platform with its own registry of routes and workers: raw JSON to
//! checked values.

use std::{net::SocketAddr, time::Duration};

use anyhow::{Context, ensure};
use serde::Deserialize;

use crate::{
    ids::{InstanceId, Zone},
    uri,
};

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
        Ok(Self {
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
