//! Generation of tokens at the rate of a batching engine, and their transfer to the caller.

use std::{io, sync::Arc, time::Duration};

use async_io::Timer;
use futures::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use serde::Serialize;
use smol::channel::Receiver;

use crate::{
    engine::{self, Attachment, Engine, RunState},
    queue::Ticket,
    stream_faults::{StreamFault, StreamFaultKind},
    text,
};

/// Prompt marker of a request that always fails while the engine stays healthy.
pub const FAIL_MARKER: &str = "[[fail]]";
/// Prompt marker of a request that ends the process.
pub const CRASH_MARKER: &str = "[[crash]]";
/// Prompt marker of a request that is refused as invalid.
pub const INVALID_MARKER: &str = "[[invalid]]";
/// Tokens that a stream with [`FAIL_MARKER`] or [`CRASH_MARKER`] generates before it fails.
pub const TOKENS_BEFORE_FAILURE: u64 = 2;

/// One step of a generation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// A token.
    Token(String),
    /// The end after a number of tokens.
    Done(u64),
    /// An error.
    Failed,
}

/// Generates the tokens of one stream. Dropping it releases the slot and stops the stream.
#[derive(Debug)]
pub struct Producer {
    engine: Engine,
    attachment: Attachment,
    slot: Option<Ticket>,
}

impl Producer {
    /// Creates a producer for a connection that is attached to a stream.
    pub fn new(engine: Engine, attachment: Attachment) -> Self {
        Self {
            engine,
            attachment,
            slot: None,
        }
    }

    /// Returns the receiver that closes when the connection is detached from the stream.
    pub fn detached(&self) -> Receiver<()> {
        self.attachment.detached.clone()
    }

    /// Waits for the next step. Tokens that were generated earlier are returned without delay.
    pub async fn next(&mut self) -> Step {
        let seq = self.attachment.seq;
        if seq >= self.attachment.max_tokens {
            self.finish(RunState::Done);
            return Step::Done(seq);
        }
        if seq >= self.generated() {
            self.generate().await;
            if seq + 1 > TOKENS_BEFORE_FAILURE && self.attachment.prompt.contains(CRASH_MARKER) {
                engine::crash();
            }
        }
        if seq >= TOKENS_BEFORE_FAILURE && self.attachment.prompt.contains(FAIL_MARKER) {
            self.engine.lock().fail(&self.attachment.id);
            return Step::Failed;
        }
        self.attachment.seq += 1;
        Step::Token(text::token(&self.attachment.prompt, seq))
    }

    fn generated(&self) -> u64 {
        let mut state = self.engine.lock();
        state
            .run_mut(&self.attachment.id)
            .map_or(0, |run| run.tokens)
    }

    async fn generate(&mut self) {
        if self.slot.is_none() {
            self.take_slot().await;
        }
        Timer::after(self.token_time()).await;
        let mut state = self.engine.lock();
        if let Some(run) = state.run_mut(&self.attachment.id) {
            run.tokens += 1;
        }
        state.count_token();
    }

    async fn take_slot(&mut self) {
        let granted = {
            let mut state = self.engine.lock();
            let (ticket, granted) = state.queue.join();
            self.slot = Some(ticket);
            self.engine.record_report(&mut state);
            granted
        };
        let _ = granted.recv().await;
        if !self.attachment.resumed {
            let time = self.prefill_time();
            Timer::after(time).await;
        }
    }

    fn prefill_time(&self) -> Duration {
        let mut state = self.engine.lock();
        let missing = state.prefix.insert(&self.attachment.prompt);
        if let Some(run) = state.run_mut(&self.attachment.id) {
            run.prefilled += missing as u64;
        }
        drop(state);
        Duration::from_secs_f64(missing as f64 * self.engine.options.prefill_ms / 1000.0)
    }

    fn token_time(&self) -> Duration {
        let running = self.engine.lock().queue.running() as f64;
        let load = 1.0 + running / self.engine.options.slots as f64;
        Duration::from_secs_f64(self.engine.options.token_ms * load / 1000.0)
    }

    fn finish(&mut self, end: RunState) {
        let mut state = self.engine.lock();
        if let Some(run) = state.run_mut(&self.attachment.id) {
            run.end(end);
        }
    }
}

impl Drop for Producer {
    fn drop(&mut self) {
        let mut state = self.engine.lock();
        if let Some(ticket) = self.slot {
            state.queue.leave(ticket);
        }
        state.detach(&self.attachment);
        self.engine.record_report(&mut state);
    }
}

/// One event of a stream.
#[derive(Debug, Clone, Default)]
#[derive(Serialize)]
struct Frame {
    stream: Arc<str>,
    seq: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    done: Option<bool>,
    #[serde(skip_serializing_if = "Option::is_none")]
    finish: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    tokens: Option<u64>,
}

/// Sends a stream over a connection until the stream ends, the caller closes the connection, or the
/// connection is detached from the stream.
pub async fn forward(
    producer: Producer,
    connection: impl AsyncRead + AsyncWrite + Unpin,
    fault: Option<StreamFault>,
) {
    let (mut reader, writer) = connection.split();
    let detached = producer.detached();
    let detached = async {
        let _ = detached.recv().await;
    };
    let closed = async {
        let mut buffer = [0; 256];
        while let Ok(1..) = reader.read(&mut buffer).await {}
    };
    let writer = Writer {
        out: writer,
        sent: 0,
        fault,
        delayed: None,
        muted: false,
    };
    let written = async {
        if let Err(e) = writer.run(producer).await {
            log::debug!("stream broken: {e}");
        }
    };
    smol::future::or(smol::future::or(closed, detached), written).await;
}

/// Writes the events of a stream as chunks and applies a fault.
struct Writer<W> {
    out: W,
    sent: u64,
    fault: Option<StreamFault>,
    delayed: Option<Frame>,
    muted: bool,
}

impl<W: AsyncWrite + Unpin> Writer<W> {
    async fn run(mut self, mut producer: Producer) -> io::Result<()> {
        loop {
            let seq = producer.attachment.seq;
            let stream = producer.attachment.id.clone();
            let frame = match producer.next().await {
                Step::Token(text) => Frame {
                    stream,
                    seq,
                    text: Some(text),
                    ..Frame::default()
                },
                Step::Done(tokens) => Frame {
                    stream,
                    seq,
                    done: Some(true),
                    finish: Some("stop"),
                    tokens: Some(tokens),
                    ..Frame::default()
                },
                Step::Failed => return self.error().await,
            };
            let last = frame.done.is_some();
            self.send(frame).await?;
            if last {
                return self.end().await;
            }
        }
    }

    /// Sends an event, with the fault applied if it is due.
    async fn send(&mut self, frame: Frame) -> io::Result<()> {
        let due = self.fault.take_if(|fault| fault.after == self.sent);
        self.sent += 1;
        let Some(fault) = due else {
            self.write(&frame).await?;
            return match self.delayed.take() {
                Some(delayed) => self.write(&delayed).await,
                None => Ok(()),
            };
        };
        match fault.kind {
            StreamFaultKind::Silence => self.muted = true,
            StreamFaultKind::Truncate => return Err(io::ErrorKind::ConnectionAborted.into()),
            StreamFaultKind::Fail => {
                self.error().await?;
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            StreamFaultKind::Late => {
                Timer::after(Duration::from_millis(fault.ms)).await;
            }
            StreamFaultKind::Duplicate => self.write(&frame).await?,
            StreamFaultKind::Reorder if frame.done.is_none() => {
                self.delayed = Some(frame);
                return Ok(());
            }
            StreamFaultKind::Reorder => {}
            StreamFaultKind::Foreign => {
                let mut foreign = frame.clone();
                foreign.stream = format!("foreign-{}", frame.stream).into();
                foreign.text = foreign.text.map(|_| " foreign".into());
                self.write(&foreign).await?;
            }
            StreamFaultKind::Death => engine::crash(),
        }
        self.write(&frame).await
    }

    async fn write(&mut self, frame: &Frame) -> io::Result<()> {
        let data = serde_json::to_string(frame)?;
        self.chunk(&format!("id: {}\ndata: {data}\n\n", frame.seq))
            .await
    }

    async fn error(&mut self) -> io::Result<()> {
        self.chunk("event: error\ndata: {\"error\":{\"message\":\"generation failed\"}}\n\n")
            .await?;
        self.end().await
    }

    async fn chunk(&mut self, text: &str) -> io::Result<()> {
        if self.muted {
            return Ok(());
        }
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        self.out.write_all(chunk.as_bytes()).await?;
        self.out.flush().await
    }

    async fn end(&mut self) -> io::Result<()> {
        if self.muted {
            std::future::pending::<()>().await;
        }
        self.out.write_all(b"0\r\n\r\n").await?;
        self.out.flush().await
    }
}
