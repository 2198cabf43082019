//! Sockets of other processes that stop receiving, from all senders or from one.

use std::{
    fs, io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    os::fd::{AsFd, OwnedFd},
    process::Child,
};

use rustix::{
    net::{
        AddressFamily, SocketFlags, SocketType, bind, connect, connect_unspec, listen, socket_with,
        sockopt::{set_socket_reuseaddr, set_socket_reuseport},
    },
    process::{Pid, PidfdFlags, PidfdGetfdFlags, pidfd_getfd, pidfd_open},
};

/// Address that sends nothing.
const SILENT: (Ipv4Addr, u16) = (Ipv4Addr::LOCALHOST, 9);
/// Remote address of sockets without one, in the tables of the kernel.
const NO_PEER: &str = "00000000:0000";
/// Connections that may wait to be accepted.
const BACKLOG: i32 = 128;

/// Kind of a socket, with the table of the kernel that lists it.
#[derive(Debug, Clone, Copy)]
pub enum Kind {
    Datagram,
    Stream,
}

impl Kind {
    fn table(self) -> &'static str {
        match self {
            Self::Datagram => "/proc/net/udp",
            Self::Stream => "/proc/net/tcp",
        }
    }
}

/// Lets the datagram socket of a process at an address receive nothing more. It is connected to an
/// address that is silent, and still sends to any address.
///
/// # Errors
///
/// Returns an error when the process has no such socket or may not be inspected.
pub fn cut(process: &Child, address: SocketAddr) -> io::Result<OwnedFd> {
    let socket = find(process, Kind::Datagram, address)?;
    connect(&socket, &SocketAddr::from(SILENT))?;
    Ok(socket)
}

/// Lets a socket receive from all addresses again.
///
/// # Errors
///
/// Returns an error when the socket cannot be disconnected.
pub fn mend(socket: OwnedFd) -> io::Result<()> {
    Ok(connect_unspec(&socket)?)
}

/// Lets a datagram socket at an address receive nothing from one sender until the returned socket is
/// closed. That one is bound to the same address and connected to the sender, so that the kernel
/// prefers it for the sender's datagrams. They are not read.
///
/// # Errors
///
/// Returns an error when the address cannot be shared.
pub fn block(receiver: impl AsFd, address: SocketAddr, sender: SocketAddr) -> io::Result<OwnedFd> {
    set_socket_reuseaddr(receiver, true)?;
    let socket = open(SocketType::DGRAM)?;
    set_socket_reuseaddr(&socket, true)?;
    bind(&socket, &local(address))?;
    connect(&socket, &local(sender))?;
    Ok(socket)
}

/// Listens for the connections to a listener that is bound to all addresses of the machine. The
/// kernel prefers the listener with the narrower address.
///
/// # Errors
///
/// Returns an error when the port cannot be shared.
pub fn intercept(receiver: impl AsFd, address: SocketAddr) -> io::Result<TcpListener> {
    set_socket_reuseport(receiver, true)?;
    let socket = open(SocketType::STREAM)?;
    set_socket_reuseaddr(&socket, true)?;
    set_socket_reuseport(&socket, true)?;
    bind(&socket, &local(address))?;
    listen(&socket, BACKLOG)?;
    Ok(socket.into())
}

/// Opens a socket. Processes that start later do not inherit it, so that it ends when it is closed here.
fn open(kind: SocketType) -> io::Result<OwnedFd> {
    Ok(socket_with(
        AddressFamily::INET,
        kind,
        SocketFlags::CLOEXEC,
        None,
    )?)
}

/// Returns the socket of a process that is bound to an address.
///
/// # Errors
///
/// Returns an error when the process has no such socket or may not be inspected.
pub fn find(process: &Child, kind: Kind, address: SocketAddr) -> io::Result<OwnedFd> {
    let inode = inode(kind, address, None)?.ok_or(io::ErrorKind::NotFound)?;
    let target = format!("socket:[{inode}]");
    let files = fs::read_dir(format!("/proc/{}/fd", process.id()))?;
    let number = files.flatten().find_map(|file| {
        let is_socket = fs::read_link(file.path()).is_ok_and(|t| t.as_os_str() == &*target);
        let name = file.file_name();
        is_socket.then(|| name.to_str()?.parse().ok()).flatten()
    });
    let number = number.ok_or(io::ErrorKind::NotFound)?;
    let process = pidfd_open(Pid::from_child(process), PidfdFlags::empty())?;
    Ok(pidfd_getfd(process, number, PidfdGetfdFlags::empty())?)
}

/// Returns the loopback address with the port of another one.
fn local(address: SocketAddr) -> SocketAddr {
    (Ipv4Addr::LOCALHOST, address.port()).into()
}

/// Returns the inode of a socket by its local and remote address, if there is one.
///
/// # Errors
///
/// Returns an error when the table of the kernel cannot be read.
pub fn inode(
    kind: Kind,
    local: SocketAddr,
    remote: Option<SocketAddr>,
) -> io::Result<Option<String>> {
    let remote = remote.and_then(hex).unwrap_or_else(|| NO_PEER.into());
    let local = hex(local).ok_or(io::ErrorKind::Unsupported)?;
    // The table is searched as text, as it lists all sockets of the machine.
    let table = fs::read_to_string(kind.table())?;
    let rest = table.split_once(&format!(" {local} {remote} "));
    let inode = rest.and_then(|(_, rest)| rest.split_whitespace().nth(6));
    Ok(inode.map(str::to_owned))
}

/// Returns an address as the tables of the kernel have it.
fn hex(address: SocketAddr) -> Option<String> {
    let SocketAddr::V4(address) = address else {
        return None;
    };
    let host = u32::from_ne_bytes(address.ip().octets());
    Some(format!("{host:08X}:{:04X}", address.port()))
}
