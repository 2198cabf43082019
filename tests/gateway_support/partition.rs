//! Link between instances and a worker that can be cut for single processes.

use std::{
    fs,
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use rustix::net::{
    AddressFamily, RecvFlags, SendFlags, SocketType, connect_unspec, netlink, recv, send, socket,
    sockopt::{set_socket_linger, set_socket_recv_buffer_size, set_socket_send_buffer_size},
};

/// Size of the forwarding buffer.
const BUFFER_BYTES: usize = 16 << 10;
/// Size of the buffers of the kernel for the way to a worker. A link that held a whole upload would hide
/// that its worker has not read it.
const HELD_BYTES: usize = 64 << 10;
/// Constants of the kernel's interface for questions about sockets.
const SOCK_DIAG_BY_FAMILY: u16 = 20;
const NLM_F_REQUEST: u16 = 1;
const AF_INET: u8 = 2;
const IPPROTO_TCP: u8 = 6;
/// Interval at which the state of a silent connection is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// How the connections of a process to a worker are cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    /// Open and new connections carry no bytes.
    Hang,
    /// Open and new connections are reset.
    Reset,
    /// Open connections go on, new ones are reset.
    Refuse,
}

/// Forwards connections to a worker, except for those of the processes that are cut off.
pub struct Partition {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    to: SocketAddr,
    cuts: Mutex<Vec<(u32, Cut)>>,
    open: Mutex<Vec<(u32, TcpStream)>>,
}

impl Partition {
    /// Starts a link to a worker.
    pub fn new(to: SocketAddr) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
        set_socket_recv_buffer_size(&listener, HELD_BYTES).unwrap();
        let address = listener.local_addr().unwrap();
        let shared = Arc::new(Shared {
            to,
            cuts: Mutex::default(),
            open: Mutex::default(),
        });
        let acceptor = shared.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let shared = acceptor.clone();
                thread::spawn(move || shared.accept(client));
            }
        });
        Self { address, shared }
    }

    /// Cuts the connections of a process.
    pub fn cut(&self, process: u32, how: Cut) {
        self.shared.cuts.lock().unwrap().push((process, how));
        if how == Cut::Reset {
            let open = self.shared.open.lock().unwrap();
            for (_, client) in open.iter().filter(|(p, _)| *p == process) {
                reset(client);
            }
        }
    }

    /// Lets the connections of all processes work again.
    pub fn heal(&self) {
        self.shared.cuts.lock().unwrap().clear();
    }
}

impl Shared {
    fn cut_of(&self, process: u32) -> Option<Cut> {
        let cuts = self.cuts.lock().unwrap();
        cuts.iter().find(|(p, _)| *p == process).map(|(_, c)| *c)
    }

    fn accept(self: Arc<Self>, client: TcpStream) -> io::Result<()> {
        let port = client.peer_addr()?.port();
        let process = owner(port, client.local_addr()?.port());
        if let Some(Cut::Reset | Cut::Refuse) = self.cut_of(process) {
            reset(&client);
            return Ok(());
        }
        let server = TcpStream::connect(self.to)?;
        set_socket_send_buffer_size(&server, HELD_BYTES)?;
        client.set_nodelay(true)?;
        server.set_nodelay(true)?;
        self.open
            .lock()
            .unwrap()
            .push((process, client.try_clone()?));
        let (client_out, server_out) = (client.try_clone()?, server.try_clone()?);
        let reverse = self.clone();
        let failed = Arc::new(AtomicBool::default());
        let also = failed.clone();
        thread::spawn(move || self.forward(process, client, server_out, &also));
        reverse.forward(process, server, client_out, &failed);
        Ok(())
    }

    /// Passes on bytes until one of the ends closes its connection or resets it. A failed write, which takes
    /// the error of a reset from the socket, is recorded for the other direction.
    fn forward(&self, process: u32, mut from: TcpStream, mut to: TcpStream, failed: &AtomicBool) {
        let mut buffer = vec![0; BUFFER_BYTES];
        let is_reset = loop {
            let count = match from.read(&mut buffer) {
                Ok(0) => {
                    thread::sleep(POLL_INTERVAL);
                    break failed.load(Ordering::SeqCst);
                }
                Ok(count) => count,
                Err(_) => break true,
            };
            while self.cut_of(process) == Some(Cut::Hang) {
                thread::sleep(POLL_INTERVAL);
            }
            if to.write_all(&buffer[..count]).is_err() {
                failed.store(true, Ordering::SeqCst);
                let _ = connect_unspec(&from);
                break true;
            }
        };
        if is_reset {
            // Resets the connection, also while other handles of it are open.
            let _ = connect_unspec(&to);
        }
        let _ = from.shutdown(Shutdown::Both);
        let _ = to.shutdown(Shutdown::Both);
    }
}

fn reset(stream: &TcpStream) {
    let _ = set_socket_linger(stream, Some(Duration::ZERO));
    let _ = stream.shutdown(Shutdown::Both);
}

/// Returns the child process that has a connection from a local port, or 0.
fn owner(port: u16, peer: u16) -> u32 {
    let Ok(inode) = inode(port, peer) else {
        return 0;
    };
    let target = format!("socket:[{inode}]");
    let mut children = String::new();
    for task in fs::read_dir("/proc/self/task")
        .into_iter()
        .flatten()
        .flatten()
    {
        let listed = fs::read_to_string(task.path().join("children"));
        children.push_str(&format!(" {}", listed.unwrap_or_default()));
    }
    let mut children = children.split_whitespace().filter_map(|c| c.parse().ok());
    children.find(|c| has_file(*c, &target)).unwrap_or_default()
}

/// Returns whether a process has a file open, by the target of its link under `/proc`.
fn has_file(process: u32, target: &str) -> bool {
    let files = fs::read_dir(format!("/proc/{process}/fd"));
    let mut files = files.into_iter().flatten().flatten();
    files.any(|f| fs::read_link(f.path()).is_ok_and(|l| l.as_os_str() == target))
}

/// Returns the inode of a local socket with these ports, as the kernel finds it. The table of all sockets
/// takes seconds to read beside other tests.
fn inode(port: u16, peer: u16) -> io::Result<u32> {
    let socket = socket(
        AddressFamily::NETLINK,
        SocketType::RAW,
        Some(netlink::SOCK_DIAG),
    )?;
    let mut address = [0; 16];
    address[..4].copy_from_slice(&[127, 0, 0, 1]);
    let mut request = Vec::new();
    request.extend(72u32.to_ne_bytes());
    request.extend(SOCK_DIAG_BY_FAMILY.to_ne_bytes());
    request.extend(NLM_F_REQUEST.to_ne_bytes());
    request.extend([0; 8]);
    request.extend([AF_INET, IPPROTO_TCP, 0, 0]);
    request.extend([0xff; 4]);
    request.extend(port.to_be_bytes());
    request.extend(peer.to_be_bytes());
    request.extend(address);
    request.extend(address);
    request.extend([0; 4]);
    request.extend([0xff; 8]);
    send(&socket, &request, SendFlags::empty())?;
    let mut answer = [0u8; 1024];
    recv(&socket, &mut answer[..], RecvFlags::empty())?;
    if answer[4..6] != SOCK_DIAG_BY_FAMILY.to_ne_bytes() {
        return Err(io::ErrorKind::NotFound.into());
    }
    let inode = [answer[84], answer[85], answer[86], answer[87]];
    Ok(u32::from_ne_bytes(inode))
}
