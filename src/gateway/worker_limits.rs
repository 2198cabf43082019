//! Rate limits that workers announce, and the choice of the instance that may send a request to such
//! a worker (no I/O).
//!
//! One instance leads a limited worker. It hands out permits at the announced rate, to itself and to
//! others, and a request reaches the worker only with one. The sum over all instances therefore does
//! not depend on their number.

use std::{collections::VecDeque, time::Duration};

use serde::{Deserialize, Serialize};

use crate::ids::{Map, WorkerId};

use super::{
    fleet::{Class, Worker},
    peers::LIVENESS_TIMEOUT,
};

/// Time for which a permit is valid. Requests that wait for a worker use it at once; a later one is
/// lost, so that permits do not pile up.
const PERMIT_LIFETIME: Duration = Duration::from_millis(500);
/// Rate of the permits, as a multiple of the announced rate. In each 4 s the platform allows 1.5 times
/// what the rate allows, and 5 requests. The permits take half of that excess; the rest is for those
/// that are saved up, used late or handed out twice as the lead changes.
const PACE: f64 = 1.25;
/// Time for which an instance that leads a worker saves up permits, beside `BURST_REQUESTS`.
const BURST_TIME: Duration = Duration::from_millis(250);
/// Permits that are saved up beside those of `BURST_TIME`.
const BURST_REQUESTS: f64 = 4.0;
/// Minimum interval of requests to a worker whose limit is lower. Its answers alone tell when the
/// limit ends.
const TRIAL_INTERVAL: Duration = Duration::from_secs(4);
/// Time without news of a limit after which it is forgotten. The next answer names it again.
const EXPIRY: Duration = Duration::from_secs(15);
/// Time after which a permit that was asked for is asked for again.
const ASK_TIMEOUT: Duration = Duration::from_millis(40);
/// Maximum time for which a denial holds, after which the limit may have changed.
const MAX_DENIAL: Duration = Duration::from_secs(1);

/// Limit that an answer of a worker announces.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Announced {
    /// The worker takes any number of requests.
    Unlimited,
    /// The worker takes so many requests a second from all instances together.
    Rate(f64),
    /// The answer tells nothing.
    Unknown,
}

/// Answer of a worker, as far as it concerns its limit.
#[derive(Debug, Clone, Copy)]
pub struct Observation {
    /// Limit that the answer announces.
    pub announced: Announced,
    /// Time when the request was sent.
    pub sent: Duration,
    /// Time when the head of the answer arrived.
    pub received: Duration,
}

/// Change of what is known of a worker's limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Change {
    /// The worker announced a limit and had none.
    Named(f64),
    /// The rate changed.
    Changed,
    /// The worker has no limit any more.
    Ended,
}

/// State of a limit as one instance tells it to another.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Notice {
    /// The worker.
    pub worker: WorkerId,
    /// Time of its start in ms since the Unix epoch.
    pub started: Option<u64>,
    /// Requests a second, or `None` when the limit has ended.
    pub rate: Option<f64>,
    /// Age of the answer that told it.
    pub age: Duration,
}

/// Answer to an instance that asked for a permit.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Reply {
    /// One request may be sent.
    Granted,
    /// No request may be sent now; a permit is expected after this time.
    Denied(Duration),
}

/// Limits of the workers, as known to one instance.
#[derive(Debug, Default)]
pub struct WorkerLimits {
    limits: Map<WorkerId, Limit>,
}

#[derive(Debug)]
struct Limit {
    started: Option<u64>,
    /// Requests a second, or `None` when the limit has ended.
    rate: Option<f64>,
    /// Time of the answer that told it.
    told: Duration,
    lead: Option<Lead>,
    /// Whether another instance has led the worker since it announced the limit.
    led_elsewhere: bool,
    /// Times until which the permits of other instances are valid.
    permits: VecDeque<Duration>,
    asked: Option<Duration>,
    denied_until: Duration,
}

/// State of an instance that hands out the permits for a worker.
#[derive(Debug)]
struct Lead {
    /// Part of the rate that the instance may hand out.
    share: f64,
    /// Permits that were there at `updated`.
    permits: f64,
    updated: Duration,
}

impl Lead {
    fn capacity(&self, rate: f64) -> f64 {
        let saved = rate.mul_add(BURST_TIME.as_secs_f64(), BURST_REQUESTS);
        (saved * self.share).max(1.0)
    }

    fn available(&self, rate: f64, now: Duration) -> f64 {
        let time = now.saturating_sub(self.updated).as_secs_f64();
        let permits = time.mul_add(rate * self.share, self.permits);
        permits.min(self.capacity(rate))
    }

    fn refill(&mut self, rate: f64, now: Duration) {
        self.permits = self.available(rate, now);
        self.updated = self.updated.max(now);
    }

    /// Returns the time until a request of a class gets a permit. Batch items leave half of the saved
    /// permits to online requests.
    fn wait(&self, rate: f64, class: Class, now: Duration) -> Duration {
        let required = match class {
            Class::Online => 1.0,
            Class::Batch => (self.capacity(rate) / 2.0).max(1.0),
        };
        let pause = self.updated.saturating_sub(now);
        // A sum of small parts may end just below a whole number.
        let missing = required - self.available(rate, now) - 1e-6;
        if missing <= 0.0 {
            return pause;
        }
        let time = Duration::try_from_secs_f64(missing / (rate * self.share));
        time.unwrap_or(Duration::MAX).saturating_add(pause)
    }
}

impl Limit {
    fn new(started: Option<u64>, rate: Option<f64>, told: Duration) -> Self {
        Self {
            started,
            rate,
            told,
            lead: None,
            led_elsewhere: false,
            permits: VecDeque::new(),
            asked: None,
            denied_until: Duration::ZERO,
        }
    }

    fn applies_to(&self, worker: &Worker) -> bool {
        self.rate.is_some() && worker.started <= self.started
    }

    /// Returns the rate at which requests are sent.
    fn paced_rate(&self) -> f64 {
        let rate = self.rate.unwrap_or_default();
        (rate * PACE).max(TRIAL_INTERVAL.as_secs_f64().recip())
    }

    /// Returns the time until this instance may send a request of a class, or `None` if that is for
    /// another instance to decide.
    fn wait(&self, class: Class, now: Duration) -> Option<Duration> {
        if self.permits.iter().any(|until| now < *until) {
            return Some(Duration::ZERO);
        }
        let lead = self.lead.as_ref()?;
        Some(lead.wait(self.paced_rate(), class, now))
    }

    /// Returns whether a permit was asked for, and the answer may still come.
    fn is_asked(&self, now: Duration) -> bool {
        self.asked.is_some_and(|at| now < at + ASK_TIMEOUT)
    }
}

impl WorkerLimits {
    /// Records what an answer tells, and returns what changed.
    ///
    /// An answer without a limit ends one only if its request was sent after the last answer with
    /// one had arrived. Of two rates whose answers overlapped, the lower one holds.
    pub fn observe(&mut self, worker: &Worker, seen: Observation) -> Option<Change> {
        let (rate, told) = match seen.announced {
            Announced::Unknown => return None,
            Announced::Rate(rate) => (Some(rate), seen.received),
            Announced::Unlimited => (None, seen.sent),
        };
        self.update(&worker.id, worker.started, rate, told, |known| {
            match (known.rate, rate) {
                (Some(_), None) => seen.sent > known.told,
                (Some(old), Some(new)) => seen.sent >= known.told || new <= old,
                (None, _) => true,
            }
        })
    }

    /// Records what another instance tells, and returns what changed.
    pub fn hear(&mut self, notice: &Notice, now: Duration) -> Option<Change> {
        let age = notice.age.max(Duration::from_millis(1));
        let rate = notice.rate.filter(|r| is_rate(*r));
        if age >= EXPIRY || rate != notice.rate {
            return None;
        }
        let told = now.saturating_sub(age);
        self.update(&notice.worker, notice.started, rate, told, |known| {
            told > known.told
        })
    }

    /// Records what was told at a time of a run of a worker, if it supersedes what is known of that run.
    fn update(
        &mut self,
        worker: &WorkerId,
        started: Option<u64>,
        rate: Option<f64>,
        told: Duration,
        supersedes: impl FnOnce(&Limit) -> bool,
    ) -> Option<Change> {
        match self.limits.get(worker) {
            Some(known) if known.started > started => None,
            Some(known) if known.started == started => {
                let is_newer = supersedes(known);
                is_newer.then(|| self.set(worker, rate, told)).flatten()
            }
            _ => {
                let rate = rate?;
                let limit = Limit::new(started, Some(rate), told);
                self.limits.insert(worker.clone(), limit);
                Some(Change::Named(rate))
            }
        }
    }

    fn set(&mut self, worker: &WorkerId, rate: Option<f64>, told: Duration) -> Option<Change> {
        let limit = self.limits.get_mut(worker)?;
        let (old, paced) = (limit.rate, limit.paced_rate());
        if let Some(lead) = &mut limit.lead {
            lead.refill(paced, told);
        }
        limit.told = limit.told.max(told);
        limit.rate = rate;
        match (old, rate) {
            (None, None) => None,
            (Some(_), None) => {
                *limit = Limit::new(limit.started, None, limit.told);
                Some(Change::Ended)
            }
            (None, Some(rate)) => Some(Change::Named(rate)),
            (Some(old), Some(new)) => (old.to_bits() != new.to_bits()).then_some(Change::Changed),
        }
    }

    /// Returns whether requests reach a worker only with a permit.
    pub fn is_limited(&self, worker: &Worker) -> bool {
        let limit = self.limits.get(&worker.id);
        limit.is_some_and(|l| l.applies_to(worker))
    }

    /// Returns the limited workers.
    pub fn workers(&self) -> impl Iterator<Item = &WorkerId> {
        let limited = self.limits.iter().filter(|(_, l)| l.rate.is_some());
        limited.map(|(worker, _)| worker)
    }

    /// Sets the part of a worker's rate that this instance hands out; 0 when another instance leads
    /// the worker.
    ///
    /// The first leader begins with all the permits that it may save up, since the worker has just
    /// lost most of its requests. One that takes the lead over begins without any, and waits until
    /// all others have noticed that the earlier leader is gone.
    pub fn set_share(&mut self, worker: &WorkerId, share: f64, now: Duration) {
        let Some(limit) = self.limits.get_mut(worker) else {
            return;
        };
        let rate = limit.paced_rate();
        match &mut limit.lead {
            _ if share <= 0.0 => {
                limit.lead = None;
                limit.led_elsewhere = true;
            }
            Some(lead) => {
                lead.refill(rate, now);
                lead.share = share;
            }
            None => {
                let mut lead = Lead {
                    share,
                    permits: 0.0,
                    updated: now,
                };
                if limit.led_elsewhere {
                    lead.updated += LIVENESS_TIMEOUT;
                } else {
                    lead.permits = lead.capacity(rate);
                }
                limit.lead = Some(lead);
            }
        }
    }

    /// Returns the time until this instance may send a request of a class to a worker: zero for a
    /// worker without a limit, `None` if it has to ask the leader.
    pub fn wait(&self, worker: &Worker, class: Class, now: Duration) -> Option<Duration> {
        match self.limits.get(&worker.id) {
            Some(limit) if limit.applies_to(worker) => limit.wait(class, now),
            _ => Some(Duration::ZERO),
        }
    }

    /// Returns whether a request of a class may be sent to a worker now.
    pub fn may_send(&self, worker: &Worker, class: Class, now: Duration) -> bool {
        self.wait(worker, class, now) == Some(Duration::ZERO)
    }

    /// Returns whether a request that may be sent to a worker uses up a permit that a later one could
    /// use.
    pub fn is_scarce(&self, worker: &Worker, now: Duration) -> bool {
        let limit = self.limits.get(&worker.id);
        limit.filter(|l| l.applies_to(worker)).is_some_and(|limit| {
            let rate = limit.paced_rate();
            let is_full = |lead: &Lead| lead.available(rate, now) >= lead.capacity(rate);
            !limit.lead.as_ref().is_some_and(is_full)
        })
    }

    /// Uses up the permit of a request that `may_send` allowed.
    pub fn record_sent(&mut self, worker: &Worker, now: Duration) {
        let limit = self.limits.get_mut(&worker.id);
        let Some(limit) = limit.filter(|l| l.applies_to(worker)) else {
            return;
        };
        let rate = limit.paced_rate();
        limit.permits.retain(|until| now < *until);
        if limit.permits.pop_front().is_none()
            && let Some(lead) = &mut limit.lead
        {
            lead.refill(rate, now);
            lead.permits -= 1.0;
        }
    }

    /// Returns whether it makes sense to ask the leader of a worker for a permit.
    pub fn may_ask(&self, worker: &Worker, now: Duration) -> bool {
        let limit = self.limits.get(&worker.id);
        let limit = limit.filter(|l| l.applies_to(worker));
        limit.is_some_and(|l| {
            let is_open = now >= l.denied_until && !l.is_asked(now);
            is_open && l.lead.is_none() && l.permits.iter().all(|until| *until <= now)
        })
    }

    /// Returns whether the answer of the leader of a worker is still to come.
    pub fn is_asked(&self, worker: &Worker, now: Duration) -> bool {
        let limit = self.limits.get(&worker.id);
        limit.is_some_and(|l| l.applies_to(worker) && l.is_asked(now))
    }

    /// Records that the leader of a worker is asked for a permit, and returns what to tell it of the
    /// limit.
    pub fn ask(&mut self, worker: &WorkerId, now: Duration) -> Option<Notice> {
        let limit = self.limits.get_mut(worker)?;
        limit.asked = Some(now);
        Some(notice(worker, limit, now))
    }

    /// Decides as the leader of a worker whether another instance may send a request of a class.
    pub fn grant(&mut self, worker: &WorkerId, class: Class, now: Duration) -> Reply {
        let Some(limit) = self.limits.get_mut(worker) else {
            return Reply::Denied(MAX_DENIAL);
        };
        let rate = limit.paced_rate();
        let Some(lead) = limit.lead.as_mut().filter(|_| limit.rate.is_some()) else {
            return Reply::Denied(MAX_DENIAL);
        };
        let wait = lead.wait(rate, class, now);
        if wait.is_zero() {
            lead.refill(rate, now);
            lead.permits -= 1.0;
            Reply::Granted
        } else {
            Reply::Denied(wait.min(MAX_DENIAL))
        }
    }

    /// Records the answer of a leader. A permit is valid from the time when it was asked for, so that
    /// one that arrives late is not used long after it was handed out.
    pub fn accept(&mut self, worker: &WorkerId, reply: Reply, now: Duration) {
        let Some(limit) = self.limits.get_mut(worker) else {
            return;
        };
        let Some(asked) = limit.asked.take() else {
            return;
        };
        match reply {
            Reply::Granted => limit.permits.push_back(asked + PERMIT_LIFETIME),
            Reply::Denied(wait) => limit.denied_until = now + wait.min(MAX_DENIAL),
        }
    }

    /// Returns what is known of the limits, for other instances.
    pub fn notices(&self, now: Duration) -> Vec<Notice> {
        let notices = self.limits.iter().map(|(w, l)| notice(w, l, now));
        notices.filter(|n| n.age < EXPIRY).collect()
    }

    /// Returns what is known of the limit of a worker.
    pub fn notice(&self, worker: &WorkerId, now: Duration) -> Option<Notice> {
        let limit = self.limits.get(worker)?;
        Some(notice(worker, limit, now))
    }

    /// Forgets the limits of which there was no news for long, and those of workers that started
    /// again.
    pub fn expire<'a>(&mut self, find: impl Fn(&WorkerId) -> Option<&'a Worker>, now: Duration) {
        self.limits.retain(|id, limit| {
            let restarted = find(id).is_some_and(|w| w.started > limit.started);
            !restarted && now < limit.told + EXPIRY
        });
    }
}

fn notice(worker: &WorkerId, limit: &Limit, now: Duration) -> Notice {
    Notice {
        worker: worker.clone(),
        started: limit.started,
        rate: limit.rate,
        age: now.saturating_sub(limit.told),
    }
}

/// Returns whether a number is a rate.
pub fn is_rate(rate: f64) -> bool {
    rate.is_finite() && rate >= 0.0
}
