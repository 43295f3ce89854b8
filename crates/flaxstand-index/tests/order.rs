//! The median and the place by weight, on lists small enough to see.

use flaxstand_index::{lower_median, place_by_weight};

#[test]
fn the_median_is_the_lower_of_two() {
    assert_eq!(lower_median([].into_iter()), None);
    assert_eq!(lower_median([3.0].into_iter()), Some(3.0));
    assert_eq!(lower_median([3.0, 1.0].into_iter()), Some(1.0));
    assert_eq!(lower_median([5.0, 1.0, 2.0].into_iter()), Some(2.0));
    assert_eq!(lower_median([5.0, -1.0, 2.0, 2.0, 9.0, 0.0].into_iter()), Some(2.0));
}

#[test]
fn a_point_is_held_by_the_weight_that_it_falls_into() {
    let weights = [0.5, 0.0, 1.5, 2.0];
    let places: Vec<_> = [0.0, 0.4, 0.5, 1.9, 2.0, 3.9].map(|point| place_by_weight(&weights, point)).into();
    assert_eq!(places, [Some(0), Some(0), Some(2), Some(2), Some(3), Some(3)]);
}

#[test]
fn a_point_beyond_all_weights_is_held_by_the_last() {
    assert_eq!(place_by_weight(&[1.0, 1.0], 2.0), Some(1));
    assert_eq!(place_by_weight(&[0.0], 0.0), Some(0));
    assert_eq!(place_by_weight(&[], 0.0), None);
}
