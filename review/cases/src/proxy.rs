//! Proxies between processes: one that lets open connections go silent, and one that cuts a machine
//! off.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

/// Text or bytes to replace by others of the same length.
pub type Swaps = Vec<(Vec<u8>, Vec<u8>)>;

/// State of the paths through a proxy.
#[derive(Default)]
pub struct Paths {
    /// While it is set, nothing passes.
    pub cut: AtomicBool,
    /// Connections that were opened before this number changed stay silent for good.
    pub generation: AtomicU64,
}

fn swap(bytes: &mut [u8], swaps: &Swaps) {
    let mut at = 0;
    while at < bytes.len() {
        let found = swaps.iter().find(|(from, _)| bytes[at..].starts_with(from));
        at += match found {
            Some((from, to)) => {
                bytes[at..at + to.len()].copy_from_slice(to);
                from.len()
            }
            None => 1,
        };
    }
}

/// Passes connections to an address on.
pub fn tcp(at: SocketAddr, to: SocketAddr, paths: &Arc<Paths>, up: &Swaps, down: &Swaps) {
    let listener = TcpListener::bind(at).expect("a free port");
    let (paths, up, down) = (paths.clone(), up.clone(), down.clone());
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let (paths, up, down) = (paths.clone(), up.clone(), down.clone());
            thread::spawn(move || {
                let generation = paths.generation.load(Ordering::Relaxed);
                // A new connection hangs while the path is cut.
                while paths.cut.load(Ordering::Relaxed) {
                    thread::sleep(Duration::from_millis(10));
                }
                let Ok(far) = TcpStream::connect(to) else {
                    return;
                };
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                let (Ok(near_2), Ok(far_2)) = (near.try_clone(), far.try_clone()) else {
                    return;
                };
                let other = paths.clone();
                thread::spawn(move || copy(far_2, near_2, &other, generation, &down));
                copy(near, far, &paths, generation, &up);
            });
        }
    });
}

fn copy(mut from: TcpStream, mut to: TcpStream, paths: &Paths, generation: u64, swaps: &Swaps) {
    let mut buffer = vec![0; 1 << 16];
    loop {
        let count = from.read(&mut buffer).unwrap_or(0);
        let is_silent = || paths.generation.load(Ordering::Relaxed) != generation;
        if is_silent() {
            // Takes the bytes and passes nothing on, not even the end.
            while count > 0 && from.read(&mut buffer).unwrap_or(0) > 0 {}
            thread::sleep(Duration::from_secs(3600));
        }
        while paths.cut.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(10));
        }
        swap(&mut buffer[..count], swaps);
        if count == 0 || to.write_all(&buffer[..count]).is_err() {
            let _ = to.shutdown(Shutdown::Write);
            return;
        }
    }
}

/// Address of an instance in the messages between instances.
fn encoded(address: SocketAddr) -> Vec<u8> {
    let port = address.port();
    let low = |n: u16| (n & 0x7f) as u8 | 0x80;
    vec![
        0,
        127,
        0,
        0,
        1,
        low(port),
        low(port >> 7),
        (port >> 14) as u8,
    ]
}

/// Puts a proxy around an instance: it knows the others, and they know it, by addresses of the proxy.
/// `own` and `others` hold pairs of the real address and the one of the proxy.
pub fn surround(
    own: (SocketAddr, SocketAddr),
    others: &[(SocketAddr, SocketAddr)],
    paths: &Arc<Paths>,
) {
    let none = Swaps::new();
    tcp(own.1, own.0, paths, &none, &none);
    for other in others {
        tcp(other.1, other.0, paths, &none, &none);
    }
    let pair = |(real, shown): &(SocketAddr, SocketAddr)| (encoded(*real), encoded(*shown));
    let inward: Swaps = others.iter().map(pair).collect();
    let back = |(from, to): &(Vec<u8>, Vec<u8>)| (to.clone(), from.clone());
    let mut outward: Swaps = inward.iter().map(back).collect();
    outward.push(pair(&own));
    let outer = Arc::new(UdpSocket::bind(own.1).expect("a free port"));
    let bind = |(real, shown): &(SocketAddr, SocketAddr)| {
        (
            *real,
            Arc::new(UdpSocket::bind(shown).expect("a free port")),
        )
    };
    let inner: Vec<(SocketAddr, Arc<UdpSocket>)> = others.iter().map(bind).collect();
    for (real, socket) in inner.clone() {
        let (outer, outward, paths) = (outer.clone(), outward.clone(), paths.clone());
        thread::spawn(move || {
            pass(&socket, &outward, &paths, |message, _| {
                let _ = outer.send_to(message, real);
            });
        });
    }
    let paths = paths.clone();
    thread::spawn(move || {
        pass(&outer, &inward, &paths, |message, sender| {
            let socket = inner.iter().find(|(real, _)| *real == sender);
            if let Some((_, socket)) = socket {
                let _ = socket.send_to(message, own.0);
            }
        });
    });
}

fn pass(socket: &UdpSocket, swaps: &Swaps, paths: &Paths, send: impl Fn(&[u8], SocketAddr)) {
    let mut buffer = vec![0; 1 << 16];
    loop {
        let Ok((count, sender)) = socket.recv_from(&mut buffer) else {
            continue;
        };
        if !paths.cut.load(Ordering::Relaxed) {
            swap(&mut buffer[..count], swaps);
            send(&buffer[..count], sender);
        }
    }
}

/// Returns the swaps of addresses as text, for what an instance writes to the store and reads there.
pub fn text_swaps(pairs: &[(SocketAddr, SocketAddr)]) -> Swaps {
    let text = |a: &SocketAddr| a.to_string().into_bytes();
    pairs.iter().map(|(a, b)| (text(a), text(b))).collect()
}
