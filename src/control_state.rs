//! State of control: what the instance knows, and what it publishes from it.

use std::time::Duration;

use crate::{
    context::Context,
    event,
    ids::{InstanceId, Map, SessionId, Set, WorkerId, Zone},
    instance_list::{ListState, ListedTarget, TargetKind},
    members::{self, Identity, Members},
    ownership,
    peer::{Digest, WorkerLoad},
    peer_levels::{Notice, PeerRuns},
    placement::{self, Place, Placement},
    platform::Object,
    sheet::Sheet,
    sheet_log::SheetLog,
    spread::{Delta, KindView, Watched},
    status::PeerCounts,
    view::{ServiceTarget, View, WorkerInfo},
    workers::Load,
};

/// Watchers of the platform in each zone.
const WATCHERS: usize = 2;
/// Loads in a digest at most, so that digests stay small at 32 workers for each instance.
const LOADS_SENT: usize = 2;
/// Longest wait for a worker of each model of the first sheet before the instance counts as
/// informed. It is longer than a read of the instance list and of a load report, and ends when a
/// model has no worker at all.
const WORKER_WAIT: Duration = Duration::from_secs(5);
/// Time for which a list that was read whole at a start is not offered. A change is known to all
/// instances within about 4 s.
const LIST_HELD: Duration = Duration::from_secs(5);
/// Age up to which a load report counts as fresh.
pub const LOAD_FRESH: Duration = Duration::from_secs(10);

/// Last known load of a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownLoad {
    /// The load.
    pub load: WorkerLoad,
    /// When it was reported.
    pub at: Duration,
}

/// What a digest holds besides identity and views. Loads are the largest part of it; each
/// instance of the zone gets them often enough when only the beginner of an exchange sends them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Detail {
    /// Nothing more; for other zones.
    Views,
    /// Heartbeats; for answers.
    Heartbeats,
    /// Heartbeats and loads of owned workers; for instances of the zone.
    Zone,
}

/// What an instance knows. All of it lives on the control thread.
#[derive(Debug)]
pub struct State {
    /// Entry instances and targets.
    pub members: Members,
    /// Log of the sheet.
    pub log: SheetLog,
    /// Loads of workers.
    pub loads: Map<WorkerId, KnownLoad>,
    /// Calls of other entry instances.
    pub counts: PeerCounts,
    /// Whether the platform has answered what the sheet is.
    pub answered: bool,
    /// Last time at which a peer or the platform answered.
    pub contact: Option<Duration>,
    /// Random choices.
    pub rng: fastrand::Rng,
    pub(crate) views: Map<Watched, KindView>,
    live: Map<Zone, Vec<InstanceId>>,
    peer_runs: PeerRuns,
    owners: Map<WorkerId, InstanceId>,
    owned: Set<WorkerId>,
    /// Engines of the zone.
    near: Vec<WorkerId>,
    /// Engines that other instances own, in no order.
    foreign: Vec<WorkerId>,
    moved: bool,
    pulling: Set<Watched>,
    watching: bool,
    /// When the sheet was known first.
    sheet_known: Option<Duration>,
    initialized: bool,
    /// When the sheet may be checked next.
    pub(crate) check_due: Duration,
    list_held: Option<Duration>,
    pub(crate) dirty: bool,
}

impl State {
    /// Builds the state of an instance that knows nothing yet.
    pub fn new(me: Identity, seed: u64) -> Self {
        Self {
            members: Members::new(me),
            log: SheetLog::default(),
            loads: Map::default(),
            counts: PeerCounts::default(),
            answered: false,
            contact: None,
            rng: fastrand::Rng::with_seed(seed),
            views: Watched::ALL
                .iter()
                .map(|k| (*k, KindView::default()))
                .collect(),
            live: Map::default(),
            peer_runs: PeerRuns::default(),
            owners: Map::default(),
            owned: Set::default(),
            near: Vec::new(),
            foreign: Vec::new(),
            moved: true,
            pulling: Set::default(),
            watching: false,
            sheet_known: None,
            initialized: false,
            check_due: Duration::ZERO,
            list_held: None,
            dirty: true,
        }
    }

    /// Returns the view of a kind.
    pub fn view(&self, kind: Watched) -> &KindView {
        &self.views[&kind]
    }

    /// Takes over a delta of a kind and says whether something changed.
    pub fn merge(&mut self, kind: Watched, delta: Delta, now: Duration) -> bool {
        let view = self.views.entry(kind).or_default();
        if !view.merge(delta) {
            return false;
        }
        self.follow(kind, now);
        true
    }

    /// Takes over objects of a kind that were read one by one.
    pub fn learn(&mut self, kind: Watched, objects: Vec<Object>, now: Duration) {
        if self.views.entry(kind).or_default().learn(objects) {
            self.follow(kind, now);
        }
    }

    /// Offers the instance list to no peer for a while, after it was read whole at a start. A peer
    /// that is behind would have to take the whole of it from here; meanwhile it gets the changes
    /// from others.
    pub fn hold_list(&mut self, now: Duration) {
        self.list_held = Some(now + LIST_HELD);
    }

    fn follow(&mut self, kind: Watched, now: Duration) {
        self.dirty = true;
        match kind {
            Watched::Sheet => self.follow_sheet(now),
            Watched::Job => {}
            Watched::Instances => {
                let list = members::list_of(self.view(kind).objects());
                self.members.set_list(list, now);
                let members = &self.members;
                self.loads
                    .retain(|worker, _| members.target(worker).is_some());
                self.moved = true;
            }
        }
    }

    /// Takes over a digest of another instance.
    pub fn take_digest(&mut self, ctx: &Context, digest: Digest, now: Duration) {
        self.contact = Some(now);
        self.members.set_heard(digest.identity, now);
        self.members.set_relayed(&digest.heard, now);
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

    /// Takes over the load of a worker, and what was reported for its counts.
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
        let held = self.list_held.is_some_and(|until| now < until);
        let offered = |kind: &Watched| !held || *kind != Watched::Instances;
        let views = self.views.iter().filter(|(kind, _)| offered(kind));
        let views = views.map(|(k, v)| (*k, v.latest())).collect();
        let heard = match detail {
            Detail::Views => Vec::new(),
            Detail::Heartbeats | Detail::Zone => self.members.heard(now, &mut self.rng),
        };
        let loads = match detail {
            Detail::Views | Detail::Heartbeats => Vec::new(),
            Detail::Zone => self.owned_loads(now),
        };
        Digest {
            identity: self.members.local().clone(),
            views,
            loads,
            heard,
        }
    }

    /// Returns loads of owned workers, a random part of them when there are many.
    fn owned_loads(&mut self, now: Duration) -> Vec<WorkerLoad> {
        let mut names: Vec<&WorkerId> = self.owned.iter().collect();
        self.rng.shuffle(&mut names);
        names.truncate(LOADS_SENT);
        let known = names
            .into_iter()
            .filter_map(|worker| self.loads.get(worker));
        let fresh = known.filter(|k| now.saturating_sub(k.at) < LOAD_FRESH);
        fresh.map(|k| k.load.clone()).collect()
    }

    /// Says whether a pull of a kind may begin: one at a time, so that a change that several
    /// peers tell of is pulled once.
    pub fn begin_pull(&mut self, kind: Watched) -> bool {
        self.pulling.insert(kind)
    }

    /// Notes that a pull of a kind has ended.
    pub fn end_pull(&mut self, kind: Watched) {
        self.pulling.remove(&kind);
    }

    /// Returns the batch owner of a worker.
    pub fn owner(&self, worker: &WorkerId) -> Option<InstanceId> {
        self.owners.get(worker).cloned()
    }

    /// Says whether this instance is the batch owner of a worker.
    pub fn owns(&self, worker: &WorkerId) -> bool {
        self.owned.contains(worker)
    }

    /// Starts anew after a pause of this instance.
    pub fn resume(&mut self, now: Duration) {
        self.members.resume(now);
        self.contact = None;
    }

    /// Says whether this instance has heard of anything lately. After a pause it has not, and
    /// what it believes to own may have another owner.
    pub fn is_in_touch(&self, now: Duration) -> bool {
        let recent = |at: Duration| now.saturating_sub(at) < members::HEARTBEAT_LIMIT;
        self.contact.is_some_and(recent)
    }

    /// Says whether this instance knows enough to take requests: the sheet, or that there is none,
    /// and a worker for each of its models. Without the latter it would refuse the first requests
    /// after each restart. Once informed it stays so, whatever becomes of the workers.
    pub fn is_initialized(&mut self, now: Duration) -> bool {
        if self.initialized {
            return true;
        }
        let sheet = &self.log.in_force().sheet;
        if !self.answered && self.log.in_force().revision == 0 {
            return false;
        }
        let since = *self.sheet_known.get_or_insert(now);
        let is_loaded = |model| {
            self.loads
                .values()
                .any(|k| k.load.model.as_ref() == Some(model))
        };
        self.initialized = sheet.models.keys().all(is_loaded) || now - since >= WORKER_WAIT;
        self.initialized
    }

    /// Says whether this instance watches the platform for its zone. It does so as well when it
    /// hears no other instance of the zone.
    pub fn update_watcher(&mut self, now: Duration) -> bool {
        let me = self.members.local().clone();
        let live = self.members.live(now);
        let zone = live.get(&me.zone).map_or(&[][..], Vec::as_slice);
        let rank = ownership::position(&format!("watch/{}", me.zone), &me.id, zone);
        let alone = !zone.iter().any(|id| *id != me.id);
        let watches = alone || (rank < WATCHERS && !me.leaving);
        if watches != self.watching {
            self.watching = watches;
            event!(Info, WatcherChanged, "zone={} watches={watches}", me.zone);
        }
        watches
    }

    /// Returns the workers of the zone as placement sees them; `placed` are the records that this
    /// instance knows.
    pub fn places(&self, placed: &Map<WorkerId, Placement>) -> Vec<Place> {
        let near = self.near.iter();
        let engines = near.filter_map(|id| self.members.target(id));
        let mut places: Vec<Place> = engines
            .filter(|t| !self.is_leaving(t))
            .map(|t| self.place(t, placed.get(&t.id)))
            .collect();
        places.sort_by(|a, b| a.worker.cmp(&b.worker));
        places
    }

    fn place(&self, target: &ListedTarget, placed: Option<&Placement>) -> Place {
        let load = self.loads.get(&target.id).map(|k| &k.load);
        let loaded = load.and_then(|l| l.model.clone());
        Place {
            worker: target.id.clone(),
            model: placed.map(|p| p.model.clone()).or(loaded),
            busy: load.is_some_and(|l| l.online + l.batch + l.waiting > 0),
        }
    }

    /// Returns what the sheet wants of the zone's workers.
    pub fn wanted(&self, placed: &Map<WorkerId, Placement>) -> Map<WorkerId, Placement> {
        placement::assign(&self.places(placed), &self.log.in_force().sheet)
    }

    fn is_leaving(&self, target: &ListedTarget) -> bool {
        let reported = self.loads.get(&target.id).is_some_and(|k| k.load.leaving);
        target.state == ListState::Leaving || reported
    }

    /// Builds the next view; nothing when it cannot differ from the last one.
    pub fn build(&mut self, ctx: &Context, now: Duration) -> Option<View> {
        self.check_sheet(now);
        let live = self.members.live(now);
        if live != self.live {
            self.log_members(&live);
            self.live = live;
            self.moved = true;
        }
        for id in self.peer_runs.remove_gone(&self.members, now) {
            self.forget_levels(ctx, &id, now);
        }
        if std::mem::take(&mut self.moved) {
            self.choose_owners();
            self.dirty = true;
        }
        if !std::mem::take(&mut self.dirty) {
            return None;
        }
        Some(self.view_now(now))
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

    /// Takes over how many online requests a run of an instance has on a worker.
    pub fn set_level(
        &mut self,
        ctx: &Context,
        (id, session): (InstanceId, SessionId),
        worker: &WorkerId,
        level: u32,
        now: Duration,
    ) {
        match self.peer_runs.note(&self.members, &id, session, now) {
            Notice::Late => return,
            Notice::NewRun => self.forget_levels(ctx, &id, now),
            Notice::Current => {}
        }
        ctx.workers.cell(worker).set_peer_level(&id, level, now);
    }

    fn forget_levels(&self, ctx: &Context, id: &InstanceId, now: Duration) {
        for worker in self.owners.keys() {
            ctx.workers.cell(worker).set_peer_level(id, 0, now);
        }
    }

    /// Chooses the owners of all workers. It takes a hash for each worker and live instance of its
    /// zone, so it runs only when instances or targets change.
    fn choose_owners(&mut self) {
        let engines = self.members.targets().filter(|t| is_engine(t));
        let owner = |t: &ListedTarget| {
            let candidates = self.live.get(&t.zone)?;
            Some((t.id.clone(), ownership::owner(&t.id, candidates)?.clone()))
        };
        self.owners = engines.filter_map(owner).collect();
        let me = self.members.local();
        let owned = self.owners.iter().filter(|(_, owner)| **owner == me.id);
        self.owned = owned.map(|(worker, _)| worker.clone()).collect();
        let engines = || self.members.targets().filter(|t| is_engine(t));
        let near = engines().filter(|t| t.zone == me.zone);
        let near = near.map(|t| t.id.clone()).collect();
        let foreign = engines().filter(|t| !self.owned.contains(&t.id));
        let foreign = foreign.map(|t| t.id.clone()).collect();
        (self.near, self.foreign) = (near, foreign);
    }

    /// Returns the owned workers.
    pub fn owned(&self) -> impl Iterator<Item = &ListedTarget> {
        let owned = self.owned.iter();
        owned.filter_map(|id| self.members.target(id))
    }

    /// Returns some of the workers that other instances own, from a position on round the end.
    pub fn foreign(&self, from: usize, count: usize) -> impl Iterator<Item = &ListedTarget> {
        let (before, after) = self.foreign.split_at(from % self.foreign.len().max(1));
        let some = after.iter().chain(before).take(count);
        some.filter_map(|id| self.members.target(id))
    }

    fn view_now(&self, now: Duration) -> View {
        let force = self.log.in_force();
        let engines = self.members.targets().filter(|t| is_engine(t));
        let mut workers: Vec<_> = engines.map(|t| self.worker(t, &force.sheet)).collect();
        workers.sort_by(|a, b| a.id.cmp(&b.id));
        let plain = self.members.targets().filter(|t| !is_engine(t));
        let mut services: Vec<_> = plain.map(service_target).collect();
        services.sort_by(|a, b| a.id.cmp(&b.id));
        let live = self
            .members
            .entries()
            .filter(|m| self.members.is_live(m, now));
        View {
            revision: force.revision,
            sheet: force.sheet.clone(),
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

    /// Says whether this instance watched the platform when it last looked.
    pub fn is_watcher(&self) -> bool {
        self.watching
    }
}

/// Returns the slots of a worker: its own limit or that of the sheet for its model.
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
