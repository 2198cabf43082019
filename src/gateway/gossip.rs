//! Exchanges heartbeats with the other instances over UDP.

use std::{
    net::{SocketAddr, UdpSocket},
    sync::Arc,
    time::Duration,
};

use async_io::{Async, Timer};
use smol::channel::Sender;

use crate::{
    drain::Phase,
    event,
    ids::{JobId, Map, Set},
    mutex::lock,
};

use super::{
    fleet::{Backlog, Level},
    gateway::Gateway,
    jobs::SharedJob,
    peers::{Heartbeat, JobState, PeerChange, Targets},
    settings::Settings,
};

/// Heartbeat interval while nothing changes.
const IDLE_INTERVAL: Duration = Duration::from_millis(400);
/// Minimum heartbeat interval; changes within it are sent together.
const BUSY_INTERVAL: Duration = Duration::from_millis(30);
/// Heartbeat interval to other zones, per instance there. Traffic between zones is charged, and
/// requests prefer workers of the local zone, so other zones may lag behind.
const FAR_INTERVAL_PER_PEER: Duration = Duration::from_millis(3);
/// Maximum heartbeat interval to other zones.
const MAX_FAR_INTERVAL: Duration = Duration::from_millis(240);
/// Maximum size of a received message.
const MAX_MESSAGE_BYTES: usize = 16 << 10;

/// Channels that signal changes seen in heartbeats.
#[derive(Debug, Clone)]
pub struct UpdateSenders {
    /// A peer has a newer configuration or worker list.
    pub behind: Sender<()>,
    /// An instance joined or left, so that jobs may have moved to another instance.
    pub members: Sender<()>,
}

/// Exchanges heartbeats with the other instances forever.
pub async fn run(gateway: Arc<Gateway>, socket: Async<UdpSocket>, updates: UpdateSenders) {
    let receive = receive(&gateway, &socket, &updates);
    smol::future::or(send(&gateway, &socket, &updates), receive).await;
}

async fn send(gateway: &Gateway, socket: &Async<UdpSocket>, updates: &UpdateSenders) {
    let mut number = 0;
    let mut last_check = Duration::ZERO;
    let mut far_sent = Duration::ZERO;
    loop {
        number += 1;
        let now = gateway.now();
        let targets = targets(gateway);
        let far_due = far_sent + far_interval(targets.far.len());
        let sends_far = number == 1 || now >= far_due;
        match postcard::to_stdvec(&heartbeat(gateway, number)) {
            Ok(message) => {
                send_all(socket, &message, &targets.near);
                if sends_far {
                    far_sent = now;
                    send_all(socket, &message, &targets.far);
                }
            }
            Err(e) => event!(Warn, MessageInvalid, "reason=\"{e}\""),
        }
        remove_silent(gateway, updates, last_check, now);
        last_check = now;
        Timer::after(BUSY_INTERVAL).await;
        let next = if sends_far {
            now + IDLE_INTERVAL
        } else {
            far_due
        };
        let due = async {
            Timer::after(next.saturating_sub(gateway.now())).await;
        };
        smol::future::or(gateway.dispatch.changed(), due).await;
    }
}

fn far_interval(instances: usize) -> Duration {
    let count = u32::try_from(instances).unwrap_or(u32::MAX);
    FAR_INTERVAL_PER_PEER
        .saturating_mul(count)
        .min(MAX_FAR_INTERVAL)
}

fn send_all(socket: &Async<UdpSocket>, message: &[u8], targets: &Set<SocketAddr>) {
    for address in targets {
        // Sends without waiting: a partitioned peer can fill the socket buffer, and waiting for it
        // would delay the heartbeats to all others.
        if let Err(e) = socket.get_ref().send_to(message, address) {
            log::debug!("cannot send to {address}: {e}");
        }
    }
}

/// Removes the load of the instances whose heartbeats timed out since the last check.
fn remove_silent(gateway: &Gateway, updates: &UpdateSenders, last_check: Duration, now: Duration) {
    let silent = gateway.peers().newly_silent(now, last_check);
    if silent.is_empty() {
        return;
    }
    let zones = gateway.peers().silent_zones(now);
    for zone in zones {
        event!(Warn, ZoneSilent, "zone={zone}");
        gateway.dispatch.mark_zone_unreachable(&zone);
    }
    for peer in silent {
        event!(Info, MemberLeft, "peer={peer}");
        let empty = Backlog::default();
        gateway.dispatch.set_peer(&peer, Map::default(), empty);
        // A full channel already holds the same signal.
        let _ = updates.members.try_send(());
    }
}

/// Returns the known addresses of the other instances, including the seeds.
fn targets(gateway: &Gateway) -> Targets {
    let Settings {
        zone, seeds, peers, ..
    } = &gateway.settings;
    let mut targets = gateway.peers().targets(zone);
    let unknown = seeds.iter().filter(|a| !targets.near.contains(*a));
    targets.far.extend(unknown);
    targets.far.remove(peers);
    targets
}

fn heartbeat(gateway: &Gateway, number: u64) -> Heartbeat {
    let level = |(worker, level): (u32, Level)| {
        let count = |n: u32| u8::try_from(n).unwrap_or(u8::MAX);
        (worker, count(level.online), count(level.batch))
    };
    let levels = gateway.dispatch.local_levels();
    Heartbeat {
        instance: gateway.settings.instance.clone(),
        session: gateway.session,
        zone: gateway.settings.zone.clone(),
        number,
        address: gateway.settings.peers,
        config: gateway.config_version(),
        workers: gateway.views().workers_version,
        leaving: gateway.drain.phase() != Phase::Running,
        store: gateway.reaches_store(),
        levels: levels.into_iter().map(level).collect(),
        backlog: gateway.jobs.backlog(),
        waiting: gateway.jobs.waiting(),
        jobs: gateway.jobs.states(gateway.now()),
        ended: gateway.jobs.ended(gateway.now()),
    }
}

async fn receive(gateway: &Gateway, socket: &Async<UdpSocket>, updates: &UpdateSenders) {
    let mut buffer = vec![0; MAX_MESSAGE_BYTES];
    loop {
        let count = match socket.recv_from(&mut buffer).await {
            Ok((count, _)) => count,
            Err(e) => {
                log::debug!("cannot receive: {e}");
                continue;
            }
        };
        match postcard::from_bytes::<Heartbeat>(&buffer[..count]) {
            Ok(heartbeat) if heartbeat.instance != gateway.settings.instance => {
                handle(gateway, heartbeat, updates)
            }
            Ok(_) => {}
            Err(e) => event!(Warn, MessageInvalid, "reason=\"{e}\""),
        }
    }
}

fn handle(gateway: &Gateway, heartbeat: Heartbeat, updates: &UpdateSenders) {
    let instance = heartbeat.instance.clone();
    let (levels, backlog) = (heartbeat.levels(), heartbeat.backlog);
    let ended = heartbeat.ended.clone();
    let states = heartbeat.jobs.clone();
    let zone = heartbeat.zone.clone();
    let behind = gateway.is_behind(&heartbeat);
    let result = gateway.peers().record(heartbeat, gateway.now());
    if result == PeerChange::Stale {
        return;
    }
    if behind {
        let _ = updates.behind.try_send(());
    }
    gateway.dispatch.mark_zone_reachable(&zone);
    gateway.dispatch.set_peer(&instance, levels, backlog);
    for job in ended {
        gateway.jobs.mark_ended(&job, gateway.now());
    }
    for state in states {
        if let Some((id, job)) = gateway.jobs.by_key(state.key) {
            merge_job_state(gateway, &id, &job, state);
        }
    }
    // Free slots matter only while items wait for them.
    if gateway.jobs.backlog() != Backlog::default() {
        gateway.jobs.notify_runner();
    }
    if result == PeerChange::Joined {
        event!(Info, MemberJoined, "peer={instance}");
        let _ = updates.members.try_send(());
    }
}

/// Merges a peer's state of a job, and releases the job if another instance should run it.
fn merge_job_state(gateway: &Gateway, id: &JobId, shared: &SharedJob, state: JobState) {
    let (active, known) = {
        let mut job = lock(shared);
        job.stored_pages = job.stored_pages.max(state.pages);
        (job.active, job.next_page())
    };
    if !active || !state.active {
        return;
    }
    if let Some(home) = gateway.home(id) {
        event!(
            Info,
            JobReleased,
            "job={id} home={} pages={known} home_pages={}",
            home.instance,
            state.pages
        );
        lock(shared).active = false;
    }
}
