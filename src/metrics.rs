//! Metrics in the Prometheus format, recorded through typed functions.

use std::{sync::OnceLock, time::Duration};

use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram, MeterProvider},
};
use opentelemetry_sdk::{Resource, metrics::SdkMeterProvider};
use prometheus::{Encoder, Registry, TextEncoder};

use crate::{
    ids::{Revision, Set, TeamId},
    mutex::{Mutex, lock},
    verdict::{Reason, Verdict},
};

/// Bucket bounds of the time histograms, in seconds.
const TIME_BOUNDS: [f64; 11] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.45, 0.65, 1.0, 2.5, 10.0,
];

/// Maximum number of teams with a label of their own.
const MAX_TEAMS: usize = 256;

/// How an online request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The caller received the complete response.
    Complete,
    /// It was refused or failed.
    Failed(Reason, Verdict),
    /// The caller closed the connection.
    Abandoned,
}

/// How a batch item ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ItemStatus {
    /// It has a result.
    Completed,
    /// It failed permanently.
    Failed,
    /// Its only run may or may not have completed.
    MayHaveRun,
}

/// A call to the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlatformCall {
    /// Read of an object.
    Get,
    /// Read of a list of objects.
    List,
    /// Wait for changes.
    Watch,
    /// Creation of an object.
    Create,
    /// Conditional update of an object.
    Update,
    /// Removal of an object.
    Delete,
    /// Read of the instance list.
    Instances,
    /// Registration on the instance list.
    Register,
}

/// How a call to the platform ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// It was answered.
    Done,
    /// The object or history is missing, or the object has another version.
    Conflict,
    /// It was refused or could not be sent.
    Refused,
    /// No answer came.
    Unknown,
}

/// How a routed call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEnd {
    /// A worker's answer was forwarded completely.
    Answered,
    /// A worker answered with a failure.
    WorkerFailed,
    /// It was refused and has not run.
    NotRun,
    /// It may have run, and there is no answer.
    MayHaveRun,
    /// It reached its time limit.
    TimedOut,
    /// Its answer broke off.
    Broken,
    /// The caller closed the connection.
    CallerLeft,
}

/// Evidence on whether an answer that ended with its connection is whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndEvidence {
    /// A worker that was asked for the rest marked the end of its empty answer.
    Framed,
    /// Another worker that was asked for the rest had none, and outlived that answer.
    Agreed,
    /// The worker outlived the answer.
    Outlived,
    /// A worker that was asked for the rest had one.
    Torn,
    /// The answer holds nothing, which a whole one does not.
    Empty,
    /// Nothing shows that the answer is whole.
    InDoubt,
}

impl EndEvidence {
    /// Returns the name for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Framed => "framed",
            Self::Agreed => "agreed",
            Self::Outlived => "outlived",
            Self::Torn => "torn",
            Self::Empty => "empty",
            Self::InDoubt => "in-doubt",
        }
    }
}

/// State of an instance, as its gauges show it.
#[derive(Debug, Clone, Copy, Default)]
pub struct InstanceState {
    /// Version of the configuration in force.
    pub config: u64,
    /// Revision of the newest change of the workers.
    pub workers_revision: u64,
    /// Workers that take requests.
    pub workers: u64,
    /// Other instances that are live.
    pub peers: u64,
    /// Whether the object store is reachable.
    pub store: bool,
    /// Whether this instance watches the object store for its zone.
    pub watcher: bool,
    /// Calls that wait for a worker.
    pub queue: u64,
    /// Batch jobs that this instance runs.
    pub jobs: u64,
    /// Tokens of batch items without a result.
    pub waiting: u64,
    /// Groups of parts of prompts that are kept from the workers.
    pub blocks: u64,
    /// Workers that announced in an answer that they leave.
    pub leaving: u64,
    /// Workers that announced how many requests a second they take.
    pub limited: u64,
    /// Whether this instance is cut off from all workers.
    pub cut_off: bool,
    /// Connections to workers that are carried for other instances.
    pub carried: u64,
    /// Time in ms since the configuration was known to be the newest; 0 if that was never checked.
    pub unconfirmed: u64,
    /// Teams whose quota this instance counts.
    pub led_teams: u64,
    /// Workers that failed at this instance or its neighbours in the last seconds.
    pub troubled: u64,
}

/// How a call of a team ended at its admission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TeamEnd {
    /// It was admitted.
    Admitted,
    /// It had no key of a team.
    Unknown,
    /// The quota was used up.
    OverQuota,
    /// Key or quota could not be checked.
    Unchecked,
}

/// A call to another entry instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerCall {
    /// Forwarded call of a caller for a batch job.
    Job,
    /// Read of configuration and workers.
    Snapshot,
    /// Handover of a batch job.
    HandOver,
    /// Check of a batch job that no instance runs.
    Check,
    /// Connection to a worker that is carried for the caller.
    Carry,
    /// Exchange of digests.
    Exchange,
    /// Pull of changes.
    Changes,
    /// Notification of online requests.
    Online,
}

/// Direction of traffic.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// Received.
    In,
    /// Sent.
    Out,
}

impl PlatformCall {
    fn as_str(self) -> &'static str {
        match self {
            PlatformCall::Get => "get",
            PlatformCall::List => "list",
            PlatformCall::Watch => "watch",
            PlatformCall::Create => "create",
            PlatformCall::Update => "update",
            PlatformCall::Delete => "delete",
            PlatformCall::Instances => "instances",
            PlatformCall::Register => "register",
        }
    }
}

impl CallEnd {
    fn as_str(self) -> &'static str {
        match self {
            CallEnd::Answered => "answered",
            CallEnd::WorkerFailed => "worker-failed",
            CallEnd::NotRun => "not-run",
            CallEnd::MayHaveRun => "may-have-run",
            CallEnd::TimedOut => "timed-out",
            CallEnd::Broken => "broken",
            CallEnd::CallerLeft => "caller-left",
        }
    }
}

impl TeamEnd {
    fn as_str(self) -> &'static str {
        match self {
            TeamEnd::Admitted => "admitted",
            TeamEnd::Unknown => "unknown",
            TeamEnd::OverQuota => "over-quota",
            TeamEnd::Unchecked => "unchecked",
        }
    }
}

impl PeerCall {
    fn as_str(self) -> &'static str {
        match self {
            PeerCall::Job => "job",
            PeerCall::Snapshot => "snapshot",
            PeerCall::HandOver => "hand-over",
            PeerCall::Check => "check",
            PeerCall::Carry => "carry",
            PeerCall::Exchange => "exchange",
            PeerCall::Changes => "changes",
            PeerCall::Online => "online",
        }
    }
}

struct Instruments {
    registry: Registry,
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    first_token: Histogram<f64>,
    items: Counter<u64>,
    platform: Counter<u64>,
    peer_calls: Counter<u64>,
    peer_bytes: Counter<u64>,
    connection_ends: Counter<u64>,
    revision: Gauge<u64>,
    calls: Counter<u64>,
    call_time: Histogram<f64>,
    queue_time: Histogram<f64>,
    platform_time: Histogram<f64>,
    state: [Gauge<u64>; 17],
    team_calls: Counter<u64>,
    quota_time: Histogram<f64>,
    teams: Mutex<Set<TeamId>>,
}

/// Names of the gauges of [`InstanceState`], in the order of its fields.
const STATE_GAUGES: [&str; 17] = [
    "gentianpath_config_version",
    "gentianpath_workers_revision",
    "gentianpath_workers",
    "gentianpath_peers",
    "gentianpath_store_reached",
    "gentianpath_watcher",
    "gentianpath_queue",
    "gentianpath_jobs",
    "gentianpath_waiting_tokens",
    "gentianpath_blocked_parts",
    "gentianpath_leaving_workers",
    "gentianpath_limited_workers",
    "gentianpath_cut_off",
    "gentianpath_carried_connections",
    "gentianpath_config_unconfirmed_ms",
    "gentianpath_led_teams",
    "gentianpath_troubled_workers",
];

fn instruments() -> &'static Instruments {
    static INSTRUMENTS: OnceLock<Instruments> = OnceLock::new();
    INSTRUMENTS.get_or_init(build)
}

fn build() -> Instruments {
    let registry = Registry::new();
    let resource = Resource::builder().with_service_name("gentianpath").build();
    let mut provider = SdkMeterProvider::builder().with_resource(resource);
    let exporter = opentelemetry_prometheus::exporter()
        .with_registry(registry.clone())
        .build();
    match exporter {
        Ok(exporter) => provider = provider.with_reader(exporter),
        Err(e) => log::warn!("metrics are not exported: {e}"),
    }
    let provider = provider.build();
    let meter = provider.meter("gentianpath");
    let seconds = |name: &'static str| {
        let histogram = meter.f64_histogram(name).with_unit("s");
        histogram.with_boundaries(TIME_BOUNDS.to_vec()).build()
    };
    Instruments {
        requests: meter.u64_counter("gentianpath_requests").build(),
        first_token: seconds("gentianpath_first_token"),
        calls: meter.u64_counter("gentianpath_calls").build(),
        call_time: seconds("gentianpath_call_time"),
        queue_time: seconds("gentianpath_queue_time"),
        platform_time: seconds("gentianpath_platform_time"),
        state: STATE_GAUGES.map(|name| meter.u64_gauge(name).build()),
        items: meter.u64_counter("gentianpath_batch_items").build(),
        platform: meter.u64_counter("gentianpath_platform_calls").build(),
        peer_calls: meter.u64_counter("gentianpath_peer_calls").build(),
        peer_bytes: meter.u64_counter("gentianpath_peer_bytes").build(),
        connection_ends: meter.u64_counter("gentianpath_connection_ends").build(),
        revision: meter.u64_gauge("gentianpath_sheet_revision").build(),
        team_calls: meter.u64_counter("gentianpath_team_calls").build(),
        quota_time: seconds("gentianpath_quota_time"),
        teams: Mutex::default(),
        registry,
        _provider: provider,
    }
}

/// Counts a call at its admission. Teams beyond the first `MAX_TEAMS` share a label.
pub fn team_call(team: &str, end: TeamEnd) {
    let instruments = instruments();
    let is_named = {
        let mut teams = lock(&instruments.teams);
        teams.contains(team) || teams.len() < MAX_TEAMS && teams.insert(team.into())
    };
    let label = if is_named { team } else { "other" };
    let labels = [
        KeyValue::new("team", label.to_owned()),
        KeyValue::new("outcome", end.as_str()),
    ];
    instruments.team_calls.add(1, &labels);
}

/// Records the time for which a call waited for the leader of its team.
pub fn quota_time(time: Duration) {
    instruments().quota_time.record(time.as_secs_f64(), &[]);
}

/// Counts an online request.
pub fn request(outcome: RequestOutcome) {
    let (result, verdict) = match outcome {
        RequestOutcome::Complete => ("complete", "run"),
        RequestOutcome::Failed(reason, verdict) => (reason.as_str(), verdict.as_str()),
        RequestOutcome::Abandoned => ("abandoned", Verdict::MayHaveRun.as_str()),
    };
    let labels = [
        KeyValue::new("outcome", result),
        KeyValue::new("verdict", verdict),
    ];
    instruments().requests.add(1, &labels);
}

/// Records the time from the arrival of a request to its first token.
pub fn first_token(time: Duration) {
    instruments().first_token.record(time.as_secs_f64(), &[]);
}

/// Counts batch items whose results were committed.
pub fn items(status: ItemStatus, count: u64) {
    let status = match status {
        ItemStatus::Completed => "completed",
        ItemStatus::Failed => "failed",
        ItemStatus::MayHaveRun => "may-have-run",
    };
    instruments()
        .items
        .add(count, &[KeyValue::new("status", status)]);
}

/// Counts a call to the platform.
pub fn platform_call(call: PlatformCall, outcome: CallOutcome) {
    let outcome = match outcome {
        CallOutcome::Done => "done",
        CallOutcome::Conflict => "conflict",
        CallOutcome::Refused => "refused",
        CallOutcome::Unknown => "unknown",
    };
    let labels = [
        KeyValue::new("call", call.as_str()),
        KeyValue::new("outcome", outcome),
    ];
    instruments().platform.add(1, &labels);
}

/// Counts a routed call and records the time from its arrival to its end.
pub fn call(end: CallEnd, time: Duration) {
    let labels = [KeyValue::new("end", end.as_str())];
    instruments().calls.add(1, &labels);
    instruments().call_time.record(time.as_secs_f64(), &labels);
}

/// Records how long a call waited for a worker.
pub fn queue_time(time: Duration) {
    instruments().queue_time.record(time.as_secs_f64(), &[]);
}

/// Records how long the platform took to answer a call.
pub fn platform_time(call: PlatformCall, time: Duration) {
    let labels = [KeyValue::new("call", call.as_str())];
    instruments()
        .platform_time
        .record(time.as_secs_f64(), &labels);
}

/// Sets the gauges of the state of the instance.
pub fn instance_state(state: &InstanceState) {
    let values = [
        state.config,
        state.workers_revision,
        state.workers,
        state.peers,
        state.store.into(),
        state.watcher.into(),
        state.queue,
        state.jobs,
        state.waiting,
        state.blocks,
        state.leaving,
        state.limited,
        state.cut_off.into(),
        state.carried,
        state.unconfirmed,
        state.led_teams,
        state.troubled,
    ];
    for (gauge, value) in instruments().state.iter().zip(values) {
        gauge.record(value, &[]);
    }
}

/// Counts a call to another entry instance.
pub fn peer_call(call: PeerCall, answered: bool) {
    let outcome = if answered { "answered" } else { "failed" };
    let labels = [
        KeyValue::new("call", call.as_str()),
        KeyValue::new("outcome", outcome),
    ];
    instruments().peer_calls.add(1, &labels);
}

/// Counts an answer that ended with its connection.
pub fn connection_end(evidence: EndEvidence) {
    let labels = [KeyValue::new("evidence", evidence.as_str())];
    instruments().connection_ends.add(1, &labels);
}

/// Counts bytes of peer connections.
pub fn peer_bytes(direction: Direction, bytes: usize) {
    let direction = match direction {
        Direction::In => "in",
        Direction::Out => "out",
    };
    let labels = [KeyValue::new("direction", direction)];
    instruments().peer_bytes.add(bytes as u64, &labels);
}

/// Sets the revision of the sheet in force.
pub fn sheet_revision(revision: Revision) {
    instruments().revision.record(revision, &[]);
}

/// Returns all metrics in the Prometheus text format.
pub fn text() -> String {
    let mut buffer = Vec::new();
    if let Err(e) = TextEncoder::new().encode(&instruments().registry.gather(), &mut buffer) {
        log::warn!("metrics cannot be written: {e}");
    }
    String::from_utf8_lossy(&buffer).into_owned()
}
