//! Encoders of HTTP messages.

use std::fmt::Display;
use std::io::Write as _;

/// Returns the reason phrase of a status code.
pub fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        411 => "Length Required",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        501 => "Not Implemented",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}

fn write_field(out: &mut Vec<u8>, name: &str, value: &dyn Display) {
    let begin = out.len();
    // Writing to a vector cannot fail.
    let _ = write!(out, "{name}: {value}\r\n");
    // Prevents header injection through a value that contains a line break.
    debug_assert!(!out[begin..out.len() - 2].contains(&b'\n'), "line break in header field {name}");
}

/// Appends a request to `out`, with a `Content-Length` field if there is a body.
pub fn write_request(
    out: &mut Vec<u8>,
    method: &str,
    target: &str,
    fields: &[(&str, &dyn Display)],
    body: Option<&[u8]>,
) {
    let _ = write!(out, "{method} {target} HTTP/1.1\r\n");
    fields.iter().for_each(|(name, value)| write_field(out, name, value));
    if let Some(body) = body {
        write_field(out, "Content-Length", &body.len());
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body.unwrap_or_default());
}

/// Appends a response to `out`. Adds `Connection: close` unless `keeps_alive`.
pub fn write_response(
    out: &mut Vec<u8>,
    status: u16,
    fields: &[(&str, &dyn Display)],
    body: &[u8],
    keeps_alive: bool,
) {
    let _ = write!(out, "HTTP/1.1 {status} {}\r\n", reason_phrase(status));
    fields.iter().for_each(|(name, value)| write_field(out, name, value));
    if !keeps_alive {
        write_field(out, "Connection", &"close");
    }
    write_field(out, "Content-Length", &body.len());
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body);
}
