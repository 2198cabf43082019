//! Answers of faulty targets that belong to an earlier request or come in the middle of a stream.

mod online_common;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
};

use gentianpath::view::ServiceTarget;
use online_common::{chat, entry, entry_with, info, platform, post, view};
use serde_json::json;

const CHAT: &str = "/v1/chat/completions";
const SERVICE: &str = "/services/till/stock";

/// Refusal of an engine or plain service, and an error, after which the connection stays open.
const ANSWERS: [&str; 2] = [
    "HTTP/1.1 503 Busy\r\nGentianpath-Engine-Refused: not-run\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 500 Failed\r\nContent-Length: 4\r\n\r\nboom",
];
const STREAM: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n";
const FIRST: &str = "id: 0\ndata: {\"stream\":\"{id}\",\"seq\":0,\"text\":\"one\"}\n\n";
const LAST: &str = "id: 1\ndata: {\"stream\":\"{id}\",\"seq\":1,\"done\":true,\"finish\":\"stop\",\"tokens\":1}\n\n";

fn read_head(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") && stream.read(&mut byte).is_ok_and(|n| n > 0) {
        head.push(byte[0]);
    }
    String::from_utf8(head).unwrap()
}

/// Returns the id of the stream that a request starts.
fn stream_id(head: &str) -> Option<String> {
    let named = |line: &&str| {
        line.to_ascii_lowercase()
            .starts_with("gentianpath-request:")
    };
    let line = head.lines().find(named)?;
    Some(line.split_once(':')?.1.trim().to_owned())
}

/// Starts a target that sends each of the answers on a connection of its own, the last one on all
/// later ones, with the id of the latest stream in place of `{id}`.
fn target(answers: Vec<String>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let mut id = String::new();
        for (number, stream) in listener.incoming().enumerate() {
            let mut stream = stream.unwrap();
            let head = read_head(&mut stream);
            id = stream_id(&head).unwrap_or(id);
            let answer = &answers[number.min(answers.len() - 1)];
            let answer = answer.replace("{id}", &id);
            let ends = answer.starts_with(STREAM);
            let _ = stream.write_all(answer.as_bytes());
            // Any other connection is left for the client to close or to use again.
            thread::spawn(move || {
                let mut rest = [0; 4096];
                if ends {
                    let _ = stream.shutdown(std::net::Shutdown::Write);
                }
                while stream.read(&mut rest).is_ok_and(|n| n > 0) {}
            });
        }
    });
    address
}

/// Guards against a copy of an earlier refusal or error that is taken for the answer to the next
/// call of a plain service.
#[test]
fn a_copy_of_an_earlier_answer_is_no_answer_to_a_call() {
    let platform = platform();
    for answer in ANSWERS {
        let whole = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";
        let service = ServiceTarget {
            id: "s1".into(),
            service: "till".into(),
            address: target(vec![answer.repeat(2), whole.into()]),
            zone: "a".into(),
            leaving: false,
        };
        let mut view = view(Vec::new());
        view.services = vec![service];
        let entry = entry_with(platform.host.address, view, json!({}));
        let first = post(entry.address, SERVICE, &[], "{}");
        assert!(first.status >= 400, "{}", first.head);
        let second = post(entry.address, SERVICE, &[], "{}");
        assert_eq!((second.status, &*second.body), (200, "whole"), "{answer}");
    }
}

/// Guards against the same for generations.
#[test]
fn a_copy_of_an_earlier_answer_is_no_answer_to_a_generation() {
    let platform = platform();
    for answer in ANSWERS {
        let whole = format!("{STREAM}{FIRST}{LAST}");
        let workers = vec![info("w1", target(vec![answer.repeat(2), whole]))];
        let entry = entry(platform.host.address, workers, json!({}));
        // The first request may be tried again, on a connection of its own.
        post(entry.address, CHAT, &[], &chat("first", 1, false));
        let second = post(entry.address, CHAT, &[], &chat("second", 1, false));
        assert_eq!((second.status, &*second.text()), (200, "one"), "{answer}");
    }
}

/// Guards against an error that callers find in the middle of a stream that broke off, and against a
/// stream that ends with it as if it were complete.
#[test]
fn an_error_does_not_continue_a_broken_generation() {
    let platform = platform();
    let resumed = [
        ANSWERS[0].to_owned(),
        ANSWERS[1].to_owned(),
        "HTTP/1.1 204 No Content\r\n\r\n".into(),
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 16\r\n\r\n\
         {\"error\":\"boom\"}"
            .into(),
        STREAM.into(),
        format!("{STREAM}{}", ANSWERS[1]),
        format!("{STREAM}data: {{\"error\":\"boom\"}}\n\n"),
        format!("{STREAM}data: [DONE]\n\n"),
        format!("{STREAM}id: 1\ndata: {{\"stream\":\"other\",\"seq\":1,\"text\":\"boom\"}}\n\n"),
        format!("{STREAM}id: 9\ndata: {{\"stream\":\"{{id}}\",\"seq\":9,\"text\":\"boom\"}}\n\n"),
    ];
    for answer in resumed {
        let first = format!("{STREAM}{FIRST}");
        let workers = vec![info("w1", target(vec![first, answer.clone()]))];
        let entry = entry(platform.host.address, workers, json!({}));
        let body = post(entry.address, CHAT, &[], &chat("first", 1, true)).body;
        assert!(body.contains("one") && !body.contains("boom"), "{body}");
        assert!(!body.contains("[DONE]"), "complete after {answer}: {body}");
    }
}
