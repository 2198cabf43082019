//! Request targets that are built from names.

use gentianpath::uri::{NameError, Target, check_length, check_segment};
use quickcheck::QuickCheck;

#[path = "../standins/src/target.rs"]
#[allow(dead_code, reason = "the test uses a part of it")]
mod target;

/// Guards against a name that a server reads as another one, or takes for a part of the path or query.
#[test]
fn servers_read_the_names_that_were_meant() {
    fn check(kind: String, name: String, value: String) -> bool {
        let target = Target::of_path(&["objects", &kind, &name]);
        let is_sendable = check_segment(&kind).is_ok() && check_segment(&name).is_ok();
        let Ok(target) = target.and_then(|t| t.with("after", &value)?.with("x", "1")) else {
            return !is_sendable || check_length(&value).is_err();
        };
        let read = target::Target::parse(target.as_str()).unwrap();
        read.segments == ["objects", &kind, &name]
            && read.query("after") == Some(&value)
            && read.query("x") == Some("1")
    }
    QuickCheck::new()
        .tests(3000)
        .quickcheck(check as fn(String, String, String) -> bool);
}

/// Guards against names that a server folds away or refuses.
#[test]
fn names_that_no_target_can_hold_are_refused() {
    for (name, error) in [
        ("", NameError::Empty),
        (".", NameError::Dots),
        ("..", NameError::Dots),
        (&"x".repeat(8000), NameError::TooLong),
        (&"%".repeat(3000), NameError::TooLong),
    ] {
        assert_eq!(check_segment(name), Err(error));
        assert_eq!(Target::of_path(&["objects", name]), Err(error));
    }
    assert_eq!(check_segment("..."), Ok(()));
    assert_eq!(check_length("."), Ok(()));
    let longest = "x".repeat(7500);
    let target = Target::of_path(&["objects", "blocked-requests", &longest, "status"]);
    assert!(target.unwrap().as_str().len() <= 8000);
}
