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
    metrics::{self, CallEnd},
};

use super::{
    answer::CallerBody,
    answer_end::AnswerEnd,
    connection::{AttemptError, Connection},
    dispatch::Placement,
    forward::{RESUME_WAIT, Session, StartedAnswer},
    splice::Form,
    sse::{Event, Events},
    takeover::{self, Takeover},
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
    /// Whether the worker has sent an event.
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
    _open: Arc<()>,
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
            match source.events.next(self.last_id, limit).await {
                Ok(event) => return Ok(self.forward(event)),
                Err(e) if may_move && e.kind() == io::ErrorKind::TimedOut => {
                    if let Some(event) = self.seek_other().await? {
                        return Ok(self.forward(event));
                    }
                }
                Err(e) => {
                    let broken = AttemptError::reading(&e, source.begun);
                    self.resume(broken).await?;
                }
            }
        }
    }

    /// Records an event of the source, or its end, and returns the bytes for the caller.
    fn forward(&mut self, event: Option<Event>) -> Option<Bytes> {
        let Some(event) = event else {
            if let Some(source) = self.source.take() {
                self.session.record_answered(source.events.is_framed());
                self.session
                    .keep_connection(&source.placement, source.connection);
            }
            return None;
        };
        if let Some(source) = &mut self.source {
            source.placement.record_progress();
            if !source.begun {
                source.begun = true;
                self.session.record_begun();
            }
        }
        if !self.first_sent {
            self.first_sent = true;
            metrics::first_token(self.session.call.received.elapsed());
        }
        if !event.is_comment() {
            self.unnumbered = event.id.is_none();
        }
        self.last_id = event.id.or(self.last_id);
        Some(event.bytes)
    }

    /// Seeks another worker while the source is silent. Returns the next event of the source or its
    /// end, or `None` when another worker has taken over.
    async fn seek_other(&mut self) -> io::Result<Option<Option<Event>>> {
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
            let event = events.next(after, remaining).await?;
            Ok((connection, events, event))
        };
        let silent = &placement.worker.id;
        let takeover = takeover::take_over(&mut self.session, silent, after, reading.boxed()).await;
        let Takeover { earlier, other } = takeover;
        let broken = match earlier {
            Some(Ok((connection, events, event))) => {
                self.source = Some(Source {
                    placement,
                    connection,
                    events,
                    begun,
                });
                return Ok(Some(event));
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

    /// Resumes at another worker after the last forwarded event.
    async fn resume(&mut self, broken: AttemptError) -> io::Result<()> {
        if let Some(source) = self.source.take() {
            self.session.record_broken(&source.placement, &broken);
        }
        self.move_on(broken).await
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
        event!(
            Info,
            StreamMoved,
            "request={} worker={} after={:?}",
            self.session.call.id,
            started.placement.worker.id,
            self.last_id
        );
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
        if self.unnumbered || !self.session.may_run_beside() {
            return (remaining, false);
        }
        let limit = self.session.route.pause.map(|p| p.mul_f64(STALL_SHARE));
        (remaining.min(limit.unwrap_or(STALL_LIMIT)), true)
    }
}
