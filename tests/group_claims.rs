//! Model check of group claims: enumerates the interleavings of two holders of one group with
//! faults of the object service.

use std::{
    collections::HashSet,
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
};

use gentianpath::{
    claim::{Answer, Holder, Op, Phase},
    ids::Version,
    job_record::{Claim, GroupRecord, Outcome, Repeat},
};

const NODES: usize = 2;
/// Fault-free steps after which a group must be finished from any state.
const STEPS_TO_END: usize = 200;

/// Model of the object service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Rules {
    /// Writes are conditional on the version.
    Conditional,
    /// Conditions are ignored: each write takes effect.
    Blind,
}

#[derive(Debug, Clone, Copy)]
struct Bounds {
    items: usize,
    faults: u8,
    takeovers: u8,
    runs: u8,
    /// Number of restarts, checks and releases of claims.
    resets: u8,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Write {
    node: usize,
    phase: Phase,
    op: SentWrite,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct SentWrite {
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
    resets: u8,
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
    Restart(usize),
    Start(usize, usize),
    Finish(usize, usize),
    Abort(usize, usize),
    Save(usize),
    Release(usize),
    Check(usize),
    Cancel,
    ObserveCancel(usize),
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
            resets: bounds.resets,
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
        let held = *node.holder.phase() == Phase::Held && !node.holder.record().finished();
        if self.cancelled && (!node.knows_cancel || held) {
            moves.push(Move::ObserveCancel(n));
        }
        let phase = node.holder.phase();
        match phase {
            Phase::Free if !node.knows_cancel => moves.push(Move::Claim(n)),
            Phase::Busy(_) if self.takeovers > 0 && !node.knows_cancel => {
                moves.push(Move::Claim(n))
            }
            Phase::Lost | Phase::Released if !node.knows_cancel && self.resets > 0 => {
                moves.push(Move::Restart(n));
            }
            Phase::Busy(_) if self.resets > 0 => moves.push(Move::Restart(n)),
            _ => {}
        }
        for i in 0..bounds.items {
            if node.running[i] {
                moves.push(Move::Finish(n, i));
                moves.push(Move::Abort(n, i));
            } else if self.runs[i] < bounds.runs {
                moves.push(Move::Start(n, i));
            }
        }
        if *phase == Phase::Held {
            if node.holder.dirty() || node.holder.record().finished() {
                moves.push(Move::Save(n));
            }
            if self.resets > 0 {
                moves.extend([Move::Release(n), Move::Check(n)]);
            }
        }
    }

    fn apply(&mut self, step: Move) -> Checked {
        if matches!(step, Move::Restart(_) | Move::Release(_) | Move::Check(_)) {
            self.resets -= 1;
        }
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
                let (items, token) = (self.runs.len(), self.token());
                self.nodes[n].holder.claim(items, token);
            }
            Move::Restart(n) => self.nodes[n] = Node::new(n, self.repeat, self.runs.len()),
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
            Move::Abort(n, i) => {
                self.nodes[n].running[i] = false;
                self.nodes[n].holder.clear_start(i, true);
            }
            Move::Save(n) => {
                let token = self.token();
                self.nodes[n].holder.save(token);
            }
            Move::Release(n) => {
                let token = self.token();
                self.nodes[n].holder.release(token);
            }
            Move::Check(n) => self.nodes[n].holder.check(),
            Move::Cancel => {
                self.cancelled = true;
                self.faults -= 1;
            }
            Move::ObserveCancel(n) => {
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
        // No write of the model is too large, so no answer begins a new write that needs a token.
        self.nodes[n].holder.answer(answer, 0);
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
        let op = SentWrite { base, record };
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
            check_outcomes(old, &write.op.record)?;
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
                return Err("a finished holder has results that are not stored".into());
            }
        }
        Ok(())
    }

    /// Continues without faults and checks that every item gets its outcome.
    fn finish(mut self, bounds: Bounds) -> Checked {
        self.faults = 0;
        self.takeovers = u8::MAX;
        self.resets = u8::MAX;
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
                Move::Abort(..) | Move::Release(_) | Move::Check(_) | Move::Cancel => false,
                Move::Save(n) => {
                    let holder = &self.nodes[*n].holder;
                    holder.record().finished()
                }
                Move::Restart(n) => *self.nodes[*n].holder.phase() != Phase::Busy(claim(*n)),
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

fn check_outcomes(old: &GroupRecord, new: &GroupRecord) -> Checked {
    let pairs = old.items.iter().zip(&new.items);
    let changed = pairs.filter(|(o, n)| o.outcome.is_some() && o.outcome != n.outcome);
    match changed.count() {
        0 if new.items.len() >= old.items.len() => Ok(()),
        _ => Err("a final result changed".into()),
    }
}

/// Visits every reachable state within the bounds and returns their number.
fn explore(world: World, bounds: Bounds) -> Result<usize, String> {
    let mut seen = HashSet::new();
    let mut open = vec![world];
    while let Some(world) = open.pop() {
        if world.faults == 0 {
            let end = world.clone().finish(bounds);
            end.map_err(|e| format!("{e}: {world:#?}"))?;
        }
        for step in world.moves(bounds) {
            let mut next = world.clone();
            let applied = next.apply(step);
            applied.map_err(|e| format!("{e} after {step:?}: {world:#?}"))?;
            if seen.insert(digest(&next)) {
                open.push(next);
            }
        }
    }
    Ok(seen.len())
}

/// Returns the hash that identifies a state in the set of visited ones.
fn digest(world: &World) -> u64 {
    let mut hasher = DefaultHasher::new();
    world.hash(&mut hasher);
    hasher.finish()
}

const SMALL: Bounds = Bounds {
    items: 1,
    faults: 2,
    takeovers: 1,
    runs: 2,
    resets: 1,
};

/// Guards against results that change or are lost, commits by a holder that lost its claim, and
/// groups that never finish.
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

/// Guards against a model that detects no violation: with unconditional writes it must find one.
#[test]
fn writes_without_conditions_are_found_out() {
    let world = World::new(Rules::Blind, Repeat::Allowed, SMALL);
    assert!(explore(world, SMALL).is_err());
}

/// Guards against violations that need more items, takeovers and resets than the enumeration covers.
#[test]
fn random_schedules_keep_the_rules() {
    const SEEDS: u64 = 600;
    const STEPS: usize = 80;
    let bounds = Bounds {
        items: 3,
        faults: 5,
        takeovers: 4,
        runs: 4,
        resets: 6,
    };
    for seed in 0..SEEDS {
        let mut rng = fastrand::Rng::with_seed(seed);
        let repeat = match seed % 2 {
            0 => Repeat::Allowed,
            _ => Repeat::Never,
        };
        let mut world = World::new(Rules::Conditional, repeat, bounds);
        for _ in 0..STEPS {
            let moves = world.moves(bounds);
            let Some(step) = rng.choice(&moves) else {
                break;
            };
            world
                .apply(*step)
                .unwrap_or_else(|e| panic!("seed {seed}: {e}"));
        }
        world
            .finish(bounds)
            .unwrap_or_else(|e| panic!("seed {seed}: {e}"));
    }
}
