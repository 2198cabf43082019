//! Bytes of request bodies that an instance holds while it reads them.

use std::sync::atomic::{AtomicUsize, Ordering};

/// A number of bytes that all callers share.
#[derive(Debug)]
pub struct Budget {
    limit: usize,
    used: AtomicUsize,
}

/// Bytes taken out of a budget; dropping it gives them back.
#[derive(Debug)]
pub struct Taken<'a> {
    budget: &'a Budget,
    bytes: usize,
}

impl Budget {
    /// Builds a budget of a number of bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            used: AtomicUsize::new(0),
        }
    }

    /// Starts to take bytes out of the budget.
    pub fn begin(&self) -> Taken<'_> {
        Taken {
            budget: self,
            bytes: 0,
        }
    }
}

impl Taken<'_> {
    /// Takes more bytes and says whether the budget has them.
    pub fn take(&mut self, bytes: usize) -> bool {
        let used = self.budget.used.fetch_add(bytes, Ordering::Relaxed) + bytes;
        self.bytes += bytes;
        used <= self.budget.limit
    }
}

impl Drop for Taken<'_> {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
