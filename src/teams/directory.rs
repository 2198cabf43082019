//! Teams of a configuration and the keys by which their callers are known.

use std::{fmt, sync::Arc, time::Duration};

use crate::ids::{Map, TeamId};

/// Maximum length of a key in bytes. A longer one in a request is unknown without a look-up.
const MAX_KEY_BYTES: usize = 1024;

/// A team, the account of callers.
#[derive(Debug, Clone, PartialEq)]
pub struct Team {
    /// Name of the team.
    pub name: TeamId,
    /// Rank of its requests, which goes before that of the route; 0 is the highest.
    pub priority: Option<u32>,
    /// Limit on its requests, or `None` if there is none.
    pub quota: Option<Quota>,
}

/// Limit on the requests of a team at all instances together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    /// Requests a second.
    pub rate: f64,
    /// Requests beyond that at once.
    pub burst: f64,
}

impl Quota {
    /// Returns the requests that the quota allows in any span of this length.
    pub fn allowed(&self, span: Duration) -> f64 {
        self.rate.mul_add(span.as_secs_f64(), self.burst)
    }
}

/// Unchecked team.
///
/// Its keys are secrets, so that it has no debug form.
#[derive(Clone, Default)]
pub struct RawTeam {
    /// Name of the team.
    pub name: String,
    /// Keys of its callers.
    pub keys: Vec<String>,
    /// Rank of its requests.
    pub priority: Option<u32>,
    /// Requests a second; 0 for no limit.
    pub rate: f64,
    /// Requests beyond that at once.
    pub burst: f64,
}

/// Error in a list of teams. It names positions in the list, and no key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DirectoryError {
    /// A team has no name.
    Unnamed(usize),
    /// Two teams have the same name.
    SameName(usize, usize),
    /// A key of a team is empty or too long.
    InvalidKey(usize),
    /// Two teams have the same key.
    SharedKey(usize, usize),
    /// The rate or the burst of a team is negative or no number.
    InvalidQuota(usize),
}

impl std::error::Error for DirectoryError {}

impl fmt::Display for DirectoryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unnamed(team) => write!(f, "team {team}: the name is empty"),
            Self::SameName(team, other) => {
                write!(f, "team {team}: team {other} has the same name")
            }
            Self::InvalidKey(team) => {
                write!(
                    f,
                    "team {team}: a key has to have 1 to {MAX_KEY_BYTES} bytes"
                )
            }
            Self::SharedKey(team, other) => {
                write!(f, "team {team}: team {other} has the same key")
            }
            Self::InvalidQuota(team) => {
                write!(f, "team {team}: rate and burst have to be 0 or more")
            }
        }
    }
}

/// Entry of a team that has no effect, or another one than it seems to have.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Note {
    /// The team has no key.
    NoKey,
    /// The team lists a key twice.
    RepeatedKey,
    /// The team has a burst and no rate.
    BurstWithoutRate,
}

/// Teams by key and by name. A look-up takes the same time however many there are.
#[derive(Clone, Default, PartialEq)]
pub struct Directory {
    teams: Map<TeamId, Arc<Team>>,
    keys: Map<Box<str>, Arc<Team>>,
    notes: Vec<(TeamId, Note)>,
}

impl fmt::Debug for Directory {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Directory")
            .field("teams", &self.teams)
            .field("keys", &self.keys.len())
            .finish()
    }
}

impl TryFrom<Vec<RawTeam>> for Directory {
    type Error = DirectoryError;

    fn try_from(raw: Vec<RawTeam>) -> Result<Self, DirectoryError> {
        let mut directory = Self::default();
        let mut positions: Map<TeamId, usize> = Map::default();
        for (position, raw) in raw.into_iter().enumerate() {
            let team = Arc::new(check(&raw, position)?);
            if let Some(other) = positions.insert(team.name.clone(), position) {
                return Err(DirectoryError::SameName(position, other));
            }
            if raw.keys.is_empty() {
                directory.notes.push((team.name.clone(), Note::NoKey));
            }
            if raw.burst > 0.0 && team.quota.is_none() {
                directory
                    .notes
                    .push((team.name.clone(), Note::BurstWithoutRate));
            }
            for key in raw.keys {
                if key.is_empty() || key.len() > MAX_KEY_BYTES {
                    return Err(DirectoryError::InvalidKey(position));
                }
                match directory.keys.insert(key.into(), team.clone()) {
                    Some(other) if other.name != team.name => {
                        return Err(DirectoryError::SharedKey(position, positions[&other.name]));
                    }
                    Some(_) => directory.notes.push((team.name.clone(), Note::RepeatedKey)),
                    None => {}
                }
            }
            directory.teams.insert(team.name.clone(), team);
        }
        Ok(directory)
    }
}

fn check(raw: &RawTeam, position: usize) -> Result<Team, DirectoryError> {
    if raw.name.is_empty() {
        return Err(DirectoryError::Unnamed(position));
    }
    let is_valid = |value: f64| value.is_finite() && value >= 0.0;
    if !is_valid(raw.rate) || !is_valid(raw.burst) {
        return Err(DirectoryError::InvalidQuota(position));
    }
    Ok(Team {
        name: raw.name.as_str().into(),
        priority: raw.priority,
        quota: (raw.rate > 0.0).then_some(Quota {
            rate: raw.rate,
            burst: raw.burst,
        }),
    })
}

impl Directory {
    /// Returns the team that holds a key.
    pub fn find(&self, key: &[u8]) -> Option<&Arc<Team>> {
        if key.len() > MAX_KEY_BYTES {
            return None;
        }
        self.keys.get(std::str::from_utf8(key).ok()?)
    }

    /// Returns a team by name.
    pub fn team(&self, name: &str) -> Option<&Arc<Team>> {
        self.teams.get(name)
    }

    /// Returns all teams.
    pub fn teams(&self) -> impl Iterator<Item = &Arc<Team>> {
        self.teams.values()
    }

    /// Returns entries without the effect that they seem to have, by team.
    pub fn notes(&self) -> &[(TeamId, Note)] {
        &self.notes
    }

    /// Returns the number of keys of a team that it does not hold in another directory.
    pub fn keys_missing_in(&self, other: &Self, team: &str) -> usize {
        let own = self.keys.iter().filter(|(_, t)| *t.name == *team);
        let is_held = |key: &str| other.keys.get(key).is_some_and(|t| *t.name == *team);
        own.filter(|(key, _)| !is_held(key)).count()
    }

    /// Returns the number of keys.
    pub fn key_count(&self) -> usize {
        self.keys.len()
    }
}
