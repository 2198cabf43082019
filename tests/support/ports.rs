//! Free ports for processes and servers of tests.

use std::{
    fs::File,
    net::{SocketAddr, TcpListener},
    sync::{Mutex, PoisonError},
    thread,
    time::Duration,
};

/// First port of the range. Outgoing connections take ports from 32,768 on, and could take one before it
/// is used.
const FIRST_PORT: u16 = 12_000;
/// Number of ports that a test program has for itself; the largest soak takes four for each of 110
/// instances.
const BLOCK_PORTS: u16 = 800;
/// Number of such blocks in the range.
const BLOCKS: u16 = 25;
/// Pause while other test programs use all blocks.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Ports that no other test program uses at the same time.
struct Block {
    first: u16,
    next: u16,
    /// Locked for as long as this program runs.
    _lock: File,
}

impl Block {
    fn take() -> Self {
        let folder = std::env::temp_dir().join("gentianpath-test-ports");
        std::fs::create_dir_all(&folder).unwrap();
        let start = std::process::id() as u16 % BLOCKS;
        loop {
            for number in (0..BLOCKS).map(|n| (start + n) % BLOCKS) {
                let lock = File::create(folder.join(number.to_string())).unwrap();
                if lock.try_lock().is_ok() {
                    return Self {
                        first: FIRST_PORT + number * BLOCK_PORTS,
                        next: 0,
                        _lock: lock,
                    };
                }
            }
            thread::sleep(RETRY_PAUSE);
        }
    }
}

/// Returns a loopback address that is free at this moment and that no earlier call returned.
///
/// A port is not bound when its process starts, so a program that ran beside this one could take it.
/// Addresses are not reused, because callers may still connect to those of processes that have ended.
///
/// # Panics
///
/// Panics when all addresses have been returned.
pub fn free_address() -> SocketAddr {
    static BLOCK: Mutex<Option<Block>> = Mutex::new(None);
    let mut block = BLOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let block = block.get_or_insert_with(Block::take);
    loop {
        let port = block.first + block.next % BLOCK_PORTS;
        // Once all ports have been used, the next loopback host provides them again.
        let host = u8::try_from(block.next / BLOCK_PORTS).unwrap();
        block.next = block.next.checked_add(1).unwrap();
        let address = SocketAddr::from(([127, 0, host, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// Listens on a loopback address that no earlier call returned.
pub fn listen() -> TcpListener {
    // Retries, since a child process that another thread is starting holds a copy of the socket that
    // `free_address` has bound until it executes its program.
    loop {
        if let Ok(listener) = TcpListener::bind(free_address()) {
            return listener;
        }
    }
}
