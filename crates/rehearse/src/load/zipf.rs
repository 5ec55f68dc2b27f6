//! Zipf distribution over ranks.

use rand::RngExt;

/// Draws ranks from 0, lower ones more often.
#[derive(Debug, Clone)]
pub struct Zipf {
    /// Probability of each rank and all below it.
    cumulative: Vec<f64>,
}

impl Zipf {
    /// A distribution over `count` ranks, at least one; exponent 0 is uniform.
    #[must_use]
    pub fn new(count: usize, exponent: f64) -> Self {
        let mut sum = 0.0;
        let mut cumulative = Vec::with_capacity(count.max(1));
        for rank in 1..=count.max(1) {
            sum += (rank as f64).powf(-exponent);
            cumulative.push(sum);
        }
        for value in &mut cumulative {
            *value /= sum;
        }
        Self { cumulative }
    }

    /// Draws a rank.
    pub fn draw(&self, random: &mut impl RngExt) -> usize {
        let point: f64 = random.random();
        let rank = self.cumulative.partition_point(|value| *value < point);
        rank.min(self.cumulative.len() - 1)
    }
}
