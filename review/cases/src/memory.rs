//! Clients send requests with bodies as long as the configuration allows.

use std::{
    collections::BTreeSet,
    fs,
    io::Write,
    net::{SocketAddr, TcpStream},
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    client, http,
    record::Record,
    side::{self, Side},
};

/// Site file: memory_mb of a front machine. DEPLOY.md: a process that uses more is killed.
const MEMORY_LIMIT_KB: u64 = 96 << 10;
/// PROTOCOL.md: clients stay within max_body_bytes.
const MAX_BODY: usize = 4 << 20;
/// Site file: req_bytes.
const USUAL_BODY: usize = 1500;
/// RULES.md, LOST: more than three times.
const ALLOWED: usize = 3;
/// Site file: 113 requests a second of both kinds come to 15 machines.
const RATE: f64 = 113.0 / 15.0;
/// Site file: steps of the traffic, which repeat.
const LOW: (f64, f64) = (0.377, 3.8);
const HIGH: (f64, f64) = (1.84, 2.8);
/// Site file: link_mbps = 700 of a front machine.
const LINK_BYTES_PER_S: f64 = 700e6 / 8.0;

pub fn run(folder: &Path, work: &Path, trouble: &str) -> Result<bool, String> {
    let config = side::config(3, &[side::single_route("lm", 5000)], &["lm"]);
    let side = Side::start(folder, 25, Duration::from_millis(20), config);
    let record = side.record.clone();
    (0..6).for_each(|n| side.add(n, "lm", "a", "v1"));
    let instances = side.instances(2, work)?;
    let addresses: Vec<_> = instances.iter().map(|i| i.settings.callers).collect();

    let stop = Arc::new(AtomicBool::new(false));
    let over = Arc::new(AtomicBool::new(false));
    let ends = Arc::new(AtomicU32::new(0));
    let guards: Vec<_> = instances
        .into_iter()
        .map(|mut instance| {
            let (record, over, ends) = (record.clone(), over.clone(), ends.clone());
            thread::spawn(move || {
                let mut peak = 0;
                while !over.load(Ordering::Relaxed) {
                    let used = resident_kb(instance.id());
                    peak = peak.max(used);
                    if used > MEMORY_LIMIT_KB {
                        let name = &instance.settings.name;
                        record.say(&format!("platform: {name} uses {used} kB and is killed"));
                        ends.fetch_add(1, Ordering::Relaxed);
                        instance.kill();
                        thread::sleep(Duration::from_millis(500));
                        instance.restart();
                    }
                    thread::sleep(Duration::from_millis(5));
                }
                record.say(&format!("{}: peak {peak} kB", instance.settings.name));
            })
        })
        .collect();

    let size = Arc::new(AtomicUsize::new(USUAL_BODY));
    let cut: Arc<Mutex<BTreeSet<String>>> = Arc::default();
    let served = Arc::new(AtomicU32::new(0));
    let links: Vec<Link> = (0..2).map(|_| Link::default()).collect();
    let begun = Instant::now();
    let clients: Vec<_> = (0..2)
        .map(|n| {
            let sender = Sender {
                address: addresses[n],
                link: links[n].clone(),
                idle: Arc::default(),
                record: record.clone(),
                cut: cut.clone(),
                served: served.clone(),
            };
            let (stop, size) = (stop.clone(), size.clone());
            thread::spawn(move || {
                let mut calls = Vec::new();
                let mut due = begun;
                while !stop.load(Ordering::Relaxed) {
                    let id = format!("c{n}-{}", calls.len());
                    let size = size.load(Ordering::Relaxed);
                    let sender = sender.clone();
                    calls.push(thread::spawn(move || sender.send(&id, size)));
                    due += Duration::from_secs_f64(1.0 / rate(begun.elapsed()));
                    thread::sleep(due.saturating_duration_since(Instant::now()));
                }
                calls.into_iter().for_each(|c| c.join().expect("a call"));
            })
        })
        .collect();
    // Once around the steps of the traffic, so that connections are open.
    thread::sleep(Duration::from_secs_f64(LOW.1 + HIGH.1));
    if trouble != "0" {
        record.say("the bodies of the requests become as long as the configuration allows");
        size.store(MAX_BODY, Ordering::Relaxed);
    }
    thread::sleep(Duration::from_secs_f64(4.0 * (LOW.1 + HIGH.1)));
    stop.store(true, Ordering::Relaxed);
    clients
        .into_iter()
        .for_each(|c| c.join().expect("a client"));
    over.store(true, Ordering::Relaxed);
    guards.into_iter().for_each(|g| g.join().expect("a guard"));

    let runs: BTreeSet<String> = side
        .kind
        .runs
        .lock()
        .unwrap()
        .iter()
        .map(|r| r.id.clone())
        .collect();
    let cut = cut.lock().unwrap();
    let lost = cut.intersection(&runs).count();
    let (served, ends) = (served.load(Ordering::Relaxed), ends.load(Ordering::Relaxed));
    record.say(&format!(
        "served={served} killed_for_memory={ends} passed_on_and_closed_without_an_answer={lost} \
         allowed={ALLOWED}"
    ));
    record.flush();
    if served < 20 {
        return Err("too few requests were served".into());
    }
    Ok(lost > ALLOWED)
}

/// Time until which the link of a machine is taken.
type Link = Arc<Mutex<Option<Instant>>>;

fn rate(time: Duration) -> f64 {
    let at = time.as_secs_f64() % (LOW.1 + HIGH.1);
    RATE * if at < LOW.1 { LOW.0 } else { HIGH.0 }
}

/// Clients of one machine, which keep their connections.
#[derive(Clone)]
struct Sender {
    address: SocketAddr,
    link: Link,
    idle: Arc<Mutex<Vec<TcpStream>>>,
    record: Record,
    cut: Arc<Mutex<BTreeSet<String>>>,
    served: Arc<AtomicU32>,
}

impl Sender {
    fn send(&self, id: &str, size: usize) {
        let kept = self.idle.lock().unwrap().pop();
        let is_kept = kept.is_some();
        let open = || http::connect(self.address, Duration::from_secs(6)).ok();
        let Some(stream) = kept.or_else(open) else {
            return;
        };
        self.record
            .write(&format!("sent request={id} kept={is_kept} bytes={size}"));
        let result = call(&stream, id, size, &self.link);
        self.record
            .write(&format!("answered request={id} result={result:?}"));
        match result {
            Ok(status) => {
                self.served
                    .fetch_add(u32::from(status == 200), Ordering::Relaxed);
                self.idle.lock().unwrap().push(stream);
            }
            Err(_) if is_kept => {
                self.cut.lock().unwrap().insert(id.to_owned());
            }
            Err(_) => {}
        }
    }
}

fn call(mut stream: &TcpStream, id: &str, size: usize, link: &Link) -> std::io::Result<u16> {
    write!(
        stream,
        "POST /tally/x HTTP/1.1\r\nhost: {}\r\nx-request-id: {id}\r\nx-model: m\r\n\
         x-token-count: 450,40\r\nx-deadline-ms: 5000\r\ncontent-length: {size}\r\n\r\n",
        client::HOST
    )?;
    for part in vec![b'x'; size].chunks(1 << 16) {
        let time = Duration::from_secs_f64(part.len() as f64 / LINK_BYTES_PER_S);
        let until = {
            let mut taken = link.lock().unwrap();
            let until = taken.unwrap_or_else(Instant::now).max(Instant::now()) + time;
            *taken = Some(until);
            until
        };
        thread::sleep(until.saturating_duration_since(Instant::now()));
        stream.write_all(part)?;
    }
    Ok(http::receive(stream)?.whole()?.0)
}

fn resident_kb(process: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let number = line.and_then(|l| l.trim().split(' ').next()?.parse().ok());
    number.unwrap_or(0)
}
