//! Heartbeats between instances, and the state of the other instances (no I/O).

use std::{cmp::Reverse, net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    clock, fnv,
    ids::{InstanceId, JobId, Map, SessionId, Set, TeamId, WorkerId, Zone},
    ownership,
};

use super::{
    fleet::{Backlog, Level, WorkerKey},
    versions::ShareState,
};

/// Time without a heartbeat after which an instance counts as gone.
pub const LIVENESS_TIMEOUT: Duration = Duration::from_millis(1600);
/// Time without a heartbeat after which an instance is removed.
pub const FORGET_AFTER: Duration = Duration::from_secs(60);
/// Maximum number of instances of a zone that watch the object store on behalf of the others. Two
/// of them may fail at the same time.
const MAX_WATCHERS: usize = 3;
/// Instances that watch the object store in all zones together, if no zone needs more. A zone whose
/// watchers fail or stall learns of changes from the heartbeats of others.
const FLEET_WATCHERS: usize = 6;
/// Instances of another zone that receive a heartbeat and pass it on in their zone. With two, one of
/// them may fail before it counts as gone.
const RELAYS: usize = 2;
/// Key of the rendezvous order in which instances search the store for jobs that nobody runs.
const SWEEP_KEY: &str = "sweep";

/// Hash of a job's id, used in messages between instances.
pub type JobKey = u32;

/// Returns the hash of a job's id that messages between instances use.
pub fn job_key(job: &str) -> JobKey {
    fnv::hash32(job.bytes())
}

/// State of a job at an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct JobState {
    /// Hash of the job's id.
    pub key: JobKey,
    /// Number of result pages that the instance knows.
    pub pages: u32,
    /// Whether the instance runs the job.
    pub active: bool,
}

/// Version of the worker list at an instance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ListVersion {
    /// Store revision that the list reflects.
    pub at: u64,
    /// Revision of the newest change in the list.
    pub newest: u64,
    /// Hash of the entries that the store has at that revision.
    pub digest: u32,
}

impl ListVersion {
    /// Returns whether `other` contains changes that are missing here. Lists are ordered by their
    /// store revision alone: of two lists with the same one, neither is newer.
    pub fn is_missing_changes(&self, other: &ListVersion) -> bool {
        other.at > self.at && other.digest != self.digest
    }
}

/// Full state of an instance, sent to the others periodically. Since each message carries the full
/// state, a lost one needs no resending.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the sender.
    pub instance: InstanceId,
    /// Session of the sender, which a restart changes.
    pub session: SessionId,
    /// Availability zone of the sender.
    pub zone: Zone,
    /// Sequence number of the message in its session.
    pub number: u64,
    /// Address of the sender for messages and calls from other instances.
    pub address: SocketAddr,
    /// Version of the sender's configuration.
    pub config: u64,
    /// Version of the sender's worker list.
    pub workers: ListVersion,
    /// Shares of the workers' software versions that the sender uses.
    pub shares: ShareState,
    /// Whether the sender is about to stop.
    pub leaving: bool,
    /// Whether the sender reaches the object store.
    pub store: bool,
    /// In-flight requests of the sender: worker, online and batch count.
    pub levels: Vec<(WorkerKey, u8, u8)>,
    /// Batch items of the sender that wait for a free slot.
    pub backlog: Backlog,
    /// Tokens of the sender's unfinished batch items, by route.
    pub waiting: Vec<(u32, u64)>,
    /// Jobs that the sender runs, and those whose pages it learned recently.
    pub jobs: Vec<JobState>,
    /// Jobs that were cancelled recently.
    pub ended: Vec<JobId>,
}

impl Heartbeat {
    /// Returns the in-flight requests, by worker.
    pub fn levels(&self) -> Map<WorkerKey, Level> {
        let level = |(online, batch): (u8, u8)| Level {
            online: online.into(),
            batch: batch.into(),
        };
        self.levels
            .iter()
            .map(|(w, online, batch)| (*w, level((*online, *batch))))
            .collect()
    }

    fn has_same_load(&self, other: &Self) -> bool {
        self.levels == other.levels && self.backlog == other.backlog
    }

    /// Returns whether another message of the sender tells the others nothing new. The store revision
    /// of a worker list counts only for lists with other entries, and an instance that lags is told with
    /// the next heartbeat.
    pub fn is_repeated_by(&self, other: &Self) -> bool {
        let same = Self {
            number: self.number,
            workers: ListVersion {
                at: self.workers.at,
                ..other.workers
            },
            shares: ShareState {
                lagging: self.shares.lagging,
                ..other.shares
            },
            ..other.clone()
        };
        *self == same
    }
}

#[derive(Debug)]
struct Peer {
    heartbeat: Arc<Heartbeat>,
    received: Duration,
}

/// State of the other instances, as known to one instance.
#[derive(Debug, Default)]
pub struct Peers {
    known: Map<InstanceId, Peer>,
    registered: Vec<SocketAddr>,
    is_listed: bool,
}

/// Addresses of other instances for messages.
#[derive(Debug, Default)]
pub struct Targets {
    /// Instances of the local zone.
    pub near: Set<SocketAddr>,
    /// Some instances of each other zone, and those that have not sent a heartbeat yet.
    pub far: Set<SocketAddr>,
    /// Number of instances outside the local zone.
    pub outside: usize,
}

/// This instance as a candidate to run a job.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Name of the instance.
    pub instance: &'a InstanceId,
    /// Whether the instance is not stopping and reaches the object store.
    pub eligible: bool,
    /// Whether the instance already runs the job.
    pub active: bool,
}

/// This instance as a candidate to lead a limited worker.
#[derive(Debug, Clone, Copy)]
pub struct Member<'a> {
    /// Name of the instance.
    pub instance: &'a InstanceId,
    /// Availability zone of the instance.
    pub zone: &'a Zone,
    /// Whether the instance is not stopping.
    pub stays: bool,
}

/// Effect of a heartbeat on the state of its sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerChange {
    /// The heartbeat is older than one that was recorded.
    Stale,
    /// The sender was already known, with the same requests in flight and the same backlog.
    Known,
    /// The sender was already known, with other requests in flight or another backlog.
    LoadChanged,
    /// The sender is new, restarted, or back after a timeout.
    Joined,
}

impl Peers {
    /// Records a heartbeat.
    ///
    /// Sessions come from the clock, which may have been set back before a restart. So an earlier session
    /// counts as a new one once the known one has been silent for longer than a message takes.
    pub fn record(&mut self, heartbeat: impl Into<Arc<Heartbeat>>, now: Duration) -> PeerChange {
        let heartbeat = heartbeat.into();
        let known = self.known.get(&heartbeat.instance);
        let is_restarted = known.is_some_and(|p| p.heartbeat.session != heartbeat.session);
        let is_silent = known.is_some_and(|p| now > p.received + LIVENESS_TIMEOUT);
        let last = known.map(|p| (p.heartbeat.session, p.heartbeat.number));
        let is_older = last >= Some((heartbeat.session, heartbeat.number));
        if is_older && !(is_restarted && is_silent) {
            return PeerChange::Stale;
        }
        let joined = known.is_none() || is_restarted || is_silent;
        let same_load = known.is_some_and(|p| p.heartbeat.has_same_load(&heartbeat));
        self.known.insert(
            heartbeat.instance.clone(),
            Peer {
                heartbeat,
                received: now,
            },
        );
        match (joined, same_load) {
            (true, _) => PeerChange::Joined,
            (false, true) => PeerChange::Known,
            (false, false) => PeerChange::LoadChanged,
        }
    }

    /// Returns the instances whose heartbeats timed out since `last_check`, and removes those that
    /// are long gone.
    pub fn newly_silent(&mut self, now: Duration, last_check: Duration) -> Vec<InstanceId> {
        self.known.retain(|_, p| now < p.received + FORGET_AFTER);
        let gone = |p: &&Peer| {
            now > p.received + LIVENESS_TIMEOUT && last_check <= p.received + LIVENESS_TIMEOUT
        };
        let peers = self.known.values().filter(gone);
        peers.map(|p| p.heartbeat.instance.clone()).collect()
    }

    /// Returns the zones that have known instances of which none is live.
    pub fn silent_zones(&self, now: Duration) -> Set<Zone> {
        let mut zones: Set<Zone> = self
            .known
            .values()
            .map(|p| p.heartbeat.zone.clone())
            .collect();
        for heartbeat in self.live(now) {
            zones.remove(&heartbeat.zone);
        }
        zones
    }

    /// Returns the last heartbeats of the live instances.
    pub fn live(&self, now: Duration) -> impl Iterator<Item = &Heartbeat> {
        let live = move |p: &&Peer| now <= p.received + LIVENESS_TIMEOUT;
        self.known.values().filter(live).map(|p| &*p.heartbeat)
    }

    /// Returns the last heartbeats of the live instances that are not about to stop.
    fn staying(&self, now: Duration) -> impl Iterator<Item = &Heartbeat> {
        self.live(now).filter(|h| !h.leaving)
    }

    /// Returns the zones and addresses of the live instances that are not about to stop.
    pub fn carriers(&self, now: Duration) -> Vec<(Zone, SocketAddr)> {
        let staying = self.staying(now);
        staying.map(|h| (h.zone.clone(), h.address)).collect()
    }

    /// Returns the last heartbeats of the live instances that are not about to stop and reach the
    /// object store.
    fn eligible(&self, now: Duration) -> impl Iterator<Item = &Heartbeat> {
        self.staying(now).filter(|h| h.store)
    }

    /// Returns whether an instance is among those that watch the object store for its zone. While no
    /// peer in the zone reaches the store, as many instances as usual wait for its return. A zone
    /// that is cut off hears no other one, and so has watchers of its own as if it were alone.
    pub fn is_watcher(&self, instance: &InstanceId, zone: &Zone, now: Duration) -> bool {
        let neighbours = self.staying(now).filter(|h| h.zone == *zone);
        let (with_store, without): (Vec<&Heartbeat>, Vec<&Heartbeat>) =
            neighbours.partition(|h| h.store);
        let candidates = if with_store.is_empty() {
            without
        } else {
            with_store
        };
        let names: Vec<_> = candidates.iter().map(|h| h.instance.clone()).collect();
        let other_zones: Set<&Zone> = self.live(now).map(|h| &h.zone).collect();
        let zones = other_zones.iter().filter(|z| **z != zone).count() + 1;
        let count = FLEET_WATCHERS.div_ceil(zones).min(MAX_WATCHERS);
        ownership::position(zone, instance, &names) < count
    }

    /// Returns the addresses of instances that watch the object store: those of a zone, and those of others.
    pub fn watchers(&self, zone: &Zone, now: Duration) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
        let watchers = self
            .eligible(now)
            .filter(|h| self.is_watcher(&h.instance, &h.zone, now));
        let (near, far): (Vec<&Heartbeat>, Vec<&Heartbeat>) =
            watchers.partition(|h| h.zone == *zone);
        let addresses = |list: Vec<&Heartbeat>| list.iter().map(|h| h.address).collect();
        (addresses(near), addresses(far))
    }

    /// Returns whether an instance of a zone reaches the object store and is not about to stop.
    pub fn reaches_store(&self, zone: &Zone, now: Duration) -> bool {
        self.eligible(now).any(|h| h.zone == *zone)
    }

    /// Returns the address of an instance to pull the configuration and the worker list from, which
    /// has a newer version of either, or `None` when no live one has.
    ///
    /// Instances of the given zone come first. After some pulls that failed in a row the next one is
    /// chosen, since heartbeats of an instance may arrive although calls to it fail.
    pub fn source(
        &self,
        zone: &Zone,
        config: u64,
        workers: &ListVersion,
        failures: usize,
        now: Duration,
    ) -> Option<SocketAddr> {
        let is_ahead = |h: &&Heartbeat| h.config > config || workers.is_missing_changes(&h.workers);
        let mut ahead: Vec<&Heartbeat> = self.live(now).filter(is_ahead).collect();
        ahead.sort_by_key(|h| h.zone != *zone);
        let next = failures % ahead.len().max(1);
        ahead.get(next).map(|h| h.address)
    }

    /// Returns whether an instance with an address has sent a heartbeat.
    pub fn knows_address(&self, address: &SocketAddr) -> bool {
        let mut known = self.known.values();
        known.any(|p| p.heartbeat.address == *address)
    }

    /// Sets the addresses of instances that are registered in the object store.
    pub fn set_registered(&mut self, addresses: Vec<SocketAddr>) {
        self.registered = addresses;
        self.is_listed = true;
    }

    /// Returns the addresses that the heartbeat of a round goes to, as seen from a zone.
    ///
    /// Traffic between zones is charged, so each other zone gets a heartbeat at a few relays, which
    /// pass it on to their neighbours. Each round uses the next relays, so that a failed one loses
    /// only some of the heartbeats until it counts as gone.
    pub fn targets(&self, zone: &Zone, round: u64, now: Duration) -> Targets {
        let mut targets = self.zone_targets(zone, RELAYS, round, now);
        let known: Set<SocketAddr> = self.known.values().map(|p| p.heartbeat.address).collect();
        let unknown = self.registered.iter().filter(|a| !known.contains(*a));
        let unknown: Set<SocketAddr> = unknown.copied().collect();
        targets.outside += unknown.len();
        targets.far.extend(unknown);
        targets
    }

    /// Returns the addresses of all known instances of a zone, and of at most `count` of each other zone. Each
    /// round uses the next ones there.
    pub fn zone_targets(&self, zone: &Zone, count: usize, round: u64, now: Duration) -> Targets {
        let mut targets = Targets::default();
        let mut zones: Map<&Zone, Vec<&Peer>> = Map::default();
        for peer in self.known.values() {
            if peer.heartbeat.zone == *zone {
                targets.near.insert(peer.heartbeat.address);
            } else {
                zones.entry(&peer.heartbeat.zone).or_default().push(peer);
                targets.outside += 1;
            }
        }
        for peers in zones.into_values() {
            targets.far.extend(relays(peers, count, round, now));
        }
        targets
    }

    /// Returns the last heartbeat of the instance that runs a job, or `None` when it is the local
    /// one.
    ///
    /// An instance that already runs the job keeps it, so that a membership change moves no job off
    /// a healthy instance. Instances that are about to stop or do not reach the store run a job
    /// only when there is no other.
    pub fn home(&self, job: &JobId, local: &Candidate<'_>, now: Duration) -> Option<Heartbeat> {
        let key = job_key(job);
        let runs_job = |h: &&Heartbeat| h.jobs.iter().any(|j| j.active && j.key == key);
        let mut names: Vec<Arc<str>> = self
            .eligible(now)
            .filter(runs_job)
            .map(|h| h.instance.clone())
            .collect();
        if local.eligible && local.active {
            names.push(local.instance.clone());
        }
        if names.is_empty() {
            names.extend(self.eligible(now).map(|h| h.instance.clone()));
            if local.eligible || names.is_empty() {
                names.push(local.instance.clone());
            }
        }
        let home = ownership::owner(job, &names)?;
        self.known.get(home).map(|p| (*p.heartbeat).clone())
    }

    /// Returns the live instances to which the local one can hand a job over: those that run it
    /// first, then the others in the order in which they would take it over.
    pub fn heirs(&self, job: &JobId, now: Duration) -> Vec<Heartbeat> {
        let key = job_key(job);
        let live: Vec<&Heartbeat> = self.eligible(now).collect();
        let names: Vec<_> = live.iter().map(|h| h.instance.clone()).collect();
        let ranked = ownership::rank(job, &names).into_iter().map(|i| live[i]);
        let mut heirs: Vec<&Heartbeat> = ranked.collect();
        heirs.sort_by_key(|h| !h.jobs.iter().any(|j| j.active && j.key == key));
        heirs.into_iter().cloned().collect()
    }

    /// Returns whether a live instance announces that it runs a job.
    pub fn is_run(&self, job: &JobId, now: Duration) -> bool {
        let key = job_key(job);
        let mut live = self.live(now);
        live.any(|h| h.jobs.iter().any(|j| j.active && j.key == key))
    }

    /// Returns whether an instance other than the local one may run jobs without being heard here: one
    /// that fell silent without a stop, or a registered one that was never heard.
    pub fn may_be_cut(&self, local: SocketAddr, now: Duration) -> bool {
        let is_silent = |p: &Peer| now > p.received + LIVENESS_TIMEOUT && !p.heartbeat.leaving;
        self.known.values().any(is_silent) || self.has_unheard(local)
    }

    /// Returns whether the registered instances are known.
    pub fn is_listed(&self) -> bool {
        self.is_listed
    }

    /// Returns whether a registered instance other than the local one was never heard.
    pub fn has_unheard(&self, local: SocketAddr) -> bool {
        let mut registered = self.registered.iter();
        registered.any(|a| *a != local && !self.knows_address(a))
    }

    /// Returns whether there are other instances, all of them are heard, and they say that they do not
    /// reach the object store. Then none can have learned from it what this one does not know.
    pub fn none_reaches_store(&self, local: SocketAddr, now: Duration) -> bool {
        let mut live = self.live(now).peekable();
        live.peek().is_some() && live.all(|h| !h.store) && !self.may_be_cut(local, now)
    }

    /// Returns the keys of the jobs that live instances announce to run.
    pub fn announced(&self, now: Duration) -> Set<JobKey> {
        let states = self.live(now).flat_map(|h| &h.jobs);
        states.filter(|j| j.active).map(|j| j.key).collect()
    }

    /// Returns whether an instance is the one that searches the store for jobs that nobody runs. In
    /// a partition each side has one.
    pub fn is_sweeper(&self, local: &InstanceId, now: Duration) -> bool {
        let names: Vec<_> = self.eligible(now).map(|h| h.instance.clone()).collect();
        ownership::position(SWEEP_KEY, local, &names) == 0
    }

    /// Returns whether an instance is the one that probes a block with a name.
    pub fn is_prober(&self, block: &str, local: &InstanceId, now: Duration) -> bool {
        let names: Vec<_> = self.staying(now).map(|h| h.instance.clone()).collect();
        ownership::position(block, local, &names) == 0
    }

    /// Returns the instance that hands out the permits for a limited worker, or `None` when it is the
    /// local one: an instance of the zone of the worker if there is one, as a zone that is cut off
    /// still reaches its own workers.
    pub fn limit_leader(
        &self,
        worker: &WorkerId,
        zone: &Zone,
        local: &Member<'_>,
        now: Duration,
    ) -> Option<&Heartbeat> {
        let staying: Vec<&Heartbeat> = self.staying(now).collect();
        let is_near = |h: &&&Heartbeat| h.zone == *zone;
        let has_near = staying.iter().any(|h| is_near(&h)) || (local.stays && local.zone == zone);
        let candidates = staying.into_iter().filter(|h| !has_near || h.zone == *zone);
        let rank = |name: &str| Reverse(ownership::score(worker, name));
        let best = candidates.min_by_key(|h| rank(&h.instance))?;
        let may_lead = local.stays && (!has_near || local.zone == zone);
        (!may_lead || rank(&best.instance) < rank(local.instance)).then_some(best)
    }

    /// Returns the instance that leads a team, or `None` when it is the local one.
    pub fn team_leader(
        &self,
        team: &TeamId,
        local: &Member<'_>,
        now: Duration,
    ) -> Option<&Heartbeat> {
        let rank = |name: &str| Reverse(ownership::score(team, name));
        let best = self.staying(now).min_by_key(|h| rank(&h.instance))?;
        (!local.stays || rank(&best.instance) < rank(local.instance)).then_some(best)
    }

    /// Returns the names and sessions of the live instances that are not about to stop.
    pub fn roster(&self, now: Duration) -> impl Iterator<Item = (&InstanceId, SessionId)> {
        self.staying(now).map(|h| (&h.instance, h.session))
    }

    /// Returns the number of known or registered instances.
    pub fn known_count(&self) -> usize {
        self.known
            .len()
            .max(self.registered.len().saturating_sub(1))
    }

    /// Returns whether a live instance has a newer configuration.
    pub fn has_newer_config(&self, version: u64, now: Duration) -> bool {
        self.live(now).any(|h| h.config > version)
    }

    /// Returns the part of all known instances, with the local one, that cannot tell what they did for a time
    /// before now: those that are silent, and those that started since. Their sessions tell when.
    pub fn unheard_share(&self, session: SessionId, span: Duration, now: Duration) -> f64 {
        let since = clock::unix_millis().saturating_sub(span.as_millis() as u64);
        let is_old = |session: SessionId| clock::session_millis(session) < since;
        let heard = self.staying(now).filter(|h| is_old(h.session)).count();
        let heard = heard + usize::from(is_old(session));
        let known = self.known.values().filter(|p| !p.heartbeat.leaving);
        1.0 - heard as f64 / (known.count() + 1) as f64
    }

    /// Returns the part of all known instances that is live. The sum of these parts over the sides of
    /// a partition is at most 1.
    pub fn live_share(&self, now: Duration) -> f64 {
        let known = self.known.values().filter(|p| !p.heartbeat.leaving);
        let live = self.staying(now).count() + 1;
        live as f64 / (known.count() + 1) as f64
    }

    /// Returns the tokens of unfinished batch items at other instances on a route.
    pub fn waiting(&self, route: u32, now: Duration) -> u64 {
        let waiting = self.live(now).flat_map(|h| &h.waiting);
        waiting.filter(|(r, _)| *r == route).map(|(_, t)| t).sum()
    }
}

/// Returns the addresses of at most `count` instances of a zone that get the messages of a round.
fn relays(
    mut peers: Vec<&Peer>,
    count: usize,
    round: u64,
    now: Duration,
) -> impl Iterator<Item = SocketAddr> {
    let usable = |p: &&Peer| now <= p.received + LIVENESS_TIMEOUT && !p.heartbeat.leaving;
    // A zone that is silent as a whole is cut off. Any of its instances may be back first.
    if peers.iter().any(usable) {
        peers.retain(usable);
    }
    let mut addresses: Vec<SocketAddr> = peers.iter().map(|p| p.heartbeat.address).collect();
    addresses.sort_unstable();
    let start = round.wrapping_mul(count as u64) % addresses.len().max(1) as u64;
    addresses.rotate_left(start as usize);
    addresses.into_iter().take(count)
}
