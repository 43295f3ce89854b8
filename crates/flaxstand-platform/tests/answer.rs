//! What targets' answers say of attempts.

use flaxstand::api::Outcome;
use flaxstand_http::ResponseReader;
use flaxstand_platform::outcome_of;

#[test]
fn only_a_target_that_says_so_has_not_run_it() {
    let of = |head: &str| {
        let mut reader = ResponseReader::default();
        reader.push(format!("HTTP/1.1 {head}\r\nContent-Length: 0\r\n\r\n").as_bytes());
        outcome_of(&reader.take().unwrap().unwrap())
    };
    assert_eq!(of("200 OK"), Outcome::Served);
    assert_eq!(of("503 Full\r\nX-Not-Processed: 1"), Outcome::Rejected);
    assert_eq!(of("504 Late\r\nx-not-processed: 1"), Outcome::Rejected);
    for head in [
        "500 No",
        "503 No",
        "504 No",
        "503 No\r\nX-Not-Processed: 0",
        "500 No\r\nX-Not-Processed: 1",
        "400 No",
        "206 Part",
    ] {
        assert_eq!(of(head), Outcome::Error, "{head}");
    }
}
