//! Locks that ignore poisoning: the state behind them is consistent between calls, also after a
//! panic of a holder.
//!
//! Builds with debug assertions record the order in which threads take locks, and panic where it has a
//! cycle, also if no thread waits. Other builds use the locks of the standard library.

use std::sync::PoisonError;

pub use tracing_mutex::stdsync::{Mutex, MutexGuard, RwLock};

/// Locks a mutex, also a poisoned one.
///
/// # Panics
///
/// Panics in builds with debug assertions if the order of this lock and of those that the thread holds
/// contradicts an earlier one.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
