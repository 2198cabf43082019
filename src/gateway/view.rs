//! Local copy of the objects of a kind, built from a list and later changes (no I/O).

use std::time::Duration;

use crate::{
    adapter::store::{Change, Object},
    fnv,
    ids::Map,
};

use super::peers::ListVersion;

/// Time after an outage of the store within which entries that expired during the outage are
/// written again. The platform guarantees this bound.
const REAPPEAR_TIMEOUT: Duration = Duration::from_millis(2500);

/// Objects of a kind at a store revision.
#[derive(Debug, Default)]
pub struct View {
    /// Store revision that the view reflects.
    pub revision: u64,
    /// Revision of the newest change in the view.
    pub newest: u64,
    objects: Map<String, Object>,
    lapsed: Map<String, Object>,
    lapsed_until: Duration,
}

impl View {
    /// Replaces the view with a full list. A list older than the view is ignored, since it would
    /// bring back an earlier state.
    pub fn replace(&mut self, objects: Vec<Object>, revision: u64, now: Duration) {
        if revision < self.revision {
            return;
        }
        self.revision = revision;
        self.newest = objects
            .iter()
            .map(|o| o.revision)
            .fold(self.newest, u64::max);
        let fresh = objects.into_iter().map(|o| (o.name.clone(), o)).collect();
        let old = std::mem::replace(&mut self.objects, fresh);
        if now < self.lapsed_until {
            let gone = old
                .into_iter()
                .filter(|(n, _)| !self.objects.contains_key(n));
            self.lapsed.extend(gone);
        }
        self.lapsed.retain(|n, _| !self.objects.contains_key(n));
    }

    /// Applies changes up to a store revision.
    pub fn apply(&mut self, changes: Vec<Change>, revision: u64, now: Duration) {
        for change in changes {
            let name = change.object.name.clone();
            self.newest = self.newest.max(change.object.revision);
            let known = self.objects.get(&name);
            if known.is_some_and(|o| o.revision > change.object.revision) {
                continue;
            }
            if change.removed {
                let old = self.objects.remove(&name);
                if let Some(old) = old
                    && now < self.lapsed_until
                {
                    self.lapsed.insert(name, old);
                }
            } else {
                self.lapsed.remove(&name);
                self.objects.insert(name, change.object);
            }
        }
        self.revision = self.revision.max(revision);
    }

    /// Records that the store is back after an outage. Entries that disappear now are kept for a
    /// while, since they may come back.
    pub fn store_returned(&mut self, now: Duration) {
        self.lapsed_until = now + REAPPEAR_TIMEOUT;
    }

    /// Drops entries that did not come back in time, and returns whether there were any.
    pub fn expire(&mut self, now: Duration) -> bool {
        if self.lapsed.is_empty() || now < self.lapsed_until {
            return false;
        }
        self.lapsed.clear();
        true
    }

    /// Returns when the kept entries expire, or `None` when there are none.
    pub fn expires(&self) -> Option<Duration> {
        (!self.lapsed.is_empty()).then_some(self.lapsed_until)
    }

    /// Returns the objects that the store has at the revision of the view.
    pub fn listed(&self) -> impl Iterator<Item = &Object> {
        self.objects.values()
    }

    /// Returns the objects in use: those of the store and those that may come back.
    pub fn objects(&self) -> impl Iterator<Item = &Object> {
        self.objects.values().chain(self.lapsed.values())
    }

    /// Returns the names of the objects that are missing in the store and may come back.
    pub fn kept(&self) -> impl Iterator<Item = &String> {
        self.lapsed.keys()
    }

    /// Returns the version of the objects that the store has.
    pub fn version(&self) -> ListVersion {
        let hash = |o: &Object| fnv::hash32(o.name.bytes().chain(o.revision.to_le_bytes()));
        ListVersion {
            at: self.revision,
            newest: self.newest,
            digest: self.listed().map(hash).fold(0, |sum, h| sum ^ h),
        }
    }

    /// Returns an object.
    pub fn get(&self, name: &str) -> Option<&Object> {
        self.objects.get(name)
    }
}
