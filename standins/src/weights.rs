//! Stand-in for the weight store: serves weights at a limited rate.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use async_io::Timer;
use clap::Parser;
use serde::{Deserialize, Serialize};
use serde_json::json;
use trillium::{Conn, Handler, Method};

use crate::{
    faults::{Gate, GateFaults},
    ledger::Counter,
    reply,
};

/// Value of `Retry-After` for refused reads, in seconds.
const RETRY_AFTER_S: &str = "1";

/// Runs a stand-in for the weight store.
#[derive(Debug, Clone)]
#[derive(Parser)]
pub struct Options {
    /// Address to listen on; port 0 takes a free one and prints it.
    #[arg(long, value_name = "IP:PORT", default_value = "127.0.0.1:0")]
    pub address: SocketAddr,
    /// Maximum reads within the window; further ones get 429. 0 is without limit.
    #[arg(long, value_name = "COUNT", default_value_t = 4)]
    pub rate: usize,
    /// Window of the rate, in milliseconds.
    #[arg(long, value_name = "MS", default_value_t = 1000)]
    pub window_ms: u64,
    /// Time that a read takes, in milliseconds.
    #[arg(long, value_name = "MS", default_value_t = 0)]
    pub read_ms: u64,
}

/// Faults of the weight store. Each `POST /faults` replaces all of them.
#[derive(Debug, Clone, Default)]
#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Delay, outage and cuts.
    pub gate: GateFaults,
}

/// One read that was served.
#[derive(Debug, Clone)]
#[derive(Serialize)]
struct Read {
    model: String,
    version: String,
    party: String,
}

#[derive(Debug, Clone, Default)]
#[derive(Serialize)]
struct Ledger {
    reads: Vec<Read>,
    asked: Counter,
    refused: u64,
}

#[derive(Debug, Default)]
struct State {
    ledger: Ledger,
    served: Vec<Instant>,
}

/// The weight store.
#[derive(Debug, Clone)]
pub struct Weights {
    options: Arc<Options>,
    gate: Arc<Gate>,
    state: Arc<Mutex<State>>,
}

impl Weights {
    /// Creates a weight store that has every model.
    pub fn new(options: Options) -> Self {
        Self {
            options: Arc::new(options),
            gate: Arc::default(),
            state: Arc::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a read and returns whether it is within the rate.
    fn admit(&self) -> bool {
        let now = Instant::now();
        let mut state = self.lock();
        state.ledger.asked.add(now);
        let window = Duration::from_millis(self.options.window_ms);
        state.served.retain(|at| now - *at < window);
        let within = self.options.rate == 0 || state.served.len() < self.options.rate;
        if within {
            state.served.push(now);
        } else {
            state.ledger.refused += 1;
        }
        within
    }

    async fn serve(&self, conn: Conn, model: &str, version: &str) -> Conn {
        if !self.admit() {
            let conn = conn.with_response_header("retry-after", RETRY_AFTER_S);
            return reply::error(conn, 429, "over the rate");
        }
        Timer::after(Duration::from_millis(self.options.read_ms)).await;
        let read = Read {
            model: model.into(),
            version: version.into(),
            party: reply::party(&conn).unwrap_or_default().into(),
        };
        self.lock().ledger.reads.push(read);
        reply::json(conn, 200, &json!({ "model": model, "version": version }))
    }
}

impl Handler for Weights {
    async fn run(&self, mut conn: Conn) -> Conn {
        let path = conn.path().to_owned();
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        match (conn.method(), parts.as_slice()) {
            (Method::Post, ["faults"]) => match reply::body::<Faults>(&mut conn).await {
                Ok(faults) => {
                    self.gate.set(faults.gate);
                    reply::json(conn, 200, &json!({}))
                }
                Err(e) => reply::error(conn, 400, &e),
            },
            (Method::Get, ["ledger"]) => {
                let ledger = self.lock().ledger.clone();
                reply::json(conn, 200, &ledger)
            }
            (Method::Get, ["weights", model, version]) => match self.gate.pass(conn).await {
                Ok(conn) => self.serve(conn, model, version).await,
                Err(conn) => conn,
            },
            _ => reply::error(conn, 404, "no such path"),
        }
    }
}
