//! Processor time of a sheet change by the length of the sheet.

use std::{hint::black_box, time::Instant};

use gentianpath::{
    sheet::{RawSheet, RawTeam},
    sheet_log::{Entry, Parts, SheetLog, difference, split},
};

/// Numbers of teams whose costs are compared.
const TEAM_STEPS: [usize; 4] = [100, 1_000, 3_000, 8_900];
/// Number of changes that are averaged.
const CHANGES: u64 = 50;

/// Measures and prints the cost of a change of one team.
///
/// # Errors
///
/// Returns an error when a sheet cannot be split into parts.
pub fn run() -> anyhow::Result<()> {
    println!("| teams | sheet bytes | change bytes | ms to apply, check and publish a change |");
    println!("|---|---|---|---|");
    for teams in TEAM_STEPS {
        row(teams)?;
    }
    Ok(())
}

fn row(teams: usize) -> anyhow::Result<()> {
    let mut raw = sheet(teams);
    let first = split(&raw)?;
    let mut log = SheetLog::default();
    log.offer(1, entry(0, &Parts::new(), &first));
    log.check_head();
    let mut parts = first;
    let mut bytes = 0;
    let mut seconds = 0.0;
    for change in 0..CHANGES {
        raw.teams[change as usize % teams].online_limit += 1;
        let next = split(&raw)?;
        let entry = entry(change + 1, &parts, &next);
        bytes = serde_json::to_vec(&entry)?.len();
        let start = Instant::now();
        log.offer(change + 2, entry);
        log.check_head();
        black_box(log.clone());
        seconds += start.elapsed().as_secs_f64();
        parts = next;
    }
    let length = serde_json::to_vec(&raw)?.len();
    let mean_ms = seconds * 1e3 / CHANGES as f64;
    println!("| {teams} | {length} | {bytes} | {mean_ms:.2} |");
    Ok(())
}

fn entry(base: u64, old: &Parts, new: &Parts) -> Entry {
    Entry {
        token: "bench-token-of-a-writer".into(),
        base,
        changes: difference(old, new),
    }
}

fn sheet(teams: usize) -> RawSheet {
    let team = |i| RawTeam {
        name: format!("team-{i}"),
        online_limit: 8,
    };
    RawSheet {
        deployment: "bench".into(),
        throughput_weight: 0.5,
        teams: (0..teams).map(team).collect(),
        ..RawSheet::default()
    }
}
