//! State of the control thread, and the view of the fleet that is built from it.

use std::time::Duration;

use crate::{
    context::Context,
    event,
    ids::{InstanceId, Map, SessionId, Set, WorkerId, Zone},
    instance_list::{ListState, ListedTarget, TargetKind},
    members::{self, Identity, Members},
    ownership,
    peer::{Digest, WorkerLoad},
    peer_levels::{PeerRuns, RunCheck},
    placement::{self, Placement, ZoneWorker},
    platform::Object,
    sheet::Sheet,
    sheet_log::SheetLog,
    spread::{Delta, KindView, Watched},
    status::PeerCounts,
    view::{ServiceTarget, View, WorkerInfo},
    workers::Load,
};

/// Number of instances in each zone that watch the platform.
const WATCHERS: usize = 2;
/// Maximum number of loads in a digest, which keeps digests small at 32 workers per instance.
const LOADS_SENT: usize = 2;
/// Longest wait for a worker of each model of the first sheet before the instance counts as
/// initialized. It covers a read of the instance list and of a load report, and bounds the wait
/// for a model that has no worker at all.
const WORKER_WAIT: Duration = Duration::from_secs(5);
/// Time for which a full instance list that was read at a start is withheld from peers. A change
/// reaches all instances within about 4 s.
const LIST_WITHHELD: Duration = Duration::from_secs(5);
/// Age from which a load report is stale.
pub const LOAD_MAX_AGE: Duration = Duration::from_secs(10);

/// Last known load of a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownLoad {
    /// The load.
    pub load: WorkerLoad,
    /// When it was reported.
    pub at: Duration,
}

/// Content of a digest besides identity and views. Loads are the largest part; every instance of
/// the zone gets them often enough when only the initiator of an exchange sends them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Detail {
    /// No more than identity and views; sent to other zones.
    Views,
    /// Heartbeats; sent in replies.
    Heartbeats,
    /// Heartbeats and loads of owned workers; sent to instances of the same zone.
    Zone,
}

/// State of an instance. It is used on the control thread only.
#[derive(Debug)]
pub struct State {
    /// Known entry instances and targets.
    pub members: Members,
    /// Sheet log.
    pub log: SheetLog,
    /// Last known loads of workers.
    pub loads: Map<WorkerId, KnownLoad>,
    /// Counters of calls from and to other entry instances.
    pub counts: PeerCounts,
    /// Whether a read of the sheet from the platform has succeeded.
    pub answered: bool,
    /// Time of the last message from a peer or answer of the platform; `None` at a start and after
    /// a pause.
    pub last_contact: Option<Duration>,
    /// Random number generator for samples and jitter.
    pub rng: fastrand::Rng,
    pub(crate) views: Map<Watched, KindView>,
    live: Map<Zone, Vec<InstanceId>>,
    peer_runs: PeerRuns,
    owners: Map<WorkerId, InstanceId>,
    owned: Set<WorkerId>,
    /// Engines of the zone.
    zone_engines: Vec<WorkerId>,
    /// Engines that this instance does not own, in no order.
    foreign_engines: Vec<WorkerId>,
    /// Whether live instances or targets changed since the owners were chosen.
    owners_stale: bool,
    pulling: Set<Watched>,
    watching: bool,
    /// When the sheet was first known.
    sheet_known_since: Option<Duration>,
    initialized: bool,
    /// Earliest time of the next sheet check.
    pub(crate) check_due: Duration,
    list_withheld_until: Option<Duration>,
    pub(crate) dirty: bool,
}

impl State {
    /// Builds the state of an instance that has just started.
    pub fn new(local: Identity, seed: u64) -> Self {
        Self {
            members: Members::new(local),
            log: SheetLog::default(),
            loads: Map::default(),
            counts: PeerCounts::default(),
            answered: false,
            last_contact: None,
            rng: fastrand::Rng::with_seed(seed),
            views: Watched::ALL
                .iter()
                .map(|k| (*k, KindView::default()))
                .collect(),
            live: Map::default(),
            peer_runs: PeerRuns::default(),
            owners: Map::default(),
            owned: Set::default(),
            zone_engines: Vec::new(),
            foreign_engines: Vec::new(),
            owners_stale: true,
            pulling: Set::default(),
            watching: false,
            sheet_known_since: None,
            initialized: false,
            check_due: Duration::ZERO,
            list_withheld_until: None,
            dirty: true,
        }
    }

    /// Returns the view of a kind.
    pub fn view(&self, kind: Watched) -> &KindView {
        &self.views[&kind]
    }

    /// Merges a delta of a watched kind and returns whether an object changed.
    pub fn merge(&mut self, kind: Watched, delta: Delta, now: Duration) -> bool {
        let view = self.views.entry(kind).or_default();
        if !view.merge(delta) {
            return false;
        }
        self.apply_view(kind, now);
        true
    }

    /// Merges objects of a watched kind that were read individually.
    pub fn merge_objects(&mut self, kind: Watched, objects: Vec<Object>, now: Duration) {
        if self.views.entry(kind).or_default().merge_objects(objects) {
            self.apply_view(kind, now);
        }
    }

    /// Withholds the instance list from peers for a while after it was read in full at a start. A
    /// peer that is behind would have to pull the full list from this instance; meanwhile it gets
    /// the changes from others.
    pub fn withhold_list(&mut self, now: Duration) {
        self.list_withheld_until = Some(now + LIST_WITHHELD);
    }

    fn apply_view(&mut self, kind: Watched, now: Duration) {
        self.dirty = true;
        match kind {
            Watched::Sheet => self.apply_sheet_view(now),
            Watched::Job => {}
            Watched::Instances => {
                let list = members::list_of(self.view(kind).objects());
                self.members.set_list(list, now);
                let members = &self.members;
                self.loads
                    .retain(|worker, _| members.target(worker).is_some());
                self.owners_stale = true;
            }
        }
    }

    /// Merges the digest of another instance.
    pub fn merge_digest(&mut self, ctx: &Context, digest: Digest, now: Duration) {
        self.last_contact = Some(now);
        self.members.record_heartbeat(digest.identity, now);
        self.members.merge_relayed(&digest.heartbeats, now);
        for load in digest.loads {
            if !self.owns(&load.worker) {
                let counts = Load {
                    running: load.online + load.batch,
                    waiting: load.waiting,
                };
                ctx.workers.cell(&load.worker).set_announced(load.online);
                self.set_load(ctx, load, counts, now);
            }
        }
    }

    /// Records the load of a worker and the request counts that were reported with it.
    pub fn set_load(&mut self, ctx: &Context, load: WorkerLoad, counts: Load, now: Duration) {
        let known = self.loads.get(&load.worker).map(|k| &k.load);
        let same = known.is_some_and(|k| {
            (k.slots, k.leaving, &k.model, &k.version)
                == (load.slots, load.leaving, &load.model, &load.version)
        });
        self.dirty |= !same;
        let slots = effective_slots(&load, &self.log.in_force().sheet);
        ctx.workers
            .cell(&load.worker)
            .set_report(counts, slots, now);
        let worker = load.worker.clone();
        self.loads.insert(worker, KnownLoad { load, at: now });
    }

    /// Returns the digest of this instance.
    pub fn digest(&mut self, detail: Detail, now: Duration) -> Digest {
        let withheld = self.list_withheld_until.is_some_and(|until| now < until);
        let offered = |kind: &Watched| !withheld || *kind != Watched::Instances;
        let views = self.views.iter().filter(|(kind, _)| offered(kind));
        let views = views.map(|(k, v)| (*k, v.latest())).collect();
        let heartbeats = match detail {
            Detail::Views => Vec::new(),
            Detail::Heartbeats | Detail::Zone => self.members.recent_heartbeats(now, &mut self.rng),
        };
        let loads = match detail {
            Detail::Views | Detail::Heartbeats => Vec::new(),
            Detail::Zone => self.owned_loads(now),
        };
        Digest {
            identity: self.members.local().clone(),
            views,
            loads,
            heartbeats,
        }
    }

    /// Returns the fresh loads of owned workers, a random sample when there are many.
    fn owned_loads(&mut self, now: Duration) -> Vec<WorkerLoad> {
        let mut names: Vec<&WorkerId> = self.owned.iter().collect();
        self.rng.shuffle(&mut names);
        names.truncate(LOADS_SENT);
        let known = names
            .into_iter()
            .filter_map(|worker| self.loads.get(worker));
        let fresh = known.filter(|k| now.saturating_sub(k.at) < LOAD_MAX_AGE);
        fresh.map(|k| k.load.clone()).collect()
    }

    /// Begins a pull of a watched kind and returns whether it may run. There is one pull per kind
    /// at a time, so that a change which several peers report is pulled once.
    pub fn begin_pull(&mut self, kind: Watched) -> bool {
        self.pulling.insert(kind)
    }

    /// Records that a pull of a watched kind has ended.
    pub fn end_pull(&mut self, kind: Watched) {
        self.pulling.remove(&kind);
    }

    /// Returns the batch owner of a worker.
    pub fn owner(&self, worker: &WorkerId) -> Option<InstanceId> {
        self.owners.get(worker).cloned()
    }

    /// Returns whether this instance is the batch owner of a worker.
    pub fn owns(&self, worker: &WorkerId) -> bool {
        self.owned.contains(worker)
    }

    /// Resets what depends on elapsed time after a pause of this instance.
    pub fn resume(&mut self, now: Duration) {
        self.members.resume(now);
        self.last_contact = None;
    }

    /// Returns whether a peer or the platform sent something within [`members::HEARTBEAT_LIMIT`].
    /// After a pause this is false, because the workers of this instance may have been given to
    /// another.
    pub fn has_recent_contact(&self, now: Duration) -> bool {
        let recent = |at: Duration| now.saturating_sub(at) < members::HEARTBEAT_LIMIT;
        self.last_contact.is_some_and(recent)
    }

    /// Returns whether this instance can take requests: it has the sheet or the platform answered
    /// that there is none, and each model of the sheet has a loaded worker or [`WORKER_WAIT`] is
    /// over. Without workers it would refuse the first requests after each restart. Once true, the
    /// result does not change, whatever happens to the workers.
    pub fn is_initialized(&mut self, now: Duration) -> bool {
        if self.initialized {
            return true;
        }
        let sheet = &self.log.in_force().sheet;
        if !self.answered && self.log.in_force().revision == 0 {
            return false;
        }
        let since = *self.sheet_known_since.get_or_insert(now);
        // A peer's digest may bring loads before the list with their workers.
        let listed = |k: &&KnownLoad| self.members.target(&k.load.worker).is_some();
        let is_loaded = |model| {
            let mut loads = self.loads.values().filter(listed);
            loads.any(|k| k.load.model.as_ref() == Some(model))
        };
        self.initialized = sheet.models.keys().all(is_loaded) || now - since >= WORKER_WAIT;
        self.initialized
    }

    /// Decides and returns whether this instance watches the platform for its zone. It also does so
    /// when no other instance of the zone is live.
    pub fn update_watcher(&mut self, now: Duration) -> bool {
        let local = self.members.local().clone();
        let live = self.members.live(now);
        let zone = live.get(&local.zone).map_or(&[][..], Vec::as_slice);
        let rank = ownership::position(&format!("watch/{}", local.zone), &local.id, zone);
        let alone = !zone.iter().any(|id| *id != local.id);
        let watches = alone || (rank < WATCHERS && !local.leaving);
        if watches != self.watching {
            self.watching = watches;
            event!(
                Info,
                WatcherChanged,
                "zone={} watches={watches}",
                local.zone
            );
        }
        watches
    }

    /// Returns the workers of the zone as input for placement. `placed` holds the placement records
    /// that this instance has read.
    pub fn zone_workers(&self, placed: &Map<WorkerId, Placement>) -> Vec<ZoneWorker> {
        let zone_engines = self.zone_engines.iter();
        let engines = zone_engines.filter_map(|id| self.members.target(id));
        let mut zone_workers: Vec<ZoneWorker> = engines
            .filter(|t| !self.is_leaving(t))
            .map(|t| self.zone_worker(t, placed.get(&t.id)))
            .collect();
        zone_workers.sort_by(|a, b| a.worker.cmp(&b.worker));
        zone_workers
    }

    fn zone_worker(&self, target: &ListedTarget, placed: Option<&Placement>) -> ZoneWorker {
        let load = self.loads.get(&target.id).map(|k| &k.load);
        let loaded = load.and_then(|l| l.model.clone());
        ZoneWorker {
            worker: target.id.clone(),
            model: placed.map(|p| p.model.clone()).or(loaded),
            busy: load.is_some_and(|l| l.online + l.batch + l.waiting > 0),
        }
    }

    /// Returns the placements that the sheet requires of the workers of the zone.
    pub fn wanted(&self, placed: &Map<WorkerId, Placement>) -> Map<WorkerId, Placement> {
        placement::assign(&self.zone_workers(placed), &self.log.in_force().sheet)
    }

    fn is_leaving(&self, target: &ListedTarget) -> bool {
        let reported = self.loads.get(&target.id).is_some_and(|k| k.load.leaving);
        target.state == ListState::Leaving || reported
    }

    /// Builds the next view, or returns `None` when nothing changed since the last one.
    pub fn build(&mut self, ctx: &Context, now: Duration) -> Option<View> {
        self.check_sheet(now);
        let live = self.members.live(now);
        if live != self.live {
            self.log_members(&live);
            self.live = live;
            self.owners_stale = true;
        }
        for id in self.peer_runs.remove_gone(&self.members, now) {
            self.clear_levels(ctx, &id, now);
        }
        if std::mem::take(&mut self.owners_stale) {
            self.choose_owners();
            self.dirty = true;
        }
        if !std::mem::take(&mut self.dirty) {
            return None;
        }
        Some(self.build_view(now))
    }

    fn log_members(&self, live: &Map<Zone, Vec<InstanceId>>) {
        let names = |zones: &Map<Zone, Vec<InstanceId>>| -> Set<InstanceId> {
            zones.values().flatten().cloned().collect()
        };
        let (old, new) = (names(&self.live), names(live));
        for id in new.difference(&old) {
            event!(Info, MemberJoined, "instance={id}");
        }
        for id in old.difference(&new) {
            event!(Info, MemberLeft, "instance={id}");
        }
    }

    /// Records how many online requests a run of an instance has in flight on a worker.
    pub fn set_level(
        &mut self,
        ctx: &Context,
        (id, session): (InstanceId, SessionId),
        worker: &WorkerId,
        level: u32,
        now: Duration,
    ) {
        match self.peer_runs.record(&self.members, &id, session, now) {
            RunCheck::Late => return,
            RunCheck::NewRun => self.clear_levels(ctx, &id, now),
            RunCheck::Current => {}
        }
        ctx.workers.cell(worker).set_peer_level(&id, level, now);
    }

    fn clear_levels(&self, ctx: &Context, id: &InstanceId, now: Duration) {
        for worker in self.owners.keys() {
            ctx.workers.cell(worker).set_peer_level(id, 0, now);
        }
    }

    /// Chooses the owners of all workers. This computes a hash for each worker and live instance of
    /// its zone, so it runs only when instances or targets change.
    fn choose_owners(&mut self) {
        let engines = self.members.targets().filter(|t| is_engine(t));
        let owner = |t: &ListedTarget| {
            let candidates = self.live.get(&t.zone)?;
            Some((t.id.clone(), ownership::owner(&t.id, candidates)?.clone()))
        };
        self.owners = engines.filter_map(owner).collect();
        let local = self.members.local();
        let owned = self.owners.iter().filter(|(_, owner)| **owner == local.id);
        self.owned = owned.map(|(worker, _)| worker.clone()).collect();
        let engines = || self.members.targets().filter(|t| is_engine(t));
        let zone_engines = engines().filter(|t| t.zone == local.zone);
        let zone_engines = zone_engines.map(|t| t.id.clone()).collect();
        let foreign_engines = engines().filter(|t| !self.owned.contains(&t.id));
        let foreign_engines = foreign_engines.map(|t| t.id.clone()).collect();
        (self.zone_engines, self.foreign_engines) = (zone_engines, foreign_engines);
    }

    /// Returns the owned workers.
    pub fn owned(&self) -> impl Iterator<Item = &ListedTarget> {
        let owned = self.owned.iter();
        owned.filter_map(|id| self.members.target(id))
    }

    /// Returns up to `count` engines that this instance does not own, starting at position `from`
    /// and wrapping around.
    pub fn foreign(&self, from: usize, count: usize) -> impl Iterator<Item = &ListedTarget> {
        let (before, after) = self
            .foreign_engines
            .split_at(from % self.foreign_engines.len().max(1));
        let window = after.iter().chain(before).take(count);
        window.filter_map(|id| self.members.target(id))
    }

    fn build_view(&self, now: Duration) -> View {
        let in_force = self.log.in_force();
        let engines = self.members.targets().filter(|t| is_engine(t));
        let mut workers: Vec<_> = engines.map(|t| self.worker(t, &in_force.sheet)).collect();
        workers.sort_by(|a, b| a.id.cmp(&b.id));
        let plain = self.members.targets().filter(|t| !is_engine(t));
        let mut services: Vec<_> = plain.map(service_target).collect();
        services.sort_by(|a, b| a.id.cmp(&b.id));
        let live = self
            .members
            .entries()
            .filter(|m| self.members.is_live(m, now));
        View {
            revision: in_force.revision,
            sheet: in_force.sheet.clone(),
            workers,
            services,
            jobs: self.view(Watched::Job).objects().clone(),
            peers: live
                .map(|m| (m.identity.id.clone(), m.identity.address))
                .collect(),
        }
    }

    fn worker(&self, target: &ListedTarget, sheet: &Sheet) -> WorkerInfo {
        let load = self.loads.get(&target.id).map(|k| &k.load);
        WorkerInfo {
            id: target.id.clone(),
            address: target.address,
            zone: target.zone.clone(),
            model: load.and_then(|l| l.model.clone()),
            version: load.map(|l| l.version.clone()).unwrap_or_default(),
            slots: load.map_or(0, |l| effective_slots(l, sheet)),
            leaving: self.is_leaving(target),
            owner: self.owners.get(&target.id).cloned(),
        }
    }

    /// Returns the last result of [`Self::update_watcher`].
    pub fn is_watcher(&self) -> bool {
        self.watching
    }
}

/// Returns the slots of a worker: the lower of its own limit and the limit of its model in the
/// sheet.
fn effective_slots(load: &WorkerLoad, sheet: &Sheet) -> u32 {
    let model = load.model.as_ref().and_then(|m| sheet.models.get(m));
    model.map_or(load.slots, |m| m.slots.min(load.slots))
}

fn is_engine(target: &ListedTarget) -> bool {
    target.kind == TargetKind::Engine
}

fn service_target(target: &ListedTarget) -> ServiceTarget {
    ServiceTarget {
        id: target.id.clone(),
        service: target.service.clone(),
        address: target.address,
        zone: target.zone.clone(),
        leaving: target.state == ListState::Leaving,
    }
}
