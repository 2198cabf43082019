//! Records in the object store of teams that used up much of their quota, for leaders that start without
//! memory.

use std::{sync::Arc, time::Duration};

use async_io::Timer;
use serde::{Deserialize, Serialize};

use crate::{
    adapter::store::{Freshness, Store, StoreError},
    backoff::Backoff,
    event, fnv,
    ids::{Map, TeamId},
};

use super::gateway::Gateway;

/// Object kind of the records.
const TEAM_USE: &str = "team-use";
/// Delay after the first read that failed; it doubles with each.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum delay after a read that failed.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Record of a team that used up much of its quota.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TeamUse {
    /// The team.
    pub team: TeamId,
    /// Time of the record, in ms since the Unix epoch.
    pub at: u64,
}

/// Returns the name of the record of a team, whose own name may not stand in a path.
fn record_name(team: &str) -> String {
    format!("t{:016x}", fnv::extend(fnv::OFFSET_BASIS, team.bytes()))
}

/// Reads the records, once they can be read. Instances that are killed together know nothing else of what was
/// sent before.
pub async fn read_first(gateway: Arc<Gateway>) {
    let mut backoff = Backoff::new(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
    let mut rng = fastrand::Rng::new();
    // Records matter for one window.
    while gateway.now() < gateway.settings.quota.window {
        match gateway.store.list(TEAM_USE, Freshness::Latest).await {
            Ok((objects, _)) => {
                let now = gateway.shared_millis();
                let records = objects
                    .iter()
                    .filter_map(|o| serde_json::from_str::<TeamUse>(&o.spec).ok());
                let ages = records.map(|r| {
                    let age = Duration::from_millis(now.saturating_sub(r.at));
                    (r.team, age)
                });
                let ages: Map<TeamId, Duration> = ages.collect();
                gateway.teams.set_records(ages, gateway.now());
                return;
            }
            Err(e) => {
                log_failure("read", &e);
                Timer::after(backoff.fail(&mut rng)).await;
            }
        }
    }
}

/// Follows changes of the teams' leaders, and writes the records that are due.
pub fn update(gateway: &Arc<Gateway>) {
    for team in gateway.update_teams() {
        let (gateway, at) = (gateway.clone(), gateway.shared_millis());
        smol::spawn(async move { write(&gateway.store, &TeamUse { team, at }).await }).detach();
    }
}

async fn write(store: &Store, record: &TeamUse) {
    let name = record_name(&record.team);
    let written = match store.replace(TEAM_USE, &name, record).await {
        Err(StoreError::Missing) => store.create(TEAM_USE, &name, record).await,
        other => other,
    };
    if let Err(e) = written {
        log_failure("write", &e);
    }
}

fn log_failure(call: &str, error: &StoreError) {
    event!(
        Info,
        StoreCallFailed,
        "kind={TEAM_USE} call={call} reason=\"{error}\""
    );
}
