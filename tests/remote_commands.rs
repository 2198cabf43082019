//! Tests of commands that call a running entry instance.

mod support;

use std::{fs, path::PathBuf};

use assert_cmd::Command;
use serde_json::{Value, json};
use support::{Fleet, Item, MODEL, Standin, free_address, sheet, until};

/// Deadline in the far future, in seconds since 1970-01-01 UTC.
const FAR_DEADLINE: &str = "4000000000";

struct Output {
    code: i32,
    out: String,
    err: String,
}

fn run(args: &[&str]) -> Output {
    let output = Command::new(env!("CARGO_BIN_EXE_gentianpath"))
        .args(args)
        .env("RUST_LOG", "off")
        .output()
        .unwrap();
    Output {
        code: output.status.code().unwrap(),
        out: String::from_utf8(output.stdout).unwrap(),
        err: String::from_utf8(output.stderr).unwrap(),
    }
}

fn file(folder: &tempfile::TempDir, name: &str, text: &str) -> PathBuf {
    let path = folder.path().join(name);
    fs::write(&path, text).unwrap();
    path
}

/// Guards against a late push that does not report the earlier push of another operator.
#[test]
fn a_push_takes_effect_once_and_a_late_one_exits_with_the_conflict_code() {
    let mut fleet = Fleet::new(&[]);
    fleet.add_entry("entry-0", json!({}));
    let address = fleet.entries[0].operators.to_string();
    let folder = tempfile::tempdir().unwrap();
    let mut content = sheet();
    let first = file(&folder, "first.json", &content.to_string());
    content["throughput_weight"] = json!(0.7);
    let second = file(&folder, "second.json", &content.to_string());
    let push = |file: &PathBuf| {
        run(&[
            "sheet",
            "push",
            file.to_str().unwrap(),
            "--base",
            "0",
            "--address",
            &address,
        ])
    };
    let pushed = push(&first);
    assert_eq!(
        (pushed.code, pushed.out.as_str()),
        (0, "sheet pushed as revision 1\n")
    );
    let late = push(&second);
    assert_eq!(late.code, 3, "{}", late.err);
    assert_eq!(late.err.lines().count(), 1, "{}", late.err);
    let shown = run(&["sheet", "show", "--json", "--address", &address]);
    let shown: Value = serde_json::from_str(&shown.out).unwrap();
    assert_eq!(shown["sheet"]["throughput_weight"], 0.5);
    let status = run(&["status", "--address", &address]);
    assert!(status.out.contains("instance: entry-0"), "{}", status.out);
}

/// Guards against an invalid sheet or an unreachable instance that is reported as success or with
/// more than one line.
#[test]
fn wrong_input_and_unreachable_instances_give_one_line_and_their_codes() {
    let folder = tempfile::tempdir().unwrap();
    let unused = free_address().to_string();
    let bad = file(
        &folder,
        "bad.json",
        r#"{"deployment":"d","throughput_weight":2.0}"#,
    );
    let good = file(&folder, "good.json", &sheet().to_string());
    let (bad, good) = (bad.to_str().unwrap(), good.to_str().unwrap());
    let cases: [(&[&str], i32, &str); 4] = [
        (&["sheet", "push", bad], 2, "throughput_weight"),
        (&["sheet", "push", good], 1, "not-run"),
        (&["job", "status", "a/b"], 2, "is not a name"),
        (&["status"], 1, "cannot be reached"),
    ];
    for (args, code, part) in cases {
        let output = run(&[args, &["--address", &unused]].concat());
        assert_eq!(output.code, code, "{args:?}: {}", output.err);
        assert_eq!(output.err.lines().count(), 1, "{args:?}: {}", output.err);
        assert!(output.err.contains(part), "{args:?}: {}", output.err);
    }
}

/// Guards against job commands that call a wrong path or change the items that they send.
#[test]
fn job_commands_call_the_paths_of_the_callers_interface() {
    let recorder = Standin::start("standin-engine", &["--service", "recorder"]);
    let address = recorder.address.to_string();
    let folder = tempfile::tempdir().unwrap();
    let lines = [
        Item::new("a", "first", 3).line(),
        Item::new("b", "second", 3).line(),
    ]
    .join("\n");
    let items = file(&folder, "items.jsonl", &lines);
    let submit = [
        "job",
        "submit",
        items.to_str().unwrap(),
        "--name",
        "j",
        "--model",
        MODEL,
    ];
    let commands: [&[&str]; 4] = [
        &[&submit[..], &["--deadline", FAR_DEADLINE]].concat(),
        &["job", "status", "j"],
        &["job", "results", "j"],
        &["job", "cancel", "j"],
    ];
    for command in commands {
        let output = run(&[command, &["--address", &address]].concat());
        assert_eq!(output.code, 0, "{command:?}: {}", output.err);
    }
    let ledger = recorder.ledger();
    let calls = ledger["calls"].as_array().unwrap();
    let seen: Vec<String> = calls
        .iter()
        .map(|c| format!("{} {}", c["method"], c["path"]))
        .collect();
    let submitted =
        format!("\"POST\" \"/v1/batches?name=j&model={MODEL}&deadline={FAR_DEADLINE}\"");
    assert_eq!(seen[0], submitted);
    assert_eq!(
        seen[1..],
        [
            "\"GET\" \"/v1/batches/j\"",
            "\"GET\" \"/v1/batches/j/results\"",
            "\"POST\" \"/v1/batches/j/cancel\"",
        ]
    );
    assert_eq!(calls[0]["body"], lines);
    recorder.set_faults(&json!({ "leaving": true }));
    assert_eq!(run(&["job", "status", "j", "--address", &address]).code, 1);
}

/// Guards against commands that lose items between the file and the results of a job.
#[test]
fn a_job_goes_from_its_file_to_its_results_and_a_cancelled_one_stops() {
    let fleet = Fleet::running(1, 1);
    let address = fleet.entries[0].callers.to_string();
    let folder = tempfile::tempdir().unwrap();
    let items: Vec<String> = (0..5)
        .map(|i| Item::new(&format!("i{i}"), &format!("item {i}"), 3).line())
        .collect();
    let items = file(&folder, "items.jsonl", &items.join("\n"));
    let items = items.to_str().unwrap();
    let submit = |name: &str| {
        let options = ["--name", name, "--model", MODEL, "--deadline", FAR_DEADLINE];
        let args = [
            &["job", "submit", items, "--address", &address],
            &options[..],
        ]
        .concat();
        run(&args)
    };
    let submitted = submit("j");
    assert_eq!(submitted.code, 0, "{}", submitted.err);
    until("the job finishes", || {
        let status = run(&["job", "status", "j", "--json", "--address", &address]);
        let status: Value = serde_json::from_str(&status.out).unwrap_or_default();
        status["state"] == "finished"
    });
    let results = run(&["job", "results", "j", "--address", &address]);
    let mut ids: Vec<String> = results
        .out
        .lines()
        .map(|line| serde_json::from_str::<Value>(line).unwrap()["id"].to_string())
        .collect();
    ids.sort();
    assert_eq!(ids, ["\"i0\"", "\"i1\"", "\"i2\"", "\"i3\"", "\"i4\""]);
    assert_eq!(submit("k").code, 0);
    let cancelled = run(&["job", "cancel", "k", "--address", &address]);
    assert_eq!(cancelled.code, 0, "{}", cancelled.err);
    let unknown = run(&["job", "status", "nothing", "--address", &address]);
    assert_eq!(unknown.code, 1);
}
