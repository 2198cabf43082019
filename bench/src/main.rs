//! Bench
fn main() {}
