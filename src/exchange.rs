//! Exchange of digests with other entry instances, and pulls of what they know and this one lacks.
//!
//! Sheet, jobs and instance list are shared by all zones and regions: each round goes to peers of
//! the own zone and to one of another zone, so that a zone whose watchers are cut off from the
//! platform learns from other zones. Loads and heartbeats matter in the own zone only.

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

/// Peers of the own zone in a round.
const ZONE_PEERS: usize = 3;
/// Peers of other zones in a round.
const REMOTE_PEERS: usize = 1;
/// Pulls in a row at most; an answer may hold a part of the changes only.
const PULL_LIMIT: usize = 16;

/// Exchanges digests in rounds.
pub async fn run(control: Rc<Control>) {
    let interval = control.ctx.settings.timeouts.exchange;
    loop {
        let seeds = &control.ctx.settings.peers;
        let peers = choose(&mut control.state(), seeds, control.now());
        join_all(
            peers
                .into_iter()
                .map(|(detail, p)| meet(&control, detail, p)),
        )
        .await;
        control.publish_soon();
        control.forget_clients();
        control.pause(interval).await;
    }
}

/// Chooses the peers of a round. The peers of the settings are tried while no instance is heard.
fn choose(state: &mut State, seeds: &[SocketAddr], now: Duration) -> Vec<(Detail, SocketAddr)> {
    let me = state.members.local().clone();
    let known = state.members.entries().map(|m| &m.identity);
    let (mut zone, mut remote): (Vec<_>, Vec<_>) = known
        .map(|i| (i.zone == me.zone, i.address))
        .partition(|(near, _)| *near);
    if !state.members.hears_any(now) {
        zone.extend(
            seeds
                .iter()
                .filter(|a| **a != me.address)
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

async fn meet(control: &Rc<Control>, detail: Detail, address: SocketAddr) {
    let client = control.client(address);
    let digest = control.state().digest(detail, control.now());
    match client.exchange(&digest).await {
        Ok(answer) => {
            control.state().counts.exchanges += 1;
            let lacking = take(control, answer);
            pull(control, &client, lacking).await;
        }
        Err(e) => {
            control.state().counts.failures += 1;
            log::debug!("exchange with {address}: {e}");
        }
    }
}

/// Takes over the digest of an instance that began an exchange and returns this one's. What it
/// knows and this one lacks is pulled in the background.
pub fn answer(control: &Rc<Control>, digest: Digest) -> Digest {
    control.state().counts.received += 1;
    let address = digest.identity.address;
    let lacking = take(control, digest);
    if !lacking.is_empty() {
        let control_too = control.clone();
        control.spawn(async move {
            let client = control_too.client(address);
            pull(&control_too, &client, lacking).await;
        });
    }
    control.state().digest(Detail::Heartbeats, control.now())
}

/// Takes over a digest and returns the kinds of which its sender knows more.
fn take(control: &Control, digest: Digest) -> Vec<(Watched, Version)> {
    let mut state = control.state();
    let mut lacking: Vec<_> = digest.views.iter().map(|(k, v)| (*k, *v)).collect();
    lacking.retain(|(kind, latest)| state.view(*kind).lacks(*latest));
    lacking.sort();
    state.take_digest(&control.ctx, digest, control.now());
    lacking
}

async fn pull(control: &Control, client: &PeerClient, lacking: Vec<(Watched, Version)>) {
    for (kind, latest) in lacking {
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
