//! Least-squares fits of low-degree polynomials.

/// A polynomial fitted to points, with its largest residual.
#[derive(Clone, Debug)]
pub struct Fit {
    /// Coefficients in ascending order of power, from the constant.
    pub coefficients: Vec<f64>,
    /// Largest residual, relative to the value of the point.
    pub largest_residual: f64,
}

impl Fit {
    /// Fits a polynomial of the given degree to the points.
    pub fn of(points: &[(f64, f64)], degree: usize) -> Fit {
        let count = degree + 1;
        assert!(points.len() >= count, "degree {degree} needs {count} points, got {}", points.len());
        // Scales x to the range 0 to 1, which keeps the normal equations well conditioned.
        let scale = points.iter().map(|(x, _)| *x).fold(1.0, f64::max);
        let mut equations = vec![vec![0.0; count + 1]; count];
        for (x, y) in points {
            let powers: Vec<f64> = (0..count).map(|power| (x / scale).powi(power as i32)).collect();
            for row in 0..count {
                for column in 0..count {
                    equations[row][column] += powers[row] * powers[column];
                }
                equations[row][count] += powers[row] * y;
            }
        }
        let scaled = solve(equations);
        let coefficients: Vec<f64> =
            scaled.iter().enumerate().map(|(power, c)| c / scale.powi(power as i32)).collect();
        let mut fit = Fit { coefficients, largest_residual: 0.0 };
        let residual = |(x, y): &(f64, f64)| (fit.value_at(*x) - y).abs() / y.abs().max(1.0);
        fit.largest_residual = points.iter().map(residual).fold(0.0, f64::max);
        fit
    }

    /// Returns the share of the highest-power term in the value at `x`.
    pub fn highest_term_share(&self, x: f64) -> f64 {
        let power = self.coefficients.len() - 1;
        (self.coefficients[power] * x.powi(power as i32) / self.value_at(x).abs().max(1.0)).abs()
    }

    /// Evaluates the polynomial at `x`.
    pub fn value_at(&self, x: f64) -> f64 {
        self.coefficients.iter().rev().fold(0.0, |sum, coefficient| sum * x + coefficient)
    }
}

/// Solves a system of linear equations by Gaussian elimination with partial pivoting.
fn solve(mut equations: Vec<Vec<f64>>) -> Vec<f64> {
    let count = equations.len();
    for pivot in 0..count {
        let largest = (pivot..count)
            .max_by(|a, b| equations[*a][pivot].abs().total_cmp(&equations[*b][pivot].abs()))
            .expect("at least the pivot row is left");
        equations.swap(pivot, largest);
        let pivot_row = equations[pivot].clone();
        for (row, equation) in equations.iter_mut().enumerate() {
            if row == pivot {
                continue;
            }
            let factor = equation[pivot] / pivot_row[pivot];
            for (value, pivot_value) in equation.iter_mut().zip(&pivot_row) {
                *value -= factor * pivot_value;
            }
        }
    }
    (0..count).map(|row| equations[row][count] / equations[row][row]).collect()
}
