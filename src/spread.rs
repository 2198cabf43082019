//! Versioned views of watched kinds, and the deltas by which peers keep them in step.

use std::{collections::BTreeMap, sync::Arc};

use crate::{
    ids::{Map, Version},
    platform::{Change, Changes, Listing, Object},
};

/// Maximum number of removals that a view records. A peer that is further behind gets the full
/// view.
const REMOVALS_KEPT: usize = 4096;
/// Maximum number of changes in a delta that is not the full view. A peer that is further behind
/// pulls again.
const DELTA_LIMIT: usize = 2048;

/// A kind of objects that is watched and passed on between instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Watched {
    /// The sheet log.
    Sheet,
    /// Batch jobs.
    Job,
    /// The instance list, with versions that are assigned by its service or by the watchers.
    Instances,
}

impl Watched {
    /// All watched kinds.
    pub const ALL: [Watched; 3] = [Watched::Sheet, Watched::Job, Watched::Instances];

    /// Returns the name of the kind in messages.
    pub fn as_str(self) -> &'static str {
        match self {
            Watched::Sheet => "sheet",
            Watched::Job => "job",
            Watched::Instances => "instances",
        }
    }

    /// Returns the kind with a name in messages; `None` for a kind of a later release.
    pub fn parse(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|k| k.as_str() == name)
    }
}

/// Changes between two versions of a view.
#[derive(Debug, Clone, PartialEq)]
pub struct Delta {
    /// Version that the changes apply to; 0 for a full delta.
    pub since: Version,
    /// Version after the changes.
    pub version: Version,
    /// Whether the delta is the full view, so that objects which it lacks do not exist.
    pub full: bool,
    /// Changed and removed objects.
    pub changes: Vec<Change>,
}

/// The objects of one kind, complete up to a version. It may also contain some later objects.
#[derive(Debug, Clone, Default)]
pub struct KindView {
    version: Version,
    latest: Version,
    /// Version up to which removals are no longer recorded. Peers below it need the full view.
    floor: Version,
    objects: Map<Arc<str>, Arc<Object>>,
    removed: BTreeMap<Version, Arc<str>>,
}

impl Delta {
    /// Builds the delta of a full listing.
    ///
    /// Pages of a listing are read one after the other, so its version is that of the first page.
    pub fn of_listing(listing: Listing) -> Self {
        let objects = listing.items.into_iter();
        Self {
            since: 0,
            version: listing.version,
            full: true,
            changes: objects.map(Change::from).collect(),
        }
    }

    /// Builds the delta of a watch answer.
    pub fn of_watch(since: Version, changes: Changes) -> Self {
        Self {
            since,
            version: changes.version,
            full: false,
            changes: changes.events,
        }
    }
}

impl From<Object> for Change {
    fn from(object: Object) -> Self {
        Self {
            name: object.name,
            version: object.version,
            value: Some(object.value),
        }
    }
}

impl KindView {
    /// Returns the version up to which the view is complete.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the version of the latest change in the complete part. Peers compare this version,
    /// because that of the store also advances when other kinds change.
    pub fn latest(&self) -> Version {
        self.latest
    }

    /// Returns the objects by name.
    pub fn objects(&self) -> &Map<Arc<str>, Arc<Object>> {
        &self.objects
    }

    /// Returns whether a peer with this latest change has changes that the view lacks.
    pub fn is_behind(&self, latest: Version) -> bool {
        latest > self.version
    }

    /// Merges a delta and returns whether an object changed. A delta that leaves a gap or does not
    /// advance the version is ignored, so the view never reverts.
    pub fn merge(&mut self, delta: Delta) -> bool {
        let gap = !delta.full && delta.since > self.version;
        if gap || delta.version <= self.version {
            return false;
        }
        let mut changed = delta.full && self.drop_absent(&delta);
        for change in delta.changes {
            if change.version <= delta.version {
                self.latest = self.latest.max(change.version);
            }
            changed |= self.apply(change);
        }
        self.version = delta.version;
        changed
    }

    /// Returns the changes that a view lacks which is complete up to `since`.
    pub fn delta_since(&self, since: Version) -> Delta {
        let full = since < self.floor;
        let newer = self.objects.values().filter(|o| full || o.version > since);
        let mut changes: Vec<Change> = newer.map(|o| Change::from(Object::clone(o))).collect();
        if !full {
            let removed = self.removed.range(since + 1..);
            changes.extend(removed.map(|(v, name)| removal(name.clone(), *v)));
        }
        changes.sort_by_key(|c| c.version);
        let mut version = self.version;
        if !full && changes.len() > DELTA_LIMIT {
            changes.truncate(DELTA_LIMIT);
            version = changes.last().map_or(version, |c| c.version.min(version));
        }
        Delta {
            since: if full { 0 } else { since },
            version,
            full,
            changes,
        }
    }

    /// Merges objects that were read individually and returns whether one changed. The version of
    /// the view stays, because such reads show nothing about other objects.
    pub fn merge_objects(&mut self, objects: Vec<Object>) -> bool {
        let taken = objects.into_iter().map(|o| self.apply(Change::from(o)));
        taken.fold(false, |changed, object_changed| changed | object_changed)
    }

    /// Replaces objects by one that summarizes them and has the version of the last of them.
    pub fn compact(&mut self, replaced: impl Fn(&str) -> bool, by: Object) {
        self.objects.retain(|name, _| !replaced(name));
        self.objects.insert(by.name.clone(), by.into());
    }

    /// Applies a change if its version is higher than the known one.
    fn apply(&mut self, change: Change) -> bool {
        let known = self.objects.get(&change.name).map(|o| o.version);
        let removed = self.removed.iter().find(|(_, name)| **name == change.name);
        let removed = removed.map(|(v, _)| *v);
        if known.max(removed) >= Some(change.version) {
            return false;
        }
        if let Some(version) = removed {
            self.removed.remove(&version);
        }
        match change.value {
            Some(value) => {
                let object = Object {
                    name: change.name.clone(),
                    version: change.version,
                    value,
                };
                self.objects.insert(change.name, object.into());
                true
            }
            None => {
                self.record_removal(change.version, change.name.clone());
                self.objects.remove(&change.name).is_some()
            }
        }
    }

    fn record_removal(&mut self, version: Version, name: Arc<str>) {
        self.removed.insert(version, name);
        while self.removed.len() > REMOVALS_KEPT {
            let Some((oldest, _)) = self.removed.pop_first() else {
                return;
            };
            self.floor = oldest;
        }
    }

    /// Removes the objects that are absent from a full delta. The versions of their removals are
    /// unknown, so peers that may still have them get the full view.
    fn drop_absent(&mut self, delta: &Delta) -> bool {
        let names: crate::ids::Set<&str> = delta.changes.iter().map(|c| &*c.name).collect();
        let before = self.objects.len();
        self.objects
            .retain(|name, o| o.version > delta.version || names.contains(&**name));
        self.removed = self.removed.split_off(&(delta.version + 1));
        self.floor = delta.version;
        self.objects.len() != before
    }
}

fn removal(name: Arc<str>, version: Version) -> Change {
    Change {
        name,
        version,
        value: None,
    }
}
