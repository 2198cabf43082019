//! Connections to workers, kept between requests.

use std::{io, sync::Mutex, time::Duration};

use crate::{
    ids::{Map, WorkerId},
    mutex::lock,
};

use super::{config::Service, connection::Connection, fleet::Worker};

/// Time in which a worker accepts a connection; across zones it takes a few milliseconds. A request
/// that meets an unreachable worker is still in time for its objective after it.
const CONNECT_LIMIT: Duration = Duration::from_millis(120);
/// Time that an idle connection is kept for requests that may be sent again.
const KEPT_FOR: Duration = Duration::from_secs(4);
/// Time that an idle connection is kept for requests that run at most once. A worker that closes
/// the connection at the same moment would lose the request.
const KEPT_FOR_ONCE: Duration = Duration::from_millis(700);
/// Idle connections to one worker at most.
const KEPT: usize = 12;
/// Part of the connections that a worker accepts that idle ones of all instances may take.
const KEPT_SHARE: f64 = 0.5;

/// Idle connections by worker.
#[derive(Debug, Default)]
pub struct Upstream {
    idle: Mutex<Map<WorkerId, Vec<Connection>>>,
}

impl Upstream {
    /// Returns a connection to a worker: an idle one that is fresh enough, else a new one.
    ///
    /// # Errors
    ///
    /// Returns an error when the worker accepts no connection in time.
    pub async fn connect(&self, worker: &Worker, repeatable: bool) -> io::Result<Connection> {
        let limit = if repeatable { KEPT_FOR } else { KEPT_FOR_ONCE };
        while let Some(mut connection) = self.take(&worker.id, limit) {
            if connection.is_ready().await {
                return Ok(connection);
            }
        }
        Connection::open(worker.address, CONNECT_LIMIT).await
    }

    fn take(&self, worker: &WorkerId, limit: Duration) -> Option<Connection> {
        let mut idle = lock(&self.idle);
        let kept = idle.get_mut(worker)?;
        let connection = kept.pop()?;
        if connection.used.elapsed() < limit {
            return Some(connection);
        }
        if connection.used.elapsed() < KEPT_FOR {
            kept.push(connection);
        } else {
            // The others were used even earlier.
            kept.clear();
        }
        None
    }

    /// Keeps a connection whose answer was read to its end, as far as the worker has room for idle
    /// connections of `instances` instances.
    pub fn keep(
        &self,
        worker: &WorkerId,
        mut connection: Connection,
        service: Option<&Service>,
        instances: usize,
    ) {
        let share = service.map_or(KEPT, |s| {
            (s.connections as f64 * KEPT_SHARE) as usize / instances.max(1)
        });
        let most = share.clamp(1, KEPT);
        connection.used = std::time::Instant::now();
        connection.kept = true;
        let mut idle = lock(&self.idle);
        let kept = idle.entry(worker.clone()).or_default();
        if kept.len() < most {
            kept.push(connection);
        }
    }

    /// Closes the idle connections of workers that `keep` does not name, and those that are too
    /// old to be used again.
    pub fn retain(&self, keep: impl Fn(&WorkerId) -> bool) {
        let mut idle = lock(&self.idle);
        idle.retain(|worker, _| keep(worker));
        for kept in idle.values_mut() {
            kept.retain(|c| c.used.elapsed() < KEPT_FOR);
        }
    }
}
