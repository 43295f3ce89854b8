//! Clients' requests, read and checked.

use crate::field;
use flaxstand_http::Request;
use thiserror::Error;

/// Longest id or key that is accepted, bytes.
const MAX_TOKEN_BYTES: usize = 200;
/// Longest time-out, seconds: longer ones count as this.
const MAX_TIMEOUT_SECONDS: f64 = 3600.0;
/// Hex digits of a volume and of an extent in a path.
const PATH_ID_DIGITS: usize = 16;
/// Shard that stands for a new object.
const NEW_OBJECT_SHARD: i64 = -1;

/// What a request is checked against.
#[derive(Clone, Copy, Debug)]
pub struct RequestLimits<'a> {
    /// Names of classes, in the order of the decision module's.
    pub classes: &'a [String],
    /// Names of plans, in the order of the decision module's.
    pub plans: &'a [String],
    /// Largest size, units.
    pub max_units: f64,
    /// Largest number of hosts that a volume's requests come through.
    pub max_hosts: u32,
}

/// A client's request.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientRequest<'a> {
    /// Its id, new with every attempt of a client.
    pub id: &'a str,
    /// Index of its class.
    pub class: u16,
    /// Index of its volume's plan.
    pub plan: u16,
    /// Whether it writes.
    pub is_write: bool,
    /// Its volume.
    pub volume: u64,
    /// The piece of data in the volume.
    pub extent: u64,
    /// How long the client waits, microseconds.
    pub time_left_micros: u32,
    /// Its size.
    pub units: u32,
    /// The shard that has the data; none: a new object.
    pub shard: Option<u32>,
    /// Hosts that the volume's requests come through.
    pub hosts: u16,
    /// The client marks it as a retry.
    pub is_retry: bool,
    /// The key by which repeats are deduplicated.
    pub idempotency_key: Option<&'a str>,
}

/// Why a well-formed HTTP request can't be served. Nothing of it has run.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum BadRequest {
    /// Neither GET nor PUT.
    #[error("expected GET or PUT")]
    Method,
    /// The path does not end with a volume and a piece of data.
    #[error("expected a path that ends with a volume and a piece of data, 16 hex digits each")]
    Path,
    /// A field is missing, is there twice, or has a value that makes no sense.
    #[error("{name}: expected {expected}")]
    Field {
        /// Name of the field.
        name: &'static str,
        /// What it should say.
        expected: &'static str,
    },
    /// A read that brings data.
    #[error("a read has no body")]
    Body,
}

impl BadRequest {
    /// The HTTP status of the response.
    pub fn status(&self) -> u16 {
        match self {
            BadRequest::Method => 405,
            BadRequest::Path => 404,
            BadRequest::Field { .. } | BadRequest::Body => 400,
        }
    }
}

impl<'a> ClientRequest<'a> {
    /// Reads and checks a request.
    ///
    /// # Errors
    /// The first thing about it that makes no sense.
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

/// Volume and extent at the end of a path.
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

/// How long the client waits, microseconds.
fn read_timeout(request: &Request) -> Result<u32, BadRequest> {
    // Digits and a point only: what else a float may be written as is nothing a client should send.
    let is_plain = |text: &&str| text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    let text = request.fields.single(field::TIMEOUT).filter(is_plain);
    let seconds = text.and_then(|text| text.parse::<f64>().ok());
    let seconds = seconds.filter(|seconds| seconds.is_finite() && *seconds > 0.0);
    let seconds = seconds.ok_or(BadRequest::Field { name: field::TIMEOUT, expected: "seconds above 0" })?;
    Ok((seconds.min(MAX_TIMEOUT_SECONDS) * 1e6) as u32)
}

/// The only field of this name, if it is one word of printable characters.
fn read_token<'a>(request: &'a Request, name: &'static str) -> Result<&'a str, BadRequest> {
    let is_token = |text: &&str| {
        (1..=MAX_TOKEN_BYTES).contains(&text.len()) && text.bytes().all(|byte| byte.is_ascii_graphic())
    };
    let token = request.fields.single(name).filter(is_token);
    token.ok_or(BadRequest::Field { name, expected: "one word" })
}

/// The index of the name that a field says.
fn read_name(request: &Request, name: &'static str, known: &[String]) -> Result<u16, BadRequest> {
    let value = request.fields.single(name);
    let index = value.and_then(|value| known.iter().position(|known| known == value));
    let index = index.and_then(|index| u16::try_from(index).ok());
    index.ok_or(BadRequest::Field { name, expected: "one that the settings name" })
}

/// What the placement field says.
#[derive(Clone, Copy, Debug)]
struct Placement {
    units: u32,
    shard: Option<u32>,
    hosts: u16,
}

fn read_placement(request: &Request, limits: &RequestLimits<'_>) -> Result<Placement, BadRequest> {
    let placement = request.fields.single(field::PLACEMENT).and_then(|text| parse_placement(text, limits));
    let expected = "units=, shard= and hosts= within the settings";
    placement.ok_or(BadRequest::Field { name: field::PLACEMENT, expected })
}

/// Parts of other names are ignored; a part that is there twice makes no sense.
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
    let is_within = units >= 1
        && f64::from(units) <= limits.max_units
        && hosts >= 1
        && u32::from(hosts) <= limits.max_hosts;
    is_within.then_some(Placement { units, shard, hosts })
}
