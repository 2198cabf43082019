//! Notices that the process stood still, and reads the list of workers again before further requests are
//! sent.

use std::{sync::Arc, time::Duration};

use async_io::Timer;
use smol::channel::{Receiver, Sender, bounded};

use crate::{
    adapter::{objects, store::Freshness},
    clock, event,
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

/// Time between two signs that the process runs from which on it counts as a pause.
const MIN_PAUSE: Duration = Duration::from_millis(200);
/// Time after a pause in which calls are read that came meanwhile.
const BACKLOG_TIME: Duration = Duration::from_secs(1);

/// Signs that the process runs. All times are in ms since the Unix epoch, by a clock that also counts while
/// the machine is suspended.
#[derive(Debug, Default)]
pub struct Pulse {
    last: Option<u64>,
    pause: Option<Pause>,
    /// Whether the process stood still and the list has not been read since.
    stale: bool,
    /// Closed when the list has been read after the last pause.
    reading: Option<Receiver<()>>,
}

/// The last pauses of the process, with less time between two of them than their backlog takes.
#[derive(Debug, Clone, Copy)]
struct Pause {
    from: u64,
    until: u64,
}

/// Checks that the process runs, forever.
pub async fn run(gateway: Arc<Gateway>) {
    loop {
        lock(&gateway.pulse).beat(clock::steady_millis());
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
    pub fn beat(&mut self, now: u64) {
        let last = self.last.replace(now).unwrap_or(now);
        let gap = Duration::from_millis(now.saturating_sub(last));
        self.stale |= gap > MAX_PAUSE;
        if gap > MIN_PAUSE {
            let earlier = self.pause.filter(|p| last < p.backlog_end());
            self.pause = Some(Pause {
                from: earlier.map_or(last, |p| p.from),
                until: now,
            });
        }
    }

    /// Returns the earliest time at which a call may have come that is read at a time.
    pub fn arrival(&self, read: u64) -> u64 {
        let pause = self.pause.filter(|p| read < p.backlog_end());
        pause.map_or(read, |p| p.from.min(read))
    }
}

impl Pause {
    fn backlog_end(self) -> u64 {
        self.until.saturating_add(BACKLOG_TIME.as_millis() as u64)
    }
}

/// Starts to read the list if the process stood still, and returns the read that has not ended.
fn reading(gateway: &Arc<Gateway>) -> Option<Receiver<()>> {
    let mut pulse = lock(&gateway.pulse);
    pulse.beat(clock::steady_millis());
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
