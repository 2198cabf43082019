//! Batch jobs: stored records, and the state of a job at the instance that runs it (no I/O).
//!
//! A job is one object. Its results are pages that are created one after another and never changed,
//! so positions are stable: if two instances run the same job, one of them creates the next page,
//! and the other one reads it and continues with the page after it.

use std::{
    io::{self, Write},
    sync::Arc,
    time::Duration,
};

use base64::{Engine, prelude::BASE64_STANDARD};
use bytes::Bytes;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::{
    adapter::headers,
    ids::{ItemId, JobId, Map, ServiceId, Set, SoftwareVersion, TeamId, WorkerId},
    uri::{self, NameError},
};

use super::{
    fleet::{self, Urgency},
    marks::{self, Mark},
};

/// Maximum time that a finished item waits for others to be committed with it.
const COMMIT_DELAY: Duration = Duration::from_millis(1500);
/// Time before the due time at which finished items are committed at once: a page is written, and
/// another instance reads it after the next heartbeat.
const COMMIT_LEAD: Duration = Duration::from_millis(300);
/// Length as JSON at which a page is committed at once, and maximum of a page of several results.
const MAX_PAGE_BYTES: usize = 400 << 10;
/// Maximum length as JSON of one read of several results; callers accept 1 MB.
const MAX_READ_BYTES: usize = 700 << 10;
/// Maximum length as JSON of a result. A read returns at least one, and at most 1 MB.
const MAX_RESULT_BYTES: usize = 1_000_000 - ENVELOPE_BYTES;
/// Maximum length as JSON of a record. The store accepts objects of 1 MiB.
const MAX_RECORD_BYTES: usize = (1 << 20) - ENVELOPE_BYTES;
/// Space for the metadata of an object and for the positions in a read.
const ENVELOPE_BYTES: usize = 1 << 10;

/// Time for which an item whose text may be complete waits for a worker other than the one that wrote it.
/// One that serves alone is asked after it.
const PROOF_WAIT: Duration = Duration::from_secs(1);

/// Minimum interval between searches of the store for pages of instances that are not heard. Callers
/// expect a result that they read elsewhere after 1 s.
const PAGE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Weight of the newest run in the moving average of an item's run time; about the last ten runs
/// count.
const RUN_TIME_WEIGHT: f64 = 0.1;

/// An item as submitted.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Item {
    /// Id of the item, which is also the request id of its requests.
    pub id: ItemId,
    /// Path of the item's requests.
    pub path: Arc<str>,
    /// Headers of the item's requests.
    pub headers: Vec<(String, String)>,
    /// Body of the item's requests.
    #[serde(serialize_with = "write_base64", deserialize_with = "read_base64")]
    pub body: Bytes,
    /// Tokens of the prompt and of the longest output together.
    pub tokens: u64,
}

impl Item {
    /// Returns the marks of the item. Its parts alone can be to blame, as an item stays owed however
    /// many workers crash under it.
    pub fn marks(&self) -> Vec<Mark> {
        marks::of_parts(headers::decode_item_parts(&self.headers))
    }
}

/// A job as stored. It never changes.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Record {
    /// Host of the route.
    pub host: Arc<str>,
    /// Path that the job was submitted to.
    pub path: Arc<str>,
    /// Time of the first submission, in milliseconds since 1970.
    pub submitted: u64,
    /// Version of the configuration under which the job was accepted; 0 if an earlier release wrote
    /// the record.
    #[serde(default)]
    pub config: u64,
    /// Team that the job belongs to, if its submission needed a key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub team: Option<TeamId>,
    /// Items of the job.
    pub items: Vec<Item>,
}

impl Record {
    /// Returns whether the record fits an object of the store.
    pub fn fits_store(&self) -> bool {
        encoded_length(self) <= MAX_RECORD_BYTES
    }
}

/// Mutable state that is stored beside the record.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct JobStatus {
    /// Whether the job was cancelled by its owner.
    pub ended: bool,
}

/// How an item ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Verdict {
    /// The item has its whole output.
    Done,
    /// The item failed for good.
    GivenUp,
}

/// The result of an item.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Outcome {
    /// The item.
    pub item: ItemId,
    /// How the item ended.
    pub verdict: Verdict,
    /// Data of all events of the item's stream.
    pub output: Arc<str>,
}

/// Consecutive results, in the order of their positions.
#[derive(Debug, Clone, PartialEq)]
pub struct Page<'a> {
    /// Number of items of the job.
    pub total: usize,
    /// Position after the last result.
    pub next: usize,
    /// The results.
    pub results: &'a [Outcome],
}

/// State of an item that is handed over to another instance.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ItemHandover {
    /// The item.
    pub item: ItemId,
    /// Data of the events received so far.
    pub text: Arc<str>,
    /// Number of the last event.
    pub last: Option<u64>,
    /// Runs that ended with an error from the worker.
    pub failures: u32,
    /// How the item ended, or `None` for an unfinished item.
    pub verdict: Option<Verdict>,
    /// Version of the software that wrote the text. Instances of earlier releases cannot read it
    /// here, so it goes beside the item.
    #[serde(skip)]
    pub version: Option<SoftwareVersion>,
}

/// Progress of an unfinished item.
#[derive(Debug, Clone, Default)]
pub struct Progress {
    /// Data of the events received so far.
    pub text: Vec<Arc<str>>,
    /// Number of the last event.
    pub last: Option<u64>,
    /// Version of the software that wrote the text.
    pub version: Option<SoftwareVersion>,
    /// Runs that ended with an error from the worker.
    pub failures: u32,
    /// Runs whose worker closed the connection.
    pub crashes: u32,
    /// Whether the item is running.
    pub running: bool,
    /// Time before which the item is not started again.
    pub not_before: Duration,
    /// Time of the end of its last run.
    pub ended: Option<Duration>,
    /// Set while the text may be complete, as the connection of a worker ended after its last event.
    pub unproven: Option<Unproven>,
}

/// End of a connection after the last event of an item.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Unproven {
    /// The worker.
    pub worker: WorkerId,
    /// Whether the worker sent an event in that answer.
    pub begun: bool,
}

/// A result that is not committed yet.
#[derive(Debug)]
struct Finished {
    outcome: Outcome,
    /// Length as JSON.
    length: usize,
}

impl From<Outcome> for Finished {
    fn from(outcome: Outcome) -> Self {
        Self {
            length: encoded_length(&outcome),
            outcome,
        }
    }
}

/// State of a job at an instance.
#[derive(Debug)]
pub struct Job {
    /// Stored record of the job.
    pub record: Arc<Record>,
    /// Whether the job was cancelled by its owner.
    pub ended: bool,
    /// Whether this instance runs the items.
    pub active: bool,
    /// Whether a page is being committed.
    pub committing: bool,
    /// Number of stored pages, as reported by other instances.
    pub stored_pages: u32,
    /// Time when the last page was added.
    pub page_time: Duration,
    /// Time when the last whole search of the store for pages of instances that are not heard began.
    pub page_check: Duration,
    /// Time when the results are due, if the route is known.
    pub due: Option<Duration>,
    /// Services that run the items, with the version of the configuration that says so.
    pub services: Option<(u64, Arc<[ServiceId]>)>,
    outcomes: Vec<Outcome>,
    pages: u32,
    unfinished: Map<ItemId, Progress>,
    finished: Vec<Finished>,
    oldest_finished: Option<Duration>,
}

impl Job {
    /// Builds the state of a job without results.
    pub fn new(record: Arc<Record>, ended: bool) -> Self {
        let unfinished = record
            .items
            .iter()
            .map(|i| (i.id.clone(), Progress::default()));
        Self {
            unfinished: unfinished.collect(),
            record,
            ended,
            active: false,
            committing: false,
            stored_pages: 0,
            page_time: Duration::ZERO,
            page_check: Duration::ZERO,
            due: None,
            services: None,
            outcomes: Vec::new(),
            pages: 0,
            finished: Vec::new(),
            oldest_finished: None,
        }
    }

    /// Returns the number of the next page.
    pub fn next_page(&self) -> u32 {
        self.pages
    }

    /// Returns whether the store may have pages that are not known here.
    pub fn is_stale(&self) -> bool {
        !self.active || self.stored_pages > self.pages
    }

    /// Returns whether the store has to be searched for pages of instances that are not heard.
    pub fn needs_page_check(&self, now: Duration) -> bool {
        now >= self.page_check + PAGE_CHECK_INTERVAL
    }

    /// Adds the next page as stored, whichever instance wrote it.
    pub fn apply_page(&mut self, page: &[Outcome], now: Duration) {
        self.pages += 1;
        self.page_time = now;
        let listed: Set<&ItemId> = page.iter().map(|o| &o.item).collect();
        self.finished.retain(|f| !listed.contains(&f.outcome.item));
        if self.finished.is_empty() {
            self.oldest_finished = None;
        }
        for outcome in page {
            self.unfinished.remove(&outcome.item);
        }
        self.outcomes.extend_from_slice(page);
    }

    /// Returns the items that can start now.
    pub fn startable(&self, now: Duration) -> impl Iterator<Item = &Item> {
        let runs = self.active && !self.ended;
        let can_start = move |i: &&Item| {
            let progress = self.unfinished.get(&i.id);
            runs && progress.is_some_and(|p| !p.running && p.not_before <= now)
        };
        self.record.items.iter().filter(can_start)
    }

    /// Returns the progress of an unfinished item.
    pub fn progress(&mut self, item: &str) -> Option<&mut Progress> {
        self.unfinished.get_mut(item)
    }

    /// Returns the time since the last run of an unfinished item, or since the submission of its job
    /// if it did not run here.
    pub fn idle_time(&self, item: &str, age: Duration, now: Duration) -> Duration {
        let ended = self.unfinished.get(item).and_then(|p| p.ended);
        ended.map_or(age, |t| now.saturating_sub(t))
    }

    /// Returns the number of the last event of an unfinished item.
    pub fn last_event(&self, item: &str) -> Option<u64> {
        self.unfinished.get(item).and_then(|p| p.last)
    }

    /// Returns the version that wrote the text of an unfinished item, if it has any.
    pub fn text_version(&self, item: &str) -> Option<&SoftwareVersion> {
        let progress = self.unfinished.get(item)?;
        progress.last.and(progress.version.as_ref())
    }

    /// Returns the worker that an unfinished item keeps from, as another one has to show whether its text
    /// is complete.
    pub fn avoided(&self, item: &str, now: Duration) -> Option<&WorkerId> {
        let progress = self.unfinished.get(item)?;
        let is_new = progress.ended.is_some_and(|t| now < t + PROOF_WAIT);
        let unproven = progress.unproven.as_ref().filter(|_| is_new);
        unproven.map(|u| &u.worker)
    }

    /// Drops the text of an unfinished item, which starts again from its beginning. Without a text nothing
    /// changes.
    pub fn drop_text(&mut self, item: &str) {
        let progress = self.unfinished.get_mut(item);
        if let Some(progress) = progress.filter(|p| p.last.is_some()) {
            progress.unproven = None;
            progress.text.clear();
            progress.last = None;
            progress.version = None;
        }
    }

    /// Records the end of an item, and returns how it ended. An item whose output can be neither
    /// stored nor read is given up. A second end of the same item is ignored.
    pub fn finish(
        &mut self,
        item: &ItemId,
        verdict: Verdict,
        output: Arc<str>,
        now: Duration,
    ) -> Option<Verdict> {
        self.unfinished.remove(item)?;
        let mut finished = Finished::from(Outcome {
            item: item.clone(),
            verdict,
            output,
        });
        if finished.length > MAX_RESULT_BYTES {
            finished = Finished::from(Outcome {
                item: item.clone(),
                verdict: Verdict::GivenUp,
                output: "".into(),
            });
        }
        let verdict = finished.outcome.verdict;
        self.finished.push(finished);
        self.oldest_finished.get_or_insert(now);
        Some(verdict)
    }

    /// Returns the results to commit now as the next page, or `None` when more results can be
    /// waited for.
    pub fn page_to_commit(&self, now: Duration) -> Option<Vec<Outcome>> {
        if self.committing || self.finished.is_empty() {
            return None;
        }
        let waited = self
            .oldest_finished
            .is_some_and(|t| now >= self.commit_time(t));
        // Commits failed items at once. Otherwise they would fail again at the next instance if
        // this one were lost.
        let given_up = |f: &Finished| f.outcome.verdict == Verdict::GivenUp;
        let waited = waited || self.finished.iter().any(given_up);
        let bytes: usize = self.finished.iter().map(|f| f.length).sum();
        if !waited && !self.unfinished.is_empty() && bytes < MAX_PAGE_BYTES {
            return None;
        }
        Some(self.pending_page())
    }

    /// Returns the time at which an item that finished at a time is committed with those after it.
    fn commit_time(&self, finished: Duration) -> Duration {
        let latest = finished + COMMIT_DELAY;
        let due = self.due.filter(|d| finished < *d);
        due.map_or(latest, |d| latest.min(d.saturating_sub(COMMIT_LEAD)))
    }

    /// Returns the results that are not committed yet, up to the size of a page.
    pub fn pending_page(&self) -> Vec<Outcome> {
        let mut bytes = 0;
        let fits = self.finished.iter().take_while(|f| {
            let first = bytes == 0;
            bytes += f.length;
            first || bytes <= MAX_PAGE_BYTES
        });
        fits.map(|f| f.outcome.clone()).collect()
    }

    /// Returns the results from a position on, at least one if there is any.
    pub fn read(&self, after: usize) -> Page<'_> {
        let rest = self.outcomes.get(after..).unwrap_or_default();
        let mut bytes = 0;
        let fits = |o: &&Outcome| {
            let first = bytes == 0;
            bytes += encoded_length(*o);
            first || bytes <= MAX_READ_BYTES
        };
        let count = rest.iter().take_while(fits).count();
        Page {
            total: self.record.items.len(),
            next: after + count,
            results: &rest[..count],
        }
    }

    /// Returns whether this instance has work left on the job.
    pub fn is_running(&self) -> bool {
        self.active && !self.ended && !self.is_complete()
    }

    /// Returns whether all items have a result.
    pub fn is_complete(&self) -> bool {
        self.unfinished.is_empty() && self.finished.is_empty()
    }

    /// Returns the number of committed results.
    pub fn result_count(&self) -> usize {
        self.outcomes.len()
    }

    /// Returns the state that another instance needs to continue the job, and deactivates the job
    /// here.
    pub fn hand_over(&mut self) -> Vec<ItemHandover> {
        self.active = false;
        let done = self.finished.iter().map(|f| ItemHandover {
            item: f.outcome.item.clone(),
            text: f.outcome.output.clone(),
            last: None,
            failures: 0,
            verdict: Some(f.outcome.verdict),
            version: None,
        });
        let unfinished = self
            .unfinished
            .iter()
            .filter(|(_, p)| p.last.is_some() || p.failures > 0);
        let unfinished = unfinished.map(|(item, p)| ItemHandover {
            item: item.clone(),
            text: p.text.join("\n").into(),
            last: p.last,
            failures: p.failures,
            verdict: None,
            version: p.version.clone(),
        });
        done.chain(unfinished).collect()
    }

    /// Merges the state of the items that another instance handed over, where it is ahead of this
    /// one.
    pub fn take_over(&mut self, parts: Vec<ItemHandover>, now: Duration) {
        for part in parts {
            if let Some(verdict) = part.verdict {
                self.finish(&part.item, verdict, part.text, now);
                continue;
            }
            let Some(progress) = self.unfinished.get_mut(&part.item) else {
                continue;
            };
            progress.failures = progress.failures.max(part.failures);
            // A text of an unknown version cannot go on.
            if !progress.running && progress.last < part.last && part.version.is_some() {
                progress.last = part.last;
                progress.version = part.version;
                progress.text = vec![part.text];
                progress.unproven = None;
            }
        }
    }

    /// Returns the tokens of the unfinished items.
    pub fn waiting_tokens(&self) -> u64 {
        if self.ended {
            return 0;
        }
        let unfinished = self
            .record
            .items
            .iter()
            .filter(|i| self.unfinished.contains_key(&i.id));
        unfinished.map(|i| i.tokens).sum()
    }

    /// Returns the ids of the unfinished items that do not run.
    pub fn waiting_items(&self) -> Vec<ItemId> {
        let waiting = self.unfinished.iter().filter(|(_, p)| !p.running);
        waiting.map(|(item, _)| item.clone()).collect()
    }

    /// Returns the ids of the unfinished items.
    pub fn unfinished_items(&self) -> Vec<ItemId> {
        self.unfinished.keys().cloned().collect()
    }
}

/// Averages over items that ran without interruption.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UsualRun {
    time: Duration,
    events: f64,
}

impl UsualRun {
    /// Returns the averages after one more run.
    pub fn add(mean: Option<Self>, time: Duration, events: u64) -> Self {
        let before = mean.map_or(events as f64, |m| m.events);
        Self {
            time: fleet::moving_average(mean.map(|m| m.time), time, RUN_TIME_WEIGHT),
            events: before + (events as f64 - before) * RUN_TIME_WEIGHT,
        }
    }

    /// Returns the time that an item needs after its last event.
    pub fn remaining(&self, last: Option<u64>) -> Duration {
        let done = last.unwrap_or(0) as f64 / self.events.max(1.0);
        self.time.mul_f64((1.0 - done).max(0.0))
    }
}

/// Returns whether an item of a job of a given age can still meet the due time, if it needs some more
/// time. Under overload, late items are left for the end: in order of submission alone, each job would
/// wait for jobs that are already late, and would be late itself.
pub fn urgency(age: Duration, due: Duration, remaining: Option<Duration>) -> Urgency {
    let remaining = remaining.unwrap_or(due / 4);
    if age + remaining < due {
        Urgency::Timely
    } else {
        Urgency::Late
    }
}

/// Returns the name of a page of results.
pub fn page_name(job: &JobId, page: u32) -> String {
    format!("{job}.{page}")
}

/// Checks that calls to the store can name a job and its pages.
///
/// # Errors
///
/// Returns the reason why they cannot.
pub fn check_id(job: &JobId) -> Result<(), NameError> {
    uri::check_segment(job)?;
    uri::check_segment(&page_name(job, u32::MAX))
}

/// Counts bytes.
struct Counter(usize);

impl Write for Counter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0 += bytes.len();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Returns the length of a value as JSON, whose escapes take up to six bytes for one.
fn encoded_length(value: &impl Serialize) -> usize {
    let mut counter = Counter(0);
    let written = serde_json::to_writer(&mut counter, value);
    written.map_or(usize::MAX, |()| counter.0)
}

fn write_base64<S: Serializer>(bytes: &Bytes, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(&BASE64_STANDARD.encode(bytes))
}

fn read_base64<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Bytes, D::Error> {
    let text = String::deserialize(deserializer)?;
    let bytes = BASE64_STANDARD.decode(text);
    bytes.map(Bytes::from).map_err(serde::de::Error::custom)
}
