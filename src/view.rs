//! What control publishes for traffic: an immutable view of the fleet and the sheet.

use std::{net::SocketAddr, sync::Arc};

use arc_swap::ArcSwap;

use crate::{
    ids::{InstanceId, JobId, Map, ModelId, Revision, ServiceId, TargetId, WorkerId, Zone},
    platform::Object,
    sheet::Sheet,
};

/// A worker as control knows it.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkerInfo {
    /// Name.
    pub id: WorkerId,
    /// Address of the engine.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Zone,
    /// Model that it has loaded, as last reported.
    pub model: Option<ModelId>,
    /// Version of the model.
    pub version: Arc<str>,
    /// Streams that it runs at most at once.
    pub slots: u32,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Entry instance that may send it batch work.
    pub owner: Option<InstanceId>,
}

/// A target of a plain service as control knows it.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceTarget {
    /// Name.
    pub id: TargetId,
    /// Service.
    pub service: ServiceId,
    /// Address.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Zone,
    /// Whether it takes no new work.
    pub leaving: bool,
}

/// The fleet and the sheet at one moment.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// Revision of the sheet; 0 before the first.
    pub revision: Revision,
    /// The sheet.
    pub sheet: Arc<Sheet>,
    /// Workers.
    pub workers: Vec<WorkerInfo>,
    /// Targets of plain services.
    pub services: Vec<ServiceTarget>,
    /// Batch jobs, as they stand in the object service.
    pub jobs: Map<JobId, Arc<Object>>,
    /// Peer addresses of the other live entry instances.
    pub peers: Map<InstanceId, SocketAddr>,
}

/// The latest view, replaced by control and read by traffic without waiting.
pub type SharedView = Arc<ArcSwap<View>>;
