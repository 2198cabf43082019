//! Reads the list of workers again after the process stood still, before further requests are sent.

use std::{sync::Arc, time::Duration};

use async_io::Timer;
use smol::channel::{Receiver, Sender, bounded};

use crate::{
    adapter::{objects, store::Freshness},
    event,
    mutex::lock,
};

use super::{
    gateway::Gateway,
    sync::{self, Kind},
    write_gate::MAX_PAUSE,
};

/// Interval at which the process checks that it runs.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which requests wait for the list.
const READ_LIMIT: Duration = Duration::from_millis(500);

/// Last sign that the process runs.
#[derive(Debug, Default)]
pub struct Pulse {
    last: Duration,
    /// Whether the process stood still and the list has not been read since.
    stale: bool,
    /// Closed when the list has been read after the last pause.
    reading: Option<Receiver<()>>,
}

/// Checks that the process runs, forever.
pub async fn run(gateway: Arc<Gateway>) {
    loop {
        lock(&gateway.pulse).beat(gateway.now());
        Timer::after(CHECK_INTERVAL).await;
    }
}

/// Waits for a short time until the list is known if the process stood still. What it missed can still
/// be in the buffers of its sockets.
pub async fn wait(gateway: &Arc<Gateway>) {
    let Some(reading) = reading(gateway) else {
        return;
    };
    let limit = async {
        Timer::after(READ_LIMIT).await;
    };
    let read = async {
        let _ = reading.recv().await;
    };
    smol::future::or(read, limit).await;
}

impl Pulse {
    /// Records that the process runs.
    fn beat(&mut self, now: Duration) {
        self.stale |= now.saturating_sub(self.last) > MAX_PAUSE;
        self.last = now;
    }
}

/// Starts to read the list if the process stood still, and returns the read that has not ended.
fn reading(gateway: &Arc<Gateway>) -> Option<Receiver<()>> {
    let mut pulse = lock(&gateway.pulse);
    pulse.beat(gateway.now());
    if std::mem::take(&mut pulse.stale) {
        let (reading, done): (Sender<()>, Receiver<()>) = bounded(1);
        pulse.reading = Some(done);
        let gateway = gateway.clone();
        smol::spawn(async move {
            read(&gateway).await;
            drop(reading);
        })
        .detach();
    }
    pulse.reading.clone().filter(|r| !r.is_closed())
}

async fn read(gateway: &Gateway) {
    match gateway
        .store
        .list(objects::WORKERS, Freshness::Latest)
        .await
    {
        Ok((objects, revision)) => {
            let now = gateway.now();
            gateway.views().workers.replace(objects, revision, now);
            sync::publish(gateway, Kind::Workers);
        }
        Err(e) => event!(Warn, StoreCallFailed, "call=refresh-workers reason=\"{e}\""),
    }
}
