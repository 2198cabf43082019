//! What the object store holds of requests that crash workers.

use std::time::Duration;

use gentianpath::{
    gateway::{
        block_record::{self, BlockRecord, Claim, StoredCrash},
        marks::Mark,
        suspects::{Admission, Suspects},
    },
    ids::{Fingerprint, Map},
};

const REQUEST: Fingerprint = 4;
/// Unix time of the first crash in milliseconds.
const START: u64 = 1_800_000_000_000;
const HOUR: u64 = 3_600_000;

fn record(crashes: &[(u32, u64)]) -> BlockRecord {
    let crashes = crashes.iter().map(|(worker, at)| StoredCrash {
        at: START + at,
        worker: *worker,
    });
    BlockRecord {
        crashes: crashes.collect(),
        probe: None,
    }
}

fn claim(record: &BlockRecord, at: u64) -> Option<BlockRecord> {
    match record.claim(START + at) {
        Claim::Free(claimed) => Some(claimed),
        Claim::Taken => None,
    }
}

/// Guards against crashes that count twice, or not at all, when two instances write at once.
#[test]
fn instances_that_write_at_once_add_up_their_crashes() {
    let mut one = record(&[(1, 0), (2, 100), (3, 200)]);
    assert!(one.merge(&record(&[(2, 105), (4, 9000)])));
    assert_eq!(one.crashes.len(), 4);
    assert!(!one.merge(&record(&[(3, 195)])));
    for n in 0..100 {
        one.merge(&record(&[(n + 10, 10_000 + u64::from(n))]));
    }
    assert_eq!(one.crashes.len(), 16);
}

/// Guards against two probes at once, and against a probe that nobody counts as its instance is gone.
#[test]
fn a_probe_is_claimed_once_and_counts_without_an_end() {
    let known = record(&[(1, 0), (2, 100), (3, 200)]);
    let mut claimed = claim(&known, 5200).unwrap();
    assert_eq!(claim(&claimed, 6000), None);
    assert_eq!(claimed.report(REQUEST, START + 6000).crashes.len(), 3);
    assert_eq!(claimed.report(REQUEST, START + 11_000).crashes.len(), 4);
    assert!(claim(&claimed, 11_000).is_some());
    claimed.merge(&record(&[(5, 5400)]));
    assert_eq!(claimed.report(REQUEST, START + 11_000).crashes.len(), 4);
}

/// Guards against an instance that does not keep from the workers what others have stored, or that
/// blames other requests for it.
#[test]
fn a_recalled_request_is_refused_and_its_parts_are_not() {
    let known = record(&[(1, 0), (2, 100), (3, 200)]);
    let part = Mark::Part(1);
    let marks = [part, Mark::Request(REQUEST)];
    let mut suspects = Suspects::default();
    suspects.record_crash(&marks, (3, 7), Duration::from_millis(200));
    let now = Duration::from_millis(300);
    assert!(suspects.recall(known.report(REQUEST, START + 300), now));
    assert!(!suspects.recall(known.report(REQUEST, START + 300), now));
    let admission = suspects.admit(&marks, now, |_| true);
    assert!(matches!(admission, Admission::Refused(_)));
    let other = [part, Mark::Request(9)];
    assert_eq!(suspects.admit(&other, now, |_| true), Admission::Free);
    let report = suspects.take_news(now);
    assert_eq!(report.crashes.len(), 3, "others are told");
    // An answer at this instance outweighs older crashes.
    suspects.record_proof(&marks, now);
    assert!(!suspects.recall(known.report(REQUEST, START + 300), now));
    assert_eq!(suspects.admit(&marks, now, |_| true), Admission::Free);
    assert_eq!(suspects.take_block_news(now).sound, [REQUEST]);
}

/// Guards against objects that stay in the store for ever, and against any number of them.
#[test]
fn old_records_are_removed_from_the_store() {
    let mut records = Map::default();
    for n in 0..130 {
        records.insert(n, record(&[(1, 10 * n)]));
    }
    let mut outdated = block_record::outdated(&records, START + 2000);
    outdated.sort_unstable();
    assert_eq!(outdated, [0, 1]);
    let outdated = block_record::outdated(&records, START + HOUR + 1290);
    assert_eq!(outdated.len(), 130);
}

/// Guards against a deadly request that is forgotten since another one broke beside it.
#[test]
fn requests_that_broke_with_the_same_workers_are_recalled_apart() {
    let deadly = record(&[(1, 0), (2, 100), (3, 200), (4, 9000)]);
    let neighbour = record(&[(1, 2), (2, 102), (3, 202)]);
    let mut suspects = Suspects::default();
    let (at, now) = (START + 10_000, Duration::from_secs(10));
    assert!(suspects.recall(deadly.report(REQUEST, at), now));
    assert!(suspects.recall(neighbour.report(9, at), now));
    let admission = suspects.admit(&[Mark::Request(REQUEST)], now, |_| false);
    assert!(matches!(admission, Admission::Refused(_)));
    let admission = suspects.admit(&[Mark::Request(9)], now, |_| false);
    assert_eq!(admission, Admission::Free);
}
