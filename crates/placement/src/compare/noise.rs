//! Seeded counts of random arrivals.

use wingspar_world::KeyHash;

/// Mean from which the normal distribution stands in for the Poisson distribution.
const NORMAL_FROM: f64 = 50.0;

/// Standard deviation of a uniform variable from 0 to 1.
const UNIFORM_DEVIATION: f64 = 0.288_675_134_594_812_9;

/// Uniform draws whose sum stands in for a normal variable.
const NORMAL_DRAWS: u64 = 4;

/// A Poisson count of the given mean, the same for the same key and step.
pub(super) fn poisson(mean: f64, key: KeyHash, step: u64) -> f64 {
    if mean >= NORMAL_FROM {
        return (mean + mean.sqrt() * normal(key, step)).max(0.0);
    }
    let drawn = uniform(key, step, 0);
    let mut probability = (-mean).exp();
    let mut cumulated = probability;
    let mut count = 0.0;
    while cumulated < drawn && count < NORMAL_FROM * 4.0 {
        count += 1.0;
        probability *= mean / count;
        cumulated += probability;
    }
    count
}

/// Mean 0, variance 1.
fn normal(key: KeyHash, step: u64) -> f64 {
    let draws = (0..NORMAL_DRAWS).map(|draw| uniform(key, step, draw) - 0.5);
    draws.sum::<f64>() / (UNIFORM_DEVIATION * (NORMAL_DRAWS as f64).sqrt())
}

/// From 0 to 1.
fn uniform(key: KeyHash, step: u64, draw: u64) -> f64 {
    let mut bytes = [0; 24];
    bytes[..8].copy_from_slice(&key.0.to_le_bytes());
    bytes[8..16].copy_from_slice(&step.to_le_bytes());
    bytes[16..].copy_from_slice(&draw.to_le_bytes());
    KeyHash::of(&bytes).0 as f64 / u64::MAX as f64
}
