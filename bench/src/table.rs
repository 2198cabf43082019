//! Runs all policies on all traces and prints the table.

use std::thread;

use crate::{
    plot::{Point, plot},
    policy::{BENCHLINE, COINREAD, Deployment, Policy, Sharing},
    run::{Case, Row},
    trace::Kind,
};

/// Rows of a trace.
#[derive(Debug)]
pub struct Section {
    /// The trace.
    pub case: Case,
    /// The policies with their figures.
    pub rows: Vec<(Policy, Row)>,
}

/// Runs the policies on the traces of both deployments, each trace on its own thread.
pub fn measure(kinds: &[Kind], seed: u64) -> Vec<Section> {
    let deployments = [BENCHLINE, COINREAD];
    let cases = deployments
        .iter()
        .flat_map(|d| kinds.iter().map(|k| (*d, *k)));
    thread::scope(|scope| {
        let started = cases.map(|(d, k)| scope.spawn(move || section(d, k, seed)));
        let started: Vec<_> = started.collect();
        started.into_iter().filter_map(|t| t.join().ok()).collect()
    })
}

fn section(deployment: Deployment, kind: Kind, seed: u64) -> Section {
    let case = Case::new(deployment, kind, seed);
    let policies = Policy::all(deployment.weight);
    let rows = policies.into_iter().map(|p| (p, case.run(p))).collect();
    Section { case, rows }
}

/// Prints the table in Markdown.
pub fn print(sections: &[Section]) {
    println!(
        "| deployment | trace | policy | idle filled | deadlines | TTFT p50 / p95 / p99 / p99.9 ms \
         | ratio p50 / p95 / p99 / p99.9 | between tokens p95 ms | work thrown away | yields \
         | slowest yield ms | refused | broken | bounds |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|");
    for section in sections {
        print_reference(&section.case);
        for (policy, row) in &section.rows {
            print_row(&section.case, *policy, row);
        }
    }
}

fn print_reference(case: &Case) {
    println!(
        "| {} | {} | no batch | - | - | {} | 1 / 1 / 1 / 1 | - | - | - | - | - | - | - |",
        case.deployment.name,
        case.kind,
        case.reference.map(millis).join(" / ")
    );
}

fn print_row(case: &Case, policy: Policy, row: &Row) {
    println!(
        "| {} | {} | {policy} | {:.1}% | {}/{} | {} | {} | {} | {:.2}% | {} | {} | {} of {} | {} | {} |",
        case.deployment.name,
        case.kind,
        row.filled * 100.0,
        row.met,
        row.due,
        row.first.map(millis).join(" / "),
        row.ratio.map(|r| format!("{r:.2}")).join(" / "),
        millis(row.between),
        row.lost * 100.0,
        row.yields,
        millis(row.yielding),
        row.refused,
        row.requests,
        row.broken,
        verdict(case, policy, row)
    );
}

/// Returns which bounds the policy of the deployment misses; other policies are not checked.
fn verdict(case: &Case, policy: Policy, row: &Row) -> String {
    let system = Sharing::Admission(case.deployment.weight);
    if policy.sharing != system || policy.routing != Policy::REFERENCE.routing {
        return "-".into();
    }
    let checks = [
        ("p99", row.ratio[2] <= case.deployment.bound),
        ("filled", row.filled >= 0.9),
        ("deadlines", row.met == row.due),
        ("yield", row.yielding <= 50_000),
    ];
    let missed: Vec<&str> = checks.iter().filter(|c| !c.1).map(|c| c.0).collect();
    if missed.is_empty() {
        "reached".into()
    } else {
        format!("missed: {}", missed.join(", "))
    }
}

fn millis(time: u64) -> String {
    format!("{:.1}", time as f64 / 1e3)
}

/// Draws the plot of the sections as SVG.
pub fn draw(sections: &[Section]) -> String {
    let points: Vec<Point> = sections
        .iter()
        .flat_map(|s| {
            s.rows.iter().map(|(policy, row)| Point {
                deployment: s.case.deployment.name,
                policy: policy.to_string(),
                filled: row.filled,
                ratio: row.ratio[2],
            })
        })
        .collect();
    plot(&points)
}
