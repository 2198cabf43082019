//! Exchange of digests with other entry instances, and pulls of changes that this instance lacks.
//!
//! Sheet, jobs and instance list are shared by all zones and regions: each round goes to peers of
//! the local zone and to one of another zone, so that a zone whose watchers are cut off from the
//! platform gets changes from other zones. Loads and heartbeats are used within a zone only.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use futures::future::join_all;

use crate::{
    control::Control,
    control_state::{Detail, State},
    ids::Version,
    peer::Digest,
    peer_client::PeerClient,
    spread::Watched,
};

/// Number of peers of the local zone in a round.
const ZONE_PEERS: usize = 3;
/// Number of peers of other zones in a round.
const REMOTE_PEERS: usize = 1;
/// Maximum number of consecutive pulls of a kind. One answer may hold only part of the changes.
const PULL_LIMIT: usize = 16;

/// Exchanges digests with peers, one round per interval.
pub async fn run(control: Rc<Control>) {
    let interval = control.ctx.settings.timeouts.exchange;
    loop {
        let seeds = &control.ctx.settings.peers;
        let peers = choose(&mut control.state(), seeds, control.now());
        join_all(
            peers
                .into_iter()
                .map(|(detail, p)| exchange_with(&control, detail, p)),
        )
        .await;
        control.request_publish();
        control.close_unused_clients();
        control.sleep_jittered(interval).await;
    }
}

/// Chooses the peers of a round at random. The peers in the settings are candidates while no
/// instance has a fresh heartbeat.
fn choose(state: &mut State, seeds: &[SocketAddr], now: Duration) -> Vec<(Detail, SocketAddr)> {
    let local = state.members.local().clone();
    let known = state.members.entries().map(|m| &m.identity);
    let (mut zone, mut remote): (Vec<_>, Vec<_>) = known
        .map(|i| (i.zone == local.zone, i.address))
        .partition(|(in_zone, _)| *in_zone);
    if !state.members.any_fresh(now) {
        zone.extend(
            seeds
                .iter()
                .filter(|a| **a != local.address)
                .map(|a| (true, *a)),
        );
    }
    for list in [&mut zone, &mut remote] {
        list.sort();
        list.dedup();
        state.rng.shuffle(list);
    }
    zone.truncate(ZONE_PEERS);
    remote.truncate(REMOTE_PEERS);
    let zone = zone.into_iter().map(|(_, address)| (Detail::Zone, address));
    let remote = remote
        .into_iter()
        .map(|(_, address)| (Detail::Views, address));
    zone.chain(remote).collect()
}

async fn exchange_with(control: &Rc<Control>, detail: Detail, address: SocketAddr) {
    let client = control.client(address);
    let digest = control.state().digest(detail, control.now());
    match client.exchange(&digest).await {
        Ok(answer) => {
            control.state().counts.exchanges += 1;
            let missing = merge_digest(control, answer);
            pull(control, &client, missing).await;
        }
        Err(e) => {
            control.state().counts.failures += 1;
            log::debug!("exchange with {address}: {e}");
        }
    }
}

/// Merges the digest of an instance that started an exchange and returns the digest of this one.
/// Changes that this one lacks are pulled in the background.
pub fn respond(control: &Rc<Control>, digest: Digest) -> Digest {
    control.state().counts.received += 1;
    let address = digest.identity.address;
    let missing = merge_digest(control, digest);
    if !missing.is_empty() {
        let puller = control.clone();
        control.spawn(async move {
            let client = puller.client(address);
            pull(&puller, &client, missing).await;
        });
    }
    control.state().digest(Detail::Heartbeats, control.now())
}

/// Merges a digest and returns the kinds for which its sender has a later change, with the version
/// of that change.
fn merge_digest(control: &Control, digest: Digest) -> Vec<(Watched, Version)> {
    let mut state = control.state();
    let mut missing: Vec<_> = digest.views.iter().map(|(k, v)| (*k, *v)).collect();
    missing.retain(|(kind, latest)| state.view(*kind).is_behind(*latest));
    missing.sort();
    state.merge_digest(&control.ctx, digest, control.now());
    missing
}

async fn pull(control: &Control, client: &PeerClient, missing: Vec<(Watched, Version)>) {
    for (kind, latest) in missing {
        for _ in 0..PULL_LIMIT {
            let since = control.state().view(kind).version();
            if since >= latest || !control.state().begin_pull(kind) {
                break;
            }
            control.state().counts.pulls += 1;
            let delta = client.changes(kind, since).await;
            control.state().end_pull(kind);
            match delta {
                Ok(delta) if delta.version > since => control.merge(kind, delta),
                _ => break,
            }
        }
    }
}
