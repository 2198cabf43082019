//! The log of sheet revisions and the push of one.

use std::{sync::Arc, time::Duration};

use gentianpath::{
    control_state::State,
    members::Identity,
    platform::{Object, ReadError, WriteError},
    sheet::{RawJob, RawModel, RawSheet, RawTeam},
    sheet_log::{
        Entry, OfferOutcome, SNAPSHOT_INTERVAL, SheetLog, Snapshot, difference, entry_name, join,
        split,
    },
    sheet_push::{Outcome, Push, Step},
    spread::Watched,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use serde_json::json;

fn model(name: &str, slots: u32) -> RawModel {
    RawModel {
        name: name.into(),
        version: "v1".into(),
        adapters: vec![],
        min_workers: 1,
        slots,
    }
}

fn sheet(models: &[(&str, u32)]) -> RawSheet {
    RawSheet {
        deployment: "benchline".into(),
        throughput_weight: 0.5,
        models: models.iter().map(|(n, s)| model(n, *s)).collect(),
        ..RawSheet::default()
    }
}

fn entry(base: u64, old: &RawSheet, new: &RawSheet) -> Entry {
    Entry {
        token: format!("writer-{base}").into(),
        base,
        changes: difference(&split(old).unwrap(), &split(new).unwrap()),
    }
}

/// Returns entries that set the slots of a model to 1, 2, ... at revisions 1, 2, ...
fn entries(count: u64) -> Vec<Entry> {
    let mut old = RawSheet::default();
    let mut parts = split(&RawSheet::default()).unwrap();
    parts.clear();
    let mut entries = Vec::new();
    for base in 0..count {
        let new = sheet(&[("benchline-lm", base as u32 + 1)]);
        let mut one = entry(base, &old, &new);
        if base == 0 {
            one.changes = difference(&parts, &split(&new).unwrap());
        }
        entries.push(one);
        old = new;
    }
    entries
}

fn slots(log: &SheetLog) -> u32 {
    log.in_force().sheet.models["benchline-lm"].slots
}

#[derive(Debug, Clone)]
struct AnySheet(RawSheet);

impl Arbitrary for AnySheet {
    fn arbitrary(g: &mut Gen) -> Self {
        let names = ["a", "b", "c", "d"];
        let some = |g: &mut Gen| -> Vec<&str> {
            names
                .iter()
                .copied()
                .filter(|_| bool::arbitrary(g))
                .collect()
        };
        let models = some(g);
        let jobs = some(g).into_iter().filter(|_| !models.is_empty());
        Self(RawSheet {
            deployment: "benchline".into(),
            throughput_weight: if bool::arbitrary(g) { 0.25 } else { 0.75 },
            models: models
                .iter()
                .map(|n| model(n, u32::from(u8::arbitrary(g)) + 1))
                .collect(),
            jobs: jobs
                .map(|n| RawJob {
                    name: n.into(),
                    model: models[0].into(),
                    deadline: u64::from(u8::arbitrary(g)),
                })
                .collect(),
            teams: some(g)
                .iter()
                .map(|n| RawTeam {
                    name: (*n).into(),
                    online_limit: 1,
                })
                .collect(),
            engines_check_fence: bool::arbitrary(g),
            fence_exceptions: some(g).iter().map(|n| (*n).into()).collect(),
            ..RawSheet::default()
        })
    }
}

/// Guards against a part that is lost or kept when the change between two sheets is applied.
#[test]
fn difference_leads_from_any_sheet_to_any_other() {
    fn holds(old: AnySheet, new: AnySheet) -> bool {
        let mut parts = split(&old.0).unwrap();
        for (path, value) in difference(&parts, &split(&new.0).unwrap()) {
            match value {
                Some(value) => parts.insert(path, value),
                None => parts.remove(&path),
            };
        }
        join(&parts).unwrap() == new.0
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(50, 1))
        .quickcheck(holds as fn(_, _) -> bool);
}

/// Guards against a sheet that goes back or skips a revision when entries arrive in any order,
/// twice, or late.
#[test]
fn only_the_contiguous_prefix_is_in_force() {
    let entries = entries(6);
    let mut log = SheetLog::default();
    let mut rng = fastrand::Rng::with_seed(7);
    let mut seen = [false; 6];
    let mut last = 0;
    for _ in 0..200 {
        let i = rng.usize(0..6);
        seen[i] = true;
        log.offer(i as u64 + 1, entries[i].clone());
        log.check_head();
        let prefix = seen.iter().take_while(|s| **s).count() as u64;
        assert_eq!(log.in_force().revision, prefix);
        assert!(prefix >= last);
        last = prefix;
        if prefix > 0 {
            assert_eq!(slots(&log), prefix as u32);
        }
    }
    assert_eq!(last, 6);
    assert_eq!(log.offer(3, entries[2].clone()), OfferOutcome::Known);
}

/// Guards against an older snapshot that replaces a later sheet, and against entries that waited
/// for the snapshot being dropped.
#[test]
fn a_snapshot_counts_only_when_it_is_later() {
    let entries = entries(5);
    let mut source = SheetLog::default();
    for (i, e) in entries[..3].iter().enumerate() {
        source.offer(i as u64 + 1, e.clone());
    }
    let third: Snapshot = source.head().clone();
    let mut log = SheetLog::default();
    assert_eq!(log.offer(4, entries[3].clone()), OfferOutcome::Pending);
    assert_eq!(log.restore(third.clone()), OfferOutcome::Applied);
    assert!(log.check_head());
    assert_eq!((log.in_force().revision, slots(&log)), (4, 4));
    assert_eq!(log.restore(third), OfferOutcome::Known);
    assert_eq!(log.head().revision, 4);
}

/// Guards against a missing checkpoint, without which peers would need the whole log.
#[test]
fn a_checkpoint_is_kept_at_each_interval() {
    let mut log = SheetLog::default();
    for (i, e) in entries(SNAPSHOT_INTERVAL + 3).into_iter().enumerate() {
        log.offer(i as u64 + 1, e);
    }
    let checkpoint = log.checkpoint().unwrap();
    assert_eq!(checkpoint.revision, SNAPSHOT_INTERVAL);
    let text = serde_json::to_value(checkpoint).unwrap();
    let mut other = SheetLog::default();
    other.offer_object("snapshot-0000000256", &text);
    other.check_head();
    assert_eq!(slots(&other), SNAPSHOT_INTERVAL as u32);
}

/// Guards against an invalid revision that comes into force or that blocks later ones.
#[test]
fn an_invalid_revision_is_skipped_and_can_be_repaired() {
    let mut log = SheetLog::default();
    log.offer(1, entries(1).remove(0));
    assert!(log.check_head());
    let bad = Entry {
        token: "x".into(),
        base: 1,
        changes: [("throughput_weight".into(), Some(json!(7)))].into(),
    };
    log.offer(2, bad);
    assert!(!log.check_head());
    assert!(log.fault().unwrap().contains("throughput_weight"));
    assert_eq!(log.in_force().revision, 1);
    let good = Entry {
        token: "y".into(),
        base: 2,
        changes: [("throughput_weight".into(), Some(json!(0.5)))].into(),
    };
    log.offer(3, good);
    assert!(log.check_head());
    assert_eq!(log.in_force().revision, 3);
}

/// Guards against a bad sheet that reaches the log.
#[test]
fn a_bad_sheet_is_refused_as_a_whole_before_the_push() {
    let mut bad = sheet(&[("a", 1)]);
    bad.models.push(model("b", 0));
    let error = Push::new(&bad, &Snapshot::default(), "t".into()).unwrap_err();
    assert!(error.to_string().contains("models[1].slots"));
    let same = sheet(&[("a", 1)]);
    let base = Snapshot {
        revision: 4,
        parts: split(&same).unwrap(),
    };
    assert!(Push::new(&same, &base, "t".into()).unwrap().is_none());
}

/// What a call did in a modelled platform.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    /// The call is answered.
    None,
    /// A create takes effect or conflicts, and its answer is lost.
    LostAfter,
    /// A create takes effect later, at the latest when the push has ended, and its answer is lost.
    Late,
    /// Such a create takes effect just before the call.
    Arrives,
    /// The call never takes effect; the caller knows for a write.
    Refused,
    /// No answer and no effect.
    Lost,
    /// Another operator's entry appears before the call.
    Rival,
}

const FAULTS: [Fault; 7] = [
    Fault::None,
    Fault::LostAfter,
    Fault::Late,
    Fault::Arrives,
    Fault::Refused,
    Fault::Lost,
    Fault::Rival,
];

#[derive(Debug, Clone, Default)]
struct Store {
    token: Option<Arc<str>>,
    late: bool,
    creates: u32,
}

impl Store {
    fn create(&mut self, token: &Arc<str>, fault: Fault) -> Result<(), WriteError> {
        match fault {
            Fault::Refused => return Err(WriteError::Refused),
            Fault::Lost => return Err(WriteError::Unknown),
            Fault::Late => {
                self.late = true;
                return Err(WriteError::Unknown);
            }
            Fault::Rival if self.token.is_none() => self.token = Some("rival".into()),
            _ => {}
        }
        let free = self.token.is_none();
        if free {
            self.token = Some(token.clone());
            self.creates += 1;
        }
        match (fault, free) {
            (Fault::LostAfter, _) => Err(WriteError::Unknown),
            (_, true) => Ok(()),
            (_, false) => Err(WriteError::Conflict),
        }
    }

    fn read(&mut self, fault: Fault) -> Result<Option<Arc<str>>, ReadError> {
        match fault {
            Fault::Refused | Fault::Lost | Fault::LostAfter => Err(ReadError::Unavailable),
            Fault::Rival if self.token.is_none() => {
                self.token = Some("rival".into());
                Ok(self.token.clone())
            }
            _ => Ok(self.token.clone()),
        }
    }

    /// Lets creates take effect that were still on their way.
    fn settle(&mut self, token: &Arc<str>) {
        if self.late && self.token.is_none() {
            self.token = Some(token.clone());
            self.creates += 1;
        }
    }
}

/// Walks all sequences of faults from one state of a push.
fn explore(mut push: Push, mut store: Store, fault: Fault, ends: &mut u32) {
    let token = push.entry.token.clone();
    if fault == Fault::Arrives {
        store.settle(&token);
    }
    match push.step() {
        Step::Create => {
            let answer = store.create(&token, fault);
            push.created(answer);
        }
        Step::Read => {
            let answer = store.read(fault);
            push.read(answer);
        }
        Step::Done(_) => unreachable!(),
    }
    if let Step::Done(outcome) = push.step() {
        store.settle(&token);
        let ours = store.token.as_ref() == Some(&token);
        match outcome {
            Outcome::Accepted(1) => assert!(ours, "accepted and not in the log"),
            Outcome::Lost(winner) => {
                assert!(!ours, "told lost and stands in the log");
                assert_eq!(winner.revision, 1);
                assert!(winner.token.is_none() || winner.token == store.token);
            }
            Outcome::NotRun => assert!(!ours, "told not-run and stands in the log"),
            Outcome::MayHaveRun => {}
            other => panic!("unexpected end {other:?}"),
        }
        assert!(store.creates <= 1, "written twice");
        *ends += 1;
        return;
    }
    for fault in FAULTS {
        explore(push.clone(), store.clone(), fault, ends);
    }
}

/// Guards against a push that reports anything but what stands in the log, for each sequence of
/// answers of the platform.
#[test]
fn a_push_reports_what_stands_in_the_log() {
    let entry = entries(1).remove(0);
    let mut ends = 0;
    for fault in FAULTS {
        explore(
            Push::from_entry(entry.clone()),
            Store::default(),
            fault,
            &mut ends,
        );
    }
    assert!(ends > 1000, "only {ends} ends were reached");
}

/// Guards against a create that is repeated blindly after a lost answer, and against a loser who
/// is not told the winner.
#[test]
fn a_push_reads_back_after_a_lost_answer_and_names_the_winner() {
    let mut push = Push::from_entry(entries(1).remove(0));
    push.created(Err(WriteError::Unknown));
    assert_eq!(*push.step(), Step::Read);
    let mut same = push.clone();
    same.read(Ok(Some("writer-0".into())));
    assert_eq!(*same.step(), Step::Done(Outcome::Accepted(1)));
    push.read(Ok(Some("other".into())));
    let Step::Done(Outcome::Lost(winner)) = push.step() else {
        panic!("{:?}", push.step());
    };
    assert_eq!(
        (winner.revision, winner.token.as_deref()),
        (1, Some("other"))
    );
}

fn state() -> State {
    let me = Identity {
        id: "a".into(),
        session: 1,
        zone: "ipswich".into(),
        address: ([127, 0, 0, 1], 1).into(),
        leaving: false,
    };
    State::new(me, 1)
}

/// Returns the entries of three revisions as the platform has them.
fn objects(first: u64) -> Vec<Object> {
    let object = |(i, entry): (usize, &Entry)| Object {
        name: entry_name(i as u64 + 1).into(),
        version: first + i as u64,
        value: serde_json::to_value(entry).unwrap(),
    };
    entries(3).iter().enumerate().map(object).collect()
}

/// Guards against a check of the whole sheet for each of many changes, and against a change that
/// waits longer for its check than a quarter of the 16 s within which it must be in force.
#[test]
fn changes_in_quick_succession_are_checked_together() {
    const LATEST: Duration = Duration::from_secs(4);
    let mut state = state();
    let mut in_force = Vec::new();
    for (object, now) in objects(1).into_iter().zip([0, 0, 1]) {
        state.merge_objects(Watched::Sheet, vec![object], LATEST * now);
        in_force.push((state.log.head().revision, state.log.in_force().revision));
    }
    assert_eq!(in_force, [(1, 1), (2, 1), (3, 3)]);
}

/// Guards against a saved sheet that a restart ignores: the revisions came from a read after a
/// push, before the first watch, and the sheet was saved with version 0.
#[test]
fn a_sheet_that_was_read_before_the_first_watch_is_restored() {
    const FIRST_VERSION: u64 = 40;
    let mut before = state();
    before.merge_objects(Watched::Sheet, objects(FIRST_VERSION), Duration::ZERO);
    let saved = before.saved();
    assert_eq!(
        (saved.version, saved.snapshot.revision),
        (FIRST_VERSION + 2, 3)
    );
    let mut restarted = state();
    restarted.restore(saved, Duration::ZERO);
    assert_eq!(slots(&restarted.log), 3);
    let mut peer = state();
    let delta = restarted.view(Watched::Sheet).delta_since(0);
    peer.merge(Watched::Sheet, delta, Duration::ZERO);
    assert_eq!(slots(&peer.log), 3);
}
