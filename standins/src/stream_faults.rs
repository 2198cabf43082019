//! Faults in the transfer of engine streams to the caller.

use serde::Deserialize;

/// Kind of a fault of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum StreamFaultKind {
    /// The connection stays open without further bytes, and the engine continues.
    Silence,
    /// The connection closes in the middle of the stream.
    Truncate,
    /// The engine reports an error and ends the stream.
    Fail,
    /// An event is delayed.
    Late,
    /// An event is sent twice.
    Duplicate,
    /// Two events are sent in the wrong order.
    Reorder,
    /// An event of another stream is inserted.
    Foreign,
    /// The process ends at once.
    Death,
}

/// A fault of streams.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StreamFault {
    /// Kind.
    pub kind: StreamFaultKind,
    /// Events that are sent before the fault.
    #[serde(default)]
    pub after: u64,
    /// Delay of a late event, in milliseconds.
    #[serde(default)]
    pub ms: u64,
    /// Maximum number of affected connections; unlimited if omitted.
    #[serde(default)]
    pub count: Option<u32>,
    /// Text that the prompt contains; any prompt when empty.
    #[serde(default)]
    pub prompt: String,
    /// Whether connections that resume a stream are affected, too.
    #[serde(default)]
    pub resumed: bool,
}

/// Takes the first fault that applies to a new connection.
pub fn pick(faults: &mut [StreamFault], prompt: &str, resumed: bool) -> Option<StreamFault> {
    let fault = faults.iter_mut().find(|fault| {
        let left = fault.count != Some(0);
        left && prompt.contains(&fault.prompt) && (fault.resumed || !resumed)
    })?;
    if let Some(count) = &mut fault.count {
        *count -= 1;
    }
    Some(fault.clone())
}
