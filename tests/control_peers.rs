//! Connections between entry instances, zones without platform, long logs.

mod control_support;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use control_support::{Instance, Plan, Process, free_address, http, sheet, wait};
use gentianpath::{
    ids::Map,
    members::Identity,
    peer::Digest,
    peer_client::{PeerClient, PeerError},
    platform::Kind,
    sheet_log::SNAPSHOT_INTERVAL,
};
use serde_json::{Value, json};
use smol::LocalExecutor;

const MODEL: &str = "coinread";

/// Guards against a call that waits for ever on a connection which went silent, and against a
/// client that keeps such a connection.
#[test]
fn a_silent_connection_is_replaced() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let opened = Arc::new(AtomicUsize::new(0));
    let counter = opened.clone();
    // Reads all and answers nothing.
    thread::spawn(move || {
        for stream in listener.incoming() {
            counter.fetch_add(1, Ordering::Relaxed);
            let mut stream = stream.unwrap();
            thread::spawn(move || while stream.read(&mut [0; 4096]).is_ok_and(|n| n > 0) {});
        }
    });
    let digest = Digest {
        identity: Identity {
            id: "me".into(),
            session: 1,
            zone: "z".into(),
            address: free_address(),
            leaving: false,
        },
        views: Map::default(),
        loads: vec![],
        heartbeats: vec![],
    };
    let executor = Rc::new(LocalExecutor::new());
    let deadline = Duration::from_millis(100);
    let client = PeerClient::new(address, deadline, Rc::downgrade(&executor));
    smol::block_on(executor.run(async {
        let mut silent = 0;
        while silent < 2 {
            match client.exchange(&digest).await {
                Err(PeerError::TimedOut) => silent += 1,
                Err(PeerError::BackingOff) => {
                    async_io::Timer::after(Duration::from_millis(5)).await;
                }
                other => panic!("{other:?}"),
            }
        }
    }));
    wait("each call had a connection of its own", || {
        opened.load(Ordering::Relaxed) == 2
    });
}

/// Forwards connections whose first message is not packed, and closes the others, as a peer of an
/// earlier release does.
fn plain_only(to: SocketAddr) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let forwarded = Arc::new(AtomicUsize::new(0));
    let counter = forwarded.clone();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut first = [0];
            if stream.read_exact(&mut first).is_err() || first != [0] {
                continue;
            }
            counter.fetch_add(1, Ordering::Relaxed);
            let mut peer = TcpStream::connect(to).unwrap();
            peer.write_all(&first).unwrap();
            let (mut from, mut back) = (peer.try_clone().unwrap(), stream.try_clone().unwrap());
            thread::spawn(move || std::io::copy(&mut from, &mut back));
            thread::spawn(move || std::io::copy(&mut stream, &mut peer));
        }
    });
    (address, forwarded)
}

/// Guards against peers of two releases that cannot talk: one packs its messages, the other reads
/// and writes them as they are only.
#[test]
fn messages_to_an_earlier_release_are_not_packed() {
    let platform = Process::platform();
    let a = Instance::simple(platform.address, "a", "tas-south-a");
    assert_eq!(a.push(sheet(MODEL, "v1", 1), None), Ok(1));
    let (relay, forwarded) = plain_only(a.peer());
    let plan = Plan {
        name: "b",
        zone: "tas-south-a",
        session: 2,
        peers: vec![relay],
        ..Plan::default()
    };
    let b = Instance::start(free_address(), &plan);
    b.wait_revision(1);
    assert!(forwarded.load(Ordering::Relaxed) > 0);
}

/// Guards against a zone that does not learn of a sheet because its instances cannot reach the
/// platform, and against a watch that ends when the platform has forgotten its history.
#[test]
fn a_zone_without_platform_learns_from_other_zones() {
    let platform = Process::platform();
    let a = Instance::simple(platform.address, "a", "tas-south-a");
    let nowhere = free_address();
    let cut = |name, session| {
        let plan = Plan {
            name,
            zone: "tas-south-b",
            session,
            peers: vec![a.peer()],
            ..Plan::default()
        };
        Instance::start(nowhere, &plan)
    };
    let (b, c) = (cut("b", 2), cut("c", 3));
    assert_eq!(a.push(sheet(MODEL, "v1", 1), None), Ok(1));
    [&a, &b, &c].iter().for_each(|i| i.wait_revision(1));
    // The store moves on by another kind, so that the watches of the sheet are behind when the
    // history goes. The next revision does not come through `a`, which would know it at once.
    let entry = json!({ "token": "t", "base": 1, "changes": { "throughput_weight": 1.0 } });
    let create = |kind, name| smol::block_on(a.ctx.platform.create(kind, name, &entry)).unwrap();
    create(Kind::Once, "one");
    create(Kind::Once, "two");
    platform.set_faults(&json!({ "forget": true }));
    create(Kind::Sheet, "0000000002");
    [&a, &b, &c].iter().for_each(|i| i.wait_revision(2));
}

/// Guards against a log that must be read from its first entry, and one that grows without bound
/// in memory.
#[test]
fn a_long_log_is_read_from_its_snapshot() {
    let last = 2 * SNAPSHOT_INTERVAL + 8;
    let platform = Process::platform();
    let a = Instance::simple(platform.address, "a", "tas-south-a");
    let b = Instance::simple(platform.address, "b", "tas-south-a");
    for revision in 1..=last {
        assert_eq!(
            a.push(sheet(MODEL, "v1", revision as u32), None),
            Ok(revision)
        );
    }
    for instance in [&a, &b] {
        instance.wait_revision(last);
        wait("the log is compacted", || {
            let status = instance.ctx.status.load();
            let objects = status.report.views[0].objects as u64;
            status.report.sheet.revision == last && objects < SNAPSHOT_INTERVAL
        });
    }
    let snapshots = http("GET", platform.address, "/objects/sheet-snapshot", "").1;
    let snapshots: Value = serde_json::from_str(&snapshots).unwrap();
    assert_eq!(snapshots["items"].as_array().unwrap().len(), 2);
    // A new instance of another zone reads the platform, one without platform reads the peers.
    let c = Instance::simple(platform.address, "c", "tas-south-b");
    let plan = Plan {
        name: "d",
        zone: "tas-south-a",
        session: 4,
        peers: vec![b.peer()],
        ..Plan::default()
    };
    let d = Instance::start(free_address(), &plan);
    for instance in [&c, &d] {
        instance.wait_revision(last);
        assert_eq!(
            instance.ctx.view.load().sheet.models[MODEL].slots,
            last as u32
        );
    }
}
