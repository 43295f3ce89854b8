//! Median and weighted selection in lists of numbers.

/// The median of the numbers in the order of `f64::total_cmp`, the lower one for an even count; none if there
/// are no numbers.
pub fn lower_median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut values: Vec<f64> = values.collect();
    let middle = values.len().checked_sub(1)? / 2;
    let (_, median, _) = values.select_nth_unstable_by(middle, f64::total_cmp);
    Some(*median)
}

/// The index of the weight whose interval contains `point`, with the weights laid out as consecutive
/// intervals from 0. A point beyond all intervals, which rounding can produce, selects the last weight; none
/// if there are no weights.
pub fn weighted_index(weights: &[f64], point: f64) -> Option<usize> {
    let mut remaining = point;
    let contains_point = |weight: &f64| {
        remaining -= weight;
        remaining < 0.0
    };
    weights.iter().position(contains_point).or(weights.len().checked_sub(1))
}
