//! JSON texts are split as a parser reads them.

use gentianpath::json_parts::{elements, member, members};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use serde_json::{Map, Value};

/// A JSON value of some depth.
#[derive(Debug, Clone)]
struct Json(Value);

fn value(g: &mut Gen, depth: usize) -> Value {
    let kinds = if depth == 0 { 5 } else { 7 };
    match usize::arbitrary(g) % kinds {
        0 => Value::Null,
        1 => bool::arbitrary(g).into(),
        2 => i64::arbitrary(g).into(),
        3 => f64::arbitrary(g).into(),
        4 => String::arbitrary(g).into(),
        5 => (0..usize::arbitrary(g) % 4)
            .map(|_| value(g, depth - 1))
            .collect(),
        _ => (0..usize::arbitrary(g) % 4)
            .map(|_| (String::arbitrary(g), value(g, depth - 1)))
            .collect::<Map<_, _>>()
            .into(),
    }
}

impl Arbitrary for Json {
    fn arbitrary(g: &mut Gen) -> Self {
        Self(value(g, 4))
    }
}

/// Returns the texts of a value with and without white space.
fn texts(value: &Value) -> [String; 2] {
    [
        value.to_string(),
        format!(" {} \n", serde_json::to_string_pretty(value).unwrap()),
    ]
}

fn read(text: &[u8]) -> Value {
    serde_json::from_slice(text).unwrap()
}

/// Guards against parts that are cut at another place than where they end.
#[test]
fn texts_are_split_into_their_parts() {
    fn check(Json(value): Json) -> bool {
        texts(&value).iter().all(|text| {
            let text = text.as_bytes();
            let found = elements(text).map(|e| e.into_iter().map(read).collect());
            let split = members(text).map(|m| {
                m.into_iter()
                    .map(|(name, v)| (read(name).as_str().unwrap().to_owned(), read(v)))
                    .collect()
            });
            // The parser does not read each number as it was written.
            let whole = read(text);
            found == whole.as_array().cloned() && split == whole.as_object().cloned()
        })
    }
    QuickCheck::new()
        .tests(3000)
        .quickcheck(check as fn(Json) -> bool);
}

/// Guards against a cut text that passes for a whole one.
#[test]
fn cut_texts_are_not_split() {
    fn check(Json(value): Json) -> bool {
        let text = Value::Array(vec![value]).to_string();
        let cut = (0..text.len()).all(|end| elements(&text.as_bytes()[..end]).is_none());
        cut && elements(format!("{text}]").as_bytes()).is_none()
    }
    QuickCheck::new()
        .tests(500)
        .quickcheck(check as fn(Json) -> bool);
}

/// Guards against an element that cannot be read and that hides the others.
#[test]
fn elements_that_cannot_be_read_leave_the_others() {
    let odd: [&[u8]; 8] = [
        b"NaN",
        b"\"\xff\xfe\"",
        b"{\"a\":\"\x01\"}",
        b"-",
        b"{\"a\" \"b\"}",
        b"[1 2]",
        b"\"\\ud800\"",
        b"\"\\\\\"",
    ];
    for odd in odd {
        let text = [b"[1,", odd, b",{\"b\":2}]"].concat();
        let expected: Vec<&[u8]> = vec![b"1", odd, b"{\"b\":2}"];
        assert_eq!(elements(&text), Some(expected));
        let text = [b"{\"x\":", odd, b",\"y\":3}"].concat();
        assert_eq!(member(&text, "y").unwrap(), b"3");
        assert_eq!(member(&text, "x").unwrap(), odd);
        assert!(member(&text, "z").is_err());
    }
    for broken in [
        "", "[", "[,]", "[1,]", "{\"a\"}", "{1:2}", "[\"a]", "[{]", "5",
    ] {
        assert_eq!(elements(broken.as_bytes()), None, "{broken}");
        assert_eq!(members(broken.as_bytes()), None, "{broken}");
    }
}
