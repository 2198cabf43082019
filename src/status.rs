//! What control tells the operators' interface.

use std::{net::SocketAddr, sync::Arc};

use arc_swap::ArcSwap;
use serde::Serialize;

use crate::{
    ids::{InstanceId, ModelId, Revision, SessionId, Version, WorkerId, Zone},
    sheet_log::SheetLog,
};

/// State of control at one moment.
#[derive(Debug, Default)]
pub struct Status {
    /// The sheet log as far as it is known.
    pub log: Arc<SheetLog>,
    /// Whether a sheet is in force or the platform answered that there is none.
    pub informed: bool,
    /// What `GET /status` shows of it.
    pub report: Report,
}

/// The latest status, replaced by control and read by the operators' interface.
pub type SharedStatus = Arc<ArcSwap<Status>>;

/// Part of the status that operators see.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Report {
    /// Sheet in force.
    pub sheet: SheetReport,
    /// Entry instances, with this one.
    pub members: Vec<MemberReport>,
    /// Workers.
    pub workers: Vec<WorkerReport>,
    /// Views of watched kinds.
    pub views: Vec<ViewReport>,
    /// Calls of other entry instances.
    pub peers: PeerCounts,
}

/// The sheet in a status.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct SheetReport {
    /// Revision in force.
    pub revision: Revision,
    /// Last revision in the log.
    pub head: Revision,
    /// Why the last revision is not in force.
    pub fault: Option<Arc<str>>,
}

/// An entry instance in a status.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct MemberReport {
    /// Name.
    pub instance: InstanceId,
    /// Run.
    pub session: SessionId,
    /// Availability zone.
    pub zone: Zone,
    /// Address for other entry instances.
    pub address: SocketAddr,
    /// Whether it takes work.
    pub live: bool,
    /// Whether it is about to stop.
    pub leaving: bool,
}

/// A worker in a status.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct WorkerReport {
    /// Name.
    pub worker: WorkerId,
    /// Availability zone.
    pub zone: Zone,
    /// Batch owner.
    pub owner: Option<InstanceId>,
    /// Model that is loaded.
    pub model: Option<ModelId>,
    /// Streams that it runs at most at once.
    pub slots: u32,
    /// Streams that it runs, as last reported.
    pub running: u32,
    /// Requests that it has admitted and not started, as last reported.
    pub waiting: u32,
    /// Whether it is about to stop.
    pub leaving: bool,
}

/// A view of a watched kind in a status.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ViewReport {
    /// Kind.
    pub kind: &'static str,
    /// Version up to which it is complete.
    pub version: Version,
    /// Version of its latest change.
    pub latest: Version,
    /// Number of objects.
    pub objects: usize,
    /// Whether this instance watches it at the platform.
    pub watched: bool,
}

/// Calls of other entry instances in a status.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct PeerCounts {
    /// Exchanges that were answered.
    pub exchanges: u64,
    /// Exchanges that failed.
    pub failures: u64,
    /// Exchanges that others began.
    pub received: u64,
    /// Pulls of changes.
    pub pulls: u64,
}
