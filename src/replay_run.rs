//! Sends the lines of a trace and counts the results.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::atomic::{AtomicUsize, Ordering},
    time::{Duration, Instant},
};

use async_io::Timer;
use futures::StreamExt;
use hdrhistogram::Histogram;
use serde_json::{Value, json};
use trillium_client::{EventStream, Method, SseErrorKind};

use crate::{
    clock, dial,
    mutex::{Mutex, lock},
    remote,
    replay::{Line, LineKind, Plan, Repeat},
    verdict::{VERDICT_HEADER, Verdict},
};

/// Bound on one online request or plain call.
const REQUEST_LIMIT: Duration = Duration::from_secs(120);
/// Interval at which the state of a job is polled.
const JOB_POLL: Duration = Duration::from_millis(250);
/// Time to wait for a job after its deadline.
const JOB_GRACE: Duration = Duration::from_secs(60);
/// Attempts to submit a job and to read its results. A job that was accepted by an earlier attempt
/// is recognised.
const ATTEMPTS: u32 = 5;
/// Highest latency that a histogram can record, in microseconds; above [`REQUEST_LIMIT`].
const HIGHEST_US: u64 = 200_000_000;
/// Significant decimal digits of recorded latencies.
const DIGITS: u8 = 3;

/// Items of a trace that are submitted as one job.
#[derive(Debug, Clone)]
pub struct Job {
    /// Items.
    pub items: Vec<Line>,
}

impl Job {
    /// Makes a job of one item.
    pub fn new(item: Line) -> Self {
        Self { items: vec![item] }
    }

    /// Returns whether an item belongs to the job.
    pub fn matches(&self, item: &Line) -> bool {
        let first = &self.items[0];
        first.at_ms == item.at_ms && first.team == item.team && first.deadline_s == item.deadline_s
    }

    /// Returns the time of arrival, in milliseconds since the start.
    pub fn at_ms(&self) -> u64 {
        self.items[0].at_ms
    }

    fn body(&self) -> String {
        let line = |(number, item): (usize, &Line)| {
            let mut line = json!({
                "id": number.to_string(),
                "prompt": item.prompt,
                "max_tokens": item.max_tokens,
            });
            if item.repeat == Some(Repeat::Never) {
                line["repeat"] = "never".into();
            }
            line.to_string()
        };
        let lines: Vec<String> = self.items.iter().enumerate().map(line).collect();
        lines.join("\n")
    }
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ending {
    Whole,
    Refused,
    Broken,
}

/// Counts of one kind of request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Sent.
    pub sent: u64,
    /// Answered completely.
    pub whole: u64,
    /// Refused as not run.
    pub refused: u64,
    /// Broken off, or not answered in time.
    pub broken: u64,
}

/// Counts and latencies of a replay.
#[derive(Debug, Clone)]
pub struct Tally {
    /// Lines that have ended.
    pub ended: u64,
    /// Online requests.
    pub online: Counts,
    /// Plain calls.
    pub plain: Counts,
    /// Batch items; an item is whole when it has exactly one result.
    pub batch: Counts,
    /// Surplus results: second results of an item, and results of unknown items.
    pub extra_results: u64,
    /// Items whose job did not finish before its deadline.
    pub late_items: u64,
    /// Time to the first token, in microseconds.
    pub first_token: Histogram<u64>,
    /// Time between tokens, in microseconds.
    pub token_gap: Histogram<u64>,
}

impl Default for Tally {
    fn default() -> Self {
        let histogram =
            || Histogram::new_with_max(HIGHEST_US, DIGITS).expect("bounds and digits are valid");
        Self {
            ended: 0,
            online: Counts::default(),
            plain: Counts::default(),
            batch: Counts::default(),
            extra_results: 0,
            late_items: 0,
            first_token: histogram(),
            token_gap: histogram(),
        }
    }
}

/// A running replay.
#[derive(Debug)]
pub struct Run {
    plan: Plan,
    name: String,
    next: AtomicUsize,
    tally: Mutex<Tally>,
}

impl Run {
    /// Prepares a replay.
    pub fn new(plan: Plan) -> Self {
        Self {
            plan,
            name: format!("replay-{:08x}", fastrand::u32(..)),
            next: AtomicUsize::new(0),
            tally: Mutex::default(),
        }
    }

    /// Returns the counts and latencies so far.
    pub fn tally(&self) -> Tally {
        self.with_tally(|tally| tally.clone())
    }

    fn with_tally<T>(&self, act: impl FnOnce(&mut Tally) -> T) -> T {
        act(&mut lock(&self.tally))
    }

    /// Returns the number of the next request and the address that it goes to.
    fn next_request(&self) -> (usize, SocketAddr) {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let addresses = &self.plan.addresses;
        (number, addresses[number % addresses.len()])
    }

    /// Sends an online request or plain call that is due at a time, and counts how it ended.
    /// Latency counts from that time, so that a late sender does not hide a wait.
    pub async fn call(self: std::sync::Arc<Self>, line: Line, due: Instant) {
        let answer = async {
            match line.kind {
                LineKind::Plain => self.plain(&line).await,
                _ => self.online(&line, due).await,
            }
        };
        let timeout = async {
            Timer::after(REQUEST_LIMIT).await;
            Ending::Broken
        };
        let ending = smol::future::or(answer, timeout).await;
        self.with_tally(|tally| {
            tally.ended += 1;
            let counts = match line.kind {
                LineKind::Plain => &mut tally.plain,
                _ => &mut tally.online,
            };
            counts.add(ending);
        });
    }

    async fn plain(&self, line: &Line) -> Ending {
        let service = self.plan.service.as_deref().unwrap_or_default();
        let path = format!("/services/{service}{}", line.path);
        let conn = self.request(line, &path).with_body(line.prompt.clone());
        match remote::fetch(conn).await {
            Ok(_) => Ending::Whole,
            Err(failure) if failure.verdict == Verdict::NotRun => Ending::Refused,
            Err(_) => Ending::Broken,
        }
    }

    async fn online(&self, line: &Line, due: Instant) -> Ending {
        let body = json!({
            "model": self.plan.model,
            "messages": [{ "role": "user", "content": line.prompt }],
            "max_tokens": line.max_tokens,
            "stream": true,
        });
        let conn = self.request(line, "/v1/chat/completions");
        let conn = conn.with_body(body.to_string());
        let error = match conn.into_sse().await {
            Ok(events) => return self.read(events, due).await,
            Err(error) => error,
        };
        let verdict = error.response_headers().get_str(VERDICT_HEADER);
        let never_left = matches!(&error.kind, SseErrorKind::Http(e) if dial::never_sent(e));
        if never_left || verdict == Some(Verdict::NotRun.as_str()) {
            Ending::Refused
        } else {
            Ending::Broken
        }
    }

    /// Reads a stream and records the latency of its tokens.
    async fn read(&self, mut events: EventStream, due: Instant) -> Ending {
        let mut last = None;
        while let Some(Ok(event)) = events.next().await {
            if event.data() == "[DONE]" {
                return Ending::Whole;
            }
            if !has_text(event.data()) {
                continue;
            }
            let now = Instant::now();
            let since = last.unwrap_or(due);
            let micros = (now - since).as_micros() as u64;
            self.with_tally(|tally| match last {
                None => tally.first_token.saturating_record(micros),
                Some(_) => tally.token_gap.saturating_record(micros),
            });
            last = Some(now);
        }
        Ending::Broken
    }

    fn request(&self, line: &Line, path: &str) -> trillium_client::Conn {
        let (number, address) = self.next_request();
        let conn = remote::request(address, Method::Post, path)
            .with_request_header("gentianpath-team", line.team.clone());
        match line.repeat {
            Some(Repeat::Never) => conn
                .with_request_header("gentianpath-repeat", "never")
                .with_request_header("idempotency-key", format!("{}-{number}", self.name)),
            None => conn,
        }
    }

    /// Submits a job at its arrival time, waits until it is finished and counts its results.
    pub async fn job(self: std::sync::Arc<Self>, job: Job, at: Instant) {
        Timer::at(at).await;
        let (number, _) = self.next_request();
        let name = format!("{}-{number}", self.name);
        let count = job.items.len() as u64;
        let limit = Duration::from_secs(job.items[0].deadline_s.unwrap_or_default());
        let deadline = Instant::now() + limit;
        let results = match self.submit(&job, &name, limit).await {
            Ok(()) => {
                let finished = self.wait_finished(&name, deadline + JOB_GRACE).await;
                let late = finished.is_none_or(|at| at > deadline);
                self.with_tally(|tally| tally.late_items += if late { count } else { 0 });
                self.results(&name).await
            }
            Err(refused) => {
                self.with_tally(|tally| tally.count_unaccepted(count, refused));
                return;
            }
        };
        self.with_tally(|tally| tally.count_results(count, &results));
    }

    /// Submits a job. The error of a job that was not accepted says whether it was refused.
    async fn submit(&self, job: &Job, name: &str, limit: Duration) -> Result<(), bool> {
        let deadline = (clock::unix_time() + limit).as_secs();
        let model = &self.plan.model;
        let path = format!("/v1/batches?name={name}&model={model}&deadline={deadline}");
        let body = job.body();
        let mut refused = false;
        for _ in 0..ATTEMPTS {
            let conn = self.request(&job.items[0], &path).with_body(body.clone());
            match remote::fetch(conn).await {
                Ok(_) => return Ok(()),
                Err(failure) => refused = failure.verdict == Verdict::NotRun,
            }
            Timer::after(JOB_POLL).await;
        }
        Err(refused)
    }

    /// Waits until a job is finished and returns the time at which that was observed.
    async fn wait_finished(&self, name: &str, until: Instant) -> Option<Instant> {
        let path = format!("/v1/batches/{name}");
        while Instant::now() < until {
            let (_, address) = self.next_request();
            let answer = remote::fetch(remote::request(address, Method::Get, &path)).await;
            let status: Value =
                serde_json::from_slice(&answer.unwrap_or_default()).unwrap_or_default();
            if status["state"] == "finished" {
                return Some(Instant::now());
            }
            Timer::after(JOB_POLL).await;
        }
        None
    }

    /// Returns the number of results of each item.
    async fn results(&self, name: &str) -> BTreeMap<String, u64> {
        let path = format!("/v1/batches/{name}/results");
        let mut body = Vec::new();
        for _ in 0..ATTEMPTS {
            let (_, address) = self.next_request();
            let answer = remote::fetch(remote::request(address, Method::Get, &path)).await;
            if let Ok(whole) = answer {
                body = whole;
                break;
            }
            Timer::after(JOB_POLL).await;
        }
        let mut counts = BTreeMap::new();
        for line in String::from_utf8_lossy(&body).lines() {
            let result: Value = serde_json::from_str(line).unwrap_or_default();
            let id = result["id"].as_str().unwrap_or_default();
            *counts.entry(id.to_owned()).or_default() += 1;
        }
        counts
    }
}

impl Counts {
    fn add(&mut self, ending: Ending) {
        self.sent += 1;
        match ending {
            Ending::Whole => self.whole += 1,
            Ending::Refused => self.refused += 1,
            Ending::Broken => self.broken += 1,
        }
    }
}

impl Tally {
    fn count_unaccepted(&mut self, items: u64, refused: bool) {
        let ending = if refused {
            Ending::Refused
        } else {
            Ending::Broken
        };
        self.ended += items;
        (0..items).for_each(|_| self.batch.add(ending));
    }

    /// Counts the results of a job whose items are numbered from 0.
    pub fn count_results(&mut self, items: u64, results: &BTreeMap<String, u64>) {
        self.ended += items;
        for number in 0..items {
            let found = results.get(&number.to_string()).copied().unwrap_or(0);
            self.batch.add(if found == 0 {
                Ending::Broken
            } else {
                Ending::Whole
            });
        }
        let is_known = |id: &str| id.parse::<u64>().is_ok_and(|number| number < items);
        for (id, found) in results {
            self.extra_results += if is_known(id) { found - 1 } else { *found };
        }
    }
}

/// Returns whether an event of a stream contains text.
fn has_text(data: &str) -> bool {
    let event: Value = serde_json::from_str(data).unwrap_or_default();
    let content = &event["choices"][0]["delta"]["content"];
    content.as_str().is_some_and(|text| !text.is_empty())
}
