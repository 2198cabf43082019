//! Runs a stand-in for the platform.

use clap::Parser;
use standins::{
    host,
    platform::{Options, Platform},
};

fn main() -> anyhow::Result<()> {
    env_logger::init();
    let options = Options::parse();
    let listener = host::listen(options.address)?;
    host::block_on(async {
        host::wait(host::serve(listener, Platform::new(options))?).await;
        Ok(())
    })
}
