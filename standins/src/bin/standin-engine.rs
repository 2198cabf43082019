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

/// Time between two looks at the streams that still run.
const LOOK: Duration = Duration::from_millis(10);

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
        finish(&engine).await;
        Ok(())
    })
}

/// Waits for the running streams, within the bound.
async fn finish(engine: &Engine) {
    let deadline = Instant::now() + Duration::from_millis(engine.options.leave_ms);
    while Instant::now() < deadline && busy(engine) {
        Timer::after(LOOK).await;
    }
}

fn busy(engine: &Engine) -> bool {
    let state = engine.lock();
    state.line.running() + state.line.waiting() > 0
}
