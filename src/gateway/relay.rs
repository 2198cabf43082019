//! Forwards a stream of a worker to a caller event by event, and moves it to another worker when it
//! breaks.

use std::{io, time::Duration};

use bytes::Bytes;
use futures::{StreamExt, stream};
use http_body_util::{BodyExt, StreamBody};
use hyper::{Response, body::Frame};

use crate::{
    adapter::headers,
    event,
    metrics::{self, CallEnd},
};

use super::{
    answer::CallerBody,
    connection::Connection,
    dispatch::Placement,
    forward::{Live, RESUME_WAIT, Session},
    sse::Events,
};

/// Part of the longest pause that is on time after which a resumable stream goes on elsewhere: what is
/// left is enough for another worker to read the prompt and make the next event.
const STALL_SHARE: f64 = 0.55;
/// Time without an event after which a resumable stream goes on elsewhere where the route names no
/// pause. Callers give up after 2 s.
const STALL_LIMIT: Duration = Duration::from_millis(600);

/// A worker whose stream is being forwarded.
struct Source {
    placement: Placement,
    connection: Connection,
    events: Events,
}

/// A stream on its way to a caller. Dropping it closes the connection to the worker.
struct Relay {
    session: Session,
    source: Option<Source>,
    last: Option<u64>,
    begun: bool,
}

/// Forwards a stream whose first head was received.
pub fn relay(session: Session, live: Live) -> Response<CallerBody> {
    let (mut head, body) = live.answer.into_parts();
    head.headers = headers::forwarded(&head.headers);
    let relay = Relay {
        last: session.call.after,
        begun: false,
        session,
        source: Some(Source {
            placement: live.placement,
            connection: live.connection,
            events: Events::new(body),
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
            let limit = self.stall_limit();
            let Some(source) = &mut self.source else {
                return Ok(None);
            };
            match source.events.next(limit).await {
                Ok(Some(event)) if event.id.is_some() && event.id <= self.last => {}
                Ok(Some(event)) => {
                    if !self.begun {
                        self.begun = true;
                        metrics::first_token(self.session.call.received.elapsed());
                    }
                    self.last = event.id.or(self.last);
                    return Ok(Some(event.bytes));
                }
                Ok(None) => {
                    self.session.answered();
                    if let Some(source) = self.source.take() {
                        self.session.keep(&source.placement, source.connection);
                    }
                    return Ok(None);
                }
                Err(e) => self.resume(e.to_string()).await?,
            }
        }
    }

    /// Goes on at another worker after the last event that was forwarded.
    async fn resume(&mut self, reason: String) -> io::Result<()> {
        if let Some(source) = self.source.take() {
            self.session.note_broken(&source.placement, &reason);
        }
        if !self.session.may_run_again() {
            return Err(self.broken(&reason));
        }
        let max_wait = self.session.remaining().min(RESUME_WAIT);
        let live = match self.session.attempt(self.last, max_wait).await {
            Ok(live) => live,
            Err(failure) => return Err(self.broken(&format!("{reason}, then {failure}"))),
        };
        event!(
            Info,
            StreamMoved,
            "request={} worker={} after={:?}",
            self.session.call.id,
            live.placement.worker.id,
            self.last
        );
        self.source = Some(Source {
            placement: live.placement,
            connection: live.connection,
            events: Events::new(live.answer.into_body()),
        });
        Ok(())
    }

    fn broken(&mut self, reason: &str) -> io::Error {
        self.session.end(CallEnd::Broken);
        let Session { call, route, .. } = &self.session;
        event!(
            Warn,
            StreamBroken,
            "request={} route={} last={:?} age_ms={} reason={reason:?}",
            call.id,
            route.name,
            self.last,
            call.received.elapsed().as_millis()
        );
        io::Error::other(reason.to_owned())
    }

    /// Returns how long the next event may take.
    fn stall_limit(&self) -> Duration {
        let remaining = self.session.remaining();
        if self.session.may_run_again() {
            let limit = self.session.route.pause.map(|p| p.mul_f64(STALL_SHARE));
            remaining.min(limit.unwrap_or(STALL_LIMIT))
        } else {
            remaining
        }
    }
}
