//! Faults of engine streams on their way to the caller.

use serde::Deserialize;

/// What goes wrong on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum StreamFaultKind {
    /// The connection stays open and carries no more bytes; the engine runs on.
    Silence,
    /// The connection closes in the middle.
    Truncate,
    /// The engine reports an error and ends the stream.
    Fail,
    /// An event comes late.
    Late,
    /// An event comes twice.
    Duplicate,
    /// Two events come in the wrong order.
    Reorder,
    /// An event of another stream comes in between.
    Foreign,
    /// The process ends at once.
    Death,
}

/// A fault of streams.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StreamFault {
    /// What goes wrong.
    pub kind: StreamFaultKind,
    /// Events that the connection carries before.
    #[serde(default)]
    pub after: u64,
    /// Delay of a late event, in milliseconds.
    #[serde(default)]
    pub ms: u64,
    /// Connections that are touched at most; all when left out.
    #[serde(default)]
    pub count: Option<u32>,
    /// Text that the prompt contains; any prompt when empty.
    #[serde(default)]
    pub prompt: String,
    /// Whether connections that resume a stream are touched, too.
    #[serde(default)]
    pub resumed: bool,
}

/// Takes the first fault for a new connection.
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
