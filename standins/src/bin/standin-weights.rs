//! Runs a stand-in for the weight store.

use clap::Parser;
use standins::{
    host,
    weights::{Options, Weights},
};

fn main() -> anyhow::Result<()> {
    env_logger::init();
    let options = Options::parse();
    let listener = host::listen(options.address)?;
    host::block_on(async {
        host::wait(host::serve(listener, Weights::new(options))?).await;
        Ok(())
    })
}
