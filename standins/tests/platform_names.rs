//! Names and texts of objects that the client of entry instances meets at the platform.

mod support;

use gentianpath::{
    platform::{Change, Kind, Platform, ReadError, WriteError},
    watch,
};
use serde_json::json;
use standins::host::block_on;
use support::{platform, platform_client};

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
