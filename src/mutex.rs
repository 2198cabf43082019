//! Locks whose state is whole between calls, also after a panic of a holder.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
