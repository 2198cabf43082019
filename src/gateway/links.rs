//! Whether this instance is cut off from all workers.
//!
//! Failures at one worker say nothing about the links of the instance. When a connection fails, or no
//! worker sends anything for a while, some other workers are asked for their reports on new connections.
//! If none of them answers either, the instance counts as cut off, until such probes succeed again.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use async_io::Timer;
use futures::{StreamExt, stream::FuturesUnordered};
use smol::channel::{Receiver, Sender, bounded};

use crate::{
    adapter::reports,
    event,
    ids::{Map, WorkerId},
    mutex::{MutexGuard, lock},
};

use super::{
    connection::{Connection, Path, Proof},
    fleet::Worker,
    gateway::Gateway,
    relayed::OpenError,
    upstream::CONNECT_LIMIT,
};

/// Number of different workers that are probed, or more if there are more zones.
const SAMPLE: usize = 4;
/// Number of different workers that have to be out of reach at least.
const MIN_SAMPLE: usize = 2;
/// Time for which a probe that succeeded shows that the links work. It bounds the rate of probes while many
/// connections break, and may not hide a cut that begins after the probe.
const SOUND_TIME: Duration = Duration::from_millis(20);
/// Time without any bytes from workers, while requests are in flight, after which the links are probed.
const SILENCE: Duration = Duration::from_millis(250);
/// Minimum interval between probes because of silence. A worker may need as long for its first event.
const SILENCE_PAUSE: Duration = Duration::from_millis(500);
/// Interval at which silence is checked, and at which one worker is probed during a cut.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// Probes in a row that have to succeed before a cut counts as over.
const BACK_AFTER: u32 = 2;
/// Time after a cut in which broken connections are still put down to it.
const AFTERMATH: Duration = Duration::from_secs(2);
/// Time in which a worker answers a probe on an open connection.
const REPORT_LIMIT: Duration = Duration::from_millis(250);

/// Time for which an instance that is full or does not answer is not asked again.
const AVOID_TIME: Duration = Duration::from_millis(500);
/// Time for which an instance that is cut off or stops is not asked again.
const AVOID_CUT_TIME: Duration = Duration::from_secs(2);

/// Evidence on the links of an instance to all workers (no I/O).
#[derive(Debug, Default)]
pub struct Evidence {
    /// Start of the cut, if there is one.
    cut: Option<Duration>,
    /// End of the last cut.
    ended: Option<Duration>,
    /// Time of the last probe that succeeded.
    sound: Option<Duration>,
    successes: u32,
}

/// A change of the state of the links.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkChange {
    /// The instance is cut off.
    Cut,
    /// The links work again, after this time.
    Back(Duration),
}

impl Evidence {
    /// Returns whether the instance is cut off.
    pub fn is_cut(&self) -> bool {
        self.cut.is_some()
    }

    /// Returns whether a failure of a direct connection may be due to the links.
    pub fn explains_failures(&self, now: Duration) -> bool {
        self.is_cut() || self.ended.is_some_and(|e| now < e + AFTERMATH)
    }

    /// Returns whether probes are needed to tell whether the instance is cut off.
    pub fn is_open(&self, now: Duration) -> bool {
        !self.is_cut() && self.sound.is_none_or(|s| now >= s + SOUND_TIME)
    }

    /// Records how many workers were probed, or had failed before, until the first one answered.
    pub fn record_round(
        &mut self,
        failed: usize,
        reached: bool,
        now: Duration,
    ) -> Option<LinkChange> {
        if reached {
            self.sound = Some(now);
        }
        if reached || failed < MIN_SAMPLE || self.is_cut() {
            return None;
        }
        self.cut = Some(now);
        self.successes = 0;
        Some(LinkChange::Cut)
    }

    /// Records a probe during a cut.
    pub fn record_probe(&mut self, reached: bool, now: Duration) -> Option<LinkChange> {
        let began = self.cut?;
        self.successes = if reached { self.successes + 1 } else { 0 };
        if self.successes < BACK_AFTER {
            return None;
        }
        self.end(began, now)
    }

    /// Records that a request got a direct connection during a cut.
    pub fn record_direct(&mut self, now: Duration) -> Option<LinkChange> {
        let began = self.cut?;
        self.end(began, now)
    }

    fn end(&mut self, began: Duration, now: Duration) -> Option<LinkChange> {
        self.cut = None;
        self.ended = Some(now);
        self.sound = Some(now);
        Some(LinkChange::Back(now.saturating_sub(began)))
    }
}

/// Time when any worker last sent something on a direct connection.
#[derive(Debug, Clone)]
pub struct LastHeard {
    start: Instant,
    millis: Arc<AtomicU64>,
}

impl Default for LastHeard {
    fn default() -> Self {
        Self {
            start: Instant::now(),
            millis: Arc::default(),
        }
    }
}

impl LastHeard {
    /// Records that a worker sent something.
    pub fn record(&self) {
        let millis = self.start.elapsed().as_millis() as u64;
        self.millis.store(millis, Ordering::Relaxed);
    }

    fn silence(&self) -> Duration {
        let heard = Duration::from_millis(self.millis.load(Ordering::Relaxed));
        self.start.elapsed().saturating_sub(heard)
    }
}

/// Links of an instance to the workers.
#[derive(Debug, Default)]
pub struct Links {
    evidence: Evidence,
    /// Closed when the current round of probes has ended.
    round: Option<Receiver<()>>,
    /// Instances that carried no connection, until these times.
    avoided: Map<SocketAddr, Duration>,
}

impl Links {
    /// Returns the evidence.
    pub fn evidence(&self) -> &Evidence {
        &self.evidence
    }
}

/// Finds out whether this instance is cut off from all workers, after one of them failed or all were
/// silent. Calls at the same time share their probes.
pub async fn confirm_cut(gateway: &Arc<Gateway>, failed: Option<&WorkerId>) -> bool {
    let round = {
        let mut links = gateway.links();
        if !links.evidence.is_open(gateway.now()) {
            return links.evidence.is_cut();
        }
        match links.round.clone().filter(|r| !r.is_closed()) {
            Some(round) => round,
            None => {
                let (running, round): (Sender<()>, _) = bounded(1);
                links.round = Some(round.clone());
                let (gateway, failed) = (gateway.clone(), failed.cloned());
                smol::spawn(async move {
                    run_round(&gateway, failed).await;
                    drop(running);
                })
                .detach();
                round
            }
        }
    };
    let _ = round.recv().await;
    gateway.links().evidence.is_cut()
}

/// Checks for silence of all workers, and probes the links during a cut, forever.
pub async fn watch(gateway: Arc<Gateway>) {
    let mut checked = Duration::ZERO;
    loop {
        Timer::after(CHECK_INTERVAL).await;
        if gateway.is_cut_off() {
            let mut workers = gateway.dispatch.sample_workers(SAMPLE, None);
            fastrand::shuffle(&mut workers);
            let Some(worker) = workers.pop() else {
                continue;
            };
            let reached = probe(worker).await;
            let now = gateway.now();
            let change = gateway.links().evidence.record_probe(reached, now);
            apply(&gateway, change, 0);
            continue;
        }
        let now = gateway.now();
        let is_silent = gateway.upstream.heard.silence() >= SILENCE;
        if is_silent && now >= checked + SILENCE_PAUSE && gateway.dispatch.has_requests() {
            checked = now;
            confirm_cut(&gateway, None).await;
        }
    }
}

async fn run_round(gateway: &Arc<Gateway>, failed: Option<WorkerId>) {
    let mut count = usize::from(failed.is_some());
    let mut workers = gateway.dispatch.sample_workers(SAMPLE, failed.as_ref());
    let mut reached = false;
    // Silence alone is weak evidence, so it costs one probe while the links work.
    if count == 0
        && let Some(worker) = workers.pop()
    {
        reached = probe(worker).await;
        count = 1;
    }
    if !reached {
        count += workers.len();
        let mut probes: FuturesUnordered<_> = workers.into_iter().map(probe).collect();
        while let Some(answered) = probes.next().await {
            if answered {
                reached = true;
                break;
            }
        }
    }
    let now = gateway.now();
    let change = gateway.links().evidence.record_round(count, reached, now);
    apply(gateway, change, count);
}

/// Returns whether a worker answers on a new connection.
async fn probe(worker: Arc<Worker>) -> bool {
    let Ok(request) = reports::request(&worker) else {
        return false;
    };
    let Ok(mut connection) = Connection::open(worker.address, CONNECT_LIMIT).await else {
        return false;
    };
    let answer = connection.exchange(request, REPORT_LIMIT, Proof::Content);
    answer.await.is_ok()
}

fn apply(gateway: &Gateway, change: Option<LinkChange>, failed: usize) {
    match change {
        Some(LinkChange::Cut) => {
            let silent = gateway.upstream.heard.silence().as_millis();
            event!(Warn, LinksCut, "failed={failed} silent_ms={silent}");
            // The failures before the cut was known say nothing about the workers.
            gateway.dispatch.forgive_workers();
            gateway.upstream.retain(|_, _| false);
        }
        Some(LinkChange::Back(after)) => {
            event!(Info, LinksBack, "after_ms={}", after.as_millis());
            gateway.dispatch.forgive_workers();
        }
        None => {}
    }
}

impl Gateway {
    /// Returns whether this instance is cut off from all workers.
    pub fn is_cut_off(&self) -> bool {
        self.links().evidence.is_cut()
    }

    /// Returns whether a failure on a connection may be put down to the worker.
    pub fn is_worker_fault(&self, path: &Path) -> bool {
        match path {
            Path::Direct => !self.links().evidence.explains_failures(self.now()),
            Path::Relayed(_) => !path.is_lost(),
        }
    }

    /// Records that a direct connection was opened during a cut, which ends it.
    pub fn record_direct(&self) {
        let change = self.links().evidence.record_direct(self.now());
        apply(self, change, 0);
    }

    /// Returns the addresses of the instances to ask for connections to a worker, the best ones first:
    /// those for which the bytes cross no further border of zones, in random order.
    pub fn carriers(&self, worker: &Worker) -> Vec<SocketAddr> {
        let now = self.now();
        let mut carriers = self.peers().carriers(now);
        fastrand::shuffle(&mut carriers);
        carriers.sort_by_key(|(zone, _)| *zone != self.settings.zone && *zone != worker.zone);
        let mut links = self.links();
        links.avoided.retain(|_, until| now < *until);
        let addresses = carriers.into_iter().map(|(_, address)| address);
        addresses
            .filter(|a| !links.avoided.contains_key(a))
            .collect()
    }

    /// Records that an instance carried no connection. One that does not know the worker may know others.
    pub fn avoid_carrier(&self, address: SocketAddr, reason: &OpenError) {
        let time = match reason {
            OpenError::Unlisted => return,
            OpenError::CutOff => AVOID_CUT_TIME,
            OpenError::Worker(_) | OpenError::Instance(_) => AVOID_TIME,
        };
        event!(Info, CarrierAvoided, "peer={address} reason=\"{reason}\"");
        let until = self.now() + time;
        self.links().avoided.insert(address, until);
    }

    /// Locks the state of the links, and returns it.
    pub fn links(&self) -> MutexGuard<'_, Links> {
        lock(&self.links)
    }
}
