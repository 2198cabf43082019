//! Instance list of the platform with versions, a bounded history and a lag.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

use serde::Serialize;
use serde_json::Value;

/// Number of past changes that a reader can get.
const HISTORY: usize = 4096;

/// Group and name of a member of the list.
type Key = (Arc<str>, Arc<str>);

/// A change with the values before and after it.
#[derive(Debug)]
struct ListChange {
    at: Instant,
    version: u64,
    key: Key,
    before: Option<Value>,
    after: Option<Value>,
}

/// The list with its versions and history.
#[derive(Debug, Default)]
pub struct Instances {
    members: BTreeMap<Key, Value>,
    changes: VecDeque<ListChange>,
    version: u64,
}

/// The full list at a version.
#[derive(Debug, PartialEq)]
#[derive(Serialize)]
pub struct FullList {
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
    /// Adds, changes or removes a member.
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
        self.changes.push_back(ListChange {
            at: Instant::now(),
            version: self.version,
            key,
            before,
            after: value,
        });
        if self.changes.len() > HISTORY {
            self.changes.pop_front();
        }
    }

    /// Returns the version as a lagging reader sees it.
    pub fn version(&self, lag: Duration) -> u64 {
        let hidden = self.hidden(lag);
        self.version - hidden as u64
    }

    /// Returns the list as a lagging reader sees it.
    pub fn full(&self, lag: Duration) -> FullList {
        let mut changed: BTreeMap<&Key, &Option<Value>> = BTreeMap::new();
        for change in self.changes.iter().rev().take(self.hidden(lag)) {
            changed.insert(&change.key, &change.before);
        }
        let unchanged = self
            .members
            .iter()
            .filter(|(k, _)| !changed.contains_key(k));
        let restored = changed.iter().filter_map(|(k, v)| Some((*k, v.as_ref()?)));
        let members: BTreeMap<&Key, &Value> = unchanged.chain(restored).collect();
        let group = |name: &str| -> Vec<Value> {
            let members = members.iter().filter(|(key, _)| *key.0 == *name);
            members.map(|(_, value)| Value::clone(value)).collect()
        };
        FullList {
            version: Some(self.version(lag)),
            entries: group("entries"),
            targets: group("targets"),
        }
    }

    /// Returns the changes after a version as a lagging reader sees them, or `None` if the history
    /// does not reach back to it.
    pub fn since(&self, version: u64, lag: Duration) -> Option<Changes> {
        let oldest = self.changes.front().map_or(self.version, |s| s.version - 1);
        if version < oldest {
            return None;
        }
        let visible = self.version(lag);
        let changes = self.changes.iter();
        let changes = changes.filter(|s| s.version > version && s.version <= visible);
        let event = |change: &ListChange| Event {
            group: change.key.0.clone(),
            id: change.key.1.clone(),
            version: change.version,
            value: change.after.clone(),
        };
        Some(Changes {
            version: visible,
            events: changes.map(event).collect(),
        })
    }

    /// Returns the number of latest changes that a lagging reader does not see yet.
    fn hidden(&self, lag: Duration) -> usize {
        let newest = self.changes.iter().rev();
        newest.take_while(|s| s.at.elapsed() < lag).count()
    }
}
