//! A worker in trouble sends heads of interim answers without end until its caller closes.

use std::{
    collections::BTreeMap,
    io::{self, Write},
    net::{SocketAddr, TcpStream},
    path::Path,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    client, http, instance,
    record::Record,
    side::{self, Side},
    worker::Worker,
};

/// The route's timeout, and how much later RULES.md (CONFIG) expects an answer at most.
const TIMEOUT: Duration = Duration::from_secs(5);
const LATE: Duration = Duration::from_millis(500);
/// Time for which a client waits to see whether an answer comes at all.
const PATIENCE: Duration = Duration::from_secs(8);
/// Time after which the worker gives up if its caller does not close.
const FLOOD: Duration = Duration::from_secs(25);
/// Site file: cpu_share = 0.17 of a front machine. DEPLOY.md: the core "runs at full speed until the
/// quota is used up, and then runs not at all for the rest of that tenth of a second".
const RUN_S: f64 = 0.017;
const STOP_S: f64 = 0.083;
/// Site file: link_mbps = 700 of a front machine.
const LINK_BYTES_PER_S: f64 = 700e6 / 8.0;

pub fn run(folder: &Path, work: &Path, trouble: &str) -> Result<bool, String> {
    let timeout_ms = TIMEOUT.as_millis() as u64;
    let config = side::config(3, &[side::route("lm", timeout_ms)], &["lm"]);
    let side = Side::start(folder, 25, Duration::from_millis(20), config);
    let record = side.record.clone();
    (0..5).for_each(|n| side.add(n, "lm", "a", "v1"));
    let (troubled, sent) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicU64::new(0)),
    );
    let mut sixth = Worker::start(&side.kind, 5, "lm", "a", "v1");
    sixth.address = troubled_worker(&record, sixth.address, troubled.clone(), sent.clone());
    side.list(&sixth);
    let instances = side.instances(3, work)?;
    let limited = instances.iter().filter(|_| !has_whole_cores());
    let _quotas: Vec<Quota> = limited.map(|i| Quota::start(i.id(), work)).collect();

    let addresses: Vec<_> = instances.iter().map(|i| i.settings.callers).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let waits: Arc<Mutex<BTreeMap<String, (Duration, bool)>>> = Arc::default();
    let clients: Vec<_> = (0..12)
        .map(|n: usize| {
            let address = addresses[n % 3];
            let (record, stop, waits) = (record.clone(), stop.clone(), waits.clone());
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(90 * n as u64));
                for count in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    let id = format!("c{n}-{count}");
                    record.write(&format!("sent request={id} to={address}"));
                    let begun = Instant::now();
                    let result =
                        client::call(address, "POST", "/tally/x", &id, b"prompt", PATIENCE);
                    let waited = begun.elapsed();
                    record.write(&format!(
                        "answered request={id} answered={} after={waited:?}",
                        result.is_ok()
                    ));
                    waits.lock().unwrap().insert(id, (waited, result.is_ok()));
                    thread::sleep(Duration::from_millis(400));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    if trouble != "0" {
        record.say("trouble: i-5 answers with heads that are no answer, without end");
        troubled.store(true, Ordering::Relaxed);
    }
    thread::sleep(Duration::from_secs(3));
    for instance in &instances {
        let ready = if instance.is_ready() {
            "ready"
        } else {
            "not ready, or silent"
        };
        record.say(&format!("{} is {ready}", instance.settings.name));
    }
    thread::sleep(Duration::from_secs(15));
    stop.store(true, Ordering::Relaxed);
    clients
        .into_iter()
        .for_each(|c| c.join().expect("a client"));

    let waits = waits.lock().unwrap();
    let served = waits.values().filter(|(_, answered)| *answered).count();
    let open = waits.values().filter(|(waited, _)| *waited >= TIMEOUT);
    let open: Vec<&(Duration, bool)> = open.collect();
    let late = |(waited, answered): &&&(Duration, bool)| !answered || *waited > TIMEOUT + LATE;
    let unanswered = open.iter().filter(late).count();
    record.say(&format!(
        "requests={} answered={served} unanswered_at_timeout={} of_these_unanswered_half_a_second_\
         later={unanswered} flood_bytes={}",
        waits.len(),
        open.len(),
        sent.load(Ordering::Relaxed)
    ));
    record.flush();
    if served < 20 {
        return Err("too few requests were answered".into());
    }
    Ok(unanswered * 2 > open.len())
}

/// Returns whether the instances get a whole core each; the flood then needs more than the link of a
/// machine bears.
fn has_whole_cores() -> bool {
    std::env::var("CORE").is_ok_and(|v| v == "whole")
}

/// Gives a process its machine's share of a core, as a quota for each tenth of a second.
struct Quota(Child);

impl Quota {
    fn start(process: u32, work: &Path) -> Self {
        let script = format!(
            "while kill -CONT {process} && sleep {RUN_S}; do kill -STOP {process}; sleep {STOP_S}; done"
        );
        let child = Command::new("sh")
            .arg("-c")
            .arg(script)
            .stderr(Stdio::null())
            .spawn();
        let child = child.expect("a shell");
        instance::list_process(&child, work);
        Self(child)
    }
}

impl Drop for Quota {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts a worker that passes requests on to a sound one, until it is in trouble.
fn troubled_worker(
    record: &Record,
    sound: SocketAddr,
    troubled: Arc<AtomicBool>,
    sent: Arc<AtomicU64>,
) -> SocketAddr {
    let record = record.clone();
    let speed = if has_whole_cores() {
        f64::INFINITY
    } else {
        LINK_BYTES_PER_S
    };
    http::serve(move |request, stream| {
        if !troubled.load(Ordering::Relaxed) || request.method() == "GET" {
            return pass_on(sound, request, stream);
        }
        let id = request.head.get("x-request-id").unwrap_or_default();
        record.write(&format!("flood request={id} worker=i-5"));
        let heads = "HTTP/1.1 102 Processing\r\n\r\n".repeat(2500);
        let (begun, mut count) = (Instant::now(), 0);
        while begun.elapsed() < FLOOD {
            stream.write_all(heads.as_bytes())?;
            count += heads.len();
            sent.fetch_add(heads.len() as u64, Ordering::Relaxed);
            let due = Duration::from_secs_f64(count as f64 / speed);
            thread::sleep(due.saturating_sub(begun.elapsed()));
        }
        Ok(false)
    })
}

fn pass_on(sound: SocketAddr, request: &http::Request, stream: &mut TcpStream) -> io::Result<bool> {
    let far = http::connect(sound, PATIENCE)?;
    let headers: Vec<(&str, &str)> = request
        .head
        .headers
        .iter()
        .filter(|(n, _)| n != "content-length")
        .map(|(n, v)| (&**n, &**v))
        .collect();
    let path = &request.head.words[1];
    let mut answer = http::send(&far, request.method(), path, &headers, &request.body)?;
    let mut head = format!("HTTP/1.1 {} x\r\n", answer.head.status());
    for (name, value) in &answer.head.headers {
        head += &format!("{name}: {value}\r\n");
    }
    let is_chunked = answer.head.get("transfer-encoding").is_some();
    write!(stream, "{head}\r\n")?;
    loop {
        let part = answer.part()?;
        if is_chunked {
            write!(stream, "{:x}\r\n", part.len())?;
        }
        stream.write_all(&part)?;
        if is_chunked {
            stream.write_all(b"\r\n")?;
        }
        if part.is_empty() {
            return Ok(true);
        }
    }
}
