//! Views of the object store, and decoding in the adapter.

use std::time::Duration;

use gentianpath::{
    adapter::{
        objects::{decode_config, decode_worker},
        store::{Change, Object},
    },
    gateway::{
        config::RouteKind,
        sse::Splitter,
        sync::{Snapshot, Views},
        view::View,
    },
};
use quickcheck::quickcheck;

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn object(name: &str, revision: u64) -> Object {
    Object {
        name: name.into(),
        revision,
        spec: "{}".into(),
        status: "null".into(),
    }
}

fn removal(name: &str, revision: u64) -> Change {
    Change {
        object: object(name, revision),
        removed: true,
    }
}

fn names(view: &View) -> Vec<String> {
    let mut names: Vec<String> = view.objects().map(|o| o.name.clone()).collect();
    names.sort();
    names
}

/// Guards against a list that is older than the changes already applied, as a stale read can be.
#[test]
fn an_older_list_does_not_bring_back_an_earlier_state() {
    let mut view = View::default();
    view.replace(vec![object("a", 1), object("b", 2)], 5, at(0));
    view.replace(vec![object("a", 1)], 4, at(1));
    assert_eq!(names(&view), ["a", "b"]);
    let change = Change {
        object: object("b", 1),
        removed: false,
    };
    view.apply(vec![change], 6, at(2));
    assert_eq!(view.get("b").unwrap().revision, 2);
}

/// Guards against losing all workers to a store outage: their entries expire during it and are
/// written again soon after it.
#[test]
fn entries_that_lapsed_in_an_outage_stay_until_they_could_be_back() {
    let mut view = View::default();
    view.replace(vec![object("a", 1), object("b", 2)], 5, at(0));
    view.store_failed(at(1000));
    view.replace(vec![object("a", 9)], 10, at(1001));
    assert_eq!(names(&view), ["a", "b"]);
    view.expire(at(3000));
    assert_eq!(names(&view), ["a", "b"]);
    view.expire(at(3001));
    assert_eq!(names(&view), ["a"]);
}

/// Guards against requests to a worker that left, long after the two seconds that its entry may take
/// to come back: by an instance that notices late that the store is back, or that fails again.
#[test]
fn the_use_of_a_kept_entry_ends_by_the_last_failed_call() {
    let mut view = View::default();
    view.replace(vec![object("a", 1), object("b", 2)], 5, at(0));
    view.store_failed(at(1000));
    view.replace(vec![object("a", 1)], 10, at(2400));
    assert_eq!(view.kept_until("b"), Some(at(3500)));
    assert_eq!(view.kept_until("a"), None);
    view.store_failed(at(2500));
    view.replace(vec![object("a", 1)], 11, at(2600));
    assert_eq!(view.kept_until("b"), Some(at(3500)));
    view.apply(vec![removal("a", 12)], 12, at(5000));
    view.expire(at(5000));
    assert!(names(&view).is_empty());
}

/// Guards against losing the workers of a zone for a moment after its cut has healed: a peer's list
/// lacks their entries while the own call to the store has not failed yet.
#[test]
fn a_call_that_was_waiting_when_an_entry_disappeared_prolongs_its_use() {
    let mut view = View::default();
    view.replace(vec![object("a", 1), object("b", 2)], 5, at(0));
    view.store_failed(at(1000));
    view.replace(vec![object("a", 1)], 10, at(2400));
    view.store_failed(at(2300));
    assert_eq!(view.kept_until("b"), Some(at(4400)));
    view.store_failed(at(2500));
    assert_eq!(view.kept_until("b"), Some(at(4400)));
}

/// Guards against requests to a worker whose removal is news after a single failed call: it left,
/// and did not expire.
#[test]
fn a_removal_soon_after_a_failed_call_takes_effect_within_two_seconds() {
    let mut view = View::default();
    view.replace(vec![object("a", 1)], 5, at(0));
    view.store_failed(at(1000));
    view.apply(vec![removal("a", 6)], 6, at(1200));
    assert_eq!(view.kept_until("a"), Some(at(3200)));
}

/// Guards against a kept entry that other instances take for one of the store, which never ends.
#[test]
fn a_kept_entry_is_not_passed_on() {
    let mut views = Views::default();
    views
        .workers
        .replace(vec![object("a", 1), object("b", 2)], 5, at(0));
    let mut without = View::default();
    without.replace(vec![object("a", 1)], 6, at(0));
    views.workers.store_failed(at(1000));
    views.workers.replace(vec![object("a", 1)], 6, at(1001));
    let passed: Vec<String> = Snapshot::of(&views)
        .workers
        .into_iter()
        .map(|(name, ..)| name)
        .collect();
    assert_eq!(passed, ["a"]);
    assert_eq!(views.workers.version().digest, without.version().digest);
}

/// Guards against a late answer of a watch that brings back an entry whose removal is known from a
/// newer list.
#[test]
fn an_event_older_than_the_list_brings_no_entry_back() {
    let mut view = View::default();
    view.replace(vec![object("a", 1), object("b", 2)], 5, at(0));
    view.replace(vec![object("a", 1)], 8, at(1));
    let change = Change {
        object: object("b", 6),
        removed: false,
    };
    view.apply(vec![change], 7, at(2));
    assert_eq!(names(&view), ["a"]);
}

/// Guards against requests to a worker that is gone: outside an outage, a removal takes effect at
/// once.
#[test]
fn a_removed_entry_is_gone_at_once() {
    let mut view = View::default();
    view.replace(vec![object("a", 1)], 5, at(0));
    view.apply(vec![removal("a", 6)], 6, at(1));
    assert!(names(&view).is_empty());
}

/// Guards against an entry of an unrelated writer that is taken for a worker or breaks the list.
#[test]
fn an_unreadable_entry_names_no_worker() {
    let good = r#"{"service":"s","addr":"127.0.0.1:80","zone":"z","version":"v","slots":8,"state":"ready"}"#;
    assert!(decode_worker("i", good).unwrap().ready);
    for bad in [
        "null",
        "[1]",
        r#"{"service":"s"}"#,
        r#"{"service":"s","addr":"127.0.0.1:80","zone":"z","slots":8,"state":"ready"}"#,
        r#"{"service":"s","addr":"nowhere","zone":"z","version":"v","slots":8,"state":"ready"}"#,
        r#"{"service":"s","addr":"127.0.0.1:80","zone":"z","version":"v","slots":"8","state":"ready"}"#,
        r#"{"service":"s","addr":"127.0.0.1:80","zone":"z","version":"v","slots":8,"state":"asleep"}"#,
    ] {
        assert!(decode_worker("i", bad).is_err(), "{bad}");
    }
}

/// Guards against entries of another writer that end the process: deep nesting, and numbers and ports
/// out of range.
#[test]
fn an_entry_out_of_range_names_no_worker() {
    let entry = |slots: &str, addr: &str, more: &str| {
        format!(
            r#"{{"service":"s","addr":"{addr}","zone":"z","version":"v","slots":{slots},"state":"ready"{more}}}"#
        )
    };
    let nested = format!(r#","x":{}{}"#, "[".repeat(100_000), "]".repeat(100_000));
    for bad in [
        entry("8", "127.0.0.1:70000", ""),
        entry("8", "127.0.0.1:0", ""),
        entry("0", "127.0.0.1:80", ""),
        entry("1e999", "127.0.0.1:80", ""),
        entry("4294967295", "127.0.0.1:80", ""),
        entry("18446744073709551616", "127.0.0.1:80", ""),
        entry("8", "127.0.0.1:80", r#","born":18446744073709551616"#),
        nested.clone(),
    ] {
        assert!(decode_worker("i", &bad).is_err(), "{bad:.200}");
    }
    // A field that is not known here makes no worker unusable.
    let worker = decode_worker("i", &entry("8", "127.0.0.1:80", &nested));
    assert!(worker.is_ok(), "{worker:?}");
}

/// Guards against times out of range that end the process.
#[test]
fn times_of_a_configuration_are_bounded() {
    for time in ["1e300", "-5", "1e18"] {
        let spec = format!(
            r#"{{"version":4,"routes":[{{"name":"r","host":"a","path_prefix":"/","kind":"batch",
            "timeout_ms":{time},"goal_ms":{time},"gap_target_ms":{time},"item_ttl_s":{time},
            "result_due_ms":{time}}}],"limits":{{"idle_timeout_ms":{time}}}}}"#
        );
        let config = decode_config(&spec).unwrap();
        let end = std::time::Instant::now() + config.routes[0].timeout;
        assert!(end + config.limits.idle >= end);
    }
    assert!(decode_config(r#"{"version":1,"routes":[{"timeout_ms":1e999}]}"#).is_err());
}

/// Guards against a call that is routed to the wrong service, and against a stream that runs twice.
#[test]
fn the_longest_prefix_of_the_host_wins() {
    let spec = r#"{"version":4,"routes":[
        {"name":"short","host":"A.example","path_prefix":"/x/","kind":"stream","timeout_ms":5000,
         "goal_ms":300,"service":"s","max_attempts":2,"resumable":false},
        {"name":"long","host":"a.example","path_prefix":"/x/y/","kind":"stream","timeout_ms":5000,
         "split":[{"service":"s","weight":1},{"service":"t","weight":3}],"resumable":true},
        {"name":"new","host":"a.example","path_prefix":"/n/","kind":"novel","timeout_ms":100}],
        "services":[{"name":"s"}],"limits":{}}"#;
    let config = decode_config(spec).unwrap();
    let route = |path| {
        config
            .route("a.example:80", path)
            .map(|r| r.name.to_string())
    };
    assert_eq!(route("/x/1").as_deref(), Some("short"));
    assert_eq!(route("/x/y/1").as_deref(), Some("long"));
    assert_eq!(route("/other"), None);
    assert!(!config.routes[0].is_repeatable());
    assert!(config.routes[1].is_repeatable());
    assert_eq!(config.routes[2].kind, RouteKind::Once);
    assert_eq!(config.routes[1].service(0.2).unwrap().as_ref(), "s");
    assert_eq!(config.routes[1].service(0.3).unwrap().as_ref(), "t");
}

quickcheck! {
    /// Guards against events that are lost or merged when a read ends in the middle of one.
    fn events_do_not_depend_on_how_the_bytes_arrive(data: Vec<u8>, cut: usize, crlf: bool) -> bool {
        let end = if crlf { "\r\n" } else { "\n" };
        let hex = |b: &u8| format!("{b:x}");
        let text: String = data
            .iter()
            .enumerate()
            .map(|(i, b)| format!("id: {i}{end}data: {}{end}{end}", hex(b)))
            .collect();
        let mut splitter = Splitter::default();
        let cut = cut % (text.len() + 1);
        let mut events = Vec::new();
        for part in [&text.as_bytes()[..cut], &text.as_bytes()[cut..]] {
            splitter.push(part);
            while let Some(event) = splitter.pop() {
                events.push((event.id, event.data()));
            }
        }
        let expected = data
            .iter()
            .enumerate()
            .map(|(i, b)| (Some(i as u64), hex(b).into_bytes()));
        splitter.is_empty() && events == expected.collect::<Vec<_>>()
    }
}
