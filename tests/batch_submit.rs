//! Model check of submissions: enumerates two concurrent submissions of one job name with faults of
//! the object service and with instances that close the job while it is loading.

use std::{
    collections::HashSet,
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
};

use gentianpath::{
    ids::Version,
    job_record::{JobRecord, JobState},
    submit::{Answer, End, Op, Pace, Submit},
};

/// Fault-free calls after which both submissions must have ended.
const CALLS_TO_END: usize = 60;

type Stored = (Version, Arc<JobRecord>);

#[derive(Debug, Clone, Hash)]
struct World {
    job: Option<Stored>,
    inputs: Vec<Arc<str>>,
    nodes: Vec<Submit>,
    ends: Vec<Option<Result<Stored, ()>>>,
    delayed: Vec<(Option<Version>, Arc<JobRecord>)>,
    faults: u8,
}

#[derive(Debug, Clone, Copy)]
enum Move {
    Call(usize, Fate),
    Land(usize),
    Cancel,
    /// Another instance closes the job as abandoned. Its write takes effect at any later time.
    Close,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fate {
    Normal,
    LostAnswer,
    Delayed,
    Refused,
}

impl World {
    fn new(digests: [&str; 2]) -> Self {
        let node = |(i, digest): (usize, &&str)| Submit::new(record(digest, i as u64 + 1));
        Self {
            job: None,
            inputs: Vec::new(),
            nodes: digests.iter().enumerate().map(node).collect(),
            ends: vec![None; digests.len()],
            delayed: Vec::new(),
            faults: 3,
        }
    }

    fn moves(&self) -> Vec<Move> {
        let mut moves: Vec<Move> = (0..self.delayed.len()).map(Move::Land).collect();
        for (n, node) in self.nodes.iter().enumerate() {
            if node.op().is_none() {
                continue;
            }
            moves.push(Move::Call(n, Fate::Normal));
            if self.faults > 0 {
                let faults = [Fate::LostAnswer, Fate::Delayed, Fate::Refused];
                moves.extend(faults.map(|f| Move::Call(n, f)));
            }
        }
        let ready = self.in_state(JobState::Ready);
        if ready && self.faults > 0 {
            moves.push(Move::Cancel);
        }
        if self.in_state(JobState::Loading) && self.faults > 0 {
            moves.push(Move::Close);
        }
        moves
    }

    fn apply(&mut self, step: Move) -> Result<(), String> {
        match step {
            Move::Land(i) => {
                let (base, record) = self.delayed.remove(i);
                self.land(base, record)?;
            }
            Move::Cancel => {
                let (version, cancelled) = self.record_in_state(JobState::Cancelled)?;
                self.job = Some((version + 1, cancelled));
            }
            Move::Close => {
                let (version, closed) = self.record_in_state(JobState::Abandoned)?;
                self.delayed.push((Some(version), closed));
            }
            Move::Call(n, fate) => {
                self.faults -= u8::from(fate != Fate::Normal);
                let answer = self.answer(n, fate)?;
                match self.nodes[n].answer(answer) {
                    Pace::End(End::Accepted(version, record)) => {
                        self.ends[n] = Some(Ok((version, record)));
                    }
                    Pace::End(End::Conflict) => self.ends[n] = Some(Err(())),
                    Pace::Now | Pace::Backoff => {}
                }
                self.check(n)?;
            }
        }
        Ok(())
    }

    fn in_state(&self, state: JobState) -> bool {
        self.job.as_ref().is_some_and(|(_, j)| j.state == state)
    }

    /// Returns the job's version and its record in another state. Uses up one fault.
    fn record_in_state(&mut self, state: JobState) -> Result<Stored, String> {
        self.faults -= 1;
        let (version, job) = self.job.clone().ok_or("no job")?;
        let token = 9;
        let record = JobRecord {
            state,
            token,
            ..job.as_ref().clone()
        };
        Ok((version, Arc::new(record)))
    }

    fn answer(&mut self, n: usize, fate: Fate) -> Result<Answer, String> {
        let (base, record) = match self.nodes[n].op() {
            Some(Op::Create(record)) => (None, record),
            Some(Op::Update(version, record)) => (Some(version), record),
            Some(Op::Inputs) if fate == Fate::Normal => {
                self.inputs.push(digest(n, self));
                self.inputs.dedup();
                return Ok(Answer::Stored);
            }
            Some(Op::Read) if fate == Fate::Normal => {
                let found = self.job.clone();
                return Ok(found.map_or(Answer::Absent, |(v, j)| Answer::Found(v, j)));
            }
            _ => return Ok(Answer::Unavailable),
        };
        Ok(match fate {
            Fate::Normal => self.land(base, record)?,
            Fate::Refused => Answer::Refused,
            Fate::LostAnswer => {
                self.land(base, record)?;
                Answer::Unknown
            }
            Fate::Delayed => {
                self.delayed.push((base, record));
                Answer::Unknown
            }
        })
    }

    fn land(&mut self, base: Option<Version>, record: Arc<JobRecord>) -> Result<Answer, String> {
        if self.job.as_ref().map(|(v, _)| *v) != base {
            return Ok(Answer::Conflict);
        }
        if record.state == JobState::Ready && !self.inputs.contains(&record.digest) {
            return Err("a job became ready without its inputs".into());
        }
        if let Some((_, old)) = &self.job {
            check_transition(old, &record)?;
        }
        let version = base.unwrap_or(0) + 1;
        self.job = Some((version, record));
        Ok(Answer::Written(version))
    }

    fn check(&self, n: usize) -> Result<(), String> {
        let Some(Ok((_, accepted))) = &self.ends[n] else {
            return Ok(());
        };
        let stored = self.job.as_ref().map(|(_, j)| j);
        let kept = stored.is_some_and(|j| {
            matches!(j.state, JobState::Ready | JobState::Cancelled)
                && j.digest == accepted.digest
                && j.digest == digest(n, self)
        });
        if kept {
            Ok(())
        } else {
            Err("acknowledged a job that is not accepted".into())
        }
    }

    /// Continues without faults and checks that both submissions end and one of them is accepted.
    fn finish(mut self) -> Result<(), String> {
        self.faults = 0;
        for _ in 0..CALLS_TO_END {
            let Some(step) = self.moves().first().copied() else {
                break;
            };
            self.apply(step)?;
        }
        let ended = self.ends.iter().all(Option::is_some);
        let accepted = self.ends.iter().flatten().any(Result::is_ok);
        if ended && accepted {
            Ok(())
        } else {
            Err("a submission never ends".into())
        }
    }
}

fn digest(n: usize, world: &World) -> Arc<str> {
    // The debug output of the state machine contains the digest of its record.
    let text = format!("{:?}", world.nodes[n]);
    if text.contains("other") {
        "other".into()
    } else {
        "same".into()
    }
}

/// Checks that a write closes or reopens a job that is not accepted, or accepts one that is loading.
fn check_transition(old: &JobRecord, new: &JobRecord) -> Result<(), String> {
    use JobState::{Abandoned, Loading, Ready};
    let step = (old.state, new.state);
    let known = matches!(step, (Loading, Ready | Abandoned) | (Abandoned, Loading));
    if known && old.digest == new.digest {
        return Ok(());
    }
    Err(format!("a write turned a job from {old:?} into {new:?}"))
}

fn record(digest: &str, token: u64) -> JobRecord {
    JobRecord {
        team: "t".into(),
        model: "m".into(),
        deadline: 1,
        items: 1,
        groups: 1,
        never: 0,
        digest: digest.into(),
        token,
        state: JobState::Ready,
    }
}

fn explore(world: World) -> usize {
    let mut seen = HashSet::new();
    let mut open = vec![world];
    while let Some(world) = open.pop() {
        let end = world.clone().finish();
        end.unwrap_or_else(|e| panic!("{e}: {world:#?}"));
        for step in world.moves() {
            let mut next = world.clone();
            let applied = next.apply(step);
            applied.unwrap_or_else(|e| panic!("{e} after {step:?}: {world:#?}"));
            let mut hasher = DefaultHasher::new();
            next.hash(&mut hasher);
            if seen.insert(hasher.finish()) {
                open.push(next);
            }
        }
    }
    seen.len()
}

/// Guards against a job that is acknowledged before it is accepted, is accepted without its inputs, is
/// restored after its cancellation, or is closed under a submission that was only paused.
#[test]
fn two_submissions_of_one_job_end_in_one_accepted_job() {
    println!("{} states", explore(World::new(["same", "same"])));
}

/// Guards against two accepted jobs with the same name.
#[test]
fn two_jobs_of_one_name_end_in_one_accepted_job() {
    println!("{} states", explore(World::new(["same", "other"])));
}
