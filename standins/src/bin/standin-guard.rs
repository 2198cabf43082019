//! Kills the processes of a test once the test has ended in any way.
//!
//! Lines `+PID` and `-PID` on the standard input add and remove a process.

use std::{collections::BTreeSet, io};

use rustix::process::{Pid, Signal, kill_process};

fn main() {
    let mut processes = BTreeSet::new();
    for line in io::stdin().lines().map_while(Result::ok) {
        let Some((sign, Ok(id))) = line
            .split_at_checked(1)
            .map(|(s, id)| (s, id.parse::<i32>()))
        else {
            continue;
        };
        if sign == "+" {
            processes.insert(id);
        } else {
            processes.remove(&id);
        }
    }
    for process in processes.into_iter().filter_map(Pid::from_raw) {
        let _ = kill_process(process, Signal::KILL);
    }
}
