//! Finds the team of a call by its key, and answers calls that are turned away.

use std::{sync::Arc, time::Duration};

use hyper::{HeaderMap, Response, StatusCode};

use crate::{
    adapter::headers::{self, CallerKey},
    clock, event,
    metrics::{self, TeamEnd},
    teams::directory::Team,
};

use super::{
    answer::{CallerBody, text_answer},
    config::Configuration,
    gateway::Gateway,
    gossip::ConfigState,
};

/// `Retry-After` when the configuration or the quota cannot be checked; it is asked for again meanwhile.
const UNCHECKED_RETRY: Duration = Duration::from_millis(500);
/// `Retry-After` of an unknown key while another instance has a newer configuration, which is on its way.
const BEHIND_RETRY: Duration = Duration::from_millis(250);

/// Reason why a request of a team is turned away. It has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refused {
    /// It has no key, or more than one.
    NoKey,
    /// No team holds the key.
    UnknownKey,
    /// No team holds the key here, but another instance has a newer configuration.
    Behind,
    /// Whether the key is still valid cannot be known.
    Unconfirmed,
    /// The quota of the team is used up until a time.
    OverQuota(Duration),
    /// The leader of the team does not answer.
    Unchecked,
}

impl Refused {
    /// Returns the name for the log.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoKey => "no-key",
            Self::UnknownKey => "unknown-key",
            Self::Behind => "configuration-behind",
            Self::Unconfirmed => "configuration-unconfirmed",
            Self::OverQuota(_) => "over-quota",
            Self::Unchecked => "quota-unchecked",
        }
    }

    /// Builds the answer for the caller.
    pub fn answer(self) -> Response<CallerBody> {
        let busy = StatusCode::SERVICE_UNAVAILABLE;
        let (status, text, retry) = match self {
            Self::NoKey => (StatusCode::UNAUTHORIZED, "a key is required", None),
            Self::UnknownKey => (StatusCode::UNAUTHORIZED, "the key is unknown", None),
            Self::Behind => (busy, "the key is not known here yet", Some(BEHIND_RETRY)),
            Self::Unconfirmed => (
                busy,
                "the key cannot be checked while the configuration is out of reach",
                Some(UNCHECKED_RETRY),
            ),
            Self::OverQuota(wait) => (
                StatusCode::TOO_MANY_REQUESTS,
                "the quota of the team is used up",
                Some(wait),
            ),
            Self::Unchecked => (busy, "the quota cannot be checked", Some(UNCHECKED_RETRY)),
        };
        text_answer(status, text, retry)
    }
}

impl Gateway {
    /// Finds the team of a call, or `None` if the call needs none: the configuration has no teams, or the
    /// route is open.
    ///
    /// # Errors
    ///
    /// Returns the reason why the call is turned away.
    pub fn identify(
        &self,
        config: &Configuration,
        headers: &HeaderMap,
        is_open: bool,
    ) -> Result<Option<Arc<Team>>, Refused> {
        let Some(teams) = &config.teams else {
            return Ok(None);
        };
        if is_open {
            return Ok(None);
        }
        let CallerKey::One(key) = headers::decode_key(headers) else {
            return Err(Refused::NoKey);
        };
        if !self.may_use_keys() {
            return Err(Refused::Unconfirmed);
        }
        match teams.find(key) {
            Some(team) => Ok(Some(team.clone())),
            None if self.peers().has_newer_config(config.version, self.now()) => {
                Err(Refused::Behind)
            }
            None => Err(Refused::UnknownKey),
        }
    }

    /// Returns whether the configuration is known to be new enough to tell which keys are valid.
    pub fn may_use_keys(&self) -> bool {
        let now = clock::steady_millis();
        let lease = self.teams.lease();
        let is_valid = lease.is_valid(now);
        let before = self.teams.set_usable(is_valid);
        if before != is_valid {
            let age = lease.age(now).map(|a| a.as_millis());
            let config = self.config_version();
            if is_valid {
                event!(Info, ConfigConfirmed, "version={config} age_ms={age:?}");
            } else {
                event!(Warn, ConfigUnconfirmed, "version={config} age_ms={age:?}");
            }
        }
        is_valid
    }

    /// Returns whether this instance has to be told how new its configuration is.
    pub fn needs_confirmation(&self) -> bool {
        self.teams.is_bounded() && !self.is_watcher()
    }

    /// Answers the question how new the configuration is, if that is known.
    pub fn config_state(&self, asked: u64) -> Option<ConfigState> {
        let age = self.teams.lease().age(clock::steady_millis())?;
        Some(ConfigState {
            asked,
            version: self.config_version(),
            age: age.as_millis() as u64,
        })
    }

    /// Records the answer of another instance. Its configuration was the newest at the time of the question
    /// less its age, at the latest.
    pub fn hear_config(&self, state: &ConfigState) {
        let is_own = self.started_at <= state.asked && state.asked <= clock::steady_millis();
        if is_own && state.version <= self.config_version() {
            self.teams.confirm(state.asked.saturating_sub(state.age));
        }
    }

    /// Records that a call of a team was turned away.
    pub fn record_refused(&self, request: &str, team: Option<&Team>, refused: Refused) {
        let name = team.map_or("", |t| &*t.name);
        metrics::team_call(name, TeamEnd::from(refused));
        event!(
            Warn,
            TeamRefused,
            "request={request} team={name:?} reason={} config={}",
            refused.name(),
            self.config_version()
        );
    }
}

impl From<Refused> for TeamEnd {
    fn from(refused: Refused) -> Self {
        match refused {
            Refused::NoKey | Refused::UnknownKey => Self::Unknown,
            Refused::OverQuota(_) => Self::OverQuota,
            Refused::Behind | Refused::Unconfirmed | Refused::Unchecked => Self::Unchecked,
        }
    }
}
