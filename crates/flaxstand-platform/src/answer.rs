//! What targets answer.

use crate::field;
use flaxstand::api::Outcome;
use flaxstand_http::Answer;

/// What an answer says of the attempt that it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answered {
    /// Served; its body is the client's.
    Served,
    /// It may have run.
    Error,
    /// Turned away: it has not run.
    Full,
}

impl Answered {
    /// Reads a whole answer. A status that the platform gives no meaning is an error: it may have run.
    pub fn of(answer: &Answer) -> Self {
        match answer.status {
            200 => Answered::Served,
            503 | 504 if answer.fields.one(field::NOT_RUN) == Some("1") => Answered::Full,
            _ => Answered::Error,
        }
    }

    /// The module's word for it.
    pub fn outcome(self) -> Outcome {
        match self {
            Answered::Served => Outcome::Served,
            Answered::Error => Outcome::Error,
            Answered::Full => Outcome::Full,
        }
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
            Answered::of(&reader.take().unwrap().unwrap())
        };
        assert_eq!(of("200 OK"), Answered::Served);
        assert_eq!(of("503 Full\r\nX-Not-Processed: 1"), Answered::Full);
        assert_eq!(of("504 Late\r\nx-not-processed: 1"), Answered::Full);
        for head in [
            "500 No",
            "503 No",
            "504 No",
            "503 No\r\nX-Not-Processed: 0",
            "500 No\r\nX-Not-Processed: 1",
            "400 No",
            "206 Part",
        ] {
            assert_eq!(of(head), Answered::Error, "{head}");
        }
    }
}
