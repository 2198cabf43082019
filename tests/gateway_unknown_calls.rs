//! Calls of a later release that an instance does not know.

mod gateway_support;
mod support;

use std::time::Duration;

use gateway_support::{Instance, platform};
use support::http;

/// Guards against callers that get the status with which an instance refused a call that another one
/// forwarded: any but 503 is passed on to them, and one of the proper calls is denied.
#[test]
fn a_call_of_an_unknown_kind_is_refused_as_not_run() {
    let (store, _workers) = platform(3, Duration::ZERO);
    let instance = Instance::start("i1", &store, &[]);
    for call in ["\u{7f}", "\u{0}\u{7f}", ""] {
        let answer = http::call(instance.peers, "POST", "/", &[], call).unwrap();
        assert_eq!(answer.status, 503, "{call:?}");
    }
}
