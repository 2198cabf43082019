//! Teams of callers: keys, quotas over all instances, and how long a configuration may be trusted (no I/O).
//!
//! docs/design/teams.md describes who decides and what happens when a part fails.

pub mod account;
pub mod directory;
pub mod lease;
pub mod ledger;
pub mod window;
