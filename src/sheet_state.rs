//! Application and compaction of the sheet log on the control thread.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{
    control_state::State,
    event,
    ids::Version,
    metrics,
    platform::Object,
    sheet_log::{self, SNAPSHOT_INTERVAL, Snapshot},
    spread::{Delta, Watched},
    store::SavedSheet,
};

/// Time between two checks of the sheet as a multiple of the duration of a check. A check is linear
/// in the length of the sheet: with 8,900 teams and one change per second, a check for each change
/// would take 0.8% of a core.
const CHECK_SHARE: u32 = 400;
/// Longest time between two checks while the sheet changes: a quarter of the time within which a
/// change must come into force.
const CHECK_DELAY: Duration = Duration::from_secs(4);

impl State {
    /// Restores a sheet from the data folder.
    pub fn restore(&mut self, saved: SavedSheet, now: Duration) {
        let delta = Delta {
            since: 0,
            version: saved.version,
            full: false,
            changes: vec![snapshot_object(&saved.snapshot, saved.version).into()],
        };
        event!(Info, SheetRestored, "revision={}", saved.snapshot.revision);
        self.merge(Watched::Sheet, delta, now);
    }

    /// Returns the sheet to save in the data folder.
    pub fn saved(&self) -> SavedSheet {
        let view = self.view(Watched::Sheet);
        let head = self.log.head();
        // A revision that was read after a push is in the log before a watch advances the view.
        let last = view.objects().get(&*sheet_log::entry_name(head.revision));
        let version = last.map_or(0, |o| o.version);
        SavedSheet {
            version: version.max(view.latest()),
            snapshot: head.clone(),
        }
    }

    /// Applies the objects in the view of the sheet log to the log.
    pub(crate) fn apply_sheet_view(&mut self, now: Duration) {
        let view = &self.views[&Watched::Sheet];
        let mut names: Vec<&Arc<str>> = view.objects().keys().collect();
        // Latest first; snapshots sort before entries here and are applied first.
        names.sort_by(|a, b| b.cmp(a));
        let (snapshots, entries): (Vec<_>, Vec<_>) = names
            .into_iter()
            .partition(|n| sheet_log::revision_of(n).is_none());
        for name in snapshots.into_iter().chain(entries.into_iter().rev()) {
            let head = self.log.head().revision;
            if sheet_log::revision_of(name).is_none_or(|r| r > head) {
                self.log.offer_object(name, &view.objects()[name].value);
            }
        }
        self.check_sheet(now);
        self.compact();
    }

    /// Checks the sheet at the head of the log, unless the last check was too recent.
    pub(crate) fn check_sheet(&mut self, now: Duration) {
        if self.log.checked() == self.log.head().revision || now < self.check_due {
            return;
        }
        let begun = Instant::now();
        let before = self.log.fault().cloned();
        if self.log.check_head() {
            self.dirty = true;
            let revision = self.log.in_force().revision;
            event!(Info, SheetInForce, "revision={revision}");
            metrics::sheet_revision(revision);
        } else if let Some(fault) = self.log.fault().filter(|f| Some(*f) != before.as_ref()) {
            event!(
                Warn,
                SheetInvalid,
                "revision={} {fault}",
                self.log.head().revision
            );
        }
        let pause = begun.elapsed() * CHECK_SHARE;
        self.check_due = now + pause.min(CHECK_DELAY);
    }

    /// Replaces old entries of the sheet log by a snapshot, which bounds the view.
    fn compact(&mut self) {
        let Some(view) = self.views.get_mut(&Watched::Sheet) else {
            return;
        };
        let Some(snapshot) = self.log.checkpoint() else {
            return;
        };
        let is_long = view.objects().len() as u64 > 2 * SNAPSHOT_INTERVAL;
        let last = view
            .objects()
            .get(&*sheet_log::entry_name(snapshot.revision));
        let (true, Some(version)) = (is_long, last.map(|o| o.version)) else {
            return;
        };
        let covered =
            |name: &str| sheet_log::revision_of(name).is_none_or(|r| r <= snapshot.revision);
        view.compact(covered, snapshot_object(snapshot, version));
    }
}

fn snapshot_object(snapshot: &Snapshot, version: Version) -> Object {
    Object {
        name: sheet_log::snapshot_name(snapshot.revision).into(),
        version,
        value: serde_json::to_value(snapshot).unwrap_or_default(),
    }
}
