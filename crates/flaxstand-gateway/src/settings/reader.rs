//! Reads a KDL document strictly: what is missing, unknown, of another type or out of range is a problem
//! with its place in the file. All problems of a file are told at once.

use flaxstand_consensus::rules::Value;
use kdl::{KdlDocument, KdlEntry, KdlNode, KdlValue};
use miette::{Diagnostic, LabeledSpan, NamedSource, SourceSpan};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::ops::RangeInclusive;
use thiserror::Error;

/// Something wrong at a place in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Line, from 1.
    pub line: usize,
    /// What is wrong and what was expected.
    pub message: String,
    span: SourceSpan,
}

/// Everything wrong with a file.
#[derive(Debug, Error)]
pub struct SettingsError {
    source_code: NamedSource<String>,
    /// In the order of the file.
    pub problems: Vec<Problem>,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = self.source_code.name();
        let lines: Vec<String> =
            self.problems.iter().map(|p| format!("{name}:{}: {}", p.line, p.message)).collect();
        f.write_str(&lines.join("\n"))
    }
}

impl Diagnostic for SettingsError {
    fn source_code(&self) -> Option<&dyn miette::SourceCode> {
        Some(&self.source_code)
    }
    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        let label = |p: &Problem| LabeledSpan::new_with_span(Some(p.message.clone()), p.span);
        Some(Box::new(self.problems.iter().map(label)))
    }
}

/// A file's text and what was found wrong with it so far.
pub struct Source {
    name: String,
    text: String,
    problems: RefCell<Vec<Problem>>,
}

impl Source {
    /// A file's text, under the name that messages give it.
    pub fn new(name: &str, text: &str) -> Self {
        Source { name: name.into(), text: text.into(), problems: RefCell::default() }
    }

    /// Parses the text.
    ///
    /// # Errors
    /// It is no KDL.
    pub fn parse(&self) -> Result<KdlDocument, SettingsError> {
        self.text.parse::<KdlDocument>().map_err(|e| {
            for d in &e.diagnostics {
                let message = d.message.clone().unwrap_or_else(|| "not a KDL document".into());
                let help = d.help.as_ref().map(|h| format!(" ({h})")).unwrap_or_default();
                self.problem(d.span, format!("{message}{help}"));
            }
            self.error()
        })
    }

    /// Notes a problem.
    pub fn problem(&self, span: SourceSpan, message: String) {
        let before = self.text.get(..span.offset()).unwrap_or(&self.text);
        let line = before.matches('\n').count() + 1;
        self.problems.borrow_mut().push(Problem { line, message, span });
    }

    fn error(&self) -> SettingsError {
        let mut problems = self.problems.take();
        problems.sort_by_key(|p| (p.line, p.span.offset()));
        SettingsError { source_code: NamedSource::new(&self.name, self.text.clone()), problems }
    }

    /// The verdict, once everything has been read.
    ///
    /// # Errors
    /// The problems noted.
    pub fn verdict(&self) -> Result<(), SettingsError> {
        if self.problems.borrow().is_empty() { Ok(()) } else { Err(self.error()) }
    }
}

/// A node of the document, or the document itself, whose keys are read by name. A key is a property of the
/// node (`cold from=0.2`) or a child with one argument (`cold { from 0.2 }`).
pub struct Block<'a> {
    source: &'a Source,
    what: String,
    span: SourceSpan,
    entries: &'a [KdlEntry],
    children: &'a [KdlNode],
    known: RefCell<BTreeSet<&'static str>>,
}

impl<'a> Block<'a> {
    /// The whole document.
    pub fn document(source: &'a Source, document: &'a KdlDocument) -> Self {
        let span = SourceSpan::from((0, 0));
        Block {
            source,
            what: "the file".into(),
            span,
            entries: &[],
            children: document.nodes(),
            known: RefCell::default(),
        }
    }

    fn of(source: &'a Source, node: &'a KdlNode) -> Self {
        let mut what = node.name().value().to_owned();
        if let Some(KdlValue::String(name)) = node.get(0) {
            what = format!("{what} {name:?}");
        }
        Block {
            source,
            what,
            span: node.name().span(),
            entries: node.entries(),
            children: node.children().map_or(&[], |c| c.nodes()),
            known: RefCell::default(),
        }
    }

    /// Notes a problem with the block as a whole.
    pub fn problem(&self, message: String) {
        self.source.problem(self.span, format!("{}: {message}", self.what));
    }

    fn find(&self, key: &'static str) -> Option<&'a KdlEntry> {
        self.known.borrow_mut().insert(key);
        let property = self.entries.iter().find(|e| e.name().is_some_and(|n| n.value() == key));
        let child = self.children.iter().find(|c| c.name().value() == key);
        match (property, child) {
            (Some(entry), None) => Some(entry),
            (None, Some(node)) => {
                if node.entries().len() != 1 || node.children().is_some() {
                    let message = format!("{key} in {}: expected one value", self.what);
                    self.source.problem(node.span(), message);
                }
                node.entries().first()
            }
            (Some(entry), Some(_)) => {
                self.source.problem(entry.span(), format!("{key} in {}: given twice", self.what));
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
        take: impl Fn(&KdlValue) -> Option<T>,
    ) -> Option<T> {
        let Some(entry) = self.find(key) else {
            if default.is_none() {
                self.problem(format!("{key} is missing, expected {expected}"));
            }
            return default;
        };
        let value = take(entry.value());
        if value.is_none() {
            let message = format!("{key} in {} is {}, expected {expected}", self.what, entry.value());
            self.source.problem(entry.span(), message);
        }
        value
    }

    /// A number within bounds.
    pub fn number(&self, key: &'static str, bounds: RangeInclusive<f64>, default: Option<f64>) -> f64 {
        let expected = format!("a number from {} to {}", bounds.start(), bounds.end());
        let take = |v: &KdlValue| number(v).filter(|n| bounds.contains(n));
        self.read(key, &expected, default, take).unwrap_or(*bounds.start())
    }

    /// A whole number within bounds.
    pub fn whole(&self, key: &'static str, bounds: RangeInclusive<u64>, default: Option<u64>) -> u64 {
        let expected = format!("a whole number from {} to {}", bounds.start(), bounds.end());
        let take = |v: &KdlValue| match v {
            KdlValue::Integer(i) => u64::try_from(*i).ok().filter(|n| bounds.contains(n)),
            _ => None,
        };
        self.read(key, &expected, default, take).unwrap_or(*bounds.start())
    }

    /// A pair `key low high`; one number stands for both.
    pub fn range(
        &self,
        key: &'static str,
        bounds: RangeInclusive<f64>,
        default: Option<(f64, f64)>,
    ) -> (f64, f64) {
        self.known.borrow_mut().insert(key);
        let expected = format!("one or two rising numbers from {} to {}", bounds.start(), bounds.end());
        let node = self.children.iter().find(|c| c.name().value() == key);
        let property = self.entries.iter().find(|e| e.name().is_some_and(|n| n.value() == key));
        let (entries, span) = match (node, property) {
            (Some(node), _) => (node.entries(), node.span()),
            (None, Some(entry)) => (std::slice::from_ref(entry), entry.span()),
            (None, None) => {
                if default.is_none() {
                    self.problem(format!("{key} is missing, expected {expected}"));
                }
                return default.unwrap_or((*bounds.start(), *bounds.start()));
            }
        };
        let numbers: Vec<f64> =
            entries.iter().filter_map(|e| number(e.value()).filter(|n| bounds.contains(n))).collect();
        match (entries.len(), numbers[..].iter().as_slice()) {
            (1, [one]) => (*one, *one),
            (2, [low, high]) if low <= high => (*low, *high),
            _ => {
                let given: Vec<String> = entries.iter().map(|e| e.value().to_string()).collect();
                let message = format!("{key} in {} is {}, expected {expected}", self.what, given.join(" "));
                self.source.problem(span, message);
                (*bounds.start(), *bounds.start())
            }
        }
    }

    /// A text.
    pub fn text(&self, key: &'static str, default: Option<&str>) -> String {
        let take = |v: &KdlValue| v.as_string().filter(|t| !t.is_empty()).map(str::to_owned);
        self.read(key, "a text", default.map(str::to_owned), take).unwrap_or_default()
    }

    /// A text that stands for something.
    pub fn parsed<T>(
        &self,
        key: &'static str,
        expected: &str,
        default: Option<T>,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        self.read(key, expected, default, |v| v.as_string().and_then(&parse))
    }

    /// True or false.
    pub fn flag(&self, key: &'static str, default: bool) -> bool {
        self.read(key, "#true or #false", Some(default), KdlValue::as_bool).unwrap_or(default)
    }

    /// One of some words.
    pub fn choice<T: Copy>(&self, key: &'static str, words: &[(&str, T)], default: Option<T>) -> Option<T> {
        let names: Vec<String> = words.iter().map(|(w, _)| format!("{w:?}")).collect();
        let expected = format!("one of {}", names.join(", "));
        let take = |v: &KdlValue| {
            v.as_string().and_then(|text| words.iter().find(|(w, _)| *w == text)).map(|(_, t)| *t)
        };
        self.read(key, &expected, default, take)
    }

    /// The block's own name: its one argument.
    pub fn name(&self) -> String {
        let arguments: Vec<&KdlEntry> = self.entries.iter().filter(|e| e.name().is_none()).collect();
        match arguments[..] {
            [entry] => match entry.value().as_string().filter(|t| !t.is_empty() && t.len() <= 100) {
                Some(name) => return name.to_owned(),
                None => {
                    let message = format!(
                        "{}: {} is no name, expected a text of 1 to 100 bytes",
                        self.what,
                        entry.value()
                    );
                    self.source.problem(entry.span(), message);
                }
            },
            _ => self.problem("expected one name after it".into()),
        }
        String::new()
    }

    /// Texts that stand for something, as `key "one" "two"`, over all such lines; at least one.
    pub fn all_parsed<T>(
        &self,
        key: &'static str,
        expected: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Vec<T> {
        self.known.borrow_mut().insert(key);
        let mut all = Vec::new();
        let lines = self.children.iter().filter(|c| c.name().value() == key);
        let entries: Vec<&KdlEntry> = lines.flat_map(|c| c.entries()).collect();
        if entries.is_empty() {
            self.problem(format!("{key} is missing, expected {expected}"));
        }
        for entry in entries {
            match entry.value().as_string().and_then(&parse) {
                Some(value) => all.push(value),
                None => {
                    let message = format!("{key} in {} is {}, expected {expected}", self.what, entry.value());
                    self.source.problem(entry.span(), message);
                }
            }
        }
        all
    }

    /// Whole numbers within bounds, as `key 1 2 3`; none if it is left out.
    pub fn wholes(&self, key: &'static str, bounds: RangeInclusive<u64>) -> Vec<u64> {
        self.known.borrow_mut().insert(key);
        let mut all = Vec::new();
        let children = self.children.iter().filter(|c| c.name().value() == key).flat_map(|c| c.entries());
        let property = self.entries.iter().filter(|e| e.name().is_some_and(|n| n.value() == key));
        for entry in children.chain(property) {
            match entry.value() {
                KdlValue::Integer(i) if u64::try_from(*i).is_ok_and(|n| bounds.contains(&n)) => {
                    all.push(*i as u64);
                }
                other => {
                    let (low, high) = (bounds.start(), bounds.end());
                    let message = format!(
                        "{key} in {} is {other}, expected whole numbers from {low} to {high}",
                        self.what
                    );
                    self.source.problem(entry.span(), message);
                }
            }
        }
        all
    }

    /// Lines `key "NAME" VALUE`, each name once; `check` says what is wrong with one.
    pub fn sets(
        &self,
        key: &'static str,
        check: impl Fn(&str, &Value) -> Result<(), String>,
    ) -> BTreeMap<String, Value> {
        self.known.borrow_mut().insert(key);
        let mut all = BTreeMap::new();
        for line in self.children.iter().filter(|c| c.name().value() == key) {
            let problem = |message: String| {
                self.source.problem(line.span(), format!("{key} in {}: {message}", self.what));
            };
            let [name, value] = line.entries() else {
                problem("expected a key and a value".into());
                continue;
            };
            let (Some(name), Some(value)) = (name.value().as_string(), value_of(value.value())) else {
                problem("expected a key, and a number, a word, #true or #false".into());
                continue;
            };
            match check(name, &value) {
                Err(message) => problem(message),
                Ok(()) if all.contains_key(name) => problem(format!("{name:?} is given twice")),
                Ok(()) => drop(all.insert(name.to_owned(), value)),
            }
        }
        all
    }

    /// A block within, if it is there.
    pub fn block(&self, key: &'static str) -> Option<Block<'a>> {
        let all = self.blocks(key);
        if let [_, second, ..] = &all[..] {
            second.problem("given twice".into());
        }
        all.into_iter().next()
    }

    /// A block within that must be there.
    pub fn needed(&self, key: &'static str) -> Option<Block<'a>> {
        let block = self.block(key);
        if block.is_none() {
            self.problem(format!("{key} is missing"));
        }
        block
    }

    /// All blocks within of a kind, in the order of the file.
    pub fn blocks(&self, key: &'static str) -> Vec<Block<'a>> {
        self.known.borrow_mut().insert(key);
        let of = |node| Block::of(self.source, node);
        self.children.iter().filter(|c| c.name().value() == key).map(of).collect()
    }

    /// Everything of this block has been read: what is left is unknown.
    pub fn finish(&self) {
        let known = self.known.borrow();
        let properties = self.entries.iter().filter_map(|e| e.name());
        for name in properties.chain(self.children.iter().map(|c| c.name())) {
            if !known.contains(name.value()) {
                let names: Vec<&str> = known.iter().copied().collect();
                let message =
                    format!("{} does not know {:?}; it knows {}", self.what, name.value(), names.join(", "));
                self.source.problem(name.span(), message);
            }
        }
    }
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
        KdlValue::Integer(i) => Some(*i as f64),
        KdlValue::Float(f) => Some(*f).filter(|f| f.is_finite()),
        _ => None,
    }
}
