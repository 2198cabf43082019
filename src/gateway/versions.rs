//! Versions of the workers' software, and the choice of the version that begins a stream (no I/O).
//!
//! What two versions write does not fit together, so a stream goes on only at the version that began
//! it. That version follows from the id of the call that began the stream and from the shares of the
//! versions, which change seldom and are stored. Any instance can so work it out again, also after
//! the loss of all instances.

use std::{cmp::Reverse, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    fnv,
    ids::{InstanceId, Map, ServiceId, SoftwareVersion},
    ownership,
};

use super::{
    begun::{self, Begun, StreamKey},
    share_lag::{Heard, Lag},
    shared_clock::SharedClock,
};

/// Time within which all instances use new shares, counted from the time that they bear.
pub const NEWS_DELAY: Duration = Duration::from_millis(500);
/// Time that a call may be on its way, and differences between clocks.
const CLOCK_SLACK: Duration = Duration::from_millis(200);
/// Minimum time between two changes of the shares, unless a version has no worker left.
const MIN_INTERVAL: Duration = Duration::from_secs(1);
/// Difference between the share of a version and its part of the slots from which on shares change.
/// Each change makes the origin of some streams unclear for as long as callers take them up.
const MIN_CHANGE: u32 = PARTS / 8;
/// Shares are counted in parts of this number.
const PARTS: u32 = 1000;
/// Time for which earlier shares are kept; callers wait a few seconds for a stream.
const KEPT: Duration = Duration::from_secs(60);
/// Maximum number of earlier shares that are kept.
const MAX_KEPT: usize = 64;
/// Number of messages to each instance that tell new shares.
const NEWS_MESSAGES: u32 = 3;
/// The longest time that callers wait, by route.
pub type Deadlines = Map<Arc<str>, Duration>;

/// Shares of the versions in new streams, from a time on.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Mix {
    /// Time in ms since the Unix epoch, by the clock that the instances share.
    pub since: u64,
    /// Versions with their shares.
    pub shares: Vec<(SoftwareVersion, u32)>,
}

/// Shares of the versions of a service over the last time, oldest first.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct History {
    /// Number of changes, which orders histories.
    pub number: u64,
    /// The shares.
    pub mixes: Vec<Mix>,
}

/// Version of the shares that an instance uses, of all services together.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ShareVersion {
    /// Sum of the numbers of the histories. It only grows in the life of a process.
    pub total: u64,
    /// Hash of the services with the numbers of their histories.
    pub digest: u32,
}

impl ShareVersion {
    /// Returns the version of some histories.
    pub fn of<'a>(histories: impl IntoIterator<Item = (&'a ServiceId, &'a History)>) -> Self {
        let mut version = Self::default();
        for (service, History { number, .. }) in histories {
            version.total = version.total.saturating_add(*number);
            // The order of the services does not matter.
            version.digest ^= fnv::hash32(service.bytes().chain(number.to_le_bytes()));
        }
        version
    }

    /// Returns whether no shares are known.
    pub fn is_empty(&self) -> bool {
        self.total == 0
    }
}

/// What an instance tells the others of the shares that it uses. Times are in ms since the Unix epoch, by
/// the clock of the sender.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ShareState {
    /// Version of the shares.
    pub version: ShareVersion,
    /// Time until which it used earlier ones, or 0.
    pub changed: u64,
    /// Time since which it has seen an instance that may use earlier shares than it does, or 0.
    pub lagging: u64,
}

/// Version that began a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Origin {
    /// The stream can only have begun at this version.
    Version(SoftwareVersion),
    /// The stream may have begun at one of several versions.
    Unclear,
}

impl Mix {
    /// Returns the version that begins the stream of a call: by weighted rendezvous hashing, so that
    /// a change of the shares moves as few calls as possible.
    pub fn choose(&self, call: &str) -> Option<&SoftwareVersion> {
        let weighted = self.shares.iter().filter(|(_, share)| *share > 0);
        let score = |(version, share): &&(SoftwareVersion, u32)| {
            f64::from(*share) / -ownership::unit(call, version).ln()
        };
        let best = weighted.max_by(|a, b| score(a).total_cmp(&score(b)));
        best.map(|(version, _)| version)
    }

    fn share(&self, version: &str) -> u32 {
        let mut shares = self.shares.iter();
        let found = shares.find(|(v, _)| **v == *version);
        found.map_or(0, |(_, share)| *share)
    }
}

impl History {
    /// Returns the version that begins the stream of a call now.
    pub fn choose(&self, call: &str) -> Option<&SoftwareVersion> {
        self.mixes.last()?.choose(call)
    }

    /// Returns the version that began the stream of a call at an unknown time since `from`, both in
    /// ms since the Unix epoch. Without a call, the version has to be the only one.
    pub fn origin(&self, call: Option<&str>, from: u64) -> Origin {
        let may_precede = |mix: &Mix| is_after(mix.since, from);
        let is_first = self.mixes.first().is_some_and(may_precede);
        self.origin_among(call, is_first, may_precede)
    }

    /// Returns the version that began the stream of a call. `may_precede` tells whether the shares
    /// before a mix may have been in use when the stream began, and `is_first` whether it may have begun
    /// before the first shares, at any version.
    fn origin_among(
        &self,
        call: Option<&str>,
        is_first: bool,
        may_precede: impl Fn(&Mix) -> bool,
    ) -> Origin {
        let next = self.mixes.iter().skip(1).map(Some).chain([None]);
        let in_use = self.mixes.iter().zip(next);
        let in_use = in_use.filter(|(_, next)| next.is_none_or(&may_precede));
        let first = self.mixes.first().filter(|_| is_first);
        let mixes = first.map(|mix| (mix, None)).into_iter();
        let mixes = mixes.chain(in_use.map(|(mix, _)| (mix, call)));
        let mut origin = None;
        for (mix, call) in mixes {
            let versions: Vec<&SoftwareVersion> = match call {
                Some(call) => mix.choose(call).into_iter().collect(),
                None => mix.shares.iter().map(|(version, _)| version).collect(),
            };
            for version in versions {
                if origin.is_some_and(|o| o != version) {
                    return Origin::Unclear;
                }
                origin = Some(version);
            }
        }
        origin.map_or(Origin::Unclear, |v| Origin::Version(v.clone()))
    }

    /// Returns the history with new shares for the slots of the versions that take requests, or `None`
    /// if the shares may stay as they are.
    pub fn next(&self, slots: &Map<SoftwareVersion, u32>, now: u64) -> Option<Self> {
        let total: u32 = slots.values().sum();
        if total == 0 {
            return None;
        }
        let target = |version: &str| {
            let slots = slots.get(version).copied().unwrap_or_default();
            (u64::from(slots) * u64::from(PARTS) / u64::from(total)) as u32
        };
        if let Some(mix) = self.mixes.last() {
            let versions = slots
                .keys()
                .chain(mix.shares.iter().map(|(version, _)| version));
            let mut changes = versions.map(|v| (mix.share(v), target(v)));
            let is_due = now >= mix.since.saturating_add(millis(MIN_INTERVAL));
            let must_change = changes.any(|(share, target)| {
                let is_gone = share > 0 && target == 0;
                is_gone || (is_due && share.abs_diff(target) > MIN_CHANGE)
            });
            if !must_change {
                return None;
            }
        }
        let mut shares: Vec<(SoftwareVersion, u32)> = slots
            .keys()
            .map(|version| (version.clone(), target(version)))
            .filter(|(_, share)| *share > 0)
            .collect();
        shares.sort_by_key(|(version, share)| (Reverse(*share), version.clone()));
        Some(self.with(vec![Mix { since: now, shares }], now))
    }

    /// Returns the history for shares that were stored, but came into use only now: until now the
    /// shares before them were in use.
    pub fn repeated(&self, now: u64) -> Self {
        let [.., before, last] = &*self.mixes else {
            return self.clone();
        };
        let until_now = Mix {
            since: last.since,
            shares: before.shares.clone(),
        };
        let from_now = Mix {
            since: now,
            shares: last.shares.clone(),
        };
        self.with(vec![until_now, from_now], now)
    }

    fn with(&self, more: Vec<Mix>, now: u64) -> Self {
        let mut mixes = self.mixes.clone();
        mixes.extend(more);
        let oldest = now.saturating_sub(millis(KEPT));
        let ended = mixes.iter().skip(1).take_while(|m| m.since < oldest);
        let ended = ended.count().max(mixes.len().saturating_sub(MAX_KEPT));
        mixes.drain(..ended);
        Self {
            number: self.number.saturating_add(1),
            mixes,
        }
    }
}

/// Returns whether shares that bear a time came into use at all instances in touch after another time.
fn is_after(since: u64, from: u64) -> bool {
    since > from.saturating_sub(millis(NEWS_DELAY + CLOCK_SLACK))
}

/// A call for a stream that may be resumed.
#[derive(Debug, Clone, Copy)]
pub struct StreamCall<'a> {
    /// Service that runs it.
    pub service: &'a ServiceId,
    /// Name of its route.
    pub route: &'a Arc<str>,
    /// Timeout of the route.
    pub timeout: Duration,
    /// Id of the call.
    pub id: &'a str,
    /// Whether the call takes a stream up.
    pub resumes: bool,
    /// Id of the call that brought the first event of that stream.
    pub origin: Option<&'a str>,
    /// Time that the caller waits from the receipt of the call on.
    pub deadline: Option<Duration>,
    /// Time since which the call may have waited at this instance.
    pub waited: Duration,
}

/// What an instance knows of the versions that begin streams. Times are in ms since the Unix epoch, by the
/// local clock, which does not step.
#[derive(Debug, Default)]
pub struct Streams {
    histories: Map<ServiceId, History>,
    /// Times at which this instance learned of the mixes that it did not read at its start, by the time
    /// that they bear.
    learned: Map<ServiceId, Map<u64, u64>>,
    lag: Lag,
    clock: SharedClock,
    /// Whether an instance that was never heard here may have begun streams.
    is_unheard: bool,
    /// Time since which another instance uses newer shares.
    behind_since: Option<u64>,
    is_read: bool,
    begun: Begun,
    deadlines: Deadlines,
    /// Histories to tell the other instances, with the number of messages that are left.
    news: Map<ServiceId, u32>,
}

impl Streams {
    /// Returns the version at which a stream has to begin or go on. `serving` returns the slots of the
    /// workers that take requests, by version. While the store has no shares, new streams begin at the
    /// version with the most slots; until it is known what the store has, at the only one.
    pub fn version(
        &mut self,
        call: &StreamCall<'_>,
        serving: impl FnOnce() -> Map<SoftwareVersion, u32>,
        now: u64,
    ) -> Origin {
        let longest = self.deadlines.entry(call.route.clone()).or_default();
        let deadline = call.deadline.unwrap_or_default();
        if !call.resumes {
            *longest = deadline.max(*longest);
        } else if deadline > call.timeout.max(*longest) {
            // Its first try named more, and was not seen here.
            *longest = KEPT;
        }
        // No earlier shares are known, so a longer wait of some callers tells nothing.
        let longest = call.timeout.max(*longest).min(KEPT);
        let history = self.histories.get(call.service);
        if call.resumes {
            let stream = call.origin.map(|id| begun::key(call.service, id));
            if let Some(origin) = stream.and_then(|s| self.begun.get(s)) {
                return origin.clone();
            }
            if let Some(history) = history {
                // Some callers name their whole deadline at each try.
                let left = call.deadline.filter(|left| *left < longest);
                let age = longest.saturating_sub(left.unwrap_or_default()) + call.waited;
                let from = now.saturating_sub(millis(age));
                let lagging = self
                    .lag
                    .since(from.saturating_sub(millis(CLOCK_SLACK)), now);
                let learned = self.learned.get(call.service);
                let clock = &self.clock;
                let may_precede = |mix: &Mix, lagging: Option<u64>| {
                    let stored = clock.local(mix.since);
                    let at = learned.and_then(|l| l.get(&mix.since));
                    let at = at.copied().unwrap_or(stored);
                    is_after(stored, from) || lagging.is_some_and(|since| at >= since)
                };
                // An instance that agreed at no known time has heard of some shares.
                let agreed = lagging.filter(|since| *since > 0);
                let first = history.mixes.first();
                let is_first = first.is_some_and(|mix| may_precede(mix, agreed));
                // Any shares that the history has may be those of an instance that was never heard.
                let lagging = if self.is_unheard { Some(0) } else { lagging };
                return history
                    .origin_among(call.origin, is_first, |next| may_precede(next, lagging));
            }
            if !self.is_read {
                return Origin::Unclear;
            }
        } else if let Some(history) = history {
            let version = history.choose(call.id).cloned();
            return version.map_or(Origin::Unclear, Origin::Version);
        }
        let serving = serving();
        let most = serving
            .iter()
            .max_by_key(|(v, slots)| (**slots, Reverse(*v)));
        match most {
            // Other instances may use shares that this one has not read yet.
            Some((version, _)) if serving.len() == 1 || (!call.resumes && self.is_read) => {
                Origin::Version(version.clone())
            }
            _ => Origin::Unclear,
        }
    }

    /// Records whether an instance that was never heard here may have begun streams.
    pub fn set_unheard(&mut self, is_unheard: bool) {
        self.is_unheard = is_unheard;
    }

    /// Returns whether the version that began the stream of a call at a service is known, as it began or
    /// went on here or another instance told it.
    pub fn has_begun(&self, service: &ServiceId, call: &str) -> bool {
        self.begun.get(begun::key(service, call)).is_some()
    }

    /// Records the version of a service that began the stream of a call here, or went on with it. Returns
    /// whether there is news for the other instances.
    pub fn record_begun(
        &mut self,
        service: &ServiceId,
        call: &str,
        version: &SoftwareVersion,
        now: u64,
    ) -> bool {
        let is_unclear = self.is_unclear(service, call, version, now);
        self.begun.record(service, call, version, is_unclear, now);
        is_unclear
    }

    /// Records the version of a stream that another instance began, or went on with.
    pub fn hear_begun(&mut self, stream: StreamKey, version: &SoftwareVersion, now: u64) {
        self.begun.hear(stream, version, now);
    }

    /// Records the version of a worker of a service that ran a call. The stream of that call, if it began one,
    /// began there.
    pub fn hear_run(
        &mut self,
        service: &ServiceId,
        call: &str,
        version: &SoftwareVersion,
        now: u64,
    ) {
        self.begun.hear(begun::key(service, call), version, now);
    }

    /// Returns the versions of streams to tell the other instances of the zone now.
    pub fn take_begun(&mut self) -> Vec<(StreamKey, SoftwareVersion)> {
        self.begun.take_news()
    }

    /// Asks the other instances for the version that began the stream of a call.
    pub fn ask_begun(&mut self, service: &ServiceId, call: &str) {
        self.begun.ask(begun::key(service, call));
    }

    /// Returns the streams to ask the other instances for now.
    pub fn take_asked(&mut self) -> Vec<StreamKey> {
        self.begun.take_asked()
    }

    /// Returns those of some streams whose versions are known here.
    pub fn find_begun(&self, streams: &[StreamKey]) -> Vec<(StreamKey, SoftwareVersion)> {
        self.begun.find(streams)
    }

    /// Returns whether an instance that does not know when the stream of a call began, or what shares its
    /// instance used, may find several versions or another one than the given.
    fn is_unclear(
        &self,
        service: &ServiceId,
        call: &str,
        version: &SoftwareVersion,
        now: u64,
    ) -> bool {
        let Some(history) = self.histories.get(service) else {
            return false;
        };
        let learned = self.learned.get(service);
        let is_recent = |mix: &Mix| {
            let learned = learned.and_then(|l| l.get(&mix.since)).copied();
            let in_use = self.clock.local(mix.since).max(learned.unwrap_or_default());
            now < in_use.saturating_add(millis(KEPT))
        };
        let is_first = history.mixes.first().is_some_and(is_recent);
        let origin = history.origin_among(Some(call), is_first, is_recent);
        origin != Origin::Version(version.clone())
    }

    /// Tells the versions of the streams of a service that became unclear as its shares changed.
    fn tell_begun(&mut self, service: &ServiceId, now: u64) {
        let untold = self.begun.untold(service);
        let unclear = untold.filter(|(_, call, v)| self.is_unclear(service, call, v, now));
        let unclear: Vec<StreamKey> = unclear.map(|(stream, ..)| stream).collect();
        self.begun.tell(&unclear);
    }

    /// Returns the history of a service, which is empty if none is known.
    pub fn history(&self, service: &ServiceId) -> History {
        self.histories.get(service).cloned().unwrap_or_default()
    }

    /// Returns all histories.
    pub fn histories(&self) -> Vec<(ServiceId, History)> {
        let histories = self.histories.iter();
        histories.map(|(s, h)| (s.clone(), h.clone())).collect()
    }

    /// Records how long callers waited at most, by route, as other instances have seen it.
    pub fn hear_deadlines(&mut self, deadlines: Deadlines) {
        for (route, deadline) in deadlines {
            let longest = self.deadlines.entry(route).or_default();
            *longest = deadline.max(*longest);
        }
    }

    /// Returns the longest time that callers waited, by route, as far as known here.
    pub fn deadlines(&self) -> Deadlines {
        self.deadlines.clone()
    }

    /// Records the histories that the store has.
    pub fn set_read(&mut self) {
        self.is_read = true;
    }

    /// Uses a history if it is newer.
    pub fn merge(&mut self, service: ServiceId, history: History, now: u64) {
        let known = self.histories.get(&service);
        if known.is_some_and(|k| k.number >= history.number) {
            return;
        }
        if let Some(known) = known {
            let learned = self.learned.entry(service.clone()).or_default();
            let is_known = |since: u64| known.mixes.iter().any(|m| m.since == since);
            let new = history.mixes.iter().filter(|m| !is_known(m.since));
            learned.extend(new.map(|m| (m.since, now)));
            learned.retain(|since, _| history.mixes.iter().any(|m| m.since == *since));
            self.lag.record_change(now);
        }
        self.histories.insert(service.clone(), history);
        self.behind_since = None;
        self.tell_begun(&service, now);
    }

    /// Returns what to tell the other instances of the shares that are used here.
    pub fn share_state(&self, now: u64) -> ShareState {
        ShareState {
            version: ShareVersion::of(&self.histories),
            changed: self.lag.changed().unwrap_or_default(),
            lagging: self.lag.observed(now).unwrap_or_default(),
        }
    }

    /// Records the time that an instance sent by its own clock.
    pub fn hear_clock(&mut self, member: &InstanceId, sent: u64, now: u64) {
        self.clock.hear(member, sent, now);
    }

    /// Returns the present time of the clock that the instances share.
    pub fn shared_time(&self, now: u64) -> u64 {
        self.clock.shared(now)
    }

    /// Records what an instance tells of the shares that it uses.
    pub fn hear(&mut self, member: &InstanceId, shares: &ShareState, now: u64) {
        self.clock.retain(member, now);
        let local = ShareVersion::of(&self.histories);
        let ShareState {
            version,
            changed,
            lagging,
        } = *shares;
        if local.is_empty() || version.is_empty() {
            return;
        }
        let heard = Heard {
            agrees: version == local,
            // Without the clock of a new member, it may have used earlier shares until now.
            changed: match changed {
                0 => 0,
                told => self.clock.local_of(member, told).unwrap_or(now),
            },
            lagging: (lagging > 0).then(|| {
                let known = self.clock.local_of(member, lagging);
                known.unwrap_or_else(|| self.clock.local(lagging))
            }),
        };
        self.lag.hear(member, heard, now);
        if version.total > local.total {
            self.behind_since.get_or_insert(now);
        }
    }

    /// Returns whether another instance uses newer shares.
    pub fn hears_newer(&self) -> bool {
        self.behind_since.is_some()
    }

    /// Returns whether another instance has used newer shares for longer than messages on them take.
    pub fn is_behind(&self, now: u64) -> bool {
        let overdue = |since| now >= millis(NEWS_DELAY).saturating_add(since);
        self.behind_since.is_some_and(overdue)
    }

    /// Forgets that another instance uses newer shares, after the store was read.
    pub fn set_caught_up(&mut self) {
        self.behind_since = None;
    }

    /// Tells the other instances the history of a service, several times, as messages get lost.
    pub fn tell(&mut self, service: &ServiceId) {
        self.news.insert(service.clone(), NEWS_MESSAGES);
    }

    /// Returns the histories to tell the other instances now.
    pub fn take_news(&mut self) -> Vec<(ServiceId, History)> {
        let told = self.news.keys();
        let histories = told.filter_map(|s| Some((s.clone(), self.histories.get(s)?.clone())));
        let histories = histories.collect();
        self.news.retain(|_, left| {
            *left -= 1;
            *left > 0
        });
        histories
    }
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}
