//! Sends the state of this instance to the others and takes theirs.

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
    peers::{Beat, JobState, News, Targets},
    settings::Settings,
};

/// Interval of messages when nothing changes.
const IDLE_INTERVAL: Duration = Duration::from_millis(400);
/// Shortest interval of messages; changes in between are sent together.
const BUSY_INTERVAL: Duration = Duration::from_millis(30);
/// Interval of messages to other zones for each instance there. Bytes between zones have a price, and
/// requests go to workers of the own zone first.
const FAR_INTERVAL: Duration = Duration::from_millis(3);
/// Longest interval of messages to other zones.
const FAR_LONGEST: Duration = Duration::from_millis(240);
/// Size of a received message at most.
const MESSAGE_BYTES: usize = 16 << 10;

/// Channels that say that a peer knows more than this instance.
#[derive(Debug, Clone)]
pub struct NewsSenders {
    /// A peer has another configuration or list of workers.
    pub behind: Sender<()>,
    /// An instance came or went, so that jobs may have another home.
    pub members: Sender<()>,
}

/// Exchanges state with the other instances for ever.
pub async fn run(gateway: Arc<Gateway>, socket: Async<UdpSocket>, news: NewsSenders) {
    let receive = receive(&gateway, &socket, &news);
    smol::future::or(send(&gateway, &socket, &news), receive).await;
}

async fn send(gateway: &Gateway, socket: &Async<UdpSocket>, news: &NewsSenders) {
    let mut number = 0;
    let mut looked = Duration::ZERO;
    let mut far_sent = Duration::ZERO;
    loop {
        number += 1;
        let now = gateway.now();
        let targets = targets(gateway);
        let far_due = far_sent + far_interval(targets.far.len());
        let sends_far = number == 1 || now >= far_due;
        match postcard::to_stdvec(&beat(gateway, number)) {
            Ok(message) => {
                send_all(socket, &message, &targets.near);
                if sends_far {
                    far_sent = now;
                    send_all(socket, &message, &targets.far);
                }
            }
            Err(e) => event!(Warn, MessageInvalid, "reason=\"{e}\""),
        }
        note_silent(gateway, news, looked, now);
        looked = now;
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
    FAR_INTERVAL.saturating_mul(count).min(FAR_LONGEST)
}

fn send_all(socket: &Async<UdpSocket>, message: &[u8], targets: &Set<SocketAddr>) {
    for address in targets {
        // A peer behind a cut can fill the socket; waiting for it would silence this instance for
        // all others.
        if let Err(e) = socket.get_ref().send_to(message, address) {
            log::debug!("cannot send to {address}: {e}");
        }
    }
}

/// Takes the instances that fell silent since the last look out of all sums.
fn note_silent(gateway: &Gateway, news: &NewsSenders, looked: Duration, now: Duration) {
    let silent = gateway.peers().silent(now, looked);
    if silent.is_empty() {
        return;
    }
    let zones = gateway.peers().silent_zones(now);
    for zone in zones {
        event!(Warn, ZoneSilent, "zone={zone}");
        gateway.dispatch.zone_silent(&zone);
    }
    for peer in silent {
        event!(Info, MemberLeft, "peer={peer}");
        let nothing = Backlog::default();
        gateway.dispatch.set_peer(&peer, Map::default(), nothing);
        // A full channel holds the same news already.
        let _ = news.members.try_send(());
    }
}

/// Returns the addresses of the other instances, as far as they are known.
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

fn beat(gateway: &Gateway, number: u64) -> Beat {
    let level = |(worker, level): (u32, Level)| {
        let count = |n: u32| u8::try_from(n).unwrap_or(u8::MAX);
        (worker, count(level.online), count(level.batch))
    };
    let levels = gateway.dispatch.own_levels();
    Beat {
        instance: gateway.settings.instance.clone(),
        session: gateway.session,
        zone: gateway.settings.zone.clone(),
        number,
        address: gateway.settings.peers,
        config: gateway.config_version(),
        workers: gateway.views().edition,
        leaving: gateway.drain.phase() != Phase::Running,
        store: gateway.reaches_store(),
        levels: levels.into_iter().map(level).collect(),
        backlog: gateway.jobs.backlog(),
        waiting: gateway.jobs.waiting(),
        jobs: gateway.jobs.states(gateway.now()),
        ended: gateway.jobs.ended(gateway.now()),
    }
}

async fn receive(gateway: &Gateway, socket: &Async<UdpSocket>, news: &NewsSenders) {
    let mut buffer = vec![0; MESSAGE_BYTES];
    loop {
        let count = match socket.recv_from(&mut buffer).await {
            Ok((count, _)) => count,
            Err(e) => {
                log::debug!("cannot receive: {e}");
                continue;
            }
        };
        match postcard::from_bytes::<Beat>(&buffer[..count]) {
            Ok(beat) if beat.instance != gateway.settings.instance => take(gateway, beat, news),
            Ok(_) => {}
            Err(e) => event!(Warn, MessageInvalid, "reason=\"{e}\""),
        }
    }
}

fn take(gateway: &Gateway, beat: Beat, news: &NewsSenders) {
    let instance = beat.instance.clone();
    let (levels, backlog) = (beat.levels(), beat.backlog);
    let ended = beat.ended.clone();
    let states = beat.jobs.clone();
    let zone = beat.zone.clone();
    let behind = gateway.is_behind(&beat);
    let result = gateway.peers().take(beat, gateway.now());
    if result == News::Old {
        return;
    }
    if behind {
        let _ = news.behind.try_send(());
    }
    gateway.dispatch.zone_heard(&zone);
    gateway.dispatch.set_peer(&instance, levels, backlog);
    for job in ended {
        gateway.jobs.note_ended(&job, gateway.now());
    }
    for state in states {
        if let Some((id, job)) = gateway.jobs.by_key(state.key) {
            compare_job(gateway, &id, &job, state);
        }
    }
    // Room at a worker matters only while items wait for it.
    if gateway.jobs.backlog() != Backlog::default() {
        gateway.jobs.wake();
    }
    if result == News::Joined {
        event!(Info, MemberJoined, "peer={instance}");
        let _ = news.members.try_send(());
    }
}

/// Compares a job with what a peer says of it.
fn compare_job(gateway: &Gateway, id: &JobId, shared: &SharedJob, state: JobState) {
    let (active, known) = {
        let mut job = lock(shared);
        job.stored = job.stored.max(state.pages);
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
