//! The sheet as a log of immutable revisions: differences, application, and a push.

use std::{collections::BTreeMap, ops::Bound, sync::Arc};

use anyhow::{Context, bail};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::Value;

use crate::{
    ids::Revision,
    sheet::{RawSheet, Sheet},
};

/// Revisions between two snapshots.
pub const SNAPSHOT_INTERVAL: Revision = 256;
/// Revisions that wait for an earlier one at most; more are read again when it has arrived.
const HELD_LIMIT: usize = 1024;
/// Prefix of the name that a snapshot has among the entries of the log.
const SNAPSHOT_PREFIX: &str = "snapshot-";

/// Path of a part of a sheet: a field, or a list and a name in it (`models/benchline-lm`).
pub type PartPath = Arc<str>;
/// Parts of a sheet by path.
pub type Parts = BTreeMap<PartPath, Value>;
/// Changed parts by path; nothing for a part that was removed.
pub type PartChanges = BTreeMap<PartPath, Option<Value>>;

/// One revision of the log.
#[derive(Debug, Clone, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Entry {
    /// Token of the writer, by which it recognises its own entry.
    pub token: Arc<str>,
    /// Revision that the changes follow.
    pub base: Revision,
    /// Changed parts.
    pub changes: PartChanges,
}

/// All parts of a sheet at one revision.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Snapshot {
    /// Revision.
    pub revision: Revision,
    /// Parts.
    pub parts: Parts,
}

/// Returns the object name of a revision.
pub fn entry_name(revision: Revision) -> String {
    format!("{revision:010}")
}

/// Returns the name that the snapshot of a revision has among the entries of the log.
pub fn snapshot_name(revision: Revision) -> String {
    format!("{SNAPSHOT_PREFIX}{revision:010}")
}

/// Returns the revision of an entry's name; nothing for a snapshot.
pub fn revision_of(name: &str) -> Option<Revision> {
    name.parse().ok()
}

/// Splits a sheet into its parts.
///
/// # Errors
///
/// Returns an error when a part cannot be written as JSON.
pub fn split(raw: &RawSheet) -> anyhow::Result<Parts> {
    let mut parts = Parts::new();
    let Value::Object(fields) = serde_json::to_value(raw)? else {
        bail!("a sheet is not an object");
    };
    for (field, value) in fields {
        match value {
            Value::Array(items) => {
                for item in items {
                    let path = format!("{field}/{}", item_name(&item));
                    parts.insert(path.into(), item);
                }
            }
            scalar => {
                parts.insert(field.into(), scalar);
            }
        }
    }
    Ok(parts)
}

/// Puts a sheet together from its parts.
///
/// # Errors
///
/// Returns an error when a part is missing or has another form.
pub fn join(parts: &Parts) -> anyhow::Result<RawSheet> {
    Ok(RawSheet {
        deployment: field(parts, "deployment")?,
        throughput_weight: field(parts, "throughput_weight")?,
        models: list(parts, "models/")?,
        services: list(parts, "services/")?,
        jobs: list(parts, "jobs/")?,
        teams: list(parts, "teams/")?,
        engines_check_fence: field(parts, "engines_check_fence")?,
        fence_exceptions: list(parts, "fence_exceptions/")?,
    })
}

/// Returns the parts in which `new` differs from `old`.
pub fn difference(old: &Parts, new: &Parts) -> PartChanges {
    let removed = old.keys().filter(|p| !new.contains_key(*p));
    let removed = removed.map(|p| (p.clone(), None));
    let changed = new.iter().filter(|(p, v)| old.get(*p) != Some(v));
    let changed = changed.map(|(p, v)| (p.clone(), Some(v.clone())));
    removed.chain(changed).collect()
}

fn item_name(item: &Value) -> &str {
    let name = item.as_str().or_else(|| item["name"].as_str());
    name.unwrap_or_default()
}

fn field<T: DeserializeOwned>(parts: &Parts, path: &str) -> anyhow::Result<T> {
    let value = parts
        .get(path)
        .with_context(|| format!("sheet field '{path}': missing"))?;
    read(path, value)
}

fn list<T: DeserializeOwned>(parts: &Parts, prefix: &str) -> anyhow::Result<Vec<T>> {
    let from = parts.range::<str, _>((Bound::Included(prefix), Bound::Unbounded));
    let items = from.take_while(|(p, _)| p.starts_with(prefix));
    items.map(|(p, v)| read(p, v)).collect()
}

fn read<T: DeserializeOwned>(path: &str, value: &Value) -> anyhow::Result<T> {
    T::deserialize(value).with_context(|| format!("sheet field '{path}'"))
}

/// What became of a revision that was offered to a log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Offer {
    /// It and perhaps later ones that waited for it were applied.
    Applied,
    /// An earlier revision is missing; it waits.
    Held,
    /// The log has it already.
    Known,
}

/// The sheet that is in force.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct InForce {
    /// Its revision; 0 before the first.
    pub revision: Revision,
    /// Its content.
    pub sheet: Arc<Sheet>,
}

/// The contiguous prefix of the log that is known here.
#[derive(Debug, Clone, Default)]
pub struct SheetLog {
    head: Snapshot,
    checkpoint: Option<Snapshot>,
    token: Option<Arc<str>>,
    held: BTreeMap<Revision, Entry>,
    checked: Revision,
    force: InForce,
    fault: Option<Arc<str>>,
}

impl SheetLog {
    /// Takes over a revision; it is applied only when all earlier ones are.
    pub fn offer(&mut self, revision: Revision, entry: Entry) -> Offer {
        if revision <= self.head.revision {
            return Offer::Known;
        }
        if revision > self.head.revision + 1 {
            if self.held.len() < HELD_LIMIT {
                self.held.entry(revision).or_insert(entry);
            }
            return Offer::Held;
        }
        self.apply(entry);
        while let Some(next) = self.held.remove(&(self.head.revision + 1)) {
            self.apply(next);
        }
        self.held.retain(|r, _| *r > self.head.revision);
        Offer::Applied
    }

    /// Takes over a snapshot of a later revision.
    pub fn restore(&mut self, snapshot: Snapshot) -> Offer {
        if snapshot.revision <= self.head.revision {
            return Offer::Known;
        }
        self.head = snapshot;
        self.token = None;
        self.mark();
        while let Some(next) = self.held.remove(&(self.head.revision + 1)) {
            self.apply(next);
        }
        self.held.retain(|r, _| *r > self.head.revision);
        Offer::Applied
    }

    /// Takes over an object of the log, an entry or a snapshot. Objects of another form are
    /// treated as known, because entries never change.
    pub fn offer_object(&mut self, name: &str, value: &Value) -> Offer {
        if name.starts_with(SNAPSHOT_PREFIX) {
            let snapshot = Snapshot::deserialize(value);
            return snapshot.map_or(Offer::Known, |s| self.restore(s));
        }
        match (revision_of(name), Entry::deserialize(value)) {
            (Some(revision), Ok(entry)) => self.offer(revision, entry),
            _ => Offer::Known,
        }
    }

    /// Checks the sheet at the head as a whole and says whether another sheet came into force.
    ///
    /// An invalid sheet does not come into force; the log goes on, so that a later revision can
    /// repair it. Called once after a batch of revisions, because a check costs as much as the
    /// sheet is long.
    pub fn check_head(&mut self) -> bool {
        if self.checked == self.head.revision {
            return false;
        }
        self.checked = self.head.revision;
        match join(&self.head.parts).and_then(|raw| Sheet::try_from(&raw)) {
            Ok(sheet) => {
                self.fault = None;
                self.force = InForce {
                    revision: self.head.revision,
                    sheet: sheet.into(),
                };
                true
            }
            Err(e) => {
                self.fault = Some(format!("{e:#}").into());
                false
            }
        }
    }

    /// Returns the last revision that was checked as a whole.
    pub fn checked(&self) -> Revision {
        self.checked
    }

    /// Returns the last revision that was applied, with all its parts.
    pub fn head(&self) -> &Snapshot {
        &self.head
    }

    /// Returns the token of the last revision, when it was seen as an entry.
    pub fn token(&self) -> Option<&Arc<str>> {
        self.token.as_ref()
    }

    /// Returns the latest snapshot at a multiple of [`SNAPSHOT_INTERVAL`].
    pub fn checkpoint(&self) -> Option<&Snapshot> {
        self.checkpoint.as_ref()
    }

    /// Returns the sheet in force: that of the last revision which is valid as a whole.
    pub fn in_force(&self) -> &InForce {
        &self.force
    }

    /// Returns why the last revision is not in force; nothing when it is.
    pub fn fault(&self) -> Option<&Arc<str>> {
        self.fault.as_ref()
    }

    fn apply(&mut self, entry: Entry) {
        for (path, value) in entry.changes {
            match value {
                Some(value) => self.head.parts.insert(path, value),
                None => self.head.parts.remove(&path),
            };
        }
        self.head.revision += 1;
        self.token = Some(entry.token);
        self.mark();
    }

    fn mark(&mut self) {
        if self.head.revision.is_multiple_of(SNAPSHOT_INTERVAL) {
            self.checkpoint = Some(self.head.clone());
        }
    }
}
