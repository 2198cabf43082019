//! Log lines of control threads that are late.

use std::{
    io::Write,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use gentianpath::gateway::slow_step;

#[derive(Clone, Default)]
struct Log(Arc<Mutex<Vec<u8>>>);

impl Write for Log {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().write(bytes)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Guards against a stalled control thread of which the log does not tell what it did.
#[test]
fn a_slow_step_of_the_control_thread_is_named_in_the_log() {
    let log = Log::default();
    env_logger::Builder::new()
        .filter_level(log::LevelFilter::Info)
        .target(env_logger::Target::Pipe(Box::new(log.clone())))
        .init();
    slow_step::timed("quick", || ());
    assert_eq!(
        slow_step::timed("report", || {
            thread::sleep(Duration::from_millis(150));
            7
        }),
        7
    );
    let text = String::from_utf8(log.0.lock().unwrap().clone()).unwrap();
    assert!(text.contains("step=report took_ms=1"), "{text}");
    assert!(!text.contains("quick"), "{text}");
}
