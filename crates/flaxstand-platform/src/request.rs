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

#[cfg(test)]
mod tests {
    use super::*;
    use flaxstand_http::Requests;

    const GOOD: [(&str, &str); 5] = [
        (field::ID, "9b1f03aa5c7e2d41"),
        (field::CLASS, "checkout"),
        (field::PLAN, "gold"),
        (field::TIMEOUT, "0.480"),
        (field::PLACEMENT, "units=2,shard=5,hosts=3"),
    ];

    fn request(first: &str, fields: &[(&str, &str)], body: &str) -> Request {
        let fields: String = fields.iter().map(|(name, value)| format!("{name}: {value}\r\n")).collect();
        let text = format!("{first} HTTP/1.1\r\n{fields}Content-Length: {}\r\n\r\n{body}", body.len());
        let mut reader = Requests::default();
        reader.push(text.as_bytes());
        reader.take().unwrap().unwrap()
    }

    fn read(request: &Request) -> Result<ClientRequest<'_>, BadRequest> {
        let (classes, plans) = (["other".into(), "checkout".into()], ["gold".into()]);
        let terms = Terms { classes: &classes, plans: &plans, units: 8.0, hosts: 4 };
        ClientRequest::read(request, &terms)
    }

    const PATH: &str = "/api/00000003b4d60021/7f3a9c21e0b4d655";

    #[test]
    fn a_request_is_read_with_its_units() {
        let r = request(&format!("PUT {PATH}?x=1"), &GOOD, "data");
        let read = read(&r).unwrap();
        assert_eq!((read.volume, read.extent), (0x3_b4d6_0021, 0x7f3a_9c21_e0b4_d655));
        assert_eq!((read.class, read.plan, read.write, read.time_left), (1, 0, true, 480_000));
        assert_eq!((read.units, read.shard, read.hosts, read.key), (2, Some(5), 3, None));
    }

    #[test]
    fn a_new_object_has_no_shard_and_a_key_is_passed_on() {
        let with = |placement| {
            let mut fields = GOOD.to_vec();
            fields[4].1 = placement;
            fields.push((field::KEY, "k1"));
            request(&format!("PUT {PATH}"), &fields, "data")
        };
        let r = with("units=1,shard=-1,hosts=1");
        assert_eq!(read(&r).map(|r| (r.shard, r.key)), Ok((None, Some("k1"))));
        for bad in
            ["", "units=1", "units=0,shard=1,hosts=1", "units=9,shard=1,hosts=1", "units=1,shard=-2,hosts=1"]
        {
            assert!(matches!(read(&with(bad)), Err(BadRequest::Field(field::PLACEMENT, _))), "{bad}");
        }
        for bad in [
            "units=1,shard=1,hosts=5",
            "units=1,shard=1,hosts=0",
            "units=1,units=1,shard=1,hosts=1",
            "units=1,shard=99999999999,hosts=1",
        ] {
            assert!(matches!(read(&with(bad)), Err(BadRequest::Field(field::PLACEMENT, _))), "{bad}");
        }
    }

    #[test]
    fn what_can_not_be_is_told_by_its_field() {
        let bad = [
            (0, ""),
            (0, "two words"),
            (1, "nobody"),
            (2, "tin"),
            (3, "soon"),
            (3, "-1"),
            (3, "0"),
            (3, "inf"),
            (3, "NaN"),
            (3, "1e3"),
            (3, ""),
        ];
        for (at, value) in bad {
            let mut fields = GOOD.to_vec();
            fields[at].1 = value;
            let r = request(&format!("PUT {PATH}"), &fields, "data");
            assert!(matches!(read(&r), Err(BadRequest::Field(name, _)) if name == GOOD[at].0), "{value:?}");
        }
        for one in GOOD {
            let mut fields = GOOD.to_vec();
            fields.push(one);
            let twice = request(&format!("PUT {PATH}"), &fields, "data");
            assert!(read(&twice).is_err(), "{} twice", one.0);
            fields.retain(|f| f.0 != one.0);
            let missing = request(&format!("PUT {PATH}"), &fields, "data");
            assert!(read(&missing).is_err(), "{} missing", one.0);
        }
        assert_eq!(read(&request(&format!("POST {PATH}"), &GOOD, "")), Err(BadRequest::Method));
        assert_eq!(read(&request(&format!("GET {PATH}"), &GOOD, "data")), Err(BadRequest::Body));
        for path in ["/", "/api/1/2", "/7f3a9c21e0b4d655", "/api/00000003b4d60021/7f3a9c21e0b4d65+"] {
            assert_eq!(read(&request(&format!("GET {path}"), &GOOD, "")), Err(BadRequest::Path), "{path}");
        }
    }
}
