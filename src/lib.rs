//! Serves online and batch inference on one fleet of model engines and plain services.
//!
//! docs/design.md describes the modules, the state and its owners, and the messages.

pub mod admin;
pub mod admit;
pub mod backoff;
pub mod callers;
pub mod cli;
pub mod context;
pub mod control;
pub mod control_state;
pub mod dial;
pub mod drain;
pub mod engine;
pub mod events;
pub mod exchange;
pub mod exit;
pub mod fleet;
pub mod ids;
pub mod levels;
pub mod members;
pub mod metrics;
pub mod orders;
pub mod ownership;
pub mod peer;
pub mod peer_client;
pub mod peer_server;
pub mod peer_stream;
pub mod placement;
pub mod platform;
pub mod push;
pub mod route;
pub mod schedule;
pub mod settings;
pub mod sheet;
pub mod sheet_log;
pub mod sheet_push;
pub mod spread;
pub mod status;
pub mod store;
pub mod stream;
pub mod verdict;
pub mod view;
pub mod watch;
pub mod weights;
pub mod workers;

/// Generated from schema/peer.capnp.
#[allow(missing_docs, clippy::all, unsafe_code, unused_qualifications)]
pub mod peer_capnp;
