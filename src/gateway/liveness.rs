//! Tells an answer that ended with its connection from one whose worker died. The kernel closes the
//! connections of a process that dies just as a sound process does.

use std::{io, sync::Arc, time::Duration};

use bytes::Bytes;
use hyper::Response;

use crate::{adapter::reports, event, metrics};

use super::{
    connection::{self, Connection, Proof},
    fleet::Worker,
    gateway::Gateway,
};

/// Time in which a worker has to show that it is running. A caller that has all events waits for it.
const REPORT_LIMIT: Duration = Duration::from_millis(250);

/// The worker that sends an answer.
#[derive(Debug, Clone)]
pub struct Responder {
    /// Shared state of the instance.
    pub gateway: Arc<Gateway>,
    /// The worker.
    pub worker: Arc<Worker>,
}

impl Responder {
    /// Confirms that the end of a connection was the end of the answer on it.
    ///
    /// # Errors
    ///
    /// Returns an error of kind `ConnectionAborted` when the worker may have died.
    pub async fn confirm_end(&self) -> io::Result<()> {
        if self.is_running().await {
            return Ok(());
        }
        Err(connection::aborted(
            "the connection ended, and the worker may have died",
        ))
    }

    /// Returns whether the run of the worker that sent the answer is still there. Anything but its report
    /// leaves that in doubt.
    pub async fn is_running(&self) -> bool {
        let result = connection::within(REPORT_LIMIT, self.ask()).await;
        metrics::connection_end(result.is_ok());
        if let Err(e) = &result {
            event!(
                Warn,
                EndUnconfirmed,
                "worker={} zone={} reason=\"{e}\"",
                self.worker.id,
                self.worker.zone
            );
        }
        result.is_ok()
    }

    async fn ask(&self) -> io::Result<()> {
        // Any answer to the report is proof that the process runs.
        let proof = Proof::Content;
        loop {
            let upstream = &self.gateway.upstream;
            let mut connection = upstream.connect(&self.worker, true).await?;
            let request = reports::request(&self.worker).map_err(io::Error::other)?;
            match connection.exchange(request, REPORT_LIMIT, proof).await {
                Ok(answer) => return self.check(&answer, connection),
                // An idle connection may be closed at any time.
                Err(_) if connection.reused => {}
                Err(e) => return Err(connection::aborted(e.into_reason())),
            }
        }
    }

    fn check(&self, answer: &Response<Bytes>, connection: Connection) -> io::Result<()> {
        let worker = &self.worker;
        let report = reports::decode(answer)
            .ok_or_else(|| connection::invalid("the answer is no report of the worker"))?;
        if report.leaving {
            self.gateway.record_leaving(worker);
        }
        let starts = report.started.zip(worker.started);
        if starts.is_some_and(|(reported, listed)| reported != listed) {
            return Err(connection::invalid("the worker was restarted"));
        }
        self.gateway.keep_connection(worker, connection);
        Ok(())
    }
}
