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
/// Number of ports that a test program has for itself.
const BLOCK_PORTS: u16 = 250;
/// Number of such blocks in the range.
const BLOCKS: u16 = 80;
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

/// Returns a loopback address whose port is free at this moment.
///
/// A port is not bound when its process starts, so a program that ran beside this one could take it.
pub fn free_address() -> SocketAddr {
    static BLOCK: Mutex<Option<Block>> = Mutex::new(None);
    let mut block = BLOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let block = block.get_or_insert_with(Block::take);
    loop {
        let port = block.first + block.next % BLOCK_PORTS;
        block.next = block.next.wrapping_add(1);
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return ([127, 0, 0, 1], port).into();
        }
    }
}
