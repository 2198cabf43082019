//! Tests of the stand-in for the platform, with the client of entry instances.

mod support;

use std::time::Duration;

use gentianpath::instance_list::{ListAnswer, ListEvent, ListState, ListedEntry};
use gentianpath::platform::{Kind, ReadError, WriteError};
use serde_json::json;
use standins::host::block_on;
use support::{call, faults, get, platform, platform_client, platform_client_with};
use trillium_client::Method;

/// Guards against a stand-in that accepts two conflicting writes: entry instances coordinate through
/// conditional writes.
#[test]
fn only_one_of_two_conditional_writes_takes_effect() {
    block_on(async {
        let client = platform_client(platform(&[]));
        let created = client.create(Kind::Job, "a", &json!(1)).await.unwrap();
        assert_eq!(
            client.create(Kind::Job, "a", &json!(2)).await,
            Err(WriteError::Conflict)
        );
        let updated = client
            .update(Kind::Job, "a", created, &json!(3))
            .await
            .unwrap();
        assert!(updated > created);
        let stale = client.update(Kind::Job, "a", created, &json!(4)).await;
        assert_eq!(stale, Err(WriteError::Conflict));
        assert_eq!(
            client.get(Kind::Job, "a").await.unwrap().unwrap().value,
            json!(3)
        );
        assert_eq!(
            client.delete(Kind::Job, "a", created).await,
            Err(WriteError::Conflict)
        );
        client.delete(Kind::Job, "a", updated).await.unwrap();
        assert_eq!(client.get(Kind::Job, "a").await, Ok(None));
    });
}

/// Guards against a lost answer that also drops the write, and a dropped write that takes effect.
#[test]
fn lost_dropped_and_refused_writes_differ_in_effect() {
    block_on(async {
        let address = platform(&[]);
        let client = platform_client(address);
        let cases = [
            ("lost", Err(WriteError::Unknown), true),
            ("dropped", Err(WriteError::Unknown), false),
            ("refused", Err(WriteError::Refused), false),
        ];
        for (fault, answer, effect) in cases {
            faults(
                address,
                json!({ fault: { "prefix": "group/", "count": 1 } }),
            )
            .await;
            client.create(Kind::Job, fault, &json!(0)).await.unwrap();
            assert_eq!(
                client.create(Kind::Group, fault, &json!(0)).await,
                answer,
                "{fault}"
            );
            let found = client.get(Kind::Group, fault).await.unwrap();
            assert_eq!(found.is_some(), effect, "{fault}");
            let again = client.create(Kind::Group, fault, &json!(0)).await;
            assert_eq!(again.is_ok(), !effect, "{fault}: the fault is used up");
        }
        let (_, ledger) = get(address, "/ledger").await;
        assert_eq!(ledger["writes"]["total"], 9);
        assert_eq!(ledger["lost"], 1);
        assert_eq!(ledger["calls"]["write group"], 6);
    });
}

/// Guards against a watch that misses a change, returns other kinds, or hides a gap in its history.
#[test]
fn watch_returns_changes_of_its_kind_and_reports_dropped_history() {
    block_on(async {
        let address = platform(&[]);
        let client = platform_client(address);
        let first = client.create(Kind::Sheet, "1", &json!(1)).await.unwrap();
        let watch = client.watch(Kind::Sheet, first, Duration::from_secs(10));
        let write = async {
            client.create(Kind::Job, "other", &json!(0)).await.unwrap();
            client.create(Kind::Sheet, "2", &json!(2)).await.unwrap()
        };
        let (changes, second) = futures::join!(watch, write);
        let changes = changes.unwrap();
        assert_eq!(changes.version, second);
        assert_eq!(changes.events.len(), 1);
        assert_eq!(&*changes.events[0].name, "2");
        let idle = client
            .watch(Kind::Sheet, second, Duration::from_millis(20))
            .await;
        assert!(idle.unwrap().events.is_empty());
        faults(address, json!({ "forget": true })).await;
        let gone = client.watch(Kind::Sheet, first, Duration::ZERO).await;
        assert_eq!(gone.unwrap_err(), ReadError::Gone);
    });
}

/// Guards against listings that skip or repeat objects between pages.
#[test]
fn listing_pages_by_name() {
    block_on(async {
        let client = platform_client(platform(&[]));
        for name in ["a.1", "b.1", "b.2", "b.3", "c.1"] {
            client
                .create(Kind::Group, name, &json!(name))
                .await
                .unwrap();
        }
        let page = client.list(Kind::Group, "b.", "", 2).await.unwrap();
        let rest = client.list(Kind::Group, "b.", "b.2", 2).await.unwrap();
        let names = |items: &[gentianpath::platform::Object]| -> Vec<String> {
            items.iter().map(|o| o.name.to_string()).collect()
        };
        assert_eq!(names(&page.items), ["b.1", "b.2"]);
        assert_eq!(names(&rest.items), ["b.3"]);
        let whole = client.list(Kind::Group, "", "", 100).await.unwrap();
        assert_eq!(names(&whole.items), ["a.1", "b.1", "b.2", "b.3", "c.1"]);
    });
}

/// Guards against values that a real object service would refuse.
#[test]
fn a_value_over_the_limit_is_refused() {
    block_on(async {
        let client = platform_client(platform(&[]));
        let limit = standins::platform::VALUE_LIMIT;
        let fits = "x".repeat(limit - 2);
        client.create(Kind::Input, "a", &fits).await.unwrap();
        let over = "x".repeat(limit - 1);
        assert_eq!(
            client.create(Kind::Input, "b", &over).await,
            Err(WriteError::TooLarge)
        );
    });
}

/// Guards against a list that shows changes without the lag of the real one.
#[test]
fn instance_list_lags_and_keeps_states() {
    block_on(async {
        let address = platform(&["--list-lag-ms", "300000"]);
        let client = platform_client(address);
        let entry = ListedEntry {
            id: "i".into(),
            session: 7,
            address: "127.0.0.1:1".parse().unwrap(),
            peer_address: "127.0.0.1:2".parse().unwrap(),
            zone: "z".into(),
            state: ListState::Leaving,
        };
        client.register(&entry).await.unwrap();
        assert!(client.instances().await.unwrap().entries.is_empty());
        faults(address, json!({ "list_lag_ms": 0 })).await;
        assert_eq!(client.instances().await.unwrap().entries, [entry]);
    });
}

/// Guards against faults that affect the wrong callers or do not end.
#[test]
fn outages_are_bounded_and_cuts_affect_named_parties_only() {
    block_on(async {
        let address = platform(&[]);
        let client = platform_client(address);
        faults(
            address,
            json!({ "gate": { "outage": "refuse", "count": 1 } }),
        )
        .await;
        assert_eq!(
            client.get(Kind::Job, "a").await,
            Err(ReadError::Unavailable)
        );
        assert_eq!(client.get(Kind::Job, "a").await, Ok(None));
        faults(address, json!({ "gate": { "outage": "silent" } })).await;
        let impatient = platform_client_with(address, Duration::from_millis(100));
        let silent = impatient.create(Kind::Job, "a", &json!(1)).await;
        assert_eq!(silent, Err(WriteError::Unknown));
        let cut = json!({ "gate": { "cut": { "parties": ["e1"], "failure": "close" } } });
        faults(address, cut).await;
        let path = "/objects/job/a";
        assert_eq!(call(address, Method::Get, path, None, "e1").await, None);
        let other = call(address, Method::Get, path, None, "e2").await;
        assert_eq!(other.map(|(status, _)| status), Some(404));
    });
}

/// Guards against a list whose changes are not returned, incomplete, or reported as no change.
#[test]
fn instance_list_reports_changes_after_a_version() {
    block_on(async {
        let address = platform(&[]);
        let client = platform_client(address);
        let mut entry = ListedEntry {
            id: "i".into(),
            session: 7,
            address: "127.0.0.1:1".parse().unwrap(),
            peer_address: "127.0.0.1:2".parse().unwrap(),
            zone: "z".into(),
            state: ListState::Live,
        };
        client.register(&entry).await.unwrap();
        let version = client.instances().await.unwrap().version.unwrap();
        let same = client.instances_since(version).await.unwrap();
        assert!(matches!(same, ListAnswer::Unchanged));
        entry.state = ListState::Leaving;
        client.register(&entry).await.unwrap();
        let path = "/instances/entries/i";
        call(address, Method::Delete, path, None, "").await;
        let answer = client.instances_since(version).await.unwrap();
        let ListAnswer::Changes { since, events, .. } = answer else {
            panic!("{answer:?}");
        };
        let event = |version, value| ListEvent::Entries {
            id: "i".into(),
            version,
            value,
        };
        let changes = [event(version + 1, Some(entry)), event(version + 2, None)];
        assert_eq!((since, &*events), (version, &changes[..]));
        let plain = platform_client(platform(&["--plain-list"]));
        let answer = plain.instances_since(version).await.unwrap();
        assert!(matches!(answer, ListAnswer::Unfiltered(list) if list.version.is_none()));
    });
}
