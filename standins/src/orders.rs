//! Orders to the engine: fencing, and loading of models and adapters.

use std::time::Duration;

use async_io::Timer;
use serde::{Deserialize, Serialize};

use crate::{
    engine::{Engine, Options, State},
    register,
};

/// Action of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Action {
    /// Load a model or adapter.
    Load,
    /// Unload a model or adapter.
    Unload,
    /// Change the role.
    Role,
}

/// An order.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Order {
    /// Fencing number.
    pub fence: u64,
    /// What to do.
    pub action: Action,
    /// Model.
    #[serde(default)]
    pub model: Option<String>,
    /// Version of the model.
    #[serde(default)]
    pub version: Option<String>,
    /// Adapter.
    #[serde(default)]
    pub adapter: Option<String>,
    /// Role.
    #[serde(default)]
    pub role: Option<String>,
}

/// An order as the ledger lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct OrderRecord {
    /// The order.
    #[serde(flatten)]
    pub order: Order,
    /// Whether it was applied.
    pub obeyed: bool,
    /// Time of the order, in milliseconds since the engine started.
    pub at_ms: u64,
}

/// Loaded model and adapters of an engine.
#[derive(Debug, Clone, Default)]
pub struct Loaded {
    /// Model.
    pub model: Option<String>,
    /// Version of the model.
    pub version: String,
    /// Adapters.
    pub adapters: Vec<String>,
    /// Role.
    pub role: String,
    /// Model that is being loaded.
    pub loading: Option<String>,
    /// Highest fencing number seen.
    pub fence: u64,
    /// Number of the last load; a later load replaces an unfinished earlier one.
    generation: u64,
}

impl Loaded {
    /// Returns what is loaded at the start.
    pub fn new(options: &Options) -> Self {
        Self {
            model: options.model.clone(),
            version: options
                .model
                .as_ref()
                .map_or(String::new(), |_| options.version.clone()),
            role: options.role.clone(),
            ..Self::default()
        }
    }
}

/// Error for an order with an old fencing number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stale {
    /// Highest fencing number seen.
    pub fence: u64,
}

/// Applies an order, or refuses it if the engine checks fencing numbers and has seen a higher one.
///
/// # Errors
///
/// Returns [`Stale`] for an old fencing number.
pub fn apply(engine: &Engine, order: &Order) -> Result<(), Stale> {
    let mut state = engine.lock();
    let fence = state.loaded.fence;
    let obeyed = !engine.options.check_fence || order.fence >= fence;
    state.orders.push(OrderRecord {
        order: order.clone(),
        obeyed,
        at_ms: engine.uptime_ms(),
    });
    if !obeyed {
        return Err(Stale { fence });
    }
    state.loaded.fence = fence.max(order.fence);
    match order.action {
        Action::Load => load(engine, &mut state, order),
        Action::Unload => unload(&mut state, order),
        Action::Role => state.loaded.role = order.role.clone().unwrap_or_default(),
    }
    engine.record_report(&mut state);
    Ok(())
}

fn load(engine: &Engine, state: &mut State, order: &Order) {
    let version = order.version.clone().unwrap_or_default();
    let model = order.model.clone().or_else(|| state.loaded.model.clone());
    let Some(model) = model else {
        return;
    };
    let same_model = state.loaded.model.as_ref() == Some(&model);
    let same = same_model && (order.version.is_none() || state.loaded.version == version);
    match &order.adapter {
        Some(adapter) if same && state.loaded.adapters.contains(adapter) => return,
        None if same => return,
        _ => {}
    }
    if !same {
        state.fail_all();
        state.prefix.clear();
        state.loaded.model = None;
        state.loaded.adapters.clear();
    }
    state.loaded.loading = Some(model.clone());
    state.loaded.generation += 1;
    let pending = PendingLoad {
        generation: state.loaded.generation,
        model,
        version: if same {
            state.loaded.version.clone()
        } else {
            version
        },
        adapter: order.adapter.clone(),
    };
    async_global_executor::spawn(finish_load(engine.clone(), pending)).detach();
}

/// Result of a load that is in progress.
struct PendingLoad {
    generation: u64,
    model: String,
    version: String,
    adapter: Option<String>,
}

async fn finish_load(engine: Engine, pending: PendingLoad) {
    register::fetch_weights(&engine, &pending.model, &pending.version).await;
    Timer::after(Duration::from_millis(engine.options.load_ms)).await;
    let mut state = engine.lock();
    if state.loaded.generation != pending.generation {
        return;
    }
    state.loaded.loading = None;
    state.loaded.model = Some(pending.model);
    state.loaded.version = pending.version;
    state.loaded.adapters.extend(pending.adapter);
    engine.record_report(&mut state);
}

fn unload(state: &mut State, order: &Order) {
    if let Some(adapter) = &order.adapter {
        state.loaded.adapters.retain(|a| a != adapter);
        return;
    }
    state.fail_all();
    state.prefix.clear();
    state.loaded.model = None;
    state.loaded.version.clear();
    state.loaded.adapters.clear();
    state.loaded.loading = None;
    state.loaded.generation += 1;
}
