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
            let known = gateway.streams().history(&service).cloned();
            let history = known.clone().unwrap_or_default();
            let Some(next) = history.next(&slots, clock::unix_millis()) else {
                continue;
            };
            if let Err(e) = write(&gateway, &service, known.is_some(), next).await {
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
    let decode = |o: &Object| serde_json::from_str(&o.spec).ok();
    for object in &objects {
        if let Some(history) = decode(object) {
            let service = object.name.as_str().into();
            gateway.streams().merge(service, history);
        }
    }
    gateway.streams().set_read();
    Ok(())
}

/// Stores a history and puts it in use. One that was stored late is stored again, since the earlier
/// shares were in use until then.
async fn write(
    gateway: &Gateway,
    service: &ServiceId,
    mut exists: bool,
    mut next: History,
) -> Result<(), StoreError> {
    for _ in 0..WRITE_ATTEMPTS {
        let started = Instant::now();
        let store = &gateway.store;
        let written = if exists {
            let Some(object) = store.get(VERSIONS, service, Freshness::Latest).await? else {
                exists = false;
                continue;
            };
            let stored: History = serde_json::from_str(&object.spec).unwrap_or_default();
            if stored.number > next.number || (stored.number == next.number && stored != next) {
                gateway.streams().merge(service.clone(), stored);
                return Ok(());
            }
            if stored == next {
                Ok(())
            } else {
                let revision = object.revision;
                store.replace_at(VERSIONS, service, revision, &next).await
            }
        } else {
            store.create(VERSIONS, service, &next).await
        };
        let is_late = started.elapsed() > WRITE_LIMIT;
        match written {
            Ok(()) if !is_late => {
                event!(
                    Info,
                    SharesChanged,
                    "service={service} number={} shares={:?}",
                    next.number,
                    next.mixes.last().map(|m| &m.shares)
                );
                gateway.streams().merge(service.clone(), next);
                gateway.streams().tell(service);
                gateway.dispatch.notify();
                return Ok(());
            }
            Ok(()) => {
                exists = true;
                next = next.repeated(clock::unix_millis());
            }
            Err(StoreError::Conflict) => exists = true,
            Err(e) => {
                // The write may have taken effect; the read shows whether it has.
                log_failure("write-versions", &e);
                exists = true;
                Timer::after(NEWS_DELAY).await;
                let stored = store.get(VERSIONS, service, Freshness::Latest).await?;
                let stored = stored.and_then(|o| serde_json::from_str(&o.spec).ok());
                if stored.as_ref() == Some(&next) {
                    next = next.repeated(clock::unix_millis());
                }
            }
        }
    }
    Err(StoreError::Unknown("the store is too slow".into()))
}

fn log_failure(call: &str, error: &StoreError) {
    event!(Info, StoreCallFailed, "call={call} reason=\"{error}\"");
}
