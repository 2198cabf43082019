//! Names and texts of objects that the client of entry instances meets at the platform.

mod support;

use std::{net::SocketAddr, time::Duration};

use gentianpath::{
    platform::{Change, Kind, Platform, ReadError, WriteError},
    sheet_log::{Entry, Snapshot, entry_name},
    watch,
};
use serde_json::{Value, json};
use standins::host::block_on;
use support::{faults, get, platform, platform_client};

/// Objects of a page of the client.
const PAGE: usize = 500;

fn odd_names() -> Vec<String> {
    let names = [
        "m&x",
        "m+x",
        "m#x",
        "m%a",
        "m%7a",
        "m?x",
        "m/x",
        "m=x",
        "m x",
        "m\"x",
        "m\u{1}x",
        "m\nx",
        "m\\x",
        "mäx",
        "m%",
        "m&after=m",
        "...",
        "%2E",
        "m/../x",
    ];
    let mut names: Vec<String> = names.map(str::to_owned).into();
    names.sort_unstable();
    names
}

fn names(changes: &[Change]) -> Vec<String> {
    changes.iter().map(|c| c.name.to_string()).collect()
}

/// Lists all jobs as an instance does.
async fn list(client: &Platform) -> Result<Vec<Change>, ReadError> {
    let delta = watch::list_all(client, Kind::Job).await?;
    Ok(delta.changes)
}

async fn fill(client: &Platform, names: impl IntoIterator<Item = String>) {
    for name in names {
        client.create(Kind::Job, &name, &json!(name)).await.unwrap();
    }
}

async fn lists(address: SocketAddr) -> u64 {
    let (_, ledger) = get(address, "/ledger").await;
    ledger["calls"]["read job"].as_u64().unwrap_or_default()
}

/// Guards against an object that is read, written or removed in place of another one.
#[test]
fn objects_are_found_under_their_names() {
    block_on(async {
        let client = platform_client(platform(&[]));
        fill(&client, ["m".to_owned(), "mz".to_owned()]).await;
        fill(&client, odd_names()).await;
        for name in odd_names() {
            let object = client.get(Kind::Job, &name).await.unwrap().unwrap();
            assert_eq!((&*object.name, object.value), (&*name, json!(name)));
            let value = json!(1);
            let updated = client.update(Kind::Job, &name, object.version, &value);
            let version = updated.await.unwrap();
            client.delete(Kind::Job, &name, version).await.unwrap();
            assert_eq!(client.get(Kind::Job, &name).await, Ok(None));
        }
        let left = list(&client).await.unwrap();
        assert_eq!(names(&left), ["m", "mz"]);
        let long = "%".repeat(9000);
        for name in [".", "..", "", &long] {
            let created = client.create(Kind::Job, name, &json!(1)).await;
            assert_eq!(created, Err(WriteError::Refused));
            assert_eq!(client.get(Kind::Job, name).await, Ok(None));
        }
    });
}

/// Guards against a listing that skips objects or reads some again after a name that has to be encoded.
#[test]
fn a_listing_goes_on_after_odd_names() {
    block_on(async {
        let client = platform_client(platform(&[]));
        let first: Vec<String> = (1..PAGE).map(|n| format!(" {n:03}")).collect();
        fill(&client, first.clone()).await;
        for name in odd_names() {
            let later = [name.clone(), format!("{name}0"), format!("{name}1")];
            fill(&client, later.clone()).await;
            let listed = list(&client).await.unwrap();
            assert_eq!(names(&listed), [&first[..], &later].concat());
            for object in &listed[first.len()..] {
                let deleted = client.delete(Kind::Job, &object.name, object.version);
                deleted.await.unwrap();
            }
        }
    });
}

/// Guards against one object that cannot be read and that hides the others of its listing.
#[test]
fn an_unreadable_object_hides_no_other_of_its_listing() {
    let texts = [
        r#"{"name":"0499","version":-1,"value":1}"#,
        r#"{"name":5,"version":1,"value":1}"#,
        r#"{"name":"\ud800","version":1,"value":1}"#,
        r#"{"version":1,"value":1}"#,
        r#"{"name":"0499","version":1}"#,
        "null",
    ];
    block_on(async {
        let address = platform(&[]);
        let client = platform_client(address);
        let all: Vec<String> = (0..PAGE + 2).map(|n| format!("{n:04}")).collect();
        fill(&client, all.clone()).await;
        let mut expected = all;
        expected.remove(PAGE - 1);
        for text in texts {
            let text: &serde_json::value::RawValue = serde_json::from_str(text).unwrap();
            let odd = format!("{{\"texts\":{{\"job/0499\":{text}}}}}");
            set_faults(address, &odd).await;
            let mut found = names(&list(&client).await.unwrap());
            found.dedup();
            assert_eq!(found, expected, "{text}");
            let read = client.get(Kind::Job, "0499").await;
            assert_eq!(read, Err(ReadError::Unavailable), "{text}");
        }
    });
}

/// Sets faults that are not read as JSON before.
async fn set_faults(address: SocketAddr, text: &str) {
    let mut conn = trillium_client::Client::new(trillium_smol::ClientConfig::default())
        .post(format!("http://{address}/faults"))
        .with_body(text.to_owned());
    (&mut conn).await.unwrap();
    assert_eq!(conn.status().map(u16::from), Some(200));
}

/// Guards against a change that cannot be read and that hides the others of its batch, or leaves the
/// earlier content of its object in use.
#[test]
fn an_unreadable_change_counts_as_a_removal() {
    block_on(async {
        let address = platform(&[]);
        let client = platform_client(address);
        set_faults(
            address,
            r#"{"texts":{"job/a":{"name":"a","version":1e300,"value":1},"job/b":{"value":1}}}"#,
        )
        .await;
        fill(&client, ["a", "b", "c"].map(str::to_owned)).await;
        let wait = Duration::from_secs(1);
        let changes = client.watch(Kind::Job, 0, wait).await.unwrap();
        let change = |name: &str, version, value| Change {
            name: name.into(),
            version,
            value,
        };
        let expected = [
            change("a", changes.version, None),
            change("c", changes.version, Some(json!("c"))),
        ];
        assert_eq!(changes.events, expected);
    });
}

/// Guards against calls without end while a listing does not advance.
#[test]
fn a_listing_that_does_not_advance_ends() {
    block_on(async {
        let address = platform(&[]);
        let client = platform_client(address);
        fill(&client, (0..2 * PAGE).map(|n| format!("{n:04}"))).await;
        faults(address, json!({ "repeat_pages": true })).await;
        let before = lists(address).await;
        let timeout = async {
            async_io::Timer::after(Duration::from_secs(5)).await;
            panic!("the listing does not end");
        };
        let listed = smol::future::or(list(&client), timeout).await;
        assert_eq!(listed.err(), Some(ReadError::Unavailable));
        assert!(lists(address).await - before <= 2);
        faults(address, json!({})).await;
        assert_eq!(list(&client).await.unwrap().len(), 2 * PAGE);
    });
}

/// Guards against a sheet that is not read from its log, as an object of another writer stands among
/// its snapshots.
#[test]
fn odd_snapshots_hide_no_revision() {
    block_on(async {
        let client = platform_client(platform(&[]));
        let entry = Entry {
            token: "t".into(),
            base: 0,
            changes: Default::default(),
        };
        let snapshot = Snapshot {
            revision: 1,
            parts: Default::default(),
        };
        for (name, value) in [
            (entry_name(1), serde_json::to_value(&snapshot).unwrap()),
            (entry_name(9), json!({ "odd": true })),
            ("zzz".to_owned(), serde_json::to_value(&snapshot).unwrap()),
            ("odd&x".to_owned(), Value::Null),
        ] {
            let created = client.create(Kind::SheetSnapshot, &name, &value).await;
            created.unwrap();
        }
        for revision in 1..4 {
            let name = entry_name(revision);
            client.create(Kind::Sheet, &name, &entry).await.unwrap();
        }
        let delta = watch::list_all(&client, Kind::Sheet).await.unwrap();
        let found: Vec<&str> = delta.changes.iter().map(|c| &*c.name).collect();
        let snapshot = gentianpath::sheet_log::snapshot_name(1);
        assert_eq!(found, [&*snapshot, &entry_name(2), &entry_name(3)]);
    });
}
