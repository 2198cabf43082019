//! Model of an entry instance: the real router, counts and schedule, and its claimed items.

use std::{collections::VecDeque, net::SocketAddr, sync::Arc};

use fastrand::Rng;
use gentianpath::{
    affinity::stable_hash,
    ids::{InstanceId, Map, ModelId, Zone},
    route::Router,
    schedule::Schedule,
    view::{View, WorkerInfo},
    workers::{OnlineGuard, WorkerCell, WorkerTable},
};

use crate::{
    policy::Deployment,
    trace::{BLOCK_TOKENS, Item, Request, prefix_blocks},
};

/// The only model of a trace.
pub const MODEL: &str = "model";

/// An entry instance.
#[derive(Debug)]
pub struct Entry {
    /// Name.
    pub id: InstanceId,
    /// Number of its zone.
    pub zone: usize,
    /// Counts of the workers.
    pub table: WorkerTable,
    /// Cells of the workers by number.
    pub cells: Vec<Arc<WorkerCell>>,
    /// Router of its view.
    pub router: Router,
    /// Schedule that chooses jobs.
    pub schedule: Schedule,
    /// Online requests in flight by attempt.
    pub guards: Map<u64, OnlineGuard>,
    /// Claimed items that are not running.
    pub items: VecDeque<Item>,
    /// Running and waiting requests of each worker in the last digest.
    pub reported: Vec<u32>,
    /// Random number generator of its decisions.
    pub rng: Rng,
}

impl Entry {
    /// Creates an entry instance.
    pub fn new(number: usize, deployment: &Deployment, weight: f64, slots: u32, seed: u64) -> Self {
        let table = WorkerTable::default();
        let names = (0..deployment.workers).map(worker_id);
        let cells: Vec<_> = names.map(|id| table.cell(&id)).collect();
        for cell in &cells {
            cell.configure(weight, slots);
        }
        Self {
            id: format!("entry-{number}").into(),
            zone: number % deployment.zones,
            table,
            cells,
            router: Router::default(),
            schedule: Schedule::default(),
            guards: Map::default(),
            items: VecDeque::new(),
            reported: vec![0; deployment.workers],
            rng: Rng::with_seed(seed ^ number as u64),
        }
    }

    /// Builds the router of a view.
    pub fn publish(&mut self, workers: Vec<WorkerInfo>) {
        let view = View {
            workers,
            ..View::default()
        };
        self.router = Router::build(&view, &self.table, &self.id, &zone_id(self.zone));
    }
}

/// Returns the description of a worker in a view.
pub fn worker_info(number: usize, zone: usize, slots: u32, owner: usize) -> WorkerInfo {
    WorkerInfo {
        id: worker_id(number),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: zone_id(zone),
        model: Some(ModelId::from(MODEL)),
        version: "1".into(),
        slots,
        leaving: false,
        owner: Some(format!("entry-{owner}").into()),
    }
}

/// Returns the batch owner of each worker: rendezvous hashing among the entries of its zone.
pub fn owners(deployment: &Deployment) -> Vec<usize> {
    let entries = 0..deployment.entries;
    let owner = |w: usize| {
        let zone = w % deployment.zones;
        let peers = entries.clone().filter(|e| e % deployment.zones == zone);
        let rank = |e: &usize| stable_hash(format!("worker-{w} entry-{e}").as_bytes());
        peers.max_by_key(rank).unwrap_or(0)
    };
    (0..deployment.workers).map(owner).collect()
}

/// Returns the name of a worker.
pub fn worker_id(number: usize) -> Arc<str> {
    format!("worker-{number}").into()
}

/// Returns the block hashes of the prompt of a request: those of the shared prefix, then the rest.
pub fn request_blocks(number: usize, request: &Request) -> Vec<u64> {
    let mut blocks = prefix_blocks(request.prefix);
    let own = request.own / BLOCK_TOKENS;
    let hash = |i: u32| stable_hash(&[number.to_le_bytes(), (i as usize).to_le_bytes()].concat());
    blocks.extend((0..own).map(hash));
    blocks
}

fn zone_id(number: usize) -> Zone {
    format!("zone-{number}").into()
}
