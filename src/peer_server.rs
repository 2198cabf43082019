//! RPC server for the other entry instances.

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use async_io::Timer;
use capnp::{Error, message::ReaderOptions};
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use smol::net::{TcpListener, TcpStream};

use crate::{
    control::Control,
    exchange,
    ids::{InstanceId, WorkerId},
    peer::{read_digest, write_changes, write_digest},
    peer_capnp::peer,
    peer_stream::{self, Halves},
    spread::Watched,
};

/// Time without a call after which a connection is closed. A peer that is lost does not close its
/// side.
const IDLE_LIMIT: Duration = Duration::from_secs(60);
/// Delay after a failed accept.
const ACCEPT_RETRY: Duration = Duration::from_millis(100);

/// Handler of the calls on one connection.
struct Session {
    control: Rc<Control>,
    last_call: Rc<Cell<Instant>>,
}

/// Accepts connections of other entry instances.
pub async fn serve(control: Rc<Control>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => control.spawn(run(control.clone(), stream)),
            Err(e) => {
                log::warn!("cannot accept a connection of a peer: {e}");
                Timer::after(ACCEPT_RETRY).await;
            }
        }
    }
}

async fn run(control: Rc<Control>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let last_call = Rc::new(Cell::new(Instant::now()));
    let session = Session {
        control,
        last_call: last_call.clone(),
    };
    let client: peer::Client = capnp_rpc::new_client(session);
    let work = async {
        let Ok(Halves { reader, writer }) = peer_stream::accepted(stream).await else {
            return;
        };
        let network = VatNetwork::new(reader, writer, Side::Server, ReaderOptions::new());
        let system = RpcSystem::new(Box::new(network), Some(client.client));
        let _ = system.await;
    };
    smol::future::or(work, wait_idle(last_call)).await;
}

async fn wait_idle(last_call: Rc<Cell<Instant>>) {
    while last_call.get().elapsed() < IDLE_LIMIT {
        Timer::at(last_call.get() + IDLE_LIMIT).await;
    }
}

impl peer::Server for Session {
    async fn exchange(
        self: Rc<Self>,
        params: peer::ExchangeParams,
        mut results: peer::ExchangeResults,
    ) -> Result<(), Error> {
        self.last_call.set(Instant::now());
        let digest = read_digest(params.get()?.get_digest()?)?;
        let answer = exchange::respond(&self.control, digest);
        write_digest(&answer, results.get().init_digest());
        Ok(())
    }

    async fn changes(
        self: Rc<Self>,
        params: peer::ChangesParams,
        mut results: peer::ChangesResults,
    ) -> Result<(), Error> {
        self.last_call.set(Instant::now());
        let params = params.get()?;
        let kind = Watched::parse(params.get_kind()?.to_str()?)
            .ok_or_else(|| Error::failed("no such kind is watched".into()))?;
        let delta = self
            .control
            .state()
            .view(kind)
            .delta_since(params.get_since());
        let mut to = results.get();
        to.set_version(delta.version);
        to.set_full(delta.full);
        write_changes(&delta, to.init_changes(delta.changes.len() as u32));
        Ok(())
    }

    async fn online(
        self: Rc<Self>,
        params: peer::OnlineParams,
        _: peer::OnlineResults,
    ) -> Result<(), Error> {
        self.last_call.set(Instant::now());
        let params = params.get()?;
        let instance: InstanceId = params.get_instance()?.to_str()?.into();
        let worker: WorkerId = params.get_worker()?.to_str()?.into();
        let run = (instance, params.get_session());
        let (control, now) = (&self.control, self.control.now());
        control
            .state()
            .set_level(&control.ctx, run, &worker, params.get_level(), now);
        Ok(())
    }
}
