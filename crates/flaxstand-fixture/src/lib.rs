//! Fixtures: bytes and texts recorded from an earlier build, under `tests/fixtures/` of the package that
//! reads them. A test produces them again and compares. A missing fixture is written only if the environment
//! variable `FLAXSTAND_WRITE_FIXTURES` is set; an existing one is never overwritten.
//!
//! [`RecordedArrivals`] is for tests that depend on the kernel recording when bytes arrive.
#![forbid(unsafe_code)]

mod arrivals;

pub use arrivals::RecordedArrivals;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::{Path, PathBuf};

/// Environment variable that makes tests write missing fixtures.
const WRITE_VARIABLE: &str = "FLAXSTAND_WRITE_FIXTURES";

/// The fixtures of one package.
#[derive(Clone, Debug)]
pub struct Fixtures {
    directory: PathBuf,
}

impl Fixtures {
    /// Fixtures of the package in a directory; pass `env!("CARGO_MANIFEST_DIR")`.
    pub fn of_package(directory: &str) -> Fixtures {
        Fixtures { directory: Path::new(directory).join("tests/fixtures") }
    }

    /// Path of a fixture.
    pub fn path(&self, name: &str) -> PathBuf {
        self.directory.join(name)
    }

    /// Reads the recorded bytes.
    ///
    /// # Panics
    /// If the fixture cannot be read.
    #[track_caller]
    pub fn read(&self, name: &str) -> Vec<u8> {
        let path = self.path(name);
        std::fs::read(&path).unwrap_or_else(|e| panic!("cannot read fixture {}: {e}", path.display()))
    }

    /// Compares bytes with the recorded ones.
    ///
    /// # Panics
    /// If they differ, or the fixture cannot be read.
    #[track_caller]
    pub fn assert_bytes(&self, name: &str, actual: &[u8]) {
        self.write_if_missing(name, actual);
        let recorded = self.read(name);
        assert!(
            recorded == actual,
            "{name} differs: {} bytes recorded, {} bytes produced",
            recorded.len(),
            actual.len()
        );
    }

    /// Compares a text with the recorded one line by line.
    ///
    /// # Panics
    /// If they differ, with the first differing line, or if the fixture cannot be read.
    #[track_caller]
    pub fn assert_text(&self, name: &str, actual: &str) {
        self.write_if_missing(name, actual.as_bytes());
        let recorded = String::from_utf8(self.read(name)).expect("a text fixture is valid UTF-8");
        if recorded == actual {
            return;
        }
        let (mut recorded_lines, mut actual_lines) = (recorded.lines(), actual.lines());
        for number in 1.. {
            let (expected, found) = (recorded_lines.next(), actual_lines.next());
            assert_eq!(expected, found, "{name}: line {number}, recorded on the left");
            assert!(expected.is_some() || found.is_some(), "{name}: line endings differ");
        }
    }

    fn write_if_missing(&self, name: &str, bytes: &[u8]) {
        let path = self.path(name);
        if std::env::var_os(WRITE_VARIABLE).is_none() || path.exists() {
            return;
        }
        let directory = path.parent().expect("a fixture path has a parent directory");
        std::fs::create_dir_all(directory).expect("cannot create the fixture directory");
        std::fs::write(&path, bytes).expect("cannot write the fixture");
    }
}

/// Encodes bytes as hex digits.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

/// Decodes bytes from hex digits.
///
/// # Panics
/// If the text is not a sequence of pairs of hex digits.
pub fn unhex(text: &str) -> Vec<u8> {
    let digit = |at: usize| u8::from_str_radix(&text[at..at + 2], 16).expect("a pair of hex digits");
    (0..text.len()).step_by(2).map(digit).collect()
}

/// Lists the values in a `Debug` text without names: numbers, strings, booleans, and for each variant without
/// fields a number in the order of first appearance. The list does not change when types, fields and variants
/// are renamed, or when fields move to another struct in the same order.
pub fn values_of(debug: &str) -> String {
    let mut out = String::new();
    let mut variants: BTreeMap<String, usize> = BTreeMap::new();
    let mut rest = debug;
    while let Some(first) = rest.chars().next() {
        let length = token_length(rest, first);
        let (token, after) = rest.split_at(length);
        rest = after;
        if first == '"' || first.is_ascii_digit() || first == '-' && length > 1 || is_value_keyword(token) {
            let _ = writeln!(out, "{token}");
        } else if is_name_start(first) && is_complete_value(after) {
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

fn is_value_keyword(token: &str) -> bool {
    matches!(token, "true" | "false" | "None" | "Some" | "inf" | "NaN")
}

/// Whether the name before this text is a complete value, not the name of a field or of a type with fields.
fn is_complete_value(after: &str) -> bool {
    !after.starts_with([':', '(']) && !after.starts_with(" {")
}
