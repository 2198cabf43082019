//! Messages between entry instances and their encoding.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use capnp::Error;

use crate::{
    ids::{Map, ModelId, Version, WorkerId},
    members::{Heartbeat, Identity},
    peer_capnp::{change, digest, heard, worker_load},
    platform::Change,
    spread::{Delta, Watched},
};

/// Load of a worker, as reported by its owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerLoad {
    /// The worker.
    pub worker: WorkerId,
    /// Maximum number of concurrent streams.
    pub slots: u32,
    /// Online streams in flight.
    pub online: u32,
    /// Batch streams in flight.
    pub batch: u32,
    /// Requests that the engine has admitted but not started.
    pub waiting: u32,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// Loaded model.
    pub model: Option<ModelId>,
    /// Version of the model.
    pub version: Arc<str>,
}

/// Summary of an instance that is sent in an exchange.
#[derive(Debug, Clone, PartialEq)]
pub struct Digest {
    /// The sender.
    pub identity: Identity,
    /// Version of the latest known change of each watched kind.
    pub views: Map<Watched, Version>,
    /// Loads of workers that the sender owns.
    pub loads: Vec<WorkerLoad>,
    /// Heartbeats of other instances.
    pub heartbeats: Vec<Heartbeat>,
}

/// Writes a digest.
pub fn write_digest(digest: &Digest, mut to: digest::Builder<'_>) {
    let identity = &digest.identity;
    to.set_instance(&*identity.id);
    to.set_session(identity.session);
    to.set_zone(&*identity.zone);
    to.set_leaving(identity.leaving);
    to.set_address(identity.address.to_string());
    let mut views = to.reborrow().init_views(digest.views.len() as u32);
    for (i, (kind, version)) in digest.views.iter().enumerate() {
        let mut view = views.reborrow().get(i as u32);
        view.set_kind(kind.as_str());
        view.set_version(*version);
    }
    let mut loads = to.reborrow().init_loads(digest.loads.len() as u32);
    for (i, load) in digest.loads.iter().enumerate() {
        write_load(load, loads.reborrow().get(i as u32));
    }
    let mut heartbeats = to.init_heard(digest.heartbeats.len() as u32);
    for (i, item) in digest.heartbeats.iter().enumerate() {
        let mut to = heartbeats.reborrow().get(i as u32);
        to.set_run(item.run);
        to.set_age_ms(item.age.as_millis() as u32);
    }
}

fn write_load(load: &WorkerLoad, mut to: worker_load::Builder<'_>) {
    to.set_worker(&*load.worker);
    to.set_slots(load.slots);
    to.set_online(load.online);
    to.set_batch(load.batch);
    to.set_waiting(load.waiting);
    to.set_leaving(load.leaving);
    to.set_model(load.model.as_deref().unwrap_or_default());
    to.set_version(&*load.version);
}

/// Reads a digest. Kinds of later releases are skipped.
///
/// # Errors
///
/// Returns an error when the message is malformed.
pub fn read_digest(from: digest::Reader<'_>) -> Result<Digest, Error> {
    let address: SocketAddr = from
        .get_address()?
        .to_str()?
        .parse()
        .map_err(|_| Error::failed("the digest has no address".into()))?;
    let identity = Identity {
        id: from.get_instance()?.to_str()?.into(),
        session: from.get_session(),
        zone: from.get_zone()?.to_str()?.into(),
        address,
        leaving: from.get_leaving(),
    };
    let mut views = Map::default();
    for view in from.get_views()? {
        if let Some(kind) = Watched::parse(view.get_kind()?.to_str()?) {
            views.insert(kind, view.get_version());
        }
    }
    let loads = from.get_loads()?.iter().map(read_load);
    Ok(Digest {
        identity,
        views,
        loads: loads.collect::<Result<_, _>>()?,
        heartbeats: from.get_heard()?.iter().map(read_heartbeat).collect(),
    })
}

fn read_load(from: worker_load::Reader<'_>) -> Result<WorkerLoad, Error> {
    let model = from.get_model()?.to_str()?;
    Ok(WorkerLoad {
        worker: from.get_worker()?.to_str()?.into(),
        slots: from.get_slots(),
        online: from.get_online(),
        batch: from.get_batch(),
        waiting: from.get_waiting(),
        leaving: from.get_leaving(),
        model: Some(model).filter(|m| !m.is_empty()).map(Into::into),
        version: from.get_version()?.to_str()?.into(),
    })
}

fn read_heartbeat(from: heard::Reader<'_>) -> Heartbeat {
    Heartbeat {
        run: from.get_run(),
        age: Duration::from_millis(from.get_age_ms().into()),
    }
}

/// Writes the changes of a delta.
pub fn write_changes(delta: &Delta, mut to: capnp::struct_list::Builder<'_, change::Owned>) {
    for (i, change) in delta.changes.iter().enumerate() {
        let mut item = to.reborrow().get(i as u32);
        item.set_name(&*change.name);
        item.set_version(change.version);
        match &change.value {
            Some(value) => item.set_value(value.to_string().as_bytes()),
            None => item.set_removed(true),
        }
    }
}

/// Reads the changes of a delta.
///
/// # Errors
///
/// Returns an error when the message is malformed.
pub fn read_changes(
    from: capnp::struct_list::Reader<'_, change::Owned>,
) -> Result<Vec<Change>, Error> {
    from.iter().map(read_change).collect()
}

fn read_change(from: change::Reader<'_>) -> Result<Change, Error> {
    let value = if from.get_removed() {
        None
    } else {
        let value = serde_json::from_slice(from.get_value()?);
        Some(value.map_err(|e| Error::failed(format!("the value of an object is not JSON: {e}")))?)
    };
    Ok(Change {
        name: from.get_name()?.to_str()?.into(),
        version: from.get_version(),
        value,
    })
}
