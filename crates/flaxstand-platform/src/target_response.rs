//! Interpretation of responses from targets.

use crate::field;
use flaxstand::api::Outcome;
use flaxstand_http::Response;

/// Returns the outcome of the attempt that the response completes. Statuses without a meaning on the platform
/// count as errors, since the target may have executed the attempt.
pub fn attempt_outcome(response: &Response) -> Outcome {
    match response.status {
        200 => Outcome::Served,
        503 | 504 if response.fields.single(field::NOT_PROCESSED) == Some("1") => Outcome::Rejected,
        _ => Outcome::Error,
    }
}
