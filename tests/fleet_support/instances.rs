//! Instances of a fleet, and the ways in which they fail.

use std::{
    fs::{File, OpenOptions},
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    os::fd::OwnedFd,
    path::PathBuf,
    process::{Child, Command, Stdio},
    thread,
    time::Duration,
};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::json;

use super::{
    Fleet,
    links::Cut,
    sockets::{self, Kind},
    unix_ms,
    upgrades::Build,
};
use crate::support::{
    free_address, http,
    link::{Link, State},
    until,
};

/// Loopback address that reaches a listener whose calls are intercepted.
const BEYOND: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 2);

/// What happens to an instance.
#[derive(Debug, Clone, Copy)]
pub enum Trouble {
    Kill {
        down: Duration,
        moves: bool,
    },
    /// Stopped as planned.
    Stop {
        moves: bool,
    },
    Freeze(Duration),
    /// Its links to all workers are cut.
    Detach {
        time: Duration,
        cut: Cut,
    },
    /// The store refuses it or falls silent for it.
    Cut {
        time: Duration,
        silent: bool,
    },
    /// It ends and starts again with the program of another build.
    Replace {
        build: Build,
        way: Way,
        moves: bool,
    },
}

/// How an instance ends that is replaced.
#[derive(Debug, Clone, Copy)]
pub enum Way {
    Stop,
    Kill,
    /// Stopped as planned while the store refuses it or falls silent for it.
    StopCut {
        silent: bool,
    },
    /// Killed while the store refuses it or falls silent for it.
    KillCut {
        silent: bool,
        down: Duration,
    },
}

impl Way {
    pub fn draw(rng: &mut fastrand::Rng) -> Self {
        let silent = rng.bool();
        match rng.u32(..10) {
            0..4 => Self::Stop,
            4..7 => Self::Kill,
            7 | 8 => Self::StopCut { silent },
            _ => Self::KillCut {
                silent,
                down: Duration::from_millis(rng.u64(100..1500)),
            },
        }
    }
}

pub struct Instance {
    number: usize,
    name: String,
    pub callers: SocketAddr,
    ready: SocketAddr,
    pub peers: SocketAddr,
    metrics: SocketAddr,
    log: PathBuf,
    settings: PathBuf,
    store: Link,
    process: Child,
}

impl Instance {
    pub fn spawn(fleet: &Fleet, number: usize) -> Self {
        let name = format!("{}-e{number}", fleet.run);
        let [callers, ready, mut peers, metrics] = [(); 4].map(|()| free_address());
        if fleet.options.skew.is_some_and(|s| s.away.cuts_calls()) {
            peers.set_ip(Ipv4Addr::UNSPECIFIED.into());
        }
        let store = Link::new(fleet.store.address);
        let settings = json!({
            "instance": name, "zone": fleet.zone(number), "caller_address": callers,
            "ready_address": ready, "peer_address": peers, "metrics_address": metrics,
            "store_address": store.address, "seeds": fleet.seeds(number), "grace_s": 8, "status_s": 120,
        });
        let file = fleet.logs.join(format!("{name}.json"));
        std::fs::write(&file, settings.to_string()).unwrap();
        let log = fleet.logs.join(format!("{name}.log"));
        fleet.begin_life(number, metrics);
        let process = run(fleet, number, &file, &log);
        fleet.note(&format!("instance {name} at {callers}, {peers}"));
        Self {
            number,
            name,
            callers,
            ready,
            peers,
            metrics,
            log,
            settings: file,
            store,
            process,
        }
    }

    /// Waits until it is ready. One whose port was taken in the meantime starts on other ports.
    pub fn wait_ready(&mut self, fleet: &Fleet) {
        until(&format!("{} is ready", self.name), || {
            if self.process.try_wait().unwrap().is_some() {
                fleet.note(&format!("instance {} ended by itself", self.name));
                fleet.guard.remove(self.process.id());
                *self = Self::spawn(fleet, self.number);
            }
            fleet.publish(self.number, self.callers, self.peers);
            self.is_ready()
        });
    }

    pub fn is_ready(&self) -> bool {
        let answer = http::call(self.ready, "GET", "/readyz", &[], "");
        answer.is_some_and(|a| a.status == 200)
    }

    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.process), signal).unwrap();
    }

    pub fn kill(&mut self, fleet: &Fleet) {
        fleet.guard.remove(self.process.id());
        let _ = self.process.kill();
        let _ = self.process.wait();
    }

    /// Changes the state of its link to the store.
    pub fn set_store(&self, state: State) {
        self.store.set(state);
    }

    /// Lets it receive no datagram until the returned socket is disconnected.
    ///
    /// # Errors
    ///
    /// Returns an error when the process has ended or may not be inspected.
    pub fn cut_datagrams(&self) -> io::Result<OwnedFd> {
        sockets::cut(&self.process, self.peers)
    }

    /// Lets it receive no datagram from a sender until the returned socket is closed.
    ///
    /// # Errors
    ///
    /// Returns an error when the process has ended or may not be inspected.
    pub fn block_datagrams(&self, sender: SocketAddr) -> io::Result<OwnedFd> {
        let socket = sockets::find(&self.process, Kind::Datagram, self.peers)?;
        sockets::block(socket, self.peers, sender)
    }

    /// Returns a listener that gets the calls of other instances to it, and the address at which it
    /// still accepts them.
    ///
    /// # Errors
    ///
    /// Returns an error when the process has ended or may not be inspected.
    pub fn intercept_calls(&self) -> io::Result<(TcpListener, SocketAddr)> {
        let socket = sockets::find(&self.process, Kind::Stream, self.peers)?;
        let listener = sockets::intercept(socket, self.peers)?;
        Ok((listener, (BEYOND, self.peers.port()).into()))
    }

    pub fn process_id(&self) -> u32 {
        self.process.id()
    }

    /// Stops it as planned.
    fn stop(&mut self, fleet: &Fleet) {
        self.signal(Signal::TERM);
        until("the instance ends", || {
            self.process.try_wait().unwrap().is_some()
        });
        self.kill(fleet);
    }

    /// Ends it and starts it with the program of another build.
    fn replace(&mut self, fleet: &Fleet, build: Build, way: Way, moves: bool) {
        let cut = |silent| if silent { State::Silent } else { State::Cut };
        match way {
            Way::Stop => self.stop(fleet),
            Way::Kill => self.kill(fleet),
            Way::StopCut { silent } => {
                self.store.set(cut(silent));
                self.stop(fleet);
            }
            Way::KillCut { silent, down } => {
                self.store.set(cut(silent));
                self.kill(fleet);
                thread::sleep(down);
            }
        }
        self.store.set(State::Open);
        fleet.set_build(self.number, build);
        self.start(fleet, moves);
    }

    fn start(&mut self, fleet: &Fleet, moves: bool) {
        if moves {
            *self = Self::spawn(fleet, self.number);
        } else {
            fleet.begin_life(self.number, self.metrics);
            self.process = run(fleet, self.number, &self.settings, &self.log);
        }
        fleet.publish(self.number, self.callers, self.peers);
    }

    /// Lets a trouble happen.
    pub fn suffer(&mut self, fleet: &Fleet, trouble: Trouble) {
        fleet.note(&format!("instance {}: {trouble:?}", self.name));
        let begin = unix_ms();
        fleet.disturb(self.number, begin, u64::MAX);
        match trouble {
            Trouble::Kill { down, moves } => {
                self.kill(fleet);
                thread::sleep(down);
                self.start(fleet, moves);
            }
            Trouble::Stop { moves } => {
                self.stop(fleet);
                self.start(fleet, moves);
            }
            Trouble::Freeze(time) => {
                self.signal(Signal::STOP);
                thread::sleep(time);
                self.signal(Signal::CONT);
            }
            Trouble::Detach { time, cut } => {
                let process = self.process.id();
                fleet.links.cut(process, cut);
                thread::sleep(time);
                fleet.links.mend(process);
                let span = (self.number, begin, unix_ms(), cut);
                fleet.record.lock().unwrap().detached.push(span);
            }
            Trouble::Cut { time, silent } => {
                self.store
                    .set(if silent { State::Silent } else { State::Cut });
                thread::sleep(time);
                self.store.set(State::Open);
            }
            Trouble::Replace { build, way, moves } => self.replace(fleet, build, way, moves),
        }
        if self.process.try_wait().unwrap().is_some() {
            fleet.note(&format!("instance {} ended by itself", self.name));
            self.kill(fleet);
            self.start(fleet, true);
        }
        fleet.disturb(self.number, begin, unix_ms());
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

fn run(fleet: &Fleet, number: usize, settings: &PathBuf, log: &PathBuf) -> Child {
    let log: File = OpenOptions::new()
        .create(true)
        .append(true)
        .open(log)
        .unwrap();
    let child = Command::new(fleet.program(number))
        .arg("gateway")
        .env("GENTIANPATH_SETTINGS", settings)
        .stdout(log)
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    fleet.guard.add(child.id());
    child
}
