//! Time of day.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Returns the time since 1970-01-01 UTC, or zero if the clock is set to an earlier time.
pub fn unix_time() -> Duration {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default()
}

/// Returns the time since 1970-01-01 UTC in milliseconds.
pub fn unix_millis() -> u64 {
    unix_time().as_millis() as u64
}
