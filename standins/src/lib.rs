//! Stand-ins
