//! Work is refused before it starts if the callee would probably refuse its call.

use std::time::{Duration, Instant};

use model::{Class, OperationKey};
use policy::{EdgeCall, RefusalPredictor, SpareCapacity};
use proptest::prelude::*;

const TICK: Duration = Duration::from_millis(1);
const HASH_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

fn call(class: Class, shed_hash: u64) -> EdgeCall {
    EdgeCall {
        operation: OperationKey(1),
        class,
        worth: 10,
        attempt: 0,
        shed_hash,
    }
}

/// Offers one call per millisecond for three seconds to a callee that accepts `capacity` calls
/// per 100 ms, and returns the percentage admitted in the last second.
fn drive(
    predictor: &mut RefusalPredictor,
    class: Class,
    capacity: u32,
    spare_capacity: SpareCapacity,
    now: &mut Instant,
) -> u32 {
    let (mut admitted, mut sent) = (0, 0);
    for step in 0..3_000_u32 {
        *now += TICK;
        if step % 100 == 0 {
            sent = 0;
        }
        let call = call(class, u64::from(step).wrapping_mul(HASH_MULTIPLIER));
        if predictor
            .predict_refusal(&call, || spare_capacity, *now)
            .is_none()
        {
            predictor.record_result(&call, sent < capacity, *now);
            sent += 1;
            admitted += u32::from(step >= 2_000);
        }
    }
    admitted / 10
}

#[test]
fn admitted_share_follows_what_the_callee_accepts() {
    let rows = [Class::Browse, Class::Standard, Class::Critical].map(|class| {
        let mut predictor = RefusalPredictor::default();
        let mut now = Instant::now();
        let calm = drive(&mut predictor, class, 100, SpareCapacity::Ample, &mut now);
        let none = drive(&mut predictor, class, 0, SpareCapacity::None, &mut now);
        let half = drive(&mut predictor, class, 50, SpareCapacity::Limited, &mut now);
        let after = drive(&mut predictor, class, 100, SpareCapacity::Ample, &mut now);
        format!("{class}: calm {calm}, none {none}, half {half}, after {after}")
    });
    insta::assert_snapshot!(rows.join("\n"), @r"
    browse: calm 100, none 0, half 0, after 100
    standard: calm 100, none 0, half 54, after 100
    critical: calm 100, none 100, half 100, after 100
    ");
}

proptest! {
    #[test]
    fn refuses_the_same_roots_as_other_hops(
        hashes in prop::collection::vec(any::<u64>(), 2..50),
        refused in prop::collection::vec(any::<bool>(), 1..500),
    ) {
        let mut predictor = RefusalPredictor::default();
        let mut now = Instant::now();
        for (step, refused) in (0_u64..).zip(refused) {
            now += TICK;
            let call = call(Class::Standard, step.wrapping_mul(HASH_MULTIPLIER));
            if predictor.predict_refusal(&call, || SpareCapacity::Limited, now).is_none() {
                predictor.record_result(&call, !refused, now);
            }
        }
        let mut hashes = hashes;
        hashes.sort_unstable();
        let admitted: Vec<bool> = hashes
            .iter()
            .map(|&hash| predictor.predict_refusal(&call(Class::Standard, hash), || SpareCapacity::Limited, now).is_none())
            .collect();
        prop_assert!(admitted.is_sorted(), "a call was refused although one with a smaller hash was admitted");
    }

    #[test]
    fn critical_work_is_never_refused_on_a_prediction(
        hashes in prop::collection::vec(any::<u64>(), 1..500),
    ) {
        let mut predictor = RefusalPredictor::default();
        let mut now = Instant::now();
        for hash in hashes {
            now += TICK;
            let call = call(Class::Critical, hash);
            prop_assert!(predictor.predict_refusal(&call, || SpareCapacity::None, now).is_none());
            predictor.record_result(&call, false, now);
        }
    }
}
