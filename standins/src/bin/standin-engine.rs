//! Runs a stand-in for a model engine or a plain service.

use std::time::{Duration, Instant};

use async_io::Timer;
use async_signal::{Signal, Signals};
use clap::Parser;
use futures::StreamExt;
use standins::{
    engine::{Engine, Options},
    host, register,
};

/// Interval at which the number of running streams is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

fn main() -> anyhow::Result<()> {
    env_logger::init();
    let options = Options::parse();
    let listener = host::listen(options.address)?;
    host::block_on(async {
        let engine = Engine::new(options);
        let mut signals = Signals::new([Signal::Term, Signal::Int])?;
        let host = host::serve(listener, engine.clone())?;
        register::register(&engine, host.address, "live").await;
        host::announce(&host);
        signals.next().await;
        engine.leave();
        register::register(&engine, host.address, "leaving").await;
        drain(&engine).await;
        Ok(())
    })
}

/// Waits for the running streams, up to the time limit.
async fn drain(engine: &Engine) {
    let deadline = Instant::now() + Duration::from_millis(engine.options.leave_ms);
    while Instant::now() < deadline && is_busy(engine) {
        Timer::after(POLL_INTERVAL).await;
    }
}

fn is_busy(engine: &Engine) -> bool {
    let state = engine.lock();
    state.queue.running() + state.queue.waiting() > 0
}
