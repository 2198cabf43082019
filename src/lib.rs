//! Serves online and batch inference on one fleet of model engines and plain services.
//!
//! docs/design.md describes the modules, the state and its owners, and the messages.

pub mod admit;
pub mod backoff;
pub mod batch;
pub mod batch_calls;
pub mod batch_claims;
pub mod batch_http;
pub mod batch_items;
pub mod batch_state;
pub mod claim;
pub mod cli;
pub mod context;
pub mod dial;
pub mod drain;
pub mod engine;
pub mod events;
pub mod exit;
pub mod group;
pub mod held;
pub mod ids;
pub mod item_run;
pub mod job_record;
pub mod jobs;
pub mod lease;
pub mod ownership;
pub mod platform;
pub mod progress;
pub mod rate;
pub mod results;
pub mod route;
pub mod schedule;
pub mod settings;
pub mod settle;
pub mod sheet;
pub mod stream;
pub mod submit;
pub mod submit_run;
pub mod verdict;
pub mod view;
pub mod workers;

/// Generated from schema/peer.capnp.
#[allow(missing_docs, clippy::all, unsafe_code, unused_qualifications)]
pub mod peer_capnp;
