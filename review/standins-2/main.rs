//! Runs the cases of the second review: `review-2 CASE FOLDER WORK`. Ends with 1 if the rule was broken, 0 if it
//! held, and 2 if the case could not run. `TROUBLE=0` leaves out the disruption.

mod cancel_cut;
mod fleet;
mod foreign_end;
mod http;
mod job_memory;
mod json;
mod narrow;
mod nat;
mod short_streams;
mod slow_readers;
mod store;
mod worker;

use std::{env, path::Path, process::exit};

/// Returns a configuration with a stream that may be resumed, one that may not, and batch jobs.
pub fn config(quota: u64) -> String {
    let route = |name: &str, prefix: &str, rest: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"a.example\",\"path_prefix\":\"{prefix}\",\"priority\":0,\
             \"split\":[{{\"service\":\"lm\",\"weight\":100}}],\"sticky\":true,{rest}}}"
        )
    };
    let resumable = "\"kind\":\"stream\",\"resumable\":true,\"timeout_ms\":5000,\"goal_ms\":300,\
                     \"gap_target_ms\":250,\"max_attempts\":2";
    let once = "\"kind\":\"stream\",\"resumable\":false,\"timeout_ms\":5000,\"goal_ms\":300,\
                \"gap_target_ms\":250,\"max_attempts\":1";
    let batch = format!(
        "\"kind\":\"batch\",\"timeout_ms\":15000,\"goal_ms\":400,\"gap_target_ms\":250,\"max_attempts\":3,\
         \"result_due_ms\":18000,\"item_ttl_s\":60,\"max_count\":{quota}"
    );
    format!(
        "{{\"version\":1,\"routes\":[{},{},{}],\"services\":[{{\"name\":\"lm\",\"max_conns\":364,\
         \"health_path\":\"/healthz\"}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":5000,\"idle_timeout_ms\":10000}}}}",
        route("r-stream", "/stream/", resumable),
        route("r-once", "/once/", once),
        route("r-batch", "/batch/", &batch)
    )
}

pub fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let number =
            part.iter().fold(0u32, |n, b| n << 8 | u32::from(*b)) << (8 * (3 - part.len()));
        for i in 0..4 {
            if i <= part.len() {
                out.push(LETTERS[(number >> (18 - 6 * i)) as usize & 63] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

fn main() {
    let words: Vec<String> = env::args().skip(1).collect();
    let [case, folder, scratch] = &*words else {
        exit(2);
    };
    let trouble = env::var("TROUBLE").map_or(true, |t| t != "0");
    let (folder, scratch) = (Path::new(folder), Path::new(scratch));
    let code = match case.as_str() {
        "cancel-cut" => cancel_cut::run(trouble, folder, scratch),
        "slow-readers" => slow_readers::run(trouble, folder, scratch),
        "foreign-end" => foreign_end::run(trouble, folder, scratch),
        "short-streams" => short_streams::run(trouble, folder, scratch),
        "job-memory" => job_memory::run(trouble, folder, scratch),
        _ => 2,
    };
    exit(code);
}
