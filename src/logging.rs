//! Log lines of a process on standard output: one `key=value` line for each event, in bounded volume
//! and without waiting for the reader.

use std::{
    fmt::Write as _,
    io::{self, Write},
    sync::{Mutex, mpsc},
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
    mutex::lock,
    volume::{Volume, Weight},
};

/// Length of a line at most; the rest of a longer one is cut off.
pub const LINE_BYTES: usize = 1000;
/// Lines that wait for a slow reader of standard output; further ones are dropped and counted.
const BUFFERED_LINES: usize = 1024;

/// Time in which what is left is written at the end of the process.
const FLUSH_LIMIT: Duration = Duration::from_millis(500);

/// Writes what is left of the log when it is dropped, as far as somebody reads it.
#[derive(Debug)]
pub struct Flush(Option<WorkerGuard>);

impl Drop for Flush {
    fn drop(&mut self) {
        // The guard of a log that nobody reads blocks on standard output when it is dropped.
        let guard = self.0.take();
        let (done, flushed) = mpsc::channel();
        thread::spawn(move || {
            drop(guard);
            // Nobody waits any more after the limit.
            let _ = done.send(());
        });
        let _ = flushed.recv_timeout(FLUSH_LIMIT);
    }
}

/// Writes lines within the bound on their volume.
struct Bounded {
    inner: Logger,
    volume: Mutex<Volume>,
    start: Instant,
    dropped: ErrorCounter,
}

/// Logs to standard output as a process that serves, under the name of its instance. Dropping the
/// guard writes what is left.
///
/// # Errors
///
/// Returns an error when the process logs already.
pub fn start(instance: &str) -> anyhow::Result<Flush> {
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
    let logger = Bounded {
        inner,
        volume: Mutex::default(),
        start: Instant::now(),
        dropped,
    };
    log::set_boxed_logger(Box::new(logger))?;
    Ok(Flush(Some(guard)))
}

/// Logs to standard error as a command does.
pub fn start_command() {
    Builder::from_env(Env::default().default_filter_or("info")).init();
}

impl Bounded {
    /// Writes how many lines are missing, once a second at most.
    fn tell_omitted(&self, now: Duration) {
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

impl Log for Bounded {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        self.inner.enabled(metadata)
    }

    fn log(&self, record: &Record<'_>) {
        if !self.inner.matches(record) {
            return;
        }
        let now = self.start.elapsed();
        self.tell_omitted(now);
        if lock(&self.volume).admit(weight(record), now) {
            self.inner.log(record);
        }
    }

    fn flush(&self) {
        self.inner.flush();
    }
}

fn weight(record: &Record<'_>) -> Weight {
    if record.target() == ROUTINE_TARGET {
        Weight::Routine
    } else {
        Weight::Important
    }
}

fn line(instance: &str, record: &Record<'_>) -> String {
    let now = Timestamp::now();
    let level = record.level().as_str().to_lowercase();
    let mut line = format!("time={now:.3} level={level} instance={instance} ");
    let written = match record.target() {
        EVENT_TARGET | ROUTINE_TARGET => write!(line, "{}", record.args()),
        module => write!(
            line,
            "module={module} message={:?}",
            record.args().to_string()
        ),
    };
    if written.is_err() {
        line.push_str("message=\"a value cannot be shown\"");
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
