//! Stand-ins for the systems outside gentianpath: model engine, platform and weight store.
//!
//! They implement the protocols of docs/design.md, section 7, and inject faults set by `POST /faults`.

pub mod engine;
pub mod engine_http;
pub mod faults;
pub mod gateway_worker;
pub mod generate;
pub mod host;
pub mod instances;
pub mod kv;
pub mod ledger;
pub mod orders;
pub mod platform;
pub mod prefix;
pub mod queue;
pub mod register;
pub mod reply;
pub mod store;
pub mod stream_faults;
pub mod target;
pub mod text;
pub mod weights;
