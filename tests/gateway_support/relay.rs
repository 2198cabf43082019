//! Relay between instances and a worker that opens connections late, and closes or resets them at
//! any point of an answer.

use std::{
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::support::ports::listen;

/// Size of the forwarding buffer, which holds a whole request.
const BUFFER_BYTES: usize = 64 << 10;
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// What happens to a connection.
#[derive(Debug, Clone, Copy)]
enum Fault {
    None,
    /// It reaches the worker after this time.
    Late(Duration),
    /// It ends after this many bytes of answers.
    Cut {
        after: usize,
        reset: bool,
    },
}

/// Forwards connections to a worker.
pub struct Relay {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    to: Mutex<SocketAddr>,
    rng: Mutex<fastrand::Rng>,
    sound: AtomicBool,
    /// Bytes of a usual answer.
    length: usize,
}

impl Relay {
    pub fn start(to: SocketAddr, seed: u64, length: usize) -> Self {
        let listener = listen();
        let address = listener.local_addr().unwrap();
        let shared = Arc::new(Shared {
            to: Mutex::new(to),
            rng: Mutex::new(fastrand::Rng::with_seed(seed)),
            sound: AtomicBool::default(),
            length,
        });
        let acceptor = shared.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let shared = acceptor.clone();
                thread::spawn(move || shared.carry(client));
            }
        });
        Self { address, shared }
    }

    /// Forwards further connections to another address.
    pub fn set_target(&self, to: SocketAddr) {
        *self.shared.to.lock().unwrap() = to;
    }

    /// Forwards further connections without a fault.
    pub fn heal(&self) {
        self.shared.sound.store(true, Ordering::SeqCst);
    }
}

impl Shared {
    fn draw(&self) -> Fault {
        let mut rng = self.rng.lock().unwrap();
        match rng.u32(..10) {
            _ if self.sound.load(Ordering::SeqCst) => Fault::None,
            0 => Fault::Late(Duration::from_millis(rng.u64(50..1200))),
            1 | 2 => Fault::Cut {
                after: rng.usize(..self.length * 5 / 4),
                reset: rng.bool(),
            },
            _ => Fault::None,
        }
    }

    fn carry(&self, client: TcpStream) -> io::Result<()> {
        let fault = self.draw();
        if let Fault::Late(delay) = fault {
            thread::sleep(delay);
        }
        let to = *self.to.lock().unwrap();
        let server = TcpStream::connect(to)?;
        client.set_nodelay(true)?;
        server.set_nodelay(true)?;
        match fault {
            Fault::Cut { after, reset } => cut(client, server, after, reset),
            Fault::None | Fault::Late(_) => {
                let (client_out, server_out) = (client.try_clone()?, server.try_clone()?);
                thread::spawn(move || forward(client, server_out));
                forward(server, client_out);
                Ok(())
            }
        }
    }
}

fn forward(mut from: TcpStream, mut to: TcpStream) {
    let _ = io::copy(&mut from, &mut to);
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}

/// Forwards a number of bytes of answers. Requests stay unread in the buffer of the socket, so that
/// the kernel resets the connection when it is dropped.
fn cut(mut client: TcpStream, mut server: TcpStream, after: usize, reset: bool) -> io::Result<()> {
    let done = Arc::new(AtomicBool::default());
    let (requests, target, stop) = (client.try_clone()?, server.try_clone()?, done.clone());
    let sender = thread::spawn(move || send_peeked(&requests, target, &stop));
    let mut seen = Vec::new();
    let mut buffer = [0; 4096];
    while seen.len() < after {
        let left = (after - seen.len()).min(buffer.len());
        let count = server.read(&mut buffer[..left]).unwrap_or(0);
        if count == 0 || client.write_all(&buffer[..count]).is_err() {
            break;
        }
        seen.extend_from_slice(&buffer[..count]);
    }
    done.store(true, Ordering::SeqCst);
    let ended = seen.len() < after;
    server.shutdown(Shutdown::Both)?;
    let _ = sender.join();
    // A normal end inside an answer without a length would be the worker's own end.
    if ended || (!reset && !ends_with_connection(&seen)) {
        client.set_nonblocking(true)?;
        while matches!(client.read(&mut buffer), Ok(1..)) {}
        client.shutdown(Shutdown::Both)?;
    }
    Ok(())
}

fn send_peeked(from: &TcpStream, mut to: TcpStream, done: &AtomicBool) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut sent = 0;
    while !done.load(Ordering::SeqCst) {
        let count = from.peek(&mut buffer)?;
        if count == 0 {
            break;
        }
        if count > sent {
            to.write_all(&buffer[sent..count])?;
            sent = count;
        }
        thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}

fn ends_with_connection(answers: &[u8]) -> bool {
    let text = String::from_utf8_lossy(answers).to_ascii_lowercase();
    let last = text.rfind("http/1.1 ").map_or("", |start| &text[start..]);
    last.split_once("\r\n\r\n").is_some_and(|(head, _)| {
        !head.contains("content-length") && !head.contains("transfer-encoding")
    })
}
