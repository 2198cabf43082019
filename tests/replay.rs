//! Tests of the replay of traces, with processes.

mod support;

use std::{collections::BTreeMap, fs};

use assert_cmd::Command;
use gentianpath::{
    replay::Trace,
    replay_report::{Outcomes, Report},
    replay_run::Tally,
};
use serde_json::{Value, json};
use support::{Fleet, MODEL};

fn replay(fleet: &Fleet, lines: &[Value], options: &[&str]) -> (i32, String, String) {
    let folder = tempfile::tempdir().unwrap();
    let trace = folder.path().join("trace.jsonl");
    let lines: Vec<String> = lines.iter().map(Value::to_string).collect();
    fs::write(&trace, lines.join("\n")).unwrap();
    let address = fleet.entries[0].callers.to_string();
    let output = Command::new(env!("CARGO_BIN_EXE_gentianpath"))
        .args(["replay", trace.to_str().unwrap(), "--model", MODEL])
        .args(["--address", &address])
        .args(options)
        .output()
        .unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    let code = output.status.code().unwrap();
    (code, text(output.stdout), text(output.stderr))
}

fn online(at: u64, prompt: &str) -> Value {
    json!({ "at_ms": at, "kind": "online", "prompt": prompt, "max_tokens": 5, "team": "t" })
}

/// Guards against a replay that sends only a part of its trace, reports a good run as missed, or
/// measures latencies below those of the engines.
#[test]
fn a_good_run_meets_its_outcomes() {
    let mut fleet = Fleet::running(2, 1);
    fleet.add_service("till-0", "till", &[]);
    support::until("the service is known", || {
        let path = "/services/till/ready";
        let answer = support::http::call(fleet.entries[0].callers, "GET", path, &[], "");
        answer.is_some_and(|answer| answer.status == 200)
    });
    let stated = json!({ "whole_answers": 1.0, "max_refused": 0.0, "items_once": true });
    let mut lines = vec![json!({ "outcomes": stated })];
    lines.extend((0..20).map(|i| online(i * 5, &format!("p{i}"))));
    lines.push(json!({
        "at_ms": 10, "kind": "plain", "prompt": "paid", "path": "/receipts", "repeat": "never",
    }));
    let (code, out, err) = replay(&fleet, &lines, &["--json", "--service", "till"]);
    assert_eq!(code, 0, "{out}{err}");
    let report: Value = serde_json::from_str(&out).unwrap();
    let row = json!({ "kind": "online", "sent": 20, "whole": 20, "refused": 0, "broken": 0 });
    assert_eq!(report["requests"][0], row);
    assert_eq!(report["latencies"][0]["count"], 20);
    assert_eq!(report["latencies"][1]["count"], 20 * 4);
    // The engines take at least 2 ms per token, independent of the load of the machine.
    assert!(report["latencies"][0]["p50_ms"].as_f64() >= Some(2.0));
    assert_eq!(
        (0..20)
            .map(|i| fleet.runs(&format!("p{i}")).len())
            .sum::<usize>(),
        20
    );
    let calls = fleet.targets[2].ledger()["calls"].to_string();
    assert_eq!(calls.matches("paid").count(), 1);
}

/// Guards against a replay or an entry instance that loses batch items.
#[test]
fn batch_items_become_jobs_with_one_result_each() {
    let fleet = Fleet::running(1, 1);
    let stated = json!({ "whole_answers": 1.0, "items_once": true, "max_refused": 0.0 });
    let mut lines = vec![json!({ "outcomes": stated })];
    lines.extend((0..30).map(|i| {
        let team = if i % 2 == 0 { "even" } else { "odd" };
        json!({
            "at_ms": 0, "kind": "batch", "prompt": format!("item {i}"), "max_tokens": 3,
            "team": team, "deadline_s": 3600,
        })
    }));
    let (code, out, err) = replay(&fleet, &lines, &["--json"]);
    assert_eq!(code, 0, "{out}{err}");
    let report: Value = serde_json::from_str(&out).unwrap();
    let row = json!({ "kind": "batch", "sent": 30, "whole": 30, "refused": 0, "broken": 0 });
    assert_eq!(report["requests"][2], row);
    assert!((0..30).all(|i| fleet.runs(&format!("item {i}")).len() == 1));
}

/// Guards against a replay that passes although a stated outcome was missed.
#[test]
fn a_missed_outcome_is_named_and_gives_its_exit_code() {
    let fleet = Fleet::running(1, 1);
    let stated = json!({ "first_token_p95_ms": 0.001, "whole_answers": 1.0, "max_refused": 0.0 });
    let lines = [
        json!({ "outcomes": stated }),
        online(0, "good"),
        online(0, "[[fail]]"),
    ];
    let (code, out, err) = replay(&fleet, &lines, &[]);
    assert_eq!(code, 4, "{out}{err}");
    let last = err.lines().last();
    let missed = "gentianpath: missed outcome: first_token_p95_ms, whole_answers";
    assert_eq!(last, Some(missed));
}

/// Guards against an invalid trace that is sent in part.
#[test]
fn a_wrong_trace_is_refused_with_its_line() {
    let cases = [
        (r#"{"at_ms":0,"kind":"batch","prompt":"p"}"#, "deadline_s"),
        (r#"{"at_ms":0,"kind":"online","team":"a/b"}"#, "team 'a/b'"),
        (r#"{"at_ms":0,"kind":"other"}"#, "trace line 2"),
    ];
    for (line, part) in cases {
        let text = format!("{{\"outcomes\":{{}}}}\n{line}");
        let error = format!("{:#}", Trace::parse(&text).unwrap_err());
        assert!(error.contains(part), "{error}");
        assert!(error.contains("line 2"), "{error}");
    }
}

/// Guards against missing, duplicate and unknown results that pass as exactly one per item.
#[test]
fn items_once_needs_one_result_for_each_item_and_no_other() {
    let outcomes = Outcomes {
        items_once: Some(true),
        ..Outcomes::default()
    };
    let cases: [(&[(&str, u64)], bool); 4] = [
        (&[("0", 1), ("1", 1)], true),
        (&[("0", 1)], false),
        (&[("0", 2), ("1", 1)], false),
        (&[("0", 1), ("1", 1), ("other", 1)], false),
    ];
    for (results, met) in cases {
        let results: BTreeMap<String, u64> = results
            .iter()
            .map(|(id, count)| (id.to_string(), *count))
            .collect();
        let mut tally = Tally::default();
        tally.count_results(2, &results);
        let report = Report::new(&outcomes, &tally);
        assert_eq!(report.missed().is_empty(), met, "{results:?}");
    }
}

/// Guards against a stated latency that counts as met without measurements.
#[test]
fn an_outcome_without_a_measurement_is_missed() {
    let outcomes = Outcomes {
        first_token_p95_ms: Some(1e9),
        ..Outcomes::default()
    };
    let report = Report::new(&outcomes, &Tally::default());
    assert_eq!(report.missed(), ["first_token_p95_ms"]);
}
