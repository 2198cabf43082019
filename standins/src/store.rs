//! Object store of the platform with versions, conditional writes and a bounded history.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use serde::Serialize;
use serde_json::Value;

/// An object with its version.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct Object {
    /// Kind.
    pub kind: Arc<str>,
    /// Name inside its kind.
    pub name: Arc<str>,
    /// Version of the last change.
    pub version: u64,
    /// Content.
    pub value: Value,
}

/// One change of an object.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct Change {
    /// Kind.
    #[serde(skip)]
    pub kind: Arc<str>,
    /// Name.
    pub name: Arc<str>,
    /// Version of the change.
    pub version: u64,
    /// New content, or `None` if the object was removed.
    pub value: Option<Value>,
}

/// Condition of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// The object does not exist.
    Absent,
    /// The object has this version.
    Version(u64),
}

/// Reason why a write was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The object does not exist.
    Missing,
    /// The object has this version.
    Conflict(u64),
}

/// Error for a read of history that has been dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Gone;

/// Objects by kind and name.
#[derive(Debug)]
pub struct Store {
    objects: BTreeMap<(Arc<str>, Arc<str>), Object>,
    changes: VecDeque<Change>,
    version: u64,
    dropped: u64,
    history: usize,
}

impl Store {
    /// Creates an empty store that keeps a number of past changes.
    pub fn new(history: usize) -> Self {
        Self {
            objects: BTreeMap::new(),
            changes: VecDeque::new(),
            version: 0,
            dropped: 0,
            history,
        }
    }

    /// Returns the version of the last change of any object.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns an object.
    pub fn get(&self, kind: &str, name: &str) -> Option<&Object> {
        self.objects.get(&(kind.into(), name.into()))
    }

    /// Returns at most `limit` objects of a kind whose names start with `prefix` and come after
    /// `after`, in the order of their names.
    pub fn list(&self, kind: &str, prefix: &str, after: &str, limit: usize) -> Vec<Object> {
        let from = if after.is_empty() { prefix } else { after };
        self.objects
            .range((kind.into(), from.into())..)
            .take_while(|((k, _), _)| **k == *kind)
            .filter(|((_, n), _)| n.starts_with(prefix) && (after.is_empty() || **n > *after))
            .take(limit)
            .map(|(_, object)| object.clone())
            .collect()
    }

    /// Writes an object if the condition holds, and returns its new version.
    ///
    /// # Errors
    ///
    /// Returns the refusal when the condition does not hold.
    pub fn put(
        &mut self,
        kind: &str,
        name: &str,
        condition: Condition,
        value: Value,
    ) -> Result<u64, Refusal> {
        self.check(kind, name, condition)?;
        let version = self.record(kind, name, Some(value.clone()));
        let object = Object {
            kind: kind.into(),
            name: name.into(),
            version,
            value,
        };
        self.objects.insert((kind.into(), name.into()), object);
        Ok(version)
    }

    /// Removes an object if it has the given version, and returns the version of the change.
    ///
    /// # Errors
    ///
    /// Returns the refusal when the object has another version.
    pub fn remove(&mut self, kind: &str, name: &str, version: u64) -> Result<u64, Refusal> {
        self.check(kind, name, Condition::Version(version))?;
        self.objects.remove(&(kind.into(), name.into()));
        Ok(self.record(kind, name, None))
    }

    /// Returns the changes of a kind after a version.
    ///
    /// # Errors
    ///
    /// Returns [`Gone`] when the history does not reach back to the version.
    pub fn since(&self, kind: &str, version: u64) -> Result<Vec<Change>, Gone> {
        if version < self.dropped {
            return Err(Gone);
        }
        let first = self.changes.partition_point(|c| c.version <= version);
        let newer = self.changes.range(first..);
        Ok(newer.filter(|c| *c.kind == *kind).cloned().collect())
    }

    /// Drops the history of all changes so far.
    pub fn forget(&mut self) {
        self.changes.clear();
        self.dropped = self.version;
    }

    fn check(&self, kind: &str, name: &str, condition: Condition) -> Result<(), Refusal> {
        match (self.get(kind, name), condition) {
            (None, Condition::Absent) => Ok(()),
            (None, Condition::Version(_)) => Err(Refusal::Missing),
            (Some(o), Condition::Version(v)) if o.version == v => Ok(()),
            (Some(o), _) => Err(Refusal::Conflict(o.version)),
        }
    }

    fn record(&mut self, kind: &str, name: &str, value: Option<Value>) -> u64 {
        self.version += 1;
        self.changes.push_back(Change {
            kind: kind.into(),
            name: name.into(),
            version: self.version,
            value,
        });
        if self.changes.len() > self.history
            && let Some(oldest) = self.changes.pop_front()
        {
            self.dropped = oldest.version;
        }
        self.version
    }
}
