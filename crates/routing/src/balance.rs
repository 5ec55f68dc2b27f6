//! Choice of a target for unkeyed work: the better of two drawn at random.
//!
//! Two choices need no shared state between routers and avoid the herd that follows when all of
//! them pick the least loaded target at once.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::table::TargetId;

/// A target that may be chosen.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Candidate {
    pub(crate) id: TargetId,
    /// Relative probability of being drawn.
    pub(crate) weight: f64,
    /// Expected time to an answer; lower is better.
    pub(crate) cost: f64,
}

/// Picks a candidate; `None` when there is none.
pub(crate) fn pick(candidates: &[Candidate], random: &mut ChaCha8Rng) -> Option<TargetId> {
    let first = draw(candidates, None, random)?;
    let Some(second) = draw(candidates, Some(first), random) else {
        return Some(candidates[first].id);
    };
    let better = if candidates[second].cost < candidates[first].cost {
        second
    } else {
        first
    };
    Some(candidates[better].id)
}

/// Draws an index by weight, leaving one out. Falls back to even odds when all weights are zero.
fn draw(
    candidates: &[Candidate],
    without: Option<usize>,
    random: &mut ChaCha8Rng,
) -> Option<usize> {
    let drawn = |index: &usize| Some(*index) != without;
    let indices: Vec<usize> = (0..candidates.len()).filter(drawn).collect();
    let total: f64 = indices.iter().map(|&index| candidates[index].weight).sum();
    if total <= 0.0 {
        // The second draw must not revive targets whose weight an operator set to zero.
        let allowed = !indices.is_empty() && without.is_none();
        return allowed.then(|| indices[random.random_range(0..indices.len())]);
    }
    let mut point = random.random_range(0.0..total);
    for &index in &indices {
        point -= candidates[index].weight;
        if point < 0.0 {
            return Some(index);
        }
    }
    indices.last().copied()
}
