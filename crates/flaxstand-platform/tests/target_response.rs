//! Mapping of target responses to outcomes of attempts.

use flaxstand::api::Outcome;
use flaxstand_http::ResponseReader;
use flaxstand_platform::attempt_outcome;

#[test]
fn an_attempt_is_rejected_only_if_the_response_states_that_it_was_not_processed() {
    let outcome = |head: &str| {
        let mut reader = ResponseReader::default();
        reader.push(format!("HTTP/1.1 {head}\r\nContent-Length: 0\r\n\r\n").as_bytes());
        attempt_outcome(&reader.take().unwrap().unwrap())
    };
    assert_eq!(outcome("200 OK"), Outcome::Served);
    assert_eq!(outcome("503 Full\r\nX-Not-Processed: 1"), Outcome::Rejected);
    assert_eq!(outcome("504 Late\r\nx-not-processed: 1"), Outcome::Rejected);
    for head in [
        "500 No",
        "503 No",
        "504 No",
        "503 No\r\nX-Not-Processed: 0",
        "500 No\r\nX-Not-Processed: 1",
        "400 No",
        "206 Part",
    ] {
        assert_eq!(outcome(head), Outcome::Error, "{head}");
    }
}
