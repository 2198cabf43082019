//! Process that kills the others when the test has ended in any way.

use std::{
    io::Write,
    os::unix::process::CommandExt,
    path::Path,
    process::{Child, Command, Stdio},
    sync::Mutex,
};

/// Kills the processes that it knows once the test has ended.
pub struct Guard(Mutex<Child>);

impl Guard {
    pub fn start() -> Self {
        let program = Path::new(env!("CARGO_BIN_EXE_gentianpath")).with_file_name("standin-guard");
        // A group of its own keeps signals of a terminal away.
        let child = Command::new(program)
            .stdin(Stdio::piped())
            .process_group(0)
            .spawn();
        Self(Mutex::new(
            child.expect("run cargo build --workspace first"),
        ))
    }

    pub fn add(&self, process: u32) {
        self.write(&format!("+{process}\n"));
    }

    /// Removes a process, before its end is collected and its id can be used again.
    pub fn remove(&self, process: u32) {
        self.write(&format!("-{process}\n"));
    }

    fn write(&self, line: &str) {
        let mut child = self.0.lock().unwrap();
        let input = child.stdin.as_mut().unwrap();
        input.write_all(line.as_bytes()).unwrap();
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let child = self.0.get_mut().unwrap();
        drop(child.stdin.take());
        let _ = child.wait();
    }
}
