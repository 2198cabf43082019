//! Limit on the total size of request bodies that are being read.

use std::sync::atomic::{AtomicUsize, Ordering};

/// A limit on bytes that is shared by all callers.
#[derive(Debug)]
pub struct ByteBudget {
    limit: usize,
    used: AtomicUsize,
}

/// Bytes reserved from a budget. Dropping it releases them.
#[derive(Debug)]
pub struct ByteReservation<'a> {
    budget: &'a ByteBudget,
    bytes: usize,
}

impl ByteBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            used: AtomicUsize::new(0),
        }
    }

    /// Starts a reservation without bytes.
    pub fn begin(&self) -> ByteReservation<'_> {
        ByteReservation {
            budget: self,
            bytes: 0,
        }
    }
}

impl ByteReservation<'_> {
    /// Reserves more bytes and returns whether they are within the budget. The bytes count even if
    /// they are not.
    pub fn reserve(&mut self, bytes: usize) -> bool {
        let used = self.budget.used.fetch_add(bytes, Ordering::Relaxed) + bytes;
        self.bytes += bytes;
        used <= self.budget.limit
    }
}

impl Drop for ByteReservation<'_> {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
