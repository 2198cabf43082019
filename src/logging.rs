//! Log of a process on standard output: one `key=value` line per event. The volume is bounded, and
//! writing never blocks on a slow reader.

use std::{
    fmt::Write as _,
    io::{self, Write},
    sync::mpsc,
    thread,
    time::{Duration, Instant},
};

use env_logger::{Builder, Env, Logger, Target};
use jiff::Timestamp;
use log::{Log, Metadata, Record};
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};

use crate::{
    event,
    events::{EVENT_TARGET, ROUTINE_TARGET},
    mutex::{Mutex, lock},
    volume::{Importance, Volume},
};

/// Maximum length of a line, in bytes; longer lines are truncated.
pub const LINE_BYTES: usize = 1000;
/// Lines buffered for a slow reader of standard output; further ones are dropped and counted.
const BUFFERED_LINES: usize = 1024;

/// Bound on writing the buffered lines at the end of the process.
const FLUSH_LIMIT: Duration = Duration::from_millis(500);

/// Writes the buffered lines when it is dropped, unless nothing reads standard output.
#[derive(Debug)]
pub struct FlushGuard(Option<WorkerGuard>);

impl Drop for FlushGuard {
    fn drop(&mut self) {
        // Dropping the writer guard blocks while nothing reads standard output.
        let guard = self.0.take();
        let (done, flushed) = mpsc::channel();
        thread::spawn(move || {
            drop(guard);
            // The receiver is gone after the limit.
            let _ = done.send(());
        });
        let _ = flushed.recv_timeout(FLUSH_LIMIT);
    }
}

/// Logger that drops lines beyond the bound on their volume.
struct BoundedLogger {
    inner: Logger,
    volume: Mutex<Volume>,
    start: Instant,
    dropped: ErrorCounter,
}

/// Starts logging to standard output under the name of an instance. Dropping the guard writes the
/// buffered lines.
///
/// # Errors
///
/// Returns an error when a logger is already set.
pub fn start(instance: &str) -> anyhow::Result<FlushGuard> {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(BUFFERED_LINES)
        .finish(io::stdout());
    let dropped = writer.error_counter();
    let name = instance.to_owned();
    let inner = Builder::from_env(Env::default().default_filter_or("info"))
        .target(Target::Pipe(Box::new(writer)))
        .format(move |out, record| out.write_all(line(&name, record).as_bytes()))
        .build();
    log::set_max_level(inner.filter());
    let logger = BoundedLogger {
        inner,
        volume: Mutex::default(),
        start: Instant::now(),
        dropped,
    };
    log::set_boxed_logger(Box::new(logger))?;
    Ok(FlushGuard(Some(guard)))
}

/// Starts logging of a command to standard error.
pub fn start_command() {
    Builder::from_env(Env::default().default_filter_or("info")).init();
}

impl BoundedLogger {
    /// Logs the number of omitted lines, at most once per second.
    fn log_omitted(&self, now: Duration) {
        let dropped = self.dropped.dropped_lines() as u64;
        let omitted = lock(&self.volume).take_omitted(dropped, now);
        if let Some(omitted) = omitted {
            event!(
                Warn,
                LinesOmitted,
                "routine={} important={} dropped={}",
                omitted.routine,
                omitted.important,
                omitted.dropped
            );
        }
    }
}

impl Log for BoundedLogger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        self.inner.enabled(metadata)
    }

    fn log(&self, record: &Record<'_>) {
        if !self.inner.matches(record) {
            return;
        }
        let now = self.start.elapsed();
        self.log_omitted(now);
        if lock(&self.volume).admit(importance(record), now) {
            self.inner.log(record);
        }
    }

    fn flush(&self) {
        self.inner.flush();
    }
}

fn importance(record: &Record<'_>) -> Importance {
    if record.target() == ROUTINE_TARGET {
        Importance::Routine
    } else {
        Importance::Important
    }
}

fn line(instance: &str, record: &Record<'_>) -> String {
    let now = Timestamp::now();
    let level = record.level().as_str().to_lowercase();
    let mut line = format!("time={now:.3} level={level} instance={instance} ");
    let result = match record.target() {
        EVENT_TARGET | ROUTINE_TARGET => write!(line, "{}", record.args()),
        module => write!(
            line,
            "module={module} message={:?}",
            record.args().to_string()
        ),
    };
    if result.is_err() {
        line.push_str("message=\"a value cannot be formatted\"");
    }
    let mut line: String = line
        .chars()
        .map(|c| if c.is_control() { ' ' } else { c })
        .collect();
    if line.len() >= LINE_BYTES {
        line.truncate(line.floor_char_boundary(LINE_BYTES - 1));
    }
    line.push('\n');
    line
}
