//! Client connections as over a network: with the segments of Ethernet and a small window. Loopback alone takes
//! megabytes into the buffers of the kernel.

use std::{
    io,
    net::{SocketAddr, TcpStream},
    os::fd::{FromRawFd, OwnedFd},
};

const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
const IPPROTO_TCP: i32 = 6;
const TCP_MAXSEG: i32 = 2;
const SEGMENT_BYTES: i32 = 1460;
const WINDOW_BYTES: i32 = 16 << 10;

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(socket: i32, address: *const u8, length: u32) -> i32;
}

pub fn open(address: SocketAddr) -> io::Result<TcpStream> {
    let SocketAddr::V4(v4) = address else {
        return Err(io::ErrorKind::Unsupported.into());
    };
    let mut raw = [0u8; 16];
    raw[..2].copy_from_slice(&(AF_INET as u16).to_ne_bytes());
    raw[2..4].copy_from_slice(&v4.port().to_be_bytes());
    raw[4..8].copy_from_slice(&v4.ip().octets());
    let check = |result: i32| match result {
        -1 => Err(io::Error::last_os_error()),
        other => Ok(other),
    };
    // SAFETY: the arguments are a socket that was just opened and buffers of the given lengths.
    unsafe {
        let number = check(socket(AF_INET, SOCK_STREAM, 0))?;
        let owned = OwnedFd::from_raw_fd(number);
        check(setsockopt(number, SOL_SOCKET, SO_RCVBUF, &WINDOW_BYTES, 4))?;
        check(setsockopt(
            number,
            IPPROTO_TCP,
            TCP_MAXSEG,
            &SEGMENT_BYTES,
            4,
        ))?;
        check(connect(number, raw.as_ptr(), 16))?;
        Ok(owned.into())
    }
}
