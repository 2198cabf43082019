//! Locks that ignore poisoning: the state behind them is consistent between calls, also after a
//! panic of a holder.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, also a poisoned one.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
