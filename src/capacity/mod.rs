//! Learned capacity of workers: how fast each one answers at which load (no I/O).
//!
//! docs/design/capacity.md describes what is measured, what instances tell each other, and what was weighed.

pub mod gaps;
pub mod learned;
