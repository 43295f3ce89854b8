//! The median and the weighted selection, on small lists.

use flaxstand_index::{lower_median, weighted_index};

#[test]
fn the_median_of_an_even_count_is_the_lower_middle_value() {
    assert_eq!(lower_median([].into_iter()), None);
    assert_eq!(lower_median([3.0].into_iter()), Some(3.0));
    assert_eq!(lower_median([3.0, 1.0].into_iter()), Some(1.0));
    assert_eq!(lower_median([5.0, 1.0, 2.0].into_iter()), Some(2.0));
    assert_eq!(lower_median([5.0, -1.0, 2.0, 2.0, 9.0, 0.0].into_iter()), Some(2.0));
}

#[test]
fn a_point_selects_the_weight_whose_interval_contains_it() {
    let weights = [0.5, 0.0, 1.5, 2.0];
    let indexes: Vec<_> = [0.0, 0.4, 0.5, 1.9, 2.0, 3.9].map(|point| weighted_index(&weights, point)).into();
    assert_eq!(indexes, [Some(0), Some(0), Some(2), Some(2), Some(3), Some(3)]);
}

#[test]
fn a_point_beyond_all_weights_selects_the_last() {
    assert_eq!(weighted_index(&[1.0, 1.0], 2.0), Some(1));
    assert_eq!(weighted_index(&[0.0], 0.0), Some(0));
    assert_eq!(weighted_index(&[], 0.0), None);
}
