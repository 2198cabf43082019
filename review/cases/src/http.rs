//! HTTP/1.1 on threads, as far as the stand-ins and clients need it.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

#[derive(Debug, Clone, Default)]
pub struct Head {
    /// The first line, split at spaces.
    pub words: Vec<String>,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        self.words.get(1).and_then(|w| w.parse().ok()).unwrap_or(0)
    }
}

#[derive(Debug)]
pub struct Request {
    pub head: Head,
    pub body: Vec<u8>,
}

impl Request {
    pub fn method(&self) -> &str {
        &self.head.words[0]
    }

    pub fn path(&self) -> &str {
        self.head.words[1].split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let pairs = self.head.words[1].split_once('?')?.1.split('&');
        let mut pairs = pairs.filter_map(|p| p.split_once('='));
        pairs.find(|(n, _)| *n == name).map(|(_, v)| v)
    }
}

pub fn read_head(reader: &mut impl BufRead) -> Option<Head> {
    let mut line = || {
        let mut text = String::new();
        let count = reader.read_line(&mut text).ok()?;
        (count > 0 && text.ends_with('\n')).then(|| text.trim_end().to_owned())
    };
    let words: Vec<String> = line()?.split(' ').map(str::to_owned).collect();
    let mut headers = Vec::new();
    loop {
        let text = line()?;
        let Some((name, value)) = text.split_once(':') else {
            break;
        };
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    (words.len() >= 2).then_some(Head { words, headers })
}

/// Serves connections until the process ends. The handler returns whether the connection stays open.
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
            thread::spawn(move || serve_connection(stream, &*handler));
        }
    });
    address
}

fn serve_connection(
    mut stream: TcpStream,
    handler: &dyn Fn(&Request, &mut TcpStream) -> io::Result<bool>,
) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    loop {
        let head = read_head(&mut reader)?;
        let length = head.get("content-length").and_then(|v| v.parse().ok());
        let mut body = vec![0; length.unwrap_or(0)];
        reader.read_exact(&mut body).ok()?;
        if !handler(&Request { head, body }, &mut stream).ok()? {
            return None;
        }
    }
}

pub fn answer(stream: &mut TcpStream, status: u16, headers: &str, body: &str) -> io::Result<bool> {
    let length = body.len();
    let text = format!("HTTP/1.1 {status} x\r\n{headers}content-length: {length}\r\n\r\n{body}");
    stream.write_all(text.as_bytes())?;
    Ok(true)
}

/// An answer that is being read.
pub struct Answer {
    pub head: Head,
    reader: BufReader<TcpStream>,
}

impl Answer {
    /// Returns the next part of the body; empty at its end.
    pub fn part(&mut self) -> io::Result<Vec<u8>> {
        if self.head.get("transfer-encoding").is_none() {
            let length = self.head.get("content-length").and_then(|v| v.parse().ok());
            let mut body = vec![0; length.unwrap_or(0)];
            self.reader.read_exact(&mut body)?;
            self.head.headers.retain(|(n, _)| n != "content-length");
            return Ok(body);
        }
        let mut line = String::new();
        self.reader.read_line(&mut line)?;
        let size = usize::from_str_radix(line.trim(), 16);
        let size = size.map_err(|_| io::Error::from(io::ErrorKind::UnexpectedEof))?;
        let mut chunk = vec![0; size + 2];
        self.reader.read_exact(&mut chunk)?;
        chunk.truncate(size);
        Ok(chunk)
    }

    /// Reads the whole body.
    pub fn whole(mut self) -> io::Result<(u16, Vec<u8>)> {
        let mut text = Vec::new();
        loop {
            let part = self.part()?;
            if part.is_empty() {
                return Ok((self.head.status(), text));
            }
            text.extend(part);
        }
    }
}

/// Sends a request on a connection and reads the head of the answer.
pub fn send(
    stream: &TcpStream,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<Answer> {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("content-length: {}\r\n\r\n", body.len());
    let mut bytes = text.into_bytes();
    bytes.extend(body);
    (&mut &*stream).write_all(&bytes)?;
    receive(stream)
}

/// Reads the head of an answer.
pub fn receive(stream: &TcpStream) -> io::Result<Answer> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let head = read_head(&mut reader).ok_or(io::ErrorKind::UnexpectedEof)?;
    Ok(Answer { head, reader })
}

pub fn connect(address: SocketAddr, patience: Duration) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(patience))?;
    stream.set_nodelay(true)?;
    Ok(stream)
}
