//! A straight line by least squares, with its standard errors.

use serde::Serialize;

/// A fitted line `y = intercept + slope * x`.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Line {
    /// Change of y for one x.
    pub slope: f64,
    /// Standard error of the slope.
    pub slope_error: f64,
    /// Value at x = 0.
    pub intercept: f64,
    /// Standard error of the intercept.
    pub intercept_error: f64,
    /// Share of the variance that the line explains.
    pub r_squared: f64,
}

/// Fits a line; `None` with fewer than three points or when all have the same x.
pub fn fit(points: &[(f64, f64)]) -> Option<Line> {
    let count = points.len() as f64;
    if points.len() < 3 {
        return None;
    }
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let spread_x: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let spread_y: f64 = points.iter().map(|(_, y)| (y - mean_y).powi(2)).sum();
    if spread_x == 0.0 {
        return None;
    }
    let joint: f64 = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    let slope = joint / spread_x;
    let intercept = mean_y - slope * mean_x;
    let residual: f64 = points
        .iter()
        .map(|(x, y)| (y - intercept - slope * x).powi(2))
        .sum();
    let variance = residual / (count - 2.0);
    let share = 1.0 / count + mean_x * mean_x / spread_x;
    Some(Line {
        slope,
        slope_error: (variance / spread_x).sqrt(),
        intercept,
        intercept_error: (variance * share).sqrt(),
        r_squared: if spread_y == 0.0 {
            1.0
        } else {
            1.0 - residual / spread_y
        },
    })
}

impl Line {
    /// The line's value at x.
    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}
