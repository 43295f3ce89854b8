//! Complete HTTP messages.

/// Smallest block that allocators hand out, bytes.
const MIN_ALLOCATION_BYTES: usize = 24;
/// What allocators keep for each block, bytes.
const ALLOCATION_OVERHEAD_BYTES: usize = 8;

/// The header fields of a message, in order of arrival.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fields(Vec<Field>);

/// A header field.
#[derive(Clone, Debug, PartialEq, Eq)]
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

    /// Memory that the fields take on the heap, bytes. Many short fields take a multiple of their length in the
    /// message.
    pub fn memory_bytes(&self) -> usize {
        let text = |length: usize| length.max(MIN_ALLOCATION_BYTES) + ALLOCATION_OVERHEAD_BYTES;
        let texts = self.0.iter().map(|field| text(field.name.len()) + text(field.value.len()));
        self.0.capacity() * size_of::<Field>() + texts.sum::<usize>()
    }

    /// Returns all values of a field. The name is matched case-insensitively.
    pub fn values<'a>(&'a self, name: &str) -> impl Iterator<Item = &'a [u8]> {
        let is_named = move |field: &&'a Field| field.name.eq_ignore_ascii_case(name);
        self.0.iter().filter(is_named).map(|field| field.value.as_slice())
    }

    /// Returns the trimmed value of a field, if it occurs exactly once and is valid UTF-8.
    pub fn single(&self, name: &str) -> Option<&str> {
        let mut values = self.values(name);
        let value = values.next()?;
        if values.next().is_some() {
            return None;
        }
        std::str::from_utf8(value).ok().map(str::trim)
    }

    /// Whether the field is present.
    pub fn contains(&self, name: &str) -> bool {
        self.values(name).next().is_some()
    }

    /// Whether a comma-separated list field contains a token. Both are matched case-insensitively.
    pub fn contains_token(&self, name: &str, token: &str) -> bool {
        let is_token = |part: &[u8]| part.trim_ascii().eq_ignore_ascii_case(token.as_bytes());
        self.values(name).any(|value| value.split(|byte| *byte == b',').any(is_token))
    }
}

/// A complete request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Request method.
    pub method: String,
    /// Request target: path and query, as received.
    pub target: String,
    /// Header fields.
    pub fields: Fields,
    /// Message body, at most [`crate::MAX_REQUEST_BODY_BYTES`] long.
    pub body: Vec<u8>,
    /// Whether the connection can be reused.
    pub keeps_alive: bool,
}

impl Request {
    /// Memory that the head takes on the heap, bytes.
    pub(crate) fn head_memory_bytes(&self) -> usize {
        self.method.capacity() + self.target.capacity() + self.fields.memory_bytes()
    }
}

/// A complete final response; interim (1xx) responses are skipped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Header fields.
    pub fields: Fields,
    /// Message body, at most [`crate::MAX_RESPONSE_BODY_BYTES`] long unless its reader has another limit.
    pub body: Vec<u8>,
    /// Whether the connection can be reused: the peer keeps it open, the body has an explicit end, and no
    /// bytes follow it.
    pub keeps_alive: bool,
}
