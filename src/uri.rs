//! Request targets that are built from names (pure functions).

use std::fmt;

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};

/// Characters that are encoded: all but those that RFC 3986 calls unreserved.
const ENCODED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');
/// Maximum length of an encoded name in bytes. With the rest of the target it stays below the 8000
/// bytes that all servers should read (RFC 9110, section 4.1).
const MAX_NAME: usize = 7500;

/// Why a name cannot stand in a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NameError {
    /// The name is empty.
    Empty,
    /// Servers take `.` and `..` in a path for steps in it, encoded or not.
    Dots,
    /// The encoded name is too long.
    TooLong,
}

impl fmt::Display for NameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Empty => "the name is empty",
            Self::Dots => "the name is '.' or '..'",
            Self::TooLong => "the name is too long for a URI",
        })
    }
}

impl std::error::Error for NameError {}

/// The path and query of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    text: String,
    has_query: bool,
}

impl Target {
    /// Builds the target of a path from its segments, which are not encoded.
    ///
    /// # Errors
    ///
    /// Returns an error when a segment cannot stand in a path.
    pub fn of_path(segments: &[&str]) -> Result<Self, NameError> {
        let mut text = String::new();
        for segment in segments {
            check_segment(segment)?;
            text.push('/');
            text.extend(utf8_percent_encode(segment, ENCODED));
        }
        Ok(Self {
            text,
            has_query: false,
        })
    }

    /// Adds a parameter to the query.
    ///
    /// # Errors
    ///
    /// Returns an error when the value is too long.
    pub fn with(mut self, name: &str, value: &str) -> Result<Self, NameError> {
        check_length(value)?;
        self.text.push(if self.has_query { '&' } else { '?' });
        self.has_query = true;
        self.text.extend(utf8_percent_encode(name, ENCODED));
        self.text.push('=');
        self.text.extend(utf8_percent_encode(value, ENCODED));
        Ok(self)
    }

    /// Returns the target as it stands in a request.
    pub fn as_str(&self) -> &str {
        &self.text
    }
}

impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}

/// Checks that a name can stand in a path as a segment.
///
/// # Errors
///
/// Returns the reason why it cannot.
pub fn check_segment(name: &str) -> Result<(), NameError> {
    match name {
        "" => Err(NameError::Empty),
        "." | ".." => Err(NameError::Dots),
        _ => check_length(name),
    }
}

/// Checks that a name can stand in a query as a value.
///
/// # Errors
///
/// Returns the reason why it cannot.
pub fn check_length(name: &str) -> Result<(), NameError> {
    let length: usize = utf8_percent_encode(name, ENCODED).map(str::len).sum();
    if length > MAX_NAME {
        return Err(NameError::TooLong);
    }
    Ok(())
}
