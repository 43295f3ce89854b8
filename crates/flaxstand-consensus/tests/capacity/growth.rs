//! Which kind of growth a count shows: none, a line, a square.

use crate::fit::Fit;
use std::ops::Range;

/// How a count is to grow with the members.
#[derive(Clone, Debug)]
pub enum Growth {
    /// Not at all.
    None,
    /// As a line of a slope in this range.
    Linear(Range<f64>),
    /// As a square whose highest coefficient is in this range. More than a square would fall out of it.
    Square(Range<f64>),
}

/// What a power may make of a value at the largest size, where there should be none of it.
const NOT_THERE: f64 = 0.05;
/// What the square must make of it where there should be one.
const THERE: f64 = 0.2;
/// By what part a point may lie beside the curve.
const BESIDE: f64 = 0.05;

impl Growth {
    /// Checks points of members and a count. Returns the curve through them.
    ///
    /// # Errors
    /// They grow otherwise; how, in words.
    pub fn check(&self, points: &[(f64, f64)]) -> Result<Fit, String> {
        let largest = points.iter().map(|(members, _)| *members).fold(0.0, f64::max);
        match self {
            Growth::None => {
                let line = Fit::of(points, 1);
                let share = line.share_of_highest(largest);
                if share >= NOT_THERE {
                    return Err(format!("it grows with the members: {points:?}"));
                }
                Ok(line)
            }
            Growth::Linear(slope) => {
                let square = Fit::of(points, 2).share_of_highest(largest);
                if square >= NOT_THERE {
                    return Err(format!("it is no line, a square makes {square:.2} of it: {points:?}"));
                }
                near(Fit::of(points, 1), slope, points)
            }
            Growth::Square(coefficient) => {
                let square = Fit::of(points, 2);
                let share = square.share_of_highest(largest);
                if share < THERE {
                    return Err(format!("it is no square any more, that makes {share:.2} of it: {points:?}"));
                }
                near(square, coefficient, points)
            }
        }
    }
}

/// The curve, if its highest coefficient is in the range and all points lie near it.
fn near(fit: Fit, expected: &Range<f64>, points: &[(f64, f64)]) -> Result<Fit, String> {
    let highest = *fit.coefficients.last().expect("a constant at least");
    if !expected.contains(&highest) {
        return Err(format!("the highest coefficient is {highest}, not in {expected:?}: {points:?}"));
    }
    if fit.largest_residual >= BESIDE {
        return Err(format!("a point lies {:.2} beside the curve: {points:?}", fit.largest_residual));
    }
    Ok(fit)
}
