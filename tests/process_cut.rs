//! Results and jobs that end with the death of an instance or of a caller.

mod support;

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpStream},
};

use support::{Fleet, Item, MODEL, WAIT_LIMIT};

/// Deadline in the far future, in seconds since 1970-01-01 UTC.
const FAR: u64 = 4_000_000_000;

/// Writes bytes to an instance, ends the connection in this direction and returns the answer.
fn exchange(address: SocketAddr, bytes: &[u8], whole: bool) -> String {
    let mut conn = TcpStream::connect(address).unwrap();
    conn.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
    conn.write_all(bytes).unwrap();
    if !whole {
        conn.shutdown(Shutdown::Write).unwrap();
    }
    let mut answer = Vec::new();
    let _ = conn.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

/// Guards against results that look whole to a caller of HTTP/1.0 after its instance was killed, and
/// against a job that is accepted with a part of its items after its caller was killed.
#[test]
fn results_and_jobs_have_an_end_that_shows() {
    let fleet = Fleet::running(1, 1);
    let entry = &fleet.entries[0];
    let items: Vec<Item> = ["a", "b"].map(|id| Item::new(id, id, 2)).into();
    let lines: Vec<String> = items.iter().map(Item::line).collect();
    let body = lines.join("\n");
    let start = format!("POST /v1/batches?name=cut&model={MODEL}&deadline={FAR} HTTP/1.1\r\n");
    for framed in [
        format!("content-length: {}\r\n\r\n{body}", body.len()),
        format!(
            "transfer-encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n0\r\n\r\n",
            body.len()
        ),
    ] {
        let request = format!("{start}host: h\r\n{framed}");
        // After the first line the items read so far are a valid job.
        let second = request.find(&lines[1]).unwrap();
        for count in [second, second + 5, request.len() - 1] {
            let answer = exchange(entry.callers, &request.as_bytes()[..count], false);
            assert!(!answer.starts_with("HTTP/1.1 2"), "{count}: {answer}");
        }
    }
    assert_eq!(entry.job("cut").unwrap().status, 404);
    assert_eq!(entry.submit("whole", FAR, &items).unwrap().status, 200);
    let request = b"GET /v1/batches/whole/results HTTP/1.0\r\nhost: h\r\n\r\n";
    let answer = exchange(entry.callers, request, true).to_ascii_lowercase();
    let head = answer.split("\r\n\r\n").next().unwrap();
    assert!(head.contains("\r\ncontent-length: "), "{head}");
}
