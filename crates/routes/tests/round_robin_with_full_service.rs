//! A route is split among services by weight and one of them is full. The requests of that service
//! are refused; none of them may move to the other services.

use proptest::prelude::{any, proptest};
use routes::{Share, WeightedRoundRobin};

fn shares(weights: &[u32]) -> Vec<Share> {
    let share = |(n, weight): (usize, &u32)| Share {
        service: format!("s{n}").into(),
        weight: *weight,
    };
    weights.iter().enumerate().map(share).collect()
}

/// Number of requests that each share gets if all requests to `full` are refused and some of the
/// refused ones are sent again later.
fn counts(weights: &[u32], full: usize, requests: usize) -> Vec<usize> {
    let shares = shares(weights);
    let mut round_robin = WeightedRoundRobin::default();
    let mut counts = vec![0; weights.len()];
    let mut refused = 0_usize;
    for n in 0..requests {
        let chosen = round_robin.next(&shares).expect("a share");
        counts[chosen] += 1;
        refused += usize::from(chosen == full);
        if refused.is_multiple_of(2) && n % 3 == 0 {
            counts[round_robin.next(&shares).expect("a share")] += 1;
        }
    }
    counts
}

proptest! {
    #[test]
    fn every_share_keeps_its_weight(a in 1_u32..100, b in 1_u32..100, c in 0_u32..100, full in 0_usize..3, more in any::<u8>()) {
        let weights = [a, b, c];
        let counts = counts(&weights, full, 300 + usize::from(more));
        let total: usize = counts.iter().sum();
        let sum = f64::from(a + b + c);
        for (count, weight) in counts.iter().zip(weights) {
            let expected = f64::from(weight) / sum;
            let got = f64::from(u32::try_from(*count).expect("small")) / f64::from(u32::try_from(total).expect("small"));
            assert!((got - expected).abs() < 0.02, "{counts:?} for {weights:?}");
        }
    }
}
