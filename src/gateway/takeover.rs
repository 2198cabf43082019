//! Sends a call to another worker while an earlier one is silent, and keeps the earlier one until
//! the other has answered, with the first event if the answer is a stream.

use std::{
    future::pending,
    time::{Duration, Instant},
};

use async_io::Timer;
use bytes::Bytes;
use futures::{FutureExt, future::BoxFuture};
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming};
use smol::{
    channel::{Receiver, Sender, unbounded},
    future::or,
};

use crate::{event, ids::WorkerId};

use super::{
    config::RouteKind,
    connection::{AttemptError, Connection, SendError},
    dispatch::{Busy, Placement},
    fleet::Requirements,
    forward::{Asked, Session, StartedAnswer},
    links,
    splice::Form,
};

/// Share of the objective within which a worker that had a free slot must send the head of its
/// answer. After it, a repeatable request is sent to another worker, which can still meet the
/// objective.
const FIRST_EVENT_SHARE: f64 = 0.55;
/// Like `FIRST_EVENT_SHARE`, for a worker at which the request had to queue.
const QUEUED_EVENT_SHARE: f64 = 3.0;

/// Maximum time for which two workers may have the same call.
const MAX_OVERLAP: Duration = Duration::from_millis(250);

/// Time in which a worker that is asked for further events has to begin to answer. Another one may then
/// be asked while the caller, which gives a stream up after 2 s without an event, still waits.
pub const ASK_LIMIT: Duration = Duration::from_millis(600);

/// Time for which two workers have had the same call.
#[derive(Debug, Default, Clone, Copy)]
pub struct Overlap {
    since: Option<Instant>,
}

/// Result of a takeover. Both are `None` if each worker failed or was given up.
pub struct Takeover<T, E> {
    /// Result of the earlier worker, or `None` if its connection was closed before.
    pub earlier: Option<Result<T, E>>,
    /// Answer of the other worker, which may continue the stream.
    pub other: Option<Box<StartedAnswer>>,
}

/// Reply to a sent request.
pub enum Reply {
    /// The head that the worker sent, with the connection to it.
    Received(Connection, Box<Response<Incoming>>),
    /// Another worker took over.
    TakenOver(Box<StartedAnswer>),
}

enum Step<T, E> {
    Sent(bool),
    Earlier(Result<T, E>),
    Other(Option<Box<StartedAnswer>>),
    OverlapEnded,
}

impl Overlap {
    /// Records whether another worker has the call.
    pub fn record(&mut self, sent: bool, now: Instant) {
        self.since = sent.then(|| self.since.unwrap_or(now));
    }

    /// Returns whether another worker has the call.
    pub fn is_sent(&self) -> bool {
        self.since.is_some()
    }

    /// Returns the time after which the connection to the earlier worker has to be closed.
    pub fn left(&self, now: Instant) -> Option<Duration> {
        let since = self.since?;
        Some((since + MAX_OVERLAP).saturating_duration_since(now))
    }
}

/// Seeks another worker for a call until the earlier one goes on.
///
/// `earlier` owns the connection to the earlier worker, which is closed when the other worker
/// answers with success, or has had the call for the longest overlap. Only a worker with a free slot
/// is tried.
pub async fn take_over<T, E>(
    session: &mut Session,
    silent: &WorkerId,
    after: Option<u64>,
    earlier: BoxFuture<'_, Result<T, E>>,
) -> Takeover<T, E> {
    let (sender, changes) = unbounded();
    let outer = session.begin_takeover(silent, sender);
    let result = run(session.attempt_beside(after), earlier, changes).await;
    session.end_takeover(outer);
    result
}

async fn run<T, E>(
    other: BoxFuture<'_, Option<Box<StartedAnswer>>>,
    earlier: BoxFuture<'_, Result<T, E>>,
    changes: Receiver<bool>,
) -> Takeover<T, E> {
    let mut result = Takeover {
        earlier: None,
        other: None,
    };
    let mut overlap = Overlap::default();
    let (mut other, mut earlier) = (Some(other), Some(earlier));
    loop {
        let left = overlap.left(Instant::now()).filter(|_| earlier.is_some());
        let sent = async {
            match changes.recv().await {
                Ok(sent) => Step::Sent(sent),
                Err(_) => pending().await,
            }
        };
        let ended = async {
            match left {
                Some(left) => Timer::after(left).await,
                None => pending().await,
            };
            Step::OverlapEnded
        };
        let earlier_step = async { Step::Earlier(wait(&mut earlier).await) };
        let other_step = async { Step::Other(wait(&mut other).await) };
        match or(or(sent, earlier_step), or(other_step, ended)).await {
            Step::Sent(sent) => overlap.record(sent, Instant::now()),
            Step::Earlier(end) => {
                earlier = None;
                let went_on = end.is_ok();
                result.earlier = Some(end);
                if went_on {
                    return result;
                }
            }
            Step::Other(Some(started)) => {
                result.other = Some(started);
                return result;
            }
            Step::Other(None) => other = None,
            Step::OverlapEnded => earlier = None,
        }
        // Without the earlier worker, the call may also queue at a full one.
        if earlier.is_none() && (other.is_none() || !overlap.is_sent()) {
            return result;
        }
    }
}

async fn wait<T>(work: &mut Option<BoxFuture<'_, T>>) -> T {
    match work {
        Some(work) => work.await,
        None => pending().await,
    }
}

impl Session {
    /// Takes a slot on a worker; beside an earlier worker, only a free one.
    pub(super) async fn place(&self, max_wait: Duration) -> Result<Placement, Busy> {
        let requirements = Requirements {
            service: &self.service,
            tried: &self.tried,
            version: self.version.as_ref(),
        };
        let dispatch = &self.gateway.dispatch;
        if let Some(Asked::Same(worker)) = &self.asked {
            dispatch.place_again(worker, max_wait).await
        } else if self.takeover.is_some() || self.asked.is_some() {
            dispatch.place_spare(&requirements, max_wait).await
        } else {
            dispatch
                .place_online(&requirements, &self.claim(), max_wait)
                .await
        }
    }

    /// Sends a request and waits for the head of the answer. A worker that is silent is kept until
    /// another one answers.
    pub(super) async fn send(
        &mut self,
        connection: Connection,
        request: Request<Full<Bytes>>,
        placement: &Placement,
        after: Option<u64>,
    ) -> Result<Reply, SendError> {
        self.set_sent(true);
        let reply = self.await_head(connection, request, placement, after).await;
        if !matches!(reply, Ok(Reply::Received(..))) {
            self.set_sent(false);
        }
        reply
    }

    async fn await_head(
        &mut self,
        mut connection: Connection,
        request: Request<Full<Bytes>>,
        placement: &Placement,
        after: Option<u64>,
    ) -> Result<Reply, SendError> {
        let remaining = match self.asked {
            Some(_) => self.remaining().min(ASK_LIMIT),
            None => self.remaining(),
        };
        let share = if placement.had_free_slot() {
            FIRST_EVENT_SHARE
        } else {
            QUEUED_EVENT_SHARE
        };
        let patience = self.route.objective.mul_f64(share);
        let mut sending = async move {
            let response = connection.send_within(request, remaining).await?;
            Ok(Reply::Received(connection, Box::new(response)))
        }
        .boxed();
        if !self.may_run_beside() {
            return sending.await;
        }
        let timeout = async {
            Timer::after(patience).await;
            None
        };
        let head = async { Some(sending.as_mut().await) };
        if let Some(head) = or(head, timeout).await {
            return head;
        }
        let silent = &placement.worker.id;
        let Takeover { earlier, other } = take_over(self, silent, after, sending).await;
        let Some(started) = other else {
            let reason = format!("no answer within {patience:?}");
            return earlier.unwrap_or(Err(SendError::TimedOut(reason)));
        };
        let broken = match earlier {
            // The earlier worker never had the call.
            Some(Err(SendError::Revoked(_))) => return Ok(Reply::TakenOver(started)),
            Some(Err(SendError::Sent(reason))) => AttemptError::closed(reason),
            _ => AttemptError::fault("another worker answered first"),
        };
        self.record_broken(placement, &broken);
        Ok(Reply::TakenOver(started))
    }

    /// Counts the call as run at a silent worker, and reports to `takeover` whether another worker
    /// has it. Returns the observer of the takeover that this one is a part of.
    fn begin_takeover(
        &mut self,
        silent: &WorkerId,
        takeover: Sender<bool>,
    ) -> Option<Sender<bool>> {
        event!(
            Info,
            WorkerSilent,
            "request={} worker={silent} runs={} age_ms={}",
            self.call.id,
            self.runs,
            self.call.received.elapsed().as_millis()
        );
        self.sent = Overlap::default();
        self.runs += 1;
        self.leave_out(silent);
        self.takeover.replace(takeover)
    }

    /// Counts a worker as one that may have run the call if it was given up without an answer.
    fn end_takeover(&mut self, outer: Option<Sender<bool>>) {
        self.takeover = outer;
        if !std::mem::take(&mut self.sent).is_sent() {
            self.runs -= 1;
        }
    }

    /// Sends the call to other workers with a free slot until one of them sends an answer that may
    /// continue the stream, if there is one.
    fn attempt_beside(&mut self, after: Option<u64>) -> BoxFuture<'_, Option<Box<StartedAnswer>>> {
        let max_wait = self.remaining();
        let silent = self.tried.last().cloned();
        async move {
            links::confirm_cut(&self.gateway, silent.as_ref()).await;
            loop {
                let mut started = self.attempt(after, max_wait).await.ok()?;
                let proof = self.await_event(&mut started, after).await;
                if let Err(broken) = &proof {
                    self.record_broken(&started.placement, broken);
                }
                self.set_sent(false);
                match proof {
                    Ok(()) => return Some(Box::new(started)),
                    Err(_) if !self.may_run_again() => return None,
                    Err(_) => {}
                }
            }
        }
        .boxed()
    }

    /// Waits for the first event of an answer while an earlier worker may still go on.
    async fn await_event(
        &self,
        started: &mut StartedAnswer,
        after: Option<u64>,
    ) -> Result<(), AttemptError> {
        if !self.awaits_event() {
            return Ok(());
        }
        self.check_form(started)?;
        let limit = self.sent.left(Instant::now()).unwrap_or_default();
        let events = started.answer.body_mut();
        let read = events.read_ahead(after, limit).await;
        read.map_err(|e| AttemptError::reading(&e, false))?;
        // Such an end is no reason to give up a worker that may go on.
        if events.is_empty_end() {
            return Err(AttemptError::fault("the connection ended without an event"));
        }
        Ok(())
    }

    /// Returns whether the head of an answer does not yet end a takeover.
    pub(super) fn awaits_event(&self) -> bool {
        self.takeover.is_some() && matches!(self.route.kind, RouteKind::Stream { .. })
    }

    /// Checks that an answer may continue the stream, if it has begun.
    ///
    /// # Errors
    ///
    /// Returns the fault of a worker whose answer is not of the form of the first one.
    pub(super) fn check_form(&self, started: &StartedAnswer) -> Result<(), AttemptError> {
        match &self.form {
            Some(form) if Form::of(&started.answer) != *form => Err(AttemptError::fault(
                "the answer is not of the form of the first one",
            )),
            _ => Ok(()),
        }
    }

    /// Records whether a worker has the call and has not answered.
    pub(super) fn set_sent(&mut self, sent: bool) {
        self.sent.record(sent, Instant::now());
        if let Some(takeover) = &self.takeover {
            let _ = takeover.try_send(sent);
        }
    }
}
