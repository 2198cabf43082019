//! Times at which heartbeats are sent.

use std::time::Duration;

use gentianpath::gateway::pace::{Due, News, Pace};

const QUIET: News = News {
    changed: false,
    relayed: false,
};
const CHANGED: News = News {
    changed: true,
    relayed: false,
};

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against a change that other zones learn only with the next heartbeat of an idle instance.
#[test]
fn a_change_waits_for_the_interval_of_other_zones() {
    let mut pace = Pace::default();
    pace.set_outside(40);
    pace.round(QUIET, at(0));
    let near = Due {
        near: true,
        far: false,
    };
    assert_eq!(pace.round(CHANGED, at(50)), near);
    assert!(!pace.round(QUIET, at(110)).far);
    assert!(pace.round(QUIET, at(120)).far);
    assert!(!pace.round(QUIET, at(240)).far);
}

/// Guards against an instance that counts as gone because it has nothing to tell.
#[test]
fn a_quiet_instance_sends_several_heartbeats_before_it_counts_as_gone() {
    for outside in [0, 1, 1000] {
        let mut pace = Pace::default();
        pace.set_outside(outside);
        let rounds = (0..1600).step_by(30).map(at);
        let dues: Vec<Due> = rounds.map(|t| pace.round(QUIET, t)).collect();
        assert!((5..8).contains(&dues.iter().filter(|d| d.near).count()));
        assert!((5..8).contains(&dues.iter().filter(|d| d.far).count()));
    }
}

/// Guards against heartbeats that are late because an instance wakes up only to pass others on.
#[test]
fn six_idle_intervals_fit_into_the_time_of_membership() {
    for outside in [0, 1, 40, 1000] {
        let mut pace = Pace::default();
        pace.set_outside(outside);
        let (mut now, mut sent) = (at(0), 0);
        while now < at(1600) {
            let due = pace.round(QUIET, now);
            sent += usize::from(due.near && due.far);
            now += pace.pause(now);
        }
        assert_eq!(sent, 7, "{outside} instances outside");
    }
}
