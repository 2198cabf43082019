//! Runs a stand-in: threads, listener, and the line with its address on standard output.

use std::{net::SocketAddr, net::TcpListener};

use anyhow::Context;
use async_global_executor::GlobalExecutorConfig;
use trillium::Handler;
use trillium_server_common::ServerHandle;

/// Threads of a stand-in. The number is low because many stand-ins run on one machine.
const THREADS: usize = 2;

/// A running stand-in.
#[derive(Debug)]
pub struct Host {
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Server.
    pub server: ServerHandle,
}

/// Starts the threads of the process and runs a future on them.
pub fn block_on<T>(future: impl Future<Output = T>) -> T {
    let config = GlobalExecutorConfig::default()
        .with_min_threads(THREADS)
        .with_max_threads(THREADS);
    async_global_executor::init_with_config(config);
    async_global_executor::block_on(future)
}

/// Opens a listener; port 0 selects a free port.
///
/// # Errors
///
/// Returns an error when the address cannot be used.
pub fn listen(address: SocketAddr) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address).with_context(|| format!("cannot listen on {address}"))
}

/// Starts a server on an open listener.
///
/// # Errors
///
/// Returns an error when the listener cannot be used.
pub fn serve(listener: TcpListener, handler: impl Handler) -> anyhow::Result<Host> {
    let address = listener.local_addr()?;
    listener.set_nonblocking(true)?;
    let listener = smol::net::TcpListener::try_from(listener)?;
    let server = trillium_smol::config()
        .without_signals()
        .with_nodelay()
        .with_max_connections(None)
        .with_prebound_server(listener)
        .spawn(handler);
    Ok(Host { address, server })
}

/// Prints the address of a running stand-in and waits until it ends.
pub async fn wait(host: Host) {
    announce(&host);
    host.server.await;
}

/// Prints the address of a running stand-in.
pub fn announce(host: &Host) {
    println!("listening on {}", host.address);
}
