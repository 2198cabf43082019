//! Runs one batch item on an engine, yields to online requests, resumes.

use std::{net::SocketAddr, sync::Arc};

use serde_json::json;
use smol::channel::Receiver;

use crate::{
    engine::{Engine, EngineStream, Generate, Piece, StreamError},
    group::escaped,
    ids::{ModelId, RequestId, WorkerId},
    job_record::{InputRecord, Item},
    kv::{self, Failure, Transfer},
    stream::End,
    verdict::{Reason, RequestError, Verdict},
    workers::BatchGuard,
};

/// Resumes in a row without an event between them, after which a stream is given up.
const RESUME_LIMIT: u32 = 2;
/// Finish reason of a stream that the engine ended because of an error of the item.
const FINISH_ERROR: &str = "error";

/// A stream that was stopped and that its engine may still have.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Partial {
    /// Worker that ran it.
    pub worker: WorkerId,
    /// Id of the request.
    pub request: RequestId,
    /// Text so far.
    pub text: String,
    /// Number of the next event.
    pub next: u64,
    /// What the connection came to after its last event.
    pub fault: Fault,
    /// State that a leaving worker gave before the stop: an engine may end with its last stream.
    pub state: Option<Arc<Vec<u8>>>,
}

/// A fault of the connection of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// None.
    None,
    /// The engine fell silent. It may still run.
    Silent,
    /// The connection broke, as it does when the engine dies.
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
    /// The run stopped and may be resumed. `healthy` is false when the engine did not answer.
    Stopped {
        /// Where to continue.
        partial: Partial,
        /// Whether the stop was asked for.
        healthy: bool,
    },
    /// The state could not be moved to this worker. It is where it was.
    Unmoved {
        /// Where to continue.
        partial: Partial,
        /// What failed.
        failure: Failure,
    },
    /// The request did not run.
    NotRun,
    /// The engine was lost or is out of order; the item may have run.
    Lost,
    /// The engine no longer has the stream that was to be resumed; the item may have run.
    Gone,
}

/// What a run needs.
#[derive(Debug)]
pub struct Run {
    /// Client of engines.
    pub engine: Engine,
    /// Address of the worker.
    pub address: SocketAddr,
    /// Place on the worker.
    pub guard: BatchGuard,
    /// Input of the group.
    pub input: Arc<InputRecord>,
    /// Number of the item inside the group.
    pub item: usize,
    /// Model.
    pub model: ModelId,
    /// Where to start, or to continue.
    pub from: Partial,
    /// Whether the request was sent before, so that it is only resumed.
    pub resume: bool,
    /// The transfer to make before the resume.
    pub transfer: Option<Transfer>,
    /// Where to continue when a move comes to nothing; none once the worker has sent text.
    pub origin: Option<Partial>,
    /// Bytes of a state at most.
    pub most: usize,
    /// Receives a message when the run must stop because its worker is leaving, and closes when it
    /// must stop for another reason.
    pub stop: Receiver<()>,
}

/// Result of waiting for an engine unless the run must stop.
enum Waited<T> {
    Ready(T),
    Stopped,
    Leaving,
}

/// Runs an item until it ends or must stop.
///
/// The place on the worker is given back only after the engine has answered the cancel order or
/// has been silent for the stall limit, so that the worker's load is not underestimated.
pub async fn run(mut run: Run) -> RunEnd {
    let opened = match (run.transfer.take(), run.resume) {
        (Some(transfer), _) => take_over(&mut run, transfer).await,
        (None, true) => reopen(&mut run).await,
        (None, false) => open(&mut run).await,
    };
    let end = match opened {
        Ok(stream) => follow(&mut run, stream).await,
        Err(end) => end,
    };
    match run.origin.take() {
        Some(origin) => undo_move(origin, end),
        None => end,
    }
}

/// Fetches the state of a stopped stream from its worker and goes on with it here.
async fn take_over(run: &mut Run, transfer: Transfer) -> Result<EngineStream, RunEnd> {
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

/// Judges the end of a run at a worker that has sent no text after a move: the state at the earlier
/// worker still stands.
fn undo_move(origin: Partial, end: RunEnd) -> RunEnd {
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
        Waited::Ready(Err(error)) => refused(run, error).await,
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

/// Judges a request that the engine did not start to answer.
async fn refused(run: &mut Run, error: RequestError) -> Result<EngineStream, RunEnd> {
    match (error.reason, error.verdict) {
        (Reason::Invalid, _) => Err(RunEnd::Rejected(error.message)),
        (_, Verdict::NotRun) => Err(RunEnd::NotRun),
        (_, Verdict::MayHaveRun) => recover(run, error).await,
    }
}

/// The engine may have started the stream before the connection broke: then it is continued. An
/// engine that answered with an error and has no such stream has failed the item; one that broke
/// the connection and has no such stream was lost, even if it answers again by now.
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

async fn follow(run: &mut Run, mut stream: EngineStream) -> RunEnd {
    let limit = run.input.items[run.item].result_limit();
    let mut length = escaped(&run.from.text);
    let mut broken = 0;
    let mut begun = false;
    loop {
        match run.wait(stream.next()).await {
            Waited::Ready(Ok(Piece::Text(text))) => {
                broken = 0;
                run.from.fault = Fault::None;
                if !std::mem::replace(&mut begun, true) {
                    run.guard.started();
                    run.arrived();
                }
                length += escaped(&text);
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
                broken += 1;
                if broken > RESUME_LIMIT {
                    return give_up(run, cause).await;
                }
                stream = match reopen(run).await {
                    Ok(stream) => stream,
                    // An engine that ends a stream with an error event drops it.
                    Err(RunEnd::Gone) if cause == StreamError::Disordered => {
                        return RunEnd::Failed("the worker failed on the item".into());
                    }
                    Err(RunEnd::Gone) => return RunEnd::Lost,
                    Err(end) => return end,
                };
            }
            Waited::Leaving => {
                let state = run.engine.export(run.address, &run.from.request, run.most);
                run.from.state = state.await.map(Arc::new);
                drop(stream);
                return stop(run).await;
            }
            Waited::Stopped => {
                drop(stream);
                return stop(run).await;
            }
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

/// Gives up a stream that breaks again and again without progress.
async fn give_up(run: &mut Run, cause: StreamError) -> RunEnd {
    run.engine.cancel(run.address, &run.from.request).await;
    match cause {
        StreamError::Stalled | StreamError::Closed => run.stopped(false),
        StreamError::Disordered => RunEnd::Lost,
    }
}

impl Run {
    /// Notes the first text of this worker. After a move the state here is the one that stands.
    fn arrived(&mut self) {
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

    /// Waits for an engine unless online requests need the place or the driver stops the run.
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
