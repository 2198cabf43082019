//! Immutable view of the fleet and the sheet, published by the control thread for traffic.

use std::{net::SocketAddr, sync::Arc};

use arc_swap::ArcSwap;

use crate::{
    ids::{InstanceId, JobId, Map, ModelId, Revision, ServiceId, TargetId, WorkerId, Zone},
    platform::Object,
    sheet::Sheet,
};

/// State of a worker in a view.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkerInfo {
    /// Name.
    pub id: WorkerId,
    /// Address of the engine.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Zone,
    /// Loaded model according to the last report.
    pub model: Option<ModelId>,
    /// Version of the model.
    pub version: Arc<str>,
    /// Maximum number of concurrent streams.
    pub slots: u32,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Entry instance that may send it batch work.
    pub owner: Option<InstanceId>,
}

/// State of a target of a plain service in a view.
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

/// Snapshot of the fleet and the sheet.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// Revision of the sheet; 0 before the first.
    pub revision: Revision,
    /// The sheet.
    pub sheet: Arc<Sheet>,
    /// Workers, sorted by name.
    pub workers: Vec<WorkerInfo>,
    /// Targets of plain services, sorted by name.
    pub services: Vec<ServiceTarget>,
    /// Batch jobs as stored in the object service.
    pub jobs: Map<JobId, Arc<Object>>,
    /// Peer addresses of the other live entry instances.
    pub peers: Map<InstanceId, SocketAddr>,
}

/// The latest view, replaced by the control thread and read by traffic without locking.
pub type SharedView = Arc<ArcSwap<View>>;
