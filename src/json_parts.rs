//! Splits JSON texts into their parts without reading these, so that a part that cannot be read spoils no
//! other (pure functions).
//!
//! Parsers end at the first byte that they cannot read. Here only brackets and quotes have to match.

use anyhow::Context;
use serde::de::DeserializeOwned;

/// Returns the text of a member of an object.
///
/// # Errors
///
/// Returns an error when the text is no object or lacks the member.
pub fn member<'a>(text: &'a [u8], name: &str) -> anyhow::Result<&'a [u8]> {
    let members = members(text).context("the text is no JSON object")?;
    let quoted = format!("\"{name}\"");
    let found = members.into_iter().find(|(n, _)| *n == quoted.as_bytes());
    Ok(found.with_context(|| format!("'{name}' is missing"))?.1)
}

/// Reads a member of an object.
///
/// # Errors
///
/// Returns an error when the member is missing or cannot be read.
pub fn read_member<T: DeserializeOwned>(text: &[u8], name: &str) -> anyhow::Result<T> {
    let text = member(text, name)?;
    serde_json::from_slice(text).with_context(|| format!("'{name}' cannot be read"))
}

/// Returns the texts of the elements of an array that is a member of an object.
///
/// # Errors
///
/// Returns an error when there is no such array.
pub fn member_elements<'a>(text: &'a [u8], name: &str) -> anyhow::Result<Vec<&'a [u8]>> {
    let elements = elements(member(text, name)?);
    elements.with_context(|| format!("'{name}' is no array"))
}

/// Returns the texts of the elements of an array, or `None` when the text is no array.
pub fn elements(text: &[u8]) -> Option<Vec<&[u8]>> {
    let mut scanner = Scanner { text, at: 0 };
    let elements = scanner.list(b'[', b']', Scanner::value)?;
    scanner.is_at_end().then_some(elements)
}

/// Returns the names, with their quotes, and the texts of the members of an object, or `None` when the
/// text is no object.
pub fn members(text: &[u8]) -> Option<Vec<(&[u8], &[u8])>> {
    let mut scanner = Scanner { text, at: 0 };
    let members = scanner.list(b'{', b'}', |s| {
        let name = s.value().filter(|n| n.starts_with(b"\""))?;
        s.skip(b':')?;
        Some((name, s.value()?))
    })?;
    scanner.is_at_end().then_some(members)
}

struct Scanner<'a> {
    text: &'a [u8],
    at: usize,
}

impl<'a> Scanner<'a> {
    fn peek(&self) -> Option<u8> {
        self.text.get(self.at).copied()
    }

    fn skip_space(&mut self) {
        while self.peek().is_some_and(|b| b.is_ascii_whitespace()) {
            self.at += 1;
        }
    }

    /// Skips a byte and the white space before it, or returns `None` at another byte.
    fn skip(&mut self, byte: u8) -> Option<()> {
        self.skip_space();
        if self.peek()? != byte {
            return None;
        }
        self.at += 1;
        Some(())
    }

    fn is_at_end(&mut self) -> bool {
        self.skip_space();
        self.at == self.text.len()
    }

    fn list<T>(
        &mut self,
        open: u8,
        close: u8,
        part: impl Fn(&mut Self) -> Option<T>,
    ) -> Option<Vec<T>> {
        self.skip(open)?;
        let mut parts = Vec::new();
        if self.skip(close).is_some() {
            return Some(parts);
        }
        loop {
            parts.push(part(self)?);
            if self.skip(close).is_some() {
                return Some(parts);
            }
            self.skip(b',')?;
        }
    }

    /// Skips a value and returns its text.
    fn value(&mut self) -> Option<&'a [u8]> {
        self.skip_space();
        let start = self.at;
        match self.peek()? {
            b'"' => self.skip_string()?,
            b'{' | b'[' => self.skip_nested()?,
            _ => self.skip_literal(),
        }
        Some(&self.text[start..self.at]).filter(|text| !text.is_empty())
    }

    fn skip_string(&mut self) -> Option<()> {
        self.at += 1;
        loop {
            let byte = self.peek()?;
            self.at += if byte == b'\\' { 2 } else { 1 };
            if byte == b'"' {
                return Some(());
            }
        }
    }

    fn skip_nested(&mut self) -> Option<()> {
        let mut depth = 0_usize;
        loop {
            match self.peek()? {
                b'"' => {
                    self.skip_string()?;
                    continue;
                }
                b'{' | b'[' => depth += 1,
                b'}' | b']' => depth -= 1,
                _ => {}
            }
            self.at += 1;
            if depth == 0 {
                return Some(());
            }
        }
    }

    fn skip_literal(&mut self) {
        let is_end = |b: u8| b.is_ascii_whitespace() || b",:[]{}\"".contains(&b);
        while self.peek().is_some_and(|b| !is_end(b)) {
            self.at += 1;
        }
    }
}
