//! Faults common to all stand-ins: delay, outage, and cuts between named parties.

use std::{
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

use async_io::Timer;
use serde::{Deserialize, Serialize};
use trillium::Conn;

use crate::reply;

/// How a call fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Failure {
    /// The call is answered with 503.
    #[default]
    Refuse,
    /// The connection stays open without an answer.
    Silent,
    /// The connection closes without an answer.
    Close,
}

/// Bound of a fault in calls and time. Without one it lasts until the next change of faults.
#[derive(Debug, Clone, Copy, Default)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct Bound {
    /// Maximum number of affected calls.
    pub count: Option<u32>,
    /// Maximum duration of the fault, in milliseconds.
    pub for_ms: Option<u64>,
}

impl Bound {
    /// Counts a call and returns whether it is within the bound.
    pub fn take(&mut self, since: Instant) -> bool {
        if self
            .for_ms
            .is_some_and(|ms| since.elapsed() >= Duration::from_millis(ms))
        {
            return false;
        }
        match &mut self.count {
            Some(0) => false,
            Some(left) => {
                *left -= 1;
                true
            }
            None => true,
        }
    }
}

/// Callers that cannot reach the stand-in.
#[derive(Debug, Clone, Default)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Cut {
    /// Names of the callers, as sent in the header `Gentianpath-Party`.
    pub parties: Vec<String>,
    /// How their calls fail.
    pub failure: Failure,
}

/// Faults that are applied to a call before the stand-in handles it.
#[derive(Debug, Clone, Default)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct GateFaults {
    /// Delay before each call is handled, in milliseconds.
    pub delay_ms: u64,
    /// How all calls fail during an outage.
    pub outage: Option<Failure>,
    /// Callers that are cut off.
    pub cut: Option<Cut>,
    /// Prefix of the affected paths; all paths if empty.
    pub prefix: String,
    /// Maximum number of affected calls.
    pub count: Option<u32>,
    /// Maximum duration of the faults, in milliseconds.
    pub for_ms: Option<u64>,
}

/// Calls that are affected by a fault, selected by path prefix.
#[derive(Debug, Clone, Default)]
#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PathFault {
    /// Prefix of the path, or of `kind/name` for writes of objects; all calls if empty.
    pub prefix: String,
    /// Maximum number of affected calls.
    pub count: Option<u32>,
    /// Maximum duration of the fault, in milliseconds.
    pub for_ms: Option<u64>,
    /// Keep the connection open instead of closing it.
    pub silent: bool,
}

/// Counts a call and returns, if the fault affects it, whether its connection stays open.
pub fn take(fault: &mut Option<PathFault>, path: &str, since: Instant) -> Option<bool> {
    let fault = fault.as_mut().filter(|f| path.starts_with(&f.prefix))?;
    let mut bound = Bound {
        count: fault.count,
        for_ms: fault.for_ms,
    };
    let affected = bound.take(since);
    fault.count = bound.count;
    affected.then_some(fault.silent)
}

/// How the faults affect a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Decision {
    Pass(Duration),
    Fail(Failure),
}

/// Applies the common faults to calls.
#[derive(Debug)]
pub struct Gate(Mutex<GateState>);

#[derive(Debug)]
struct GateState {
    faults: GateFaults,
    since: Instant,
}

impl Default for Gate {
    fn default() -> Self {
        Self(Mutex::new(GateState {
            faults: GateFaults::default(),
            since: Instant::now(),
        }))
    }
}

impl Gate {
    /// Replaces the faults.
    pub fn set(&self, faults: GateFaults) {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        state.faults = faults;
        state.since = Instant::now();
    }

    /// Applies the faults to a call. Returns the call if the stand-in is to handle it.
    ///
    /// # Errors
    ///
    /// Returns the finished call when a fault ended it.
    pub async fn pass(&self, conn: Conn) -> Result<Conn, Conn> {
        match self.decide(&conn) {
            Decision::Pass(delay) => {
                Timer::after(delay).await;
                Ok(conn)
            }
            Decision::Fail(failure) => Err(fail(conn, failure).await),
        }
    }

    fn decide(&self, conn: &Conn) -> Decision {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let since = state.since;
        let faults = &mut state.faults;
        let party = reply::party(conn).unwrap_or_default();
        let cut = faults.cut.as_ref();
        let cut = cut.filter(|c| c.parties.iter().any(|p| p == party));
        let failure = cut.map(|c| c.failure).or(faults.outage);
        if failure.is_none() && faults.delay_ms == 0 || !conn.path().starts_with(&faults.prefix) {
            return Decision::Pass(Duration::ZERO);
        }
        let mut bound = Bound {
            count: faults.count,
            for_ms: faults.for_ms,
        };
        let affected = bound.take(since);
        faults.count = bound.count;
        match failure {
            _ if !affected => Decision::Pass(Duration::ZERO),
            Some(failure) => Decision::Fail(failure),
            None => Decision::Pass(Duration::from_millis(faults.delay_ms)),
        }
    }
}

/// Ends a call in the way that a fault defines.
pub async fn fail(conn: Conn, failure: Failure) -> Conn {
    match failure {
        Failure::Refuse => reply::error(conn, 503, "out of service by a fault"),
        Failure::Silent => reply::hang(conn).await,
        Failure::Close => reply::close(conn),
    }
}
