//! Answers and requests that end with the death of an instance or of a caller.

mod gateway_support;
mod support;

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpStream},
    time::Duration,
};

use gateway_support::{HOST, Instance, platform};
use support::until;

const PAUSE: Duration = Duration::from_millis(5);

fn open(address: SocketAddr, bytes: &[u8]) -> TcpStream {
    let mut conn = TcpStream::connect(address).unwrap();
    conn.set_read_timeout(Some(support::WAIT_LIMIT)).unwrap();
    conn.write_all(bytes).unwrap();
    conn
}

fn text(conn: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let _ = conn.read_to_end(&mut bytes);
    String::from_utf8_lossy(&bytes).into_owned()
}

fn stream_request(id: &str) -> String {
    format!(
        "POST /resumable/x HTTP/1.0\r\nhost: {HOST}\r\nx-request-id: {id}\r\n\
         x-deadline-ms: 20000\r\ncontent-length: 6\r\n\r\nprompt"
    )
}

/// Guards against a stream that looks whole to a caller of HTTP/1.0 after its instance was killed: such
/// a caller knows no chunks.
#[test]
fn a_caller_without_chunks_gets_a_length() {
    let (store, workers) = platform(20, PAUSE);
    let mut instance = Instance::start("one", &store, &[]);
    let whole = text(&mut open(instance.callers, stream_request("a").as_bytes()));
    let (head, body) = whole.split_once("\r\n\r\n").unwrap();
    let length = format!("content-length: {}", body.len());
    assert!(head.to_ascii_lowercase().contains(&length), "{head}");
    assert_eq!(body.matches("data:").count(), 20, "{body}");
    let runs = workers.each_ref().map(|w| w.runs().len());
    let mut conn = open(instance.callers, stream_request("b").as_bytes());
    until("the stream runs", || {
        workers.each_ref().map(|w| w.runs().len()) != runs
    });
    instance.kill();
    assert_eq!(text(&mut conn), "");
}

/// Guards against a call or a job that is taken with a part of its body after its caller was killed.
#[test]
fn a_request_that_is_cut_is_not_run() {
    let (store, workers) = platform(2, PAUSE);
    let instance = Instance::start_for_jobs("one", &store);
    let body = r#"{"items":[{"id":"i","path":"/jobs/i","headers":{},"body":"AP8=","tokens":1}]}"#;
    for path in ["/unsafe/x", "/resumable/x", "/jobs/x"] {
        let head = format!("POST {path} HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: cut\r\n");
        for framed in [
            format!("content-length: {}\r\n\r\n{body}", body.len()),
            format!(
                "transfer-encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n0\r\n\r\n",
                body.len()
            ),
        ] {
            let request = format!("{head}{framed}");
            let start = request.find("\r\n\r\n").unwrap();
            for count in (start..request.len()).step_by(5).chain([request.len() - 1]) {
                let mut conn = open(instance.callers, &request.as_bytes()[..count]);
                conn.shutdown(Shutdown::Write).unwrap();
                let answer = text(&mut conn);
                assert!(!answer.starts_with("HTTP/1.1 2"), "{count}: {answer}");
            }
        }
    }
    // Calls that were not refused would have reached a worker before this one.
    assert_eq!(instance.stream("/unsafe/x", "whole").unwrap().status, 200);
    assert_eq!(workers.iter().map(|w| w.runs().len()).sum::<usize>(), 1);
    assert!(store.names("batch-jobs").is_empty());
}
