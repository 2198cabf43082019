//! What an instance knows of the others, and where a job runs.

use std::time::Duration;

use gentianpath::{
    gateway::fleet::Backlog,
    gateway::peers::{Beat, Candidate, Edition, JobState, News, Peers, job_key},
    ids::{InstanceId, JobId},
};

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn beat(instance: &str, number: u64) -> Beat {
    Beat {
        instance: instance.into(),
        session: 1,
        zone: "a".into(),
        number,
        address: "127.0.0.1:1".parse().unwrap(),
        config: 1,
        workers: Edition::default(),
        leaving: false,
        store: true,
        levels: Vec::new(),
        backlog: Backlog::default(),
        waiting: vec![(7, 100)],
        jobs: Vec::new(),
        ended: Vec::new(),
    }
}

fn holding(instance: &str, number: u64, job: &str) -> Beat {
    let state = JobState {
        key: job_key(job),
        pages: 0,
        active: true,
    };
    Beat {
        jobs: vec![state],
        ..beat(instance, number)
    }
}

fn home(peers: &Peers, holds: bool, able: bool, now: Duration) -> Option<String> {
    let instance: InstanceId = "me".into();
    let job: JobId = "job".into();
    let me = Candidate {
        instance: &instance,
        able,
        holds,
    };
    peers.home(&job, &me, now).map(|b| b.instance.to_string())
}

/// Guards against a job that moves with each change of the members: its items would run again.
#[test]
fn a_job_stays_with_the_instance_that_runs_it() {
    for holder in ["a", "b", "c"] {
        let mut peers = Peers::default();
        for name in ["a", "b", "c"] {
            peers.take(beat(name, 1), at(0));
        }
        peers.take(holding(holder, 2, "job"), at(1));
        assert_eq!(home(&peers, false, true, at(2)).as_deref(), Some(holder));
    }
}

/// Guards against two instances that both run a job for good: both name the same one.
#[test]
fn one_of_two_holders_keeps_a_job() {
    let mut seen_by_me = Peers::default();
    seen_by_me.take(holding("other", 1, "job"), at(0));
    let mut seen_by_other = Peers::default();
    seen_by_other.take(holding("me", 1, "job"), at(0));
    let instance: InstanceId = "other".into();
    let other = Candidate {
        instance: &instance,
        able: true,
        holds: true,
    };
    let mine = home(&seen_by_me, true, true, at(1)).is_none();
    let theirs = seen_by_other.home(&"job".into(), &other, at(1)).is_none();
    assert!(mine != theirs);
}

/// Guards against a job that nobody runs after its instance died, left or lost the object store.
#[test]
fn a_job_leaves_an_instance_that_cannot_run_it() {
    let mut peers = Peers::default();
    peers.take(holding("a", 1, "job"), at(0));
    assert_eq!(home(&peers, false, true, at(1)).as_deref(), Some("a"));
    assert_eq!(home(&peers, false, true, at(5000)), None);
    let mut leaving = holding("a", 2, "job");
    leaving.leaving = true;
    peers.take(leaving, at(5000));
    assert_eq!(home(&peers, false, true, at(5001)), None);
    let mut cut = holding("a", 3, "job");
    cut.store = false;
    peers.take(cut, at(5001));
    assert_eq!(home(&peers, false, true, at(5002)), None);
}

/// Guards against a late message that brings back an earlier state.
#[test]
fn an_older_message_is_ignored() {
    let mut peers = Peers::default();
    assert_eq!(peers.take(beat("a", 2), at(0)), News::Joined);
    assert_eq!(peers.take(beat("a", 1), at(1)), News::Old);
    assert_eq!(peers.take(beat("a", 3), at(2)), News::Known);
    let mut restarted = beat("a", 1);
    restarted.session = 2;
    assert_eq!(peers.take(restarted, at(3)), News::Joined);
}

/// Guards against a quota that counts the tokens of an instance that is gone.
#[test]
fn waiting_tokens_of_live_instances_are_added() {
    let mut peers = Peers::default();
    peers.take(beat("a", 1), at(0));
    peers.take(beat("b", 1), at(1000));
    assert_eq!(peers.waiting(7, at(1001)), 200);
    assert_eq!(peers.waiting(7, at(2000)), 100);
    assert_eq!(peers.waiting(8, at(1001)), 0);
    assert_eq!(peers.silent(at(2000), at(1001)), ["a".into()]);
}

/// Guards against requests that try the workers of a cut zone one after the other.
#[test]
fn a_zone_is_silent_when_none_of_its_instances_is_heard() {
    let mut peers = Peers::default();
    let mut far = beat("b", 1);
    far.zone = "b".into();
    peers.take(far, at(0));
    peers.take(beat("a", 1), at(1000));
    assert!(peers.silent_zones(at(1500)).is_empty());
    let silent: Vec<_> = peers.silent_zones(at(2000)).into_iter().collect();
    assert_eq!(silent, ["b".into()]);
}

/// Guards against a store that is asked by every instance of a large zone, and against a zone whose
/// watchers are all gone.
#[test]
fn three_instances_of_a_zone_watch_the_store_and_others_follow_when_they_are_gone() {
    let names: Vec<String> = (0..12).map(|n| format!("i{n}")).collect();
    let watchers = |lost: &[String], now: Duration| -> Vec<String> {
        let watches = |me: &&String| {
            let mut peers = Peers::default();
            for other in names.iter().filter(|n| n != me) {
                peers.take(beat(other, 1), at(0));
                let unable = Beat {
                    store: false,
                    ..beat(other, 2)
                };
                if lost.contains(other) {
                    peers.take(unable, at(1));
                }
            }
            peers.is_watcher(&me.as_str().into(), &"a".into(), now)
        };
        let able = names.iter().filter(|n| !lost.contains(n));
        able.filter(watches).cloned().collect()
    };
    let first = watchers(&[], at(100));
    assert_eq!(first.len(), 3);
    let second = watchers(&first, at(100));
    assert_eq!(second.len(), 3);
    assert!(second.iter().all(|w| !first.contains(w)));
    // Silence has the same effect.
    assert_eq!(watchers(&[], at(5000)).len(), 12);
}

/// Guards against instances that pull the same list for ever, and against one that keeps workers
/// that the watchers of its zone have dropped.
#[test]
fn an_instance_lacks_what_is_newer_and_without_a_watch_also_what_was_dropped() {
    let edition = |at, newest, digest| Edition { at, newest, digest };
    let mine = edition(10, 7, 1);
    for watches in [false, true] {
        assert!(mine.lacks(&edition(9, 8, 2), watches));
        assert!(!mine.lacks(&edition(12, 7, 1), watches));
        assert!(!mine.lacks(&edition(9, 7, 2), watches));
    }
    assert!(mine.lacks(&edition(12, 7, 2), false));
    assert!(!mine.lacks(&edition(12, 7, 2), true));
}

/// Guards against instances of another zone that get as many messages as those of the own, and
/// against registered ones that get none before they were heard.
#[test]
fn messages_to_other_zones_are_told_apart() {
    let address = |port: u16| std::net::SocketAddr::from(([127, 0, 0, 1], port));
    let mut peers = Peers::default();
    for (instance, zone, port) in [("n", "a", 1), ("f", "b", 2)] {
        let beat = Beat {
            zone: zone.into(),
            address: address(port),
            ..beat(instance, 1)
        };
        peers.take(beat, at(0));
    }
    peers.set_registered(vec![address(1), address(2), address(3)]);
    let targets = peers.targets(&"a".into());
    assert!(targets.near.iter().eq([&address(1)]));
    let mut far: Vec<_> = targets.far.into_iter().collect();
    far.sort();
    assert_eq!(far, [address(2), address(3)]);
}
