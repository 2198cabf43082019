//! The objects of a kind as a list and its later changes give them (pure).

use std::time::Duration;

use crate::{
    adapter::store::{Change, Object},
    fnv,
    ids::Map,
};

use super::peers::Edition;

/// Time in which entries that lapsed while the store was away come back after its return. It is
/// the platform's bound.
const LAPSED_FOR: Duration = Duration::from_millis(2500);

/// Objects of a kind.
#[derive(Debug, Default)]
pub struct View {
    /// Revision of the store that the view shows.
    pub at: u64,
    /// Revision of the newest change that the view shows.
    pub newest: u64,
    objects: Map<String, Object>,
    lapsed: Map<String, Object>,
    lapsed_until: Duration,
}

impl View {
    /// Takes a whole list. An older one than the view shows is ignored, since it would bring back
    /// an earlier state.
    pub fn replace(&mut self, objects: Vec<Object>, at: u64, now: Duration) {
        if at < self.at {
            return;
        }
        self.at = at;
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

    /// Takes changes.
    pub fn apply(&mut self, changes: Vec<Change>, at: u64, now: Duration) {
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
        self.at = self.at.max(at);
    }

    /// Notes that the store is back after an outage; entries that are missing now may come back.
    pub fn store_returned(&mut self, now: Duration) {
        self.lapsed_until = now + LAPSED_FOR;
    }

    /// Drops entries that did not come back in time; says whether there were any.
    pub fn expire(&mut self, now: Duration) -> bool {
        if self.lapsed.is_empty() || now < self.lapsed_until {
            return false;
        }
        self.lapsed.clear();
        true
    }

    /// Returns when entries that are missing now count as gone; nothing when none is missing.
    pub fn expires(&self) -> Option<Duration> {
        (!self.lapsed.is_empty()).then_some(self.lapsed_until)
    }

    /// Returns the objects, with those that may come back.
    pub fn objects(&self) -> impl Iterator<Item = &Object> {
        self.objects.values().chain(self.lapsed.values())
    }

    /// Returns the edition of the objects, with those that may come back.
    pub fn edition(&self) -> Edition {
        let hash = |o: &Object| fnv::hash32(o.name.bytes().chain(o.revision.to_le_bytes()));
        Edition {
            at: self.at,
            newest: self.newest,
            digest: self.objects().map(hash).fold(0, |sum, h| sum ^ h),
        }
    }

    /// Returns an object.
    pub fn get(&self, name: &str) -> Option<&Object> {
        self.objects.get(name)
    }
}
