//! Shares of the workers' software versions, in the object store and from other instances.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use async_io::Timer;
use serde::{Deserialize, Serialize};

use crate::{
    adapter::store::{Freshness, Object, StoreError},
    clock, event,
    ids::{Map, ServiceId},
};

use super::{
    gateway::Gateway,
    versions::{Deadlines, History, NEWS_DELAY},
};

/// Object kind of the histories, named after their services.
pub const VERSIONS: &str = "stream-versions";
/// Interval at which the instance that writes them looks for changes of the worker list.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Time from new shares to the answer of the store after which they are written again with a new
/// time. What is left of the delay is for the other instances.
const WRITE_LIMIT: Duration = Duration::from_millis(300);
/// Time until a history that the store does not take is written again.
const HOLD_TIME: Duration = Duration::from_secs(10);
/// Maximum number of writes of one change.
const WRITE_ATTEMPTS: usize = 4;
/// Time for which a read counts as the current state of the store, so that calls that come together share
/// one. A stream seldom begins, breaks and comes back at another instance within it.
const READ_KEPT: Duration = Duration::from_millis(100);

/// A history as stored.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Stored {
    /// The history.
    #[serde(flatten)]
    pub history: History,
    /// The longest time that callers wait, as known when the shares changed: an instance that has started
    /// cannot tell the age of their streams by the timeout of the route, which may have changed.
    #[serde(default)]
    pub deadlines: Deadlines,
}

/// Reads of the histories on behalf of calls, one at a time.
#[derive(Debug, Default)]
pub struct Reads {
    /// Time when the last successful read began.
    last: smol::lock::Mutex<Option<Instant>>,
}

/// Brings the histories up to date with the store, and returns whether that succeeded within `limit`.
/// Calls that come at the same time share a read.
pub async fn confirm(gateway: &Gateway, limit: Duration) -> bool {
    let called = Instant::now();
    let work = async {
        let mut last = gateway.share_reads.last.lock().await;
        if last.is_some_and(|begun| begun + READ_KEPT >= called) {
            return true;
        }
        let begun = Instant::now();
        match read(gateway).await {
            Ok(()) => {
                *last = Some(begun);
                true
            }
            Err(e) => {
                log_failure("read-versions", &e);
                false
            }
        }
    };
    let timeout = async {
        Timer::after(limit).await;
        false
    };
    smol::future::or(work, timeout).await
}

/// Reads the histories at the start of the instance, and keeps them up to date while this instance is
/// the one that does, forever.
pub async fn run(gateway: Arc<Gateway>) {
    while let Err(e) = read(&gateway).await {
        log_failure("read-versions", &e);
        Timer::after(RETRY_PAUSE).await;
    }
    // Services whose histories the store does not take, with the time of the next try.
    let mut held: Map<ServiceId, Instant> = Map::default();
    loop {
        Timer::after(CHECK_INTERVAL).await;
        let is_writer = gateway.is_sweeper();
        if gateway.streams().is_behind(clock::steady_millis()) {
            let caught_up = if is_writer {
                adopt(&gateway).await
            } else {
                read(&gateway).await
            };
            if let Err(e) = caught_up {
                log_failure("read-versions", &e);
                Timer::after(RETRY_PAUSE).await;
            }
        }
        if !is_writer {
            continue;
        }
        let now = Instant::now();
        held.retain(|_, until| now < *until);
        for (service, slots) in gateway.dispatch.slots_by_version() {
            if held.contains_key(&service) {
                continue;
            }
            let history = gateway.streams().history(&service);
            let Some(next) = history.next(&slots, gateway.shared_millis()) else {
                continue;
            };
            if let Err(e) = write(&gateway, &service, next).await {
                if e.is_lasting() {
                    gateway.store.log_fault(VERSIONS, &service, &e);
                    held.insert(service, now + HOLD_TIME);
                    continue;
                }
                log_failure("write-versions", &e);
                Timer::after(RETRY_PAUSE).await;
                if let Err(e) = adopt(&gateway).await {
                    log_failure("read-versions", &e);
                }
            }
        }
    }
}

async fn read(gateway: &Gateway) -> Result<(), StoreError> {
    let histories = list(gateway).await?;
    let mut streams = gateway.streams();
    let now = clock::steady_millis();
    for (service, history) in histories {
        streams.merge(service, history, now);
    }
    streams.set_read();
    streams.set_caught_up();
    Ok(())
}

/// Puts histories in use that the store has and that no instance may have told the others.
async fn adopt(gateway: &Gateway) -> Result<(), StoreError> {
    let mut written = Ok(());
    for (service, history) in list(gateway).await? {
        if history.number > gateway.streams().history(&service).number {
            // One that fails does not keep the others out of use.
            match write(gateway, &service, history).await {
                Err(e) if e.is_lasting() => gateway.store.log_fault(VERSIONS, &service, &e),
                result => written = result.and(written),
            }
        }
    }
    written?;
    gateway.streams().set_caught_up();
    Ok(())
}

async fn list(gateway: &Gateway) -> Result<Vec<(ServiceId, History)>, StoreError> {
    let (objects, _) = gateway.store.list(VERSIONS, Freshness::Latest).await?;
    let decoded = objects.iter().map(|o| (o, decode(gateway, o)));
    let histories = decoded.filter_map(|(o, history)| Some((o.name.as_str().into(), history?)));
    Ok(histories.collect())
}

/// Decodes a history, and records the deadlines that are stored with it.
fn decode(gateway: &Gateway, object: &Object) -> Option<History> {
    let stored = serde_json::from_str(&object.spec);
    let stored = stored.inspect_err(|e| gateway.store.log_fault(VERSIONS, &object.name, e));
    let Stored { history, deadlines } = stored.ok()?;
    gateway.streams().hear_deadlines(deadlines);
    Some(history)
}

/// Returns a history with the deadlines that are known here.
fn encode(gateway: &Gateway, history: &History) -> Stored {
    Stored {
        history: history.clone(),
        deadlines: gateway.streams().deadlines(),
    }
}

/// Stores a history and puts it in use. One that was stored late is stored again, since the earlier
/// shares were in use until then. So is one of another writer that is not in use here: that writer may
/// have ended before it told anyone.
async fn write(
    gateway: &Gateway,
    service: &ServiceId,
    mut next: History,
) -> Result<(), StoreError> {
    let store = &gateway.store;
    let mut begun = Instant::now();
    let mut is_sent = false;
    for _ in 0..WRITE_ATTEMPTS {
        let prior = store.prior(VERSIONS, service).await?;
        let written = match prior.object().and_then(|o| decode(gateway, o)) {
            // An earlier write took effect, and its answer was lost.
            Some(stored) if is_sent && stored == next => Ok(()),
            Some(stored) if stored.number >= next.number => {
                if stored.number <= gateway.streams().history(service).number {
                    return Ok(());
                }
                // Its writer has told others, and this instance has missed the messages.
                if gateway.streams().hears_newer() {
                    put_in_use(gateway, service, stored);
                    return Ok(());
                }
                next = stored.repeated(gateway.shared_millis());
                if next == stored {
                    put_in_use(gateway, service, next);
                    return Ok(());
                }
                begun = Instant::now();
                let new = encode(gateway, &next);
                store.write_over(VERSIONS, service, &prior, &new).await
            }
            _ => {
                let new = encode(gateway, &next);
                store.write_over(VERSIONS, service, &prior, &new).await
            }
        };
        is_sent = true;
        match written {
            Ok(()) if begun.elapsed() <= WRITE_LIMIT => {
                put_in_use(gateway, service, next);
                return Ok(());
            }
            Ok(()) => {
                next = next.repeated(gateway.shared_millis());
                begun = Instant::now();
            }
            Err(StoreError::Conflict) => {}
            Err(e) if e.is_lasting() => return Err(e),
            Err(e) => {
                log_failure("write-versions", &e);
                Timer::after(NEWS_DELAY).await;
            }
        }
    }
    Err(StoreError::Unknown("the store is too slow".into()))
}

/// Uses a history that the store has, and tells the other instances.
fn put_in_use(gateway: &Gateway, service: &ServiceId, history: History) {
    event!(
        Info,
        SharesChanged,
        "service={service} number={} shares={:?}",
        history.number,
        history.mixes.last().map(|m| &m.shares)
    );
    let mut streams = gateway.streams();
    streams.merge(service.clone(), history, clock::steady_millis());
    streams.tell(service);
    drop(streams);
    gateway.dispatch.notify();
}

fn log_failure(call: &str, error: &StoreError) {
    event!(Info, StoreCallFailed, "call={call} reason=\"{error}\"");
}
