//! HTTP/1.1 of the stand-ins: a server with a thread for each connection, and a client.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

#[derive(Debug, Clone, Default)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, v)| v.as_str())
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let found = self.query.iter().find(|(n, _)| n == name);
        found.map(|(_, v)| v.as_str())
    }
}

/// Serves connections at a free port of 127.0.0.1 until the process ends. The handler returns whether the
/// connection stays open.
pub fn serve<H>(handler: H) -> SocketAddr
where
    H: Fn(&Request, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            let _ = thread::Builder::new().stack_size(256 << 10).spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(copy) = stream.try_clone() else { return };
                let (mut reader, mut stream) = (BufReader::new(copy), stream);
                while let Some(request) = read_request(&mut reader) {
                    if !handler(&request, &mut stream).unwrap_or(false) {
                        return;
                    }
                }
            });
        }
    });
    address
}

fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let first = line(reader)?;
    let mut words = first.split(' ');
    let mut request = Request {
        method: words.next()?.to_owned(),
        ..Request::default()
    };
    let target = words.next()?;
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    request.path = path.to_owned();
    let pairs = query.split('&').filter_map(|p| p.split_once('='));
    request.query = pairs.map(|(n, v)| (n.to_owned(), v.to_owned())).collect();
    while let Some((name, value)) = line(reader)?.split_once(':') {
        let header = (name.to_ascii_lowercase(), value.trim().to_owned());
        request.headers.push(header);
    }
    if request.header("transfer-encoding").is_some() {
        loop {
            let size = usize::from_str_radix(&line(reader)?, 16).ok()?;
            let from = request.body.len();
            request.body.resize(from + size, 0);
            reader.read_exact(&mut request.body[from..]).ok()?;
            line(reader)?;
            if size == 0 {
                return Some(request);
            }
        }
    }
    let length = request
        .header("content-length")
        .and_then(|v| v.parse().ok());
    request.body.resize(length.unwrap_or(0), 0);
    reader.read_exact(&mut request.body).ok()?;
    Some(request)
}

fn line(reader: &mut impl BufRead) -> Option<String> {
    let mut text = String::new();
    let count = reader.read_line(&mut text).ok()?;
    (count > 0).then(|| text.trim_end().to_owned())
}

pub fn answer(stream: &mut TcpStream, status: u16, headers: &str, body: &[u8]) -> io::Result<bool> {
    let length = body.len();
    let head = format!("HTTP/1.1 {status} x\r\n{headers}content-length: {length}\r\n\r\n");
    stream.write_all(&[head.as_bytes(), body].concat())?;
    Ok(true)
}

#[derive(Debug, Clone, Default)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Sends a request on a new connection and reads the whole answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_nodelay(true)?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nconnection: close\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if method == "POST" {
        head.push_str(&format!("content-length: {}\r\n", body.len()));
    }
    head.push_str("\r\n");
    stream.write_all(&[head.as_bytes(), body].concat())?;
    read_answer(&mut BufReader::new(stream))
}

/// A client that keeps its connection.
pub struct Kept {
    address: SocketAddr,
    stream: Option<BufReader<TcpStream>>,
}

impl Kept {
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            stream: None,
        }
    }

    /// Returns whether the next request goes over a connection that has carried others.
    pub fn is_kept(&self) -> bool {
        self.stream.is_some()
    }

    pub fn post(
        &mut self,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<Answer> {
        let mut reader = match self.stream.take() {
            Some(reader) => reader,
            None => {
                let stream = TcpStream::connect_timeout(&self.address, Duration::from_secs(1))?;
                stream.set_read_timeout(Some(Duration::from_secs(6)))?;
                stream.set_nodelay(true)?;
                BufReader::new(stream)
            }
        };
        let mut head = format!("POST {path} HTTP/1.1\r\ncontent-length: {}\r\n", body.len());
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        reader
            .get_mut()
            .write_all(&[head.as_bytes(), body].concat())?;
        let answer = read_answer(&mut reader)?;
        let closes = answer
            .headers
            .iter()
            .any(|(n, v)| n == "connection" && v == "close");
        self.stream = Some(reader).filter(|_| !closes);
        Ok(answer)
    }
}

fn read_answer(reader: &mut impl BufRead) -> io::Result<Answer> {
    let ended = || io::Error::from(io::ErrorKind::UnexpectedEof);
    let mut answer = Answer::default();
    let mut status = String::new();
    if reader.read_line(&mut status)? == 0 {
        return Err(ended());
    }
    let status = status.split(' ').nth(1).and_then(|s| s.parse().ok());
    answer.status = status.ok_or(io::ErrorKind::InvalidData)?;
    let mut chunked = false;
    let mut length = None;
    while let Some((name, value)) = line(reader).ok_or_else(ended)?.split_once(':') {
        let (name, value) = (name.to_ascii_lowercase(), value.trim().to_owned());
        chunked |= name == "transfer-encoding";
        if name == "content-length" {
            length = value.parse().ok();
        }
        answer.headers.push((name, value));
    }
    if chunked {
        loop {
            let size = line(reader).ok_or_else(ended)?;
            let size = usize::from_str_radix(&size, 16).map_err(|_| ended())?;
            let from = answer.body.len();
            answer.body.resize(from + size, 0);
            reader.read_exact(&mut answer.body[from..])?;
            line(reader).ok_or_else(ended)?;
            if size == 0 {
                return Ok(answer);
            }
        }
    }
    answer.body.resize(length.unwrap_or(0), 0);
    reader.read_exact(&mut answer.body)?;
    Ok(answer)
}
