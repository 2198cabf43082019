//! Status that the control thread publishes for the operators' interface.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use arc_swap::ArcSwap;
use serde::Serialize;

use crate::{
    control_state::State,
    ids::{InstanceId, ModelId, Revision, SessionId, Version, WorkerId, Zone},
    members::Identity,
    sheet_log::SheetLog,
    spread::Watched,
    view::{View, WorkerInfo},
};

/// Snapshot of the state of the control thread.
#[derive(Debug, Default)]
pub struct Status {
    /// Sheet log up to the last revision that is known here.
    pub log: Arc<SheetLog>,
    /// Whether a sheet is in force or the platform answered that there is none.
    pub initialized: bool,
    /// What `GET /status` shows of it.
    pub report: Report,
}

/// Latest status, replaced by the control thread and read by the operators' interface.
pub type SharedStatus = Arc<ArcSwap<Status>>;

/// Part of the status that operators can read.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize)]
pub struct Report {
    /// Sheet in force.
    pub sheet: SheetReport,
    /// Entry instances, including this one.
    pub members: Vec<MemberReport>,
    /// Workers.
    pub workers: Vec<WorkerReport>,
    /// Views of watched kinds.
    pub views: Vec<ViewReport>,
    /// Calls between this and other entry instances.
    pub peers: PeerCounts,
}

/// The sheet in a status.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize)]
pub struct SheetReport {
    /// Revision in force.
    pub revision: Revision,
    /// Last revision in the log.
    pub head: Revision,
    /// Why the last revision is not in force.
    pub fault: Option<Arc<str>>,
}

/// An entry instance in a status.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct MemberReport {
    /// Name.
    pub instance: InstanceId,
    /// Session, which changes with each restart.
    pub session: SessionId,
    /// Availability zone.
    pub zone: Zone,
    /// Address for other entry instances.
    pub address: SocketAddr,
    /// Whether it is live and takes work.
    pub live: bool,
    /// Whether it is about to stop.
    pub leaving: bool,
}

/// A worker in a status.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct WorkerReport {
    /// Name.
    pub worker: WorkerId,
    /// Availability zone.
    pub zone: Zone,
    /// Batch owner.
    pub owner: Option<InstanceId>,
    /// Model that is loaded.
    pub model: Option<ModelId>,
    /// Maximum number of streams that it runs at once.
    pub slots: u32,
    /// Running streams, as last reported.
    pub running: u32,
    /// Requests that are admitted and not started, as last reported.
    pub waiting: u32,
    /// Whether it is about to stop.
    pub leaving: bool,
}

/// A view of a watched kind in a status.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
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

/// Calls between entry instances in a status.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct PeerCounts {
    /// Exchanges started here that were answered.
    pub exchanges: u64,
    /// Exchanges started here that failed.
    pub failures: u64,
    /// Exchanges started by other instances.
    pub received: u64,
    /// Pulls of changes.
    pub pulls: u64,
}

/// Returns the report on a state and the view that was published from it.
pub fn report(state: &State, view: &View, now: Duration) -> Report {
    Report {
        sheet: SheetReport {
            revision: view.revision,
            head: state.log.head().revision,
            fault: state.log.fault().cloned(),
        },
        members: member_reports(state, now),
        workers: view
            .workers
            .iter()
            .map(|w| worker_report(state, w))
            .collect(),
        views: Watched::ALL
            .iter()
            .map(|k| view_report(state, *k))
            .collect(),
        peers: state.counts,
    }
}

fn member_reports(state: &State, now: Duration) -> Vec<MemberReport> {
    let report = |i: &Identity, live| MemberReport {
        instance: i.id.clone(),
        session: i.session,
        zone: i.zone.clone(),
        address: i.address,
        live,
        leaving: i.leaving,
    };
    let local = state.members.local();
    let others = state.members.entries();
    let others = others.map(|m| report(&m.identity, state.members.is_live(m, now)));
    let mut reports: Vec<_> = others.chain([report(local, !local.leaving)]).collect();
    reports.sort_by(|a, b| a.instance.cmp(&b.instance));
    reports
}

fn worker_report(state: &State, info: &WorkerInfo) -> WorkerReport {
    let load = state.loads.get(&info.id).map(|k| &k.load);
    WorkerReport {
        worker: info.id.clone(),
        zone: info.zone.clone(),
        owner: info.owner.clone(),
        model: info.model.clone(),
        slots: info.slots,
        running: load.map_or(0, |l| l.online + l.batch),
        waiting: load.map_or(0, |l| l.waiting),
        leaving: info.leaving,
    }
}

fn view_report(state: &State, kind: Watched) -> ViewReport {
    let view = state.view(kind);
    ViewReport {
        kind: kind.as_str(),
        version: view.version(),
        latest: view.latest(),
        objects: view.objects().len(),
        watched: state.is_watcher(),
    }
}
