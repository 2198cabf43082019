//! State of TCP sockets that the kernel tells of.

use std::{
    io,
    net::{IpAddr, SocketAddr},
};

use rustix::net::{
    AddressFamily, RecvFlags, SendFlags, SocketType, netlink, recv, send, socket, sockopt,
};
use smol::net::TcpStream;

/// Constants of the kernel's interface for questions about sockets, see `sock_diag(7)`.
const SOCK_DIAG_BY_FAMILY: u16 = 20;
const NLM_F_REQUEST: u16 = 1;
const AF_INET: u8 = 2;
const AF_INET6: u8 = 10;
const IPPROTO_TCP: u8 = 6;
/// Sizes of the headers of a message, of a question and of an address.
const HEAD_BYTES: usize = 16;
const QUESTION_BYTES: u32 = 72;
const ADDRESS_BYTES: usize = 16;
/// Position of the number of bytes in the send queue in an answer: the head of the message, 4 bytes, the
/// identity of the socket (48 bytes), and two fields of 4 bytes.
const SEND_QUEUE_AT: usize = HEAD_BYTES + 4 + 48 + 8;
const ANSWER_BYTES: usize = 1024;

/// Returns whether the peer reset the connection, possibly after it had closed its direction.
pub fn is_reset(stream: &TcpStream) -> bool {
    matches!(sockopt::socket_error(stream), Ok(Err(_)))
}

/// Returns the number of written bytes that the kernel of the peer has not acknowledged.
///
/// The end of the peer's direction comes with an acknowledgement of all bytes that arrived before it, so
/// bytes that are unacknowledged at that end were not read before it.
///
/// # Errors
///
/// Returns an error when the kernel does not tell, which says nothing about the connection.
pub fn unacknowledged(stream: &TcpStream) -> io::Result<u64> {
    let (local, peer) = (stream.local_addr()?, stream.peer_addr()?);
    let kernel = socket(
        AddressFamily::NETLINK,
        SocketType::RAW,
        Some(netlink::SOCK_DIAG),
    )?;
    send(&kernel, &question(local, peer), SendFlags::empty())?;
    let mut answer = [0; ANSWER_BYTES];
    let (count, _) = recv(&kernel, &mut answer[..], RecvFlags::DONTWAIT)?;
    send_queue(&answer[..count]).ok_or_else(|| io::ErrorKind::NotFound.into())
}

/// Builds the question about the socket with two addresses.
fn question(local: SocketAddr, peer: SocketAddr) -> Vec<u8> {
    let family = if local.is_ipv4() { AF_INET } else { AF_INET6 };
    let mut question = Vec::new();
    question.extend(QUESTION_BYTES.to_ne_bytes());
    question.extend(SOCK_DIAG_BY_FAMILY.to_ne_bytes());
    question.extend(NLM_F_REQUEST.to_ne_bytes());
    question.extend([0; 8]);
    question.extend([family, IPPROTO_TCP, 0, 0]);
    // All states.
    question.extend([0xff; 4]);
    question.extend(local.port().to_be_bytes());
    question.extend(peer.port().to_be_bytes());
    question.extend(padded(local.ip()));
    question.extend(padded(peer.ip()));
    // Any interface, and no cookie.
    question.extend([0; 4]);
    question.extend([0xff; 8]);
    question
}

fn padded(address: IpAddr) -> [u8; ADDRESS_BYTES] {
    match address {
        IpAddr::V4(v4) => {
            let mut bytes = [0; ADDRESS_BYTES];
            bytes[..4].copy_from_slice(&v4.octets());
            bytes
        }
        IpAddr::V6(v6) => v6.octets(),
    }
}

fn send_queue(answer: &[u8]) -> Option<u64> {
    let kind = answer.get(4..6)?;
    if kind != SOCK_DIAG_BY_FAMILY.to_ne_bytes() {
        return None;
    }
    let bytes = answer.get(SEND_QUEUE_AT..SEND_QUEUE_AT + 4)?;
    let queued = u32::from_ne_bytes(bytes.try_into().ok()?);
    Some(queued.into())
}
