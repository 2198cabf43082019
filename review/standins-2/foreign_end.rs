//! A caller without a key ends the batch job of a team.

use std::{
    path::Path,
    thread,
    time::{Duration, Instant},
};

use crate::{
    base64,
    fleet::{Bounds, Instance, Record, until},
    http::{self, Answer},
    json::Json,
    store::Store,
    worker::{Ledger, Output, Worker},
};

const BOUNDS: Bounds = Bounds {
    grace_s: 8.0,
    status_s: 120.0,
    memory_mb: 112,
};
const KEY: &str = "yx5x42q492cqf75rjvz4";
const OTHER_KEY: &str = "8wuakn2ftimaj3nr26tt";
const JOB: &str = "7c41e09b52d6a3f8";
const ITEMS: usize = 40;
/// `finish_s` of the site.
const FINISH: Duration = Duration::from_secs(18);
/// Time that the items take at four slots at a time, twice.
const WORK: Duration = Duration::from_secs(12);

fn config() -> String {
    let batch = "\"kind\":\"batch\",\"timeout_ms\":15000,\"goal_ms\":400,\"gap_target_ms\":250,\"max_attempts\":3,\
                 \"result_due_ms\":18000,\"item_ttl_s\":60,\"max_count\":0,\"priority\":2,\"sticky\":true,\
                 \"service\":\"lm\",\"host\":\"a.example\"";
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"r-teams\",\"path_prefix\":\"/teams/\",\"public\":false,{batch}}},\
         {{\"name\":\"r-open\",\"path_prefix\":\"/open/\",\"public\":true,{batch}}}],\
         \"services\":[{{\"name\":\"lm\",\"max_conns\":364,\"health_path\":\"/healthz\"}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"kaje80\",\"api_keys\":[\"{KEY}\"],\"priority\":1,\"rate_per_s\":215,\"burst\":215}},\
         {{\"name\":\"wupo17\",\"api_keys\":[\"{OTHER_KEY}\"],\"priority\":1,\"rate_per_s\":215,\"burst\":215}}]}}"
    )
}

pub fn run(trouble: bool, folder: &Path, scratch: &Path) -> i32 {
    let record = Record::create(folder);
    let store = Store::default();
    let ledger = Ledger::default();
    let output = Output {
        events: 20,
        pause: Duration::from_millis(20),
        bytes: 20,
        ..Output::default()
    };
    let worker = Worker::start("w-1", 4, output, &ledger);
    store.put("config", "main", &config());
    store.put("servers", &worker.id, &worker.entry("z1"));
    let mut instances = [("e1", "z1"), ("e2", "z2")].map(|(n, z)| Instance::plan(n, z, scratch));
    let seeds: Vec<_> = instances.iter().map(|i| i.peers).collect();
    let address = store.listen("all");
    for instance in &mut instances {
        instance.configure(address, &seeds, BOUNDS);
        instance.start();
    }
    if !until(Duration::from_secs(15), || {
        instances.iter().all(Instance::is_ready)
    }) {
        record.line("the instances did not become ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(3));
    let call = |node: usize, method: &str, path: &str, key: Option<&str>, body: &[u8]| {
        let mut headers = vec![("host", "a.example")];
        if method == "POST" {
            headers.extend([("x-request-id", JOB), ("content-type", "application/json")]);
        }
        headers.extend(key.map(|k| ("api-key", k)));
        let limit = Duration::from_secs(5);
        let answer = http::call(instances[node].callers, method, path, &headers, body, limit);
        let seen = answer
            .as_ref()
            .map_or_else(|e| e.to_string(), |a| a.status.to_string());
        let who = match key {
            Some(KEY) => "the team of the job",
            Some(_) => "another team",
            None => "a caller without a key",
        };
        record.line(&format!(
            "{method} {path} of {who} at {}: {seen}",
            instances[node].name
        ));
        answer.unwrap_or_else(|_| Answer::default())
    };
    let items: Vec<String> = (0..ITEMS)
        .map(|n| {
            format!(
                "{{\"id\":\"{JOB}.{n}\",\"path\":\"/teams/3/{n}\",\"headers\":{{\"X-Model\":\"m\",\
                 \"X-Token-Count\":\"100,40\",\"X-Prompt-Prefix\":\"{n:x}1:60,{n:x}2:40\"}},\
                 \"body\":\"{}\",\"tokens\":140}}",
                base64(b"body")
            )
        })
        .collect();
    let body = format!("{{\"items\":[{}]}}", items.join(","));
    let lot = format!("/lots/{JOB}");
    let results = format!("/lots/{JOB}?after=0");
    if call(
        0,
        "POST",
        &format!("/teams/{JOB}"),
        Some(KEY),
        body.as_bytes(),
    )
    .status
        != 202
    {
        return 2;
    }
    thread::sleep(Duration::from_secs(1));
    // Neither may read the job.
    call(1, "GET", &results, Some(OTHER_KEY), b"");
    call(1, "GET", &results, None, b"");
    if trouble {
        call(1, "DELETE", &lot, Some(OTHER_KEY), b"");
        call(1, "DELETE", &lot, None, b"");
    }
    let began = Instant::now();
    let mut listed = 0;
    while began.elapsed() < WORK + FINISH && listed < ITEMS {
        thread::sleep(Duration::from_secs(2));
        let answer = call(0, "GET", &results, Some(KEY), b"");
        let page = Json::parse(&answer.text()).unwrap_or_default();
        listed = page.get("results").list().len();
    }
    let runs = ledger.lock().unwrap().len();
    record.line(&format!(
        "{listed} of {ITEMS} items are listed; {runs} runs began"
    ));
    println!("{listed} of {ITEMS} items of the job are listed at the end");
    i32::from(listed < ITEMS)
}
