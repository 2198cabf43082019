//! Request targets as a strict server reads them: decoded as RFC 3986 says, with `+` for a blank in
//! a query. What is no URI is refused.

use std::str::Bytes;

/// Longest target that is read, in bytes.
const MAX_LENGTH: usize = 8192;

/// Why a target is refused, as a status.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The target is no URI.
    Invalid = 400,
    /// The target is too long.
    TooLong = 414,
}

/// A decoded target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Segments of the path, without those that `.` and `..` fold away.
    pub segments: Vec<String>,
    query: Vec<(String, String)>,
}

impl Target {
    /// Decodes the target of a request.
    ///
    /// # Errors
    ///
    /// Returns the refusal of what is no URI.
    pub fn parse(text: &str) -> Result<Self, Refusal> {
        if text.len() > MAX_LENGTH {
            return Err(Refusal::TooLong);
        }
        // A fragment never reaches a server.
        if text.contains('#') || !text.starts_with('/') {
            return Err(Refusal::Invalid);
        }
        let (path, query) = text.split_once('?').unwrap_or((text, ""));
        let mut segments = Vec::new();
        for segment in path[1..].split('/') {
            match decode(segment)?.as_str() {
                "." => {}
                ".." => drop(segments.pop()),
                name => segments.push(name.to_owned()),
            }
        }
        let mut pairs = Vec::new();
        for pair in query.split('&').filter(|p| !p.is_empty()) {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            let decode = |text: &str| decode(&text.replace('+', "%20"));
            pairs.push((decode(name)?, decode(value)?));
        }
        Ok(Self {
            segments,
            query: pairs,
        })
    }

    /// Returns the value of a parameter of the query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let found = self.query.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }
}

fn decode(text: &str) -> Result<String, Refusal> {
    let mut bytes = text.bytes();
    let mut decoded = Vec::new();
    let digit = |bytes: &mut Bytes<'_>| {
        let digit = bytes.next().and_then(|b| char::from(b).to_digit(16));
        digit.ok_or(Refusal::Invalid)
    };
    while let Some(byte) = bytes.next() {
        match byte {
            b'%' => {
                let value = digit(&mut bytes)? << 4 | digit(&mut bytes)?;
                decoded.push(value as u8);
            }
            _ if byte.is_ascii_alphanumeric() || b"-._~!$&'()*+,;=:@/?".contains(&byte) => {
                decoded.push(byte);
            }
            _ => return Err(Refusal::Invalid),
        }
    }
    String::from_utf8(decoded).map_err(|_| Refusal::Invalid)
}
