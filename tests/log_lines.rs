//! The bound on log lines, and the life of a request as it is read from them.

use std::time::Duration;

use gentianpath::{
    explain::{Line, select},
    volume::{LINES, Omitted, ROUTINE_LINES, Volume, Weight},
};
use quickcheck::quickcheck;

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

quickcheck! {
    /// Guards against a process that floods its reader, and against a failure that is left out in
    /// favour of requests that go well.
    fn lines_stay_within_the_bound_and_failures_go_first(routine: u16, failures: u16) -> bool {
        let mut volume = Volume::default();
        let mut count = |weight, lines: u16| -> u32 {
            (0..lines).map(|n| u32::from(volume.admit(weight, at(u64::from(n) % 1000)))).sum()
        };
        let routine = count(Weight::Routine, routine);
        let written = count(Weight::Important, failures);
        routine <= ROUTINE_LINES
            && routine + written <= LINES
            && written >= u32::from(failures).min(LINES - ROUTINE_LINES)
    }
}

/// Guards against lines that go missing without a trace.
#[test]
fn lines_that_are_left_out_are_counted_once() {
    let mut volume = Volume::default();
    for _ in 0..LINES + 7 {
        volume.admit(Weight::Important, at(10));
    }
    volume.admit(Weight::Routine, at(20));
    assert_eq!(volume.take_omitted(3, at(900)), None);
    let omitted = Omitted {
        routine: 1,
        important: 7,
        dropped: 3,
    };
    assert_eq!(volume.take_omitted(3, at(1000)), Some(omitted));
    assert!(volume.admit(Weight::Routine, at(1000)));
    assert_eq!(volume.take_omitted(3, at(2000)), None);
}

fn lines() -> Vec<Line> {
    let log = r#"
        collector: time=2026-12-04T09:00:02.000Z level=info instance=b event=item-started code=2037 job=j1 item=i1 worker=w
        time=2026-12-04T09:00:01.000Z level=info instance=a event=job-accepted code=2001 job=j1 items=2
        time=2026-12-04T09:00:02.500Z level=warn instance=b event=platform-lost code=3008 at_ms=1
        time=2026-12-04T09:00:02.600Z level=warn instance=c event=platform-lost code=3008 at_ms=1
        time=2026-12-04T09:00:03.000Z level=warn instance=b event=item-broken code=2035 job=j1 item=i1 reason="broken, job=j9 too"
        time=2026-12-04T09:00:03.500Z level=info instance=b event=item-started code=2037 job=j1 item=i2 worker=w
        not a line of the program
        time=2026-12-04T09:00:04.000Z level=info instance=b event=page-committed code=2033 job=j1 page=0"#;
    log.lines().filter_map(Line::parse).collect()
}

/// Guards against a life of an item that misses its job, takes in its neighbours or stands in the
/// order of the files.
#[test]
fn the_life_of_an_item_has_its_job_and_what_its_instances_learned() {
    let events = |id| -> Vec<String> {
        let chosen = select(&lines(), id);
        let name = |l: &Line| format!("{} {}", l.instance, l.event);
        chosen.iter().map(name).collect()
    };
    let life = [
        "a job-accepted",
        "b item-started",
        "b platform-lost",
        "b item-broken",
        "b page-committed",
    ];
    assert_eq!(events("i1"), life);
    assert_eq!(events("j1").len(), 6);
    assert!(events("j9").is_empty());
    assert!(events("none").is_empty());
}
