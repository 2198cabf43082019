//! State of the other instances, and the choice of the instance that runs a job.

use std::time::Duration;

use gentianpath::{
    gateway::fleet::Backlog,
    gateway::peers::{
        Candidate, Heartbeat, JobState, LIVENESS_TIMEOUT, ListVersion, Member, PeerChange, Peers,
        job_key,
    },
    gateway::versions::ShareState,
    ids::{InstanceId, JobId},
};

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn heartbeat(instance: &str, number: u64) -> Heartbeat {
    Heartbeat {
        instance: instance.into(),
        session: 1,
        zone: "a".into(),
        number,
        address: "127.0.0.1:1".parse().unwrap(),
        config: 1,
        workers: ListVersion::default(),
        shares: ShareState::default(),
        leaving: false,
        store: true,
        levels: Vec::new(),
        backlog: Backlog::default(),
        waiting: vec![(7, 100)],
        jobs: Vec::new(),
        ended: Vec::new(),
    }
}

fn with_job(instance: &str, number: u64, job: &str) -> Heartbeat {
    let state = JobState {
        key: job_key(job),
        pages: 0,
        active: true,
    };
    Heartbeat {
        jobs: vec![state],
        ..heartbeat(instance, number)
    }
}

fn home(peers: &Peers, active: bool, eligible: bool, now: Duration) -> Option<String> {
    let instance: InstanceId = "me".into();
    let job: JobId = "job".into();
    let local = Candidate {
        instance: &instance,
        eligible,
        active,
    };
    peers
        .home(&job, &local, now)
        .map(|h| h.instance.to_string())
}

/// Guards against a job that moves on every membership change, which would run its items again.
#[test]
fn a_job_stays_with_the_instance_that_runs_it() {
    for holder in ["a", "b", "c"] {
        let mut peers = Peers::default();
        for name in ["a", "b", "c"] {
            peers.record(heartbeat(name, 1), at(0));
        }
        peers.record(with_job(holder, 2, "job"), at(1));
        assert_eq!(home(&peers, false, true, at(2)).as_deref(), Some(holder));
    }
}

/// Guards against two instances that both keep running a job: each must choose the same one of
/// them.
#[test]
fn one_of_two_holders_keeps_a_job() {
    let mut seen_by_me = Peers::default();
    seen_by_me.record(with_job("other", 1, "job"), at(0));
    let mut seen_by_other = Peers::default();
    seen_by_other.record(with_job("me", 1, "job"), at(0));
    let instance: InstanceId = "other".into();
    let other = Candidate {
        instance: &instance,
        eligible: true,
        active: true,
    };
    let mine = home(&seen_by_me, true, true, at(1)).is_none();
    let theirs = seen_by_other.home(&"job".into(), &other, at(1)).is_none();
    assert!(mine != theirs);
}

/// Guards against a job that no instance runs after its instance died, stopped or lost the object
/// store.
#[test]
fn a_job_leaves_an_instance_that_cannot_run_it() {
    let mut peers = Peers::default();
    peers.record(with_job("a", 1, "job"), at(0));
    assert_eq!(home(&peers, false, true, at(1)).as_deref(), Some("a"));
    assert_eq!(home(&peers, false, true, at(5000)), None);
    let mut leaving = with_job("a", 2, "job");
    leaving.leaving = true;
    peers.record(leaving, at(5000));
    assert_eq!(home(&peers, false, true, at(5001)), None);
    let mut disconnected = with_job("a", 3, "job");
    disconnected.store = false;
    peers.record(disconnected, at(5001));
    assert_eq!(home(&peers, false, true, at(5002)), None);
}

/// Guards against a delayed heartbeat that restores an earlier state.
#[test]
fn an_older_message_is_ignored() {
    let mut peers = Peers::default();
    assert_eq!(peers.record(heartbeat("a", 2), at(0)), PeerChange::Joined);
    assert_eq!(peers.record(heartbeat("a", 1), at(1)), PeerChange::Stale);
    assert_eq!(peers.record(heartbeat("a", 3), at(2)), PeerChange::Known);
    let mut restarted = heartbeat("a", 1);
    restarted.session = 2;
    assert_eq!(peers.record(restarted, at(3)), PeerChange::Joined);
}

/// Guards against an instance that is not heard for a minute after its clock was set back and it was
/// restarted: sessions come from the clock.
#[test]
fn an_instance_that_restarts_with_an_earlier_clock_is_heard() {
    let mut peers = Peers::default();
    let session = |session, number| Heartbeat {
        session,
        ..heartbeat("a", number)
    };
    peers.record(session(2, 7), at(0));
    // A message of an earlier session that arrives late.
    assert_eq!(peers.record(session(1, 9), at(300)), PeerChange::Stale);
    let silent = LIVENESS_TIMEOUT + at(1);
    assert_eq!(peers.record(session(1, 1), silent), PeerChange::Joined);
    assert_eq!(peers.record(session(1, 2), silent), PeerChange::Known);
    assert_eq!(peers.record(session(1, 1), silent), PeerChange::Stale);
}

/// Guards against work on the whole fleet for each heartbeat, also while nothing happens.
#[test]
fn a_heartbeat_with_the_same_load_changes_nothing() {
    let mut peers = Peers::default();
    let mut busy = heartbeat("a", 2);
    busy.levels = vec![(1, 2, 0)];
    peers.record(heartbeat("a", 1), at(0));
    assert_eq!(peers.record(busy.clone(), at(1)), PeerChange::LoadChanged);
    busy.number = 3;
    assert_eq!(peers.record(busy.clone(), at(2)), PeerChange::Known);
    busy.number = 4;
    busy.backlog.late = 1;
    assert_eq!(peers.record(busy.clone(), at(3)), PeerChange::LoadChanged);
    busy.number = 5;
    assert_eq!(peers.record(busy, at(9000)), PeerChange::Joined);
}

/// Guards against a quota that counts the tokens of an instance that is gone.
#[test]
fn waiting_tokens_of_live_instances_are_added() {
    let mut peers = Peers::default();
    peers.record(heartbeat("a", 1), at(0));
    peers.record(heartbeat("b", 1), at(1000));
    assert_eq!(peers.waiting(7, at(1001)), 200);
    assert_eq!(peers.waiting(7, at(2000)), 100);
    assert_eq!(peers.waiting(8, at(1001)), 0);
    assert_eq!(peers.newly_silent(at(2000), at(1001)), ["a".into()]);
}

/// Guards against requests that try the workers of a partitioned zone one after the other.
#[test]
fn a_zone_is_silent_when_none_of_its_instances_is_heard() {
    let mut peers = Peers::default();
    let mut far = heartbeat("b", 1);
    far.zone = "b".into();
    peers.record(far, at(0));
    peers.record(heartbeat("a", 1), at(1000));
    assert!(peers.silent_zones(at(1500)).is_empty());
    let silent: Vec<_> = peers.silent_zones(at(2000)).into_iter().collect();
    assert_eq!(silent, ["b".into()]);
}

/// Guards against a store that every instance of a large zone watches, and against a zone without
/// watchers after all of them failed.
#[test]
fn three_instances_of_a_zone_watch_the_store_and_others_replace_failed_ones() {
    let names: Vec<String> = (0..12).map(|n| format!("i{n}")).collect();
    let watchers = |lost: &[String], now: Duration| -> Vec<String> {
        let watches = |name: &&String| {
            let mut peers = Peers::default();
            for other in names.iter().filter(|n| n != name) {
                peers.record(heartbeat(other, 1), at(0));
                let unable = Heartbeat {
                    store: false,
                    ..heartbeat(other, 2)
                };
                if lost.contains(other) {
                    peers.record(unable, at(1));
                }
            }
            peers.is_watcher(&name.as_str().into(), &"a".into(), now)
        };
        let eligible = names.iter().filter(|n| !lost.contains(n));
        eligible.filter(watches).cloned().collect()
    };
    let first = watchers(&[], at(100));
    assert_eq!(first.len(), 3);
    let second = watchers(&first, at(100));
    assert_eq!(second.len(), 3);
    assert!(second.iter().all(|w| !first.contains(w)));
    // A heartbeat timeout has the same effect.
    assert_eq!(watchers(&[], at(5000)).len(), 12);
}

/// Guards against a number of watches that grows with the zones, and against a zone that is cut off
/// with few watchers of its own.
#[test]
fn six_instances_of_many_zones_watch_and_three_of_a_zone_that_is_alone() {
    let instances: Vec<(String, String)> = (0..6)
        .flat_map(|zone| (0..5).map(move |n| (format!("z{zone}"), format!("i{zone}{n}"))))
        .collect();
    let watchers = |visible: &dyn Fn(&str, &str) -> bool| -> Vec<&str> {
        let watches = |(zone, name): &&(String, String)| {
            let mut peers = Peers::default();
            for (other_zone, other) in instances.iter().filter(|(_, n)| n != name) {
                if visible(zone, other_zone) {
                    let heartbeat = Heartbeat {
                        zone: other_zone.as_str().into(),
                        ..heartbeat(other, 1)
                    };
                    peers.record(heartbeat, at(0));
                }
            }
            peers.is_watcher(&name.as_str().into(), &zone.as_str().into(), at(100))
        };
        let watching = instances.iter().filter(watches);
        watching.map(|(zone, _)| zone.as_str()).collect()
    };
    assert_eq!(watchers(&|_, _| true), ["z0", "z1", "z2", "z3", "z4", "z5"]);
    let cut_off = watchers(&|a, b| (a == "z3") == (b == "z3"));
    assert_eq!(cut_off.iter().filter(|z| **z == "z3").count(), 3);
    assert_eq!(cut_off.len(), 13);
}

/// Guards against a store that all instances of a zone call again and again while it is away.
#[test]
fn three_instances_wait_for_a_store_that_none_of_the_zone_reaches() {
    let names: Vec<String> = (0..12).map(|n| format!("i{n}")).collect();
    let watches = |name: &&String| {
        let mut peers = Peers::default();
        for other in names.iter().filter(|n| n != name) {
            let without_store = Heartbeat {
                store: false,
                ..heartbeat(other, 1)
            };
            peers.record(without_store, at(0));
        }
        assert!(!peers.reaches_store(&"a".into(), at(100)));
        peers.is_watcher(&name.as_str().into(), &"a".into(), at(100))
    };
    assert_eq!(names.iter().filter(watches).count(), 3);
}

/// Guards against a list of all jobs that every instance reads after each membership change, and
/// against a search that nobody does since the chosen instance has lost the store.
#[test]
fn one_instance_searches_for_jobs_that_nobody_runs() {
    let names: Vec<String> = (0..12).map(|n| format!("i{n}")).collect();
    let sweepers = |without_store: &[String]| -> Vec<String> {
        let sweeps = |name: &&String| {
            let mut peers = Peers::default();
            for other in names.iter().filter(|n| n != name) {
                let heartbeat = Heartbeat {
                    store: !without_store.contains(other),
                    ..heartbeat(other, 1)
                };
                peers.record(heartbeat, at(0));
            }
            peers.is_sweeper(&name.as_str().into(), at(100))
        };
        let able = names.iter().filter(|n| !without_store.contains(n));
        able.filter(sweeps).cloned().collect()
    };
    let first = sweepers(&[]);
    assert_eq!(first.len(), 1);
    let second = sweepers(&first);
    assert_eq!(second.len(), 1);
    assert_ne!(first, second);
}

/// Guards against instances that pull the same list over and over, against lists of one revision
/// that replace each other, and against an instance, with or without a watch, that keeps workers
/// that are gone.
#[test]
fn only_a_different_list_of_a_later_revision_has_missing_changes() {
    let version = |at, newest, digest| ListVersion { at, newest, digest };
    let local = version(10, 7, 1);
    for (at, newest) in [(11, 7), (11, 11), (12, 8)] {
        assert!(local.is_missing_changes(&version(at, newest, 2)));
        assert!(!local.is_missing_changes(&version(at, newest, 1)));
    }
    for (at, newest) in [(10, 7), (10, 9), (9, 8), (9, 7)] {
        assert!(!local.is_missing_changes(&version(at, newest, 2)));
    }
}

/// Guards against an instance that pulls again and again from a peer whose heartbeats arrive but
/// which answers no call, and so keeps workers that have left.
#[test]
fn a_failed_pull_is_repeated_at_another_instance() {
    let address = |port: u16| std::net::SocketAddr::from(([127, 0, 0, 1], port));
    let version = |at, digest| ListVersion {
        at,
        newest: at,
        digest,
    };
    let mut peers = Peers::default();
    let instances = [
        ("one", "a", 1, 11),
        ("two", "a", 2, 12),
        ("far", "b", 3, 12),
        ("old", "a", 4, 10),
    ];
    for (instance, zone, port, revision) in instances {
        let heartbeat = Heartbeat {
            zone: zone.into(),
            address: address(port),
            workers: version(revision, 2),
            ..heartbeat(instance, 1)
        };
        peers.record(heartbeat, at(0));
    }
    let local = version(10, 1);
    let source = |failures| peers.source(&"a".into(), 1, &local, failures, at(100));
    let mut tried: Vec<_> = (0..3).map(source).collect();
    assert_eq!(tried[2], Some(address(3)));
    tried.sort();
    assert_eq!(tried, [1, 2, 3].map(|port| Some(address(port))));
    assert_eq!(source(3), source(0));
}

/// Guards against instances of another zone that get as many heartbeats as those of the local zone,
/// and against registered ones that get none until they have sent one.
#[test]
fn heartbeat_targets_are_split_by_zone() {
    let address = |port: u16| std::net::SocketAddr::from(([127, 0, 0, 1], port));
    let mut peers = Peers::default();
    for (instance, zone, port) in [("n", "a", 1), ("f", "b", 2)] {
        let heartbeat = Heartbeat {
            zone: zone.into(),
            address: address(port),
            ..heartbeat(instance, 1)
        };
        peers.record(heartbeat, at(0));
    }
    peers.set_registered(vec![address(1), address(2), address(3)]);
    let targets = peers.targets(&"a".into(), 0, at(0));
    assert!(targets.near.iter().eq([&address(1)]));
    let mut far: Vec<_> = targets.far.into_iter().collect();
    far.sort();
    assert_eq!(far, [address(2), address(3)]);
}

fn zone_of(count: u16) -> Vec<Heartbeat> {
    let instance = |n: u16| Heartbeat {
        zone: "b".into(),
        address: std::net::SocketAddr::from(([127, 0, 0, 2], n + 1)),
        ..heartbeat(&format!("f{n}"), 1)
    };
    (0..count).map(instance).collect()
}

/// Guards against heartbeats between zones that grow with the square of the fleet, against a relay
/// that gets more of them than others, and against heartbeats that are lost with a failed relay.
#[test]
fn a_zone_gets_a_heartbeat_at_two_relays_in_turn() {
    let mut peers = Peers::default();
    for heartbeat in zone_of(9) {
        peers.record(heartbeat, at(0));
    }
    let mut counts: std::collections::BTreeMap<_, u32> = std::collections::BTreeMap::new();
    for round in 0..9 {
        let targets = peers.targets(&"a".into(), round, at(100));
        assert_eq!((targets.far.len(), targets.outside), (2, 9));
        for address in targets.far {
            *counts.entry(address).or_default() += 1;
        }
    }
    assert!(counts.values().eq([2; 9].iter()), "{counts:?}");
}

/// Guards against a zone that misses heartbeats, since they go to relays that are gone or about to
/// stop, and against a zone that is back after a partition and gets none.
#[test]
fn relays_are_live_unless_the_whole_zone_is_silent() {
    let mut peers = Peers::default();
    let zone = zone_of(6);
    for heartbeat in &zone {
        peers.record(heartbeat.clone(), at(0));
    }
    let usable = [1, 4].map(|n: usize| {
        let heard = Heartbeat {
            number: 2,
            ..zone[n].clone()
        };
        peers.record(heard, at(2000));
        zone[n].address
    });
    let leaving = Heartbeat {
        number: 2,
        leaving: true,
        ..zone[2].clone()
    };
    peers.record(leaving, at(2000));
    for round in 0..6 {
        let targets = peers.targets(&"a".into(), round, at(2000));
        assert!(usable.iter().all(|a| targets.far.contains(a)));
        assert_eq!(targets.far.len(), 2);
    }
    let tried = (0..3).flat_map(|round| peers.targets(&"a".into(), round, at(9000)).far);
    assert_eq!(tried.collect::<std::collections::BTreeSet<_>>().len(), 6);
}

fn in_zone(instance: &str, zone: &str, number: u64) -> Heartbeat {
    Heartbeat {
        zone: zone.into(),
        ..heartbeat(instance, number)
    }
}

/// Returns the instance that leads a worker of zone a, as one of some instances sees it.
fn leader(all: &[(&str, &str)], local: (&str, &str), stays: bool) -> String {
    let mut peers = Peers::default();
    for (name, zone) in all.iter().filter(|(name, _)| *name != local.0) {
        peers.record(in_zone(name, zone, 1), at(0));
    }
    let (instance, zone) = (InstanceId::from(local.0), local.1.into());
    let member = Member {
        instance: &instance,
        zone: &zone,
        stays,
    };
    let leader = peers.limit_leader(&"w".into(), &"a".into(), &member, at(1));
    leader.map_or(local.0.into(), |h| h.instance.to_string())
}

/// Guards against two instances that hand out the permits for one worker.
#[test]
fn all_instances_agree_on_the_leader_of_a_worker() {
    let all = [
        ("i1", "a"),
        ("i2", "a"),
        ("i3", "b"),
        ("i4", "b"),
        ("i5", "c"),
    ];
    let leaders: Vec<String> = all.iter().map(|i| leader(&all, *i, true)).collect();
    assert!(leaders.iter().all(|l| *l == leaders[0]), "{leaders:?}");
    assert!(
        ["i1", "i2"].contains(&&*leaders[0]),
        "it is of the zone of the worker"
    );
    let others: Vec<_> = all.into_iter().filter(|i| i.1 != "a").collect();
    let leaders: Vec<String> = others.iter().map(|i| leader(&others, *i, true)).collect();
    assert!(leaders.iter().all(|l| *l == leaders[0]), "{leaders:?}");
    assert!(leader(&others, others[0], false) != others[0].0);
    assert_eq!(leader(&all[..1], all[0], false), "i1", "there is no other");
}

/// Guards against the sides of a cut that together hand out more than a limit, and against a limit that
/// is not used up since instances stopped.
#[test]
fn the_live_shares_of_the_sides_of_a_cut_add_up_to_one() {
    let all: Vec<String> = (0..10).map(|n| format!("i{n}")).collect();
    let share = |local: usize, heard: &dyn Fn(usize) -> bool, leaving: bool| {
        let mut peers = Peers::default();
        for (n, name) in all.iter().enumerate().filter(|(n, _)| *n != local) {
            let first = Heartbeat {
                leaving: leaving && !heard(n),
                ..heartbeat(name, 1)
            };
            peers.record(first, at(0));
            if heard(n) {
                peers.record(heartbeat(name, 2), at(3000));
            }
        }
        peers.live_share(at(3100))
    };
    let near = share(0, &|n| n < 3, false);
    let far = share(5, &|n| n >= 3, false);
    assert!((near - 0.3).abs() < 1e-9 && (far - 0.7).abs() < 1e-9);
    assert!((share(0, &|n| n < 3, true) - 1.0).abs() < 1e-9);
}

/// Guards against claims on what the store has by an instance that hears none of those that reach it.
#[test]
fn no_instance_reaches_the_store_only_if_all_say_so() {
    let local = "127.0.0.1:9".parse().unwrap();
    let mut peers = Peers::default();
    assert!(!peers.none_reaches_store(local, at(0)), "no other is known");
    let mut number = 0;
    let mut hear = |peers: &mut Peers, instance: &str, store: bool, now: u64| {
        number += 1;
        let heartbeat = Heartbeat {
            store,
            ..heartbeat(instance, number)
        };
        peers.record(heartbeat, at(now));
    };
    hear(&mut peers, "a", false, 100);
    assert!(peers.none_reaches_store(local, at(200)));
    hear(&mut peers, "b", true, 300);
    assert!(!peers.none_reaches_store(local, at(400)));
    hear(&mut peers, "b", false, 500);
    assert!(peers.none_reaches_store(local, at(600)));
    hear(&mut peers, "a", false, 2500);
    assert!(!peers.none_reaches_store(local, at(2600)), "b is silent");
    hear(&mut peers, "b", false, 2700);
    peers.set_registered(vec!["127.0.0.1:2".parse().unwrap()]);
    assert!(
        !peers.none_reaches_store(local, at(2800)),
        "one was never heard"
    );
}
