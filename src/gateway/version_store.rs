//! Shares of the workers' software versions, in the object store and from other instances.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use async_io::Timer;

use crate::{
    adapter::store::{Freshness, Object, StoreError},
    clock, event,
    ids::ServiceId,
};

use super::{
    gateway::Gateway,
    versions::{History, NEWS_DELAY},
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
/// Maximum number of writes of one change.
const WRITE_ATTEMPTS: usize = 4;

/// Reads the histories at the start of the instance, and keeps them up to date while this instance is
/// the one that does, forever.
pub async fn run(gateway: Arc<Gateway>) {
    while let Err(e) = read(&gateway).await {
        log_failure("read-versions", &e);
        Timer::after(RETRY_PAUSE).await;
    }
    loop {
        Timer::after(CHECK_INTERVAL).await;
        if !gateway.is_sweeper() {
            continue;
        }
        for (service, slots) in gateway.dispatch.slots_by_version() {
            let history = gateway.streams().history(&service);
            let Some(next) = history.next(&slots, clock::unix_millis()) else {
                continue;
            };
            if let Err(e) = write(&gateway, &service, next).await {
                log_failure("write-versions", &e);
                Timer::after(RETRY_PAUSE).await;
                if let Err(e) = read(&gateway).await {
                    log_failure("read-versions", &e);
                }
            }
        }
    }
}

async fn read(gateway: &Gateway) -> Result<(), StoreError> {
    let (objects, _) = gateway.store.list(VERSIONS, Freshness::Latest).await?;
    for object in &objects {
        if let Some(history) = decode(object) {
            let service = object.name.as_str().into();
            gateway.streams().merge(service, history);
        }
    }
    gateway.streams().set_read();
    Ok(())
}

fn decode(object: &Object) -> Option<History> {
    serde_json::from_str(&object.spec).ok()
}

/// Stores a history and puts it in use. One that was stored late is stored again, since the earlier
/// shares were in use until then.
async fn write(
    gateway: &Gateway,
    service: &ServiceId,
    mut next: History,
) -> Result<(), StoreError> {
    let store = &gateway.store;
    let mut begun = Instant::now();
    for _ in 0..WRITE_ATTEMPTS {
        let object = store.get(VERSIONS, service, Freshness::Latest).await?;
        let written = match (&object, object.as_ref().and_then(decode)) {
            // An earlier write took effect, and its answer was lost.
            (_, Some(stored)) if stored == next => Ok(()),
            (_, Some(stored)) if stored.number >= next.number => {
                gateway.streams().merge(service.clone(), stored);
                return Ok(());
            }
            (Some(object), _) => {
                let revision = object.revision;
                store.replace_at(VERSIONS, service, revision, &next).await
            }
            (None, _) => store.create(VERSIONS, service, &next).await,
        };
        match written {
            Ok(()) if begun.elapsed() <= WRITE_LIMIT => {
                put_in_use(gateway, service, next);
                return Ok(());
            }
            Ok(()) => {
                next = next.repeated(clock::unix_millis());
                begun = Instant::now();
            }
            Err(StoreError::Conflict) => {}
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
    streams.merge(service.clone(), history);
    streams.tell(service);
    drop(streams);
    gateway.dispatch.notify();
}

fn log_failure(call: &str, error: &StoreError) {
    event!(Info, StoreCallFailed, "call={call} reason=\"{error}\"");
}
