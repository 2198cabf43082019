//! Versioned views: exchanges in any order, lost, repeated, with restarts.

use gentianpath::{
    ids::Version,
    platform::{Change, Changes, Listing, Object},
    spread::{Delta, KindView},
};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use serde_json::json;

const VIEWS: usize = 4;
const NAMES: u8 = 6;

#[derive(Debug, Clone)]
enum Op {
    /// Write or remove an object in the platform.
    Write { name: u8, remove: bool },
    /// A watcher reads changes, by a long poll or a listing.
    Watch { view: usize, listing: bool },
    /// A view asks another for what it lacks; the answer may be delivered later, again or never.
    Pull { to: usize, from: usize, keep: bool },
    /// An earlier answer is delivered again.
    Replay { to: usize, answer: usize },
    /// An instance restarts with nothing.
    Restart { view: usize },
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Self {
        let view = usize::arbitrary(g) % VIEWS;
        match u8::arbitrary(g) % 10 {
            0..=2 => Op::Write {
                name: u8::arbitrary(g) % NAMES,
                remove: bool::arbitrary(g),
            },
            3..=4 => Op::Watch {
                view,
                listing: bool::arbitrary(g),
            },
            5..=7 => Op::Pull {
                to: view,
                from: usize::arbitrary(g) % VIEWS,
                keep: bool::arbitrary(g),
            },
            8 => Op::Replay {
                to: view,
                answer: usize::arbitrary(g),
            },
            _ => Op::Restart { view },
        }
    }
}

/// The platform: every change of the kind, in order.
#[derive(Default)]
struct Truth {
    changes: Vec<Change>,
}

impl Truth {
    fn version(&self) -> Version {
        self.changes.len() as Version
    }

    fn write(&mut self, name: u8, remove: bool) {
        let version = self.version() + 1;
        self.changes.push(Change {
            name: format!("o{name}").into(),
            version,
            value: (!remove).then(|| json!(version)),
        });
    }

    /// Returns the version and value of an object as of a version.
    fn at(&self, name: &str, version: Version) -> Option<Version> {
        let until = &self.changes[..version as usize];
        let last = until.iter().rev().find(|c| &*c.name == name)?;
        last.value.as_ref().map(|_| last.version)
    }

    fn listing(&self) -> Listing {
        let version = self.version();
        let names = (0..NAMES).map(|n| format!("o{n}"));
        let items = names.filter_map(|n| {
            self.at(&n, version).map(|v| Object {
                name: n.as_str().into(),
                version: v,
                value: json!(v),
            })
        });
        Listing {
            version,
            items: items.collect(),
        }
    }

    fn since(&self, since: Version) -> Changes {
        Changes {
            version: self.version(),
            events: self.changes[since as usize..].to_vec(),
        }
    }

    /// Checks that a view has exactly the objects of its version.
    fn agrees(&self, view: &KindView) -> bool {
        (0..NAMES).all(|n| {
            let name = format!("o{n}");
            let known = view.objects().get(name.as_str()).map(|o| o.version);
            known == self.at(&name, view.version())
        })
    }
}

fn run(ops: Vec<Op>) -> bool {
    let mut truth = Truth::default();
    let mut views: Vec<KindView> = vec![KindView::default(); VIEWS];
    let mut answers: Vec<Delta> = Vec::new();
    for op in ops {
        let before: Vec<Version> = views.iter().map(KindView::version).collect();
        let mut restarted = None;
        match op {
            Op::Write { name, remove } => truth.write(name, remove),
            Op::Watch {
                view,
                listing: true,
            } => {
                views[view].merge(Delta::of_listing(truth.listing()));
            }
            Op::Watch { view, .. } => {
                let since = views[view].version();
                views[view].merge(Delta::of_watch(since, truth.since(since)));
            }
            Op::Pull { to, from, keep } => {
                let delta = views[from].delta_since(views[to].version());
                if keep {
                    answers.push(delta);
                } else {
                    views[to].merge(delta);
                }
            }
            Op::Replay { to, answer } => {
                if !answers.is_empty() {
                    views[to].merge(answers[answer % answers.len()].clone());
                }
            }
            Op::Restart { view } => {
                views[view] = KindView::default();
                restarted = Some(view);
            }
        }
        for (i, view) in views.iter().enumerate() {
            let back = view.version() < before[i] && restarted != Some(i);
            if back || !truth.agrees(view) {
                return false;
            }
        }
    }
    // One watcher and enough rounds of pulls bring all views to the platform's state.
    views[0].merge(Delta::of_listing(truth.listing()));
    for from in 0..VIEWS - 1 {
        let delta = views[from].delta_since(views[from + 1].version());
        views[from + 1].merge(delta);
    }
    views
        .iter()
        .all(|v| !v.is_behind(views[0].latest()) && truth.agrees(v))
}

/// Guards against views that go back, miss a removal, keep a removed object, fill a gap wrongly or
/// do not converge.
#[test]
fn views_never_go_back_and_converge() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, 3))
        .tests(3000)
        .quickcheck(run as fn(Vec<Op>) -> bool);
}

/// Guards against an older listing, read from a lagging replica, that replaces a newer view.
#[test]
fn an_older_listing_is_ignored() {
    let mut truth = Truth::default();
    truth.write(1, false);
    let old = truth.listing();
    truth.write(1, false);
    truth.write(2, false);
    let mut view = KindView::default();
    view.merge(Delta::of_listing(truth.listing()));
    assert!(!view.merge(Delta::of_listing(old)));
    assert_eq!(view.version(), 3);
    assert!(truth.agrees(&view));
}

/// Guards against a pull on every change of another kind: the version of the store moves, the
/// latest change of this kind does not.
#[test]
fn peers_compare_the_latest_change_of_the_kind() {
    let mut truth = Truth::default();
    truth.write(1, false);
    let mut ahead = KindView::default();
    ahead.merge(Delta::of_listing(truth.listing()));
    let behind = ahead.clone();
    let quiet = Changes {
        version: 900,
        events: vec![],
    };
    ahead.merge(Delta::of_watch(1, quiet));
    assert_eq!(ahead.version(), 900);
    assert!(!behind.is_behind(ahead.latest()));
}

/// Guards against a restarted instance that gets a compacted log without what the compaction
/// replaced.
#[test]
fn a_compacted_view_serves_peers_at_any_version() {
    let mut truth = Truth::default();
    for name in 0..5 {
        truth.write(name, false);
    }
    let mut view = KindView::default();
    view.merge(Delta::of_watch(0, truth.since(0)));
    let summary = Object {
        name: "summary".into(),
        version: 3,
        value: json!("0 to 2"),
    };
    view.compact(|name| name < "o3", summary);
    let names = |since| -> Vec<String> {
        let changes = view.delta_since(since).changes;
        changes.iter().map(|c| c.name.to_string()).collect()
    };
    assert_eq!(names(0), ["summary", "o3", "o4"]);
    assert_eq!(names(2), ["summary", "o3", "o4"]);
    assert_eq!(names(3), ["o3", "o4"]);
}
