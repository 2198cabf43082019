//! Split of a submitted job into groups, and its digest.

use gentianpath::{
    group::{self, GROUP_BYTES, GROUP_ITEMS, Groups, NEVER_ITEMS, RESULT_BYTES},
    job_record::{GroupRecord, ItemState, Outcome, Repeat},
};
use serde_json::json;

/// Size limit of the object service for a value, in bytes.
const VALUE_LIMIT: usize = 1_000_000;

fn split(body: &str) -> anyhow::Result<Groups> {
    group::split(body, &"team".into(), &"m".into())
}

fn line(id: usize, prompt: &str, tokens: u32, repeat: Repeat) -> String {
    let mut item = json!({"id": id.to_string(), "prompt": prompt, "max_tokens": tokens});
    if repeat == Repeat::Never {
        item["repeat"] = json!("never");
    }
    item.to_string() + "\n"
}

/// Guards against groups that mix repeatable and non-repeatable items, lose items, or exceed the limits
/// of the object service with the longest results that their items may have.
#[test]
fn groups_keep_all_items_within_the_limits() {
    let mut rng = fastrand::Rng::with_seed(7);
    let mut body = String::new();
    for id in 0..2000 {
        let prompt = "\u{1}ä\"".repeat(rng.usize(0..2000));
        let repeat = if rng.bool() {
            Repeat::Allowed
        } else {
            Repeat::Never
        };
        body += &line(id, &prompt, rng.u32(1..5000), repeat);
    }
    let groups = split(&body).unwrap();
    let repeatable = groups.inputs.len() - groups.never as usize;
    let mut orders = Vec::new();
    for (i, input) in groups.inputs.iter().enumerate() {
        let limit = if i < repeatable {
            GROUP_ITEMS
        } else {
            NEVER_ITEMS
        };
        assert!((1..=limit).contains(&input.items.len()));
        assert!(serde_json::to_vec(input).unwrap().len() <= GROUP_BYTES + 64);
        assert!(input.items.iter().map(|i| i.result_limit()).sum::<usize>() <= RESULT_BYTES);
        orders.extend(input.items.iter().map(|i| i.order));
        let results = input.items.iter().map(|i| ItemState {
            attempts: 3,
            losses: u8::MAX,
            outcome: Some(Outcome::Done {
                text: "x".repeat(i.result_limit()).into(),
            }),
        });
        let record = GroupRecord {
            items: results.collect(),
            ..GroupRecord::default()
        };
        assert!(serde_json::to_vec(&record).unwrap().len() < VALUE_LIMIT);
    }
    orders.sort_unstable();
    assert_eq!(orders, (0..2000).collect::<Vec<u64>>());
}

/// Guards against different jobs with the same digest, and a resend with a different digest.
#[test]
fn digest_covers_the_content_and_nothing_else() {
    let digest = |body: &str| split(body).unwrap().digest;
    let base = digest(&line(1, "ab", 4, Repeat::Allowed));
    assert_eq!(
        base,
        digest("\n{\"max_tokens\": 4,  \"prompt\":\"ab\",\"id\":\"1\"}\n\n")
    );
    for other in [
        line(1, "ac", 4, Repeat::Allowed),
        line(1, "ab", 5, Repeat::Allowed),
        line(1, "ab", 4, Repeat::Never),
        line(2, "ab", 4, Repeat::Allowed),
    ] {
        assert_ne!(base, digest(&other));
    }
    let team = group::split(
        &line(1, "ab", 4, Repeat::Allowed),
        &"t2".into(),
        &"m".into(),
    );
    assert_ne!(base, team.unwrap().digest);
}

/// Guards against accepted jobs with an item that is not unique, is invalid, or can never be stored.
#[test]
fn invalid_items_are_refused_with_their_line() {
    let twice = line(1, "a", 4, Repeat::Allowed).repeat(2);
    let long = line(1, &"x".repeat(GROUP_BYTES), 4, Repeat::Allowed);
    for (body, word) in [
        (twice.as_str(), "line 2"),
        (long.as_str(), "line 1"),
        ("{\"id\":\"1\"}", "prompt"),
        ("{\"id\":\"\",\"prompt\":\"x\"}", "line 1"),
        (
            "{\"id\":\"1\",\"prompt\":\"x\",\"repeat\":\"always\"}",
            "line 1",
        ),
        ("\n", "no items"),
    ] {
        let error = split(body).unwrap_err().to_string();
        assert!(error.contains(word), "{error}");
    }
}
