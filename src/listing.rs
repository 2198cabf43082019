//! Conversion of instance list answers to deltas of the versioned view (pure functions).
//!
//! If the service numbers the changes of its list, the view uses its versions: all watchers give a
//! change the same version, stale answers are ignored, and a restarted instance does not pass on a
//! second copy of the list. Otherwise a watcher assigns the next version itself.

use serde::Serialize;
use serde_json::Value;

use crate::{
    ids::{Map, Version},
    instance_list::{InstanceList, ListAnswer, ListEvent},
    members::{entry_name, list_changes, target_name},
    platform::Change,
    spread::{Delta, KindView},
};

/// Offset of the versions of the service in the view. Versions that watchers take from their clocks
/// are lower, so they are superseded when a service begins to number its list.
const SERVICE_BASE: Version = 1 << 62;
/// Number of low bits below a version of the service. They number the differences that a full list
/// shows, whose versions the service does not report.
const DIFFERENCE_BITS: u32 = 20;
/// First version of the service that does not fit into a view version.
const SERVICE_LIMIT: Version = 1 << (62 - DIFFERENCE_BITS);

/// Returns the version of the service up to which a view is complete; `None` when the view does not
/// use versions of a service.
pub fn service_version(view: &KindView) -> Option<Version> {
    let above = view.version().checked_sub(SERVICE_BASE);
    above.map(|v| v >> DIFFERENCE_BITS)
}

/// Returns the delta of an answer to a view; `None` when the answer is stale or changes nothing.
pub fn delta_of(view: &KindView, answer: &ListAnswer, now_ms: u64) -> Option<Delta> {
    match answer {
        ListAnswer::Unchanged => None,
        ListAnswer::Changes {
            since,
            version,
            events,
        } => of_changes(*since, *version, events),
        ListAnswer::Whole(list) => of_list(view, list, now_ms, true),
        ListAnswer::Unfiltered(list) => of_list(view, list, now_ms, view.version() == 0),
    }
}

fn of_list(view: &KindView, list: &InstanceList, now_ms: u64, replace: bool) -> Option<Delta> {
    let Some(version) = list.version.and_then(view_version) else {
        return of_unnumbered(view, list, now_ms);
    };
    let known = service_version(view).and_then(view_version);
    match known {
        Some(known) if known == version => Some(missed(view, list)),
        _ if version <= view.version() => None,
        _ if replace => Some(whole(list, version)),
        _ => Some(differences(view, list, version)),
    }
}

fn view_version(version: Version) -> Option<Version> {
    let fits = version < SERVICE_LIMIT;
    fits.then(|| SERVICE_BASE + (version << DIFFERENCE_BITS))
}

fn of_changes(since: Version, version: Version, events: &[ListEvent]) -> Option<Delta> {
    let changes = events.iter().map(change_of).collect::<Option<_>>()?;
    Some(Delta {
        since: view_version(since)?,
        version: view_version(version)?,
        full: false,
        changes,
    })
}

fn change_of(event: &ListEvent) -> Option<Change> {
    let (name, version, value) = match event {
        ListEvent::Entries { id, version, value } => (entry_name(id), version, json(value)),
        ListEvent::Targets { id, version, value } => (target_name(id), version, json(value)),
    };
    Some(Change {
        name: name.into(),
        version: view_version(*version)?,
        value,
    })
}

fn json(value: &Option<impl Serialize>) -> Option<Value> {
    value.as_ref().and_then(|v| serde_json::to_value(v).ok())
}

/// Compares the view with the list of the same version. A difference is a missed change; it gets
/// the next number, so that peers pull it.
fn missed(view: &KindView, list: &InstanceList) -> Delta {
    numbered(view, list, view.version())
}

/// Compares the view with a later list of a service that does not report changes. The result lacks
/// a target that was added and removed between the two. Only another watcher can have seen that
/// target, and it finds the target missing in its own next list.
fn differences(view: &KindView, list: &InstanceList, version: Version) -> Delta {
    let delta = numbered(view, list, 0);
    let before = version - delta.changes.len() as Version;
    Delta {
        version,
        changes: delta
            .changes
            .into_iter()
            .map(|c| after(before, c))
            .collect(),
        ..delta
    }
}

fn numbered(view: &KindView, list: &InstanceList, before: Version) -> Delta {
    let changes = list_changes(view.objects(), list, before, 0);
    Delta {
        since: view.version(),
        version: before + changes.len() as Version,
        full: false,
        changes,
    }
}

/// Replaces the view by the list. The list does not show earlier removals, so a peer that is behind
/// must get the full view from this instance.
fn whole(list: &InstanceList, version: Version) -> Delta {
    let changes = list_changes(&Map::default(), list, 0, 0);
    let before = version - changes.len() as Version;
    Delta {
        since: 0,
        version,
        full: true,
        changes: changes.into_iter().map(|c| after(before, c)).collect(),
    }
}

fn after(before: Version, change: Change) -> Change {
    Change {
        version: before + change.version,
        ..change
    }
}

fn of_unnumbered(view: &KindView, list: &InstanceList, now_ms: u64) -> Option<Delta> {
    let changes = list_changes(view.objects(), list, view.version(), now_ms);
    let first = view.version() == 0;
    Some(Delta {
        since: view.version(),
        version: changes.last()?.version,
        full: first,
        changes,
    })
}
