//! Stand-in for the platform's store, as PROTOCOL.md describes it.

use std::{
    collections::BTreeMap,
    io,
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Condvar, Mutex, MutexGuard,
        mpsc::{Receiver, Sender, channel},
    },
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use crate::http::{self, Request, answer};

/// Time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Default)]
struct Objects {
    revision: u64,
    objects: BTreeMap<(String, String), Value>,
    events: Vec<(u64, String, Value, bool)>,
    /// Gets the caller and the method of each call for a kind, once the store has carried it out.
    observer: Option<(String, Sender<(String, String)>)>,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<Objects>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let state: Arc<(Mutex<Objects>, Condvar)> = Arc::default();
        let shared = state.clone();
        let address = http::serve(move |request, stream| serve(&shared, "", request, stream));
        Self { address, state }
    }

    /// Returns another address of the store, for one caller.
    pub fn address_for(&self, caller: &str) -> SocketAddr {
        let (shared, caller) = (self.state.clone(), caller.to_owned());
        http::serve(move |request, stream| serve(&shared, &caller, request, stream))
    }

    /// Returns the calls for a kind from now on, with their callers.
    pub fn observe(&self, kind: &str) -> Receiver<(String, String)> {
        let (sender, receiver) = channel();
        self.lock().observer = Some((kind.to_owned(), sender));
        receiver
    }

    fn lock(&self) -> MutexGuard<'_, Objects> {
        self.state.0.lock().unwrap()
    }

    /// Writes an object as the operator or a worker does. The write counts as acknowledged when
    /// this returns.
    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        self.lock().put(kind, name, Some(spec), None);
        self.state.1.notify_all();
    }

    pub fn get(&self, kind: &str, name: &str) -> Option<Value> {
        self.lock()
            .objects
            .get(&(kind.into(), name.into()))
            .cloned()
    }
}

impl Objects {
    fn put(&mut self, kind: &str, name: &str, spec: Option<Value>, status: Option<Value>) {
        let key = (kind.to_owned(), name.to_owned());
        let old = self.objects.get(&key).cloned();
        let part = |new: Option<Value>, field: &str| {
            new.unwrap_or_else(|| old.as_ref().map_or(Value::Null, |o| o[field].clone()))
        };
        let (spec, status) = (part(spec, "spec"), part(status, "status"));
        let is_same = |o: &Value| o["spec"] == spec && o["status"] == status;
        if old.as_ref().is_some_and(is_same) {
            return;
        }
        self.revision += 1;
        let object = json!({
            "metadata": { "name": name, "rev": self.revision },
            "spec": spec,
            "status": status,
        });
        self.objects.insert(key, object.clone());
        let event = (self.revision, kind.to_owned(), object, false);
        self.events.push(event);
    }

    fn remove(&mut self, kind: &str, name: &str) -> bool {
        let key = (kind.to_owned(), name.to_owned());
        let Some(object) = self.objects.remove(&key) else {
            return false;
        };
        self.revision += 1;
        let event = (self.revision, kind.to_owned(), object, true);
        self.events.push(event);
        true
    }
}

fn serve(
    state: &(Mutex<Objects>, Condvar),
    caller: &str,
    request: &Request,
    stream: &mut TcpStream,
) -> io::Result<bool> {
    let path = request.path().trim_start_matches("/objects/").to_owned();
    let mut parts = path.split('/');
    let kind = parts.next().unwrap_or_default();
    let name = parts.next();
    let is_status = parts.next() == Some("status");
    if let Some(since) = request.query("watch") {
        return watch(state, request, kind, since.parse().unwrap_or(0), stream);
    }
    let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
    let key = |name: &str| (kind.to_owned(), name.to_owned());
    let mut objects = state.0.lock().unwrap();
    let (status, text) = match (request.method(), name) {
        ("GET", None) => {
            let after = request.query("after").unwrap_or_default();
            let items = objects.objects.iter();
            let items = items.filter(|((k, n), _)| k == kind && n.as_str() > after);
            let items: Vec<&Value> = items.map(|(_, o)| o).collect();
            let list = json!({ "items": items, "truncated": false, "at": objects.revision });
            (200, list.to_string())
        }
        ("GET", Some(name)) => match objects.objects.get(&key(name)) {
            Some(object) => (200, object.to_string()),
            None => (404, "{}".into()),
        },
        ("POST", None) => {
            let name = body["metadata"]["name"].as_str().unwrap_or_default();
            match objects.objects.get(&key(name)) {
                Some(object) => (409, object.to_string()),
                None => {
                    objects.put(kind, name, Some(body["spec"].clone()), None);
                    (201, "{}".into())
                }
            }
        }
        ("PUT", Some(name)) => match objects.objects.get(&key(name)).cloned() {
            None => (404, "{}".into()),
            Some(object) => {
                let expected = &body["metadata"]["rev"];
                if !expected.is_null() && *expected != object["metadata"]["rev"] {
                    (409, object.to_string())
                } else {
                    let part = |field: &str| Some(body[field].clone());
                    if is_status {
                        objects.put(kind, name, None, part("status"));
                    } else {
                        objects.put(kind, name, part("spec"), None);
                    }
                    (200, "{}".into())
                }
            }
        },
        ("DELETE", Some(name)) => match objects.remove(kind, name) {
            true => (200, "{}".into()),
            false => (404, "{}".into()),
        },
        _ => (400, "{}".into()),
    };
    if let Some((observed, sender)) = &objects.observer
        && observed == kind
    {
        let _ = sender.send((caller.to_owned(), request.method().to_owned()));
    }
    drop(objects);
    state.1.notify_all();
    thread::sleep(ANSWER_TIME);
    answer(stream, status, "", &text)
}

fn watch(
    (state, changed): &(Mutex<Objects>, Condvar),
    request: &Request,
    kind: &str,
    since: u64,
    stream: &mut TcpStream,
) -> io::Result<bool> {
    let wait = request.query("wait_ms").and_then(|v| v.parse().ok());
    let end = Instant::now() + Duration::from_millis(wait.unwrap_or(0));
    let mut objects = state.lock().unwrap();
    let batch = loop {
        let later = objects
            .events
            .iter()
            .filter(|(r, k, ..)| *r > since && k == kind);
        let events: Vec<Value> = later
            .map(|(_, _, object, gone)| json!({ "object": object, "deleted": gone }))
            .collect();
        let left = end.saturating_duration_since(Instant::now());
        if !events.is_empty() || left.is_zero() {
            break json!({ "events": events, "at": objects.revision });
        }
        objects = changed.wait_timeout(objects, left).unwrap().0;
    };
    drop(objects);
    thread::sleep(ANSWER_TIME);
    answer(stream, 200, "", &batch.to_string())
}
