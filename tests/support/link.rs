//! A link between two parties that can be cut: it forwards TCP connections until then.

use std::{
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU8, Ordering},
    },
    thread,
    time::Duration,
};

/// Bytes that are forwarded at once.
const BUFFER_BYTES: usize = 16 << 10;
/// Time between two looks at the state of a silent link.
const LOOK: Duration = Duration::from_millis(5);

/// State of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum State {
    /// Bytes pass.
    Open = 0,
    /// Connections stay open and carry no bytes; new ones are accepted.
    Silent = 1,
    /// Connections are closed; new ones are closed at once.
    Cut = 2,
}

/// A link from its own address to another.
pub struct Link {
    /// Address to connect to.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    to: SocketAddr,
    state: AtomicU8,
    open: Mutex<Vec<TcpStream>>,
}

impl Link {
    /// Opens a link to an address.
    pub fn new(to: SocketAddr) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
        let address = listener.local_addr().unwrap();
        let shared = Arc::new(Shared {
            to,
            state: AtomicU8::new(State::Open as u8),
            open: Mutex::default(),
        });
        let accepting = shared.clone();
        thread::spawn(move || {
            for connection in listener.incoming().flatten() {
                let _ = accepting.clone().accept(connection);
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

    fn accept(self: Arc<Self>, near: TcpStream) -> io::Result<()> {
        if self.is(State::Cut) {
            return Ok(());
        }
        let far = TcpStream::connect(self.to)?;
        let ends = [near.try_clone()?, far.try_clone()?];
        self.open.lock().unwrap().extend(ends);
        let (near_out, far_out) = (near.try_clone()?, far.try_clone()?);
        let back = self.clone();
        thread::spawn(move || self.forward(near, far_out));
        thread::spawn(move || back.forward(far, near_out));
        Ok(())
    }

    fn forward(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut buffer = vec![0; BUFFER_BYTES];
        while let Ok(count @ 1..) = from.read(&mut buffer) {
            while self.is(State::Silent) {
                thread::sleep(LOOK);
            }
            if to.write_all(&buffer[..count]).is_err() {
                break;
            }
        }
        let _ = from.shutdown(Shutdown::Both);
        let _ = to.shutdown(Shutdown::Both);
    }
}
