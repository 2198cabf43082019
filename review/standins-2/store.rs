//! Stand-in for the platform's store, as PROTOCOL.md tells it. Each instance has an address of its own, so
//! that what it reads can name the others by the addresses at which it reaches them.

use std::{
    collections::BTreeMap,
    io,
    net::{SocketAddr, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Request},
    json::{Json, quote},
};

#[derive(Debug, Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    /// Revision, kind, rendered object, whether it was removed.
    events: Vec<(u64, String, String, bool)>,
    calls: BTreeMap<String, Vec<Instant>>,
}

#[derive(Debug, Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: String,
    status: String,
}

#[derive(Clone, Default)]
pub struct Store {
    state: Arc<Mutex<State>>,
    /// Texts that are replaced in what a caller reads.
    names: Arc<Mutex<BTreeMap<String, Vec<(String, String)>>>>,
}

impl Store {
    /// Serves the store at a new address for a caller with a name.
    pub fn listen(&self, caller: &str) -> SocketAddr {
        let (store, caller) = (self.clone(), caller.to_owned());
        http::serve(move |request, stream| store.answer(&caller, request, stream))
    }

    /// Replaces a text in all that a caller reads of the instances.
    pub fn rename(&self, caller: &str, from: &str, to: &str) {
        let mut names = self.names.lock().unwrap();
        let names = names.entry(caller.to_owned()).or_default();
        names.push((from.to_owned(), to.to_owned()));
    }

    /// Writes an object as the operator or a worker does.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.state.lock().unwrap().put(kind, name, Some(spec), None);
    }

    /// Returns the longest time between two calls of a caller that were answered within a span.
    pub fn longest_gap(&self, caller: &str, from: Instant, to: Instant) -> Duration {
        let state = self.state.lock().unwrap();
        let calls = state.calls.get(caller).cloned().unwrap_or_default();
        let inside = calls.into_iter().filter(|t| (from..to).contains(t));
        let mut last = from;
        let mut longest = Duration::ZERO;
        for time in inside.chain([to]) {
            longest = longest.max(time - last);
            last = time;
        }
        longest
    }

    fn answer(&self, caller: &str, request: &Request, stream: &mut TcpStream) -> io::Result<bool> {
        let mut parts = request.path.split('/').skip(2);
        let kind = parts.next().unwrap_or_default().to_owned();
        let name = parts.next().map(decode);
        let is_status = parts.next() == Some("status");
        let (status, mut body) = match request.query("watch") {
            Some(since) => self.watch(&kind, since.parse().unwrap_or(0), request),
            None => {
                thread::sleep(Duration::from_millis(4));
                self.state
                    .lock()
                    .unwrap()
                    .call(request, &kind, name, is_status)
            }
        };
        let now = Instant::now();
        let mut state = self.state.lock().unwrap();
        state.calls.entry(caller.to_owned()).or_default().push(now);
        drop(state);
        if kind == "entry-instances" {
            for (from, to) in self.names.lock().unwrap().get(caller).into_iter().flatten() {
                body = body.replace(from, to);
            }
        }
        let head = "content-type: application/json\r\n";
        http::answer(stream, status, head, body.as_bytes())
    }

    fn watch(&self, kind: &str, since: u64, request: &Request) -> (u16, String) {
        let wait = request
            .query("wait_ms")
            .and_then(|w| w.parse().ok())
            .unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait);
        loop {
            let state = self.state.lock().unwrap();
            let events: Vec<String> = state
                .events
                .iter()
                .filter(|(r, k, ..)| *r > since && k == kind)
                .map(|(_, _, object, gone)| format!("{{\"object\":{object},\"deleted\":{gone}}}"))
                .collect();
            if !events.is_empty() || Instant::now() >= end {
                let body = format!(
                    "{{\"events\":[{}],\"at\":{}}}",
                    events.join(","),
                    state.revision
                );
                return (200, body);
            }
            drop(state);
            thread::sleep(Duration::from_millis(3));
        }
    }
}

impl State {
    fn put(&mut self, kind: &str, name: &str, spec: Option<&str>, status: Option<&str>) -> String {
        self.revision += 1;
        let revision = self.revision;
        let key = (kind.to_owned(), name.to_owned());
        let object = self.objects.entry(key).or_insert(Object {
            revision,
            created: revision,
            spec: "null".into(),
            status: "null".into(),
        });
        object.revision = revision;
        if let Some(spec) = spec {
            object.spec = spec.to_owned();
        }
        if let Some(status) = status {
            object.status = status.to_owned();
        }
        let text = render(name, object);
        // Only these kinds are watched.
        if kind == "config" || kind == "servers" {
            self.events
                .push((revision, kind.to_owned(), text.clone(), false));
        }
        text
    }

    fn call(
        &mut self,
        request: &Request,
        kind: &str,
        name: Option<String>,
        is_status: bool,
    ) -> (u16, String) {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let body = Json::parse(&body).unwrap_or_default();
        let key = |name: &str| (kind.to_owned(), name.to_owned());
        match (request.method.as_str(), name) {
            ("GET", None) => {
                let after = request.query("after").map(decode).unwrap_or_default();
                let range = self.objects.range(key(&after)..);
                let listed = range.filter(|((k, n), _)| k == kind && *n > after);
                let mut items = Vec::new();
                let mut size = 0;
                let mut truncated = false;
                for ((_, name), object) in listed {
                    let text = render(name, object);
                    if size > 0 && (items.len() >= 500 || size + text.len() > 1 << 20) {
                        truncated = true;
                        break;
                    }
                    size += text.len();
                    items.push(text);
                }
                let body = format!(
                    "{{\"items\":[{}],\"truncated\":{truncated},\"at\":{}}}",
                    items.join(","),
                    self.revision
                );
                (200, body)
            }
            ("GET", Some(name)) => match self.objects.get(&key(&name)) {
                Some(object) => (200, render(&name, object)),
                None => (404, "{}".into()),
            },
            ("POST" | "PUT", _) if request.body.len() > 1 << 20 => (413, "{}".into()),
            ("POST", None) => {
                let name = body.get("metadata").get("name").text().to_owned();
                match self.objects.get(&key(&name)) {
                    Some(object) => (409, render(&name, object)),
                    None => (
                        201,
                        self.put(kind, &name, Some(&body.get("spec").to_string()), None),
                    ),
                }
            }
            ("PUT", Some(name)) => {
                let Some(object) = self.objects.get(&key(&name)) else {
                    return (404, "{}".into());
                };
                let expected = body.get("metadata").get("rev").number();
                if expected.is_some_and(|r| r != object.revision) {
                    return (409, render(&name, object));
                }
                let field = if is_status { "status" } else { "spec" };
                let value = body.get(field).to_string();
                let (spec, status) = if is_status {
                    (None, Some(&*value))
                } else {
                    (Some(&*value), None)
                };
                (200, self.put(kind, &name, spec, status))
            }
            ("DELETE", Some(name)) => match self.objects.remove(&key(&name)) {
                Some(object) => {
                    self.revision += 1;
                    let object = Object {
                        revision: self.revision,
                        ..object
                    };
                    let event = (self.revision, kind.to_owned(), render(&name, &object), true);
                    self.events.push(event);
                    (200, "{}".into())
                }
                None => (404, "{}".into()),
            },
            _ => (400, "{}".into()),
        }
    }
}

fn render(name: &str, object: &Object) -> String {
    let mut quoted = String::new();
    quote(name, &mut quoted);
    format!(
        "{{\"metadata\":{{\"name\":{quoted},\"rev\":{},\"created\":{},\"finalizers\":[],\"deleting\":false}},\
         \"spec\":{},\"status\":{}}}",
        object.revision, object.created, object.spec, object.status
    )
}

fn decode(text: &str) -> String {
    let mut out = Vec::new();
    let mut bytes = text.bytes();
    while let Some(b) = bytes.next() {
        if b == b'%' {
            let hex = [bytes.next().unwrap_or(b'0'), bytes.next().unwrap_or(b'0')];
            let hex = String::from_utf8_lossy(&hex).into_owned();
            out.push(u8::from_str_radix(&hex, 16).unwrap_or(b'?'));
        } else {
            out.push(b);
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
