//! Checks that pages in docs/ agree with the code.

use std::{fs, path::Path};

use gentianpath::events::Event;

/// Guards against an event that is missing in docs/events.md, and against a listed event that does
/// not exist.
#[test]
fn catalogue_lists_exactly_the_events_of_the_code() {
    let catalogue = include_str!("../docs/events.md");
    let listed: Vec<(u16, &str)> = catalogue.lines().filter_map(parse_row).collect();
    let defined: Vec<(u16, &str)> = Event::ALL.iter().map(|e| (e.number(), e.name())).collect();
    assert_eq!(listed, defined);
}

fn parse_row(line: &str) -> Option<(u16, &str)> {
    let mut cells = line.split('|').map(str::trim).skip(1);
    let number = cells.next()?.parse().ok()?;
    Some((number, cells.next()?))
}

/// Guards against an event that is defined but never logged.
#[test]
fn each_event_is_logged_somewhere() {
    let code = read_sources(Path::new("src"));
    let definitions = fs::read_to_string("src/events.rs").unwrap();
    let logged = code.replace(&definitions, "");
    for event in Event::ALL {
        assert!(
            logged.contains(&format!("{event:?}")),
            "{event:?} is not logged"
        );
    }
}

/// Guards against a fault matrix that names a test which does not exist.
#[test]
fn fault_matrix_names_only_tests_that_exist() {
    let matrix = include_str!("../docs/faults.md");
    let tests = read_sources(Path::new("tests")) + &*read_sources(Path::new("standins/tests"));
    for name in matrix.split('`').skip(1).step_by(2) {
        assert!(tests.contains(&format!("fn {name}(")), "no test {name}");
    }
}

/// Guards against a requirement whose tests in the design page do not exist.
#[test]
fn design_page_names_only_tests_that_exist() {
    let page = include_str!("../docs/design.md");
    let proof = page.split("## 9. Proof").nth(1).unwrap();
    let rows = proof.split("## 10.").next().unwrap().lines();
    let tests = read_sources(Path::new("tests"));
    for name in rows.filter(|l| l.starts_with('|')).flat_map(code_spans) {
        assert!(tests.contains(&format!("fn {name}(")), "no test {name}");
    }
}

fn code_spans(line: &str) -> impl Iterator<Item = &str> {
    line.split('`').skip(1).step_by(2)
}

/// Guards against a setting that is missing in docs/settings.md.
#[test]
fn each_setting_is_described() {
    let page = include_str!("../docs/settings.md");
    let code = include_str!("../src/settings.rs");
    let raw = code.split("/// Checked settings").next().unwrap();
    let fields = raw
        .lines()
        .filter_map(|l| l.strip_prefix("    ")?.split_once(": "));
    for (field, _) in fields.filter(|(f, _)| f.chars().all(|c| c.is_ascii_lowercase() || c == '_'))
    {
        let listed = page.contains(&format!("`{field}`")) || page.contains(&format!(".{field}`"));
        assert!(listed, "{field} is not described");
    }
}

/// Reads all sources below a folder into one text.
fn read_sources(folder: &Path) -> String {
    let mut text = String::new();
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            text += &read_sources(&path);
        } else if path.extension().is_some_and(|e| e == "rs") {
            text += &fs::read_to_string(path).unwrap();
        }
    }
    text
}
