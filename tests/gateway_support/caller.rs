//! Caller that keeps its connection and sees how far an answer got.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    thread,
    time::Duration,
};

use crate::support::http::host;

/// Bound on the wait for the next bytes of an answer.
const READ_LIMIT: Duration = Duration::from_secs(10);

/// An answer as far as it came.
#[derive(Debug, Default)]
pub struct Seen {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether it looks complete.
    pub complete: bool,
}

impl Seen {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A caller with a connection that it keeps until the instance closes it.
#[derive(Default)]
pub struct Caller {
    connection: Option<(SocketAddr, BufReader<TcpStream>)>,
    /// Pause before each part of a body that is read.
    pub pause: Duration,
    /// Bytes of a chunked body after which the caller leaves.
    pub patience: Option<usize>,
}

impl Caller {
    /// Returns the address of the open connection.
    pub fn address(&self) -> Option<SocketAddr> {
        self.connection.as_ref().map(|(address, _)| *address)
    }

    /// Sends a request on the open connection, or a new one to an address.
    pub fn post(
        &mut self,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Seen {
        let mut seen = Seen::default();
        let result = self.exchange(address, path, headers, body, &mut seen);
        seen.complete = result.is_ok();
        if result.is_err() || seen.header("connection") == Some("close") {
            self.connection = None;
        }
        seen
    }

    fn exchange(
        &mut self,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
        seen: &mut Seen,
    ) -> io::Result<()> {
        if self.connection.is_none() {
            let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
            stream.set_read_timeout(Some(READ_LIMIT))?;
            stream.set_nodelay(true)?;
            self.connection = Some((address, BufReader::new(stream)));
        }
        let pause = self.pause;
        let (address, reader) = self.connection.as_mut().ok_or(io::ErrorKind::NotFound)?;
        let host = host(*address);
        let mut head = format!("POST {path} HTTP/1.1\r\nhost: {host}\r\n");
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(&format!("content-length: {}\r\n\r\n{body}", body.len()));
        reader.get_mut().write_all(head.as_bytes())?;
        read_head(reader, seen)?;
        if seen.header("transfer-encoding") == Some("chunked") {
            let patience = self.patience;
            while read_chunk(reader, &mut seen.body)? {
                if patience.is_some_and(|bytes| seen.body.len() >= bytes) {
                    return Err(io::ErrorKind::Interrupted.into());
                }
                thread::sleep(pause);
            }
            return Ok(());
        }
        let length = seen.header("content-length").and_then(|l| l.parse().ok());
        let Some(length) = length else {
            reader.read_to_end(&mut seen.body)?;
            self.connection = None;
            return Ok(());
        };
        reader.by_ref().take(length).read_to_end(&mut seen.body)?;
        if (seen.body.len() as u64) < length {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(())
    }
}

fn read_head(reader: &mut impl BufRead, seen: &mut Seen) -> io::Result<()> {
    let status = line(reader)?;
    let status = status.split(' ').nth(1).and_then(|s| s.parse().ok());
    seen.status = status.ok_or(io::ErrorKind::InvalidData)?;
    while let Some((name, value)) = line(reader)?.split_once(':') {
        let header = (name.to_ascii_lowercase(), value.trim().to_owned());
        seen.headers.push(header);
    }
    Ok(())
}

/// Reads a chunk as far as it comes, and returns whether another one follows.
fn read_chunk(reader: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<bool> {
    let size = u64::from_str_radix(&line(reader)?, 16);
    let size = size.map_err(|_| io::ErrorKind::UnexpectedEof)?;
    let count = reader.by_ref().take(size).read_to_end(body)? as u64;
    if count < size {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
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
