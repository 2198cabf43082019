//! Logs the steps of the control thread that take long.

use std::time::{Duration, Instant};

use crate::event;

/// Time from which on a step is logged: a late control thread delays heartbeats and configuration.
const SLOW_STEP: Duration = Duration::from_millis(100);

/// Runs a step that does not wait, and logs it when it took long.
pub fn timed<T>(step: &str, run: impl FnOnce() -> T) -> T {
    let began = Instant::now();
    let result = run();
    let took = began.elapsed();
    if took >= SLOW_STEP {
        let took = took.as_millis();
        event!(Warn, StepSlow, "thread=control step={step} took_ms={took}");
    }
    result
}
