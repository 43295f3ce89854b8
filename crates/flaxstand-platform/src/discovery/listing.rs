//! Parses a list of targets entry by entry, so that an invalid entry does not affect the others.

use super::scanner::{Scanner, Span, is_space};
use super::{Listing, Target};
use serde::de::{DeserializeOwned, IgnoredAny};
use thiserror::Error;

/// Maximum number of entries in [`ParsedListing::invalid_entries`].
pub const MAX_REPORTED_ENTRIES: usize = 16;
/// Maximum length of an error message, bytes; longer ones are truncated.
const MAX_CAUSE_BYTES: usize = 200;

/// Maximum length of a name, a zone and an address of a target, bytes.
const MAX_TEXT_BYTES: usize = 255;

/// Bytes between two entries, ignoring white space.
const ENTRY_BOUNDARY: &[u8] = b"},{";

/// JSON keys of the list and of its entries.
const REVISION: &str = "rev";
const IS_ALL: &str = "all";
const TARGETS: &str = "targets";
const UID: &str = "uid";

/// A parsed list. Invalid entries are reported separately.
#[derive(Clone, Debug, PartialEq)]
pub struct ParsedListing {
    /// The list with its valid entries, in order.
    pub listing: Listing,
    /// The `uid` values found in invalid entries, in order. A `uid` may occur repeatedly, and in `listing` as
    /// well.
    pub invalid_uids: Vec<String>,
    /// The first invalid entries, at most [`MAX_REPORTED_ENTRIES`].
    pub invalid_entries: Vec<InvalidEntry>,
    /// Total number of invalid entries.
    pub invalid_count: usize,
    /// Number of invalid entries without a recognisable `uid`; these may refer to any target.
    pub unnamed_count: usize,
}

/// An invalid entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidEntry {
    /// Index of the entry in the list, from 0.
    pub index: usize,
    /// The `uid` of the entry, if it is recognisable.
    pub uid: Option<String>,
    /// Error message. Line and column in it are relative to the start of the entry.
    pub cause: String,
}

/// Error of parsing a list.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("line {line}, column {column}: {kind}")]
pub struct ListingError {
    /// Line of the text, from 1.
    pub line: usize,
    /// Byte in the line, from 1.
    pub column: usize,
    /// Kind of the error.
    pub kind: ListingErrorKind,
}

/// Kind of a [`ListingError`].
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ListingErrorKind {
    /// The input ends before the list is complete.
    #[error("unexpected end of input")]
    UnexpectedEnd,
    /// Another token is expected here.
    #[error("expected {0}")]
    Expected(&'static str),
    /// A required key is missing.
    #[error("missing key \"{0}\"")]
    Missing(&'static str),
    /// A key is repeated.
    #[error("duplicate key \"{0}\"")]
    Duplicate(&'static str),
    /// A key or its value is invalid.
    #[error("{0}")]
    InvalidMember(String),
    /// An entry is not valid JSON and contains a sequence that looks like a boundary between entries: because
    /// of a misplaced quote or bracket, it may include other entries.
    #[error("malformed entry: its end is ambiguous, and it may include other entries")]
    AmbiguousEntry,
    /// Other data follows the list.
    #[error("unexpected data after the list")]
    TrailingBytes,
}

/// Parses a list. All of its members must be valid; its entries are parsed independently of each other.
///
/// # Errors
/// The text is not a JSON object with `rev`, `all` and an array `targets`, or the boundaries of an entry are
/// ambiguous.
pub fn parse_listing(bytes: &[u8]) -> Result<ParsedListing, ListingError> {
    parse_bounded_listing(bytes, usize::MAX)
}

/// Parses a list like [`parse_listing`]. Entries after the first `max_entries` count as invalid ones without a `uid`.
///
/// # Errors
/// As for [`parse_listing`].
pub fn parse_bounded_listing(bytes: &[u8], max_entries: usize) -> Result<ParsedListing, ListingError> {
    let mut scanner = Scanner::new(bytes);
    scanner.expect(b'{', "an object")?;
    let mut envelope = Envelope::default();
    let mut is_closed = scanner.accept(b'}');
    while !is_closed {
        envelope.read_member(&mut scanner, max_entries)?;
        is_closed = scanner.accept(b'}');
        if !is_closed {
            scanner.expect(b',', "a comma or the end of the object")?;
        }
    }
    let missing = |key| scanner.error_here(ListingErrorKind::Missing(key));
    let revision = envelope.revision.ok_or_else(|| missing(REVISION))?;
    let is_full = envelope.is_full.ok_or_else(|| missing(IS_ALL))?;
    let entries = envelope.entries.ok_or_else(|| missing(TARGETS))?;
    if scanner.peek().is_some() {
        return Err(scanner.error_here(ListingErrorKind::TrailingBytes));
    }
    Ok(ParsedListing {
        listing: Listing { revision, is_full, targets: entries.targets },
        invalid_uids: entries.invalid_uids,
        invalid_entries: entries.invalid_entries,
        invalid_count: entries.invalid_count,
        unnamed_count: entries.unnamed_count,
    })
}

/// Members of the list object parsed so far.
#[derive(Debug, Default)]
struct Envelope {
    revision: Option<u64>,
    is_full: Option<bool>,
    entries: Option<Entries>,
}

impl Envelope {
    /// Parses a key and its value. Unknown keys are skipped, as when [`Listing`] is deserialised.
    fn read_member(&mut self, scanner: &mut Scanner<'_>, max_entries: usize) -> Result<(), ListingError> {
        let key_span = scanner.string("a key")?;
        let key: String = parse(scanner, key_span)?;
        scanner.expect(b':', "a colon")?;
        let duplicate = |key| Err(scanner.error_at(key_span.at, ListingErrorKind::Duplicate(key)));
        match key.as_str() {
            REVISION if self.revision.is_some() => duplicate(REVISION),
            IS_ALL if self.is_full.is_some() => duplicate(IS_ALL),
            TARGETS if self.entries.is_some() => duplicate(TARGETS),
            REVISION => parse_value(scanner).map(|revision| self.revision = Some(revision)),
            IS_ALL => parse_value(scanner).map(|is_full| self.is_full = Some(is_full)),
            TARGETS => Entries::read(scanner, max_entries).map(|entries| self.entries = Some(entries)),
            _ => parse_value(scanner).map(|IgnoredAny| ()),
        }
    }
}

fn parse_value<T: DeserializeOwned>(scanner: &mut Scanner<'_>) -> Result<T, ListingError> {
    let span = scanner.value()?;
    parse(scanner, span)
}

fn parse<T: DeserializeOwned>(scanner: &Scanner<'_>, span: Span<'_>) -> Result<T, ListingError> {
    serde_json::from_slice(span.bytes).map_err(|error| {
        let text = error.to_string();
        // Removes the position from the message: it is relative to the start of the value.
        let cause = text.rsplit_once(" at line ").map_or(text.as_str(), |(cause, _)| cause);
        scanner.error_at(span.at, ListingErrorKind::InvalidMember(truncated(cause)))
    })
}

/// Entries parsed so far.
#[derive(Debug, Default)]
struct Entries {
    targets: Vec<Target>,
    invalid_uids: Vec<String>,
    invalid_entries: Vec<InvalidEntry>,
    invalid_count: usize,
    unnamed_count: usize,
}

impl Entries {
    /// Parses the array of entries and keeps the first `max_entries`.
    fn read(scanner: &mut Scanner<'_>, max_entries: usize) -> Result<Self, ListingError> {
        scanner.expect(b'[', "an array of targets")?;
        let mut entries = Entries::default();
        let mut is_closed = scanner.accept(b']');
        let mut index = 0;
        while !is_closed {
            if index < max_entries {
                entries.read_entry(scanner, index)?;
            } else {
                scanner.value()?;
                entries.omit(index, max_entries);
            }
            index += 1;
            is_closed = scanner.accept(b']');
            if !is_closed {
                scanner.expect(b',', "a comma or the end of the array")?;
            }
        }
        Ok(entries)
    }

    /// Counts an entry that is not read, since the list has too many.
    fn omit(&mut self, index: usize, max_entries: usize) {
        if index == max_entries && self.invalid_entries.len() < MAX_REPORTED_ENTRIES {
            let cause = format!("expected at most {max_entries} entries");
            self.invalid_entries.push(InvalidEntry { index, uid: None, cause });
        }
        self.invalid_count += 1;
        self.unnamed_count += 1;
    }

    fn read_entry(&mut self, scanner: &mut Scanner<'_>, index: usize) -> Result<(), ListingError> {
        let start = scanner.clone();
        match scanner.object::<Target>() {
            Some(target) if has_valid_lengths(&target) => self.targets.push(target),
            _ => {
                *scanner = start;
                self.skip_invalid(scanner, index)?;
            }
        }
        Ok(())
    }

    /// Skips an invalid entry and records its `uid` values and its error.
    fn skip_invalid(&mut self, scanner: &mut Scanner<'_>, index: usize) -> Result<(), ListingError> {
        let entry = scanner.value()?;
        if may_include_others(entry.bytes) {
            return Err(scanner.error_at(entry.at, ListingErrorKind::AmbiguousEntry));
        }
        let uids = find_uids(entry.bytes);
        if self.invalid_entries.len() < MAX_REPORTED_ENTRIES {
            let (uid, cause) = (uids.first().cloned(), invalid_entry_cause(entry.bytes));
            self.invalid_entries.push(InvalidEntry { index, uid, cause });
        }
        self.invalid_count += 1;
        self.unnamed_count += usize::from(uids.is_empty());
        self.invalid_uids.extend(uids);
        Ok(())
    }
}

/// Returns the error message for an invalid entry.
fn invalid_entry_cause(entry: &[u8]) -> String {
    // A derived deserializer would also accept an array of the fields' values.
    if entry.first() != Some(&b'{') {
        return "expected an object".to_owned();
    }
    match serde_json::from_slice::<Target>(entry) {
        Ok(_) => format!("expected texts of at most {MAX_TEXT_BYTES} bytes"),
        Err(error) => truncated(&error.to_string()),
    }
}

/// Whether the texts of a target have allowed lengths.
fn has_valid_lengths(target: &Target) -> bool {
    [&target.uid, &target.zone, &target.address].iter().all(|text| text.len() <= MAX_TEXT_BYTES)
}

/// Whether an invalid entry may include other entries that are valid.
fn may_include_others(entry: &[u8]) -> bool {
    if serde_json::from_slice::<IgnoredAny>(entry).is_ok() {
        return false;
    }
    let compact: Vec<u8> = entry.iter().copied().filter(|byte| !is_space(*byte)).collect();
    compact.windows(ENTRY_BOUNDARY.len()).any(|window| window == ENTRY_BOUNDARY)
}

/// Truncates an error message, which may quote the input, to [`MAX_CAUSE_BYTES`].
fn truncated(text: &str) -> String {
    match text.char_indices().find(|(at, _)| *at >= MAX_CAUSE_BYTES) {
        Some((end, _)) => format!("{}…", &text[..end]),
        None => text.to_owned(),
    }
}

/// Returns all `uid` values of an invalid entry: the strings after a key `uid` of its outermost object.
fn find_uids(entry: &[u8]) -> Vec<String> {
    let mut uids = Vec::new();
    let mut scanner = Scanner::new(entry);
    if !scanner.accept(b'{') {
        return uids;
    }
    while let Some(byte) = scanner.peek() {
        if matches!(byte, b',' | b':' | b'}' | b']') {
            scanner.skip_byte();
            continue;
        }
        let Ok(value) = scanner.value() else { break };
        let is_string = byte == b'"';
        let is_uid_key =
            is_string && read_string(value.bytes).as_deref() == Some(UID) && scanner.accept(b':');
        if is_uid_key && scanner.peek() == Some(b'"') {
            let uid = scanner.value().ok().and_then(|uid| read_string(uid.bytes));
            uids.extend(uid.filter(|uid| uid.len() <= MAX_TEXT_BYTES));
        }
    }
    uids
}

fn read_string(bytes: &[u8]) -> Option<String> {
    serde_json::from_slice::<String>(bytes).ok()
}
