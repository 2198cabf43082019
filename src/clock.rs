//! Time of day.

use std::{
    sync::OnceLock,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use rustix::time::{ClockId, clock_gettime};

use crate::ids::SessionId;

/// Returns the time since 1970-01-01 UTC, or zero if the clock is set to an earlier time.
pub fn unix_time() -> Duration {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default()
}

/// Returns the time since 1970-01-01 UTC in milliseconds by a clock that was set once, at the first call
/// in this process. Steps of the time of day do not move it. It counts time for which the machine is
/// suspended.
pub fn steady_millis() -> u64 {
    static START: OnceLock<(Duration, Duration)> = OnceLock::new();
    let (started, booted) = START.get_or_init(|| (unix_time(), since_boot()));
    (*started + since_boot().saturating_sub(*booted)).as_millis() as u64
}

fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// Returns the time since 1970-01-01 UTC in milliseconds.
pub fn unix_millis() -> u64 {
    unix_time().as_millis() as u64
}

/// Number of low bits of a session id that are drawn at random.
const SESSION_RANDOM_BITS: u32 = 10;

/// Returns a session id for a start at a time in ms since 1970-01-01 UTC.
pub fn session_at(millis: u64) -> SessionId {
    (millis << SESSION_RANDOM_BITS) | fastrand::u64(..1 << SESSION_RANDOM_BITS)
}

/// Returns the time of the start that a session id tells, in ms since 1970-01-01 UTC.
pub fn session_millis(session: SessionId) -> u64 {
    session >> SESSION_RANDOM_BITS
}
