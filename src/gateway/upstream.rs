//! Pool of idle connections to workers.

use std::{io, sync::Arc, time::Duration};

use smol::net::TcpStream;

use crate::{
    ids::{Map, WorkerId},
    mutex::{Mutex, lock},
};

use super::{
    config::Service,
    connection::{self, Connection},
    fair_stream::Wire,
    fleet::Worker,
    gateway::Gateway,
    links::{self, LastHeard},
    memory::Memory,
    relayed::{OpenError, RelayedStream},
};

/// Timeout for connecting to a worker; across zones a connect takes a few milliseconds. A request
/// that runs into this timeout can still meet its objective at another worker.
pub const CONNECT_LIMIT: Duration = Duration::from_millis(120);
/// Time that an idle connection may be reused for requests that may be sent again.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Time that an idle connection may be reused for requests that run at most once. If the worker
/// closed the connection at the same moment, the request would be lost.
const IDLE_TIMEOUT_ONCE: Duration = Duration::from_millis(700);
/// Maximum number of idle connections to one worker.
const MAX_IDLE: usize = 12;
/// Share of the connections that a worker accepts that idle ones of all instances may take.
const MAX_IDLE_SHARE: f64 = 0.5;
/// Maximum number of instances that are asked for a connection to a worker, one after another. In a large
/// cut most of them refuse at once, as they are cut off too.
const MAX_ASKED: usize = 16;
/// Maximum number of those that fail in another way, which can take longer.
const MAX_FAILURES: usize = 4;

/// Idle connections by worker.
#[derive(Debug, Default)]
pub struct Upstream {
    idle: Mutex<Map<WorkerId, Idle>>,
    /// Bound on the buffers of the connections, if there is one.
    memory: Option<Arc<Memory>>,
    /// Time when any worker last sent something on a direct connection.
    pub heard: LastHeard,
}

/// Idle connections to one run of a worker.
#[derive(Debug, Default)]
struct Idle {
    started: Option<u64>,
    connections: Vec<Connection>,
}

impl Upstream {
    /// Builds a pool of connections whose buffers are bounded.
    pub fn new(memory: Arc<Memory>) -> Self {
        Self {
            idle: Mutex::default(),
            memory: Some(memory),
            heard: LastHeard::default(),
        }
    }

    /// Returns a connection to a worker: a recently used idle one if there is any, else a new one.
    ///
    /// # Errors
    ///
    /// Returns an error when the worker accepts no connection in time.
    pub async fn connect(&self, worker: &Worker, repeatable: bool) -> io::Result<Connection> {
        match self.take_ready(worker, repeatable).await {
            Some(connection) => Ok(connection),
            None => self.open_direct(worker).await,
        }
    }

    /// Returns a connection to a worker like `connect`, and one through another instance while this
    /// instance is cut off from all workers.
    ///
    /// # Errors
    ///
    /// Returns an error when there is no connection in time.
    pub async fn reach(
        &self,
        gateway: &Arc<Gateway>,
        worker: &Worker,
        repeatable: bool,
    ) -> io::Result<Connection> {
        if !gateway.is_cut_off() {
            let error = match self.connect(worker, repeatable).await {
                Ok(connection) => return Ok(connection),
                Err(e) => e,
            };
            if !links::confirm_cut(gateway, Some(&worker.id)).await {
                return Err(error);
            }
        }
        // A refusal that the links may explain is no sign of a crash.
        let opened = self.open_relayed(gateway, worker).await;
        opened.map_err(|e| io::Error::new(io::ErrorKind::TimedOut, e))
    }

    async fn take_ready(&self, worker: &Worker, repeatable: bool) -> Option<Connection> {
        let limit = if repeatable {
            IDLE_TIMEOUT
        } else {
            IDLE_TIMEOUT_ONCE
        };
        while let Some(mut connection) = self.take(worker, limit) {
            if connection.is_ready().await {
                return Some(connection);
            }
        }
        None
    }

    async fn open_direct(&self, worker: &Worker) -> io::Result<Connection> {
        let opening = TcpStream::connect(worker.address);
        let stream = connection::within(CONNECT_LIMIT, opening).await?;
        stream.set_nodelay(true)?;
        let buffers = self.memory.as_ref().map(Memory::hold);
        Connection::over(stream.into(), buffers, Some(self.heard.clone())).await
    }

    /// Opens a connection through another instance, or a direct one if none carries it.
    async fn open_relayed(&self, gateway: &Gateway, worker: &Worker) -> io::Result<Connection> {
        let mut failures = 0;
        for address in gateway.carriers(worker).into_iter().take(MAX_ASKED) {
            match RelayedStream::open(address, worker).await {
                Ok(stream) => {
                    let buffers = self.memory.as_ref().map(Memory::hold);
                    return Connection::over(Wire::Relayed(stream), buffers, None).await;
                }
                Err(OpenError::Worker(e)) => return Err(e),
                Err(OpenError::CutOff) => gateway.avoid_carrier(address, &OpenError::CutOff),
                Err(e) => {
                    gateway.avoid_carrier(address, &e);
                    failures += 1;
                }
            }
            if failures >= MAX_FAILURES {
                break;
            }
        }
        let connection = self.open_direct(worker).await?;
        gateway.record_direct();
        Ok(connection)
    }

    fn take(&self, worker: &Worker, limit: Duration) -> Option<Connection> {
        let mut idle = lock(&self.idle);
        let idle = idle.get_mut(&worker.id)?;
        if idle.started != worker.started {
            return None;
        }
        let connections = &mut idle.connections;
        let connection = connections.pop()?;
        if connection.last_used.elapsed() < limit {
            return Some(connection);
        }
        if connection.last_used.elapsed() < IDLE_TIMEOUT {
            connections.push(connection);
        } else {
            // The other connections have been idle even longer.
            connections.clear();
        }
        None
    }

    /// Keeps a connection whose answer was read to its end, if this instance's share of the
    /// worker's idle connections is not used up. `instances` is the number of instances that share
    /// them. Of two runs under one id, the connections to the later one are kept.
    pub fn keep(
        &self,
        worker: &Worker,
        mut connection: Connection,
        service: Option<&Service>,
        instances: usize,
    ) {
        let share = service.map_or(MAX_IDLE, |s| {
            (s.connections as f64 * MAX_IDLE_SHARE) as usize / instances.max(1)
        });
        let max_idle = share.clamp(1, MAX_IDLE);
        connection.last_used = std::time::Instant::now();
        connection.reused = true;
        let mut idle = lock(&self.idle);
        let idle = idle.entry(worker.id.clone()).or_default();
        if idle.started < worker.started {
            *idle = Idle {
                started: worker.started,
                connections: Vec::new(),
            };
        }
        if idle.started == worker.started && idle.connections.len() < max_idle {
            idle.connections.push(connection);
        }
    }

    /// Closes the idle connections of workers for which `keep` returns false, and those that have
    /// been idle for too long.
    pub fn retain(&self, keep: impl Fn(&WorkerId) -> bool) {
        let mut idle = lock(&self.idle);
        idle.retain(|worker, _| keep(worker));
        for Idle { connections, .. } in idle.values_mut() {
            connections.retain(|c| c.last_used.elapsed() < IDLE_TIMEOUT);
        }
    }
}
