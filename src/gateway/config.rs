//! Configuration of routes and services: the service that a call goes to, and the terms of the
//! route.

use std::{sync::Arc, time::Duration};

use crate::{
    ids::{Map, ServiceId},
    teams::directory::Directory,
};

/// A checked configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Configuration {
    /// Version of the configuration; higher ones are newer.
    pub version: u64,
    /// Routes, in the order of the configuration.
    pub routes: Vec<Arc<Route>>,
    /// Services by name.
    pub services: Map<ServiceId, Service>,
    /// Limits on callers' connections.
    pub limits: CallerLimits,
    /// Teams of the callers, or `None` if calls need no key.
    pub teams: Option<Arc<Directory>>,
}

/// Limits on callers' connections.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CallerLimits {
    /// Maximum size of a body in bytes.
    pub body: usize,
    /// Time that a connection may stay idle between requests.
    pub idle: Duration,
}

impl Default for CallerLimits {
    /// Limits in effect until a configuration is known.
    fn default() -> Self {
        Self {
            body: 4 << 20,
            idle: Duration::from_secs(15),
        }
    }
}

/// A service, which a group of workers provides.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Maximum number of connections that one worker accepts from all instances together.
    pub connections: usize,
}

/// A route: the calls to one host below one path prefix.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: Arc<str>,
    /// Host of the calls in lower case.
    pub host: Arc<str>,
    /// Prefix of the path, which starts and ends with a slash.
    pub prefix: Arc<str>,
    /// Kind of the calls, which also decides whether they may run more than once.
    pub kind: RouteKind,
    /// Maximum time of a call.
    pub timeout: Duration,
    /// Time objective for the first event of a stream or the whole of another answer.
    pub objective: Duration,
    /// Maximum pause between two events of a stream that meets its objective.
    pub pause: Option<Duration>,
    /// Maximum number of workers that one call may run on.
    pub attempts: u32,
    /// Rank of its calls; 0 is the highest.
    pub priority: u32,
    /// Whether its calls need no key where the configuration has teams.
    pub open: bool,
    /// Services of the route with their weights.
    pub split: Vec<(ServiceId, u32)>,
}

/// Kind of the calls of a route.
#[derive(Debug, Clone, PartialEq)]
pub enum RouteKind {
    /// Calls with whole answers that may run more than once.
    Repeatable,
    /// Calls with whole answers that run at most once.
    Once,
    /// Calls with streams of events.
    Stream {
        /// Whether a stream may resume at another worker after its last event.
        resumable: bool,
    },
    /// Batch jobs.
    Batch(BatchTerms),
}

/// Terms of a route of batch jobs.
#[derive(Debug, Clone, PartialEq)]
pub struct BatchTerms {
    /// Time from the submission until all results of a job are due.
    pub due: Duration,
    /// Time from the submission after which unfinished items fail.
    pub item_ttl: Duration,
    /// Maximum tokens of all unfinished items together, or `None` if there is no limit.
    pub quota: Option<u64>,
}

impl Route {
    /// Returns whether a call may be sent to a second worker after it may have run on a first one.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Repeatable | RouteKind::Batch(_) => true,
            RouteKind::Once => false,
            RouteKind::Stream { resumable } => resumable,
        }
    }

    /// Returns whether an answer may go on at another worker or in another call.
    pub fn is_resumable(&self) -> bool {
        self.kind == RouteKind::Stream { resumable: true }
    }

    /// Returns the terms of a route for batch jobs.
    pub fn batch(&self) -> Option<&BatchTerms> {
        match &self.kind {
            RouteKind::Batch(terms) => Some(terms),
            _ => None,
        }
    }

    /// Selects a service by weight, where `draw` is uniform in 0 to 1.
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
    /// Returns whether a host has a route for batch jobs whose calls need no key.
    pub fn has_open_jobs(&self, host: &str) -> bool {
        let host = host.split(':').next().unwrap_or(host);
        let is_open =
            |r: &Arc<Route>| r.open && r.batch().is_some() && r.host.eq_ignore_ascii_case(host);
        self.routes.iter().any(is_open)
    }

    /// Returns the route of a call: of the routes for the host, the one with the longest matching
    /// prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.split(':').next().unwrap_or(host);
        let matches =
            |r: &&Arc<Route>| r.host.eq_ignore_ascii_case(host) && path.starts_with(&*r.prefix);
        self.routes
            .iter()
            .filter(matches)
            .max_by_key(|r| r.prefix.len())
    }
}
