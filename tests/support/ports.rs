//! Free ports for processes and servers of tests.

use std::{
    net::{SocketAddr, TcpListener},
    sync::atomic::{AtomicU32, Ordering},
};

/// First port of the range.
const FIRST_PORT: u16 = 12_000;
/// Number of ports in the range.
const PORTS: u32 = 20_000;

/// Ports between the first ports of processes with consecutive ids, so that test programs that are
/// started one after the other do not choose the same ports at the same time.
const STRIDE: u32 = 613;

/// Returns a loopback address whose port is free at this moment.
pub fn free_address() -> SocketAddr {
    // Outgoing connections take ports from 32,768 on, and could take one before it is used.
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let next = std::process::id().wrapping_mul(STRIDE);
        let next = next.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        let port = FIRST_PORT + (next % PORTS) as u16;
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return ([127, 0, 0, 1], port).into();
        }
    }
}
