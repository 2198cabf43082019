//! Entry instances without their servers, and stand-in processes, for tests of batch jobs.

#![allow(dead_code)]

use std::{
    collections::HashMap,
    io::{BufRead, BufReader},
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::Arc,
    thread::JoinHandle,
    time::Duration,
};

use gentianpath::{
    batch, batch_http,
    context::Context,
    ids::Map,
    platform::Kind,
    settings::Settings,
    sheet::Sheet,
    view::{View, WorkerInfo},
};
use serde_json::{Value, json};
use smol::channel::{Receiver, Sender};
use trillium_client::Client;

/// Model of all tests.
pub const MODEL: &str = "m";
/// Traffic threads of a test process.
const THREADS: usize = 4;
/// Slots of an engine.
pub const SLOTS: u32 = 8;
/// Polls of a condition after which a test fails. It only ends a test that hangs.
pub const MAX_POLLS: usize = 600;

/// A stand-in process, killed when it is dropped.
pub struct Process {
    child: Child,
    pub address: SocketAddr,
}

impl Process {
    /// Starts a stand-in and reads its address.
    pub fn start(name: &str, arguments: &[&str]) -> Self {
        let mut child = Command::new(folder().join(name))
            .args(arguments)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap_or_else(|e| panic!("{name}: {e}; run cargo build --workspace first"));
        let mut line = String::new();
        let out = child.stdout.take().unwrap();
        BufReader::new(out).read_line(&mut line).unwrap();
        let address = line.trim().rsplit(' ').next().unwrap().parse().unwrap();
        Self { child, address }
    }

    /// Starts an engine.
    pub fn engine(id: &str, token_ms: &str) -> Self {
        let slots = SLOTS.to_string();
        let arguments = [
            "--id",
            id,
            "--model",
            MODEL,
            "--slots",
            &slots,
            "--token-ms",
            token_ms,
        ];
        Self::start("standin-engine", &arguments)
    }

    /// Starts a platform.
    pub fn platform() -> Self {
        Self::start("standin-platform", &[])
    }

    /// Sets the faults.
    pub fn faults(&self, faults: Value) {
        let reply = post(self.address, "/faults", &faults.to_string());
        assert_eq!(reply.status, 200, "{}", reply.body);
    }

    /// Creates an object of a platform.
    pub fn create(&self, path: &str, value: &Value) {
        let url = format!("http://{}/objects/{path}", self.address);
        let put = client().put(url).with_request_header("if-none-match", "*");
        let reply = send(put.with_body(value.to_string()));
        assert_eq!(reply.status, 200, "{}", reply.body);
    }

    /// Reads the value of an object of a platform.
    pub fn object(&self, path: &str) -> Value {
        get(self.address, &format!("/objects/{path}")).json()["value"].clone()
    }

    /// Reads the ledger of an engine.
    pub fn ledger(&self) -> Value {
        serde_json::from_str(&get(self.address, "/ledger").body).unwrap()
    }

    /// Returns the runs of an engine by prompt.
    pub fn runs(&self) -> HashMap<String, Vec<Value>> {
        let mut runs: HashMap<String, Vec<Value>> = HashMap::new();
        for run in self.ledger()["runs"].as_array().unwrap() {
            let prompt = run["prompt"].as_str().unwrap().to_owned();
            runs.entry(prompt).or_default().push(run.clone());
        }
        runs
    }

    /// Returns whether the process has ended.
    pub fn ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// HTTP response to a call.
pub struct Reply {
    pub status: u16,
    pub verdict: Option<String>,
    pub retry: Option<String>,
    pub body: String,
}

impl Reply {
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or(Value::Null)
    }
}

pub fn get(address: SocketAddr, path: &str) -> Reply {
    send(client().get(format!("http://{address}{path}")))
}

pub fn post(address: SocketAddr, path: &str, body: &str) -> Reply {
    let url = format!("http://{address}{path}");
    send(client().post(url).with_body(body.to_owned()))
}

fn client() -> Client {
    Client::new(trillium_smol::ClientConfig::default()).without_keepalive()
}

fn send(conn: trillium_client::Conn) -> Reply {
    smol::block_on(async {
        let mut conn = conn.await.unwrap();
        let header = |name: &'static str| conn.response_headers().get_str(name).map(str::to_owned);
        let (verdict, retry) = (header("gentianpath-verdict"), header("retry-after"));
        let status = u16::from(conn.status().unwrap());
        let body = conn.response_body().read_string().await.unwrap_or_default();
        Reply {
            status,
            verdict,
            retry,
            body,
        }
    })
}

/// A worker and the instance that owns it.
pub struct Owned<'a> {
    pub id: &'a str,
    pub engine: &'a Process,
    pub owner: &'a str,
}

/// An entry instance: batch driver on a separate thread, and the HTTP interface for jobs.
pub struct Instance {
    pub ctx: Arc<Context>,
    pub callers: SocketAddr,
    kill: Sender<()>,
    thread: Option<JoinHandle<()>>,
}

impl Instance {
    /// Starts an instance with a separate view, in which only jobs change.
    pub fn start(name: &str, session: u64, platform: &Process, workers: &[Owned<'_>]) -> Self {
        Self::with(name, session, platform, workers, json!({}))
    }

    /// Starts an instance with the given limits.
    pub fn with(
        name: &str,
        session: u64,
        platform: &Process,
        workers: &[Owned<'_>],
        limits: Value,
    ) -> Self {
        let _ = env_logger::builder().is_test(true).try_init();
        let threads = async_global_executor::GlobalExecutorConfig::default()
            .with_min_threads(THREADS)
            .with_max_threads(THREADS);
        async_global_executor::init_with_config(threads);
        let (ctx, commands) = Context::new(settings(name, platform.address, limits), session);
        ctx.view.store(Arc::new(view(workers, name)));
        for worker in workers {
            ctx.workers.cell(&worker.id.into()).configure(1.0, SLOTS);
        }
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let callers = listener.local_addr().unwrap();
        listener.set_nonblocking(true).unwrap();
        let server = trillium_smol::config()
            .without_signals()
            .with_prebound_server(smol::net::TcpListener::try_from(listener).unwrap());
        drop(server.spawn(batch_http::handler(ctx.clone())));
        let (kill, killed) = smol::channel::bounded(1);
        let shared = ctx.clone();
        let thread = std::thread::spawn(move || {
            let _commands = commands;
            smol::block_on(drive(shared, killed));
        });
        Self {
            ctx,
            callers,
            kill,
            thread: Some(thread),
        }
    }

    /// Stops the driver at once, like a crash.
    pub fn kill(&mut self) {
        let _ = self.kill.try_send(());
        self.join();
    }

    /// Waits for the driver to end after a planned stop.
    pub fn join(&mut self) {
        if let Some(thread) = self.thread.take() {
            thread.join().unwrap();
        }
    }

    pub fn submit(&self, job: &str, items: &str) -> Reply {
        let path = format!("/v1/batches?name={job}&model={MODEL}&deadline=4000000000");
        post(self.callers, &path, items)
    }

    pub fn status(&self, job: &str) -> Value {
        get(self.callers, &format!("/v1/batches/{job}")).json()
    }

    /// Returns the results as parsed lines.
    pub fn results(&self, job: &str) -> Vec<Value> {
        let reply = get(self.callers, &format!("/v1/batches/{job}/results"));
        let lines = reply.body.lines();
        lines.map(|l| serde_json::from_str(l).unwrap()).collect()
    }

    /// Waits until all items of a job have an outcome.
    pub fn wait_finished(&self, job: &str) {
        wait_for(
            || self.status(job)["state"] == "finished",
            || self.status(job).to_string(),
        );
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Platform, two engines and two instances.
pub struct Fleet {
    pub platform: Process,
    pub engines: Vec<Process>,
    pub instances: Vec<Instance>,
}

/// Starts two instances, `a` and `b`, each the owner of one engine.
pub fn fleet(token_ms: &str) -> Fleet {
    owned_fleet(token_ms, ["a", "b"])
}

/// Starts two instances and two engines with the given owners.
pub fn owned_fleet(token_ms: &str, owners: [&str; 2]) -> Fleet {
    let platform = Process::platform();
    let engines = vec![
        Process::engine("w1", token_ms),
        Process::engine("w2", token_ms),
    ];
    let workers = [
        Owned {
            id: "w1",
            engine: &engines[0],
            owner: owners[0],
        },
        Owned {
            id: "w2",
            engine: &engines[1],
            owner: owners[1],
        },
    ];
    let instances = vec![
        Instance::start("a", 1, &platform, &workers),
        Instance::start("b", 2, &platform, &workers),
    ];
    Fleet {
        platform,
        engines,
        instances,
    }
}

/// Polls until a condition holds.
///
/// # Panics
///
/// Panics with `state` if it does not hold in time.
pub fn wait_for(done: impl Fn() -> bool, state: impl Fn() -> String) {
    for _ in 0..MAX_POLLS {
        if done() {
            return;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    panic!("the condition never held: {}", state());
}

/// Builds non-repeatable items with a number of tokens.
pub fn once(prefix: &str, count: usize, tokens: u32) -> String {
    let mark = |line: &str| line.replace('}', ",\"repeat\":\"never\"}") + "\n";
    items(prefix, count, tokens).lines().map(mark).collect()
}

/// Builds items with a number of tokens.
pub fn items(prefix: &str, count: usize, tokens: u32) -> String {
    let lines = (0..count).map(|i| {
        let id = format!("{prefix}{i:04}");
        let prompt = format!("prompt of {id}");
        json!({"id": id, "prompt": prompt, "max_tokens": tokens}).to_string() + "\n"
    });
    lines.collect()
}

async fn drive(ctx: Arc<Context>, killed: Receiver<()>) {
    let run = batch::run(ctx.clone());
    let watch = async {
        loop {
            refresh(&ctx).await;
            smol::Timer::after(Duration::from_millis(50)).await;
        }
    };
    let killed = async {
        let _ = killed.recv().await;
    };
    smol::future::or(smol::future::or(run, killed), watch).await;
}

/// Updates the jobs of the view, like the control thread.
async fn refresh(ctx: &Context) {
    let Ok(listing) = ctx.platform.list(Kind::Job, "", "", 1000).await else {
        return;
    };
    let old = ctx.view.load_full();
    let jobs: Map<_, _> = listing
        .items
        .into_iter()
        .map(|o| (o.name.clone(), Arc::new(o)))
        .collect();
    if jobs != old.jobs {
        let view = View {
            jobs,
            ..old.as_ref().clone()
        };
        ctx.view.store(Arc::new(view));
    }
}

fn view(workers: &[Owned<'_>], instance: &str) -> View {
    let sheet = json!({
        "deployment": "test", "throughput_weight": 1.0,
        "models": [{"name": MODEL, "version": "1", "slots": SLOTS}],
    });
    let infos = workers.iter().map(|w| WorkerInfo {
        id: w.id.into(),
        address: w.engine.address,
        zone: "z".into(),
        model: Some(MODEL.into()),
        version: "1".into(),
        slots: SLOTS,
        leaving: false,
        owner: Some(w.owner.into()),
    });
    let others = ["a", "b"].into_iter().filter(|n| *n != instance);
    let unreachable: SocketAddr = "127.0.0.1:9".parse().unwrap();
    View {
        revision: 1,
        sheet: Arc::new(Sheet::parse(&sheet.to_string()).unwrap()),
        workers: infos.collect(),
        peers: others.map(|n| (n.into(), unreachable)).collect(),
        ..View::default()
    }
}

fn settings(name: &str, platform: SocketAddr, limits: Value) -> Settings {
    let raw = json!({
        "instance": name, "zone": "z", "region": "r",
        "caller_address": "127.0.0.1:0", "operator_address": "127.0.0.1:0",
        "peer_address": "127.0.0.1:0", "platform_address": platform.to_string(),
        "limits": limits,
        "timeouts": {
            "lease_ms": 3000, "renew_ms": 500, "progress_ms": 300, "platform_ms": 1000,
            "stall_ms": 1000, "first_token_ms": 5000, "loading_ms": 1000,
            "transfer_ms": 500, "leave_run_ms": 200,
        },
    });
    let raw: gentianpath::settings::RawSettings = serde_json::from_value(raw).unwrap();
    Settings::try_from(raw).unwrap()
}

fn folder() -> PathBuf {
    let test = std::env::current_exe().unwrap();
    test.parent().unwrap().parent().unwrap().to_owned()
}
