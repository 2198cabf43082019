//! Batch work of the load program, for the baselines that the system does not implement.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use async_io::Timer;
use futures::StreamExt;
use gentianpath::workers::{BatchGuard, WorkerTable};
use serde::Deserialize;
use serde_json::json;
use smol::channel::{Receiver, Sender};
use trillium_client::{Client, Conn};

use crate::{entry::worker_id, policy::Sharing, process_online::client, process_trace::Item};

/// Interval at which the load of a worker is read.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Interval of the load reports for routing.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Number of consecutive reports with online requests after which batch streams are cancelled. A
/// single report may still include a stream that has just ended.
const CANCEL_REPORTS: u32 = 2;

/// An item of the queue, and where its stream can be resumed.
#[derive(Debug, Clone)]
struct QueuedItem {
    number: usize,
    item: Item,
    partial: Option<Partial>,
}

#[derive(Debug, Clone)]
struct Partial {
    worker: usize,
    next: u64,
}

/// Load report of a worker.
#[derive(Debug, Clone, Copy, Default)]
#[derive(Deserialize)]
struct Load {
    running: u32,
    waiting: u32,
}

/// Batch streams of the load program on one worker.
#[derive(Debug)]
struct WorkerStreams {
    address: SocketAddr,
    batch: AtomicU32,
    /// Closes when all streams must stop.
    stop: Mutex<(Sender<()>, Receiver<()>)>,
}

/// Fills workers with batch streams under a policy.
#[derive(Debug)]
pub struct Filler {
    sharing: Sharing,
    slots: u32,
    workers: Vec<WorkerStreams>,
    table: Arc<WorkerTable>,
    queue: Mutex<VecDeque<QueuedItem>>,
    client: Client,
}

/// A batch stream, which is counted until this is dropped.
struct RunningStream {
    filler: Arc<Filler>,
    worker: usize,
    guard: Option<BatchGuard>,
    stop: Receiver<()>,
}

impl Drop for RunningStream {
    fn drop(&mut self) {
        let streams = &self.filler.workers[self.worker];
        streams.batch.fetch_sub(1, Ordering::Relaxed);
    }
}

impl RunningStream {
    /// Waits until the stream must stop.
    async fn stopped(&self) {
        let yielded = async {
            match &self.guard {
                Some(guard) if guard.yielded.recv().await.is_ok() => {}
                _ => std::future::pending().await,
            }
        };
        let stopped = async {
            let _ = self.stop.recv().await;
        };
        smol::future::or(yielded, stopped).await;
    }
}

impl Filler {
    /// Creates a filler of workers. `table` counts the online requests of the load program, for the
    /// admission of the system.
    pub fn new(
        sharing: Sharing,
        slots: u32,
        workers: &[SocketAddr],
        table: Arc<WorkerTable>,
        items: Vec<Item>,
    ) -> Arc<Self> {
        let idle = |address: &SocketAddr| WorkerStreams {
            address: *address,
            batch: AtomicU32::new(0),
            stop: Mutex::new(smol::channel::bounded(1)),
        };
        let queued = |(number, item)| QueuedItem {
            number,
            item,
            partial: None,
        };
        Arc::new(Self {
            sharing,
            slots,
            workers: workers.iter().map(idle).collect(),
            table,
            queue: Mutex::new(items.into_iter().enumerate().map(queued).collect()),
            client: client(),
        })
    }

    /// Keeps every worker filled until the returned tasks are dropped.
    pub fn start(self: &Arc<Self>) -> Vec<smol::Task<()>> {
        let workers = 0..self.workers.len();
        let fill = |w| async_global_executor::spawn(self.clone().fill(w));
        workers.map(fill).collect()
    }

    async fn fill(self: Arc<Self>, worker: usize) {
        let mut busy = 0;
        loop {
            let capacity = match self.sharing {
                Sharing::Admission(_) => self.slots,
                _ => self.polled_capacity(worker, &mut busy).await,
            };
            for _ in 0..capacity {
                let Some(stream) = self.begin(worker) else {
                    break;
                };
                let Some(queued) = self.next_item(worker) else {
                    return;
                };
                async_global_executor::spawn(run(stream, queued)).detach();
            }
            Timer::after(POLL_INTERVAL).await;
        }
    }

    /// Returns the free capacity of a worker by its load report, in streams. `busy` counts the
    /// consecutive reports with online requests.
    async fn polled_capacity(&self, worker: usize, busy: &mut u32) -> u32 {
        let streams = &self.workers[worker];
        let batch = streams.batch.load(Ordering::Relaxed);
        let Some(load) = read_load(&self.client, streams.address).await else {
            return 0;
        };
        let online = (load.running + load.waiting).saturating_sub(batch);
        let batch = streams.batch.load(Ordering::Relaxed);
        *busy = if online > 0 { *busy + 1 } else { 0 };
        match self.sharing {
            Sharing::ShareAll => self.slots.saturating_sub(online + batch),
            Sharing::Split => (self.slots / 2).saturating_sub(batch),
            Sharing::CancelAll if *busy >= CANCEL_REPORTS => {
                *lock(&streams.stop) = smol::channel::bounded(1);
                0
            }
            Sharing::CancelAll if online == 0 => self.slots.saturating_sub(batch),
            _ => 0,
        }
    }

    fn begin(self: &Arc<Self>, worker: usize) -> Option<RunningStream> {
        let guard = match self.sharing {
            Sharing::Admission(_) => {
                let cell = self.table.cell(&worker_id(worker));
                Some(cell.begin_batch(self.table.now())?)
            }
            _ => None,
        };
        let streams = &self.workers[worker];
        streams.batch.fetch_add(1, Ordering::Relaxed);
        Some(RunningStream {
            filler: self.clone(),
            worker,
            guard,
            stop: lock(&streams.stop).1.clone(),
        })
    }

    /// Removes and returns the next item that the worker can resume or start.
    fn next_item(&self, worker: usize) -> Option<QueuedItem> {
        let mut queue = lock(&self.queue);
        let fits = |w: &QueuedItem| w.partial.as_ref().is_none_or(|p| p.worker == worker);
        let index = queue.iter().position(fits)?;
        queue.remove(index)
    }

    fn requeue(&self, queued: QueuedItem) {
        lock(&self.queue).push_front(queued);
    }
}

/// Runs an item until it ends or must stop. A stopped item is put back into the queue.
async fn run(stream: RunningStream, mut queued: QueuedItem) {
    let filler = stream.filler.clone();
    let mut next = queued.partial.as_ref().map_or(0, |p| p.next);
    let stopped = async {
        stream.stopped().await;
        false
    };
    let whole = read_stream(&stream, &queued, &mut next);
    if smol::future::or(stopped, whole).await {
        return;
    }
    let address = filler.workers[stream.worker].address;
    let path = format!("http://{address}/streams/batch-{}/cancel", queued.number);
    let _ = filler.client.post(path).await;
    let worker = stream.worker;
    queued.partial = (next > 0).then_some(Partial { worker, next });
    filler.requeue(queued);
}

/// Opens or resumes the stream of an item, reads it, and returns whether it is complete. An item
/// whose stream the worker no longer has restarts from the beginning.
async fn read_stream(stream: &RunningStream, queued: &QueuedItem, next: &mut u64) -> bool {
    let Ok(mut events) = open(stream, queued).into_sse().await else {
        *next = 0;
        return false;
    };
    let mut starting = stream.guard.as_ref();
    while let Some(Ok(_)) = events.next().await {
        if let Some(guard) = starting.take() {
            guard.started();
        }
        *next += 1;
    }
    // The last event has no token.
    *next > u64::from(queued.item.tokens)
}

fn open(stream: &RunningStream, queued: &QueuedItem) -> Conn {
    let address = stream.filler.workers[stream.worker].address;
    let client = &stream.filler.client;
    let id = format!("batch-{}", queued.number);
    if let Some(partial) = &queued.partial {
        let from = partial.next;
        return client.post(format!("http://{address}/streams/{id}/resume?from={from}"));
    }
    let body = json!({
        "model": "m1",
        "messages": [{"role": "user", "content": queued.item.prompt}],
        "max_tokens": queued.item.tokens,
        "stream": true,
    });
    client
        .post(format!("http://{address}/v1/chat/completions"))
        .with_request_header("gentianpath-request", id)
        .with_body(body.to_string())
}

/// Keeps the reported loads of workers up to date.
pub async fn report_loads(workers: Vec<SocketAddr>, store: impl Fn(usize, u32)) {
    let client = client();
    loop {
        for (w, address) in workers.iter().enumerate() {
            if let Some(load) = read_load(&client, *address).await {
                store(w, load.running + load.waiting);
            }
        }
        Timer::after(REPORT_INTERVAL).await;
    }
}

async fn read_load(client: &Client, address: SocketAddr) -> Option<Load> {
    let mut conn = client.get(format!("http://{address}/load"));
    (&mut conn).await.ok()?;
    let body = conn.response_body().read_bytes().await.ok()?;
    serde_json::from_slice(&body).ok()
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
