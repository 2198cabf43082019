//! Sends the online requests of a trace and measures the times to their first tokens.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use async_io::Timer;
use fastrand::Rng;
use futures::StreamExt;
use gentianpath::{
    dial,
    workers::{OnlineGuard, WorkerTable},
};
use serde_json::json;
use trillium_client::Client;

use crate::{
    entry::worker_id,
    policy::Routing,
    process_trace::{Request, Trace},
};

/// Bound on opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Status codes of refusals because of load.
const REFUSED: [u16; 2] = [429, 503];

/// How an online request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Complete, with the time from its arrival to its first token.
    Whole(Duration),
    /// Refused.
    Refused,
    /// Broken off.
    Broken,
}

/// Destination of online requests.
#[derive(Debug, Clone)]
pub enum Destination {
    /// The entry instances, which route them.
    Entries(Vec<SocketAddr>),
    /// The workers, with routing by the load program.
    Workers(Arc<DirectRouting>),
}

/// Routing of the load program.
#[derive(Debug)]
pub struct DirectRouting {
    /// Random, or by least reported load.
    pub routing: Routing,
    /// Addresses of the workers.
    pub workers: Vec<SocketAddr>,
    /// Counts of the workers, shared with the batch work of the load program.
    pub table: Arc<WorkerTable>,
    /// Running and waiting requests of each worker in its last report.
    pub reported: Vec<AtomicU32>,
    /// Random number generator.
    pub rng: Mutex<Rng>,
}

/// Returns a client that opens a connection for each request.
pub fn client() -> Client {
    dial::client(CONNECT_TIMEOUT)
}

/// Sends the requests of a trace at their arrival times and waits for all of them.
pub async fn send_trace(destination: &Destination, trace: &Trace) -> Vec<Outcome> {
    let start = Instant::now();
    let client = client();
    let sends = trace.requests.iter().cloned().enumerate();
    let sends = sends.map(|(i, request)| {
        let (destination, client) = (destination.clone(), client.clone());
        let due = start + request.at;
        async_global_executor::spawn(
            async move { destination.send(&client, i, due, &request).await },
        )
    });
    let sends: Vec<_> = sends.collect();
    futures::future::join_all(sends).await
}

impl Destination {
    async fn send(&self, client: &Client, i: usize, due: Instant, request: &Request) -> Outcome {
        Timer::at(due).await;
        let (address, guard) = match self {
            Destination::Entries(entries) => (entries[request.entry], None),
            Destination::Workers(direct) => direct.begin(),
        };
        let id = format!("online-{i}");
        stream(client, address, &id, request, due, guard).await
    }
}

impl DirectRouting {
    fn begin(&self) -> (SocketAddr, Option<OnlineGuard>) {
        let worker = self.choose();
        let cell = self.table.cell(&worker_id(worker));
        let guard = cell.begin_online(self.table.now());
        (self.workers[worker], Some(guard))
    }

    fn choose(&self) -> usize {
        let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
        let all = 0..self.workers.len();
        if self.routing == Routing::Random {
            return rng.usize(all);
        }
        let load = |w: &usize| (self.reported[*w].load(Ordering::Relaxed), rng.u32(..));
        all.min_by_key(load).unwrap_or(0)
    }
}

/// Opens one stream and reads it to its end.
pub async fn stream(
    client: &Client,
    address: SocketAddr,
    id: &str,
    request: &Request,
    due: Instant,
    guard: Option<OnlineGuard>,
) -> Outcome {
    let body = json!({
        "model": "m1",
        "messages": [{"role": "user", "content": request.prompt}],
        "max_tokens": request.tokens,
        "stream": true,
    });
    let opened = client
        .post(format!("http://{address}/v1/chat/completions"))
        .with_request_header("content-type", "application/json")
        .with_request_header("gentianpath-request", id.to_owned())
        .with_body(body.to_string())
        .into_sse()
        .await;
    let mut events = match opened {
        Ok(events) => events,
        Err(e) => {
            let status = e.status().map_or(0, u16::from);
            return match REFUSED.contains(&status) {
                true => Outcome::Refused,
                false => Outcome::Broken,
            };
        }
    };
    let mut first = None;
    let mut count = 0;
    while let Some(Ok(_)) = events.next().await {
        if first.is_none() {
            first = Some(due.elapsed());
            if let Some(guard) = &guard {
                guard.first_token();
            }
        }
        count += 1;
    }
    match first {
        Some(first) if count >= request.tokens => Outcome::Whole(first),
        _ => Outcome::Broken,
    }
}
