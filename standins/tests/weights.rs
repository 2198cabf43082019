//! Tests of the stand-in for the weight store.

mod support;

use standins::host::block_on;
use support::{get, weights};

/// Guards against a store that does not limit its rate.
#[test]
fn reads_over_the_rate_are_refused() {
    block_on(async {
        let address = weights(&["--rate", "2", "--window-ms", "600000"]);
        let mut statuses = Vec::new();
        for _ in 0..3 {
            statuses.push(get(address, "/weights/m/1").await.0);
        }
        assert_eq!(statuses, [200, 200, 429]);
        let (_, ledger) = get(address, "/ledger").await;
        assert_eq!(ledger["refused"], 1);
        assert_eq!(ledger["reads"].as_array().unwrap().len(), 2);
    });
}
