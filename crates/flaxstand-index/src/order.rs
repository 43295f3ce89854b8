//! Places in lists of numbers: the median, and a point on the line of their sums.

/// The median of some numbers in the order of `f64::total_cmp`, the lower of two; none without a number.
pub fn lower_median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut values: Vec<f64> = values.collect();
    let middle = values.len().checked_sub(1)? / 2;
    let (_, median, _) = values.select_nth_unstable_by(middle, f64::total_cmp);
    Some(*median)
}

/// The place of the weight that holds a point, when weights lie side by side from 0 in their order. A point
/// beyond all of them, as rounding may make it, is held by the last; none without a weight.
pub fn place_by_weight(weights: &[f64], point: f64) -> Option<usize> {
    let mut rest = point;
    let holds = |weight: &f64| {
        rest -= weight;
        rest < 0.0
    };
    weights.iter().position(holds).or(weights.len().checked_sub(1))
}
