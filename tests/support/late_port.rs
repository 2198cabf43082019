//! Port whose queue of connections is full until it is opened, in front of a server.

use std::{
    io,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

/// Time after which a connection counts as not accepted by the kernel.
const CONNECT_LIMIT: Duration = Duration::from_millis(200);

/// A port that accepts connections only after it was opened.
pub struct LatePort {
    /// Address to connect to.
    pub address: SocketAddr,
    to: SocketAddr,
    listener: TcpListener,
    fillers: Vec<TcpStream>,
    accepted: Arc<AtomicUsize>,
}

impl LatePort {
    /// Binds a port and fills its queue of connections.
    pub fn full(to: SocketAddr) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
        let address = listener.local_addr().unwrap();
        let mut fillers = Vec::new();
        while let Ok(filler) = TcpStream::connect_timeout(&address, CONNECT_LIMIT) {
            fillers.push(filler);
        }
        Self {
            address,
            to,
            listener,
            fillers,
            accepted: Arc::default(),
        }
    }

    /// Empties the queue, and forwards the connections that come from then on.
    pub fn open(&self) {
        for _ in &self.fillers {
            drop(self.listener.accept().unwrap());
        }
        let listener = self.listener.try_clone().unwrap();
        let (to, accepted) = (self.to, self.accepted.clone());
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                accepted.fetch_add(1, Ordering::SeqCst);
                let _ = forward(client, to);
            }
        });
    }

    /// Returns the number of connections that were forwarded.
    pub fn accepted(&self) -> usize {
        self.accepted.load(Ordering::SeqCst)
    }
}

fn forward(client: TcpStream, to: SocketAddr) -> io::Result<()> {
    let server = TcpStream::connect(to)?;
    let (client_out, server_out) = (client.try_clone()?, server.try_clone()?);
    thread::spawn(move || copy(client, server_out));
    thread::spawn(move || copy(server, client_out));
    Ok(())
}

fn copy(mut from: TcpStream, mut to: TcpStream) {
    let _ = io::copy(&mut from, &mut to);
    let _ = to.shutdown(Shutdown::Write);
    let _ = from.shutdown(Shutdown::Read);
}
