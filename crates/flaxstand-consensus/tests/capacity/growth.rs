//! Checks the order of growth of a count: constant, linear or quadratic.

use crate::fit::Fit;
use std::ops::Range;

/// Expected growth of a count with the number of members.
#[derive(Clone, Debug)]
pub enum Growth {
    /// The count does not depend on the number of members.
    Constant,
    /// Linear, with a slope in this range.
    Linear(Range<f64>),
    /// Quadratic, with a leading coefficient in this range. Faster growth gives a coefficient outside the
    /// range or a residual beyond the bound.
    Quadratic(Range<f64>),
}

/// A term that growth of the expected order lacks must make up less than this share of the value at the
/// largest size.
const MAX_ABSENT_SHARE: f64 = 0.05;
/// The quadratic term of quadratic growth must make up at least this share of the value at the largest size.
const MIN_QUADRATIC_SHARE: f64 = 0.2;
/// The largest relative residual of a fit must be below this.
const MAX_RESIDUAL: f64 = 0.05;

impl Growth {
    /// Checks points of member count and measured count. Returns the curve fitted to them.
    ///
    /// # Errors
    /// Returns a description of the difference if the points grow in another way.
    pub fn check(&self, points: &[(f64, f64)]) -> Result<Fit, String> {
        let largest = points.iter().map(|(members, _)| *members).fold(0.0, f64::max);
        match self {
            Growth::Constant => {
                let linear = Fit::of(points, 1);
                let share = linear.highest_term_share(largest);
                if share >= MAX_ABSENT_SHARE {
                    return Err(format!(
                        "expected no growth, the linear term has a share of {share:.2} \
                         at {largest} members: {points:?}"
                    ));
                }
                Ok(linear)
            }
            Growth::Linear(slope) => {
                let share = Fit::of(points, 2).highest_term_share(largest);
                if share >= MAX_ABSENT_SHARE {
                    return Err(format!(
                        "expected linear growth, the quadratic term has a share of {share:.2} \
                         at {largest} members: {points:?}"
                    ));
                }
                check_fit(Fit::of(points, 1), slope, points)
            }
            Growth::Quadratic(coefficient) => {
                let quadratic = Fit::of(points, 2);
                let share = quadratic.highest_term_share(largest);
                if share < MIN_QUADRATIC_SHARE {
                    return Err(format!(
                        "expected quadratic growth, the quadratic term has a share of {share:.2} \
                         at {largest} members: {points:?}"
                    ));
                }
                check_fit(quadratic, coefficient, points)
            }
        }
    }
}

/// Returns the fit if its leading coefficient is in the range and its largest residual is below
/// `MAX_RESIDUAL`.
fn check_fit(fit: Fit, expected: &Range<f64>, points: &[(f64, f64)]) -> Result<Fit, String> {
    let leading = *fit.coefficients.last().expect("a polynomial has a constant term");
    if !expected.contains(&leading) {
        return Err(format!("the leading coefficient is {leading}, expected {expected:?}: {points:?}"));
    }
    if fit.largest_residual >= MAX_RESIDUAL {
        return Err(format!(
            "the largest relative residual is {:.2}, expected less than {MAX_RESIDUAL}: {points:?}",
            fit.largest_residual
        ));
    }
    Ok(fit)
}
