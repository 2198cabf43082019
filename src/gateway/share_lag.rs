//! Times since which other instances may have used earlier shares of the versions (no I/O).
//!
//! An instance that is cut off or stands still goes on with the shares that it knew. Which ones these
//! are follows from the last heartbeat with which it agreed with this instance. All times are in ms
//! since the Unix epoch, by the local clock, which does not step.

use crate::ids::{InstanceId, Map};

/// Time without a heartbeat after which an instance counts as removed.
const FORGOTTEN: u64 = 60_000;
/// Time for which the report of an instance holds.
const REPORT_KEPT: u64 = 2000;

/// What a heartbeat tells of the shares at its sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Heard {
    /// Whether the sender uses the same shares as this instance.
    pub agrees: bool,
    /// Time until which the sender used earlier shares, or 0.
    pub changed: u64,
    /// Time since which the sender has seen another instance lag.
    pub lagging: Option<u64>,
}

#[derive(Debug)]
struct Member {
    /// Time of the last heartbeat with the same shares, or 0.
    agreed: u64,
    heard: u64,
    lagging: Option<u64>,
}

/// A time in which some instance may have used earlier shares.
#[derive(Debug)]
struct Span {
    /// The last change of the shares before its end.
    change: u64,
    from: u64,
    until: u64,
}

/// What this instance has heard of the shares at the others.
#[derive(Debug, Default)]
pub struct Lag {
    members: Map<InstanceId, Member>,
    spans: Vec<Span>,
    /// Time of the last change of the shares here.
    change: Option<u64>,
}

impl Lag {
    /// Records that other shares came into use here.
    pub fn record_change(&mut self, now: u64) {
        self.change = Some(now);
    }

    /// Returns the time of the last change of the shares here.
    pub fn changed(&self) -> Option<u64> {
        self.change
    }

    /// Records a heartbeat.
    pub fn hear(&mut self, member: &InstanceId, heard: Heard, now: u64) {
        let known = self.members.get(member).map(|m| (m.agreed, m.lagging));
        let (agreed, lagging) = known.unwrap_or_default();
        match known {
            // What a new member used before is not known.
            None if heard.agrees => self.record_span(0, heard.changed),
            Some(_) if heard.agrees && (agreed == 0 || self.change >= Some(agreed)) => {
                self.record_span(agreed, now);
            }
            _ => {}
        }
        if let Some(since) = lagging
            && heard.lagging.is_none_or(|still| still > since)
        {
            self.record_span(since, now);
        }
        let state = Member {
            agreed: if heard.agrees { now } else { agreed },
            heard: now,
            lagging: heard.lagging,
        };
        self.members.insert(member.clone(), state);
    }

    /// Spans that end after the same change count as one.
    fn record_span(&mut self, from: u64, until: u64) {
        let change = self.change.unwrap_or_default();
        if let Some(span) = self.spans.iter_mut().find(|s| s.change == change) {
            span.from = span.from.min(from);
            span.until = span.until.max(until);
        } else {
            self.spans
                .retain(|s| until < s.until.saturating_add(FORGOTTEN));
            self.spans.push(Span {
                change,
                from,
                until,
            });
        }
    }

    /// Returns the time since which an instance that is still behind, or silent, may have used earlier
    /// shares, as far as its own heartbeats tell.
    pub fn observed(&self, now: u64) -> Option<u64> {
        let change = self.change?;
        let lagging = self.present(now).filter(|m| m.agreed <= change);
        lagging.map(|m| m.agreed).min()
    }

    /// Returns the time since which an instance may have used earlier shares and begun a stream with
    /// them after `from`.
    pub fn since(&self, from: u64, now: u64) -> Option<u64> {
        let agreed = self.present(now).map(|m| m.agreed);
        let reports = self.present(now).filter(|m| now < m.heard + REPORT_KEPT);
        let reported = reports.filter_map(|m| m.lagging);
        let ended = self.spans.iter().filter(|s| s.until > from);
        agreed.chain(reported).chain(ended.map(|s| s.from)).min()
    }

    fn present(&self, now: u64) -> impl Iterator<Item = &Member> {
        let members = self.members.values();
        members.filter(move |m| now < m.heard.saturating_add(FORGOTTEN))
    }
}
