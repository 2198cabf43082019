//! Minimal blocking HTTP client, independent of the code under test.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use serde_json::Value;

/// Bound on opening a connection.
const CONNECT_LIMIT: Duration = Duration::from_secs(5);
/// Bound on the wait for the next bytes of an answer.
const READ_LIMIT: Duration = Duration::from_secs(60);

/// A complete answer.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Status code.
    pub status: u16,
    /// Names in lower case and values of the headers.
    pub headers: Vec<(String, String)>,
    /// Body without transfer encoding.
    pub body: Vec<u8>,
}

impl Answer {
    /// Returns the value of a header, by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns the body as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Returns the generated text of an answer that is not streamed.
    pub fn content(&self) -> String {
        let content = &self.json()["choices"][0]["message"]["content"];
        content.as_str().unwrap_or_default().to_owned()
    }

    /// Returns the data of the events of a streamed answer.
    pub fn events(&self) -> Vec<String> {
        let text = self.text();
        let data = text.lines().filter_map(|line| line.strip_prefix("data:"));
        data.map(|line| line.trim_start().to_owned()).collect()
    }

    /// Returns the generated text of a streamed answer.
    pub fn streamed(&self) -> String {
        let events = self.events().into_iter();
        let frames = events.filter_map(|e| serde_json::from_str::<Value>(&e).ok());
        let part = |f: Value| Some(f["choices"][0]["delta"]["content"].as_str()?.to_owned());
        frames.filter_map(part).collect()
    }
}

/// Returns the host that requests to an address name, which is the one of the routes of tests on each
/// loopback host.
pub fn host(address: SocketAddr) -> String {
    format!("127.0.0.1:{}", address.port())
}

/// Sends a request. Returns `None` if the connection fails before the answer is complete.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<Answer> {
    exchange(address, method, path, headers, body).ok()
}

/// Posts a request, and calls `observe` with the answer so far after each chunk of its body. Returns
/// `None` if the connection fails before the answer is complete.
pub fn post_observed(
    address: SocketAddr,
    path: &str,
    body: &str,
    mut observe: impl FnMut(&Answer),
) -> Option<Answer> {
    let mut reader = send(address, "POST", path, &[], body).ok()?;
    let mut answer = read_head(&mut reader).ok()?;
    while read_chunk(&mut reader, &mut answer.body).ok()? {
        observe(&answer);
    }
    Some(answer)
}

fn exchange(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> io::Result<Answer> {
    read_answer(send(address, method, path, headers, body)?)
}

fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> io::Result<BufReader<TcpStream>> {
    let mut connection = TcpStream::connect_timeout(&address, CONNECT_LIMIT)?;
    connection.set_read_timeout(Some(READ_LIMIT))?;
    let host = host(address);
    let mut head = format!("{method} {path} HTTP/1.1\r\nhost: {host}\r\nconnection: close\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("content-length: {}\r\n\r\n{body}", body.len()));
    connection.write_all(head.as_bytes())?;
    Ok(BufReader::new(connection))
}

fn read_answer(mut reader: impl BufRead) -> io::Result<Answer> {
    let mut answer = read_head(&mut reader)?;
    answer.body = read_body(&answer, reader)?;
    Ok(answer)
}

fn read_head(reader: &mut impl BufRead) -> io::Result<Answer> {
    let status = line(reader)?;
    let status = status.split(' ').nth(1).and_then(|s| s.parse().ok());
    let mut answer = Answer {
        status: status.ok_or(io::ErrorKind::InvalidData)?,
        headers: Vec::new(),
        body: Vec::new(),
    };
    loop {
        let line = line(reader)?;
        let Some((name, value)) = line.split_once(':') else {
            return Ok(answer);
        };
        let header = (name.to_ascii_lowercase(), value.trim().to_owned());
        answer.headers.push(header);
    }
}

fn read_body(answer: &Answer, mut reader: impl BufRead) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if answer.header("transfer-encoding") == Some("chunked") {
        while read_chunk(&mut reader, &mut body)? {}
    } else if let Some(length) = answer.header("content-length") {
        body.resize(length.parse().unwrap_or(0), 0);
        reader.read_exact(&mut body)?;
    } else {
        reader.read_to_end(&mut body)?;
    }
    Ok(body)
}

/// Reads one chunk and returns whether another one follows.
fn read_chunk(reader: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<bool> {
    let size = usize::from_str_radix(&line(reader)?, 16);
    let size = size.map_err(|_| io::ErrorKind::UnexpectedEof)?;
    let mut chunk = vec![0; size];
    reader.read_exact(&mut chunk)?;
    body.extend(chunk);
    line(reader)?;
    Ok(size > 0)
}

fn line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end().to_owned())
}
