//! Workers of a fleet, and the ways in which they end.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    thread,
    time::Duration,
};

use serde_json::{Value, json};

use super::{
    EVENTS, Fleet,
    links::Gate,
    only::{self, Only},
    unix_ms,
};
use crate::{gateway_support::relay::Relay, support::Standin};

/// Address of a worker that listens on a free port.
const ANY_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// Slots of a worker.
const SLOTS: usize = 8;
/// Time for which the entry of a worker that crashed stays, which is three heartbeats.
const LAPSE: Duration = Duration::from_millis(3600);
/// Time that workers serve on after the store has their notice.
pub const DRAIN: Duration = Duration::from_millis(2000);

/// What happens to a worker.
#[derive(Debug, Clone, Copy)]
pub enum Trouble {
    /// Killed; another one starts under a new id.
    Kill,
    /// Ends between two events in the way of its options.
    End,
    /// Says that it drains, and ends later.
    Drain,
    /// Its entry is removed, and it ends later.
    Withdraw,
    Freeze(Duration),
    /// Stands still for less time than a worker may be silent.
    Silence(Duration),
    /// Killed and started again under the same id; its start goes back as after a step of its clock.
    Restart {
        back: bool,
    },
    /// Restarted several times in a row.
    Flap,
    /// Replaced by this version while it drains.
    Release(u64),
    /// Its entry is away for this time, as after an outage of the store.
    Lapse(Duration),
}

pub struct Worker {
    pub id: String,
    born: u64,
    number: usize,
    version: u64,
    service: &'static str,
    zone: String,
    standin: Standin,
    relay: Option<Relay>,
    /// Address that its entry names where links are cut.
    gate: Option<Gate>,
}

impl Worker {
    /// Starts a worker that no list names.
    pub fn spawn(
        fleet: &Fleet,
        number: usize,
        id: String,
        version: u64,
        rng: &mut fastrand::Rng,
    ) -> Self {
        Self::spawn_at(fleet, number, id, version, ANY_ADDRESS, rng)
    }

    /// Starts a worker that no list names and that listens on an address.
    pub fn spawn_at(
        fleet: &Fleet,
        number: usize,
        id: String,
        version: u64,
        address: SocketAddr,
        rng: &mut fastrand::Rng,
    ) -> Self {
        Self::spawn_born(fleet, number, id, version, (unix_ms(), address), rng)
    }

    fn spawn_born(
        fleet: &Fleet,
        number: usize,
        id: String,
        version: u64,
        (born, listen): (u64, SocketAddr),
        rng: &mut fastrand::Rng,
    ) -> Self {
        let service = fleet.service(number);
        let text = format!("{}.v{version}.{service}.", fleet.run);
        let drain = DRAIN.as_millis() as u64 + rng.u64(100..2000);
        let ending = ["exit", "close-running", "close-all", "close-and-refuse"];
        let ending = ending[rng.usize(..ending.len())];
        let (born_text, drain) = (born.to_string(), drain.to_string());
        let linger = rng.u64(20..1500).to_string();
        let piece = if rng.u32(..4) == 0 { rng.u32(1..10) } else { 0 }.to_string();
        let only = fleet.options.only;
        let breaks = if only == Some(Only::Breaks) {
            only::SPOIL_EVERY
        } else if fleet.options.breaks && rng.u32(..4) == 0 {
            "9"
        } else {
            "0"
        };
        let fault = only.map(|only| only.worker_options(rng));
        let events = EVENTS.to_string();
        let listen = listen.to_string();
        let (slots, pause) = (SLOTS.to_string(), fleet.options.pause_ms.to_string());
        let options = [
            ["--id", &id],
            ["--address", &listen],
            ["--born", &born_text],
            ["--events", &events],
            ["--slots", &slots],
            ["--pause-ms", &pause],
            ["--framing", &fleet.options.framing],
            ["--text", &text],
            ["--ledger", fleet.ledger.to_str().unwrap()],
            ["--drain-ms", &drain],
            ["--ending", ending],
            ["--linger-ms", &linger],
            ["--piece", &piece],
            ["--break-every", breaks],
        ];
        let mut options = options.as_flattened().to_vec();
        options.extend(["--name-path", "--name-run"]);
        options.extend(fault.unwrap_or_default());
        let standin = Standin::start("standin-worker", &options);
        fleet.guard.add(standin.process.id());
        fleet.note(&format!("worker {id}@{born} v{version} {service} at {}: ending {ending}, lingers {linger} ms, piece {piece}", standin.address));
        // Relays add late connections and cuts in the middle of answers.
        let relays = number % 3 == 1 && only.is_none();
        let relay = relays.then(|| Relay::start(standin.address, rng.u64(..), 2000));
        let address = relay.as_ref().map_or(standin.address, |r| r.address);
        let gate = fleet.options.cuts;
        let gate = gate.then(|| Gate::start(fleet.links.clone(), address));
        Self {
            id,
            born,
            number,
            version,
            service,
            zone: fleet.zone(number),
            standin,
            relay,
            gate,
        }
    }

    fn address(&self) -> SocketAddr {
        let relay = self.relay.as_ref().map(|r| r.address);
        let gate = self.gate.as_ref().map(|g| g.address);
        gate.or(relay).unwrap_or(self.standin.address)
    }

    fn entry(&self, state: &str) -> Value {
        json!({
            "service": self.service, "addr": self.address(), "zone": self.zone,
            "version": format!("v{}", self.version), "slots": SLOTS, "state": state,
            "cold_left_ms": 0, "seq": 1, "born": self.born,
        })
    }

    pub fn list(&self, fleet: &Fleet, state: &str) {
        fleet.store.put("servers", &self.id, self.entry(state));
        if state == "draining" {
            fleet.leave(&self.id, self.born);
        }
    }

    pub fn remove(&self, fleet: &Fleet) {
        fleet.store.remove("servers", &self.id);
    }

    pub fn heal(&self) {
        if let Some(relay) = &self.relay {
            relay.heal();
        }
    }

    pub fn kill(&mut self, fleet: &Fleet) {
        fleet.guard.remove(self.standin.process.id());
        self.standin.process.kill();
        self.gate = None;
    }

    /// Waits for the end of the process.
    fn wait_end(&mut self, fleet: &Fleet) {
        fleet.guard.remove(self.standin.process.id());
        self.standin.process.exit_code();
        self.gate = None;
    }

    /// Starts a worker with another id in the same place.
    fn successor(&self, fleet: &Fleet, version: u64, rng: &mut fastrand::Rng) -> Self {
        let id = fleet.worker_id(self.number);
        Self::spawn(fleet, self.number, id, version, rng)
    }

    fn restart(&mut self, fleet: &Fleet, back: bool, rng: &mut fastrand::Rng) {
        let born = if back {
            self.born - 3_600_000
        } else {
            unix_ms()
        };
        let id = self.id.clone();
        let start = (born, ANY_ADDRESS);
        *self = Self::spawn_born(fleet, self.number, id, self.version, start, rng);
        self.list(fleet, "ready");
    }

    /// Starts a worker of another version at the address of this one, which has ended.
    pub fn replacement(
        &self,
        fleet: &Fleet,
        id: String,
        version: u64,
        rng: &mut fastrand::Rng,
    ) -> Self {
        Self::spawn_at(fleet, self.number, id, version, self.standin.address, rng)
    }

    /// Lets a trouble happen, and returns the worker that is there afterwards.
    pub fn suffer(mut self, fleet: &Fleet, trouble: Trouble, rng: &mut fastrand::Rng) -> Self {
        fleet.note(&format!("worker {}@{}: {trouble:?}", self.id, self.born));
        match trouble {
            Trouble::Kill | Trouble::End => {
                if matches!(trouble, Trouble::Kill) {
                    self.kill(fleet);
                } else {
                    self.standin.process.end_worker();
                    self.wait_end(fleet);
                }
                let next = self.successor(fleet, self.version, rng);
                next.list(fleet, "ready");
                thread::sleep(LAPSE.mul_f64(rng.f64()));
                self.remove(fleet);
                next
            }
            Trouble::Drain | Trouble::Withdraw | Trouble::Release(_) => {
                let version = match trouble {
                    Trouble::Release(version) => version,
                    _ => self.version,
                };
                let next = self.successor(fleet, version, rng);
                if matches!(trouble, Trouble::Withdraw) {
                    self.remove(fleet);
                    fleet.leave(&self.id, self.born);
                } else {
                    self.list(fleet, "draining");
                }
                next.list(fleet, "ready");
                self.standin.process.terminate();
                self.wait_end(fleet);
                self.remove(fleet);
                next
            }
            Trouble::Freeze(time) | Trouble::Silence(time) => {
                let begin = unix_ms();
                self.standin.process.pause();
                thread::sleep(time);
                self.standin.process.resume();
                // Relays break answers off.
                if matches!(trouble, Trouble::Silence(_)) && self.relay.is_none() {
                    let seal = format!("{}.{}", self.id, self.born);
                    let span = (seal, begin, unix_ms());
                    fleet.record.lock().unwrap().silences.push(span);
                }
                self
            }
            Trouble::Restart { back } => {
                self.kill(fleet);
                self.restart(fleet, back, rng);
                self
            }
            Trouble::Flap => {
                for _ in 0..rng.u32(2..5) {
                    thread::sleep(Duration::from_millis(rng.u64(50..900)));
                    self.kill(fleet);
                    self.restart(fleet, false, rng);
                }
                self
            }
            Trouble::Lapse(time) => {
                self.remove(fleet);
                thread::sleep(time);
                self.list(fleet, "ready");
                self
            }
        }
    }
}
