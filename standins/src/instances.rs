//! The instance list of the platform: versions, a bounded history and a lag.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

use serde::Serialize;
use serde_json::Value;

/// Changes that a reader can go back.
const HISTORY: usize = 4096;

/// Group and name of a member of the list.
type Key = (Arc<str>, Arc<str>);

/// A change, and what it replaced.
#[derive(Debug)]
struct Step {
    at: Instant,
    version: u64,
    key: Key,
    before: Option<Value>,
    after: Option<Value>,
}

/// The list with its versions.
#[derive(Debug, Default)]
pub struct Instances {
    members: BTreeMap<Key, Value>,
    steps: VecDeque<Step>,
    version: u64,
}

/// The whole list as it was at a version.
#[derive(Debug, PartialEq)]
#[derive(Serialize)]
pub struct Whole {
    /// Version of the list.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub version: Option<u64>,
    /// Entry instances.
    pub entries: Vec<Value>,
    /// Targets.
    pub targets: Vec<Value>,
}

/// Changes of the list up to a version.
#[derive(Debug, PartialEq)]
#[derive(Serialize)]
pub struct Changes {
    version: u64,
    events: Vec<Event>,
}

/// One change of the list.
#[derive(Debug, PartialEq)]
#[derive(Serialize)]
struct Event {
    group: Arc<str>,
    id: Arc<str>,
    version: u64,
    value: Option<Value>,
}

impl Instances {
    /// Puts a member on the list, changes it, or removes it.
    pub fn set(&mut self, group: &str, id: &str, value: Option<Value>) {
        let key: Key = (group.into(), id.into());
        let before = match &value {
            Some(value) => self.members.insert(key.clone(), value.clone()),
            None => self.members.remove(&key),
        };
        if before == value {
            return;
        }
        self.version += 1;
        self.steps.push_back(Step {
            at: Instant::now(),
            version: self.version,
            key,
            before,
            after: value,
        });
        if self.steps.len() > HISTORY {
            self.steps.pop_front();
        }
    }

    /// Returns the version that a reader sees who lags behind.
    pub fn version(&self, lag: Duration) -> u64 {
        let hidden = self.hidden(lag);
        self.version - hidden as u64
    }

    /// Returns the list as a reader sees it who lags behind.
    pub fn whole(&self, lag: Duration) -> Whole {
        let mut changed: BTreeMap<&Key, &Option<Value>> = BTreeMap::new();
        for step in self.steps.iter().rev().take(self.hidden(lag)) {
            changed.insert(&step.key, &step.before);
        }
        let kept = self
            .members
            .iter()
            .filter(|(k, _)| !changed.contains_key(k));
        let back = changed.iter().filter_map(|(k, v)| Some((*k, v.as_ref()?)));
        let members: BTreeMap<&Key, &Value> = kept.chain(back).collect();
        let group = |name: &str| -> Vec<Value> {
            let members = members.iter().filter(|(key, _)| *key.0 == *name);
            members.map(|(_, value)| Value::clone(value)).collect()
        };
        Whole {
            version: Some(self.version(lag)),
            entries: group("entries"),
            targets: group("targets"),
        }
    }

    /// Returns the changes after a version, as a reader sees them who lags behind; nothing when
    /// the history does not reach back to it.
    pub fn since(&self, version: u64, lag: Duration) -> Option<Changes> {
        let oldest = self.steps.front().map_or(self.version, |s| s.version - 1);
        if version < oldest {
            return None;
        }
        let seen = self.version(lag);
        let steps = self.steps.iter();
        let steps = steps.filter(|s| s.version > version && s.version <= seen);
        let event = |step: &Step| Event {
            group: step.key.0.clone(),
            id: step.key.1.clone(),
            version: step.version,
            value: step.after.clone(),
        };
        Some(Changes {
            version: seen,
            events: steps.map(event).collect(),
        })
    }

    fn hidden(&self, lag: Duration) -> usize {
        let newest = self.steps.iter().rev();
        newest.take_while(|s| s.at.elapsed() < lag).count()
    }
}
