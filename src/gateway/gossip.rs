//! Exchanges heartbeats with the other instances over UDP.
//!
//! A message is the heartbeat of its sender, followed by heartbeats of other zones that the sender
//! passes on to its neighbours. A report of requests that crash workers is a message of its
//! own, which exists only after crashes. So are messages on limits and versions of workers.

use std::{
    net::{SocketAddr, UdpSocket},
    sync::Arc,
    time::Duration,
};

use async_io::{Async, Timer};
use serde::{Deserialize, Serialize};
use smol::channel::Sender;

use crate::{
    capacity::learned::Sample,
    clock,
    drain::Phase,
    event, fnv,
    ids::{InstanceId, JobId, Map, ServiceId, SessionId, Set, SoftwareVersion, WorkerId},
    load::trouble::Failure,
    mutex::{Mutex, lock},
};

use super::{
    begun::StreamKey,
    block_store,
    change_log::MemberChange,
    crash_report::Report,
    fleet::{Backlog, Class, Level},
    gateway::Gateway,
    jobs::SharedJob,
    marks,
    pace::{News, Pace},
    peers::{Heartbeat, JobState, PeerChange, Targets},
    settings::Settings,
    slow_step::timed,
    team_gate::QuotaMessage,
    team_records,
    versions::History,
    worker_limits::{Change, Notice, Reply},
};

/// Minimum heartbeat interval; changes within it are sent together.
const BUSY_INTERVAL: Duration = Duration::from_millis(30);
/// Size of a message from which on further heartbeats go into another one.
const FULL_MESSAGE_BYTES: usize = 8 << 10;
/// Maximum number of limits in one message.
const MAX_NOTICES: usize = 64;
/// Maximum number of streams in one message.
const MAX_STREAMS: usize = 512;
/// Maximum size of a received message.
const MAX_MESSAGE_BYTES: usize = 64 << 10;

/// First bytes of a report. No heartbeat begins so: its sender would have no name, and a session that
/// is no number.
const REPORT_MARK: [u8; 11] = [0, 255, 255, 255, 255, 255, 255, 255, 255, 255, 255];
/// First bytes of a message on limits and versions of workers; no heartbeat begins so either.
const FLEET_MARK: [u8; 11] = [0, 255, 255, 255, 255, 255, 255, 255, 255, 255, 254];
/// Interval at which an instance checks which limited workers it leads.
const LEAD_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which an instance tells the others of its zone how fast workers answered.
const PACES_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which an instance asks how new its configuration is.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(800);
/// Interval at which an instance sends all that it knows of crashes to some others, for those that
/// were started or out of reach meanwhile.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Instances that get such a report.
const REPORT_TARGETS: usize = 2;

/// Heartbeats of other zones that wait to be passed on, the last one of each instance.
type Relayed = Mutex<Map<InstanceId, RelayedHeartbeat>>;

/// An encoded heartbeat to pass on.
#[derive(Debug)]
struct RelayedHeartbeat {
    /// Session and number of the message.
    version: (SessionId, u64),
    bytes: Vec<u8>,
}

/// Channels that signal changes seen in heartbeats.
#[derive(Debug, Clone)]
pub struct UpdateSenders {
    /// A peer has a newer configuration or worker list.
    pub behind: Sender<()>,
    /// An instance joined or left, so that jobs may have moved to another instance.
    pub members: Sender<()>,
}

/// Message on limits and versions of workers.
#[derive(Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum FleetMessage {
    /// What the sender knows.
    Notices(Vec<Notice>),
    /// Asks the leader of a worker whether a request of a class may be sent.
    Ask(Notice, Class),
    /// Answers the question for a worker.
    Answer(WorkerId, Reply),
    /// Shares of the versions in new streams, by service.
    Histories(Vec<(ServiceId, History)>),
    /// Time by the clock of an instance, in ms since the Unix epoch.
    Clock(InstanceId, u64),
    /// Streams that began or went on at the sender, by the version that began them.
    Begun(Vec<(SoftwareVersion, Vec<StreamKey>)>),
    /// Asks for the versions that began streams.
    AskBegun(Vec<StreamKey>),
    /// Message on the quota of a team.
    Quota(QuotaMessage),
    /// Asks how new the configuration is, with the time of the question by the clock of the sender.
    AskConfig(u64),
    /// Answers that question.
    ConfigState(ConfigState),
    /// Failures of workers that the sender saw.
    Failures(Vec<Failure>),
    /// Paces of answers that came through the sender.
    Paces(Vec<Sample>),
}

/// What an instance knows of the newest configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ConfigState {
    /// Time of the question, in ms by the clock of the instance that asked.
    pub asked: u64,
    /// Version of the configuration in use.
    pub version: u64,
    /// Time in ms since it was the newest.
    pub age: u64,
}

/// Exchanges heartbeats with the other instances forever.
pub async fn run(gateway: Arc<Gateway>, socket: Async<UdpSocket>, updates: UpdateSenders) {
    let relayed = Relayed::default();
    let receive = receive(&gateway, &socket, &updates, &relayed);
    let ask = ask_leaders(&gateway, &socket);
    let quotas = send_quotas(&gateway, &socket);
    let ask = smol::future::or(ask, quotas);
    let send = send(&gateway, &socket, &updates, &relayed);
    smol::future::or(send, smol::future::or(receive, ask)).await;
}

async fn send(
    gateway: &Arc<Gateway>,
    socket: &Async<UdpSocket>,
    updates: &UpdateSenders,
    relayed: &Relayed,
) {
    let mut number = 0;
    let mut last_check = Duration::ZERO;
    let mut report_due = Duration::ZERO;
    let mut limits_due = Duration::ZERO;
    let mut lead_due = Duration::ZERO;
    let mut config_due = Duration::ZERO;
    let mut paces_due = Duration::ZERO;
    let mut pace = Pace::default();
    let mut last_sent = None;
    // Instances that start together begin with different relays.
    let mut round = u64::from(fnv::hash32(gateway.settings.instance.bytes()));
    loop {
        number += 1;
        let now = gateway.now();
        let heartbeat = timed("build-heartbeat", || heartbeat(gateway, number));
        let repeated = last_sent
            .as_ref()
            .is_some_and(|h: &Heartbeat| h.is_repeated_by(&heartbeat));
        let news = News {
            changed: !repeated,
            relayed: !lock(relayed).is_empty(),
        };
        let due = pace.round(news, now);
        let yielding = gateway.dispatch.peers_to_yield();
        if due.near || due.far || !yielding.is_empty() {
            let targets = targets(gateway, round, now);
            let far = if due.far {
                round = round.wrapping_add(1);
                targets.far.clone()
            } else {
                urgent_targets(gateway, &targets, &yielding)
            };
            let near = due.near.then_some(&targets.near);
            timed("send-heartbeat", || {
                send_heartbeat(socket, &heartbeat, &far, near, relayed);
            });
            pace.set_outside(targets.outside);
            gateway.dispatch.set_far_age(pace.far_age());
            last_sent = Some(heartbeat);
        }
        timed("send-reports", || {
            send_reports(gateway, socket, &mut report_due);
        });
        timed("send-limits", || {
            send_limits(gateway, socket, &mut limits_due);
            send_histories(gateway, socket);
            send_begun(gateway, socket);
            send_failures(gateway, socket);
            send_paces(gateway, socket, &mut paces_due);
        });
        if now >= lead_due {
            lead_due = now + LEAD_INTERVAL;
            timed("limit-shares", || gateway.update_limit_shares());
            timed("teams", || team_records::update(gateway));
        }
        timed("ask-config", || {
            ask_config(gateway, socket, &mut config_due);
        });
        timed("block-news", || block_store::write_news(gateway));
        timed("silent-members", || {
            remove_silent(gateway, updates, last_check, now);
        });
        log_members(gateway, now);
        log_workers(gateway, now);
        last_check = now;
        Timer::after(BUSY_INTERVAL).await;
        let next = now + pace.pause(now);
        let due = async {
            Timer::after(next.saturating_sub(gateway.now())).await;
        };
        smol::future::or(gateway.dispatch.changed(), due).await;
    }
}

/// Sends a heartbeat to relays of other zones, and with those to pass on to neighbours.
fn send_heartbeat(
    socket: &Async<UdpSocket>,
    heartbeat: &Heartbeat,
    far: &Set<SocketAddr>,
    near: Option<&Set<SocketAddr>>,
    relayed: &Relayed,
) {
    let own = match postcard::to_stdvec(heartbeat) {
        Ok(own) => own,
        Err(e) => {
            event!(Warn, MessageInvalid, "reason=\"{e}\"");
            return;
        }
    };
    send_all(socket, &own, far);
    let Some(near) = near else {
        return;
    };
    let relayed = std::mem::take(&mut *lock(relayed));
    for message in messages(&own, relayed.into_values().map(|r| r.bytes)) {
        send_all(socket, &message, near);
    }
}

/// Sends what happened here to all instances, and from time to time all that is known to a few.
fn send_reports(gateway: &Gateway, socket: &Async<UdpSocket>, due: &mut Duration) {
    let now = gateway.now();
    let news = gateway.suspects().take_news(now);
    let blocks = gateway.suspects().take_blocks();
    for block in blocks {
        let (parts, crashes) = (marks::names(&block.marks), block.crashes);
        // All instances make the block from the same records.
        if block.is_local {
            event!(Warn, PartsBlocked, "parts={parts} crashes={crashes}");
        } else {
            log::debug!("blocked by reports of other instances: {parts}, {crashes} crashes");
        }
    }
    if news.is_empty() && now < *due {
        return;
    }
    let peers = gateway.peers();
    let live: Vec<SocketAddr> = peers.live(now).map(|h| h.address).collect();
    drop(peers);
    if !news.is_empty() {
        send_report(socket, &news, live.iter().copied().collect());
    }
    if now >= *due {
        *due = now + REPORT_INTERVAL;
        let report = gateway.suspects().recent_report(now);
        if !report.is_empty() {
            let some = fastrand::choose_multiple(live, REPORT_TARGETS);
            send_report(socket, &report, some.into_iter().collect());
        }
    }
}

/// Sends limits that began or ended here to all instances, rates that changed to the leaders of the
/// workers, and from time to time all that is known to a few.
fn send_limits(gateway: &Gateway, socket: &Async<UdpSocket>, due: &mut Duration) {
    let now = gateway.now();
    let (changed, news): (Vec<_>, Vec<_>) = gateway
        .dispatch
        .take_limit_news()
        .into_iter()
        .partition(|(_, change)| *change == Change::Changed);
    for (notice, _) in changed {
        let worker = gateway.dispatch.worker(&notice.worker);
        if let Some(leader) = worker.and_then(|w| gateway.limit_leader(&w)) {
            let message = FleetMessage::Notices(vec![notice]);
            send_fleet_message(socket, &message, &Set::from_iter([leader]));
        }
    }
    if news.is_empty() && now < *due {
        return;
    }
    let news: Vec<Notice> = news.into_iter().map(|(notice, _)| notice).collect();
    if !news.is_empty() {
        gateway.update_limit_shares();
    }
    let peers = gateway.peers();
    let live: Vec<SocketAddr> = peers.live(now).map(|h| h.address).collect();
    drop(peers);
    if !news.is_empty() {
        let all = live.iter().copied().collect();
        send_fleet_message(socket, &FleetMessage::Notices(news), &all);
    }
    if now >= *due {
        *due = now + REPORT_INTERVAL;
        let some = fastrand::choose_multiple(live, REPORT_TARGETS);
        send_fleet_state(gateway, socket, &some.into_iter().collect());
    }
}

/// Sends new shares of versions to all instances.
fn send_histories(gateway: &Gateway, socket: &Async<UdpSocket>) {
    let histories = gateway.streams().take_news();
    if histories.is_empty() {
        return;
    }
    let peers = gateway.peers();
    let all = peers.live(gateway.now()).map(|h| h.address).collect();
    drop(peers);
    send_fleet_message(socket, &FleetMessage::Histories(histories), &all);
    // The next message follows after the minimum interval.
    gateway.dispatch.notify();
}

/// Sends the versions of streams to the other instances of the zone, where callers take them up first, and
/// to one of another zone, which knows them if none of this one is left. A message that is lost leaves the
/// receiver to ask, or to infer them from the shares.
fn send_begun(gateway: &Gateway, socket: &Async<UdpSocket>) {
    let mut streams = gateway.streams();
    let (begun, asked) = (streams.take_begun(), streams.take_asked());
    drop(streams);
    if begun.is_empty() && asked.is_empty() {
        return;
    }
    let zone = &gateway.settings.zone;
    let round = fastrand::u64(..);
    // The instances of a zone know the same streams.
    let Targets { near, far, .. } = gateway.peers().zone_targets(zone, 1, round, gateway.now());
    let one = fastrand::choice(&far);
    send_versions(socket, &begun, &near.iter().chain(one).copied().collect());
    let targets = near.union(&far).copied().collect();
    for streams in asked.chunks(MAX_STREAMS) {
        send_fleet_message(socket, &FleetMessage::AskBegun(streams.to_vec()), &targets);
    }
}

/// Sends failures of workers to the other instances of the zone, which soon would meet them, too.
fn send_failures(gateway: &Gateway, socket: &Async<UdpSocket>) {
    let failures = gateway.dispatch.take_failures();
    if failures.is_empty() || gateway.is_cut_off() {
        return;
    }
    let zone = &gateway.settings.zone;
    let targets = gateway.peers().zone_targets(zone, 0, 0, gateway.now());
    send_fleet_message(socket, &FleetMessage::Failures(failures), &targets.near);
}

/// Sends the paces of answers to the other instances of the zone: each one alone sees few answers of a worker.
fn send_paces(gateway: &Gateway, socket: &Async<UdpSocket>, due: &mut Duration) {
    let now = gateway.now();
    if now < *due {
        return;
    }
    *due = now + PACES_INTERVAL;
    let samples = gateway.dispatch.take_paces();
    if samples.is_empty() {
        return;
    }
    let zone = &gateway.settings.zone;
    let targets = gateway.peers().zone_targets(zone, 0, 0, now);
    send_fleet_message(socket, &FleetMessage::Paces(samples), &targets.near);
}

fn send_versions(
    socket: &Async<UdpSocket>,
    begun: &[(StreamKey, SoftwareVersion)],
    targets: &Set<SocketAddr>,
) {
    for streams in begun.chunks(MAX_STREAMS) {
        let mut versions: Map<SoftwareVersion, Vec<StreamKey>> = Map::default();
        for (stream, version) in streams {
            versions.entry(version.clone()).or_default().push(*stream);
        }
        let message = FleetMessage::Begun(versions.into_iter().collect());
        send_fleet_message(socket, &message, targets);
    }
}

/// Sends all that is known of limits and versions, and with it the local time.
fn send_fleet_state(gateway: &Gateway, socket: &Async<UdpSocket>, targets: &Set<SocketAddr>) {
    let notices = gateway.dispatch.limits();
    for notices in notices.chunks(MAX_NOTICES) {
        send_fleet_message(socket, &FleetMessage::Notices(notices.to_vec()), targets);
    }
    let histories = gateway.streams().histories();
    if !histories.is_empty() {
        send_fleet_message(socket, &FleetMessage::Histories(histories), targets);
        let instance = gateway.settings.instance.clone();
        let clock = FleetMessage::Clock(instance, clock::steady_millis());
        send_fleet_message(socket, &clock, targets);
    }
}

fn send_fleet_message(
    socket: &Async<UdpSocket>,
    message: &FleetMessage,
    targets: &Set<SocketAddr>,
) {
    match postcard::to_extend(message, FLEET_MARK.to_vec()) {
        Ok(message) => send_all(socket, &message, targets),
        Err(e) => event!(Warn, MessageInvalid, "reason=\"{e}\""),
    }
}

/// Asks the leaders of limited workers for permits, forever.
async fn ask_leaders(gateway: &Gateway, socket: &Async<UdpSocket>) {
    while let Some(ask) = gateway.dispatch.next_ask().await {
        match gateway.limit_leader(&ask.worker) {
            Some(leader) => {
                let message = FleetMessage::Ask(ask.notice, ask.class);
                send_fleet_message(socket, &message, &Set::from_iter([leader]));
            }
            None => gateway.update_limit_shares(),
        }
    }
}

/// Sends messages on quotas, forever.
async fn send_quotas(gateway: &Gateway, socket: &Async<UdpSocket>) {
    while let Some((to, message)) = gateway.teams.next_message().await {
        send_fleet_message(socket, &FleetMessage::Quota(message), &Set::from_iter([to]));
    }
}

/// Asks an instance that watches the store for this zone, and one of another zone, how new the configuration
/// is, if keys may be used only for a time without that.
fn ask_config(gateway: &Gateway, socket: &Async<UdpSocket>, due: &mut Duration) {
    let now = gateway.now();
    if now < *due || !gateway.needs_confirmation() {
        return;
    }
    *due = now + CONFIRM_INTERVAL;
    let zone = &gateway.settings.zone;
    let (near, far) = gateway.peers().watchers(zone, now);
    let targets: Set<SocketAddr> = [fastrand::choice(near), fastrand::choice(far)]
        .into_iter()
        .flatten()
        .collect();
    let asked = clock::steady_millis();
    send_fleet_message(socket, &FleetMessage::AskConfig(asked), &targets);
}

fn read_fleet_message(
    gateway: &Gateway,
    socket: &Async<UdpSocket>,
    message: &[u8],
    sender: SocketAddr,
) {
    let message = match postcard::from_bytes(message) {
        Ok(message) => message,
        Err(e) => {
            event!(Warn, MessageInvalid, "reason=\"{e}\"");
            return;
        }
    };
    match message {
        FleetMessage::Histories(histories) => {
            let mut streams = gateway.streams();
            let now = clock::steady_millis();
            for (service, history) in histories {
                streams.merge(service, history, now);
            }
        }
        FleetMessage::Clock(member, sent) => {
            let now = clock::steady_millis();
            gateway.streams().hear_clock(&member, sent, now);
        }
        FleetMessage::Begun(versions) => {
            let mut streams = gateway.streams();
            let now = clock::steady_millis();
            for (version, begun) in versions {
                for stream in begun {
                    streams.hear_begun(stream, &version, now);
                }
            }
        }
        FleetMessage::AskBegun(streams) => {
            let found = gateway.streams().find_begun(&streams);
            send_versions(socket, &found, &Set::from_iter([sender]));
        }
        FleetMessage::Quota(message) => {
            if let Some(answer) = gateway.hear_quota(message) {
                let answer = FleetMessage::Quota(answer);
                send_fleet_message(socket, &answer, &Set::from_iter([sender]));
            }
        }
        FleetMessage::AskConfig(asked) => {
            if let Some(state) = gateway.config_state(asked) {
                let answer = FleetMessage::ConfigState(state);
                send_fleet_message(socket, &answer, &Set::from_iter([sender]));
            }
        }
        FleetMessage::ConfigState(state) => gateway.hear_config(&state),
        FleetMessage::Failures(failures) => gateway.dispatch.hear_failures(&failures),
        FleetMessage::Paces(samples) => gateway.dispatch.hear_paces(&samples),
        FleetMessage::Notices(notices) => gateway.dispatch.hear_limits(&notices),
        FleetMessage::Ask(notice, class) => {
            let answer = match gateway.dispatch.grant(&notice, class) {
                Some(reply) => FleetMessage::Answer(notice.worker, reply),
                None => FleetMessage::Notices(gateway.dispatch.limits()),
            };
            send_fleet_message(socket, &answer, &Set::from_iter([sender]));
        }
        FleetMessage::Answer(worker, reply) => {
            gateway.dispatch.accept(&worker, reply);
            if gateway.jobs.backlog() != Backlog::default() {
                gateway.jobs.notify_runner();
            }
        }
    }
}

fn send_report(socket: &Async<UdpSocket>, report: &Report, targets: Set<SocketAddr>) {
    match report.encode(REPORT_MARK.to_vec()) {
        Ok(message) => send_all(socket, &message, &targets),
        Err(e) => event!(Warn, MessageInvalid, "reason=\"{e}\""),
    }
}

/// Packs heartbeats to pass on into messages, each of which begins with the own heartbeat.
fn messages(own: &[u8], relayed: impl Iterator<Item = Vec<u8>>) -> Vec<Vec<u8>> {
    let mut messages = vec![own.to_vec()];
    for heartbeat in relayed {
        match messages.last_mut() {
            Some(last) if last.len() + heartbeat.len() <= FULL_MESSAGE_BYTES => {
                last.extend(heartbeat);
            }
            _ => messages.push([own, &heartbeat].concat()),
        }
    }
    messages
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

/// Logs how many workers were withdrawn or kept, and how often their list changed, without a line of
/// their own.
fn log_workers(gateway: &Gateway, now: Duration) {
    let Some((workers, lists)) = gateway.views().take_omitted(now) else {
        return;
    };
    let (withdrawn, kept) = (workers.withdrawn, workers.kept);
    let ready = gateway.dispatch.ready_workers();
    event!(
        Info,
        WorkerChanges,
        "withdrawn={withdrawn} kept={kept} lists={lists} workers={ready}"
    );
}

/// Logs how many instances joined and left without a line of their own.
fn log_members(gateway: &Gateway, now: Duration) {
    let Some(omitted) = gateway.member_log().take_omitted(now) else {
        return;
    };
    let live = gateway.peers().live(now).count();
    let (joined, left) = (omitted.joined, omitted.left);
    event!(
        Info,
        MembersChanged,
        "joined={joined} left={left} live={live}"
    );
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
        if gateway.member_log().admit(MemberChange::Left, now) {
            event!(Info, MemberLeft, "peer={peer}");
        }
        let empty = Backlog::default();
        gateway.dispatch.set_peer(&peer, Map::default(), empty);
        gateway.dispatch.set_zone(&peer, None);
        // A full channel already holds the same signal.
        let _ = updates.members.try_send(());
    }
}

/// Returns the addresses for the heartbeat of a round, including the seeds that were not heard yet.
fn targets(gateway: &Gateway, round: u64, now: Duration) -> Targets {
    let Settings {
        zone, seeds, peers, ..
    } = &gateway.settings;
    let known = gateway.peers();
    let mut targets = known.targets(zone, round, now);
    let unknown = seeds.iter().filter(|a| !known.knows_address(a));
    targets.far.extend(unknown);
    targets.far.remove(peers);
    targets
}

/// Returns the addresses of instances of other zones whose batch items must yield now. Their next
/// heartbeat through a relay would come when the request has missed its objective.
fn urgent_targets(
    gateway: &Gateway,
    targets: &Targets,
    yielding: &Set<InstanceId>,
) -> Set<SocketAddr> {
    if yielding.is_empty() {
        return Set::default();
    }
    let peers = gateway.peers();
    let live = peers.live(gateway.now());
    live.filter(|h| yielding.contains(&h.instance))
        .map(|h| h.address)
        .filter(|a| !targets.near.contains(a))
        .collect()
}

/// Returns the heartbeat of this instance.
pub fn heartbeat(gateway: &Gateway, number: u64) -> Heartbeat {
    let level = |(worker, level): (u32, Level)| {
        let count = |n: u32| u8::try_from(n).unwrap_or(u8::MAX);
        (worker, count(level.online), count(level.batch))
    };
    let levels = gateway.dispatch.local_levels();
    // A guard within the literal below would be held until its end, while those of the jobs are taken.
    let shares = gateway.streams().share_state(clock::steady_millis());
    let workers = gateway.views().workers_version;
    Heartbeat {
        instance: gateway.settings.instance.clone(),
        session: gateway.session,
        zone: gateway.settings.zone.clone(),
        number,
        address: gateway.settings.peers,
        config: gateway.config_version(),
        workers,
        shares,
        leaving: gateway.drain.phase() != Phase::Running,
        store: gateway.reaches_store(),
        levels: levels.into_iter().map(level).collect(),
        backlog: gateway.jobs.backlog(),
        waiting: gateway.jobs.waiting(),
        jobs: gateway.jobs.states(gateway.now()),
        ended: gateway.jobs.ended(gateway.now()),
    }
}

async fn receive(
    gateway: &Gateway,
    socket: &Async<UdpSocket>,
    updates: &UpdateSenders,
    relayed: &Relayed,
) {
    let mut buffer = vec![0; MAX_MESSAGE_BYTES];
    loop {
        let (count, sender) = match socket.recv_from(&mut buffer).await {
            Ok((count, sender)) => (count, sender),
            Err(e) => {
                log::debug!("cannot receive: {e}");
                continue;
            }
        };
        let message = &buffer[..count];
        if let Some(report) = message.strip_prefix(&REPORT_MARK) {
            timed("report", || read_report(gateway, report));
        } else if let Some(message) = message.strip_prefix(&FLEET_MARK) {
            timed("fleet-message", || {
                read_fleet_message(gateway, socket, message, sender);
            });
        } else {
            timed("heartbeat", || {
                let joined = read_message(gateway, message, updates, relayed);
                greet(gateway, socket, joined);
            });
        }
    }
}

fn read_report(gateway: &Gateway, report: &[u8]) {
    match Report::decode(report) {
        Ok(report) => gateway.suspects().merge(report, gateway.now()),
        Err(e) => event!(Warn, MessageInvalid, "reason=\"{e}\""),
    }
}

/// Sends all that is known of limits, versions and crashes to instances that joined. A restarted one has
/// forgotten it, and would crash workers again until the next report happens to reach it.
fn greet(gateway: &Gateway, socket: &Async<UdpSocket>, joined: Set<SocketAddr>) {
    if joined.is_empty() {
        return;
    }
    send_fleet_state(gateway, socket, &joined);
    if gateway.suspects().is_empty() {
        return;
    }
    let report = gateway.suspects().report(gateway.now());
    send_report(socket, &report, joined);
}

/// Records the heartbeats of a message, and returns the addresses of instances that joined. The first
/// heartbeat is of the sender itself and is passed on to the neighbours if it comes from another zone.
fn read_message(
    gateway: &Gateway,
    message: &[u8],
    updates: &UpdateSenders,
    relayed: &Relayed,
) -> Set<SocketAddr> {
    let Settings { instance, zone, .. } = &gateway.settings;
    let mut joined = Set::default();
    let mut rest = message;
    while !rest.is_empty() {
        let (heartbeat, after) = match postcard::take_from_bytes::<Heartbeat>(rest) {
            Ok(decoded) => decoded,
            Err(e) => {
                event!(Warn, MessageInvalid, "reason=\"{e}\"");
                return joined;
            }
        };
        let bytes = &rest[..rest.len() - after.len()];
        let is_first = rest.len() == message.len();
        rest = after;
        if heartbeat.instance == *instance {
            continue;
        }
        let (sender, is_outside) = (heartbeat.instance.clone(), heartbeat.zone != *zone);
        let address = heartbeat.address;
        let version = (heartbeat.session, heartbeat.number);
        let change = handle(gateway, heartbeat, updates);
        if change == PeerChange::Joined {
            joined.insert(address);
        }
        if is_first && is_outside && change != PeerChange::Stale {
            let bytes = bytes.to_vec();
            lock(relayed).insert(sender, RelayedHeartbeat { version, bytes });
        } else if !is_first {
            // The other relay of the round has passed it on to all neighbours.
            let mut relayed = lock(relayed);
            if relayed.get(&sender).is_some_and(|r| r.version <= version) {
                relayed.remove(&sender);
            }
        }
    }
    joined
}

fn handle(gateway: &Gateway, heartbeat: Heartbeat, updates: &UpdateSenders) -> PeerChange {
    let heartbeat = Arc::new(heartbeat);
    let result = gateway.peers().record(heartbeat.clone(), gateway.now());
    if result == PeerChange::Stale {
        return result;
    }
    let time = clock::steady_millis();
    gateway
        .streams()
        .hear(&heartbeat.instance, &heartbeat.shares, time);
    if gateway.is_behind(&heartbeat) {
        let _ = updates.behind.try_send(());
    }
    let instance = &heartbeat.instance;
    gateway.dispatch.mark_zone_reachable(&heartbeat.zone);
    if result != PeerChange::Known {
        let zone = heartbeat.zone.clone();
        gateway.dispatch.set_zone(instance, Some(zone));
        let (levels, backlog) = (heartbeat.levels(), heartbeat.backlog);
        gateway.dispatch.set_peer(instance, levels, backlog);
        // Free slots matter only while items wait for them.
        if gateway.jobs.backlog() != Backlog::default() {
            gateway.jobs.notify_runner();
        }
    }
    for job in &heartbeat.ended {
        gateway.jobs.hear_ended(job, gateway.now());
    }
    for state in &heartbeat.jobs {
        if let Some((id, job)) = gateway.jobs.by_key(state.key) {
            merge_job_state(gateway, &id, &job, *state);
        }
    }
    if result == PeerChange::Joined {
        let now = gateway.now();
        if gateway.member_log().admit(MemberChange::Joined, now) {
            event!(Info, MemberJoined, "peer={instance}");
        }
        let _ = updates.members.try_send(());
    }
    result
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
