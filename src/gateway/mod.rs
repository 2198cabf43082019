//! Serves routed calls and batch jobs on a platform with its own registry of routes and workers.
//!
//! docs/platform.md describes the modules. `begun`, `blame`, `block_record`, `change_log`, `config`,
//! `crash_report`, `dispatch`, `fleet`, `head`, `job`, `leaving`, `marks`, `orphans`, `pace`, `peers`,
//! `splice`, `sse`, `suspects`, `versions`, `view`, `worker_limits` and `write_gate` hold the logic; the
//! other modules do the I/O.

pub mod answer;
pub mod answer_end;
mod attempt;
pub mod begun;
pub mod blame;
pub mod block_record;
pub mod block_store;
pub mod change_log;
pub mod config;
pub mod connection;
pub mod crash_report;
pub mod dispatch;
pub mod ended_starts;
pub mod ends;
pub mod fair_stream;
pub mod fleet;
pub mod forward;
#[allow(clippy::module_inception)]
pub mod gateway;
pub mod gossip;
pub mod head;
pub mod identity;
pub mod item_run;
pub mod job;
pub mod job_api;
pub mod job_run;
pub mod job_store;
pub mod jobs;
pub mod leaving;
pub mod links;
pub mod liveness;
pub mod marks;
pub mod memory;
pub mod orphans;
pub mod pace;
pub mod peer_call;
pub mod peers;
pub mod refresh;
pub mod relay;
pub mod relayed;
pub mod run_reads;
pub mod serve;
pub mod server;
pub mod settings;
pub mod share_lag;
pub mod shared_clock;
pub mod slow_step;
pub mod socket_state;
pub mod splice;
pub mod sse;
pub mod suspects;
pub mod sweep;
pub mod sync;
pub mod takeover;
pub mod team_gate;
pub mod team_records;
pub mod upstream;
pub mod version_store;
pub mod versions;
pub mod view;
pub mod worker_limits;
pub mod write_gate;
