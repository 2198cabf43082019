//! Forwards a worker's stream to a caller event by event, and resumes it at another worker when it
//! breaks.

use std::{io, sync::Arc, time::Duration};

use bytes::Bytes;
use futures::{FutureExt, StreamExt, stream};
use http_body_util::{BodyExt, StreamBody};
use hyper::{Response, body::Frame};

use crate::{
    adapter::headers,
    event,
    metrics::{self, CallEnd, EndEvidence},
};

use super::{
    answer::CallerBody,
    answer_end::AnswerEnd,
    connection::{AttemptError, Connection},
    dispatch::Placement,
    forward::{Asked, RESUME_WAIT, Session, StartedAnswer},
    liveness::{Delivery, Ended},
    splice::Form,
    sse::{End, Event, Events, Next},
    takeover::{self, ASK_LIMIT, Takeover},
};

/// Share of the longest allowed pause after which a resumable stream moves to another worker. The
/// rest is enough for that worker to read the prompt and produce the next event.
const STALL_SHARE: f64 = 0.55;
/// Time without an event after which a resumable stream moves to another worker if the route sets
/// no pause. Callers time out after 2 s.
const STALL_LIMIT: Duration = Duration::from_millis(600);

/// A worker whose stream is being forwarded.
struct Source {
    placement: Placement,
    connection: Connection,
    events: Events,
    /// Whether the worker has sent an event that is no comment.
    begun: bool,
}

/// A stream that is being forwarded to a caller. Dropping it closes the connection to the worker.
struct Relay {
    session: Session,
    source: Option<Source>,
    last_id: Option<u64>,
    /// Whether an event without a number was forwarded after the last one with a number. Comments do
    /// not count.
    unnumbered: bool,
    first_sent: bool,
    /// Set while the stream may be whole, as the connection of a worker ended after its last event.
    unproven: Option<Unproven>,
    _open: Arc<()>,
}

/// A stream of which nothing but the end of a connection shows that it is whole.
struct Unproven {
    ended: Ended,
    /// Whether the worker sent an event in that answer.
    begun: bool,
    asked_other: bool,
    asked_same: bool,
}

/// Starts forwarding a stream whose head was received.
pub fn relay(mut session: Session, started: StartedAnswer) -> Response<CallerBody> {
    session.form = Some(Form::of(&started.answer));
    let (mut head, events) = started.answer.into_parts();
    head.headers = headers::forwarded(&head.headers);
    let open = Arc::new(());
    let end = AnswerEnd::new(&session.call.id, session.remaining(), &open);
    head.extensions.insert(end);
    let relay = Relay {
        _open: open,
        unnumbered: false,
        last_id: session.call.after,
        first_sent: false,
        unproven: None,
        session,
        source: Some(Source {
            placement: started.placement,
            connection: started.connection,
            events,
            begun: false,
        }),
    };
    let frames = stream::unfold(Some(relay), |relay| async {
        let mut relay = relay?;
        match relay.next().await {
            Ok(Some(bytes)) => Some((Ok(Frame::data(bytes)), Some(relay))),
            Ok(None) => None,
            Err(e) => Some((Err(e), None)),
        }
    });
    Response::from_parts(head, StreamBody::new(frames.boxed()).boxed_unsync())
}

impl Relay {
    /// Returns the next bytes for the caller, or `None` at the end of the stream.
    async fn next(&mut self) -> io::Result<Option<Bytes>> {
        loop {
            let (limit, may_move) = self.stall_limit();
            let Some(source) = &mut self.source else {
                return Ok(None);
            };
            source.placement.begin_wait();
            let next = match source.events.next(self.last_id, limit).await {
                Err(e) if may_move && e.kind() == io::ErrorKind::TimedOut => {
                    match self.seek_other().await? {
                        Some(next) => Ok(next),
                        None => continue,
                    }
                }
                next => next,
            };
            match next {
                Ok(Next::Event(event)) => return Ok(Some(self.forward(event))),
                Ok(Next::End(End::Framed)) => {
                    self.finish();
                    return Ok(None);
                }
                Ok(Next::End(End::Connection)) => {
                    if self.settle().await? {
                        return Ok(None);
                    }
                }
                Err(e) => self.resume(&e).await?,
            }
        }
    }

    /// Records an event of the source, and returns the bytes for the caller.
    fn forward(&mut self, event: Event) -> Bytes {
        if !event.is_comment()
            && let Some(unproven) = self.unproven.take()
        {
            unproven.ended.record_torn();
            self.log_moved();
        }
        if let Some(source) = &mut self.source {
            source.placement.record_progress();
            if !source.begun && !event.is_comment() {
                source.begun = true;
                self.session.record_begun();
            }
        }
        if !self.first_sent && !event.is_comment() {
            self.first_sent = true;
            metrics::first_token(self.session.call.received.elapsed());
        }
        if !event.is_comment() {
            self.unnumbered = event.id.is_none();
        }
        self.last_id = event.id.or(self.last_id);
        event.bytes
    }

    /// Records that the stream is whole.
    fn finish(&mut self) {
        let Some(source) = self.source.take() else {
            return;
        };
        if let Some(unproven) = self.unproven.take()
            && source.events.is_framed()
        {
            unproven.ended.confirm(EndEvidence::Framed);
        }
        self.session.record_answered(source.events.is_framed());
        self.session
            .keep_connection(&source.placement, source.connection);
    }

    /// Decides whether the stream is whole after the connection of its source ended, and asks a worker
    /// for further events while that is not known. Returns whether it is whole.
    async fn settle(&mut self) -> io::Result<bool> {
        let Some(source) = &mut self.source else {
            return Ok(true);
        };
        source.placement.release();
        let ended = source.events.responder().record_end();
        if source.events.lacks_event() {
            let running = ended.check_running().await;
            let error = running.err().unwrap_or_else(|| ended.reject_empty());
            self.resume(&error).await?;
            return Ok(false);
        }
        let remaining = self.session.remaining();
        if self.unnumbered || !self.session.route.is_resumable() {
            return match ended
                .outlive(EndEvidence::Outlived, Delivery::Streamed, remaining)
                .await
            {
                Ok(()) => {
                    self.finish();
                    Ok(true)
                }
                Err(e) => {
                    let broken = AttemptError::reading(&e, source.begun);
                    self.session.record_broken(&source.placement, &broken);
                    Err(self.broken(&broken.reason))
                }
            };
        }
        if let Some(unproven) = &self.unproven {
            let is_other = unproven.ended.worker().id != ended.worker().id;
            let outlived = match (is_other, unproven.begun) {
                (true, _) => {
                    ended
                        .outlive(EndEvidence::Agreed, Delivery::Streamed, remaining)
                        .await
                }
                (false, true) => {
                    ended
                        .outlive(EndEvidence::Outlived, Delivery::Streamed, remaining)
                        .await
                }
                // Two empty answers of one worker that was to go on may have the same fault.
                (false, false) => Err(ended.reject_repeated()),
            };
            if outlived.is_ok() {
                self.finish();
                return Ok(true);
            }
            self.session.count_run(&ended.worker().id);
        } else if let Err(e) = ended.check_running().await {
            self.resume(&e).await?;
            return Ok(false);
        } else {
            self.session.count_run(&ended.worker().id);
            self.unproven = Some(Unproven {
                ended,
                begun: source.begun,
                asked_other: false,
                asked_same: false,
            });
        }
        self.source = None;
        self.ask("the connection ended").await?;
        Ok(false)
    }

    /// Asks a worker for the events after the last one: another one, if the route allows it, or the one
    /// whose connection ended, which has the prompt. Both need a free slot. When neither answers, the first
    /// worker has to outlive the stream.
    async fn ask(&mut self, reason: &str) -> io::Result<()> {
        let mut reason = reason.to_owned();
        while let Some(unproven) = &mut self.unproven {
            let (asked, max_wait) = if !unproven.asked_other && self.session.may_run_again() {
                unproven.asked_other = true;
                (Asked::Other, Duration::ZERO)
            } else if !unproven.asked_same {
                unproven.asked_same = true;
                (Asked::Same(unproven.ended.worker().clone()), ASK_LIMIT)
            } else {
                break;
            };
            let max_wait = max_wait.min(self.session.remaining());
            self.session.asked = Some(asked);
            let started = self.session.attempt(self.last_id, max_wait).await;
            self.session.asked = None;
            match started {
                Ok(started) => match self.session.check_form(&started) {
                    Ok(()) => {
                        self.set_source(started);
                        return Ok(());
                    }
                    Err(fault) => {
                        self.session.record_broken(&started.placement, &fault);
                        reason = format!("{reason}, then {}", fault.reason);
                    }
                },
                Err(failure) => reason = format!("{reason}, then {failure}"),
            }
        }
        if let Some(unproven) = self.unproven.take_if(|u| u.begun) {
            let remaining = self.session.remaining();
            let outlived =
                unproven
                    .ended
                    .outlive(EndEvidence::Outlived, Delivery::Streamed, remaining);
            if outlived.await.is_ok() {
                self.session.record_answered(false);
                return Ok(());
            }
        }
        self.unproven = None;
        self.move_on(AttemptError::fault(reason)).await
    }

    /// Seeks another worker while the source is silent. Returns what the source sends next, or `None` when
    /// another worker has taken over.
    async fn seek_other(&mut self) -> io::Result<Option<Next>> {
        let Some(source) = self.source.take() else {
            return Ok(None);
        };
        let Source {
            placement,
            connection,
            mut events,
            begun,
        } = source;
        let (after, remaining) = (self.last_id, self.session.remaining());
        let reading = async move {
            let next = events.next(after, remaining).await?;
            Ok((connection, events, next))
        };
        let silent = &placement.worker.id;
        let takeover = takeover::take_over(&mut self.session, silent, after, reading.boxed()).await;
        let Takeover { earlier, other } = takeover;
        let broken = match earlier {
            Some(Ok((connection, events, next))) => {
                self.source = Some(Source {
                    placement,
                    connection,
                    events,
                    begun,
                });
                return Ok(Some(next));
            }
            Some(Err(e)) => AttemptError::reading(&e, begun),
            None => AttemptError::reading(&io::ErrorKind::TimedOut.into(), begun),
        };
        self.session.record_broken(&placement, &broken);
        drop(placement);
        match other {
            Some(started) => self.start_source(*started),
            None => self.move_on(broken).await?,
        }
        Ok(None)
    }

    /// Resumes at another worker after the last forwarded event, or asks the next one for the events
    /// after it.
    async fn resume(&mut self, error: &io::Error) -> io::Result<()> {
        let begun = self.source.as_ref().is_some_and(|s| s.begun);
        let broken = AttemptError::reading(error, begun);
        if let Some(source) = self.source.take() {
            // Events that a worker skips when it is asked for the rest are missing.
            if source.events.has_skipped()
                && let Some(unproven) = self.unproven.take()
            {
                unproven.ended.record_torn();
            }
            self.session.check_links(&source.placement, &broken).await;
            // A worker that is asked may have to read the whole prompt first.
            if self.unproven.is_some() && error.kind() == io::ErrorKind::TimedOut {
                self.session.count_run(&source.placement.worker.id);
            } else {
                self.session.record_broken(&source.placement, &broken);
            }
        }
        if self.unproven.is_some() {
            self.ask(&broken.reason).await
        } else {
            self.move_on(broken).await
        }
    }

    /// Resumes at another worker after the source was given up.
    async fn move_on(&mut self, broken: AttemptError) -> io::Result<()> {
        let mut reason = broken.reason;
        let started = loop {
            if self.unnumbered || !self.session.may_run_again() {
                return Err(self.broken(&reason));
            }
            let max_wait = self.session.remaining().min(RESUME_WAIT);
            let started = match self.session.attempt(self.last_id, max_wait).await {
                Ok(started) => started,
                Err(failure) => return Err(self.broken(&format!("{reason}, then {failure}"))),
            };
            match self.session.check_form(&started) {
                Ok(()) => break started,
                Err(fault) => {
                    self.session.record_broken(&started.placement, &fault);
                    reason = fault.reason;
                }
            }
        };
        self.start_source(started);
        Ok(())
    }

    fn start_source(&mut self, started: StartedAnswer) {
        self.set_source(started);
        self.log_moved();
    }

    fn log_moved(&self) {
        let worker = self.source.as_ref().map(|s| &s.placement.worker.id);
        event!(
            Info,
            StreamMoved,
            "request={} worker={} after={:?}",
            self.session.call.id,
            worker.map_or("", |w| w),
            self.last_id
        );
    }

    fn set_source(&mut self, started: StartedAnswer) {
        self.source = Some(Source {
            placement: started.placement,
            connection: started.connection,
            events: started.answer.into_body(),
            begun: false,
        });
    }

    fn broken(&mut self, reason: &str) -> io::Error {
        self.session.record_end(CallEnd::Broken);
        let Session { call, route, .. } = &self.session;
        event!(
            Warn,
            StreamBroken,
            "request={} route={} last={:?} age_ms={} reason={reason:?}",
            call.id,
            route.name,
            self.last_id,
            call.received.elapsed().as_millis()
        );
        io::Error::other(reason.to_owned())
    }

    /// Returns the timeout of the next event, and whether the stream may then move to another worker.
    fn stall_limit(&self) -> (Duration, bool) {
        let remaining = self.session.remaining();
        if self.unproven.is_some() {
            return (remaining.min(ASK_LIMIT), false);
        }
        if self.unnumbered || !self.session.may_run_beside() {
            return (remaining, false);
        }
        let limit = self.session.route.pause.map(|p| p.mul_f64(STALL_SHARE));
        (remaining.min(limit.unwrap_or(STALL_LIMIT)), true)
    }
}
