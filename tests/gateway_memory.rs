//! Bytes that an instance holds for callers and workers.

mod gateway_support;
mod support;

use std::{thread, time::Duration};

use bytes::Bytes;
use gateway_support::{Behaviour, Instance, config, platform};
use gentianpath::gateway::{
    memory::{HeldBuffer, Memory},
    sse::Splitter,
};
use quickcheck::quickcheck;
use support::http;

/// Memory of the process by default.
const MEMORY: u64 = 96 << 20;
const LARGE: usize = 4 << 20;

/// Guards against a sum of bodies and answers without a bound, and against large ones that leave no
/// place for those of usual size.
#[test]
fn all_parts_together_keep_to_the_bound() {
    let memory = Memory::new(64 << 20);
    let mut large: Vec<_> = (0..3).map(|_| memory.hold()).collect();
    for held in &mut large {
        held.set(LARGE).unwrap();
    }
    let mut one_more = memory.hold();
    assert!(one_more.set(LARGE).is_err());
    assert_eq!(memory.held(), 3 * LARGE);
    let mut small: Vec<_> = (0..64).map(|_| memory.hold()).collect();
    for held in &mut small {
        held.set(64 << 10).unwrap();
    }
    assert!(memory.hold().set(1).is_err(), "the bound holds for all");
    drop(large);
    one_more.set(LARGE).unwrap();
    one_more.set(1000).unwrap();
    drop(small);
    assert_eq!(memory.held(), 1000);
    let bytes = one_more.keep(Bytes::from(vec![0; 1000]));
    let part = bytes.slice(10..20);
    drop(bytes);
    assert_eq!(memory.held(), 1000, "a part keeps the whole");
    drop(part);
    assert_eq!(memory.held(), 0);
}

/// Guards against a process that is killed as callers send bodies inside the limit, and against answers
/// that are lost.
#[test]
fn bodies_that_do_not_fit_are_refused() {
    let (store, workers) = platform(2, Duration::ZERO);
    store.put("config", "main", config(1));
    let instance = Instance::start("one", &store, &[]);
    for worker in &workers {
        worker.behave(&[Behaviour::LateHead; 100]);
    }
    let body = "x".repeat(LARGE - 1000);
    let statuses: Vec<u16> = thread::scope(|scope| {
        let (instance, body) = (&instance, &body);
        let call = |n: usize| {
            let id = format!("r{n}");
            let headers = [("x-request-id", &*id), ("x-deadline-ms", "5000")];
            let answer = http::call(instance.callers, "POST", "/unsafe/x", &headers, body);
            answer.expect("each call is answered").status
        };
        let calls: Vec<_> = (0..40).map(|n| scope.spawn(move || call(n))).collect();
        calls.into_iter().map(|c| c.join().unwrap()).collect()
    });
    assert!(
        statuses.iter().all(|s| [200, 503].contains(s)),
        "{statuses:?}"
    );
    assert!(statuses.contains(&503), "all bodies were held");
    let ran: usize = workers.iter().map(|w| w.runs().len()).sum();
    let answered = statuses.iter().filter(|s| **s == 200).count();
    assert_eq!(ran, answered, "a refusal says that the call has not run");
    assert!(
        instance.peak_memory() < MEMORY,
        "{}",
        instance.peak_memory()
    );
}

/// Guards against a process that is killed as workers send answers without end, and against a sum that
/// grows with the number of connections.
#[test]
fn answers_without_end_keep_to_the_bound() {
    for path in ["/safe/x", "/unsafe/x", "/resumable/x"] {
        for fault in [Behaviour::EndlessLines, Behaviour::Endless("data: xxxxx\n")] {
            let (store, workers) = platform(2, Duration::ZERO);
            let instance = Instance::start("one", &store, &[]);
            for worker in &workers {
                worker.behave(&[fault; 1000]);
                let mut entry = worker.entry("ready");
                entry["slots"] = 400.into();
                store.put("servers", &worker.id, entry);
            }
            thread::scope(|scope| {
                let instance = &instance;
                for n in 0..400 {
                    let id = format!("r{n}");
                    scope.spawn(move || instance.stream(path, &id));
                }
            });
            let peak = instance.peak_memory();
            assert!(peak < MEMORY, "{path}, {fault:?}: {peak}");
        }
    }
}

quickcheck! {
    /// Guards against bytes that are lost or exchanged between the parts of a buffer.
    fn a_buffer_keeps_its_bytes(parts: Vec<Vec<u8>>, repeats: u8, is_sized: bool) -> bool {
        let memory = Memory::new(64 << 20);
        let parts: Vec<Vec<u8>> = parts.iter().map(|p| p.repeat(usize::from(repeats))).collect();
        let whole = parts.concat();
        let mut buffer = if is_sized {
            HeldBuffer::sized(whole.len(), &memory)
        } else {
            HeldBuffer::growing(&memory)
        };
        for part in &parts {
            buffer.push(part).unwrap();
        }
        let is_counted = memory.held() >= whole.len();
        let bytes = buffer.finish();
        let is_kept = bytes == whole && memory.held() == whole.len();
        drop(bytes);
        is_counted && is_kept && memory.held() == 0
    }
}

fn events(parts: &[&[u8]]) -> Vec<Vec<u8>> {
    let mut splitter = Splitter::default();
    let mut events = Vec::new();
    for part in parts {
        splitter.push(part);
        while let Some(event) = splitter.pop() {
            events.push(event.bytes.to_vec());
        }
    }
    events
}

quickcheck! {
    /// Guards against an end of an event that is missed as it comes in several parts.
    fn events_do_not_depend_on_the_parts(choices: Vec<u8>, size: u8) -> bool {
        let bytes: Vec<u8> = choices.iter().map(|c| b"\n\n\r:x"[usize::from(c % 5)]).collect();
        let parts: Vec<&[u8]> = bytes.chunks(usize::from(size % 4) + 1).collect();
        events(&parts) == events(&[&bytes])
    }
}

/// Guards against an event in many parts that is searched from its start for each of them.
#[test]
fn a_long_event_is_searched_once() {
    let mut splitter = Splitter::default();
    for _ in 0..200_000 {
        splitter.push(&[b'x'; 64]);
        assert!(splitter.pop().is_none());
    }
    splitter.push(b"\n\n");
    assert_eq!(splitter.pop().unwrap().bytes.len(), 64 * 200_000 + 2);
}
