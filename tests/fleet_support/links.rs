//! Links between instances and workers, which can be cut for single instances.
//!
//! Instances pass the addresses of workers on in heartbeats, so a worker has one address for all of
//! them. The gate in front of it tells by the sockets of the processes whose connection it carries.

use std::{
    collections::{HashMap, HashSet},
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex, Weak,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use rustix::net::sockopt::set_socket_linger;

use super::{
    Fleet,
    sockets::{self, Kind},
};
use crate::support::ports::listen;

/// Size of the forwarding buffer.
const BUFFER_BYTES: usize = 16 << 10;
/// Time after a cut in which instances may fail their callers.
const DETECTION_MS: u64 = 3000;
/// Time before the end of a cut in which tries are not counted, as those that hang may be served after
/// it. It is the longest deadline of callers.
const ANSWER_MS: u64 = 5000;
/// Interval at which the state of a connection that hangs is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// How the links of an instance to all workers are cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    /// Connections stay open without forwarding; new ones are accepted.
    Hang,
    /// Connections are reset, also new ones.
    Reset,
    /// Open connections go on, and new ones are reset.
    ResetNew,
}

/// Links of all instances.
#[derive(Default)]
pub struct Links {
    /// Cuts by the process of the instance.
    cuts: Mutex<HashMap<u32, Cut>>,
    open: Mutex<Vec<Weak<Pair>>>,
}

impl Fleet {
    /// Checks for each cut that instances without their links to workers served first tries at two
    /// thirds of the rate of the others at least, or that few failed.
    pub fn check_detached(&self) {
        for cut in [Cut::Hang, Cut::Reset, Cut::ResetNew] {
            let ([failed, served], [failed_elsewhere, served_elsewhere]) = self.count_tries(cut);
            let (sum, elsewhere) = (failed + served, failed_elsewhere + served_elsewhere);
            println!(
                "summary: {cut:?}: first tries served without links to workers: {served} of {sum}, \
                 elsewhere {served_elsewhere} of {elsewhere}"
            );
            let is_served = 3 * served * elsewhere >= 2 * served_elsewhere * sum;
            if !is_served && failed > 10 + sum / 50 {
                self.report(
                    "detached",
                    &format!("{cut:?}: {failed} of {sum} first tries failed"),
                );
            }
        }
    }

    /// Counts the first tries that failed and that were served, at the instances without links and at
    /// the others in the same time.
    fn count_tries(&self, kind: Cut) -> ([usize; 2], [usize; 2]) {
        let record = self.record.lock().unwrap();
        let (mut here, mut elsewhere) = ([0; 2], [0; 2]);
        for first in &record.tries {
            let mut cuts = record.detached.iter().filter(|(_, from, to, cut)| {
                *cut == kind && (from + DETECTION_MS..to - ANSWER_MS).contains(&first.sent)
            });
            if cuts.clone().any(|(n, ..)| *n == first.instance) {
                here[usize::from(first.served)] += 1;
            } else if cuts.next().is_some()
                && !record.is_disturbed(first.instance, first.sent, first.sent)
            {
                elsewhere[usize::from(first.served)] += 1;
            }
        }
        (here, elsewhere)
    }
}

/// Both connections of a link.
struct Pair {
    client: TcpStream,
    worker: TcpStream,
    /// Addresses of the instance's end and of the gate.
    ends: (SocketAddr, SocketAddr),
    /// Process for which the link hangs, or 0.
    hangs_for: AtomicU32,
    is_reset: AtomicBool,
}

impl Links {
    /// Cuts the links of a process.
    pub fn cut(&self, process: u32, cut: Cut) {
        self.cuts.lock().unwrap().insert(process, cut);
        let inodes = inodes(process).unwrap_or_default();
        let by_ends = inodes_by_ends().unwrap_or_default();
        for pair in self.open.lock().unwrap().iter().filter_map(Weak::upgrade) {
            let inode = by_ends.get(&pair.ends);
            if cut != Cut::ResetNew && inode.is_some_and(|inode| inodes.contains(inode)) {
                pair.suffer(process, cut);
            }
        }
    }

    /// Mends the links of a process.
    pub fn mend(&self, process: u32) {
        self.cuts.lock().unwrap().remove(&process);
        for pair in self.open.lock().unwrap().iter().filter_map(Weak::upgrade) {
            let _ = pair
                .hangs_for
                .compare_exchange(process, 0, Ordering::SeqCst, Ordering::SeqCst);
        }
    }

    /// Opens the link of a new connection to a worker.
    fn open(&self, client: TcpStream, worker: SocketAddr) -> io::Result<Arc<Pair>> {
        let ends = (client.peer_addr()?, client.local_addr()?);
        client.set_nodelay(true)?;
        let worker = TcpStream::connect(worker)?;
        worker.set_nodelay(true)?;
        let pair = Arc::new(Pair {
            client,
            worker,
            ends,
            hangs_for: AtomicU32::default(),
            is_reset: AtomicBool::default(),
        });
        let mut open = self.open.lock().unwrap();
        open.retain(|pair| pair.strong_count() > 0);
        open.push(Arc::downgrade(&pair));
        drop(open);
        let processes: Vec<u32> = self.cuts.lock().unwrap().keys().copied().collect();
        if !processes.is_empty()
            && let Some(inode) = sockets::inode(Kind::Stream, ends.0, Some(ends.1))?
        {
            let owner = processes
                .into_iter()
                .find(|process| inodes(*process).is_ok_and(|i| i.contains(&inode)));
            // The cut may have ended in the meantime.
            let cuts = self.cuts.lock().unwrap();
            if let Some((owner, cut)) = owner.and_then(|o| Some((o, cuts.get(&o)?))) {
                pair.suffer(owner, *cut);
            }
        }
        Ok(pair)
    }
}

impl Pair {
    fn suffer(&self, process: u32, cut: Cut) {
        match cut {
            Cut::Hang => self.hangs_for.store(process, Ordering::SeqCst),
            Cut::Reset | Cut::ResetNew => self.reset(),
        }
    }

    fn reset(&self) {
        self.is_reset.store(true, Ordering::SeqCst);
        for stream in [&self.client, &self.worker] {
            // The kernel resets the connection once both threads have dropped it.
            let _ = set_socket_linger(stream, Some(Duration::ZERO));
            let _ = stream.shutdown(Shutdown::Read);
        }
    }

    fn forward(&self, mut from: &TcpStream, mut to: &TcpStream) {
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let read = from.read(&mut buffer);
            while self.hangs_for.load(Ordering::SeqCst) > 0 {
                thread::sleep(POLL_INTERVAL);
            }
            match read {
                _ if self.is_reset.load(Ordering::SeqCst) => return,
                Ok(0) => {
                    let _ = to.shutdown(Shutdown::Write);
                    return;
                }
                Ok(count) if to.write_all(&buffer[..count]).is_ok() => {}
                _ => return self.reset(),
            }
        }
    }
}

/// Address in front of a worker that forwards connections by the state of their links.
pub struct Gate {
    pub address: SocketAddr,
    ended: Arc<AtomicBool>,
    acceptor: Option<JoinHandle<()>>,
}

impl Gate {
    pub fn start(links: Arc<Links>, worker: SocketAddr) -> Self {
        Self::serve(links, listen(), worker)
    }

    /// Starts a gate with a listener.
    pub fn serve(links: Arc<Links>, listener: TcpListener, worker: SocketAddr) -> Self {
        let address = listener.local_addr().unwrap();
        let ended = Arc::new(AtomicBool::default());
        let stop = ended.clone();
        let acceptor = thread::spawn(move || {
            for client in listener.incoming().flatten() {
                if stop.load(Ordering::SeqCst) {
                    break;
                }
                let links = links.clone();
                thread::spawn(move || {
                    let Ok(pair) = links.open(client, worker) else {
                        return;
                    };
                    let answers = pair.clone();
                    thread::spawn(move || answers.forward(&answers.worker, &answers.client));
                    pair.forward(&pair.client, &pair.worker);
                });
            }
        });
        Self {
            address,
            ended,
            acceptor: Some(acceptor),
        }
    }
}

impl Drop for Gate {
    /// Refuses connections as the kernel does after the end of the worker.
    fn drop(&mut self) {
        self.ended.store(true, Ordering::SeqCst);
        // Wakes the thread that waits for a connection.
        let _ = TcpStream::connect(self.address);
        // The thread owns the listener.
        let _ = self.acceptor.take().map(JoinHandle::join);
    }
}

/// Returns the inodes of the sockets of a process.
///
/// # Errors
///
/// Returns an error when the process has ended.
fn inodes(process: u32) -> io::Result<HashSet<String>> {
    let mut inodes = HashSet::new();
    for file in std::fs::read_dir(format!("/proc/{process}/fd"))? {
        // A file may be closed in the meantime.
        if let Ok(target) = std::fs::read_link(file?.path()) {
            let target = target.to_string_lossy();
            let inode = target.strip_prefix("socket:[");
            inodes.extend(inode.map(|inode| inode.trim_end_matches(']').to_owned()));
        }
    }
    Ok(inodes)
}

/// Returns the inodes of the TCP sockets of this machine by their local and remote addresses.
///
/// # Errors
///
/// Returns an error when the list cannot be read.
fn inodes_by_ends() -> io::Result<HashMap<(SocketAddr, SocketAddr), String>> {
    let address = |text: &str| -> Option<SocketAddr> {
        let (host, port) = text.split_once(':')?;
        let host = u32::from_str_radix(host, 16).ok()?.to_ne_bytes();
        Some((host, u16::from_str_radix(port, 16).ok()?).into())
    };
    let table = std::fs::read_to_string("/proc/net/tcp")?;
    let sockets = table.lines().filter_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let ends = (address(fields.get(1)?)?, address(fields.get(2)?)?);
        Some((ends, (*fields.get(9)?).to_owned()))
    });
    Ok(sockets.collect())
}
