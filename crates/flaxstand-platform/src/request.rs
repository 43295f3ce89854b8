//! What clients ask.

use flaxstand_http::Request;
use thiserror::Error;

use crate::field;

/// Longest id or key that is taken, bytes.
const WORD_MOST: usize = 200;
/// Longest time that is taken, s: longer ones count as this.
const TIMEOUT_MOST: f64 = 3600.0;

/// What a request is checked against.
#[derive(Clone, Copy, Debug)]
pub struct Terms<'a> {
    /// Names of classes, in the module's order.
    pub classes: &'a [String],
    /// Names of plans, in the module's order.
    pub plans: &'a [String],
    /// Most units.
    pub units: f64,
    /// Most hosts that a volume comes through.
    pub hosts: u32,
}

/// A client's request.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientRequest<'a> {
    /// Its id.
    pub id: &'a str,
    /// Index of its class.
    pub class: u16,
    /// Index of its volume's plan.
    pub plan: u16,
    /// Whether it writes.
    pub write: bool,
    /// Its volume.
    pub volume: u64,
    /// The piece of data.
    pub extent: u64,
    /// How long the client waits, microseconds.
    pub time_left: u32,
    /// Its size.
    pub units: u32,
    /// The shard that holds the data; none: a new object.
    pub shard: Option<u32>,
    /// Hosts that the volume's requests come through.
    pub hosts: u16,
    /// The client marks it as a retry.
    pub retried: bool,
    /// The key by which repeats are dropped.
    pub key: Option<&'a str>,
}

/// Why a request that could be read is none that can be served. Nothing of it has run.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum BadRequest {
    /// Neither GET nor PUT.
    #[error("expected GET or PUT")]
    Method,
    /// The path does not end with a volume and a piece of data.
    #[error("expected a path that ends with a volume and a piece of data, 16 hex digits each")]
    Path,
    /// A field is missing, is there twice, or says what can't be.
    #[error("{0}: expected {1}")]
    Field(&'static str, &'static str),
    /// A read that brings data.
    #[error("a read has no body")]
    Body,
}

impl BadRequest {
    /// The status that tells the client.
    pub fn status(&self) -> u16 {
        match self {
            BadRequest::Method => 405,
            BadRequest::Path => 404,
            BadRequest::Field(..) | BadRequest::Body => 400,
        }
    }
}

fn hex(text: &str) -> Option<u64> {
    let digits = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    digits.then(|| u64::from_str_radix(text, 16).ok()).flatten()
}

/// The only field called so, if it is a word of printable characters.
fn word<'a>(request: &'a Request, name: &'static str) -> Result<&'a str, BadRequest> {
    let fits = |w: &&str| !w.is_empty() && w.len() <= WORD_MOST && w.bytes().all(|b| b.is_ascii_graphic());
    request.fields.one(name).filter(fits).ok_or(BadRequest::Field(name, "one word"))
}

fn named(request: &Request, name: &'static str, names: &[String]) -> Result<u16, BadRequest> {
    let known = request.fields.one(name).and_then(|v| names.iter().position(|n| n == v));
    let index = known.and_then(|at| u16::try_from(at).ok());
    index.ok_or(BadRequest::Field(name, "one that the settings name"))
}

fn placement(text: &str, terms: &Terms<'_>) -> Option<(u32, Option<u32>, u16)> {
    let (mut units, mut shard, mut hosts) = (None, None, None);
    for part in text.split(',') {
        let (name, value) = part.split_once('=')?;
        let value: i64 = value.trim().parse().ok()?;
        let place = match name.trim() {
            "units" => &mut units,
            "shard" => &mut shard,
            "hosts" => &mut hosts,
            _ => continue,
        };
        if place.replace(value).is_some() {
            return None;
        }
    }
    let units = u32::try_from(units?).ok().filter(|u| *u >= 1 && f64::from(*u) <= terms.units)?;
    let hosts = u16::try_from(hosts?).ok().filter(|h| *h >= 1 && u32::from(*h) <= terms.hosts)?;
    let shard = match shard? {
        -1 => None,
        held => Some(u32::try_from(held).ok()?),
    };
    Some((units, shard, hosts))
}

impl<'a> ClientRequest<'a> {
    /// Reads and checks a request.
    ///
    /// # Errors
    /// The first thing about it that can't be.
    pub fn read(request: &'a Request, terms: &Terms<'_>) -> Result<Self, BadRequest> {
        let write = match request.method.as_str() {
            "GET" => false,
            "PUT" => true,
            _ => return Err(BadRequest::Method),
        };
        let path = request.target.split('?').next().unwrap_or_default();
        let mut parts = path.rsplit('/');
        let mut part = || parts.next().and_then(hex).ok_or(BadRequest::Path);
        let (extent, volume) = (part()?, part()?);
        if !write && !request.body.is_empty() {
            return Err(BadRequest::Body);
        }
        let expected = BadRequest::Field(field::TIMEOUT, "seconds above 0");
        // Digits and a point only: what else a float may be written as is nothing a client should send.
        let plain = |t: &&str| t.bytes().all(|b| b.is_ascii_digit() || b == b'.');
        let seconds = request.fields.one(field::TIMEOUT).filter(plain).and_then(|t| t.parse::<f64>().ok());
        let seconds = seconds.filter(|s| s.is_finite() && *s > 0.0).ok_or(expected)?;
        let expected = BadRequest::Field(field::PLACEMENT, "units=, shard= and hosts= within the settings");
        let placed =
            request.fields.one(field::PLACEMENT).and_then(|t| placement(t, terms)).ok_or(expected)?;
        let key = request.fields.has(field::KEY).then(|| word(request, field::KEY)).transpose()?;
        Ok(ClientRequest {
            id: word(request, field::ID)?,
            class: named(request, field::CLASS, terms.classes)?,
            plan: named(request, field::PLAN, terms.plans)?,
            write,
            volume,
            extent,
            time_left: (seconds.min(TIMEOUT_MOST) * 1e6) as u32,
            units: placed.0,
            shard: placed.1,
            hosts: placed.2,
            retried: request.fields.one(field::RETRIED) == Some("1"),
            key,
        })
    }
}
