//! The caller side of an entry instance with engines, plain services and a platform, in one
//! process.

#![allow(dead_code)]

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    os::fd::OwnedFd,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use clap::Parser;
use gentianpath::{
    caller::CallerBounds,
    context::{Command, Context},
    http,
    route::Router,
    settings::Settings,
    sheet::Sheet,
    view::{ServiceTarget, View, WorkerInfo},
};
use rustix::net::{AddressFamily, SocketType, bind, getsockname, socket};
use serde_json::{Value, json};
use smol::channel::Receiver;
use standins::{engine, host, host::Host, platform};

/// Model of all engines.
pub const MODEL: &str = "m";
/// Slots of an engine.
pub const SLOTS: u32 = 4;
/// Time limit of a wait, so that a fault fails the test instead of blocking it.
const WAIT_LIMIT: Duration = Duration::from_secs(30);

/// A stand-in engine or plain service.
pub struct Target {
    pub id: String,
    pub engine: engine::Engine,
    pub host: Host,
}

/// A stand-in platform.
pub struct Platform {
    pub host: Host,
}

/// The caller side of an entry instance.
pub struct Entry {
    pub ctx: Arc<Context>,
    pub address: SocketAddr,
    pub commands: Receiver<Command>,
    _host: Host,
}

/// An answer to a caller.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: String,
}

/// Text, end markers and errors of a stream.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Events {
    pub text: String,
    pub done: u32,
    pub errors: Vec<Value>,
}

pub fn target(id: &str, options: &[&str]) -> Target {
    let args = ["standin-engine", "--id", id, "--slots", "4"];
    let args = args.iter().chain(options);
    let engine = engine::Engine::new(engine::Options::parse_from(args));
    let host = serve(engine.clone());
    Target {
        id: id.into(),
        engine,
        host,
    }
}

pub fn worker(id: &str, options: &[&str]) -> Target {
    let pace: &[&str] = match options.contains(&"--token-ms") {
        true => &[],
        false => &["--token-ms", "1"],
    };
    target(id, &[&["--model", MODEL], pace, options].concat())
}

pub fn platform() -> Platform {
    let options = platform::Options::parse_from(["standin-platform"]);
    Platform {
        host: serve(platform::Platform::new(options)),
    }
}

fn serve(handler: impl trillium::Handler) -> Host {
    let listener = host::listen(([127, 0, 0, 1], 0).into()).expect("a free port");
    async_global_executor::block_on(async { host::serve(listener, handler) }).expect("a server")
}

impl Target {
    pub fn address(&self) -> SocketAddr {
        self.host.address
    }

    pub fn faults(&self, faults: Value) {
        set_faults(self.host.address, &faults);
    }

    pub fn runs(&self) -> Vec<engine::Run> {
        self.engine.lock().runs.clone()
    }

    pub fn calls(&self) -> usize {
        self.engine.lock().calls.len()
    }

    /// Waits until no run is active and returns all runs.
    pub fn finished_runs(&self) -> Vec<engine::Run> {
        wait_until(|| {
            let runs = self.runs();
            runs.iter().all(|r| r.state != engine::RunState::Running)
        });
        self.runs()
    }

    pub fn info(&self) -> WorkerInfo {
        info(&self.id, self.address())
    }
}

impl Platform {
    pub fn faults(&self, faults: Value) {
        set_faults(self.host.address, &faults);
    }
}

fn set_faults(address: SocketAddr, faults: &Value) {
    let answer = post(address, "/faults", &[], &faults.to_string());
    assert_eq!(answer.status, 200, "{}", answer.body);
}

/// Waits until a condition holds; panics after a time limit.
pub fn wait_until(reached: impl Fn() -> bool) {
    let begin = Instant::now();
    while !reached() {
        assert!(
            begin.elapsed() < WAIT_LIMIT,
            "the condition did not become true in time"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
}

pub fn info(id: &str, address: SocketAddr) -> WorkerInfo {
    WorkerInfo {
        id: id.into(),
        address,
        zone: "z".into(),
        model: Some(MODEL.into()),
        version: "1".into(),
        slots: SLOTS,
        leaving: false,
        owner: None,
    }
}

pub fn service_target(target: &Target, service: &str, zone: &str) -> ServiceTarget {
    ServiceTarget {
        id: target.id.as_str().into(),
        service: service.into(),
        address: target.address(),
        zone: zone.into(),
        leaving: false,
    }
}

pub fn sheet() -> Sheet {
    let sheet = json!({
        "deployment": "test", "throughput_weight": 0.5,
        "models": [{ "name": MODEL, "version": "1", "slots": SLOTS }],
        "services": [{ "name": "lm", "model": MODEL },
                     { "name": "till", "no_repeat": ["POST /receipts"] }],
        "teams": [{ "name": "small", "online_limit": 1 }],
    });
    Sheet::parse(&sheet.to_string()).expect("a valid sheet")
}

/// Starts an entry instance. `changes` are merged into its limits and timeouts.
pub fn entry(platform: SocketAddr, workers: Vec<WorkerInfo>, changes: Value) -> Entry {
    entry_with(platform, view(workers), changes)
}

pub fn view(workers: Vec<WorkerInfo>) -> View {
    View {
        sheet: Arc::new(sheet()),
        workers,
        ..View::default()
    }
}

pub fn entry_with(platform: SocketAddr, view: View, changes: Value) -> Entry {
    let settings = settings(platform, changes);
    let (ctx, commands) = Context::new(settings, fastrand::u64(..));
    for worker in &view.workers {
        ctx.workers.cell(&worker.id).configure(0.5, worker.slots);
    }
    publish(&ctx, view);
    let listener = host::listen(([127, 0, 0, 1], 0).into()).expect("a free port");
    let address = listener.local_addr().expect("an address");
    let server = async_global_executor::block_on(async {
        listener.set_nonblocking(true).expect("a listener");
        let listener = smol::net::TcpListener::try_from(listener).expect("a listener");
        trillium_smol::config()
            .without_signals()
            .with_nodelay()
            .with_acceptor(CallerBounds::new(&ctx.settings))
            .with_prebound_server(listener)
            .spawn(http::handler(ctx.clone()))
    });
    Entry {
        ctx,
        address,
        commands,
        _host: Host { address, server },
    }
}

pub fn publish(ctx: &Context, view: View) {
    let settings = &ctx.settings;
    let router = Router::build(&view, &ctx.workers, &settings.instance, &settings.zone);
    ctx.router.store(Arc::new(router));
    ctx.view.store(Arc::new(view));
}

fn settings(platform: SocketAddr, changes: Value) -> Settings {
    let mut raw = json!({
        "instance": "e1", "zone": "z", "region": "r",
        "caller_address": "127.0.0.1:1", "operator_address": "127.0.0.1:1",
        "peer_address": "127.0.0.1:1", "platform_address": platform.to_string(),
        "limits": {}, "timeouts": { "first_token_ms": 500, "stall_ms": 300, "platform_ms": 500 },
    });
    for part in ["limits", "timeouts"] {
        for (name, value) in changes[part].as_object().into_iter().flatten() {
            raw[part][name] = value.clone();
        }
    }
    let file = tempfile::NamedTempFile::new().expect("a file");
    std::fs::write(file.path(), raw.to_string()).expect("a file");
    Settings::load(file.path()).expect("valid settings")
}

/// An address that refuses connections, and at which nothing else can listen.
pub struct DeadAddress {
    pub address: SocketAddr,
    /// Bound without listening.
    _socket: OwnedFd,
}

impl DeadAddress {
    pub fn bind() -> Self {
        let socket = socket(AddressFamily::INET, SocketType::STREAM, None).expect("a socket");
        bind(&socket, &SocketAddr::from(([127, 0, 0, 1], 0))).expect("a free port");
        let address = getsockname(&socket).expect("an address");
        Self {
            address: address.try_into().expect("an IP address"),
            _socket: socket,
        }
    }
}

/// Returns the body of a chat request.
pub fn chat(prompt: &str, tokens: u64, stream: bool) -> String {
    json!({
        "model": MODEL, "stream": stream, "max_tokens": tokens,
        "messages": [{ "role": "user", "content": prompt }],
    })
    .to_string()
}

pub fn post(address: SocketAddr, path: &str, headers: &[(&str, &str)], body: &str) -> Answer {
    let mut conn = send(address, "POST", path, headers, body);
    receive(&mut conn)
}

pub fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> TcpStream {
    let length = body.len();
    let mut request = format!(
        "{method} {path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\ncontent-length: {length}\r\n"
    );
    for (name, value) in headers {
        request.push_str(&format!("{name}: {value}\r\n"));
    }
    raw(address, &format!("{request}\r\n{body}"))
}

/// Opens a connection and writes the bytes.
pub fn raw(address: SocketAddr, bytes: &str) -> TcpStream {
    let mut conn = TcpStream::connect(address).expect("a connection");
    conn.set_read_timeout(Some(WAIT_LIMIT))
        .expect("a time limit");
    conn.write_all(bytes.as_bytes()).expect("a write");
    conn
}

/// Reads an answer until the connection ends.
pub fn receive(conn: &mut TcpStream) -> Answer {
    let mut bytes = Vec::new();
    conn.read_to_end(&mut bytes).expect("an answer");
    let text = String::from_utf8(bytes).expect("text");
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok());
    let head = head.to_ascii_lowercase();
    let chunked = head.contains("transfer-encoding: chunked");
    Answer {
        status: status.unwrap_or(0),
        body: if chunked { dechunk(body) } else { body.into() },
        head,
    }
}

fn dechunk(mut body: &str) -> String {
    let mut text = String::new();
    while let Some((size, rest)) = body.split_once("\r\n") {
        let size = usize::from_str_radix(size, 16).expect("a chunk size");
        if size == 0 || rest.len() < size + 2 {
            break;
        }
        text.push_str(&rest[..size]);
        body = &rest[size + 2..];
    }
    text
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines().filter_map(|l| l.split_once(": "));
        lines.find(|(n, _)| *n == name).map(|(_, v)| v)
    }

    /// Returns the verdict, after checking that header and body agree.
    pub fn verdict(&self) -> &str {
        let verdict = self.header("gentianpath-verdict").expect("a verdict");
        let body: Value = serde_json::from_str(&self.body).expect("JSON");
        assert_eq!(body["error"]["verdict"], verdict);
        assert!(body["error"]["reason"].is_string());
        verdict
    }

    /// Returns the text of a whole answer.
    pub fn text(&self) -> String {
        let body: Value = serde_json::from_str(&self.body).expect("JSON");
        let text = body["choices"][0]["message"]["content"].as_str();
        text.unwrap_or_else(|| panic!("{}", self.body)).to_owned()
    }

    pub fn events(&self) -> Events {
        let mut events = Events::default();
        for data in self.body.lines().filter_map(|l| l.strip_prefix("data: ")) {
            if data == "[DONE]" {
                events.done += 1;
                continue;
            }
            let data: Value = serde_json::from_str(data).expect("JSON");
            if !data["error"].is_null() {
                events.errors.push(data["error"].clone());
            }
            let text = data["choices"][0]["delta"]["content"].as_str();
            events.text.push_str(text.unwrap_or(""));
        }
        events
    }
}

/// Proxy in front of an engine. Shutting it simulates the engine's death.
pub struct EngineProxy {
    pub address: SocketAddr,
    task: Mutex<Option<smol::Task<()>>>,
}

impl EngineProxy {
    pub fn to(upstream: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let task = smol::spawn(forward_all(listener, upstream));
        Self {
            address,
            task: Mutex::new(Some(task)),
        }
    }

    /// Closes the listener and all connections.
    pub fn shut(&self) {
        let task = self.task.lock().expect("a lock").take();
        if let Some(task) = task {
            smol::block_on(task.cancel());
        }
    }
}

async fn forward_all(listener: TcpListener, upstream: SocketAddr) {
    let listener = smol::Async::new(listener).expect("a listener");
    let mut tasks = Vec::new();
    while let Ok((near, _)) = listener.accept().await {
        tasks.push(smol::spawn(async move {
            let Ok(far) = smol::Async::<TcpStream>::connect(upstream).await else {
                return;
            };
            let upload = smol::io::copy(&near, &far);
            let download = smol::io::copy(&far, &near);
            let _ = smol::future::or(upload, download).await;
        }));
    }
}

/// Starts a target that sends the same bytes in reply to every request.
pub fn scripted(reply: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for conn in listener.incoming() {
            let mut conn = conn.expect("a connection");
            let mut buffer = [0; 4096];
            let _ = conn.read(&mut buffer);
            let _ = conn.write_all(reply.as_bytes());
            // Waits for the client to close, because closing first could reset the connection and
            // lose the reply.
            while conn.read(&mut buffer).is_ok_and(|n| n > 0) {}
        }
    });
    address
}
