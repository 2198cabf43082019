//! Request targets as the stand-ins read them.

use standins::target::{Refusal, Target};

/// Guards against a stand-in that takes what is no URI, or reads another name than was meant.
#[test]
fn targets_are_read_as_a_uri_asks() {
    let target = Target::parse("/objects/k/a%20b%2Fc?after=x+y%2B&stale_ok=1").unwrap();
    assert_eq!(target.segments, ["objects", "k", "a b/c"]);
    assert_eq!(target.query("after"), Some("x y+"));
    assert_eq!(target.query("stale_ok"), Some("1"));
    let folded = Target::parse("/objects/k/../l/%2e%2E/m/.").unwrap();
    assert_eq!(folded.segments, ["objects", "m"]);
    for invalid in [
        "/a%", "/a%z1", "/a%f", "/a b", "/a\"", "/a#b", "/é", "/%ff", "a",
    ] {
        assert_eq!(Target::parse(invalid), Err(Refusal::Invalid), "{invalid}");
    }
    let long = format!("/{}", "a".repeat(20_000));
    assert_eq!(Target::parse(&long), Err(Refusal::TooLong));
}
