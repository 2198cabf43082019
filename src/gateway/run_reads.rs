//! Reads of what workers run, for streams that are taken up and whose version is unclear.
//!
//! All attempts of a call use workers of one version. So if a listed start of a worker ran the call that began a
//! stream, its version is the one of the stream, whichever shares the instance of that call used. A call that
//! no worker reports tells nothing.

use std::{sync::Arc, time::Duration};

use futures::{StreamExt, stream::FuturesUnordered};

use crate::{
    adapter::reports::{self, Running},
    clock, event,
    ids::{Map, ServiceId},
};

use super::{connection::Proof, fleet::Worker, gateway::Gateway};

/// Minimum interval between two rounds for a service. Take-ups wait as long for what a round finds.
pub const INTERVAL: Duration = Duration::from_millis(100);
/// Time in which a worker is expected to answer a report. A late answer serves the next try of a caller.
const REPORT_LIMIT: Duration = Duration::from_millis(250);

/// Times of the last rounds, by service (no I/O).
#[derive(Debug, Default)]
pub struct RunReads(Map<ServiceId, Duration>);

impl RunReads {
    /// Returns whether the workers of a service are due to be asked at a time, and records that they are.
    pub fn begin(&mut self, service: &ServiceId, now: Duration) -> bool {
        let last = self.0.get(service);
        let is_due = last.is_none_or(|last| now >= *last + INTERVAL);
        if is_due {
            self.0.insert(service.clone(), now);
        }
        is_due
    }
}

/// Asks the workers of a service what they run, unless this was done within the last interval. The versions of
/// the streams are recorded as the reports come.
pub fn begin_round(gateway: &Arc<Gateway>, service: &ServiceId) {
    if gateway.run_reads().begin(service, gateway.now()) {
        let (gateway, service) = (gateway.clone(), service.clone());
        smol::spawn(async move { run_round(&gateway, &service).await }).detach();
    }
}

async fn run_round(gateway: &Gateway, service: &ServiceId) {
    let begun = gateway.now();
    let workers = gateway.dispatch.workers_of(service);
    let (asked, mut answered, mut runs) = (workers.len(), 0, 0);
    let reads = workers.iter().map(|worker| read(gateway, worker));
    let mut reads: FuturesUnordered<_> = reads.collect();
    while let Some(reported) = reads.next().await {
        let Some((worker, Running { requests, .. })) = reported else {
            continue;
        };
        answered += 1;
        runs += requests.len();
        let now = clock::steady_millis();
        let mut streams = gateway.streams();
        for request in &requests {
            streams.hear_run(service, request, &worker.version, now);
        }
    }
    event!(
        Info,
        RunsRead,
        "service={service} asked={asked} answered={answered} runs={runs} age_ms={}",
        gateway.now().saturating_sub(begun).as_millis()
    );
}

/// Returns a worker with the requests that it runs, if it is the listed start.
async fn read<'a>(gateway: &Gateway, worker: &'a Worker) -> Option<(&'a Worker, Running)> {
    let request = reports::request(worker).ok()?;
    // An instance that is cut off from the workers leaves this to the others, which it asks as well.
    let mut connection = gateway.upstream.connect(worker, true).await.ok()?;
    let answer = connection.exchange(request, REPORT_LIMIT, Proof::Content);
    let answer = answer.await.ok()?;
    connection.reported = true;
    let running = reports::decode_running(&answer)?;
    // Of another start than the listed one, the version is not known.
    if worker.started != Some(running.started) {
        return None;
    }
    if running.leaving {
        gateway.record_leaving(worker);
    }
    gateway.keep_connection(worker, connection);
    Some((worker, running))
}
