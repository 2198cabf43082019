//! Answers of the instance list as deltas of its versioned view (pure).
//!
//! A service that numbers the changes of its list gives the view its versions, so that all
//! watchers number a change alike, a stale answer counts for nothing, and a restarted instance
//! spreads no second copy of the list. Without numbers a watcher takes the next one itself.

use serde::Serialize;
use serde_json::Value;

use crate::{
    ids::{Map, Version},
    instance_list::{InstanceList, ListAnswer, ListEvent},
    members::{entry_name, list_changes, target_name},
    platform::Change,
    spread::{Delta, KindView},
};

/// Versions of the service count from here. Versions that watchers take from their clocks are
/// lower, so a service that begins to number its list replaces them.
const SERVICE_BASE: Version = 1 << 62;
/// Bits below a version of the service. They number the differences that a whole list shows, of
/// which the service does not tell when they arose.
const DIFFERENCE_BITS: u32 = 20;
/// Versions of the service from which on they do not fit.
const SERVICE_LIMIT: Version = 1 << (62 - DIFFERENCE_BITS);

/// Returns the service's version up to which a view is complete; `None` when its versions are
/// not those of a service.
pub fn service_version(view: &KindView) -> Option<Version> {
    let above = view.version().checked_sub(SERVICE_BASE);
    above.map(|v| v >> DIFFERENCE_BITS)
}

/// Returns what an answer adds to a view; `None` when the answer is stale or changes nothing.
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

/// Compares the view with the list of its version. A difference is a change that was missed; it
/// gets the next number, so that it spreads.
fn missed(view: &KindView, list: &InstanceList) -> Delta {
    numbered(view, list, view.version())
}

/// Compares the view with a later list of a service that does not tell the changes between them.
/// A target that came and went between the two is not among them. Only another watcher can know
/// it; that one misses it on its own next list.
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

/// Takes the list instead of the view. It does not tell what was removed before, so that a peer
/// that is behind must get the whole view from here, or it would miss those removals.
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
