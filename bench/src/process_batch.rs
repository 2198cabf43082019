//! Batch work of the load program, for the baselines that the shipped program does not offer.

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

/// Interval in which the load of a worker is read.
const POLL: Duration = Duration::from_millis(10);
/// Interval of the load reports that routing sees.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Reports in a row that show online requests before batch streams are cancelled. A stream that
/// has just ended may still be part of a single report.
const CANCEL_REPORTS: u32 = 2;

/// An item with the place where its stream can be resumed.
#[derive(Debug, Clone)]
struct Work {
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
struct Place {
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
    places: Vec<Place>,
    table: Arc<WorkerTable>,
    queue: Mutex<VecDeque<Work>>,
    client: Client,
}

/// Keeps a batch stream counted until it is dropped.
struct Held {
    filler: Arc<Filler>,
    worker: usize,
    guard: Option<BatchGuard>,
    stop: Receiver<()>,
}

impl Drop for Held {
    fn drop(&mut self) {
        let place = &self.filler.places[self.worker];
        place.batch.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Held {
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
    /// Makes a filler of workers. `table` counts the online requests of the load program, for the
    /// admission of the system.
    pub fn new(
        sharing: Sharing,
        slots: u32,
        workers: &[SocketAddr],
        table: Arc<WorkerTable>,
        items: Vec<Item>,
    ) -> Arc<Self> {
        let place = |address: &SocketAddr| Place {
            address: *address,
            batch: AtomicU32::new(0),
            stop: Mutex::new(smol::channel::bounded(1)),
        };
        let work = |(number, item)| Work {
            number,
            item,
            partial: None,
        };
        Arc::new(Self {
            sharing,
            slots,
            places: workers.iter().map(place).collect(),
            table,
            queue: Mutex::new(items.into_iter().enumerate().map(work).collect()),
            client: client(),
        })
    }

    /// Keeps every worker filled, for as long as the returned tasks are kept.
    pub fn start(self: &Arc<Self>) -> Vec<smol::Task<()>> {
        let workers = 0..self.places.len();
        let fill = |w| async_global_executor::spawn(self.clone().fill(w));
        workers.map(fill).collect()
    }

    async fn fill(self: Arc<Self>, worker: usize) {
        let mut busy = 0;
        loop {
            let room = match self.sharing {
                Sharing::Admission(_) => self.slots,
                _ => self.polled_room(worker, &mut busy).await,
            };
            for _ in 0..room {
                let Some(held) = self.hold(worker) else {
                    break;
                };
                let Some(work) = self.take(worker) else {
                    return;
                };
                async_global_executor::spawn(run(held, work)).detach();
            }
            Timer::after(POLL).await;
        }
    }

    /// Returns how many streams a worker has room for by its load report. `busy` counts the
    /// reports in a row that showed online requests.
    async fn polled_room(&self, worker: usize, busy: &mut u32) -> u32 {
        let place = &self.places[worker];
        let own = place.batch.load(Ordering::Relaxed);
        let Some(load) = read_load(&self.client, place.address).await else {
            return 0;
        };
        let online = (load.running + load.waiting).saturating_sub(own);
        let own = place.batch.load(Ordering::Relaxed);
        *busy = if online > 0 { *busy + 1 } else { 0 };
        match self.sharing {
            Sharing::ShareAll => self.slots.saturating_sub(online + own),
            Sharing::Split => (self.slots / 2).saturating_sub(own),
            Sharing::CancelAll if *busy >= CANCEL_REPORTS => {
                *lock(&place.stop) = smol::channel::bounded(1);
                0
            }
            Sharing::CancelAll if online == 0 => self.slots.saturating_sub(own),
            _ => 0,
        }
    }

    fn hold(self: &Arc<Self>, worker: usize) -> Option<Held> {
        let guard = match self.sharing {
            Sharing::Admission(_) => {
                let cell = self.table.cell(&worker_id(worker));
                Some(cell.begin_batch(self.table.now())?)
            }
            _ => None,
        };
        let place = &self.places[worker];
        place.batch.fetch_add(1, Ordering::Relaxed);
        Some(Held {
            filler: self.clone(),
            worker,
            guard,
            stop: lock(&place.stop).1.clone(),
        })
    }

    /// Takes the next item: one that the worker can resume, or one that did not start.
    fn take(&self, worker: usize) -> Option<Work> {
        let mut queue = lock(&self.queue);
        let fits = |w: &Work| w.partial.as_ref().is_none_or(|p| p.worker == worker);
        let place = queue.iter().position(fits)?;
        queue.remove(place)
    }

    fn give_back(&self, work: Work) {
        lock(&self.queue).push_front(work);
    }
}

/// Runs an item until it ends or must stop; then it is put back.
async fn run(held: Held, mut work: Work) {
    let filler = held.filler.clone();
    let mut next = work.partial.as_ref().map_or(0, |p| p.next);
    let stopped = async {
        held.stopped().await;
        false
    };
    let whole = follow(&held, &work, &mut next);
    if smol::future::or(stopped, whole).await {
        return;
    }
    let address = filler.places[held.worker].address;
    let path = format!("http://{address}/streams/batch-{}/cancel", work.number);
    let _ = filler.client.post(path).await;
    let worker = held.worker;
    work.partial = (next > 0).then_some(Partial { worker, next });
    filler.give_back(work);
}

/// Opens or resumes the stream of an item and follows it; true when it is whole. An item whose
/// stream the worker no longer has starts anew.
async fn follow(held: &Held, work: &Work, next: &mut u64) -> bool {
    let Ok(mut events) = open(held, work).into_sse().await else {
        *next = 0;
        return false;
    };
    let mut starting = held.guard.as_ref();
    while let Some(Ok(_)) = events.next().await {
        if let Some(guard) = starting.take() {
            guard.started();
        }
        *next += 1;
    }
    // The last event carries no token.
    *next > u64::from(work.item.tokens)
}

fn open(held: &Held, work: &Work) -> Conn {
    let address = held.filler.places[held.worker].address;
    let client = &held.filler.client;
    let id = format!("batch-{}", work.number);
    if let Some(partial) = &work.partial {
        let from = partial.next;
        return client.post(format!("http://{address}/streams/{id}/resume?from={from}"));
    }
    let body = json!({
        "model": "m1",
        "messages": [{"role": "user", "content": work.item.prompt}],
        "max_tokens": work.item.tokens,
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
