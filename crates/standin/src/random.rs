//! Random arrival gaps and service times, drawn from a seeded generator.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

/// A shifted exponential distribution: a fixed minimum plus an exponentially
/// distributed time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceTime {
    /// Shortest possible time.
    pub min: Duration,
    /// Mean of the exponentially distributed time that is added to the minimum.
    pub mean_tail: Duration,
}

impl ServiceTime {
    /// Returns a distribution that always yields the same time.
    #[must_use]
    pub fn fixed(min: Duration) -> Self {
        ServiceTime {
            min,
            mean_tail: Duration::ZERO,
        }
    }

    /// Draws one time.
    #[must_use]
    pub fn draw(self, rng: &mut SmallRng) -> Duration {
        self.min + exponential(self.mean_tail, rng)
    }
}

/// Draws from the exponential distribution with the given mean.
#[must_use]
pub fn exponential(mean: Duration, rng: &mut SmallRng) -> Duration {
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    mean.mul_f64(-uniform.ln())
}
