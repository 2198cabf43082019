//! Rate limits that workers announce (no I/O).

/// Limit that an answer of a worker announces.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Announced {
    /// The worker takes any number of requests.
    Unlimited,
    /// The worker takes so many requests a second from all instances together.
    Rate(f64),
    /// The answer tells nothing.
    Unknown,
}

/// Returns whether a number is a rate.
pub fn is_rate(rate: f64) -> bool {
    rate.is_finite() && rate >= 0.0
}
