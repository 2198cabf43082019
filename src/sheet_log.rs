//! The sheet as a log of immutable revisions: differences between sheets, and their application.

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
/// Maximum number of revisions that wait for an earlier one. Further ones are dropped and read
/// again after the earlier one has arrived.
const PENDING_LIMIT: usize = 1024;
/// Prefix of the object name of a snapshot in a view of the log.
const SNAPSHOT_PREFIX: &str = "snapshot-";

/// Path of a part of a sheet: a field, or a list and the name of an item in it
/// (`models/benchline-lm`).
pub type PartPath = Arc<str>;
/// Parts of a sheet by path.
pub type Parts = BTreeMap<PartPath, Value>;
/// Changed parts by path; `None` for a removed part.
pub type PartChanges = BTreeMap<PartPath, Option<Value>>;

/// One revision of the log.
#[derive(Debug, Clone, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Entry {
    /// Token by which the writer recognizes its entry.
    pub token: Arc<str>,
    /// Revision that the changes are based on.
    pub base: Revision,
    /// Changed parts.
    pub changes: PartChanges,
}

/// All parts of a sheet at one revision.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Snapshot {
    /// Revision that the parts belong to.
    pub revision: Revision,
    /// Parts of the sheet.
    pub parts: Parts,
}

/// Returns the object name of the entry of a revision.
pub fn entry_name(revision: Revision) -> String {
    format!("{revision:010}")
}

/// Returns the object name of the snapshot of a revision in a view of the log.
pub fn snapshot_name(revision: Revision) -> String {
    format!("{SNAPSHOT_PREFIX}{revision:010}")
}

/// Parses the revision from the name of an entry; `None` for a snapshot.
pub fn revision_of(name: &str) -> Option<Revision> {
    name.parse().ok()
}

/// Splits a sheet into its parts.
///
/// # Errors
///
/// Returns an error when a part cannot be serialized to JSON.
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

/// Builds a sheet from its parts.
///
/// # Errors
///
/// Returns an error when a part is missing or malformed.
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

/// Result of offering a revision to a log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The revision was applied, and with it any later ones that waited for it.
    Applied,
    /// An earlier revision is missing; this one waits for it.
    Pending,
    /// The revision was applied before.
    Known,
}

/// The sheet in force.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct InForce {
    /// Revision of the sheet; 0 before the first.
    pub revision: Revision,
    /// Content of the sheet.
    pub sheet: Arc<Sheet>,
}

/// The contiguous prefix of the log that this instance has applied.
#[derive(Debug, Clone, Default)]
pub struct SheetLog {
    head: Snapshot,
    checkpoint: Option<Snapshot>,
    token: Option<Arc<str>>,
    pending: BTreeMap<Revision, Entry>,
    checked: Revision,
    in_force: InForce,
    fault: Option<Arc<str>>,
}

impl SheetLog {
    /// Applies a revision if all earlier ones are applied; otherwise holds it back.
    pub fn offer(&mut self, revision: Revision, entry: Entry) -> OfferOutcome {
        if revision <= self.head.revision {
            return OfferOutcome::Known;
        }
        if revision > self.head.revision + 1 {
            if self.pending.len() < PENDING_LIMIT {
                self.pending.entry(revision).or_insert(entry);
            }
            return OfferOutcome::Pending;
        }
        self.apply(entry);
        while let Some(next) = self.pending.remove(&(self.head.revision + 1)) {
            self.apply(next);
        }
        self.pending.retain(|r, _| *r > self.head.revision);
        OfferOutcome::Applied
    }

    /// Replaces the head by a snapshot of a later revision.
    pub fn restore(&mut self, snapshot: Snapshot) -> OfferOutcome {
        if snapshot.revision <= self.head.revision {
            return OfferOutcome::Known;
        }
        self.head = snapshot;
        self.token = None;
        self.update_checkpoint();
        while let Some(next) = self.pending.remove(&(self.head.revision + 1)) {
            self.apply(next);
        }
        self.pending.retain(|r, _| *r > self.head.revision);
        OfferOutcome::Applied
    }

    /// Offers an object of the log, an entry or a snapshot. Malformed objects are treated as known,
    /// because entries never change.
    pub fn offer_object(&mut self, name: &str, value: &Value) -> OfferOutcome {
        if name.starts_with(SNAPSHOT_PREFIX) {
            let snapshot = Snapshot::deserialize(value);
            return snapshot.map_or(OfferOutcome::Known, |s| self.restore(s));
        }
        match (revision_of(name), Entry::deserialize(value)) {
            (Some(revision), Ok(entry)) => self.offer(revision, entry),
            _ => OfferOutcome::Known,
        }
    }

    /// Validates the sheet at the head as a whole and returns whether a new sheet came into force.
    ///
    /// An invalid sheet does not come into force. The log still accepts later revisions, one of
    /// which can repair it. This is called once after a batch of revisions, because the cost of a
    /// check is linear in the length of the sheet.
    pub fn check_head(&mut self) -> bool {
        if self.checked == self.head.revision {
            return false;
        }
        self.checked = self.head.revision;
        match join(&self.head.parts).and_then(|raw| Sheet::try_from(&raw)) {
            Ok(sheet) => {
                self.fault = None;
                self.in_force = InForce {
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

    /// Returns the last revision that was validated.
    pub fn checked(&self) -> Revision {
        self.checked
    }

    /// Returns the last applied revision with all its parts.
    pub fn head(&self) -> &Snapshot {
        &self.head
    }

    /// Returns the token of the last revision; `None` when that came from a snapshot.
    pub fn token(&self) -> Option<&Arc<str>> {
        self.token.as_ref()
    }

    /// Returns the latest snapshot at a multiple of [`SNAPSHOT_INTERVAL`].
    pub fn checkpoint(&self) -> Option<&Snapshot> {
        self.checkpoint.as_ref()
    }

    /// Returns the sheet in force: that of the last valid revision.
    pub fn in_force(&self) -> &InForce {
        &self.in_force
    }

    /// Returns why the last validated revision is not in force; `None` when it is.
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
        self.update_checkpoint();
    }

    fn update_checkpoint(&mut self) {
        if self.head.revision.is_multiple_of(SNAPSHOT_INTERVAL) {
            self.checkpoint = Some(self.head.clone());
        }
    }
}
