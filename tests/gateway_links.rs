//! Evidence on the links of an instance to all workers.

use std::time::Duration;

use gentianpath::gateway::links::{Evidence, LinkChange};

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against a cut that is concluded from the failure of one worker, or beside one that answers.
#[test]
fn a_cut_needs_several_workers_out_of_reach() {
    let mut evidence = Evidence::default();
    assert_eq!(evidence.record_round(1, false, at(0)), None);
    assert_eq!(evidence.record_round(4, true, at(10)), None);
    assert!(!evidence.is_cut() && !evidence.explains_failures(at(10)));
    assert_eq!(
        evidence.record_round(4, false, at(500)),
        Some(LinkChange::Cut)
    );
    assert!(evidence.is_cut());
}

/// Guards against an instance that switches to and fro while its links work now and then.
#[test]
fn a_cut_ends_after_probes_in_a_row() {
    let mut evidence = Evidence::default();
    evidence.record_round(4, false, at(0));
    for (time, reached) in [(100, true), (200, false), (300, true)] {
        assert_eq!(evidence.record_probe(reached, at(time)), None);
    }
    let back = evidence.record_probe(true, at(400));
    assert_eq!(back, Some(LinkChange::Back(at(400))));
    assert!(!evidence.is_cut());
    assert!(evidence.explains_failures(at(1000)));
    assert!(!evidence.explains_failures(at(5000)));
}
