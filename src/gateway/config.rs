//! Configuration of routes and services: which service a call goes to and on what terms.

use std::{sync::Arc, time::Duration};

use crate::ids::{Map, ServiceId};

/// A configuration as the operator wrote it, checked.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Configuration {
    /// Number of the configuration; higher ones are newer.
    pub version: u64,
    /// Routes in the order of the operator.
    pub routes: Vec<Arc<Route>>,
    /// Services by name.
    pub services: Map<ServiceId, Service>,
    /// Bounds on what callers may send.
    pub limits: CallerLimits,
}

/// Bounds on callers' connections.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CallerLimits {
    /// Size of a body at most, in bytes.
    pub body: usize,
    /// Time that a kept connection may stay idle.
    pub idle: Duration,
}

impl Default for CallerLimits {
    /// Bounds that hold until a configuration is known.
    fn default() -> Self {
        Self {
            body: 4 << 20,
            idle: Duration::from_secs(15),
        }
    }
}

/// A service of workers.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Connections that one worker accepts from all instances together.
    pub connections: usize,
}

/// A route: calls of one host below one path.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: Arc<str>,
    /// Host of the calls, in lower case.
    pub host: Arc<str>,
    /// Start of the path, with a slash at both ends.
    pub prefix: Arc<str>,
    /// What the calls are and what may be repeated.
    pub kind: RouteKind,
    /// Longest time that a call may stay unanswered.
    pub timeout: Duration,
    /// Time within which the first part of an answer is on time.
    pub objective: Duration,
    /// Longest pause between two events of a stream that is on time.
    pub pause: Option<Duration>,
    /// Workers that one call may run on at most.
    pub attempts: u32,
    /// Services of the route with their weights.
    pub split: Vec<(ServiceId, u32)>,
}

/// What the calls of a route are.
#[derive(Debug, Clone, PartialEq)]
pub enum RouteKind {
    /// Whole answers; a call may run more than once.
    Repeatable,
    /// Whole answers; a call runs at most once.
    Once,
    /// Streams of events.
    Stream {
        /// Whether a stream may go on at another worker after its last event.
        resumable: bool,
    },
    /// Batch jobs.
    Batch(BatchTerms),
}

/// Terms of a route of batch jobs.
#[derive(Debug, Clone, PartialEq)]
pub struct BatchTerms {
    /// Time after which all results of a job are due.
    pub due: Duration,
    /// Time after which an item may be given up.
    pub item_ttl: Duration,
    /// Tokens of all waiting items together, or `None` where there is no limit.
    pub quota: Option<u64>,
}

impl Route {
    /// Returns whether a call may run on a second worker after it may have run on one.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Repeatable | RouteKind::Batch(_) => true,
            RouteKind::Once => false,
            RouteKind::Stream { resumable } => resumable,
        }
    }

    /// Returns the terms of a route of batch jobs.
    pub fn batch(&self) -> Option<&BatchTerms> {
        match &self.kind {
            RouteKind::Batch(terms) => Some(terms),
            _ => None,
        }
    }

    /// Draws a service by the weights; `draw` is uniform in 0 to 1.
    pub fn service(&self, draw: f64) -> Option<&ServiceId> {
        let total: u32 = self.split.iter().map(|(_, w)| w).sum();
        let mut left = draw * f64::from(total);
        for (service, weight) in &self.split {
            left -= f64::from(*weight);
            if left < 0.0 {
                return Some(service);
            }
        }
        self.split.last().map(|(s, _)| s)
    }
}

impl Configuration {
    /// Returns the route of a call: the one of its host with the longest matching start of the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.split(':').next().unwrap_or(host);
        let matches =
            |r: &&Arc<Route>| r.host.eq_ignore_ascii_case(host) && path.starts_with(&*r.prefix);
        self.routes
            .iter()
            .filter(matches)
            .max_by_key(|r| r.prefix.len())
    }

    /// Returns the route of batch jobs of a host.
    pub fn batch_route(&self, host: &str) -> Option<&Arc<Route>> {
        let host = host.split(':').next().unwrap_or(host);
        let matches = |r: &&Arc<Route>| r.batch().is_some() && r.host.eq_ignore_ascii_case(host);
        self.routes.iter().find(matches)
    }
}
