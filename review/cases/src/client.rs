//! A client of streams: it takes a broken stream up at another instance, as PROTOCOL.md describes.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use crate::{http, instance::Instance, record::Record};

pub const HOST: &str = "fountain.example";
pub const DEADLINE: Duration = Duration::from_secs(5);

/// What came of a stream over all attempts.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Number and text of the events.
    pub events: Vec<(u64, String)>,
    pub complete: bool,
    pub attempts: u32,
    /// Attempts that took the stream up, and those of them that brought an event.
    pub taken_up: u32,
    pub gone_on: u32,
}

/// Fifteen clients, each of which asks for one stream after the other: ten at the first instance, and
/// one at each other one. A retry goes to the other instance of the zone.
pub struct Clients {
    stop: Arc<AtomicBool>,
    clients: Vec<JoinHandle<Vec<(String, Outcome)>>>,
}

impl Clients {
    /// Starts clients of six instances, two in a zone.
    pub fn start(record: &Record, instances: &[Instance]) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let start = |number: usize| {
            let at = number.saturating_sub(9);
            let address = |n: usize| instances[n].settings.callers;
            let (first, next) = (address(at), address(at ^ 1));
            let (record, stop) = (record.clone(), stop.clone());
            thread::spawn(move || {
                let mut outcomes = Vec::new();
                // Clients come one after the other.
                thread::sleep(Duration::from_millis(67 * number as u64));
                while !stop.load(Ordering::Relaxed) {
                    let name = format!("c{number}-{}", outcomes.len());
                    let path = format!("/tally/{name}");
                    outcomes.push((name.clone(), stream(&record, &name, &path, first, next)));
                    thread::sleep(Duration::from_millis(60));
                }
                outcomes
            })
        };
        let clients = (0..15).map(start).collect();
        Self { stop, clients }
    }

    /// Waits for the last streams, and returns what came of all.
    pub fn stop(self) -> Vec<(String, Outcome)> {
        self.stop.store(true, Ordering::Relaxed);
        let outcomes = self.clients.into_iter();
        outcomes.flat_map(|c| c.join().expect("a client")).collect()
    }
}

/// Sends a request and reads the whole answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    id: &str,
    body: &[u8],
    patience: Duration,
) -> io::Result<(u16, Vec<u8>)> {
    let mut headers = vec![("host", HOST), ("x-request-id", id)];
    if method == "POST" {
        headers.extend([
            ("x-model", "m"),
            ("x-token-count", "450,40"),
            ("x-deadline-ms", "5000"),
        ]);
    }
    let connection = http::connect(address, patience)?;
    http::send(&connection, method, path, &headers, body)?.whole()
}

/// Asks for a stream, at `first` and after a failure at `next`.
pub fn stream(
    record: &Record,
    name: &str,
    path: &str,
    first: SocketAddr,
    next: SocketAddr,
) -> Outcome {
    let begun = Instant::now();
    let mut outcome = Outcome::default();
    let mut origin: Option<String> = None;
    let mut address = first;
    while !outcome.complete && begun.elapsed() < DEADLINE && outcome.attempts < 6 {
        outcome.attempts += 1;
        let id = format!("{name}-{}", outcome.attempts);
        let had = outcome.events.len();
        let last = outcome.events.last().map(|(n, _)| *n);
        outcome.taken_up += u32::from(last.is_some());
        let left = DEADLINE.saturating_sub(begun.elapsed());
        record.write(&format!(
            "sent request={id} to={address} last={last:?} origin={origin:?}"
        ));
        let result = attempt(
            &id,
            path,
            address,
            left,
            last,
            origin.as_deref(),
            &mut outcome,
        );
        if outcome.events.len() > had {
            outcome.gone_on += u32::from(last.is_some());
            origin.get_or_insert_with(|| id.clone());
        }
        record.write(&format!(
            "answered request={id} result={result:?} events={}",
            outcome.events.len()
        ));
        let pause = match result {
            Ok(200) => Duration::ZERO,
            Ok(400 | 401 | 404 | 413 | 431) => break,
            _ => Duration::from_millis(50),
        };
        thread::sleep(pause);
        address = next;
    }
    outcome
}

fn attempt(
    id: &str,
    path: &str,
    address: SocketAddr,
    left: Duration,
    last: Option<u64>,
    origin: Option<&str>,
    outcome: &mut Outcome,
) -> std::io::Result<u16> {
    let (left_ms, last) = (left.as_millis().to_string(), last.map(|n| n.to_string()));
    let mut headers = vec![
        ("host", HOST),
        ("x-request-id", id),
        ("x-model", "m"),
        ("x-token-count", "450,40"),
        ("x-deadline-ms", &*left_ms),
    ];
    headers.extend(last.iter().map(|n| ("last-event-id", &**n)));
    headers.extend(origin.map(|o| ("resumes", o)));
    let connection = http::connect(address, Duration::from_secs(2))?;
    let mut answer = http::send(&connection, "POST", path, &headers, b"prompt")?;
    let status = answer.head.status();
    if status != 200 {
        return Ok(status);
    }
    let mut text = String::new();
    loop {
        let part = answer.part()?;
        if part.is_empty() {
            outcome.complete = true;
            return Ok(status);
        }
        text += &String::from_utf8_lossy(&part);
        while let Some((event, rest)) = text.split_once("\n\n") {
            let field = |name: &str| event.lines().find_map(|l| l.strip_prefix(name));
            if let (Some(number), Some(data)) = (field("id: "), field("data: ")) {
                let number = number.parse().unwrap_or(u64::MAX);
                outcome.events.push((number, data.to_owned()));
            }
            text = rest.to_owned();
        }
    }
}
