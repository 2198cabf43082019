//! Datagram sockets of other processes that stop receiving.

use std::{
    fs, io,
    net::{Ipv4Addr, SocketAddr},
    os::fd::OwnedFd,
    process::Child,
};

use rustix::{
    net::{connect, connect_unspec},
    process::{Pid, PidfdFlags, PidfdGetfdFlags, pidfd_getfd, pidfd_open},
};

/// Address that sends nothing.
const SILENT: (Ipv4Addr, u16) = (Ipv4Addr::LOCALHOST, 9);

/// Lets the datagram socket of a process at an address receive nothing more. It is connected to an
/// address that is silent, and still sends to any address.
///
/// # Errors
///
/// Returns an error when the process has no such socket or may not be inspected.
pub fn cut(process: &Child, address: SocketAddr) -> io::Result<OwnedFd> {
    let target = format!("socket:[{}]", inode(address)?);
    let files = fs::read_dir(format!("/proc/{}/fd", process.id()))?;
    let number = files.flatten().find_map(|file| {
        let is_socket = fs::read_link(file.path()).is_ok_and(|t| t.as_os_str() == &*target);
        let name = file.file_name();
        is_socket.then(|| name.to_str()?.parse().ok()).flatten()
    });
    let number = number.ok_or(io::ErrorKind::NotFound)?;
    let process = pidfd_open(Pid::from_child(process), PidfdFlags::empty())?;
    let socket = pidfd_getfd(process, number, PidfdGetfdFlags::empty())?;
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

/// Returns the inode of the datagram socket that is bound to an address.
fn inode(address: SocketAddr) -> io::Result<String> {
    let SocketAddr::V4(address) = address else {
        return Err(io::ErrorKind::Unsupported.into());
    };
    let host = u32::from_ne_bytes(address.ip().octets());
    let local = format!("{host:08X}:{:04X}", address.port());
    let table = fs::read_to_string("/proc/net/udp")?;
    let mut sockets = table.lines().map(|line| line.split_whitespace());
    let fields = sockets.find(|fields| fields.clone().nth(1) == Some(&*local));
    let inode = fields.and_then(|mut fields| fields.nth(9));
    Ok(inode.ok_or(io::ErrorKind::NotFound)?.to_owned())
}
