//! Strict reader of KDL documents: missing and unknown keys, wrong types and values out of range are reported
//! as problems with their positions in the file. All problems of a file are reported at once.

use flaxstand_consensus::rules::Value;
use kdl::{KdlDocument, KdlEntry, KdlNode, KdlValue};
use miette::{Diagnostic, LabeledSpan, NamedSource, SourceSpan};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::ops::RangeInclusive;
use thiserror::Error;

/// Maximum length of a block's name, bytes.
const MAX_NAME_BYTES: usize = 100;

/// A problem at a position in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Line number, starting at 1.
    pub line: usize,
    /// What was found and what was expected.
    pub message: String,
    span: SourceSpan,
}

/// All problems of a file.
#[derive(Debug, Error)]
pub struct SettingsError {
    source_code: NamedSource<String>,
    /// Problems in the order of the file.
    pub problems: Vec<Problem>,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = self.source_code.name();
        let line = |problem: &Problem| format!("{name}:{}: {}", problem.line, problem.message);
        let lines: Vec<String> = self.problems.iter().map(line).collect();
        f.write_str(&lines.join("\n"))
    }
}

impl Diagnostic for SettingsError {
    fn source_code(&self) -> Option<&dyn miette::SourceCode> {
        Some(&self.source_code)
    }
    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        let label =
            |problem: &Problem| LabeledSpan::new_with_span(Some(problem.message.clone()), problem.span);
        Some(Box::new(self.problems.iter().map(label)))
    }
}

/// The text of a file and the problems found so far.
#[derive(Debug)]
pub struct Source {
    name: String,
    text: String,
    problems: RefCell<Vec<Problem>>,
}

impl Source {
    /// Creates a source from the text of a file. `name` is the file name for error messages.
    pub fn new(name: &str, text: &str) -> Self {
        Source { name: name.into(), text: text.into(), problems: RefCell::default() }
    }

    /// Parses the text.
    ///
    /// # Errors
    /// The text is not valid KDL.
    pub fn parse(&self) -> Result<KdlDocument, SettingsError> {
        self.text.parse::<KdlDocument>().map_err(|error| {
            for diagnostic in &error.diagnostics {
                let message = diagnostic.message.clone().unwrap_or_else(|| "not a KDL document".into());
                let help = diagnostic.help.as_ref().map(|help| format!(" ({help})")).unwrap_or_default();
                self.report(diagnostic.span, format!("{message}{help}"));
            }
            self.error()
        })
    }

    /// Reports a problem at a position in the file.
    pub fn report(&self, span: SourceSpan, message: String) {
        let before = self.text.get(..span.offset()).unwrap_or(&self.text);
        let line = before.matches('\n').count() + 1;
        self.problems.borrow_mut().push(Problem { line, message, span });
    }

    fn error(&self) -> SettingsError {
        let mut problems = self.problems.take();
        problems.sort_by_key(|problem| (problem.line, problem.span.offset()));
        SettingsError { source_code: NamedSource::new(&self.name, self.text.clone()), problems }
    }

    /// Finishes reading.
    ///
    /// # Errors
    /// All problems reported so far, if any.
    pub fn finish(&self) -> Result<(), SettingsError> {
        if self.problems.borrow().is_empty() { Ok(()) } else { Err(self.error()) }
    }
}

/// A node of the document, or the document itself, with access to values by key. A key is a property of the
/// node (`cold from=0.2`) or a child with one argument (`cold { from 0.2 }`).
#[derive(Debug)]
pub struct Block<'a> {
    source: &'a Source,
    /// Name of the block in error messages.
    label: String,
    span: SourceSpan,
    entries: &'a [KdlEntry],
    children: &'a [KdlNode],
    known_keys: RefCell<BTreeSet<&'static str>>,
}

/// The document and nested blocks.
impl<'a> Block<'a> {
    /// Returns the document as a block.
    pub fn document(source: &'a Source, document: &'a KdlDocument) -> Self {
        Block {
            source,
            label: "the file".into(),
            span: SourceSpan::from((0, 0)),
            entries: &[],
            children: document.nodes(),
            known_keys: RefCell::default(),
        }
    }

    fn from_node(source: &'a Source, node: &'a KdlNode) -> Self {
        let mut label = node.name().value().to_owned();
        if let Some(KdlValue::String(name)) = node.get(0) {
            label = format!("{label} {name:?}");
        }
        Block {
            source,
            label,
            span: node.name().span(),
            entries: node.entries(),
            children: node.children().map_or(&[], |children| children.nodes()),
            known_keys: RefCell::default(),
        }
    }

    /// Returns the nested block of this key, if present.
    pub fn block(&self, key: &'static str) -> Option<Block<'a>> {
        let blocks = self.blocks(key);
        if let [_, second, ..] = &blocks[..] {
            second.report("given twice".into());
        }
        blocks.into_iter().next()
    }

    /// Returns the nested block of this key, and reports a problem if it is missing.
    pub fn required_block(&self, key: &'static str) -> Option<Block<'a>> {
        let block = self.block(key);
        if block.is_none() {
            self.report(format!("{key} is missing"));
        }
        block
    }

    /// Returns all nested blocks of this key, in the order of the file.
    pub fn blocks(&self, key: &'static str) -> Vec<Block<'a>> {
        self.mark_known(key);
        self.children_of(key).map(|node| Block::from_node(self.source, node)).collect()
    }

    /// Reports a problem with the block itself.
    pub fn report(&self, message: String) {
        self.source.report(self.span, format!("{}: {message}", self.label));
    }

    /// Reports every key that was not read as unknown. Call it after all keys of the block have been read.
    pub fn reject_unknown_keys(&self) {
        let known_keys = self.known_keys.borrow();
        let properties = self.entries.iter().filter_map(|entry| entry.name());
        for name in properties.chain(self.children.iter().map(|child| child.name())) {
            if !known_keys.contains(name.value()) {
                let known: Vec<&str> = known_keys.iter().copied().collect();
                let (label, unknown) = (&self.label, name.value());
                let message =
                    format!("unknown key {unknown:?} in {label}, expected one of {}", known.join(", "));
                self.source.report(name.span(), message);
            }
        }
    }
}

/// Values by key. An invalid value is reported, and the lowest or an empty value is returned for it.
impl Block<'_> {
    /// Reads a number within bounds.
    pub fn number(&self, key: &'static str, bounds: RangeInclusive<f64>, default: Option<f64>) -> f64 {
        let expected = format!("a number from {} to {}", bounds.start(), bounds.end());
        let convert = |value: &KdlValue| number(value).filter(|number| bounds.contains(number));
        self.read(key, &expected, default, convert).unwrap_or(*bounds.start())
    }

    /// Reads an integer within bounds.
    pub fn integer(&self, key: &'static str, bounds: RangeInclusive<u64>, default: Option<u64>) -> u64 {
        let expected = format!("a whole number from {} to {}", bounds.start(), bounds.end());
        let convert = |value: &KdlValue| integer_within(value, &bounds);
        self.read(key, &expected, default, convert).unwrap_or(*bounds.start())
    }

    /// Reads integers within bounds, as `key 1 2 3`; empty if the key is absent.
    pub fn integers(&self, key: &'static str, bounds: RangeInclusive<u64>) -> Vec<u64> {
        self.mark_known(key);
        let expected = format!("whole numbers from {} to {}", bounds.start(), bounds.end());
        let arguments = self.children_of(key).flat_map(|child| child.entries());
        let mut integers = Vec::new();
        for entry in arguments.chain(self.properties_of(key)) {
            match integer_within(entry.value(), &bounds) {
                Some(integer) => integers.push(integer),
                None => self.report_value(entry.span(), key, entry.value(), &expected),
            }
        }
        integers
    }

    /// Reads a range `key low high`; a single number is used for both.
    pub fn range(
        &self,
        key: &'static str,
        bounds: RangeInclusive<f64>,
        default: Option<(f64, f64)>,
    ) -> (f64, f64) {
        self.mark_known(key);
        let expected = format!("one or two rising numbers from {} to {}", bounds.start(), bounds.end());
        let lowest = (*bounds.start(), *bounds.start());
        let (entries, span) = match (self.children_of(key).next(), self.properties_of(key).next()) {
            (Some(node), _) => (node.entries(), node.span()),
            (None, Some(entry)) => (std::slice::from_ref(entry), entry.span()),
            (None, None) => {
                if default.is_none() {
                    self.report_missing(key, &expected);
                }
                return default.unwrap_or(lowest);
            }
        };
        let convert = |entry: &KdlEntry| number(entry.value()).filter(|number| bounds.contains(number));
        let numbers: Vec<f64> = entries.iter().filter_map(convert).collect();
        match (entries.len(), &numbers[..]) {
            (1, [one]) => (*one, *one),
            (2, [low, high]) if low <= high => (*low, *high),
            _ => {
                let given: Vec<String> = entries.iter().map(|entry| entry.value().to_string()).collect();
                self.report_value(span, key, &given.join(" "), &expected);
                lowest
            }
        }
    }

    /// Reads `#true` or `#false`.
    pub fn flag(&self, key: &'static str, default: bool) -> bool {
        self.read(key, "#true or #false", Some(default), KdlValue::as_bool).unwrap_or(default)
    }

    /// Reads a non-empty string.
    pub fn text(&self, key: &'static str, default: Option<&str>) -> String {
        let convert = |value: &KdlValue| value.as_string().filter(|text| !text.is_empty()).map(str::to_owned);
        self.read(key, "a text", default.map(str::to_owned), convert).unwrap_or_default()
    }

    /// Reads a string that `parse` converts. `expected` describes valid values in error messages.
    pub fn parsed<T>(
        &self,
        key: &'static str,
        expected: &str,
        default: Option<T>,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        self.read(key, expected, default, |value| value.as_string().and_then(&parse))
    }

    /// Reads strings that `parse` converts, as `key "one" "two"`, from all lines of this key; at least one.
    pub fn parsed_list<T>(
        &self,
        key: &'static str,
        expected: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Vec<T> {
        self.mark_known(key);
        let entries: Vec<&KdlEntry> = self.children_of(key).flat_map(|child| child.entries()).collect();
        if entries.is_empty() {
            self.report_missing(key, expected);
        }
        let mut values = Vec::new();
        for entry in entries {
            match entry.value().as_string().and_then(&parse) {
                Some(value) => values.push(value),
                None => self.report_value(entry.span(), key, entry.value(), expected),
            }
        }
        values
    }

    /// Reads one of the given keywords.
    pub fn choice<T: Copy>(
        &self,
        key: &'static str,
        keywords: &[(&str, T)],
        default: Option<T>,
    ) -> Option<T> {
        let names: Vec<String> = keywords.iter().map(|(keyword, _)| format!("{keyword:?}")).collect();
        let expected = format!("one of {}", names.join(", "));
        let convert = |value: &KdlValue| {
            let text = value.as_string()?;
            keywords.iter().find(|(keyword, _)| *keyword == text).map(|(_, value)| *value)
        };
        self.read(key, &expected, default, convert)
    }

    /// Reads the name of the block, which is its only argument.
    pub fn name(&self) -> String {
        let arguments: Vec<&KdlEntry> = self.entries.iter().filter(|entry| entry.name().is_none()).collect();
        let [entry] = arguments[..] else {
            self.report("expected one name as the argument".into());
            return String::new();
        };
        let name = entry.value().as_string().filter(|text| !text.is_empty() && text.len() <= MAX_NAME_BYTES);
        if name.is_none() {
            let (label, value) = (&self.label, entry.value());
            let message = format!(
                "{label}: {value} is not a valid name, expected a string of 1 to {MAX_NAME_BYTES} bytes"
            );
            self.source.report(entry.span(), message);
        }
        name.unwrap_or_default().to_owned()
    }

    /// Reads lines `key "NAME" VALUE`, with unique names; `check` validates each line.
    pub fn assignments<E: fmt::Display>(
        &self,
        key: &'static str,
        check: impl Fn(&str, &Value) -> Result<(), E>,
    ) -> BTreeMap<String, Value> {
        self.mark_known(key);
        let mut values = BTreeMap::new();
        for line in self.children_of(key) {
            let report = |message: &dyn fmt::Display| {
                self.source.report(line.span(), format!("{key} in {}: {message}", self.label));
            };
            let [name, value] = line.entries() else {
                report(&"expected a key and a value");
                continue;
            };
            let (Some(name), Some(value)) = (name.value().as_string(), value_of(value.value())) else {
                report(&"expected a key, and a number, a string, #true or #false");
                continue;
            };
            match check(name, &value) {
                Err(error) => report(&error),
                Ok(()) if values.contains_key(name) => report(&format!("{name:?} is given twice")),
                Ok(()) => drop(values.insert(name.to_owned(), value)),
            }
        }
        values
    }
}

/// Key look-up and problem reports.
impl<'a> Block<'a> {
    fn mark_known(&self, key: &'static str) {
        self.known_keys.borrow_mut().insert(key);
    }

    fn children_of(&self, key: &'static str) -> impl Iterator<Item = &'a KdlNode> + use<'a> {
        self.children.iter().filter(move |child| child.name().value() == key)
    }

    fn properties_of(&self, key: &'static str) -> impl Iterator<Item = &'a KdlEntry> + use<'a> {
        self.entries.iter().filter(move |entry| entry.name().is_some_and(|name| name.value() == key))
    }

    /// Finds the entry of this key. Reports a key that is given both as a property and as a child.
    fn find(&self, key: &'static str) -> Option<&'a KdlEntry> {
        self.mark_known(key);
        match (self.properties_of(key).next(), self.children_of(key).next()) {
            (Some(entry), None) => Some(entry),
            (None, Some(node)) => {
                if node.entries().len() != 1 || node.children().is_some() {
                    let message = format!("{key} in {}: expected one value", self.label);
                    self.source.report(node.span(), message);
                }
                node.entries().first()
            }
            (Some(entry), Some(_)) => {
                self.source.report(entry.span(), format!("{key} in {}: given twice", self.label));
                Some(entry)
            }
            (None, None) => None,
        }
    }

    fn read<T>(
        &self,
        key: &'static str,
        expected: &str,
        default: Option<T>,
        convert: impl Fn(&KdlValue) -> Option<T>,
    ) -> Option<T> {
        let Some(entry) = self.find(key) else {
            if default.is_none() {
                self.report_missing(key, expected);
            }
            return default;
        };
        let value = convert(entry.value());
        if value.is_none() {
            self.report_value(entry.span(), key, entry.value(), expected);
        }
        value
    }

    fn report_missing(&self, key: &str, expected: &str) {
        self.report(format!("{key} is missing, expected {expected}"));
    }

    fn report_value(&self, span: SourceSpan, key: &str, given: &dyn fmt::Display, expected: &str) {
        self.source.report(span, format!("{key} in {} is {given}, expected {expected}", self.label));
    }
}

fn integer_within(value: &KdlValue, bounds: &RangeInclusive<u64>) -> Option<u64> {
    let KdlValue::Integer(integer) = value else { return None };
    u64::try_from(*integer).ok().filter(|integer| bounds.contains(integer))
}

fn value_of(value: &KdlValue) -> Option<Value> {
    match value {
        KdlValue::String(text) => Some(Value::Text(text.clone())),
        KdlValue::Bool(flag) => Some(Value::Flag(*flag)),
        other => number(other).map(Value::Number),
    }
}

fn number(value: &KdlValue) -> Option<f64> {
    match value {
        KdlValue::Integer(integer) => Some(*integer as f64),
        KdlValue::Float(float) => Some(*float).filter(|float| float.is_finite()),
        _ => None,
    }
}
