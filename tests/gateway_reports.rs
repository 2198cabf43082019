//! Reports of workers after answers that ended with their connection.

mod gateway_support;
mod support;

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
};

use gateway_support::{Instance, Store, config};
use serde_json::json;
use support::until;

const HEAD: &str =
    "HTTP/1.1 200 OK\r\nx-response-seal: s\r\ncontent-type: text/event-stream\r\n\r\n";
const TEXT: &str = "id: 0\ndata: t0\n\nid: 1\ndata: t1\n\n";

/// Answers of a worker to the call for its report that don't show that the process still runs.
const NO_PROOF: [&str; 5] = [
    // The connection is closed.
    "",
    // A restarted process.
    "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n{\"born\":2}",
    // A process that may have been restarted.
    "HTTP/1.1 503 x\r\ncontent-length: 0\r\n\r\n",
    "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}",
    // Another worker at the address.
    "HTTP/1.1 421 x\r\ncontent-length: 10\r\n\r\n{\"born\":1}",
];
const PROOF: &str = "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n{\"born\":1}";

/// Starts a worker that closes its connection after each answer.
fn start_worker(report: Arc<Mutex<&'static str>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let report = *report.lock().unwrap();
            thread::spawn(move || answer(stream, report));
        }
    });
    address
}

fn answer(mut stream: TcpStream, report: &str) -> Option<()> {
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let (mut head, mut length) = (String::new(), 0);
    while !head.ends_with("\r\n\r\n") {
        let start = head.len();
        reader.read_line(&mut head).ok().filter(|n| *n > 0)?;
        let line = head[start..].to_ascii_lowercase();
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
    }
    reader.read_exact(&mut vec![0; length]).ok()?;
    let text = match head.starts_with("GET ") {
        true => report.to_owned(),
        false => format!("{HEAD}{TEXT}"),
    };
    stream.write_all(text.as_bytes()).ok()
}

/// Guards against an answer that counts as complete although its worker may have died or been restarted,
/// and against one of a sound worker that does not.
#[test]
fn only_a_report_of_the_same_process_confirms_an_end() {
    let report = Arc::new(Mutex::new(PROOF));
    let address = start_worker(report.clone());
    let store = Store::start();
    let entry = json!({
        "service": "lm", "addr": address, "zone": "a", "version": "v1", "slots": 2,
        "state": "ready", "cold_left_ms": 0, "seq": 1, "born": 1,
    });
    store.put("servers", "w", entry);
    store.put("config", "main", config(1));
    let instance = Instance::start("one", &store, &[]);
    let mut number = 0;
    let mut send = || {
        number += 1;
        instance.stream("/single/x", &format!("r{number}"))
    };
    let is_whole = |a: Option<support::http::Answer>| a.is_some_and(|a| a.text() == TEXT);
    until("the worker is known", || is_whole(send()));
    for wrong in NO_PROOF {
        *report.lock().unwrap() = wrong;
        let answer = send();
        assert!(!is_whole(answer), "{wrong:?}");
        *report.lock().unwrap() = PROOF;
        until("the worker is in use again", || is_whole(send()));
    }
}
