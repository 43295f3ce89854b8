//! Finds where the values of a JSON text begin and end, without reading them.
//!
//! What is inside a value need not be valid JSON: only its quotes and brackets are looked at. Each byte is
//! looked at once, without recursion.

use super::{ListingError, ListingFault};
use serde::de::DeserializeOwned;

/// A position in a JSON text.
#[derive(Clone, Debug)]
pub(super) struct Scanner<'a> {
    bytes: &'a [u8],
    at: usize,
}

/// A piece of the text, and where it begins.
#[derive(Clone, Copy, Debug)]
pub(super) struct Span<'a> {
    pub bytes: &'a [u8],
    pub at: usize,
}

impl<'a> Scanner<'a> {
    pub fn new(bytes: &'a [u8]) -> Self {
        Scanner { bytes, at: 0 }
    }

    /// The next byte that is not white space, without passing it.
    pub fn peek(&mut self) -> Option<u8> {
        self.at += self.bytes[self.at..].iter().take_while(|byte| is_space(**byte)).count();
        self.bytes.get(self.at).copied()
    }

    /// Passes the next byte if it is this one; says whether it was.
    pub fn accept(&mut self, byte: u8) -> bool {
        let found = self.peek() == Some(byte);
        self.at += usize::from(found);
        found
    }

    /// Passes the next byte, which must be this one.
    pub fn expect(&mut self, byte: u8, expected: &'static str) -> Result<(), ListingError> {
        if self.accept(byte) { Ok(()) } else { Err(self.unexpected(expected)) }
    }

    /// Passes the next byte, whatever it is.
    pub fn skip_byte(&mut self) {
        self.at = self.bytes.len().min(self.at + 1);
    }

    /// Reads the next value and passes it, if it is an object that reads as a `T`; passes nothing if not.
    pub fn object<T: DeserializeOwned>(&mut self) -> Option<T> {
        if self.peek() != Some(b'{') {
            return None;
        }
        let mut values = serde_json::Deserializer::from_slice(&self.bytes[self.at..]).into_iter::<T>();
        let value = values.next()?.ok()?;
        self.at += values.byte_offset();
        Some(value)
    }

    /// Passes the next value.
    pub fn value(&mut self) -> Result<Span<'a>, ListingError> {
        match self.peek() {
            Some(b'"') => self.string("a string"),
            Some(b'{' | b'[') => self.nested(),
            _ => self.scalar(),
        }
    }

    /// Passes the next value, which must be a string. The span has the quotes too.
    pub fn string(&mut self, expected: &'static str) -> Result<Span<'a>, ListingError> {
        if self.peek() != Some(b'"') {
            return Err(self.unexpected(expected));
        }
        let begin = self.at;
        match string_length(&self.bytes[begin..]) {
            Some(length) => Ok(self.pass(begin, length)),
            None => Err(self.cut_off()),
        }
    }

    /// The error that something else was expected here.
    pub fn unexpected(&mut self, expected: &'static str) -> ListingError {
        match self.peek() {
            Some(_) => self.error_here(ListingFault::Expected(expected)),
            None => self.cut_off(),
        }
    }

    /// An error at the position of this scanner.
    pub fn error_here(&self, fault: ListingFault) -> ListingError {
        self.error_at(self.at, fault)
    }

    /// An error at this position of the text.
    pub fn error_at(&self, at: usize, fault: ListingFault) -> ListingError {
        let before = &self.bytes[..at];
        let line_begin = before.iter().rposition(|byte| *byte == b'\n').map_or(0, |newline| newline + 1);
        let line = 1 + before.iter().filter(|byte| **byte == b'\n').count();
        ListingError { line, column: 1 + at - line_begin, fault }
    }

    fn cut_off(&self) -> ListingError {
        self.error_at(self.bytes.len(), ListingFault::CutOff)
    }

    fn pass(&mut self, begin: usize, length: usize) -> Span<'a> {
        self.at = begin + length;
        Span { bytes: &self.bytes[begin..self.at], at: begin }
    }

    /// Passes an object or an array. Whether each bracket is closed by one of its kind is not looked at.
    fn nested(&mut self) -> Result<Span<'a>, ListingError> {
        let begin = self.at;
        let mut depth = 0usize;
        while let Some(byte) = self.bytes.get(self.at) {
            if *byte == b'"' {
                self.string("a string")?;
                continue;
            }
            self.at += 1;
            match byte {
                b'{' | b'[' => depth += 1,
                b'}' | b']' if depth == 1 => return Ok(self.pass(begin, self.at - begin)),
                b'}' | b']' => depth -= 1,
                _ => {}
            }
        }
        Err(self.cut_off())
    }

    /// Passes a number or a word. One at the end of the text may be cut off.
    fn scalar(&mut self) -> Result<Span<'a>, ListingError> {
        let ends = |byte: u8| is_space(byte) || b",:\"{}[]".contains(&byte);
        let length = self.bytes[self.at..].iter().take_while(|byte| !ends(**byte)).count();
        match length {
            0 => Err(self.unexpected("a value")),
            _ if self.at + length == self.bytes.len() => Err(self.cut_off()),
            _ => Ok(self.pass(self.at, length)),
        }
    }
}

/// Whether JSON takes this byte as white space.
pub(super) fn is_space(byte: u8) -> bool {
    matches!(byte, b' ' | b'\t' | b'\n' | b'\r')
}

/// The length of the string that begins there, its quotes included; `None` if it does not end.
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
