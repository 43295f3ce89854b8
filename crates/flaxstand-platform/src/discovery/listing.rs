//! Reads a list of targets entry by entry: an entry that can't be read does not cost the others.

use super::scanner::{Scanner, Span, is_space};
use super::{Listing, Target};
use serde::de::{DeserializeOwned, IgnoredAny};
use thiserror::Error;

/// Largest number of problems in [`ReadListing::problems`].
pub const MAX_PROBLEMS: usize = 16;
/// Longest cause of a problem, bytes; longer ones are cut.
const MAX_CAUSE_BYTES: usize = 200;

/// What stands between two entries, white space left out.
const ENTRY_BOUNDARY: &[u8] = b"},{";

/// Keys of the list and of its entries.
const REVISION: &str = "rev";
const IS_ALL: &str = "all";
const TARGETS: &str = "targets";
const UID: &str = "uid";

/// A list as far as it can be read.
#[derive(Clone, Debug, PartialEq)]
pub struct ReadListing {
    /// The list with the entries that can be read, in their order.
    pub listing: Listing,
    /// The names in entries that can't be read, in their order. A name may be here more than once, and in
    /// `listing` too.
    pub unreadable: Vec<String>,
    /// The first entries that can't be read, at most [`MAX_PROBLEMS`].
    pub problems: Vec<EntryProblem>,
    /// How many entries can't be read.
    pub problem_count: usize,
    /// How many of these have no name that can be made out: any target may be meant.
    pub nameless_count: usize,
}

/// An entry that can't be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryProblem {
    /// Its place in the list, from 0.
    pub index: usize,
    /// Its name, where that can be made out.
    pub uid: Option<String>,
    /// Why it can't be read. A line and a column in it count from the entry's beginning.
    pub cause: String,
}

/// Why a list can't be read at all.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("line {line}, column {column}: {fault}")]
pub struct ListingError {
    /// Line of the text, from 1.
    pub line: usize,
    /// Byte in the line, from 1.
    pub column: usize,
    /// What is wrong there.
    pub fault: ListingFault,
}

/// What is wrong with a list that can't be read at all.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ListingFault {
    /// The text ends before the list does.
    #[error("the text ends before the list does")]
    CutOff,
    /// Something else belongs there.
    #[error("expected {0}")]
    Expected(&'static str),
    /// The list lacks a key that it must have.
    #[error("the list ends here without \"{0}\"")]
    Missing(&'static str),
    /// A key is there for the second time.
    #[error("\"{0}\" is there twice")]
    Duplicate(&'static str),
    /// A key or its value can't be read.
    #[error("{0}")]
    Unreadable(String),
    /// An entry is no valid JSON and holds what looks like the end of one entry and the beginning of the
    /// next: a misplaced quote or bracket may have made others a part of it.
    #[error("where this entry ends is in doubt")]
    DoubtfulEntry,
    /// Something follows the list.
    #[error("something follows the list")]
    TrailingBytes,
}

/// Reads a list. Its keys must be readable in full; each entry is read by itself.
///
/// # Errors
/// The text is not one JSON object with `rev`, `all` and an array `targets`, or where its entries begin and
/// end is in doubt.
pub fn read_listing(bytes: &[u8]) -> Result<ReadListing, ListingError> {
    let mut scanner = Scanner::new(bytes);
    scanner.expect(b'{', "an object")?;
    let mut envelope = Envelope::default();
    let mut is_closed = scanner.accept(b'}');
    while !is_closed {
        envelope.read_member(&mut scanner)?;
        is_closed = scanner.accept(b'}');
        if !is_closed {
            scanner.expect(b',', "a comma or the end of the object")?;
        }
    }
    let missing = |key| scanner.error_here(ListingFault::Missing(key));
    let revision = envelope.revision.ok_or_else(|| missing(REVISION))?;
    let is_full = envelope.is_full.ok_or_else(|| missing(IS_ALL))?;
    let entries = envelope.entries.ok_or_else(|| missing(TARGETS))?;
    if scanner.peek().is_some() {
        return Err(scanner.error_here(ListingFault::TrailingBytes));
    }
    Ok(ReadListing {
        listing: Listing { revision, is_full, targets: entries.targets },
        unreadable: entries.unreadable,
        problems: entries.problems,
        problem_count: entries.problem_count,
        nameless_count: entries.nameless_count,
    })
}

/// What is read of the list's object so far.
#[derive(Debug, Default)]
struct Envelope {
    revision: Option<u64>,
    is_full: Option<bool>,
    entries: Option<Entries>,
}

impl Envelope {
    /// Reads a key and its value. An unknown key is skipped, as in [`Listing`].
    fn read_member(&mut self, scanner: &mut Scanner<'_>) -> Result<(), ListingError> {
        let key_span = scanner.string("a key")?;
        let key: String = parse(scanner, key_span)?;
        scanner.expect(b':', "a colon")?;
        let duplicate = |key| Err(scanner.error_at(key_span.at, ListingFault::Duplicate(key)));
        match key.as_str() {
            REVISION if self.revision.is_some() => duplicate(REVISION),
            IS_ALL if self.is_full.is_some() => duplicate(IS_ALL),
            TARGETS if self.entries.is_some() => duplicate(TARGETS),
            REVISION => parse_value(scanner).map(|revision| self.revision = Some(revision)),
            IS_ALL => parse_value(scanner).map(|is_full| self.is_full = Some(is_full)),
            TARGETS => Entries::read(scanner).map(|entries| self.entries = Some(entries)),
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
        // The place that it names counts from the value's beginning.
        let cause = text.rsplit_once(" at line ").map_or(text.as_str(), |(cause, _)| cause);
        scanner.error_at(span.at, ListingFault::Unreadable(bounded(cause)))
    })
}

/// What is read of the list's entries so far.
#[derive(Debug, Default)]
struct Entries {
    targets: Vec<Target>,
    unreadable: Vec<String>,
    problems: Vec<EntryProblem>,
    problem_count: usize,
    nameless_count: usize,
}

impl Entries {
    /// Reads the array of entries.
    fn read(scanner: &mut Scanner<'_>) -> Result<Self, ListingError> {
        scanner.expect(b'[', "an array of targets")?;
        let mut entries = Entries::default();
        let mut is_closed = scanner.accept(b']');
        let mut index = 0;
        while !is_closed {
            match scanner.object() {
                Some(target) => entries.targets.push(target),
                None => entries.read_unreadable(scanner, index)?,
            }
            index += 1;
            is_closed = scanner.accept(b']');
            if !is_closed {
                scanner.expect(b',', "a comma or the end of the array")?;
            }
        }
        Ok(entries)
    }

    /// Skips an entry that can't be read and records what is known of it.
    fn read_unreadable(&mut self, scanner: &mut Scanner<'_>, index: usize) -> Result<(), ListingError> {
        let entry = scanner.value()?;
        if may_hold_others(entry.bytes) {
            return Err(scanner.error_at(entry.at, ListingFault::DoubtfulEntry));
        }
        let uids = find_uids(entry.bytes);
        if self.problems.len() < MAX_PROBLEMS {
            let (uid, cause) = (uids.first().cloned(), problem_cause(entry.bytes));
            self.problems.push(EntryProblem { index, uid, cause });
        }
        self.problem_count += 1;
        self.nameless_count += usize::from(uids.is_empty());
        self.unreadable.extend(uids);
        Ok(())
    }
}

/// Why this entry can't be read.
fn problem_cause(entry: &[u8]) -> String {
    // A derived reader would take an array of the fields' values too.
    if entry.first() != Some(&b'{') {
        return "expected an object".to_owned();
    }
    let error = serde_json::from_slice::<Target>(entry).err();
    error.map_or_else(String::new, |error| bounded(&error.to_string()))
}

/// Whether an entry that can't be read may be several, of which some can be.
fn may_hold_others(entry: &[u8]) -> bool {
    if serde_json::from_slice::<IgnoredAny>(entry).is_ok() {
        return false;
    }
    let dense: Vec<u8> = entry.iter().copied().filter(|byte| !is_space(*byte)).collect();
    dense.windows(ENTRY_BOUNDARY.len()).any(|window| window == ENTRY_BOUNDARY)
}

/// An error's text, which may quote the input, cut where it is long.
fn bounded(text: &str) -> String {
    match text.char_indices().find(|(at, _)| *at >= MAX_CAUSE_BYTES) {
        Some((end, _)) => format!("{}…", &text[..end]),
        None => text.to_owned(),
    }
}

/// Every name that an entry which can't be read gives itself: strings behind the key `uid` of its own object,
/// whatever else is wrong with it.
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
            uids.extend(uid);
        }
    }
    uids
}

fn read_string(bytes: &[u8]) -> Option<String> {
    serde_json::from_slice::<String>(bytes).ok()
}
