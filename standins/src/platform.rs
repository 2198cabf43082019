//! Stand-in for the platform: object service and instance list over HTTP.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use clap::Parser;
use serde::{Deserialize, Serialize};
use serde_json::{
    Value, json,
    value::{RawValue, to_raw_value},
};
use smol::channel::{Receiver, Sender};
use trillium::{Conn, Handler, Method};

use crate::{
    faults::{Gate, GateFaults, PathFault, take},
    instances::{FullList, Instances},
    ledger::Counter,
    reply,
    store::{Change, Condition, Gone, Object, Refusal, Store},
    target::Target,
};

/// Largest value of an object, in bytes.
pub const VALUE_LIMIT: usize = 1 << 20;
/// Upper limit of the wait of a watch.
const WATCH_LIMIT: Duration = Duration::from_secs(120);
/// Maximum number of objects in a listing without a limit.
const LIST_LIMIT: u64 = 1000;

/// Runs a stand-in for the platform: object service and instance list.
#[derive(Debug, Clone)]
#[derive(Parser)]
pub struct Options {
    /// Address to listen on; port 0 takes a free one and prints it.
    #[arg(long, value_name = "IP:PORT", default_value = "127.0.0.1:0")]
    pub address: SocketAddr,
    /// Number of past changes that watches can read.
    #[arg(long, value_name = "COUNT", default_value_t = 100_000)]
    pub history: usize,
    /// Time that the instance list lags behind, in milliseconds.
    #[arg(long, value_name = "MS", default_value_t = 0)]
    pub list_lag_ms: u64,
    /// Time that each call of the object service takes, in milliseconds.
    #[arg(long, value_name = "MS", default_value_t = 0)]
    pub call_ms: u64,
    /// Maximum writes per second; further ones get 503. 0 is without limit.
    #[arg(long, value_name = "COUNT", default_value_t = 0)]
    pub write_limit: u64,
    /// Maximum reads per second; further ones get 503. 0 is without limit.
    #[arg(long, value_name = "COUNT", default_value_t = 0)]
    pub read_limit: u64,
    /// Always return the full instance list, without a version.
    #[arg(long)]
    pub plain_list: bool,
}

/// Faults of the platform. Each `POST /faults` replaces all of them.
#[derive(Debug, Clone, Default)]
#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Delay, outage and cuts.
    pub gate: GateFaults,
    /// Writes that take effect but get no answer.
    pub lost: Option<PathFault>,
    /// Writes that neither take effect nor get an answer.
    pub dropped: Option<PathFault>,
    /// Writes that are refused with 503.
    pub refused: Option<PathFault>,
    /// Lag of the instance list, in milliseconds, instead of the option's.
    pub list_lag_ms: Option<u64>,
    /// Drops the history once, so that older watches get 410.
    pub forget: bool,
    /// Texts that are given out in place of objects and their changes, by `KIND/NAME`.
    pub texts: BTreeMap<String, Box<RawValue>>,
    /// Ignores after which name a listing goes on.
    pub repeat_pages: bool,
}

/// Record of the calls to the platform.
#[derive(Debug, Default, Clone)]
#[derive(Serialize)]
struct Ledger {
    reads: Counter,
    writes: Counter,
    watches: Counter,
    instance_reads: Counter,
    instance_bytes: u64,
    registrations: Counter,
    conflicts: u64,
    lost: u64,
    dropped: u64,
    refused: u64,
    calls: BTreeMap<String, u64>,
}

#[derive(Debug)]
struct State {
    store: Store,
    instances: Instances,
    watchers: Vec<Sender<()>>,
    ledger: Ledger,
    faults: Faults,
    since: Instant,
}

/// The platform.
#[derive(Debug, Clone)]
pub struct Platform {
    options: Arc<Options>,
    gate: Arc<Gate>,
    state: Arc<Mutex<State>>,
}

/// Answer with a listing.
#[derive(Serialize)]
struct Listed {
    version: u64,
    items: Vec<Box<RawValue>>,
}

/// Answer with changes.
#[derive(Serialize)]
struct Changed {
    version: u64,
    events: Vec<Box<RawValue>>,
}

/// Changes up to a version, and the notification of the next one.
struct WatchBatch {
    version: u64,
    events: Vec<Box<RawValue>>,
    notified: Receiver<()>,
}

/// Effect of the faults on a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WriteFault {
    Normal,
    Refused,
    Dropped(bool),
    Lost(bool),
}

impl Platform {
    /// Creates an empty platform.
    pub fn new(options: Options) -> Self {
        let state = State {
            store: Store::new(options.history),
            instances: Instances::default(),
            watchers: Vec::new(),
            ledger: Ledger::default(),
            faults: Faults::default(),
            since: Instant::now(),
        };
        Self {
            options: Arc::new(options),
            gate: Arc::default(),
            state: Arc::new(Mutex::new(state)),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn set_faults(&self, mut conn: Conn) -> Conn {
        let faults: Faults = match reply::body(&mut conn).await {
            Ok(faults) => faults,
            Err(e) => return reply::error(conn, 400, &e),
        };
        self.gate.set(faults.gate.clone());
        let mut state = self.lock();
        if faults.forget {
            state.store.forget();
        }
        state.faults = faults;
        state.since = Instant::now();
        drop(state);
        reply::json(conn, 200, &json!({}))
    }

    async fn serve(&self, conn: Conn, parts: &[&str]) -> Conn {
        match (conn.method(), parts) {
            (Method::Get, ["objects", kind, name]) => self.get(conn, kind, name).await,
            (Method::Get, ["objects", kind]) => self.list(conn, kind).await,
            (Method::Put | Method::Delete, ["objects", kind, name]) => {
                self.write(conn, kind, name).await
            }
            (Method::Get, ["watch", kind]) => self.watch(conn, kind).await,
            (Method::Get, ["instances"]) => self.list_instances(conn),
            (Method::Put, ["instances", group @ ("entries" | "targets"), id]) => {
                self.register(conn, group, id).await
            }
            (Method::Delete, ["instances", group, id]) => self.unregister(conn, group, id),
            _ => reply::error(conn, 404, "no such path"),
        }
    }

    async fn get(&self, conn: Conn, kind: &str, name: &str) -> Conn {
        if !self.count_read(kind).await {
            return reply::error(conn, 503, "over the read limit");
        }
        let state = self.lock();
        let object = state.store.get(kind, name);
        let object = object.map(|o| state.faults.text(kind, name, o));
        drop(state);
        match object {
            Some(object) => reply::json(conn, 200, &object),
            None => reply::error(conn, 404, "no such object"),
        }
    }

    async fn list(&self, conn: Conn, kind: &str) -> Conn {
        if !self.count_read(kind).await {
            return reply::error(conn, 503, "over the read limit");
        }
        let prefix = reply::query(&conn, "prefix").unwrap_or_default();
        let after = reply::query(&conn, "after").unwrap_or_default();
        let limit = match reply::number(&conn, "limit") {
            0 => LIST_LIMIT,
            limit => limit,
        };
        let state = self.lock();
        let after = if state.faults.repeat_pages {
            ""
        } else {
            &after
        };
        let items = state.store.list(kind, &prefix, after, limit as usize);
        let text = |o: &Object| state.faults.text(kind, &o.name, o);
        let items: Vec<Box<RawValue>> = items.iter().map(text).collect();
        let answer = Listed {
            version: state.store.version(),
            items,
        };
        drop(state);
        reply::json(conn, 200, &answer)
    }

    async fn write(&self, mut conn: Conn, kind: &str, name: &str) -> Conn {
        if !self.count_write(kind).await {
            return reply::error(conn, 503, "over the write limit");
        }
        let body = match conn.request_body().read_bytes().await {
            Ok(body) if body.len() <= VALUE_LIMIT => body,
            _ => return reply::error(conn, 413, "the value is over the limit"),
        };
        let Some(condition) = condition(&conn) else {
            return reply::error(conn, 400, "If-Match or If-None-Match is missing");
        };
        let remove = conn.method() == Method::Delete;
        let value = serde_json::from_slice(&body);
        if value.is_err() && !remove {
            return reply::error(conn, 400, "the value is not JSON");
        }
        let fault = self.write_fault(&format!("{kind}/{name}"));
        match fault {
            WriteFault::Refused => return reply::error(conn, 503, "refused by a fault"),
            WriteFault::Dropped(silent) => return reply::no_answer(conn, silent).await,
            WriteFault::Normal | WriteFault::Lost(_) => {}
        }
        let result = self.apply(kind, name, condition, value.ok().filter(|_| !remove));
        if let WriteFault::Lost(silent) = fault {
            return reply::no_answer(conn, silent).await;
        }
        match result {
            Ok(version) => {
                let answer = json!({ "kind": kind, "name": name, "version": version });
                reply::json(conn, 200, &answer)
            }
            Err(Refusal::Missing) => reply::error(conn, 404, "no such object"),
            Err(Refusal::Conflict(version)) => {
                reply::json(conn, 409, &json!({ "version": version }))
            }
        }
    }

    fn apply(
        &self,
        kind: &str,
        name: &str,
        condition: Condition,
        value: Option<Value>,
    ) -> Result<u64, Refusal> {
        let mut state = self.lock();
        let result = match (value, condition) {
            (Some(value), _) => state.store.put(kind, name, condition, value),
            (None, Condition::Version(version)) => state.store.remove(kind, name, version),
            (None, Condition::Absent) => Err(Refusal::Missing),
        };
        match result {
            Ok(_) => state.watchers.clear(),
            Err(_) => state.ledger.conflicts += 1,
        }
        result
    }

    async fn watch(&self, mut conn: Conn, kind: &str) -> Conn {
        let since = reply::number(&conn, "since");
        let wait = Duration::from_millis(reply::number(&conn, "timeout_ms")).min(WATCH_LIMIT);
        {
            let mut state = self.lock();
            state.ledger.watches.add(Instant::now());
            state.ledger.count("watch", kind);
        }
        let deadline = Instant::now() + wait;
        loop {
            let Ok(batch) = self.changes(kind, since) else {
                return reply::error(conn, 410, "the history is gone");
            };
            if !batch.events.is_empty() || Instant::now() >= deadline {
                let (version, events) = (batch.version, batch.events);
                return reply::json(conn, 200, &Changed { version, events });
            }
            let timeout = async {
                async_io::Timer::at(deadline).await;
            };
            let changed = async {
                let _ = batch.notified.recv().await;
            };
            let change = smol::future::or(changed, timeout);
            if conn.cancel_on_disconnect(change).await.is_none() {
                return reply::close(conn);
            }
        }
    }

    /// Atomically reads the changes and subscribes to the next one.
    fn changes(&self, kind: &str, since: u64) -> Result<WatchBatch, Gone> {
        let (sender, notified) = smol::channel::bounded(1);
        let mut state = self.lock();
        state.watchers.retain(|watcher| !watcher.is_closed());
        state.watchers.push(sender);
        let events = state.store.since(kind, since)?;
        let text = |c: &Change| state.faults.text(kind, &c.name, c);
        Ok(WatchBatch {
            version: state.store.version(),
            events: events.iter().map(text).collect(),
            notified,
        })
    }

    fn list_instances(&self, conn: Conn) -> Conn {
        let mut state = self.lock();
        state.ledger.instance_reads.add(Instant::now());
        let lag = state.faults.list_lag_ms.unwrap_or(self.options.list_lag_ms);
        let (status, text) = self.list_answer(&conn, &state.instances, Duration::from_millis(lag));
        state.ledger.instance_bytes += text.len() as u64;
        drop(state);
        reply::text(conn, status, text)
    }

    /// Returns status and body of a read of the list: 304 if a conditional read matches, the changes
    /// after a version or 410, or the full list.
    fn list_answer(&self, conn: &Conn, list: &Instances, lag: Duration) -> (u16, String) {
        if self.options.plain_list {
            let plain = FullList {
                version: None,
                ..list.full(lag)
            };
            return (200, reply::encode(&plain));
        }
        let tag = format!("\"{}\"", list.version(lag));
        if conn.request_headers().get_str("if-none-match") == Some(&*tag) {
            return (304, String::new());
        }
        match reply::query(conn, "since").map(|_| reply::number(conn, "since")) {
            None => (200, reply::encode(&list.full(lag))),
            Some(since) => match list.since(since, lag) {
                Some(changes) => (200, reply::encode(&changes)),
                None => (410, String::new()),
            },
        }
    }

    async fn register(&self, mut conn: Conn, group: &str, id: &str) -> Conn {
        let value: Value = match reply::body(&mut conn).await {
            Ok(value) => value,
            Err(e) => return reply::error(conn, 400, &e),
        };
        let mut state = self.lock();
        state.ledger.registrations.add(Instant::now());
        state.instances.set(group, id, Some(value));
        drop(state);
        reply::json(conn, 200, &json!({}))
    }

    fn unregister(&self, conn: Conn, group: &str, id: &str) -> Conn {
        self.lock().instances.set(group, id, None);
        reply::json(conn, 200, &json!({}))
    }

    async fn count_read(&self, kind: &str) -> bool {
        let rate = {
            let mut state = self.lock();
            state.ledger.count("read", kind);
            state.ledger.reads.add(Instant::now())
        };
        async_io::Timer::after(Duration::from_millis(self.options.call_ms)).await;
        self.options.read_limit == 0 || rate <= self.options.read_limit
    }

    async fn count_write(&self, kind: &str) -> bool {
        let rate = {
            let mut state = self.lock();
            state.ledger.count("write", kind);
            state.ledger.writes.add(Instant::now())
        };
        async_io::Timer::after(Duration::from_millis(self.options.call_ms)).await;
        self.options.write_limit == 0 || rate <= self.options.write_limit
    }

    fn write_fault(&self, path: &str) -> WriteFault {
        let mut state = self.lock();
        let since = state.since;
        let State { faults, ledger, .. } = &mut *state;
        if take(&mut faults.refused, path, since).is_some() {
            ledger.refused += 1;
            return WriteFault::Refused;
        }
        if let Some(silent) = take(&mut faults.dropped, path, since) {
            ledger.dropped += 1;
            return WriteFault::Dropped(silent);
        }
        if let Some(silent) = take(&mut faults.lost, path, since) {
            ledger.lost += 1;
            return WriteFault::Lost(silent);
        }
        WriteFault::Normal
    }
}

impl Handler for Platform {
    async fn run(&self, conn: Conn) -> Conn {
        let target = match Target::parse(&format!("{}?{}", conn.path(), conn.querystring())) {
            Ok(target) => target,
            Err(refusal) => return reply::error(conn, refusal as u16, "the target is no URI"),
        };
        let segments = target.segments.iter().map(String::as_str);
        let parts: Vec<&str> = segments.filter(|s| !s.is_empty()).collect();
        match (conn.method(), parts.as_slice()) {
            (Method::Post, ["faults"]) => self.set_faults(conn).await,
            (Method::Get, ["ledger"]) => {
                let ledger = self.lock().ledger.clone();
                reply::json(conn, 200, &ledger)
            }
            _ => match self.gate.pass(conn).await {
                Ok(conn) => self.serve(conn, &parts).await,
                Err(conn) => conn,
            },
        }
    }
}

impl Faults {
    /// Returns the text of an object or a change.
    fn text(&self, kind: &str, name: &str, value: &impl Serialize) -> Box<RawValue> {
        let text = self.texts.get(&format!("{kind}/{name}")).cloned();
        text.unwrap_or_else(|| to_raw_value(value).expect("a value can be written"))
    }
}

impl Ledger {
    fn count(&mut self, call: &str, kind: &str) {
        *self.calls.entry(format!("{call} {kind}")).or_default() += 1;
    }
}

fn condition(conn: &Conn) -> Option<Condition> {
    let headers = conn.request_headers();
    if headers.get_str("if-none-match") == Some("*") {
        return Some(Condition::Absent);
    }
    let version = headers.get_str("if-match")?.trim_matches('"').parse();
    version.ok().map(Condition::Version)
}
