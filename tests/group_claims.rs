//! Enumerates the interleavings of two holders of one group with the faults of the object service.

use std::{collections::HashSet, sync::Arc};

use gentianpath::{
    claim::{Answer, Holder, Op, Phase},
    ids::Version,
    job_record::{Claim, GroupRecord, Outcome, Repeat},
};

const NODES: usize = 2;
/// Fault-free steps after which a group must be finished from any state.
const STEPS_TO_END: usize = 200;

/// How the object service is modelled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Rules {
    /// Conditions hold.
    Conditional,
    /// The naive variant: a write always takes effect.
    Blind,
}

#[derive(Debug, Clone, Copy)]
struct Bounds {
    items: usize,
    faults: u8,
    takeovers: u8,
    runs: u8,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Write {
    node: usize,
    phase: Phase,
    op: Sent,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Sent {
    base: Option<Version>,
    record: Arc<GroupRecord>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Node {
    holder: Holder,
    running: Vec<bool>,
    knows_cancel: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    rules: Rules,
    repeat: Repeat,
    object: Option<(Version, Arc<GroupRecord>)>,
    nodes: Vec<Node>,
    delayed: Vec<Write>,
    runs: Vec<u8>,
    tokens: u64,
    faults: u8,
    takeovers: u8,
    cancelled: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fate {
    Normal,
    LostAnswer,
    Dropped,
    Delayed,
    Refused,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Move {
    Call(usize, Fate),
    Land(usize),
    Claim(usize),
    Again(usize),
    Start(usize, usize),
    Finish(usize, usize),
    Break(usize, usize),
    Save(usize),
    Release(usize),
    Check(usize),
    Cancel,
    Learn(usize),
}

type Checked = Result<(), String>;

impl World {
    fn new(rules: Rules, repeat: Repeat, bounds: Bounds) -> Self {
        Self {
            rules,
            repeat,
            object: None,
            nodes: (0..NODES)
                .map(|n| Node::new(n, repeat, bounds.items))
                .collect(),
            delayed: Vec::new(),
            runs: vec![0; bounds.items],
            tokens: 1,
            faults: bounds.faults,
            takeovers: bounds.takeovers,
            cancelled: false,
        }
    }

    fn moves(&self, bounds: Bounds) -> Vec<Move> {
        let mut moves: Vec<Move> = (0..self.delayed.len()).map(Move::Land).collect();
        if !self.cancelled && self.faults > 0 {
            moves.push(Move::Cancel);
        }
        for (n, node) in self.nodes.iter().enumerate() {
            self.node_moves(n, node, bounds, &mut moves);
        }
        moves
    }

    fn node_moves(&self, n: usize, node: &Node, bounds: Bounds, moves: &mut Vec<Move>) {
        if let Some(op) = node.holder.op() {
            moves.push(Move::Call(n, Fate::Normal));
            if self.faults > 0 {
                moves.push(Move::Call(n, Fate::Refused));
                if op != Op::Read {
                    moves.extend(
                        [Fate::LostAnswer, Fate::Dropped, Fate::Delayed].map(|f| Move::Call(n, f)),
                    );
                }
            }
        }
        if self.cancelled && !node.knows_cancel {
            moves.push(Move::Learn(n));
        }
        let phase = node.holder.phase();
        match phase {
            Phase::Free if !node.knows_cancel => moves.push(Move::Claim(n)),
            Phase::Busy(_) if self.takeovers > 0 && !node.knows_cancel => {
                moves.push(Move::Claim(n))
            }
            Phase::Lost | Phase::Released if !node.knows_cancel => moves.push(Move::Again(n)),
            Phase::Busy(_) => moves.push(Move::Again(n)),
            _ => {}
        }
        for i in 0..bounds.items {
            if node.running[i] {
                moves.push(Move::Finish(n, i));
                moves.push(Move::Break(n, i));
            } else if self.runs[i] < bounds.runs {
                moves.push(Move::Start(n, i));
            }
        }
        if *phase == Phase::Held {
            moves.extend([Move::Save(n), Move::Release(n), Move::Check(n)]);
        }
    }

    fn apply(&mut self, step: Move) -> Checked {
        let token = self.token();
        match step {
            Move::Call(n, fate) => self.call(n, fate)?,
            Move::Land(i) => {
                let write = self.delayed.remove(i);
                self.land(&write)?;
            }
            Move::Claim(n) => {
                if matches!(self.nodes[n].holder.phase(), Phase::Busy(_)) {
                    self.takeovers -= 1;
                }
                let items = self.runs.len();
                self.nodes[n].holder.claim(items, token);
            }
            Move::Again(n) => self.nodes[n] = Node::new(n, self.repeat, self.runs.len()),
            Move::Start(n, i) => {
                if self.nodes[n].holder.start(i) {
                    self.nodes[n].running[i] = true;
                    self.runs[i] += 1;
                }
            }
            Move::Finish(n, i) => {
                self.nodes[n].running[i] = false;
                let text = format!("run {} of {i} at {n}", self.runs[i]).into();
                self.nodes[n].holder.finish(i, Outcome::Done { text });
            }
            Move::Break(n, i) => {
                self.nodes[n].running[i] = false;
                self.nodes[n].holder.unstart(i, true);
            }
            Move::Save(n) => self.nodes[n].holder.save(token),
            Move::Release(n) => self.nodes[n].holder.release(token),
            Move::Check(n) => self.nodes[n].holder.check(),
            Move::Cancel => {
                self.cancelled = true;
                self.faults -= 1;
            }
            Move::Learn(n) => {
                self.nodes[n].knows_cancel = true;
                self.nodes[n].holder.stop(true);
            }
        }
        self.check()
    }

    fn call(&mut self, n: usize, fate: Fate) -> Checked {
        if fate != Fate::Normal {
            self.faults -= 1;
        }
        let Some(op) = self.nodes[n].holder.op() else {
            return Ok(());
        };
        let answer = match op {
            Op::Read if fate != Fate::Normal => Answer::Unavailable,
            Op::Read => match &self.object {
                Some((version, record)) => Answer::Found(*version, record.clone()),
                None => Answer::Absent,
            },
            Op::Create(record) => self.write(n, None, record, fate)?,
            Op::Update(version, record) => self.write(n, Some(version), record, fate)?,
        };
        let token = self.token();
        self.nodes[n].holder.answer(answer, token);
        Ok(())
    }

    fn write(
        &mut self,
        node: usize,
        base: Option<Version>,
        record: Arc<GroupRecord>,
        fate: Fate,
    ) -> Result<Answer, String> {
        let phase = self.nodes[node].holder.phase().clone();
        let op = Sent { base, record };
        let write = Write { node, phase, op };
        Ok(match fate {
            Fate::Normal => self.land(&write)?,
            Fate::LostAnswer => {
                self.land(&write)?;
                Answer::Unknown
            }
            Fate::Dropped => Answer::Unknown,
            Fate::Delayed => {
                self.delayed.push(write);
                Answer::Unknown
            }
            Fate::Refused => Answer::Refused,
        })
    }

    fn land(&mut self, write: &Write) -> Result<Answer, String> {
        let current = self.object.as_ref().map(|(v, _)| *v);
        if self.rules == Rules::Conditional && current != write.op.base {
            return Ok(Answer::Conflict);
        }
        if let Some((_, old)) = &self.object {
            unchanged(old, &write.op.record)?;
            let foreign = old
                .claim
                .as_ref()
                .is_some_and(|c| c.session != write.node as u64);
            if foreign && write.phase != Phase::Claiming {
                return Err(format!("holder {} wrote without the claim", write.node));
            }
        }
        let version = current.unwrap_or(0) + 1;
        self.object = Some((version, write.op.record.clone()));
        Ok(Answer::Written(version))
    }

    fn check(&self) -> Checked {
        if self.repeat == Repeat::Never && self.runs.iter().any(|&r| r > 1) {
            return Err("a non-repeatable item ran twice".into());
        }
        for node in &self.nodes {
            if *node.holder.phase() != Phase::Finished {
                continue;
            }
            let stored = self.object.as_ref().map(|(_, r)| &r.items);
            if stored != Some(&node.holder.record().items) {
                return Err("a holder believes in results that are not stored".into());
            }
        }
        Ok(())
    }

    /// Runs without faults and checks that every item gets its outcome.
    fn finish(mut self, bounds: Bounds) -> Checked {
        self.faults = 0;
        self.takeovers = u8::MAX;
        let bounds = Bounds {
            runs: u8::MAX,
            ..bounds
        };
        for _ in 0..STEPS_TO_END {
            if self.object.as_ref().is_some_and(|(_, r)| r.finished()) || self.cancelled {
                return Ok(());
            }
            let moves = self.moves(bounds);
            let useful = |m: &&Move| match m {
                Move::Break(..) | Move::Release(_) | Move::Check(_) | Move::Cancel => false,
                Move::Save(n) => {
                    let holder = &self.nodes[*n].holder;
                    holder.record().finished()
                }
                Move::Again(n) => *self.nodes[*n].holder.phase() != Phase::Busy(claim(*n)),
                Move::Start(n, i) => self.nodes[*n].holder.clone().start(*i),
                _ => true,
            };
            let Some(step) = moves.iter().find(useful) else {
                break;
            };
            self.apply(*step)?;
        }
        Err("the group is never finished".into())
    }

    fn token(&mut self) -> u64 {
        self.tokens += 1;
        self.tokens
    }
}

impl Node {
    fn new(n: usize, repeat: Repeat, items: usize) -> Self {
        Self {
            holder: Holder::new(claim(n), repeat),
            running: vec![false; items],
            knows_cancel: false,
        }
    }
}

fn claim(n: usize) -> Claim {
    Claim {
        holder: format!("node-{n}").into(),
        session: n as u64,
    }
}

fn unchanged(old: &GroupRecord, new: &GroupRecord) -> Checked {
    let pairs = old.items.iter().zip(&new.items);
    let changed = pairs.filter(|(o, n)| o.outcome.is_some() && o.outcome != n.outcome);
    match changed.count() {
        0 if new.items.len() >= old.items.len() => Ok(()),
        _ => Err("a final result changed".into()),
    }
}

/// Visits every state within the bounds and returns their number.
fn explore(world: World, bounds: Bounds) -> Result<usize, String> {
    let mut seen = HashSet::new();
    let mut open = vec![world];
    while let Some(world) = open.pop() {
        world
            .clone()
            .finish(bounds)
            .map_err(|e| format!("{e}: {world:#?}"))?;
        for step in world.moves(bounds) {
            let mut next = world.clone();
            next.apply(step)
                .map_err(|e| format!("{e} after {step:?}: {world:#?}"))?;
            let mut key = next.clone();
            key.tokens = 0;
            if seen.insert(key) {
                open.push(next);
            }
        }
    }
    Ok(seen.len())
}

const SMALL: Bounds = Bounds {
    items: 1,
    faults: 1,
    takeovers: 1,
    runs: 2,
};

/// Guards against results that change or are lost, commits of a holder that lost its claim, and
/// groups that are never finished.
#[test]
fn repeatable_items_have_one_result_under_every_interleaving() {
    let world = World::new(Rules::Conditional, Repeat::Allowed, SMALL);
    let states = explore(world, SMALL).unwrap();
    println!("{states} states");
}

/// Guards against a second run of an item that may not be repeated.
#[test]
fn non_repeatable_items_run_at_most_once_under_every_interleaving() {
    let world = World::new(Rules::Conditional, Repeat::Never, SMALL);
    let states = explore(world, SMALL).unwrap();
    println!("{states} states");
}

/// Guards against a model that would not notice: without conditions on writes it must find a fault.
#[test]
fn writes_without_conditions_are_found_out() {
    let world = World::new(Rules::Blind, Repeat::Allowed, SMALL);
    assert!(explore(world, SMALL).is_err());
}
