//! Starts stand-ins inside the test process and calls them with the clients of gentianpath.

#![allow(dead_code)]

use std::{net::SocketAddr, sync::Arc, time::Duration};

use clap::Parser;
use gentianpath::{
    engine::{EngineStream, Generate, Piece, StreamError},
    settings::{RawSettings, Settings},
};
use serde_json::{Value, json};
use standins::{engine, host, platform, reply::PARTY_HEADER, weights};
use trillium_client::{Client, Method};

/// Bound on calls that are expected to be answered.
pub const TIMEOUT: Duration = Duration::from_secs(20);

/// Starts a platform with extra options.
pub fn platform(options: &[&str]) -> SocketAddr {
    let options = platform::Options::parse_from([&["platform"], options].concat());
    let listener = host::listen(options.address).unwrap();
    let handler = platform::Platform::new(options);
    host::serve(listener, handler).unwrap().address
}

/// Starts an engine with the model `m` and extra options.
pub fn engine(options: &[&str]) -> SocketAddr {
    let common: &[&str] = &["engine", "--model", "m", "--token-ms", "1"];
    let options = engine::Options::parse_from([common, options].concat());
    let listener = host::listen(options.address).unwrap();
    let handler = engine::Engine::new(options);
    host::serve(listener, handler).unwrap().address
}

/// Starts a weight store with extra options.
pub fn weights(options: &[&str]) -> SocketAddr {
    let options = weights::Options::parse_from([&["weights"], options].concat());
    let listener = host::listen(options.address).unwrap();
    host::serve(listener, weights::Weights::new(options))
        .unwrap()
        .address
}

/// Sends a call without a body and returns the status and JSON of the answer.
pub async fn get(address: SocketAddr, path: &str) -> (u16, Value) {
    call(address, Method::Get, path, None, "")
        .await
        .expect("an answer")
}

/// Sends a call as a named party; returns `None` without an answer.
pub async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Option<Value>,
    party: &str,
) -> Option<(u16, Value)> {
    let client = Client::new(trillium_smol::ClientConfig::default()).without_keepalive();
    let mut conn = client
        .build_conn(method, format!("http://{address}{path}"))
        .with_request_header(PARTY_HEADER, party.to_owned());
    if let Some(body) = body {
        conn = conn.with_body(body.to_string());
    }
    (&mut conn).await.ok()?;
    let status = conn.status().map(u16::from)?;
    let bytes = conn.response_body().read_bytes().await.ok()?;
    Some((status, serde_json::from_slice(&bytes).unwrap_or_default()))
}

/// Replaces the faults of a stand-in.
pub async fn faults(address: SocketAddr, faults: Value) {
    let answer = call(address, Method::Post, "/faults", Some(faults), "").await;
    assert_eq!(answer.map(|(status, _)| status), Some(200));
}

/// Builds a client of engines with a long timeout.
pub fn engine_client() -> gentianpath::engine::Engine {
    engine_client_with(TIMEOUT)
}

/// Builds a client of engines with a bound on the time between events.
pub fn engine_client_with(stall: Duration) -> gentianpath::engine::Engine {
    let raw: RawSettings = serde_json::from_value(json!({
        "instance": "i", "zone": "z", "region": "r",
        "caller_address": "127.0.0.1:1", "operator_address": "127.0.0.1:1",
        "peer_address": "127.0.0.1:1", "platform_address": "127.0.0.1:1",
        "timeouts": { "stall_ms": stall.as_millis() as u64 },
    }))
    .unwrap();
    gentianpath::engine::Engine::new(Settings::try_from(raw).unwrap().timeouts)
}

/// Builds a client of a platform with a long timeout.
pub fn platform_client(address: SocketAddr) -> gentianpath::platform::Platform {
    platform_client_with(address, TIMEOUT)
}

/// Builds a client of a platform with a deadline for each call.
pub fn platform_client_with(
    address: SocketAddr,
    timeout: Duration,
) -> gentianpath::platform::Platform {
    gentianpath::platform::Platform::new(address, timeout, timeout)
}

/// Builds a request for text.
pub fn generate(id: &str, prompt: &str, tokens: u64) -> Generate {
    let body = json!({ "model": "m", "prompt": prompt, "max_tokens": tokens, "stream": true });
    Generate {
        id: id.into(),
        body: Arc::new(body),
    }
}

/// Reads a stream until it ends or breaks, and appends the text.
pub async fn read(stream: &mut EngineStream, text: &mut String) -> Result<u64, StreamError> {
    loop {
        match stream.next().await? {
            Piece::Text(piece) => text.push_str(&piece),
            Piece::End(end) => return Ok(end.tokens),
        }
    }
}

/// Waits until a condition holds.
pub async fn until<F: AsyncFnMut() -> bool>(mut holds: F) {
    let deadline = std::time::Instant::now() + TIMEOUT;
    while !holds().await {
        assert!(
            std::time::Instant::now() < deadline,
            "the condition did not hold in time"
        );
        async_io::Timer::after(Duration::from_millis(5)).await;
    }
}
