//! Phases of a planned stop.

use std::{
    sync::{
        OnceLock,
        atomic::{AtomicBool, AtomicU8, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use smol::channel::{Receiver, Sender, bounded};

/// Phase of an entry instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The instance takes requests.
    Running,
    /// The instance is not ready any more, but still takes requests until the load balancer has
    /// noticed.
    Leaving,
    /// The instance refuses new requests and finishes those in flight.
    Draining,
}

/// End of a planned stop, shared by all threads.
#[derive(Debug)]
pub struct StopEnd {
    due: OnceLock<Instant>,
    open: Sender<()>,
    ended: Receiver<()>,
}

impl Default for StopEnd {
    fn default() -> Self {
        let (open, ended) = bounded(1);
        let due = OnceLock::new();
        Self { due, open, ended }
    }
}

impl StopEnd {
    /// Sets the time at which the stop ends; a later call changes nothing.
    pub fn set_due(&self, due: Instant) {
        let _ = self.due.set(due);
    }

    /// Ends the stop.
    pub fn end(&self) {
        self.open.close();
    }

    /// Waits for the end of the stop.
    pub async fn wait(&self) {
        let _ = self.ended.recv().await;
    }

    /// Returns whether a request that no worker has yet may be sent to one, given the time that it may
    /// take.
    pub fn may_begin(&self, phase: Phase, remaining: Duration, now: Instant) -> bool {
        let ends_before = |due: &Instant| due.saturating_duration_since(now) < remaining;
        phase < Phase::Draining || !self.due.get().is_some_and(ends_before)
    }
}

/// Phase and number of caller requests in flight, shared by all threads.
#[derive(Debug, Default)]
pub struct Drain {
    phase: AtomicU8,
    active: AtomicUsize,
    released: AtomicBool,
}

/// Counts a caller request until it is dropped.
#[derive(Debug)]
pub struct ActiveGuard<'a>(&'a Drain);

/// Counts a caller request until it is dropped, for state that cannot borrow.
#[derive(Debug)]
pub struct OwnedGuard<T: AsRef<Drain>>(T);

impl<T: AsRef<Drain>> OwnedGuard<T> {
    /// Counts a caller request in the `Drain` of `owner`.
    pub fn begin(owner: T) -> Self {
        owner.as_ref().active.fetch_add(1, Ordering::AcqRel);
        Self(owner)
    }
}

impl Drain {
    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        match self.phase.load(Ordering::Acquire) {
            0 => Phase::Running,
            1 => Phase::Leaving,
            _ => Phase::Draining,
        }
    }

    /// Moves to a later phase; an earlier one is ignored.
    pub fn advance(&self, phase: Phase) {
        self.phase.fetch_max(phase as u8, Ordering::AcqRel);
    }

    /// Counts a caller request.
    pub fn begin(&self) -> ActiveGuard<'_> {
        self.active.fetch_add(1, Ordering::AcqRel);
        ActiveGuard(self)
    }

    /// Records that the batch driver has released its claims and stopped.
    pub fn set_batch_released(&self) {
        self.released.store(true, Ordering::Release);
    }

    /// Returns whether the batch driver has released its claims and stopped.
    pub fn batch_released(&self) -> bool {
        self.released.load(Ordering::Acquire)
    }

    /// Returns the number of caller requests in flight.
    pub fn active(&self) -> usize {
        self.active.load(Ordering::Acquire)
    }
}

impl Drop for ActiveGuard<'_> {
    fn drop(&mut self) {
        self.0.active.fetch_sub(1, Ordering::AcqRel);
    }
}

impl<T: AsRef<Drain>> Drop for OwnedGuard<T> {
    fn drop(&mut self) {
        self.0.as_ref().active.fetch_sub(1, Ordering::AcqRel);
    }
}
