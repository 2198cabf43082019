//! Targets that close in the middle of the head of an answer.

mod online_common;

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    thread,
    time::Duration,
};

use gentianpath::view::ServiceTarget;
use online_common::{chat, entry, entry_with, info, platform, post, view};
use rustix::net::sockopt::{set_socket_linger, set_socket_recv_buffer_size};
use serde_json::json;

/// Parts of a head that end before it does.
const CUT_HEADS: [&str; 9] = [
    "",
    "HTTP/1.1 2",
    "HTTP/1.1 200 OK",
    "HTTP/1.1 200 OK\r\n",
    "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r",
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Long: 1",
    "HTTP/1.1 200 OK\nContent-Type: text/plain\n",
];

/// Starts a target that reads a request, sends a part of a head and closes.
fn target(head: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream: TcpStream = stream.unwrap();
            let mut request = vec![0; 4096];
            let _ = stream.read(&mut request);
            let _ = stream.write_all(head.as_bytes());
            let _ = stream.shutdown(Shutdown::Write);
            thread::spawn(move || while stream.read(&mut request).is_ok_and(|n| n > 0) {});
        }
    });
    address
}

/// Guards against a head that ends early and reaches callers as a success with an empty body.
#[test]
fn a_head_that_ends_early_is_no_answer_to_a_call() {
    let platform = platform();
    for head in CUT_HEADS {
        let service = ServiceTarget {
            id: "s1".into(),
            service: "till".into(),
            address: target(head),
            zone: "a".into(),
            leaving: false,
        };
        let mut view = view(Vec::new());
        view.services = vec![service];
        let entry = entry_with(platform.host.address, view, json!({}));
        let answer = post(entry.address, "/services/till/stock", &[], "{}");
        assert!(answer.status >= 500, "{head:?}: {}", answer.head);
    }
}

/// Guards against the same for generations, streamed and whole.
#[test]
fn a_head_that_ends_early_is_no_generation() {
    let platform = platform();
    for head in CUT_HEADS {
        for streamed in [false, true] {
            let workers = vec![info("w1", target(head))];
            let entry = entry(platform.host.address, workers, json!({}));
            let path = "/v1/chat/completions";
            let answer = post(entry.address, path, &[], &chat("first", 1, streamed));
            let is_whole = answer.status == 200 && !answer.body.contains("error");
            assert!(!is_whole, "{head:?}: {} {}", answer.head, answer.body);
            assert!(!answer.body.contains("[DONE]"), "{head:?}: {}", answer.body);
        }
    }
}

/// Answers whose status is invalid, or ends no exchange.
const NO_STATUS: [&str; 6] = [
    "HTTP/1.1 000 x\r\nContent-Type: text/event-stream\r\nContent-Length: 5\r\n\r\nwrong",
    "HTTP/1.1 099 x\r\nContent-Type: text/event-stream\r\nContent-Length: 5\r\n\r\nwrong",
    "HTTP/1.1 101 x\r\nContent-Length: 5\r\n\r\nwrong",
    "HTTP/1.1 199 x\r\nContent-Length: 5\r\n\r\nwrong",
    "HTTP/1.1 600 x\r\nContent-Type: text/event-stream\r\nContent-Length: 5\r\n\r\nwrong",
    "HTTP/1.1 999 x\r\nContent-Type: text/event-stream\r\nContent-Length: 5\r\n\r\nwrong",
];

/// Guards against an answer that reaches callers though its status is outside 200 to 599 (RFC 9110, section
/// 15).
#[test]
fn an_answer_without_a_final_status_is_no_answer() {
    let platform = platform();
    for head in NO_STATUS {
        let service = ServiceTarget {
            id: "s1".into(),
            service: "till".into(),
            address: target(head),
            zone: "a".into(),
            leaving: false,
        };
        let mut view = view(vec![info("w1", target(head))]);
        view.services = vec![service];
        let entry = entry_with(platform.host.address, view, json!({}));
        let answer = post(entry.address, "/services/till/stock", &[], "{}");
        assert!(
            (500..600).contains(&answer.status),
            "{head:?}: {}",
            answer.head
        );
        for streamed in [false, true] {
            let body = chat("first", 1, streamed);
            let answer = post(entry.address, "/v1/chat/completions", &[], &body);
            let is_whole = answer.status == 200 && !answer.body.contains("error");
            assert!(!is_whole, "{head:?}: {} {}", answer.head, answer.body);
            assert!(
                (200..600).contains(&answer.status),
                "{head:?}: {}",
                answer.head
            );
        }
    }
}

/// Guards against a part of an answer that counts as whole, as its target reset the connection while the
/// request was written.
#[test]
fn an_answer_that_is_reset_within_the_upload_is_not_whole() {
    let platform = platform();
    for take in [0, 100_000, 400_000] {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        set_socket_recv_buffer_size(&listener, 4096).unwrap();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let mut stream: TcpStream = stream.unwrap();
                let mut request = vec![0; 4096];
                let count = stream.read(&mut request).unwrap_or(0);
                if request[..count].starts_with(b"OPTIONS") {
                    let _ = stream.write_all(b"HTTP/1.1 204 x\r\n\r\n");
                    continue;
                }
                let _ =
                    stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\npart");
                let _ = stream.read_exact(&mut vec![0; take]);
                let _ = set_socket_linger(&stream, Some(Duration::ZERO));
            }
        });
        let service = ServiceTarget {
            id: "s1".into(),
            service: "till".into(),
            address,
            zone: "a".into(),
            leaving: false,
        };
        let mut view = view(Vec::new());
        view.services = vec![service];
        let entry = entry_with(platform.host.address, view, json!({}));
        let body = "x".repeat(900_000);
        for _ in 0..4 {
            let answer = post(entry.address, "/services/till/stock", &[], &body);
            assert!(answer.status >= 500, "{take}: {}", answer.head);
        }
    }
}
