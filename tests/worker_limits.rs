//! Limits of workers: what all instances together send to a worker that names one.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use gentianpath::{
    gateway::{
        fleet::{Class, Worker},
        peers::LIVENESS_TIMEOUT,
        worker_limits::{Announced, Change, Notice, Observation, Reply, WorkerLimits},
    },
    ids::WorkerId,
    ownership,
};

const STEP: Duration = Duration::from_millis(10);
/// Time in which the platform counts the requests that reach a worker.
const WINDOW: Duration = Duration::from_secs(4);
/// Time after its start in which an instance leads no worker.
const DISCOVERY: Duration = Duration::from_millis(1300);
/// Time from a request to the head of its answer.
const ANSWER: Duration = Duration::from_millis(40);
/// Time that a request waits for a permit.
const PATIENCE: Duration = Duration::from_millis(60);

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

fn worker(started: u64) -> Worker {
    Worker {
        id: "w".into(),
        service: "lm".into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "a".into(),
        version: "v1".into(),
        slots: 8,
        ready: true,
        started: Some(started),
        until: None,
    }
}

fn seen(announced: Announced, sent: u64, received: u64) -> Observation {
    Observation {
        announced,
        sent: ms(sent),
        received: ms(received),
    }
}

/// A message on its way, or an answer of the worker.
enum Message {
    Notice(Notice),
    Ask {
        from: usize,
        notice: Notice,
    },
    Answer(Reply),
    Head {
        announced: Announced,
        sent: Duration,
    },
}

struct Node {
    limits: WorkerLimits,
    up: bool,
    since: Duration,
    /// Requests that wait for a permit, by the time until which they do.
    waiting: Vec<Duration>,
}

/// What happens in a simulation, by time in ms.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// The worker names a rate.
    Name(f64),
    /// The worker names none any more.
    End,
    /// Instances join.
    Join(usize),
    /// The instance that leads the worker, and some others, are killed and start again.
    Restart,
    /// A part of the instances is cut off from the others, and not from the worker.
    Cut(f64),
    /// The cut ends.
    Heal,
    /// The traffic becomes so many requests a second.
    Traffic(f64),
}

struct Fleet {
    nodes: Vec<Node>,
    names: Vec<Arc<str>>,
    rng: fastrand::Rng,
    now: Duration,
    rate: Option<f64>,
    traffic: f64,
    queue: BTreeMap<(Duration, u64), (usize, Message)>,
    count: u64,
    /// First instance that is cut off.
    cut: Option<usize>,
    /// Times at which instances fell silent to others, or were heard again.
    changed: Duration,
    sent: Vec<Duration>,
}

impl Fleet {
    fn new(count: usize, seed: u64) -> Self {
        let mut fleet = Self {
            nodes: Vec::new(),
            names: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
            now: Duration::ZERO,
            rate: None,
            traffic: 40.0,
            queue: BTreeMap::new(),
            count: 0,
            cut: None,
            changed: Duration::ZERO,
            sent: Vec::new(),
        };
        fleet.join(count, Duration::ZERO);
        fleet
    }

    fn join(&mut self, count: usize, since: Duration) {
        for _ in 0..count {
            self.names
                .push(format!("entry-{}", self.names.len()).into());
            self.nodes.push(Node {
                limits: WorkerLimits::default(),
                up: true,
                since,
                waiting: Vec::new(),
            });
        }
    }

    fn reaches(&self, a: usize, b: usize) -> bool {
        let same_side = self.cut.is_none_or(|cut| (a < cut) == (b < cut));
        same_side && self.nodes[a].up && self.nodes[b].up
    }

    fn post(&mut self, to: usize, message: Message, delay: Duration) {
        self.count += 1;
        self.queue
            .insert((self.now + delay, self.count), (to, message));
    }

    fn post_to_all(&mut self, from: usize, notice: &Notice) {
        for to in 0..self.nodes.len() {
            if to != from && self.reaches(from, to) && self.rng.f64() > 0.1 {
                let delay = ms(self.rng.u64(1..400));
                self.post(to, Message::Notice(notice.clone()), delay);
            }
        }
    }

    /// Returns the instance that leads the worker as an instance sees it, and the part of the known
    /// instances that it sees. A silent instance counts as live until its heartbeats time out.
    fn view(&self, node: usize) -> (usize, f64) {
        let is_new = self.now < self.changed + LIVENESS_TIMEOUT;
        let counts = |other: &usize| other == &node || is_new || self.reaches(node, *other);
        let live: Vec<usize> = (0..self.nodes.len()).filter(counts).collect();
        let leader = live
            .iter()
            .max_by_key(|n| ownership::score("w", &self.names[**n]));
        (
            *leader.unwrap(),
            live.len() as f64 / self.nodes.len() as f64,
        )
    }

    fn update_shares(&mut self) {
        // All instances of a side have the same view.
        let sides = [0, self.cut.unwrap_or(0)];
        let views = sides.map(|node| self.view(node));
        for node in 0..self.nodes.len() {
            let (leader, share) = views[usize::from(self.cut.is_some_and(|c| node >= c))];
            let discovered = self.now >= self.nodes[node].since + DISCOVERY;
            let share = if leader == node && discovered {
                share
            } else {
                0.0
            };
            let now = self.now;
            self.nodes[node].limits.set_share(&"w".into(), share, now);
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Name(rate) => self.rate = Some(rate),
            Step::End => self.rate = None,
            Step::Traffic(traffic) => self.traffic = traffic,
            Step::Join(count) => self.join(count, self.now),
            Step::Cut(part) => {
                self.cut = Some((self.nodes.len() as f64 * part) as usize);
                self.changed = self.now;
            }
            Step::Heal => {
                self.cut = None;
                self.changed = Duration::ZERO;
            }
            Step::Restart => {
                let (leader, _) = self.view(0);
                let others = (0..self.nodes.len()).filter(|n| n % 10 == 3);
                for node in others.chain([leader]).collect::<Vec<_>>() {
                    self.nodes[node].limits = WorkerLimits::default();
                    self.nodes[node].since = self.now;
                    self.nodes[node].waiting.clear();
                }
            }
        }
    }

    fn send(&mut self, node: usize) {
        let now = self.now;
        self.nodes[node].limits.record_sent(&worker(1), now);
        self.sent.push(now);
        let announced = self.rate.map_or(Announced::Unlimited, Announced::Rate);
        let sent = now;
        self.post(node, Message::Head { announced, sent }, ANSWER);
    }

    /// Sends or asks for what waits at an instance.
    fn serve(&mut self, node: usize) {
        let now = self.now;
        self.nodes[node].waiting.retain(|until| now < *until);
        while !self.nodes[node].waiting.is_empty() {
            let limits = &self.nodes[node].limits;
            if limits.may_send(&worker(1), Class::Online, now) {
                self.nodes[node].waiting.pop();
                self.send(node);
                continue;
            }
            if limits.may_ask(&worker(1), now) {
                let (leader, _) = self.view(node);
                let notice = self.nodes[node].limits.ask(&"w".into(), now).unwrap();
                let delay = ms(self.rng.u64(1..15));
                if self.reaches(node, leader) {
                    self.post(leader, Message::Ask { from: node, notice }, delay);
                }
            }
            return;
        }
    }

    fn receive(&mut self, node: usize, message: Message) {
        let now = self.now;
        let limits = &mut self.nodes[node].limits;
        match message {
            Message::Notice(notice) => {
                limits.hear(&notice, now);
            }
            Message::Ask { from, notice } => {
                limits.hear(&notice, now);
                let reply = limits.grant(&"w".into(), Class::Online, now);
                let delay = ms(self.rng.u64(1..15));
                self.post(from, Message::Answer(reply), delay);
            }
            Message::Answer(reply) => limits.accept(&"w".into(), reply, now),
            Message::Head { announced, sent } => {
                let observation = Observation {
                    announced,
                    sent,
                    received: now,
                };
                let change = limits.observe(&worker(1), observation);
                let notice = limits.notice(&"w".into(), now);
                match (change, notice) {
                    (Some(Change::Changed), Some(notice)) => {
                        let (leader, _) = self.view(node);
                        if self.reaches(node, leader) {
                            self.post(leader, Message::Notice(notice), ms(40));
                        }
                    }
                    (Some(_), Some(notice)) => self.post_to_all(node, &notice),
                    _ => {}
                }
            }
        }
        self.serve(node);
    }

    fn run(&mut self, steps: &[(u64, Step)], end: u64) {
        let mut steps = steps.iter().peekable();
        while self.now < ms(end) {
            self.now += STEP;
            while let Some((_, step)) = steps.next_if(|(at, _)| ms(*at) <= self.now) {
                self.apply(*step);
            }
            self.update_shares();
            while let Some(entry) = self.queue.first_entry().filter(|e| e.key().0 <= self.now) {
                let (node, message) = entry.remove();
                self.receive(node, message);
            }
            let requests = self.traffic * STEP.as_secs_f64();
            let more = usize::from(self.rng.f64() < requests.fract());
            for _ in 0..requests as usize + more {
                let node = self.rng.usize(0..self.nodes.len());
                let until = self.now + PATIENCE;
                self.nodes[node].waiting.push(until);
                self.serve(node);
            }
            self.expire_and_repeat();
        }
    }

    /// Tells others of the limits once a second, as instances do.
    fn expire_and_repeat(&mut self) {
        let now = self.now;
        if !now.as_millis().is_multiple_of(1000) {
            return;
        }
        for node in 0..self.nodes.len() {
            self.nodes[node].limits.expire(|_| None, now);
            for notice in self.nodes[node].limits.notices(now) {
                for _ in 0..2 {
                    let to = self.rng.usize(0..self.nodes.len());
                    if self.reaches(node, to) {
                        self.post(to, Message::Notice(notice.clone()), ms(5));
                    }
                }
            }
        }
    }

    /// Returns the most requests in one window between two times.
    fn most(&self, from: u64, to: u64) -> usize {
        let in_time = self.sent.iter().filter(|t| **t >= ms(from) && **t < ms(to));
        let times: Vec<Duration> = in_time.copied().collect();
        let count = |start: &Duration| {
            let in_window = |t: &&Duration| **t >= *start && **t < *start + WINDOW;
            times.iter().filter(in_window).count()
        };
        times.iter().map(count).max().unwrap_or_default()
    }

    fn sent(&self, from: u64, to: u64) -> usize {
        self.sent
            .iter()
            .filter(|t| **t >= ms(from) && **t < ms(to))
            .count()
    }
}

/// Returns the requests that the platform allows in a window at a rate.
fn allowed(rate: f64) -> usize {
    (rate * 1.5 * WINDOW.as_secs_f64()) as usize + 5
}

/// Sizes of deployments, with seeds.
fn sizes() -> impl Iterator<Item = (usize, u64)> {
    let small = (1..=6).map(|seed| (20, seed));
    small.chain([(130, 7), (300, 8), (1000, 9)])
}

#[test]
fn the_sum_over_all_instances_keeps_to_a_limit() {
    for (count, seed) in sizes() {
        for rate in [0.2, 3.0, 20.0] {
            let mut fleet = Fleet::new(count, seed);
            fleet.run(&[(3000, Step::Name(rate))], 20000);
            let most = fleet.most(3500, 20000);
            assert!(most <= allowed(rate), "{count} instances, {rate}/s: {most}");
            let sent = fleet.sent(8000, 20000) as f64;
            let least = 0.8 * 12.0 * rate.min(40.0);
            assert!(sent >= least.floor(), "{count} instances, {rate}/s: {sent}");
        }
    }
}

#[test]
fn bursts_do_not_break_a_limit() {
    for (count, seed) in sizes() {
        let steps = [
            (3000, Step::Name(3.0)),
            (6000, Step::Traffic(800.0)),
            (7000, Step::Traffic(1.0)),
            (10000, Step::Traffic(800.0)),
            (10200, Step::Traffic(2.0)),
            (12000, Step::Traffic(400.0)),
        ];
        let mut fleet = Fleet::new(count, seed);
        fleet.run(&steps, 16000);
        let most = fleet.most(3500, 16000);
        assert!(most <= allowed(3.0), "{count} instances: {most}");
    }
}

#[test]
fn joins_and_restarts_do_not_break_a_limit() {
    for (count, seed) in sizes() {
        let steps = [
            (3000, Step::Name(3.0)),
            (6000, Step::Join(count / 2)),
            (9000, Step::Restart),
            (9500, Step::Restart),
            (12000, Step::Join(1)),
            (14000, Step::Restart),
        ];
        let mut fleet = Fleet::new(count, seed);
        fleet.run(&steps, 20000);
        let most = fleet.most(3500, 20000);
        assert!(most <= allowed(3.0), "{count} instances: {most}");
    }
}

#[test]
fn cuts_between_instances_do_not_break_a_limit() {
    for (count, seed) in sizes() {
        for part in [0.1, 0.5] {
            let steps = [
                (3000, Step::Name(3.0)),
                (6000, Step::Cut(part)),
                (12000, Step::Heal),
                (13000, Step::Cut(1.0 - part)),
            ];
            let mut fleet = Fleet::new(count, seed);
            fleet.run(&steps, 20000);
            let most = fleet.most(3500, 20000);
            assert!(most <= allowed(3.0), "{count} instances, {part}: {most}");
        }
    }
}

#[test]
fn a_limit_that_changes_or_ends_holds_for_as_long_as_it_is_named() {
    for (count, seed) in sizes() {
        let steps = [
            (3000, Step::Name(10.0)),
            (10000, Step::Name(2.0)),
            (18000, Step::End),
        ];
        let mut fleet = Fleet::new(count, seed);
        fleet.run(&steps, 24000);
        assert!(fleet.most(3500, 10000) <= allowed(10.0));
        assert!(
            fleet.most(10500, 18000) <= allowed(2.0),
            "{count} instances"
        );
        let sent = fleet.sent(21000, 24000);
        assert!(
            sent >= 100,
            "{count} instances: {sent} of 120 after the end"
        );
    }
}

#[test]
fn nothing_reaches_a_worker_that_takes_nothing_but_trials() {
    let mut fleet = Fleet::new(20, 1);
    fleet.run(&[(3000, Step::Name(0.0)), (20000, Step::End)], 30000);
    assert!((1..=5).contains(&fleet.most(3500, 20000)));
    assert!(fleet.sent(27000, 30000) >= 100, "the end is noticed");
}

#[test]
fn an_answer_that_is_read_late_changes_nothing() {
    let mut limits = WorkerLimits::default();
    let rate = |rate, sent, received| seen(Announced::Rate(rate), sent, received);
    assert_eq!(
        limits.observe(&worker(1), rate(2.0, 10, 100)),
        Some(Change::Named(2.0))
    );
    // Its request was sent before the limit was known.
    assert_eq!(
        limits.observe(&worker(1), seen(Announced::Unlimited, 50, 150)),
        None
    );
    assert_eq!(limits.observe(&worker(1), rate(9.0, 60, 160)), None);
    assert_eq!(
        limits.observe(&worker(1), rate(1.0, 60, 170)),
        Some(Change::Changed)
    );
    assert_eq!(
        limits.observe(&worker(1), rate(9.0, 180, 200)),
        Some(Change::Changed)
    );
    assert_eq!(
        limits.observe(&worker(1), seen(Announced::Unknown, 300, 310)),
        None
    );
    assert!(limits.is_limited(&worker(1)));
    let ended = limits.observe(&worker(1), seen(Announced::Unlimited, 300, 310));
    assert_eq!(ended, Some(Change::Ended));
    assert!(!limits.is_limited(&worker(1)));
}

#[test]
fn a_limit_holds_for_one_run_of_a_worker() {
    let mut limits = WorkerLimits::default();
    limits.observe(&worker(2), seen(Announced::Rate(1.0), 0, 10));
    assert!(limits.is_limited(&worker(2)));
    assert!(
        limits.is_limited(&worker(1)),
        "an entry of an earlier start is an old one"
    );
    assert!(!limits.is_limited(&worker(3)));
    assert_eq!(
        limits.observe(&worker(1), seen(Announced::Rate(5.0), 20, 30)),
        None
    );
    let restarted = worker(3);
    limits.expire(|_| Some(&restarted), ms(40));
    assert!(!limits.is_limited(&worker(2)));
}

#[test]
fn news_of_other_instances_counts_by_its_age() {
    let mut limits = WorkerLimits::default();
    let id: WorkerId = "w".into();
    let notice = |rate, age| Notice {
        worker: id.clone(),
        started: Some(1),
        rate,
        age: ms(age),
    };
    assert_eq!(limits.hear(&notice(None, 5), ms(100)), None);
    assert_eq!(limits.hear(&notice(Some(f64::NAN), 5), ms(100)), None);
    assert_eq!(
        limits.hear(&notice(Some(2.0), 5), ms(100)),
        Some(Change::Named(2.0))
    );
    assert_eq!(
        limits.hear(&notice(None, 300), ms(200)),
        None,
        "older than the limit"
    );
    assert_eq!(limits.hear(&notice(None, 50), ms(200)), Some(Change::Ended));
    assert_eq!(
        limits.hear(&notice(Some(2.0), 200), ms(250)),
        None,
        "older than the end"
    );
}

#[test]
fn a_permit_is_used_once_and_soon() {
    let mut limits = WorkerLimits::default();
    let id: WorkerId = "w".into();
    limits.observe(&worker(1), seen(Announced::Rate(1.0), 0, 10));
    limits.set_share(&id, 0.0, ms(10));
    assert!(!limits.may_send(&worker(1), Class::Online, ms(20)));
    limits.accept(&id, Reply::Granted, ms(20));
    assert!(
        !limits.may_send(&worker(1), Class::Online, ms(20)),
        "it was not asked for"
    );
    limits.ask(&id, ms(30)).unwrap();
    assert!(!limits.may_ask(&worker(1), ms(40)));
    limits.accept(&id, Reply::Granted, ms(40));
    assert!(limits.may_send(&worker(1), Class::Online, ms(50)));
    assert!(!limits.may_send(&worker(1), Class::Online, ms(600)));
    limits.record_sent(&worker(1), ms(60));
    assert!(!limits.may_send(&worker(1), Class::Online, ms(60)));
    limits.ask(&id, ms(700)).unwrap();
    limits.accept(&id, Reply::Denied(ms(300)), ms(710));
    assert!(!limits.may_ask(&worker(1), ms(900)));
    assert!(limits.may_ask(&worker(1), ms(1010)));
}

#[test]
fn items_leave_the_last_permits_to_online_requests() {
    let mut limits = WorkerLimits::default();
    let id: WorkerId = "w".into();
    limits.observe(&worker(1), seen(Announced::Rate(2.0), 0, 0));
    limits.set_share(&id, 1.0, ms(0));
    assert!(!limits.is_scarce(&worker(1), ms(0)));
    while limits.may_send(&worker(1), Class::Batch, ms(0)) {
        limits.record_sent(&worker(1), ms(0));
    }
    assert!(limits.is_scarce(&worker(1), ms(0)));
    assert!(limits.may_send(&worker(1), Class::Online, ms(0)));
    assert!(!limits.may_send(&worker(1), Class::Batch, ms(200)));
    assert!(limits.may_send(&worker(1), Class::Batch, ms(1000)));
    assert!(!limits.is_scarce(&worker(1), ms(3000)));
}
