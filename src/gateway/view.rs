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
const REAPPEAR_TIMEOUT: Duration = Duration::from_secs(2);
/// Time that such an entry may take to arrive here. With it, a worker that left unseen in the outage
/// is out of use before the 3 s have passed after which the platform counts all calls as undisturbed.
const ARRIVAL_SLACK: Duration = Duration::from_millis(500);

/// Objects of a kind at a store revision.
#[derive(Debug, Default)]
pub struct View {
    /// Store revision that the view reflects.
    pub revision: u64,
    /// Revision of the newest change in the view.
    pub newest: u64,
    objects: Map<String, Object>,
    kept: Map<String, Kept>,
    /// Time until which an entry that disappears may come back.
    keep_until: Duration,
}

/// An entry that the store does not have but that may come back.
#[derive(Debug)]
struct Kept {
    object: Object,
    missed: Duration,
    until: Duration,
}

impl Kept {
    /// Keeps the entry longer, though not beyond the time that one may take to come back.
    fn prolong(&mut self, until: Duration) {
        self.until = self.until.max(until.min(self.missed + REAPPEAR_TIMEOUT));
    }
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
        for (name, object) in old {
            if !self.objects.contains_key(&name) {
                self.keep(name, object, now);
            }
        }
        self.kept.retain(|n, _| !self.objects.contains_key(n));
    }

    /// Applies changes up to a store revision.
    pub fn apply(&mut self, changes: Vec<Change>, revision: u64, now: Duration) {
        for change in changes {
            let name = change.object.name.clone();
            self.newest = self.newest.max(change.object.revision);
            // A list that came in the meantime already reflects the change, and may lack the entry
            // since it was removed later.
            let known = self
                .objects
                .get(&name)
                .map_or(self.revision, |o| o.revision);
            if known > change.object.revision {
                continue;
            }
            if change.removed {
                if let Some(old) = self.objects.remove(&name) {
                    self.keep(name, old, now);
                }
            } else {
                self.kept.remove(&name);
                self.objects.insert(name, change.object);
            }
        }
        self.revision = self.revision.max(revision);
    }

    /// Keeps an entry that disappeared if it may have expired in an outage.
    fn keep(&mut self, name: String, object: Object, now: Duration) {
        let mut kept = Kept {
            object,
            missed: now,
            until: now,
        };
        kept.prolong(self.keep_until);
        if now < kept.until {
            self.kept.insert(name, kept);
        }
    }

    /// Records that a call to the store failed that began at a time.
    ///
    /// The store may be back since then, but not earlier. The time to keep entries begins here and
    /// not with the first call that succeeds, which can be long after the return. An entry that a
    /// peer's list lacks can be missed while the call still waits.
    pub fn store_failed(&mut self, began: Duration) {
        let until = began + REAPPEAR_TIMEOUT + ARRIVAL_SLACK;
        self.keep_until = self.keep_until.max(until);
        let missed_since = self.kept.values_mut().filter(|k| began <= k.missed);
        missed_since.for_each(|k| k.prolong(until));
    }

    /// Drops entries that did not come back in time.
    pub fn expire(&mut self, now: Duration) {
        self.kept.retain(|_, k| now < k.until);
    }

    /// Returns until when an object may come back, or `None` when the store has it.
    pub fn kept_until(&self, name: &str) -> Option<Duration> {
        self.kept.get(name).map(|k| k.until)
    }

    /// Returns the objects that the store has at the revision of the view.
    pub fn listed(&self) -> impl Iterator<Item = &Object> {
        self.objects.values()
    }

    /// Returns the objects in use: those of the store and those that may come back.
    pub fn objects(&self) -> impl Iterator<Item = &Object> {
        let kept = self.kept.values().map(|k| &k.object);
        self.objects.values().chain(kept)
    }

    /// Returns the names of the objects that are missing in the store and may come back.
    pub fn kept(&self) -> impl Iterator<Item = &String> {
        self.kept.keys()
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
