//! Content and changes of the instance list of the platform.

use std::{net::SocketAddr, sync::Arc};

use serde::{Deserialize, Deserializer, Serialize, de::DeserializeOwned};
use serde_json::value::RawValue;

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
    #[serde(deserialize_with = "readable")]
    pub entries: Vec<ListedEntry>,
    /// Targets.
    #[serde(deserialize_with = "readable")]
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
struct ListBody {
    version: Option<Version>,
    events: Option<Vec<Box<RawValue>>>,
    #[serde(default, deserialize_with = "readable")]
    entries: Vec<ListedEntry>,
    #[serde(default, deserialize_with = "readable")]
    targets: Vec<ListedTarget>,
}

/// Group, id and version of a change, whatever its content.
#[derive(Deserialize)]
struct EventKey<'a> {
    group: &'a str,
    id: Arc<str>,
    version: Version,
}

/// Reads the entries of a list that can be read. Another writer may have left others there.
fn readable<'de, D, T>(deserializer: D) -> Result<Vec<T>, D::Error>
where
    D: Deserializer<'de>,
    T: DeserializeOwned,
{
    let entries: Vec<Box<RawValue>> = Vec::deserialize(deserializer)?;
    Ok(entries.iter().filter_map(|e| read(e)).collect())
}

/// Reads a change. One whose content cannot be read counts as a removal, since the earlier content no
/// longer holds.
fn read_event(raw: &RawValue) -> Option<ListEvent> {
    if let Ok(event) = serde_json::from_str(raw.get()) {
        return Some(event);
    }
    let key: EventKey<'_> = read(raw)?;
    let (id, version) = (key.id, key.version);
    match key.group {
        "entries" => Some(ListEvent::Entries {
            id,
            version,
            value: None,
        }),
        "targets" => Some(ListEvent::Targets {
            id,
            version,
            value: None,
        }),
        _ => None,
    }
}

fn read<'a, T: Deserialize<'a>>(raw: &'a RawValue) -> Option<T> {
    let entry = serde_json::from_str(raw.get());
    entry
        .inspect_err(|e| log::warn!("an entry of the instance list cannot be read: {e}"))
        .ok()
}

impl ListAnswer {
    /// Decodes the answer to a request for the changes after a version.
    ///
    /// # Errors
    ///
    /// Returns an error when the body is neither changes nor a list. Entries that cannot be read are
    /// left out.
    pub fn decode(body: &[u8], since: Version) -> serde_json::Result<Self> {
        let body: ListBody = serde_json::from_slice(body)?;
        Ok(body.answer(since))
    }
}

impl ListBody {
    fn answer(self, since: Version) -> ListAnswer {
        match (self.version, self.events) {
            (Some(version), Some(events)) => ListAnswer::Changes {
                since,
                version,
                events: events.iter().filter_map(|e| read_event(e)).collect(),
            },
            (version, _) => ListAnswer::Unfiltered(InstanceList {
                version,
                entries: self.entries,
                targets: self.targets,
            }),
        }
    }
}
