//! Instance list answers that are lost, stale, late, repeated, incomplete or without versions.

use gentianpath::{
    instance_list::{InstanceList, ListAnswer, ListEvent, ListState, ListedTarget, TargetKind},
    listing::{delta_of, service_version},
    members::list_of,
    spread::KindView,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const VIEWS: usize = 3;
const TARGETS: u8 = 5;
const NOW_MS: u64 = 1_700_000_000_000;

#[derive(Debug, Clone)]
enum Op {
    /// Registers a target, marks it as leaving or removes it.
    Change { target: u8, to: Option<bool> },
    /// Reads the list as a watcher. The answer comes from a lagging replica, and is applied at once
    /// or kept to arrive later, repeatedly or never.
    Read {
        view: usize,
        whole: bool,
        lag: u64,
        keep: bool,
    },
    /// Delivers a kept answer to the watcher that requested it.
    Late { answer: usize },
    /// Pulls the changes that a view lacks from another.
    Pull { to: usize, from: usize },
    /// Restarts an instance with an empty view.
    Restart { view: usize },
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Self {
        let view = usize::arbitrary(g) % VIEWS;
        match u8::arbitrary(g) % 12 {
            0..=3 => Op::Change {
                target: u8::arbitrary(g) % TARGETS,
                to: Option::arbitrary(g),
            },
            4..=7 => Op::Read {
                view,
                whole: bool::arbitrary(g),
                lag: u64::from(u8::arbitrary(g) % 4),
                keep: bool::arbitrary(g),
            },
            8 => Op::Late {
                answer: usize::arbitrary(g),
            },
            9..=10 => Op::Pull {
                to: view,
                from: usize::arbitrary(g) % VIEWS,
            },
            _ => Op::Restart { view },
        }
    }
}

fn target(number: u8, leaving: bool) -> ListedTarget {
    ListedTarget {
        id: format!("w{number}").into(),
        kind: TargetKind::Engine,
        service: "".into(),
        address: "127.0.0.1:9000".parse().unwrap(),
        zone: "z1".into(),
        state: if leaving {
            ListState::Leaving
        } else {
            ListState::Live
        },
    }
}

/// The list of the service: all changes in order. Its version is the number of changes.
#[derive(Default)]
struct Service(Vec<(u8, Option<bool>)>);

impl Service {
    fn version(&self) -> u64 {
        self.0.len() as u64
    }

    fn state(&self, number: u8, version: u64) -> Option<bool> {
        let until = &self.0[..version as usize];
        let last = until.iter().rev().find(|(t, _)| *t == number);
        last.and_then(|(_, state)| *state)
    }

    fn whole(&self, version: u64) -> ListAnswer {
        let listed = |t| self.state(t, version).map(|leaving| target(t, leaving));
        ListAnswer::Whole(InstanceList {
            version: Some(version),
            entries: vec![],
            targets: (0..TARGETS).filter_map(listed).collect(),
        })
    }

    fn since(&self, since: u64, version: u64) -> ListAnswer {
        let steps = self.0.iter().enumerate().take(version as usize);
        let events = steps
            .skip(since as usize)
            .map(|(i, (t, to))| event(*t, i as u64 + 1, *to));
        ListAnswer::Changes {
            since,
            version,
            events: events.collect(),
        }
    }

    /// Returns whether a view has exactly the targets that the service had at its version.
    fn agrees(&self, view: &KindView) -> bool {
        let Some(version) = service_version(view) else {
            return view.objects().is_empty();
        };
        let expected = (0..TARGETS).filter_map(|t| Some((t, self.state(t, version)?)));
        names(view) == expected.map(|(t, l)| name(t, l)).collect::<Vec<_>>()
    }
}

fn event(number: u8, version: u64, to: Option<bool>) -> ListEvent {
    ListEvent::Targets {
        id: format!("w{number}").into(),
        version,
        value: to.map(|leaving| target(number, leaving)),
    }
}

fn name(number: u8, leaving: bool) -> String {
    format!("w{number}{}", if leaving { " leaving" } else { "" })
}

fn names(view: &KindView) -> Vec<String> {
    let targets = list_of(view.objects()).targets.into_iter();
    let text = |t: ListedTarget| match t.state {
        ListState::Live => t.id.to_string(),
        ListState::Leaving => format!("{} leaving", t.id),
    };
    let mut names: Vec<String> = targets.map(text).collect();
    names.sort();
    names
}

fn apply(view: &mut KindView, answer: &ListAnswer) {
    if let Some(delta) = delta_of(view, answer, NOW_MS) {
        view.merge(delta);
    }
}

fn run(ops: Vec<Op>) -> bool {
    let mut service = Service::default();
    let mut views = vec![KindView::default(); VIEWS];
    let mut late: Vec<(usize, ListAnswer)> = Vec::new();
    for op in ops {
        let before: Vec<_> = views.iter().map(KindView::version).collect();
        let mut restarted = None;
        match op {
            Op::Change { target, to } => service.0.push((target, to)),
            Op::Read {
                view,
                whole,
                lag,
                keep,
            } => {
                let version = service.version().saturating_sub(lag);
                let known = service_version(&views[view]).filter(|_| !whole);
                let answer = match known {
                    Some(since) => service.since(since, version),
                    None => service.whole(version),
                };
                if keep {
                    late.push((view, answer));
                } else {
                    apply(&mut views[view], &answer);
                }
            }
            Op::Late { answer } if !late.is_empty() => {
                let (view, answer) = &late[answer % late.len()];
                apply(&mut views[*view], answer);
            }
            Op::Late { .. } => {}
            Op::Pull { to, from } => {
                let delta = views[from].delta_since(views[to].version());
                views[to].merge(delta);
            }
            Op::Restart { view } => {
                views[view] = KindView::default();
                late.retain(|(watcher, _)| *watcher != view);
                restarted = Some(view);
            }
        }
        for (i, view) in views.iter().enumerate() {
            let reverted = view.version() < before[i] && restarted != Some(i);
            if reverted || !service.agrees(view) {
                return false;
            }
        }
    }
    true
}

/// Guards against a lost, stale, late or repeated answer that restores a removed target or shows a
/// leaving one as live, at a watcher or at the instances that pull from it.
#[test]
fn no_answer_of_the_list_reverts_a_view() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, 5))
        .tests(3000)
        .quickcheck(run as fn(Vec<Op>) -> bool);
}

/// Guards against a change that is missing in an answer of the service and is never found later, by
/// the watcher or by an instance that pulls from it.
#[test]
fn a_full_read_finds_a_missed_change_and_passes_it_on() {
    let service = Service(vec![(0, Some(false)), (1, Some(false)), (2, Some(false))]);
    let mut watcher = KindView::default();
    apply(&mut watcher, &service.whole(3));
    let mut other = KindView::default();
    other.merge(watcher.delta_since(0));
    let service = Service(
        [
            service.0,
            vec![(0, None), (1, Some(true)), (3, Some(false))],
        ]
        .concat(),
    );
    let incomplete = ListAnswer::Changes {
        since: 3,
        version: 6,
        events: vec![event(3, 6, Some(false))],
    };
    apply(&mut watcher, &incomplete);
    other.merge(watcher.delta_since(other.version()));
    assert_eq!(names(&other), ["w0", "w1", "w2", "w3"]);
    apply(&mut watcher, &service.whole(6));
    assert_eq!(names(&watcher), ["w1 leaving", "w2", "w3"]);
    assert!(other.is_behind(watcher.latest()));
    other.merge(watcher.delta_since(other.version()));
    assert_eq!(names(&other), ["w1 leaving", "w2", "w3"]);
    assert_eq!(
        service_version(&watcher),
        Some(6),
        "the next read follows 6"
    );
    let repeated = delta_of(&watcher, &service.whole(6), NOW_MS).unwrap();
    assert!(
        repeated.changes.is_empty(),
        "the comparison does not converge"
    );
}

/// Guards against a restarted instance whose copy of the list counts as a change for all others,
/// and against one that hides earlier removals from them.
#[test]
fn a_restarted_instance_passes_on_no_second_copy() {
    let mut service = Service(vec![(0, Some(false)), (1, Some(false))]);
    let mut watcher = KindView::default();
    let mut restarted = KindView::default();
    apply(&mut watcher, &service.whole(2));
    apply(&mut restarted, &service.whole(2));
    assert!(!watcher.is_behind(restarted.latest()));
    assert!(!restarted.is_behind(watcher.latest()));
    service.0.push((0, None));
    let mut newest = KindView::default();
    apply(&mut newest, &service.whole(3));
    watcher.merge(newest.delta_since(watcher.version()));
    assert_eq!(names(&watcher), ["w1"]);
}

/// Guards against a target that was added and removed between two reads of one watcher and that
/// remains in the view of another, with a service that reports versions but no changes.
#[test]
fn full_lists_without_changes_converge() {
    let unfiltered = |service: &Service, version| match service.whole(version) {
        ListAnswer::Whole(list) => ListAnswer::Unfiltered(list),
        other => other,
    };
    let service = Service(vec![
        (0, Some(false)),
        (1, Some(false)),
        (1, None),
        (0, Some(true)),
    ]);
    let mut watchers = [KindView::default(), KindView::default()];
    let mut other = KindView::default();
    apply(&mut watchers[0], &unfiltered(&service, 1));
    other.merge(watchers[0].delta_since(0));
    apply(&mut watchers[1], &unfiltered(&service, 2));
    other.merge(watchers[1].delta_since(other.version()));
    assert_eq!(names(&other), ["w0", "w1"]);
    apply(&mut watchers[0], &unfiltered(&service, 4));
    let delta = watchers[0].delta_since(watchers[1].version());
    assert!(!delta.full, "a change leads to a pull of the whole list");
    watchers[1].merge(delta);
    apply(&mut watchers[1], &unfiltered(&service, 4));
    assert_eq!(names(&watchers[1]), ["w0 leaving"]);
    other.merge(watchers[1].delta_since(other.version()));
    assert_eq!(names(&other), ["w0 leaving"]);
    apply(&mut watchers[1], &unfiltered(&service, 2));
    assert_eq!(names(&watchers[1]), ["w0 leaving"], "a stale list counts");
}

/// Guards against a list that does not take effect when its service reports no versions, or begins
/// to report them.
#[test]
fn a_list_without_versions_takes_effect() {
    let plain = |targets: Vec<ListedTarget>| {
        ListAnswer::Unfiltered(InstanceList {
            version: None,
            entries: vec![],
            targets,
        })
    };
    let mut view = KindView::default();
    apply(&mut view, &plain(vec![target(0, false), target(1, false)]));
    assert_eq!(service_version(&view), None);
    apply(&mut view, &plain(vec![target(1, true)]));
    assert_eq!(names(&view), ["w1 leaving"]);
    let service = Service(vec![(1, Some(true)), (2, Some(false))]);
    apply(&mut view, &service.whole(2));
    assert_eq!(names(&view), ["w1 leaving", "w2"]);
    assert_eq!(service_version(&view), Some(2));
    apply(&mut view, &plain(vec![target(2, false)]));
    assert_eq!(names(&view), ["w2"]);
}

/// Returns entries of another writer: deep nesting, numbers and ports out of range, other types.
fn odd_targets() -> Vec<String> {
    let target = |address: &str, more: &str| {
        format!(r#"{{"id":"odd","kind":"engine","address":"{address}","zone":"a"{more}}}"#)
    };
    let nested = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    vec![
        target("127.0.0.1:70000", ""),
        target("nowhere", ""),
        target("127.0.0.1:80", r#","state":"asleep""#),
        target("127.0.0.1:80", r#","state":1e999"#),
        target("127.0.0.1:80", r#","service":18446744073709551616"#),
        target("127.0.0.1:80", &format!(r#","service":{nested}"#)),
        nested,
        "null".into(),
    ]
}

const GOOD: &str = r#"{"id":"good","kind":"engine","address":"127.0.0.1:80","zone":"a"}"#;

/// Guards against one odd entry that keeps an instance from reading the list.
#[test]
fn an_odd_entry_does_not_hide_the_others() {
    let names = |list: &InstanceList| -> Vec<String> {
        list.targets.iter().map(|t| t.id.to_string()).collect()
    };
    for odd in odd_targets() {
        let body = format!(r#"{{"version":3,"entries":[{odd}],"targets":[{odd},{GOOD},{odd}]}}"#);
        let list: InstanceList = serde_json::from_str(&body).unwrap();
        assert_eq!(names(&list), ["good"], "{odd:.100}");
        let body = format!(r#"{{"entries":[{odd}],"targets":[{GOOD},{odd}]}}"#);
        match ListAnswer::decode(body.as_bytes(), 2).unwrap() {
            ListAnswer::Unfiltered(list) => assert_eq!(names(&list), ["good"]),
            other => panic!("{other:?}"),
        }
    }
}

/// Guards against an odd change that stops an instance from following the list, or leaves the content
/// from before it in use.
#[test]
fn an_odd_change_counts_as_a_removal() {
    for odd in odd_targets().iter().filter(|o| *o != "null") {
        let body = format!(
            r#"{{"version":9,"events":[
            {{"group":"targets","id":"a","version":8,"value":{odd}}},
            {{"group":"novel","id":"b","version":8,"value":null}},
            {{"group":"targets","id":"good","version":9,"value":{GOOD}}}]}}"#
        );
        match ListAnswer::decode(body.as_bytes(), 7).unwrap() {
            ListAnswer::Changes { events, .. } => {
                assert_eq!(events.len(), 2, "{odd:.100}");
                let removed = ListEvent::Targets {
                    id: "a".into(),
                    version: 8,
                    value: None,
                };
                assert_eq!(events[0], removed);
            }
            other => panic!("{other:?}"),
        }
    }
}
