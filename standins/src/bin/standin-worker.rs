//! Runs a stand-in for a worker of the users' platform.

use std::{thread, time::Duration};

use async_signal::{Signal, Signals};
use clap::Parser;
use futures::StreamExt;
use standins::{
    gateway_worker::{Options, Worker},
    host,
};

fn main() -> anyhow::Result<()> {
    let options = Options::parse();
    let drain = Duration::from_millis(options.drain_ms);
    let listener = host::listen(options.address)?;
    let address = listener.local_addr()?;
    let worker = Worker::new(options)?;
    let mut signals = Signals::new([Signal::Term, Signal::Usr1])?;
    worker.clone().serve(listener);
    println!("listening on {address}");
    let signal = async_io::block_on(signals.next()).transpose()?;
    if signal == Some(Signal::Term) {
        worker.leave();
        thread::sleep(drain);
    }
    worker.end();
    Ok(())
}
