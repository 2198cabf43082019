//! Runs one batch item on an engine, with pauses for online requests and resumes.

use std::{net::SocketAddr, sync::Arc};

use serde_json::json;
use smol::channel::Receiver;

use crate::{
    engine::{Engine, EngineStream, Generate, Piece, StreamError},
    group::escaped_len,
    ids::{ModelId, RequestId, WorkerId},
    job_record::{InputRecord, Item},
    kv::{self, Failure, Transfer},
    stream::End,
    verdict::{Reason, RequestError, Verdict},
    workers::BatchGuard,
};

/// Consecutive resumes without an event after which a stream is abandoned.
const RESUME_LIMIT: u32 = 2;
/// Finish reason of a stream that the engine ended because the item failed.
const FINISH_ERROR: &str = "error";

/// A stopped stream whose state its engine may still have.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Partial {
    /// Worker that ran it.
    pub worker: WorkerId,
    /// Id of the request.
    pub request: RequestId,
    /// Text received so far.
    pub text: String,
    /// Number of the next event.
    pub next: u64,
    /// Connection fault after the last event.
    pub fault: Fault,
    /// State that was exported from a leaving worker before the stop, because an engine may exit with
    /// its last stream.
    pub state: Option<Arc<Vec<u8>>>,
}

/// A fault of the connection of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// The engine stopped sending. It may still run.
    Silent,
    /// The connection was closed, as when the engine dies.
    Broken,
}

/// How a run ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunEnd {
    /// The item completed.
    Done(Arc<str>),
    /// The item can never succeed.
    Rejected(Arc<str>),
    /// The item failed on a healthy engine.
    Failed(Arc<str>),
    /// The run stopped and may be resumed.
    Stopped {
        /// Where to resume.
        partial: Partial,
        /// Whether the stop was requested; `false` if the engine did not answer.
        healthy: bool,
    },
    /// The state could not be moved to this worker and remains at the earlier one.
    Unmoved {
        /// Where to resume.
        partial: Partial,
        /// Step that failed.
        failure: Failure,
    },
    /// The engine did not run the request.
    NotRun,
    /// The engine was lost or is faulty; the item may have run.
    Lost,
    /// The engine no longer has the stream to resume; the item may have run.
    Gone,
}

/// Parameters of a run.
#[derive(Debug)]
pub struct Run {
    /// Client of engines.
    pub engine: Engine,
    /// Address of the worker.
    pub address: SocketAddr,
    /// Slot on the worker.
    pub guard: BatchGuard,
    /// Input of the group.
    pub input: Arc<InputRecord>,
    /// Index of the item in the group.
    pub item: usize,
    /// Model.
    pub model: ModelId,
    /// Where to start or resume.
    pub from: Partial,
    /// Whether the request was sent before, so that it must only be resumed.
    pub resume: bool,
    /// Transfer to make before the resume.
    pub transfer: Option<Transfer>,
    /// Where to resume if a move fails; `None` once the new worker has sent text.
    pub origin: Option<Partial>,
    /// Size limit of an exported state, in bytes.
    pub state_limit: usize,
    /// Receives a message when the run must stop because its worker is leaving, and is closed when it
    /// must stop for another reason.
    pub stop: Receiver<()>,
}

/// Result of waiting for an engine.
enum Waited<T> {
    Ready(T),
    Stopped,
    Leaving,
}

/// How a stream of a leaving worker was left.
enum Left {
    /// The stream ended, with this text after the last one that was read.
    Ended(String, End),
    /// The engine sent the state, or failed to.
    Exported(Option<Vec<u8>>),
}

/// Runs an item until it ends or must stop.
///
/// The slot on the worker is released only after the engine has answered the cancel order or has
/// not responded for the stall limit, so that the worker's load is not underestimated.
pub async fn run(mut run: Run) -> RunEnd {
    let opened = match (run.transfer.take(), run.resume) {
        (Some(transfer), _) => transfer_and_resume(&mut run, transfer).await,
        (None, true) => reopen(&mut run).await,
        (None, false) => open(&mut run).await,
    };
    let end = match opened {
        Ok(stream) => read_stream(&mut run, stream).await,
        Err(end) => end,
    };
    match run.origin.take() {
        Some(origin) => revert_move(origin, end),
        None => end,
    }
}

/// Transfers the state of a stopped stream to this worker and resumes the stream.
async fn transfer_and_resume(run: &mut Run, transfer: Transfer) -> Result<EngineStream, RunEnd> {
    let partial = run.from.clone();
    run.origin = Some(partial.clone());
    run.from.worker = transfer.target.clone();
    run.from.request = transfer.request.clone();
    run.from.fault = Fault::None;
    run.from.state = None;
    let moved = kv::transfer(&run.engine, &transfer, &partial, run.address);
    match run.wait(moved).await {
        Waited::Ready(Ok(())) => reopen(run).await,
        Waited::Ready(Err(failure)) => Err(RunEnd::Unmoved { partial, failure }),
        Waited::Stopped | Waited::Leaving => Err(stop(run).await),
    }
}

/// Maps the end of a run whose worker has sent no text after a move. The state at the earlier worker
/// remains valid.
fn revert_move(origin: Partial, end: RunEnd) -> RunEnd {
    match end {
        RunEnd::Done(_) | RunEnd::Rejected(_) | RunEnd::Unmoved { .. } => end,
        RunEnd::Stopped { healthy: true, .. } => RunEnd::Stopped {
            partial: origin,
            healthy: true,
        },
        _ => RunEnd::Unmoved {
            partial: origin,
            failure: Failure::Resume,
        },
    }
}

async fn open(run: &mut Run) -> Result<EngineStream, RunEnd> {
    let item = &run.input.items[run.item];
    let request = Generate {
        id: run.from.request.clone(),
        body: Arc::new(body(item, &run.model)),
    };
    match run.wait(run.engine.open(run.address, &request)).await {
        Waited::Ready(Ok(stream)) => Ok(stream),
        Waited::Ready(Err(error)) => on_refused(run, error).await,
        Waited::Stopped | Waited::Leaving => Err(stop(run).await),
    }
}

async fn reopen(run: &mut Run) -> Result<EngineStream, RunEnd> {
    let resumed = run
        .engine
        .resume(run.address, &run.from.request, run.from.next);
    match run.wait(resumed).await {
        Waited::Ready(Ok(stream)) => Ok(stream),
        Waited::Ready(Err(e)) if e.reason == Reason::NotFound => Err(RunEnd::Gone),
        Waited::Ready(Err(_)) => Err(run.stopped(false)),
        Waited::Stopped | Waited::Leaving => Err(stop(run).await),
    }
}

/// Maps the error of a request that the engine did not start to answer.
async fn on_refused(run: &mut Run, error: RequestError) -> Result<EngineStream, RunEnd> {
    match (error.reason, error.verdict) {
        (Reason::Invalid, _) => Err(RunEnd::Rejected(error.message)),
        (_, Verdict::NotRun) => Err(RunEnd::NotRun),
        (_, Verdict::MayHaveRun) => recover(run, error).await,
    }
}

/// Resumes the stream if the engine started it before the connection failed. An engine without the
/// stream has failed the item if it answered with an error, and was lost if it closed the connection,
/// even if it answers again by now.
async fn recover(run: &mut Run, error: RequestError) -> Result<EngineStream, RunEnd> {
    run.from.fault = match error.reason {
        Reason::Timeout => Fault::Silent,
        _ => Fault::Broken,
    };
    match reopen(run).await {
        Err(RunEnd::Gone) if error.reason == Reason::TargetFailed => {}
        Err(RunEnd::Gone) => return Err(RunEnd::Lost),
        other => return other,
    }
    let healthy = run.engine.load(run.address).await.is_some();
    Err(if healthy {
        RunEnd::Failed(error.message)
    } else {
        RunEnd::Lost
    })
}

async fn read_stream(run: &mut Run, mut stream: EngineStream) -> RunEnd {
    let limit = run.input.items[run.item].result_limit();
    let mut length = escaped_len(&run.from.text);
    let mut failures = 0;
    let mut started = false;
    loop {
        match run.wait(stream.next()).await {
            Waited::Ready(Ok(Piece::Text(text))) => {
                failures = 0;
                run.from.fault = Fault::None;
                if !std::mem::replace(&mut started, true) {
                    run.guard.started();
                    run.commit_move();
                }
                length += escaped_len(&text);
                run.from.text.push_str(&text);
                run.from.next = stream.position();
                if length > limit {
                    drop(stream);
                    run.engine.cancel(run.address, &run.from.request).await;
                    return RunEnd::Rejected(too_long(limit));
                }
            }
            Waited::Ready(Ok(Piece::End(end))) => return ended(run, end),
            Waited::Ready(Err(cause)) => {
                drop(stream);
                run.from.fault = fault(cause);
                failures += 1;
                if failures > RESUME_LIMIT {
                    return abandon(run, cause).await;
                }
                stream = match reopen(run).await {
                    Ok(stream) => stream,
                    // An engine drops a stream that it ends with an error event.
                    Err(RunEnd::Gone) if cause == StreamError::Disordered => {
                        return RunEnd::Failed("the worker failed on the item".into());
                    }
                    Err(RunEnd::Gone) => return RunEnd::Lost,
                    Err(end) => return end,
                };
            }
            Waited::Leaving => return leave(run, stream, limit.saturating_sub(length)).await,
            Waited::Stopped => {
                drop(stream);
                return stop(run).await;
            }
        }
    }
}

/// Exports the state of a stream and stops it, unless it ends before the engine has sent the state.
///
/// Text that arrives meanwhile counts only if the stream ends: the state may lack it.
async fn leave(run: &mut Run, mut stream: EngineStream, room: usize) -> RunEnd {
    let exported = run
        .engine
        .export(run.address, &run.from.request, run.state_limit);
    let exported = async { Left::Exported(exported.await) };
    let ended = async {
        match read_rest(&mut stream, room).await {
            Some((text, end)) => Left::Ended(text, end),
            None => std::future::pending().await,
        }
    };
    match smol::future::or(ended, exported).await {
        Left::Ended(text, end) => {
            run.from.text.push_str(&text);
            self::ended(run, end)
        }
        Left::Exported(state) => {
            run.from.state = state.map(Arc::new);
            drop(stream);
            stop(run).await
        }
    }
}

/// Reads a stream to its end, or returns `None` when it breaks or sends more than `room` bytes.
async fn read_rest(stream: &mut EngineStream, room: usize) -> Option<(String, End)> {
    let mut rest = String::new();
    loop {
        match stream.next().await.ok()? {
            Piece::Text(text) => rest.push_str(&text),
            Piece::End(end) => return Some((rest, end)),
        }
        if escaped_len(&rest) > room {
            return None;
        }
    }
}

fn fault(cause: StreamError) -> Fault {
    match cause {
        StreamError::Stalled => Fault::Silent,
        StreamError::Closed => Fault::Broken,
        StreamError::Disordered => Fault::None,
    }
}

fn ended(run: &mut Run, end: End) -> RunEnd {
    if end.finish.as_ref() == FINISH_ERROR {
        return RunEnd::Failed("the worker ended the item with an error".into());
    }
    RunEnd::Done(std::mem::take(&mut run.from.text).into())
}

async fn stop(run: &mut Run) -> RunEnd {
    run.engine.cancel(run.address, &run.from.request).await;
    run.stopped(true)
}

/// Abandons a stream that fails repeatedly without progress.
async fn abandon(run: &mut Run, cause: StreamError) -> RunEnd {
    run.engine.cancel(run.address, &run.from.request).await;
    match cause {
        StreamError::Stalled | StreamError::Closed => run.stopped(false),
        StreamError::Disordered => RunEnd::Lost,
    }
}

impl Run {
    /// Commits a move at the first text of this worker: the state at the earlier one is obsolete.
    fn commit_move(&mut self) {
        if let Some(origin) = self.origin.take() {
            let (from, to, tokens) = (origin.worker, &self.from.worker, origin.next);
            crate::event!(
                Info,
                ItemMoved,
                "request={} from={from} to={to} tokens={tokens}",
                self.from.request
            );
        }
    }

    fn stopped(&mut self, healthy: bool) -> RunEnd {
        RunEnd::Stopped {
            partial: self.from.clone(),
            healthy,
        }
    }

    /// Waits for an engine unless online requests need the slot or the driver stops the run.
    async fn wait<T>(&self, work: impl Future<Output = T>) -> Waited<T> {
        let yielded = async {
            if self.guard.yielded.recv().await.is_err() {
                std::future::pending::<()>().await;
            }
            Waited::Stopped
        };
        let stopped = async {
            match self.stop.recv().await {
                Ok(()) => Waited::Leaving,
                Err(_) => Waited::Stopped,
            }
        };
        let work = async { Waited::Ready(work.await) };
        smol::future::or(smol::future::or(yielded, stopped), work).await
    }
}

fn body(item: &Item, model: &ModelId) -> serde_json::Value {
    json!({
        "model": model,
        "messages": [{"role": "user", "content": item.prompt}],
        "max_tokens": item.max_tokens,
        "stream": true,
    })
}

fn too_long(limit: usize) -> Arc<str> {
    format!("the result is over {limit} bytes; lower max_tokens or the length asked for").into()
}
