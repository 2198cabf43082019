//! Batch jobs: their records, and the state of a job at the instance that runs it (pure).
//!
//! A job is one object. Its results are pages that are only ever created, one after the other, so
//! that positions never move: of two instances that both run a job, one creates the next page and
//! the other one reads it and goes on behind it.

use std::{sync::Arc, time::Duration};

use base64::{Engine, prelude::BASE64_STANDARD};
use bytes::Bytes;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::ids::{ItemId, JobId, Map, Set};

use super::fleet::Urgency;

/// Time that a finished item waits for others to be committed with it.
const COMMIT_DELAY: Duration = Duration::from_millis(1500);
/// Size of a page from which it is committed at once. The store takes values of 1 MB, and texts
/// grow when they are written as JSON.
const PAGE_BYTES: usize = 400 << 10;
/// Size of one read of results at most; callers accept 1 MB.
const READ_BYTES: usize = 700 << 10;

/// An item as it was submitted.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Item {
    /// Id of the item; it is also the id of its requests.
    pub id: ItemId,
    /// Path of its requests.
    pub path: Arc<str>,
    /// Headers of its requests.
    pub headers: Vec<(String, String)>,
    /// Body of its requests.
    #[serde(serialize_with = "write_base64", deserialize_with = "read_base64")]
    pub body: Bytes,
    /// Tokens of prompt and longest output.
    pub tokens: u64,
}

/// A job as it is stored. It never changes.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Record {
    /// Host of the route.
    pub host: Arc<str>,
    /// Path under which it was submitted.
    pub path: Arc<str>,
    /// Time of its first submission, in milliseconds since 1970.
    pub submitted: u64,
    /// Items.
    pub items: Vec<Item>,
}

/// State that is stored beside the record.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Mark {
    /// Whether the job was ended by its owner.
    pub ended: bool,
}

/// How an item ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Verdict {
    /// It has its whole output.
    Done,
    /// It was given up.
    GivenUp,
}

/// The result of an item.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Outcome {
    /// The item.
    pub item: ItemId,
    /// How it ended.
    pub verdict: Verdict,
    /// Data of all events.
    pub output: Arc<str>,
}

/// Some results in the order of their positions.
#[derive(Debug, Clone, PartialEq)]
pub struct Page<'a> {
    /// Number of items of the job.
    pub total: usize,
    /// Position after the last result.
    pub next: usize,
    /// The results.
    pub results: &'a [Outcome],
}

/// What an instance has done of an item, as it is handed over.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Part {
    /// The item.
    pub item: ItemId,
    /// Data of the events so far.
    pub text: Arc<str>,
    /// Number of the last event.
    pub last: Option<u64>,
    /// Runs that ended with an error of the worker.
    pub failures: u32,
    /// How the item ended, when it has.
    pub verdict: Option<Verdict>,
}

/// How far an unfinished item is.
#[derive(Debug, Clone, Default)]
pub struct Progress {
    /// Data of the events so far.
    pub text: Vec<Arc<str>>,
    /// Number of the last event.
    pub last: Option<u64>,
    /// Runs that ended with an error of the worker.
    pub failures: u32,
    /// Whether it runs now.
    pub running: bool,
    /// Time before which it is not started again.
    pub not_before: Duration,
}

/// A job at an instance.
#[derive(Debug)]
pub struct Job {
    /// The record.
    pub record: Arc<Record>,
    /// Whether the job was ended by its owner.
    pub ended: bool,
    /// Whether this instance runs the items.
    pub active: bool,
    /// Whether a page is being committed.
    pub committing: bool,
    /// Pages that are stored, as far as another instance told.
    pub stored: u32,
    /// Time at which the last page became known.
    pub learned: Duration,
    outcomes: Vec<Outcome>,
    pages: u32,
    open: Map<ItemId, Progress>,
    finished: Vec<Outcome>,
    oldest: Option<Duration>,
}

impl Job {
    /// Builds the state of a job without results.
    pub fn new(record: Arc<Record>, ended: bool) -> Self {
        let open = record
            .items
            .iter()
            .map(|i| (i.id.clone(), Progress::default()));
        Self {
            open: open.collect(),
            record,
            ended,
            active: false,
            committing: false,
            stored: 0,
            learned: Duration::ZERO,
            outcomes: Vec::new(),
            pages: 0,
            finished: Vec::new(),
            oldest: None,
        }
    }

    /// Returns the number of the next page.
    pub fn next_page(&self) -> u32 {
        self.pages
    }

    /// Returns whether pages may be stored that are not known here.
    pub fn is_stale(&self) -> bool {
        !self.active || self.stored > self.pages
    }

    /// Takes the next page as it is stored, whoever wrote it.
    pub fn absorb(&mut self, page: &[Outcome], now: Duration) {
        self.pages += 1;
        self.learned = now;
        let listed: Set<&ItemId> = page.iter().map(|o| &o.item).collect();
        self.finished.retain(|o| !listed.contains(&o.item));
        if self.finished.is_empty() {
            self.oldest = None;
        }
        for outcome in page {
            self.open.remove(&outcome.item);
        }
        self.outcomes.extend_from_slice(page);
    }

    /// Returns an item that can start, with how far it is.
    pub fn startable(&self, now: Duration) -> Option<&Item> {
        if self.ended || !self.active {
            return None;
        }
        self.record.items.iter().find(|i| {
            let progress = self.open.get(&i.id);
            progress.is_some_and(|p| !p.running && p.not_before <= now)
        })
    }

    /// Returns the number of items that can start.
    pub fn startable_count(&self, now: Duration) -> u32 {
        if self.ended || !self.active {
            return 0;
        }
        let can = |p: &&Progress| !p.running && p.not_before <= now;
        self.open.values().filter(can).count() as u32
    }

    /// Returns how far an unfinished item is.
    pub fn progress(&mut self, item: &str) -> Option<&mut Progress> {
        self.open.get_mut(item)
    }

    /// Notes the end of an item. A second end is ignored.
    pub fn finish(&mut self, item: &ItemId, verdict: Verdict, output: Arc<str>, now: Duration) {
        if self.open.remove(item).is_none() {
            return;
        }
        self.finished.push(Outcome {
            item: item.clone(),
            verdict,
            output,
        });
        self.oldest.get_or_insert(now);
    }

    /// Returns the results to commit now as the next page, or `None` when there is time.
    pub fn page_to_commit(&self, now: Duration) -> Option<Vec<Outcome>> {
        if self.committing || self.finished.is_empty() {
            return None;
        }
        let waited = self.oldest.is_some_and(|t| now >= t + COMMIT_DELAY);
        // An item that was given up would fail again at the next instance if this one were lost.
        let given_up = |o: &Outcome| o.verdict == Verdict::GivenUp;
        let waited = waited || self.finished.iter().any(given_up);
        let bytes: usize = self.finished.iter().map(|o| o.output.len()).sum();
        if !waited && !self.open.is_empty() && bytes < PAGE_BYTES {
            return None;
        }
        Some(self.take_page())
    }

    /// Returns all results that are not committed, as far as they fit a page.
    pub fn take_page(&self) -> Vec<Outcome> {
        let mut bytes = 0;
        let fits = self.finished.iter().take_while(|o| {
            let first = bytes == 0;
            bytes += o.output.len();
            first || bytes <= PAGE_BYTES
        });
        fits.cloned().collect()
    }

    /// Returns the results from a position on, at least one where there is one.
    pub fn read(&self, after: usize) -> Page<'_> {
        let rest = self.outcomes.get(after..).unwrap_or_default();
        let mut bytes = 0;
        let fits = |o: &&Outcome| {
            let first = bytes == 0;
            bytes += o.output.len().max(1);
            first || bytes <= READ_BYTES
        };
        let count = rest.iter().take_while(fits).count();
        Page {
            total: self.record.items.len(),
            next: after + count,
            results: &rest[..count],
        }
    }

    /// Returns whether this instance has work to do on the job.
    pub fn is_running(&self) -> bool {
        self.active && !self.ended && !self.is_complete()
    }

    /// Returns whether all items have a result.
    pub fn is_complete(&self) -> bool {
        self.open.is_empty() && self.finished.is_empty()
    }

    /// Returns the number of results whose position is known.
    pub fn positions(&self) -> usize {
        self.outcomes.len()
    }

    /// Returns what another instance needs to go on with the job, and stops it here.
    pub fn hand_over(&mut self) -> Vec<Part> {
        self.active = false;
        let done = self.finished.iter().map(|o| Part {
            item: o.item.clone(),
            text: o.output.clone(),
            last: None,
            failures: 0,
            verdict: Some(o.verdict),
        });
        let open = self
            .open
            .iter()
            .filter(|(_, p)| p.last.is_some() || p.failures > 0);
        let open = open.map(|(item, p)| Part {
            item: item.clone(),
            text: p.text.join("\n").into(),
            last: p.last,
            failures: p.failures,
            verdict: None,
        });
        done.chain(open).collect()
    }

    /// Takes what another instance had done of the job, where it is further than this one.
    pub fn take_over(&mut self, parts: Vec<Part>, now: Duration) {
        for part in parts {
            if let Some(verdict) = part.verdict {
                self.finish(&part.item, verdict, part.text, now);
                continue;
            }
            let Some(progress) = self.open.get_mut(&part.item) else {
                continue;
            };
            progress.failures = progress.failures.max(part.failures);
            if !progress.running && progress.last < part.last {
                progress.last = part.last;
                progress.text = vec![part.text];
            }
        }
    }

    /// Returns the tokens of the items that have no result.
    pub fn waiting_tokens(&self) -> u64 {
        if self.ended {
            return 0;
        }
        let open = self
            .record
            .items
            .iter()
            .filter(|i| self.open.contains_key(&i.id));
        open.map(|i| i.tokens).sum()
    }

    /// Returns the unfinished items.
    pub fn open_items(&self) -> Vec<ItemId> {
        self.open.keys().cloned().collect()
    }
}

/// Returns whether the items of a job of a given age can still be in time. Under overload those that
/// cannot are left for later: in order of submission alone, each job would wait for jobs that are
/// late already, and come late itself.
pub fn urgency(age: Duration, due: Duration, run_time: Option<Duration>) -> Urgency {
    let run_time = run_time.unwrap_or(due / 4);
    if age + run_time < due {
        Urgency::Timely
    } else {
        Urgency::Late
    }
}

/// Returns the name of a page of results.
pub fn page_name(job: &JobId, page: u32) -> String {
    format!("{job}.{page}")
}

fn write_base64<S: Serializer>(bytes: &Bytes, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(&BASE64_STANDARD.encode(bytes))
}

fn read_base64<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Bytes, D::Error> {
    let text = String::deserialize(deserializer)?;
    let bytes = BASE64_STANDARD.decode(text);
    bytes.map(Bytes::from).map_err(serde::de::Error::custom)
}
