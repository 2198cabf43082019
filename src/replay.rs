//! `replay` command: sends a recorded trace to a running system and checks the stated outcomes.

use std::{
    io::IsTerminal,
    net::SocketAddr,
    path::Path,
    sync::Arc,
    time::{Duration, Instant},
};

use anyhow::{Context, bail};
use async_global_executor::GlobalExecutorConfig;
use async_io::Timer;
use serde::Deserialize;

use crate::{
    exit::Exit,
    http::DEFAULT_TEAM,
    replay_report::{Outcomes, Report},
    replay_run::{Job, Run, Tally},
    settings::is_name,
};

/// Number of threads that send requests.
const THREADS: usize = 4;
/// Interval of the progress line on a terminal.
const PROGRESS: Duration = Duration::from_millis(500);

/// Kind of request in a trace line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LineKind {
    /// A streamed request for text.
    Online,
    /// An item of a batch job.
    Batch,
    /// A call of a plain service.
    Plain,
}

/// Restriction on repeating a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Repeat {
    /// The request runs at most once.
    Never,
}

/// A line of a trace.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Line {
    /// Time of arrival, in milliseconds since the start.
    pub at_ms: u64,
    /// Kind.
    pub kind: LineKind,
    /// Prompt, or the body of a plain call.
    #[serde(default)]
    pub prompt: String,
    /// Maximum number of generated tokens.
    #[serde(default = "default_tokens")]
    pub max_tokens: u64,
    /// Restriction on repeats; a request without one may be repeated.
    #[serde(default)]
    pub repeat: Option<Repeat>,
    /// Team.
    #[serde(default = "default_team")]
    pub team: String,
    /// Deadline of a batch item, in seconds after its arrival.
    #[serde(default)]
    pub deadline_s: Option<u64>,
    /// Path of a plain call below its service.
    #[serde(default = "default_path")]
    pub path: String,
}

fn default_tokens() -> u64 {
    16
}

fn default_team() -> String {
    DEFAULT_TEAM.to_owned()
}

fn default_path() -> String {
    "/".to_owned()
}

/// A trace: requests with their arrival times, and the outcomes that are stated for it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Trace {
    /// Stated outcomes.
    pub outcomes: Outcomes,
    /// Lines in the order of arrival.
    pub lines: Vec<Line>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Head {
    outcomes: Outcomes,
}

impl Trace {
    /// Parses and checks the text of a trace.
    ///
    /// # Errors
    ///
    /// Returns a one-line error that names the line of the trace and what is wrong with it.
    pub fn parse(text: &str) -> anyhow::Result<Self> {
        let mut trace = Self::default();
        for (number, line) in (1..).zip(text.lines()) {
            if line.trim().is_empty() {
                continue;
            }
            if number == 1 && line.contains("\"outcomes\"") {
                let head: Head = serde_json::from_str(line).context("trace line 1")?;
                trace.outcomes = head.outcomes;
                continue;
            }
            let line: Line =
                serde_json::from_str(line).with_context(|| format!("trace line {number}"))?;
            check(number, &line)?;
            trace.lines.push(line);
        }
        trace.lines.sort_by_key(|line| line.at_ms);
        Ok(trace)
    }

    /// Returns the batch jobs: items with the same arrival time, team and deadline form one job.
    fn jobs(&self) -> Vec<Job> {
        let mut jobs: Vec<Job> = Vec::new();
        for line in self.lines.iter().filter(|l| l.kind == LineKind::Batch) {
            let existing = jobs.iter_mut().rev().find(|job| job.matches(line));
            match existing {
                Some(job) => job.items.push(line.clone()),
                None => jobs.push(Job::new(line.clone())),
            }
        }
        jobs
    }
}

fn check(number: usize, line: &Line) -> anyhow::Result<()> {
    if !is_name(&line.team) {
        bail!(
            "trace line {number}: team '{}' is not a name; use 1 to 128 of a-z, A-Z, 0-9, '-', '_'",
            line.team
        );
    }
    if line.kind == LineKind::Batch && line.deadline_s.is_none() {
        bail!("trace line {number}: a batch item has no deadline; add 'deadline_s'");
    }
    if !line.path.starts_with('/') {
        bail!(
            "trace line {number}: path '{}' does not start with '/'; add it",
            line.path
        );
    }
    Ok(())
}

/// Options of a replay besides its trace.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Callers' addresses; requests are distributed round robin.
    pub addresses: Vec<SocketAddr>,
    /// Model of online requests and batch items.
    pub model: String,
    /// Service that plain calls are sent to.
    pub service: Option<String>,
    /// Whether the report is printed as JSON.
    pub json: bool,
}

/// Sends a trace and prints the report.
///
/// # Errors
///
/// Returns a one-line error when the trace is invalid.
pub fn replay(file: &Path, plan: Plan) -> anyhow::Result<Exit> {
    let text = std::fs::read_to_string(file)
        .with_context(|| format!("cannot read trace {}", file.display()))?;
    let trace = Trace::parse(&text)?;
    let has_plain = trace.lines.iter().any(|line| line.kind == LineKind::Plain);
    if has_plain && plan.service.is_none() {
        bail!("the trace has plain calls; name their service with --service");
    }
    let config = GlobalExecutorConfig::default()
        .with_min_threads(THREADS)
        .with_max_threads(THREADS);
    async_global_executor::init_with_config(config);
    let json = plan.json;
    let run = Arc::new(Run::new(plan));
    smol::block_on(send(&run, &trace));
    let report = Report::new(&trace.outcomes, &run.tally());
    Ok(finish(&report, json))
}

fn finish(report: &Report, json: bool) -> Exit {
    if json {
        println!("{}", serde_json::to_string(report).unwrap_or_default());
    } else {
        print!("{report}");
    }
    let missed = report.missed();
    if missed.is_empty() {
        return Exit::Success;
    }
    eprintln!("gentianpath: missed outcome: {}", missed.join(", "));
    Exit::Missed
}

/// Sends each request at its arrival time and waits for all answers.
async fn send(run: &Arc<Run>, trace: &Trace) {
    let start = Instant::now();
    let total = trace.lines.len();
    let progress = async_global_executor::spawn(show_progress(run.clone(), total));
    let mut tasks = Vec::new();
    for job in trace.jobs() {
        let at = start + Duration::from_millis(job.at_ms());
        tasks.push(async_global_executor::spawn(run.clone().job(job, at)));
    }
    for line in trace.lines.iter().filter(|l| l.kind != LineKind::Batch) {
        let due = start + Duration::from_millis(line.at_ms);
        Timer::at(due).await;
        let call = run.clone().call(line.clone(), due);
        tasks.push(async_global_executor::spawn(call));
    }
    futures::future::join_all(tasks).await;
    progress.cancel().await;
    if std::io::stderr().is_terminal() {
        eprintln!();
    }
}

/// Shows on a terminal how many lines are answered.
async fn show_progress(run: Arc<Run>, total: usize) {
    while std::io::stderr().is_terminal() {
        let Tally { ended, .. } = run.tally();
        eprint!("\r{ended} of {total}");
        Timer::after(PROGRESS).await;
    }
}
