//! Linear regression through measured points.

/// A straight line fitted to points.
#[derive(Clone, Copy, Debug)]
pub struct LinearFit {
    /// Value at zero.
    pub intercept: f64,
    /// Growth of the value per unit.
    pub slope: f64,
    /// Coefficient of determination: the part of the variance that the line explains. It is 1 when
    /// all values are equal.
    pub r_squared: f64,
}

impl LinearFit {
    /// Fits a line by ordinary least squares.
    pub fn least_squares(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|p| p.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|p| p.1).sum::<f64>() / count;
        let sxx: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
        let sxy: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
        let syy: f64 = points.iter().map(|p| (p.1 - mean_y).powi(2)).sum();
        let slope = sxy / sxx;
        Self {
            intercept: mean_y - slope * mean_x,
            slope,
            r_squared: if syy == 0.0 {
                1.0
            } else {
                sxy * sxy / (sxx * syy)
            },
        }
    }
}
