//! Whole messages.

/// The fields of a head, in their order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Fields(Vec<(String, Vec<u8>)>);

impl Fields {
    pub(crate) fn new(fields: &[httparse::Header<'_>]) -> Self {
        Fields(fields.iter().map(|f| (f.name.to_owned(), f.value.to_vec())).collect())
    }

    /// Every value of the field called so, whatever the case of its letters.
    pub fn all<'a>(&'a self, name: &str) -> impl Iterator<Item = &'a [u8]> {
        let called = move |f: &&'a (String, Vec<u8>)| f.0.eq_ignore_ascii_case(name);
        self.0.iter().filter(called).map(|(_, value)| value.as_slice())
    }

    /// The value of the field called so, if there is exactly one and it is text.
    pub fn one(&self, name: &str) -> Option<&str> {
        let mut all = self.all(name);
        let value = all.next().filter(|_| all.next().is_none())?;
        std::str::from_utf8(value).ok().map(str::trim)
    }

    /// Whether a field called so is there.
    pub fn has(&self, name: &str) -> bool {
        self.all(name).next().is_some()
    }

    /// Whether a list called so names this word, whatever the case of its letters.
    pub fn names(&self, name: &str, word: &str) -> bool {
        let listed =
            |v: &[u8]| v.split(|b| *b == b',').any(|w| w.trim_ascii().eq_ignore_ascii_case(word.as_bytes()));
        self.all(name).any(listed)
    }
}

/// A whole request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Its method.
    pub method: String,
    /// Its target: path and query, as they came.
    pub target: String,
    /// Its fields.
    pub fields: Fields,
    /// Its body; at most [`crate::BODY_MOST`] bytes.
    pub body: Vec<u8>,
    /// The connection may be used again.
    pub keeps: bool,
}

/// A whole answer; never one of the 1xx.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Answer {
    /// Its status.
    pub status: u16,
    /// Its fields.
    pub fields: Fields,
    /// Its body; at most [`crate::ANSWER_MOST`] bytes unless its reader was told another limit.
    pub body: Vec<u8>,
    /// The connection may be used again: the peer keeps it, the end of the body is told, nothing is behind it.
    pub keeps: bool,
}
