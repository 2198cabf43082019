//! Rate limit of log lines, and the history of an id that `explain` selects from them.

use std::time::Duration;

use gentianpath::{
    explain::{Line, select},
    volume::{Importance, LINES, Omitted, ROUTINE_LINES, Volume},
};
use quickcheck::quickcheck;

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

quickcheck! {
    /// Guards against more lines than the limit, and against failures that are omitted in favour of
    /// routine lines.
    fn lines_stay_within_the_bound_and_failures_go_first(routine: u16, failures: u16) -> bool {
        let mut volume = Volume::default();
        let mut count = |importance, lines: u16| -> u32 {
            (0..lines).map(|n| u32::from(volume.admit(importance, at(u64::from(n) % 1000)))).sum()
        };
        let routine = count(Importance::Routine, routine);
        let written = count(Importance::Important, failures);
        routine <= ROUTINE_LINES
            && routine + written <= LINES
            && written >= u32::from(failures).min(LINES - ROUTINE_LINES)
    }
}

/// Guards against omitted lines that are not counted, or counted twice.
#[test]
fn omitted_lines_are_counted_once() {
    let mut volume = Volume::default();
    for _ in 0..LINES + 7 {
        volume.admit(Importance::Important, at(10));
    }
    volume.admit(Importance::Routine, at(20));
    assert_eq!(volume.take_omitted(3, at(900)), None);
    let omitted = Omitted {
        routine: 1,
        important: 7,
        dropped: 3,
    };
    assert_eq!(volume.take_omitted(3, at(1000)), Some(omitted));
    assert!(volume.admit(Importance::Routine, at(1000)));
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

/// Guards against a history of an item that lacks the lines of its job, includes other items, or is
/// not sorted by time.
#[test]
fn the_history_of_an_item_includes_its_job_and_context_events() {
    let events = |id| -> Vec<String> {
        let chosen = select(&lines(), id);
        let name = |l: &Line| format!("{} {}", l.instance, l.event);
        chosen.iter().map(name).collect()
    };
    let history = [
        "a job-accepted",
        "b item-started",
        "b platform-lost",
        "b item-broken",
        "b page-committed",
    ];
    assert_eq!(events("i1"), history);
    assert_eq!(events("j1").len(), 6);
    assert!(events("j9").is_empty());
    assert!(events("none").is_empty());
}
