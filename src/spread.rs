//! Versioned views of watched kinds: what is known, what peers lack, what to take from them.

use std::{collections::BTreeMap, sync::Arc};

use crate::{
    ids::{Map, Version},
    platform::{Change, Changes, Listing, Object},
};

/// Removals that a view remembers; a peer that is further behind gets the whole view.
const REMOVALS_KEPT: usize = 4096;
/// Changes in one delta at most, unless it is the whole view; a peer that is further behind asks
/// again.
const DELTA_LIMIT: usize = 2048;

/// A watched kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Watched {
    /// The sheet log.
    Sheet,
    /// Batch jobs.
    Job,
    /// The instance list, versioned by the watchers that read it.
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

    /// Returns the kind with a name; `None` for a kind of a later release.
    pub fn parse(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|k| k.as_str() == name)
    }
}

/// Changes that lead a view from one version to another.
#[derive(Debug, Clone, PartialEq)]
pub struct Delta {
    /// Version that the changes follow; 0 when they are the whole kind.
    pub since: Version,
    /// Version that they lead to.
    pub version: Version,
    /// Whether objects that are not among the changes do not exist.
    pub full: bool,
    /// Changes.
    pub changes: Vec<Change>,
}

/// The objects of one kind, complete up to a version. It may know some later objects as well.
#[derive(Debug, Clone, Default)]
pub struct KindView {
    version: Version,
    latest: Version,
    floor: Version,
    objects: Map<Arc<str>, Arc<Object>>,
    removed: BTreeMap<Version, Arc<str>>,
}

impl Delta {
    /// Builds the delta of a full listing.
    ///
    /// Pages of a listing are read one after the other, so `version` is that of the first page.
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

    /// Returns the version of the latest change within the complete part. Peers compare this one:
    /// the version of the store also moves when other kinds change.
    pub fn latest(&self) -> Version {
        self.latest
    }

    /// Returns the objects by name.
    pub fn objects(&self) -> &Map<Arc<str>, Arc<Object>> {
        &self.objects
    }

    /// Returns whether a peer with this latest change knows something that the view lacks.
    pub fn is_behind(&self, latest: Version) -> bool {
        latest > self.version
    }

    /// Takes over a delta and returns whether an object changed. A delta that leaves a gap or leads
    /// to no later version is ignored, so the view never goes back.
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

    /// Returns what a view that is complete up to `since` lacks.
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

    /// Takes over objects that were read one by one. They say nothing about other objects, so the
    /// view is not more complete than before.
    pub fn merge_objects(&mut self, objects: Vec<Object>) -> bool {
        let taken = objects.into_iter().map(|o| self.apply(Change::from(o)));
        taken.fold(false, |changed, object_changed| changed | object_changed)
    }

    /// Replaces objects by one that stands for them, with the version of the last of them.
    pub fn compact(&mut self, replaced: impl Fn(&str) -> bool, by: Object) {
        self.objects.retain(|name, _| !replaced(name));
        self.objects.insert(by.name.clone(), by.into());
    }

    /// Takes over a change; only a higher version than the known one counts.
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

    /// Removes the objects that a full delta does not have. When they were removed is not known,
    /// so peers that may have them get the whole view.
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
