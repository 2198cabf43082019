//! Losses of engines that run items of a held group.

use std::{sync::Arc, time::Duration};

use gentianpath::{
    claim::{Answer, Phase},
    held::{Held, RunReport, request_id},
    item_run::{Fault, Partial, RunEnd},
    job_record::{
        Claim, GroupKey, GroupRecord, JobRecord, JobState, LOSS_LIMIT, Outcome, Repeat,
        SUSPECT_LOSSES,
    },
    kv::Policy,
    view::WorkerInfo,
};

const ITEMS: usize = 3;
/// Least time that all losses of an item take.
const SPREAD: Duration = Duration::from_secs(120);
/// A time at which any item may start again.
const LATER: Duration = Duration::from_secs(1000);

fn job(repeat: Repeat) -> Arc<JobRecord> {
    Arc::new(JobRecord {
        team: "t".into(),
        model: "m".into(),
        deadline: 1,
        items: ITEMS as u64,
        groups: 1,
        never: u32::from(repeat == Repeat::Never),
        digest: "d".into(),
        token: 1,
        state: JobState::Ready,
    })
}

/// Claims the group for an instance. `stored` is the record of an earlier holder.
fn claim_group(name: &str, repeat: Repeat, stored: Option<GroupRecord>) -> Held {
    let key = GroupKey {
        job: "j".into(),
        index: 0,
    };
    let identity = Claim {
        holder: name.into(),
        session: 1,
    };
    let mut held = Held::new(key, job(repeat), identity, 1, Duration::ZERO);
    let answer = stored.map_or(Answer::Absent, |r| Answer::Found(1, Arc::new(r)));
    held.holder.answer(answer, 0);
    held.holder.claim(ITEMS, 2);
    held.holder.answer(Answer::Written(2), 0);
    assert_eq!(*held.holder.phase(), Phase::Held);
    held.prepare(Duration::ZERO);
    held
}

fn fresh(held: &Held, item: usize, worker: &str) -> Partial {
    Partial {
        worker: worker.into(),
        request: request_id(&held.key, item, &mut fastrand::Rng::with_seed(1)),
        text: String::new(),
        next: 0,
        state: None,
        fault: Fault::None,
    }
}

/// Runs an item and loses its engine. Returns when it may start again, and the result of the run.
fn lose(held: &mut Held, item: usize, now: Duration) -> (Duration, RunReport) {
    let mut rng = fastrand::Rng::with_seed(7);
    let partial = fresh(held, item, "w");
    held.launch(item, partial).expect("the item may run");
    let report = held.run_ended(item, RunEnd::Lost, now, &mut rng);
    let mut after = now;
    while report == RunReport::WorkerFailed && held.next_ready(false, after) != Some(item) {
        after += Duration::from_millis(100);
    }
    (after, report)
}

fn losses(held: &Held) -> u8 {
    held.holder.record().items[0].losses
}

/// Guards against an item that crashes each of its engines and is retried forever, also when its
/// group changes its holder, and against a loss limit that is used up within seconds.
#[test]
fn an_item_that_loses_its_engines_ends_after_a_hand_over_too() {
    let mut held = claim_group("a", Repeat::Allowed, None);
    for item in 1..ITEMS {
        let text = "done".into();
        held.launch(item, fresh(&held, item, "w")).unwrap();
        held.run_ended(
            item,
            RunEnd::Done(text),
            Duration::ZERO,
            &mut fastrand::Rng::new(),
        );
    }
    let mut now = Duration::ZERO;
    for count in 1..LOSS_LIMIT {
        let (after, report) = lose(&mut held, 0, now);
        assert_eq!(report, RunReport::WorkerFailed);
        assert_eq!(losses(&held), count);
        now = after;
        if count == LOSS_LIMIT / 2 {
            // The next holder reads the record from the object service.
            let stored = serde_json::to_string(held.holder.record()).unwrap();
            held = claim_group("b", Repeat::Allowed, serde_json::from_str(&stored).ok());
        }
    }
    assert!(now >= SPREAD, "all losses within {now:?}");
    let (_, report) = lose(&mut held, 0, now);
    let Some(Outcome::Failed { reason }) = held.holder.record().items[0].outcome.clone() else {
        panic!("the item goes on: {:?}", held.holder.record());
    };
    assert_eq!(report, RunReport::Lost(reason.clone()));
    assert!(reason.contains("workers were lost"), "{reason}");
    assert_eq!(held.holder.record().items[0].attempts, 0);
    assert!(held.holder.record().finished());
}

/// Guards against a second run of a non-repeatable item, which ends with its first run that may have
/// happened.
#[test]
fn a_lost_engine_ends_an_item_that_may_not_be_repeated() {
    let mut held = claim_group("a", Repeat::Never, None);
    let (_, report) = lose(&mut held, 0, Duration::ZERO);
    assert_eq!(report, RunReport::MayHaveRun);
    let outcome = &held.holder.record().items[0].outcome;
    assert_eq!(*outcome, Some(Outcome::MayHaveRun));
    assert!(held.launch(0, fresh(&held, 0, "w")).is_none());
}

/// Guards against items that fail because they ran together with one that crashes engines.
#[test]
fn items_that_lost_engines_do_not_run_together() {
    let mut held = claim_group("a", Repeat::Allowed, None);
    for item in [0, 1] {
        for _ in 0..SUSPECT_LOSSES {
            lose_at_once(&mut held, item);
        }
    }
    assert!(!held.suspect_on("w"));
    held.launch(0, fresh(&held, 0, "w")).unwrap();
    assert!(held.suspect_on("w") && !held.suspect_on("other"));
    assert_eq!(held.next_ready(held.suspect_on("w"), LATER), Some(2));
    assert_eq!(held.next_ready(held.suspect_on("other"), LATER), Some(1));
    let next = claim_group("b", Repeat::Allowed, Some(held.holder.record().clone()));
    assert_eq!(
        next.next_ready(true, LATER),
        Some(2),
        "forgotten by the next holder"
    );
}

fn lose_at_once(held: &mut Held, item: usize) {
    let partial = fresh(held, item, "w");
    held.launch(item, partial).unwrap();
    held.run_ended(
        item,
        RunEnd::Lost,
        Duration::ZERO,
        &mut fastrand::Rng::new(),
    );
}

/// Guards against a disconnected engine that counts as a loss, and against a dead engine that counts
/// as disconnected.
#[test]
fn a_silent_engine_is_lost_only_when_it_left_or_forgot_the_stream() {
    for (fault, listed, expected) in [
        (Fault::None, false, 0),
        (Fault::Silent, true, 0),
        (Fault::Silent, false, 1),
        (Fault::Broken, true, 1),
        (Fault::Broken, false, 1),
    ] {
        let mut held = claim_group("a", Repeat::Allowed, None);
        stop(&mut held, fault);
        let mut rng = fastrand::Rng::with_seed(3);
        let workers = if listed { vec![worker("w")] } else { vec![] };
        let policy = Policy {
            workers: &workers,
            targets: &[],
            tokens: 1,
        };
        assert_eq!(held.expire(LATER, &mut rng, &policy).len(), 1);
        assert_eq!(losses(&held), expected, "{fault:?}, listed: {listed}");

        let mut held = claim_group("a", Repeat::Allowed, None);
        stop(&mut held, fault);
        held.launch(0, fresh(&held, 0, "w")).unwrap();
        held.run_ended(0, RunEnd::Gone, LATER, &mut rng);
        let expected = u8::from(fault != Fault::None);
        assert_eq!(losses(&held), expected, "{fault:?}, the stream is gone");
    }
}

fn worker(id: &str) -> WorkerInfo {
    WorkerInfo {
        id: id.into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "z".into(),
        model: Some("m".into()),
        version: "1".into(),
        slots: 4,
        leaving: false,
        owner: None,
    }
}

fn stop(held: &mut Held, fault: Fault) {
    let partial = Partial {
        fault,
        ..fresh(held, 0, "w")
    };
    held.launch(0, partial.clone()).unwrap();
    let healthy = fault == Fault::None;
    let end = RunEnd::Stopped { partial, healthy };
    held.run_ended(0, end, Duration::ZERO, &mut fastrand::Rng::with_seed(5));
}
