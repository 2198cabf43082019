//! Runs an entry instance or a keeper until a planned stop.

use std::{
    net::{SocketAddr, UdpSocket},
    pin::pin,
    sync::Arc,
    time::{Duration, Instant},
};

use anyhow::Context as _;
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use futures::StreamExt;
use serde::{Deserialize, Serialize};
use smol::channel::bounded;

use crate::{
    adapter::store::{Freshness, Object, Store, StoreError},
    drain::Phase,
    event,
    exit::Exit,
    ids::SessionId,
};

use super::{
    block_store,
    gateway::Gateway,
    gossip::{self, UpdateSenders},
    job_run, job_store, links, refresh,
    server::{Server, ServerKind},
    settings::{KeeperSettings, Settings},
    sweep,
    sync::{self, Kind},
    team_records, version_store,
};

/// Object kind of the entries with which instances find each other.
const INSTANCES: &str = "entry-instances";
/// Time from the stop signal to the last accepted connection. The load balancer notices within two
/// health checks, which it sends once a second. Requests that come later than 3 s after the signal
/// would have to be finished although the grace period may end before their timeout.
const LEAVE_DELAY: Duration = Duration::from_millis(2800);
/// Share of the grace period that a planned stop may take.
const STOP_SHARE: f64 = 0.94;
/// Share of the grace period in which calls without an answer get one at the end of a planned stop.
const ANSWER_SHARE: f64 = 0.03;
/// Delay between attempts to register.
const REGISTER_PAUSE: Duration = Duration::from_millis(700);
/// Interval at which a thread checks that it has run.
const STALL_CHECK: Duration = Duration::from_millis(100);
/// Delay of a check that is logged: connections to workers that take as long count as failed.
const STALL: Duration = Duration::from_millis(120);
/// Interval at which a planned stop checks whether it still carries connections for others.
const CARRIED_POLL: Duration = Duration::from_millis(50);
/// Interval at which the list of instances is read.
const MEMBERS_INTERVAL: Duration = Duration::from_secs(20);

/// Entry of an instance in the object store.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct Entry {
    address: SocketAddr,
}

/// Runs an entry instance until a planned stop has ended.
///
/// # Errors
///
/// Returns a one-line error when an address cannot be bound.
pub fn serve(settings: Settings, session: SessionId) -> anyhow::Result<Exit> {
    let gateway = Gateway::new(settings, session);
    smol::block_on(run(gateway))
}

async fn run(gateway: Arc<Gateway>) -> anyhow::Result<Exit> {
    let settings = &gateway.settings;
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
    let socket = Async::<UdpSocket>::bind(settings.peers);
    let socket = socket.with_context(|| format!("cannot listen on {}", settings.peers))?;
    let callers = Server::start(gateway.clone(), settings.callers, ServerKind::Callers)?;
    let peers = Server::start(gateway.clone(), settings.peers, ServerKind::Peers)?;
    let _metrics = match settings.metrics {
        Some(address) => Some(Server::start(
            gateway.clone(),
            address,
            ServerKind::Metrics,
        )?),
        None => None,
    };
    let _balancer = Server::start(gateway.clone(), settings.ready, ServerKind::Balancer)?;
    event!(
        Info,
        InstanceReady,
        "zone={} callers={} session={}",
        settings.zone,
        settings.callers,
        gateway.session
    );
    let control = smol::LocalExecutor::new();
    let (behind, pulls) = bounded(1);
    let (members, changed) = bounded(1);
    let updates = UpdateSenders { behind, members };
    control
        .spawn(sync::follow(gateway.clone(), Kind::Config))
        .detach();
    control
        .spawn(sync::follow(gateway.clone(), Kind::Workers))
        .detach();
    smol::spawn(refresh::run(gateway.clone())).detach();
    smol::spawn(links::watch(gateway.clone())).detach();
    control.spawn(log_stalls("control")).detach();
    smol::spawn(log_stalls("traffic")).detach();
    control.spawn(sync::probe_watches(gateway.clone())).detach();
    control.spawn(sync::pull(gateway.clone(), pulls)).detach();
    control
        .spawn(block_store::read_first(gateway.clone()))
        .detach();
    control.spawn(version_store::run(gateway.clone())).detach();
    control
        .spawn(team_records::read_first(gateway.clone()))
        .detach();
    control
        .spawn(gossip::run(gateway.clone(), socket, updates))
        .detach();
    control.spawn(register(gateway.clone())).detach();
    control.spawn(job_run::run(gateway.clone())).detach();
    control.spawn(sweep::run(gateway.clone(), changed)).detach();
    let stop = async {
        loop {
            match signals.next().await {
                // The settings contain only addresses, which cannot change while the process runs.
                Some(Ok(Signal::Hup)) => event!(Info, ReloadIgnored, "signal=HUP"),
                Some(Ok(_)) | None => return,
                Some(Err(e)) => log::debug!("a signal was lost: {e}"),
            }
        }
    };
    control.run(stop).await;
    control.run(shut_down(&gateway, callers)).await;
    drop(peers);
    event!(Info, StopEnded, "role=entry");
    Ok(Exit::Success)
}

/// Logs when a thread did not run for a while, forever.
async fn log_stalls(thread: &str) {
    loop {
        let began = Instant::now();
        Timer::after(STALL_CHECK).await;
        let late = began.elapsed().saturating_sub(STALL_CHECK);
        if late >= STALL {
            let late = late.as_millis();
            event!(Warn, ProcessStalled, "thread={thread} late_ms={late}");
        }
    }
}

/// Stops accepting callers, hands over jobs and finishes open requests within the grace period.
async fn shut_down(gateway: &Arc<Gateway>, callers: Server) {
    let grace = gateway.settings.grace.mul_f64(STOP_SHARE);
    event!(Info, StopBegan, "grace_ms={}", grace.as_millis());
    gateway.drain.advance(Phase::Leaving);
    let delay = LEAVE_DELAY.min(grace / 2);
    let limit = Timer::after(grace);
    gateway.stop.set_due(Instant::now() + grace);
    let leave = async {
        Timer::after(delay).await;
        gateway.drain.advance(Phase::Draining);
        callers.stop().await;
        while gateway.carried.count() > 0 {
            Timer::after(CARRIED_POLL).await;
        }
    };
    let stop = smol::future::zip(job_store::hand_over(gateway), leave);
    let mut stop = pin!(stop);
    let ended = async {
        limit.await;
        false
    };
    let is_done = async {
        stop.as_mut().await;
        true
    };
    if smol::future::or(is_done, ended).await {
        return;
    }
    gateway.stop.end();
    let answers = Timer::after(gateway.settings.grace.mul_f64(ANSWER_SHARE));
    let ended = async {
        answers.await;
        ((), ())
    };
    smol::future::or(stop, ended).await;
}

/// Registers this instance, and reads the list of the other instances periodically.
async fn register(gateway: Arc<Gateway>) {
    let instance = &gateway.settings.instance;
    let entry = Entry {
        address: gateway.settings.peers,
    };
    loop {
        let created = match gateway.store.create(INSTANCES, instance, &entry).await {
            Err(StoreError::Conflict) => gateway.store.replace(INSTANCES, instance, &entry).await,
            other => other,
        };
        match created {
            Ok(()) => break,
            Err(e) => event!(Info, StoreCallFailed, "call=register reason=\"{e}\""),
        }
        Timer::after(REGISTER_PAUSE).await;
    }
    loop {
        // Instances that start at the same time need a moment to register.
        Timer::after(REGISTER_PAUSE).await;
        match gateway.store.list(INSTANCES, Freshness::Stale).await {
            Ok((objects, _)) => {
                let addresses = objects.iter().filter_map(|o| address(&gateway.store, o));
                let addresses = addresses.collect();
                gateway.peers().set_registered(addresses);
            }
            Err(e) => event!(Info, StoreCallFailed, "call=members reason=\"{e}\""),
        }
        Timer::after(MEMBERS_INTERVAL).await;
    }
}

fn address(store: &Store, object: &Object) -> Option<SocketAddr> {
    let entry = serde_json::from_str::<Entry>(&object.spec);
    let entry = entry.inspect_err(|e| store.log_fault(INSTANCES, &object.name, e));
    Some(entry.ok()?.address)
}

/// Runs a keeper, which confirms the operator's requests to empty a machine with a disk.
///
/// # Errors
///
/// Returns a one-line error when signals cannot be received.
pub fn run_keeper(settings: &KeeperSettings) -> anyhow::Result<Exit> {
    smol::block_on(async {
        // The settings contain only addresses, which cannot change while the process runs. The
        // reload signal still needs a handler, or it would end the process.
        let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
        let store = Store::new(settings.store);
        event!(Info, InstanceReady, "role=keeper");
        let stop = async {
            while let Some(Ok(Signal::Hup)) = signals.next().await {
                event!(Info, ReloadIgnored, "signal=HUP");
            }
        };
        smol::future::or(sync::follow_drain_requests(&store), stop).await;
        event!(Info, StopEnded, "role=keeper");
        Ok(Exit::Success)
    })
}
