//! JSON encoding of the write-back buffer's metrics for clients.

use flaxstand_write_back::Status;

/// Encodes the metrics as a JSON object. Units are part of the names.
pub(super) fn status_json(s: &Status) -> String {
    let mut out = String::from("{");
    let metrics: [(&str, u64); 20] = [
        ("writes", s.writes as u64),
        ("bytes", s.bytes),
        ("bytes_most", s.max_bytes),
        ("log_bytes", s.log_bytes),
        ("oldest_us", s.oldest.0),
        ("parked", s.parked as u64),
        ("waiting", s.waiting as u64),
        ("failing", s.log_failing.into()),
        ("out", s.write_outs_in_flight as u64),
        ("acknowledged_total", s.acknowledged),
        ("turned_through_total", s.not_buffered),
        ("written_out_total", s.written_out),
        ("write_outs_total", s.write_outs),
        ("repeats_total", s.write_out_retries),
        ("replayed_total", s.replayed),
        ("syncs_total", s.log.syncs),
        ("records_total", s.log.records),
        ("written_bytes_total", s.log.bytes),
        ("failures_total", s.log.failures),
        ("buffering", 1),
    ];
    for (i, (name, value)) in metrics.iter().enumerate() {
        out.push_str(if i > 0 { ", " } else { "" });
        out.push_str(&format!("\"{name}\": {value}"));
    }
    out + "}"
}
