//! Deadlines of jobs from their submission and from the sheet.

use std::{sync::Arc, time::Duration};

use gentianpath::{
    job_record::{JobRecord, JobState},
    jobs::Jobs,
    platform::Object,
    sheet::Sheet,
};

fn object(name: &str, deadline: u64) -> Object {
    let record = JobRecord {
        team: "t".into(),
        model: "m".into(),
        deadline,
        items: 10,
        groups: 1,
        never: 0,
        digest: "d".into(),
        token: Default::default(),
        state: JobState::Ready,
    };
    Object {
        name: name.into(),
        version: 1,
        value: serde_json::to_value(record).unwrap(),
    }
}

/// Guards against deadlines of a sheet that have no effect on jobs submitted before.
#[test]
fn a_deadline_of_the_sheet_replaces_that_of_the_submission() {
    let mut jobs = Jobs::new("a".into());
    jobs.observe(&object("early", 100));
    jobs.observe(&object("late", 200));
    let sheet = r#"{
        "deployment": "test", "throughput_weight": 0.5,
        "models": [{"name": "m", "version": "1", "slots": 4}],
        "jobs": [{"name": "late", "model": "m", "deadline": 50}]
    }"#;
    jobs.set_sheet(Arc::new(Sheet::parse(sheet).unwrap()));
    let mut pending = jobs.claimable(Duration::ZERO, Duration::from_secs(10), |_| true);
    pending.sort_by_key(|p| p.time_left);
    let times: Vec<_> = pending
        .iter()
        .map(|p| (&*p.job, p.time_left.as_secs()))
        .collect();
    assert_eq!(times, [("late", 40), ("early", 90)]);
}
