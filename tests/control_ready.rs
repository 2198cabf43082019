//! When an instance takes requests after its start.

use std::{collections::BTreeMap, time::Duration};

use gentianpath::{
    control_state::{KnownLoad, State},
    instance_list::{ListState, ListedTarget, TargetKind},
    members::{Identity, target_name},
    peer::WorkerLoad,
    platform::Object,
    sheet::{RawModel, RawSheet},
    sheet_log::{Entry, difference, entry_name, split},
    spread::Watched,
};

const NOW: Duration = Duration::from_secs(1);

fn object(name: &str, value: impl serde::Serialize) -> Object {
    Object {
        name: name.into(),
        version: 1,
        value: serde_json::to_value(value).unwrap(),
    }
}

/// Returns the state of an instance that knows the sheet and no list.
fn state() -> State {
    let address = ([127, 0, 0, 1], 1).into();
    let local = Identity {
        id: "a".into(),
        session: 1,
        zone: "ipswich".into(),
        address,
        leaving: false,
    };
    let model = RawModel {
        name: "m".into(),
        version: "v1".into(),
        adapters: vec![],
        min_workers: 1,
        slots: 1,
    };
    let sheet = RawSheet {
        deployment: "benchline".into(),
        throughput_weight: 0.5,
        models: vec![model],
        ..RawSheet::default()
    };
    let entry = Entry {
        token: "writer".into(),
        base: 0,
        changes: difference(&BTreeMap::default(), &split(&sheet).unwrap()),
    };
    let mut state = State::new(local, 1);
    state.merge_objects(Watched::Sheet, vec![object(&entry_name(1), &entry)], NOW);
    state
}

/// Guards against a restarted instance that counts as ready through a peer's loads while its own list
/// has no worker, and refuses requests.
#[test]
fn loads_of_workers_that_are_not_listed_make_no_instance_ready() {
    let mut state = state();
    let load = WorkerLoad {
        worker: "w".into(),
        slots: 1,
        online: 0,
        batch: 0,
        waiting: 0,
        leaving: false,
        model: Some("m".into()),
        version: "v1".into(),
    };
    state.loads.insert("w".into(), KnownLoad { load, at: NOW });
    assert!(!state.is_initialized(NOW), "no worker is listed");
    let target = ListedTarget {
        id: "w".into(),
        kind: TargetKind::Engine,
        service: "".into(),
        address: ([127, 0, 0, 1], 2).into(),
        zone: "ipswich".into(),
        state: ListState::default(),
    };
    let listed = object(&target_name("w"), &target);
    state.merge_objects(Watched::Instances, vec![listed], NOW);
    assert!(state.is_initialized(NOW));
}
