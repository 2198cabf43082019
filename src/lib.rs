//! Serves online and batch inference on one fleet of model engines and plain services.
//!
//! docs/design.md describes the modules, the state and its owners, and the messages.

pub mod admit;
pub mod affinity;
pub mod cli;
pub mod context;
pub mod dial;
pub mod drain;
pub mod engine;
pub mod events;
pub mod exit;
pub mod ids;
pub mod platform;
pub mod route;
pub mod schedule;
pub mod settings;
pub mod sheet;
pub mod stream;
pub mod verdict;
pub mod view;
pub mod workers;

/// Generated from schema/peer.capnp.
#[allow(missing_docs, clippy::all, unsafe_code, unused_qualifications)]
pub mod peer_capnp;
