//! What targets answer.

use crate::field;
use flaxstand::api::Outcome;
use flaxstand_http::Answer;

/// What a whole answer says of the attempt that it ends. A status that the platform gives no meaning is an error:
/// it may have run.
pub fn outcome_of(answer: &Answer) -> Outcome {
    match answer.status {
        200 => Outcome::Served,
        503 | 504 if answer.fields.one(field::NOT_RUN) == Some("1") => Outcome::Full,
        _ => Outcome::Error,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use flaxstand_http::Answers;

    #[test]
    fn only_a_target_that_says_so_has_not_run_it() {
        let of = |head: &str| {
            let mut reader = Answers::default();
            reader.push(format!("HTTP/1.1 {head}\r\nContent-Length: 0\r\n\r\n").as_bytes());
            outcome_of(&reader.take().unwrap().unwrap())
        };
        assert_eq!(of("200 OK"), Outcome::Served);
        assert_eq!(of("503 Full\r\nX-Not-Processed: 1"), Outcome::Full);
        assert_eq!(of("504 Late\r\nx-not-processed: 1"), Outcome::Full);
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
}
