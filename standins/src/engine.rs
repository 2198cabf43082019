//! State of the stand-in for an engine: streams, slots, load and faults.

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use clap::Parser;
use serde::{Deserialize, Serialize};
use smol::channel::{Receiver, Sender};

use crate::{
    faults::{Bound, Gate, GateFaults, PathFault},
    kv::ExportFault,
    orders::{Loaded, OrderRecord},
    prefix::PrefixCache,
    queue::SlotQueue,
    stream_faults::{self, StreamFault},
};

/// Number of past load reports that are kept, so that the report can lag.
const REPORT_LIMIT: usize = 4096;

/// Runs a stand-in for a model engine, or for a plain service with `--service`.
#[derive(Debug, Clone)]
#[derive(Parser)]
pub struct Options {
    /// Address to listen on; port 0 takes a free one and prints it.
    #[arg(long, value_name = "IP:PORT", default_value = "127.0.0.1:0")]
    pub address: SocketAddr,
    /// Address to register on the instance list, if a proxy forwards from there.
    #[arg(long, value_name = "IP:PORT")]
    pub advertise: Option<SocketAddr>,
    /// Name of the target.
    #[arg(long, value_name = "NAME", default_value = "engine-1")]
    pub id: String,
    /// Availability zone.
    #[arg(long, value_name = "ZONE", default_value = "zone-a")]
    pub zone: String,
    /// Maximum number of running streams.
    #[arg(long, value_name = "COUNT", default_value_t = 8)]
    pub slots: usize,
    /// Maximum number of streams that wait for a slot; further ones get 429.
    #[arg(long, value_name = "COUNT", default_value_t = 1024)]
    pub max_waiting: usize,
    /// Model that is loaded at the start; none if omitted.
    #[arg(long, value_name = "MODEL")]
    pub model: Option<String>,
    /// Version of the model.
    #[arg(long, value_name = "VERSION", default_value = "1")]
    pub version: String,
    /// Role at the start.
    #[arg(long, value_name = "ROLE", default_value = "")]
    pub role: String,
    /// Time per token of a single running stream, in milliseconds.
    #[arg(long, value_name = "MS", default_value_t = 5.0)]
    pub token_ms: f64,
    /// Time to the first token for each prompt block that is not cached, in milliseconds.
    #[arg(long, value_name = "MS", default_value_t = 1.0)]
    pub prefill_ms: f64,
    /// Capacity of the prefix cache, in prompt blocks.
    #[arg(long, value_name = "COUNT", default_value_t = 4096)]
    pub prefix_blocks: usize,
    /// Stopped and finished streams whose state is kept.
    #[arg(long, value_name = "COUNT", default_value_t = 256)]
    pub keep: usize,
    /// Time that the load report lags behind, in milliseconds.
    #[arg(long, value_name = "MS", default_value_t = 0)]
    pub load_lag_ms: u64,
    /// Time that cache events lag behind, in milliseconds.
    #[arg(long, value_name = "MS", default_value_t = 0)]
    pub event_lag_ms: u64,
    /// Time that loading a model takes, in milliseconds.
    #[arg(long, value_name = "MS", default_value_t = 50)]
    pub load_ms: u64,
    /// Refuse an order whose fencing number is lower than an earlier one.
    #[arg(long)]
    pub check_fence: bool,
    /// Platform to register at.
    #[arg(long, value_name = "IP:PORT")]
    pub platform: Option<SocketAddr>,
    /// Weight store to read from when a model is loaded.
    #[arg(long, value_name = "IP:PORT")]
    pub weights: Option<SocketAddr>,
    /// Plain service to stand in for instead of a model engine.
    #[arg(long, value_name = "NAME")]
    pub service: Option<String>,
    /// Time that a call of a plain service takes, in milliseconds.
    #[arg(long, value_name = "MS", default_value_t = 0)]
    pub service_ms: u64,
    /// Time limit of running streams after SIGTERM, in milliseconds.
    #[arg(long, value_name = "MS", default_value_t = 30_000)]
    pub leave_ms: u64,
}

/// Faults of an engine. Each `POST /faults` replaces all of them.
#[derive(Debug, Clone, Default)]
#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Delay, outage and cuts.
    pub gate: GateFaults,
    /// Faults of streams; the first match applies.
    pub streams: Vec<StreamFault>,
    /// New requests to refuse as not run.
    pub refuse: Option<Bound>,
    /// Calls that take effect and get no answer, except for streams.
    pub lost: Option<PathFault>,
    /// Exports that answer with a wrong state.
    pub export: Option<ExportFault>,
    /// Tokens of all streams after which the process ends; 0 ends it at once.
    pub die_after_tokens: Option<u64>,
    /// Marks the engine as leaving. Later changes of faults do not undo this.
    pub leaving: bool,
    /// Lag of the load report, in milliseconds, instead of the option's.
    pub load_lag_ms: Option<u64>,
    /// Lag of cache events, in milliseconds, instead of the option's.
    pub event_lag_ms: Option<u64>,
    /// Number of next cache events to drop.
    pub event_gap: u32,
}

/// State of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum RunState {
    /// Waiting for a slot or running.
    Running,
    /// Completed.
    Done,
    /// Stopped by a cancel order; its state is kept.
    Cancelled,
    /// Stopped because its connection closed; its state is kept.
    Stopped,
    /// Ended by an error.
    Failed,
}

/// One run of a request, as the ledger lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Run {
    /// Id of the request.
    pub request: Arc<str>,
    /// Prompt.
    pub prompt: Arc<str>,
    /// Requested tokens.
    pub max_tokens: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// State.
    pub state: RunState,
    /// Number of resumes of the stream.
    pub resumes: u32,
    /// Whether the state came from another engine.
    pub imported: bool,
    /// Tokens that came with the state of another engine; they were not generated here.
    pub taken: u64,
    /// Prompt blocks that were computed, because they were not cached.
    pub prefilled: u64,
    /// Time of the start, in milliseconds since the engine started.
    pub started_ms: u64,
    /// Times at which a cancel order or a closed connection stopped the stream, in microseconds
    /// since 1970-01-01 UTC, so that a load program on the same machine can compare them.
    #[serde(default)]
    pub stopped_at_us: Vec<u64>,
    /// Time at which the stream completed or failed, on the same clock.
    #[serde(default)]
    pub ended_at_us: Option<u64>,
}

impl Run {
    /// Ends a stream that completed or failed.
    pub fn end(&mut self, state: RunState) {
        self.ended_at_us = Some(unix_us());
        self.state = state;
    }

    /// Stops a running stream.
    fn stop(&mut self, state: RunState) {
        if self.state == RunState::Running {
            self.stopped_at_us.push(unix_us());
            self.state = state;
        }
    }
}

/// A call of a plain service, as the ledger lists it.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub struct ServiceCall {
    /// HTTP method.
    pub method: String,
    /// Path with query.
    pub path: String,
    /// Body.
    pub body: String,
    /// Value of the header `Idempotency-Key`.
    pub key: String,
}

/// Load report, as `GET /load` returns it.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub struct Report {
    running: usize,
    slots: usize,
    waiting: usize,
    model: Option<String>,
    adapters: Vec<String>,
    version: String,
    role: String,
    leaving: bool,
    loading: Option<String>,
}

/// A stream whose state the engine keeps.
#[derive(Debug)]
pub struct Stream {
    /// Index of its run in the ledger.
    pub run: usize,
    epoch: u64,
    /// Dropped to detach the connection that the stream is sent to.
    connection: Option<Sender<()>>,
}

/// Attachment of a connection to a stream.
#[derive(Debug)]
pub struct Attachment {
    /// Stream.
    pub id: Arc<str>,
    /// Prompt.
    pub prompt: Arc<str>,
    /// Requested tokens.
    pub max_tokens: u64,
    /// Number of the next event.
    pub seq: u64,
    /// Whether the stream is resumed.
    pub resumed: bool,
    /// Number of the connection.
    pub epoch: u64,
    /// Closes when another connection takes over the stream, or a cancel order ends it.
    pub detached: Receiver<()>,
}

/// Why a stream cannot be resumed or exported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResumeError {
    /// The engine does not have the stream.
    Unknown,
    /// The stream has not reached the requested event.
    Ahead,
}

/// Mutable state of an engine.
#[derive(Debug)]
pub struct State {
    /// Runs, in the order of their starts.
    pub runs: Vec<Run>,
    /// Calls of the plain service.
    pub calls: Vec<ServiceCall>,
    /// Streams by request id.
    pub streams: HashMap<Arc<str>, Stream>,
    /// Slots and the queue for them.
    pub queue: SlotQueue,
    /// Prefix cache.
    pub prefix: PrefixCache,
    /// Loaded model and adapters.
    pub loaded: Loaded,
    /// Applied and refused orders.
    pub orders: Vec<OrderRecord>,
    /// Whether the engine is about to stop.
    pub leaving: bool,
    /// Requests refused as not run.
    pub refused: u64,
    /// Requests refused as invalid.
    pub invalid: u64,
    /// Faults.
    pub faults: Faults,
    /// Time of the last change of faults.
    pub since: Instant,
    keep: usize,
    kept: VecDeque<Arc<str>>,
    epoch: u64,
    reports: VecDeque<(Instant, Report)>,
}

/// An engine. Clones share the state.
#[derive(Debug, Clone)]
pub struct Engine {
    /// Options.
    pub options: Arc<Options>,
    /// Common faults.
    pub gate: Arc<Gate>,
    /// Time of the start.
    pub started: Instant,
    state: Arc<Mutex<State>>,
}

impl Engine {
    /// Creates an idle engine.
    pub fn new(options: Options) -> Self {
        let state = State {
            runs: Vec::new(),
            calls: Vec::new(),
            streams: HashMap::new(),
            queue: SlotQueue::new(options.slots),
            prefix: PrefixCache::new(options.prefix_blocks),
            loaded: Loaded::new(&options),
            orders: Vec::new(),
            leaving: false,
            refused: 0,
            invalid: 0,
            faults: Faults::default(),
            since: Instant::now(),
            keep: options.keep,
            kept: VecDeque::new(),
            epoch: 0,
            reports: VecDeque::new(),
        };
        Self {
            options: Arc::new(options),
            gate: Arc::default(),
            started: Instant::now(),
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Locks the state.
    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the time since the start, in milliseconds.
    pub fn uptime_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: Faults) {
        if faults.die_after_tokens == Some(0) {
            crash();
        }
        self.gate.set(faults.gate.clone());
        let mut state = self.lock();
        state.prefix.drop_events(faults.event_gap);
        state.leaving |= faults.leaving;
        state.since = Instant::now();
        state.faults = faults;
        self.record_report(&mut state);
    }

    /// Marks the engine as leaving: it takes no new work.
    pub fn leave(&self) {
        let mut state = self.lock();
        state.leaving = true;
        self.record_report(&mut state);
    }

    /// Records the current load, so that a lagging report can be answered from it.
    pub fn record_report(&self, state: &mut State) {
        let report = Report {
            running: state.queue.running(),
            slots: self.options.slots,
            waiting: state.queue.waiting(),
            model: state.loaded.model.clone(),
            adapters: state.loaded.adapters.clone(),
            version: state.loaded.version.clone(),
            role: state.loaded.role.clone(),
            leaving: state.leaving,
            loading: state.loaded.loading.clone(),
        };
        state.reports.push_back((Instant::now(), report));
        if state.reports.len() > REPORT_LIMIT {
            state.reports.pop_front();
        }
    }

    /// Returns the latest load report that is older than the lag.
    pub fn report(&self) -> Option<Report> {
        let mut state = self.lock();
        if state.reports.is_empty() {
            self.record_report(&mut state);
        }
        let lag = state.faults.load_lag_ms.unwrap_or(self.options.load_lag_ms);
        let lag = Duration::from_millis(lag);
        let mut latest = state.reports.iter().rev();
        let visible = latest.find(|(at, _)| at.elapsed() >= lag);
        visible
            .or(state.reports.front())
            .map(|(_, report)| report.clone())
    }
}

impl State {
    /// Starts a run and attaches its connection.
    pub fn begin(&mut self, run: Run) -> Attachment {
        let id = run.request.clone();
        self.cancel(&id);
        self.runs.push(run);
        let stream = Stream {
            run: self.runs.len() - 1,
            epoch: 0,
            connection: None,
        };
        self.streams.insert(id.clone(), stream);
        self.attach(&id, 0).expect("the stream was just inserted")
    }

    /// Resumes a stream from an event and detaches its previous connection.
    ///
    /// # Errors
    ///
    /// Returns why the stream cannot be resumed.
    pub fn resume(&mut self, id: &Arc<str>, from: u64) -> Result<Attachment, ResumeError> {
        let mut attachment = self.attach(id, from)?;
        attachment.resumed = true;
        let run = &mut self.runs[self.streams[id].run];
        run.resumes += 1;
        if run.tokens < run.max_tokens {
            run.state = RunState::Running;
        }
        Ok(attachment)
    }

    fn attach(&mut self, id: &Arc<str>, seq: u64) -> Result<Attachment, ResumeError> {
        let stream = self.streams.get_mut(id).ok_or(ResumeError::Unknown)?;
        let run = &self.runs[stream.run];
        if seq > run.tokens {
            return Err(ResumeError::Ahead);
        }
        let (connection, detached) = smol::channel::bounded(1);
        self.epoch += 1;
        stream.epoch = self.epoch;
        stream.connection = Some(connection);
        Ok(Attachment {
            id: id.clone(),
            prompt: run.prompt.clone(),
            max_tokens: run.max_tokens,
            seq,
            resumed: false,
            epoch: self.epoch,
            detached,
        })
    }

    /// Detaches a connection; a stream that is still running is stopped and kept.
    pub fn detach(&mut self, attachment: &Attachment) {
        let Some(stream) = self.streams.get_mut(&attachment.id) else {
            return;
        };
        if stream.epoch != attachment.epoch {
            return;
        }
        stream.connection = None;
        self.runs[stream.run].stop(RunState::Stopped);
        self.keep(attachment.id.clone());
    }

    /// Cancels a stream and returns whether the engine has it.
    pub fn cancel(&mut self, id: &str) -> bool {
        let Some(stream) = self.streams.get_mut(id) else {
            return false;
        };
        let run = &mut self.runs[stream.run];
        run.stop(RunState::Cancelled);
        if run.state == RunState::Stopped {
            run.state = RunState::Cancelled;
        }
        stream.connection = None;
        true
    }

    /// Ends a stream with an error and drops its state.
    pub fn fail(&mut self, id: &str) {
        if let Some(stream) = self.streams.remove(id) {
            self.runs[stream.run].end(RunState::Failed);
        }
    }

    /// Ends all running streams with an error, because their model was unloaded.
    pub fn fail_all(&mut self) {
        let streams = std::mem::take(&mut self.streams);
        for stream in streams.into_values() {
            let run = &mut self.runs[stream.run];
            if run.state == RunState::Running {
                run.end(RunState::Failed);
            }
        }
    }

    /// Returns the run of a stream.
    pub fn run_mut(&mut self, id: &str) -> Option<&mut Run> {
        let stream = self.streams.get(id)?;
        self.runs.get_mut(stream.run)
    }

    /// Keeps the state of a detached stream, and drops the oldest ones beyond the limit.
    pub fn keep(&mut self, id: Arc<str>) {
        self.kept.push_back(id);
        while self.kept.len() > self.keep
            && let Some(oldest) = self.kept.pop_front()
        {
            let idle = |stream: &Stream| stream.connection.is_none();
            if self.streams.get(&oldest).is_some_and(idle) && !self.kept.contains(&oldest) {
                self.streams.remove(&oldest);
            }
        }
    }

    /// Takes the fault that applies to a new connection.
    pub fn pick_fault(&mut self, attachment: &Attachment) -> Option<StreamFault> {
        stream_faults::pick(
            &mut self.faults.streams,
            &attachment.prompt,
            attachment.resumed,
        )
    }

    /// Counts a token of any stream; ends the process when `die_after_tokens` is reached.
    pub fn count_token(&mut self) {
        if let Some(left) = &mut self.faults.die_after_tokens {
            *left -= 1;
            if *left == 0 {
                crash();
            }
        }
    }
}

fn unix_us() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_micros() as u64
}

/// Ends the process like a crash: nothing is completed or reported.
pub fn crash() -> ! {
    const CRASH_CODE: i32 = 101;
    std::process::exit(CRASH_CODE)
}
