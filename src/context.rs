//! State shared by all parts of a running entry instance.

use std::sync::Arc;

use arc_swap::ArcSwap;
use smol::channel::{Receiver, Sender};

use crate::{
    batch_state::BatchState,
    budget::ByteBudget,
    drain::Drain,
    engine::Engine,
    ids::{InstanceId, SessionId, WorkerId},
    platform::Platform,
    route::Router,
    settings::Settings,
    status::SharedStatus,
    view::SharedView,
    workers::WorkerTable,
};

/// Maximum number of commands queued for the control thread.
const COMMAND_CAPACITY: usize = 4096;

/// A message from the traffic threads to the control thread.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// The number of online requests on a worker that another instance owns has changed.
    OnlineLevel {
        /// The worker.
        worker: WorkerId,
        /// Its owner.
        owner: InstanceId,
    },
    /// An operator has written an object of a watched kind, which should be read at once.
    Refresh,
}

/// State that all parts of an entry instance share.
#[derive(Debug)]
pub struct Context {
    /// Checked settings.
    pub settings: Settings,
    /// Id of this run of the instance.
    pub session: SessionId,
    /// Latest view, published by control.
    pub view: SharedView,
    /// Router of the latest view, published by control.
    pub router: Arc<ArcSwap<Router>>,
    /// Live counts of the workers.
    pub workers: WorkerTable,
    /// Client of the platform.
    pub platform: Platform,
    /// Client of model engines.
    pub engine: Engine,
    /// State shared by the batch driver and the batch HTTP handlers.
    pub batch: BatchState,
    /// Limit on the request bodies that are being read.
    pub body_budget: ByteBudget,
    /// Phase of a planned stop.
    pub drain: Drain,
    /// Latest status for operators, published by control.
    pub status: SharedStatus,
    /// Messages to control.
    pub commands: Sender<Command>,
}

impl Context {
    /// Builds the shared state and the receiver for the control thread.
    pub fn new(settings: Settings, session: SessionId) -> (Arc<Self>, Receiver<Command>) {
        let (commands, receiver) = smol::channel::bounded(COMMAND_CAPACITY);
        let timeouts = settings.timeouts.clone();
        let platform = Platform::new(settings.platform, timeouts.connect, timeouts.platform)
            .with_party(&settings.instance);
        let context = Self {
            body_budget: ByteBudget::new(settings.limits.reading),
            settings,
            session,
            view: SharedView::default(),
            router: Arc::default(),
            workers: WorkerTable::default(),
            platform,
            engine: Engine::new(timeouts),
            batch: BatchState::default(),
            drain: Drain::default(),
            status: SharedStatus::default(),
            commands,
        };
        (Arc::new(context), receiver)
    }
}
