//! Checks that names of the users' platform occur only in its adapter.

use std::{fs, path::Path};

/// Names of headers, calls, kinds and fields of the platform.
const NAMES: &[&str] = &[
    "x-request-id",
    "x-response-seal",
    "x-not-run",
    "x-expect-instance",
    "server-leaving",
    "x-deadline-ms",
    "x-token-count",
    "x-prompt-prefix",
    "x-wait-ms",
    "x-kv-backup",
    "kv-from",
    "kv-fetch",
    "/lots/",
    "/items/",
    "/objects/",
    "cold_left_ms",
    "path_prefix",
    "result_due_ms",
    "item_ttl_s",
    "stale_ok",
    "retirements",
    "fleetbench",
];
/// Sources that contain identical names of the project's own object service.
const EXCEPTIONS: &[&str] = &["platform.rs"];

/// Guards against platform-specific names outside the adapter.
#[test]
fn names_of_the_platform_stand_in_the_adapter_alone() {
    let mut found = Vec::new();
    search(Path::new("src"), &mut found);
    assert!(found.is_empty(), "{found:#?}");
}

fn search(folder: &Path, found: &mut Vec<String>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            search(&path, found);
            continue;
        }
        let name = path.file_name().unwrap().to_string_lossy().into_owned();
        if EXCEPTIONS.contains(&name.as_str()) || name == "peer_capnp.rs" {
            continue;
        }
        let text = fs::read_to_string(&path).unwrap().to_lowercase();
        let names = NAMES.iter().filter(|n| text.contains(**n));
        found.extend(names.map(|n| format!("{}: {n}", path.display())));
    }
}
