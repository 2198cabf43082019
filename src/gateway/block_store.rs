//! Requests that crash workers, in the object store.

use std::{sync::Arc, time::Duration};

use async_io::Timer;
use smol::channel::{Receiver, Sender, bounded};

use crate::{
    adapter::store::{Freshness, Object, StoreError},
    event,
    ids::{Fingerprint, Map},
    mutex::lock,
};

use super::{
    block_record::{self, BlockRecord, Claim, RECALL_INTERVAL, RECALL_LIMIT},
    crash_report::CrashReport,
    gateway::Gateway,
    marks::Mark,
};

/// Object kind of the requests that are kept from the workers, named after their fingerprints.
pub const BLOCKED: &str = "blocked-requests";
/// Maximum number of writes of a record that others write at the same time.
const WRITE_ATTEMPTS: usize = 4;
/// Time for which a probe waits for the store.
const CLAIM_LIMIT: Duration = Duration::from_millis(500);

/// The last read of the records.
#[derive(Debug)]
pub struct Recall {
    started: Duration,
    /// Closed when the read has ended.
    done: Receiver<()>,
}

/// Waits for a short time until a read has ended.
pub async fn wait(done: Receiver<()>) {
    let limit = async {
        Timer::after(RECALL_LIMIT).await;
    };
    let read = async {
        let _ = done.recv().await;
    };
    smol::future::or(read, limit).await;
}

/// Starts a read of the records unless that was done in the last second. Nothing is sent to the
/// returned channel, which is closed when they are known.
pub fn start_recall(gateway: &Arc<Gateway>) -> Receiver<()> {
    let now = gateway.now();
    let mut last = lock(&gateway.recall);
    if let Some(last) = last.as_ref().filter(|r| now < r.started + RECALL_INTERVAL) {
        return last.done.clone();
    }
    let (reading, done): (Sender<()>, Receiver<()>) = bounded(1);
    *last = Some(Recall {
        started: now,
        done: done.clone(),
    });
    drop(last);
    let gateway = gateway.clone();
    smol::spawn(async move {
        if let Err(e) = read(&gateway).await {
            log_failure("read-blocked", &e);
        }
        drop(reading);
    })
    .detach();
    done
}

/// Reads the records at the start of the instance.
pub async fn read_first(gateway: Arc<Gateway>) {
    if let Err(e) = read(&gateway).await {
        log_failure("read-blocked", &e);
    }
}

async fn read(gateway: &Gateway) -> Result<(), StoreError> {
    // The platform tolerates retries for longer than stale data lags behind.
    let (objects, _) = gateway.store.list(BLOCKED, Freshness::Stale).await?;
    let now = gateway.shared_millis();
    for (request, record) in decode_all(gateway, &objects) {
        if !record.is_expired(now) {
            merge(gateway, request, &record);
        }
    }
    Ok(())
}

fn merge(gateway: &Gateway, request: Fingerprint, record: &BlockRecord) {
    let report = record.report(request, gateway.shared_millis());
    let now = gateway.now();
    if gateway.suspects().recall(report, now) {
        event!(
            Info,
            BlockRecalled,
            "parts={} crashes={}",
            Mark::Request(request),
            record.crashes.len()
        );
        gateway.dispatch.notify();
    }
}

fn decode_all(gateway: &Gateway, objects: &[Object]) -> Map<Fingerprint, BlockRecord> {
    let decoded = objects.iter().filter_map(|o| decode(gateway, o));
    decoded.collect()
}

fn decode(gateway: &Gateway, object: &Object) -> Option<(Fingerprint, BlockRecord)> {
    let name = &object.name;
    let log = |reason: &dyn std::fmt::Display| gateway.store.log_fault(BLOCKED, name, reason);
    let Some(request) = block_record::request(name) else {
        log(&"the name is no fingerprint");
        return None;
    };
    let record = serde_json::from_str(&object.spec).inspect_err(|e| log(e));
    Some((request, record.ok()?))
}

/// Stores what is new of blocked requests, and removes those that are proved sound.
pub fn write_news(gateway: &Arc<Gateway>) {
    let now = gateway.now();
    let news = gateway.suspects().take_block_news(now);
    for (request, crashes) in news.crashed {
        let gateway = gateway.clone();
        smol::spawn(async move { save(&gateway, request, &crashes).await }).detach();
    }
    for request in news.sound {
        let gateway = gateway.clone();
        smol::spawn(async move { remove(&gateway, request).await }).detach();
    }
}

async fn save(gateway: &Gateway, request: Fingerprint, crashes: &[CrashReport]) {
    let record = BlockRecord::new(crashes, gateway.shared_millis());
    for _ in 0..WRITE_ATTEMPTS {
        match try_save(gateway, request, &record).await {
            Err(StoreError::Conflict | StoreError::Missing) => {}
            Ok(()) => return,
            Err(e) => return log_failure("write-blocked", &e),
        }
    }
}

async fn try_save(
    gateway: &Gateway,
    request: Fingerprint,
    record: &BlockRecord,
) -> Result<(), StoreError> {
    let name = block_record::name(request);
    match gateway.store.create(BLOCKED, &name, record).await {
        Err(StoreError::Conflict) => {}
        other => return other,
    }
    let prior = gateway.store.prior(BLOCKED, &name).await?;
    let stored = prior.object().and_then(|o| decode(gateway, o));
    let mut stored = stored.map_or_else(BlockRecord::default, |(_, r)| r);
    let changed = stored.merge(record);
    merge(gateway, request, &stored);
    if !changed {
        return Ok(());
    }
    let store = &gateway.store;
    store.write_over(BLOCKED, &name, &prior, &stored).await
}

async fn remove(gateway: &Gateway, request: Fingerprint) {
    let name = block_record::name(request);
    match gateway.store.delete(BLOCKED, &name).await {
        Ok(()) | Err(StoreError::Missing) => {}
        Err(e) => log_failure("delete-blocked", &e),
    }
}

/// Claims the probe of a request, and returns whether it may be sent. Instances that are cut from
/// each other send no more probes than one would, and one that is killed leaves a mark of its
/// probe. An instance that does not reach the store decides by itself, and so does one that probes
/// parts, of which the store knows nothing.
pub async fn claim_probe(gateway: &Gateway, request: Fingerprint) -> bool {
    if !gateway.suspects().blocks_request(request) {
        return true;
    }
    let limit = async {
        Timer::after(CLAIM_LIMIT).await;
        Err(StoreError::Unknown("no answer in time".into()))
    };
    match smol::future::or(try_claim(gateway, request), limit).await {
        Ok(claimed) => claimed,
        Err(StoreError::Conflict) => false,
        Err(e) => {
            log_failure("claim-probe", &e);
            true
        }
    }
}

async fn try_claim(gateway: &Gateway, request: Fingerprint) -> Result<bool, StoreError> {
    let name = block_record::name(request);
    let prior = gateway.store.prior(BLOCKED, &name).await?;
    let now = gateway.now();
    let known = gateway.suspects().crashes_of(request, now);
    let mut record = BlockRecord::new(&known, gateway.shared_millis());
    if let Some((_, stored)) = prior.object().and_then(|o| decode(gateway, o)) {
        record.merge(&stored);
        merge(gateway, request, &stored);
        let now = gateway.now();
        if !gateway.suspects().is_probe_due(request, now) {
            return Ok(false);
        }
    }
    let Claim::Free(claimed) = record.claim(gateway.shared_millis()) else {
        return Ok(false);
    };
    let store = &gateway.store;
    store.write_over(BLOCKED, &name, &prior, &claimed).await?;
    Ok(true)
}

/// Removes outdated records.
///
/// # Errors
///
/// Returns an error when the records cannot be read.
pub async fn sweep(gateway: &Gateway) -> Result<(), StoreError> {
    let (objects, _) = gateway.store.list(BLOCKED, Freshness::Stale).await?;
    let records = decode_all(gateway, &objects);
    for request in block_record::outdated(&records, gateway.shared_millis()) {
        remove(gateway, request).await;
    }
    Ok(())
}

fn log_failure(call: &str, error: &StoreError) {
    event!(Info, StoreCallFailed, "call={call} reason=\"{error}\"");
}
