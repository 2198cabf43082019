//! Bounds the log lines on entries that cannot be used.

use std::fmt::Display;

use crate::{event, fnv, ids::Set};

/// Maximum number of entries that are remembered; further ones get no line.
const MAX_ENTRIES: usize = 10_000;
/// Maximum length of a name in a line, in characters.
const SHOWN_CHARS: usize = 200;

/// Remembers which entries were logged. They are read again and again as long as they stand.
#[derive(Debug, Default)]
pub struct FaultLog {
    known: Set<u64>,
}

impl FaultLog {
    /// Returns whether an entry is to be logged, which is the case once.
    pub fn admit(&mut self, kind: &str, name: &str) -> bool {
        let has_room = self.known.len() < MAX_ENTRIES;
        let hash = fnv::extend(
            fnv::OFFSET_BASIS,
            kind.bytes().chain([0]).chain(name.bytes()),
        );
        has_room && self.known.insert(hash)
    }

    /// Logs an entry that is left out, unless that was done before.
    pub fn log(&mut self, kind: &str, name: &str, reason: &dyn Display) {
        if self.admit(kind, name) {
            let shown: String = name.chars().take(SHOWN_CHARS).collect();
            event!(
                Warn,
                EntryInvalid,
                "kind={kind} entry={shown:?} reason=\"{reason:#}\""
            );
        }
    }
}
