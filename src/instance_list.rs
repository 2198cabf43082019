//! Content and changes of the instance list of the platform.

use std::{net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::ids::{InstanceId, SessionId, TargetId, Version, Zone};

/// State of an instance or target in the instance list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ListState {
    /// Accepts work.
    #[default]
    Live,
    /// Is about to stop and accepts no new work.
    Leaving,
}

/// An entry instance in the instance list.
#[derive(Debug, Clone, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ListedEntry {
    /// Name of the instance.
    pub id: InstanceId,
    /// Run of the instance.
    pub session: SessionId,
    /// Address for callers.
    pub address: SocketAddr,
    /// Address for other entry instances.
    pub peer_address: SocketAddr,
    /// Availability zone.
    pub zone: Zone,
    /// State.
    #[serde(default)]
    pub state: ListState,
}

/// Kind of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum TargetKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// A target in the instance list.
#[derive(Debug, Clone, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ListedTarget {
    /// Name of the target.
    pub id: TargetId,
    /// Kind.
    pub kind: TargetKind,
    /// Service that a plain service target serves; empty for an engine.
    #[serde(default)]
    pub service: Arc<str>,
    /// Address.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Zone,
    /// State.
    #[serde(default)]
    pub state: ListState,
}

/// The instance list. It may lag behind the actual state of the fleet.
#[derive(Debug, Clone, Default)]
#[derive(Deserialize)]
pub struct InstanceList {
    /// Version of the list; `None` when the service does not number its changes.
    #[serde(default)]
    pub version: Option<Version>,
    /// Entry instances.
    pub entries: Vec<ListedEntry>,
    /// Targets.
    pub targets: Vec<ListedTarget>,
}

/// One change of the instance list.
#[derive(Debug, Clone, PartialEq)]
#[derive(Deserialize)]
#[serde(tag = "group", rename_all = "lowercase")]
pub enum ListEvent {
    /// An entry instance changed or was removed.
    Entries {
        /// Name of the instance.
        id: InstanceId,
        /// Version of the change.
        version: Version,
        /// New content; `None` when it was removed.
        value: Option<ListedEntry>,
    },
    /// A target changed or was removed.
    Targets {
        /// Name of the target.
        id: TargetId,
        /// Version of the change.
        version: Version,
        /// New content; `None` when it was removed.
        value: Option<ListedTarget>,
    },
}

/// Answer to a read of the instance list after a version.
#[derive(Debug, Clone)]
pub enum ListAnswer {
    /// Nothing changed.
    Unchanged,
    /// Changes after a version.
    Changes {
        /// Version that the changes apply to.
        since: Version,
        /// Version up to which they are complete.
        version: Version,
        /// Changes in the order of their versions.
        events: Vec<ListEvent>,
    },
    /// The full list, as requested.
    Whole(InstanceList),
    /// The full list in answer to a request for changes, which the service does not support.
    Unfiltered(InstanceList),
}

/// Answer of a service that may or may not support the parameter `since`.
#[derive(Deserialize)]
pub(crate) struct ListBody {
    version: Option<Version>,
    events: Option<Vec<ListEvent>>,
    #[serde(default)]
    entries: Vec<ListedEntry>,
    #[serde(default)]
    targets: Vec<ListedTarget>,
}

impl ListBody {
    /// Converts the body to the answer to a request for the changes after a version.
    pub(crate) fn answer(self, since: Version) -> ListAnswer {
        match (self.version, self.events) {
            (Some(version), Some(events)) => ListAnswer::Changes {
                since,
                version,
                events,
            },
            (version, _) => ListAnswer::Unfiltered(InstanceList {
                version,
                entries: self.entries,
                targets: self.targets,
            }),
        }
    }
}
