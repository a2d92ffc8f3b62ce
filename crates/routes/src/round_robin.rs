//! Distribution of a route's requests by weight.

use crate::route::Share;

/// Takes the services of one route in turn, each as often as its weight asks for.
///
/// Smooth weighted round robin: any run of requests is close to the weights, so that every
/// daemon keeps the split by itself.
#[derive(Clone, Debug, Default)]
pub struct WeightedRoundRobin {
    current: Vec<i64>,
}

impl WeightedRoundRobin {
    /// Index of the share that takes the next request; `None` without a share.
    pub fn next(&mut self, shares: &[Share]) -> Option<usize> {
        if shares.len() <= 1 {
            return (!shares.is_empty()).then_some(0);
        }
        if self.current.len() != shares.len() {
            self.current = vec![0; shares.len()];
        }
        let mut total = 0;
        for (current, share) in self.current.iter_mut().zip(shares) {
            *current += i64::from(share.weight);
            total += i64::from(share.weight);
        }
        let by_current = |(_, current): &(usize, &i64)| **current;
        let (chosen, _) = self
            .current
            .iter()
            .enumerate()
            .filter(|(index, _)| shares[*index].weight > 0)
            .max_by_key(by_current)?;
        self.current[chosen] -= total;
        Some(chosen)
    }
}
