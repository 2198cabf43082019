//! TCP proxy between two processes that can stop forwarding or close its connections.

use std::{
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU8, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use super::ports::listen;

/// Size of the forwarding buffer.
const BUFFER_BYTES: usize = 16 << 10;
/// Interval at which the state of a silent link is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// State of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum State {
    /// Bytes are forwarded.
    Open = 0,
    /// Connections stay open without forwarding; new ones are accepted.
    Silent = 1,
    /// Connections are closed; new ones are closed at once.
    Cut = 2,
}

/// Forwards connections from a local address to another one.
pub struct Link {
    /// Address to connect to.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    to: SocketAddr,
    state: AtomicU8,
    open: Mutex<Vec<TcpStream>>,
    accepted: AtomicUsize,
    /// Number of accepted connections that are silent for good.
    silent: AtomicUsize,
}

impl Link {
    /// Starts a link to an address.
    pub fn new(to: SocketAddr) -> Self {
        let listener = listen();
        let address = listener.local_addr().unwrap();
        let shared = Arc::new(Shared {
            to,
            state: AtomicU8::new(State::Open as u8),
            open: Mutex::default(),
            accepted: AtomicUsize::default(),
            silent: AtomicUsize::default(),
        });
        let acceptor = shared.clone();
        thread::spawn(move || {
            for connection in listener.incoming().flatten() {
                let _ = acceptor.clone().accept(connection);
            }
        });
        Self { address, shared }
    }

    /// Changes the state of the link.
    pub fn set(&self, state: State) {
        self.shared.state.store(state as u8, Ordering::SeqCst);
        if state == State::Cut {
            for connection in self.shared.open.lock().unwrap().drain(..) {
                let _ = connection.shutdown(Shutdown::Both);
            }
        }
    }

    /// Forwards nothing any more on the connections that are open; new ones work.
    pub fn silence_open(&self) {
        let accepted = self.shared.accepted.load(Ordering::SeqCst);
        self.shared.silent.store(accepted, Ordering::SeqCst);
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.set(State::Cut);
    }
}

impl Shared {
    fn is(&self, state: State) -> bool {
        self.state.load(Ordering::SeqCst) == state as u8
    }

    fn is_silent(&self, number: usize) -> bool {
        number < self.silent.load(Ordering::SeqCst)
    }

    fn accept(self: Arc<Self>, client: TcpStream) -> io::Result<()> {
        if self.is(State::Cut) {
            return Ok(());
        }
        let server = TcpStream::connect(self.to)?;
        let number = self.accepted.fetch_add(1, Ordering::SeqCst);
        let sockets = [client.try_clone()?, server.try_clone()?];
        self.open.lock().unwrap().extend(sockets);
        let (client_out, server_out) = (client.try_clone()?, server.try_clone()?);
        let reverse = self.clone();
        thread::spawn(move || self.forward(number, client, server_out));
        thread::spawn(move || reverse.forward(number, server, client_out));
        Ok(())
    }

    fn forward(&self, number: usize, mut from: TcpStream, mut to: TcpStream) {
        let mut buffer = vec![0; BUFFER_BYTES];
        while let Ok(count @ 1..) = from.read(&mut buffer) {
            while self.is(State::Silent) || self.is_silent(number) {
                thread::sleep(POLL_INTERVAL);
            }
            if to.write_all(&buffer[..count]).is_err() {
                break;
            }
        }
        let _ = from.shutdown(Shutdown::Both);
        let _ = to.shutdown(Shutdown::Both);
    }
}
