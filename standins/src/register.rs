//! Calls that an engine makes: registration at the platform and reads from the weight store.

use std::{net::SocketAddr, time::Duration};

use async_io::Timer;
use serde_json::json;
use trillium_client::Client;
use trillium_smol::ClientConfig;

use crate::{engine::Engine, reply::PARTY_HEADER};

/// Time between two attempts of a failed call.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Bound on one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of attempts of a registration.
const ATTEMPTS: u32 = 50;

/// Registers the engine on the instance list with a state, `live` or `leaving`.
pub async fn register(engine: &Engine, listening: SocketAddr, list_state: &str) {
    let Some(platform) = engine.options.platform else {
        return;
    };
    let options = &engine.options;
    let body = json!({
        "id": options.id,
        "kind": if options.service.is_some() { "service" } else { "engine" },
        "service": options.service.as_deref().unwrap_or_default(),
        "address": options.advertise.unwrap_or(listening),
        "zone": options.zone,
        "state": list_state,
    });
    let url = format!("http://{platform}/instances/targets/{}", options.id);
    for _ in 0..ATTEMPTS {
        let conn = client().put(url.clone()).with_body(body.to_string());
        if call(engine, conn).await == Some(200) {
            return;
        }
        Timer::after(RETRY_INTERVAL).await;
    }
    log::error!("cannot register at {platform}");
}

/// Reads a model from the weight store, and retries while the store is over its rate or down.
pub async fn fetch_weights(engine: &Engine, model: &str, version: &str) {
    let Some(weights) = engine.options.weights else {
        return;
    };
    let url = format!("http://{weights}/weights/{model}/{version}");
    while call(engine, client().get(url.clone())).await != Some(200) {
        Timer::after(RETRY_INTERVAL).await;
    }
}

fn client() -> Client {
    Client::new(ClientConfig::default()).without_keepalive()
}

/// Sends a call and returns the status of its answer.
async fn call(engine: &Engine, conn: trillium_client::Conn) -> Option<u16> {
    let mut conn = conn.with_request_header(PARTY_HEADER, engine.options.id.clone());
    let answer = async {
        (&mut conn).await.ok()?;
        conn.status().map(u16::from)
    };
    let timeout = async {
        Timer::after(CALL_TIMEOUT).await;
        None
    };
    smol::future::or(answer, timeout).await
}
