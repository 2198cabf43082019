//! Blocks that follow from records of crashes.

use std::time::Duration;

use gentianpath::{
    gateway::{
        blame::{self, Crash},
        marks::Mark,
    },
    ids::{Map, Set},
};

/// Returns the marks and numbers of crashes of the blocks, and the time at which they are outdated, by
/// comparing each record with each.
fn expected(crashes: &[Crash], now: Duration) -> (Vec<(Vec<Mark>, usize)>, Option<Duration>) {
    let mut blocks = Vec::new();
    let mut outdated: Option<Duration> = None;
    let mut open: Vec<&Crash> = crashes.iter().collect();
    open.retain(|c| !is_by_failing_worker(c, crashes));
    while let Some(mark) = most_suspected(&open) {
        let (held, rest): (Vec<&Crash>, Vec<&Crash>) =
            open.into_iter().partition(|c| c.marks.contains(&mark));
        let is_beside = |h: &&Crash, c: &Crash| {
            h.attempt.0 == c.attempt.0 && h.at.abs_diff(c.at) < Duration::from_millis(100)
        };
        open = rest;
        open.retain(|c| !held.iter().any(|h| is_beside(h, c)));
        let times = crash_times(&held);
        let mut marks = held[0].marks.clone();
        marks.retain(|m| held.iter().all(|c| c.marks.contains(m)));
        marks.sort_unstable();
        let mut settled = times[2];
        if !marks.iter().any(|m| m.request().is_some()) {
            settled += Duration::from_millis(350);
        } else if times.len() == 3 {
            let is_elsewhere = |c: &Crash| {
                c.at.abs_diff(times[2]) < Duration::from_millis(350)
                    && !is_by_failing_worker(c, crashes)
                    && !held.iter().any(|h| is_beside(h, c))
            };
            let elsewhere = crashes.iter().filter(|c| is_elsewhere(c));
            let workers: Set<u32> = elsewhere.map(|c| c.attempt.0).collect();
            if workers.len() >= 3 {
                settled += Duration::from_secs(1);
            }
        }
        if now < settled {
            outdated = Some(outdated.map_or(settled, |t| t.min(settled)));
            continue;
        }
        blocks.push((marks, times.len()));
    }
    (blocks, outdated)
}

fn is_by_failing_worker(crash: &Crash, crashes: &[Crash]) -> bool {
    let is_other = |c: &&Crash| {
        let distance = c.at.abs_diff(crash.at).as_millis();
        c.attempt.0 == crash.attempt.0
            && (100..1000).contains(&distance)
            && !c.marks.iter().any(|m| crash.marks.contains(m))
    };
    let mut times: Vec<Duration> = crashes.iter().filter(is_other).map(|c| c.at).collect();
    times.sort_unstable();
    let mut moments = 0;
    let mut next = Duration::ZERO;
    for time in times {
        if time >= next {
            moments += 1;
            next = time + Duration::from_millis(100);
        }
    }
    moments >= 2
}

fn most_suspected(crashes: &[&Crash]) -> Option<Mark> {
    let mut by_mark: Map<Mark, Vec<&Crash>> = Map::default();
    for crash in crashes {
        for mark in &crash.marks {
            by_mark.entry(*mark).or_default().push(crash);
        }
    }
    let counts = by_mark.into_iter();
    let (count, mark) = counts.map(|(m, c)| (crash_times(&c).len(), m)).max()?;
    (count >= 3).then_some(mark)
}

fn crash_times(records: &[&Crash]) -> Vec<Duration> {
    let mut breaks: Vec<_> = records.iter().map(|c| (c.at, c.attempt)).collect();
    breaks.sort_unstable();
    let mut crashes: Vec<(Duration, (u32, u32))> = Vec::new();
    for (at, attempt) in breaks {
        let is_same = |(earlier, other): &(Duration, (u32, u32))| {
            let same_cause = at < *earlier + Duration::from_millis(30) && other.1 != attempt.1;
            same_cause || other.0 == attempt.0 && at < *earlier + Duration::from_secs(1)
        };
        if !crashes.iter().any(is_same) {
            crashes.push((at, attempt));
        }
    }
    crashes.into_iter().map(|(at, _)| at).collect()
}

/// Guards against blocks that differ from those of the plain comparison of all records.
#[test]
fn blocks_are_those_of_a_comparison_of_each_record_with_each() {
    let mut found = 0;
    for seed in 0..2000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (workers, requests) = (rng.u32(1..40), rng.u32(1..60));
        let (parts, span) = (rng.u64(1..30), rng.u64(1..6000));
        let mut crash = || {
            let request = rng.u32(0..requests);
            let at = Duration::from_millis(rng.u64(0..span));
            let mut marks: Vec<Mark> = (0..rng.usize(0..4))
                .map(|_| Mark::Part(rng.u64(0..parts)))
                .collect();
            marks.push(Mark::Request(request.into()));
            Crash {
                attempt: (rng.u32(0..workers), request),
                at,
                needed: at,
                marks,
                is_local: false,
            }
        };
        let crashes: Vec<Crash> = (0..seed % 129).map(|_| crash()).collect();
        let now = Duration::from_millis(span * 3 / 4);
        let (blocks, outdated) = blame::blocks(&crashes, now);
        found += blocks.len();
        let blocks = blocks.into_iter().map(|b| (b.marks, b.crashes)).collect();
        assert_eq!((blocks, outdated), expected(&crashes, now), "seed {seed}");
    }
    assert!(found > 1000, "{found} blocks");
}
