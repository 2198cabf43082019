//! Links between instances that can be cut. The instances behind the link know each other by addresses of the
//! link, which replaces them in the datagrams that it passes on.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// The links of one instance, `inner`, to all others.
pub struct Link {
    cut: Arc<AtomicBool>,
    /// Address of the inner instance for the others.
    pub inner: SocketAddr,
    /// Addresses of the others for the inner instance, in their order.
    pub outer: Vec<SocketAddr>,
}

impl Link {
    pub fn start(inner: SocketAddr, others: &[SocketAddr]) -> Self {
        let cut = Arc::new(AtomicBool::new(false));
        let bind = || loop {
            let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
            let address = socket.local_addr().expect("an address");
            if let Ok(listener) = TcpListener::bind(address) {
                return (socket, listener, address);
            }
        };
        let (inner_socket, inner_listener, inner_front) = bind();
        pass_connections(inner_listener, inner, cut.clone());
        let mut to_inner = Vec::new();
        let mut outer = Vec::new();
        for other in others {
            let (socket, listener, front) = bind();
            pass_connections(listener, *other, cut.clone());
            to_inner.push((*other, front, socket));
            outer.push(front);
        }
        // From the inner instance to one of the others.
        for (other, _, socket) in &to_inner {
            let (socket, back, cut) = (
                socket.try_clone().expect("a socket"),
                inner_socket.try_clone().expect("a socket"),
                cut.clone(),
            );
            let other = *other;
            thread::spawn(move || {
                let mut buffer = vec![0; 64 << 10];
                while let Ok((count, _)) = socket.recv_from(&mut buffer) {
                    if cut.load(Ordering::Relaxed) {
                        continue;
                    }
                    let mut message = buffer[..count].to_vec();
                    replace(&mut message, inner, inner_front);
                    let _ = back.send_to(&message, other);
                }
            });
        }
        // From one of the others to the inner instance.
        let also = cut.clone();
        thread::spawn(move || {
            let mut buffer = vec![0; 64 << 10];
            while let Ok((count, from)) = inner_socket.recv_from(&mut buffer) {
                if also.load(Ordering::Relaxed) {
                    continue;
                }
                let mut message = buffer[..count].to_vec();
                for (other, front, _) in &to_inner {
                    replace(&mut message, *other, *front);
                }
                replace(&mut message, inner_front, inner);
                let link = to_inner.iter().find(|(other, ..)| *other == from);
                if let Some((_, _, socket)) = link {
                    let _ = socket.send_to(&message, inner);
                }
            }
        });
        Self {
            cut,
            inner: inner_front,
            outer,
        }
    }

    /// Cuts the links silently, or heals them.
    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::Relaxed);
    }
}

/// Replaces an address in the form that instances send it: 0, the four bytes of the number, and the port in
/// groups of seven bits.
fn replace(message: &mut [u8], from: SocketAddr, to: SocketAddr) {
    let (from, to) = (encode(from), encode(to));
    assert_eq!(from.len(), to.len(), "ports of other lengths");
    let mut at = 0;
    while at + from.len() <= message.len() {
        if message[at..].starts_with(&from) {
            message[at..at + to.len()].copy_from_slice(&to);
            at += to.len();
        } else {
            at += 1;
        }
    }
}

fn encode(address: SocketAddr) -> Vec<u8> {
    let SocketAddr::V4(v4) = address else {
        panic!("no IPv4 address");
    };
    let mut bytes = vec![0];
    bytes.extend(v4.ip().octets());
    let mut port = v4.port();
    while port >= 128 {
        bytes.push((port & 127) as u8 | 128);
        port >>= 7;
    }
    bytes.push(port as u8);
    bytes
}

fn pass_connections(listener: TcpListener, to: SocketAddr, cut: Arc<AtomicBool>) {
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let cut = cut.clone();
            thread::spawn(move || {
                // A connection that is opened during a cut stays without an answer.
                wait_while(&cut);
                let Ok(server) = TcpStream::connect(to) else {
                    return;
                };
                let _ = (client.set_nodelay(true), server.set_nodelay(true));
                let (Ok(client_copy), Ok(server_copy)) = (client.try_clone(), server.try_clone())
                else {
                    return;
                };
                let also = cut.clone();
                thread::spawn(move || pass(client_copy, server, &also));
                pass(server_copy, client, &cut);
            });
        }
    });
}

fn wait_while(cut: &AtomicBool) {
    while cut.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(10));
    }
}

fn pass(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool) {
    let mut buffer = vec![0; 16 << 10];
    while let Ok(count @ 1..) = from.read(&mut buffer) {
        wait_while(cut);
        if to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    wait_while(cut);
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
