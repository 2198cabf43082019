//! Benchmarks of gentianpath. The load model runs the real router, admission and schedule in
//! virtual time against a simple engine model per worker, without network and processes. Other
//! measurements run processes on loopback.

pub mod batch;
pub mod capacity;
pub mod decisions;
pub mod engine;
pub mod entry;
pub mod faults;
pub mod fleet;
mod job_cost;
pub mod jobs;
pub mod list_cost;
pub mod online;
pub mod outage;
pub mod overhead;
pub mod plot;
pub mod policy;
mod process_batch;
mod process_ledger;
mod process_online;
pub mod process_policy;
pub mod process_trace;
pub mod process_yields;
mod processes;
pub mod run;
pub mod sheet_cost;
pub mod table;
pub mod trace;

/// Virtual time since the start of a run, in microseconds.
pub type Micros = u64;

/// Microseconds per second.
pub const SECOND: Micros = 1_000_000;
/// Microseconds per millisecond.
pub const MILLI: Micros = 1_000;
