//! Responses of targets.

use crate::field;
use flaxstand::api::Outcome;
use flaxstand_http::Response;

/// The outcome of the attempt that a response ends. A status that the platform gives no meaning is an error:
/// the attempt may have run.
pub fn outcome_of(answer: &Response) -> Outcome {
    match answer.status {
        200 => Outcome::Served,
        503 | 504 if answer.fields.single(field::NOT_RUN) == Some("1") => Outcome::Rejected,
        _ => Outcome::Error,
    }
}
