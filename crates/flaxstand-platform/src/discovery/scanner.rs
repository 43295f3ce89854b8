//! Finds the boundaries of values in a JSON text without parsing the values.
//!
//! The content of a value need not be valid JSON: only its quotes and brackets are examined. Each byte is
//! examined once, without recursion.

use super::{ListingError, ListingErrorKind};
use serde::de::DeserializeOwned;

/// A position in a JSON text.
#[derive(Clone, Debug)]
pub(super) struct Scanner<'a> {
    bytes: &'a [u8],
    at: usize,
}

/// A part of the text with its start offset.
#[derive(Clone, Copy, Debug)]
pub(super) struct Span<'a> {
    pub bytes: &'a [u8],
    pub at: usize,
}

impl<'a> Scanner<'a> {
    pub fn new(bytes: &'a [u8]) -> Self {
        Scanner { bytes, at: 0 }
    }

    /// Returns the next byte that is not white space without consuming it.
    pub fn peek(&mut self) -> Option<u8> {
        self.at += self.bytes[self.at..].iter().take_while(|byte| is_space(**byte)).count();
        self.bytes.get(self.at).copied()
    }

    /// Consumes the next byte if it equals `byte`. Returns whether it does.
    pub fn accept(&mut self, byte: u8) -> bool {
        let found = self.peek() == Some(byte);
        self.at += usize::from(found);
        found
    }

    /// Consumes the next byte, which must equal `byte`.
    pub fn expect(&mut self, byte: u8, expected: &'static str) -> Result<(), ListingError> {
        if self.accept(byte) { Ok(()) } else { Err(self.unexpected(expected)) }
    }

    /// Consumes one byte.
    pub fn skip_byte(&mut self) {
        self.at = self.bytes.len().min(self.at + 1);
    }

    /// Parses and consumes the next value if it is an object that deserialises to `T`; otherwise consumes
    /// nothing.
    pub fn object<T: DeserializeOwned>(&mut self) -> Option<T> {
        if self.peek() != Some(b'{') {
            return None;
        }
        let mut values = serde_json::Deserializer::from_slice(&self.bytes[self.at..]).into_iter::<T>();
        let value = values.next()?.ok()?;
        self.at += values.byte_offset();
        Some(value)
    }

    /// Consumes the next value.
    pub fn value(&mut self) -> Result<Span<'a>, ListingError> {
        match self.peek() {
            Some(b'"') => self.string("a string"),
            Some(b'{' | b'[') => self.nested(),
            _ => self.scalar(),
        }
    }

    /// Consumes the next value, which must be a string. The span includes the quotes.
    pub fn string(&mut self, expected: &'static str) -> Result<Span<'a>, ListingError> {
        if self.peek() != Some(b'"') {
            return Err(self.unexpected(expected));
        }
        let start = self.at;
        match string_length(&self.bytes[start..]) {
            Some(length) => Ok(self.consume(start, length)),
            None => Err(self.unexpected_end()),
        }
    }

    /// Returns the error for a missing token at the current position.
    pub fn unexpected(&mut self, expected: &'static str) -> ListingError {
        match self.peek() {
            Some(_) => self.error_here(ListingErrorKind::Expected(expected)),
            None => self.unexpected_end(),
        }
    }

    /// Returns an error at the current position.
    pub fn error_here(&self, kind: ListingErrorKind) -> ListingError {
        self.error_at(self.at, kind)
    }

    /// Returns an error at offset `at` of the text.
    pub fn error_at(&self, at: usize, kind: ListingErrorKind) -> ListingError {
        let before = &self.bytes[..at];
        let line_start = before.iter().rposition(|byte| *byte == b'\n').map_or(0, |newline| newline + 1);
        let line = 1 + before.iter().filter(|byte| **byte == b'\n').count();
        ListingError { line, column: 1 + at - line_start, kind }
    }

    fn unexpected_end(&self) -> ListingError {
        self.error_at(self.bytes.len(), ListingErrorKind::UnexpectedEnd)
    }

    fn consume(&mut self, start: usize, length: usize) -> Span<'a> {
        self.at = start + length;
        Span { bytes: &self.bytes[start..self.at], at: start }
    }

    /// Consumes an object or an array. Does not check that brackets are closed by their own kind.
    fn nested(&mut self) -> Result<Span<'a>, ListingError> {
        let start = self.at;
        let mut depth = 0usize;
        while let Some(byte) = self.bytes.get(self.at) {
            if *byte == b'"' {
                self.string("a string")?;
                continue;
            }
            self.at += 1;
            match byte {
                b'{' | b'[' => depth += 1,
                b'}' | b']' if depth == 1 => return Ok(self.consume(start, self.at - start)),
                b'}' | b']' => depth -= 1,
                _ => {}
            }
        }
        Err(self.unexpected_end())
    }

    /// Consumes a number or a literal. One at the end of the text is an error, as it may be truncated.
    fn scalar(&mut self) -> Result<Span<'a>, ListingError> {
        let ends = |byte: u8| is_space(byte) || b",:\"{}[]".contains(&byte);
        let length = self.bytes[self.at..].iter().take_while(|byte| !ends(**byte)).count();
        match length {
            0 => Err(self.unexpected("a value")),
            _ if self.at + length == self.bytes.len() => Err(self.unexpected_end()),
            _ => Ok(self.consume(self.at, length)),
        }
    }
}

/// Whether the byte is JSON white space.
pub(super) fn is_space(byte: u8) -> bool {
    matches!(byte, b' ' | b'\t' | b'\n' | b'\r')
}

/// Returns the length of the string at the start of `bytes` including its quotes, or `None` if it is
/// unterminated.
fn string_length(bytes: &[u8]) -> Option<usize> {
    let mut at = 1;
    loop {
        at += bytes.get(at..)?.iter().position(|byte| matches!(byte, b'"' | b'\\'))?;
        if bytes[at] == b'"' {
            return Some(at + 1);
        }
        at += 2;
    }
}
