//! Parsing and validation of client requests.

use crate::field;
use flaxstand_http::Request;
use thiserror::Error;

/// Maximum length of a request id or idempotency key, bytes.
const MAX_TOKEN_BYTES: usize = 200;
/// Maximum time-out, seconds; longer time-outs are reduced to this value.
const MAX_TIMEOUT_SECONDS: f64 = 3600.0;
/// Number of hex digits of a volume id and of an extent id in a path.
const PATH_ID_DIGITS: usize = 16;
/// Value of the shard that denotes a new object.
const NEW_OBJECT_SHARD: i64 = -1;

/// Limits and names that requests are validated against.
#[derive(Clone, Copy, Debug)]
pub struct RequestLimits<'a> {
    /// Class names; the position is the class index of the decision module.
    pub classes: &'a [String],
    /// Plan names; the position is the plan index of the decision module.
    pub plans: &'a [String],
    /// Maximum cost of a request, units.
    pub max_units: f64,
    /// Maximum number of initiator hosts that handle requests to one volume.
    pub max_hosts: u32,
}

/// A validated client request.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientRequest<'a> {
    /// Request id, different for every attempt of a client.
    pub id: &'a str,
    /// Class index.
    pub class: u16,
    /// Index of the volume's plan.
    pub plan: u16,
    /// Whether the request is a write.
    pub is_write: bool,
    /// The volume.
    pub volume: u64,
    /// The extent within the volume.
    pub extent: u64,
    /// Remaining time until the client's time-out, microseconds.
    pub time_left_micros: u32,
    /// Cost of the request in units.
    pub units: u32,
    /// The shard that holds the data, or `None` for a new object.
    pub shard: Option<u32>,
    /// Number of initiator hosts that handle requests to the volume.
    pub hosts: u16,
    /// Whether the client marked the request as a retry.
    pub is_retry: bool,
    /// Key for deduplication of repeated requests.
    pub idempotency_key: Option<&'a str>,
}

/// Errors of validating a well-formed HTTP request. The request was not executed.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum BadRequest {
    /// The method is neither GET nor PUT.
    #[error("unsupported method, expected GET or PUT")]
    Method,
    /// The path does not end with a volume id and an extent id.
    #[error(
        "invalid path, expected a volume id and an extent id of {PATH_ID_DIGITS} hex digits each at its end"
    )]
    Path,
    /// A header field is missing, repeated or invalid.
    #[error("{name}: expected {expected}")]
    Field {
        /// Name of the field.
        name: &'static str,
        /// Description of valid values.
        expected: &'static str,
    },
    /// A GET request has a body.
    #[error("unexpected body in a GET request")]
    Body,
}

impl BadRequest {
    /// Returns the HTTP status of the error response.
    pub fn status(&self) -> u16 {
        match self {
            BadRequest::Method => 405,
            BadRequest::Path => 404,
            BadRequest::Field { .. } | BadRequest::Body => 400,
        }
    }
}

impl<'a> ClientRequest<'a> {
    /// Parses and validates a request.
    ///
    /// # Errors
    /// The first violation found.
    pub fn read(request: &'a Request, limits: &RequestLimits<'_>) -> Result<Self, BadRequest> {
        let is_write = match request.method.as_str() {
            "GET" => false,
            "PUT" => true,
            _ => return Err(BadRequest::Method),
        };
        let (volume, extent) = read_path(&request.target)?;
        if !is_write && !request.body.is_empty() {
            return Err(BadRequest::Body);
        }
        let time_left_micros = read_timeout(request)?;
        let placement = read_placement(request, limits)?;
        let has_key = request.fields.contains(field::KEY);
        let idempotency_key = has_key.then(|| read_token(request, field::KEY)).transpose()?;
        Ok(ClientRequest {
            id: read_token(request, field::ID)?,
            class: read_name(request, field::CLASS, limits.classes)?,
            plan: read_name(request, field::PLAN, limits.plans)?,
            is_write,
            volume,
            extent,
            time_left_micros,
            units: placement.units,
            shard: placement.shard,
            hosts: placement.hosts,
            is_retry: request.fields.single(field::RETRIED) == Some("1"),
            idempotency_key,
        })
    }
}

/// Parses the volume and extent ids at the end of the path.
fn read_path(target: &str) -> Result<(u64, u64), BadRequest> {
    let path = target.split('?').next().unwrap_or_default();
    let mut parts = path.rsplit('/');
    let mut read_part = || parts.next().and_then(parse_id).ok_or(BadRequest::Path);
    let extent = read_part()?;
    let volume = read_part()?;
    Ok((volume, extent))
}

fn parse_id(text: &str) -> Option<u64> {
    let is_id = text.len() == PATH_ID_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    is_id.then(|| u64::from_str_radix(text, 16).ok()).flatten()
}

/// Returns the client's time-out, microseconds.
fn read_timeout(request: &Request) -> Result<u32, BadRequest> {
    // Accepts only digits and a decimal point: other float syntax, such as exponents, is not part of the
    // format.
    let is_plain = |text: &&str| text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    let text = request.fields.single(field::TIMEOUT).filter(is_plain);
    let seconds = text.and_then(|text| text.parse::<f64>().ok());
    let seconds = seconds.filter(|seconds| seconds.is_finite() && *seconds > 0.0);
    let seconds = seconds
        .ok_or(BadRequest::Field { name: field::TIMEOUT, expected: "a decimal number of seconds above 0" })?;
    Ok((seconds.min(MAX_TIMEOUT_SECONDS) * 1e6) as u32)
}

/// Returns the value of a field that must occur once and consist of printable ASCII characters without
/// spaces.
fn read_token<'a>(request: &'a Request, name: &'static str) -> Result<&'a str, BadRequest> {
    let is_token = |text: &&str| {
        (1..=MAX_TOKEN_BYTES).contains(&text.len()) && text.bytes().all(|byte| byte.is_ascii_graphic())
    };
    let token = request.fields.single(name).filter(is_token);
    token.ok_or(BadRequest::Field { name, expected: "1 to 200 printable ASCII characters without spaces" })
}

/// Returns the index of a field's value in the names that the settings define.
fn read_name(request: &Request, name: &'static str, defined: &[String]) -> Result<u16, BadRequest> {
    let value = request.fields.single(name);
    let index = value.and_then(|value| defined.iter().position(|defined| defined == value));
    let index = index.and_then(|index| u16::try_from(index).ok());
    index.ok_or(BadRequest::Field { name, expected: "a name that the settings define" })
}

/// Content of the placement field.
#[derive(Clone, Copy, Debug)]
struct Placement {
    units: u32,
    shard: Option<u32>,
    hosts: u16,
}

fn read_placement(request: &Request, limits: &RequestLimits<'_>) -> Result<Placement, BadRequest> {
    let placement = request.fields.single(field::PLACEMENT).and_then(|text| parse_placement(text, limits));
    let expected = "units=, shard= and hosts= within the limits of the settings";
    placement.ok_or(BadRequest::Field { name: field::PLACEMENT, expected })
}

/// Parses the placement field. Unknown parts are ignored, repeated parts are invalid.
fn parse_placement(text: &str, limits: &RequestLimits<'_>) -> Option<Placement> {
    let (mut units, mut shard, mut hosts) = (None, None, None);
    for part in text.split(',') {
        let (name, value) = part.split_once('=')?;
        let value: i64 = value.trim().parse().ok()?;
        let slot = match name.trim() {
            "units" => &mut units,
            "shard" => &mut shard,
            "hosts" => &mut hosts,
            _ => continue,
        };
        if slot.replace(value).is_some() {
            return None;
        }
    }
    let units = u32::try_from(units?).ok()?;
    let hosts = u16::try_from(hosts?).ok()?;
    let shard = match shard? {
        NEW_OBJECT_SHARD => None,
        shard => Some(u32::try_from(shard).ok()?),
    };
    let is_valid = units >= 1
        && f64::from(units) <= limits.max_units
        && hosts >= 1
        && u32::from(hosts) <= limits.max_hosts;
    is_valid.then_some(Placement { units, shard, hosts })
}
