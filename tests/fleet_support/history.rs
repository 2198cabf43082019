//! Results of a batch job as its readers see them over time.

use std::{
    collections::{BTreeMap, HashSet},
    fmt,
};

use serde_json::Value;

/// Time in which the results of a job may differ in number between instances, in milliseconds.
pub const SETTLE_MS: u64 = 1000;
/// Time from the submission of a job in which its results are kept, in milliseconds.
const STATUS_MS: u64 = 120_000;
/// Size from which an answer may leave out results that the instance has.
const PAGE_BYTES: usize = 500_000;

/// An item as it was submitted.
#[derive(Debug, Clone)]
pub struct Item {
    pub id: String,
    /// Events of its output.
    pub events: u64,
    pub body: &'static [u8],
}

/// What is wrong with an answer to a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Fault {
    /// A job that was accepted is not known.
    Lost,
    /// The answer is no list of results.
    Malformed,
    /// The number of items differs from that of the job.
    Total,
    /// The next position isn't the one after the results.
    Next,
    /// A position holds another result than before.
    Changed,
    /// An item stands at two positions.
    Twice,
    /// A result names no item of the job.
    Foreign,
    /// A result that was read before is not listed.
    Missing,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = match self {
            Self::Lost => "job lost",
            Self::Malformed => "job malformed",
            Self::Total => "job total",
            Self::Next => "job next",
            Self::Changed => "job changed",
            Self::Twice => "job item twice",
            Self::Foreign => "job item foreign",
            Self::Missing => "job result missing",
        };
        f.write_str(name)
    }
}

/// A read of a job and its answer.
#[derive(Debug, Clone)]
pub struct Read {
    /// Position from which results were asked for.
    pub after: usize,
    /// Unix milliseconds at which it was sent and answered.
    pub span: (u64, u64),
    /// Whether the instance was in touch all the while.
    pub in_touch: bool,
    pub status: u16,
    pub body: Value,
}

/// A job with the results that were read of it.
#[derive(Debug, Clone, Default)]
pub struct History {
    pub items: Vec<Item>,
    /// Unix millisecond of the first submission.
    pub submitted: u64,
    /// Unix millisecond at which it was accepted.
    pub accepted: Option<u64>,
    /// Unix millisecond at which its end was asked for first.
    pub cancel_sent: Option<u64>,
    /// Unix millisecond at which its end was acknowledged.
    pub cancelled: Option<u64>,
    /// Results by their positions, and when they were read first, in Unix milliseconds.
    results: BTreeMap<usize, (Value, u64)>,
}

impl History {
    /// Creates the history of a job that is submitted at a Unix millisecond.
    pub fn new(items: Vec<Item>, submitted: u64) -> Self {
        Self {
            items,
            submitted,
            ..Self::default()
        }
    }

    /// Returns the results that were read, by their positions.
    pub fn results(&self) -> impl Iterator<Item = (usize, &Value)> {
        self.results.iter().map(|(n, (result, _))| (*n, result))
    }

    /// Returns the number of positions that were read.
    pub fn read_count(&self) -> usize {
        self.results.len()
    }

    pub fn item(&self, id: &str) -> Option<&Item> {
        self.items.iter().find(|item| item.id == id)
    }

    /// Returns whether the results have to be there at a time.
    fn is_kept(&self, time: u64) -> bool {
        time < self.submitted + STATUS_MS
    }

    /// Returns what is wrong with an answer, and remembers its results.
    pub fn check(&mut self, read: &Read) -> Vec<Fault> {
        let (sent, answered) = read.span;
        let is_settled = |since: u64| read.in_touch && sent > since + SETTLE_MS;
        if read.status != 200 {
            let is_lost = matches!(read.status, 404 | 410)
                && self.accepted.is_some_and(is_settled)
                && self.is_kept(answered);
            return if is_lost { vec![Fault::Lost] } else { vec![] };
        }
        let Some(results) = read.body["results"].as_array() else {
            return vec![Fault::Malformed];
        };
        let mut faults = Vec::new();
        if read.body["total"] != self.items.len() {
            faults.push(Fault::Total);
        }
        let end = read.after + results.len();
        if read.body["next"] != end {
            faults.push(Fault::Next);
        }
        for (position, result) in (read.after..).zip(results) {
            match self.results.get(&position) {
                Some((known, _)) if known != result => faults.push(Fault::Changed),
                Some(_) => {}
                None => {
                    self.results.insert(position, (result.clone(), answered));
                }
            }
            let id = result["id"].as_str().unwrap_or_default();
            if self.item(id).is_none() {
                faults.push(Fault::Foreign);
            }
        }
        let mut seen = HashSet::new();
        if !self.results().all(|(_, r)| seen.insert(r["id"].as_str())) {
            faults.push(Fault::Twice);
        }
        let mut rest = self.results.range(end..);
        let is_long = read.body.to_string().len() >= PAGE_BYTES;
        if !is_long && self.is_kept(answered) && rest.any(|(_, (_, since))| is_settled(*since)) {
            faults.push(Fault::Missing);
        }
        faults
    }
}
