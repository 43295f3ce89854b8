//! Least squares for polynomials of a low degree.

/// A polynomial and how well it goes through the points that it was fitted to.
#[derive(Clone, Debug)]
pub struct Fit {
    /// From the constant upwards.
    pub coefficients: Vec<f64>,
    /// The largest distance of a point from it, as a part of that point's value.
    pub largest_residual: f64,
}

impl Fit {
    /// The polynomial of a degree that is nearest to the points.
    pub fn of(points: &[(f64, f64)], degree: usize) -> Fit {
        let count = degree + 1;
        assert!(points.len() >= count, "{} points do not determine degree {degree}", points.len());
        // Abscissas between 0 and 1 keep the equations well conditioned.
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
        let residual = |(x, y): &(f64, f64)| (fit.at(*x) - y).abs() / y.abs().max(1.0);
        fit.largest_residual = points.iter().map(residual).fold(0.0, f64::max);
        fit
    }

    /// What part of its value at `x` the highest power makes.
    pub fn share_of_highest(&self, x: f64) -> f64 {
        let power = self.coefficients.len() - 1;
        (self.coefficients[power] * x.powi(power as i32) / self.at(x).abs().max(1.0)).abs()
    }

    /// Its value.
    pub fn at(&self, x: f64) -> f64 {
        self.coefficients.iter().rev().fold(0.0, |sum, coefficient| sum * x + coefficient)
    }
}

/// Solves linear equations by elimination, the largest pivot first.
fn solve(mut equations: Vec<Vec<f64>>) -> Vec<f64> {
    let count = equations.len();
    for pivot in 0..count {
        let largest = (pivot..count)
            .max_by(|a, b| equations[*a][pivot].abs().total_cmp(&equations[*b][pivot].abs()))
            .expect("a row is left");
        equations.swap(pivot, largest);
        let pivot_row = equations[pivot].clone();
        for (row, equation) in equations.iter_mut().enumerate() {
            if row == pivot {
                continue;
            }
            let factor = equation[pivot] / pivot_row[pivot];
            for (value, of_pivot) in equation.iter_mut().zip(&pivot_row) {
                *value -= factor * of_pivot;
            }
        }
    }
    (0..count).map(|row| equations[row][count] / equations[row][row]).collect()
}
