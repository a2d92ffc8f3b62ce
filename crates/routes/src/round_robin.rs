//! Weighted distribution of a route's requests among services.

use crate::route::Share;

/// Smooth weighted round robin over the services of one route.
///
/// The distribution over any sequence of requests is close to the weights, so daemons need not
/// coordinate to keep it.
#[derive(Clone, Debug, Default)]
pub struct WeightedRoundRobin {
    current: Vec<i64>,
}

impl WeightedRoundRobin {
    /// Index of the share that gets the next request; `None` if there are no shares.
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
