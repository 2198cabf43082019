//! Pool of idle connections to workers.

use std::{io, sync::Arc, time::Duration};

use smol::net::TcpStream;

use crate::{
    adapter::reports,
    event,
    ids::{Map, WorkerId},
    mutex::{Mutex, lock},
};

use super::{
    config::Service,
    connection::{self, Connection, Path, Proof, SendError},
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
/// Time in which a worker reports its start on a new connection while another one may run the request.
pub const REPORT_LIMIT: Duration = Duration::from_millis(250);
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
    /// Whether connections end after a report, without a notice.
    reports_end: bool,
}

/// Reason why there is no connection to the listed start of a worker.
#[derive(Debug)]
pub enum ReachError {
    /// The worker accepts no connection.
    Unreachable(io::Error),
    /// The process at the address is another one than the list names.
    OtherStart,
    /// The process at the address did not report its start in time.
    Silent,
    /// The process at the address did not report its start.
    Unproven(String),
}

impl std::fmt::Display for ReachError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Unreachable(e) => e.fmt(f),
            Self::OtherStart => {
                f.write_str("the worker reported another start than the list names")
            }
            Self::Silent => f.write_str("the worker did not report its start in time"),
            Self::Unproven(reason) => write!(f, "the worker did not report its start: {reason}"),
        }
    }
}

/// Checks that the process at the other end of a new connection is the listed start of a worker, and returns
/// whether it announced that the connection ends.
async fn check_start(
    gateway: &Gateway,
    worker: &Worker,
    connection: &mut Connection,
    limit: Duration,
) -> Result<bool, ReachError> {
    let request = reports::request(worker).map_err(|e| ReachError::Unproven(e.to_string()))?;
    let answer = connection.exchange(request, limit, Proof::Content);
    let answer = answer.await.map_err(|e| match e {
        SendError::TimedOut(_) => ReachError::Silent,
        e => ReachError::Unproven(e.into_reason()),
    })?;
    let Some(report) = reports::decode(&answer) else {
        return Err(ReachError::Unproven("another worker answered".into()));
    };
    if !report.readable {
        let reason = format!("status {}", answer.status().as_u16());
        return Err(ReachError::Unproven(reason));
    }
    // Nothing but the list tells the start of a worker whose reports name none.
    if report.started.is_some() && report.started != worker.started {
        gateway.dispatch.record_ended_start(worker);
        event!(
            Info,
            WorkerStartUnlisted,
            "worker={} zone={} listed={:?} reported={:?}",
            worker.id,
            worker.zone,
            worker.started,
            report.started
        );
        return Err(ReachError::OtherStart);
    }
    if report.leaving {
        gateway.record_leaving(worker);
    }
    Ok(connection::announces_end(&answer))
}

/// Records that there is no connection to the listed start of a worker, and returns whether its zone now
/// counts as cut off.
pub async fn record_unreached(gateway: &Arc<Gateway>, worker: &Worker, error: &ReachError) -> bool {
    match error {
        ReachError::Unreachable(_) => return gateway.dispatch.record_unreachable(worker),
        ReachError::OtherStart => {}
        ReachError::Silent | ReachError::Unproven(_) => {
            links::confirm_cut(gateway, Some(&worker.id)).await;
            if gateway.is_worker_fault(&Path::Direct) {
                gateway.dispatch.record_failure(&worker.id);
            }
        }
    }
    false
}

impl Idle {
    fn of(worker: &Worker) -> Self {
        Self {
            started: worker.started,
            ..Self::default()
        }
    }
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

    /// Returns a connection to the listed start of a worker, through another instance while this one is
    /// cut off from all workers. A new connection is used only once the process at its other end has
    /// reported that start: what the list tells of the worker, such as its version, holds for no other one.
    /// `limit` is the time for a report.
    ///
    /// # Errors
    ///
    /// Returns a `ReachError` when there is no such connection in time.
    pub async fn reach_listed(
        &self,
        gateway: &Arc<Gateway>,
        worker: &Worker,
        repeatable: bool,
        limit: Duration,
    ) -> Result<Connection, ReachError> {
        if let Some(kept) = self.take_open(gateway, worker, repeatable).await {
            return Ok(kept);
        }
        let open = async || {
            let opened = self.open(gateway, worker).await;
            opened.map_err(ReachError::Unreachable)
        };
        let mut connection = open().await?;
        if worker.started.is_none() {
            return Ok(connection);
        }
        if !self.reports_end(worker) {
            let announced = check_start(gateway, worker, &mut connection, limit).await?;
            if connection.is_ready().await {
                connection.reused = false;
                connection.reported = true;
                return Ok(connection);
            }
            if !announced && connection.is_closed() {
                self.record_report_end(worker);
            }
            connection = open().await?;
        }
        // A report on a later connection shows that the listed start was there when this one was opened.
        let mut later = open().await?;
        check_start(gateway, worker, &mut later, limit).await?;
        Ok(connection)
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

    /// Records that a connection ended after a report, without a notice and before a request on it was
    /// answered. Further requests to this run of the worker go over connections that carried no report.
    pub fn record_report_end(&self, worker: &Worker) {
        let mut idle = lock(&self.idle);
        let idle = idle.entry(worker.id.clone()).or_default();
        if idle.started != worker.started {
            *idle = Idle::of(worker);
        }
        idle.reports_end = true;
    }

    fn reports_end(&self, worker: &Worker) -> bool {
        let idle = lock(&self.idle);
        let idle = idle.get(&worker.id);
        idle.is_some_and(|i| i.started == worker.started && i.reports_end)
    }

    /// Returns a connection to the address of a worker, through another instance while this one is cut off
    /// from all workers. A new one may end at another start of the worker than the listed one.
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
        match self.take_open(gateway, worker, repeatable).await {
            Some(kept) => Ok(kept),
            None => self.open(gateway, worker).await,
        }
    }

    /// Returns a recently used idle connection to a worker, unless this instance is cut off from all
    /// workers.
    async fn take_open(
        &self,
        gateway: &Gateway,
        worker: &Worker,
        repeatable: bool,
    ) -> Option<Connection> {
        if gateway.is_cut_off() {
            return None;
        }
        self.take_ready(worker, repeatable).await
    }

    /// Opens a connection to the address of a worker, through another instance while this one is cut off
    /// from all workers.
    async fn open(&self, gateway: &Arc<Gateway>, worker: &Worker) -> io::Result<Connection> {
        if !gateway.is_cut_off() {
            let error = match self.open_direct(worker).await {
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
    /// them. Of two runs under one id, the connections to the later one are kept. One that may end after a
    /// report is not kept.
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
            *idle = Idle::of(worker);
        }
        let may_end = connection.reported && idle.reports_end;
        if idle.started == worker.started && !may_end && idle.connections.len() < max_idle {
            idle.connections.push(connection);
        }
    }

    /// Closes the idle connections to runs of workers, by id and start, for which `keep` returns false, and
    /// those that have been idle for too long.
    pub fn retain(&self, keep: impl Fn(&WorkerId, Option<u64>) -> bool) {
        let mut idle = lock(&self.idle);
        idle.retain(|worker, run| keep(worker, run.started));
        for Idle { connections, .. } in idle.values_mut() {
            connections.retain(|c| c.last_used.elapsed() < IDLE_TIMEOUT);
        }
    }
}
