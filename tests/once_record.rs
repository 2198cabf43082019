//! Records of non-repeatable requests, with every outcome of every step.

use std::sync::Arc;

use gentianpath::{
    ids::Version,
    once::{
        Once, Outcome, Record, STORED_BYTES, Step, StepResult, StoredAnswer, VersionedRecord,
        digest, record_name,
    },
    platform::{ReadError, WriteError},
    verdict::{RequestError, Verdict},
};

/// Behavior of the object service for one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Behavior {
    /// The call succeeds.
    Works,
    /// The call is refused or the service is down, and the caller knows it.
    Down,
    /// The call takes effect and its answer is lost.
    AnswerLost,
    /// The call does not take effect and no answer arrives.
    CallLost,
}

const BEHAVIORS: [Behavior; 4] = [
    Behavior::Works,
    Behavior::Down,
    Behavior::AnswerLost,
    Behavior::CallLost,
];

/// An object service with one object.
#[derive(Debug, Clone, Default)]
struct Store {
    object: Option<(Version, Record)>,
    version: Version,
    delayed: Option<Record>,
}

impl Store {
    fn create(&mut self, record: Record, behavior: Behavior) -> Result<Version, WriteError> {
        match behavior {
            Behavior::Down => return Err(WriteError::Refused),
            Behavior::CallLost => {
                self.delayed = Some(record);
                return Err(WriteError::Unknown);
            }
            Behavior::Works | Behavior::AnswerLost => {}
        }
        if self.object.is_some() {
            return lost(behavior, Err(WriteError::Conflict));
        }
        let version = self.put(record);
        lost(behavior, Ok(version))
    }

    fn update(
        &mut self,
        at: Version,
        record: Record,
        behavior: Behavior,
    ) -> Result<Version, WriteError> {
        match behavior {
            Behavior::Down => return Err(WriteError::Refused),
            Behavior::CallLost => return Err(WriteError::Unknown),
            Behavior::Works | Behavior::AnswerLost => {}
        }
        if self.object.as_ref().map(|o| o.0) != Some(at) {
            return lost(behavior, Err(WriteError::Conflict));
        }
        let version = self.put(record);
        lost(behavior, Ok(version))
    }

    fn remove(&mut self, at: Version, behavior: Behavior) -> Result<Version, WriteError> {
        match behavior {
            Behavior::Down => return Err(WriteError::Refused),
            Behavior::CallLost => return Err(WriteError::Unknown),
            Behavior::Works | Behavior::AnswerLost => {}
        }
        if self.object.as_ref().map(|o| o.0) != Some(at) {
            return lost(behavior, Err(WriteError::Conflict));
        }
        self.object = None;
        lost(behavior, Ok(at))
    }

    fn read(&self, behavior: Behavior) -> Result<Option<VersionedRecord>, ReadError> {
        if behavior != Behavior::Works {
            return Err(ReadError::Unavailable);
        }
        let found = self
            .object
            .clone()
            .map(|(version, record)| VersionedRecord {
                version,
                record: Some(record),
            });
        Ok(found)
    }

    /// Applies a create that was delayed.
    fn apply_delayed(&mut self) {
        if let (None, Some(record)) = (&self.object, self.delayed.take()) {
            self.put(record);
        }
    }

    fn put(&mut self, record: Record) -> Version {
        self.version += 1;
        self.object = Some((self.version, record));
        self.version
    }
}

fn lost(behavior: Behavior, result: Result<Version, WriteError>) -> Result<Version, WriteError> {
    if behavior == Behavior::AnswerLost {
        return Err(WriteError::Unknown);
    }
    result
}

/// Outcome of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Run {
    Whole,
    TooLarge,
    Unsent,
    MayHaveRun,
    /// The entry instance crashes after creating the record, before the request is sent.
    CrashBefore,
    /// The entry instance crashes while the request is running.
    CrashDuring,
}

const RUNS: [Run; 6] = [
    Run::Whole,
    Run::TooLarge,
    Run::Unsent,
    Run::MayHaveRun,
    Run::CrashBefore,
    Run::CrashDuring,
];

/// Result of one request.
#[derive(Debug, Clone, PartialEq)]
enum End {
    Ran(Run),
    Returned(StoredAnswer),
    Refused(RequestError),
}

fn answer(length: usize) -> StoredAnswer {
    StoredAnswer {
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
        Run::MayHaveRun => Some(Outcome::MayHaveRun),
        Run::CrashBefore | Run::CrashDuring => None,
    }
}

/// Runs one request. Calls of the object service behave as listed, in turn, and succeed after that.
fn drive(store: &mut Store, token: &str, request: &str, run: Run, behaviors: &[Behavior]) -> End {
    let (mut once, mut step) = Once::begin(token.into(), request.into());
    let mut behaviors = behaviors.iter().copied();
    let mut end = None;
    loop {
        let result = match step {
            Step::Create(record) => StepResult::Wrote(store.create(record, next(&mut behaviors))),
            Step::Read => StepResult::Read(store.read(next(&mut behaviors))),
            Step::Update(at, record) => {
                StepResult::Wrote(store.update(at, record, next(&mut behaviors)))
            }
            Step::Remove(at) => StepResult::Wrote(store.remove(at, next(&mut behaviors))),
            Step::Dispatch => {
                assert_eq!(end, None, "dispatched twice");
                end = Some(End::Ran(run));
                match outcome(run) {
                    Some(outcome) => StepResult::Ran(outcome),
                    None => break,
                }
            }
            Step::Return(stored) => return End::Returned(stored),
            Step::Refuse(error) => return End::Refused(error),
            Step::Complete => break,
        };
        step = once.advance(result);
    }
    end.expect("a result")
}

fn next(behaviors: &mut impl Iterator<Item = Behavior>) -> Behavior {
    behaviors.next().unwrap_or(Behavior::Works)
}

/// Returns all sequences of behaviors of a given length.
fn sequences(length: usize) -> Vec<Vec<Behavior>> {
    let mut all = vec![vec![]];
    for _ in 0..length {
        let longer = |s: &Vec<Behavior>| BEHAVIORS.map(|f| [s.as_slice(), &[f]].concat()).to_vec();
        all = all.iter().flat_map(longer).collect();
    }
    all
}

fn ran(end: &End) -> bool {
    matches!(
        end,
        End::Ran(Run::Whole | Run::TooLarge | Run::MayHaveRun | Run::CrashDuring)
    )
}

fn verdict(end: &End) -> Option<Verdict> {
    match end {
        End::Refused(error) => Some(error.verdict),
        _ => None,
    }
}

/// Guards against a second run of a non-repeatable request that is resent through another instance,
/// for every combination of store behaviors and run outcomes.
#[test]
fn resend_never_runs_a_second_time() {
    for run in RUNS {
        for behaviors in sequences(4) {
            for late in [false, true] {
                let mut store = Store::default();
                let first = drive(&mut store, "a", "r", run, &behaviors);
                if late {
                    store.apply_delayed();
                }
                let second = drive(&mut store, "b", "r", Run::Whole, &[]);
                assert!(
                    !(ran(&first) && ran(&second)),
                    "{run:?} {behaviors:?}: {first:?}, {second:?}"
                );
            }
        }
    }
}

/// Guards against two runs of a non-repeatable request that is resent before the first call has
/// returned: the second call is made between the steps of the first.
#[test]
fn overlapping_resends_run_once() {
    for behaviors in sequences(2) {
        let mut store = Store::default();
        let (mut first, step) = Once::begin("a".into(), "r".into());
        let Step::Create(record) = step else {
            panic!("the first step creates the record");
        };
        let created = store.create(record, behaviors[0]);
        let second = drive(&mut store, "b", "r", Run::MayHaveRun, &[]);
        store.apply_delayed();
        let mut step = first.advance(StepResult::Wrote(created));
        if step == Step::Read {
            step = first.advance(StepResult::Read(store.read(behaviors[1])));
        }
        assert!(
            !(step == Step::Dispatch && ran(&second)),
            "{behaviors:?}: both ran"
        );
    }
}

/// Guards against a resend being refused as not-run after the first call ran. The object service is
/// available for the resend; otherwise not-run would be right for it.
#[test]
fn resend_after_a_run_is_never_called_not_run() {
    for run in [Run::Whole, Run::TooLarge, Run::MayHaveRun, Run::CrashDuring] {
        for behaviors in sequences(4) {
            let mut store = Store::default();
            let first = drive(&mut store, "a", "r", run, &behaviors);
            if !ran(&first) {
                continue;
            }
            let second = drive(&mut store, "b", "r", Run::Whole, &[]);
            assert_ne!(
                verdict(&second),
                Some(Verdict::NotRun),
                "{run:?} {behaviors:?}"
            );
        }
    }
}

/// Guards against a run without a record: while the object service is down nothing is sent, and the
/// refusal has the verdict not-run and a retry time.
#[test]
fn outage_refuses_without_sending() {
    for behavior in [Behavior::Down, Behavior::CallLost] {
        let mut store = Store::default();
        let end = drive(
            &mut store,
            "a",
            "r",
            Run::Whole,
            &[behavior, Behavior::Down],
        );
        let End::Refused(error) = end else {
            panic!("{behavior:?}: {end:?}");
        };
        assert_eq!(error.verdict, Verdict::NotRun);
        assert_eq!(error.reason.status(), 503);
        assert!(error.retry_after.is_some());
    }
}

/// Guards against a refusal when only the answer to the create was lost: the record that is read
/// back has the request's own token.
#[test]
fn lost_answer_to_the_create_is_read_back() {
    let mut store = Store::default();
    let end = drive(&mut store, "a", "r", Run::Whole, &[Behavior::AnswerLost]);
    assert_eq!(end, End::Ran(Run::Whole));
}

/// Guards against a resend that does not get the stored answer, for all faults of the write that
/// stores it.
#[test]
fn resend_gets_the_stored_answer() {
    for behaviors in sequences(2) {
        let mut store = Store::default();
        let behaviors = [&[Behavior::Works], behaviors.as_slice()].concat();
        drive(&mut store, "a", "r", Run::Whole, &behaviors);
        let second = drive(&mut store, "b", "r", Run::Whole, &[]);
        assert_eq!(second, End::Returned(answer(STORED_BYTES)), "{behaviors:?}");
    }
}

/// Guards against a second run of a request whose answer is too large to store, and against a
/// record that contains such an answer.
#[test]
fn large_answer_is_recorded_without_text() {
    let mut store = Store::default();
    drive(&mut store, "a", "r", Run::TooLarge, &[]);
    let record = &store.object.as_ref().expect("a record").1;
    assert_eq!((record.done, &record.answer), (true, &None));
    let second = drive(&mut store, "b", "r", Run::Whole, &[]);
    assert_eq!(verdict(&second), Some(Verdict::MayHaveRun));
}

/// Guards against the record of a request that did not run blocking its resend for ever.
#[test]
fn request_that_did_not_run_can_be_resent() {
    let mut store = Store::default();
    drive(&mut store, "a", "r", Run::Unsent, &[]);
    let second = drive(&mut store, "b", "r", Run::Whole, &[]);
    assert_eq!(second, End::Ran(Run::Whole));
}

/// Guards against returning the answer of another request with the same key.
#[test]
fn key_of_another_request_is_refused() {
    let mut store = Store::default();
    drive(&mut store, "a", "r", Run::Whole, &[]);
    let other = drive(&mut store, "b", "other", Run::Whole, &[]);
    assert_eq!(verdict(&other), Some(Verdict::NotRun));
}

/// Guards against treating a record that cannot be decoded as absent.
#[test]
fn unknown_record_is_not_dispatched() {
    let (mut once, _) = Once::begin("a".into(), "r".into());
    once.advance(StepResult::Wrote(Err(WriteError::Conflict)));
    let found = VersionedRecord {
        version: 1,
        record: None,
    };
    let step = once.advance(StepResult::Read(Ok(Some(found))));
    let Step::Refuse(error) = step else {
        panic!("{step:?}");
    };
    assert_eq!(error.verdict, Verdict::MayHaveRun);
}

/// Guards against digests that differ between builds or instances, and against record names that
/// the object service rejects.
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
