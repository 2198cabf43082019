//! Members and ownership, from lists that lag and heartbeats that are passed on.

use std::{sync::Arc, time::Duration};

use gentianpath::{
    ids::Map,
    instance_list::{InstanceList, ListState, ListedEntry, ListedTarget, TargetKind},
    members::{HEARTBEAT_LIMIT, Identity, Members, list_changes, list_of, run_hash},
    ownership::{owner, position, rank},
    peer_levels::{PeerRuns, RunCheck},
    platform::Object,
    spread::{Delta, KindView},
};

fn identity(id: &str, session: u64, zone: &str) -> Identity {
    Identity {
        id: id.into(),
        session,
        zone: zone.into(),
        address: "127.0.0.1:7000".parse().unwrap(),
        leaving: false,
    }
}

fn listed(id: &str, session: u64, zone: &str, state: ListState) -> ListedEntry {
    ListedEntry {
        id: id.into(),
        session,
        address: "127.0.0.1:8000".parse().unwrap(),
        peer_address: "127.0.0.1:7000".parse().unwrap(),
        zone: zone.into(),
        state,
    }
}

fn target(id: &str) -> ListedTarget {
    ListedTarget {
        id: id.into(),
        kind: TargetKind::Engine,
        service: "".into(),
        address: "127.0.0.1:9000".parse().unwrap(),
        zone: "z1".into(),
        state: ListState::Live,
    }
}

fn list(entries: Vec<ListedEntry>) -> InstanceList {
    InstanceList {
        version: None,
        entries,
        targets: vec![],
    }
}

fn live(members: &Members, zone: &str, now: u64) -> Vec<String> {
    let zones = members.live(Duration::from_secs(now));
    let names = zones.get(zone).cloned().unwrap_or_default();
    names.iter().map(ToString::to_string).collect()
}

const LIVE: ListState = ListState::Live;

/// Guards against work for an instance that has stopped its heartbeat while the list lags.
#[test]
fn an_instance_without_heartbeat_is_not_live() {
    let mut members = Members::new(identity("me", 1, "z1"));
    let at = Duration::from_secs;
    members.set_list(
        list(vec![listed("a", 5, "z1", LIVE), listed("r", 5, "z2", LIVE)]),
        at(0),
    );
    assert_eq!(live(&members, "z1", 0), ["a", "me"]);
    members.record_heartbeat(identity("a", 5, "z1"), at(2));
    assert_eq!(live(&members, "z1", 4), ["a", "me"]);
    let silent = 2 + HEARTBEAT_LIMIT.as_secs();
    assert_eq!(live(&members, "z1", silent), ["me"]);
    assert_eq!(
        live(&members, "z2", silent),
        ["r"],
        "other zones are rarely heard"
    );
    members.set_list(list(vec![]), at(10));
    assert_eq!(live(&members, "z2", 10), Vec::<String>::new());
}

/// Guards against a zone whose peers are taken for dead because only a few are met in each round.
#[test]
fn heartbeats_that_are_passed_on_count_with_their_age() {
    let mut members = Members::new(identity("me", 1, "z1"));
    let mut other = Members::new(identity("b", 2, "z1"));
    let at = Duration::from_secs;
    members.set_list(list(vec![listed("a", 5, "z1", LIVE)]), at(0));
    other.record_heartbeat(identity("a", 5, "z1"), at(8));
    let heartbeats = other.recent_heartbeats(at(10), &mut fastrand::Rng::with_seed(1));
    assert_eq!(heartbeats.len(), 1);
    assert_eq!(heartbeats[0].run, run_hash("a", 5));
    members.merge_relayed(&heartbeats, at(20));
    // The heartbeat was two seconds old.
    let expiry = 18 + HEARTBEAT_LIMIT.as_secs();
    assert_eq!(live(&members, "z1", expiry - 1), ["a", "me"]);
    assert_eq!(live(&members, "z1", expiry), ["me"]);
    members.set_list(list(vec![listed("a", 6, "z1", LIVE)]), at(30));
    let later = 31 + HEARTBEAT_LIMIT.as_secs();
    members.merge_relayed(&heartbeats, at(later));
    assert_eq!(
        live(&members, "z1", later),
        ["me"],
        "the heartbeat was of an earlier run"
    );
}

/// Guards against new work for a leaving instance when a lagging list shows it as live again, and
/// against a mark that outlives a restart.
#[test]
fn a_leaving_mark_sticks_for_a_session() {
    let mut members = Members::new(identity("me", 1, "z1"));
    let at = Duration::from_secs;
    let leaving = Identity {
        leaving: true,
        ..identity("a", 5, "z1")
    };
    members.record_heartbeat(leaving, at(1));
    assert_eq!(live(&members, "z1", 1), ["me"]);
    members.set_list(list(vec![listed("a", 5, "z1", LIVE)]), at(1));
    members.record_heartbeat(identity("a", 5, "z1"), at(2));
    assert_eq!(live(&members, "z1", 2), ["me"]);
    members.set_list(list(vec![]), at(9));
    members.set_list(list(vec![listed("a", 5, "z1", LIVE)]), at(10));
    assert_eq!(live(&members, "z1", 10), ["me"]);
    members.record_heartbeat(identity("a", 6, "z1"), at(11));
    assert_eq!(live(&members, "z1", 11), ["a", "me"]);
    members.set_list(list(vec![listed("a", 5, "z1", ListState::Leaving)]), at(12));
    assert_eq!(
        live(&members, "z1", 12),
        ["a", "me"],
        "the list shows the earlier run"
    );
}

/// Guards against an instance that was paused, heard nobody meanwhile, and then takes itself for
/// the owner of all workers.
#[test]
fn after_a_pause_the_others_count_until_they_had_time_to_be_heard() {
    let mut members = Members::new(identity("me", 1, "z1"));
    let at = Duration::from_secs;
    members.set_list(list(vec![listed("a", 5, "z1", LIVE)]), at(0));
    members.record_heartbeat(identity("a", 5, "z1"), at(1));
    assert_eq!(live(&members, "z1", 60), ["me"]);
    members.resume(at(60));
    assert_eq!(live(&members, "z1", 60), ["a", "me"]);
    assert_eq!(live(&members, "z1", 60 + HEARTBEAT_LIMIT.as_secs()), ["me"]);
}

/// Guards against online requests of a lost run that count for ever, also when the run sent its
/// notice before its first heartbeat.
#[test]
fn requests_of_a_lost_run_are_forgotten() {
    let mut members = Members::new(identity("me", 1, "z1"));
    let mut runs = PeerRuns::default();
    let at = Duration::from_secs;
    let a = "a".into();
    let gone = HEARTBEAT_LIMIT.as_secs();
    assert_eq!(runs.record(&members, &a, 5, at(0)), RunCheck::Current);
    assert!(runs.remove_gone(&members, at(1)).is_empty());
    assert_eq!(
        runs.remove_gone(&members, at(gone)).as_slice(),
        std::slice::from_ref(&a)
    );
    assert_eq!(runs.record(&members, &a, 5, at(10)), RunCheck::Current);
    members.record_heartbeat(identity("a", 6, "z1"), at(11));
    assert_eq!(
        runs.remove_gone(&members, at(11)).as_slice(),
        std::slice::from_ref(&a)
    );
    assert_eq!(runs.record(&members, &a, 5, at(12)), RunCheck::Late);
    assert_eq!(runs.record(&members, &a, 6, at(12)), RunCheck::Current);
    assert_eq!(runs.record(&members, &a, 7, at(30)), RunCheck::NewRun);
    members.record_heartbeat(identity("a", 7, "z1"), at(31));
    assert!(
        runs.remove_gone(&members, at(31)).is_empty(),
        "requests may last long"
    );
    assert_eq!(runs.remove_gone(&members, at(31 + gone)).as_slice(), [a]);
}

/// Guards against an instance list that is lost or never settles when two watchers spread it.
#[test]
fn two_watchers_of_the_list_agree() {
    let mut views = [KindView::default(), KindView::default()];
    let first = InstanceList {
        version: None,
        entries: vec![listed("a", 5, "z1", LIVE)],
        targets: vec![target("w1"), target("w2")],
    };
    let second = InstanceList {
        version: None,
        entries: vec![listed("a", 6, "z1", LIVE), listed("b", 7, "z1", LIVE)],
        targets: vec![target("w2")],
    };
    let read = |view: &mut KindView, list: &InstanceList, now_ms| -> usize {
        let changes = list_changes(view.objects(), list, view.version(), now_ms);
        let count = changes.len();
        if let Some(last) = changes.last() {
            let delta = Delta {
                since: view.version(),
                version: last.version,
                full: false,
                changes,
            };
            assert!(view.merge(delta));
        }
        count
    };
    assert_eq!(read(&mut views[0], &first, 1000), 3);
    assert_eq!(read(&mut views[1], &first, 900), 3);
    // The clock of the second watcher is behind; what it sees later must still count.
    assert_eq!(read(&mut views[1], &second, 901), 3);
    for _ in 0..2 {
        let delta = views[0].delta_since(views[1].version());
        views[1].merge(delta);
        let delta = views[1].delta_since(views[0].version());
        views[0].merge(delta);
        for view in &mut views {
            read(view, &second, 902);
        }
    }
    let names = |objects: &Map<Arc<str>, Arc<Object>>| {
        let list = list_of(objects);
        let entries = list
            .entries
            .iter()
            .map(|e| format!("{}/{}", e.id, e.session));
        let targets = list.targets.iter().map(|t| t.id.to_string());
        let mut names: Vec<String> = entries.chain(targets).collect();
        names.sort();
        names
    };
    for view in &mut views {
        assert_eq!(names(view.objects()), ["a/6", "b/7", "w2"]);
        assert_eq!(read(view, &second, 5000), 0, "the list does not settle");
    }
}

/// Guards against a hash that differs between releases, and owners that move without need.
#[test]
fn ownership_is_stable() {
    let names: Vec<Arc<str>> = (0..8).map(|i| format!("e{i}").into()).collect();
    assert_eq!(rank("w1", &names), rank("w1", &names));
    // Frozen: instances of different releases must agree.
    assert_eq!(rank("w1", &names), FROZEN);
    let mut counts = [7, 2, 0, 1, 4, 3, 6, 5];
    for i in 0..4000 {
        let key = format!("w{i}");
        let order = rank(&key, &names);
        counts[order[0]] += 1;
        assert_eq!(owner(&key, &names), Some(&names[order[0]]));
        for (at, index) in order.iter().enumerate() {
            assert_eq!(position(&key, &names[*index], &names), at);
        }
        let without: Vec<Arc<str>> = names[..7].to_vec();
        if order[0] != 7 {
            assert_eq!(owner(&key, &without), Some(&names[order[0]]));
        }
    }
    assert!(counts.iter().all(|c| (400..=600).contains(c)), "{counts:?}");
}

/// Ranks of e0 to e7 for the key w1.
const FROZEN: [usize; 8] = [7, 2, 0, 1, 4, 3, 6, 5];
