//! Starts of instances whose addresses are in use.

mod support;

use std::{
    net::{SocketAddr, TcpListener, UdpSocket},
    process::{Command, Output, Stdio},
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};
use support::{WAIT_LIMIT, ports::free_address};

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Returns the settings of a gateway whose store does not answer.
fn gateway() -> Value {
    json!({
        "instance": "one", "zone": "a", "caller_address": free_address(),
        "ready_address": free_address(), "peer_address": free_address(),
        "metrics_address": free_address(), "store_address": free_address(), "seeds": [],
        "grace_s": 8, "status_s": 120,
    })
}

/// Returns the settings of an entry instance whose platform does not answer.
fn entry() -> Value {
    json!({
        "instance": "one", "zone": "a", "region": "region", "caller_address": free_address(),
        "operator_address": free_address(), "peer_address": free_address(),
        "platform_address": free_address(),
    })
}

fn address(settings: &Value, field: &str) -> SocketAddr {
    settings[field].as_str().unwrap().parse().unwrap()
}

/// Starts a command and waits until it has ended.
fn run(command: &str, settings: &Value) -> Output {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("settings.json");
    std::fs::write(&file, settings.to_string()).unwrap();
    let mut program = Command::new(env!("CARGO_BIN_EXE_gentianpath"));
    program.arg(command);
    if command == "serve" {
        program.arg("--settings").arg(&file);
    } else {
        program.env("GENTIANPATH_SETTINGS", &file);
    }
    let program = program.stdout(Stdio::piped()).stderr(Stdio::piped());
    let mut child = program.spawn().unwrap();
    let deadline = Instant::now() + WAIT_LIMIT;
    while child.try_wait().unwrap().is_none() {
        if Instant::now() > deadline {
            // What it wrote so far shows in the failure of the test.
            child.kill().unwrap();
        }
        thread::sleep(POLL_INTERVAL);
    }
    child.wait_with_output().unwrap()
}

fn check(command: &str, settings: &Value, field: &str) {
    let output = run(command, settings);
    let errors = String::from_utf8_lossy(&output.stderr);
    assert_eq!(
        output.status.code(),
        Some(1),
        "{command}, {field}: {errors}"
    );
    let expected = format!("cannot listen on {}", address(settings, field));
    assert_eq!(errors.lines().count(), 1, "{command}, {field}: {errors}");
    assert!(errors.contains(&expected), "{command}, {field}: {errors}");
}

/// Guards against a start that hangs, goes on without one of its listeners, or ends without telling which
/// address is in use.
#[test]
fn an_instance_whose_port_is_taken_ends_at_once() {
    for (command, fields) in [
        (
            "gateway",
            &[
                "caller_address",
                "ready_address",
                "peer_address",
                "metrics_address",
            ][..],
        ),
        (
            "serve",
            &["caller_address", "operator_address", "peer_address"],
        ),
    ] {
        for field in fields {
            let settings = if command == "serve" {
                entry()
            } else {
                gateway()
            };
            let _taken = TcpListener::bind(address(&settings, field)).unwrap();
            check(command, &settings, field);
        }
    }
}

/// Guards against the same for the datagrams of the other instances.
#[test]
fn a_gateway_whose_datagram_port_is_taken_ends_at_once() {
    let settings = gateway();
    let _taken = UdpSocket::bind(address(&settings, "peer_address")).unwrap();
    check("gateway", &settings, "peer_address");
}
