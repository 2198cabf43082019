//! Watches of the sheet, the jobs and the instance list of the platform, by two instances per zone.
//!
//! The instance list is polled by the watchers and passed on like the other kinds. At the target
//! size it is about 1.4 MB long, so a poll requests only the changes since the last one.

use std::{rc::Rc, time::Duration};

use async_io::Timer;
use serde::Deserialize;

use crate::{
    backoff::Backoff,
    clock,
    control::Control,
    drain::Phase,
    instance_list::{ListAnswer, ListState, ListedEntry},
    listing, members,
    platform::{Kind, Listing, Object, Platform, ReadError},
    sheet_log::{self, Snapshot},
    spread::{Delta, Watched},
};

/// Longest wait of a watch.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// Interval between polls of the instance list.
const LIST_INTERVAL: Duration = Duration::from_secs(2);
/// Interval between reads of the full instance list when its service returns only changes to polls.
const FULL_READ_INTERVAL: Duration = Duration::from_secs(600);
/// Interval at which an instance checks whether it is a watcher, or about to stop.
const ROLE_INTERVAL: Duration = Duration::from_millis(250);
/// Time after which an instance that is missing from the list registers again.
const REREGISTER_AFTER: Duration = Duration::from_secs(10);
/// Upper bound of the first wait after the platform did not answer.
const RETRY_BASE: Duration = Duration::from_millis(200);
/// Upper bound of any wait after the platform did not answer.
const RETRY_CAP: Duration = Duration::from_secs(10);
/// Number of sheet snapshots that are kept. A reader may still use the one before the last.
const SNAPSHOTS_KEPT: usize = 2;

/// Keeps the view of a kind up to date while this instance is a watcher.
pub async fn run(control: Rc<Control>, kind: Watched, stored: Kind) {
    let mut backoff = Backoff::new(RETRY_BASE, RETRY_CAP);
    let mut list_first = true;
    loop {
        if !control.state().update_watcher(control.now()) {
            control.sleep_jittered(ROLE_INTERVAL).await;
            continue;
        }
        let since = control.state().view(kind).version();
        let result = if list_first {
            list_all(&control.ctx.platform, stored).await
        } else {
            let changes = control.ctx.platform.watch(stored, since, WATCH_WAIT).await;
            changes.map(|c| Delta::of_watch(since, c))
        };
        match result {
            Ok(delta) => {
                list_first = false;
                record_success(&control, &mut backoff, kind.as_str());
                if kind == Watched::Sheet {
                    control.state().answered = true;
                }
                control.merge(kind, delta);
            }
            Err(ReadError::Gone) => list_first = true,
            Err(ReadError::Unavailable) => back_off(&control, &mut backoff, kind.as_str()).await,
        }
    }
}

fn record_success(control: &Control, backoff: &mut Backoff, kind: &str) {
    control.state().last_contact = Some(control.now());
    if backoff.failures() > 0 {
        backoff.succeed();
        control.log_platform(kind, 0);
    }
}

async fn back_off(control: &Control, backoff: &mut Backoff, kind: &str) {
    let time = backoff.fail(&mut control.state().rng);
    control.log_platform(kind, backoff.failures());
    Timer::after(time).await;
}

/// Lists a kind in pages. The sheet log is read from its latest snapshot onwards.
///
/// # Errors
///
/// Returns [`ReadError::Unavailable`] when the platform does not answer.
pub async fn list_all(platform: &Platform, kind: Kind) -> Result<Delta, ReadError> {
    let mut snapshot = None;
    if kind == Kind::Sheet {
        let mut snapshots = list_snapshots(platform).await?;
        snapshot = snapshots.items.pop().map(|s| (snapshots.version, s));
    }
    let Some((version, snapshot)) = snapshot else {
        return Ok(Delta::of_listing(platform.list_all(kind, "").await?));
    };
    let after = snapshot.name.clone();
    let revision = sheet_log::revision_of(&after).unwrap_or(0);
    let mut items = vec![Object {
        name: sheet_log::snapshot_name(revision).into(),
        ..snapshot
    }];
    items.append(&mut platform.list_all(kind, &after).await?.items);
    Ok(Delta::of_listing(Listing { version, items }))
}

/// Lists the snapshots of the sheet. Objects of another writer among them count for none.
async fn list_snapshots(platform: &Platform) -> Result<Listing, ReadError> {
    let mut listing = platform.list_all(Kind::SheetSnapshot, "").await?;
    listing.items.retain(|o| {
        let is_whole = Snapshot::deserialize(&o.value).is_ok();
        is_whole && sheet_log::revision_of(&o.name).is_some()
    });
    Ok(listing)
}

/// Reads the entries of the sheet log that this instance lacks, without waiting for a watch.
pub async fn refresh(control: Rc<Control>) {
    let after = sheet_log::entry_name(control.state().log.head().revision);
    if let Ok(listing) = control.ctx.platform.list_all(Kind::Sheet, &after).await {
        let now = control.now();
        control
            .state()
            .merge_objects(Watched::Sheet, listing.items, now);
        control.request_publish();
    }
}

/// Polls the instance list while this instance is a watcher: mostly for changes, at times for the
/// full list, so that missed changes are found.
pub async fn run_instances(control: Rc<Control>) {
    let mut backoff = Backoff::new(RETRY_BASE, RETRY_CAP);
    let mut full_read_due = Duration::ZERO;
    loop {
        let now = control.now();
        if !control.state().update_watcher(now) {
            control.sleep_jittered(ROLE_INTERVAL).await;
            continue;
        }
        match read_list(&control, now >= full_read_due).await {
            Ok(was_full) => {
                record_success(&control, &mut backoff, Watched::Instances.as_str());
                if was_full {
                    full_read_due = now + control.jittered(FULL_READ_INTERVAL);
                }
                control.sleep_jittered(LIST_INTERVAL).await;
            }
            Err(_) => back_off(&control, &mut backoff, Watched::Instances.as_str()).await,
        }
    }
}

/// Reads the changes of the instance list, and the full list if `full` is set or the changes are
/// not available. Returns whether this counts as a full read, which follows a read of the changes,
/// because the list is compared only with a view of the same version.
///
/// # Errors
///
/// Returns [`ReadError::Unavailable`] when the platform does not answer.
async fn read_list(control: &Control, full: bool) -> Result<bool, ReadError> {
    let platform = &control.ctx.platform;
    let since = listing::service_version(control.state().view(Watched::Instances));
    if let Some(since) = since {
        match platform.instances_since(since).await {
            Ok(answer) => {
                merge_list(control, &answer);
                if !full || matches!(answer, ListAnswer::Unfiltered(_)) {
                    return Ok(full);
                }
            }
            Err(ReadError::Gone) => {}
            Err(e) => return Err(e),
        }
    }
    let list = platform.instances().await?;
    merge_list(control, &ListAnswer::Whole(list));
    Ok(true)
}

fn merge_list(control: &Control, answer: &ListAnswer) {
    let delta = listing::delta_of(
        control.state().view(Watched::Instances),
        answer,
        clock::unix_millis(),
    );
    if let Some(delta) = delta {
        if delta.full {
            control.state().withhold_list(control.now());
        }
        control.merge(Watched::Instances, delta);
    }
}

/// Keeps this instance registered in the instance list with its current state.
pub async fn run_register(control: Rc<Control>) {
    let mut backoff = Backoff::new(RETRY_BASE, RETRY_CAP);
    let mut registered: Option<(ListState, Duration)> = None;
    loop {
        let entry = local_entry(&control);
        let now = control.now();
        let current = registered.is_some_and(|(state, at)| {
            let recent = now.saturating_sub(at) < REREGISTER_AFTER;
            state == entry.state && (recent || is_listed(&control, &entry))
        });
        if current {
            control.sleep_jittered(ROLE_INTERVAL).await;
            continue;
        }
        match control.ctx.platform.register(&entry).await {
            Ok(()) => {
                backoff.succeed();
                registered = Some((entry.state, now));
            }
            Err(_) => {
                let time = backoff.fail(&mut control.state().rng);
                Timer::after(time).await;
            }
        }
    }
}

fn local_entry(control: &Control) -> ListedEntry {
    let settings = &control.ctx.settings;
    let state = match control.ctx.drain.phase() {
        Phase::Running => ListState::Live,
        Phase::Leaving | Phase::Draining => ListState::Leaving,
    };
    ListedEntry {
        id: settings.instance.clone(),
        session: control.ctx.session,
        address: settings.callers,
        peer_address: settings.peer,
        zone: settings.zone.clone(),
        state,
    }
}

fn is_listed(control: &Control, entry: &ListedEntry) -> bool {
    let state = control.state();
    let name = members::entry_name(&entry.id);
    let listed = state.view(Watched::Instances).objects().get(&*name);
    listed.is_some_and(|o| serde_json::to_value(entry).is_ok_and(|v| v == o.value))
}

/// Writes a snapshot of the sheet and removes old ones, see [`SNAPSHOTS_KEPT`].
pub async fn write_snapshot(platform: &Platform, snapshot: &Snapshot) {
    let name = sheet_log::entry_name(snapshot.revision);
    if let Err(e) = platform.create(Kind::SheetSnapshot, &name, snapshot).await {
        log::warn!(
            "cannot write the snapshot of revision {}: {e}",
            snapshot.revision
        );
        return;
    }
    let Ok(snapshots) = list_snapshots(platform).await else {
        return;
    };
    let old = snapshots.items.len().saturating_sub(SNAPSHOTS_KEPT);
    for object in &snapshots.items[..old] {
        let _ = platform
            .delete(Kind::SheetSnapshot, &object.name, object.version)
            .await;
    }
}
