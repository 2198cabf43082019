//! Marks by which a request is known again, whichever instance it comes to (no I/O).

use hyper::header;

use crate::{
    fnv,
    ids::{Fingerprint, PartId},
};

use super::forward::Call;

/// A mark of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Mark {
    /// A part of the prompt, which other requests may share.
    Part(PartId),
    /// The request itself, which only its repeats share.
    Request(Fingerprint),
}

impl Mark {
    /// Returns the part of a prompt, unless the mark is of another kind.
    pub fn part(&self) -> Option<PartId> {
        match self {
            Self::Part(id) => Some(*id),
            Self::Request(_) => None,
        }
    }

    /// Returns the fingerprint of a request, unless the mark is of another kind.
    pub fn request(&self) -> Option<Fingerprint> {
        match self {
            Self::Request(id) => Some(*id),
            Self::Part(_) => None,
        }
    }
}

impl std::fmt::Display for Mark {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Part(id) => write!(f, "{id:x}"),
            Self::Request(id) => write!(f, "request-{id:x}"),
        }
    }
}

/// Returns marks in the form of the log.
pub fn names(marks: &[Mark]) -> String {
    let names: Vec<String> = marks.iter().map(Mark::to_string).collect();
    names.join(",")
}

/// Returns the marks of the parts of a prompt.
pub fn of_parts(parts: Vec<PartId>) -> Vec<Mark> {
    parts.into_iter().map(Mark::Part).collect()
}

/// Returns the fingerprint of a call: a hash of the method, host, path, query, credentials and body,
/// which repeats of the call share.
pub fn fingerprint(call: &Call) -> Fingerprint {
    let header = |name| call.headers.get(name).map_or(&[][..], |v| v.as_bytes());
    // Instances may be called at different ports.
    let host = header(header::HOST).split(|b| *b == b':').next();
    let host = host.unwrap_or_default();
    let target = call.uri.path_and_query().map_or("", |p| p.as_str());
    let fields = [
        call.method.as_str().as_bytes(),
        host,
        target.as_bytes(),
        header(header::AUTHORIZATION),
        &call.body,
    ];
    fields.iter().fold(fnv::OFFSET_BASIS, |hash, field| {
        let hash = fnv::extend(hash, field.len().to_le_bytes());
        fnv::extend(hash, field.iter().copied())
    })
}
