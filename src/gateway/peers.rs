//! What instances tell each other, and what one knows of the others (pure).

use std::{net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    fnv,
    ids::{InstanceId, JobId, Map, SessionId, Set, Zone},
    ownership,
};

use super::fleet::{Backlog, Level, WorkerKey};

/// Silence after which an instance counts as gone.
const LIVE_FOR: Duration = Duration::from_millis(1600);
/// Silence after which an instance is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(60);
/// Instances of a zone that watch the object store for the others: two may fail at once.
const WATCHERS: usize = 3;

/// Short form of a job's id in messages between instances.
pub type JobKey = u32;

/// Returns the short form of a job's id.
pub fn job_key(job: &str) -> JobKey {
    fnv::hash32(job.bytes())
}

/// A job at an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct JobState {
    /// The job.
    pub key: JobKey,
    /// Number of its pages of results that the instance knows.
    pub pages: u32,
    /// Whether the instance runs it.
    pub active: bool,
}

/// Edition of the list of workers at an instance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Edition {
    /// Revision of the store that it shows.
    pub at: u64,
    /// Revision of the newest change in it.
    pub newest: u64,
    /// Hash of its entries.
    pub digest: u32,
}

impl Edition {
    /// Says whether an instance that has this edition lacks something that `other` shows.
    /// Entries that are dropped without a change in the store show in the digest only, which an
    /// instance that watches the store itself need not follow.
    pub fn lacks(&self, other: &Edition, watches: bool) -> bool {
        self.is_older(other) || (!watches && self.differs(other))
    }

    /// Says whether `other` shows a newer change.
    pub fn is_older(&self, other: &Edition) -> bool {
        other.newest > self.newest
    }

    /// Says whether `other` has other entries and is not behind.
    pub fn differs(&self, other: &Edition) -> bool {
        self.digest != other.digest && self.at <= other.at
    }
}

/// State of an instance, sent to the others whole, so that a lost message is made up by the next.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Beat {
    /// The sender.
    pub instance: InstanceId,
    /// Run of the sender.
    pub session: SessionId,
    /// Availability zone of the sender.
    pub zone: Zone,
    /// Number of the message in its run.
    pub number: u64,
    /// Address for messages and calls of instances.
    pub address: SocketAddr,
    /// Version of its configuration.
    pub config: u64,
    /// Its list of workers.
    pub workers: Edition,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// Whether it reaches the object store.
    pub store: bool,
    /// Requests on workers: online and batch.
    pub levels: Vec<(WorkerKey, u8, u8)>,
    /// Batch items that wait for room at it.
    pub backlog: Backlog,
    /// Tokens that wait at it, by route.
    pub waiting: Vec<(u32, u64)>,
    /// Jobs that it runs or has touched lately.
    pub jobs: Vec<JobState>,
    /// Jobs that were ended lately.
    pub ended: Vec<JobId>,
}

impl Beat {
    /// Returns the requests on workers.
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
}

#[derive(Debug)]
struct Peer {
    beat: Beat,
    heard: Duration,
}

/// Other instances as one instance knows them.
#[derive(Debug, Default)]
pub struct Peers {
    known: Map<InstanceId, Peer>,
    registered: Vec<SocketAddr>,
}

/// Addresses of the other instances.
#[derive(Debug, Default)]
pub struct Targets {
    /// Instances of the own zone.
    pub near: Set<SocketAddr>,
    /// Instances of other zones, and those that were not heard yet.
    pub far: Set<SocketAddr>,
}

/// This instance as a candidate to run a job.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Its name.
    pub instance: &'a InstanceId,
    /// Whether it runs on and reaches the object store.
    pub able: bool,
    /// Whether it runs the job already.
    pub holds: bool,
}

/// What a message changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum News {
    /// It is older than one that was taken.
    Old,
    /// The sender was known.
    Known,
    /// The sender is new, or new in this run.
    Joined,
}

impl Peers {
    /// Takes a message.
    pub fn take(&mut self, beat: Beat, now: Duration) -> News {
        let known = self.known.get(&beat.instance);
        let last = known.map(|p| (p.beat.session, p.beat.number));
        if last >= Some((beat.session, beat.number)) {
            return News::Old;
        }
        let joined =
            known.is_none_or(|p| p.beat.session != beat.session || now > p.heard + LIVE_FOR);
        self.known
            .insert(beat.instance.clone(), Peer { beat, heard: now });
        if joined { News::Joined } else { News::Known }
    }

    /// Returns the instances that fell silent since the last look, and forgets old ones.
    pub fn silent(&mut self, now: Duration, before: Duration) -> Vec<InstanceId> {
        self.known.retain(|_, p| now < p.heard + FORGET_AFTER);
        let gone = |p: &&Peer| now > p.heard + LIVE_FOR && before <= p.heard + LIVE_FOR;
        let peers = self.known.values().filter(gone);
        peers.map(|p| p.beat.instance.clone()).collect()
    }

    /// Returns the zones from which instances are known and none is heard.
    pub fn silent_zones(&self, now: Duration) -> Set<Zone> {
        let mut zones: Set<Zone> = self.known.values().map(|p| p.beat.zone.clone()).collect();
        for beat in self.live(now) {
            zones.remove(&beat.zone);
        }
        zones
    }

    /// Returns the instances that live.
    pub fn live(&self, now: Duration) -> impl Iterator<Item = &Beat> {
        let live = move |p: &&Peer| now <= p.heard + LIVE_FOR;
        self.known.values().filter(live).map(|p| &p.beat)
    }

    /// Says whether an instance is one of those that watch the object store for its zone.
    pub fn is_watcher(&self, me: &InstanceId, zone: &Zone, now: Duration) -> bool {
        let able = |b: &&Beat| b.zone == *zone && b.store && !b.leaving;
        let live = self.live(now).filter(able);
        let names: Vec<_> = live.map(|b| b.instance.clone()).collect();
        ownership::position(zone, me, &names) < WATCHERS
    }

    /// Sets the addresses of instances that are registered in the object store.
    pub fn set_registered(&mut self, addresses: Vec<SocketAddr>) {
        self.registered = addresses;
    }

    /// Returns the addresses of all known instances, as seen from a zone.
    pub fn targets(&self, zone: &Zone) -> Targets {
        let beats = self.known.values().map(|p| &p.beat);
        let (near, far): (Vec<&Beat>, Vec<&Beat>) = beats.partition(|b| b.zone == *zone);
        let near: Set<SocketAddr> = near.iter().map(|b| b.address).collect();
        let registered = self.registered.iter().copied();
        let mut far: Set<SocketAddr> = far.iter().map(|b| b.address).collect();
        far.extend(registered.filter(|a| !near.contains(a)));
        Targets { near, far }
    }

    /// Returns the instance that runs a job; nothing when it is this one.
    ///
    /// An instance that runs the job already keeps it, so that a change of the members moves no
    /// job whose instance is well. Instances that are about to stop or do not reach the store run
    /// a job only when there is no other.
    pub fn home(&self, job: &JobId, me: &Candidate<'_>, now: Duration) -> Option<Beat> {
        let key = job_key(job);
        let fit = |b: &&Beat| !b.leaving && b.store;
        let holds = |b: &&Beat| b.jobs.iter().any(|j| j.active && j.key == key);
        let mut names: Vec<Arc<str>> = self
            .live(now)
            .filter(fit)
            .filter(holds)
            .map(|b| b.instance.clone())
            .collect();
        if me.able && me.holds {
            names.push(me.instance.clone());
        }
        if names.is_empty() {
            names.extend(self.live(now).filter(fit).map(|b| b.instance.clone()));
            if me.able || names.is_empty() {
                names.push(me.instance.clone());
            }
        }
        let home = ownership::owner(job, &names)?;
        self.known.get(home).map(|p| p.beat.clone())
    }

    /// Returns the tokens that wait at other instances on a route.
    pub fn waiting(&self, route: u32, now: Duration) -> u64 {
        let waiting = self.live(now).flat_map(|b| &b.waiting);
        waiting.filter(|(r, _)| *r == route).map(|(_, t)| t).sum()
    }
}
