//! Answers of the instance list: lost, stale, late, repeated, incomplete, without versions.

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
    /// A target registers, is marked as leaving or is removed.
    Change { target: u8, to: Option<bool> },
    /// A watcher asks; the answer comes from a replica that lags, at once, later, again or never.
    Read {
        view: usize,
        whole: bool,
        lag: u64,
        keep: bool,
    },
    /// An answer that was kept arrives at the watcher that asked.
    Late { answer: usize },
    /// A view takes from another what it lacks.
    Pull { to: usize, from: usize },
    /// An instance restarts with nothing.
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

/// The list of the service: each change, in order; the version is their number.
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

    /// Checks that a view has exactly what the service had at its version.
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

fn take(view: &mut KindView, answer: &ListAnswer) {
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
                    take(&mut views[view], &answer);
                }
            }
            Op::Late { answer } if !late.is_empty() => {
                let (view, answer) = &late[answer % late.len()];
                take(&mut views[*view], answer);
            }
            Op::Late { .. } => {}
            Op::Pull { to, from } => {
                let delta = views[from].delta_since(views[to].version());
                views[to].merge(delta);
            }
            Op::Restart { view } => {
                views[view] = KindView::default();
                late.retain(|(asked, _)| *asked != view);
                restarted = Some(view);
            }
        }
        for (i, view) in views.iter().enumerate() {
            let back = view.version() < before[i] && restarted != Some(i);
            if back || !service.agrees(view) {
                return false;
            }
        }
    }
    true
}

/// Guards against a lost, stale, late or repeated answer that brings back a removed target or
/// shows a leaving one as live, at a watcher or at those that learn from it.
#[test]
fn no_answer_of_the_list_leads_back() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, 5))
        .tests(3000)
        .quickcheck(run as fn(Vec<Op>) -> bool);
}

/// Guards against a change that the service left out of an answer and that nobody finds later, at
/// the watcher or at an instance that learned from it.
#[test]
fn a_whole_read_finds_a_missed_change_and_spreads_it() {
    let service = Service(vec![(0, Some(false)), (1, Some(false)), (2, Some(false))]);
    let mut watcher = KindView::default();
    take(&mut watcher, &service.whole(3));
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
    take(&mut watcher, &incomplete);
    other.merge(watcher.delta_since(other.version()));
    assert_eq!(names(&other), ["w0", "w1", "w2", "w3"]);
    take(&mut watcher, &service.whole(6));
    assert_eq!(names(&watcher), ["w1 leaving", "w2", "w3"]);
    assert!(other.is_behind(watcher.latest()));
    other.merge(watcher.delta_since(other.version()));
    assert_eq!(names(&other), ["w1 leaving", "w2", "w3"]);
    assert_eq!(
        service_version(&watcher),
        Some(6),
        "the next read follows 6"
    );
    let settled = delta_of(&watcher, &service.whole(6), NOW_MS).unwrap();
    assert!(settled.changes.is_empty(), "the comparison does not settle");
}

/// Guards against a restarted instance whose copy of the list counts as news for all others, and
/// against one that hides from them what was removed before its start.
#[test]
fn a_restarted_instance_spreads_no_second_copy() {
    let mut service = Service(vec![(0, Some(false)), (1, Some(false))]);
    let mut watcher = KindView::default();
    let mut restarted = KindView::default();
    take(&mut watcher, &service.whole(2));
    take(&mut restarted, &service.whole(2));
    assert!(!watcher.is_behind(restarted.latest()));
    assert!(!restarted.is_behind(watcher.latest()));
    service.0.push((0, None));
    let mut newest = KindView::default();
    take(&mut newest, &service.whole(3));
    watcher.merge(newest.delta_since(watcher.version()));
    assert_eq!(names(&watcher), ["w1"]);
}

/// Guards against a target that came and went between two reads of one watcher and stays for good
/// where another one saw it, with a service that gives versions and no changes.
#[test]
fn whole_lists_only_settle_as_well() {
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
    take(&mut watchers[0], &unfiltered(&service, 1));
    other.merge(watchers[0].delta_since(0));
    take(&mut watchers[1], &unfiltered(&service, 2));
    other.merge(watchers[1].delta_since(other.version()));
    assert_eq!(names(&other), ["w0", "w1"]);
    take(&mut watchers[0], &unfiltered(&service, 4));
    let news = watchers[0].delta_since(watchers[1].version());
    assert!(!news.full, "a change leads to a pull of the whole list");
    watchers[1].merge(news);
    take(&mut watchers[1], &unfiltered(&service, 4));
    assert_eq!(names(&watchers[1]), ["w0 leaving"]);
    other.merge(watchers[1].delta_since(other.version()));
    assert_eq!(names(&other), ["w0 leaving"]);
    take(&mut watchers[1], &unfiltered(&service, 2));
    assert_eq!(names(&watchers[1]), ["w0 leaving"], "a stale list counts");
}

/// Guards against a service without versions, or one that begins to give them, whose list does
/// not take effect.
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
    take(&mut view, &plain(vec![target(0, false), target(1, false)]));
    assert_eq!(service_version(&view), None);
    take(&mut view, &plain(vec![target(1, true)]));
    assert_eq!(names(&view), ["w1 leaving"]);
    let service = Service(vec![(1, Some(true)), (2, Some(false))]);
    take(&mut view, &service.whole(2));
    assert_eq!(names(&view), ["w1 leaving", "w2"]);
    assert_eq!(service_version(&view), Some(2));
    take(&mut view, &plain(vec![target(2, false)]));
    assert_eq!(names(&view), ["w2"]);
}
