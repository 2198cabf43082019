//! Records of requests that may not be repeated: every outcome of every step.

use std::sync::Arc;

use gentianpath::{
    ids::Version,
    once::{Held, Once, Outcome, Record, STORED_BYTES, Seen, Step, Stored, digest, record_name},
    platform::{ReadError, WriteError},
    verdict::{RequestError, Verdict},
};

/// What the object service does to one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fate {
    /// It works.
    Works,
    /// It is refused or down, and the caller knows.
    Down,
    /// It takes effect and the answer is lost.
    AnswerLost,
    /// It does not take effect and no answer comes.
    CallLost,
}

const FATES: [Fate; 4] = [Fate::Works, Fate::Down, Fate::AnswerLost, Fate::CallLost];

/// An object service with one object, whose calls meet the given fates in turn.
#[derive(Debug, Clone, Default)]
struct Store {
    object: Option<(Version, Record)>,
    version: Version,
    late: Option<Record>,
}

impl Store {
    fn create(&mut self, record: Record, fate: Fate) -> Result<Version, WriteError> {
        match fate {
            Fate::Down => return Err(WriteError::Refused),
            Fate::CallLost => {
                self.late = Some(record);
                return Err(WriteError::Unknown);
            }
            Fate::Works | Fate::AnswerLost => {}
        }
        if self.object.is_some() {
            return lost(fate, Err(WriteError::Conflict));
        }
        let version = self.put(record);
        lost(fate, Ok(version))
    }

    fn update(&mut self, at: Version, record: Record, fate: Fate) -> Result<Version, WriteError> {
        match fate {
            Fate::Down => return Err(WriteError::Refused),
            Fate::CallLost => return Err(WriteError::Unknown),
            Fate::Works | Fate::AnswerLost => {}
        }
        if self.object.as_ref().map(|o| o.0) != Some(at) {
            return lost(fate, Err(WriteError::Conflict));
        }
        let version = self.put(record);
        lost(fate, Ok(version))
    }

    fn remove(&mut self, at: Version, fate: Fate) -> Result<Version, WriteError> {
        match fate {
            Fate::Down => return Err(WriteError::Refused),
            Fate::CallLost => return Err(WriteError::Unknown),
            Fate::Works | Fate::AnswerLost => {}
        }
        if self.object.as_ref().map(|o| o.0) != Some(at) {
            return lost(fate, Err(WriteError::Conflict));
        }
        self.object = None;
        lost(fate, Ok(at))
    }

    fn read(&self, fate: Fate) -> Result<Option<Held>, ReadError> {
        if fate != Fate::Works {
            return Err(ReadError::Unavailable);
        }
        let held = self.object.clone().map(|(version, record)| Held {
            version,
            record: Some(record),
        });
        Ok(held)
    }

    /// Lets a create that was still under way take effect.
    fn settle(&mut self) {
        if let (None, Some(record)) = (&self.object, self.late.take()) {
            self.put(record);
        }
    }

    fn put(&mut self, record: Record) -> Version {
        self.version += 1;
        self.object = Some((self.version, record));
        self.version
    }
}

fn lost(fate: Fate, result: Result<Version, WriteError>) -> Result<Version, WriteError> {
    if fate == Fate::AnswerLost {
        return Err(WriteError::Unknown);
    }
    result
}

/// How the run of a request goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Run {
    Whole,
    TooLarge,
    Unsent,
    InDoubt,
    /// The entry dies after the record and before the request is sent.
    DeathBefore,
    /// The entry dies while the request runs.
    DeathDuring,
}

const RUNS: [Run; 6] = [
    Run::Whole,
    Run::TooLarge,
    Run::Unsent,
    Run::InDoubt,
    Run::DeathBefore,
    Run::DeathDuring,
];

/// What became of one request.
#[derive(Debug, Clone, PartialEq)]
enum End {
    Ran(Run),
    Returned(Stored),
    Refused(RequestError),
}

fn answer(length: usize) -> Stored {
    Stored {
        status: 200,
        kind: "text/plain".into(),
        body: "x".repeat(length).into(),
    }
}

fn outcome(run: Run) -> Option<Outcome> {
    match run {
        Run::Whole => Some(Outcome::Answered(Some(answer(STORED_BYTES)))),
        Run::TooLarge => Some(Outcome::Answered(Some(answer(STORED_BYTES + 1)))),
        Run::Unsent => Some(Outcome::NotRun),
        Run::InDoubt => Some(Outcome::InDoubt),
        Run::DeathBefore | Run::DeathDuring => None,
    }
}

/// Drives one request; calls of the object service meet the fates in turn, and work after them.
fn drive(store: &mut Store, token: &str, request: &str, run: Run, fates: &[Fate]) -> End {
    let (mut once, mut step) = Once::begin(token.into(), request.into());
    let mut fates = fates.iter().copied();
    let mut end = None;
    loop {
        let seen = match step {
            Step::Create(record) => Seen::Wrote(store.create(record, next(&mut fates))),
            Step::Read => Seen::Read(store.read(next(&mut fates))),
            Step::Update(at, record) => Seen::Wrote(store.update(at, record, next(&mut fates))),
            Step::Remove(at) => Seen::Wrote(store.remove(at, next(&mut fates))),
            Step::Dispatch => {
                assert_eq!(end, None, "dispatched twice");
                end = Some(End::Ran(run));
                match outcome(run) {
                    Some(outcome) => Seen::Ran(outcome),
                    None => break,
                }
            }
            Step::Return(stored) => return End::Returned(stored),
            Step::Refuse(error) => return End::Refused(error),
            Step::Over => break,
        };
        step = once.on(seen);
    }
    end.expect("a request runs, is answered or is refused")
}

fn next(fates: &mut impl Iterator<Item = Fate>) -> Fate {
    fates.next().unwrap_or(Fate::Works)
}

/// Returns all sequences of fates of a length.
fn sequences(length: usize) -> Vec<Vec<Fate>> {
    let mut all = vec![vec![]];
    for _ in 0..length {
        let longer = |s: &Vec<Fate>| FATES.map(|f| [s.as_slice(), &[f]].concat()).to_vec();
        all = all.iter().flat_map(longer).collect();
    }
    all
}

fn ran(end: &End) -> bool {
    matches!(
        end,
        End::Ran(Run::Whole | Run::TooLarge | Run::InDoubt | Run::DeathDuring)
    )
}

fn verdict(end: &End) -> Option<Verdict> {
    match end {
        End::Refused(error) => Some(error.verdict),
        _ => None,
    }
}

/// Guards against a second run of a marked request when it is resent through another instance,
/// for each way in which the calls of the object service and the run can go.
#[test]
fn resend_never_runs_a_second_time() {
    for run in RUNS {
        for fates in sequences(4) {
            for late in [false, true] {
                let mut store = Store::default();
                let first = drive(&mut store, "a", "r", run, &fates);
                if late {
                    store.settle();
                }
                let second = drive(&mut store, "b", "r", Run::Whole, &[]);
                assert!(
                    !(ran(&first) && ran(&second)),
                    "{run:?} {fates:?}: {first:?}, {second:?}"
                );
            }
        }
    }
}

/// Guards against two runs of a marked request that is resent before the first call has returned:
/// the second call meets the record at each point of the first.
#[test]
fn overlapping_resends_run_once() {
    for fates in sequences(2) {
        let mut store = Store::default();
        let (mut first, step) = Once::begin("a".into(), "r".into());
        let Step::Create(record) = step else {
            panic!("a request begins with its record");
        };
        let created = store.create(record, fates[0]);
        let second = drive(&mut store, "b", "r", Run::InDoubt, &[]);
        store.settle();
        let mut step = first.on(Seen::Wrote(created));
        if step == Step::Read {
            step = first.on(Seen::Read(store.read(fates[1])));
        }
        assert!(
            !(step == Step::Dispatch && ran(&second)),
            "{fates:?}: both ran"
        );
    }
}

/// Guards against a refusal of a resend that says not-run after the first call ran, unless the
/// object service was down for the resend itself.
#[test]
fn resend_after_a_run_is_never_called_not_run() {
    for run in [Run::Whole, Run::TooLarge, Run::InDoubt, Run::DeathDuring] {
        for fates in sequences(4) {
            let mut store = Store::default();
            let first = drive(&mut store, "a", "r", run, &fates);
            if !ran(&first) {
                continue;
            }
            let second = drive(&mut store, "b", "r", Run::Whole, &[]);
            assert_ne!(verdict(&second), Some(Verdict::NotRun), "{run:?} {fates:?}");
        }
    }
}

/// Guards against a run without a record: with the object service down nothing is sent, and the
/// refusal says not-run and when to try again.
#[test]
fn outage_refuses_without_sending() {
    for fate in [Fate::Down, Fate::CallLost] {
        let mut store = Store::default();
        let end = drive(&mut store, "a", "r", Run::Whole, &[fate, Fate::Down]);
        let End::Refused(error) = end else {
            panic!("{fate:?}: {end:?}");
        };
        assert_eq!(error.verdict, Verdict::NotRun);
        assert_eq!(error.reason.status(), 503);
        assert!(error.retry_after.is_some());
    }
}

/// Guards against a refusal when only the answer to the create was lost: the record is ours.
#[test]
fn lost_answer_to_the_create_is_read_back() {
    let mut store = Store::default();
    let end = drive(&mut store, "a", "r", Run::Whole, &[Fate::AnswerLost]);
    assert_eq!(end, End::Ran(Run::Whole));
}

/// Guards against a resend without the stored answer, however the store's answer is lost.
#[test]
fn resend_gets_the_stored_answer() {
    for fates in sequences(2) {
        let mut store = Store::default();
        let fates = [&[Fate::Works], fates.as_slice()].concat();
        drive(&mut store, "a", "r", Run::Whole, &fates);
        let second = drive(&mut store, "b", "r", Run::Whole, &[]);
        assert_eq!(second, End::Returned(answer(STORED_BYTES)), "{fates:?}");
    }
}

/// Guards against a resend of a request with an answer that is too large to store running again,
/// and against a record that grows with the answer.
#[test]
fn large_answer_is_recorded_without_text() {
    let mut store = Store::default();
    drive(&mut store, "a", "r", Run::TooLarge, &[]);
    let record = &store.object.as_ref().expect("a record").1;
    assert_eq!((record.done, &record.answer), (true, &None));
    let second = drive(&mut store, "b", "r", Run::Whole, &[]);
    assert_eq!(verdict(&second), Some(Verdict::MayHaveRun));
}

/// Guards against a request that did not run blocking its resend for ever.
#[test]
fn request_that_did_not_run_can_be_resent() {
    let mut store = Store::default();
    drive(&mut store, "a", "r", Run::Unsent, &[]);
    let second = drive(&mut store, "b", "r", Run::Whole, &[]);
    assert_eq!(second, End::Ran(Run::Whole));
}

/// Guards against the answer of another request under the same key.
#[test]
fn key_of_another_request_is_refused() {
    let mut store = Store::default();
    drive(&mut store, "a", "r", Run::Whole, &[]);
    let other = drive(&mut store, "b", "other", Run::Whole, &[]);
    assert_eq!(verdict(&other), Some(Verdict::NotRun));
}

/// Guards against a record that cannot be understood being taken for none.
#[test]
fn unknown_record_is_not_dispatched() {
    let (mut once, _) = Once::begin("a".into(), "r".into());
    once.on(Seen::Wrote(Err(WriteError::Conflict)));
    let held = Held {
        version: 1,
        record: None,
    };
    let step = once.on(Seen::Read(Ok(Some(held))));
    let Step::Refuse(error) = step else {
        panic!("{step:?}");
    };
    assert_eq!(error.verdict, Verdict::MayHaveRun);
}

/// Guards against digests that differ between builds or instances, and against names that the
/// object service does not take.
#[test]
fn names_of_records_are_stable() {
    let team: Arc<str> = "t".into();
    let name = record_name(&team, "key/with ../odd bytes");
    assert_eq!(name, record_name(&team, "key/with ../odd bytes"));
    assert!(name.chars().all(|c| c.is_ascii_alphanumeric() || c == '.'));
    assert_eq!(digest(&[b"ab", b"c"]).len(), 64);
    assert_ne!(digest(&[b"ab", b"c"]), digest(&[b"a", b"bc"]));
    assert_eq!(
        digest(&[]),
        "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"
    );
}
