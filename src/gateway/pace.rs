//! Times at which an instance sends heartbeats (no I/O).

use std::time::Duration;

/// Heartbeat interval while nothing changes. Six intervals fit into the time after which an instance
/// counts as gone, so that the loss of a few heartbeats does not end its membership.
const IDLE_INTERVAL: Duration = Duration::from_millis(250);
/// Heartbeat interval to other zones, per instance there. Traffic between zones is charged, and
/// requests prefer workers of the local zone, so other zones may lag behind.
const FAR_INTERVAL_PER_PEER: Duration = Duration::from_millis(3);
/// Maximum heartbeat interval to other zones.
const MAX_FAR_INTERVAL: Duration = Duration::from_millis(240);
/// Maximum time that a heartbeat of another zone waits to be passed on with the next message.
const RELAY_INTERVAL: Duration = Duration::from_millis(100);

/// Decides when heartbeats are sent.
#[derive(Debug, Default)]
pub struct Pace {
    near_sent: Option<Duration>,
    far_sent: Option<Duration>,
    far_news: bool,
    outside: usize,
}

/// What a round has to send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct News {
    /// Whether the own heartbeat changed since the last round.
    pub changed: bool,
    /// Whether heartbeats of other zones wait to be passed on.
    pub relayed: bool,
}

/// Heartbeats that are due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Due {
    /// To the instances of the local zone.
    pub near: bool,
    /// To the relays of the other zones.
    pub far: bool,
}

impl Pace {
    /// Sets the number of instances outside the local zone.
    pub fn set_outside(&mut self, instances: usize) {
        self.outside = instances;
    }

    /// Returns the heartbeats to send now, and counts them as sent.
    pub fn round(&mut self, news: News, now: Duration) -> Due {
        self.far_news |= news.changed;
        let far_interval = self.far_interval();
        let is_due = |sent: Option<Duration>, interval| sent.is_none_or(|t| now >= t + interval);
        let near = news.changed || news.relayed || is_due(self.near_sent, IDLE_INTERVAL);
        let far = self.far_news && is_due(self.far_sent, far_interval);
        let far = far || is_due(self.far_sent, IDLE_INTERVAL.max(far_interval));
        if near {
            self.near_sent = Some(now);
        }
        if far {
            self.far_sent = Some(now);
            self.far_news = false;
        }
        Due { near, far }
    }

    /// Returns the time until the next round, if nothing is notified before. While there are other
    /// zones, their heartbeats may come to be passed on.
    pub fn pause(&self, now: Duration) -> Duration {
        let far_interval = if self.far_news {
            self.far_interval()
        } else {
            IDLE_INTERVAL.max(self.far_interval())
        };
        let left = |sent: Option<Duration>, interval: Duration| {
            sent.map_or(Duration::ZERO, |t| (t + interval).saturating_sub(now))
        };
        let due = left(self.near_sent, IDLE_INTERVAL).min(left(self.far_sent, far_interval));
        if self.outside > 0 {
            due.min(self.relay_interval())
        } else {
            due
        }
    }

    /// Returns the age that the levels of other zones may have.
    pub fn far_age(&self) -> Duration {
        self.far_interval() + self.relay_interval()
    }

    fn far_interval(&self) -> Duration {
        let count = u32::try_from(self.outside).unwrap_or(u32::MAX);
        FAR_INTERVAL_PER_PEER
            .saturating_mul(count)
            .min(MAX_FAR_INTERVAL)
    }

    fn relay_interval(&self) -> Duration {
        RELAY_INTERVAL.min(self.far_interval())
    }
}
