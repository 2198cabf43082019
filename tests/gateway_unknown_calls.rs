//! Calls of a later release that an instance does not know.

mod gateway_support;
mod support;

use std::{
    io::{Read, Write},
    net::TcpStream,
    time::Duration,
};

use gateway_support::{Instance, platform};
use support::http;

/// Guards against callers that get the status with which an instance refused a call that another one
/// forwarded: any but 503 is passed on to them, and one of the proper calls is denied.
#[test]
fn a_call_of_an_unknown_kind_is_refused_as_not_run() {
    let (store, _workers) = platform(3, Duration::ZERO);
    let instance = Instance::start("i1", &store, &[]);
    for call in ["\u{7f}", "\u{0}\u{7f}", ""] {
        let answer = http::call(instance.peers, "POST", "/", &[], call).unwrap();
        assert_eq!(answer.status, 503, "{call:?}");
    }
}

/// Guards against callers that get the status with which an instance refused a call that came too slowly.
#[test]
fn a_call_that_is_not_received_in_time_is_refused_as_not_run() {
    let (store, _workers) = platform(3, Duration::ZERO);
    let instance = Instance::start("i1", &store, &[]);
    let mut stream = TcpStream::connect(instance.peers).unwrap();
    stream
        .write_all(b"POST / HTTP/1.1\r\nhost: i1\r\ncontent-length: 9\r\n\r\n1")
        .unwrap();
    let mut head = [0; 12];
    stream.read_exact(&mut head).unwrap();
    assert_eq!(&head, b"HTTP/1.1 503");
}
