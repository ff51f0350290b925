//! Straight lines through measured points.

/// A straight line.
#[derive(Clone, Copy, Debug)]
pub struct Fit {
    /// Value at zero.
    pub base: f64,
    /// Growth for each unit.
    pub slope: f64,
    /// Share of the variation that the line explains.
    pub r2: f64,
}

impl Fit {
    /// Fits a line by least squares.
    pub fn through(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|p| p.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|p| p.1).sum::<f64>() / count;
        let sxx: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
        let sxy: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
        let syy: f64 = points.iter().map(|p| (p.1 - mean_y).powi(2)).sum();
        let slope = sxy / sxx;
        Self {
            base: mean_y - slope * mean_x,
            slope,
            r2: if syy == 0.0 {
                1.0
            } else {
                sxy * sxy / (sxx * syy)
            },
        }
    }
}
