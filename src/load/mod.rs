//! Decisions under load: which requests wait, are refused and are placed (no I/O).
//!
//! docs/design/load.md describes the decisions and the load that each of them answers.

pub mod order;
pub mod trouble;
pub mod yields;
