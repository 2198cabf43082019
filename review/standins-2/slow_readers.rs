//! Clients read the results of a batch job slowly, and the platform ends processes that use more memory than
//! they may.

use std::{
    io::{Read, Write},
    net::SocketAddr,
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    base64, config,
    fleet::{Bounds, Instance, Record, until},
    http,
    json::Json,
    narrow,
    store::Store,
    worker::{Ledger, Output, Worker},
};

/// Smallest machine of the site.
const MEMORY_MB: u32 = 120;
const BOUNDS: Bounds = Bounds {
    grace_s: 8.0,
    status_s: 120.0,
    memory_mb: MEMORY_MB,
};
/// Clients that read results, in all.
const CLIENTS: usize = 600;
/// Time between two reads of a client.
const READ_EACH: Duration = Duration::from_secs(10);
/// Time for which they come.
const LENGTH: Duration = Duration::from_secs(100);
/// Bytes that a slow client reads each 100 ms.
const SLOW_BYTES: usize = 1000;
/// Delay of the start of a process that ended.
const RESTART: Duration = Duration::from_millis(500);
const JOB: &str = "7c41e09b52d6a3f8";

pub fn run(trouble: bool, folder: &Path, scratch: &Path) -> i32 {
    let record = Record::create(folder);
    let store = Store::default();
    let ledger = Ledger::default();
    let output = Output {
        events: 60,
        pause: Duration::from_millis(10),
        bytes: 15_000,
        ..Output::default()
    };
    let workers = ["w-1", "w-2"].map(|id| Worker::start(id, 4, output, &ledger));
    store.put("config", "main", &config(0));
    for (worker, zone) in workers.iter().zip(["z1", "z2"]) {
        store.put("servers", &worker.id, &worker.entry(zone));
    }
    let mut instances = [("e1", "z1"), ("e2", "z2")].map(|(n, z)| Instance::plan(n, z, scratch));
    let seeds: Vec<SocketAddr> = instances.iter().map(|i| i.peers).collect();
    let address = store.listen("all");
    for instance in &mut instances {
        instance.configure(address, &seeds, BOUNDS);
        instance.start();
    }
    if !until(Duration::from_secs(15), || {
        instances.iter().all(Instance::is_ready)
    }) {
        record.line("the instances did not become ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(3));
    let item = |n| {
        format!(
            "{{\"id\":\"{JOB}.{n}\",\"path\":\"/batch/3/{n}\",\"headers\":{{\"X-Model\":\"m\",\
             \"X-Token-Count\":\"100,4000\",\"X-Prompt-Prefix\":\"a{n}:60,b{n}:40\"}},\"body\":\"{}\",\
             \"tokens\":4100}}",
            base64(b"body")
        )
    };
    let body = format!("{{\"items\":[{},{}]}}", item(0), item(1));
    let headers = [("host", "a.example"), ("x-request-id", JOB)];
    let limit = Duration::from_secs(5);
    let path = format!("/batch/{JOB}");
    let answer = http::call(
        instances[0].callers,
        "POST",
        &path,
        &headers,
        body.as_bytes(),
        limit,
    );
    if !answer.is_ok_and(|a| a.status == 202) {
        record.line("the job was not accepted");
        return 2;
    }
    let callers: Vec<SocketAddr> = instances.iter().map(|i| i.callers).collect();
    let mut size = 0;
    let is_listed = until(Duration::from_secs(20), || {
        let path = format!("/lots/{JOB}?after=0");
        let answer = http::call(
            callers[0],
            "GET",
            &path,
            &[("host", "a.example")],
            b"",
            limit,
        );
        let Ok(answer) = answer else { return false };
        size = answer.body.len();
        Json::parse(&answer.text()).is_some_and(|a| !a.get("results").list().is_empty())
    });
    if !is_listed {
        record.line("the job was not run");
        return 2;
    }
    record.line(&format!(
        "the job has results; a read from its start gets {size} bytes"
    ));
    for instance in &instances {
        record.line(&format!(
            "{} uses {} KiB",
            instance.name,
            instance.memory_kib()
        ));
    }

    let over = Arc::new(AtomicBool::new(false));
    let reads = Arc::new([(); 3].map(|()| AtomicUsize::new(0)));
    let up = Arc::new(Mutex::new(vec![true; instances.len()]));
    for client in 0..CLIENTS {
        let (callers, over, reads, up) = (callers.clone(), over.clone(), reads.clone(), up.clone());
        let first = READ_EACH.mul_f64(client as f64 / CLIENTS as f64);
        let _ = thread::Builder::new().stack_size(128 << 10).spawn(move || {
            thread::sleep(first);
            let mut node = client;
            while !over.load(Ordering::Relaxed) {
                let began = Instant::now();
                node += 1;
                let is_up = up.lock().unwrap()[node % callers.len()];
                if is_up {
                    let end = read(callers[node % callers.len()], trouble, &over);
                    reads[end].fetch_add(1, Ordering::Relaxed);
                }
                let pause = if is_up {
                    READ_EACH
                } else {
                    Duration::from_millis(500)
                };
                thread::sleep(
                    pause
                        .saturating_sub(began.elapsed())
                        .max(Duration::from_millis(200)),
                );
            }
        });
    }
    record.line(&format!(
        "{CLIENTS} clients read the results, each once in {} s, {}",
        READ_EACH.as_secs(),
        if trouble {
            "slowly, 10 KB a second"
        } else {
            "as fast as they come"
        }
    ));

    let began = Instant::now();
    let mut ends = vec![0; instances.len()];
    let mut most = vec![0; instances.len()];
    let mut down: Vec<Option<Instant>> = vec![None; instances.len()];
    while began.elapsed() < LENGTH {
        thread::sleep(Duration::from_millis(20));
        for (i, instance) in instances.iter_mut().enumerate() {
            if let Some(since) = down[i] {
                if since.elapsed() >= RESTART {
                    instance.start();
                    down[i] = None;
                    record.line(&format!("{} is started again", instance.name));
                }
                continue;
            }
            let used = instance.memory_kib();
            most[i] = most[i].max(used);
            let has_ended = instance.has_ended();
            let is_over = used > u64::from(MEMORY_MB) << 10;
            if is_over || has_ended {
                instance.kill();
                ends[i] += 1;
                down[i] = Some(Instant::now());
                up.lock().unwrap()[i] = false;
                record.line(&format!(
                    "{} uses {used} KiB, more than {MEMORY_MB} MB, and is killed (end {}; ended by itself: {has_ended})",
                    instance.name, ends[i]
                ));
            } else if !up.lock().unwrap()[i] && instance.is_ready() {
                up.lock().unwrap()[i] = true;
            }
        }
    }
    over.store(true, Ordering::Relaxed);
    let counts = [0, 1, 2].map(|i| reads[i].load(Ordering::Relaxed));
    record.line(&format!(
        "reads with a whole answer {}, refused {}, cut or without an answer {}",
        counts[0], counts[1], counts[2]
    ));
    for (i, instance) in instances.iter().enumerate() {
        record.line(&format!(
            "{}: ends {}, most memory {} KiB",
            instance.name, ends[i], most[i]
        ));
    }
    let broken = ends.iter().filter(|e| **e >= 3).count() >= 2;
    println!("ends for memory: {ends:?}; most memory in KiB: {most:?}");
    i32::from(broken)
}

/// Reads the results of the job. Returns 0 for a whole answer, 1 for a refusal and 2 for another end.
fn read(address: SocketAddr, slow: bool, over: &AtomicBool) -> usize {
    let exchange = || -> std::io::Result<usize> {
        let mut stream = narrow::open(address)?;
        stream.set_read_timeout(Some(Duration::from_secs(5)))?;
        let request = format!(
            "GET /lots/{JOB}?after=0 HTTP/1.1\r\nhost: a.example\r\nconnection: close\r\n\r\n"
        );
        stream.write_all(request.as_bytes())?;
        let mut buffer = vec![0; if slow { SLOW_BYTES } else { 64 << 10 }];
        let mut head = Vec::new();
        let mut left = None;
        loop {
            let count = stream.read(&mut buffer)?;
            if count == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
            match &mut left {
                None => {
                    head.extend_from_slice(&buffer[..count]);
                    let text = String::from_utf8_lossy(&head).to_ascii_lowercase();
                    let Some(end) = text.find("\r\n\r\n") else {
                        continue;
                    };
                    if !text.starts_with("http/1.1 200") {
                        return Ok(1);
                    }
                    let length = text.split("content-length: ").nth(1);
                    let length = length.and_then(|l| l.split("\r\n").next()?.parse::<usize>().ok());
                    let length = length.ok_or(std::io::ErrorKind::InvalidData)?;
                    left = Some((length + end + 4).saturating_sub(head.len()));
                }
                Some(left) => *left = left.saturating_sub(count),
            }
            if left == Some(0) {
                return Ok(0);
            }
            if over.load(Ordering::Relaxed) {
                return Ok(2);
            }
            if slow {
                thread::sleep(Duration::from_millis(100));
            }
        }
    };
    exchange().unwrap_or(2)
}
