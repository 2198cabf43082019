//! Which entry instances and targets there are, from the instance list, heartbeats and reports.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use serde_json::Value;

use crate::{
    ids::{InstanceId, Map, SessionId, Set, TargetId, Version, Zone},
    instance_list::{InstanceList, ListState, ListedEntry, ListedTarget},
    ownership,
    platform::{Change, Object},
};

/// Time without a heartbeat after which an instance is not live. With an exchange every second the
/// oldest heartbeat in a zone of 46 instances was 6.0 s old in a calculation of 60 s.
pub const HEARTBEAT_LIMIT: Duration = Duration::from_secs(7);
/// Heartbeats in a digest at most, so that digests stay small.
const HEARD_SENT: usize = 16;
/// Prefix of entry instances in the versioned instance list.
const ENTRY_PREFIX: &str = "entry.";
/// Prefix of targets in the versioned instance list.
const TARGET_PREFIX: &str = "target.";

/// Hash of an instance and its run. With 32 bits a heartbeat takes 8 bytes instead of 16, and two of
/// 370 runs collide once in 60,000 fleets.
pub type RunHash = u32;

/// Who an instance is, as it says itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// Name.
    pub id: InstanceId,
    /// Run.
    pub session: SessionId,
    /// Availability zone.
    pub zone: Zone,
    /// Address for other entry instances.
    pub address: SocketAddr,
    /// Whether it is about to stop.
    pub leaving: bool,
}

/// A heartbeat that an instance passes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Heard {
    /// Hash of instance and session.
    pub run: RunHash,
    /// Time since the heartbeat.
    pub age: Duration,
}

/// An entry instance as it is known here.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// What it or the instance list says of it.
    pub identity: Identity,
    /// When it appeared on the instance list; nothing when it is not on it.
    pub listed: Option<Duration>,
    /// Its last heartbeat.
    pub heard: Option<Duration>,
}

/// Entry instances and targets, without this instance itself.
#[derive(Debug, Clone)]
pub struct Members {
    me: Identity,
    entries: Map<InstanceId, Member>,
    targets: Map<TargetId, ListedTarget>,
    /// Runs that were once leaving. A lagging list may show them as live again. At about a
    /// thousand restarts a day the set stays small.
    left: Set<RunHash>,
}

/// Returns the hash of an instance and its run.
pub fn run_hash(id: &str, session: SessionId) -> RunHash {
    ownership::score(id, &session.to_string()) as RunHash
}

/// Returns the changes that lead from the known objects to a list that was just read.
///
/// Without versions of the service a watcher that sees a difference takes the next version, at
/// least `now_ms` (milliseconds since 1970), so that it is higher than those of earlier watchers.
/// Two watchers that see the same difference write the same content.
pub fn list_changes(
    known: &Map<Arc<str>, Arc<Object>>,
    list: &InstanceList,
    above: Version,
    now_ms: u64,
) -> Vec<Change> {
    let version = now_ms.max(above + 1);
    let listed = listed_objects(list);
    let removed = known.keys().filter(|name| !listed.contains_key(*name));
    let removed = removed.map(|name| (name.clone(), None));
    let differs =
        |name: &Arc<str>, value: &Value| known.get(name).is_none_or(|o| o.value != *value);
    let changed = listed.iter().filter(|(name, value)| differs(name, value));
    let changed = changed.map(|(name, value)| (name.clone(), Some(value.clone())));
    let mut changes: Vec<_> = removed.chain(changed).collect();
    changes.sort_by(|a, b| a.0.cmp(&b.0));
    let numbered = (version..).zip(changes);
    let change = |(version, (name, value))| Change {
        name,
        version,
        value,
    };
    numbered.map(change).collect()
}

/// Returns the name of an entry instance in the versioned instance list.
pub fn entry_name(id: &str) -> String {
    format!("{ENTRY_PREFIX}{id}")
}

/// Returns the name of a target in the versioned instance list.
pub fn target_name(id: &str) -> String {
    format!("{TARGET_PREFIX}{id}")
}

fn listed_objects(list: &InstanceList) -> Map<Arc<str>, Value> {
    let entries = list.entries.iter().map(|e| {
        let name = entry_name(&e.id);
        (name.into(), serde_json::to_value(e).unwrap_or_default())
    });
    let targets = list.targets.iter().map(|t| {
        let name = target_name(&t.id);
        (name.into(), serde_json::to_value(t).unwrap_or_default())
    });
    entries.chain(targets).collect()
}

/// Returns the instance list that versioned objects stand for.
pub fn list_of(objects: &Map<Arc<str>, Arc<Object>>) -> InstanceList {
    let mut list = InstanceList::default();
    for object in objects.values() {
        if object.name.starts_with(ENTRY_PREFIX) {
            list.entries.extend(parse::<ListedEntry>(&object.value));
        } else {
            list.targets.extend(parse::<ListedTarget>(&object.value));
        }
    }
    list
}

fn parse<T: serde::de::DeserializeOwned>(value: &Value) -> Option<T> {
    T::deserialize(value).ok()
}

impl Members {
    /// Builds the members of an instance that knows no other.
    pub fn new(me: Identity) -> Self {
        Self {
            me,
            entries: Map::default(),
            targets: Map::default(),
            left: Set::default(),
        }
    }

    /// Returns what this instance says of itself.
    pub fn local(&self) -> &Identity {
        &self.me
    }

    /// Marks this instance as about to stop.
    pub fn leave(&mut self) {
        self.me.leaving = true;
    }

    /// Takes over the instance list. An entry that is not on it any more counts as gone until its
    /// next heartbeat.
    pub fn set_list(&mut self, list: InstanceList, now: Duration) {
        let mut listed: Map<InstanceId, ListedEntry> = list
            .entries
            .into_iter()
            .map(|e| (e.id.clone(), e))
            .collect();
        for (id, member) in &mut self.entries {
            if member.listed.is_some() && !listed.contains_key(id) {
                member.listed = None;
                member.heard = None;
            }
        }
        listed.remove(&self.me.id);
        for entry in listed.into_values() {
            self.list_entry(entry, now);
        }
        self.entries
            .retain(|_, m| m.listed.is_some() || m.fresh(now));
        self.targets = list
            .targets
            .into_iter()
            .map(|t| (t.id.clone(), t))
            .collect();
    }

    fn list_entry(&mut self, entry: ListedEntry, now: Duration) {
        let mut identity = Identity {
            id: entry.id.clone(),
            session: entry.session,
            zone: entry.zone,
            address: entry.peer_address,
            leaving: entry.state == ListState::Leaving,
        };
        self.recall(&mut identity);
        let Some(member) = self.entries.get_mut(&entry.id) else {
            let member = Member {
                identity,
                listed: Some(now),
                heard: None,
            };
            self.entries.insert(entry.id, member);
            return;
        };
        if member.identity.session == identity.session {
            member.identity.leaving = identity.leaving;
        } else if !member.fresh(now) {
            // The list lags: it may still show the run before the one that was heard.
            member.identity = identity;
            member.listed = Some(now);
        }
        member.listed.get_or_insert(now);
    }

    /// Takes over a heartbeat that an instance sent itself.
    pub fn set_heard(&mut self, mut identity: Identity, now: Duration) {
        if identity.id == self.me.id {
            return;
        }
        self.recall(&mut identity);
        let known = self.entries.get(&identity.id);
        let listed = known.and_then(|m| m.listed);
        let member = Member {
            identity,
            listed,
            heard: Some(now),
        };
        self.entries.insert(member.identity.id.clone(), member);
    }

    /// A run that was once leaving stays so.
    fn recall(&mut self, identity: &mut Identity) {
        let run = run_hash(&identity.id, identity.session);
        if identity.leaving {
            self.left.insert(run);
        }
        identity.leaving = self.left.contains(&run);
    }

    /// Starts anew after a pause of this instance, in which it heard nobody. Instances on the list
    /// count as live until they had time to be heard; else this one would take all for dead and
    /// itself for the owner of all workers.
    pub fn resume(&mut self, now: Duration) {
        for member in self.entries.values_mut() {
            member.listed = member.listed.map(|_| now);
        }
    }

    /// Takes over heartbeats that another instance passed on. They count for instances that are
    /// on the list or were heard here before.
    pub fn set_relayed(&mut self, heard: &[Heard], now: Duration) {
        let ages: Map<RunHash, Duration> = heard.iter().map(|h| (h.run, h.age)).collect();
        for member in self.entries.values_mut() {
            let Some(age) = ages.get(&member.run()) else {
                continue;
            };
            let at = now.checked_sub(*age);
            member.heard = member.heard.max(at);
        }
    }

    /// Returns heartbeats of other instances of the zone to pass on, a random part of them when
    /// there are many.
    pub fn heard(&self, now: Duration, rng: &mut fastrand::Rng) -> Vec<Heard> {
        let zone = self
            .entries
            .values()
            .filter(|m| m.identity.zone == self.me.zone);
        let mut heard: Vec<Heard> = zone.filter_map(|m| m.beat(now)).collect();
        heard.sort_by_key(|h| h.run);
        rng.shuffle(&mut heard);
        heard.truncate(HEARD_SENT);
        heard
    }

    /// Returns the other entry instances that are known, live or not.
    pub fn entries(&self) -> impl Iterator<Item = &Member> {
        self.entries.values()
    }

    /// Returns a known entry instance.
    pub fn entry(&self, id: &str) -> Option<&Member> {
        self.entries.get(id)
    }

    /// Returns a target.
    pub fn target(&self, id: &str) -> Option<&ListedTarget> {
        self.targets.get(id)
    }

    /// Returns the targets.
    pub fn targets(&self) -> impl Iterator<Item = &ListedTarget> {
        self.targets.values()
    }

    /// Says whether an entry instance takes work, as far as is known here. Instances of other
    /// zones are rarely heard, so that being on the list is enough for them.
    pub fn is_live(&self, member: &Member, now: Duration) -> bool {
        let remote = member.identity.zone != self.me.zone;
        let young = |listed| now.saturating_sub(listed) < HEARTBEAT_LIMIT;
        let listed = member.listed.is_some_and(|at| remote || young(at));
        !member.identity.leaving && (listed || member.fresh(now))
    }

    /// Returns the names of the live entry instances by zone, sorted, with this instance unless
    /// it is about to stop.
    pub fn live(&self, now: Duration) -> Map<Zone, Vec<InstanceId>> {
        let mut zones: Map<Zone, Vec<InstanceId>> = Map::default();
        if !self.me.leaving {
            zones
                .entry(self.me.zone.clone())
                .or_default()
                .push(self.me.id.clone());
        }
        for member in self.entries.values().filter(|m| self.is_live(m, now)) {
            let zone = zones.entry(member.identity.zone.clone()).or_default();
            zone.push(member.identity.id.clone());
        }
        for names in zones.values_mut() {
            names.sort();
        }
        zones
    }

    /// Says whether any other entry instance was heard within the heartbeat limit.
    pub fn hears_any(&self, now: Duration) -> bool {
        self.entries.values().any(|m| m.fresh(now))
    }
}

impl Member {
    /// Returns the hash of instance and session.
    pub fn run(&self) -> RunHash {
        run_hash(&self.identity.id, self.identity.session)
    }

    /// Says whether its last heartbeat is within the limit.
    pub fn fresh(&self, now: Duration) -> bool {
        let age = self.heard.map(|at| now.saturating_sub(at));
        age.is_some_and(|age| age < HEARTBEAT_LIMIT)
    }

    fn beat(&self, now: Duration) -> Option<Heard> {
        self.heard.filter(|_| self.fresh(now)).map(|at| Heard {
            run: self.run(),
            age: now.saturating_sub(at),
        })
    }
}
