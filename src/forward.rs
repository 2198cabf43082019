//! Forwarding of one online request to engines: attempts, stream resumes and retries.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{
    chat::ChatRequest,
    engine::{EngineStream, Generate, Piece, StreamError},
    event,
    ids::{RequestId, WorkerId},
    online::{Online, PlacedRequest, PlacementRequest, RETRY_AFTER},
    stream::End,
    verdict::{Reason, RequestError, Verdict},
};

/// Maximum number of consecutive resumes without a new event before a stream counts as lost.
const MAX_RESUMES: u32 = 3;
/// Maximum number of attempts of one request.
const MAX_ATTEMPTS: u32 = 4;

/// Whether a request may be sent again after it may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    /// The request may be repeated.
    Allowed,
    /// The request must run at most once.
    Never,
}

/// A request and its current attempt. Dropping it stops the engine.
#[derive(Debug)]
pub struct Forward {
    started: Instant,
    online: Arc<Online>,
    id: RequestId,
    request: ChatRequest,
    repeat: Repeat,
    /// Whether text was forwarded to the caller. From then on the answer must not be generated
    /// again.
    forwarded: bool,
    attempts: u32,
    tried: Vec<WorkerId>,
    /// Whether an attempt may have run.
    may_have_run: bool,
    /// Error of the latest attempt.
    last_error: Option<RequestError>,
    current: Option<OpenAttempt>,
}

/// An attempt whose stream was opened.
#[derive(Debug)]
struct OpenAttempt {
    attempt: Attempt,
    /// `None` while the connection is lost.
    stream: Option<EngineStream>,
    position: u64,
    resumes: u32,
}

/// An attempt on a worker. Dropping it while it may be running cancels it on the engine.
#[derive(Debug)]
struct Attempt {
    online: Arc<Online>,
    placed: PlacedRequest,
    id: RequestId,
    running: bool,
}

impl Forward {
    /// Creates a request that has not been sent yet.
    pub fn new(online: Arc<Online>, id: RequestId, request: ChatRequest, repeat: Repeat) -> Self {
        Self {
            started: Instant::now(),
            online,
            id,
            request,
            repeat,
            forwarded: false,
            attempts: 0,
            tried: Vec::new(),
            may_have_run: false,
            last_error: None,
            current: None,
        }
    }

    /// Returns the time since the request was created.
    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// Waits for the next piece and marks it as forwarded, after which the answer is not generated
    /// again.
    ///
    /// # Errors
    ///
    /// Fails when the answer cannot be completed.
    pub async fn next(&mut self) -> Result<Piece, RequestError> {
        let piece = self.piece().await?;
        self.forwarded = true;
        Ok(piece)
    }

    /// Waits for the whole answer, which may have at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Fails when the answer cannot be completed or exceeds the limit.
    pub async fn collect(&mut self, limit: usize) -> Result<(String, End), RequestError> {
        let mut text = String::new();
        let mut attempt = 0;
        loop {
            let piece = self.piece().await?;
            if attempt != self.attempts {
                attempt = self.attempts;
                text.clear();
            }
            match piece {
                Piece::Text(more) => text.push_str(&more),
                Piece::End(end) => return Ok((text, end)),
            }
            if text.len() > limit {
                self.current = None;
                return Err(RequestError::may_have_run(
                    Reason::TooLarge,
                    "the answer is over the size limit; ask for a stream",
                ));
            }
        }
    }

    async fn piece(&mut self) -> Result<Piece, RequestError> {
        loop {
            let mut open = match self.current.take() {
                Some(open) => open,
                None => self.open().await?,
            };
            match open.next().await {
                Ok(piece) => {
                    self.handle_piece(open, &piece);
                    return Ok(piece);
                }
                Err(error) => {
                    self.handle_failure(&open, &error);
                    drop(open);
                    self.prepare_retry(error)?;
                }
            }
        }
    }

    fn handle_piece(&mut self, mut open: OpenAttempt, piece: &Piece) {
        match piece {
            Piece::Text(_) => {
                open.attempt.placed.first_token();
                self.current = Some(open);
            }
            Piece::End(_) => {
                open.attempt.running = false;
                self.online.record_success(&open.attempt.placed.worker.id);
            }
        }
    }

    /// Opens a stream on a worker that was not tried yet.
    async fn open(&mut self) -> Result<OpenAttempt, RequestError> {
        loop {
            let placed = self
                .online
                .place(&PlacementRequest {
                    id: &self.id,
                    model: &self.request.model,
                    blocks: &self.request.blocks,
                    tried: &self.tried,
                })
                .await;
            // When no worker is left, the error of the latest attempt is more useful to the caller.
            let placed = placed
                .map_err(|e| self.with_final_verdict(self.last_error.clone().unwrap_or(e)))?;
            match self.start_attempt(placed).await {
                Ok(open) => return Ok(open),
                Err(error) => self.prepare_retry(error)?,
            }
        }
    }

    async fn start_attempt(&mut self, placed: PlacedRequest) -> Result<OpenAttempt, RequestError> {
        self.attempts += 1;
        self.tried.push(placed.worker.id.clone());
        let id: RequestId = format!("{}-{}", self.id, self.attempts).into();
        let address = placed.worker.address;
        let mut attempt = Attempt {
            online: self.online.clone(),
            placed,
            id: id.clone(),
            running: true,
        };
        let body = self.request.body.clone();
        let opened = self
            .online
            .ctx
            .engine
            .open(address, &Generate { id, body })
            .await;
        let stream = match opened {
            Ok(stream) => Some(stream),
            // The engine may run the stream although its answer was lost, so a resume is tried.
            Err(error) if is_connection_loss(&error) => None,
            Err(error) => {
                attempt.running = error.verdict == Verdict::MayHaveRun;
                self.record_failure(&attempt.placed.worker.id, &error);
                return Err(error);
            }
        };
        Ok(OpenAttempt {
            attempt,
            stream,
            position: 0,
            resumes: 0,
        })
    }

    fn handle_failure(&mut self, open: &OpenAttempt, error: &RequestError) {
        self.record_failure(&open.attempt.placed.worker.id, error);
    }

    /// Records a failed attempt and its verdict.
    fn record_failure(&mut self, worker: &WorkerId, error: &RequestError) {
        self.may_have_run |= error.verdict == Verdict::MayHaveRun;
        use Reason::{ConnectionBroken, TargetFailed, Timeout, Unavailable};
        let broken = [Unavailable, Timeout, TargetFailed, ConnectionBroken];
        if broken.contains(&error.reason) {
            self.online.record_failure(worker);
        }
    }

    /// Decides whether the request may be retried on another worker.
    ///
    /// # Errors
    ///
    /// Returns the final error when it may not.
    fn prepare_retry(&mut self, error: RequestError) -> Result<(), RequestError> {
        let final_reason = matches!(error.reason, Reason::Invalid | Reason::TooLarge);
        if final_reason || self.forwarded || self.attempts >= MAX_ATTEMPTS {
            return Err(self.with_final_verdict(error));
        }
        if error.verdict == Verdict::MayHaveRun && self.repeat == Repeat::Never {
            return Err(self.with_final_verdict(error));
        }
        // An attempt that reached no engine adds no load and is not charged to the retry budget.
        let reached = error.reason != Reason::Unavailable;
        if reached && !self.online.may_retry() {
            return Err(self.with_final_verdict(error));
        }
        event!(
            Info,
            RequestRetried,
            "request={} attempts={} reason={} verdict={}",
            self.id,
            self.attempts,
            error.reason.as_str(),
            error.verdict
        );
        self.last_error = Some(error);
        Ok(())
    }

    /// Sets the verdict of an error to that of all attempts together.
    fn with_final_verdict(&self, mut error: RequestError) -> RequestError {
        if self.may_have_run {
            error.verdict = Verdict::MayHaveRun;
        }
        let retryable = [Reason::Overloaded, Reason::Unavailable];
        if error.retry_after.is_none() && retryable.contains(&error.reason) {
            error.retry_after = Some(RETRY_AFTER);
        }
        error
    }
}

impl OpenAttempt {
    /// Waits for the next piece. Resumes the stream on a new connection when the current one
    /// breaks.
    async fn next(&mut self) -> Result<Piece, RequestError> {
        loop {
            let Some(stream) = &mut self.stream else {
                self.resume().await?;
                continue;
            };
            let result = stream.next().await;
            let position = stream.position();
            if position > self.position {
                self.position = position;
                self.resumes = 0;
            }
            match result {
                Ok(piece) => return Ok(piece),
                Err(error) => self.handle_break(error)?,
            }
        }
    }

    fn handle_break(&mut self, error: StreamError) -> Result<(), RequestError> {
        // Dropping the stream closes its connection, which must not be reused.
        self.stream = None;
        if self.resumes < MAX_RESUMES {
            return Ok(());
        }
        let (reason, message) = match error {
            StreamError::Stalled => (Reason::Timeout, "the worker fell silent"),
            StreamError::Closed => (Reason::ConnectionBroken, "the worker broke the connection"),
            StreamError::Disordered => (Reason::TargetFailed, "the worker's events were not whole"),
        };
        Err(RequestError::may_have_run(reason, message))
    }

    async fn resume(&mut self) -> Result<(), RequestError> {
        self.resumes += 1;
        event!(
            Info,
            StreamResumed,
            "attempt={} worker={} from={} resumes={}",
            self.attempt.id,
            self.attempt.placed.worker.id,
            self.position,
            self.resumes
        );
        let address = self.attempt.placed.worker.address;
        let engine = &self.attempt.online.ctx.engine;
        let resumed = engine
            .resume(address, &self.attempt.id, self.position)
            .await;
        match resumed {
            Ok(stream) => {
                self.stream = Some(stream);
                Ok(())
            }
            Err(error) if error.reason == Reason::NotFound || self.resumes >= MAX_RESUMES => {
                // The attempt's first request was written, so it may have run whatever the resume
                // returns.
                Err(RequestError::may_have_run(
                    Reason::TargetFailed,
                    "the worker lost the stream",
                ))
            }
            Err(_) => Ok(()),
        }
    }
}

/// Returns whether a request was written and its connection then broke or stalled.
fn is_connection_loss(error: &RequestError) -> bool {
    use Reason::{ConnectionBroken, TargetFailed, Timeout};
    let broken = [Timeout, TargetFailed, ConnectionBroken];
    error.verdict == Verdict::MayHaveRun && broken.contains(&error.reason)
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if !self.running {
            return;
        }
        let engine = self.online.ctx.engine.clone();
        let address = self.placed.worker.address;
        let id = self.id.clone();
        async_global_executor::spawn(async move { engine.cancel(address, &id).await }).detach();
    }
}
