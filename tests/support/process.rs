//! Processes that tests start, signal and stop.

use std::{
    fs::OpenOptions,
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::Path,
    process::{Child, Command, ExitStatus, Stdio},
};

use rustix::process::{Pid, Signal, kill_process};

use super::until;

/// A process that is killed on drop.
#[derive(Debug)]
pub struct Process(Child);

impl Process {
    /// Starts a program and appends its output to a file.
    pub fn start(program: &Path, options: &[&str], log: &Path) -> Self {
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(log)
            .unwrap();
        let child = Command::new(program)
            .args(options)
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        Self(child.unwrap_or_else(|e| panic!("{}: {e}", program.display())))
    }

    /// Starts a stand-in and waits for the line with its address.
    pub fn start_listening(program: &Path, options: &[&str]) -> (Self, SocketAddr) {
        let child = Command::new(program)
            .args(options)
            .stdout(Stdio::piped())
            .spawn();
        let hint = "run cargo build --workspace first";
        let child = child.unwrap_or_else(|e| panic!("{}: {e}; {hint}", program.display()));
        let mut process = Self(child);
        let mut line = String::new();
        let out = process.0.stdout.take().unwrap();
        BufReader::new(out).read_line(&mut line).unwrap();
        let address = line.trim().rsplit(' ').next().unwrap();
        let address = address
            .parse()
            .unwrap_or_else(|_| panic!("'{line}' has no address"));
        (process, address)
    }

    /// Returns the id of the process.
    pub fn id(&self) -> u32 {
        self.0.id()
    }

    /// Kills the process (SIGKILL) and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }

    /// Pauses the process (SIGSTOP).
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes a paused process (SIGCONT).
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Starts a planned stop of the process (SIGTERM).
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Ends a worker without a notice (SIGUSR1).
    pub fn end_worker(&self) {
        self.signal(Signal::USR1);
    }

    /// Returns the exit status, or `None` while the process runs.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.0.try_wait().unwrap()
    }

    /// Waits for the end of the process and returns its exit code.
    pub fn exit_code(&mut self) -> Option<i32> {
        until("the process ends", || self.ended().is_some());
        self.ended()?.code()
    }

    fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.0), signal).unwrap();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
