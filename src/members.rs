//! Membership: known entry instances and targets, from the instance list and from heartbeats.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use serde_json::Value;

use crate::{
    ids::{InstanceId, Map, SessionId, Set, TargetId, Version, Zone},
    instance_list::{InstanceList, ListState, ListedEntry, ListedTarget},
    ownership,
    platform::{Change, Object},
};

/// Time without a heartbeat after which an instance is not live. With one exchange per second, the
/// oldest heartbeat in a zone of 46 instances was 6.0 s old in a simulation of 60 s.
pub const HEARTBEAT_LIMIT: Duration = Duration::from_secs(7);
/// Maximum number of heartbeats in a digest, which keeps digests small.
const HEARTBEATS_SENT: usize = 16;
/// Prefix of entry instances in the versioned instance list.
const ENTRY_PREFIX: &str = "entry.";
/// Prefix of targets in the versioned instance list.
const TARGET_PREFIX: &str = "target.";

/// Hash of an instance and its run. With 32 bits a heartbeat takes 8 bytes instead of 16, and two
/// of 370 runs collide in one of 60,000 fleets.
pub type RunHash = u32;

/// Identity of an entry instance, as it announces it.
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

/// A relayed heartbeat of another instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Heartbeat {
    /// Hash of instance and session.
    pub run: RunHash,
    /// Time since the heartbeat.
    pub age: Duration,
}

/// Another entry instance, with the times of its listing and its last heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Identity from its heartbeat or from the instance list.
    pub identity: Identity,
    /// When it appeared in the instance list; `None` when it is not in it.
    pub listed_at: Option<Duration>,
    /// Time of the last heartbeat.
    pub last_heartbeat: Option<Duration>,
}

/// Known entry instances other than this one, and known targets.
#[derive(Debug, Clone)]
pub struct Members {
    local: Identity,
    entries: Map<InstanceId, Member>,
    targets: Map<TargetId, ListedTarget>,
    /// Runs that were once marked as leaving; a lagging list may show them as live again. The set
    /// stays small at about a thousand restarts a day.
    left_runs: Set<RunHash>,
}

/// Returns the hash of an instance and its run.
pub fn run_hash(id: &str, session: SessionId) -> RunHash {
    ownership::score(id, &session.to_string()) as RunHash
}

/// Returns the changes between the known objects and a list that was just read.
///
/// Without versions of the service, a watcher that sees a difference assigns the next version, at
/// least `now_ms` (milliseconds since 1970), so that it is higher than those of earlier watchers.
/// Two watchers that see the same difference produce the same content.
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

/// Converts versioned objects back into an instance list.
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
    /// Builds the membership of an instance that has just started.
    pub fn new(local: Identity) -> Self {
        Self {
            local,
            entries: Map::default(),
            targets: Map::default(),
            left_runs: Set::default(),
        }
    }

    /// Returns the identity of this instance.
    pub fn local(&self) -> &Identity {
        &self.local
    }

    /// Marks this instance as leaving.
    pub fn mark_leaving(&mut self) {
        self.local.leaving = true;
    }

    /// Applies the instance list. An entry that has disappeared from it counts as gone until its
    /// next heartbeat.
    pub fn set_list(&mut self, list: InstanceList, now: Duration) {
        let mut listed: Map<InstanceId, ListedEntry> = list
            .entries
            .into_iter()
            .map(|e| (e.id.clone(), e))
            .collect();
        for (id, member) in &mut self.entries {
            if member.listed_at.is_some() && !listed.contains_key(id) {
                member.listed_at = None;
                member.last_heartbeat = None;
            }
        }
        listed.remove(&self.local.id);
        for entry in listed.into_values() {
            self.merge_entry(entry, now);
        }
        self.entries
            .retain(|_, m| m.listed_at.is_some() || m.is_fresh(now));
        self.targets = list
            .targets
            .into_iter()
            .map(|t| (t.id.clone(), t))
            .collect();
    }

    fn merge_entry(&mut self, entry: ListedEntry, now: Duration) {
        let mut identity = Identity {
            id: entry.id.clone(),
            session: entry.session,
            zone: entry.zone,
            address: entry.peer_address,
            leaving: entry.state == ListState::Leaving,
        };
        self.restore_leaving(&mut identity);
        let Some(member) = self.entries.get_mut(&entry.id) else {
            let member = Member {
                identity,
                listed_at: Some(now),
                last_heartbeat: None,
            };
            self.entries.insert(entry.id, member);
            return;
        };
        if member.identity.session == identity.session {
            member.identity.leaving = identity.leaving;
        } else if !member.is_fresh(now) {
            // The list lags: it may still show a run before that of the last heartbeat.
            member.identity = identity;
            member.listed_at = Some(now);
        }
        member.listed_at.get_or_insert(now);
    }

    /// Records a heartbeat that was received directly from its instance.
    pub fn record_heartbeat(&mut self, mut identity: Identity, now: Duration) {
        if identity.id == self.local.id {
            return;
        }
        self.restore_leaving(&mut identity);
        let known = self.entries.get(&identity.id);
        let listed_at = known.and_then(|m| m.listed_at);
        let member = Member {
            identity,
            listed_at,
            last_heartbeat: Some(now),
        };
        self.entries.insert(member.identity.id.clone(), member);
    }

    /// Marks a run as leaving if it was ever leaving, and records it if it is.
    fn restore_leaving(&mut self, identity: &mut Identity) {
        let run = run_hash(&identity.id, identity.session);
        if identity.leaving {
            self.left_runs.insert(run);
        }
        identity.leaving = self.left_runs.contains(&run);
    }

    /// Resets the listing times after a pause of this instance, in which it received no heartbeats.
    /// Listed instances count as live until their heartbeats had time to arrive. Otherwise this
    /// instance would consider all others dead and itself the owner of all workers.
    pub fn resume(&mut self, now: Duration) {
        for member in self.entries.values_mut() {
            member.listed_at = member.listed_at.map(|_| now);
        }
    }

    /// Records heartbeats that another instance relayed. Those of unknown runs are ignored.
    pub fn merge_relayed(&mut self, heartbeats: &[Heartbeat], now: Duration) {
        let ages: Map<RunHash, Duration> = heartbeats.iter().map(|h| (h.run, h.age)).collect();
        for member in self.entries.values_mut() {
            let Some(age) = ages.get(&member.run()) else {
                continue;
            };
            let at = now.checked_sub(*age);
            member.last_heartbeat = member.last_heartbeat.max(at);
        }
    }

    /// Returns fresh heartbeats of other instances of the zone to relay, a random sample when there
    /// are many.
    pub fn recent_heartbeats(&self, now: Duration, rng: &mut fastrand::Rng) -> Vec<Heartbeat> {
        let zone = self
            .entries
            .values()
            .filter(|m| m.identity.zone == self.local.zone);
        let mut heartbeats: Vec<Heartbeat> = zone.filter_map(|m| m.heartbeat(now)).collect();
        heartbeats.sort_by_key(|h| h.run);
        rng.shuffle(&mut heartbeats);
        heartbeats.truncate(HEARTBEATS_SENT);
        heartbeats
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

    /// Returns whether an entry instance is believed to take work. Heartbeats from other zones are
    /// rare, so being in the list is enough for instances of other zones.
    pub fn is_live(&self, member: &Member, now: Duration) -> bool {
        let remote = member.identity.zone != self.local.zone;
        let young = |listed| now.saturating_sub(listed) < HEARTBEAT_LIMIT;
        let listed = member.listed_at.is_some_and(|at| remote || young(at));
        !member.identity.leaving && (listed || member.is_fresh(now))
    }

    /// Returns the names of the live entry instances by zone, sorted. They include this instance
    /// unless it is leaving.
    pub fn live(&self, now: Duration) -> Map<Zone, Vec<InstanceId>> {
        let mut zones: Map<Zone, Vec<InstanceId>> = Map::default();
        if !self.local.leaving {
            zones
                .entry(self.local.zone.clone())
                .or_default()
                .push(self.local.id.clone());
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

    /// Returns whether any other entry instance has a fresh heartbeat.
    pub fn any_fresh(&self, now: Duration) -> bool {
        self.entries.values().any(|m| m.is_fresh(now))
    }
}

impl Member {
    /// Returns the hash of instance and session.
    pub fn run(&self) -> RunHash {
        run_hash(&self.identity.id, self.identity.session)
    }

    /// Returns whether the last heartbeat is within [`HEARTBEAT_LIMIT`].
    pub fn is_fresh(&self, now: Duration) -> bool {
        let age = self.last_heartbeat.map(|at| now.saturating_sub(at));
        age.is_some_and(|age| age < HEARTBEAT_LIMIT)
    }

    fn heartbeat(&self, now: Duration) -> Option<Heartbeat> {
        self.last_heartbeat
            .filter(|_| self.is_fresh(now))
            .map(|at| Heartbeat {
                run: self.run(),
                age: now.saturating_sub(at),
            })
    }
}
