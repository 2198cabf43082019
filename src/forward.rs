//! One online request on the engines: attempts, resumes and retries.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{
    chat::ChatRequest,
    engine::{EngineStream, Generate, Piece, StreamError},
    event,
    ids::{RequestId, WorkerId},
    online::{Online, Placed, RETRY_AFTER, Wanted},
    stream::End,
    verdict::{Reason, RequestError, Verdict},
};

/// Resumes in a row that bring no event before a stream counts as lost.
const RESUMES: u32 = 3;
/// Attempts of one request at most.
const ATTEMPTS: u32 = 4;

/// Whether a request may be run again after it may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    /// It may.
    Allowed,
    /// It may not: at most one attempt may have run.
    Never,
}

/// One request and its present attempt. Dropping it stops the engine.
#[derive(Debug)]
pub struct Forward {
    begun: Instant,
    online: Arc<Online>,
    id: RequestId,
    request: ChatRequest,
    repeat: Repeat,
    /// Whether text has reached the caller, after which nothing may be generated anew.
    forwarded: bool,
    attempts: u32,
    tried: Vec<WorkerId>,
    in_doubt: bool,
    /// Failure of the latest attempt.
    last: Option<RequestError>,
    live: Option<Live>,
}

/// An attempt whose stream was opened.
#[derive(Debug)]
struct Live {
    attempt: Attempt,
    /// Nothing after the connection broke.
    stream: Option<EngineStream>,
    position: u64,
    resumes: u32,
}

/// An attempt that may run on its worker. Dropping it cancels it there.
#[derive(Debug)]
struct Attempt {
    online: Arc<Online>,
    placed: Placed,
    id: RequestId,
    running: bool,
}

impl Forward {
    /// Builds a request that has not been sent.
    pub fn new(online: Arc<Online>, id: RequestId, request: ChatRequest, repeat: Repeat) -> Self {
        Self {
            begun: Instant::now(),
            online,
            id,
            request,
            repeat,
            forwarded: false,
            attempts: 0,
            tried: Vec::new(),
            in_doubt: false,
            last: None,
            live: None,
        }
    }

    /// Returns the time since the request was taken up.
    pub fn age(&self) -> Duration {
        self.begun.elapsed()
    }

    /// Waits for the next piece and forwards it: from then on nothing is generated anew.
    ///
    /// # Errors
    ///
    /// Returns why the answer cannot be completed.
    pub async fn next(&mut self) -> Result<Piece, RequestError> {
        let piece = self.piece().await?;
        self.forwarded = true;
        Ok(piece)
    }

    /// Waits for the whole answer, of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Returns why there is no whole answer.
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
                self.live = None;
                return Err(RequestError::may_have_run(
                    Reason::TooLarge,
                    "the answer is over the size limit; ask for a stream",
                ));
            }
        }
    }

    async fn piece(&mut self) -> Result<Piece, RequestError> {
        loop {
            let mut live = match self.live.take() {
                Some(live) => live,
                None => self.open().await?,
            };
            match live.next().await {
                Ok(piece) => {
                    self.keep(live, &piece);
                    return Ok(piece);
                }
                Err(error) => {
                    self.lost(&live, &error);
                    drop(live);
                    self.again(error)?;
                }
            }
        }
    }

    fn keep(&mut self, mut live: Live, piece: &Piece) {
        match piece {
            Piece::Text(_) => {
                live.attempt.placed.first_token();
                self.live = Some(live);
            }
            Piece::End(_) => {
                live.attempt.running = false;
                self.online.worked(&live.attempt.placed.worker.id);
            }
        }
    }

    /// Opens a stream on a worker that was not tried before.
    async fn open(&mut self) -> Result<Live, RequestError> {
        loop {
            let placed = self
                .online
                .place(&Wanted {
                    id: &self.id,
                    model: &self.request.model,
                    blocks: &self.request.blocks,
                    tried: &self.tried,
                })
                .await;
            // With no worker left the failure of the latest attempt tells the caller more.
            let placed = placed.map_err(|e| self.judge(self.last.clone().unwrap_or(e)))?;
            match self.attempt(placed).await {
                Ok(live) => return Ok(live),
                Err(error) => self.again(error)?,
            }
        }
    }

    async fn attempt(&mut self, placed: Placed) -> Result<Live, RequestError> {
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
            // The engine may have the stream although its answer is missing: ask for a resume.
            Err(error) if broke(&error) => None,
            Err(error) => {
                attempt.running = error.verdict == Verdict::MayHaveRun;
                self.note(&attempt.placed.worker.id, &error);
                return Err(error);
            }
        };
        Ok(Live {
            attempt,
            stream,
            position: 0,
            resumes: 0,
        })
    }

    fn lost(&mut self, live: &Live, error: &RequestError) {
        self.note(&live.attempt.placed.worker.id, error);
    }

    /// Notes an attempt that failed.
    fn note(&mut self, worker: &WorkerId, error: &RequestError) {
        self.in_doubt |= error.verdict == Verdict::MayHaveRun;
        use Reason::{ConnectionBroken, TargetFailed, Timeout, Unavailable};
        let broken = [Unavailable, Timeout, TargetFailed, ConnectionBroken];
        if broken.contains(&error.reason) {
            self.online.failed(worker);
        }
    }

    /// Lets the request go on to another worker, or ends it with the error.
    fn again(&mut self, error: RequestError) -> Result<(), RequestError> {
        let final_reason = matches!(error.reason, Reason::Invalid | Reason::TooLarge);
        if final_reason || self.forwarded || self.attempts >= ATTEMPTS {
            return Err(self.judge(error));
        }
        if error.verdict == Verdict::MayHaveRun && self.repeat == Repeat::Never {
            return Err(self.judge(error));
        }
        // A request that reached no engine adds no load, so only others count as retries.
        let reached = error.reason != Reason::Unavailable;
        if reached && !self.online.may_retry() {
            return Err(self.judge(error));
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
        self.last = Some(error);
        Ok(())
    }

    /// Gives an error the verdict of all attempts together.
    fn judge(&self, mut error: RequestError) -> RequestError {
        if self.in_doubt {
            error.verdict = Verdict::MayHaveRun;
        }
        let waiting = [Reason::Overloaded, Reason::Unavailable];
        if error.retry_after.is_none() && waiting.contains(&error.reason) {
            error.retry_after = Some(RETRY_AFTER);
        }
        error
    }
}

impl Live {
    /// Waits for the next piece, resuming the stream on a new connection when it breaks.
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
                Err(broken) => self.broken(broken)?,
            }
        }
    }

    fn broken(&mut self, broken: StreamError) -> Result<(), RequestError> {
        // Dropping the stream closes its connection, which is never used again.
        self.stream = None;
        if self.resumes < RESUMES {
            return Ok(());
        }
        let (reason, message) = match broken {
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
            Err(error) if error.reason == Reason::NotFound || self.resumes >= RESUMES => {
                // The first request of the attempt was written, whatever became of the resume.
                Err(RequestError::may_have_run(
                    Reason::TargetFailed,
                    "the worker lost the stream",
                ))
            }
            Err(_) => Ok(()),
        }
    }
}

/// Says whether a request was written and its connection broke or fell silent.
fn broke(error: &RequestError) -> bool {
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
