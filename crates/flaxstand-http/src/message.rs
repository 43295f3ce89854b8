//! Complete messages.

/// The header fields of a message, in their order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Fields(Vec<Field>);

/// A header field.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Field {
    name: String,
    value: Vec<u8>,
}

impl Fields {
    pub(crate) fn new(headers: &[httparse::Header<'_>]) -> Self {
        let field = |header: &httparse::Header<'_>| Field {
            name: header.name.to_owned(),
            value: header.value.to_vec(),
        };
        Fields(headers.iter().map(field).collect())
    }

    /// Every value of the field of this name, whatever the case of its letters.
    pub fn values<'a>(&'a self, name: &str) -> impl Iterator<Item = &'a [u8]> {
        let is_named = move |field: &&'a Field| field.name.eq_ignore_ascii_case(name);
        self.0.iter().filter(is_named).map(|field| field.value.as_slice())
    }

    /// The value of the field of this name, if there is exactly one and it is text.
    pub fn single(&self, name: &str) -> Option<&str> {
        let mut values = self.values(name);
        let value = values.next()?;
        if values.next().is_some() {
            return None;
        }
        std::str::from_utf8(value).ok().map(str::trim)
    }

    /// Whether there is a field of this name.
    pub fn contains(&self, name: &str) -> bool {
        self.values(name).next().is_some()
    }

    /// Whether a list field of this name has this token, whatever the case of its letters.
    pub fn lists_token(&self, name: &str, token: &str) -> bool {
        let is_token = |part: &[u8]| part.trim_ascii().eq_ignore_ascii_case(token.as_bytes());
        self.values(name).any(|value| value.split(|byte| *byte == b',').any(is_token))
    }
}

/// A complete request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Its method.
    pub method: String,
    /// Its target: path and query, as they arrived.
    pub target: String,
    /// Its header fields.
    pub fields: Fields,
    /// Its body; at most [`crate::MAX_REQUEST_BODY_BYTES`].
    pub body: Vec<u8>,
    /// The connection may be used again.
    pub keeps_alive: bool,
}

/// A complete response; never one of the 1xx.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Response {
    /// Its status.
    pub status: u16,
    /// Its header fields.
    pub fields: Fields,
    /// Its body; at most [`crate::MAX_RESPONSE_BODY_BYTES`] unless its reader has another limit.
    pub body: Vec<u8>,
    /// The connection may be used again: the peer keeps it open, the head states where the body ends, and
    /// nothing follows it.
    pub keeps_alive: bool,
}
