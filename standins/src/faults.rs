//! Faults that all stand-ins have in common: delay, outage, and cuts between named parties.

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

/// Bound of a fault in calls and time; without either it lasts until the next change of faults.
#[derive(Debug, Clone, Copy, Default)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct Bound {
    /// Calls that the fault touches at most.
    pub count: Option<u32>,
    /// Time that the fault lasts at most, in milliseconds.
    pub for_ms: Option<u64>,
}

impl Bound {
    /// Takes one call out of the bound; false when none is left.
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
    /// Names that the callers give in the header `Gentianpath-Party`.
    pub parties: Vec<String>,
    /// How their calls fail.
    pub failure: Failure,
}

/// Faults that touch a call before the stand-in acts on it.
#[derive(Debug, Clone, Default)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct GateFaults {
    /// Time before each call is looked at, in milliseconds.
    pub delay_ms: u64,
    /// How all calls fail, when they do.
    pub outage: Option<Failure>,
    /// Callers that are cut off.
    pub cut: Option<Cut>,
    /// Paths that the faults touch, by their start; all when empty.
    pub prefix: String,
    /// Calls that the faults touch at most.
    pub count: Option<u32>,
    /// Time that the faults last at most, in milliseconds.
    pub for_ms: Option<u64>,
}

/// Calls that a fault touches, by the start of their path.
#[derive(Debug, Clone, Default)]
#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PathFault {
    /// Start of the path, or of `kind/name` for writes of objects; all calls when empty.
    pub prefix: String,
    /// Calls that are touched at most.
    pub count: Option<u32>,
    /// Time that the fault lasts at most, in milliseconds.
    pub for_ms: Option<u64>,
    /// Keep the connection open instead of closing it.
    pub silent: bool,
}

/// Takes one call out of a fault; returns whether its connection stays open.
pub fn take(fault: &mut Option<PathFault>, path: &str, since: Instant) -> Option<bool> {
    let fault = fault.as_mut().filter(|f| path.starts_with(&f.prefix))?;
    let mut bound = Bound {
        count: fault.count,
        for_ms: fault.for_ms,
    };
    let touched = bound.take(since);
    fault.count = bound.count;
    touched.then_some(fault.silent)
}

/// What happens to one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fate {
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

    /// Applies the faults to a call. Returns the call when the stand-in is to act on it.
    ///
    /// # Errors
    ///
    /// Returns the finished call when a fault ended it.
    pub async fn pass(&self, conn: Conn) -> Result<Conn, Conn> {
        match self.fate(&conn) {
            Fate::Pass(delay) => {
                Timer::after(delay).await;
                Ok(conn)
            }
            Fate::Fail(failure) => Err(fail(conn, failure).await),
        }
    }

    fn fate(&self, conn: &Conn) -> Fate {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let since = state.since;
        let faults = &mut state.faults;
        let party = reply::party(conn).unwrap_or_default();
        let cut = faults.cut.as_ref();
        let cut = cut.filter(|c| c.parties.iter().any(|p| p == party));
        let failure = cut.map(|c| c.failure).or(faults.outage);
        if failure.is_none() && faults.delay_ms == 0 || !conn.path().starts_with(&faults.prefix) {
            return Fate::Pass(Duration::ZERO);
        }
        let mut bound = Bound {
            count: faults.count,
            for_ms: faults.for_ms,
        };
        let touched = bound.take(since);
        faults.count = bound.count;
        match failure {
            _ if !touched => Fate::Pass(Duration::ZERO),
            Some(failure) => Fate::Fail(failure),
            None => Fate::Pass(Duration::from_millis(faults.delay_ms)),
        }
    }
}

/// Ends a call as a fault demands.
pub async fn fail(conn: Conn, failure: Failure) -> Conn {
    match failure {
        Failure::Refuse => reply::error(conn, 503, "out of service by a fault"),
        Failure::Silent => reply::silent(conn).await,
        Failure::Close => reply::lost(conn),
    }
}
