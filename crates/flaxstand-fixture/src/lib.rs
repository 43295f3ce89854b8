//! Fixtures: bytes and texts that an earlier build wrote, under `tests/fixtures/` of the package that reads them.
//! A test makes them anew and compares. A fixture that is not there is written only when the variable
//! `FLAXSTAND_WRITE_FIXTURES` is set; one that is there is never written again.
#![forbid(unsafe_code)]

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::{Path, PathBuf};

/// Set to have fixtures that are missing written.
const WRITE_VARIABLE: &str = "FLAXSTAND_WRITE_FIXTURES";

/// The fixtures of one package.
#[derive(Clone, Debug)]
pub struct Fixtures {
    folder: PathBuf,
}

impl Fixtures {
    /// Of the package in this folder: pass `env!("CARGO_MANIFEST_DIR")`.
    pub fn of_package(folder: &str) -> Fixtures {
        Fixtures { folder: Path::new(folder).join("tests/fixtures") }
    }

    /// Where a fixture lies.
    pub fn path(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }

    /// The recorded bytes.
    ///
    /// # Panics
    /// There is no such fixture.
    #[track_caller]
    pub fn read(&self, name: &str) -> Vec<u8> {
        let path = self.path(name);
        std::fs::read(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
    }

    /// Compares bytes with the recorded ones.
    ///
    /// # Panics
    /// They differ, or there is no such fixture.
    #[track_caller]
    pub fn assert_bytes(&self, name: &str, actual: &[u8]) {
        self.write_if_missing(name, actual);
        let recorded = self.read(name);
        assert!(
            recorded == actual,
            "{name}: {} bytes recorded, {} made, not equal",
            recorded.len(),
            actual.len()
        );
    }

    /// Compares a text with the recorded one, and tells the first line that differs.
    ///
    /// # Panics
    /// They differ, or there is no such fixture.
    #[track_caller]
    pub fn assert_text(&self, name: &str, actual: &str) {
        self.write_if_missing(name, actual.as_bytes());
        let recorded = String::from_utf8(self.read(name)).expect("a fixture of text");
        if recorded == actual {
            return;
        }
        let (mut old, mut new) = (recorded.lines(), actual.lines());
        for number in 1.. {
            let (was, is) = (old.next(), new.next());
            assert_eq!(was, is, "{name}: line {number}, recorded on the left");
            assert!(was.is_some() || is.is_some(), "{name}: line ends differ");
        }
    }

    fn write_if_missing(&self, name: &str, bytes: &[u8]) {
        let path = self.path(name);
        if std::env::var_os(WRITE_VARIABLE).is_none() || path.exists() {
            return;
        }
        let folder = path.parent().expect("a fixture lies in a folder");
        std::fs::create_dir_all(folder).expect("the folder of fixtures can be made");
        std::fs::write(&path, bytes).expect("a fixture can be written");
    }
}

/// Bytes as hex digits.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

/// Bytes from hex digits.
///
/// # Panics
/// They are none.
pub fn unhex(text: &str) -> Vec<u8> {
    let digit = |at: usize| u8::from_str_radix(&text[at..at + 2], 16).expect("hex digits");
    (0..text.len()).step_by(2).map(digit).collect()
}

/// What a value's `Debug` form holds once names are taken out: numbers, strings, truth values, and for each variant
/// without fields a number by first appearance. It stays the same when types, fields and variants are renamed or
/// fields move into another struct in the same order.
pub fn values_of(debug: &str) -> String {
    let mut out = String::new();
    let mut variants: BTreeMap<String, usize> = BTreeMap::new();
    let mut rest = debug;
    while let Some(first) = rest.chars().next() {
        let length = token_length(rest, first);
        let (token, after) = rest.split_at(length);
        rest = after;
        if first == '"' || first.is_ascii_digit() || first == '-' && length > 1 || is_known_word(token) {
            let _ = writeln!(out, "{token}");
        } else if is_name_start(first) && stands_alone(after) {
            let next = variants.len();
            let _ = writeln!(out, "variant {}", variants.entry(token.to_owned()).or_insert(next));
        }
    }
    out
}

fn token_length(text: &str, first: char) -> usize {
    if first == '"' {
        return string_length(text);
    }
    let is_part: fn(char) -> bool = if first.is_ascii_digit() || first == '-' {
        |c| c.is_ascii_alphanumeric() || matches!(c, '.' | '-' | '+')
    } else if is_name_start(first) {
        |c| c.is_ascii_alphanumeric() || c == '_'
    } else {
        return first.len_utf8();
    };
    text.find(|c| !is_part(c)).unwrap_or(text.len())
}

fn string_length(text: &str) -> usize {
    let mut escaped = false;
    for (at, character) in text.char_indices().skip(1) {
        match character {
            '"' if !escaped => return at + 1,
            '\\' if !escaped => escaped = true,
            _ => escaped = false,
        }
    }
    text.len()
}

fn is_name_start(character: char) -> bool {
    character.is_ascii_alphabetic() || character == '_'
}

fn is_known_word(token: &str) -> bool {
    matches!(token, "true" | "false" | "None" | "Some" | "inf" | "NaN")
}

/// Whether the name before this text is a whole value: no field's name and no type's.
fn stands_alone(after: &str) -> bool {
    !after.starts_with([':', '(']) && !after.starts_with(" {")
}
