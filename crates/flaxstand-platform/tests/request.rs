//! Validation of client requests.

use flaxstand_http::{Request, RequestReader};
use flaxstand_platform::{BadRequest, ClientRequest, RequestLimits, field};

const VALID_FIELDS: [(&str, &str); 5] = [
    (field::ID, "9b1f03aa5c7e2d41"),
    (field::CLASS, "checkout"),
    (field::PLAN, "gold"),
    (field::TIMEOUT, "0.480"),
    (field::PLACEMENT, "units=2,shard=5,hosts=3"),
];

fn request(request_line: &str, fields: &[(&str, &str)], body: &str) -> Request {
    let fields: String = fields.iter().map(|(name, value)| format!("{name}: {value}\r\n")).collect();
    let text = format!("{request_line} HTTP/1.1\r\n{fields}Content-Length: {}\r\n\r\n{body}", body.len());
    let mut reader = RequestReader::default();
    reader.push(text.as_bytes());
    reader.take().unwrap().unwrap()
}

fn read(request: &Request) -> Result<ClientRequest<'_>, BadRequest> {
    let (classes, plans) = (["other".into(), "checkout".into()], ["gold".into()]);
    let limits = RequestLimits { classes: &classes, plans: &plans, max_units: 8.0, max_hosts: 4 };
    ClientRequest::read(request, &limits)
}

const PATH: &str = "/api/00000003b4d60021/7f3a9c21e0b4d655";

#[test]
fn a_valid_request_is_parsed() {
    let r = request(&format!("PUT {PATH}?x=1"), &VALID_FIELDS, "data");
    let read = read(&r).unwrap();
    assert_eq!((read.volume, read.extent), (0x3_b4d6_0021, 0x7f3a_9c21_e0b4_d655));
    assert_eq!((read.class, read.plan, read.is_write, read.time_left_micros), (1, 0, true, 480_000));
    assert_eq!((read.units, read.shard, read.hosts, read.idempotency_key), (2, Some(5), 3, None));
}

#[test]
fn the_placement_is_validated_and_the_idempotency_key_is_parsed() {
    let with_placement = |placement| {
        let mut fields = VALID_FIELDS.to_vec();
        fields[4].1 = placement;
        fields.push((field::KEY, "k1"));
        request(&format!("PUT {PATH}"), &fields, "data")
    };
    let r = with_placement("units=1,shard=-1,hosts=1");
    assert_eq!(read(&r).map(|r| (r.shard, r.idempotency_key)), Ok((None, Some("k1"))));
    for invalid in
        ["", "units=1", "units=0,shard=1,hosts=1", "units=9,shard=1,hosts=1", "units=1,shard=-2,hosts=1"]
    {
        assert!(
            matches!(read(&with_placement(invalid)), Err(BadRequest::Field { name: field::PLACEMENT, .. })),
            "{invalid}"
        );
    }
    for invalid in [
        "units=1,shard=1,hosts=5",
        "units=1,shard=1,hosts=0",
        "units=1,units=1,shard=1,hosts=1",
        "units=1,shard=99999999999,hosts=1",
    ] {
        assert!(
            matches!(read(&with_placement(invalid)), Err(BadRequest::Field { name: field::PLACEMENT, .. })),
            "{invalid}"
        );
    }
}

#[test]
fn invalid_requests_are_rejected_with_the_field_name() {
    let invalid_values = [
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
    for (at, value) in invalid_values {
        let mut fields = VALID_FIELDS.to_vec();
        fields[at].1 = value;
        let r = request(&format!("PUT {PATH}"), &fields, "data");
        assert!(
            matches!(read(&r), Err(BadRequest::Field { name, .. }) if name == VALID_FIELDS[at].0),
            "{value:?}"
        );
    }
    for field in VALID_FIELDS {
        let mut fields = VALID_FIELDS.to_vec();
        fields.push(field);
        let repeated = request(&format!("PUT {PATH}"), &fields, "data");
        assert!(read(&repeated).is_err(), "{} repeated", field.0);
        fields.retain(|f| f.0 != field.0);
        let missing = request(&format!("PUT {PATH}"), &fields, "data");
        assert!(read(&missing).is_err(), "{} missing", field.0);
    }
    assert_eq!(read(&request(&format!("POST {PATH}"), &VALID_FIELDS, "")), Err(BadRequest::Method));
    assert_eq!(read(&request(&format!("GET {PATH}"), &VALID_FIELDS, "data")), Err(BadRequest::Body));
    for path in ["/", "/api/1/2", "/7f3a9c21e0b4d655", "/api/00000003b4d60021/7f3a9c21e0b4d65+"] {
        assert_eq!(
            read(&request(&format!("GET {path}"), &VALID_FIELDS, "")),
            Err(BadRequest::Path),
            "{path}"
        );
    }
}
