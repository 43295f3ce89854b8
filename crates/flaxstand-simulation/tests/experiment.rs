//! Experiments: confidence intervals, and errors of the files.

use flaxstand_simulation::experiment::{Experiment, interval};

#[test]
fn intervals_use_students_t() {
    let (mean, half) = interval(&[1.0, 2.0, 3.0, 4.0, 5.0]);
    assert!((mean - 3.0).abs() < 1e-12 && (half - 1.963).abs() < 0.001, "{mean} {half}");
    assert_eq!(interval(&[1.0]).1, f64::INFINITY);
}

#[test]
fn errors_in_a_file_are_reported_with_their_lines() {
    let invalid =
        "experiment \"x\" {\n    seeds 3 1\n    day \"d.kdl\"\n    variant \"v\" policy=\"magic\"\n}\n";
    let problems = Experiment::read("e.kdl", invalid).unwrap_err().problems;
    let lines: Vec<usize> = problems.iter().map(|p| p.line).collect();
    assert_eq!(lines, [2, 4], "{problems:?}");
}
