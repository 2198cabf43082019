//! Tells answers that ended with their connection and are whole from those that their worker, or
//! something in between, closed too early. The end of a connection shows neither.

use std::{
    io,
    sync::Arc,
    time::{Duration, Instant},
};

use async_io::Timer;
use bytes::Bytes;
use hyper::Response;

use crate::{
    adapter::reports,
    event,
    metrics::{self, EndEvidence},
};

use super::{
    connection::{self, Connection, Proof, SendError},
    fleet::Worker,
    gateway::Gateway,
    sse,
};

/// Time in which a worker is expected to answer a report.
const REPORT_LIMIT: Duration = Duration::from_millis(250);
/// Time in which a worker has to answer the report that decides, at least.
const LAST_REPORT_LIMIT: Duration = Duration::from_millis(500);
/// Pause before a connection for a report is opened again. During a cut, other instances may refuse to carry
/// it at once.
const CONNECT_PAUSE: Duration = Duration::from_millis(50);
/// Longest time for which a sound worker is silent.
pub const MAX_SILENCE: Duration = Duration::from_millis(1500);
/// Time after the end of an answer for which its worker has to go on. A worker that ends closes its
/// answers before its process exits. Callers give a stream up after 2 s without an event; half of that is
/// left for the report.
const SETTLE: Duration = Duration::from_secs(1);
/// Further time if other answers of the worker ended at the same time, as a worker that ends closes all of
/// them. It leaves half a second of those 2 s.
const SETTLE_TOGETHER: Duration = Duration::from_millis(500);

/// How an answer is passed on, which decides how long its end may be in doubt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    /// The caller has the events, and gives the answer up 2 s after the last one.
    Streamed,
    /// Nobody has a part of the answer yet.
    Whole,
}

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

/// An answer that ended with its connection.
#[derive(Debug, Clone)]
pub struct Ended {
    responder: Responder,
    /// Time of the end since the start of the instance.
    at: Duration,
}

impl Delivery {
    /// Returns the time after an end until which its worker may answer the report that decides.
    const fn report_limit(self) -> Duration {
        match self {
            // The rest of the 2 s is for the end of the answer on its way to the caller.
            Self::Streamed => Duration::from_millis(1800),
            Self::Whole => SETTLE.saturating_add(MAX_SILENCE),
        }
    }
}

impl Responder {
    /// Records that the answer ended with its connection.
    pub fn record_end(&self) -> Ended {
        let at = self.gateway.now();
        self.gateway.ends().record(&self.worker.id, at);
        Ended {
            responder: self.clone(),
            at,
        }
    }

    async fn ask(&self) -> io::Result<()> {
        loop {
            let upstream = &self.gateway.upstream;
            let mut connection = match upstream.reach(&self.gateway, &self.worker, true).await {
                Ok(connection) => connection,
                // A lost packet is no sign of the worker. The callers bound the time.
                Err(e) if e.kind() == io::ErrorKind::TimedOut => {
                    Timer::after(CONNECT_PAUSE).await;
                    continue;
                }
                Err(e) => return Err(e),
            };
            let request = reports::request(&self.worker).map_err(io::Error::other)?;
            // A kept connection may be silent; a new one may still work.
            let limit = if connection.reused {
                REPORT_LIMIT / 2
            } else {
                Delivery::Whole.report_limit()
            };
            match connection.exchange(request, limit, Proof::Content).await {
                Ok(answer) => {
                    connection.reported = true;
                    return self.check(&answer, connection);
                }
                Err(_) if connection.reused => {}
                Err(SendError::TimedOut(_)) => return Err(io::ErrorKind::TimedOut.into()),
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

impl Ended {
    /// Returns the worker that sent the answer.
    pub fn worker(&self) -> &Arc<Worker> {
        &self.responder.worker
    }

    /// Checks that the worker is not known to be gone. A worker that does not answer in time may be busy.
    ///
    /// # Errors
    ///
    /// Returns an error of kind `ConnectionAborted` when the worker crashed, and one of kind
    /// `UnexpectedEof` when it is gone for another reason.
    pub async fn check_running(&self) -> io::Result<()> {
        let Err(e) = connection::within(REPORT_LIMIT, self.responder.ask()).await else {
            return Ok(());
        };
        if e.kind() == io::ErrorKind::TimedOut {
            return Ok(());
        }
        self.reject(EndEvidence::InDoubt, &e.to_string());
        // A worker that leaves may refuse connections before it ends.
        let is_refused = e.kind() == io::ErrorKind::ConnectionRefused;
        let dispatch = &self.responder.gateway.dispatch;
        if is_refused && dispatch.is_ready(&self.worker().id) {
            return Err(connection::aborted("the connection ended with its worker"));
        }
        Err(in_doubt())
    }

    /// Waits until the worker has outlived its answer. `evidence` is what this shows together with what is
    /// known already. A sound worker may be silent right after its answer.
    ///
    /// # Errors
    ///
    /// Returns the errors of `check_running`, and one of kind `UnexpectedEof` when the answer may be
    /// incomplete for another reason, or `limit` is over before that is known.
    pub async fn outlive(
        &self,
        evidence: EndEvidence,
        delivery: Delivery,
        limit: Duration,
    ) -> io::Result<()> {
        let deadline = Instant::now() + limit;
        self.check_running().await?;
        let left = deadline.saturating_duration_since(Instant::now());
        let settled = async {
            self.wait_until(self.at + SETTLE).await;
            if self.beside() > 0 {
                self.wait_until(self.at + SETTLE + SETTLE_TOGETHER).await;
            }
            self.check_settled(delivery).await
        };
        match connection::within(left, settled).await {
            Ok(()) => {
                self.confirm(evidence);
                Ok(())
            }
            Err(e) => {
                self.reject(EndEvidence::InDoubt, &e.to_string());
                Err(in_doubt())
            }
        }
    }

    async fn wait_until(&self, time: Duration) {
        let now = self.responder.gateway.now();
        Timer::after(time.saturating_sub(now)).await;
    }

    async fn check_settled(&self, delivery: Delivery) -> io::Result<()> {
        self.check_known()?;
        let left = (self.at + delivery.report_limit()).saturating_sub(self.responder.gateway.now());
        connection::within(left.max(LAST_REPORT_LIMIT), self.responder.ask()).await?;
        // The report may have taken more than a second, and may say that the worker leaves.
        self.check_known()
    }

    /// Checks what is known of the worker without asking it.
    fn check_known(&self) -> io::Result<()> {
        let Responder {
            gateway, worker, ..
        } = &self.responder;
        // Some workers are removed from the list and go on to serve for a while.
        let listed = gateway.dispatch.worker(&worker.id);
        if listed.is_some_and(|w| w.started != worker.started) {
            return Err(io::Error::other("the worker started again"));
        }
        if gateway.ends().is_torn(&worker.id, self.at) {
            return Err(io::Error::other("other answers were torn at the same time"));
        }
        // A worker that leaves closes what is left at the end of its time.
        if !gateway.dispatch.is_ready(&worker.id) && self.beside() > 0 {
            return Err(io::Error::other("a leaving worker ended other answers too"));
        }
        Ok(())
    }

    fn beside(&self) -> usize {
        let ends = self.responder.gateway.ends();
        ends.beside(&self.worker().id, self.at)
    }

    /// Records that the answer counts as whole.
    pub fn confirm(&self, evidence: EndEvidence) {
        metrics::connection_end(evidence);
        event!(
            Info,
            EndConfirmed,
            "request={} worker={} zone={} evidence={} beside={}",
            self.responder.request,
            self.worker().id,
            self.worker().zone,
            evidence.as_str(),
            self.beside()
        );
    }

    /// Records that the answer shows nothing, as the same worker sent an empty one before, and returns the
    /// error for it.
    pub fn reject_repeated(&self) -> io::Error {
        self.reject(EndEvidence::InDoubt, "only one worker has no further event");
        in_doubt()
    }

    /// Records that the answer holds nothing, which no answer does that ends with its connection, and
    /// returns the error for it.
    pub fn reject_empty(&self) -> io::Error {
        let gateway = &self.responder.gateway;
        gateway.ends().record_torn(&self.worker().id, self.at);
        self.reject(EndEvidence::Empty, sse::NO_EVENT);
        io::Error::new(io::ErrorKind::UnexpectedEof, sse::NO_EVENT)
    }

    /// Records that the answer was torn: another one has an event after its last one.
    pub fn record_torn(&self) {
        let Responder {
            gateway, worker, ..
        } = &self.responder;
        gateway.ends().record_torn(&worker.id, self.at);
        gateway.dispatch.record_failure(&worker.id);
        self.reject(EndEvidence::Torn, "another answer has a further event");
    }

    fn reject(&self, evidence: EndEvidence, reason: &str) {
        metrics::connection_end(evidence);
        event!(
            Warn,
            EndUnconfirmed,
            "request={} worker={} zone={} evidence={} beside={} reason={reason:?}",
            self.responder.request,
            self.worker().id,
            self.worker().zone,
            evidence.as_str(),
            self.beside()
        );
    }
}

fn in_doubt() -> io::Error {
    let reason = "the connection ended, and the answer may be incomplete";
    io::Error::new(io::ErrorKind::UnexpectedEof, reason)
}
