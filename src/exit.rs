//! Exit codes of the program.

use std::process::ExitCode;

/// How a run of the program ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// The operation succeeded.
    Success,
    /// The operation failed.
    Failure,
    /// Options, settings, a sheet or a trace are invalid.
    Usage,
    /// Another operator's change came first.
    Conflict,
    /// A stated outcome of a replay was missed.
    Missed,
    /// A planned stop cut off requests at its deadline or at a second signal.
    CutOff,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        let code = match exit {
            Exit::Success => 0,
            Exit::Failure => 1,
            Exit::Usage => 2,
            Exit::Conflict => 3,
            Exit::Missed => 4,
            Exit::CutOff => 5,
        };
        ExitCode::from(code)
    }
}
