//! Least-squares fit of a line to measured points.

wire! {
    /// A fitted line.
    pub struct Fit {
        /// Value at size 0.
        pub base: f64,
        /// Growth per unit of size.
        pub slope: f64,
        /// Largest vertical distance of a point from the line, relative to the largest value.
        pub residual: f64,
    }
}

impl Fit {
    /// The value at `size`, never below 0.
    pub fn at(&self, size: f64) -> f64 {
        (self.base + self.slope * size).max(0.0)
    }
}

/// Fits the line with the least sum of squared vertical distances (Gauss 1809).
///
/// Returns `None` for fewer than 3 points or when all sizes are equal.
pub fn least_squares(points: &[(f64, f64)]) -> Option<Fit> {
    if points.len() < 3 {
        return None;
    }
    let count = points.len() as f64;
    let mean_x = points.iter().map(|it| it.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|it| it.1).sum::<f64>() / count;
    let sum_xx = points.iter().map(|it| (it.0 - mean_x).powi(2)).sum::<f64>();
    if sum_xx == 0.0 {
        return None;
    }
    let sum_xy = points.iter().map(|it| (it.0 - mean_x) * (it.1 - mean_y)).sum::<f64>();
    let slope = sum_xy / sum_xx;
    let base = mean_y - slope * mean_x;
    let largest = points.iter().map(|it| it.1.abs()).fold(0.0, f64::max);
    let max_distance =
        points.iter().map(|it| (it.1 - base - slope * it.0).abs()).fold(0.0, f64::max);
    let residual = if largest == 0.0 { 0.0 } else { max_distance / largest };
    Some(Fit { base, slope, residual })
}
