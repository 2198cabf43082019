//! Overhead of an entry instance: added time to first token, added time per token, and the number
//! of short requests that it serves per second.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use anyhow::Context;
use futures::StreamExt;
use gentianpath::dial;
use hdrhistogram::Histogram;
use serde_json::json;
use trillium_client::Client;

use crate::processes::{Fleet, Shape};

/// Number of measured streams, directly and through the entry instance.
const STREAMS: usize = 400;
/// Tokens of each measured stream.
const STREAM_TOKENS: u32 = 32;
/// Number of concurrent streams while the overhead is measured.
const CONCURRENT_STREAMS: usize = 4;
/// Length of the throughput measurement.
const RATE_TIME: Duration = Duration::from_secs(8);
/// Number of connections that send short requests concurrently.
const RATE_CONNECTIONS: usize = 128;
/// Number of concurrent streams while the cost of a token is measured.
const LONG_STREAMS: usize = 64;
/// Lengths of the streams for which the cost of a token is measured.
const TOKEN_STEPS: [u32; 3] = [64, 256, 1024];
/// Bound on opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Latencies of streams on one path, in microseconds.
struct Latencies {
    first: Histogram<u64>,
    gap: Histogram<u64>,
}

impl Latencies {
    fn new() -> anyhow::Result<Self> {
        Ok(Self {
            first: Histogram::new(3)?,
            gap: Histogram::new(3)?,
        })
    }
}

/// Measures and prints the overhead of one entry instance.
///
/// # Errors
///
/// Returns an error when a process does not start or a stream fails.
pub fn run() -> anyhow::Result<()> {
    let fleet = Fleet::start(Shape {
        zones: 1,
        entries: 1,
        workers: 4,
        slots: 256,
        token_ms: 5,
    })?;
    smol::block_on(measure_streams(&fleet))?;
    drop(fleet);
    let fleet = Fleet::start(Shape {
        zones: 1,
        entries: 1,
        workers: 4,
        slots: 4096,
        token_ms: 0,
    })?;
    smol::block_on(measure_rate(&fleet))?;
    smol::block_on(measure_tokens(&fleet))
}

/// Alternates between streams directly to a worker and through the entry instance, so that both are
/// affected by the same noise.
async fn measure_streams(fleet: &Fleet) -> anyhow::Result<()> {
    let client = dial::client(CONNECT_TIMEOUT);
    let mut direct = Latencies::new()?;
    let mut through = Latencies::new()?;
    for round in 0..STREAMS / CONCURRENT_STREAMS {
        let worker = fleet.workers[round % fleet.workers.len()];
        stream_round(&client, worker, round, &mut direct).await?;
        stream_round(&client, fleet.entries[0].callers, round, &mut through).await?;
    }
    println!("| measure | direct us | through entry us | added us | ratio |");
    println!("|---|---|---|---|---|");
    print_row("first token p50", &direct.first, &through.first, 0.5);
    print_row("first token p99", &direct.first, &through.first, 0.99);
    print_row("token gap p50", &direct.gap, &through.gap, 0.5);
    print_row("token gap p99", &direct.gap, &through.gap, 0.99);
    Ok(())
}

async fn stream_round(
    client: &Client,
    address: SocketAddr,
    round: usize,
    latencies: &mut Latencies,
) -> anyhow::Result<()> {
    let streams = (0..CONCURRENT_STREAMS).map(|i| stream(client, address, round, i, STREAM_TOKENS));
    for times in futures::future::join_all(streams).await {
        let times = times?;
        latencies.first.record(times[0])?;
        for gap in &times[1..] {
            latencies.gap.record(*gap)?;
        }
    }
    Ok(())
}

/// Runs one stream and returns the times to its first event and between its events, in
/// microseconds.
async fn stream(
    client: &Client,
    address: SocketAddr,
    round: usize,
    i: usize,
    tokens: u32,
) -> anyhow::Result<Vec<u64>> {
    let body = json!({
        "model": "m1",
        "messages": [{"role": "user", "content": format!("request {round} {i}")}],
        "max_tokens": tokens,
        "stream": true,
    });
    let mut last = Instant::now();
    let mut events = client
        .post(format!("http://{address}/v1/chat/completions"))
        .with_request_header("content-type", "application/json")
        .with_request_header(
            "gentianpath-request",
            format!("{address}-{round}-{i}").replace(':', "-"),
        )
        .with_body(body.to_string())
        .into_sse()
        .await
        .map_err(|e| anyhow::anyhow!("the stream did not start: {}", e.kind))?;
    let mut times = Vec::new();
    while let Some(event) = events.next().await {
        event.context("the stream broke")?;
        let now = Instant::now();
        times.push((now - last).as_micros() as u64);
        last = now;
    }
    anyhow::ensure!(times.len() as u32 >= tokens, "the stream was incomplete");
    // The last events have no token.
    times.truncate(tokens as usize);
    Ok(times)
}

fn print_row(name: &str, direct: &Histogram<u64>, through: &Histogram<u64>, quantile: f64) {
    let d = direct.value_at_quantile(quantile);
    let t = through.value_at_quantile(quantile);
    let added = t as i64 - d as i64;
    println!(
        "| {name} | {d} | {t} | {added} | {:.3} |",
        t as f64 / d.max(1) as f64
    );
}

async fn measure_rate(fleet: &Fleet) -> anyhow::Result<()> {
    let entry = &fleet.entries[0];
    let cpu = (entry.thread_cpu("traffic"), entry.thread_cpu("control"));
    let done = Arc::new(AtomicU64::new(0));
    let failed = Arc::new(AtomicU64::new(0));
    let client = Client::new(trillium_smol::ClientConfig::new().with_nodelay(true));
    let end = Instant::now() + RATE_TIME;
    let senders = (0..RATE_CONNECTIONS).map(|i| {
        let sender = send_until(
            client.clone(),
            entry.callers,
            i,
            end,
            done.clone(),
            failed.clone(),
        );
        async_global_executor::spawn(sender)
    });
    futures::future::join_all(senders).await;
    let done = done.load(Ordering::Relaxed);
    let traffic = entry.thread_cpu("traffic") - cpu.0;
    println!("\n| measure | value |\n|---|---|");
    println!(
        "| short requests a second | {:.0} |",
        done as f64 / RATE_TIME.as_secs_f64()
    );
    println!("| failed requests | {} |", failed.load(Ordering::Relaxed));
    println!(
        "| traffic CPU us a request | {:.1} |",
        traffic * 1e6 / done.max(1) as f64
    );
    println!(
        "| traffic cores used | {:.2} |",
        traffic / RATE_TIME.as_secs_f64()
    );
    println!(
        "| control cores used | {:.3} |",
        (entry.thread_cpu("control") - cpu.1) / RATE_TIME.as_secs_f64()
    );
    Ok(())
}

/// Measures the processor time per token with many long streams.
async fn measure_tokens(fleet: &Fleet) -> anyhow::Result<()> {
    let entry = &fleet.entries[0];
    let client = dial::client(CONNECT_TIMEOUT);
    println!("\n| streams | tokens each | tokens/s | traffic CPU us a token |\n|---|---|---|---|");
    for tokens in TOKEN_STEPS {
        let cpu = entry.thread_cpu("traffic");
        let start = Instant::now();
        let streams = (0..LONG_STREAMS).map(|i| stream(&client, entry.callers, i, i, tokens));
        for times in futures::future::join_all(streams).await {
            times?;
        }
        let count = LONG_STREAMS as f64 * f64::from(tokens);
        let cpu = (entry.thread_cpu("traffic") - cpu) * 1e6 / count;
        let rate = count / start.elapsed().as_secs_f64();
        println!("| {LONG_STREAMS} | {tokens} | {rate:.0} | {cpu:.1} |");
    }
    Ok(())
}

async fn send_until(
    client: Client,
    address: SocketAddr,
    i: usize,
    end: Instant,
    done: Arc<AtomicU64>,
    failed: Arc<AtomicU64>,
) {
    let mut round = 0;
    while Instant::now() < end {
        round += 1;
        let body = json!({
            "model": "m1",
            "messages": [{"role": "user", "content": format!("short {i} {round}")}],
            "max_tokens": 1,
        });
        match send(&client, address, body.to_string()).await {
            Some(200) => done.fetch_add(1, Ordering::Relaxed),
            _ => failed.fetch_add(1, Ordering::Relaxed),
        };
    }
}

async fn send(client: &Client, address: SocketAddr, body: String) -> Option<u16> {
    let mut conn = client
        .post(format!("http://{address}/v1/chat/completions"))
        .with_request_header("content-type", "application/json")
        .with_body(body);
    (&mut conn).await.ok()?;
    let status = conn.status().map(u16::from);
    conn.response_body().read_bytes().await.ok()?;
    status
}
