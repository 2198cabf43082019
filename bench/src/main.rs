//! Command line of the benchmarks.

use std::{fs, path::PathBuf};

use anyhow::Context;
use bench::{
    capacity, decisions, list_cost, outage, overhead, process_policy, process_yields, sheet_cost,
    table, trace::Kind,
};
use clap::{Parser, Subcommand};

/// Measures the decisions of gentianpath.
#[derive(Debug, Clone)]
#[derive(Parser)]
struct Options {
    /// What to measure.
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Clone)]
#[derive(Subcommand)]
enum Command {
    /// Compare policies on seeded traces; a seed always gives the same figures.
    Policy {
        /// Seed of the traces and decisions.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Only this trace; all if omitted.
        #[arg(long)]
        trace: Option<Kind>,
        /// File for the plot (SVG).
        #[arg(long, value_name = "FILE")]
        plot: Option<PathBuf>,
    },
    /// Measure the overhead of an entry instance per request, over processes.
    Overhead,
    /// Measure the slopes of docs/CAPACITY.md, over processes.
    Capacity,
    /// Measure one zone of the target size only, over processes.
    Zone,
    /// Measure the spread of a sheet change only, over processes.
    Spread,
    /// Measure batch items and losses of instances only, over processes.
    Items,
    /// Measure the cost of the instance list against its length, over processes.
    List,
    /// Compare policies on a short seeded trace, over processes.
    Processes {
        /// Seed of the trace.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Only the policy of the system, on a trace long enough for the bound of its p99.
        #[arg(long)]
        bounds: bool,
    },
    /// Measure the delay until batch streams stop after a burst through another instance of the
    /// zone, over processes.
    Yields,
    /// Measure the load on the platform after an outage, over processes.
    Outage,
    /// Measure the cost of a sheet change against the length of the sheet.
    Sheet,
    /// Measure the cost of decisions at 10 to 12,000 workers.
    Decisions {
        /// Seed of the load.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
}

fn main() -> anyhow::Result<()> {
    match Options::parse().command {
        Command::Policy { seed, trace, plot } => {
            let kinds = trace.map_or(Kind::ALL.to_vec(), |k| vec![k]);
            let sections = table::measure(&kinds, seed);
            table::print(&sections);
            if let Some(file) = plot {
                fs::write(&file, table::draw(&sections))
                    .with_context(|| format!("cannot write plot {}", file.display()))?;
            }
        }
        Command::Overhead => overhead::run()?,
        Command::Capacity => capacity::run()?,
        Command::Zone => capacity::run_zone()?,
        Command::Spread => capacity::run_spread()?,
        Command::Items => capacity::run_items()?,
        Command::List => list_cost::run()?,
        Command::Processes { seed, bounds } => process_policy::run(seed, bounds)?,
        Command::Yields => process_yields::run()?,
        Command::Outage => outage::run()?,
        Command::Sheet => sheet_cost::run()?,
        Command::Decisions { seed } => decisions::print(seed),
    }
    Ok(())
}
