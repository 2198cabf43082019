//! Online requests in the model: choice of a worker, retries, and notifications to the owner.

use gentianpath::{
    ids::{ModelId, WorkerId},
    route::{Choice, RouteRequest},
};

use crate::{
    MILLI, Micros,
    engine::Stream,
    entry::{MODEL, request_blocks, worker_id},
    fleet::{BATCH_BIT, BatchUpdate, Event, Fleet},
    policy::Routing,
    trace::{Request, prefix_tokens},
};

/// Bound on the wait of a request for a worker with free capacity.
const QUEUE_WAIT: Micros = 400 * MILLI;
/// Interval at which a waiting request is retried.
const QUEUE_INTERVAL: Micros = 5 * MILLI;
/// Time over which notifications of rising levels are coalesced.
const RISE_WINDOW: Micros = 2 * MILLI;
/// Time over which notifications of falling levels are coalesced.
const FALL_WINDOW: Micros = 50 * MILLI;
/// Bound on opening a connection across a cut.
const CONNECT_TIMEOUT: Micros = 500 * MILLI;
/// Maximum number of attempts of a request.
const ATTEMPTS: u64 = 5;
/// Shift of the attempt number in an id; the lower bits are the number of the request.
const ATTEMPT_SHIFT: u32 = 32;

/// State of an online request.
#[derive(Debug)]
pub struct Online {
    /// The request.
    pub request: Request,
    /// Workers that were tried.
    pub tried: Vec<WorkerId>,
    /// Number of the current attempt; outputs of others are ignored.
    pub attempt: u64,
    /// Worker of the current attempt.
    pub worker: Option<usize>,
    /// Time of the first token at the worker.
    pub first: Option<Micros>,
    /// Time since which it waits for free capacity.
    waiting: Option<Micros>,
}

impl Online {
    /// Creates the state of a request that has not arrived.
    pub fn new(request: Request) -> Self {
        Self {
            request,
            tried: Vec::new(),
            attempt: 0,
            worker: None,
            first: None,
            waiting: None,
        }
    }
}

impl Fleet {
    /// Sends a request to a worker, queues it, or refuses it.
    pub(crate) fn dispatch(&mut self, number: usize) {
        match self.route(number) {
            Some((worker, uncached)) => self.send(number, worker, uncached),
            None => self.wait(number),
        }
    }

    /// Ends an attempt that did not run, and retries on another worker.
    pub(crate) fn retry(&mut self, number: usize, delay: Micros) {
        let state = &mut self.online[number];
        state.attempt += 1;
        if let Some(worker) = state.worker.take() {
            state.tried.push(worker_id(worker));
        }
        if state.attempt >= ATTEMPTS {
            self.tally.broken += 1;
            return;
        }
        self.after(delay, Event::Dispatch(number));
    }

    /// Removes a request from the counts of its entry instance after the end of an attempt.
    pub(crate) fn ended(&mut self, id: u64) {
        let number = (id & u64::from(u32::MAX)) as usize;
        let entry = self.online[number].request.entry;
        let Some(guard) = self.entries[entry].guards.remove(&id) else {
            return;
        };
        drop(guard);
        if let Some(worker) = self.online[number].worker {
            self.level_fell(entry, worker);
        }
    }

    /// Handles the arrival of the first token of an attempt at its entry instance.
    pub(crate) fn first_token(&mut self, id: u64) {
        let number = (id & u64::from(u32::MAX)) as usize;
        let state = &self.online[number];
        let entry = state.request.entry;
        let guard = self.entries[entry].guards.get(&id);
        let changed = guard.is_some_and(|g| g.first_token());
        if let Some(worker) = state.worker.filter(|_| changed) {
            self.level_fell(entry, worker);
        }
    }

    /// Forwards an output of a worker for an online request.
    pub(crate) fn online_output(&mut self, worker: usize, id: u64, update: BatchUpdate) {
        let number = (id & u64::from(u32::MAX)) as usize;
        let now = self.now;
        let state = &mut self.online[number];
        if id >> ATTEMPT_SHIFT != state.attempt || state.worker != Some(worker) {
            return;
        }
        let request = state.request;
        match update {
            BatchUpdate::First => state.first = Some(now),
            BatchUpdate::Done => {
                let first = state.first.unwrap_or(now);
                let steps = u64::from(request.tokens.max(2) - 1);
                self.tally.between.push((now - first) / steps);
            }
            BatchUpdate::Stopped(_) => {}
        }
        let delay = self.delay(self.entries[request.entry].zone, self.zone(worker));
        if update == BatchUpdate::First {
            self.tally.first.push(now + delay - request.at);
            self.after(delay, Event::FirstToken(id));
        } else {
            self.after(delay, Event::Ended(id));
        }
    }

    /// Handles the arrival of a stream at its worker.
    pub(crate) fn admit(&mut self, worker: usize, id: u64) {
        if self.dead && worker == 0 {
            self.refuse(worker, id);
            return;
        }
        let stream = if id & BATCH_BIT != 0 {
            self.batch_stream(worker, id)
        } else {
            self.online_stream(worker, id)
        };
        if let Some(stream) = stream {
            self.engines[worker].admit(stream);
            self.start_iteration(worker);
        }
    }

    /// Sends the level of an entry instance to the owner of a worker.
    pub(crate) fn send_level(&mut self, entry: usize, worker: usize) {
        let Some(cause) = self.pending_levels.remove(&(entry, worker)) else {
            return;
        };
        let owner = self.owners[worker];
        let (from, to) = (self.entries[entry].zone, self.entries[owner].zone);
        if self.is_reachable(from, to) {
            let level = self.entries[entry].cells[worker].level();
            let delay = self.delay(from, to);
            let cause = cause.unwrap_or(self.now);
            self.after(delay, Event::Level(entry, worker, level, cause));
        }
    }

    /// Handles the arrival of a level at the owner of a worker.
    pub(crate) fn level(&mut self, entry: usize, worker: usize, level: u32, cause: Micros) {
        let peer = self.entries[entry].id.clone();
        let owner = self.owners[worker];
        let time = self.time();
        self.entries[owner].cells[worker].set_peer_level(&peer, level, time);
        self.collect_yields(worker, cause);
        self.fill(worker);
    }

    /// Chooses a worker and returns it with the number of prompt blocks that it has to compute.
    fn route(&mut self, number: usize) -> Option<(usize, usize)> {
        let time = self.time();
        let state = &self.online[number];
        let entry = &mut self.entries[state.request.entry];
        let blocks = request_blocks(number, &state.request);
        let route_request = RouteRequest {
            model: &ModelId::from(MODEL),
            blocks: &blocks,
            tried: &state.tried,
        };
        let count = entry.cells.len();
        match self.policy.routing {
            Routing::Router => {
                let placement = entry.router.place(&route_request, &mut entry.rng, time);
                let Choice::Worker(chosen) = placement.choice else {
                    return None;
                };
                let mut cells = entry.cells.iter();
                let worker = cells.position(|cell| cell.id == chosen.info.id)?;
                Some((worker, placement.uncached))
            }
            Routing::Random => Some((entry.rng.usize(..count), 0)),
            Routing::Reported => {
                let untried = |w: &usize| !state.tried.contains(&worker_id(*w));
                let load = |w: &usize| (entry.reported[*w], entry.rng.u32(..));
                let least = (0..count).filter(untried).min_by_key(load)?;
                Some((least, 0))
            }
        }
    }

    fn send(&mut self, number: usize, worker: usize, uncached: usize) {
        let time = self.time();
        let state = &mut self.online[number];
        state.worker = Some(worker);
        state.first = None;
        let id = state.attempt << ATTEMPT_SHIFT | number as u64;
        let entry = state.request.entry;
        let from = self.entries[entry].zone;
        if !self.is_reachable(from, self.zone(worker)) {
            self.retry(number, CONNECT_TIMEOUT);
            return;
        }
        let guard = self.entries[entry].cells[worker].begin_prompt(uncached, time);
        self.entries[entry].guards.insert(id, guard);
        if self.owners[worker] == entry {
            self.collect_yields(worker, self.now);
        } else {
            let pending = self.pending_levels.entry((entry, worker)).or_insert(None);
            // A pending notification of a rise keeps its time; that of a fall is sent earlier.
            if pending.is_none() {
                *pending = Some(self.now);
                self.after(RISE_WINDOW, Event::SendLevel(entry, worker));
            }
        }
        let delay = self.delay(from, self.zone(worker));
        self.after(delay, Event::Admit(worker, id));
    }

    fn wait(&mut self, number: usize) {
        let since = *self.online[number].waiting.get_or_insert(self.now);
        if self.now - since >= QUEUE_WAIT {
            self.tally.refused += 1;
            return;
        }
        self.after(QUEUE_INTERVAL, Event::Dispatch(number));
    }

    fn level_fell(&mut self, entry: usize, worker: usize) {
        if self.owners[worker] == entry {
            self.fill(worker);
            return;
        }
        self.pending_levels.entry((entry, worker)).or_insert(None);
        self.after(FALL_WINDOW, Event::SendLevel(entry, worker));
    }

    /// Refuses a stream, because its worker is dead.
    fn refuse(&mut self, worker: usize, id: u64) {
        if id & BATCH_BIT != 0 {
            self.batch_update(worker, id, BatchUpdate::Stopped(0));
            return;
        }
        let number = (id & u64::from(u32::MAX)) as usize;
        if id >> ATTEMPT_SHIFT == self.online[number].attempt {
            self.ended(id);
            self.retry(number, MILLI);
        }
    }

    fn online_stream(&self, worker: usize, id: u64) -> Option<Stream> {
        let state = &self.online[(id & u64::from(u32::MAX)) as usize];
        if id >> ATTEMPT_SHIFT != state.attempt || state.worker != Some(worker) {
            return None;
        }
        Some(Stream {
            id,
            batch: false,
            prefix: state.request.prefix,
            shared: prefix_tokens(state.request.prefix),
            own: state.request.own,
            tokens: state.request.tokens,
        })
    }
}
