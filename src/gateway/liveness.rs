//! Tells an answer that ended with its connection from one whose worker died. The kernel closes the
//! connections of a process that dies just as a sound process does.

use std::{
    io,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::Response;

use crate::{
    adapter::reports,
    event,
    metrics::{self, EndEvidence},
};

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
    /// Id of the request or item.
    pub request: Arc<str>,
    /// Time when the head of the answer was received.
    pub since: Instant,
}

impl Responder {
    /// Confirms that the end of a connection was the end of the answer on it: the process that sent the
    /// answer is still running.
    ///
    /// # Errors
    ///
    /// Returns an error of kind `ConnectionAborted` when the worker is gone, and one of kind
    /// `UnexpectedEof` when that is not known.
    pub async fn confirm_end(&self) -> io::Result<()> {
        let at = self.gateway.now();
        self.gateway.ends().record(&self.worker.id, at);
        let result = connection::within(REPORT_LIMIT, self.ask()).await;
        self.record_end(at, &result);
        let Err(e) = result else { return Ok(()) };
        // A worker that leaves may refuse connections before it ends.
        let is_refused = e.kind() == io::ErrorKind::ConnectionRefused;
        if is_refused && self.gateway.dispatch.is_ready(&self.worker.id) {
            return Err(connection::aborted("the connection ended with its worker"));
        }
        Err(io::Error::new(
            io::ErrorKind::UnexpectedEof,
            "the connection ended, and the worker may have died",
        ))
    }

    /// Logs and counts an end with the evidence for it.
    fn record_end(&self, at: Duration, result: &io::Result<()>) {
        let beside = self.gateway.ends().beside(&self.worker.id, at);
        let (request, worker) = (&self.request, &self.worker);
        match result {
            Ok(()) => {
                let evidence = EndEvidence::Report;
                metrics::connection_end(evidence);
                event!(
                    Info,
                    EndConfirmed,
                    "request={request} worker={} zone={} evidence={} beside={beside}",
                    worker.id,
                    worker.zone,
                    evidence.as_str()
                );
            }
            Err(e) => {
                metrics::connection_end(EndEvidence::InDoubt);
                event!(
                    Warn,
                    EndUnconfirmed,
                    "request={request} worker={} zone={} beside={beside} reason=\"{e}\"",
                    worker.id,
                    worker.zone
                );
            }
        }
    }

    async fn ask(&self) -> io::Result<()> {
        loop {
            let upstream = &self.gateway.upstream;
            let mut connection = upstream.connect(&self.worker, true).await?;
            let request = reports::request(&self.worker).map_err(io::Error::other)?;
            // A kept connection may be silent; a new one may still work.
            let limit = if connection.reused {
                REPORT_LIMIT / 2
            } else {
                REPORT_LIMIT
            };
            match connection.exchange(request, limit, Proof::Content).await {
                Ok(answer) => return self.check(&answer, connection),
                Err(_) if connection.reused => {}
                Err(e) => return Err(connection::aborted(e.into_reason())),
            }
        }
    }

    /// Checks that a report comes from the process that sent the answer.
    fn check(&self, answer: &Response<Bytes>, connection: Connection) -> io::Result<()> {
        let worker = &self.worker;
        let report = reports::decode(answer)
            .ok_or_else(|| connection::invalid("the answer is no report of the worker"))?;
        let is_same_start = report.started.is_some() && report.started == worker.started;
        // A connection does not outlive its process.
        let is_earlier = connection.opened < self.since;
        if !is_same_start && !is_earlier {
            return Err(connection::invalid("the worker may have been restarted"));
        }
        if report.leaving {
            self.gateway.record_leaving(worker);
        }
        self.gateway.keep_connection(worker, connection);
        Ok(())
    }
}
